"""Decodes callers' requests from the platform's headers, and encodes refusals."""

import json
from functools import lru_cache
from http import HTTPStatus
from math import ceil

from aiohttp import web
from result import Err, Ok, Result

from stairquay.adapters.early_answer import RequestHead
from stairquay.core.call import Call, Part, PromptShape
from stairquay.core.catalog import CatalogVersion
from stairquay.core.errors import ErrorKind, Refusal
from stairquay.core.whole_numbers import parse_whole_number
from stairquay.platform.names import (
    AUTHORIZATION,
    BEARER,
    CONFIGURATION,
    FORWARDED,
    HOP_BY_HOP_HEADERS,
    LAST_EVENT_ID,
    MODEL,
    PARTS,
    REQUEST_ID,
    RESERVED_HEADERS,
    RESUMES,
    RETRY_AFTER,
    TIME_LEFT,
    TOKENS,
    connection_options,
)

NEVER_FORWARDED = HOP_BY_HOP_HEADERS | RESERVED_HEADERS
ALWAYS_FORWARDED = frozenset(name.lower() for name in (REQUEST_ID, MODEL, TOKENS, PARTS))
"""Headers that a caller can't take out by naming them in its Connection header."""

MAX_ID_CHARS = 200
"""Maximum length of the id of a request or prompt part."""

MAX_PARTS = 64
"""Maximum number of parts of a prompt."""

MAX_VERSION_DIGITS = 18
"""Maximum length of each number that names a configuration."""

MAX_TOKENS = 10_000_000
"""Maximum token count in a header."""


class PlatformCallerCodec:
    """Decodes requests and encodes refusals."""

    def decode(self, request: web.BaseRequest) -> Result[Call, Refusal]:
        """Decode a request, or return a refusal if it is malformed."""
        headers = request.headers
        call_id = headers.get(REQUEST_ID, "")
        if not call_id or len(call_id) > MAX_ID_CHARS:
            return _malformed(f"{REQUEST_ID} is missing or too long")
        time_left_s = _parse_time_left(headers.get(TIME_LEFT))
        if isinstance(time_left_s, Err):
            return time_left_s
        if len(headers.get(RESUMES, "")) > MAX_ID_CHARS:
            return _malformed(f"{RESUMES} is too long")
        prompt = _parse_prompt(headers.get(MODEL), headers.get(TOKENS), headers.get(PARTS))
        if isinstance(prompt, Err):
            return prompt
        return Ok(
            Call(
                id=call_id,
                method=request.method,
                host=_normalize_host(headers.get("Host", "")),
                path=request.raw_path.partition("?")[0],
                target=request.raw_path,
                headers=_forwarded_headers(request),
                key=_parse_bearer_key(headers.get(AUTHORIZATION)),
                time_left_s=time_left_s.ok_value,
                prompt=prompt.ok_value,
                resume_after=headers.get(LAST_EVENT_ID),
                resumes=headers.get(RESUMES) or None,
                forwarded_attempts=_parse_attempts(headers.get(FORWARDED)),
                forwarded_configuration=(
                    _parse_configuration(headers.get(CONFIGURATION, "")) if FORWARDED in headers else None
                ),
            )
        )

    def decode_head(self, head: RequestHead) -> Call | None:
        """Decode what tells a request's route and workspace; None if its id is missing or too long."""
        headers = head.headers
        call_id = headers.get(REQUEST_ID, "")
        if not call_id or len(call_id) > MAX_ID_CHARS:
            return None
        return Call(
            id=call_id,
            method=head.method,
            host=_normalize_host(headers.get("Host", "")),
            path=head.target.partition("?")[0],
            target=head.target,
            headers=(),
            key=_parse_bearer_key(headers.get(AUTHORIZATION)),
        )

    def refuse(self, call_id: str, refusal: Refusal) -> web.Response:
        """Return the error response to a request."""
        return web.json_response(
            text=_refusal_text(refusal),
            status=refusal.response.status,
            headers=_refusal_headers(call_id, refusal),
        )

    def encode_refusal(self, call_id: str, refusal: Refusal) -> bytes:
        """Return the same response as bytes that close the connection."""
        headers = "".join(
            f"{name}: {value}\r\n" for name, value in _refusal_headers(call_id, refusal).items()
        )
        body = _refusal_text(refusal)
        head = f"{_status_line(refusal.response.status)}{headers}{CLOSING_HEADERS}{len(body)}\r\n\r\n"
        return (head + body).encode(errors="surrogateescape")


CLOSING_HEADERS = "Connection: close\r\nContent-Type: application/json; charset=utf-8\r\nContent-Length: "
"""Headers of a refusal that closes its connection, up to the length of its body, which is all ASCII."""

MAX_CACHED_TEXTS = 64
"""Bodies of refusals that are kept: those of an overloaded box are all alike."""


def _refusal_headers(call_id: str, refusal: Refusal) -> dict[str, str]:
    headers = {REQUEST_ID: call_id} if call_id else {}
    if refusal.effective_retry_after_s is not None:
        # Rounded up, so that no retry comes too early.
        headers[RETRY_AFTER] = f"{ceil(refusal.effective_retry_after_s * 100) / 100:.2f}"
    return headers


def _refusal_text(refusal: Refusal) -> str:
    return _error_text(refusal.kind.value, refusal.ran.value, refusal.message, refusal.runs)


@lru_cache(maxsize=MAX_CACHED_TEXTS)
def _error_text(kind: str, ran: str, message: str, runs: int) -> str:
    error = {"kind": kind, "ran": ran, "message": message}
    return json.dumps({"error": error | {"runs": runs} if runs else error})


@lru_cache
def _status_line(status: int) -> str:
    return f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\n"


def _malformed(detail: str) -> Err[Refusal]:
    return Err(Refusal(ErrorKind.BAD_REQUEST, detail=detail))


def _normalize_host(value: str) -> str:
    return value.rpartition(":")[0].lower() if value.rpartition(":")[2].isdigit() else value.lower()


def _parse_bearer_key(value: str | None) -> str | None:
    if value is None or not value.startswith(BEARER):
        return None
    return value[len(BEARER) :].strip()


def _parse_time_left(value: str | None) -> Result[float | None, Refusal]:
    if value is None:
        return Ok(None)
    time_left_ms = parse_whole_number(value, 12)
    if time_left_ms is None:
        return _malformed(f"{TIME_LEFT} is not a whole number of milliseconds")
    return Ok(time_left_ms / 1000)


def _parse_attempts(value: str | None) -> int | None:
    """Return how many endpoints a box allows, or one where that can't be read: another box did pass it on."""
    if value is None:
        return None
    return max(1, parse_whole_number(value, 3) or 1)


def _parse_configuration(value: str) -> CatalogVersion | None:
    """Return the configuration that a box names; one that can't be read counts as not named."""
    numbers = [parse_whole_number(item, MAX_VERSION_DIGITS) for item in value.split(".")]
    if len(numbers) != 2 or numbers[0] is None or numbers[1] is None:
        return None
    return CatalogVersion(numbers[0], numbers[1])


def _parse_prompt(
    model: str | None, tokens: str | None, parts: str | None
) -> Result[PromptShape | None, Refusal]:
    """Parse the headers of a prompt; None if the request has none."""
    if model is None or tokens is None or parts is None:
        return Ok(None)
    counts = [_parse_token_count(item) for item in tokens.split(",")]
    if len(counts) != 2 or counts[0] is None or counts[1] is None:
        return _malformed(f"{TOKENS} is not two whole numbers")
    parsed = [_parse_part(item) for item in parts.split(",")]
    if len(parsed) > MAX_PARTS:
        return _malformed(f"{PARTS} has more than {MAX_PARTS} parts")
    valid_parts = tuple(part for part in parsed if part is not None)
    if len(valid_parts) != len(parsed):
        return _malformed(f"{PARTS} is not a list of ID:TOKENS")
    return Ok(PromptShape(model, valid_parts, counts[0], counts[1]))


def _parse_part(text: str) -> Part | None:
    part_id, _, count = text.strip().partition(":")
    tokens = _parse_token_count(count)
    if not part_id or len(part_id) > MAX_ID_CHARS or tokens is None:
        return None
    return Part(part_id, tokens)


def _parse_token_count(text: str) -> int | None:
    count = parse_whole_number(text.strip(), 9)
    return None if count is None or count > MAX_TOKENS else count


def _forwarded_headers(request: web.BaseRequest) -> tuple[tuple[str, str], ...]:
    """Return the headers to forward, without reserved and hop-by-hop ones."""
    connection = request.headers.get("Connection")
    dropped = NEVER_FORWARDED
    if connection is not None:
        dropped |= connection_options(connection) - ALWAYS_FORWARDED
    return tuple((name, value) for name, value in request.headers.items() if name.lower() not in dropped)
