"""Since when a version of weights has been replaced by a newer one."""

from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_RECORDS = 8
"""Versions remembered of one model. Engines are rarely more than two behind; what is forgotten of older ones
makes them count as replaced earlier, never later."""


@dataclass(frozen=True)
class VersionRecord:
    """A version, and the earliest monotonic time in seconds at which it was known to be there."""

    version: int
    at: float


@dataclass
class VersionHistory:
    """The versions of one model as they came, the oldest first."""

    records: list[VersionRecord] = field(default_factory=list)

    def record(self, version: int, at: float) -> None:
        """Note that a version was there at a time; the earliest time of each version counts."""
        self._replace_records([*self.records, VersionRecord(version, at)])

    def roll_back(self, version: int, at: float) -> None:
        """Note that a version is the newest again: what was known of newer ones does not hold any more."""
        self._replace_records(
            [*(record for record in self.records if record.version <= version), VersionRecord(version, at)]
        )

    def replaced_at(self, version: int) -> float | None:
        """Return when the first version newer than this one was there, None where there is none."""
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
