"""Which versions of their software the endpoints of each service had lately.

What two versions write does not fit together, so that a stream may go on only at the version that began it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from stairquay.core.fleet import Endpoint

MEMORY_S = 120.0
"""Seconds for which a version is remembered that is no longer listed: longer than callers wait."""


@dataclass(frozen=True)
class KnownEndpoint:
    """The version that an endpoint's entry named, and when it was last listed (monotonic seconds)."""

    software: str
    at: float


@dataclass
class SoftwareHistory:
    """The versions in each service, from the list of endpoints and from what other boxes saw.

    It is to be told of each change of the list, so that what is listed stays so until the next.

    since: from when on the list is known without gaps, None before the first (monotonic seconds).
    gap_at: when the last gap ended.
    seen_at_by_version: when a version was last listed, by service and version. changed: ids of endpoints
    whose entry named one version after another. Such an endpoint may have run the newer one before its entry
    said so. learned_at: until when other boxes have told what they saw.
    """

    since: float | None = None
    gap_at: float = float("-inf")
    listed: frozenset[tuple[str, str]] = frozenset()
    listed_ids: frozenset[str] = frozenset()
    seen_at_by_version: dict[tuple[str, str], float] = field(default_factory=dict)
    known_by_id: dict[str, KnownEndpoint] = field(default_factory=dict)
    changed: set[str] = field(default_factory=set)
    learned_at: float = float("-inf")

    def observe(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Apply the list of endpoints as it is now."""
        self.since = now if self.since is None else self.since
        for endpoint_id in self.listed_ids:
            # What was listed until now, and may not be any more.
            self.known_by_id[endpoint_id] = replace(self.known_by_id[endpoint_id], at=now)
        found = list(endpoints)
        for endpoint in found:
            known = self.known_by_id.get(endpoint.id)
            if known is not None and known.software not in ("", endpoint.software):
                self.changed.add(endpoint.id)
            self.known_by_id[endpoint.id] = KnownEndpoint(endpoint.software, now)
        self.listed_ids = frozenset(item.id for item in found)
        listed = frozenset((item.service, item.software) for item in found)
        for version in self.listed | listed:
            self.seen_at_by_version[version] = now
        self.listed = listed
        self._forget(now)

    def on_gap(self, at: float) -> None:
        """Record that versions may have come and gone unseen before a time."""
        self.since = self.gap_at = at

    def learn(self, service: str, software: str, at: float) -> None:
        """Record that another box saw a version until a time."""
        key = service, software
        self.learned_at = max(at, self.learned_at)
        self.seen_at_by_version[key] = max(at, self.seen_at_by_version.get(key, at))

    def versions(self, service: str, now: float) -> frozenset[str]:
        """Return the versions that endpoints of a service had lately."""
        recent = (key for key, at in self.seen_at_by_version.items() if now - at < MEMORY_S)
        return frozenset(software for name, software in {*recent, *self.listed} if name == service)

    def differs(self, service: str, now: float) -> bool:
        """Tell whether endpoints of a service had several versions lately."""
        return len(self.versions(service, now)) > 1

    def differing(self, now: float) -> frozenset[str]:
        """Return the listed services whose endpoints had several versions lately."""
        services = {service for service, _ in self.listed}
        return frozenset(service for service in services if self.differs(service, now))

    def unseen_s(self) -> float:
        """Return the seconds between what other boxes told and this box's first list, infinite if unknown."""
        return float("inf") if self.since is None else max(0.0, self.since - self.learned_at)

    def _forget(self, now: float) -> None:
        old = [key for key, at in self.seen_at_by_version.items() if now - at >= MEMORY_S]
        for key in old:
            del self.seen_at_by_version[key]
        gone = [
            key
            for key, known in self.known_by_id.items()
            if key not in self.listed_ids and now - known.at >= MEMORY_S
        ]
        for endpoint_id in gone:
            del self.known_by_id[endpoint_id]
            self.changed.discard(endpoint_id)
