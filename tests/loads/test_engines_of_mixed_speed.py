"""Patterns: engines of different speeds, or slow now and then; memory that runs short; a hot part.

Figures: the deployment of consular bookings (docs/design/hard-load.md) on 12 engines, its prompts from 24
workspaces with half of the load in three of them. A load of 100 is 501 prompts a second, at which engines
work for 10.4 of 12 seconds.
"""

from collections import Counter
from math import inf, nan
from random import Random
from statistics import mean

import pytest

from stairquay.core import placement
from stairquay.core.engine_speed import MAX_FACTOR, MIN_FACTOR
from stairquay.serving import endpoint_choice
from stairquay.serving.messages import SpeedSample
from tests.loads.simulated_engines import (
    START,
    EngineKind,
    Outcome,
    Simulation,
    Slowdown,
    Traffic,
)

ENGINES = 12
SLOW_FACTOR = 1.3
VERY_SLOW_FACTOR = 2.0
BURST_FACTOR, BURST_S, BURST_SHARE = 2.5, 0.6, 0.15
SEEDS = (1, 2, 3)
LIGHT_LOAD, MEDIUM_LOAD, HEAVY_LOAD = 30, 60, 100
SMALL_MEMORY_TOKENS = 40_000


def workspace(random: Random) -> int:
    return random.randrange(3 if random.random() < 0.5 else 24)


def consular(load: float) -> list[Traffic]:
    return [
        Traffic("reviews", 1.26 * load, 9_122, 2_870, 38, 1.245, workspace),
        Traffic("chats", 1.21 * load, 650, 177, 29, 0.419, workspace),
        Traffic("checks", 2.54 * load, 1_861, 507, 2, 0.422, workspace),
    ]


def constant(factor: float) -> Slowdown:
    return lambda now: factor


def third_slow(factor: float) -> list[Slowdown]:
    return [constant(factor if number % 3 == 0 else 1.0) for number in range(ENGINES)]


def bursts(seed: int) -> Slowdown:
    """An engine that is slow for 600 ms in 15% of the time."""
    period_s = BURST_S / BURST_SHARE
    offset_s = Random(seed).random() * period_s
    return lambda now: BURST_FACTOR if (now + offset_s) % period_s < BURST_S else 1.0


def play(
    slowdowns: list[Slowdown], load: float, seed: int, learning: bool, duration_s: float = 12.0, **options
) -> Outcome:
    kinds = [(EngineKind(), slowdown) for slowdown in slowdowns]
    return Simulation(kinds, seed, learning, **options).play(consular(load), duration_s, settle_s=6.0)


def factors(outcome: Outcome) -> dict[str, float]:
    """Return the prefill factors in use at the end, by engine."""
    states = outcome.state.endpoints_by_id
    return {
        name: item.speed.prefill_factor for name, item in states.items() if item.speed.prefill_factor != 1.0
    }


def slow_engines() -> set[str]:
    return {f"e-{number}" for number in range(ENGINES) if number % 3 == 0}


@pytest.mark.parametrize("load", (LIGHT_LOAD, HEAVY_LOAD))
def test_a_third_of_engines_that_are_slow_is_known_within_seconds(load):
    """Guards against a prior for engines that take longer for everything, which get prompts as if equal."""
    learned = factors(play(third_slow(SLOW_FACTOR), load, 1, learning=True))
    assert set(learned) == slow_engines()
    assert all(1.15 < factor < 1.5 for factor in learned.values())


@pytest.mark.parametrize("factor, most", ((SLOW_FACTOR, 1.0), (VERY_SLOW_FACTOR, 0.8)))
def test_callers_wait_less_where_speeds_are_learned(factor, most):
    """Guards against learned speeds that make placements worse than none.

    most: the 99th percentile of the time to the first token, over that without learning.
    """

    def p99_s(learning: bool) -> float:
        outcomes = [play(third_slow(factor), MEDIUM_LOAD, seed, learning) for seed in SEEDS]
        assert min(outcome.share_in_time() for outcome in outcomes) > 0.99
        return mean(outcome.first_token_s(0.99) for outcome in outcomes)

    assert p99_s(learning=True) < most * p99_s(learning=False)


@pytest.mark.parametrize("load, seed", ((LIGHT_LOAD, 2), (HEAVY_LOAD, 3)))
def test_engines_of_one_speed_get_the_prompts_that_they_get_without_learning(load, seed):
    """Guards against noise that is taken for a difference. These engines prefill faster than the prior."""
    slowdowns = [constant(1.0)] * ENGINES
    assert play(slowdowns, load, seed, True).placed == play(slowdowns, load, seed, False).placed


def test_engines_that_are_all_slower_than_assumed_get_the_prompts_that_they_get_without_learning():
    """Guards against a factor for all engines, which changes what is fetched instead of prefilled."""
    slowdowns = [constant(VERY_SLOW_FACTOR)] * ENGINES
    with_learning = play(slowdowns, LIGHT_LOAD, 1, True)
    assert with_learning.placed == play(slowdowns, LIGHT_LOAD, 1, False).placed
    assert not factors(with_learning)


@pytest.mark.parametrize("load", (LIGHT_LOAD, HEAVY_LOAD))
def test_engines_that_are_slow_for_a_moment_now_and_then_keep_the_prior(load):
    """Guards against estimates that follow such a moment, and come when it has passed."""
    slowdowns = [bursts(number) for number in range(ENGINES)]
    with_learning = play(slowdowns, load, 3, True)
    assert with_learning.placed == play(slowdowns, load, 3, False).placed
    assert not factors(with_learning)


def test_an_engine_that_was_frozen_keeps_the_prior():
    """Guards against a freeze that shifts an estimate: steps of 2 s within one second."""

    def frozen(now: float) -> float:
        return 300.0 if START + 7.0 <= now < START + 8.0 else 1.0

    slowdowns = [frozen, *[constant(1.0)] * (ENGINES - 1)]
    assert not factors(play(slowdowns, LIGHT_LOAD, 1, True, 14.0))


WRONG_DURATIONS = (nan, inf, -inf, -1.0, 0.0, 1e-9, 1e9)


def test_some_wrong_samples_change_no_placement():
    """Guards against boxes whose clocks jump, or that send garbage in one of ten samples."""
    random = Random(1)

    def corrupt(sample: SpeedSample) -> SpeedSample:
        if random.random() > 0.1:
            return sample
        first_token_s, stream_s = random.choice(WRONG_DURATIONS), random.choice(WRONG_DURATIONS)
        return SpeedSample(sample.ticket, first_token_s, stream_s, sample.events)

    slowdowns = [constant(1.0)] * ENGINES
    outcome = play(slowdowns, LIGHT_LOAD, 2, True, corrupt=corrupt)
    assert outcome.placed == play(slowdowns, LIGHT_LOAD, 2, False).placed


def test_samples_that_are_all_wrong_stay_within_bounds_and_callers_are_served():
    """Guards against an engine that wrong samples make unusable, or attractive beyond what it bears."""
    random = Random(1)

    def corrupt(sample: SpeedSample) -> SpeedSample:
        first_token_s = random.choice((1e-6, 0.03, 1e6))
        return SpeedSample(sample.ticket, first_token_s, random.random() * 9, sample.events)

    outcome = play([constant(1.0)] * ENGINES, MEDIUM_LOAD, 1, True, corrupt=corrupt)
    speeds = [item.speed for item in outcome.state.endpoints_by_id.values()]
    assert all(MIN_FACTOR <= item.prefill_factor <= MAX_FACTOR for item in speeds)
    assert all(MIN_FACTOR <= item.step_factor <= MAX_FACTOR for item in speeds)
    assert outcome.share_in_time() > 0.99


def test_fewer_runs_are_preempted_where_memory_at_its_peak_decides(monkeypatch):
    """Guards against placements on engines whose runs will need more memory than there is.

    Long answers, and reviews of many shared parts, on engines with 40,000 tokens of memory.
    """
    traffics = [
        Traffic("drafts", 8, 1_000, 2_500, 1_500, 1.2, workspace),
        Traffic("reviews", 60, 9_122, 2_870, 38, 1.245, workspace),
    ]
    kinds = [(EngineKind(memory_tokens=SMALL_MEMORY_TOKENS), constant(1.0))] * ENGINES

    def outcomes() -> list[Outcome]:
        return [Simulation(kinds, seed, False).play(traffics, 16.0) for seed in (10, 11, 12, 13)]

    found = outcomes()
    monkeypatch.setattr(placement, "_overcommits", lambda engine, run_tokens: False)
    monkeypatch.setattr(endpoint_choice, "_with_room_first", lambda placements, has_room: placements)
    before = outcomes()
    assert sum(item.preempted() for item in found) < 0.75 * sum(item.preempted() for item in before)
    assert mean(item.first_token_s(0.9) for item in found) < mean(item.first_token_s(0.9) for item in before)
    assert (
        mean(item.share_in_time() for item in found) > mean(item.share_in_time() for item in before) - 0.005
    )


def test_a_hot_part_spreads_over_more_engines_as_its_load_grows():
    """Guards against one engine that gets all prompts which share a part, while the others are idle."""
    kinds = [(EngineKind(), constant(1.0))] * ENGINES

    def hot(per_s: float) -> tuple[Outcome, int]:
        traffic = Traffic("hot", per_s, 9_122, 2_870, 38, 1.245, lambda random: 0)
        outcome = Simulation(kinds, 1, False).play([traffic], 8.0)
        counts = Counter(engine for _, engine in outcome.placed)
        return outcome, sum(count > 0.02 * counts.total() for count in counts.values())

    by_load = {per_s: hot(per_s) for per_s in (5, 20, 80, 250)}
    engines = [used for _, used in by_load.values()]
    assert engines[0] <= 2 and engines[1] <= 4 and engines == sorted(engines) and engines[-1] == ENGINES
    assert all(outcome.share_in_time() > 0.99 for outcome, _ in by_load.values())
    assert by_load[250][0].busiest() < 1.25


def test_a_hot_part_that_nobody_holds_yet_spreads_while_it_is_read():
    """Guards against prompts that all wait for the first one's prefill, and then all go to its engine."""
    kinds = [(EngineKind(), constant(1.0))] * ENGINES
    traffic = Traffic("hot", 250, 9_122, 2_870, 38, 1.245, lambda random: 0)
    outcome = Simulation(kinds, 1, False).play([traffic], 2.0, settle_s=0.0)
    assert outcome.share_in_time() > 0.99 and outcome.busiest() < 1.5


def test_traffic_of_a_simulation_is_the_same_for_all_ways_that_are_compared():
    """Guards against a comparison of two ways under different loads."""
    kinds = [(EngineKind(), constant(1.0))] * ENGINES
    arrivals = [
        [
            (run.ticket, run.part, run.arrived_at)
            for run in Simulation(kinds, seed).play(consular(5), 4.0).runs
        ]
        for seed in (1, 2)
    ]
    assert arrivals[0] == arrivals[1]
