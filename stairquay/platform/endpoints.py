"""Sends callers' requests to endpoints, and validates the responses."""

import asyncio
from collections.abc import AsyncIterator

from aiohttp import ClientError, ClientResponse, ClientSession
from multidict import CIMultiDict
from result import Err, Ok, Result
from yarl import URL

from stairquay.core.attempt import Attempt, AttemptState
from stairquay.core.call import Call, Dispatch
from stairquay.core.errors import ErrorKind, ExecutionStatus
from stairquay.platform.connections import PENDING_SEND, CheckedProtocol, PendingSend, SendRefused
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
)
from stairquay.platform.statements import parse_feedback
from stairquay.serving.ports import Guard, IncompleteResponseError, Reply, SendFailure

NO_ADDRESS = "-"
"""Placeholder for a part that is not fetched or not saved."""

HTTP_MISDIRECTED = 421
STREAM_TYPE = "text/event-stream"


class EndpointClient:
    """Sends callers' requests to endpoints."""

    def __init__(self, session: ClientSession) -> None:
        self.session = session

    async def send(
        self, call: Call, body: bytes, dispatch: Dispatch, attempt: Attempt, guard: Guard, wait_s: float
    ) -> Result[Reply, SendFailure]:
        """Send a request and return its response, body not read yet, or the reason of the failure."""

        def may_send() -> bool:
            # aiohttp may retry on its own; the state of the attempt prevents a second send.
            return guard() and attempt.state == AttemptState.PLANNED and attempt.send()

        pending = PendingSend(may_send)
        token = PENDING_SEND.set(pending)
        try:
            async with asyncio.timeout(wait_s):
                response = await self.session.request(
                    call.method,
                    URL(f"http://{dispatch.address}{call.target}", encoded=True),
                    headers=_request_headers(call, dispatch),
                    data=body or None,
                    allow_redirects=False,
                )
        except TimeoutError:
            attempt.lose()
            return Err(SendFailure(ErrorKind.DEADLINE, attempt.ran, "no answer in time"))
        except (ClientError, OSError, ValueError) as error:
            attempt.lose()
            fault = not isinstance(error, SendRefused)
            detail = type(error).__name__
            return Err(
                SendFailure(
                    ErrorKind.ENDPOINT_FAILED,
                    attempt.ran,
                    detail,
                    fault=fault,
                    connection_broken=attempt.ran != ExecutionStatus.NOT_RUN,
                )
            )
        finally:
            PENDING_SEND.reset(token)
        if pending.protocol is not None:
            pending.protocol.set_keep_alive(response.headers.get(KEEP_ALIVE, ""))
        return _validate_response(call, response, attempt, pending.protocol)


def _request_headers(call: Call, dispatch: Dispatch) -> CIMultiDict[str]:
    headers = CIMultiDict(call.headers)
    headers["Host"] = call.host
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
    return headers


def _addresses(by_part: tuple[str, ...]) -> str:
    return ",".join(address or NO_ADDRESS for address in by_part)


def _validate_response(
    call: Call, response: ClientResponse, attempt: Attempt, protocol: CheckedProtocol | None
) -> Result[Reply, SendFailure]:
    """Return the response if it belongs to this request and was signed by an endpoint."""
    status = response.status
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
    if response.headers.get(REQUEST_ID) != call.id:
        response.close()
        attempt.lose()
        return Err(
            SendFailure(ErrorKind.ENDPOINT_GARBAGE, attempt.ran, "an answer to another request", status)
        )
    if SIGNATURE not in response.headers:
        response.close()
        attempt.lose()
        return Err(
            SendFailure(ErrorKind.ENDPOINT_GARBAGE, attempt.ran, "an answer without signature", status)
        )
    attempt.answer()
    version = response.headers.get(VERSION, "")
    return Ok(
        Reply(
            status=status,
            headers=_response_headers(response),
            chunks=lambda: _body_chunks(response, protocol),
            close=response.close,
            streamed=response.content_type == STREAM_TYPE,
            version=int(version) if version.isdecimal() else None,
            feedback=parse_feedback(response.headers, status),
        )
    )


def _response_headers(response: ClientResponse) -> tuple[tuple[str, str], ...]:
    connection_options = {item.strip().lower() for item in response.headers.get("Connection", "").split(",")}
    dropped = (HOP_BY_HOP_HEADERS | connection_options) - {SIGNATURE.lower(), REQUEST_ID.lower()}
    return tuple((name, value) for name, value in response.headers.items() if name.lower() not in dropped)


async def _body_chunks(response: ClientResponse, protocol: CheckedProtocol | None) -> AsyncIterator[bytes]:
    """Yield the body as it arrives; raise an error if it is incomplete.

    aiohttp takes a connection reset for the end of a body without a length, so that is checked here.
    """
    framed = response.content_length is not None or "chunked" in response.headers.get("Transfer-Encoding", "")
    try:
        while chunk := await response.content.readany():
            yield chunk
    except (ClientError, OSError) as error:
        raise IncompleteResponseError(type(error).__name__) from error
    if not framed and (protocol is None or protocol.broken):
        raise IncompleteResponseError("the connection was reset")
