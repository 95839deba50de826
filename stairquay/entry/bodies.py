"""Reads request bodies, buffered or streamed, within size and time limits."""

import asyncio
from collections.abc import AsyncIterator

from aiohttp import web
from result import Err, Ok, Result

from stairquay.core.errors import ErrorKind, Refusal


async def read_body(request: web.Request, max_bytes: int, timeout_s: float) -> Result[bytes, Refusal]:
    """Read a whole body; `timeout_s` bounds the whole read."""
    if request.content_length is not None and request.content_length > max_bytes:
        return Err(Refusal(ErrorKind.BODY_TOO_LARGE, detail=f"at most {max_bytes} bytes"))
    body = bytearray()
    try:
        async with asyncio.timeout(timeout_s):
            async for chunk in request.content.iter_any():
                body += chunk
                if len(body) > max_bytes:
                    return Err(Refusal(ErrorKind.BODY_TOO_LARGE, detail=f"at most {max_bytes} bytes"))
    except TimeoutError:
        return Err(Refusal(ErrorKind.SLOW_SENDER))
    return Ok(bytes(body))


async def stream_body(request: web.Request, max_bytes: int, timeout_s: float) -> AsyncIterator[bytes]:
    """Yield a body's chunks; one that is too large or too slow raises. `timeout_s` bounds each read."""
    size = 0
    while True:
        async with asyncio.timeout(timeout_s):
            chunk = await request.content.readany()
        if not chunk:
            return
        size += len(chunk)
        if size > max_bytes:
            raise ValueError(f"request body exceeds {max_bytes} bytes")
        yield chunk
