"""Brings an endpoint's answer to the caller: whole where it is short, event by event where it streams.

An answer that breaks off never looks complete: the caller's connection is cut instead.
"""

import asyncio
import re
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from aiohttp import web

from stairquay.adapters.clock import monotonic
from stairquay.serving.ports import BrokenAnswer, Reply

EVENT_END = b"\n\n"
EVENT_ID = re.compile(rb"^id: ?(.*?)\r?$", re.MULTILINE)
MAX_EVENT_BYTES = 1_000_000
"""Longest event that is held back until it is whole: far above the usual 360 bytes."""

MAX_RESPONSE_BYTES = 16_000_000
"""Longest answer that is held whole before it is passed on."""


@dataclass
class StreamProgress:
    """How far a stream has come at the caller. `response` is None until its head was sent."""

    response: web.StreamResponse | None = None
    last_event_id: str | None = None
    events: int = 0


async def read_body(reply: Reply, deadline: float) -> bytes:
    """Return a short answer's body; raises BrokenAnswer or TimeoutError."""
    body = bytearray()
    async with asyncio.timeout(deadline - monotonic()):
        async for chunk in reply.chunks():
            body += chunk
            if len(body) > MAX_RESPONSE_BYTES:
                raise BrokenAnswer("the answer is too large")
    return bytes(body)


def buffered_response(reply: Reply, body: bytes) -> web.Response:
    """Return a short answer as the endpoint gave it."""
    response = web.Response(status=reply.status, body=body)
    response.headers.clear()
    for name, value in reply.headers:
        response.headers.add(name, value)
    return response


async def relay_stream(
    request: web.Request,
    reply: Reply,
    progress: StreamProgress,
    deadline: float,
    on_first_event: Callable[[], None],
    should_close: Callable[[], bool],
) -> None:
    """Pass a stream on, whole events only; raises BrokenAnswer or TimeoutError where it ends early.

    The head goes out with the first event, so that a stream that breaks before it can still be refused.
    """
    async with asyncio.timeout(deadline - monotonic()):
        async for events in _complete_events(reply.chunks()):
            if progress.response is None:
                progress.response = await _send_head(request, reply, should_close())
            if progress.events == 0:
                on_first_event()
            await progress.response.write(events)
            _record_events(progress, events)
        if progress.response is None:
            progress.response = await _send_head(request, reply, should_close())
        await progress.response.write_eof()


def abort_connection(request: web.Request) -> None:
    """Cut the caller's connection, so that an answer that broke off cannot be taken for a whole one."""
    if request.transport is not None:
        request.transport.abort()


async def _complete_events(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield the bytes up to the last event that is whole; what is left at a clean end comes last."""
    buffer = b""
    async for chunk in chunks:
        buffer += chunk
        end = buffer.rfind(EVENT_END)
        if end < 0:
            if len(buffer) > MAX_EVENT_BYTES:
                raise BrokenAnswer("an event is too large")
            continue
        end += len(EVENT_END)
        yield buffer[:end]
        buffer = buffer[end:]
    if buffer:
        yield buffer


async def _send_head(request: web.Request, reply: Reply, close: bool) -> web.StreamResponse:
    response = web.StreamResponse(status=reply.status)
    for name, value in reply.headers:
        response.headers.add(name, value)
    if close:
        response.force_close()
    if request.version >= (1, 1):
        response.enable_chunked_encoding()
    await response.prepare(request)
    return response


def _record_events(progress: StreamProgress, events: bytes) -> None:
    progress.events += events.count(EVENT_END)
    ids = EVENT_ID.findall(events)
    if ids:
        progress.last_event_id = ids[-1].decode(errors="replace")
