"""Conversion between the local monotonic clock and a remote one that is known from its answers only."""

import msgspec

ROUNDING_TOLERANCE_S = 1e-6
"""Seconds by which the bounds may cross through rounding alone. Those of an answer that took no time are
equal."""


class ClockOffset(msgspec.Struct, frozen=True):
    """Bounds in seconds of a remote clock's offset from the local one.

    Conversions round to the earlier time, so that ages are never underestimated.
    """

    lower: float
    upper: float

    @classmethod
    def from_exchange(cls, remote_now: float, sent_at: float, received_at: float) -> "ClockOffset":
        """Return the offset measured by one request and its answer."""
        return cls(remote_now - received_at, remote_now - sent_at)

    def narrowed(self, newer: "ClockOffset") -> "ClockOffset":
        """Return the intersection with a newer measurement. A newer one that does not overlap replaces the
        old bounds: clocks drift, and a restarted service may have another clock."""
        lower, upper = max(self.lower, newer.lower), min(self.upper, newer.upper)
        return newer if lower - upper > ROUNDING_TOLERANCE_S else ClockOffset(lower, upper)

    def to_local(self, remote_s: float) -> float:
        """Return the earliest local time for a remote time."""
        return remote_s - self.upper

    def to_remote(self, local_s: float) -> float:
        """Return the earliest remote time for a local time."""
        return local_s + self.lower
