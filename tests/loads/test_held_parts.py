"""Pattern: as in `test_parts_that_crash_engines`, with boxes that hold suspected parts.

Figures: as there. Prompts with held parts wait, and each box tries them as its dispatcher does.
"""

import pytest

from stairquay.serving import holds as holds_module
from stairquay.serving import quarantine as quarantine_module
from stairquay.serving.crashes import OUTLIVED_S
from stairquay.serving.holds import MAX_WAIT_S, PartHolds
from tests.loads.test_parts_that_crash_engines import (
    BEGINS_AT,
    FEW_PROMPTS_PER_S,
    FIRST_EVENT_S,
    KNOWN_AFTER_S,
    MAX_LATE,
    MAX_REFUSED_SHARE,
    PROMPTS_PER_S,
    RUN_S,
    Engine,
    Prompt,
    Simulation,
)
from tests.states import box_state

LOOK_AGAIN_S = 0.05
"""Seconds after which a prompt that waits looks again."""


class HoldingSimulation(Simulation):
    """Boxes that hold parts before engines, as `Dispatcher` does."""

    def __init__(self, boxes: int, bad_parts: tuple[str, ...], seed: int, **options: bool) -> None:
        super().__init__(boxes, bad_parts, seed, **options)
        states = [box_state(f"b-{number}") for number in range(boxes)]
        for state in states:
            state.boxes = tuple(item.settings.id for item in states)
        self.boxes = [state.quarantine for state in states]
        self.holds = [PartHolds(state) for state in states]
        self.others = self.others_refused = 0

    def _send(self, digest: str, parts: tuple[str, ...], bad: str = "") -> bool:
        prompt = Prompt(digest, parts, self.random.randrange(len(self.boxes)), self.now, bad)
        if not bad and self.now > BEGINS_AT:
            self.others += 1
        self._try(prompt, self.now)
        return False

    def _try(self, prompt: Prompt, arrived_at: float) -> None:
        """Send a prompt, or have it wait or refused."""
        box, holds = self.boxes[prompt.box], self.holds[prompt.box]
        held = holds.held_of(prompt.digests())
        up = [item for item in self.engines if item.down_until <= self.now]
        if any(box.remaining_s(item) > 0 for item in prompt.digests()):
            self._refuse(prompt)
        elif held and up and not holds.take_trial(held):
            if self.now >= arrived_at + MAX_WAIT_S:
                self._refuse(prompt)
            else:
                self._after(LOOK_AGAIN_S, lambda: self._try(prompt, arrived_at))
        elif up:
            self._run(prompt, self.random.choice(up))

    def _refuse(self, prompt: Prompt) -> None:
        if not prompt.bad and self.now > BEGINS_AT + 2 * KNOWN_AFTER_S:
            first = int(prompt.parts[0].removeprefix("f-"))
            self.refused += first < len(self.bad_parts)
        if not prompt.bad and self.now > BEGINS_AT:
            self.others_refused += 1

    def _run(self, prompt: Prompt, engine: Engine) -> None:
        sent = Prompt(prompt.digest, prompt.parts, prompt.box, self.now, prompt.bad)
        engine.running[sent.digest] = sent
        life = engine.life
        if sent.bad:
            self.reached_at[sent.bad].append(self.now)
            self._after(FIRST_EVENT_S, lambda: self._crash_if_running(engine, life, sent))
            return
        run_s = FIRST_EVENT_S if self.leave else RUN_S
        self._after(run_s, lambda: self._finish(engine, life, sent))
        self._after(FIRST_EVENT_S + OUTLIVED_S, lambda: self._began(engine, life, sent))

    def _began(self, engine: Engine, life: int, prompt: Prompt) -> None:
        """Have a box take an answer that goes on as evidence for held parts."""
        incarnation = f"e-{self.engines.index(engine)}/{life}"
        box, held = self.boxes[prompt.box], self.holds[prompt.box].held_of(prompt.digests())
        if held and incarnation not in (known for _, known in box.own_crashes):
            box.record_outlived(prompt.digests()[1:], prompt.began_at())


def play(played: HoldingSimulation, monkeypatch) -> None:
    for module in (quarantine_module, holds_module):
        monkeypatch.setattr(module, "monotonic", lambda: played.now)
    played.run()


@pytest.mark.parametrize("prompts_per_s", (PROMPTS_PER_S, FEW_PROMPTS_PER_S))
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("boxes", (3, 6, 71))
def test_a_part_of_half_of_the_prompts_that_crashes_engines_from_now_on_is_held(
    boxes, seed, prompts_per_s, monkeypatch
):
    """Guards against engines that crash until the part has been at enough crashes to be refused."""
    played = HoldingSimulation(boxes, ("bad",), seed, turn=True)
    played.prompts_per_s, played.half = prompts_per_s, "bad"
    play(played, monkeypatch)
    assert played.late("bad") <= MAX_LATE
    assert played.refused <= MAX_REFUSED_SHARE * played.sound


@pytest.mark.parametrize("prompts_per_s", (PROMPTS_PER_S, FEW_PROMPTS_PER_S))
@pytest.mark.parametrize("bad_parts", ((), ("bad",), ("bad", "worse"), ("bad", "worse", "worst")))
@pytest.mark.parametrize("turn", (False, True))
def test_parts_that_ran_beside_those_that_crash_engines_are_held_for_a_moment_only(
    turn, bad_parts, prompts_per_s, monkeypatch
):
    """Guards against prompts that wait in vain since what they share was at crashes by chance."""
    played = HoldingSimulation(6, bad_parts, len(bad_parts), turn=turn)
    played.prompts_per_s = prompts_per_s
    play(played, monkeypatch)
    assert all(played.late(part) <= MAX_LATE for part in bad_parts)
    assert played.others_refused <= MAX_REFUSED_SHARE * played.others
