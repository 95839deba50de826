"""Reads callers' bodies, whole or as they come, within limits of size and time."""

import asyncio
from collections.abc import AsyncIterator

from aiohttp import web
from result import Err, Ok, Result

from stairquay.core.errors import ErrorKind, Refusal


async def read_body(request: web.Request, max_bytes: int, timeout_s: float) -> Result[bytes, Refusal]:
    """Return a body whole, or refuse one that is too large or too slow."""
    if request.content_length is not None and request.content_length > max_bytes:
        return Err(Refusal(ErrorKind.BODY_TOO_LARGE, detail=f"{max_bytes} bytes"))
    body = bytearray()
    try:
        async with asyncio.timeout(timeout_s):
            async for chunk in request.content.iter_any():
                body += chunk
                if len(body) > max_bytes:
                    return Err(Refusal(ErrorKind.BODY_TOO_LARGE, detail=f"{max_bytes} bytes"))
    except TimeoutError:
        return Err(Refusal(ErrorKind.SLOW_SENDER))
    return Ok(bytes(body))


async def stream_body(request: web.Request, max_bytes: int, timeout_s: float) -> AsyncIterator[bytes]:
    """Yield a body as it comes; one that is too large or too slow breaks the attempt off."""
    size = 0
    while True:
        async with asyncio.timeout(timeout_s):
            chunk = await request.content.readany()
        if not chunk:
            return
        size += len(chunk)
        if size > max_bytes:
            raise ValueError("the body is larger than allowed")
        yield chunk
