"""Leases in the table service, and the fencing tokens that orders carry.

Each process uses its own monotonic clock: the holder stops before the lease ends, and another takes over
only after it has seen the row unchanged for the whole duration.
"""

from dataclasses import dataclass

from stairquay.core.position import Position
from stairquay.core.whole_numbers import WholeNumber

HOLDER_SHARE = 0.6
"""Share of the lease in which the holder may act; the rest covers pauses and orders in transit."""

FIRST_ERA = 1
"""Era of a table service that was never restored."""

ERA_BITS = 32
"""Bits of a token below its era."""


@dataclass(frozen=True)
class LeaseRow:
    """The stored lease: `token` increments with every change of holder, `renewal` with every write.

    A token is higher than all of earlier eras of the table service, since a restore may have lost the row
    with the last one.
    """

    holder: str
    token: WholeNumber
    duration_s: float
    renewal: WholeNumber = 0


@dataclass(frozen=True)
class HeldLease:
    """The holder's view; `sent_at` is the monotonic time just before its last write."""

    row: LeaseRow
    position: Position
    sent_at: float

    def may_act(self, now: float) -> bool:
        """Tell whether the holder may still act at monotonic time `now`."""
        return now < self.sent_at + self.row.duration_s * HOLDER_SHARE


@dataclass(frozen=True)
class ObservedLease:
    """Another process's view; `first_seen` is its monotonic time when it first read this position."""

    row: LeaseRow
    position: Position
    first_seen: float

    def expired(self, now: float) -> bool:
        """Tell whether the lease has ended."""
        return now >= self.first_seen + self.row.duration_s


def observe(previous: ObservedLease | None, row: LeaseRow, position: Position, now: float) -> ObservedLease:
    """Return the view after a read; an unchanged row keeps its `first_seen`."""
    if previous is not None and previous.position == position:
        return previous
    return ObservedLease(row, position, now)


def first_token(era: int) -> int:
    """Return the lowest token of an era; those of the first era begin at 1."""
    return (max(0, era - FIRST_ERA) << ERA_BITS) + 1


def next_lease_row(current: LeaseRow | None, holder: str, duration_s: float, era: int = 0) -> LeaseRow:
    """Return the row by which `holder` acquires or renews the lease in an era."""
    lowest = first_token(era)
    if current is None:
        return LeaseRow(holder, lowest, duration_s)
    if current.holder == holder and current.token >= lowest:
        return LeaseRow(holder, current.token, duration_s, current.renewal + 1)
    return LeaseRow(holder, max(lowest, current.token + 1), duration_s, current.renewal + 1)
