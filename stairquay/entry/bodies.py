"""Reads request bodies, buffered or streamed, within size and time limits."""

import asyncio
from collections.abc import AsyncIterator

from aiohttp import web
from result import Err, Ok, Result

from stairquay.adapters.bounded_handler import ShedBodyError, release_frames
from stairquay.core.client_memory import BodyClaim, NoBodyMemoryError
from stairquay.core.errors import ErrorKind, Refusal


async def read_body(
    request: web.Request, max_bytes: int, timeout_s: float, claim: BodyClaim
) -> Result[bytes, Refusal]:
    """Read a whole body, if there is memory for it; `timeout_s` bounds the whole read."""
    if request.content_length is not None and request.content_length > max_bytes:
        return Err(Refusal(ErrorKind.BODY_TOO_LARGE, detail=f"at most {max_bytes} bytes"))
    body = bytearray()
    try:
        claim.cover(request.content_length or 0)
        async with asyncio.timeout(timeout_s):
            async for chunk in request.content.iter_any():
                body += chunk
                if len(body) > max_bytes:
                    return Err(Refusal(ErrorKind.BODY_TOO_LARGE, detail=f"at most {max_bytes} bytes"))
                claim.cover(len(body))
                # Not kept while the next one is awaited.
                del chunk
    except NoBodyMemoryError:
        return Err(Refusal(ErrorKind.OVERLOADED, detail="this box has as many requests as it can hold"))
    except TimeoutError:
        return Err(Refusal(ErrorKind.SLOW_SENDER))
    except web.RequestPayloadError as error:
        release_frames(error)
        if isinstance(error, ShedBodyError):
            return Err(Refusal(ErrorKind.OVERLOADED))
        return Err(Refusal(ErrorKind.BAD_REQUEST, detail=str(error)))
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
