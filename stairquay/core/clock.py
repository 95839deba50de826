"""Times by another clock, when all that is known of it is what it showed in an answer."""

from dataclasses import dataclass

ROUNDING_S = 1e-6
"""Seconds by which bounds may pass each other through rounding alone: those of an answer that took no time
are equal. Clocks are told in milliseconds or finer."""


@dataclass(frozen=True)
class ClockOffset:
    """Bounds of another steady clock less ours, in seconds.

    A clock that is told in an answer was read between question and answer. Which of both bounds is used says
    to which side a converted time may be wrong: here always to the earlier one, so that no age is too low.
    """

    least: float
    most: float

    @classmethod
    def told(cls, their_now: float, asked_at: float, answered_at: float) -> "ClockOffset":
        """Return what an answer tells: the other clock's time, and ours before and after."""
        return cls(their_now - answered_at, their_now - asked_at)

    def narrowed(self, newer: "ClockOffset") -> "ClockOffset":
        """Return the bounds after a newer answer. One that contradicts replaces all that was known: clocks
        drift, and a service may come back with another one."""
        least, most = max(self.least, newer.least), min(self.most, newer.most)
        return newer if least - most > ROUNDING_S else ClockOffset(least, most)

    def ours(self, theirs: float) -> float:
        """Return the earliest time by our clock that a time by the other one can be."""
        return theirs - self.most

    def theirs(self, ours: float) -> float:
        """Return the earliest time by the other clock that a time by ours can be."""
        return ours + self.least
