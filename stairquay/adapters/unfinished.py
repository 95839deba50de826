"""Lets a caller notice that a response without length and chunks was broken off.

The end of the connection marks that of such a response, which a caller of HTTP/1.0 gets. A process that is
killed, and `transport.abort`, would end the connection with FIN, as if the response were complete.
"""

import asyncio
import socket
import struct

from aiohttp import HttpVersion11, web

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CLOSE_IN_ORDER = struct.pack("ii", 0, 0)


def has_next_request(request: web.BaseRequest) -> bool:
    """Tell whether the caller has sent a further request on the connection, which was read."""
    # The server has no other way to tell.
    return bool(request.protocol._messages)


def begin_response(request: web.BaseRequest) -> None:
    """Let the connection end with a reset until `finish_response`, whoever closes it."""
    _set_linger(request, RESET_ON_CLOSE)


def finish_response(request: web.BaseRequest) -> None:
    """Let the connection end in order, before the rest of a complete response is written."""
    _set_linger(request, CLOSE_IN_ORDER)


def reset_connection(transport: asyncio.WriteTransport) -> None:
    """End a connection at once, with a reset."""
    _set_linger_of(transport, RESET_ON_CLOSE)
    transport.abort()


def _set_linger(request: web.BaseRequest, option: bytes) -> None:
    if request.version < HttpVersion11 and request.transport is not None:
        _set_linger_of(request.transport, option)


def _set_linger_of(transport: asyncio.BaseTransport, option: bytes) -> None:
    connection: socket.socket | None = transport.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
