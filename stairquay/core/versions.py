"""Records when versions of weights were replaced by newer ones."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

MAX_RECORDS = 8
"""Versions remembered for one model. Older ones are merged, which can only make a version count as replaced
earlier."""


class VersionRecord(msgspec.Struct, frozen=True):
    """A version, and the earliest monotonic time in seconds at which it was known."""

    version: int
    at: float


@dataclass
class VersionHistory:
    """The versions of one model, the oldest first."""

    records: list[VersionRecord] = field(default_factory=list)

    def record(self, version: int, at: float) -> None:
        """Record that a version was known at a time."""
        self._replace_records([*self.records, VersionRecord(version, at)])

    def roll_back(self, version: int, at: float) -> None:
        """Record that a version is the newest again, and drop newer ones."""
        self._replace_records(
            [*(record for record in self.records if record.version <= version), VersionRecord(version, at)]
        )

    def replaced_at(self, version: int) -> float | None:
        """Return when the first newer version was known, or None if there is none."""
        return min((record.at for record in self.records if record.version > version), default=None)

    def _replace_records(self, records: Iterable[VersionRecord]) -> None:
        earliest: dict[int, float] = {}
        for record in records:
            earliest[record.version] = min(record.at, earliest.get(record.version, record.at))
        kept = [VersionRecord(version, earliest[version]) for version in sorted(earliest)]
        while len(kept) > MAX_RECORDS:
            first, second = kept[:2]
            kept[:2] = [VersionRecord(second.version, min(first.at, second.at))]
        self.records = kept
