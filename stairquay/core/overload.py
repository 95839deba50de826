"""Decides how loaded a box is, which requests it refuses and when it reports unready.

A box on which callers' requests take more CPU time than there is runs its event loop late. A periodic timer
measures that; the rest follows from its lateness and from the requests in progress.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from math import inf

from stairquay.core.readiness import Readiness

BUSY_SHARE = 0.1
"""Lateness, as a share of the shortest objective, from which a box is BUSY."""

OVERLOADED_SHARE = 0.25
"""Lateness, as a share of the shortest objective, from which a box is OVERLOADED."""

FALL_SHARE = 0.5
"""Share of a level's threshold below which lateness must fall for the level to end."""

TARGET_SHARE = 0.07
"""Lateness, as a share of the shortest objective, at which a limited box is kept: on its way, a request waits
for the event loop about five times, on average for half of a pass each time."""

MIN_OBJECTIVE_S = 0.2
"""Objectives below count as this, since timers are some milliseconds late on any busy machine."""

MAX_OBJECTIVE_S = 1.0
"""Objectives above count as this, since health checks and other boxes do not wait longer."""

WINDOW_S = 1.0
"""Seconds before a tick was due in which other late ticks count."""

MIN_LATE_TICKS = 2
"""Late ticks within the window that make a level: one alone is a freeze or a jump of the clock."""

HOLD_S = 1.0
"""Seconds without a refusal after which an overload may end."""

ADJUST_INTERVAL_S = 0.2
"""Seconds between two adjustments of the limit, about the time in which one shows in the lateness."""

MIN_LIMIT = 4.0
"""Lowest limit of requests in progress. A box that is late with fewer is not late because of them."""

FIRST_LIMIT_SHARE = 0.8
"""Share of the requests in progress at the start of an overload that the first limit permits."""

MAX_LIMIT_CUT = 0.7
"""Smallest factor by which one adjustment lowers the limit."""

LIMIT_GROWTH = 1.05
"""Factor by which one adjustment raises the limit."""

QUICK_LIMIT_GROWTH = 1.25
"""The same while lateness is far below its target."""

QUICK_GROWTH_SHARE = 0.5
"""Share of the target lateness below which the limit grows quickly."""

BEST_RATE_DECAY = 0.98
"""Factor by which the highest rate of finished requests that is remembered falls with each adjustment."""

MIN_TIME_IN_BOX = 2.0
"""Time that a request is in progress at the least, as a multiple of the target lateness."""

URGENT_HEADROOM = 2.0
"""Factor by which the limit is higher for requests more urgent than the least urgent ones, which make way.
The limit falls if that does not suffice."""

RATE_WEIGHT = 0.3
"""Weight of the newest interval in the moving average of requests finished per second."""

MIN_RETRY_AFTER_S = 0.05
"""Shortest Retry-After in seconds: another box may serve the retry at once."""

MAX_RETRY_SPREAD_SHARE = 0.4
"""Time over which Retry-After is spread, as a share of the objective. A caller that comes back later takes
capacity from others and misses its objective: at twice the capacity, 1 s instead of half an objective
lowers the share of requests within their objectives from 0.93 to 0.78 of that at capacity."""

LASTING_AFTER_S = 2.0
"""Seconds after which an overload counts as lasting: the load balancer has sent callers elsewhere by then, so
that other boxes are overloaded too."""

LASTING_RETRY_AFTER_S = 3.0
"""Shortest Retry-After in seconds of requests that are mostly refused in a lasting overload. Their retries
would be refused as well, and take the CPU time of others: where a refusal takes 0.15 of the CPU time of
serving, a box at twice its capacity serves 0.80 of what it serves at capacity instead of 0.54."""

MIN_ADMITTED_SHARE = 0.5
"""Share of the requests of a priority below which they count as mostly refused."""

ADMITTED_WEIGHT = 0.05
"""Weight of the newest request in the moving average of that share."""


class LoadLevel(IntEnum):
    """How loaded a box is."""

    NORMAL = 0
    BUSY = 1
    """Optional work is dropped."""

    OVERLOADED = 2
    """Requests in progress are limited."""


@dataclass(frozen=True)
class LateTick:
    """A tick of the timer, and how many seconds late it ran."""

    at: float
    late_s: float


@dataclass
class Lateness:
    """The lateness of a box's event loop.

    late_s: what counts now, the second largest lateness within the window. recent_s: mean of the ticks since
    the last adjustment of the limit.
    """

    late_s: float = 0.0
    ticks: deque[LateTick] = field(default_factory=deque)

    def observe(self, now: float, late_s: float) -> None:
        """Record a tick. The window reaches back from when it was due, as a late tick hides others."""
        oldest_at = now - late_s - WINDOW_S
        self.ticks.append(LateTick(now, late_s))
        while self.ticks[0].at < oldest_at:
            self.ticks.popleft()
        largest = sorted((tick.late_s for tick in self.ticks), reverse=True)
        self.late_s = largest[MIN_LATE_TICKS - 1] if len(largest) >= MIN_LATE_TICKS else 0.0


@dataclass
class ConcurrencyLimit:
    """Limit of requests in progress, infinite without overload.

    in_progress_by_priority: requests in progress; 0 is the most urgent. finished_per_s: moving average.
    best_per_s: the highest one lately. least_urgent: of the requests in progress or refused lately.
    """

    limit: float = inf
    in_progress_by_priority: dict[int, int] = field(default_factory=dict)
    finished_per_s: float = 0.0
    best_per_s: float = 0.0
    adjusted_at: float = -inf
    finished_since: int = 0
    refused_since: int = 0
    least_urgent: int = 0
    refused_priority: int = 0
    admitted_share_by_priority: dict[int, float] = field(default_factory=dict)
    late_sum_s: float = 0.0
    ticks_since: int = 0

    def start(self, now: float) -> None:
        """Begin to limit, somewhat below the requests in progress."""
        self.limit = max(MIN_LIMIT, FIRST_LIMIT_SHARE * self.in_progress())
        self._begin_interval(now)

    def end(self) -> None:
        """Limit no longer."""
        self.limit = inf
        self.admitted_share_by_priority.clear()

    @property
    def is_active(self) -> bool:
        """Tell whether requests may be refused."""
        return self.limit < inf

    def in_progress(self, priority: int | None = None) -> int:
        """Return the requests in progress that are as urgent as a priority or more urgent, or all."""
        if priority is None:
            return sum(self.in_progress_by_priority.values())
        return sum(count for key, count in self.in_progress_by_priority.items() if key <= priority)

    def admits(self, priority: int) -> bool:
        """Tell whether a request may start.

        Less urgent requests in progress do not count, so that a burst of them does not keep out urgent ones.
        """
        if not self.is_active:
            return True
        headroom = URGENT_HEADROOM if priority < self.least_urgent else 1.0
        return self.in_progress(priority) < self.limit * headroom

    def refused(self, priority: int) -> None:
        """Record a refusal."""
        self.refused_since += 1
        self._count_admitted(priority, False)
        self.refused_priority = max(self.refused_priority, priority)

    def started(self, priority: int) -> None:
        """Count a request that was admitted."""
        counts = self.in_progress_by_priority
        counts[priority] = counts.get(priority, 0) + 1
        if self.is_active:
            self._count_admitted(priority, True)

    def mostly_refuses(self, priority: int) -> bool:
        """Tell whether few of the latest requests of a priority were admitted."""
        return self.admitted_share_by_priority.get(priority, 1.0) < MIN_ADMITTED_SHARE

    def _count_admitted(self, priority: int, admitted: bool) -> None:
        shares = self.admitted_share_by_priority
        share = shares.get(priority, 1.0)
        shares[priority] = share + ADMITTED_WEIGHT * (admitted - share)

    def adjust(self, now: float, late_s: float, target_s: float) -> None:
        """Take account of a tick: lower the limit above the target lateness, raise it below if it binds."""
        self.late_sum_s += late_s
        self.ticks_since += 1
        elapsed_s = now - self.adjusted_at
        if elapsed_s < ADJUST_INTERVAL_S:
            return
        mean_late_s = self.late_sum_s / self.ticks_since
        finished_per_s = self.finished_since / elapsed_s
        self.finished_per_s += RATE_WEIGHT * (finished_per_s - self.finished_per_s)
        self.best_per_s = max(self.best_per_s * BEST_RATE_DECAY, self.finished_per_s)
        if mean_late_s > target_s:
            cut = max(MAX_LIMIT_CUT, (target_s / mean_late_s) ** 0.5)
            self.limit = max(MIN_LIMIT, self._lowest_useful_limit(target_s), self.limit * cut)
        elif self.refused_since:
            growth = QUICK_LIMIT_GROWTH if mean_late_s < QUICK_GROWTH_SHARE * target_s else LIMIT_GROWTH
            self.limit = self.limit * growth + 1.0
        self._begin_interval(now)

    def _lowest_useful_limit(self, target_s: float) -> float:
        """Return the limit below which the box would serve less than it did lately.

        Without it, the lateness that refusals cause would cut the limit as well.
        """
        return self.best_per_s * target_s * MIN_TIME_IN_BOX

    def _begin_interval(self, now: float) -> None:
        in_progress = (key for key, count in self.in_progress_by_priority.items() if count > 0)
        self.least_urgent = max(self.refused_priority, *in_progress, 0)
        self.refused_priority = 0
        self.adjusted_at = now
        self.finished_since = self.refused_since = self.ticks_since = 0
        self.late_sum_s = 0.0


@dataclass
class ReturnTimes:
    """When refused callers were told to come back, by priority."""

    times_by_priority: dict[int, deque[float]] = field(default_factory=dict)

    def retry_after_s(
        self, priority: int, earliest_s: float, latest_s: float, now: float, served_per_s: float
    ) -> float:
        """Return after how many seconds a refused caller should come back, and count it until then.

        Callers come back at the rate at which requests are served, after those refused before that are as
        urgent or more urgent.
        """
        ahead = sum(
            self._waiting(times, now) for key, times in self.times_by_priority.items() if key <= priority
        )
        times = self.times_by_priority.setdefault(priority, deque())
        wait_s = min(latest_s, earliest_s + ahead / max(1.0, served_per_s))
        times.append(max(now + wait_s, times[-1] if times else now))
        return wait_s

    def _waiting(self, times: deque[float], now: float) -> int:
        while times and times[0] <= now:
            times.popleft()
        return len(times)


@dataclass
class BoxLoad:
    """The load of one box, and all decisions about it. Times are monotonic seconds."""

    level: LoadLevel = LoadLevel.NORMAL
    lateness: Lateness = field(default_factory=Lateness)
    limit: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    return_times: ReturnTimes = field(default_factory=ReturnTimes)
    readiness: Readiness = field(default_factory=Readiness)
    refused_at: float = -inf
    refused_total: int = 0

    @property
    def is_busy(self) -> bool:
        """Tell whether optional work is dropped."""
        return self.level >= LoadLevel.BUSY

    @property
    def reported_late_s(self) -> float:
        """Return the lateness to tell other boxes, 0 unless this one is BUSY."""
        return self.lateness.late_s if self.is_busy else 0.0

    def observe(self, now: float, late_s: float, objective_s: float) -> LoadLevel:
        """Record a tick of the timer, and return the level that follows from it."""
        self.lateness.observe(now, late_s)
        objective_s = min(MAX_OBJECTIVE_S, max(MIN_OBJECTIVE_S, objective_s))
        before, self.level = self.level, self._next_level(now, objective_s)
        if self.level == LoadLevel.OVERLOADED:
            if before != LoadLevel.OVERLOADED:
                self.limit.start(now)
            self.limit.adjust(now, late_s, TARGET_SHARE * objective_s)
        else:
            self.limit.end()
        self.readiness.observe(self.level == LoadLevel.OVERLOADED, now)
        return self.level

    def _next_level(self, now: float, objective_s: float) -> LoadLevel:
        """Return the level: a higher one at once, a lower one when lateness is well below the threshold."""
        late_s = self.lateness.late_s
        busy_s, overloaded_s = BUSY_SHARE * objective_s, OVERLOADED_SHARE * objective_s
        if late_s >= overloaded_s:
            return LoadLevel.OVERLOADED
        if self.level == LoadLevel.OVERLOADED:
            # Callers that were refused are load as well, which the limit hides.
            if late_s >= FALL_SHARE * overloaded_s or now - self.refused_at < HOLD_S:
                return LoadLevel.OVERLOADED
        if late_s >= busy_s:
            return LoadLevel.BUSY
        if self.level != LoadLevel.NORMAL and late_s >= FALL_SHARE * busy_s:
            return LoadLevel.BUSY
        return LoadLevel.NORMAL

    def admits(self, priority: int) -> bool:
        """Tell whether a request of this priority may start now."""
        return self.limit.admits(priority)

    def refuse(self, priority: int, objective_s: float, now: float) -> float:
        """Record a refusal, and return its Retry-After in seconds."""
        self.refused_at = now
        self.refused_total += 1
        self.limit.refused(priority)
        lasting = now - self.readiness.overloaded_since > LASTING_AFTER_S
        earliest_s = MIN_RETRY_AFTER_S
        if lasting and self.limit.mostly_refuses(priority):
            earliest_s = LASTING_RETRY_AFTER_S
        latest_s = earliest_s + MAX_RETRY_SPREAD_SHARE * objective_s
        return self.return_times.retry_after_s(priority, earliest_s, latest_s, now, self.limit.finished_per_s)

    def started(self, priority: int) -> None:
        """Count a request that was admitted."""
        self.limit.started(priority)

    def finished(self, priority: int) -> None:
        """Count a request that has ended, however it did."""
        self.limit.in_progress_by_priority[priority] -= 1
        self.limit.finished_since += 1

    def ready(self, now: float) -> bool:
        """Tell whether the load balancer may send callers here."""
        return self.readiness.ready(now)


def shortest_objective_s(objectives_s: Iterable[float]) -> float:
    """Return the shortest objective, the longest one that counts if there is none."""
    return min((item for item in objectives_s if item > 0), default=MAX_OBJECTIVE_S)
