"""Since when a version of weights has been replaced by a newer one."""

from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_SIGHTS = 8
"""Versions remembered of one model. Engines are rarely more than two behind; what is forgotten of older ones
makes them count as replaced earlier, never later."""


@dataclass(frozen=True)
class Sight:
    """A version, and the earliest monotonic time in seconds at which it was known to be there."""

    version: int
    at: float


@dataclass
class VersionHistory:
    """The versions of one model as they came, the oldest first."""

    sights: list[Sight] = field(default_factory=list)

    def record(self, version: int, at: float) -> None:
        """Note that a version was there at a time; the earliest time of each version counts."""
        self._keep([*self.sights, Sight(version, at)])

    def fall_back(self, version: int, at: float) -> None:
        """Note that a version is the newest again: what was known of newer ones does not hold any more."""
        self._keep([*(sight for sight in self.sights if sight.version <= version), Sight(version, at)])

    def replaced_at(self, version: int) -> float | None:
        """Return when the first version newer than this one was there, None where there is none."""
        return min((sight.at for sight in self.sights if sight.version > version), default=None)

    def _keep(self, sights: Iterable[Sight]) -> None:
        earliest: dict[int, float] = {}
        for sight in sights:
            earliest[sight.version] = min(sight.at, earliest.get(sight.version, sight.at))
        kept = [Sight(version, earliest[version]) for version in sorted(earliest)]
        while len(kept) > MAX_SIGHTS:
            first, second = kept[:2]
            kept[:2] = [Sight(second.version, min(first.at, second.at))]
        self.sights = kept
