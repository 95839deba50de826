"""Retries of real boxes, counted at the endpoints, where requests are passed on and connections break."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from bench.repeats import ServiceLoad, fullest_window
from stairquay.core.budget import RetryAllowance
from stairquay.serving.boxes import HEARTBEAT_INTERVAL_S
from tests.cut_box import CutKind
from tests.many_boxes import several_boxes
from tests.retries import beyond_the_first, budget_bounds
from tests.site import Site, box_rows, eventually
from tests.test_cut_from_endpoints import cut

BOXES = 4
ALLOWANCE = RetryAllowance(0.2, 24, 4)
BOUNDS = budget_bounds(ALLOWANCE)
PRESSED_S = 8.0
PAUSE_S = 0.02
MIN_USED_SHARE = 0.2
"""Share of what is allowed below which the repeats would be too few to show anything."""


def all_fail(boxes: list[Site]) -> None:
    for endpoint in boxes[0].endpoints:
        endpoint.errors = 100_000


def all_reject(boxes: list[Site]) -> None:
    for endpoint in boxes[0].endpoints:
        endpoint.refuse = 100_000


async def two_boxes_are_cut_off(boxes: list[Site]) -> None:
    """Let two boxes pass their requests on to the others, and heal them."""
    cut(boxes[:2], CutKind.RESET)
    await asyncio.sleep(PRESSED_S / 2)
    cut(boxes[:2], None)


async def links_hang(boxes: list[Site]) -> None:
    """Hold what is sent on open connections for a second, again and again."""
    for _ in range(int(PRESSED_S / 2)):
        await asyncio.sleep(1.0)
        cut(boxes, CutKind.HANG)
        await asyncio.sleep(1.0)
        cut(boxes, None)


async def press(boxes: list[Site], sent_at: list[float]) -> None:
    """Send requests to all boxes in turn until cancelled."""
    async with asyncio.TaskGroup() as group:
        number = 0
        while True:
            sent_at.append(asyncio.get_running_loop().time())
            box = boxes[number % len(boxes)]
            group.create_task(box.call("/plain/x", call_id=f"call-{number}"))
            number += 1
            await asyncio.sleep(PAUSE_S)


def repeat_times(boxes: list[Site]) -> list[float]:
    """Return when requests arrived at endpoints that had arrived before."""
    return beyond_the_first(arrival for endpoint in boxes[0].endpoints for arrival in endpoint.arrivals)


@pytest.mark.parametrize("disturb", (two_boxes_are_cut_off, links_hang))
@pytest.mark.parametrize("spoil", (all_fail, all_reject))
def test_requests_that_are_passed_on_or_held_up_are_repeated_within_the_budget(
    spoil: Callable[[list[Site]], None], disturb: Callable[[list[Site]], Awaitable[None]]
):
    """Guards against arrivals that no box's budget has counted, or that come together later."""

    async def scenario() -> ServiceLoad:
        async with several_boxes(BOXES, module="tests.cut_box", engines=1, bounds=BOUNDS) as boxes:
            await eventually(lambda: len(box_rows(boxes[0])) == BOXES)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S * 1.2 + ALLOWANCE.window_s)
            sent_at: list[float] = []
            pressing = asyncio.create_task(press(boxes, sent_at))
            await asyncio.sleep(ALLOWANCE.window_s)
            spoil(boxes)
            await disturb(boxes)
            pressing.cancel()
            await asyncio.gather(pressing, return_exceptions=True)
            return ServiceLoad(sent_at, repeat_times(boxes))

    assert MIN_USED_SHARE <= fullest_window(asyncio.run(scenario()), ALLOWANCE).share <= 1.0
