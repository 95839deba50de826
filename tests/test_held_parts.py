"""Held parts of prompts: few prompts with them are sent, until one shows whether they crash engines."""

import asyncio
from dataclasses import dataclass

import pytest

from stairquay.core.crashes import (
    HELD_TRIAL_SPREAD_S,
    HELD_TRIALS_S,
    MIN_HELD_CRASHES,
    Crash,
    GoodEnds,
    find_held,
    find_quarantined,
    part_digest,
)
from stairquay.serving import holds as holds_module
from stairquay.serving import quarantine as quarantine_module
from stairquay.serving.holds import OWN_PAUSE_S, PartHolds, held_refusal
from stairquay.serving.jobs import JobProgress
from tests.states import box_state

POPULAR, OTHER = part_digest("popular"), part_digest("other")
GOOD_ENDS = GoodEnds({POPULAR: 0.5, OTHER: 0.5})


def crashes_of(part: str, numbers: range, at: float = 9.0) -> list[Crash]:
    return [Crash(part, f"e-{number}", at, 0.1, 0) for number in numbers]


@dataclass
class Prompt:
    """What holds look at of a job."""

    part_digests: tuple[str, ...]
    deadline: float = 100.0


@dataclass
class Clock:
    now: float = 10.0


@pytest.fixture
def clock(monkeypatch) -> Clock:
    clock = Clock()
    for module in (holds_module, quarantine_module):
        monkeypatch.setattr(module, "monotonic", lambda: clock.now)
    return clock


def holds_of_a_box(crashes: list[Crash]) -> PartHolds:
    """Return the holds of a box that prompts with both parts ended well at, before these crashes."""
    state = box_state()
    state.boxes = (state.settings.id,)
    state.quarantine.record_served((POPULAR, OTHER), began_at=5.0)
    state.quarantine.record_crashes(crashes)
    return PartHolds(state)


def test_a_part_that_ended_well_is_held_from_the_second_crash_that_nothing_explains():
    """Guards against a part of many prompts that is sent at full rate until it is refused."""
    one, two = crashes_of(POPULAR, range(1)), crashes_of(POPULAR, range(2))
    assert not find_held(one, 10.0, GOOD_ENDS, {})
    assert find_held(two, 10.0, GOOD_ENDS, {})[POPULAR].crashes == MIN_HELD_CRASHES
    assert not find_held(two, 10.0, GoodEnds(), {})
    bad = part_digest("bad")
    both = [*crashes_of(bad, range(4)), *two]
    found = find_quarantined(both, 10.0, GOOD_ENDS)
    assert set(found) == {bad} and not find_held(both, 10.0, GOOD_ENDS, found)


def test_each_further_crash_delays_the_next_trial_and_crashes_without_another_part_most():
    for number, pause_s in enumerate(HELD_TRIALS_S[:3]):
        crashes = crashes_of(POPULAR, range(MIN_HELD_CRASHES + number))
        beside = [Crash(f"part rare{item.incarnation}", item.incarnation, 9.0, 0.1, 0) for item in crashes]
        assert find_held([*crashes, *beside], 10.0, GOOD_ENDS, {})[POPULAR].try_at == 9.0 + pause_s
    alone = crashes_of(POPULAR, range(3))
    assert find_held(alone, 10.0, GOOD_ENDS, {})[POPULAR].try_at == 9.0 + HELD_TRIALS_S[-1]


def test_of_several_held_parts_the_one_at_the_fewest_crashes_is_tried_first():
    """Guards against a sound part that looks guilty as it was tried beside the one that crashes engines."""
    crashes = [*crashes_of(POPULAR, range(3)), *crashes_of(OTHER, range(2))]
    held = find_held(crashes, 10.0, GOOD_ENDS, {})
    assert held[OTHER].try_at == 9.0 + HELD_TRIALS_S[0]
    assert held[POPULAR].try_at == 9.0 + HELD_TRIALS_S[1] + HELD_TRIAL_SPREAD_S


def test_one_prompt_tries_a_held_part_and_the_others_wait_until_it_has_outlived_its_begin(clock):
    holds = holds_of_a_box(crashes_of(POPULAR, range(2), at=clock.now))

    async def scenario():
        tries, waits = JobProgress(), JobProgress()
        clock.now += HELD_TRIALS_S[0]
        assert await holds.wait(Prompt((POPULAR,)), tries)
        assert tries.tried_parts == {POPULAR} and not holds.held(Prompt((POPULAR,)), tries)
        waiting = asyncio.create_task(holds.wait(Prompt((POPULAR,)), waits))
        await asyncio.sleep(0.01)
        assert not waiting.done() and holds.held(Prompt((POPULAR,)), waits)
        holds.state.quarantine.record_outlived((POPULAR,), began_at=clock.now)
        assert await waiting and not waits.tried_parts
        assert not holds.state.quarantine.held_by_part

    asyncio.run(scenario())


def test_a_prompt_that_waits_in_vain_is_refused_and_others_are_not_held(clock, monkeypatch):
    monkeypatch.setattr(holds_module, "MAX_WAIT_S", 0.0)
    holds = holds_of_a_box(crashes_of(POPULAR, range(2), at=clock.now))

    async def scenario():
        job, progress = Prompt((POPULAR,)), JobProgress()
        assert not await holds.wait(job, progress)
        refusal = held_refusal(holds.held(job, progress), progress.ran)
        assert refusal.response.status == 503 and POPULAR in refusal.detail
        assert await holds.wait(Prompt((OTHER,)), JobProgress())

    asyncio.run(scenario())


def test_a_trial_that_no_endpoint_took_is_left_to_the_next_prompt(clock):
    """Guards against a part that stays held for seconds as all engines were down when it was to be tried."""
    holds = holds_of_a_box(crashes_of(POPULAR, range(2), at=clock.now))

    async def scenario():
        clock.now += HELD_TRIALS_S[0]
        first, second = JobProgress(), JobProgress()
        assert await holds.wait(Prompt((POPULAR,)), first)
        assert not holds.take_trial(holds.held_of((POPULAR,)))
        holds.not_sent(first)
        assert await holds.wait(Prompt((POPULAR,)), second) and second.tried_parts
        clock.now += OWN_PAUSE_S
        assert holds.take_trial(holds.held_of((POPULAR,)))

    asyncio.run(scenario())
