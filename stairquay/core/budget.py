"""A budget for sending requests again, shared by all boxes without asking each other."""

from collections import deque
from dataclasses import dataclass, field

RATIO_SHARE = 0.8
SLACK_SHARE = 0.7
"""Shares of the allowance that are used, so that rounding and boxes not yet known do not exceed it."""

FIRST_WINDOW_SLACK_SHARE = 0.4
"""Share of its slack to which a box comes within its first window. A box that was killed may have spent its
whole slack right before, so that both together spend up to 1.4 of it: 0.7 * 1.4 is still below 1."""


@dataclass(frozen=True)
class RetryAllowance:
    """Repeats allowed in any window: `ratio` of the requests, and `slack` over all boxes."""

    ratio: float = 0.1
    slack: float = 10.0
    window_s: float = 10.0


@dataclass
class WindowedRetryBudget:
    """Counts one service's requests and repeats at this box in a sliding window (monotonic seconds).

    What it counted ends with the process, and what a process before it spent is not known. That is why slack
    grows from none over the first window, and is whole only after it. However often and at whatever times
    boxes are killed, in any window at most one process of a box had its whole slack, and the growing parts of
    all others last no longer than the window together.

    Not held: boxes that believe there are fewer of them than there are take too much. That is so for the
    second or so in which boxes that start together have not written their rows, which is little since slack
    has hardly grown by then; for as long as one reads the rows and others cannot write theirs; and where a
    box that is gone is forgotten, and comes back, within one window. Requests that a killed process counted
    allow nothing any more.
    """

    allowance: RetryAllowance
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def on_request(self, now: float) -> None:
        """Count a request that came in."""
        self.requests.append(now)
        self._expire(now)

    def take(self, now: float, boxes: int, known_s: float) -> bool:
        """Spend one repeat if this box's share of the allowance permits it.

        known_s: for how long this process has known how many boxes share the allowance, 0 where it does not.
        """
        self._expire(now)
        box_slack = self.allowance.slack * SLACK_SHARE / max(1, boxes) * self._usable_slack_share(known_s)
        allowed = self.allowance.ratio * RATIO_SHARE * len(self.requests) + box_slack
        if len(self.retries) + 1 > allowed:
            return False
        self.retries.append(now)
        return True

    def _usable_slack_share(self, known_s: float) -> float:
        """Return the share of its slack that a box may use."""
        window_s = self.allowance.window_s
        if known_s <= 0:
            return 0.0
        # A window counts its both ends: a repeat right at the start may have been of the process before.
        return 1.0 if known_s > window_s else FIRST_WINDOW_SLACK_SHARE * known_s / window_s

    def _expire(self, now: float) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] < now - self.allowance.window_s:
                times.popleft()
