"""Relays an endpoint's response to the caller, either buffered or as a stream of events.

If a stream breaks off, the caller's connection is aborted, so that it is not taken as complete.
"""

import asyncio
import re
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from aiohttp import web

from stairquay.adapters.clock import monotonic
from stairquay.serving.ports import IncompleteResponseError, Reply

EVENT_END = b"\n\n"
EVENT_ID = re.compile(rb"^id: ?(.*?)\r?$", re.MULTILINE)
MAX_EVENT_BYTES = 1_000_000
"""Maximum size of an event, which is buffered until it is complete."""

MAX_RESPONSE_BYTES = 16_000_000
"""Maximum size of a response body that is buffered before it is sent."""


@dataclass
class StreamProgress:
    """What was sent of a stream to the caller. response: None until the response head is sent."""

    response: web.StreamResponse | None = None
    last_event_id: str | None = None
    events: int = 0


async def read_body(reply: Reply, deadline: float) -> bytes:
    """Return the body of a response that is not streamed.

    Raises IncompleteResponseError if it breaks off or is too large, and TimeoutError at the deadline.
    """
    body = bytearray()
    async with asyncio.timeout(deadline - monotonic()):
        async for chunk in reply.chunks():
            body += chunk
            if len(body) > MAX_RESPONSE_BYTES:
                raise IncompleteResponseError("the answer is too large")
    return bytes(body)


def buffered_response(reply: Reply, body: bytes) -> web.Response:
    """Return the caller's response with the endpoint's status, headers and buffered body."""
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
    """Relay a stream, complete events only. Raises IncompleteResponseError or TimeoutError if it ends early.

    The head is sent with the first event, so that a stream that breaks off earlier can still be retried.
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
    """Abort the caller's connection, so that a truncated response is not taken as complete."""
    if request.transport is not None:
        request.transport.abort()


async def _complete_events(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield the bytes up to the end of the last complete event, and at a clean end of the stream the rest."""
    buffer = b""
    async for chunk in chunks:
        buffer += chunk
        end = buffer.rfind(EVENT_END)
        if end < 0:
            if len(buffer) > MAX_EVENT_BYTES:
                raise IncompleteResponseError("an event is too large")
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
