"""Account of an engine's capacity: which runs are placed there, and how much is left for the next prompt.

The engine's router keeps it. Placements and ends are counted at once; the engine's reports correct it.
"""

from bisect import insort
from collections.abc import Iterator
from dataclasses import dataclass, field
from math import inf

from stairquay.core.catalog import LOWEST_PRIORITY
from stairquay.core.memory import PlacedMemory, SharedParts

RUN_TTL_S = 20.0
"""Seconds after which a run counts as gone although nobody reported its end. Longer than the usual time
limits of routes."""

REPORT_LAG_S = 0.2
"""Seconds by which a report may lag behind the engine's state."""

MIN_LEFT_S = 0.02
"""Predicted seconds left of a run that lasts longer than expected."""

DURATION_WEIGHT = 0.05
"""Least weight of the newest run in the moving average of durations: some twenty runs count."""

MIN_ENDS_PER_S = 0.5
"""Ends of runs per second assumed for an engine of whose runs nothing is known."""

UNKNOWN_RUN_S = 2.5
"""Seconds that a run is assumed to last that was not placed here: those of a long request."""


@dataclass(frozen=True)
class Room:
    """The capacity that one engine has left for one prompt.

    free_slots: slots not taken by counted runs. free_tokens: memory left when all counted runs are at their
    peak, infinite if the engine's memory is unknown. free_in_s: predicted seconds until both suffice for the
    prompt, 0 if they do. ends_per_s: predicted ends of runs per second. slots, queued: of the engine, all
    slots and the runs believed to be in its queue.
    """

    engine: str
    free_slots: int
    free_tokens: float
    free_in_s: float
    ends_per_s: float = 0.0
    slots: int = 0
    queued: int = 0


@dataclass
class CountedRun:
    """A placed run.

    peak_tokens: memory for its prompt and longest output. added_tokens: without what the runs before it
    shared with it. started_at: infinite while it is believed to be in the engine's queue.
    """

    placed_at: float
    peak_tokens: int
    expected_s: float
    parts: SharedParts = ()
    added_tokens: int = 0
    started_at: float = inf

    @property
    def ends_at(self) -> float:
        """Return the predicted time of its end."""
        return self.started_at + self.expected_s


@dataclass
class EngineAccount:
    """The runs counted at one incarnation of an engine, the oldest first. Times are monotonic seconds.

    memory: of the counted runs. unknown_runs, unknown_tokens: runs that the engine reports but that were not
    placed here, as those of a router that owned the engine before, and their memory.
    """

    slots: int
    memory_tokens: float = 0.0
    runs_by_ticket: dict[str, CountedRun] = field(default_factory=dict)
    # Tickets of runs that wait in the engine's queue, in its order: by priority, then by age.
    queue: list[tuple[int, float, str]] = field(default_factory=list)
    memory: PlacedMemory = field(default_factory=PlacedMemory)
    queued_tokens: int = 0
    unknown_runs: int = 0
    unknown_tokens: float = 0.0
    reported_at: float = -inf
    # Runs that have a slot, the first to end first, and their predicted ends per second; None if out of date.
    running_by_end: list[CountedRun] | None = None
    ends_per_s: float = 0.0
    # Runs counted above the last report's number; below 0 if the report had more.
    surplus: int | None = None

    @property
    def taken(self) -> int:
        """Return the number of runs at the engine, those in its queue included."""
        return len(self.runs_by_ticket) + self.unknown_runs

    def place(
        self,
        ticket: str,
        peak_tokens: int,
        expected_s: float,
        now: float,
        priority: int = LOWEST_PRIORITY,
        parts: SharedParts = (),
    ) -> None:
        """Count a run until its end.

        expected_s: how long it will probably run once it has a slot. parts: those that other runs may share.
        """
        self.end(ticket, now)
        added_tokens = self.memory.place(parts, peak_tokens)
        run = CountedRun(now, peak_tokens, expected_s, parts, added_tokens)
        self.runs_by_ticket[ticket] = run
        self.queued_tokens += added_tokens
        insort(self.queue, (priority, now, ticket))
        if not self._start(run, now):
            return
        self.queue.remove((priority, now, ticket))

    def end(self, ticket: str, now: float) -> CountedRun | None:
        """Stop counting a run, and return it if it was counted."""
        run = self.runs_by_ticket.pop(ticket, None)
        if run is None:
            return None
        self.memory.end(run.parts, run.peak_tokens)
        self.running_by_end = None
        if run.started_at == inf:
            self.queued_tokens -= run.added_tokens
            self.queue = [item for item in self.queue if item[2] != ticket]
        self._start_queued(now)
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
            self._end_oldest(lost, now)
            self.surplus -= max(0, lost)
        unknown = runs - len(self.runs_by_ticket)
        self.unknown_runs = max(0, unknown if previous is None else min(unknown, -previous))
        self.unknown_tokens = used_tokens * self.unknown_runs / max(1, runs)
        self._start_queued(now)

    def expire(self, now: float) -> None:
        """Stop counting runs whose time to live has passed."""
        oldest = next(iter(self.runs_by_ticket.values()), None)
        if oldest is None or oldest.placed_at > now - RUN_TTL_S:
            return
        expired = [ticket for ticket, _ in self._older_than(now - RUN_TTL_S)]
        for ticket in expired:
            self.end(ticket, now)

    def has_room(self, peak_tokens: int, now: float) -> bool:
        """Tell whether a prompt that needs a slot and `peak_tokens` of memory can start now."""
        self.expire(now)
        return self.slots > self.taken and self._free_tokens() >= peak_tokens

    def room(
        self,
        engine: str,
        peak_tokens: int,
        now: float,
        priority: int = LOWEST_PRIORITY,
        after_unknown: bool = True,
    ) -> Room:
        """Return what is left for a prompt that needs a slot and `peak_tokens` of memory.

        priority: of the prompt, which the engine starts before less urgent ones of its queue. after_unknown:
        whether the runs in the queue that were not placed here start before it, too.
        """
        self.expire(now)
        free_slots = self.slots - self.taken
        free_tokens = self._free_tokens()
        free_in_s = 0.0
        self._running()
        if free_slots < 1 or free_tokens < peak_tokens:
            free_in_s = self._free_in_s(peak_tokens, priority, after_unknown, now)
        return Room(
            engine,
            max(0, free_slots),
            max(0.0, free_tokens),
            free_in_s,
            self._ends_per_s(),
            self.slots,
            len(self.queue),
        )

    def _free_tokens(self) -> float:
        if self.memory_tokens <= 0:
            return inf
        return self.memory_tokens - self.memory.peak_tokens - self.unknown_tokens

    def _start_queued(self, now: float) -> None:
        while self.queue and self._start(self.runs_by_ticket[self.queue[0][2]], now):
            self.queue.pop(0)

    def _start(self, run: CountedRun, now: float) -> bool:
        """Count a queued run as running if a slot and memory are free for it."""
        running = self.taken - len(self.queue)
        fits = self._free_tokens() + self.queued_tokens >= run.added_tokens
        if running >= self.slots or not fits:
            return False
        run.started_at = now
        self.running_by_end = None
        self.queued_tokens -= run.added_tokens
        return True

    def _running(self) -> list[CountedRun]:
        """Return the running ones, the first to end first; kept until a run starts or ends."""
        if self.running_by_end is None:
            running = [run for run in self.runs_by_ticket.values() if run.started_at < inf]
            self.running_by_end = sorted(running, key=lambda run: run.ends_at)
            expected_s = sum(run.expected_s for run in running)
            self.ends_per_s = len(running) ** 2 / max(MIN_LEFT_S, expected_s) if running else 0.0
        return self.running_by_end

    def _ends_per_s(self) -> float:
        """Return the predicted ends of runs per second, with those of runs that were not placed here."""
        return self.ends_per_s + min(self.slots, self.unknown_runs) / UNKNOWN_RUN_S

    def _free_in_s(self, peak_tokens: int, priority: int, after_unknown: bool, now: float) -> float:
        """Return the seconds until a prompt can start, infinite if the engine is too small for it."""
        if 0 < self.memory_tokens < peak_tokens:
            return inf
        ahead = [self.runs_by_ticket[ticket] for first, _, ticket in self.queue if first <= priority]
        missing_slots = len(ahead) + 1 - (self.slots - self.taken + len(self.queue))
        if not after_unknown:
            missing_slots -= max(0, self.unknown_runs - self.slots)
        needed_tokens = sum(run.added_tokens for run in ahead) + peak_tokens
        missing_tokens = needed_tokens - self._free_tokens() - self.queued_tokens
        free_in_s = MIN_LEFT_S
        for run in self._running():
            if missing_slots <= 0 and missing_tokens <= 0:
                return free_in_s
            missing_slots -= 1
            missing_tokens -= run.added_tokens
            free_in_s = max(free_in_s, run.ends_at - now)
        # More are ahead than run now. Each run that is ahead frees its slot in turn.
        return free_in_s + max(0, missing_slots) / max(MIN_ENDS_PER_S, self._ends_per_s())

    def _older_than(self, at: float) -> Iterator[tuple[str, CountedRun]]:
        for ticket, run in self.runs_by_ticket.items():
            if run.placed_at > at:
                return
            yield ticket, run

    def _placed_before(self, at: float) -> int:
        return sum(1 for _ in self._older_than(at))

    def _end_oldest(self, count: int, now: float) -> None:
        for ticket in list(self.runs_by_ticket)[: max(0, count)]:
            self.end(ticket, now)


@dataclass
class MeanDuration:
    """How long runs of one kind last: the mean of the first ones, then a moving average.

    mean_s: before the first run, what is assumed.
    """

    mean_s: float
    runs: int = 0

    def add(self, ran_s: float) -> None:
        """Take a run that has ended into account."""
        self.runs += 1
        self.mean_s += max(DURATION_WEIGHT, 1 / self.runs) * (ran_s - self.mean_s)


def standalone_share(slots: int, engines: int, boxes: int) -> int:
    """Return how many prompts a box without a router may have at a service's engines at a time."""
    return max(1, slots * engines // max(1, boxes))
