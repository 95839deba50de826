"""Parses the request headers for idempotency, repeatability and timeouts."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from aiohttp import web
from multidict import CIMultiDictProxy
from result import Err, Ok, Result

from stairquay.core.errors import ErrorKind, Refusal
from stairquay.entry.once import MAX_KEY_CHARS, hash_request

KEY_HEADER = "Idempotency-Key"
REPEATABLE_HEADER = "Stairquay-Repeatable"
TIMEOUT_HEADER = "Stairquay-Timeout"
NOT_REPEATABLE = "no"


@dataclass(frozen=True)
class RequestOptions:
    """Options of a request. key: idempotency key or empty; timeout_s: None for the service's."""

    key: str
    repeatable: bool
    timeout_s: float | None


@dataclass(frozen=True)
class ClaimRequest:
    """A claim to acquire: the client's idempotency key, and the hash of its request."""

    key: str
    body_hash: str


def parse_request_options(headers: CIMultiDictProxy[str]) -> Result[RequestOptions, Refusal]:
    """Parse the option headers; a request with an idempotency key is not repeatable."""
    key = headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_CHARS or (KEY_HEADER in headers and not key.strip()):
        return Err(Refusal(ErrorKind.KEY_INVALID, detail=f"1 to {MAX_KEY_CHARS} characters"))
    repeatable = headers.get(REPEATABLE_HEADER, "").strip().lower() != NOT_REPEATABLE and not key
    timeout_text = headers.get(TIMEOUT_HEADER)
    if timeout_text is None:
        return Ok(RequestOptions(key, repeatable, None))
    try:
        timeout_s = float(timeout_text)
    except ValueError:
        timeout_s = -1.0
    if not 0 < timeout_s < float("inf"):
        return Err(
            Refusal(
                ErrorKind.BAD_REQUEST,
                detail=f"{TIMEOUT_HEADER} must be a positive number of seconds, not {timeout_text!r}",
            )
        )
    return Ok(RequestOptions(key, repeatable, timeout_s))


def claim_request(
    request: web.Request, options: RequestOptions, body: bytes | AsyncIterator[bytes]
) -> ClaimRequest | None:
    """Return the claim that a request needs, None without a key. With a key, the body is buffered."""
    if not options.key or not isinstance(body, bytes):
        return None
    return ClaimRequest(options.key, hash_request(request.method, request.path_qs, body))
