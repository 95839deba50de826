"""Pattern: parts of prompts crash each engine that begins to answer one, and others crash by themselves.

Figures: six boxes have 70 prompts a second at 5 engines, the others as many for each engine; one is back
3.5 s after a crash. Rows are known at all boxes a second after they change. From 3 s after the fifth crash
under a part, three more of its requests may reach engines.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest

from stairquay.core.crashes import Crash, part_digest
from stairquay.serving import quarantine as quarantine_module
from stairquay.serving.crashes import OUTLIVED_S
from stairquay.serving.quarantine import CrashReport, Quarantine
from tests.states import box_state

FLEETS = {3: 5, 6: 5, 71: 30, 195: 50, 330: 60}
"""Engines by the number of boxes."""

PROMPTS_PER_S, BAD_PER_S = 14.0, 3.0
"""Sound prompts per engine, and those with each part that crashes engines."""

RUN_S, FIRST_EVENT_S, EVENT_S = 0.6, 0.1, 0.01
DOWN_S = 3.5
SELF_CRASHES_PER_S = 0.2
SYNC_S = 1.0
BEGINS_AT, ENDS_AT = 10.0, 40.0
KNOWN_AFTER_S, CRASHES_BORNE, MAX_LATE = 3.0, 5, 3
FIRST_PARTS, SUBJECTS = 4, 60
HALF_SHARE = 0.5
FEW_PROMPTS_PER_S = 3.2
"""Sound prompts per engine where engines are mostly idle."""

MAX_REFUSED_SHARE = 0.02
"""Largest share of sound prompts with the first part of bad ones that may be refused."""


@dataclass(frozen=True)
class Prompt:
    digest: str
    parts: tuple[str, ...]
    box: int
    sent_at: float
    bad: str = ""

    def began_at(self) -> float:
        """Return when the answer begins, if the engine lives that long."""
        return self.sent_at + FIRST_EVENT_S

    def digests(self) -> tuple[str, ...]:
        return (self.digest, *(part_digest(part) for part in self.parts))


@dataclass
class Engine:
    life: int = 0
    down_until: float = 0.0
    running: dict[str, Prompt] = field(default_factory=dict)


class Simulation:
    """Boxes' quarantines before engines, with the parts that crash engines."""

    def __init__(
        self, boxes: int, bad_parts: tuple[str, ...], seed: int, turn: bool = False, leave: bool = False
    ) -> None:
        """Prepare a fleet. turn: the parts are sound at first. leave: callers leave after the first event."""
        self.turn, self.leave = turn, leave
        self.prompts_per_s, self.half = PROMPTS_PER_S, ""
        self.random, self.sequence, self.now = Random(seed), count(), 0.0
        self.boxes = [box_state(f"b-{number}").quarantine for number in range(boxes)]
        self.engines = [Engine() for _ in range(FLEETS[boxes])]
        self.bad_parts = bad_parts
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.crashed_at: dict[str, list[float]] = defaultdict(list)
        self.reached_at: dict[str, list[float]] = defaultdict(list)
        self.sound = self.refused = 0
        self.revision = 0

    def run(self) -> None:
        self._after(0.0, self._send_sound)
        self._after(0.0, self._crash_by_itself)
        self._after(SYNC_S, self._sync)
        for part in self.bad_parts:
            self._after(0.0 if self.turn else BEGINS_AT, lambda part=part: self._send_bad(part))
        while self.queue and self.queue[0][0] < ENDS_AT:
            self.now, _, callback = heappop(self.queue)
            callback()

    def _after(self, delay_s: float, callback: Callable[[], None]) -> None:
        heappush(self.queue, (self.now + delay_s, next(self.sequence), callback))

    def _send_sound(self) -> None:
        self._after(self.random.expovariate(self.prompts_per_s * len(self.engines)), self._send_sound)
        first = self.random.randrange(FIRST_PARTS)
        subject = min(self.random.randrange(SUBJECTS) for _ in range(2))
        parts = [f"f-{first}", f"q-{first}-{subject}"]
        if self.half and self.now < BEGINS_AT and self.random.random() < HALF_SHARE:
            parts.append(self.half)
        refused = self._send(f"s-{next(self.sequence)}", tuple(parts))
        if self.now > BEGINS_AT + 2 * KNOWN_AFTER_S and first < len(self.bad_parts):
            self.sound += 1
            self.refused += refused

    def _send_bad(self, part: str) -> None:
        self._after(self.random.expovariate(BAD_PER_S), lambda: self._send_bad(part))
        first = self.bad_parts.index(part)
        subject = self.random.randrange(SUBJECTS)
        parts = (f"f-{first}", f"q-{first}-{subject}", part)
        self._send(f"x-{next(self.sequence)}", parts, part if self.now >= BEGINS_AT else "")

    def _send(self, digest: str, parts: tuple[str, ...], bad: str = "") -> bool:
        """Send a prompt from any box; return whether that box refuses it."""
        prompt = Prompt(digest, parts, self.random.randrange(len(self.boxes)), self.now, bad)
        box = self.boxes[prompt.box]
        if any(box.remaining_s(item) > 0 for item in prompt.digests()):
            return True
        up = [item for item in self.engines if item.down_until <= self.now]
        if not up:
            return False
        engine = self.random.choice(up)
        engine.running[digest] = prompt
        if bad:
            self.reached_at[bad].append(self.now)
            self._after(FIRST_EVENT_S, lambda: self._crash_if_running(engine, engine.life, prompt))
        else:
            self._after(
                FIRST_EVENT_S if self.leave else RUN_S, lambda: self._finish(engine, engine.life, prompt)
            )
        return False

    def _finish(self, engine: Engine, life: int, prompt: Prompt) -> None:
        if engine.running.pop(prompt.digest, None) is None:
            return
        if self.leave:
            self._after(OUTLIVED_S, lambda: self._outlived(engine, life, prompt))
        else:
            self.boxes[prompt.box].record_served(prompt.digests(), prompt.began_at())

    def _outlived(self, engine: Engine, life: int, prompt: Prompt) -> None:
        """Count an answer that its caller left, unless its box noticed that the engine crashed."""
        incarnation = f"e-{self.engines.index(engine)}/{life}"
        box = self.boxes[prompt.box]
        if incarnation not in (known for _, known in box.own_crashes):
            box.record_served(prompt.digests()[1:], prompt.began_at())

    def _crash_if_running(self, engine: Engine, life: int, prompt: Prompt) -> None:
        if prompt.digest in engine.running:
            self.crashed_at[prompt.bad].append(self.now)
            self._crash(engine)

    def _crash_by_itself(self) -> None:
        self._after(self.random.expovariate(SELF_CRASHES_PER_S), self._crash_by_itself)
        self._crash(self.random.choice(self.engines))

    def _crash(self, engine: Engine) -> None:
        life = f"e-{self.engines.index(engine)}/{engine.life}"
        by_box: dict[int, dict[str, Crash]] = defaultdict(dict)
        for prompt in engine.running.values():
            ran_s = self.now - prompt.sent_at
            events = None if ran_s < FIRST_EVENT_S / 2 else max(0, int((ran_s - FIRST_EVENT_S) / EVENT_S))
            for digest in prompt.digests():
                known = by_box[prompt.box].get(digest)
                if known is None or (events or -1) > (known.events or -1):
                    by_box[prompt.box][digest] = Crash(digest, life, self.now, ran_s, events)
        engine.running, engine.life, engine.down_until = {}, engine.life + 1, self.now + DOWN_S
        for box, crashes in by_box.items():
            self.boxes[box].record_crashes(crashes.values())

    def _sync(self) -> None:
        """Have the first box read the rows of all, and tell the others."""
        self._after(SYNC_S, self._sync)
        router = self.boxes[0]
        changed = {
            f"b-{number}": CrashReport(tuple(box.own_crashes.values()), dict(box.cleared))
            for number, box in enumerate(self.boxes)
            if box.unpublished
        }
        if not changed:
            return
        for box in self.boxes:
            box.unpublished = False
        self.revision += 1
        router.apply_rows(changed, False)
        report = router.report_to_forward()
        for box in self.boxes[1:]:
            box.apply_router_report(report, self.revision)

    def late(self, part: str) -> int:
        """Return the requests with a part that reached engines too late."""
        crashes = self.crashed_at[part]
        if len(crashes) < CRASHES_BORNE:
            return 0
        return sum(at > crashes[CRASHES_BORNE - 1] + KNOWN_AFTER_S for at in self.reached_at[part])


def all_quarantined(boxes: list[Quarantine]) -> set[str]:
    return {digest for box in boxes for digest in box.quarantined_by_digest}


@pytest.mark.parametrize("bad_parts", (("bad",), ("bad", "worse", "worst")))
@pytest.mark.parametrize("boxes", FLEETS)
def test_parts_that_crash_engines_are_known_at_all_boxes_and_no_other_part_is_refused(
    boxes, bad_parts, monkeypatch
):
    """Guards against engines that crash one after the other, and against refusing what others share."""
    played = Simulation(boxes, bad_parts, boxes)
    monkeypatch.setattr(quarantine_module, "monotonic", lambda: played.now)
    played.run()
    assert all(played.late(part) <= MAX_LATE for part in bad_parts)
    assert played.refused <= MAX_REFUSED_SHARE * played.sound
    assert {part_digest(part) for part in bad_parts} <= all_quarantined(played.boxes)


@pytest.mark.parametrize("bad_parts", (("bad",), ("bad", "worse"), ("bad", "worse", "worst")))
@pytest.mark.parametrize("boxes", FLEETS)
def test_parts_that_were_sound_and_crash_engines_from_now_on_are_known_at_all_boxes(
    boxes, bad_parts, monkeypatch
):
    """Guards against a part that what ended well before keeps innocent, and against refusing popular ones."""
    played = Simulation(boxes, bad_parts, boxes, turn=True)
    monkeypatch.setattr(quarantine_module, "monotonic", lambda: played.now)
    played.run()
    assert all(played.late(part) <= MAX_LATE for part in bad_parts)
    assert played.refused <= MAX_REFUSED_SHARE * played.sound
    assert {part_digest(part) for part in bad_parts} <= all_quarantined(played.boxes)


@pytest.mark.parametrize("boxes", FLEETS)
def test_parts_that_crash_engines_are_known_where_every_caller_leaves(boxes, monkeypatch):
    """Guards against boxes that refuse no part, as none of their answers ends."""
    played = Simulation(boxes, ("bad",), boxes, leave=True)
    monkeypatch.setattr(quarantine_module, "monotonic", lambda: played.now)
    played.run()
    assert played.late("bad") <= MAX_LATE
    assert played.refused <= MAX_REFUSED_SHARE * played.sound
    assert part_digest("bad") in all_quarantined(played.boxes)


@pytest.mark.parametrize("boxes", FLEETS)
def test_parts_that_were_sound_and_crash_engines_are_known_where_every_caller_leaves(boxes, monkeypatch):
    """Guards against a part that callers who left keep innocent, since they saw it begin well before."""
    played = Simulation(boxes, ("bad",), boxes, turn=True, leave=True)
    monkeypatch.setattr(quarantine_module, "monotonic", lambda: played.now)
    played.run()
    assert played.late("bad") <= MAX_LATE
    assert played.refused <= MAX_REFUSED_SHARE * played.sound
    assert part_digest("bad") in all_quarantined(played.boxes)


def test_engines_that_crash_by_themselves_quarantine_no_part(monkeypatch):
    """Guards against popular parts that are at many crashes by chance."""
    played = Simulation(6, (), 1)
    monkeypatch.setattr(quarantine_module, "monotonic", lambda: played.now)
    played.run()
    assert not all_quarantined(played.boxes)


@pytest.mark.parametrize("prompts_per_s", (PROMPTS_PER_S, FEW_PROMPTS_PER_S))
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("boxes", (3, 6, 71))
def test_a_part_of_half_of_the_prompts_that_crashes_engines_from_now_on_is_known(
    boxes, seed, prompts_per_s, monkeypatch
):
    """Guards against a part that counts as innocent because many prompts with it ended well before."""
    played = Simulation(boxes, ("bad",), seed, turn=True)
    played.prompts_per_s, played.half = prompts_per_s, "bad"
    monkeypatch.setattr(quarantine_module, "monotonic", lambda: played.now)
    played.run()
    assert played.late("bad") <= MAX_LATE
    assert played.refused <= MAX_REFUSED_SHARE * played.sound
    assert part_digest("bad") in all_quarantined(played.boxes)
