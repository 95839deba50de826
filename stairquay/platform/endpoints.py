"""Callers' requests on their way to endpoints, and the endpoints' answers."""

import asyncio
from collections.abc import AsyncIterator

from aiohttp import ClientError, ClientResponse, ClientSession
from multidict import CIMultiDict
from result import Err, Ok, Result
from yarl import URL

from stairquay.core.attempt import Attempt, AttemptState
from stairquay.core.call import Call, Dispatch
from stairquay.core.errors import ErrorKind, ExecutionStatus
from stairquay.platform.connections import SENDING, CheckedProtocol, Sending, SendRefused
from stairquay.platform.names import (
    CHANNEL_ONLY,
    EXPECT_VERSION,
    FETCH,
    FETCH_UNTIL,
    INSTANCE,
    KEEP_ALIVE,
    LAST_EVENT,
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
from stairquay.platform.statements import statement
from stairquay.serving.ports import Guard, IncompleteResponseError, Reply, SendFailure

NOWHERE = "-"
"""Stands for a part that is neither fetched nor saved."""

HTTP_MISDIRECTED = 421
STREAM_TYPE = "text/event-stream"


class EndpointClient:
    """Sends callers' requests to endpoints."""

    def __init__(self, session: ClientSession) -> None:
        self.session = session

    async def send(
        self, call: Call, body: bytes, dispatch: Dispatch, attempt: Attempt, guard: Guard, wait_s: float
    ) -> Result[Reply, SendFailure]:
        """Send a request, and return the answer's head, or why there is none."""

        def allow() -> bool:
            # The library may want to send a request once more by itself: that is never allowed.
            return guard() and attempt.state == AttemptState.PLANNED and attempt.send()

        sending = Sending(allow)
        token = SENDING.set(sending)
        try:
            async with asyncio.timeout(wait_s):
                response = await self.session.request(
                    call.method,
                    URL(f"http://{dispatch.address}{call.target}", encoded=True),
                    headers=_headers(call, dispatch),
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
            SENDING.reset(token)
        if sending.protocol is not None:
            sending.protocol.keep_until(response.headers.get(KEEP_ALIVE, ""))
        return _judge(call, response, attempt, sending.protocol)


def _headers(call: Call, dispatch: Dispatch) -> CIMultiDict[str]:
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
        headers[LAST_EVENT] = dispatch.resume_after
    return headers


def _addresses(by_part: tuple[str, ...]) -> str:
    return ",".join(address or NOWHERE for address in by_part)


def _judge(
    call: Call, response: ClientResponse, attempt: Attempt, protocol: CheckedProtocol | None
) -> Result[Reply, SendFailure]:
    """Return the answer if it belongs to this request and counts."""
    status = response.status
    if NOT_RUN in response.headers or status == HTTP_MISDIRECTED:
        response.close()
        attempt.refuse()
        misdirected = status == HTTP_MISDIRECTED
        detail = f"refused with {status}"
        # The endpoint that a request was misdirected to speaks of itself.
        said = None if misdirected else statement(response.headers, status)
        return Err(
            SendFailure(ErrorKind.ENDPOINT_REFUSED, attempt.ran, detail, status, misdirected, feedback=said)
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
            headers=_passed_back(response),
            chunks=lambda: _chunks(response, protocol),
            close=response.close,
            streamed=response.content_type == STREAM_TYPE,
            version=int(version) if version.isdecimal() else None,
            feedback=statement(response.headers, status),
        )
    )


def _passed_back(response: ClientResponse) -> tuple[tuple[str, str], ...]:
    named = {item.strip().lower() for item in response.headers.get("Connection", "").split(",")}
    dropped = (CHANNEL_ONLY | named) - {SIGNATURE.lower(), REQUEST_ID.lower()}
    return tuple((name, value) for name, value in response.headers.items() if name.lower() not in dropped)


async def _chunks(response: ClientResponse, protocol: CheckedProtocol | None) -> AsyncIterator[bytes]:
    """Yield the body as it arrives.

    A body without a length ends with its connection; the library takes a reset for such an end too.
    """
    framed = response.content_length is not None or "chunked" in response.headers.get("Transfer-Encoding", "")
    try:
        while chunk := await response.content.readany():
            yield chunk
    except (ClientError, OSError) as error:
        raise IncompleteResponseError(type(error).__name__) from error
    if not framed and (protocol is None or protocol.broke):
        raise IncompleteResponseError("the connection was reset")
