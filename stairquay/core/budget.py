"""A budget for sending requests again, shared by all boxes without asking each other."""

from collections import deque
from dataclasses import dataclass, field

RATIO_SHARE = 0.8
SLACK_SHARE = 0.7
"""Shares of the allowance that are used, so that rounding and boxes not yet known do not exceed it."""


@dataclass(frozen=True)
class Allowance:
    """Repeats allowed in any window: `ratio` of the requests, and `slack` over all boxes."""

    ratio: float = 0.1
    slack: float = 10.0
    window_s: float = 10.0


@dataclass
class WindowBudget:
    """Counts one service's requests and repeats at this box in a sliding window (monotonic seconds)."""

    allowance: Allowance
    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)

    def on_request(self, now: float) -> None:
        """Count a request that came in."""
        self.requests.append(now)
        self._expire(now)

    def take(self, now: float, boxes: int) -> bool:
        """Spend one repeat if this box's share of the allowance permits it."""
        self._expire(now)
        own_slack = self.allowance.slack * SLACK_SHARE / max(1, boxes)
        allowed = self.allowance.ratio * RATIO_SHARE * len(self.requests) + own_slack
        if len(self.repeats) + 1 > allowed:
            return False
        self.repeats.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self.requests, self.repeats):
            while times and times[0] < now - self.allowance.window_s:
                times.popleft()
