"""Encodes refusals as OpenAI error responses, with the execution status of the request."""

import math

import msgspec
from aiohttp import web

from stairquay.core.errors import Refusal

REQUEST_ID_HEADER = "X-Request-Id"
EXECUTION_STATUS_HEADER = "Stairquay-Run"


def refusal_response(refusal: Refusal, request_id: str) -> web.Response:
    """Return the HTTP response for a refusal."""
    headers = {REQUEST_ID_HEADER: request_id, EXECUTION_STATUS_HEADER: refusal.ran.value}
    if refusal.effective_retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.effective_retry_after_s)))
        headers["Retry-After-Ms"] = str(math.ceil(refusal.effective_retry_after_s * 1000))
    return web.Response(
        status=refusal.response.status,
        body=_encode_error(refusal, request_id),
        headers=headers,
        content_type="application/json",
    )


def error_event(refusal: Refusal, request_id: str) -> bytes:
    """Return the server-sent event that ends an interrupted stream."""
    return b"\n\ndata: " + _encode_error(refusal, request_id) + b"\n\n"


def _encode_error(refusal: Refusal, request_id: str) -> bytes:
    error: dict[str, str | float | None] = {
        "message": refusal.message,
        "type": refusal.response.type,
        "param": None,
        "code": refusal.kind.value,
        "run": refusal.ran.value,
        "request_id": request_id,
    }
    if refusal.effective_retry_after_s is not None:
        error["retry_after_s"] = round(refusal.effective_retry_after_s, 3)
    return msgspec.json.encode({"error": error})
