"""Whether a process may trust its view of configuration and boxes.

A view is fresh while the platform answers. While it does not, a router's view stays fresh as long as
the router is in touch with more than half of all routers, itself included: nobody can have changed
the configuration without one of them hearing of it. A router that reaches neither is cut off; others
may go on without it, so its box takes no new requests until it is back.
"""

from dataclasses import dataclass, field
from enum import Enum


class Reach(str, Enum):
    """Whom a process reached within its limit."""

    PLATFORM = "platform"
    PEERS = "peers"
    NOBODY = "nobody"


@dataclass
class Freshness:
    """Monotonic times of the last answers of the platform and of each peer.

    `peers_needed` answers of different peers within `limit_s` stand in for the platform's.
    """

    limit_s: float
    required_peers: int = 1
    loaded: bool = False
    platform_at: float = float("-inf")
    peers_at: dict[str, float] = field(default_factory=dict)

    def on_platform(self, now: float) -> None:
        """Count an answer of the platform."""
        self.loaded = True
        self.platform_at = now

    def on_peer(self, peer: str, now: float, loaded: bool) -> None:
        """Count an answer of a peer, and whether it had a configuration to give."""
        self.loaded = self.loaded or loaded
        self.peers_at[peer] = now

    def reach(self, now: float) -> Reach:
        """Return whom this process reached within the limit."""
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
    """Return how many other routers make more than half of all, together with oneself."""
    return routers // 2
