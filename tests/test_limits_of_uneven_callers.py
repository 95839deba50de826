"""Endpoints of a plain service name limits, and most connections come to one of six real boxes."""

import asyncio
from random import Random

import pytest

from stairquay.serving.boxes import HEARTBEAT_INTERVAL_S
from tests.many_boxes import several_boxes
from tests.site import Site, box_rows, eventually

BOXES = 6
REQUESTS_PER_S = 30.0
LIMIT_SHARE = 1.6
"""The limits of all three endpoints together, as a share of the requests."""

PHASE_S = 8.0
MIN_SERVED_SHARE = 0.95


async def served_share(boxes: list[Site], favourite: int | None, random: Random, name: str) -> float:
    """Send plain requests for a while, nine in ten of them to one box; return the share that was served."""
    calls: list[asyncio.Task] = []
    loop = asyncio.get_running_loop()
    end = loop.time() + PHASE_S
    while loop.time() < end:
        skewed = favourite is not None and random.random() < 0.9
        box = boxes[favourite] if skewed else random.choice(boxes)
        calls.append(asyncio.create_task(box.call("/plain/x", call_id=f"{name}-{len(calls)}")))
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
    answers = await asyncio.gather(*calls)
    return sum(answer.status == 200 for answer in answers) / len(answers)


@pytest.mark.parametrize("seed", (1,))
def test_requests_below_the_limits_are_served_at_whichever_box_they_come_in(seed):
    """Guards against boxes that refuse callers while the turns of boxes without callers stay unused."""

    async def scenario():
        random = Random(seed)
        async with several_boxes(BOXES, engines=1) as boxes:
            await eventually(lambda: len(box_rows(boxes[0])) == BOXES)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S * 1.2)
            for endpoint in boxes[0].endpoints:
                if endpoint.service == "plain":
                    endpoint.limit = str(LIMIT_SHARE * REQUESTS_PER_S / 3)
            await served_share(boxes, None, random, "first")
            for box in boxes:
                await eventually(lambda here=box: here.logged("limit", outcome="named"))
            phases = (None, 0, 3, None)
            shares = [
                await served_share(boxes, favourite, random, f"phase-{number}")
                for number, favourite in enumerate(phases)
            ]
            assert min(shares) >= MIN_SERVED_SHARE, shares

    asyncio.run(scenario())
