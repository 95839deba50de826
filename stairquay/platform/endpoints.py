"""Sends callers' requests to endpoints, and validates the responses."""

import asyncio
from collections.abc import Awaitable

from aiohttp import EMPTY_PAYLOAD, ClientError, StreamReader
from aiohttp.hdrs import CONTENT_LENGTH, CONTENT_TYPE
from aiohttp.http import RawResponseMessage
from aiohttp.http_exceptions import HttpProcessingError
from msgspec.structs import replace
from result import Err, Ok, Result

from stairquay.core.attempt import Attempt
from stairquay.core.call import Call, Dispatch
from stairquay.core.errors import ErrorKind, ExecutionStatus
from stairquay.core.whole_numbers import parse_whole_number
from stairquay.platform.connection_pool import (
    ConnectionPool,
    ConnectTimeoutError,
    PooledConnection,
    encode_head,
    named_request,
)
from stairquay.platform.names import (
    EXPECT_VERSION,
    FETCH,
    FETCH_UNTIL,
    HOP_BY_HOP_HEADERS,
    INSTANCE,
    KEEP_ALIVE,
    LAST_EVENT_ID,
    NOT_RUN,
    PRIORITY,
    REQUEST_ID,
    SAVE,
    SCOPE,
    SIGNATURE,
    TIME_LEFT,
    VERSION,
    WORKSPACE,
    connection_options,
)
from stairquay.platform.statements import parse_feedback
from stairquay.serving.ports import (
    Framing,
    Guard,
    HoldSeconds,
    IncompleteResponseError,
    Reply,
    SendFailure,
    SurplusAnswers,
    Take,
)

NO_ADDRESS = "-"
"""Placeholder for a part that is not fetched or not saved."""

NOT_SENT_DETAIL = "the request may no longer be sent"

IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"))

ALWAYS_RETURNED = frozenset((SIGNATURE.lower(), REQUEST_ID.lower()))
NEVER_RETURNED = HOP_BY_HOP_HEADERS - ALWAYS_RETURNED

HTTP_MISDIRECTED = 421
STREAM_TYPE = "text/event-stream"


class EndpointClient:
    """Sends callers' requests to endpoints."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool

    async def send(
        self, call: Call, body: bytes, dispatch: Dispatch, attempt: Attempt, guard: Guard, wait_s: float
    ) -> Result[Reply, SendFailure]:
        """Send a request and return its response, body not read yet, or the reason of the failure."""
        connection: PooledConnection | None = None
        try:
            async with asyncio.timeout(wait_s):
                connection = await self.pool.acquire(dispatch.address, call.id)
                headers = _request_headers(call, dispatch)
                head = encode_head(call.method, request_target(call), headers, len(body))
                # Checked last: the process may be stopped at any point before the write.
                if not (guard() and attempt.send()):
                    self.pool.release(connection)
                    return _not_sent(attempt)
                connection.write(call.method, head, body)
                message, payload = await connection.read_answer(call.id, wait_s)
        except ConnectTimeoutError as error:
            attempt.lose()
            return Err(_broken_send(call, connection, attempt, error))
        except TimeoutError:
            close_connection(connection)
            attempt.lose()
            waited_for = "connection" if connection is None else "answer"
            return Err(SendFailure(ErrorKind.DEADLINE, attempt.ran, f"no {waited_for} in time"))
        except (ClientError, HttpProcessingError, OSError, ValueError) as error:
            close_connection(connection)
            attempt.lose()
            return Err(_broken_send(call, connection, attempt, error))
        except BaseException:
            close_connection(connection)
            raise
        connection.protocol.set_keep_alive(message.headers.get(KEEP_ALIVE, ""))
        result = _validate_response(call, Response(message, payload, connection, self.pool), attempt)
        return result if connection.surplus is None else _with_surplus(result, connection.surplus)

    async def probe(self, address: str) -> bool:
        """Tell whether a new connection can be opened; it is kept for the next request."""
        try:
            self.pool.release(await self.pool.open(address))
        except (OSError, ValueError):
            return False
        return True


class Response:
    """An endpoint's response whose head was read. Its connection is kept once the body is complete."""

    def __init__(
        self,
        message: RawResponseMessage,
        payload: StreamReader,
        connection: PooledConnection,
        pool: ConnectionPool,
    ) -> None:
        self.status = message.code
        self.headers = message.headers
        self.framing = _framing(message, payload)
        self.payload = payload
        self.connection: PooledConnection | None = connection
        self.protocol = connection.protocol
        self.pool = pool
        self.resumption: asyncio.TimerHandle | None = None
        payload.on_eof(self._release)

    def close(self) -> None:
        """Close the connection if the body isn't complete."""
        connection, self.connection = self.connection, None
        close_connection(connection)

    def _release(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            self.pool.release(connection)

    def whole_body(self) -> bytes | None:
        """Return the body if it is there as a whole, which is usual for a small one.

        A large one never is: reading from the connection pauses before.
        """
        if not self.payload.is_eof() or self.payload.exception() is not None:
            return None
        return self.payload.read_nowait()

    async def forward(self, take: Take, hold_s: HoldSeconds) -> None:
        """Pass the body on as it arrives; raise an error if it is incomplete."""
        try:
            while not self.payload.at_eof():
                blocked = await self._forward_arriving(take, hold_s)
                if blocked is not None:
                    await blocked
        except (ClientError, OSError) as error:
            if error is not self.payload.exception():
                # The caller's connection failed, not the endpoint's.
                raise
            raise IncompleteResponseError(type(error).__name__) from error
        broken = self.payload.exception()
        if broken is not None:
            # Set while what was read before was still being taken.
            raise IncompleteResponseError(type(broken).__name__)

    async def _forward_arriving(self, take: Take, hold_s: HoldSeconds) -> Awaitable[None] | None:
        """Pass on what is there and what arrives, until the body ends or `take` has to be waited for.

        Nothing is awaited between reading from the connection and `take`, which saves a turn of the event
        loop for each event of a stream.
        """
        stopped: asyncio.Future[Awaitable[None] | None] = asyncio.get_running_loop().create_future()

        def on_data() -> None:
            if stopped.done():
                return
            try:
                blocked = self._take_available(take)
            except Exception as error:
                stopped.set_exception(error)
                return
            if blocked is not None or self.payload.at_eof():
                stopped.set_result(blocked)
            else:
                self._hold(hold_s())

        on_data()
        if stopped.done():
            return stopped.result()
        self.protocol.listener = on_data
        try:
            return await stopped
        finally:
            self.protocol.listener = None
            self._resume()

    def _hold(self, seconds: float) -> None:
        """Read nothing for some time, so that what arrives meanwhile is read and written at once."""
        transport = self.protocol.transport
        if seconds <= 0 or transport is None or self.resumption is not None:
            return
        transport.pause_reading()
        self.resumption = asyncio.get_running_loop().call_later(seconds, self._resume)

    def _resume(self) -> None:
        if self.resumption is None:
            return
        self.resumption.cancel()
        self.resumption = None
        if self.protocol.transport is not None:
            self.protocol.transport.resume_reading()

    def _take_available(self, take: Take) -> Awaitable[None] | None:
        """Pass on what has arrived. Raises the payload's error if the body has ended with one."""
        while data := self.payload.read_nowait():
            blocked = take(data)
            if blocked is not None:
                return blocked
        return None


def _framing(message: RawResponseMessage, payload: StreamReader) -> Framing:
    if message.chunked:
        return Framing.CHUNKED
    has_length = payload is EMPTY_PAYLOAD or CONTENT_LENGTH in message.headers
    return Framing.LENGTH if has_length else Framing.CLOSE


def close_connection(connection: PooledConnection | None) -> None:
    """Close a connection, if there is one."""
    if connection is not None:
        connection.protocol.close()


def _not_sent(attempt: Attempt) -> Err[SendFailure]:
    """Return the failure of a request that may not be sent any more."""
    attempt.lose()
    return Err(SendFailure(ErrorKind.ENDPOINT_FAILED, attempt.ran, NOT_SENT_DETAIL, fault=False))


def _broken_send(
    call: Call, connection: PooledConnection | None, attempt: Attempt, error: Exception
) -> SendFailure:
    """Return the failure of a request whose connection could not be opened, or ended without a response."""
    sent = attempt.ran != ExecutionStatus.NOT_RUN
    # An endpoint may close an idle connection just then; other methods are not known to be safe to take so.
    closed_when_idle = connection is not None and connection.reused and call.method in IDEMPOTENT_METHODS
    return SendFailure(
        ErrorKind.ENDPOINT_FAILED,
        attempt.ran,
        f"{type(error).__name__}: {error}",
        fault=not (sent and closed_when_idle),
        connection_broken=sent,
        surplus=None if connection is None else connection.surplus,
    )


def _with_surplus(result: Result[Reply, SendFailure], surplus: SurplusAnswers) -> Result[Reply, SendFailure]:
    if isinstance(result, Ok):
        return Ok(replace(result.ok_value, surplus=surplus))
    return Err(replace(result.err_value, surplus=surplus))


def request_target(call: Call) -> str:
    """Return the target to send, without a fragment."""
    return call.target.partition("#")[0]


def _request_headers(call: Call, dispatch: Dispatch) -> list[tuple[str, str]]:
    """Return the caller's headers, none of which has the name of one that a box sets, and the box's."""
    headers = {"Host": call.host}
    headers[TIME_LEFT] = str(max(1, int(dispatch.time_left_s * 1000)))
    headers[INSTANCE] = dispatch.endpoint
    if dispatch.workspace:
        headers[WORKSPACE] = dispatch.workspace
    if dispatch.priority is not None:
        headers[PRIORITY] = str(max(0, min(9, dispatch.priority)))
    if dispatch.version is not None:
        headers[EXPECT_VERSION] = str(dispatch.version)
    if dispatch.context_scope:
        headers[SCOPE] = dispatch.context_scope
    if any(dispatch.fetch_from):
        headers[FETCH] = _addresses(dispatch.fetch_from)
        if dispatch.fetch_until_ms is not None:
            headers[FETCH_UNTIL] = str(dispatch.fetch_until_ms)
    if any(dispatch.save_to):
        headers[SAVE] = _addresses(dispatch.save_to)
    if dispatch.resume_after is not None:
        headers[LAST_EVENT_ID] = dispatch.resume_after
    return [*headers.items(), *call.headers]


def _addresses(by_part: tuple[str, ...]) -> str:
    return ",".join(address or NO_ADDRESS for address in by_part)


def _validate_response(call: Call, response: Response, attempt: Attempt) -> Result[Reply, SendFailure]:
    """Return the response if it belongs to this request and was signed by an endpoint."""
    status = response.status
    answered_id = named_request(response.headers)
    if answered_id != call.id:
        # It says nothing of this request, also where it is a rejection: one may come a second time, late.
        response.close()
        attempt.lose()
        detail = "an answer without id" if answered_id is None else "an answer to another request"
        return Err(SendFailure(ErrorKind.ENDPOINT_GARBAGE, attempt.ran, detail, status))
    if NOT_RUN in response.headers or status == HTTP_MISDIRECTED:
        response.close()
        attempt.refuse()
        misdirected = status == HTTP_MISDIRECTED
        detail = f"refused with {status}"
        # A misdirected request was answered by another endpoint, whose feedback does not apply here.
        feedback = None if misdirected else parse_feedback(response.headers, status)
        return Err(
            SendFailure(
                ErrorKind.ENDPOINT_REFUSED, attempt.ran, detail, status, misdirected, feedback=feedback
            )
        )
    if SIGNATURE not in response.headers:
        response.close()
        attempt.lose()
        return Err(
            SendFailure(ErrorKind.ENDPOINT_GARBAGE, attempt.ran, "an answer without signature", status)
        )
    attempt.answer()
    return Ok(reply_of(response))


def reply_of(response: Response) -> Reply:
    """Return a response that was signed by an endpoint."""
    version = response.headers.get(VERSION, "")
    return Reply(
        status=response.status,
        headers=_response_headers(response),
        forward=response.forward,
        whole_body=response.whole_body,
        close=response.close,
        streamed=_media_type(response.headers.get(CONTENT_TYPE, "")) == STREAM_TYPE,
        version=parse_whole_number(version),
        feedback=parse_feedback(response.headers, response.status),
        framing=response.framing,
    )


def _media_type(content_type: str) -> str:
    """Return the type of a Content-Type header without its parameters."""
    return content_type.partition(";")[0].strip().lower()


def _response_headers(response: Response) -> tuple[tuple[str, str], ...]:
    connection = response.headers.get("Connection")
    dropped = NEVER_RETURNED
    if connection is not None:
        dropped |= connection_options(connection) - ALWAYS_RETURNED
    return tuple((name, value) for name, value in response.headers.items() if name.lower() not in dropped)
