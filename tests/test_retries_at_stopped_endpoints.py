"""Retries of real boxes while endpoint processes are stopped and others fail, counted at the endpoints."""

import asyncio
from random import Random

import pytest

from bench.repeats import Window
from stairquay.core.budget import RetryAllowance
from stairquay.serving.boxes import HEARTBEAT_INTERVAL_S
from tests.many_boxes import several_boxes
from tests.retries import budget_bounds
from tests.site import box_rows, eventually
from tests.soak_retries import BOXES, PATHS_BY_SERVICE, Outcome, Soak, start_endpoints
from tests.standins.endpoint_process import Trouble

ALLOWANCE = RetryAllowance(0.1, 26, 5)
"""Half of the smallest deployments' bounds, each, so that a case stays short."""

BOUNDS = budget_bounds(ALLOWANCE)
STOPPED_S = 15.0
PRESSED_S = 5.0
PER_S = 100.0
MIN_REQUESTS = 200
"""Requests in a window below which there would be too few to show anything."""


async def played(service: str, trouble: Trouble, stopped: int) -> tuple[Window, Outcome]:
    """Stop some endpoints while all others of their service fail, and let them go on."""
    async with several_boxes(BOXES, module="tests.cut_box", engines=0, bounds=BOUNDS) as boxes:
        endpoints = await start_endpoints(boxes)
        try:
            await eventually(lambda: len(box_rows(boxes[0])) == BOXES)
            soak = Soak(boxes, endpoints, ALLOWANCE, Random(1), 0.0)
            soak.callers.per_s, soak.callers.paths = PER_S, PATHS_BY_SERVICE[service]
            pressing = asyncio.create_task(soak.callers.press())
            await asyncio.sleep(HEARTBEAT_INTERVAL_S + ALLOWANCE.window_s)
            of_service = [item for item in endpoints if item.endpoint.service == service]
            for endpoint in of_service[stopped:]:
                endpoint.set_trouble(trouble, 1.0)
            await asyncio.gather(*(endpoint.stop_for(STOPPED_S) for endpoint in of_service[:stopped]))
            await asyncio.sleep(PRESSED_S)
            pressing.cancel()
            await soak.callers.end()
        finally:
            for endpoint in endpoints:
                await endpoint.close()
        return soak.window_of(service), soak.outcome


@pytest.mark.parametrize(
    "service,trouble,stopped",
    (
        ("plain", Trouble.FAIL, 1),
        ("plain", Trouble.FAIL, 2),
        ("plain", Trouble.RESET, 2),
        ("llm", Trouble.FAIL, 2),
    ),
)
def test_repeats_that_a_stopped_endpoint_reads_later_are_within_the_budget(
    service: str, trouble: Trouble, stopped: int
):
    """Guards against repeats of several windows that a stopped process reads at once when it goes on."""
    window, outcome = asyncio.run(played(service, trouble, stopped))
    assert window.share <= 1.0 and window.requests >= MIN_REQUESTS, (window, outcome)
