"""TLS of client connections, which count among those of their port before their handshake is done."""

import asyncio
import ssl
from asyncio.sslproto import SSLProtocol
from collections.abc import Callable

from stairquay.adapters.bounded_handler import release_frames
from stairquay.adapters.client_connections import (
    RECEIVE_BUFFER_BYTES,
    ClientConnections,
    CloseReason,
    ProtocolFactory,
    Waiting,
)
from stairquay.adapters.unfinished import reset_connection


class TlsHandshake(asyncio.Protocol):
    """A connection until its handshake is done, when the server takes it.

    early: what came behind the handshake before the server had the connection. lost: the client left before
    that. task: kept here, as the event loop has only a weak reference to it.
    """

    def __init__(
        self, server: ProtocolFactory, context: ssl.SSLContext, connections: ClientConnections
    ) -> None:
        self.server = server
        self.context = context
        self.connections = connections
        self.since = 0
        self.claimed_bytes = 0
        self.early = b""
        self.lost = False
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection and begin its handshake."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.connections.add(self, transport)
        self.task = asyncio.get_running_loop().create_task(self._hand_over(transport))

    def data_received(self, data: bytes) -> None:
        """Keep what came with the end of the handshake."""
        self.early += data

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the client left before the server had the connection."""
        self.lost = True

    def waiting(self) -> Waiting:
        """Return what the connection waits for from its client."""
        return Waiting.FIRST_REQUEST

    def check(self) -> None:
        """Close the connection if its handshake has not ended in time."""
        if self.connections.tick - self.since > self.connections.limits.header_timeout_s:
            self.connections.remove(self)
            self.connections.count(CloseReason.HANDSHAKE_TIMEOUT)
            self.shed(CloseReason.HANDSHAKE_TIMEOUT)

    def shed(self, reason: CloseReason) -> None:
        """Close the connection."""
        if self.transport is not None:
            reset_connection(self.transport)

    async def _hand_over(self, transport: asyncio.Transport) -> None:
        secured = await self._shake_hands(transport)
        self.connections.remove(self)
        self.transport = None
        if secured is None or self.lost:
            return
        protocol = self.server()
        secured.set_protocol(protocol)
        protocol.connection_made(secured)
        if self.early:
            protocol.data_received(self.early)

    async def _shake_hands(self, transport: asyncio.Transport) -> asyncio.Transport | None:
        """Return the transport of what is sent over TLS, None if the connection ended before."""
        if transport.is_closing():
            # It was closed to make room. TLS would wait for the timeout of its handshake.
            return None
        loop = asyncio.get_running_loop()
        try:
            return await loop.start_tls(transport, self, self.context, server_side=True)
        except ssl.SSLError as error:
            release_frames(error)
            self.connections.count(CloseReason.HANDSHAKE_FAILED)
        except ConnectionError as error:
            # The client has left, as balancers do that only probe whether the port takes connections.
            release_frames(error)
        return None


def tls_factory(
    server: ProtocolFactory, context: ssl.SSLContext, connections: ClientConnections
) -> Callable[[], TlsHandshake]:
    """Return the factory of connections that a server takes once their handshake is done."""
    # The event loop allocates a buffer of this size for each TLS connection of a process, 256 KB by default.
    SSLProtocol.max_size = RECEIVE_BUFFER_BYTES

    def create() -> TlsHandshake:
        return TlsHandshake(server, context, connections)

    return create
