"""Times by another clock, when all that is known of it is what it showed in an answer."""

from dataclasses import dataclass

ROUNDING_TOLERANCE_S = 1e-6
"""Seconds by which bounds may pass each other through rounding alone: those of an answer that took no time
are equal. Clocks are told in milliseconds or finer."""


@dataclass(frozen=True)
class ClockOffset:
    """Bounds of another steady clock less ours, in seconds.

    A clock that is told in an answer was read between question and answer. Which of both bounds is used says
    to which side a converted time may be wrong: here always to the earlier one, so that no age is too low.
    """

    lower: float
    upper: float

    @classmethod
    def from_exchange(cls, remote_now: float, sent_at: float, received_at: float) -> "ClockOffset":
        """Return what an answer tells: the other clock's time, and ours before and after."""
        return cls(remote_now - received_at, remote_now - sent_at)

    def narrowed(self, newer: "ClockOffset") -> "ClockOffset":
        """Return the bounds after a newer answer. One that contradicts replaces all that was known: clocks
        drift, and a service may come back with another one."""
        lower, upper = max(self.lower, newer.lower), min(self.upper, newer.upper)
        return newer if lower - upper > ROUNDING_TOLERANCE_S else ClockOffset(lower, upper)

    def to_local(self, remote_s: float) -> float:
        """Return the earliest time by our clock that a time by the other one can be."""
        return remote_s - self.upper

    def to_remote(self, local_s: float) -> float:
        """Return the earliest time by the other clock that a time by ours can be."""
        return local_s + self.lower
