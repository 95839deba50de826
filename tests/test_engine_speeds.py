"""Learned speeds of engines: which samples count, when a factor is used, and when it is discarded."""

import asyncio
from dataclasses import replace
from math import inf, nan
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import structs

from stairquay.core.cold import ColdLimit
from stairquay.core.engine_speed import (
    HALF_LIFE_S,
    MAX_FACTOR,
    MIN_FACTOR,
    MIN_SAMPLES,
    PRIOR,
    SAMPLE_SPACING_S,
    SAMPLE_TTL_S,
    PrefillPrediction,
    SpeedSamples,
    learn_speeds,
    prefill_ratio,
    step_ratio,
)
from stairquay.core.fleet import Endpoint
from stairquay.core.placement import EngineView, rank_placements
from stairquay.core.routers import Member
from stairquay.explain import Logs, explain_request
from stairquay.serving.event_log import LogEvent
from stairquay.serving.local_router import PLACEMENT_TTL_S, LocalRouter
from stairquay.serving.messages import EndedAttempt, FinishedNotice, PlaceRequest, PromptPart, SpeedSample
from stairquay.serving.notices import MAX_QUEUED_SAMPLES, NoticeSender
from stairquay.serving.ports import EngineReport
from stairquay.serving.state import BoxState
from tests.loads.simulated_engines import virtual_time
from tests.site import eventually, site
from tests.states import box_state
from tests.test_choosing import CATALOG, RANDOM, router_state

TOKENS = 3_000
"""Tokens of a prompt that takes long enough to read."""

ENGINES = 6


def samples_of(ratios: list[float], start: float = 0.0) -> SpeedSamples:
    samples = SpeedSamples()
    for index, ratio in enumerate(ratios):
        samples.prefill.add(ratio, start + index * SAMPLE_SPACING_S)
    return samples


def peers(count: int = 4, samples: int = MIN_SAMPLES) -> dict[str, SpeedSamples]:
    return {f"peer-{number}": samples_of([1.0] * samples) for number in range(count)}


def factor_beside_peers(ratios: list[float], now: float) -> float:
    return learn_speeds(peers() | {"e": samples_of(ratios)}, now)["e"].prefill_factor


NOW = (MIN_SAMPLES - 1) * SAMPLE_SPACING_S


def test_a_factor_is_used_from_eight_samples_that_differ_enough():
    assert factor_beside_peers([1.3] * MIN_SAMPLES, NOW) == pytest.approx(1.3)
    assert factor_beside_peers([0.7] * MIN_SAMPLES, NOW) == pytest.approx(0.7)
    assert factor_beside_peers([1.3] * (MIN_SAMPLES - 1), NOW) == 1.0
    assert factor_beside_peers([1.1] * MIN_SAMPLES, NOW) == 1.0


def test_three_samples_in_a_row_from_a_slow_moment_change_nothing():
    assert factor_beside_peers([1.0] * 5 + [2.5] * 3, NOW) == 1.0


def test_a_factor_decays_by_half_in_ten_seconds_and_is_dropped_with_its_samples():
    """Guards against an engine that is avoided for ever, as it gets no prompts by which to learn better."""
    ratios = [2.0] * MIN_SAMPLES
    assert factor_beside_peers(ratios, NOW + HALF_LIFE_S) == pytest.approx(1.5)
    assert factor_beside_peers(ratios, NOW + 3 * HALF_LIFE_S) == 1.0
    assert factor_beside_peers(ratios, NOW + SAMPLE_TTL_S + 0.1) == 1.0


def test_without_peers_there_is_nothing_to_compare_with():
    alone = {"e": samples_of([3.0] * MIN_SAMPLES), "f": samples_of([1.0] * MIN_SAMPLES)}
    assert {speed.prefill_factor for speed in learn_speeds(alone, NOW).values()} == {1.0}


@given(
    st.lists(st.lists(st.floats(allow_nan=True, allow_infinity=True), max_size=30), min_size=1, max_size=8)
)
def test_factors_stay_within_bounds_whatever_durations_are_sent(durations):
    """Guards against wrong samples: clocks that jump, or garbage."""
    samples = {}
    for number, of_engine in enumerate(durations):
        samples[f"e-{number}"] = found = SpeedSamples()
        for index, duration_s in enumerate(of_engine):
            prefill = prefill_ratio(duration_s, PrefillPrediction(0.03, 0.0))
            step = step_ratio(duration_s, 20, 0.0)
            for window, ratio in ((found.prefill, prefill), (found.step, step)):
                if ratio is not None:
                    window.add(ratio, index * SAMPLE_SPACING_S)
    for speed in learn_speeds(samples, 30 * SAMPLE_SPACING_S).values():
        assert MIN_FACTOR <= speed.prefill_factor <= MAX_FACTOR
        assert MIN_FACTOR <= speed.step_factor <= MAX_FACTOR


def test_prompts_whose_duration_depends_on_something_else_yield_no_sample():
    """Guards against queues, links and connection set-up that are taken for a slow engine."""
    assert prefill_ratio(0.045, PrefillPrediction(0.03, 0.0)) == pytest.approx(1.5)
    assert prefill_ratio(0.045, PrefillPrediction(0.03, 0.006)) == pytest.approx(1.3)
    assert prefill_ratio(0.045, PrefillPrediction(0.03, 0.02)) is None
    assert prefill_ratio(0.045, PrefillPrediction(0.03, 0.0, fetched=500)) is None
    assert prefill_ratio(0.045, PrefillPrediction(0.005, 0.0)) is None
    assert [prefill_ratio(value, PrefillPrediction(0.03, 0.0)) for value in (nan, inf, -1.0, 0.0)] == [
        None
    ] * 4
    assert step_ratio(0.1, 3, 0.0) is None and step_ratio(nan, 20, 0.0) is None


def test_a_prefill_in_between_makes_no_step_longer():
    assert step_ratio(0.16, 21, 0.08) == pytest.approx(step_ratio(0.08, 21, 0.0))


def test_a_slow_engine_is_predicted_to_take_longer_for_its_queue_and_the_prompt():
    def first_token_s(**fields: Any) -> float:
        engine = EngineView("e", "e:1", (0,), waiting_tokens=11_200.0, running=2, slots=2, **fields)
        return rank_placements((), 11_200, [engine], lambda index, address: None, 1)[0].first_token_s

    usual_s = first_token_s()
    assert first_token_s(prefill_factor=2.0) > usual_s + 0.19
    assert first_token_s(step_factor=2.0) > usual_s + 1.0
    assert first_token_s(prefill_factor=1.0, step_factor=1.0) == usual_s


class Driven:
    """A router of six engines that places one prompt after another, on virtual time."""

    def __init__(self) -> None:
        self.now = 500.0
        self.state = router_state(ENGINES)
        for endpoint in self.state.fleet.by_id.values():
            self.state.apply_report(endpoint, EngineReport(total_tokens=100_000), self.now)
        self.router = LocalRouter(self.state, RANDOM)
        self.number = 0
        self.lines: list[dict[str, Any]] = []
        self.state.log.line = self._record  # type: ignore[method-assign]

    def _record(self, kind: LogEvent, request: str = "", **fields: Any) -> None:
        if kind == LogEvent.ENGINE_SPEED:
            self.lines.append(fields)

    def run_prompts(self, slow: str, count: int = MIN_SAMPLES + 2) -> None:
        """Run prompts on every engine, one of which takes twice as long, and update the speeds."""
        for _ in range(count):
            self.now += SAMPLE_SPACING_S
            for engine in self.state.fleet.by_id:
                self._run_prompt(engine, 2.0 if engine == slow else 1.0)
            self.router.speeds.update(self.now)

    def _run_prompt(self, engine: str, factor: float) -> None:
        self.number += 1
        ticket = f"t{self.number}"
        others = tuple(name for name in self.state.fleet.by_id if name != engine)
        parts = (PromptPart(f"own-{self.number}", TOKENS),)
        reply = self.router.place(PlaceRequest(ticket, "b-2", "llm", "m", parts, TOKENS, 20, "", others))
        assert reply.endpoint == engine
        expected = self.router.speeds.expected_by_ticket.get(ticket)
        first_token_s = 0.03 if expected is None else expected.predicted.prefill_s * factor
        notice = FinishedNotice((EndedAttempt(ticket),), speeds=(SpeedSample(ticket, first_token_s, 0.0, 1),))
        deliver(self.router, notice)
        self.state.endpoints_by_id[engine].prefill_until = self.now

    def factor(self, engine: str) -> float:
        return self.state.endpoints_by_id[engine].speed.prefill_factor


def deliver(router: LocalRouter, notice: FinishedNotice) -> None:
    """Let a router handle a notice, as it arrives over a link."""
    decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(notice), type=FinishedNotice)
    with pytest.raises(StopIteration):
        router._on_finished(decoded).send(None)


@pytest.fixture
def driven():
    """Return a driven router, whose clock is in force for the test."""
    holder: list[Driven] = []
    with virtual_time(lambda: holder[0].now if holder else 500.0):
        holder.append(Driven())
        yield holder[0]


def metric(state: BoxState, engine: str) -> float | None:
    labels = {"endpoint": engine, "of": "prefill"}
    return state.metrics.registry.get_sample_value("stairquay_engine_speed_factor", labels)


def test_a_router_learns_from_notices_and_tells_when_a_factor_comes_into_use(driven):
    driven.run_prompts(slow="e-1")
    assert driven.factor("e-1") == pytest.approx(2.0, rel=0.05)
    assert {driven.factor(f"e-{n}") for n in range(ENGINES) if n != 1} == {1.0}
    assert [(line["endpoint"], line["of"], line["outcome"]) for line in driven.lines] == [
        ("e-1", "prefill", "in_use")
    ]
    assert metric(driven.state, "e-1") == pytest.approx(2.0, rel=0.05) and metric(driven.state, "e-2") is None


def test_without_samples_the_prior_applies_again(driven):
    """Guards against a factor that stays after its engine gets no prompts any more."""
    driven.run_prompts(slow="e-1")
    driven.now += SAMPLE_TTL_S + 1.0
    driven.router.speeds.update(driven.now)
    assert driven.factor("e-1") == 1.0 and metric(driven.state, "e-1") is None
    assert driven.lines[-1]["outcome"] == "ended"


def test_a_restarted_engine_has_the_prior_and_samples_of_its_former_incarnation_do_not_count(driven):
    """Guards against a replaced machine that is avoided for the slowness of the one before."""
    endpoint = driven.state.fleet.by_id["e-1"]
    driven.state.apply_report(endpoint, EngineReport(born=1, total_tokens=100_000), driven.now)
    driven.run_prompts(slow="e-1")
    assert driven.factor("e-1") > 1.5
    ticket = "before"
    others = tuple(name for name in driven.state.fleet.by_id if name != "e-1")
    request = PlaceRequest(ticket, "b-2", "llm", "m", (PromptPart("x", TOKENS),), TOKENS, 20, "", others)
    assert driven.router.place(request).endpoint == "e-1"
    driven.state.apply_report(endpoint, EngineReport(born=2, total_tokens=100_000), driven.now)
    assert driven.state.endpoints_by_id["e-1"].speed == PRIOR
    deliver(
        driven.router, FinishedNotice((EndedAttempt(ticket),), speeds=(SpeedSample(ticket, 0.2, 0.0, 1),))
    )
    assert not driven.state.endpoints_by_id["e-1"].speed_samples.prefill.samples
    driven.now += 1.0
    driven.router.speeds.update(driven.now)
    assert driven.factor("e-1") == 1.0 and driven.lines[-1]["outcome"] == "ended"


def test_a_router_that_takes_over_starts_from_the_prior_and_learns_within_seconds(driven):
    """Guards against speeds that a former router knew and that are wrong by now."""
    driven.run_prompts(slow="e-1")
    routed = driven.state.routed_engines
    driven.state.routed_engines = frozenset()
    driven.router.speeds.update(driven.now)
    assert driven.state.endpoints_by_id["e-1"].speed is PRIOR and metric(driven.state, "e-1") is None
    driven.state.routed_engines = routed
    started_at = driven.now
    driven.run_prompts(slow="e-2")
    assert driven.factor("e-1") == 1.0 and driven.factor("e-2") > 1.5 and driven.now - started_at < 3.0


def test_prompts_on_a_cold_engine_yield_no_sample(driven):
    """Guards against the slowness of a start that is taken for the engine's own, and lasts beyond it."""
    service = structs.replace(CATALOG.services_by_id["llm"], cold=ColdLimit(1_000.0, 2.0))
    driven.state.catalog = replace(CATALOG, services_by_id={"llm": service})
    driven.state.endpoints_by_id["e-1"].cold_until = driven.now + 60.0
    driven.run_prompts(slow="e-1")
    assert not driven.state.endpoints_by_id["e-1"].speed_samples.prefill.samples
    assert driven.state.endpoints_by_id["e-2"].speed_samples.prefill.samples


def test_a_prompt_whose_end_nobody_reports_leaves_no_trace_after_a_while(driven):
    """Guards against a box that dies, whose prompts would fill an engine's memory for ever."""
    request = PlaceRequest("lost", "b-2", "llm", "m", (PromptPart("x", TOKENS),), TOKENS, 20, "", ())
    endpoint_state = driven.state.endpoints_by_id[driven.router.place(request).endpoint]
    assert endpoint_state.memory.peak_tokens == TOKENS + 20 and driven.router.speeds.expected_by_ticket
    driven.now += PLACEMENT_TTL_S + 0.1
    driven.router._expire(driven.now)
    assert endpoint_state.memory.peak_tokens == 0 and not endpoint_state.memory.runs_by_part
    assert not driven.router.speeds.expected_by_ticket


def test_a_notice_of_a_box_that_sends_no_samples_is_understood(driven):
    """Guards against boxes of the version before, whose notices have three fields."""
    encoded = msgspec.msgpack.encode([[["t1"]], ["t2"], []])
    assert msgspec.msgpack.decode(encoded, type=FinishedNotice).speeds == ()
    newer = msgspec.msgpack.encode(FinishedNotice((), speeds=(SpeedSample("t1", 0.1, 0.2, 3),)))
    assert msgspec.msgpack.decode(newer)[:3] == [[], [], []]


def test_an_unlisted_engine_leaves_no_metric(driven):
    driven.run_prompts(slow="e-1")
    driven.state.fleet.apply([Endpoint("e-9", "llm", "10.0.1.9:1")], ["e-1"], driven.now)
    driven.state.fleet.by_id.pop("e-1")
    driven.now += 1.0
    driven.router.speeds.update(driven.now)
    assert metric(driven.state, "e-1") is None and driven.lines[-1]["outcome"] == "ended"


def test_samples_go_to_the_engines_router_with_the_end_of_their_attempt_and_no_more_than_fit():
    """Guards against a router that learns nothing, or against a queue that grows while it does not answer."""
    state = box_state()
    router = Member("b-9", "10.0.0.9:1")
    state.routers = (router,)
    sent: list[FinishedNotice] = []

    class Links:
        def client_for(self, _: Member) -> "Links":
            return self

        async def finished(self, notice: FinishedNotice, _: float) -> None:
            sent.append(notice)

        def record_answer(self, *_: Any) -> str:
            return "answered"

    async def scenario() -> None:
        notices = NoticeSender(state, Links(), LocalRouter(state, RANDOM))  # type: ignore[arg-type]
        for number in range(MAX_QUEUED_SAMPLES + 50):
            notices.add_sample(router, SpeedSample(f"t{number}", 0.1))
        notices.add_ended(router, EndedAttempt("t0"))
        notices._send_all()
        await asyncio.gather(*notices.sending_by_router.values())

    asyncio.run(scenario())
    assert [len(notice.speeds) for notice in sent] == [MAX_QUEUED_SAMPLES]
    assert sent[0].speeds[0].ticket == sent[0].ended[0].ticket == "t0"


def test_a_box_logs_how_long_the_first_token_took_and_explains_it():
    """Guards against predictions that nobody can compare with what came, attempt by attempt."""

    async def scenario() -> None:
        async with site(plain=0, engines=2) as here:
            answer = await here.prompt("/again/chat", call_id="compared")
            assert answer.status == 200
            await eventually(lambda: here.logged("ended", request="compared"))
            ended = here.logged("ended", request="compared")[0]
            assert 0 < ended["first_token_took_s"] <= ended["first_s"]
            explanation = explain_request(Logs(here.log_lines), "compared")
            compared = [line for line in explanation if line.startswith("= attempt 1 at e-")]
            assert len(compared) == 1 and "actual unknown" not in compared[0]

    asyncio.run(scenario())
