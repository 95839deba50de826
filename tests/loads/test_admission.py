"""Patterns: a burst beside steady load, two priorities over capacity, a workspace that floods, callers that
retry at once, capacity that halves for 3 s, callers that disconnect, demand that moves to another data hall.

Figures: three engines with the three kinds of prompts of docs/design/hard-load.md, in shares that the engines
bear; callers come back when told, within their time limits.
"""

from random import Random

import pytest

from tests.loads.admission_model import CHAT, CHECK, PREFILL_TOKENS_PER_S, REVIEW, Model

WORKSPACES = ("a", "b", "c", "d")
SEEDS = (1, 2)


def steady(model: Model, end: float, factor: float = 1.0) -> None:
    model.load(REVIEW, 60 * factor, 0.0, end, WORKSPACES)
    model.load(CHAT, 60 * factor, 0.0, end, WORKSPACES)
    model.load(CHECK, 120 * factor, 0.0, end, WORKSPACES)


def burst(seed: int, **fields) -> Model:
    """Long reviews at four times their usual rate for 2 s, beside steady load."""
    model = Model(Random(seed), **fields)
    steady(model, 6.0)
    model.load(REVIEW, 200, 2.0, 4.0, WORKSPACES)
    model.run()
    return model


def longest_wait_share(model: Model) -> float:
    """Return the longest wait before a refusal, as a share of the objective."""
    return max((item.waited_s / item.kind.objective_s for item in model.prompts if item.refused), default=0.0)


@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_waits_or_is_refused_while_the_engines_have_room(seed):
    model = Model(Random(seed))
    steady(model, 4.0, 0.7)
    model.run()
    assert model.asked == len(model.prompts)
    assert not any(item.refused for item in model.prompts)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_burst_at_one_priority_costs_the_more_urgent_ones_nothing(seed):
    model = burst(seed)
    assert model.share_in_time(CHAT) >= 0.97 and model.share_in_time(CHECK) >= 0.97
    assert longest_wait_share(model) <= 0.1
    refused = [item for item in model.of(REVIEW) if item.refused]
    assert refused and sum(item.refused > 1 for item in refused) < 0.4 * len(refused)


@pytest.mark.parametrize("seed", SEEDS)
def test_two_priorities_over_capacity_leave_the_most_urgent_in_time(seed):
    model = Model(Random(seed))
    model.load(REVIEW, 150, 0.0, 10.0, WORKSPACES)
    model.load(CHECK, 400, 0.0, 10.0, WORKSPACES)
    model.load(CHAT, 60, 0.0, 10.0, WORKSPACES)
    model.run()
    assert model.share_in_time(CHAT) >= 0.97 and model.share_in_time(CHECK) >= 0.97
    assert longest_wait_share(model) <= 0.1
    left_tokens = 10.0 * (3 * PREFILL_TOKENS_PER_S - 400 * CHECK.read - 60 * CHAT.read)
    begun = [item for item in model.of(REVIEW) if (item.first_token_at or 99.0) < 10.0]
    assert len(begun) * REVIEW.read > 0.85 * left_tokens


@pytest.mark.parametrize("seed", SEEDS)
def test_a_workspace_at_ten_times_its_share_is_the_one_that_is_refused(seed):
    model = Model(Random(seed))
    steady(model, 8.0, 0.8)
    model.load(REVIEW, 150, 1.0, 7.0, ("flood",))
    model.run()
    for workspace in WORKSPACES:
        assert model.share_in_time(REVIEW, workspace) >= 0.85
        assert model.share_in_time(REVIEW, workspace) > 3 * model.share_in_time(REVIEW, "flood")
    assert longest_wait_share(model) <= 0.1


@pytest.mark.parametrize("seed", SEEDS)
def test_callers_that_retry_at_once_gain_nothing_and_harm_no_urgent_ones(seed):
    patient, impatient = burst(seed), burst(seed, impatient=0.8)
    assert impatient.share_in_time(CHAT) >= 0.97 and impatient.share_in_time(CHECK) >= 0.97
    assert impatient.share_in_time(REVIEW) < patient.share_in_time(REVIEW) + 0.1
    assert longest_wait_share(impatient) <= 0.1


@pytest.mark.parametrize("seed", SEEDS)
def test_capacity_that_halves_unannounced_costs_the_most_urgent_nothing(seed):
    model = Model(Random(seed))
    steady(model, 8.0, 1.2)
    model.halve(2.0, 5.0)
    model.run()
    assert model.share_in_time(CHAT) >= 0.97
    assert model.share_in_time(CHECK) >= 0.95
    assert model.share_in_time(REVIEW) >= 0.95


@pytest.mark.parametrize("seed", SEEDS)
def test_callers_that_disconnect_leave_their_places_to_others(seed):
    model = burst(seed, leaving=0.3)
    assert model.share_in_time(REVIEW) > burst(seed).share_in_time(REVIEW) + 0.1
    assert all(queue.is_idle(model.now + 1.0) for queue in model.queues)


@pytest.mark.parametrize("seed", SEEDS)
def test_demand_that_moves_to_another_data_hall_is_followed_within_two_seconds(seed):
    """All load of three data halls comes from the callers of one, and after 4 s from those of another."""
    model = Model(Random(seed), engine_count=6, halls=3)
    for home, start in (("0", 0.0), ("1", 4.0)):
        model.load(REVIEW, 90, start, start + 4.0, (f"hall-{home}",))
        model.load(CHAT, 90, start, start + 4.0, (f"hall-{home}",))
        model.load(CHECK, 180, start, start + 4.0, (f"hall-{home}",))
    model.run()
    late = [item for item in model.prompts if not item.in_time and not 4.0 <= item.arrived_at < 6.0]
    assert len(late) <= 0.01 * len(model.prompts)
    moved = [item for item in model.prompts if 4.0 <= item.arrived_at < 6.0]
    assert sum(item.in_time for item in moved) >= 0.97 * len(moved)
    assert len({item.engine for item in model.of(REVIEW)}) == 6
