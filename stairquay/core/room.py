"""Account of an engine's capacity: which runs are placed there, and how much is left for the next prompt.

The engine's router keeps it. Placements and ends are counted at once; the engine's reports correct it.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from math import inf

RUN_TTL_S = 20.0
"""Seconds after which a run counts as gone although nobody reported its end. Longer than the usual time
limits of routes."""

REPORT_LAG_S = 0.2
"""Seconds by which a report may lag behind the engine's state."""

MIN_LEFT_S = 0.02
"""Predicted seconds left of a run that lasts longer than expected."""


@dataclass(frozen=True)
class Room:
    """The capacity that one engine has left for one prompt.

    free_slots: slots not taken by counted runs. free_tokens: memory left when all counted runs are at their
    peak, infinite if the engine's memory is unknown. free_in_s: predicted seconds until both suffice for the
    prompt, 0 if they do.
    """

    engine: str
    free_slots: int
    free_tokens: float
    free_in_s: float


@dataclass(frozen=True)
class CountedRun:
    """A placed run. peak_tokens: memory for its prompt and longest output. ends_at: predicted."""

    placed_at: float
    peak_tokens: int
    ends_at: float


@dataclass
class EngineAccount:
    """The runs counted at one incarnation of an engine, the oldest first. Times are monotonic seconds.

    unknown_runs, unknown_tokens: runs that the engine reports but that were not placed here, as those of a
    router that owned the engine before, and their memory.
    """

    slots: int
    memory_tokens: float = 0.0
    runs_by_ticket: dict[str, CountedRun] = field(default_factory=dict)
    peak_tokens: int = 0
    unknown_runs: int = 0
    unknown_tokens: float = 0.0
    reported_at: float = -inf
    # Runs counted above the last report's number; below 0 if the report had more.
    surplus: int | None = None

    @property
    def taken(self) -> int:
        """Return the number of runs at the engine, those in its queue included."""
        return len(self.runs_by_ticket) + self.unknown_runs

    def place(self, ticket: str, peak_tokens: int, expected_s: float, now: float) -> None:
        """Count a run until its end; expected_s: how long it will probably last."""
        self.end(ticket)
        self.runs_by_ticket[ticket] = CountedRun(now, peak_tokens, now + expected_s)
        self.peak_tokens += peak_tokens

    def end(self, ticket: str) -> CountedRun | None:
        """Stop counting a run, and return it if it was counted."""
        run = self.runs_by_ticket.pop(ticket, None)
        if run is not None:
            self.peak_tokens -= run.peak_tokens
        return run

    def on_report(self, runs: int, used_tokens: float, total_tokens: float, now: float) -> None:
        """Correct the account by a report of `runs` runs at the engine, running or queued.

        A single report proves nothing about runs that ended or started while it was on its way, so a
        difference counts from the second report that shows it. Only the first report of all counts at once:
        a router that takes an engine over knows nothing else of it.
        """
        previous_at, previous = self.reported_at, self.surplus
        self.reported_at = now
        if total_tokens > 0:
            self.memory_tokens = total_tokens
        self.surplus = self._placed_before(now - REPORT_LAG_S) - runs
        if previous is not None:
            settled = self._placed_before(previous_at - REPORT_LAG_S)
            lost = min(previous, self.surplus, settled)
            self._end_oldest(lost)
            self.surplus -= max(0, lost)
        unknown = runs - len(self.runs_by_ticket)
        self.unknown_runs = max(0, unknown if previous is None else min(unknown, -previous))
        self.unknown_tokens = used_tokens * self.unknown_runs / max(1, runs)

    def expire(self, now: float) -> None:
        """Stop counting runs whose time to live has passed."""
        oldest = next(iter(self.runs_by_ticket.values()), None)
        if oldest is None or oldest.placed_at > now - RUN_TTL_S:
            return
        expired = [ticket for ticket, _ in self._older_than(now - RUN_TTL_S)]
        for ticket in expired:
            self.end(ticket)

    def has_room(self, peak_tokens: int, now: float) -> bool:
        """Tell whether a prompt that needs a slot and `peak_tokens` of memory can start now."""
        self.expire(now)
        return self.slots > self.taken and self._free_tokens() >= peak_tokens

    def room(self, engine: str, peak_tokens: int, now: float) -> Room:
        """Return what is left for a prompt that needs a slot and `peak_tokens` of memory."""
        self.expire(now)
        free_slots = self.slots - self.taken
        free_tokens = self._free_tokens()
        free_in_s = 0.0
        if free_slots < 1 or free_tokens < peak_tokens:
            free_in_s = self._free_in_s(free_slots, free_tokens, peak_tokens, now)
        return Room(engine, max(0, free_slots), max(0.0, free_tokens), free_in_s)

    def _free_tokens(self) -> float:
        if self.memory_tokens <= 0:
            return inf
        return self.memory_tokens - self.peak_tokens - self.unknown_tokens

    def _free_in_s(self, free_slots: int, free_tokens: float, peak_tokens: int, now: float) -> float:
        """Return the seconds until enough counted runs have ended, infinite if that will never be enough."""
        free_in_s = MIN_LEFT_S
        for run in sorted(self.runs_by_ticket.values(), key=lambda run: run.ends_at):
            free_slots += 1
            free_tokens += run.peak_tokens
            free_in_s = max(free_in_s, run.ends_at - now)
            if free_slots >= 1 and free_tokens >= peak_tokens:
                return free_in_s
        # Nothing is known of the ends of the other runs; the next reports will show them.
        return inf if 0 < self.memory_tokens < peak_tokens else free_in_s

    def _older_than(self, at: float) -> Iterator[tuple[str, CountedRun]]:
        for ticket, run in self.runs_by_ticket.items():
            if run.placed_at > at:
                return
            yield ticket, run

    def _placed_before(self, at: float) -> int:
        return sum(1 for _ in self._older_than(at))

    def _end_oldest(self, count: int) -> None:
        for ticket in list(self.runs_by_ticket)[: max(0, count)]:
            self.end(ticket)


def standalone_share(slots: int, engines: int, boxes: int) -> int:
    """Return how many prompts a box without a router may have at a service's engines at a time."""
    return max(1, slots * engines // max(1, boxes))
