"""Connections of the HTTP server that hold a bounded part of a request until it is read."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager, suppress
from http import HTTPStatus
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web import RequestHandler, Server
from aiohttp.web_protocol import _ErrInfo

from stairquay.adapters.client_connections import (
    MAX_RECEIVE_BUFFER_BYTES,
    RECEIVE_BUFFER_BYTES,
    ClientConnections,
    CloseReason,
    Waiting,
    set_receive_buffer,
)
from stairquay.adapters.unfinished import reset_connection

LINGER_S = 2.0
"""Seconds for which the rest of a refused request is read. Closing before would reset the connection, and the
client might lose the answer."""

LINGER_BYTES = 1_000_000
"""Bytes of the rest that are read at most."""

HEAD_COST = 3
"""Bytes kept for each byte of a head that waits: fields are kept as bytes and as text, in objects."""

OVERHEAD_PER_BODY_BYTE = 16
"""Bytes that the framing of chunks may have for each byte of the body; a chunk of one byte has five."""

STATUS_BY_REASON = {
    CloseReason.HEAD_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    CloseReason.HEAD_TIMEOUT: HTTPStatus.REQUEST_TIMEOUT,
    CloseReason.BODY_TIMEOUT: HTTPStatus.REQUEST_TIMEOUT,
    CloseReason.CROWDED: HTTPStatus.SERVICE_UNAVAILABLE,
    CloseReason.MEMORY: HTTPStatus.SERVICE_UNAVAILABLE,
}
"""Statuses of refusals; 400 for all other reasons."""

REFUSAL = (_ErrInfo(status=0, exc=ValueError("refused"), message=""), EMPTY_PAYLOAD)
"""Stands for a refused request among those that are still to be handled. The parser's own errors keep the
bytes that they are about."""

EncodeRefusal = Callable[[CloseReason], web.Response]
"""Returns the answer to a request that is refused before it is read."""


class ShedBodyError(web.RequestPayloadError):
    """Raised to whoever reads a body whose connection is needed for others."""


def plain_refusal(reason: CloseReason) -> web.Response:
    """Return a refusal with a line of text."""
    status = STATUS_BY_REASON.get(reason, HTTPStatus.BAD_REQUEST)
    return web.Response(status=status, text=f"{status.phrase}\n")


def release_frames(error: BaseException) -> None:
    """Drop what refers to the frames in which an error of a head or body was raised. They hold the bytes that
    were read, and the error itself: only a collection of garbage frees such a cycle."""
    error.__traceback__ = error.__context__ = error.__cause__ = None


class BoundedHandler(RequestHandler):
    """One connection of the HTTP server.

    head_bytes: of the incomplete head, if any, and the empty lines before it. head_since: the tick at which
    it began, None if only empty lines have come. payload: the body read last. body_bytes: what came for it,
    with its framing. queued_bytes: of requests that wait behind others. refused: nothing more is read.
    lingers: the refusal has been written. unsent: bytes of answers at the tick `unsent_since`, None while the
    client takes them. link: the transport until the connection has ended; `transport` is None once it is
    being closed. ended: done with the connection, while it lingers.
    """

    __slots__ = (
        "connections",
        "encode_refusal",
        "since",
        "claimed_bytes",
        "head_bytes",
        "head_since",
        "payload",
        "body_bytes",
        "refused",
        "discarded_bytes",
        "lingers",
        "queued_bytes",
        "unsent",
        "unsent_since",
        "link",
        "ended",
    )

    def __init__(
        self, server: Server, connections: ClientConnections, encode_refusal: EncodeRefusal, **options: Any
    ) -> None:
        super().__init__(server, **options)
        self.connections = connections
        self.encode_refusal = encode_refusal
        self.since = 0
        self.claimed_bytes = 0
        self.head_bytes = 0
        self.head_since: int | None = None
        self.payload: StreamReader = EMPTY_PAYLOAD
        self.body_bytes = 0
        self.refused: CloseReason | None = None
        self.discarded_bytes = 0
        self.queued_bytes = 0
        self.unsent = 0
        self.unsent_since: int | None = None
        self.lingers = False
        self.link: asyncio.Transport | None = None
        self.ended: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take up the connection."""
        super().connection_made(transport)
        self.link = self.transport
        self.connections.add(self, transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self.connections.remove(self)
        self.link = None
        if self.ended is not None and not self.ended.done():
            self.ended.set_result(None)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what has come, of a head no more than it may have."""
        if self.refused is not None:
            self._discard(len(data))
        elif self._messages and not self.connections.memory.fits(HEAD_COST * len(data)):
            self.refuse(CloseReason.MEMORY)
        elif self.head_bytes + len(data) <= self.connections.max_head_bytes or not self.payload.is_eof():
            self._parse(data)
        else:
            self._parse_in_parts(data)

    def _parse_in_parts(self, data: bytes) -> None:
        while data and self.refused is None and self.transport is not None:
            size = max(1, self.connections.max_head_bytes - self.head_bytes)
            self._parse(data[:size])
            data = data[size:]

    def _parse(self, data: bytes) -> None:
        in_body = not self.payload.is_eof()
        messages_before = self._request_count
        super().data_received(data)
        while self._upgraded:
            self._decline_upgrade()
        if self._request_count != messages_before:
            self._on_messages(len(data))
        elif in_body:
            self._on_body(len(data))
        elif data:
            self._on_head(data)

    def _decline_upgrade(self) -> None:
        """Parse what follows a request for another protocol as the next request (RFC 9110, section 7.8)."""
        assert self._parser is not None
        self._parser.set_upgraded(False)
        self._upgraded = False
        tail, self._message_tail = self._message_tail, b""
        super().data_received(tail)

    def _on_messages(self, size: int) -> None:
        """Begin anew after a head was read, or refuse one that is malformed."""
        self.head_bytes = self.body_bytes = 0
        self.head_since = None
        self.since = self.connections.tick
        message, payload = self._messages[-1]
        if not isinstance(message, _ErrInfo):
            self.payload = payload
            self._count_queued(size)
            return
        release_frames(message.exc)
        too_long = isinstance(message.exc, LineTooLong)
        self.refused = CloseReason.HEAD_TOO_LARGE if too_long else CloseReason.MALFORMED
        self._messages.pop()
        if self._messages:
            self.payload = self._messages[-1][1]
        if self.payload.is_eof():
            self._messages.append(REFUSAL)
        else:
            # The request whose body it is gets the answer.
            self._fail_body(web.RequestPayloadError("the body is malformed"))

    def _count_queued(self, size: int) -> None:
        """Count requests that wait for the answers to those before, if there are any."""
        if len(self._messages) > 1 or self._request_in_progress:
            if not self._claim(self.queued_bytes + size):
                self._read_no_more()
        elif self.claimed_bytes:
            self.queued_bytes = 0
            self.connections.release(self)

    def _read_no_more(self) -> None:
        """Answer what has been read as a whole, and let `check` close the connection then."""
        self.refused = CloseReason.MEMORY
        if not self.payload.is_eof():
            self._fail_body(ShedBodyError("there is no memory for the rest of the body"))

    def _on_head(self, data: bytes) -> None:
        if self.head_since is None and data.strip(b"\r\n"):
            self.head_since = self.connections.tick
        self.head_bytes += len(data)
        if self.head_bytes >= self.connections.max_head_bytes:
            self.refuse(CloseReason.HEAD_TOO_LARGE)
        elif not self._claim(self.queued_bytes):
            self.refuse(CloseReason.MEMORY)

    def _claim(self, queued_bytes: int) -> bool:
        """Count what is kept of requests that have not been handled; return whether there is memory."""
        if not self.connections.claim(self, HEAD_COST * (queued_bytes + self.head_bytes) + self.unsent):
            return False
        self.queued_bytes = queued_bytes
        return True

    def _on_body(self, size: int) -> None:
        """Refuse a body whose chunk extensions or trailers don't end."""
        self.body_bytes += size
        body_bytes = self.payload.total_bytes
        overhead = self.body_bytes - body_bytes * (1 + OVERHEAD_PER_BODY_BYTE)
        # While reading is paused, part of the body has come and is not parsed yet.
        if overhead > self.connections.max_head_bytes and not self._reading_paused:
            self.refused = CloseReason.HEAD_TOO_LARGE
            self._fail_body(web.RequestPayloadError("the framing of the body is too large"))

    def _fail_body(self, error: web.RequestPayloadError) -> None:
        """Let the handler of the request refuse it, and close the connection afterwards: by `check`, where
        requests before it are still to be answered."""
        if not self._messages:
            self._close = True
        payload, self.payload = self.payload, EMPTY_PAYLOAD
        payload.set_exception(error)
        # The server has nothing to read after the answer.
        payload.feed_eof()

    def refuse(self, reason: CloseReason) -> None:
        """Refuse what has come of a request, after the answers that are due before, and close."""
        self.refused = reason
        self._request_count += 1
        self._messages.append(REFUSAL)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _make_error_handler(
        self, err_info: _ErrInfo
    ) -> Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]:
        async def refuse(request: web.BaseRequest) -> web.StreamResponse:
            reason = self.refused or CloseReason.MALFORMED
            self.connections.count(reason)
            response = self.encode_refusal(reason)
            response.force_close()
            try:
                await response.prepare(request)
                await response.write_eof()
                await self._linger()
            except OSError:
                # The client has left.
                return response
            return response

        return refuse

    async def _linger(self) -> None:
        """Read what still comes until the client closes the connection."""
        self.lingers = True
        if self.transport is None:
            return
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.ended = asyncio.get_running_loop().create_future()
        with suppress(TimeoutError):
            async with asyncio.timeout(LINGER_S):
                await self.ended

    def _discard(self, size: int) -> None:
        self.discarded_bytes += size
        if self.discarded_bytes > LINGER_BYTES:
            self._reset()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = HTTPStatus.INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request whose handler failed; its client may have sent a body that can't be read."""
        if not isinstance(exc, web.RequestPayloadError):
            return super().handle_error(request, status, exc, message)
        release_frames(exc)
        response = self.encode_refusal(self.refused or CloseReason.MALFORMED)
        response.force_close()
        return response

    def log_exception(self, *args: Any, **options: Any) -> None:
        """Log an error of the server. One of a body that it reads after its answer is only counted."""
        error = options.get("exc_info")
        if not isinstance(error, web.RequestPayloadError):
            super().log_exception(*args, **options)
            return
        release_frames(error)
        self.connections.count(self.refused or CloseReason.MALFORMED)

    def waiting(self) -> Waiting | None:
        """Return what the connection waits for from its client."""
        if self.lingers or self.link is None or self.link.is_closing():
            return Waiting.END
        if self._request_in_progress or self._messages:
            return None if self.payload.is_eof() else Waiting.BODY
        if not self._request_count:
            return Waiting.FIRST_REQUEST
        return Waiting.HEAD if self.head_bytes else Waiting.NEXT_REQUEST

    def shed(self, reason: CloseReason) -> None:
        """Close the connection, or refuse the request whose body it waits for."""
        # Nothing checks the connection any more: it must close with this answer.
        takes_answers = self.link is not None and not self.link.get_write_buffer_size()
        if self.waiting() == Waiting.BODY and takes_answers and not self._messages:
            self.refused = reason
            self._fail_body(ShedBodyError("the connection is needed for other requests"))
        else:
            self._reset()

    def check(self) -> None:
        """Close the connection if one of its timeouts has passed."""
        link, limits, tick = self.link, self.connections.limits, self.connections.tick
        if link is None:
            return
        handles = self._waiter is None or self._waiter.done()
        unsent = link.get_write_buffer_size()
        if unsent and (self._paused or not handles or link.is_closing()):
            # Nothing is written meanwhile, so that fewer bytes show that the client takes some.
            self._check_unsent(unsent, limits.idle_timeout_s)
            return
        if self.unsent_since is not None or (self.queued_bytes and not self._messages):
            self.unsent, self.unsent_since = 0, None
            self._claim(self.queued_bytes if self._messages else 0)
        if link.is_closing():
            return
        if handles:
            self._check_body(limits.body_timeout_s)
        elif self.refused is not None:
            self._end(self.refused)
        elif self.head_since is not None:
            if tick - max(self.head_since, self.since) > limits.header_timeout_s:
                self.refuse(CloseReason.HEAD_TIMEOUT)
        elif tick - self.since > limits.idle_timeout_s:
            self._end(CloseReason.IDLE)

    def _check_body(self, timeout_s: float) -> None:
        if self.payload.is_eof():
            self.since = self.connections.tick
        elif self.connections.tick - self.since > timeout_s:
            self.refused = CloseReason.BODY_TIMEOUT
            self._fail_body(web.RequestPayloadError("the body did not arrive in time"))

    def _check_unsent(self, unsent: int, timeout_s: float) -> None:
        """Reset the connection of a client that takes nothing, sooner if memory is short."""
        reason = None
        if self.unsent_since is None or unsent < self.unsent:
            self.unsent_since, self.unsent = self.connections.tick, unsent
        elif self.connections.tick - self.unsent_since > timeout_s:
            reason = CloseReason.UNTAKEN
        elif not self.connections.memory.fits(unsent - self.claimed_bytes):
            reason = CloseReason.MEMORY
        if reason is not None:
            self.connections.count(reason)
            self._reset()
        elif self.connections.memory.fits(unsent):
            self._claim(self.queued_bytes)

    def _end(self, reason: CloseReason) -> None:
        self.connections.count(reason)
        self.force_close()

    def _reset(self) -> None:
        if self.link is not None:
            reset_connection(self.link)


@contextmanager
def large_receive_buffer(request: web.BaseRequest) -> Iterator[None]:
    """Let a connection have a larger receive buffer while a large body comes, whose length its caller has
    claimed as memory: over a long way, a small one would hold the client up."""
    size, transport = request.content_length or 0, request.transport
    if size <= RECEIVE_BUFFER_BYTES or transport is None:
        yield
        return
    set_receive_buffer(transport, min(size, MAX_RECEIVE_BUFFER_BYTES))
    try:
        yield
    finally:
        if not transport.is_closing():
            set_receive_buffer(transport, RECEIVE_BUFFER_BYTES)


def is_refused(request: web.BaseRequest) -> bool:
    """Tell whether nothing more is read from a request's connection, which has to be closed."""
    connection = request.protocol
    return isinstance(connection, BoundedHandler) and connection.refused is not None
