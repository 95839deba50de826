"""A retry budget that all boxes share without coordination."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

NEW_REQUESTS_SHARE = 0.2
"""Share of the ratio that a request earns as soon as it arrives. It counts twice in the worst case: callers
who move to another box, or to its next process, earn it there while the retries that they earned here are
still in the window."""

STEADY_REQUESTS_SHARE = 0.55
"""Share of the ratio earned by as many requests as arrived in each window that ended within the last one.
They count once, whatever callers and boxes do. With both shares, 0.95 of the ratio is never exceeded."""

SLACK_SHARE = 0.7
"""Share of the slack to use; the margin covers boxes not known yet."""

UNREAD_SLACK_SHARE = 1 - SLACK_SHARE
"""Share of the slack that retries may take which endpoints have not read yet. They may be read when there are
few requests, and after the boxes that sent them have ended, beside the retries of a whole slack."""

FIRST_WINDOW_SLACK_SHARE = 0.4
"""Share of its slack that a box reaches during its first window. Its previous process may have spent the
whole slack just before, and 0.7 * 1.4 is still below 1."""

SLOTS_PER_WINDOW = 20
"""Requests are counted in slots, the newest of which is not over yet. Where a window must not count too much
whenever it begins, it covers one slot less."""


class RetryAllowance(msgspec.Struct, frozen=True):
    """Retries allowed in any window: `ratio` of the requests, plus `slack` over all boxes."""

    ratio: float = 0.1
    slack: float = 10.0
    window_s: float = 10.0

    def most_unread(self, boxes: int) -> int:
        """Return how many retries of a box may be unread at endpoints that may have stopped, at least one."""
        return max(1, int(self.slack * UNREAD_SLACK_SHARE / max(1, boxes)))


@dataclass
class RequestCounter:
    """Counts requests in slots of time, over the last two windows.

    counts: by slot, the newest last. newest: number of the newest slot since time 0.
    """

    counts: deque[int] = field(default_factory=lambda: deque([0] * 2 * SLOTS_PER_WINDOW))
    newest: int = 0

    def add(self, slot: int) -> None:
        """Count a request in a slot."""
        self.advance(slot)
        self.counts[-1] += 1

    def advance(self, slot: int) -> None:
        """Make a slot the newest one."""
        for _ in range(min(slot - self.newest, len(self.counts))):
            self.counts.popleft()
            self.counts.append(0)
        self.newest = max(slot, self.newest)

    @property
    def in_window(self) -> int:
        """Return the requests of the last window."""
        return sum(list(self.counts)[-SLOTS_PER_WINDOW:])

    @property
    def least_in_window(self) -> int:
        """Return the fewest requests of any window that ended in the last one."""
        counts = list(self.counts)
        width = SLOTS_PER_WINDOW - 1
        requests = least = sum(counts[-width:])
        for back in range(1, len(counts) - width + 1):
            requests += counts[-width - back] - counts[-back]
            least = min(least, requests)
        return least


@dataclass
class WindowedRetryBudget:
    """Counts one service's requests and retries at this box in a sliding window (monotonic seconds).

    What this box's previous process spent is unknown, as is what other boxes spent on callers who have come
    here since. All boxes keep to the budget because what counts at once is a part that may be spent twice,
    and the rest counts only after two windows, by the window with the fewest requests. Slack grows from zero
    during the first window: however often boxes are killed, in any window at most one process of a box had
    its whole slack, and the growing slack of all others lasts no longer than the window in total.

    Boxes that underestimate their number may exceed the slack: while they start together (little, as slack
    has hardly grown by then, and none is taken before a box has read the rows after writing its own), or when
    a removed box returns within one window.
    """

    allowance: RetryAllowance
    counter: RequestCounter = field(default_factory=RequestCounter)
    retries: deque[float] = field(default_factory=deque)

    def use_allowance(self, allowance: RetryAllowance) -> None:
        """Apply a changed allowance; requests are counted anew if its window has another length."""
        if allowance.window_s != self.allowance.window_s:
            self.counter = RequestCounter()
        self.allowance = allowance

    def on_request(self, now: float) -> None:
        """Count an incoming request."""
        self.counter.add(self._slot(now))

    def on_read_late(self, sent_at: Iterable[float], now: float) -> None:
        """Count retries that were sent at these times as of now, when their endpoint reads them."""
        for at in sent_at:
            permitted_at = next((item for item in reversed(self.retries) if item <= at), None)
            if permitted_at is not None:
                self.retries.remove(permitted_at)
            self.retries.append(now)

    def take(self, now: float, boxes: int, known_s: float, unread: Iterable[float] = ()) -> bool:
        """Spend one retry if this box's share of the allowance permits it.

        known_s: seconds since this process learned the number of boxes, or 0 if it has not. unread: when
        retries were sent that endpoints have not read yet; they may arrive in any window.
        """
        while self.retries and self.retries[0] < now - self.allowance.window_s:
            self.retries.popleft()
        self.counter.advance(self._slot(now))
        old_unread = sum(at < now - self.allowance.window_s for at in unread)
        box_slack = self.allowance.slack * SLACK_SHARE / max(1, boxes) * self._usable_slack_share(known_s)
        if len(self.retries) + old_unread + 1 > self._earned() + box_slack:
            return False
        self.retries.append(now)
        return True

    def _earned(self) -> float:
        """Return the retries that requests have earned."""
        new = NEW_REQUESTS_SHARE * self.counter.in_window
        return self.allowance.ratio * (new + STEADY_REQUESTS_SHARE * self.counter.least_in_window)

    def _slot(self, now: float) -> int:
        return int(now * SLOTS_PER_WINDOW / self.allowance.window_s)

    def _usable_slack_share(self, known_s: float) -> float:
        """Return the share of its slack that a box may use."""
        window_s = self.allowance.window_s
        if known_s <= 0:
            return 0.0
        # A window includes both ends, so a retry at its start may be the previous process's.
        return 1.0 if known_s > window_s else FIRST_WINDOW_SLACK_SHARE * known_s / window_s
