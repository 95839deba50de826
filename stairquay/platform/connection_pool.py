"""Connections to endpoints: opened, reused while they are not stale, and closed when idle for long.

aiohttp's client session does the same for any request. Its requests, redirects, cookies and traces take more
processor time than all else that a box does for a plain request, and a box needs none of them.
"""

import asyncio
import socket
from collections import deque
from dataclasses import dataclass, field

from aiohttp import ClientPayloadError, StreamReader
from aiohttp.http import RawResponseMessage
from msgspec.structs import replace
from multidict import CIMultiDictProxy

from stairquay.adapters.clock import monotonic
from stairquay.platform.connections import (
    CONNECT_TIMEOUT_S,
    IDLE_TIMEOUT_S,
    MAX_FIELD_BYTES,
    MAX_OVERHEAD_BYTES,
    CheckedProtocol,
    set_socket_options,
)
from stairquay.platform.names import REQUEST_ID
from stairquay.serving.ports import SurplusAnswers

READ_BUFFER_BYTES = 65_536
"""Bytes of an answer that wait to be read before reading from the connection pauses."""

NO_BODY_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "TRACE"))
"""Methods of requests whose length is not named if they have no body."""

MAX_INTERIM_ANSWERS = 32
"""Interim answers, such as 100 Continue, that may come before an answer."""

MAX_SURPLUS_ANSWERS = 32
"""Answers to earlier requests that may come before the one that is due."""

MAX_SURPLUS_BYTES = MAX_OVERHEAD_BYTES
"""Maximum size of the body of each."""

MAX_UNNAMED_WAIT_S = 2.0
UNNAMED_WAIT_SHARE = 0.5
"""Time to wait for an answer after one that names no request, in seconds and as a share of the time left. It
may have been the answer that was due, from an endpoint that forgets to name requests."""

MAX_IDS_KEPT = 64
"""Ids of the last requests on a connection that are remembered, to know a surplus answer to one of them."""

MAX_UNUSABLE_IDLE = 4
"""Idle connections to an address that may be kept beside a new one that is opened for a request whose id they
have carried. Callers choose ids, and one that repeats an id would open connections without bound."""

SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200


class ConnectTimeoutError(TimeoutError):
    """No connection could be opened within the pool's own limit, whatever time the request has left."""


@dataclass(eq=False)
class PooledConnection:
    """One connection to an endpoint.

    reused: it has carried a request before. idle_since: monotonic seconds. earlier_ids: of the requests
    before the one under way. surplus: what came before the answer that was read last.
    """

    address: str
    protocol: CheckedProtocol
    reused: bool = False
    idle_since: float = 0.0
    earlier_ids: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_IDS_KEPT))
    surplus: SurplusAnswers | None = None

    def can_be_reused(self) -> bool:
        """Tell whether an idle connection can carry the next request."""
        return self.protocol.is_connected() and not self.protocol.has_begun_answer()

    def send(self, method: str, target: str, headers: list[tuple[str, str]], body: bytes) -> None:
        """Encode a request and write it. Raises ValueError if a header has a line break."""
        self.write(method, encode_head(method, target, headers, len(body)), body)

    def write(self, method: str, head: bytes, body: bytes) -> None:
        """Write a request with an encoded head at once, as its sender has just checked the time."""
        transport = self.protocol.transport
        if transport is None:
            raise ConnectionResetError("the connection was closed")
        transport.write(head + body)
        self.protocol.set_response_params(
            skip_payload=method == "HEAD",
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
        )

    async def read_head(self) -> tuple[RawResponseMessage, StreamReader]:
        """Return the head of the answer and the reader of its body, without interim answers.

        Raises ClientError if the connection fails or interim answers do not end.
        """
        for _ in range(MAX_INTERIM_ANSWERS + 1):
            message, payload = await self.protocol.read()
            if message.code >= FIRST_FINAL_STATUS or message.code == SWITCHING_PROTOCOLS:
                return message, payload
        raise ClientPayloadError("too many interim answers")

    async def read_answer(self, request_id: str, left_s: float) -> tuple[RawResponseMessage, StreamReader]:
        """Return the head of the answer to a request and the reader of its body, without surplus answers.

        An endpoint may repeat its answer to an earlier request once the next one is under way. What it says
        is not believed: the answer that is due still comes. left_s: seconds that the request has left. Raises
        ClientError as `read_head` does, if no other answer can follow the surplus one, or if none comes for
        long after one that names no request.
        """
        self.surplus = None
        message, payload = await self.read_head()
        if self._is_surplus(message):
            message, payload = await self._read_due(message, payload, left_s)
        self.earlier_ids.append(request_id)
        return message, payload

    async def _read_due(
        self, message: RawResponseMessage, payload: StreamReader, left_s: float
    ) -> tuple[RawResponseMessage, StreamReader]:
        """Return the answer that follows surplus ones, of which the first has been read."""
        wait_s = None
        for _ in range(MAX_SURPLUS_ANSWERS):
            self._count_surplus(message)
            if named_request(message.headers) is None:
                wait_s = min(MAX_UNNAMED_WAIT_S, left_s * UNNAMED_WAIT_SHARE)
            try:
                async with asyncio.timeout(wait_s):
                    await self._skip(message, payload)
                    message, payload = await self.read_head()
            except TimeoutError as error:
                raise ClientPayloadError("no answer after one that names no request") from error
            if not self._is_surplus(message):
                return message, payload
        raise ClientPayloadError("too many surplus answers")

    def _is_surplus(self, message: RawResponseMessage) -> bool:
        """Tell whether an answer belongs to an earlier request; all answers of endpoints name theirs."""
        if not self.earlier_ids or message.code == SWITCHING_PROTOCOLS:
            return False
        answered_id = named_request(message.headers)
        return answered_id is None or answered_id in self.earlier_ids

    def _count_surplus(self, message: RawResponseMessage) -> None:
        answered = named_request(message.headers) or ""
        first = self.surplus or SurplusAnswers(0, answered, message.code)
        self.surplus = replace(first, number=first.number + 1)

    async def _skip(self, message: RawResponseMessage, payload: StreamReader) -> None:
        """Read a surplus answer to its end. Raises ClientPayloadError if no answer can follow it."""
        if message.should_close:
            raise ClientPayloadError("a surplus answer ends the connection")
        skipped = 0
        while data := await payload.readany():
            skipped += len(data)
            if skipped > MAX_SURPLUS_BYTES:
                raise ClientPayloadError("a surplus answer is too large")
        if not message.chunked or any(payload is ended for ended in self.protocol.ended_cleanly):
            return
        # The parser takes the last field of a trailer for one of the next head.
        if self.protocol.holds_more():
            raise ClientPayloadError("an answer came together with the trailer of a surplus one")
        self.protocol.expect_next_answer()


def named_request(headers: CIMultiDictProxy[str]) -> str | None:
    """Return the id of the request that an answer names, None unless it names exactly one."""
    found = headers.getall(REQUEST_ID, [])
    return found[0] if len(found) == 1 else None


def encode_head(method: str, target: str, headers: list[tuple[str, str]], body_bytes: int) -> bytes:
    """Return the head of a request. Raises ValueError if a part of it has a line break."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body_bytes or method not in NO_BODY_METHODS:
        lines.append(f"Content-Length: {body_bytes}")
    text = "\r\n".join(lines)
    if text.count("\n") != len(lines) - 1 or text.count("\r") != len(lines) - 1 or "\0" in text:
        raise ValueError("a line break in a header")
    return f"{text}\r\n\r\n".encode(errors="surrogateescape")


@dataclass(eq=False)
class ConnectionPool:
    """Idle connections by address, the one that has been idle for longest first."""

    connect_s: float = CONNECT_TIMEOUT_S
    idle_s: float = IDLE_TIMEOUT_S
    idle_by_address: dict[str, deque[PooledConnection]] = field(default_factory=dict)
    closed: bool = False
    expiry: asyncio.TimerHandle | None = None

    async def acquire(self, address: str, request_id: str = "") -> PooledConnection:
        """Return an idle connection, or a new one.

        request_id: a connection that has carried this id before is not used, as a surplus answer to that
        request would look like the answer to the next. Raises OSError if none can be opened, and
        ConnectTimeoutError if that takes too long.
        """
        idle = self.idle_by_address.get(address, ())
        oldest = monotonic() - self.idle_s
        for connection in list(idle):
            if request_id in connection.earlier_ids:
                continue
            self.idle_by_address[address].remove(connection)
            if connection.idle_since > oldest and connection.can_be_reused():
                return connection
            connection.protocol.close()
        self._bound_unusable(address)
        return await self.open(address)

    def release(self, connection: PooledConnection) -> None:
        """Keep a connection for the next request if its last answer was complete, else close it."""
        if self.closed or connection.protocol.should_close:
            connection.protocol.close()
            return
        connection.reused = True
        connection.protocol.is_idle = True
        connection.idle_since = monotonic()
        self.idle_by_address.setdefault(connection.address, deque()).append(connection)
        if self.expiry is None:
            self.expiry = asyncio.get_running_loop().call_later(self.idle_s, self._close_expired)

    async def close(self) -> None:
        """Close all idle connections, and the others as they are released."""
        self.closed = True
        if self.expiry is not None:
            self.expiry.cancel()
        for idle in self.idle_by_address.values():
            for connection in idle:
                connection.protocol.close()
        self.idle_by_address.clear()

    def _bound_unusable(self, address: str) -> None:
        idle = self.idle_by_address.get(address, deque())
        while len(idle) > MAX_UNUSABLE_IDLE:
            idle.popleft().protocol.close()

    async def open(self, address: str) -> PooledConnection:
        """Open a connection; raises as `acquire` does."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.connect_s):
                transport, protocol = await loop.create_connection(
                    lambda: CheckedProtocol(loop), host.strip("[]"), int(port)
                )
        except TimeoutError as error:
            raise ConnectTimeoutError(f"no connection to {address} within {self.connect_s} s") from error
        opened: socket.socket = transport.get_extra_info("socket")
        set_socket_options(opened)
        return PooledConnection(address, protocol)

    def _close_expired(self) -> None:
        oldest = monotonic() - self.idle_s
        for address, idle in list(self.idle_by_address.items()):
            while idle and (idle[0].idle_since <= oldest or not idle[0].protocol.is_connected()):
                idle.popleft().protocol.close()
            if not idle:
                del self.idle_by_address[address]
        self.expiry = None
        if self.idle_by_address:
            next_s = min(idle[0].idle_since for idle in self.idle_by_address.values()) - oldest
            self.expiry = asyncio.get_running_loop().call_later(max(0.1, next_s), self._close_expired)
