"""HTTP client for the small, frequent GET requests by which routers poll engines and store boxes.

A router sends some hundreds a second. A general client takes more than twice the processor time for each, for
redirects, cookies, tracing and streamed bodies, none of which these requests use.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

from httptools import HttpParserError, HttpResponseParser

from stairquay.adapters.clock import monotonic
from stairquay.core.buffers import BufferBudget
from stairquay.platform.connections import CONNECT_TIMEOUT_S, IDLE_TIMEOUT_S, set_socket_options

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Size of a response at which its connection is closed; the longest are lists of cached parts."""

MAX_HEAD_BYTES = 65_536
"""Size of the head of a response, without the bytes that arrived last, at which its connection is closed."""

MAX_INCOMPLETE_BYTES = 32 * 1024 * 1024
"""Bytes that all incomplete responses of a client may have together."""

FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
"""Headers without which a body ends where its connection does."""

SWEEP_INTERVAL_S = IDLE_TIMEOUT_S
"""Seconds between two searches for connections that have been idle for too long."""


@dataclass(frozen=True)
class PollResponse:
    """A complete response."""

    status: int
    body: bytes


class PollConnection(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self, budget: BufferBudget) -> None:
        self.transport: asyncio.Transport | None = None
        self.idle_since = monotonic()
        self.response: asyncio.Future[PollResponse] | None = None
        # Whether any byte of the pending response has arrived.
        self.answered = False
        self._parser = HttpResponseParser(self)
        self._body = budget.buffer()
        self._size = 0
        # Whether the head of the pending response is complete, and whether it tells where the body ends.
        self._head_complete = False
        self._framed = False

    @property
    def usable(self) -> bool:
        """Tell whether another request can be sent on this connection."""
        return self.transport is not None and not self.transport.is_closing() and self.response is None

    def send(self, request: bytes) -> asyncio.Future[PollResponse]:
        """Send a request; the future gets the response, or an OSError if there is none."""
        assert self.transport is not None
        self.response = asyncio.get_running_loop().create_future()
        self.answered = False
        self.transport.write(request)
        return self.response

    def time_out(self) -> None:
        """Give up the pending request."""
        self._fail(TimeoutError("no response in time"))

    def close(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Use a new connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        set_socket_options(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a response. Bytes that nobody asked for end the connection."""
        self._size += len(data)
        if self.response is None or self._size > MAX_RESPONSE_BYTES:
            # Failed first: closing would look like the end of a body without length.
            self._fail(ConnectionError("the response is too large"))
            self.close()
            return
        self.answered = True
        if not self._head_complete and self._size > MAX_HEAD_BYTES + len(data):
            self._fail(ConnectionError("the head of the response is too large"))
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except HttpParserError as error:
            self._fail(ConnectionError(f"invalid response: {error}"))
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending request, unless the end of the connection marks that of the body."""
        self.transport = None
        if exc is None and self._head_complete and not self._framed:
            self.on_message_complete()
        self._fail(ConnectionError("the connection was closed") if exc is None else exc)
        self._body.release()

    def on_message_begin(self) -> None:
        """Close the connection after bytes that follow a response; called by the parser."""
        if self.response is None:
            self.close()

    def on_header(self, name: bytes, _: bytes) -> None:
        """Note how the end of the body is marked; called by the parser."""
        self._framed = self._framed or name.lower() in FRAMING_HEADERS

    def on_headers_complete(self) -> None:
        """Record that the head is complete; called by the parser."""
        self._head_complete = True

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body; called by the parser."""
        if not self._body.extend(body):
            self._fail(ConnectionError("responses take too much memory"))
            self.close()

    def on_message_complete(self) -> None:
        """Resolve the pending request; called by the parser."""
        status = self._parser.get_status_code()
        body, self._size = self._body.take(), 0
        self._head_complete = self._framed = False
        reusable = self._parser.should_keep_alive()
        # A parser is not used for a second response, so that nothing of the first can remain in it.
        self._parser = HttpResponseParser(self)
        self.idle_since = monotonic()
        response, self.response = self.response, None
        if response is not None and not response.done():
            response.set_result(PollResponse(status, body))
        if not reusable:
            self.close()

    def _fail(self, error: Exception) -> None:
        response, self.response = self.response, None
        if response is not None and not response.done():
            response.set_exception(error)


PollKind = tuple[str, str]
"""Address and path. An answer that comes a second time, in the place of the next one, has the form that is
expected only where the connection carries requests of one kind."""


@dataclass
class PollClient:
    """Sends GET requests over connections that it keeps, by kind of request."""

    idle_by_kind: dict[PollKind, list[PollConnection]] = field(default_factory=dict)
    budget: BufferBudget = field(default_factory=lambda: BufferBudget(MAX_INCOMPLETE_BYTES))
    swept_at: float = field(default_factory=monotonic)

    async def get(
        self, address: str, target: str, headers: Mapping[str, str], timeout_s: float, reuse: bool = True
    ) -> PollResponse | None:
        """Return the response of `IP:port`, or None if none came in time.

        Without `reuse`, the request has a connection of its own, on which nothing but its answer can come.
        """
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        request = f"GET {target} HTTP/1.1\r\nHost: {address}\r\n{lines}\r\n".encode()
        deadline = asyncio.get_running_loop().time() + timeout_s
        try:
            if reuse:
                return await self._exchange((address, target.partition("?")[0]), request, deadline)
            return await self._exchange_alone(address, request, deadline)
        except (TimeoutError, OSError, ValueError):
            # ValueError: the address is malformed.
            return None

    def close(self) -> None:
        """Close the idle connections."""
        for connections in self.idle_by_kind.values():
            for connection in connections:
                connection.close()
        self.idle_by_kind.clear()

    async def _exchange_alone(self, address: str, request: bytes, deadline: float) -> PollResponse:
        connection = await self._connect(address, deadline)
        try:
            return await _send(connection, request, deadline)
        finally:
            connection.close()

    async def _exchange(self, kind: PollKind, request: bytes, deadline: float) -> PollResponse:
        kept = self._take_idle(kind)
        if kept is not None:
            try:
                return await self._send_and_keep(kept, kind, request, deadline)
            except ConnectionError:
                # The other side may close a connection while it is idle. A GET can be sent again.
                if kept.answered:
                    raise
        connection = await self._connect(kind[0], deadline)
        return await self._send_and_keep(connection, kind, request, deadline)

    async def _send_and_keep(
        self, connection: PollConnection, kind: PollKind, request: bytes, deadline: float
    ) -> PollResponse:
        found = await _send(connection, request, deadline)
        if connection.usable:
            self.idle_by_kind.setdefault(kind, []).append(connection)
        return found

    async def _connect(self, address: str, deadline: float) -> PollConnection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        async with asyncio.timeout_at(min(deadline, loop.time() + CONNECT_TIMEOUT_S)):
            _, connection = await loop.create_connection(lambda: PollConnection(self.budget), host, int(port))
        return connection

    def _take_idle(self, kind: PollKind) -> PollConnection | None:
        now = monotonic()
        if now - self.swept_at > SWEEP_INTERVAL_S:
            self._close_stale(now)
        connections = self.idle_by_kind.get(kind, [])
        while connections:
            connection = connections.pop()
            if connection.usable and now - connection.idle_since < IDLE_TIMEOUT_S:
                return connection
            connection.close()
        return None

    def _close_stale(self, now: float) -> None:
        """Close connections that nobody has used for long, such as those to endpoints that are gone."""
        self.swept_at = now
        for kind, connections in list(self.idle_by_kind.items()):
            fresh = [item for item in connections if item.usable and now - item.idle_since < IDLE_TIMEOUT_S]
            for connection in connections:
                if connection not in fresh:
                    connection.close()
            self.idle_by_kind[kind] = fresh
            if not fresh:
                del self.idle_by_kind[kind]


async def _send(connection: PollConnection, request: bytes, deadline: float) -> PollResponse:
    """Return the response; close the connection if there is none."""
    response = connection.send(request)
    # Takes half the processor time of `asyncio.timeout`.
    timer = asyncio.get_running_loop().call_at(deadline, connection.time_out)
    try:
        return await response
    except BaseException:
        # Also on a time-out: a late response must not be taken for that of the next request.
        connection.close()
        raise
    finally:
        timer.cancel()
