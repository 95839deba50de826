"""Bounds what the client connections of a port hold until their requests are read and their answers taken.

Times count in ticks, and only while the process runs: after a pause, what has arrived is read before a
connection is given up.
"""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from heapq import nsmallest
from typing import Protocol

from stairquay.core.client_memory import ClientMemory
from stairquay.core.connection_limits import ConnectionLimits

TICK_S = 1.0
"""Seconds between two checks of all connections."""

RECEIVE_BUFFER_BYTES = 65_536
"""Receive buffer of a connection. The system doubles it, to what a connection has at first, but no longer
lets it grow while a client sends faster than the process reads."""

MAX_RECEIVE_BUFFER_BYTES = 1_048_576
"""Receive buffer while a large body comes for which there is memory. The system may allow less."""

SHED_SHARE = 1 / 16
"""Share of a port's connections that is closed at once to make room for new ones."""


class CloseReason(str, Enum):
    """Why this side closed a connection before a request was read or an answer taken."""

    HEAD_TOO_LARGE = "head_too_large"
    MALFORMED = "malformed"
    HANDSHAKE_FAILED = "tls_handshake_failed"
    HANDSHAKE_TIMEOUT = "tls_handshake_timeout"
    HEAD_TIMEOUT = "head_timeout"
    BODY_TIMEOUT = "body_timeout"
    IDLE = "idle"
    CROWDED = "crowded"
    """The port has as many connections as it may have, and this one was the longest without a request."""
    MEMORY = "memory"
    """All clients together had sent as much as may be kept."""
    UNTAKEN = "answer_not_taken"


class Waiting(IntEnum):
    """What a connection waits for. To make room for others, those of a lower value are closed first."""

    END = 0
    """It has been refused or closed, and its client does not leave or take the rest of its answer."""
    FIRST_REQUEST = 1
    HEAD = 2
    BODY = 3
    NEXT_REQUEST = 4


class ClientConnection(Protocol):
    """A connection of a client.

    since: the tick at which its current wait began. claimed_bytes: what it has in the account of memory.
    """

    since: int
    claimed_bytes: int

    def waiting(self) -> Waiting | None:
        """Return what it waits for from its client, None while a request is being handled."""

    def check(self) -> None:
        """Close the connection if one of its timeouts has passed."""

    def shed(self, reason: CloseReason) -> None:
        """Close the connection, or refuse the request whose body it waits for."""


ProtocolFactory = Callable[[], asyncio.Protocol]
"""Returns the protocol of a new connection."""

Report = Callable[[CloseReason, int], None]
"""Called with a reason and how many connections were closed for it since the last tick."""


@dataclass
class ClientConnections:
    """The open connections of one port.

    read_limits: called at each tick. memory: shared by all ports of a process. closed_by_reason: since the
    last tick.
    """

    read_limits: Callable[[], ConnectionLimits] = ConnectionLimits
    memory: ClientMemory = field(default_factory=ClientMemory)
    report: Report = lambda reason, count: None
    # In the order in which they were opened.
    open: dict[ClientConnection, None] = field(default_factory=dict)
    tick: int = 0
    closed_by_reason: dict[CloseReason, int] = field(default_factory=dict)
    timer: asyncio.TimerHandle | None = None

    def __post_init__(self) -> None:
        """Read the limits once, before the first connection."""
        self.use_limits(self.read_limits())

    def use_limits(self, limits: ConnectionLimits) -> None:
        """Apply limits to all connections, also open ones."""
        self.limits = limits
        self.max_head_bytes = limits.max_head_bytes

    def add(self, connection: ClientConnection, transport: asyncio.BaseTransport) -> None:
        """Take up a new connection, and make room for it if there are too many."""
        set_receive_buffer(transport, RECEIVE_BUFFER_BYTES)
        connection.since = self.tick
        self.open[connection] = None
        if len(self.open) > self.limits.max_connections:
            self._make_room(connection)
        if self.timer is None:
            self.use_limits(self.read_limits())
            self._schedule()

    def remove(self, connection: ClientConnection) -> None:
        """Forget a connection that has ended or is handed on; may be called again."""
        self.open.pop(connection, None)
        self.release(connection)

    def claim(self, connection: ClientConnection, size: int) -> bool:
        """Let a connection have `size` bytes in all of the account, shedding the heads of others for them;
        return whether there is memory."""
        added = size - connection.claimed_bytes
        if added > 0 and not self.memory.fits(added):
            self._shed_heads(connection, added)
        if added > 0 and not self.memory.fits(added):
            return False
        self.memory.used_bytes += added
        connection.claimed_bytes = size
        return True

    def release(self, connection: ClientConnection) -> None:
        """Free what a connection claimed."""
        self.memory.used_bytes -= connection.claimed_bytes
        connection.claimed_bytes = 0

    def count(self, reason: CloseReason) -> None:
        """Count a connection that is closed."""
        self.closed_by_reason[reason] = self.closed_by_reason.get(reason, 0) + 1

    def stop(self) -> None:
        """Check no longer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _schedule(self) -> None:
        self.timer = asyncio.get_running_loop().call_later(TICK_S, self._on_tick)

    def _on_tick(self) -> None:
        self.timer = None
        self.tick += 1
        self.use_limits(self.read_limits())
        for connection in list(self.open):
            connection.check()
        closed, self.closed_by_reason = self.closed_by_reason, {}
        for reason, count in closed.items():
            self.report(reason, count)
        if self.open or self.closed_by_reason:
            self._schedule()

    def _make_room(self, newest: ClientConnection) -> None:
        """Shed the connections that have waited longest for a request, or the newest if there are none."""
        surplus = len(self.open) - self.limits.max_connections
        wanted = max(surplus, int(self.limits.max_connections * SHED_SHARE))
        others = [item for item in self.open if item is not newest]
        if not self._shed(wanted, others, CloseReason.CROWDED):
            self._shed(1, [newest], CloseReason.CROWDED)

    def _shed_heads(self, asking: ClientConnection, size: int) -> None:
        while not self.memory.fits(size):
            heads = [
                item
                for item in self.open
                if item is not asking
                and item.claimed_bytes
                and item.waiting() in (Waiting.FIRST_REQUEST, Waiting.HEAD)
            ]
            if not self._shed(1, heads, CloseReason.MEMORY):
                return

    def _shed(self, count: int, among: list[ClientConnection], reason: CloseReason) -> int:
        """Shed some of these connections that wait for their clients; return how many were."""
        found = [
            (self._rank(waiting, item), number, item)
            for number, item in enumerate(among)
            if (waiting := item.waiting()) is not None
        ]
        for _, _, connection in nsmallest(count, found):
            self.remove(connection)
            self.count(reason)
            connection.shed(reason)
        return min(count, len(found))

    def _rank(self, waiting: Waiting, connection: ClientConnection) -> tuple[bool, bool, Waiting, int]:
        """Return a key that sorts connections: those that have had requests last, and before them those that
        are too new for their client to have sent one."""
        is_new = connection.since >= self.tick
        return waiting == Waiting.NEXT_REQUEST, is_new, waiting, connection.since


def set_receive_buffer(transport: asyncio.BaseTransport, size: int) -> None:
    """Set the receive buffer of a connection in bytes, of which the system doubles the value."""
    connection: socket.socket | None = transport.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
