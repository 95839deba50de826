"""Places at brittle endpoints of boxes that are gone, which others take over."""

import asyncio

from stairquay.core.absence import FORGET_S, GONE_AFTER_S, REFUSAL_TTL_S, RefusedConnections
from stairquay.core.limits import LimitReport
from stairquay.core.ownership import rank_owners
from stairquay.core.places import holders_number
from stairquay.serving.boxes import HEARTBEAT_INTERVAL_S, MISSED_HEARTBEATS
from stairquay.serving.brittleness import apply_tolerance
from stairquay.serving.substitutes import PROBE_INTERVAL_S, SUBSTITUTES, boxes_to_probe
from tests.loads.test_limits_of_endpoints import ENGINE, PLAIN, make_box
from tests.many_boxes import several_boxes
from tests.site import Site, box_rows, eventually

BOXES = 4
PRESS_S = 0.02


def test_a_box_that_goes_on_refusing_connections_is_gone_and_one_that_is_back_is_not():
    """Guards against a box that is started again counting as gone, and one that is gone counting as alive."""
    refused = RefusedConnections()
    refused.record("b-1", True, 1.0)
    assert not refused.gone(1.0 + GONE_AFTER_S / 2)
    refused.record("b-1", True, 1.0 + GONE_AFTER_S)
    assert refused.gone(1.1 + GONE_AFTER_S) == {"b-1"}
    refused.record("b-1", False, 1.2 + GONE_AFTER_S)
    assert not refused.gone(1.2 + GONE_AFTER_S)


def test_refusals_that_nobody_repeats_count_no_longer():
    refused = RefusedConnections()
    refused.record("b-1", True, 1.0)
    last = 1.0 + GONE_AFTER_S
    refused.record("b-1", True, last)
    assert refused.gone(last) and not refused.gone(last + REFUSAL_TTL_S)
    refused.record("b-1", True, last + REFUSAL_TTL_S + 0.1)
    assert refused.gone(last + REFUSAL_TTL_S + 0.2)
    refused.record("b-2", True, last + 2 * FORGET_S)
    refused.record("b-1", True, last + 2 * FORGET_S)
    assert not refused.gone(last + 2 * FORGET_S + 0.2)


def test_only_the_next_boxes_probe_the_holders_of_a_brittle_plain_endpoint():
    """Guards against probes by all boxes, of engines, and while no endpoint is brittle."""
    holders = holders_number(PLAIN.slots)
    ranked = rank_owners(PLAIN.id.encode(), make_box("b-1", 60).boxes, 60)
    for name in (ranked[0], ranked[holders], ranked[holders + SUBSTITUTES]):
        state = make_box(name, 60)
        assert not boxes_to_probe(state, 1.0)
        for endpoint in (PLAIN, ENGINE):
            apply_tolerance(state, endpoint, state.endpoint_state(endpoint), LimitReport(2.0, 1.0, 1.0))
        rank = ranked.index(name)
        assert boxes_to_probe(state, 1.0) == (set(ranked[:rank]) if rank < holders + SUBSTITUTES else set())


async def press(boxes: list[Site], seconds: float, name: str) -> list[int]:
    """Send plain requests to boxes in turn; return the statuses of the answers."""
    tasks = []
    end = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < end:
        number = len(tasks)
        box = boxes[number % len(boxes)]
        tasks.append(asyncio.create_task(box.call("/plain/x", call_id=f"{name}-{number}")))
        await asyncio.sleep(PRESS_S)
    return [answer.status for answer in await asyncio.gather(*tasks)]


def last_gone(box: Site) -> list[str]:
    """Return the boxes that count as gone at a box, by its newest line."""
    lines = box.logged("brittle", outcome="boxes_gone")
    return lines[-1]["boxes"] if lines else []


def test_the_places_of_killed_boxes_are_taken_over_before_their_rows_are_old():
    """Guards against brittle endpoints that stay idle for as long as the rows of killed boxes last."""

    async def scenario():
        async with several_boxes(BOXES, engines=1) as boxes:
            await eventually(lambda: len(box_rows(boxes[0])) == BOXES)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S * 1.2)
            plain = [item for item in boxes[0].endpoints if item.service == "plain"]
            for endpoint in plain:
                endpoint.brittle, endpoint.delay_s = "2", 0.1
            await press(boxes, 2.0, "before")
            names = [f"{box.name}@127.0.0.1" for box in boxes]
            first = rank_owners(plain[0].id.encode(), names, 1)[0]
            killed = next(box for box in boxes[1:] + boxes[:1] if f"{box.name}@127.0.0.1" == first)
            await killed.kill_box()
            killed_at = asyncio.get_running_loop().time()
            left = [box for box in boxes if box is not killed]
            await press(left, GONE_AFTER_S + 2 * PROBE_INTERVAL_S + 1.0, "taken over")
            arrived = len(plain[0].arrivals)
            statuses = await press(left, 3.0, "after")
            assert asyncio.get_running_loop().time() < killed_at + MISSED_HEARTBEATS * HEARTBEAT_INTERVAL_S
            assert len(plain[0].arrivals) - arrived > len(statuses) / 10
            assert statuses.count(200) >= 0.9 * len(statuses)
            await eventually(lambda: any(box.logged("brittle", outcome="boxes_gone") for box in left))
            await killed.start_box()
            await killed.until_ready()
            await press(left, 3.0, "back")
            await eventually(lambda: not any(last_gone(box) for box in left))

    asyncio.run(scenario())
