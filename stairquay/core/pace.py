"""Limits the rate at which boxes together send to an endpoint.

An endpoint's rate is bounded while it is cold, or by the rate limit in its answers. Its router may use most
of the bound. Standalone boxes, which choose without a router, split a small share and start at random
times, to avoid bursts to an idle endpoint. The limit of an endpoint of a plain service is split by a few
boxes that hold it (`core/places`), since all boxes would keep turns while they are idle.
"""

from dataclasses import dataclass
from random import Random

import msgspec

MIN_PER_S = 0.2
"""Minimum requests per second to an endpoint even if its limit is lower, since only an answer tells that the
limit has ended."""

MAX_RATE_DROP = 0.2
"""Relative drop of a rate up to which a box keeps an unused turn, as limits may vary a little all along."""

MIN_TURN_S = 0.25
"""Shortest time for which a turn stays valid: a busy box may wake up late for a request that waits for it."""


HELD_SHARE, UNSETTLED_HELD_SHARE = 1.0, 0.75
"""Shares of a limit for the boxes that hold it, together: each takes its part of the first, and of the second
while its list of boxes has changed lately. Others may still go by the list before then, and those that held
the limit by that one may go on with all of it."""

HOLDER_BURST_S = 1.5
"""Seconds of its rate that a box which holds a limit may send at once after a pause, so that callers seldom
wait for a turn, but no more than the endpoint has slots. In each four seconds a limit may be exceeded by two
seconds of it."""


class RateShares(msgspec.Struct, frozen=True):
    """Shares of a rate bound, by who decides.

    router: each router that believes that the endpoint is its own. standalone: all standalone boxes
    together. unrouted: all boxes together, for endpoints that no router places on. burst: requests that a
    router may place at once on an idle endpoint.
    """

    router: float
    standalone: float
    unrouted: float
    burst: int


COLD_SHARES = RateShares(router=0.7, standalone=0.2, unrouted=0.7, burst=3)
"""Below a cold endpoint's capacity with one router and standalone boxes, and below what overloads it if two
routers believe for a moment that the endpoint is theirs. Two such routers with their bursts send 1.7 times
the capacity in their worst second if that is 18 requests a second; an endpoint fails at about 1.8 times."""

LIMIT_SHARES = RateShares(router=0.65, standalone=0.2, unrouted=0.9, burst=2)
"""A limit may be exceeded by half for some seconds. Two routers that believe that the endpoint is theirs, and
all standalone boxes, stay within that; one router and those boxes use up to 0.85 of the limit. Where boxes
split it, their number may grow by two thirds before all of them know."""


class RateBound(msgspec.Struct, frozen=True):
    """A bound in requests per second over all callers, and its shares."""

    per_s: float
    shares: RateShares


@dataclass
class Pacer:
    """Spaces requests evenly, allowing a burst after a pause.

    next_at: monotonic seconds at which the next request is due at the rate per_s.
    """

    next_at: float
    per_s: float = 0.0

    def wait_s(self, now: float, per_s: float, burst: float = 1) -> float:
        """Return the seconds until the next request may be sent, or 0."""
        self.change_rate(now, per_s)
        return max(0.0, self.next_at - (burst - 1) / per_s - now)

    def take(self, now: float, per_s: float) -> None:
        """Count a request."""
        self.change_rate(now, per_s)
        self.next_at = max(now, self.next_at) + 1 / per_s

    def refund(self) -> None:
        """Uncount a request that was not sent."""
        if self.per_s > 0:
            self.next_at -= 1 / self.per_s

    def change_rate(self, now: float, per_s: float) -> None:
        """Change the rate, scaling the remaining wait accordingly."""
        if self.per_s > 0 and self.next_at > now:
            self.next_at = now + (self.next_at - now) * self.per_s / per_s
        self.per_s = per_s


def standalone_pacer(previous: Pacer | None, now: float, per_s: float, rng: Random) -> Pacer:
    """Return the pacer of a standalone box: the previous one, or after a long pause a new one with a random
    start.

    A turn that came up unused under a higher rate is void: most boxes may have one, more than the lower rate
    allows together.
    """
    if previous is not None:
        rate_dropped = per_s < previous.per_s * (1 - MAX_RATE_DROP)
        turn_unused = previous.next_at <= now
        previous.change_rate(now, per_s)
        turn_s = max(MIN_TURN_S, 1 / per_s)
        if now < previous.next_at + turn_s and not (rate_dropped and turn_unused):
            return previous
    return Pacer(now + rng.random() / per_s, per_s)
