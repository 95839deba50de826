"""A retry budget that all boxes share without coordination."""

from collections import deque
from dataclasses import dataclass, field

import msgspec

RATIO_SHARE = 0.8
SLACK_SHARE = 0.7
"""Shares of the allowance to use; the margin covers rounding and boxes not known yet."""

FIRST_WINDOW_SLACK_SHARE = 0.4
"""Share of its slack that a box reaches during its first window. Its previous process may have spent the
whole slack just before, and 0.7 * 1.4 is still below 1."""


class RetryAllowance(msgspec.Struct, frozen=True):
    """Retries allowed in any window: `ratio` of the requests, plus `slack` over all boxes."""

    ratio: float = 0.1
    slack: float = 10.0
    window_s: float = 10.0


@dataclass
class WindowedRetryBudget:
    """Counts one service's requests and retries at this box in a sliding window (monotonic seconds).

    What the box's previous process spent is unknown, so slack grows from zero during the first window.
    However often boxes are killed, in any window at most one process of a box had its whole slack, and the
    growing slack of all others lasts no longer than the window in total.

    Boxes that underestimate their number may exceed the budget: while they start together (little, as slack
    has hardly grown by then), while some cannot write their rows, or when a removed box returns within one
    window.
    """

    allowance: RetryAllowance
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def on_request(self, now: float) -> None:
        """Count an incoming request."""
        self.requests.append(now)
        self._expire(now)

    def take(self, now: float, boxes: int, known_s: float) -> bool:
        """Spend one retry if this box's share of the allowance permits it.

        known_s: seconds since this process learned the number of boxes, or 0 if it has not.
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
        # A window includes both ends, so a retry at its start may be the previous process's.
        return 1.0 if known_s > window_s else FIRST_WINDOW_SLACK_SHARE * known_s / window_s

    def _expire(self, now: float) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] < now - self.allowance.window_s:
                times.popleft()
