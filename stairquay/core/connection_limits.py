"""Limits on what one client connection may hold, and for how long, until its request is read."""

from dataclasses import dataclass
from math import inf

REQUEST_LINE_BYTES = 8_192
"""Bytes allowed beside the header fields, as a limit on these need not count the request line."""

MIN_IDLE_S = 15.0
"""Lower bound of the idle timeout, since other boxes reuse connections that were idle for 12 s."""

CONNECTION_BYTES = 131_072
"""Bytes that one connection may cost: what lies unread in its receive buffer, its head, and its objects."""

ENTRY_CONNECTION_BYTES = 2 * CONNECTION_BYTES
"""The same in the separate entry, where more of a body may have been read before its handler takes it."""

PROGRAMS_PER_MACHINE = 3
"""Programs that share a machine's memory where they are separate: entry, router, control."""

CONNECTION_MEMORY_SHARE = 0.2
"""Share of the machine's memory that connections may cost, besides the account of requests."""

CONNECTIONS_PER_DESCRIPTOR = 0.4
"""Share of the process's descriptors for callers' connections. Requests have one to an endpoint as well, and
other boxes' connections need some."""

PEER_CONNECTIONS_PER_DESCRIPTOR = 0.25
"""Share of the process's descriptors for connections of other boxes. A router has one from each box."""

MIN_CONNECTIONS = 16

MONITORING_CONNECTIONS = 48
"""Connections that a port which only few clients need, such as that for metrics, may have at a time."""


@dataclass(frozen=True)
class ConnectionLimits:
    """Limits of one port.

    max_header_bytes: of a request's header fields. header_timeout_s: from a head's first byte to its last.
    body_timeout_s: from a head's end to the body's, for ports whose handlers have no limit of their own.
    idle_timeout_s: without a request, and without taking any of an answer. max_connections: open at a time.
    """

    max_header_bytes: int = 32_768
    header_timeout_s: float = 30.0
    body_timeout_s: float = inf
    idle_timeout_s: float = 120.0
    max_connections: int = 1_000

    @property
    def max_head_bytes(self) -> int:
        """Return the maximum size of a whole head."""
        return self.max_header_bytes + REQUEST_LINE_BYTES


def max_peer_connections(max_descriptors: int) -> int:
    """Return how many connections of other boxes a process may have."""
    return max(MIN_CONNECTIONS, int(max_descriptors * PEER_CONNECTIONS_PER_DESCRIPTOR))


def max_connections(max_descriptors: int, memory_mb: int, connection_bytes: int = CONNECTION_BYTES) -> int:
    """Return how many connections of callers a process may have, by its descriptors and its memory in MB
    (0 for no limit)."""
    by_descriptors = int(max_descriptors * CONNECTIONS_PER_DESCRIPTOR)
    by_memory = int(memory_mb * 1_000_000 * CONNECTION_MEMORY_SHARE / connection_bytes) or by_descriptors
    return max(MIN_CONNECTIONS, min(by_descriptors, by_memory))
