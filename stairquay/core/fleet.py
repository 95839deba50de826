"""Endpoints listed by the platform, and which of them may get new work.

A leaving incarnation, identified by its start time, stays marked if its entry is removed and returns.

An endpoint may be missing from the list because of an outage of the table service, so it is still used for a
short time if no other is left. The time counts from when the entry can have been removed, not from when that
was noticed.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

MISSING_GRACE_S = 1.6
"""Seconds for which a missing endpoint may still be used. Must stay below two seconds, the limit
for ending new work to an endpoint that is gone."""

LEAVING_TTL_S = 600.0
"""Seconds for which a leaving mark is kept after the entry was removed. Longer than any leaving endpoint goes
on serving."""


@dataclass(frozen=True)
class LeavingIncarnation:
    """An incarnation of an endpoint that is leaving. born: as for Endpoint. at: monotonic seconds when that
    became known, or when its entry was removed since."""

    born: int
    at: float


@dataclass(frozen=True)
class Endpoint:
    """One endpoint in the list.

    born: Unix milliseconds of its start, which identify the incarnation; 0 if unknown. sequence: counts
    the entries written by this incarnation. cold, cold_s: it takes reduced load, for this many more
    seconds. software: the version of its software, not of its weights; empty if its entry names none.
    Fields that change with every heartbeat are not compared, so that heartbeats alone are not
    broadcast.
    """

    id: str
    service: str
    address: str
    data_hall: str = ""
    slots: int = 1
    leaving: bool = False
    versions_by_model: dict[str, int] = field(default_factory=dict)
    born: int = 0
    sequence: int = field(default=0, compare=False)
    cold: bool = False
    cold_s: float = field(default=0.0, compare=False)
    software: str = ""

    def is_older(self, other: "Endpoint") -> bool:
        """Tell whether this entry was written before another one with the same id, by incarnation, then by
        sequence."""
        if not self.born or not other.born:
            return False
        return (self.born, self.sequence) < (other.born, other.sequence)


@dataclass
class Fleet:
    """All known endpoints by id, since when some are missing from the list (monotonic seconds), and those
    that are leaving."""

    by_id: dict[str, Endpoint] = field(default_factory=dict)
    missing_since_by_id: dict[str, float] = field(default_factory=dict)
    leaving_by_id: dict[str, LeavingIncarnation] = field(default_factory=dict)

    def mark_leaving(self, endpoint_id: str, born: int, now: float) -> bool:
        """Mark an incarnation of an endpoint as leaving; return False if it was marked already."""
        known = self.leaving_by_id.get(endpoint_id)
        if known is not None and born <= known.born:
            return False
        self.leaving_by_id[endpoint_id] = LeavingIncarnation(born, now)
        listed = self.by_id.get(endpoint_id)
        if listed is not None and self.is_leaving(listed):
            self.by_id[endpoint_id] = replace(listed, leaving=True)
        return True

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint is leaving, by its entry or by a mark."""
        return endpoint.leaving or self.is_marked_leaving(endpoint.id, endpoint.born)

    def is_marked_leaving(self, endpoint_id: str, born: int) -> bool:
        """Tell whether an incarnation of an endpoint, or a later one, was marked as leaving."""
        mark = self.leaving_by_id.get(endpoint_id)
        return mark is not None and born <= mark.born

    def apply(
        self, present: Iterable[Endpoint], gone: Iterable[str], now: float, gone_since: float | None = None
    ) -> None:
        """Apply changed entries and removed ones. gone_since: the earliest time at which they can have been
        removed; defaults to now."""
        for endpoint in present:
            known = self.by_id.get(endpoint.id)
            if known is not None and endpoint.is_older(known):
                continue
            if known is not None and not endpoint.software and endpoint.born == known.born:
                # The version of a running process does not change.
                endpoint = replace(endpoint, software=known.software)
            if endpoint.leaving:
                self.mark_leaving(endpoint.id, endpoint.born, now)
            elif self.is_leaving(endpoint):
                endpoint = replace(endpoint, leaving=True)
            self.by_id[endpoint.id] = endpoint
            self.missing_since_by_id.pop(endpoint.id, None)
        for endpoint_id in gone:
            self._remove(endpoint_id, now if gone_since is None else gone_since, now)
        self._expire(now)

    def apply_snapshot(
        self, present: Iterable[Endpoint], now: float, gone_since: float | None = None
    ) -> None:
        """Apply the whole list; endpoints that it lacks are removed."""
        listed = tuple(present)
        ids = {endpoint.id for endpoint in listed}
        self.apply(listed, [key for key in self.by_id if key not in ids], now, gone_since)

    def usable(self, service: str, now: float) -> list[Endpoint]:
        """Return the endpoints of a service that may get new work; missing ones only if no others exist."""
        staying = [item for item in self.by_id.values() if item.service == service and not item.leaving]
        listed = [item for item in staying if item.id not in self.missing_since_by_id]
        if listed:
            return listed
        return [item for item in staying if now - self.missing_since_by_id[item.id] < MISSING_GRACE_S]

    def live(self) -> list[Endpoint]:
        """Return all listed endpoints, including leaving ones."""
        return [item for item in self.by_id.values() if item.id not in self.missing_since_by_id]

    def _remove(self, endpoint_id: str, since: float, now: float) -> None:
        known = self.by_id.get(endpoint_id)
        if known is None:
            return
        if known.leaving:
            del self.by_id[endpoint_id]
            self.missing_since_by_id.pop(endpoint_id, None)
            self.leaving_by_id[endpoint_id] = replace(self.leaving_by_id[endpoint_id], at=now)
            return
        self.missing_since_by_id.setdefault(endpoint_id, since)

    def _expire(self, now: float) -> None:
        expired_missing = [
            key for key, since in self.missing_since_by_id.items() if now - since > MISSING_GRACE_S
        ]
        for endpoint_id in expired_missing:
            del self.missing_since_by_id[endpoint_id]
            self.by_id.pop(endpoint_id, None)
        expired = [key for key, leaving in self.leaving_by_id.items() if now - leaving.at > LEAVING_TTL_S]
        for endpoint_id in expired:
            if endpoint_id not in self.by_id:
                del self.leaving_by_id[endpoint_id]
