"""Pattern: engines close to full, while boxes die, routers change and an engine has two routers for a moment.

Figures: engines with 16 slots and memory for 96,895 tokens; prompts of 800 to 12,000 tokens that run for 0.2
to 0.9 s; an engine reports every 0.45 s, 0.1 s late.
"""

from dataclasses import dataclass, field
from random import Random

import pytest

from stairquay.core.room import EngineAccount

SLOTS = 16
MEMORY_TOKENS = 96_895.0
REPORT_EVERY_S = 0.45
REPORT_LATE_S = 0.1
STEP_S = 0.01


@dataclass
class Engine:
    """Runs by ticket, with their end and their memory."""

    runs: dict[str, tuple[float, int]] = field(default_factory=dict)

    def ended(self, now: float) -> list[str]:
        gone = [ticket for ticket, (ends_at, _) in self.runs.items() if ends_at <= now]
        for ticket in gone:
            del self.runs[ticket]
        return gone

    def overbooked(self) -> bool:
        return len(self.runs) > SLOTS or sum(tokens for _, tokens in self.runs.values()) > MEMORY_TOKENS


@dataclass
class Play:
    """One engine, the account of its router, and prompts that come faster than they end.

    lost: share of ends that no box reports.
    """

    random: Random
    lost: float = 0.0
    engine: Engine = field(default_factory=Engine)
    account: EngineAccount = field(default_factory=lambda: EngineAccount(SLOTS, MEMORY_TOKENS))
    now: float = 0.0
    placed: int = 0
    overbooked_s: float = 0.0
    reports: list[tuple[float, int, int]] = field(default_factory=list)
    next_report_at: float = 0.0

    def step(self) -> None:
        self.now += STEP_S
        for ticket in self.engine.ended(self.now):
            if self.random.random() >= self.lost:
                self.account.end(ticket, self.now)
        self._report()
        if self.random.random() < 0.9:
            self.offer()
        self.overbooked_s += STEP_S * self.engine.overbooked()

    def offer(self) -> None:
        tokens = self.random.choice((800, 2_400, 12_000))
        if self.account.room("e", tokens, self.now).free_in_s > 0:
            return
        self.placed += 1
        ticket, duration_s = f"t{self.placed}", self.random.uniform(0.2, 0.9)
        self.account.place(ticket, tokens, duration_s, self.now)
        self.engine.runs[ticket] = self.now + duration_s, tokens

    def _report(self) -> None:
        if self.now >= self.next_report_at:
            self.next_report_at = self.now + REPORT_EVERY_S
            used = sum(tokens for _, tokens in self.engine.runs.values())
            self.reports.append((self.now + REPORT_LATE_S, len(self.engine.runs), used))
        while self.reports and self.reports[0][0] <= self.now:
            _, runs, used = self.reports.pop(0)
            self.account.on_report(runs, used, MEMORY_TOKENS, self.now)

    def play(self, seconds: float) -> None:
        for _ in range(int(seconds / STEP_S)):
            self.step()


@pytest.mark.parametrize("seed", range(4))
def test_an_engine_is_never_overbooked_by_its_one_router_and_its_memory_is_used(seed):
    play = Play(Random(seed))
    play.play(20.0)
    assert play.overbooked_s == 0
    assert play.placed > 20 * 12


@pytest.mark.parametrize("seed", range(4))
def test_ends_that_no_box_reports_cost_little_capacity(seed):
    """Guards against engines that fill up with runs of boxes that died."""
    whole, lossy = Play(Random(seed)), Play(Random(seed), lost=0.05)
    whole.play(20.0)
    lossy.play(20.0)
    assert lossy.placed > 0.75 * whole.placed


@pytest.mark.parametrize("seed", range(4))
def test_a_router_that_takes_over_overbooks_hardly_and_has_its_account_after_two_reports(seed):
    play = Play(Random(seed))
    play.play(5.0)
    play.account = EngineAccount(SLOTS, MEMORY_TOKENS)
    # A router reads the reports of engines that others route for as well, if less often.
    used = sum(tokens for _, tokens in play.engine.runs.values())
    play.account.on_report(len(play.engine.runs), used, MEMORY_TOKENS, play.now)
    play.play(2.0)
    assert play.overbooked_s < 1.0
    before = play.overbooked_s
    play.play(10.0)
    assert play.overbooked_s == before


def test_two_routers_of_one_engine_exceed_its_slots_by_at_most_their_own_and_only_for_a_moment():
    play = Play(Random(1))
    play.play(5.0)
    other = EngineAccount(SLOTS, MEMORY_TOKENS)
    for number in range(SLOTS):
        if other.room("e", 2_400, play.now).free_in_s == 0:
            other.place(f"o{number}", 2_400, 0.5, play.now)
            play.engine.runs[f"o{number}"] = play.now + 0.5, 2_400
    assert len(play.engine.runs) <= 2 * SLOTS
    play.play(2.0)
    before = play.overbooked_s
    play.play(10.0)
    assert play.overbooked_s == before
