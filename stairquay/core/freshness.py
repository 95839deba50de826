"""Freshness of a process's view of the configuration and the boxes.

A view is fresh while the platform answers, or while a router reaches a majority of all routers, itself
included: one of them sees every configuration change. Otherwise the router is cut off and others may go on
without it, so its box takes no new requests.
"""

from dataclasses import dataclass, field
from enum import Enum


class Reach(str, Enum):
    """What a process has reached within the time limit."""

    PLATFORM = "platform"
    PEERS = "peers"
    NOBODY = "nobody"


@dataclass
class Freshness:
    """Monotonic times of the last responses of the platform and of each peer.

    limit_s: age in seconds up to which a response counts
    required_peers: number of peers whose responses suffice without the platform's
    loaded: whether a configuration has been received
    """

    limit_s: float
    required_peers: int = 1
    loaded: bool = False
    platform_at: float = float("-inf")
    peers_at: dict[str, float] = field(default_factory=dict)

    def on_platform(self, now: float) -> None:
        """Record a response of the platform."""
        self.loaded = True
        self.platform_at = now

    def on_peer(self, peer: str, now: float, loaded: bool) -> None:
        """Record a response of a peer, and whether it has a configuration."""
        self.loaded = self.loaded or loaded
        self.peers_at[peer] = now

    def reach(self, now: float) -> Reach:
        """Return what this process has reached within `limit_s`."""
        if now - self.platform_at <= self.limit_s:
            return Reach.PLATFORM
        self._drop_silent_peers(now)
        if len(self.peers_at) >= self.required_peers:
            return Reach.PEERS
        return Reach.NOBODY

    def ready(self, now: float) -> bool:
        """Tell whether new requests may be taken."""
        return self.loaded and self.reach(now) != Reach.NOBODY

    def _drop_silent_peers(self, now: float) -> None:
        silent = [peer for peer, at in self.peers_at.items() if now - at > self.limit_s]
        for peer in silent:
            del self.peers_at[peer]


def peers_for_majority(routers: int) -> int:
    """Return how many peers make a majority of `routers` together with this router."""
    return routers // 2
