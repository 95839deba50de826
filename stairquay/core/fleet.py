"""Endpoints that the platform lists, and which of them may get new work.

Whoever is leaving stays so, whether its entry or its answers said it, and also where the entry lapses and
returns. An endpoint that starts again under its id is told from the one before by the time of its birth:
nothing that held for the old one holds for it.

An endpoint that vanished from the list without a word may be one whose entry lapsed during an outage of the
table service: it is a last resort for a short while, which counts from when it can have vanished, not from
when that was noticed.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

MISSING_GRACE_S = 1.6
"""Seconds for which a vanished endpoint is a last resort: entries that lapsed in an outage are back two
seconds after it, and new work must stop two seconds after an endpoint left."""

LEAVING_TTL_S = 600.0
"""Seconds for which an endpoint that left is remembered after its entry went: longer than any is away and
serves on."""


@dataclass(frozen=True)
class LeavingIncarnation:
    """A life of an endpoint that leaves. born: as for Endpoint. at: monotonic seconds at which that was heard
    of, or its entry went since."""

    born: int
    at: float


@dataclass(frozen=True)
class Endpoint:
    """One endpoint in the list. `versions_by_model` is what it says of its weights.

    born: Unix milliseconds of its start, 0 where it does not say so. sequence: counts what it wrote in this
    life. cold: it said that it bears little work yet, for `cold_s` more seconds. What changes with each of
    its heartbeats does not make it another entry: else each would be passed on to all boxes.
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

    def is_older(self, other: "Endpoint") -> bool:
        """Tell whether this entry was written before another one with the same id: in an earlier life, or
        earlier in the same one."""
        if not self.born or not other.born:
            return False
        return (self.born, self.sequence) < (other.born, other.sequence)


@dataclass
class Fleet:
    """All endpoints known, by id, since when the list misses some (monotonic seconds), and which leave."""

    by_id: dict[str, Endpoint] = field(default_factory=dict)
    missing_since_by_id: dict[str, float] = field(default_factory=dict)
    leaving_by_id: dict[str, LeavingIncarnation] = field(default_factory=dict)

    def mark_leaving(self, endpoint_id: str, born: int, now: float) -> bool:
        """Take in that a life of an endpoint leaves, whoever said so; tell whether that is news."""
        known = self.leaving_by_id.get(endpoint_id)
        if known is not None and born <= known.born:
            return False
        self.leaving_by_id[endpoint_id] = LeavingIncarnation(born, now)
        listed = self.by_id.get(endpoint_id)
        if listed is not None and self.is_leaving(listed):
            self.by_id[endpoint_id] = replace(listed, leaving=True)
        return True

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint leaves, whatever its entry says."""
        mark = self.leaving_by_id.get(endpoint.id)
        return endpoint.leaving or (mark is not None and endpoint.born <= mark.born)

    def apply(
        self, present: Iterable[Endpoint], gone: Iterable[str], now: float, gone_since: float | None = None
    ) -> None:
        """Take in changed entries, and removed ones: since `gone_since` at the earliest, or now."""
        for endpoint in present:
            known = self.by_id.get(endpoint.id)
            if known is not None and endpoint.is_older(known):
                continue
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
        """Take in the whole list; what it lacks is gone, with `gone_since` as for changed entries."""
        listed = tuple(present)
        ids = {endpoint.id for endpoint in listed}
        self.apply(listed, [key for key in self.by_id if key not in ids], now, gone_since)

    def usable(self, service: str, now: float) -> list[Endpoint]:
        """Return the endpoints of a service that may get new work; vanished ones only where no other is."""
        staying = [item for item in self.by_id.values() if item.service == service and not item.leaving]
        listed = [item for item in staying if item.id not in self.missing_since_by_id]
        if listed:
            return listed
        return [item for item in staying if now - self.missing_since_by_id[item.id] < MISSING_GRACE_S]

    def live(self) -> list[Endpoint]:
        """Return all endpoints that the list has, leaving ones included."""
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
