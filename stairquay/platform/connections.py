"""HTTP connections with safe reuse: stale ones are dropped."""

import re
import socket
from collections.abc import Callable
from typing import Any

from aiohttp import (
    ClientPayloadError,
    ClientSession,
    ClientTimeout,
    DummyCookieJar,
    StreamReader,
    TCPConnector,
)

from stairquay.adapters.clock import monotonic
from stairquay.adapters.whole_bodies import WholeBodyProtocol, check_bodies, fail

CONNECT_TIMEOUT_S = 0.4
"""Timeout of opening a connection, in seconds. Data halls are a millisecond apart, and a dead box sends
nothing."""

IDLE_TIMEOUT_S = 12.0
"""Seconds for which an idle connection is kept if the endpoint sends no Keep-Alive header. With 4 s, a fifth
more connections were opened."""

KEEP_ALIVE_SHARE = 0.8
"""Share of an endpoint's Keep-Alive time within which an idle connection is reused. The margin avoids sending
a request while the endpoint closes, after which it is unknown whether it ran."""

TCP_USER_TIMEOUT_MS = 1_500
"""Milliseconds for which sent data may stay unacknowledged before the connection is closed."""

KEEPALIVE_INTERVAL_S = 1
"""Seconds before the first keepalive probe of an idle connection, and between probes."""

MAX_KEEPALIVE_PROBES = 2
"""Unanswered keepalive probes after which a connection is closed."""

KEEP_ALIVE_PATTERN = re.compile(r"(?:timeout=|^\s*)(\d{1,6})")
"""Matches the seconds of a Keep-Alive header, with or without `timeout=`."""

MAX_FIELD_BYTES = 32_768
"""Maximum size of a header field and of the status line of a response."""


STATUS_LINE_MARK = b"HTTP/"
STATUS_LINE = re.compile(r"HTTP/\d\.\d \d{3}(?!\d)")
"""Matches the first line of an answer. Within a head it shows that the one before was broken off there."""

MAX_OVERHEAD_BYTES = 262_144
"""Maximum size of what an answer has besides its body: heads, the framing of chunks and trailers."""

OVERHEAD_PER_BODY_BYTE = 16
"""The same for each byte of the body; a chunk of one byte has five."""

MAX_HEADS_PARSED = 64
"""Answers parsed before one is read, interim ones included."""

LAST_CHUNK = b"\r\n0\r\n\r\n"
"""The end of a body in chunks without a trailer."""

PARSED_AT_ONCE_BYTES = 16_384
"""Bytes parsed at a time before the head of an answer is complete; heads of many answers fit into each."""


class CheckedProtocol(WholeBodyProtocol):
    """A connection that is not reused if stale or after unexpected data, and whose answers are bounded.

    stale_at: monotonic seconds. listener: called after data was parsed, and after the connection ended.
    is_idle: no request is under way, so that any data is unexpected.
    """

    listener: Callable[[], None] | None = None
    stale_at = float("inf")
    is_idle = False
    # Bytes of the answer that is under way, with its head and framing.
    answer_bytes = 0
    # Whether the body of the last head comes in chunks.
    in_chunks = False

    def set_keep_alive(self, keep_alive: str) -> None:
        """Apply the Keep-Alive header of a response that was just received."""
        found = KEEP_ALIVE_PATTERN.search(keep_alive)
        if found is not None:
            self.stale_at = monotonic() + int(found.group(1)) * KEEP_ALIVE_SHARE

    def connection_lost(self, exc: BaseException | None) -> None:
        """Tell the listener that the connection ended."""
        super().connection_lost(exc)
        if self.listener is not None:
            self.listener()

    def set_response_params(self, **params: Any) -> None:
        """Expect the answer to a request."""
        self.is_idle = False
        self.answer_bytes = 0
        self.response_params = params
        # Bodies after which a new parser has begun.
        self.ended_cleanly: list[StreamReader] = []
        super().set_response_params(**params)

    def expect_next_answer(self) -> None:
        """Expect another answer to the same request, with a new parser."""
        self.set_response_params(**self.response_params)

    def data_received(self, data: bytes) -> None:
        """Parse data, and tell the listener. Ends the connection on data without end that is no body."""
        if self.is_idle:
            self.close()
            return
        before_body = self._payload is None or self._payload.is_eof()
        if before_body and len(data) > PARSED_AT_ONCE_BYTES:
            for start in range(0, len(data), PARSED_AT_ONCE_BYTES):
                if not self._has_failed():
                    self._parse(data[start : start + PARSED_AT_ONCE_BYTES])
        else:
            self._parse(data)
        if self.listener is not None and data:
            self.listener()

    def _parse(self, data: bytes) -> None:
        start = 0
        while 0 <= (at := data.find(LAST_CHUNK, start)) < len(data) - len(LAST_CHUNK):
            end = at + len(LAST_CHUNK)
            self._parse_piece(data[start:end])
            if self._has_failed():
                return
            self._renew_parser()
            start = end
        self._parse_piece(data[start:])

    def _renew_parser(self) -> None:
        """Parse what follows a body in chunks on its own, so that no field is carried into the next head."""
        payload = self._payload
        if self.in_chunks and payload is not None and payload.is_eof():
            self.ended_cleanly.append(payload)
            super().set_response_params(**self.response_params)

    def _parse_piece(self, data: bytes) -> None:
        super().data_received(data)
        self.answer_bytes += len(data)
        payload = self._payload
        body_bytes = 0 if payload is None else payload.total_bytes
        if self.answer_bytes - body_bytes > MAX_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * body_bytes:
            self._give_up("too many bytes that are no body")
        elif len(self._buffer) > MAX_HEADS_PARSED:
            self._give_up("too many answers")

    def _has_failed(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    def _give_up(self, reason: str) -> None:
        fail(self._payload, reason)
        # The end of the connection would give its reader another error.
        self._payload = None
        self.set_exception(ClientPayloadError(reason))
        transport = self.transport
        if transport is not None:
            transport.abort()

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take the head of an answer and the reader of its body, unless the head is made of two."""
        message = data[0]
        if STATUS_LINE.search(message.reason) or any(
            STATUS_LINE_MARK in value and STATUS_LINE.search(value.decode(errors="replace"))
            for _, value in message.raw_headers
        ):
            self._give_up("two answers in one head")
            return
        self.in_chunks = message.chunked
        super().feed_data(data, size)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume reading if it was paused; a reader calls this after each piece that it takes."""
        if self._reading_paused or self._buffer_paused:
            super().resume_reading(resume_parser)

    def is_connected(self) -> bool:
        """Tell whether the connection can be used."""
        if not super().is_connected():
            return False
        idle = self._payload is None or self._payload.is_eof()
        return not (idle and monotonic() > self.stale_at)

    def holds_more(self) -> bool:
        """Tell whether anything has come after the answer that was read last."""
        return bool(self._buffer or self._tail) or self.has_begun_answer()

    def has_begun_answer(self) -> bool:
        """Tell whether an idle connection holds the first part of a surplus answer.

        Only its parser knows, and is of no use afterwards if so: the connection is to be closed.
        """
        if self._parser is None:
            return False
        try:
            return self._parser.feed_eof() is not None
        except Exception:
            # What has come of the head is invalid as one.
            return True


def open_session(
    connect_s: float = CONNECT_TIMEOUT_S, idle_s: float = IDLE_TIMEOUT_S, reuse: bool = True
) -> ClientSession:
    """Return a session without cookies and decompression that detects dead connections quickly.

    Without `reuse`, each request has a connection of its own, on which no answer to another one can come.
    """
    if reuse:
        connector = TCPConnector(limit=0, keepalive_timeout=idle_s, socket_factory=_open_socket)
    else:
        connector = TCPConnector(limit=0, force_close=True, socket_factory=_open_socket)
    return ClientSession(
        connector=check_bodies(connector, CheckedProtocol),
        cookie_jar=DummyCookieJar(),
        timeout=ClientTimeout(total=None, sock_connect=connect_s),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        max_field_size=MAX_FIELD_BYTES,
        max_line_size=MAX_FIELD_BYTES,
    )


def _open_socket(address: tuple[Any, ...]) -> socket.socket:
    family, kind, protocol = address[0], address[1], address[2]
    opened = socket.socket(family, kind, protocol)
    set_socket_options(opened)
    return opened


def set_socket_options(opened: socket.socket) -> None:
    """Make a connection send without delay, and end soon after its other side is gone."""
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_KEEPALIVE_PROBES)
