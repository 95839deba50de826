"""Sends an attempt to an endpoint and classifies the response headers.

An attempt counts as sent once it has a connection, before its first byte is written. If the HTTP client
tries to resend it, it fails.
"""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    DummyCookieJar,
    TCPConnector,
    TraceConfig,
    web,
)
from result import Err, Ok, Result

from stairquay.adapters.clock import monotonic
from stairquay.adapters.whole_bodies import check_bodies
from stairquay.core.attempt import Attempt, AttemptState
from stairquay.core.errors import ErrorKind, ExecutionStatus
from stairquay.core.whole_numbers import parse_whole_number

RUN_ID_HEADER = "X-Request-Id"
NOT_RUN_HEADER = "X-Not-Run"
LEAVING_HEADER = "X-Leaving"
VERSION_HEADER = "X-Weight-Version"
PROMPT_TOKENS_HEADER = "X-Prompt-Tokens"
CACHED_TOKENS_HEADER = "X-Cached-Tokens"
OFFSET_HEADER = "X-Stream-Offset"

TRUE = "true"
MIN_SERVER_ERROR = 500
MAX_HEADER_BYTES = 32_768


class DuplicateSendError(ClientError):
    """Raised when the HTTP client tries to send an attempt a second time."""


@dataclass(frozen=True)
class OutgoingRequest:
    """A request to an endpoint. verify_run_id: reject a response that does not name this run."""

    method: str
    url: str
    headers: dict[str, str]
    body: bytes | AsyncIterator[bytes] | None = field(repr=False)
    verify_run_id: bool = True


@dataclass(frozen=True)
class Failure:
    """Why an attempt failed.

    endpoint_fault: counts towards ejection and the retry budget; leaving: the endpoint is shutting down;
    version: the endpoint's weight version, if it refused a request for another;
    partial_response: the response that was interrupted after it had been started.
    """

    kind: ErrorKind
    ran: ExecutionStatus
    detail: str = ""
    endpoint_fault: bool = True
    leaving: bool = False
    version: str = ""
    partial_response: web.StreamResponse | None = None


def open_session(connect_timeout_s: float, reuse: bool) -> ClientSession:
    """Return a session for attempts, without cookies, decompression or default headers.

    Without `reuse`, every attempt has a new connection, since an endpoint may close idle ones at any time.
    """
    trace = TraceConfig()
    trace.on_connection_create_end.append(_on_connected)
    trace.on_connection_reuseconn.append(_on_connected)
    return ClientSession(
        connector=check_bodies(TCPConnector(limit=0, force_close=not reuse)),
        cookie_jar=DummyCookieJar(),
        timeout=ClientTimeout(total=None, sock_connect=connect_timeout_s),
        auto_decompress=False,
        trace_configs=[trace],
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        max_field_size=MAX_HEADER_BYTES,
    )


async def _on_connected(_: ClientSession, trace_context: object, __: object) -> None:
    attempt: Attempt = trace_context.trace_request_ctx  # type: ignore[attr-defined]
    if attempt.state != AttemptState.PLANNED:
        raise DuplicateSendError("an attempt is sent once only")
    attempt.send()


async def open_response(
    session: ClientSession,
    outgoing: OutgoingRequest,
    attempt: Attempt,
    deadline: float,
    first_byte_timeout_s: float,
) -> Result[ClientResponse, Failure]:
    """Send an attempt and wait for the response headers."""
    timeout_s = min(deadline - monotonic(), first_byte_timeout_s)
    try:
        async with asyncio.timeout(timeout_s):
            response = await session.request(
                outgoing.method,
                outgoing.url,
                headers=outgoing.headers,
                data=outgoing.body,
                allow_redirects=False,
                trace_request_ctx=attempt,
            )
    except TimeoutError:
        return Err(_fail_attempt(attempt, _timeout_kind(deadline), "no response headers in time"))
    except (ClientConnectorError, ConnectionTimeoutError):
        return Err(_fail_attempt(attempt, ErrorKind.ENDPOINT_FAILED, "could not connect"))
    except (ClientError, ValueError) as error:
        return Err(_fail_attempt(attempt, ErrorKind.ENDPOINT_FAILED, type(error).__name__))
    return _classify_response(response, attempt, outgoing.verify_run_id)


def _timeout_kind(deadline: float) -> ErrorKind:
    return ErrorKind.DEADLINE if monotonic() >= deadline else ErrorKind.ENDPOINT_FAILED


def _fail_attempt(attempt: Attempt, kind: ErrorKind, detail: str) -> Failure:
    attempt.lose()
    return Failure(kind, attempt.ran, detail)


def _classify_response(
    response: ClientResponse, attempt: Attempt, verify_run_id: bool
) -> Result[ClientResponse, Failure]:
    if verify_run_id and response.headers.get(RUN_ID_HEADER) != attempt.run_id:
        # It says nothing of this run, also where it is a refusal: one may come a second time, late.
        response.close()
        attempt.lose()
        return Err(Failure(ErrorKind.ENDPOINT_GARBAGE, attempt.ran, "the response does not name this run"))
    if response.headers.get(NOT_RUN_HEADER) == TRUE:
        response.close()
        attempt.refuse()
        return Err(_refusal_failure(response))
    if response.status >= MIN_SERVER_ERROR:
        response.close()
        attempt.lose()
        return Err(Failure(ErrorKind.ENDPOINT_FAILED, attempt.ran, f"status {response.status}"))
    attempt.answer()
    return Ok(response)


def _refusal_failure(response: ClientResponse) -> Failure:
    leaving = response.headers.get(LEAVING_HEADER) == TRUE
    version = response.headers.get(VERSION_HEADER, "")
    return Failure(
        ErrorKind.ENDPOINT_REFUSED,
        ExecutionStatus.NOT_RUN,
        "the endpoint accepts no new requests" if leaving else "the endpoint refused the request",
        endpoint_fault=False,
        leaving=leaving,
        version=version,
    )


def parse_count_header(response: ClientResponse, name: str) -> int:
    """Return a count from a header, 0 if it is missing or not a number."""
    return parse_whole_number(response.headers.get(name, "")) or 0
