"""HTTP client of the platform, with JSON bodies. docs/PLATFORM.md describes the calls."""

import asyncio
from typing import TypeVar
from urllib.parse import quote

import msgspec
from absl import logging
from aiohttp import ClientConnectorError, ClientError, ClientSession, ClientTimeout
from result import Err, Ok, Result

from stairquay.adapters.ports import Changes, Commit, Committed, Conflict, PlatformFault
from stairquay.core.json_list import split_list
from stairquay.core.malformed import MALFORMED
from stairquay.core.models import Box, BoxList
from stairquay.core.row import Row
from stairquay.core.whole_numbers import WholeNumber

T = TypeVar("T")

HTTP_OK = 200
HTTP_NOT_MODIFIED = 304
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409

LOG_INTERVAL_S = 10
"""Seconds between two lines about a malformed list or entry: it is read several times a second."""

MAX_SHOWN_BYTES = 200
"""Bytes of a malformed entry that are logged."""


class WireBoxList(msgspec.Struct):
    """The list of boxes without its entries. as_of: its version number."""

    as_of: WholeNumber = 0


class HttpPlatform:
    """Client of the platform at one base URL; each call ends within `timeout_s` seconds."""

    def __init__(self, url: str, timeout_s: float) -> None:
        self.url = url.rstrip("/")
        self.session = ClientSession(timeout=ClientTimeout(total=timeout_s))
        self.cached_boxes = BoxList()

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()

    async def get(self, key: str) -> Result[Row | None, PlatformFault]:
        """Return a row, or None if it does not exist."""
        reply = await self._call("GET", f"/table/rows/{quote(key, safe='')}")
        return reply.and_then(lambda response: _decode_optional(response, Row))

    async def changes(self, since: int, prefix: str) -> Result[Changes, PlatformFault]:
        """Return the rows with a key prefix that changed after a revision."""
        reply = await self._call("GET", f"/table/changes?since={since}&prefix={quote(prefix, safe='')}")
        return reply.and_then(lambda response: _decode(response, Changes))

    async def commit(self, commit: Commit) -> Result[Committed | Conflict, PlatformFault]:
        """Write all rows atomically if all conditions hold."""
        reply = await self._call("POST", "/table/commits", msgspec.json.encode(commit))
        return reply.and_then(_decode_commit)

    async def boxes(self) -> Result[BoxList, PlatformFault]:
        """Return the current box list; its ETag avoids sending an unchanged one again."""
        headers = {"If-None-Match": f'"{self.cached_boxes.as_of}"'} if self.cached_boxes.as_of else {}
        reply = await self._call("GET", "/boxes", headers=headers)
        if isinstance(reply, Ok) and reply.ok_value[0] == HTTP_NOT_MODIFIED:
            return Ok(self.cached_boxes)
        boxes = reply.and_then(_decode_boxes)
        if isinstance(boxes, Ok):
            self.cached_boxes = boxes.ok_value
        return boxes

    async def _call(
        self, method: str, path: str, body: bytes | None = None, headers: dict[str, str] | None = None
    ) -> Result[tuple[int, bytes], PlatformFault]:
        """Return status and body. `UNREACHED` only if no connection was made."""
        try:
            async with self.session.request(method, self.url + path, data=body, headers=headers) as response:
                return _check_status(response.status, await response.read())
        except ClientConnectorError:
            return Err(PlatformFault.UNREACHED)
        except (ClientError, asyncio.TimeoutError):
            return Err(PlatformFault.UNKNOWN)


def _check_status(status: int, body: bytes) -> Result[tuple[int, bytes], PlatformFault]:
    if status in (HTTP_OK, HTTP_NOT_MODIFIED, HTTP_NOT_FOUND, HTTP_CONFLICT):
        return Ok((status, body))
    return Err(PlatformFault.UNKNOWN)


def _decode(response: tuple[int, bytes], response_type: type[T]) -> Result[T, PlatformFault]:
    status, body = response
    if status != HTTP_OK:
        return Err(PlatformFault.UNKNOWN)
    try:
        return Ok(msgspec.json.decode(body, type=response_type))
    except MALFORMED:
        return Err(PlatformFault.UNKNOWN)


def _decode_boxes(response: tuple[int, bytes]) -> Result[BoxList, PlatformFault]:
    """Decode the list of boxes without the entries that are malformed."""
    status, body = response
    if status != HTTP_OK:
        return Err(PlatformFault.UNKNOWN)
    try:
        rest, entries = split_list(body, "boxes")
        as_of = msgspec.json.decode(rest, type=WireBoxList).as_of
    except (ValueError, *MALFORMED) as error:
        logging.log_every_n_seconds(
            logging.ERROR, "the list of boxes is malformed: %s", LOG_INTERVAL_S, error
        )
        return Err(PlatformFault.UNKNOWN)
    boxes = []
    for entry in entries:
        try:
            boxes.append(msgspec.json.decode(entry, type=Box))
        except MALFORMED as error:
            shown = entry[:MAX_SHOWN_BYTES]
            logging.log_every_n_seconds(
                logging.ERROR,
                "ignored an entry of the list of boxes: %s, in %r",
                LOG_INTERVAL_S,
                error,
                shown,
            )
    return Ok(BoxList(as_of, tuple(boxes)))


def _decode_optional(response: tuple[int, bytes], response_type: type[T]) -> Result[T | None, PlatformFault]:
    if response[0] == HTTP_NOT_FOUND:
        return Ok(None)
    return _decode(response, response_type).map(lambda value: value)


def _decode_commit(response: tuple[int, bytes]) -> Result[Committed | Conflict, PlatformFault]:
    status, body = response
    if status == HTTP_CONFLICT:
        return _decode((HTTP_OK, body), Conflict).map(lambda value: value)
    return _decode(response, Committed).map(lambda value: value)
