"""Time limits of calls, from how long the answers to earlier ones took."""

from dataclasses import dataclass

WEIGHT = 0.2
"""Weight of the newest answer in the moving average."""

MARGIN = 3.0
"""Factor by which an answer may take longer than on average."""


@dataclass
class AnswerTimes:
    """Moving average of the seconds that answers took, None before the first one."""

    mean_s: float | None = None

    def observe(self, took_s: float) -> None:
        """Record an answer, or the time after which a call was given up."""
        if self.mean_s is None:
            self.mean_s = took_s
        self.mean_s += WEIGHT * (took_s - self.mean_s)

    def limit_s(self, shortest_s: float, longest_s: float) -> float:
        """Return the time limit of the next call; `longest_s` goes before `shortest_s`."""
        return min(longest_s, max(shortest_s, MARGIN * (self.mean_s or 0.0)))
