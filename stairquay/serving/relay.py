"""Relays an endpoint's response to the caller, either buffered or as a stream of events.

If a stream breaks off, the caller's connection is aborted, so that it is not taken as complete.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from aiohttp import web
from aiohttp.http import StreamWriter

from stairquay.adapters.clock import monotonic
from stairquay.adapters.unfinished import begin_response, finish_response, has_next_request
from stairquay.core.buffers import Buffer, BufferBudget
from stairquay.core.event_stream import (
    complete_events_end,
    count_events,
    ends_inside_event,
    last_event_id,
)
from stairquay.serving.ports import Framing, IncompleteResponseError, Reply

MAX_EVENT_BYTES = 1_000_000
"""Maximum size of an event, which is buffered until it is complete; the usual size is 360 bytes."""

COLLECT_EVENTS_S = 0.02
"""Seconds in which a busy box collects later events of a stream, to read and write them together. Each event
by itself wakes the process, which takes more time than all that is done with the event. Within 0.01 s too
few events come to make up for holding the connection."""

EVENTS_PASSED_AT_ONCE = 3
"""First events, which are passed on one by one, so that the first token and short answers are not later."""

LONG_EVENT_BYTES = 65_536
"""Size from which an event that has not ended counts among the answers that this box keeps."""

LAST_BYTES = 3
"""Bytes before the newest ones in which the end of an event may begin."""

NO_MEMORY = "incomplete answers take too much memory"

MIN_ERROR_STATUS = 400
"""Lowest HTTP status of an error."""

MAX_RESPONSE_BYTES = 16_000_000
"""Maximum size of a response body that is buffered before it is sent."""


@dataclass
class StreamProgress:
    """What was sent of a stream to the caller. response: None until the response head is sent.

    trailing_bytes: bytes that the endpoint's answer had after its last complete event.
    """

    response: web.StreamResponse | None = None
    last_event_id: str | None = None
    events: int = 0
    trailing_bytes: int = 0


async def read_body(reply: Reply, deadline: float, buffers: BufferBudget) -> bytes:
    """Return the body of a response that is not streamed. buffers: of this box's incomplete answers.

    Raises IncompleteResponseError if it breaks off or is too large, and TimeoutError at the deadline.
    """
    whole = reply.whole_body()
    if whole is not None:
        return whole
    body = buffers.buffer()

    def take(data: bytes) -> None:
        if not body.extend(data):
            raise IncompleteResponseError(NO_MEMORY)
        if len(body.data) > MAX_RESPONSE_BYTES:
            raise IncompleteResponseError("the answer is too large")

    try:
        async with asyncio.timeout(deadline - monotonic()):
            await reply.forward(take, lambda: 0.0)
        if body.dropped:
            raise IncompleteResponseError(NO_MEMORY)
        return body.take()
    finally:
        body.release()


def buffered_response(reply: Reply, body: bytes) -> web.Response:
    """Return the caller's response with the endpoint's status, headers and buffered body."""
    response = web.Response(status=reply.status, body=body)
    response.headers.clear()
    for name, value in reply.headers:
        response.headers.add(name, value)
    return response


async def relay_or_read(
    request: web.BaseRequest,
    reply: Reply,
    progress: StreamProgress,
    deadline: float,
    on_first_event: Callable[[], None],
    should_close: Callable[[], bool],
    may_collect: Callable[[], bool],
    buffers: BufferBudget,
) -> bytes | None:
    """Relay a stream of events and return None, or return the body of any other reply.

    buffers: of what this box keeps of incomplete answers.
    Raises IncompleteResponseError or TimeoutError if it ends early, or is no stream where one was begun.
    """
    if is_event_stream(reply):
        await relay_stream(
            request, reply, progress, deadline, on_first_event, should_close, may_collect, buffers
        )
        return None
    if progress.response is not None:
        # The caller already has the head of a stream, which no other answer may follow.
        raise IncompleteResponseError(f"status {reply.status} in place of the rest of a stream")
    return await read_body(reply, deadline, buffers)


def is_event_stream(reply: Reply) -> bool:
    """Return whether a reply has events; the body of an error need not, whatever its type."""
    return reply.streamed and reply.status < MIN_ERROR_STATUS


async def relay_stream(
    request: web.BaseRequest,
    reply: Reply,
    progress: StreamProgress,
    deadline: float,
    on_first_event: Callable[[], None],
    should_close: Callable[[], bool],
    may_collect: Callable[[], bool],
    buffers: BufferBudget,
) -> None:
    """Relay a stream, complete events only. Raises IncompleteResponseError or TimeoutError if it ends early.

    The head is sent with the first event, so that a stream that breaks off earlier can still be retried.
    may_collect: tells whether later events may be passed on together, a little late.
    """
    incomplete = buffers.buffer()
    relay = EventRelay(request, reply, progress, on_first_event, should_close, may_collect, incomplete)
    try:
        async with asyncio.timeout(deadline - monotonic()):
            await reply.forward(relay.take, relay.hold_s)
            await relay.finish()
    finally:
        incomplete.release()


class EventRelay:
    """Writes the events of one reply to the caller as they arrive."""

    def __init__(
        self,
        request: web.BaseRequest,
        reply: Reply,
        progress: StreamProgress,
        on_first_event: Callable[[], None],
        should_close: Callable[[], bool],
        may_collect: Callable[[], bool],
        long_event: Buffer,
    ) -> None:
        self.request = request
        self.reply = reply
        self.progress = progress
        self.on_first_event = on_first_event
        self.should_close = should_close
        self.may_collect = may_collect
        self.writer: StreamWriter | None = None
        self.incomplete = b""
        # Keeps an event that has not ended, once it is long; then `incomplete` is empty.
        self.long_event = long_event

    def take(self, data: bytes) -> Awaitable[None] | None:
        """Write the events that are complete now. Return what to wait for before more is taken."""
        long = self.long_event
        if long.data or long.dropped:
            return self._take_long(data)
        data = self.incomplete + data
        end = complete_events_end(data)
        if end == 0:
            if len(data) > LONG_EVENT_BYTES:
                self.incomplete = b""
                return self._take_long(data)
            self.incomplete = data
            return None
        return self._take_complete(data, end)

    def _take_long(self, data: bytes) -> Awaitable[None] | None:
        """Keep a part of a long event; write it once it has ended."""
        long = self.long_event
        before = bytes(long.data[-LAST_BYTES:])
        if not long.extend(data):
            raise IncompleteResponseError(NO_MEMORY)
        if complete_events_end(before + data) == 0:
            if len(long.data) > MAX_EVENT_BYTES:
                raise IncompleteResponseError("an event is too large")
            return None
        whole = long.take()
        return self._take_complete(whole, complete_events_end(whole))

    def _take_complete(self, data: bytes, end: int) -> Awaitable[None] | None:
        """Write the events up to `end`."""
        self.incomplete = data[end:]
        events = data[:end] if self.incomplete else data
        if self.writer is None:
            return self._write_first(events)
        self._write(self.writer, events)
        return self.writer.drain() if self.request.protocol.writing_paused else None

    def hold_s(self) -> float:
        """Return the seconds in which later events are collected."""
        late_event = self.progress.events >= EVENTS_PASSED_AT_ONCE
        return COLLECT_EVENTS_S if late_event and self.may_collect() else 0.0

    async def finish(self) -> None:
        """End the caller's stream. Raises IncompleteResponseError if the endpoint's was broken off."""
        if self.long_event.dropped:
            raise IncompleteResponseError(NO_MEMORY)
        self.incomplete += self.long_event.take()
        self._check_end()
        if self.incomplete or self.writer is None:
            await self._write_first(self.incomplete)
        assert self.progress.response is not None
        finish_response(self.request)
        await self.progress.response.write_eof()

    def _check_end(self) -> None:
        """Raise IncompleteResponseError if the body ended where no stream ends, whatever its framing says.

        An endpoint that crashes may close its connection, write the last chunk or fill its length in order.
        """
        self.progress.trailing_bytes = len(self.incomplete)
        framing = self.reply.framing
        if ends_inside_event(self.incomplete):
            raise IncompleteResponseError(f"it ended inside an event (framing: {framing.value})")
        if self.writer is None and framing == Framing.CLOSE:
            raise IncompleteResponseError("its connection ended before the first event")

    async def _write_first(self, events: bytes) -> None:
        """Write the head, unless an earlier attempt did, and events."""
        if self.progress.response is None:
            self.progress.response = await _send_head(self.request, self.reply, self.should_close())
        writer = await self.progress.response.prepare(self.request)
        assert isinstance(writer, StreamWriter)
        self.writer = writer
        if events:
            self._write(self.writer, events)
            await self.writer.drain()

    def _write(self, writer: StreamWriter, events: bytes) -> None:
        if self.progress.events == 0:
            self.on_first_event()
        _run_now(writer.write(events, drain=False))
        _record_events(self.progress, events)


def abort_connection(request: web.BaseRequest) -> None:
    """Abort the caller's connection, so that a truncated response is not taken as complete."""
    if request.transport is not None:
        request.transport.abort()


async def _send_head(request: web.BaseRequest, reply: Reply, close: bool) -> web.StreamResponse:
    response = web.StreamResponse(status=reply.status)
    for name, value in reply.headers:
        response.headers.add(name, value)
    if close and not has_next_request(request):
        response.force_close()
    if request.version >= (1, 1):
        response.enable_chunked_encoding()
    await response.prepare(request)
    begin_response(request)
    return response


def _record_events(progress: StreamProgress, events: bytes) -> None:
    progress.events += count_events(events)
    progress.last_event_id = last_event_id(events) or progress.last_event_id


def _run_now(write: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine that doesn't wait for anything, without a turn of the event loop."""
    try:
        write.send(None)
    except StopIteration:
        return
    write.close()
    raise RuntimeError("a write without draining waited")
