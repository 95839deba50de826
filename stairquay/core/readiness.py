"""Decides when an overloaded box reports unready to the load balancer, and for how long."""

from dataclasses import dataclass
from math import inf

UNREADY_AFTER_S = 1.0
"""Seconds of overload after which a box reports unready."""

MAX_UNREADY_S = 2.0
"""Longest time in seconds for which a box reports unready."""

MIN_READY_S = 3.0
"""Shortest time in seconds for which a box reports ready again."""

JITTER_S = 1.0
"""Seconds by which the starts of unready times differ among boxes, so that not all are unready at once."""


@dataclass
class Readiness:
    """Whether a box that is overloaded for long reports ready to the load balancer.

    overloaded_since: infinite without overload. jitter: between 0 and 1, of this box.
    """

    jitter: float = 0.0
    overloaded_since: float = inf
    unready_since: float = -inf
    ready_since: float = -inf

    def observe(self, overloaded: bool, now: float) -> None:
        """Record whether the box is overloaded."""
        if not overloaded:
            self.overloaded_since = inf
            self._end_unready(now)
            return
        self.overloaded_since = min(self.overloaded_since, now)
        if self.unready_since > -inf:
            if now - self.unready_since >= MAX_UNREADY_S:
                self._end_unready(now)
            return
        overloaded_s, ready_s = now - self.overloaded_since, now - self.ready_since
        jitter_s = JITTER_S * self.jitter
        if overloaded_s > UNREADY_AFTER_S + jitter_s and ready_s >= MIN_READY_S + jitter_s:
            self.unready_since = now

    def ready(self, now: float) -> bool:
        """Tell whether the box reports ready; at the latest when its time to be unready has passed."""
        return now - self.unready_since >= MAX_UNREADY_S

    def _end_unready(self, now: float) -> None:
        if self.unready_since > -inf:
            self.unready_since = -inf
            self.ready_since = now
