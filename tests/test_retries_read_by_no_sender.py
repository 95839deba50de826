"""Retries that lie unread at stopped endpoint processes while their boxes end, or while callers leave."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random

import pytest

from bench.repeats import Window
from stairquay.serving.boxes import HEARTBEAT_INTERVAL_S
from tests.many_boxes import several_boxes
from tests.retries import budget_bounds
from tests.site import Site, box_rows, eventually
from tests.soak_retries import FEWEST_PER_S, GRACE_S, PATHS_BY_SERVICE, Outcome, Soak, start_endpoints
from tests.standins.endpoint_process import Trouble
from tests.test_retries_at_stopped_endpoints import ALLOWANCE

BOXES, MORE_THAN_CORES = 6, 12
PER_S = 100.0
LEAVING_PER_S = 300.0
SENT_S = 1.0
"""Seconds in which boxes send retries to endpoints that have just stopped."""

STOPPED_S = 15.0
PRESSED_S = 5.0
STOPPED = 2
"""Stopped endpoints of a service; all others fail."""

MIN_REQUESTS = 2_000
"""Requests of a case below which there would be too few to show anything."""

RunBoxes = Callable[[Soak], Awaitable[None]]


async def kill_all(soak: Soak) -> None:
    await asyncio.gather(*(restart_killed(box) for box in soak.boxes))


async def kill_again_and_again(soak: Soak) -> None:
    """Kill half of the boxes in turn."""
    half = len(soak.boxes) // 2
    for killed in (soak.boxes[:half], soak.boxes[half:], soak.boxes[:half], soak.boxes[half:]):
        await asyncio.gather(*(restart_killed(box) for box in killed))
        await asyncio.sleep(SENT_S)


async def stop_all(soak: Soak) -> None:
    async def restart(box: Site) -> None:
        await box.stop_box_and_wait(GRACE_S)
        await box.start_box(same_addresses=True)
        await box.until_ready()

    await asyncio.gather(*(restart(box) for box in soak.boxes))


async def callers_leave(soak: Soak) -> None:
    soak.callers.per_s = FEWEST_PER_S


async def callers_leave_killed_boxes(soak: Soak) -> None:
    await callers_leave(soak)
    await kill_all(soak)


async def callers_leave_boxes_killed_in_series(soak: Soak) -> None:
    await callers_leave(soak)
    await kill_again_and_again(soak)


async def restart_killed(box: Site) -> None:
    await box.kill_box()
    await box.start_box(same_addresses=True)
    await box.until_ready()


async def played(
    service: str, boxes: int, per_s: float, meanwhile: RunBoxes
) -> tuple[Window, Outcome, Counter[str]]:
    """Stop endpoints while all others of their service fail, and let them go on after the boxes' fault."""
    async with several_boxes(
        boxes, module="tests.cut_box", engines=0, bounds=budget_bounds(ALLOWANCE)
    ) as sites:
        endpoints = await start_endpoints(sites)
        try:
            await eventually(lambda: len(box_rows(sites[0])) == boxes)
            soak = Soak(sites, endpoints, ALLOWANCE, Random(1), 0.0)
            soak.callers.per_s, soak.callers.paths = per_s, PATHS_BY_SERVICE[service]
            pressing = asyncio.create_task(soak.callers.press())
            await asyncio.sleep(HEARTBEAT_INTERVAL_S + 2 * ALLOWANCE.window_s)
            of_service = [item for item in endpoints if item.endpoint.service == service]
            for endpoint in of_service[STOPPED:]:
                endpoint.set_trouble(Trouble.FAIL, 1.0)
            stopped = [asyncio.create_task(endpoint.stop_for(STOPPED_S)) for endpoint in of_service[:STOPPED]]
            await asyncio.sleep(SENT_S)
            await meanwhile(soak)
            await asyncio.gather(*stopped)
            await asyncio.sleep(PRESSED_S)
            pressing.cancel()
            await soak.callers.end()
        finally:
            for endpoint in endpoints:
                await endpoint.close()
        soak._check()
        window = soak.window_of(service)
        return window, soak.outcome, soak.repeats_in(service, window)


@pytest.mark.parametrize(
    "service,boxes,per_s,meanwhile",
    (
        ("plain", BOXES, PER_S, kill_again_and_again),
        ("plain", BOXES, PER_S, stop_all),
        ("plain", MORE_THAN_CORES, PER_S, kill_all),
        ("plain", BOXES, LEAVING_PER_S, callers_leave),
        ("plain", BOXES, LEAVING_PER_S, callers_leave_killed_boxes),
        ("llm", BOXES, LEAVING_PER_S, callers_leave_killed_boxes),
        ("plain", BOXES, LEAVING_PER_S, callers_leave_boxes_killed_in_series),
        ("plain", MORE_THAN_CORES, LEAVING_PER_S, callers_leave_boxes_killed_in_series),
    ),
)
def test_repeats_that_are_read_after_their_boxes_ended_or_callers_left_are_within_the_budget(
    service: str, boxes: int, per_s: float, meanwhile: RunBoxes
):
    """Guards against repeats of a busy time that stopped processes read when no box counts them any more."""
    window, outcome, counts = asyncio.run(played(service, boxes, per_s, meanwhile))
    print(window, dict(counts))
    assert not outcome.broken and outcome.requests[service] >= MIN_REQUESTS, (window, counts, outcome)
