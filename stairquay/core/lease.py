"""Leases kept in the table service, and the fencing tokens that orders carry.

The holder stops by its own monotonic clock well before a rival may take over, and a rival waits
out the whole lease by its own clock from the moment it first saw the row unchanged.
"""

from dataclasses import dataclass

HOLDER_SHARE = 0.6
"""Share of the lease in which the holder may act; the rest covers pauses and orders on their way."""


@dataclass(frozen=True)
class LeaseRow:
    """The row in the table: who holds the lease, under which fencing token, for how long.

    `token` grows by one with every change of holder. `renewal` grows with every write.
    """

    holder: str
    token: int
    duration_s: float
    renewal: int = 0


@dataclass(frozen=True)
class HeldLease:
    """A lease as its holder knows it: `sent_at` is the monotonic time before the write was sent."""

    row: LeaseRow
    revision: int
    sent_at: float

    def may_act(self, now: float) -> bool:
        """Tell whether the holder may still act at monotonic time `now`."""
        return now < self.sent_at + self.row.duration_s * HOLDER_SHARE


@dataclass(frozen=True)
class ObservedLease:
    """A rival's view: the row's revision and the monotonic time it was first seen."""

    row: LeaseRow
    revision: int
    first_seen: float

    def expired(self, now: float) -> bool:
        """Tell whether the holder must have stopped by now."""
        return now >= self.first_seen + self.row.duration_s


def observe(previous: ObservedLease | None, row: LeaseRow, revision: int, now: float) -> ObservedLease:
    """Return the rival's view after a read; an unchanged row keeps its first sight."""
    if previous is not None and previous.revision == revision:
        return previous
    return ObservedLease(row, revision, now)


def next_lease_row(current: LeaseRow | None, holder: str, duration_s: float) -> LeaseRow:
    """Return the row with which `holder` takes or renews the lease."""
    if current is None:
        return LeaseRow(holder, 1, duration_s)
    if current.holder == holder:
        return LeaseRow(holder, current.token, duration_s, current.renewal + 1)
    return LeaseRow(holder, current.token + 1, duration_s, current.renewal + 1)
