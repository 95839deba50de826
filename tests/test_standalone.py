"""What a box sends to the engines while it finds no router."""

import asyncio

import pytest

from stairquay.adapters.clock import monotonic
from stairquay.core.prompt_queue import Admitted, Deferred, Rejected
from stairquay.core.room import standalone_share
from stairquay.serving.endpoint import MAX_MISSED_REPORTS, REPORT_INTERVAL_S
from stairquay.serving.ports import EngineReport
from stairquay.serving.standalone import StandaloneShares
from tests.many_boxes import routed_box
from tests.site import eventually
from tests.test_choosing import router_state
from tests.test_prompt_queue import times
from tests.test_room import place_request


def shares_of_one_box_in(boxes: int, engines: int = 2) -> tuple[StandaloneShares, object]:
    """Return the shares of a box without a router, and the specification of the engines."""
    state = router_state(engines)
    state.routed_engines = frozenset()
    state.boxes = tuple(f"b-{number}" for number in range(boxes))
    return StandaloneShares(state), state.catalog.engine_of("llm")


@pytest.mark.parametrize("boxes", (1, 7, 33, 82, 300))
def test_all_boxes_together_send_no_more_than_the_engines_hold(boxes):
    assert boxes * standalone_share(16, 140, boxes) <= 16 * 140
    assert standalone_share(1, 1, boxes) == 1


def test_a_box_sends_its_share_and_lets_the_others_wait_or_refuses_them():
    shares, spec = shares_of_one_box_in(boxes=4)
    now = monotonic()
    for number in range(4):
        asked = place_request(f"t{number}", **times())
        assert shares.decide(asked, spec, now) is None
        shares.place(asked, spec, now)
    assert isinstance(shares.decide(place_request("t4", **times()), spec, now), Deferred)
    late = shares.decide(place_request("t5", **times(objective_left_s=0.05)), spec, now)
    assert isinstance(late, Rejected) and late.retry_after_s > 0
    assert shares.state.metrics.rejected.labels("objective", "2")._value.get() == 1
    shares.end("t0", True, now + 0.1)
    assert isinstance(shares.decide(place_request("t4", **times()), spec, now + 0.02), Admitted)


def test_a_prompt_that_ends_or_whose_caller_left_gives_its_part_of_the_share_back():
    shares, spec = shares_of_one_box_in(boxes=300)
    now = monotonic()
    shares.place(place_request("t0", **times()), spec, now)
    assert isinstance(shares.decide(place_request("t1", **times()), spec, now), Deferred)
    shares.leave("t1")
    shares.end("t0", False, now)
    shares.end("t0", False, now)
    assert shares.decide(place_request("t2", **times()), spec, now) is None
    assert not shares.service_by_ticket


def test_second_attempts_are_not_held_back():
    shares, spec = shares_of_one_box_in(boxes=300)
    now = monotonic()
    shares.place(place_request("t0", **times()), spec, now)
    assert shares.decide(place_request("t1"), spec, now) is None


def test_an_engine_that_was_full_when_its_reports_stopped_comes_last():
    shares, spec = shares_of_one_box_in(boxes=4)
    now = monotonic()
    silent_at = now + (MAX_MISSED_REPORTS + 1) * REPORT_INTERVAL_S
    full = EngineReport(running=spec.slots, queued=1, total_tokens=100_000)
    shares.state.endpoints_by_id["e-0"].on_report(full, now)
    assert shares.may_use("e-0", spec, now)
    assert not shares.may_use("e-0", spec, silent_at)
    assert shares.may_use("e-1", spec, silent_at) and shares.may_use("unknown", spec, silent_at)


def test_a_box_whose_routers_are_silent_serves_one_prompt_after_another():
    """Guards against parts of the share that are never given back."""

    async def scenario():
        async with routed_box(engines=1) as (here, router):
            router.silent = True
            for number in range(6):
                assert (await here.prompt(call_id=f"call-{number}")).status == 200
            await eventually(lambda: len(here.logged("sent")) == 6)

    asyncio.run(scenario())
