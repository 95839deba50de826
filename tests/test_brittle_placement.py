"""What a router places at brittle engines of which some cannot be used."""

from dataclasses import replace
from random import Random

import pytest

from stairquay.adapters.clock import monotonic
from stairquay.core.handover import HANDOVER_S
from stairquay.core.limits import LimitReport
from stairquay.core.places import places
from stairquay.core.routers import Member
from stairquay.serving.brittleness import apply_tolerance, record_rejection
from stairquay.serving.endpoint import EndpointState
from stairquay.serving.following import apply_endpoints
from stairquay.serving.local_router import LocalRouter
from stairquay.serving.messages import EndedAttempt, Outcome, PlaceRequest, PromptPart
from stairquay.serving.ports import EndpointChanges, EngineReport
from stairquay.serving.state import BoxState
from tests.loads.test_limits_of_endpoints import ENGINE, make_box

ENGINES = tuple(replace(ENGINE, id=f"e-{number}", address=f"10.0.1.{number}:1") for number in range(3))
PROMPTS = 60


def refused_lately(state: BoxState, endpoint_state: EndpointState) -> None:
    endpoint_state.refused_until = monotonic() + 10.0


def silent(state: BoxState, endpoint_state: EndpointState) -> None:
    endpoint_state.on_report(EngineReport(), monotonic() - 60.0)


def busy(state: BoxState, endpoint_state: EndpointState) -> None:
    endpoint_state.on_report(EngineReport(busy=True), monotonic())


def left_alone(state: BoxState, endpoint_state: EndpointState) -> None:
    record_rejection(state, ENGINES[0], endpoint_state, monotonic())


def routing_box() -> BoxState:
    """Return a router of brittle engines, which it has used for a while."""
    state, now = make_box("b-1", 6), monotonic()
    apply_endpoints(state, EndpointChanges(2, True, ENGINES), now)
    for engine in ENGINES:
        endpoint_state = state.endpoint_state(engine)
        apply_tolerance(state, engine, endpoint_state, LimitReport(2.0, now, now))
        endpoint_state.on_report(EngineReport(), now)
    state.routers = (Member("b-1", "127.0.0.1:1"),)
    state.routed_engines = frozenset(engine.id for engine in ENGINES)
    for ago_s in (HANDOVER_S + 0.1, HANDOVER_S / 2, 0.0):
        state.handovers.updated_at = now - ago_s
        state.handovers.update(state.routed_engines, now - ago_s)
    return state


def place(router: LocalRouter, ticket: str, again: bool = False) -> str:
    """Return the engine that a prompt is sent to, an empty string if it has to wait or is refused."""
    request = PlaceRequest(
        ticket,
        "b-2",
        "llm",
        "m",
        (PromptPart("aa", 500), PromptPart(ticket, 100)),
        600,
        20,
        "",
        ("e-9",) if again else (),
        objective_left_s=None if again else 0.4,
        deadline_left_s=3.0,
    )
    reply = router.place(request)
    return "" if reply.again_s else reply.endpoint


@pytest.mark.parametrize("again", (False, True))
@pytest.mark.parametrize("spoil", (refused_lately, silent, busy, left_alone))
def test_engines_get_no_more_than_their_places_while_another_one_with_room_cannot_be_used(spoil, again):
    """Guards against prompts admitted to an engine that crashed, and sent to the full ones in its place."""
    state = routing_box()
    router = LocalRouter(state, Random(1))
    placed = [place(router, f"t-{number}") for number in range(3)]
    for number in range(3):
        router.finished(EndedAttempt(f"t-{number}", Outcome.DONE))
    assert all(placed)
    spoil(state, state.endpoint_state(ENGINES[0]))
    sent = [place(router, f"p-{number}", again) for number in range(PROMPTS)]
    for engine in ENGINES:
        assert sent.count(engine.id) <= places(engine.slots), sent
    assert sent.count("e-1") == sent.count("e-2") == places(ENGINE.slots)


def test_a_line_tells_which_engines_a_router_takes_over(monkeypatch):
    """Guards against engines that stay unused for seconds, and no line that says why."""
    state, told = routing_box(), []
    router = LocalRouter(state, Random(1))
    monkeypatch.setattr(state.log, "line", lambda kind, **fields: told.append(fields))
    for engines in (("e-0",), ("e-0", "e-1"), ("e-0", "e-1")):
        state.routed_engines = frozenset(engines)
        router.accounts.update_handovers(monotonic())
    assert [fields["engines"] for fields in told if fields["outcome"] == "taking_over"] == [["e-1"]]
