"""Unit and property tests of catalog, fleet, retry budget, holdings, placement and rollout."""

from dataclasses import replace
from random import Random

from hypothesis import example, given, settings
from hypothesis import strategies as st
from msgspec import structs

from stairquay.adapters.clock import monotonic
from stairquay.core.budget import RetryAllowance, WindowedRetryBudget
from stairquay.core.call import Part
from stairquay.core.catalog import Catalog, Route, Split, WorkspacePolicy, engine_priority, pick_service
from stairquay.core.fleet import MISSING_GRACE_S, Endpoint, Fleet
from stairquay.core.holdings import MAX_DROPPED, Holdings, PartEvent
from stairquay.core.placement import EngineView, Source, pick_quickest, rank_placements
from stairquay.core.rollout import (
    ACCEPTED_ORDER_TIMEOUT_S,
    DEADLINE_SHARE,
    LOAD_DURATION_S,
    UNANSWERED_ORDER_TIMEOUT_S,
    EngineState,
    IssuedOrder,
    next_orders,
)
from stairquay.core.scope import Scope, parse_scope
from tests.states import box_state


def make_route(**fields) -> Route:
    return Route("r", "h", "/", (Split("s", 1.0),), **fields)


def test_the_longest_prefix_of_the_host_wins():
    routes = tuple(
        Route(name, host, prefix, (Split("s", 1.0),))
        for name, host, prefix in (("a", "h", "/x/"), ("b", "h", "/x/y/"), ("c", "k", "/x/y/z/"))
    )
    catalog = Catalog(1, routes)
    assert catalog.route_for("h", "/x/y/z/1").id == "b"
    assert catalog.route_for("h", "/x/q").id == "a"
    assert catalog.route_for("h", "/x") is None and catalog.route_for("q", "/x/") is None


@given(st.lists(st.floats(0.1, 100), min_size=1, max_size=5), st.floats(0, 1, exclude_max=True))
def test_a_split_always_picks_one_of_its_services(weights, fraction):
    route = structs.replace(
        make_route(), splits=tuple(Split(f"s{n}", weight) for n, weight in enumerate(weights))
    )
    assert pick_service(route, fraction) in {split.service for split in route.splits}


def test_a_workspaces_rank_goes_before_its_routes_and_routes_keep_their_order_within_it():
    first, second = WorkspacePolicy("a", priority=0), WorkspacePolicy("b", priority=1)
    high_priority, low_priority = make_route(priority=0), make_route(priority=2)
    ranks = [
        engine_priority(route, policy)
        for policy in (first, second)
        for route in (high_priority, low_priority)
    ]
    assert ranks == sorted(set(ranks))
    assert engine_priority(make_route(priority=40), WorkspacePolicy("c", priority=9)) == 9


def test_a_leaving_endpoint_stays_leaving_whatever_the_list_says_later():
    fleet = Fleet()
    endpoint = Endpoint("e", "s", "a:1")
    fleet.apply([endpoint], [], 0.0)
    assert fleet.usable("s", 0.0) == [endpoint]
    fleet.apply([replace(endpoint, leaving=True)], [], 1.0)
    fleet.apply([endpoint], [], 2.0)
    assert fleet.usable("s", 2.0) == []
    fleet.apply([], ["e"], 3.0)
    assert not fleet.by_id


def test_vanished_endpoints_are_a_last_resort_and_only_for_a_short_while():
    fleet = Fleet()
    fleet.apply([Endpoint("e", "s", "a:1"), Endpoint("f", "s", "a:2")], [], 0.0)
    fleet.apply([], ["e"], 1.0)
    assert [item.id for item in fleet.usable("s", 1.1)] == ["f"]
    fleet.apply_snapshot([], 2.0)
    assert {item.id for item in fleet.usable("s", 2.1)} == {"e", "f"}
    assert [item.id for item in fleet.usable("s", 1.0 + MISSING_GRACE_S + 0.1)] == ["f"]
    assert fleet.usable("s", 2.0 + MISSING_GRACE_S + 0.1) == []
    fleet.apply([Endpoint("e", "s", "a:1")], [], 9.0)
    assert [item.id for item in fleet.usable("s", 9.0)] == ["e"]


def spent_in_window(retries: list[float], now: float) -> int:
    return sum(at > now - 10.0 for at in retries)


def most_in_window(requests: list[float], now: float) -> int:
    """Return the requests of the window that ends now, of the one before or of the one between them."""
    return max(sum(now - back - 10.0 <= at <= now - back for at in requests) for back in (0.0, 5.0, 10.0))


FULL_SLACK_S = 1e6
"""Longer than any window, so that a box may use its whole slack."""


@settings(max_examples=60)
@given(
    st.integers(1, 9),
    st.lists(st.tuples(st.floats(0, 0.4), st.booleans(), st.integers(0, 8)), max_size=400),
)
def test_all_boxes_together_never_exceed_the_allowance_in_any_window(boxes, steps):
    allowance = RetryAllowance(ratio=0.2, slack=50, window_s=10.0)
    budgets = [WindowedRetryBudget(allowance) for _ in range(boxes)]
    now, requests, retries = 0.0, [], []
    for pause, retry, chosen in steps:
        now += pause
        budget = budgets[chosen % boxes]
        if not retry:
            budget.on_request(now)
            requests.append(now)
        elif spend_retry(budget, now, boxes, FULL_SLACK_S):
            retries.append(now)
        assert spent_in_window(retries, now) <= 0.2 * most_in_window(requests, now) + 50


BURST = [(0.0, "repeat", 0)] * 20


@settings(max_examples=60)
@example(1, 0.5, [(10.0, "request", 0), *BURST, (0.1, "kill", 0), (1.0, "request", 0), *BURST])
@example(1, 0.5, [(10.5, "request", 0), *BURST, (0.1, "kill", 0), (9.8, "request", 0), *BURST])
@example(6, 0.5, [(0.0, "repeat", number % 6) for number in range(60)])
@given(
    st.integers(1, 6),
    st.floats(0.0, 2.0),
    st.lists(
        st.tuples(
            st.floats(0, 0.8), st.sampled_from(["request", "repeat", "repeat", "kill"]), st.integers(0, 5)
        ),
        max_size=300,
    ),
)
def test_boxes_killed_and_started_anew_at_any_time_never_exceed_the_allowance(boxes, discovery_s, steps):
    """A box assumes that it is alone until it discovers the others, `discovery_s` after its start."""
    allowance = RetryAllowance(ratio=0.2, slack=10, window_s=10.0)
    budgets = [WindowedRetryBudget(allowance) for _ in range(boxes)]
    started = [0.0] * boxes
    now, requests, retries = 0.0, [], []
    for pause, step, chosen in steps:
        now += pause
        box = chosen % boxes
        known_s = now - started[box] - discovery_s
        if step == "kill":
            budgets[box], started[box] = WindowedRetryBudget(allowance), now
        elif step == "request":
            budgets[box].on_request(now)
            requests.append(now)
        elif spend_retry(budgets[box], now, boxes, known_s):
            retries.append(now)
        assert spent_in_window(retries, now) <= 0.2 * most_in_window(requests, now) + 10


def test_requests_are_counted_anew_where_the_window_of_the_budget_changes():
    """Guards against slots of two lengths in one count, of which the longer would never end."""
    budget = WindowedRetryBudget(RetryAllowance(0.2, 0.0, 10.0))
    for step in range(400):
        budget.on_request(100.0 + step / 10)
    budget.use_allowance(RetryAllowance(0.1, 0.0, 10.0))
    assert budget.counter.in_window == 100
    budget.use_allowance(RetryAllowance(0.1, 0.0, 30.0))
    assert not budget.take(141.0, 1, FULL_SLACK_S)
    for step in range(1_000):
        budget.on_request(141.0 + step / 10)
    assert 285 <= budget.counter.in_window <= 300


def test_a_box_has_no_slack_until_the_rows_of_boxes_were_read_and_its_whole_share_a_window_after():
    state = box_state()
    state.boxes = ("b-1",)
    assert not state.take_retry("s")
    state.boxes, state.boxes_known_at = ("b-1", "b-2"), monotonic() - RetryAllowance().window_s - 1.0
    taken = [state.take_retry("s") for _ in range(10)]
    assert taken == [True] * 3 + [False] * 7  # 0.7 of 10, for two boxes


def spend_retry(budget: WindowedRetryBudget, now: float, boxes: int, known_s: float) -> bool:
    """Spend a retry at a box that discovered the others `known_s` ago; negative: not yet."""
    return budget.take(now, boxes if known_s >= 0 else 1, max(0.0, known_s))


def test_an_older_event_never_undoes_a_newer_one():
    holdings = Holdings()
    holdings.apply("a", [PartEvent(5, "s", "p", 0)], 5, 0.0)
    holdings.apply("a", [PartEvent(4, "s", "p", 100)], 5, 0.1)
    assert holdings.tokens("a", "s", "p") == 0 and not holdings.holders("s", "p")
    holdings.apply("a", [PartEvent(6, "s", "p", 100)], 6, 0.2)
    assert holdings.holders("s", "p") == {"a"} and holdings.by_address["a"].total == 100


def test_forgetting_a_holder_leaves_nothing_of_it_and_dropped_parts_are_bounded():
    holdings = Holdings()
    for number in range(3 * MAX_DROPPED):
        holdings.apply("a", [PartEvent(2 * number, "s", f"p{number}", 10)], 2 * number, 0.0)
        holdings.apply("a", [PartEvent(2 * number + 1, "s", f"p{number}", 0)], 2 * number + 1, 0.0)
    assert len(holdings.by_address["a"].number_by_key) <= MAX_DROPPED + 1
    assert holdings.by_address["a"].total == 0
    holdings.expect("a", "s", "q", 7)
    holdings.forget("a")
    assert not holdings.by_address and not holdings.holders_by_key


PARTS = (Part("a", 500), Part("b", 8_000), Part("c", 2_000))


def no_source(index, address):
    return None


def engine(name: str, resident=(0, 0, 0), **fields) -> EngineView:
    return EngineView(name, f"{name}:1", resident, **fields)


def test_an_engine_that_keeps_the_prompt_wins_unless_its_queue_is_longer_than_reading():
    keeps, idle = engine("keeps", (500, 8_000, 0)), engine("idle")
    assert rank_placements(PARTS, 10_500, [idle, keeps], no_source, 35_000)[0].engine is keeps
    waits = structs.replace(keeps, waiting_tokens=40_000.0)
    assert rank_placements(PARTS, 10_500, [idle, waits], no_source, 35_000)[0].engine is idle


def test_bringing_context_over_a_quick_link_beats_reading_it_anew():
    def source(index, address):
        return Source("store:1", PARTS[index].tokens, 16e9, 0.006) if index < 2 else None

    best = rank_placements(PARTS, 10_500, [engine("e")], source, 35_000)[0]
    assert (best.reused, best.fetched, best.read) == (0, 8_500, 2_000)
    assert best.fetch_from == ("store:1", "store:1", "")
    without = rank_placements(PARTS, 10_500, [engine("e")], no_source, 35_000)[0]
    assert best.first_token_s < without.first_token_s


def test_a_chain_is_of_no_use_beyond_its_first_gap():
    def only_second(index, address):
        return Source("store:1", 8_000, 16e9) if index == 1 else None

    best = rank_placements(PARTS, 10_500, [engine("e")], only_second, 35_000)[0]
    assert best.fetched == 0 and best.read == 10_500


def test_an_engine_whose_memory_is_full_is_left_for_one_that_has_room():
    full = engine("full", (500, 8_000, 0), used_tokens=178_000, total_tokens=179_000)
    unloaded = engine("roomy", used_tokens=60_000, total_tokens=179_000)
    assert rank_placements(PARTS, 10_500, [full, unloaded], no_source, 35_000)[0].engine is unloaded


@given(st.integers(0, 10_000))
def test_only_engines_about_as_quick_as_the_best_are_drawn(seed):
    views = [engine("a"), engine("b"), engine("slow", waiting_tokens=30_000.0)]
    drawn = pick_quickest(rank_placements(PARTS, 10_500, views, no_source, 35_000), Random(seed))
    assert drawn.engine.id in ("a", "b")


ENGINES = [EngineState(f"e{number}", "m", 1, sequence=0) for number in range(10)]


def test_three_of_ten_engines_load_at_once_and_the_least_busy_go_first():
    engines = [structs.replace(item, running=10 - number) for number, item in enumerate(ENGINES)]
    orders = next_orders(engines, {"m": 2}, {}, 0.0)
    assert [order.engine for order in orders] == ["e9", "e8", "e7"]
    busy = [structs.replace(engines[0], busy=True), *engines[1:]]
    assert len(next_orders(busy, {"m": 2}, {}, 0.0)) == 2


def test_an_order_that_shows_no_effect_is_given_again_and_a_newer_version_overtakes_it():
    one = [ENGINES[0]]
    issued = {("e0", 2): IssuedOrder(100.0)}
    assert not next_orders(one, {"m": 2}, issued, 100.0 + ACCEPTED_ORDER_TIMEOUT_S - 0.1)
    assert next_orders(one, {"m": 2}, issued, 100.0 + ACCEPTED_ORDER_TIMEOUT_S + 0.1)
    assert next_orders(one, {"m": 3}, issued, 100.1)[0].version == 3
    assert not next_orders([structs.replace(one[0], version=2)], {"m": 2}, {}, 0.0)
    assert not next_orders([structs.replace(one[0], sequence=None)], {"m": 2}, {}, 0.0)


@given(
    st.text(st.characters(exclude_characters="/"), max_size=8),
    st.text(min_size=1, max_size=8),
    st.integers(0, 99),
)
def test_a_scopes_name_is_read_back(workspace, model, version):
    scope = Scope(workspace, model, version)
    assert parse_scope(scope.name) == scope


def test_scopes_of_others_are_not_ours():
    assert parse_scope("s1") is None and parse_scope("") is None and parse_scope("a/b/c") is None


def test_an_engine_without_a_free_slot_is_left_for_one_that_has_one():
    full = engine("full", (500, 8_000, 0), running=12, slots=12)
    free = engine("free", running=3, slots=12)
    assert rank_placements(PARTS, 10_500, [full, free], no_source, 35_000)[0].engine is free


def test_an_order_without_answer_holds_up_no_other_engine_and_is_given_again_sooner():
    issued = {("e0", 2): IssuedOrder(100.0, answered=False), ("e1", 2): IssuedOrder(100.0)}
    orders = next_orders(ENGINES, {"m": 2}, issued, 101.0)
    assert [order.engine for order in orders] == ["e2", "e3"]
    reissued = next_orders(ENGINES[:1], {"m": 2}, issued, 100.0 + UNANSWERED_ORDER_TIMEOUT_S + 0.1)
    assert [order.engine for order in reissued] == ["e0"]


def test_engines_whose_weights_are_overdue_load_at_once():
    overdue = [structs.replace(item, replaced_s=12.0) for item in ENGINES]
    assert len(next_orders(overdue, {"m": 2}, {}, 0.0, 12.0)) == len(ENGINES)


def test_no_more_engines_load_at_once_than_it_takes_to_be_done_in_time():
    five = [structs.replace(item, replaced_s=4.9) for item in ENGINES[:5]]
    assert len(next_orders(five, {"m": 2}, {}, 0.0, 10.0)) == 2
    recent = [structs.replace(item, replaced_s=0.1) for item in five]
    assert len(next_orders(recent, {"m": 2}, {}, 0.0, 10.0)) == 1
    mixed = [structs.replace(five[0], replaced_s=7.0), *recent[1:]]
    assert [order.engine for order in next_orders(mixed, {"m": 2}, {}, 0.0, 10.0)] == ["e0"]


@given(st.lists(st.floats(0, 20), min_size=1, max_size=40), st.floats(5, 20))
def test_loads_begun_as_ordered_are_done_in_time_where_they_can_be(ages, within_s):
    engines = [EngineState(str(n), "m", 1, sequence=0, replaced_s=age) for n, age in enumerate(ages)]
    at_once = len(next_orders(engines, {"m": 2}, {}, 0.0, within_s))
    for loads, age in enumerate(sorted(ages, reverse=True), start=1):
        if within_s * DEADLINE_SHARE - age >= LOAD_DURATION_S:
            assert loads * LOAD_DURATION_S / at_once <= within_s * DEADLINE_SHARE - age + 1e-6
        else:
            assert at_once >= loads
