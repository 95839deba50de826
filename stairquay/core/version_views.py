"""Records when a box last knew a version of weights to be the newest, and when it learned of newer ones.

Both are safe bounds of the time at which a newer version was named, whatever the box missed: it was not named
before a view was requested that lacks it, nor after one was received that has it.
"""

from dataclasses import dataclass, field
from math import inf

NEVER = float("-inf")

MAX_RECORDS = 64
"""Versions remembered for one model. Of older ones, a later time counts."""


@dataclass
class VersionViews:
    """One box's views of the target versions; times are monotonic seconds.

    viewed_at: when the newest view was requested. newest_at_by_version: by model, when the last view was
    requested in which a version was the target that isn't any more. learned_at_by_version: by model, when the
    first view of a target was received. shortest_term_s, longest_term_s: of the times of a rollout that
    earlier settings named.
    """

    viewed_at: float = NEVER
    target_by_model: dict[str, int] = field(default_factory=dict)
    newest_at_by_version: dict[str, dict[int, float]] = field(default_factory=dict)
    learned_at_by_version: dict[str, dict[int, float]] = field(default_factory=dict)
    shortest_term_s: float = inf
    longest_term_s: float = 0.0

    def observe(self, target_by_model: dict[str, int], asked_at: float, received_at: float) -> None:
        """Record a complete view; a target never falls."""
        for model, version in target_by_model.items():
            before = self.target_by_model.get(model, 0)
            if version > before:
                self._replace(model, before, version, received_at)
        self.viewed_at = max(self.viewed_at, asked_at)

    def observe_term(self, term_s: float) -> None:
        """Record a time of a rollout that other settings replace."""
        self.shortest_term_s = min(self.shortest_term_s, term_s)
        self.longest_term_s = max(self.longest_term_s, term_s)

    def newest_at(self, model: str, version: int) -> float:
        """Return the last time at which no newer version was named for certain, NEVER if there is none."""
        if version >= self.target_by_model.get(model, 0):
            return self.viewed_at
        # No newer one was named while an older one was the target either.
        newest = self.newest_at_by_version.get(model, {})
        return max((at for target, at in newest.items() if target <= version), default=NEVER)

    def replaced_by(self, model: str, version: int) -> float | None:
        """Return a time by which a newer version was named for certain, None if none is known."""
        learned = self.learned_at_by_version.get(model, {})
        return min((at for newer, at in learned.items() if newer > version), default=None)

    def _replace(self, model: str, before: int, version: int, received_at: float) -> None:
        self.target_by_model[model] = version
        newest = self.newest_at_by_version.setdefault(model, {})
        learned = self.learned_at_by_version.setdefault(model, {})
        if self.viewed_at > NEVER:
            newest[before] = self.viewed_at
        learned[version] = received_at
        for records in (newest, learned):
            while len(records) > MAX_RECORDS:
                del records[min(records)]
