"""Relays responses from endpoints to clients, streamed or buffered.

An interrupted response is resumed from the same run at the exact byte offset; if that fails, a stream ends
with an error event. Bytes of different runs are never joined.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from aiohttp import ClientError, ClientResponse, ClientTimeout, web
from aiohttp.hdrs import CONTENT_LENGTH, TRANSFER_ENCODING
from result import Err, Ok, Result

from stairquay.adapters.clock import monotonic
from stairquay.adapters.unfinished import begin_response, finish_response
from stairquay.core.attempt import Attempt
from stairquay.core.errors import ErrorKind, Refusal
from stairquay.core.event_stream import EventBoundary
from stairquay.entry.attempts import IncomingRequest, Relay, StartedAttempt
from stairquay.entry.context import EntryContext
from stairquay.entry.replies import REQUEST_ID_HEADER, error_event
from stairquay.entry.targets import Target
from stairquay.entry.upstream import OFFSET_HEADER, RUN_ID_HEADER, Failure

STREAM_END = b"data: [DONE]\n\n"
EVENT_STREAM = "text/event-stream"
HTTP_OK = 200
MIN_ERROR_STATUS = 400
MAX_RESUME_ATTEMPTS = 3
RESUME_RETRY_STEP_S = 0.05
CANCEL_TIMEOUT_S = 2.0

HOP_BY_HOP = frozenset(
    [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
    ]
)

FirstByteCallback = Callable[[], None]
"""Called once, just before the first byte of a response goes to the client."""


def end_to_end_headers(message: web.Request | ClientResponse) -> dict[str, str]:
    """Return the headers that a proxy forwards (RFC 9110, section 7.6.1)."""
    connection_headers = message.headers.get("Connection", "").lower().split(",")
    hop_by_hop = HOP_BY_HOP | {name.strip() for name in connection_headers}
    return {key: value for key, value in message.headers.items() if key.lower() not in hop_by_hop}


@dataclass
class Progress:
    """Number of response bytes read so far, and the last few of them."""

    offset: int = 0
    tail: bytes = b""

    def add(self, chunk: bytes) -> None:
        """Add a chunk that was read."""
        self.offset += len(chunk)
        self.tail = (self.tail + chunk[-len(STREAM_END) :])[-len(STREAM_END) :]


class EngineRelay:
    """Relays one engine response; a buffered one is sent only if it is complete JSON.

    client_response: a stream's response, once started.
    """

    def __init__(
        self,
        context: EntryContext,
        incoming: IncomingRequest,
        request: web.Request,
        on_first_byte: FirstByteCallback,
    ) -> None:
        self.context = context
        self.incoming = incoming
        self.request = request
        self.on_first_byte = on_first_byte
        self.progress = Progress()
        self.client_response: web.StreamResponse | None = None

    async def relay_stream(self, started: StartedAttempt) -> Result[web.StreamResponse, Failure]:
        """Relay a stream; responses other than 200 are buffered."""
        if started.response.status != HTTP_OK:
            return await self.relay_buffered(started)
        try:
            return await self._copy_with_resume(started)
        except asyncio.CancelledError:
            if self.client_response is not None:
                _abort(self.request)
            raise
        finally:
            started.response.close()

    async def relay_buffered(self, started: StartedAttempt) -> Result[web.StreamResponse, Failure]:
        """Read a response to its end, then relay it."""
        try:
            return await self._buffer_with_resume(started)
        finally:
            started.response.close()

    async def _copy_with_resume(self, started: StartedAttempt) -> Result[web.StreamResponse, Failure]:
        upstream: ClientResponse | None = started.response
        while upstream is not None:
            previous_offset = self.progress.offset
            await self._copy_until_end(upstream, started)
            upstream.close()
            if self.progress.tail == STREAM_END:
                assert self.client_response is not None
                started.attempt.finish()
                await self.client_response.write_eof()
                return Ok(self.client_response)
            # A resumed response without new bytes means that the run ended without its end marker.
            progressed = self.progress.offset > previous_offset or upstream is started.response
            upstream = await self._resume(started) if progressed else None
        return await self._end_broken_stream(started)

    async def _copy_until_end(self, upstream: ClientResponse, started: StartedAttempt) -> None:
        """Copy chunks to the client until the upstream response ends, fails or stalls.

        One rescheduled timer covers reads and writes; a timer per chunk would be costly.
        """
        writing = False
        try:
            async with asyncio.timeout(None) as stall_timer:
                while True:
                    stall_timer.reschedule(self._stall_deadline())
                    chunk = await upstream.content.readany()
                    if not chunk:
                        return
                    if self.client_response is None:
                        self.client_response = await self._start_response(started)
                    self.progress.add(chunk)
                    writing = True
                    await self.client_response.write(chunk)
                    writing = False
        except (ClientError, TimeoutError) as error:
            if writing:
                raise ConnectionResetError("client disconnected or stopped reading") from error

    def _stall_deadline(self) -> float:
        """Return the event-loop time by which the next chunk must be read and written."""
        now = monotonic()
        remaining_s = min(self.context.settings.stall_timeout_s, self.incoming.deadline - now)
        return asyncio.get_running_loop().time() + remaining_s

    async def _buffer_with_resume(self, started: StartedAttempt) -> Result[web.StreamResponse, Failure]:
        body = bytearray()
        stall_timeout_s = self.context.settings.stall_timeout_s
        upstream: ClientResponse | None = started.response
        while upstream is not None:
            chunk = await read_chunk(upstream, self.incoming.deadline, stall_timeout_s)
            if chunk:
                self.progress.add(chunk)
                body += chunk
            if len(body) > self.context.settings.max_answer_bytes:
                break
            if chunk:
                continue
            upstream.close()
            if _is_json(body):
                started.attempt.finish()
                self.on_first_byte()
                return Ok(self._buffered_response(started, bytes(body)))
            upstream = await self._resume(started) if chunk is None else None
        started.attempt.lose()
        return Err(
            Failure(ErrorKind.ENDPOINT_GARBAGE, started.attempt.ran, "the response is not complete JSON")
        )

    def _buffered_response(self, started: StartedAttempt, body: bytes) -> web.Response:
        return web.Response(
            status=started.response.status,
            body=body,
            headers=self._headers(started.response.headers.get("Content-Type", "application/json")),
        )

    async def _start_response(self, started: StartedAttempt) -> web.StreamResponse:
        client_response = web.StreamResponse(headers=self._headers(EVENT_STREAM))
        client_response.headers["Cache-Control"] = "no-cache"
        await client_response.prepare(self.request)
        self.on_first_byte()
        return client_response

    def _headers(self, content_type: str) -> dict[str, str]:
        return {"Content-Type": content_type, REQUEST_ID_HEADER: self.incoming.request_id}

    async def _resume(self, started: StartedAttempt) -> ClientResponse | None:
        """Return the run's response from the current offset, or None."""
        for number in range(MAX_RESUME_ATTEMPTS):
            await asyncio.sleep(RESUME_RETRY_STEP_S * number)
            if monotonic() >= self.incoming.deadline:
                return None
            response = await self._request_remainder(started.target, started.attempt)
            if response is not None:
                return response
        return None

    async def _request_remainder(self, target: Target, attempt: Attempt) -> ClientResponse | None:
        offset = str(self.progress.offset)
        url = f"http://{target.address}/runs/{attempt.run_id}/answer?from={offset}"
        timeout_s = min(self.context.settings.stall_timeout_s, self.incoming.deadline - monotonic())
        try:
            async with asyncio.timeout(timeout_s):
                response = await self.context.run_control_session.get(url)
        except (ClientError, TimeoutError):
            return None
        same_run = response.headers.get(RUN_ID_HEADER) == attempt.run_id
        same_offset = response.headers.get(OFFSET_HEADER) == offset
        if response.status == HTTP_OK and same_run and same_offset:
            return response
        response.close()
        return None

    async def _end_broken_stream(self, started: StartedAttempt) -> Result[web.StreamResponse, Failure]:
        started.attempt.lose()
        expired = monotonic() >= self.incoming.deadline
        kind = ErrorKind.DEADLINE if expired else ErrorKind.ENDPOINT_FAILED
        refusal = Refusal(kind, started.attempt.ran, "the response was interrupted")
        if self.client_response is not None:
            self.context.metrics.refusals.labels(kind.value, refusal.ran.value).inc()
            await self._write_error_event(
                self.client_response, error_event(refusal, self.incoming.request_id)
            )
        return Err(Failure(kind, refusal.ran, refusal.detail, partial_response=self.client_response))

    async def _write_error_event(self, client_response: web.StreamResponse, event: bytes) -> None:
        """End a stream with an error event."""
        try:
            async with asyncio.timeout(self.context.settings.stall_timeout_s):
                await client_response.write(event)
                await client_response.write_eof()
        except TimeoutError as error:
            raise ConnectionResetError("client stopped reading") from error


async def cancel_run(context: EntryContext, target: Target, run_id: str) -> None:
    """Cancel a run at an engine; failures are ignored."""
    url = f"http://{target.address}/runs/{run_id}"
    try:
        async with context.run_control_session.delete(url, timeout=ClientTimeout(total=CANCEL_TIMEOUT_S)):
            return
    except (ClientError, asyncio.TimeoutError):
        return


def engine_relay(
    context: EntryContext,
    incoming: IncomingRequest,
    request: web.Request,
    stream: bool,
    on_first_byte: FirstByteCallback,
) -> Relay:
    """Return the relay for engine responses."""

    async def relay(started: StartedAttempt) -> Result[web.StreamResponse, Failure]:
        response_relay = EngineRelay(context, incoming, request, on_first_byte)
        return await (
            response_relay.relay_stream(started) if stream else response_relay.relay_buffered(started)
        )

    return relay


class BodyEnd:
    """Whether the body of a response whose framing is satisfied may end where it does.

    A stream of events may end only between two of them. One that its connection ends has one event at least.
    """

    def __init__(self, upstream: ClientResponse) -> None:
        success = upstream.status < MIN_ERROR_STATUS
        self.events = EventBoundary() if success and upstream.content_type == EVENT_STREAM else None
        self.framed = CONTENT_LENGTH in upstream.headers or TRANSFER_ENCODING in upstream.headers
        self.empty = True

    def add(self, chunk: bytes) -> None:
        """Pass on a piece of the body."""
        self.empty = False
        if self.events is not None:
            self.events.add(chunk)

    def may_be_here(self) -> bool:
        """Return whether the body is complete if it ends after the pieces that were passed on."""
        if self.events is None:
            return True
        return not self.events.is_inside() and (self.framed or not self.empty)


def plain_relay(
    context: EntryContext, incoming: IncomingRequest, request: web.Request, on_first_byte: FirstByteCallback
) -> Relay:
    """Return the relay for a plain service's response, which is always streamed."""

    async def relay(started: StartedAttempt) -> Result[web.StreamResponse, Failure]:
        upstream = started.response
        client_response = web.StreamResponse(
            status=upstream.status, reason=upstream.reason, headers=end_to_end_headers(upstream)
        )
        client_response.headers[REQUEST_ID_HEADER] = incoming.request_id
        body_end = BodyEnd(upstream)
        if body_end.events is not None:
            # A client that counts bytes would take the last of them for the end, also inside an event.
            client_response.headers.popall(CONTENT_LENGTH, None)
        try:
            await client_response.prepare(request)
            begin_response(request)
            on_first_byte()
            while True:
                chunk = await read_chunk(upstream, incoming.deadline, context.settings.stall_timeout_s)
                if not chunk:
                    break
                body_end.add(chunk)
                await client_response.write(chunk)
            if chunk is None or not body_end.may_be_here():
                return _abort_connection(started, request, client_response)
            started.attempt.finish()
            finish_response(request)
            await client_response.write_eof()
            return Ok(client_response)
        except asyncio.CancelledError:
            _abort(request)
            raise
        finally:
            upstream.close()

    return relay


def _abort_connection(
    started: StartedAttempt, request: web.Request, client_response: web.StreamResponse
) -> Err[Failure]:
    """Reset the client's connection, so that it detects the truncation."""
    started.attempt.lose()
    _abort(request)
    failure = Failure(
        ErrorKind.ENDPOINT_FAILED,
        started.attempt.ran,
        "the response was interrupted",
        partial_response=client_response,
    )
    return Err(failure)


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


async def read_chunk(upstream: ClientResponse, deadline: float, stall_timeout_s: float) -> bytes | None:
    """Return the bytes that have arrived, empty at the end, None if the response failed or stalled."""
    timeout_s = min(stall_timeout_s, deadline - monotonic())
    try:
        async with asyncio.timeout(timeout_s):
            return await upstream.content.readany()
    except (ClientError, TimeoutError):
        return None


def _is_json(body: bytearray) -> bool:
    try:
        msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return False
    return True
