"""The account of an engine's capacity, and which engines get prompts by it."""

from dataclasses import replace
from math import inf
from random import Random

from stairquay.adapters.clock import monotonic
from stairquay.core.placement import RUN_DURATION_S
from stairquay.core.room import RUN_TTL_S, EngineAccount, standalone_share
from stairquay.serving.local_router import LocalRouter
from stairquay.serving.messages import EndedAttempt, Outcome, PlaceRequest, PromptPart
from stairquay.serving.ports import EngineReport
from tests.test_choosing import router_state

PARTS = (PromptPart("aa", 500), PromptPart("own", 300))


def place_request(ticket: str, **fields) -> PlaceRequest:
    base = {"service": "llm", "model": "m", "parts": PARTS, "tokens": 800, "max_output": 20}
    return PlaceRequest(**(base | {"ticket": ticket, "box": "b-2", "wall": "", "tried": ()} | fields))


def full_account(slots: int = 4, tokens: int = 100) -> EngineAccount:
    account = EngineAccount(slots, 10_000.0)
    for number in range(slots):
        account.place(f"t{number}", tokens, expected_s=1.0 + number, now=0.0)
    return account


def test_a_slot_and_memory_are_taken_until_the_end_is_reported():
    account = full_account()
    assert account.room("e", 100, 0.5).free_slots == 0
    assert account.room("e", 100, 0.5).free_in_s == 0.5
    account.end("t3", 0.5)
    room = account.room("e", 100, 0.5)
    assert (room.free_slots, room.free_tokens, room.free_in_s) == (1, 9_700.0, 0.0)


def test_a_large_prompt_is_told_when_enough_memory_will_be_free():
    account = EngineAccount(8, 10_000.0)
    for number in range(3):
        account.place(f"t{number}", 3_000, expected_s=1.0 + number, now=0.0)
    assert account.room("e", 1_000, 0.0).free_in_s == 0.0
    assert account.room("e", 4_000, 0.0).free_in_s == 1.0
    assert account.room("e", 7_500, 0.0).free_in_s == 3.0
    assert account.room("e", 10_001, 0.0).free_in_s == inf


def test_memory_that_is_not_known_is_not_short():
    account = EngineAccount(2)
    account.place("t0", 1_000_000, 1.0, 0.0)
    assert account.room("e", 1_000_000, 0.0).free_in_s == 0.0


def test_a_router_that_takes_an_engine_over_does_not_take_its_queue_for_endless():
    """Guards against refusals of all prompts after a change of routers, whose runs nobody else counts."""
    account = EngineAccount(8, 100_000)
    account.on_report(40, 50_000, 100_000, 0.0)
    assert account.room("e", 1_000, 0.1).free_in_s < 33 * 2.5 / 8 + 0.1
    assert account.room("e", 1_000, 0.1, after_unknown=False).free_in_s < 2.5 / 8 + 0.1


def test_a_box_that_dies_keeps_its_placements_counted_until_two_reports_lack_them():
    account = full_account()
    account.on_report(4, 400, 10_000, 1.0)
    account.on_report(1, 100, 10_000, 1.5)
    assert account.taken == 4
    account.on_report(1, 100, 10_000, 2.0)
    assert account.taken == 1 and account.memory.peak_tokens == 100


def test_a_report_that_was_made_before_a_placement_frees_nothing():
    account = EngineAccount(4)
    account.on_report(0, 0, 0, 0.0)
    account.place("t0", 100, 1.0, 0.1)
    account.on_report(0, 0, 0, 0.2)
    account.on_report(0, 0, 0, 0.45)
    assert account.taken == 1
    account.on_report(0, 0, 0, 0.9)
    assert account.taken == 0


def test_a_placement_without_an_end_or_a_report_expires():
    account = full_account()
    assert account.room("e", 100, RUN_TTL_S - 0.1).free_slots == 0
    assert account.room("e", 100, RUN_TTL_S + 0.1).free_slots == 4
    assert account.memory.peak_tokens == 0


def test_a_router_that_takes_over_counts_what_it_does_not_know_until_the_second_report():
    account = EngineAccount(4, 10_000.0)
    account.on_report(4, 4_000, 10_000, 0.0)
    assert account.room("e", 100, 0.0).free_slots == 0
    assert account.room("e", 100, 0.0).free_tokens == 6_000
    account.on_report(1, 1_000, 10_000, 0.45)
    assert account.room("e", 100, 0.45).free_slots == 3


def test_runs_of_a_second_router_are_counted_once_two_reports_show_them():
    account = EngineAccount(8)
    account.on_report(0, 0, 0, 0.0)
    account.on_report(3, 0, 0, 0.45)
    assert account.taken == 0
    account.on_report(2, 0, 0, 0.9)
    assert account.taken == 2


def test_an_end_that_is_reported_twice_counts_once():
    account = full_account()
    assert account.end("t0", 0.5) is not None and account.end("t0", 0.5) is None
    assert (account.taken, account.memory.peak_tokens) == (3, 300)


def test_boxes_without_a_router_share_what_the_engines_hold():
    assert standalone_share(16, 140, 82) == 27
    assert standalone_share(2, 3, 82) == 1
    assert standalone_share(16, 140, 0) == 2_240


def test_a_full_engine_gets_no_prompt_while_another_has_room():
    """Guards against waits behind a full engine that keeps the shared part, while others are idle."""
    state = router_state(2)
    state.holdings.expect("10.0.1.0:1", "/m/0", "aa", 500)
    local_router = LocalRouter(state, Random(1))
    slots = state.catalog.engine_of("llm").slots
    replies = [local_router.place(place_request(f"t{number}")) for number in range(2 * slots)]
    engines = [reply.endpoint for reply in replies]
    assert engines.count("e-0") == slots and engines.count("e-1") == slots
    local_router.finished(EndedAttempt("t0"))
    assert local_router.place(place_request("next")).endpoint == engines[0]


def test_a_full_engine_gets_prompts_that_no_other_can_take():
    state = router_state(1)
    local_router = LocalRouter(state, Random(1))
    slots = state.catalog.engine_of("llm").slots
    for number in range(slots + 1):
        assert local_router.place(place_request(f"t{number}")).endpoint == "e-0"


def test_a_restarted_engine_has_all_its_room():
    state = router_state(1)
    local_router = LocalRouter(state, Random(1))
    slots = state.catalog.engine_of("llm").slots
    for number in range(slots):
        local_router.place(place_request(f"t{number}"))
    spec, now = state.catalog.engine_of("llm"), monotonic()
    assert local_router.accounts.rooms(place_request("x"), (), spec, now)[0].free_slots == 0
    for born in (7, 8):
        report = EngineReport(born=born)
        state.apply_report(state.fleet.by_id["e-0"], report, now)
    assert local_router.accounts.rooms(place_request("x"), (), spec, now)[0].free_slots == slots
    local_router.finished(EndedAttempt("t0"))
    assert local_router.accounts.rooms(place_request("x"), (), spec, now)[0].free_slots == slots


def test_durations_are_learned_from_runs_that_completed(monkeypatch):
    state = router_state(1)
    local_router = LocalRouter(state, Random(1))
    local_router.place(place_request("t0", priority=1))
    local_router.place(place_request("t1", priority=1))
    later = monotonic() + 0.1
    monkeypatch.setattr("stairquay.serving.local_router.monotonic", lambda: later)
    local_router.finished(EndedAttempt("t0", Outcome.NOT_SENT))
    assert local_router.accounts.duration_s("llm", 1) == RUN_DURATION_S
    local_router.finished(EndedAttempt("t1"))
    assert local_router.accounts.duration_s("llm", 1) < 0.2
    assert local_router.accounts.duration_s("llm", 2) == RUN_DURATION_S


def test_the_metric_counts_free_slots_and_accounts_of_engines_that_left_are_dropped():
    state = router_state(2)
    local_router = LocalRouter(state, Random(1))
    slots = state.catalog.engine_of("llm").slots
    local_router.place(place_request("t0", tried=("e-1",)))
    # The report of `router_state` shows one run besides.
    local_router.accounts.observe_metrics()
    assert state.metrics.room.labels("llm")._value.get() == slots - 2
    state.fleet.by_id = {}
    local_router.accounts.observe_metrics()
    assert not local_router.accounts.accounts_by_engine


def test_an_evacuated_engine_has_no_room():
    state = router_state(2)
    state.evacuated = frozenset({state.fleet.by_id["e-0"].data_hall})
    for engine, endpoint in list(state.fleet.by_id.items()):
        if engine == "e-1":
            state.fleet.by_id[engine] = replace(endpoint, data_hall="hall-b")
    accounts = LocalRouter(state, Random(1)).accounts
    rooms = accounts.rooms(place_request("x"), (), state.catalog.engine_of("llm"), monotonic())
    assert [room.engine for room in rooms] == ["e-1"]
