"""Client connections on which a body that was broken off is never read as a whole one."""

import asyncio
from functools import partial
from typing import Any

from aiohttp import ClientPayloadError, StreamReader, TCPConnector
from aiohttp.client_proto import ResponseHandler


class WholeBodyProtocol(ResponseHandler):
    """A connection whose pending body fails with ClientPayloadError unless it ends as it should.

    It is not used again after bytes that came while no request was under way.

    The base class takes any end of the connection for that of a body without length and chunks, also a reset
    and its own `close`; and a body whose chunks are invalid never ends there.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the pending body, unless the orderly end of the connection is its end."""
        payload = self._payload
        if exc is not None:
            fail(payload, f"the connection broke: {type(exc).__name__}")
        super().connection_lost(exc)
        fail(payload, "the body is incomplete or invalid")

    def is_connected(self) -> bool:
        """Tell whether the connection can be used; an answer that waits to be read is to no request."""
        idle = self._payload is None or self._payload.is_eof()
        return super().is_connected() and not (idle and (self._buffer or self._tail))

    def close(self) -> None:
        """Close the connection, and fail the pending body."""
        fail(self._payload, "the connection was closed by this side")
        super().close()


def check_bodies(
    connector: TCPConnector, protocol: type[WholeBodyProtocol] = WholeBodyProtocol
) -> TCPConnector:
    """Make a connector open its connections with this protocol."""
    factory: Any = partial(protocol, loop=asyncio.get_running_loop())
    connector._factory = factory
    return connector


def fail(payload: StreamReader | None, reason: str) -> None:
    """Fail a body, unless it has ended."""
    if payload is not None and not payload.is_eof() and payload.exception() is None:
        payload.set_exception(ClientPayloadError(reason))
