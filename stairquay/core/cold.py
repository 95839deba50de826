"""How much work a cold endpoint gets, where many boxes send to it and none knows what the others send.

An endpoint is cold after its start, and at times later. While it is, it bears so many requests a second,
summed over all boxes, and falls over well above that. Where one router counts what it places on the endpoint,
it spends most of that; a box that decides alone spends its share of the rest, at a moment drawn by chance, so
that hundreds of boxes that all see an idle endpoint do not send to it in the same second.
"""

from dataclasses import dataclass
from random import Random

ROUTER_SHARE = 0.7
"""Share of what a cold endpoint bears that its router spends: one router alone stays below what it bears. Two
that both believe that the endpoint is theirs send, with ROUTER_BURST, 1.7 times as much in their worst second
where it bears 18; an endpoint falls over at about 1.8 times."""

ALONE_SHARE = 0.2
"""Share of it that all boxes spend together which decide alone, since no router answers them. On virtual
time, 71 of them beside a router stay below what fells an endpoint; 6 to 330 without one send under half of
it."""

ROUTER_BURST = 3
"""Requests that a router may place at once on a cold endpoint that had none before."""


@dataclass(frozen=True)
class ColdLimit:
    """What the endpoints of a service bear while they are cold, in requests a second over all callers, and
    for how many seconds they are cold after a start."""

    per_s: float
    start_s: float = 0.0


@dataclass
class Pace:
    """Spaces requests evenly, with some at once after a pause. next_at: monotonic time of the next one."""

    next_at: float

    def wait_s(self, now: float, per_s: float, burst: int = 1) -> float:
        """Return the seconds until the next request may go, 0 where it may go now."""
        return max(0.0, self.next_at - (burst - 1) / per_s - now)

    def take(self, now: float, per_s: float) -> None:
        """Count a request."""
        self.next_at = max(now, self.next_at) + 1 / per_s


def pace_alone(before: Pace | None, now: float, per_s: float, chance: Random) -> Pace:
    """Return the pace of a box that decides alone. One that sent nothing for long starts at a moment drawn by
    chance, as all others do."""
    if before is not None and now < before.next_at + 1 / per_s:
        return before
    return Pace(now + chance.random() / per_s)
