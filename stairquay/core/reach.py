"""Tells whether a box reaches the endpoints of a service, from what its own connections show.

One endpoint that takes no connection has probably failed. Where several take none, and none was reached
since, they may all be down or this box may be cut from them, which it can't tell apart by itself.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

NEVER = float("-inf")
"""A time before any other."""

MIN_UNREACHED = 2
"""Endpoints that must have failed, or all if a service has fewer."""

UNREACHED_TTL_S = 3.0
"""Seconds for which a failure counts. Probes repeat it while the endpoints of a service count as lost."""


@dataclass
class Reach:
    """Endpoints of one service that took no connection since the last one that was reached.

    unreached_at_by_id: monotonic seconds of the last failure, by endpoint id.
    """

    unreached_at_by_id: dict[str, float] = field(default_factory=dict)

    def record_reached(self) -> None:
        """Record that some endpoint of the service was reached."""
        self.unreached_at_by_id.clear()

    def record_unreached(self, endpoint: str, now: float) -> None:
        """Record that an endpoint took no connection, or that one broke without an answer."""
        self.unreached_at_by_id[endpoint] = now

    def is_lost(self, listed: Collection[str], now: float) -> bool:
        """Return whether this box reaches none of the listed endpoints, as far as it knows."""
        if not self.unreached_at_by_id or not listed:
            return False
        failed = sum(self._failed_at(endpoint, now) > NEVER for endpoint in listed)
        return failed >= min(MIN_UNREACHED, len(listed))

    def untried(self, listed: Collection[str], now: float) -> list[str]:
        """Return the listed endpoints without a failure that counts, then the others, longest ago first."""
        return sorted(listed, key=lambda endpoint: self._failed_at(endpoint, now))

    def _failed_at(self, endpoint: str, now: float) -> float:
        """Return when an endpoint last failed, NEVER if that is too long ago to count."""
        at = self.unreached_at_by_id.get(endpoint, NEVER)
        return at if now - at < UNREACHED_TTL_S else NEVER
