"""A box's state of an endpoint belongs to one incarnation, and its state of data halls to one view."""

from dataclasses import replace
from random import Random

from stairquay.adapters.clock import monotonic
from stairquay.core.catalog import Catalog, EngineSpec, ServiceSpec
from stairquay.core.cold import ColdLimit
from stairquay.core.fleet import Endpoint, Fleet
from stairquay.core.rollout import IssuedOrder
from stairquay.core.routers import Member
from stairquay.serving.cold import POST_EVACUATION_COLD_S, cold_for_s
from stairquay.serving.endpoint import EndpointState
from stairquay.serving.following import apply_endpoints, apply_operators
from stairquay.serving.local_router import LocalRouter
from stairquay.serving.messages import (
    EndedAttempt,
    EndpointsRequest,
    OperatorsRequest,
    Outcome,
    PlaceReply,
    PlaceRequest,
    PromptPart,
)
from stairquay.serving.orders import RolloutController
from stairquay.serving.pacing import MAX_COLD_RETRY_S, retry_after_s, wait_s
from stairquay.serving.ports import EndpointChanges, EngineReport, OperatorChanges
from stairquay.serving.state import BoxState
from tests.states import box_state

START_S = 3.0
LIMIT = ColdLimit(per_s=18.0, after_start_s=START_S)
SERVICE = ServiceSpec("llm", 100, EngineSpec(8, 100_000, 100, 1e9, ("m",)), LIMIT)
CATALOG = Catalog(1, services_by_id={"llm": SERVICE})
ENGINE = Endpoint("e", "llm", "10.0.1.1:1", "hall-a", 8, versions_by_model={"m": 1}, born=1_000, sequence=5)
RANDOM = Random(1)


def state_with(*endpoints: Endpoint) -> BoxState:
    state = box_state()
    state.catalog = CATALOG
    apply_list(state, *endpoints)
    return state


def apply_list(state: BoxState, *endpoints: Endpoint, revision: int = 1) -> None:
    apply_endpoints(state, EndpointChanges(revision, True, endpoints), monotonic())


def apply_operator_changes(
    state: BoxState, revision: int, whole: bool = False, **changes: tuple[str, ...]
) -> None:
    apply_operators(state, OperatorChanges(revision, whole, **changes), monotonic())


def place_prompt(local_router: LocalRouter, ticket: str) -> PlaceReply:
    request = PlaceRequest(ticket, "b-2", "llm", "m", (PromptPart("aa", 500),), 500, 20, "", ())
    return local_router.place(request)


def placed_endpoint(local_router: LocalRouter, ticket: str) -> str:
    return place_prompt(local_router, ticket).endpoint


def test_all_that_was_believed_of_an_endpoint_goes_with_its_life():
    state = state_with(ENGINE)
    endpoint_state = state.endpoint_state(ENGINE)
    endpoint_state.in_flight, endpoint_state.failure_rate = 7, 0.9
    endpoint_state.on_answered_version("m", 4, monotonic())
    endpoint_state.on_report(
        EngineReport({"m": 4}, running=5, used_tokens=9_000, total_tokens=10_000), monotonic()
    )
    state.holdings.expect(ENGINE.address, "/m/4", "aa", 500)
    apply_list(state, replace(ENGINE, born=2_000, sequence=1))
    new_state = state.endpoint_state(ENGINE)
    assert (
        new_state is not endpoint_state
        and new_state.report is None
        and (new_state.in_flight, new_state.answered_versions_by_model, new_state.failure_rate)
        == (0, {}, 0.0)
    )
    assert not state.holdings.holders("/m/4", "aa")
    assert state.version_of(state.fleet.by_id["e"], "m") == 1


def test_a_report_may_tell_of_a_new_life_before_its_entry_does_and_it_is_cold():
    state = state_with(ENGINE)
    endpoint_state = state.endpoint_state(ENGINE)
    now = monotonic()
    state.apply_report(ENGINE, EngineReport(born=2_000), now)
    assert state.endpoint_state(ENGINE) is not endpoint_state
    assert START_S - 0.1 < cold_for_s(state, ENGINE, now) <= START_S
    state.apply_report(ENGINE, EngineReport({"m": 9}, born=1_000), now)
    assert state.version_of(ENGINE, "m") == 1, "a report of the previous incarnation must be ignored"
    apply_list(state, replace(ENGINE, sequence=6))
    assert cold_for_s(state, ENGINE, monotonic()) > 0, (
        "an entry of the previous incarnation must not end the cold phase"
    )
    apply_list(state, replace(ENGINE, born=2_000, sequence=3))
    assert cold_for_s(state, ENGINE, monotonic()) == 0


def test_an_entry_of_the_last_life_that_comes_late_changes_nothing():
    fleet = Fleet()
    newer = replace(ENGINE, born=2_000, sequence=1)
    fleet.apply([newer], [], 0.0)
    fleet.apply([replace(ENGINE, sequence=99, address="10.0.9.9:1", leaving=True)], [], 1.0)
    assert fleet.by_id["e"] == newer
    fleet.apply([replace(newer, sequence=3, leaving=True)], [], 2.0)
    fleet.apply([replace(newer, sequence=2)], [], 3.0)
    assert fleet.by_id["e"].leaving
    fleet.apply([replace(newer, born=3_000, sequence=0)], [], 4.0)
    assert not fleet.by_id["e"].leaving


def test_entries_without_a_birth_are_taken_as_they_come():
    fleet = Fleet()
    plain = Endpoint("p", "s", "10.0.1.1:1")
    fleet.apply([replace(plain, sequence=9)], [], 0.0)
    fleet.apply([replace(plain, sequence=1, address="10.0.1.2:1")], [], 1.0)
    assert fleet.by_id["p"].address == "10.0.1.2:1"


def test_what_ends_of_an_old_life_is_not_counted_off_the_new_one():
    state = state_with(ENGINE)
    state.routers, state.routed_engines = (state.member,), frozenset({"e"})
    local_router = LocalRouter(state, RANDOM)
    assert placed_endpoint(local_router, "old") == "e"
    apply_list(state, replace(ENGINE, born=2_000, sequence=1))
    assert placed_endpoint(local_router, "new") == "e"
    local_router.finished(EndedAttempt("old", Outcome.FAILED))
    new_state = state.endpoint_state(ENGINE)
    assert new_state.in_flight == 1 and new_state.failure_rate == 0.0


def test_an_order_that_the_last_life_took_does_not_hold_up_the_next_one():
    state = state_with(ENGINE)
    controller = RolloutController(state, None, None)
    controller.issued = {("e", 2): IssuedOrder(monotonic() - 0.1), ("f", 2): IssuedOrder(monotonic())}
    controller._drop_orders_of_old_incarnations()
    assert len(controller.issued) == 2
    apply_list(state, replace(ENGINE, born=2_000, sequence=1))
    controller._drop_orders_of_old_incarnations()
    assert list(controller.issued) == [("f", 2)]


def test_an_endpoint_that_was_not_reached_counts_as_cold_until_it_says_that_it_is_the_same():
    state = state_with(ENGINE)
    assert cold_for_s(state, ENGINE, monotonic()) == 0
    state.endpoint_state(ENGINE).unreachable_at = monotonic()
    assert cold_for_s(state, ENGINE, monotonic()) > START_S - 0.1
    state.apply_report(ENGINE, EngineReport(born=ENGINE.born), monotonic())
    assert cold_for_s(state, ENGINE, monotonic()) == 0


def test_a_router_places_on_a_cold_engine_what_it_bears_and_then_nothing():
    state = state_with(replace(ENGINE, cold=True, cold_s=START_S))
    state.routers, state.routed_engines = (state.member,), frozenset({"e"})
    local_router = LocalRouter(state, RANDOM)
    replies = [place_prompt(local_router, f"t{number}") for number in range(40)]
    placed = [reply.endpoint for reply in replies]
    assert 0 < placed.count("e") <= LIMIT.per_s
    assert placed[-1] == ""
    now = monotonic()
    assert 0 < wait_s(state, ENGINE, now, RANDOM) < 1 / LIMIT.per_s * 2
    retry_delays = [reply.come_back_s for reply in replies if not reply.endpoint]
    assert 0 < retry_delays[0] < 1 / LIMIT.per_s * 2 and max(retry_delays) <= MAX_COLD_RETRY_S
    assert retry_delays == sorted(retry_delays) and len(set(retry_delays)) > 10, "retries must be staggered"
    apply_list(state, replace(ENGINE, sequence=6))
    assert (
        placed_endpoint(local_router, "warm") == "e"
        and retry_after_s(state, SERVICE.id, (), {}, monotonic(), RANDOM) is None
    )


def test_a_box_that_decides_alone_waits_for_its_own_moment():
    state = state_with(replace(ENGINE, cold=True, cold_s=START_S))
    state.boxes = tuple(f"b-{number}" for number in range(71))
    assert wait_s(state, ENGINE, monotonic(), Random(2)) > 0


def test_an_older_view_does_not_take_back_an_evacuation():
    state = state_with(ENGINE)
    apply_operator_changes(state, 10, evacuated=("hall-a",))
    apply_operator_changes(state, 8, whole=True)
    assert state.evacuated == {"hall-a"}
    apply_operator_changes(state, 12)
    assert state.evacuated == {"hall-a"}
    apply_operator_changes(state, 13, returned=("hall-a",))
    assert not state.evacuated
    apply_operator_changes(state, 14, whole=True, evacuated=("hall-b",))
    assert state.evacuated == {"hall-b"}
    apply_operator_changes(state, 15, whole=True)
    assert not state.evacuated


def test_a_hall_that_returns_counts_as_cold_and_one_that_is_evacuated_again_gets_nothing():
    state = state_with(ENGINE)
    apply_operator_changes(state, 10, evacuated=("hall-a",))
    apply_operator_changes(state, 11, returned=("hall-a",))
    assert POST_EVACUATION_COLD_S - 0.1 < cold_for_s(state, ENGINE, monotonic()) <= POST_EVACUATION_COLD_S
    state.routers, state.routed_engines = (state.member,), frozenset({"e"})
    local_router = LocalRouter(state, RANDOM)
    assert placed_endpoint(local_router, "back") == "e"
    apply_operator_changes(state, 12, evacuated=("hall-a",))
    assert placed_endpoint(local_router, "again") == ""


def test_a_router_passes_on_which_halls_are_evacuated_and_how_long_engines_are_cold():
    state = state_with(replace(ENGINE, cold=True, cold_s=START_S))
    apply_operator_changes(state, 10, evacuated=("hall-a",))
    local_router = LocalRouter(state, RANDOM)
    changes = local_router._operators_reply(OperatorsRequest(9, 0.0), monotonic()).changes
    assert changes.whole and changes.evacuated == ("hall-a",)
    state.endpoint_state(ENGINE).cold_until = monotonic() + 1.0
    forwarded = local_router._endpoints_reply(EndpointsRequest(0, 0.0)).changes.present[0]
    assert forwarded.cold and 0.9 < forwarded.cold_s <= 1.0


def test_routers_of_an_evacuated_hall_place_nothing_and_the_others_take_all_engines():
    engines = [
        replace(ENGINE, id=f"e-{hall}-{n}", data_hall=hall) for hall in ("a", "b", "c") for n in range(8)
    ]
    state = state_with(*engines)
    state.routers = tuple(Member(f"b-{hall}", "x:1", 1.0, hall) for hall in ("a", "b", "c"))
    assert len(state.placing_routers()) == 3
    apply_operator_changes(state, 10, evacuated=("a",))
    placing = state.placing_routers()
    assert [router.data_hall for router in placing] == ["b", "c"]
    owned = {}
    for router in state.routers:
        state.settings = replace(state.settings, id=router.id, data_hall=router.data_hall)
        owned[router.data_hall] = LocalRouter(state, RANDOM)._engines()
    assert owned["a"] == {f"e-a-{n}" for n in range(8)}, (
        "a router in an evacuated hall keeps following its engines"
    )
    assert owned["b"] | owned["c"] == {item.id for item in engines if item.data_hall != "a"}
    apply_operator_changes(state, 11, evacuated=("b", "c"))
    assert len(state.placing_routers()) == 1, (
        "one router must remain to be asked when all halls are evacuated"
    )


def test_an_answer_for_one_model_says_nothing_of_the_weights_of_another():
    """Guards against prompts refused, and weights never updated, for the version of another model."""
    endpoint_state = EndpointState()
    endpoint_state.on_answered_version("m", 2, 0.0)
    endpoint_state.on_answered_version("m", 1, 0.1)
    assert endpoint_state.version_of(ENGINE, "m") == 2
    assert endpoint_state.version_of(ENGINE, "other") == ENGINE.versions_by_model.get("other", 0) < 2
