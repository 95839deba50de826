"""Answers the first request of a connection from its head alone, before an HTTP server takes the connection.

Setting up a connection in the HTTP server, and running a handler there, costs several times as much CPU time.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpProcessingError, HttpRequestParser
from aiohttp.web import RequestHandler, Server, ServerRunner
from multidict import CIMultiDictProxy

from stairquay.adapters.bounded_handler import LINGER_S, EncodeRefusal, plain_refusal
from stairquay.adapters.bounded_server import handler_factory
from stairquay.adapters.client_connections import ClientConnections, CloseReason, ProtocolFactory, Waiting
from stairquay.adapters.unfinished import reset_connection

HEAD_END = b"\r\n\r\n"

PARSER_LIMIT_BYTES = 65_536
"""Size from which the parser asks to pause reading, which has no effect on a request that is not read."""


@dataclass(frozen=True)
class RequestHead:
    """The request line and the headers of a request."""

    method: str
    target: str
    headers: CIMultiDictProxy[str]


EarlyAnswer = Callable[[RequestHead], bytes | None]
"""Returns a complete response that closes the connection, or None to leave the request to the server."""


class EarlyAnswerProtocol(asyncio.Protocol):
    """A connection that is answered early, or passed on to the HTTP server with its first data."""

    def __init__(self, server: ProtocolFactory, answer: EarlyAnswer, connections: ClientConnections) -> None:
        self.server = server
        self.answer = answer
        self.connections = connections
        self.since = 0
        self.claimed_bytes = 0
        self.transport: asyncio.Transport | None = None
        self.answered = False
        self.closing: asyncio.TimerHandle | None = None
        # Bytes of the body still to come.
        self.remaining = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.connections.add(self, transport)

    def data_received(self, data: bytes) -> None:
        """Answer the first data or pass it on; discard what comes after an answer."""
        assert self.transport is not None
        if self.answered:
            self._discard(self.transport, len(data))
            return
        head_end = data.find(HEAD_END)
        head = None if head_end < 0 else _parse_head(data[: head_end + len(HEAD_END)])
        response = None if head is None else self.answer(head)
        if head is None or response is None:
            self._pass_on(self.transport, data)
            return
        self.transport.write(response)
        self.remaining = _body_bytes(head)
        self.answered = True
        self._discard(self.transport, len(data) - head_end - len(HEAD_END))

    def eof_received(self) -> None:
        """Let the transport close: the caller sends nothing more."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop waiting for the rest of a request."""
        self.connections.remove(self)
        if self.closing is not None:
            self.closing.cancel()

    def waiting(self) -> Waiting:
        """Return what the connection waits for from its client."""
        return Waiting.END if self.answered else Waiting.FIRST_REQUEST

    def check(self) -> None:
        """Close the connection if its client has sent nothing for long."""
        idle_s = self.connections.tick - self.since
        if not self.answered and idle_s > self.connections.limits.idle_timeout_s:
            self.connections.count(CloseReason.IDLE)
            self.shed(CloseReason.IDLE)

    def shed(self, reason: CloseReason) -> None:
        """Close the connection."""
        if self.transport is not None:
            reset_connection(self.transport)

    def _discard(self, transport: asyncio.Transport, count: int) -> None:
        self.remaining -= count
        if self.remaining <= 0:
            transport.close()
        elif self.closing is None:
            self.closing = asyncio.get_running_loop().call_later(LINGER_S, transport.close)

    def _pass_on(self, transport: asyncio.Transport, data: bytes) -> None:
        self.connections.remove(self)
        protocol = self.server()
        transport.set_protocol(protocol)
        protocol.connection_made(transport)
        protocol.data_received(data)


def _unsent_bytes(connection: RequestHandler) -> int:
    transport = connection.transport
    return 0 if transport is None else transport.get_write_buffer_size()


def _parse_head(data: bytes) -> RequestHead | None:
    """Return the head, None if it is malformed: the server's answer to that is the right one."""
    loop = asyncio.get_running_loop()
    parser = HttpRequestParser(BaseProtocol(loop), loop, PARSER_LIMIT_BYTES)
    try:
        messages, _, _ = parser.feed_data(data)
    except HttpProcessingError:
        return None
    if len(messages) != 1:
        return None
    message = messages[0][0]
    return RequestHead(message.method, message.path, message.headers)


def _body_bytes(head: RequestHead) -> float:
    """Return the length of the body, infinite if it is not known."""
    if "Transfer-Encoding" in head.headers:
        return float("inf")
    return float(head.headers.get("Content-Length", 0))


class EarlyAnswerRunner(ServerRunner):
    """Runs a server whose new connections may be answered early while `is_active` holds."""

    def __init__(
        self,
        web_server: Server,
        is_active: Callable[[], bool],
        answer: EarlyAnswer,
        connections: ClientConnections | None = None,
        encode_refusal: EncodeRefusal = plain_refusal,
        **options: Any,
    ) -> None:
        super().__init__(web_server, **options)
        self.is_active = is_active
        self.answer = answer
        self.connections = connections or ClientConnections()
        self.encode_refusal = encode_refusal

    def is_sending(self) -> bool:
        """Tell whether callers have not yet taken all that was written to them."""
        return any(_unsent_bytes(connection) for connection in self._connections())

    def reset_unsent(self) -> None:
        """Reset the connections of callers that have not taken all, so that no answer looks complete."""
        for connection in self._connections():
            if _unsent_bytes(connection) and connection.transport is not None:
                reset_connection(connection.transport)

    def _connections(self) -> list[RequestHandler]:
        server = super().server
        return [] if server is None else server.connections

    @property
    def server(self) -> Any:
        """Return the factory of protocols for new connections."""
        server = super().server
        if server is None:
            return None

        create_handler = handler_factory(server, self.connections, self.encode_refusal)

        def create_protocol() -> asyncio.Protocol:
            if self.is_active():
                return EarlyAnswerProtocol(create_handler, self.answer, self.connections)
            return create_handler()

        return create_protocol

    async def cleanup(self) -> None:
        """Stop the server."""
        await super().cleanup()
        self.connections.stop()
