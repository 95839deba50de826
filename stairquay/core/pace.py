"""How much work an endpoint gets that takes only so much, where many boxes send to it and none knows what the
others send.

An endpoint may take only so many requests a second, summed over all boxes: while it is cold, by the
configuration; or by the rate limit that its answers name. Both are one bound, kept in one way. Where one
router counts what it places on the endpoint, it spends most of that. A box that decides alone spends its
share of the rest, at a moment drawn by chance, so that hundreds of boxes that all see an idle endpoint do not
send to it in the same second.
"""

from dataclasses import dataclass
from random import Random

MIN_PER_S = 0.2
"""Requests a second that an endpoint gets all the same which takes fewer, or none: without any, nobody would
hear that this is over."""


@dataclass(frozen=True)
class RateShares:
    """Shares of a bound, by who decides.

    router: each router that believes that the endpoint is its own. alone: all boxes together that decide
    alone, since no router answers or the router has spent its share. split: all boxes together, for endpoints
    that no router places on. burst: requests that a router may place at once on an endpoint that had none
    before.
    """

    router: float
    standalone: float
    unrouted: float
    burst: int


COLD_SHARES = RateShares(router=0.7, standalone=0.2, unrouted=0.7, burst=3)
"""One router alone stays below what a cold endpoint bears. Two that both believe that the endpoint is theirs
send, with their burst, 1.7 times as much in their worst second where it bears 18; an endpoint falls over at
about 1.8 times. On virtual time, 71 boxes that decide alone beside a router stay below what fells an
endpoint; 6 to 330 without one send under half of it."""

LIMIT_SHARES = RateShares(router=0.65, standalone=0.2, unrouted=0.9, burst=2)
"""A limit may be passed by a half over some seconds. Two routers that both believe that the endpoint is
theirs, and all boxes that decide alone, stay below that together; one router and those boxes use up to 0.85
of it. Where boxes split it, their number may grow by two thirds before all of them know."""


@dataclass(frozen=True)
class RateBound:
    """What an endpoint takes, in requests a second over all callers, and how that is shared out."""

    per_s: float
    shares: RateShares


@dataclass
class Pacer:
    """Spaces requests evenly, with some at once after a pause.

    next_at: monotonic time of the next one, at per_s requests a second; 0 before any was counted.
    """

    next_at: float
    per_s: float = 0.0

    def wait_s(self, now: float, per_s: float, burst: int = 1) -> float:
        """Return the seconds until the next request may go, 0 where it may go now."""
        self.change_rate(now, per_s)
        return max(0.0, self.next_at - (burst - 1) / per_s - now)

    def take(self, now: float, per_s: float) -> None:
        """Count a request."""
        self.change_rate(now, per_s)
        self.next_at = max(now, self.next_at) + 1 / per_s

    def refund(self) -> None:
        """Stop counting a request that was never sent."""
        if self.per_s > 0:
            self.next_at -= 1 / self.per_s

    def change_rate(self, now: float, per_s: float) -> None:
        """Have what is still to be waited for last as long as it does at another rate."""
        if self.per_s > 0 and self.next_at > now:
            self.next_at = now + (self.next_at - now) * self.per_s / per_s
        self.per_s = per_s


def standalone_pacer(previous: Pacer | None, now: float, per_s: float, rng: Random) -> Pacer:
    """Return the pace of a box that decides alone. One that sent nothing for long starts at a moment drawn by
    chance, as all others do."""
    if previous is not None:
        previous.change_rate(now, per_s)
        if now < previous.next_at + 1 / per_s:
            return previous
    return Pacer(now + rng.random() / per_s, per_s)
