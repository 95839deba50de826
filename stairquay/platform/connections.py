"""Connections to endpoints that are safe to use again, and that tell how they ended."""

import asyncio
import re
import socket
from collections.abc import Callable
from contextvars import ContextVar
from dataclasses import dataclass
from functools import partial
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, DummyCookieJar, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from stairquay.adapters.clock import monotonic

CONNECT_TIMEOUT_S = 0.4
"""Seconds to open a connection: data halls are a millisecond apart, and a dead box says nothing."""

IDLE_TIMEOUT_S = 12.0
"""Seconds for which an idle connection is kept where its endpoint does not say how long it does. With 4, a
fifth more connections were opened."""

KEEP_ALIVE_SHARE = 0.8
"""Share of an endpoint's own time for idle connections within which one is used again: a request that
crosses the close may have run or not."""

TCP_USER_TIMEOUT_MS = 1_500
"""Milliseconds after which bytes that nobody acknowledged end a connection."""

KEEPALIVE_INTERVAL_S = 1
"""Seconds without bytes after which a connection is probed, and between two probes."""

MAX_KEEPALIVE_PROBES = 2
"""Probes without an answer after which a connection ends."""

KEEP_ALIVE_PATTERN = re.compile(r"(?:timeout=|^\s*)(\d{1,6})")
"""The header's whole seconds, with or without the name that HTTP gives them."""

MAX_FIELD_BYTES = 32_768
"""Longest header field and first line of an endpoint's answer."""


class SendRefused(ClientError):
    """The request must not be sent any more."""


class CheckedProtocol(ResponseHandler):
    """A connection that remembers whether it broke, and is not used again after surplus bytes."""

    broken = False
    stale_at = float("inf")

    def set_keep_alive(self, keep_alive: str) -> None:
        """Take in how long the endpoint keeps the connection when idle, counted from its last answer."""
        found = KEEP_ALIVE_PATTERN.search(keep_alive)
        if found is not None:
            self.stale_at = monotonic() + int(found.group(1)) * KEEP_ALIVE_SHARE

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remember how the connection ended."""
        self.broken = exc is not None
        super().connection_lost(exc)

    def is_connected(self) -> bool:
        """Tell whether the connection can be used: bytes that came unasked spoil it."""
        if not super().is_connected():
            return False
        idle = self._payload is None or self._payload.is_eof()
        return not idle or not (self._buffer or self._tail or monotonic() > self.stale_at)


@dataclass
class PendingSend:
    """One request on its way. `allow` is asked at the last moment before its bytes can leave."""

    may_send: Callable[[], bool]
    protocol: CheckedProtocol | None = None


PENDING_SEND: ContextVar[PendingSend | None] = ContextVar("sending", default=None)
"""The request that the current task sends."""


class CheckedConnector(TCPConnector):
    """Opens checked connections, and asks before each use whether the request may still go."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        factory: Any = partial(CheckedProtocol, loop=asyncio.get_running_loop())
        self._factory = factory

    async def connect(self, *args: Any, **options: Any) -> Connection:
        """Return a connection for the request that the current task sends."""
        connection = await super().connect(*args, **options)
        pending = PENDING_SEND.get()
        if pending is None:
            return connection
        if not pending.may_send():
            connection.close()
            raise SendRefused("the request may not be sent any more")
        protocol = connection.protocol
        assert isinstance(protocol, CheckedProtocol)
        pending.protocol = protocol
        return connection


def open_session(connect_s: float = CONNECT_TIMEOUT_S, idle_s: float = IDLE_TIMEOUT_S) -> ClientSession:
    """Return a session without cookies, redirects or decoding, whose dead connections end soon."""
    connector = CheckedConnector(limit=0, keepalive_timeout=idle_s, socket_factory=_open_socket)
    return ClientSession(
        connector=connector,
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
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_KEEPALIVE_PROBES)
    return opened
