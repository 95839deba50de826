"""The choice of an engine: estimated backlog, preferred engines, sources of cached blocks, and follow-up."""

import asyncio
from collections.abc import Iterable
from dataclasses import replace
from random import Random

from msgspec import structs

from stairquay.adapters.clock import monotonic
from stairquay.core.call import Part, PromptShape
from stairquay.core.catalog import Catalog, EngineSpec, ServiceSpec, StoreSpec
from stairquay.core.fleet import Endpoint
from stairquay.core.rollout import EngineState
from stairquay.core.routers import Member
from stairquay.serving.endpoint_choice import (
    STANDALONE_CANDIDATES,
    Choice,
    ChoiceRequest,
    choose_endpoint,
)
from stairquay.serving.engine_views import best_sources, usable_sources
from stairquay.serving.following import MAX_QUICK_RETRIES, RETRY_S, ROUTED_RETRY_S, retry_pause_s
from stairquay.serving.local_router import LocalRouter
from stairquay.serving.messages import EndedAttempt, Outcome, PlaceRequest, PromptPart
from stairquay.serving.orders import RolloutController
from stairquay.serving.ports import EngineReport
from stairquay.serving.state import BoxState
from tests.states import box_state

PROMPT = PromptShape("m", (Part("aa", 500), Part("bb", 300)), 800, 20)
CATALOG = Catalog(1, services_by_id={"llm": ServiceSpec("llm", 100, EngineSpec(8, 100_000, 100, 1e9))})

RANDOM = Random(1)


def router_state(engines: int = 1) -> BoxState:
    """Return the state of a router that owns all engines, each with a recent report."""
    state = box_state()
    listed = [Endpoint(f"e-{n}", "llm", f"10.0.1.{n}:1", "hall-a", 8) for n in range(engines)]
    state.catalog = CATALOG
    state.fleet.apply(listed, [], 0.0)
    state.routers = (Member("b-1"),)
    state.routed_engines = frozenset(item.id for item in listed)
    for item in listed:
        state.endpoint_state(item).on_report(EngineReport(running=1, total_tokens=100_000), monotonic())
    return state


def choose(state: BoxState, sender: str = "b-2") -> Choice:
    service = CATALOG.services_by_id["llm"]
    choice = choose_endpoint(state, CATALOG, ChoiceRequest(service, PROMPT, sender=sender), RANDOM)
    assert choice is not None
    return choice


def test_runs_whose_end_a_router_was_never_told_do_not_fill_an_engine():
    state = router_state()
    state.endpoints_by_id["e-0"].in_flight = 40
    assert choose(state).backlog_s == 0.0


def test_runs_that_a_router_placed_since_the_report_do():
    state = router_state()
    endpoint_state = state.endpoints_by_id["e-0"]
    endpoint_state.in_flight = 12
    for _ in range(12):
        endpoint_state.on_sent(10, monotonic())
    assert choose(state).backlog_s > 1.0


def test_a_router_knows_how_long_an_engine_reads_what_it_placed():
    state = router_state(2)
    state.endpoints_by_id["e-0"].on_placed(0.5, monotonic())
    assert all(choose(state).endpoint.id == "e-1" for _ in range(5))
    state.endpoints_by_id["e-1"].on_placed(0.8, monotonic())
    choice = choose(state)
    assert choice.endpoint.id == "e-0" and 0.4 < choice.backlog_s <= 0.5


def test_each_box_has_engines_of_its_own_among_equals_and_leaves_them_where_they_are_busy():
    state = router_state(8)
    preferred = {choose(state, "b-7").endpoint.id for _ in range(40)}
    assert len(preferred) == 2
    for name in preferred:
        state.endpoints_by_id[name].on_placed(0.1, monotonic())
    assert choose(state, "b-7").endpoint.id not in preferred


def chosen_without_a_router(prompts: Iterable[PromptShape]) -> set[str]:
    state = router_state(8)
    state.routed_engines = frozenset()
    random = Random(3)
    service = CATALOG.services_by_id["llm"]
    chosen = [choose_endpoint(state, CATALOG, ChoiceRequest(service, item), random) for item in prompts]
    return {choice.endpoint.id for choice in chosen}


def test_a_box_without_a_router_chooses_by_chance_for_prompts_that_share_nothing():
    assert len(chosen_without_a_router([PromptShape("m", (Part("own", 800),), 800, 20)] * 60)) == 8


def test_a_box_without_a_router_spreads_prompts_that_share_different_parts():
    """Guards against boxes that all choose one engine by the same outdated view."""
    prompts = [PromptShape("m", (Part(f"aa-{n}", 500), Part("own", 300)), 800, 20) for n in range(60)]
    assert len(chosen_without_a_router(prompts)) == 8
    assert len(chosen_without_a_router([PROMPT] * 60)) == STANDALONE_CANDIDATES


def test_a_store_box_goes_before_an_engine_that_keeps_the_same_part():
    state = router_state(2)
    store = StoreSpec("store", "10.0.2.1:1", "hall-a", 100_000, link_bytes_s=1e8)
    catalog = replace(CATALOG, stores_by_id={"store": store})
    state.holdings.expect("10.0.1.1:1", "/m/0", "aa", 500)
    usable = usable_sources(state, catalog, CATALOG.services_by_id["llm"].engine, monotonic())
    found = best_sources(state, usable, "/m/0", PROMPT.parts[0])
    assert [source.address for source in found] == ["10.0.1.1:1"]
    state.holdings.replace(store.address, 1, 1, [(("/m/0", "aa"), 500)], monotonic())
    usable = usable_sources(state, catalog, CATALOG.services_by_id["llm"].engine, monotonic())
    found = best_sources(state, usable, "/m/0", PROMPT.parts[0])
    assert [source.address for source in found] == [store.address, "10.0.1.1:1"]
    state.holdings.replace(store.address, 1, 2, [(("/m/0", "aa"), 100)], monotonic())
    found = best_sources(state, usable, "/m/0", PROMPT.parts[0])
    assert found[0].address == "10.0.1.1:1"


def test_a_placed_prompt_holds_memory_for_the_parts_that_its_engine_keeps_already():
    state = router_state(2)
    state.holdings.expect("10.0.1.0:1", "/m/0", "aa", 500)
    state.holdings.expect("10.0.1.0:1", "/m/0", "bb", 300)
    local_router = LocalRouter(state, RANDOM)
    parts = (PromptPart("aa", 500), PromptPart("bb", 300))
    for number in range(3):
        local_router.place(PlaceRequest(f"t{number}", "b-2", "llm", "m", parts, 800, 20, "", ("e-1",)))
    assert state.endpoints_by_id["e-0"].used_tokens(monotonic()) == 2_400
    local_router.finished(EndedAttempt("t0", Outcome.TURNED_AWAY))
    assert state.endpoints_by_id["e-0"].used_tokens(monotonic()) == 1_600


def test_engines_that_are_behind_or_loading_are_asked_for_their_state_before_an_order():

    class Peers:
        asked: list[str] = []

        async def report(self, address: str) -> None:
            self.asked.append(address)

    state = router_state()
    state.target_version_by_model["m"] = 2
    state.endpoints_by_id["e-0"].reported_at = monotonic() - 1.0
    controller = RolloutController(state, None, Peers())
    asyncio.run(controller._refresh_reports([EngineState("e-0", "m", 1)]))
    assert Peers.asked == ["10.0.1.0:1"]
    state.endpoints_by_id["e-0"].reported_at = monotonic()
    asyncio.run(controller._refresh_reports([EngineState("e-0", "m", 1)]))
    assert len(Peers.asked) == 1
    asyncio.run(controller._refresh_reports([EngineState("e-0", "m", 1, busy=True)]))
    assert len(Peers.asked) == 2


def test_a_router_beside_those_that_follow_the_table_service_follows_it_once_one_is_gone():
    state = router_state()
    state.routers = (Member("a-1"), Member("a-2"), Member("b-1"))
    assert state.is_router and not state.is_follower
    state.suspected_until_by_id["a-1"] = monotonic() + 1.0
    assert state.is_follower
    state.suspected_until_by_id["a-1"] = monotonic() - 1.0
    assert not state.is_follower


def test_boxes_beside_routers_ask_a_table_service_that_is_down_less_often():
    state = router_state()
    assert retry_pause_s(state, 9) == RETRY_S
    state.routers = (Member("b-9"),)
    assert retry_pause_s(state, MAX_QUICK_RETRIES + 1) == ROUTED_RETRY_S > RETRY_S
    assert retry_pause_s(state, MAX_QUICK_RETRIES) == RETRY_S
    state.routers = ()
    assert retry_pause_s(state, 9) == RETRY_S


def test_a_late_notice_about_an_unanswered_question_ends_nothing_that_was_placed_since():
    """Guards against a running prompt that its router no longer counts, at an engine that is full then."""
    state = router_state()
    local_router = LocalRouter(state, RANDOM)
    parts = (PromptPart("aa", 500), PromptPart("bb", 300))
    unanswered = PlaceRequest("t", "b-2", "llm", "m", parts, 800, 20, "", (), waited_s=0.1)
    local_router.place(structs.replace(unanswered, waited_s=1.4))
    endpoint_state = state.endpoints_by_id["e-0"]
    local_router.finished(EndedAttempt("t", Outcome.NOT_SENT, unanswered.waited_s))
    assert endpoint_state.in_flight == 1 and endpoint_state.used_tokens(monotonic()) == 800
    local_router.finished(EndedAttempt("t"))
    assert endpoint_state.in_flight == 0
    local_router.place(unanswered)
    local_router.finished(EndedAttempt("t", Outcome.NOT_SENT, unanswered.waited_s))
    assert endpoint_state.in_flight == 0
