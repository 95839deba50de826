"""Endpoints that state how many rejections they bear, before boxes that are real processes."""

import asyncio

from stairquay.core.limits import UNLIMITED, LimitReport
from stairquay.core.places import places
from stairquay.core.prompt_queue import Admitted, PromptQueue, Rejected, RoomRequest
from stairquay.core.room import Room
from stairquay.serving.boxes import HEARTBEAT_INTERVAL_S
from stairquay.serving.brittleness import TOLERANCE_TTL_S, apply_tolerance, is_brittle
from stairquay.serving.engine_accounts import EngineAccounts
from stairquay.serving.messages import PlaceRequest, PromptPart
from tests.loads.test_limits_of_endpoints import CATALOG, ENGINE, PLAIN, make_box
from tests.many_boxes import several_boxes
from tests.site import Answer, Site, box_rows, eventually
from tests.test_limits import single_box

SLOTS = 4
"""Slots of the stand-in of a plain endpoint, as in its entry."""

BOXES = 3
REQUESTS = 60


async def call_all(boxes: list[Site], name: str) -> list[Answer]:
    """Send requests to all boxes in turn at the same time; return their answers."""
    return await asyncio.gather(
        *(
            boxes[number % len(boxes)].call("/plain/x", call_id=f"{name}-{number}")
            for number in range(REQUESTS)
        )
    )


def test_boxes_together_send_a_brittle_endpoint_no_more_than_it_has_room_for():
    """Guards against boxes that each count their own requests only, and together overload an endpoint."""

    async def scenario():
        async with several_boxes(BOXES) as boxes:
            await eventually(lambda: len(box_rows(boxes[0])) == BOXES)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S * 1.2)
            plain = [item for item in boxes[0].endpoints if item.service == "plain"]
            for endpoint in plain:
                endpoint.brittle, endpoint.delay_s = "2", 0.05
            await call_all(boxes, "first")
            for box in boxes:
                await eventually(lambda here=box: here.logged("brittle", outcome="stated"))
            for endpoint in plain:
                endpoint.most_in_progress = 0
            answers = await call_all(boxes, "burst")
            assert max(endpoint.most_in_progress for endpoint in plain) <= places(SLOTS)
            assert sum(answer.status == 200 for answer in answers) >= len(plain) * places(SLOTS)
            refused = [answer for answer in answers if answer.status != 200]
            assert refused and all(answer.status == 503 for answer in refused)
            assert all(float(answer.headers["Retry-After"]) > 0 for answer in refused)
            await eventually(lambda: any(box.logged("forwarded", outcome="answered") for box in boxes))

    asyncio.run(scenario())


def test_a_brittle_endpoint_that_rejects_is_left_alone_and_used_again_once_it_states_nothing():
    """Guards against a box that goes on until the endpoint falls over, and one that never comes back."""

    async def scenario():
        async with single_box(plain=1) as here:
            endpoint = here.endpoints[0]
            endpoint.brittle, endpoint.refuse = "2", 100
            for number in range(20):
                await here.call("/plain/x", call_id=f"press-{number}")
            assert len(endpoint.arrivals) <= 2
            await eventually(lambda: here.logged("brittle", outcome="left_alone"))
            endpoint.brittle, endpoint.refuse = None, 0
            await eventually_served(here)
            await eventually(lambda: here.logged("brittle", outcome="ended"))

    asyncio.run(scenario())


async def eventually_served(here: Site) -> None:
    for number in range(40):
        if (await here.call("/plain/x", call_id=f"again-{number}")).status == 200:
            return
        await asyncio.sleep(0.1)
    raise AssertionError("the endpoint is not used again")


def test_no_prompt_waits_in_the_queue_of_a_brittle_engine():
    """Guards against engines that reject what a router sends on their short queue."""
    full = Room("e-0", 0, UNLIMITED, 0.1, 10.0, 8, 0)
    request = RoomRequest("t-1", 0, "w", 100, 0.01, 5.0, 0.0, 0.0)
    assert isinstance(PromptQueue().decide(request, [full], 1.0), Admitted)
    assert isinstance(PromptQueue().decide(request, [full], 1.0, may_queue=False), Rejected)
    free = Room("e-1", 2, UNLIMITED, 0.0, 10.0, 8, 0)
    assert isinstance(PromptQueue().decide(request, [full, free], 1.0, may_queue=False), Admitted)


def test_a_router_keeps_some_slots_of_a_brittle_engine_free():
    """Guards against a new connection that takes the last slot, and a prompt that is rejected for it."""
    state = make_box("b-1", 1)
    state.routed_engines = frozenset({ENGINE.id})
    accounts, spec = EngineAccounts(state), CATALOG.engine_of("llm")
    for number in range(ENGINE.slots - 1):
        accounts.place(place_request(f"t-{number}"), (), ENGINE, 1.0)
    assert accounts.has_room(ENGINE.id, 100, spec, 1.0)
    apply_tolerance(state, ENGINE, state.endpoint_state(ENGINE), LimitReport(2.0, 1.0, 1.0))
    assert not accounts.has_room(ENGINE.id, 100, spec, 1.0)


def place_request(ticket: str) -> PlaceRequest:
    return PlaceRequest(ticket, "b-1", "llm", "m", (PromptPart("own", 10),), 10, 10, "", ())


def test_a_statement_that_nobody_repeats_ends():
    """Guards against a box that passes all requests on for good, as it missed that a statement had ended."""
    state = make_box("b-1", 2)
    apply_tolerance(state, PLAIN, state.endpoint_state(PLAIN), LimitReport(2.0, 1.0, 1.0))
    assert is_brittle(state, PLAIN, 2.0) and not is_brittle(state, PLAIN, 1.0 + TOLERANCE_TTL_S)
    apply_tolerance(state, PLAIN, state.endpoint_state(PLAIN), LimitReport(2.0, 20.0, 20.0))
    assert is_brittle(state, PLAIN, 2.0 + TOLERANCE_TTL_S)
