"""Passes callers' requests on to other boxes, which answer as they answer any caller."""

import asyncio

import msgspec
from aiohttp import ClientError
from aiohttp.http_exceptions import HttpProcessingError
from result import Err, Ok, Result

from stairquay.core.attempt import Attempt
from stairquay.core.call import Call
from stairquay.core.errors import ErrorKind, ExecutionStatus
from stairquay.core.malformed import MALFORMED
from stairquay.core.whole_numbers import WholeNumber
from stairquay.platform.connection_pool import ConnectionPool, PooledConnection, named_request
from stairquay.platform.endpoints import Response, close_connection, reply_of, request_target
from stairquay.platform.names import (
    AUTHORIZATION,
    BEARER,
    CONFIGURATION,
    FORWARDED,
    LAST_EVENT_ID,
    RETRY_AFTER,
    SIGNATURE,
    TIME_LEFT,
)
from stairquay.serving.ports import BoxRefusal, Forward, IncompleteResponseError, Reply

MAX_REFUSAL_BYTES = 65_536
"""Maximum size of the body of a refusal."""


class WireError(msgspec.Struct):
    """What a box says of a request that it refuses. runs: endpoints at which it may have run."""

    kind: ErrorKind
    ran: ExecutionStatus
    message: str = ""
    runs: WholeNumber | None = None


class WireRefusal(msgspec.Struct):
    """The body of a refusal."""

    error: WireError


class BoxClient:
    """Sends callers' requests to other boxes."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool

    async def send(
        self, call: Call, body: bytes, forward: Forward, attempt: Attempt
    ) -> Result[Reply, BoxRefusal]:
        """Send a request; return an endpoint's response, or why the other box has none."""
        connection: PooledConnection | None = None
        try:
            async with asyncio.timeout(forward.time_left_s):
                connection = await self.pool.acquire(forward.address)
                attempt.send()
                connection.send(call.method, request_target(call), _headers(call, forward), body)
                message, payload = await connection.read_head()
                response = Response(message, payload, connection, self.pool)
                if named_request(response.headers) != call.id:
                    raise ValueError("an answer to another request")
                if SIGNATURE not in response.headers:
                    return Err(await _read_refusal(response, attempt))
        except (TimeoutError, ClientError, HttpProcessingError, OSError, ValueError) as error:
            close_connection(connection)
            attempt.lose()
            deadline = isinstance(error, TimeoutError) and connection is not None
            kind = ErrorKind.DEADLINE if deadline else ErrorKind.NOT_READY
            refused = connection is None and isinstance(error, ConnectionRefusedError)
            detail = f"{type(error).__name__} at another box"
            return Err(BoxRefusal(kind, attempt.ran, detail, not_listening=refused))
        except BaseException:
            close_connection(connection)
            raise
        attempt.answer()
        return Ok(reply_of(response))

    async def is_refused(self, address: str) -> bool:
        """Tell whether a box refuses a new connection, which is closed at once."""
        try:
            connection = await self.pool.open(address)
        except ConnectionRefusedError:
            return True
        except (OSError, ValueError):
            # A box that cannot be reached may be alive for others.
            return False
        close_connection(connection)
        return False


def _headers(call: Call, forward: Forward) -> list[tuple[str, str]]:
    headers = [
        ("Host", call.host),
        (TIME_LEFT, str(max(1, int(forward.time_left_s * 1000)))),
        (FORWARDED, str(forward.attempts)),
    ]
    if forward.configuration is not None:
        headers.append((CONFIGURATION, f"{forward.configuration.era}.{forward.configuration.version}"))
    if call.key is not None:
        headers.append((AUTHORIZATION, f"{BEARER}{call.key}"))
    if forward.resume_after is not None:
        headers.append((LAST_EVENT_ID, forward.resume_after))
    return [*headers, *call.headers]


async def _read_refusal(response: Response, attempt: Attempt) -> BoxRefusal:
    """Return a box's own answer. Whether the request ran is unknown unless the box says so."""
    body = bytearray()

    def take(data: bytes) -> None:
        body.extend(data)
        if len(body) > MAX_REFUSAL_BYTES:
            raise IncompleteResponseError("the refusal is too large")

    try:
        await response.forward(take, lambda: 0.0)
        said = msgspec.json.decode(body, type=WireRefusal).error
    except (IncompleteResponseError, *MALFORMED) as error:
        response.close()
        attempt.lose()
        return BoxRefusal(ErrorKind.ENDPOINT_GARBAGE, attempt.ran, f"no refusal: {error}")
    if said.ran == ExecutionStatus.NOT_RUN:
        attempt.refuse()
    else:
        attempt.lose()
    retry_after_s = _seconds(response.headers.get(RETRY_AFTER))
    return BoxRefusal(said.kind, attempt.ran, said.message, retry_after_s, runs=said.runs)


def _seconds(text: str | None) -> float | None:
    try:
        return None if text is None else max(0.0, float(text))
    except ValueError:
        return None
