"""Decisions of an overloaded box: levels, limit, order of refusals, Retry-After, readiness, other routers."""

import asyncio
from dataclasses import dataclass, field
from itertools import pairwise
from random import Random
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from stairquay.adapters.clock import monotonic
from stairquay.core.fleet import Endpoint
from stairquay.core.overload import (
    LASTING_AFTER_S,
    LASTING_RETRY_AFTER_S,
    MIN_LIMIT,
    MIN_RETRY_AFTER_S,
    BoxLoad,
    LoadLevel,
    shortest_objective_s,
)
from stairquay.core.readiness import JITTER_S, MAX_UNREADY_S, MIN_READY_S, UNREADY_AFTER_S, Readiness
from stairquay.core.routers import Member
from stairquay.serving.endpoint_choice import Choice
from stairquay.serving.endpoint_chooser import Chooser
from stairquay.serving.event_log import LogEvent
from stairquay.serving.following import apply_endpoints
from stairquay.serving.jobs import JobProgress
from stairquay.serving.local_router import LocalRouter
from stairquay.serving.messages import FinishedNotice, NoticeReply, PlaceReply, PlaceRequest
from stairquay.serving.overload import measure_lateness, order_by_lateness, record_router_lateness
from stairquay.serving.ports import EndpointChanges, EngineReport
from stairquay.serving.saving import save_targets
from stairquay.serving.state import BoxState
from stairquay.serving.watching import EndpointWatcher
from tests.states import box_state

OBJECTIVE_S = 0.4
BUSY_S, OVERLOADED_S = 0.1 * OBJECTIVE_S, 0.25 * OBJECTIVE_S
TICK_S = 0.1


def observe(load: BoxLoad, ticks: list[float], now: float = 100.0) -> float:
    """Let a timer tick with these latenesses; return the time after the last tick."""
    for late_s in ticks:
        now += TICK_S + late_s
        load.observe(now, late_s, OBJECTIVE_S)
    return now


@given(st.lists(st.floats(0, 0.9 * BUSY_S), max_size=60), st.integers(0, 60), st.floats(0, 60))
def test_a_box_that_is_never_late_or_late_once_is_served_as_without_protection(ticks, position, freeze_s):
    """Guards against refusals, and dropped work, on a box that bears its load, after one freeze included."""
    load = BoxLoad()
    ticks.insert(min(position, len(ticks)), freeze_s)
    for _ in range(1_000):
        load.started(9)
    now = observe(load, ticks)
    assert load.level == LoadLevel.NORMAL and not load.is_busy and load.reported_late_s == 0
    assert load.admits(9) and load.ready(now)


@pytest.mark.parametrize(
    ("late_s", "level"),
    ((0.9 * BUSY_S, 0), (1.1 * BUSY_S, 1), (0.9 * OVERLOADED_S, 1), (1.1 * OVERLOADED_S, 2), (5.0, 2)),
)
def test_two_late_ticks_make_a_level(late_s, level):
    """Guards against a loop so late that a window of a second only ever holds one tick."""
    load = BoxLoad()
    observe(load, [0.0, late_s, late_s])
    assert load.level == level


def test_a_level_ends_a_second_after_the_last_late_tick_but_not_just_below_its_threshold():
    """Guards against a level that changes with each tick."""
    load = BoxLoad()
    now = observe(load, [1.1 * BUSY_S, 1.1 * BUSY_S])
    now = observe(load, [0.8 * BUSY_S] * 30, now)
    assert load.level == LoadLevel.BUSY
    now = observe(load, [0.0] * 8, now)
    assert load.level == LoadLevel.BUSY
    observe(load, [0.0] * 4, now)
    assert load.level == LoadLevel.NORMAL


def make_overloaded(priorities: list[int]) -> tuple[BoxLoad, float]:
    load = BoxLoad()
    for priority in priorities:
        load.started(priority)
    now = observe(load, [0.0, 2 * OVERLOADED_S, 2 * OVERLOADED_S])
    assert load.level == LoadLevel.OVERLOADED
    return load, now


def test_the_least_urgent_are_refused_first():
    """Guards against a burst of less urgent requests that keeps out urgent ones."""
    load, _ = make_overloaded([2] * 40 + [0] * 5)
    assert load.admits(0) and load.admits(1) and not load.admits(2)
    load, _ = make_overloaded([0] * 40)
    assert not load.admits(0) and not load.admits(2)


def test_a_late_box_with_few_requests_refuses_none():
    """Guards against refusals where something else takes the CPU time."""
    load, now = make_overloaded([1] * (int(MIN_LIMIT) - 1))
    observe(load, [1.0] * 20, now)
    assert load.admits(9)


def test_an_overload_ends_when_nothing_is_refused_any_more():
    load, now = make_overloaded([1] * 40)
    for _ in range(20):
        load.refuse(1, OBJECTIVE_S, now)
        now = observe(load, [0.0], now)
    assert load.level == LoadLevel.OVERLOADED
    observe(load, [0.0] * 25, now)
    assert load.level == LoadLevel.NORMAL and load.admits(9)


def test_refused_callers_come_back_in_order_and_urgent_ones_first_within_half_their_objective():
    """Guards against callers that come back all at once, and after their objectives."""
    load, now = make_overloaded([1] * 40)
    for _ in range(10):
        load.finished(1)
    now = observe(load, [0.0] * 3, now)
    assert load.limit.finished_per_s > 1
    waits_s = [load.refuse(2, 10.0, now) for _ in range(20)]
    assert waits_s == sorted(waits_s) and len(set(waits_s)) == 20
    assert load.refuse(0, 10.0, now) < waits_s[1]
    assert load.refuse(2, OBJECTIVE_S, now) == pytest.approx(MIN_RETRY_AFTER_S + 0.4 * OBJECTIVE_S)


def test_those_that_are_mostly_refused_in_a_lasting_overload_come_back_late():
    """Guards against callers whose retries are refused as well, and against others that wait for nothing."""
    load, now = make_overloaded([2] * 40)
    for _ in range(40):
        for _ in range(5):
            load.refuse(2, OBJECTIVE_S, now)
            load.started(0)
            load.finished(0)
        assert load.refuse(2, OBJECTIVE_S, now) < 1 or now - 100 > LASTING_AFTER_S
        now = observe(load, [0.0], now)
    assert load.refuse(2, OBJECTIVE_S, now) >= LASTING_RETRY_AFTER_S
    assert load.refuse(0, OBJECTIVE_S, now) < 1


def unready_spans(readiness: Readiness, overloaded: list[bool]) -> list[tuple[float, float]]:
    spans, began, now = [], None, 0.0
    for value in [*overloaded, *[False] * 2]:
        now += TICK_S
        readiness.observe(value, now)
        if not readiness.ready(now) and began is None:
            began = now
        if readiness.ready(now) and began is not None:
            spans.append((began, now))
            began = None
    return spans


@given(st.floats(0, 1), st.integers(1, 400))
def test_a_box_is_unready_for_two_seconds_at_most_and_ready_for_longer(jitter, ticks):
    """Guards against boxes that all stay unready while all are overloaded."""
    spans = unready_spans(Readiness(jitter), [True] * ticks)
    if ticks * TICK_S < UNREADY_AFTER_S:
        assert not spans
    if ticks * TICK_S > UNREADY_AFTER_S + JITTER_S + 2 * TICK_S:
        assert spans
    assert all(end - start <= MAX_UNREADY_S + TICK_S + 1e-6 for start, end in spans)
    assert all(after[0] - before[1] >= MIN_READY_S - 1e-6 for before, after in pairwise(spans))


def test_a_box_whose_timer_stops_becomes_ready_again():
    """Guards against a hung timer that leaves a box unready."""
    readiness = Readiness()
    for tick in range(15):
        readiness.observe(True, tick * TICK_S)
    assert not readiness.ready(1.5) and readiness.ready(1.5 + MAX_UNREADY_S)


def test_the_shortest_objective_counts_and_none_is_no_objective():
    assert shortest_objective_s([1.2, 0.4, 0.0]) == 0.4
    assert shortest_objective_s([]) == 1.0


def test_a_router_that_is_late_is_asked_last_for_a_second(monkeypatch):
    """Guards against prompts that wait for a late router, and against one that is passed over for good."""
    now = 100.0
    monkeypatch.setattr("stairquay.serving.overload.monotonic", lambda: now)
    state = box_state("b-1")
    routers = [Member("b-1"), Member("r-1"), Member("r-2")]
    record_router_lateness(state, "r-1", 0.0)
    assert order_by_lateness(state, routers) is routers
    record_router_lateness(state, "r-1", 0.2)
    record_router_lateness(state, "b-1", 0.2)
    assert [router.id for router in order_by_lateness(state, routers)] == ["b-1", "r-2", "r-1"]
    now += 1.01
    assert order_by_lateness(state, routers) == routers


def test_replies_of_an_earlier_release_tell_no_lateness_and_those_of_this_one_can_be_read_by_it():
    """Guards against boxes of two releases that do not understand each other."""

    class Empty(msgspec.Struct, frozen=True, array_like=True):
        pass

    assert msgspec.msgpack.decode(msgspec.msgpack.encode(Empty()), type=NoticeReply) == NoticeReply()
    msgspec.msgpack.decode(msgspec.msgpack.encode(NoticeReply(0.3)), type=Empty)
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(PlaceReply("e")))
    assert msgspec.convert(fields[:-1], PlaceReply) == PlaceReply("e")


def block_loop(seconds: float) -> None:
    import time

    time.sleep(seconds)


def test_the_timer_measures_a_blocked_loop_and_rests_on_an_idle_box():
    """Guards against a lateness that is not noticed, and against timers that wake an idle box."""

    async def scenario() -> None:
        state = box_state()
        task = asyncio.create_task(measure_lateness(state))
        state.in_flight = 1
        await asyncio.sleep(0.15)
        for _ in range(6):
            block_loop(0.5)
            await asyncio.sleep(0.01)
        assert state.load.level == LoadLevel.OVERLOADED
        assert [line for line in state.log.lines if b'"kind":"load"' in line]
        state.in_flight = 0
        await asyncio.sleep(3.5)
        assert state.load.level == LoadLevel.NORMAL
        observed = ticks_of(state)
        await asyncio.sleep(0.5)
        assert ticks_of(state) == observed
        state.in_flight = 1
        state.load_wakeup.notify_all()
        await asyncio.sleep(0.35)
        assert ticks_of(state) > observed
        task.cancel()

    asyncio.run(scenario())


def ticks_of(state: BoxState) -> float:
    return sum(
        sample.value
        for metric in state.metrics.loop_lateness.collect()
        for sample in metric.samples
        if sample.name.endswith("_count")
    )


def test_lines_that_a_busy_box_leaves_out_are_counted():
    state = box_state()
    for _ in range(3):
        state.log.leave_out(LogEvent.SENT)
    assert state.log.dropped_total == 3 and state.log.dropped_by_kind[LogEvent.SENT] == 3


def test_the_limit_never_falls_below_its_minimum_whatever_comes():
    random = Random(1)
    load, now = make_overloaded([1] * 40)
    for _ in range(500):
        now = observe(load, [random.choice((0.0, 0.05, 0.5, 3.0))], now)
        assert load.limit.limit >= MIN_LIMIT


ENGINE = Endpoint("e", "llm", "10.0.1.1:1", "hall-a", 8)


def test_a_report_counts_from_when_it_was_requested():
    """Guards against a late box that takes what it sent since for part of the report's figures."""
    state = box_state()
    endpoint_state = state.endpoint_state(ENGINE)
    endpoint_state.on_sent(5_000, 100.5)
    state.apply_report(ENGINE, EngineReport(used_tokens=1_000, cold_s=2.0), 101.0, asked_at=100.0)
    assert endpoint_state.reported_at == 100.0
    assert endpoint_state.used_tokens(101.0) == 6_000
    assert endpoint_state.cold_until == 103.0, "a cold phase must not end too early"


def test_a_report_that_was_requested_before_the_last_one_is_ignored():
    """Guards against an older report that was handled later, as two parts of a box request them."""
    state = box_state()
    state.apply_report(ENGINE, EngineReport(running=2), 101.0, asked_at=100.9)
    state.apply_report(ENGINE, EngineReport(running=7), 101.1, asked_at=100.0)
    endpoint_state = state.endpoint_state(ENGINE)
    assert endpoint_state.report.running == 2 and endpoint_state.reported_at == 100.9


class SlowPeers:
    """Engines whose answers are handled late."""

    def __init__(self) -> None:
        self.asked = 0

    async def report(self, address: str) -> EngineReport:
        self.asked += 1
        await asyncio.sleep(0.3)
        return EngineReport(running=1)


def test_a_late_box_knows_that_its_reports_are_old():
    async def scenario() -> None:
        state = box_state()
        apply_endpoints(state, EndpointChanges(1, True, (ENGINE,)), 0.0)
        peers = SlowPeers()
        task = asyncio.create_task(EndpointWatcher(state, peers)._watch_report("e", ENGINE.address))
        began = monotonic()
        while state.endpoint_state(ENGINE).report is None:
            await asyncio.sleep(0.01)
        assert state.endpoint_state(ENGINE).reported_at - began < 0.1 < 0.3 <= monotonic() - began
        task.cancel()

    asyncio.run(scenario())


def test_a_busy_box_saves_no_parts():
    state = box_state()
    state.load.level = LoadLevel.BUSY
    assert save_targets(state, None, None, None) == ()


@dataclass
class AskedRouters:
    """Routers that each offer an engine with a backlog, and which of them were asked."""

    backlog_s: float
    asked: list[str] = field(default_factory=list)

    async def place(self, router, request, prompt, progress) -> Choice:
        self.asked.append(router.id)
        return Choice(ENGINE, backlog_s=self.backlog_s, router="")


def routers_asked(state: BoxState, monkeypatch: pytest.MonkeyPatch) -> list[str]:
    routers = [Member(f"r-{number}", "a:1", 1.0, "hall-a") for number in range(3)]
    monkeypatch.setattr(BoxState, "placing_routers", lambda _: routers)
    chooser = Chooser(state, None, None, None, Random(1))
    replies = AskedRouters(backlog_s=5.0)
    monkeypatch.setattr(chooser, "_place", replies.place)
    job = SimpleNamespace(route=SimpleNamespace(objective_s=OBJECTIVE_S))
    asyncio.run(chooser._ask_routers(job, None, None, JobProgress(), ""))
    return replies.asked


def test_a_busy_box_asks_one_router_and_others_ask_a_second_one_for_a_shorter_backlog(monkeypatch):
    state = box_state()
    both = routers_asked(state, monkeypatch)
    assert len(both) == 2
    state.load.level = LoadLevel.BUSY
    assert routers_asked(state, monkeypatch) == both[:1]
    state.load.level = LoadLevel.NORMAL
    record_router_lateness(state, both[0], 0.3)
    assert routers_asked(state, monkeypatch)[0] != both[0]


def test_a_busy_router_tells_its_lateness_and_one_that_is_not_late_tells_none():
    async def scenario() -> None:
        state = box_state()
        router = LocalRouter(state, Random(1))
        assert (await router._on_finished(FinishedNotice(()))).late_s == 0
        state.load.level, state.load.lateness.late_s = LoadLevel.BUSY, 0.07
        assert (await router._on_finished(FinishedNotice(()))).late_s == 0.07
        request = PlaceRequest("t", "b-2", "s", "m", (), 1, 1, "", ())
        assert (await router._on_place(request)).late_s == 0.07

    asyncio.run(scenario())
