"""At how many endpoints a request runs that boxes pass on to one another."""

import asyncio
from collections import defaultdict

import pytest

from tests.cut_box import CutKind
from tests.many_boxes import several_boxes
from tests.site import Site
from tests.test_cut_from_endpoints import cut

BOXES = 4
REQUESTS = 60
PAUSE_S = 0.03
MAX_ATTEMPTS = 2
"""Of the route to the plain endpoints."""

MAX_REQUESTS_OVER = 3
"""Requests that may run at more endpoints: the platform's bound."""


def ran_at(boxes: list[Site]) -> dict[str, set[str]]:
    """Return the endpoints at which each request ran."""
    found: dict[str, set[str]] = defaultdict(set)
    for endpoint in boxes[0].endpoints:
        for item in endpoint.received:
            found[item.id].add(endpoint.id)
    return found


@pytest.mark.parametrize("harm", ("unframed_reset", "unsigned", "errors"))
def test_a_request_that_is_passed_on_runs_at_no_more_endpoints_than_its_route_allows(harm: str):
    """Guards against a box that counts one run for all those of the box that it has asked."""

    async def scenario() -> tuple[list[str], int]:
        async with several_boxes(BOXES, module="tests.cut_box", engines=1) as boxes:
            cut(boxes[:2], CutKind.RESET)
            for endpoint in boxes[0].endpoints:
                setattr(endpoint, harm, 100_000)
            async with asyncio.TaskGroup() as group:
                for number in range(REQUESTS):
                    # aiohttp sends a GET a second time, under its id, where a kept connection ends.
                    group.create_task(boxes[number % 2].call("/plain/x", "POST", f"call-{number}", body=b"x"))
                    await asyncio.sleep(PAUSE_S)
            found = ran_at(boxes)
            over = [f"{call_id} {sorted(at)}" for call_id, at in found.items() if len(at) > MAX_ATTEMPTS]
            return over, sum(len(box.logged("forwarded")) for box in boxes)

    over, forwarded = asyncio.run(scenario())
    assert forwarded >= REQUESTS / 2, forwarded
    assert len(over) <= MAX_REQUESTS_OVER, (len(over), over[:3])
