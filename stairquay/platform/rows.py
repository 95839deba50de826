"""HTTP client of the platform's table service: reads, change feeds and conditional writes."""

import asyncio
from base64 import b64decode, b64encode
from collections.abc import Callable, Mapping
from contextlib import AbstractAsyncContextManager
from functools import cache
from itertools import count
from logging import Logger, getLogger
from typing import Any

import msgspec
from aiohttp import ClientError, ClientResponse, ClientSession
from result import Err, Ok, Result

from stairquay.adapters.clock import monotonic
from stairquay.adapters.ports import Changes, Commit, Committed, Conflict, PlatformFault
from stairquay.core.buffers import BufferBudget
from stairquay.core.clock import ClockOffset
from stairquay.core.malformed import MALFORMED
from stairquay.core.position import Position
from stairquay.core.row import Row
from stairquay.core.whole_numbers import parse_whole_number
from stairquay.platform.names import COMMIT_PATH, ERA, FEED_PATH, OWN_TABLE, ROWS_PATH
from stairquay.serving.ports import FeedFault

LOGGER = getLogger(__name__)

RESPONSE_TIMEOUT_S = 0.7
"""Timeout of a call in seconds, on top of the wait of a long poll. In an outage that slows the table service
sixtyfold, a call of 4 ms takes 0.24 s and a transaction of 5 ms takes 0.3 s."""

SNAPSHOT_TIMEOUT_S = 1.5
"""Timeout of a call for rows that boxes wait for at their start, also of a slow table service."""

PAGE_ROWS = 500
"""Rows requested per page."""

MAX_INCOMPLETE_BYTES = 32 * 1024 * 1024
"""Bytes that all incomplete answers of a client may have together."""

HTTP_OK = 200
HTTP_CONFLICT = 412
HTTP_GONE = 410
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503


class WireRow(msgspec.Struct):
    """A row. value: base64. ver: its revision. gone: the row was removed."""

    table: str = ""
    part: str = ""
    key: str = ""
    value: str | None = None
    ver: int = 0
    gone: bool = False

    def text(self) -> str | None:
        """Return the value, or None for a removed row. Raises ValueError if it is not UTF-8 in base64."""
        if self.gone or self.value is None:
            return None
        return b64decode(self.value, validate=True).decode()


class WireRows(msgspec.Struct):
    """A page of rows. ver: revision up to which it is complete. now_ms: the service's monotonic clock.

    era: from a header, since the body does not name it.
    """

    rows: list[WireRow] = []
    more: bool = False
    ver: int = 0
    now_ms: float = 0.0
    era: int = 0


class Answer(msgspec.Struct, frozen=True):
    """An answer of the table service."""

    status: int
    content: bytes
    era: int


class TableClient:
    """Client of the table service. A call that times out may still take effect.

    buffers: bounds incomplete answers, also those of other clients that share it.
    """

    def __init__(self, address: str, session: ClientSession, buffers: BufferBudget | None = None) -> None:
        self.url = f"http://{address}"
        self.session = session
        self.buffers = BufferBudget(MAX_INCOMPLETE_BYTES) if buffers is None else buffers
        self.clock_offset: ClockOffset | None = None
        self.newest_era = 0

    async def rows(
        self, table: str, start: str = "", timeout_s: float = RESPONSE_TIMEOUT_S
    ) -> Result[WireRows, PlatformFault]:
        """Read all pages of a table from a key on; the position returned is that of the first page."""
        found: list[WireRow] = []
        first: WireRows | None = None
        start_at = start
        while True:
            query = {"table": table, "part": "", "limit": str(PAGE_ROWS)}
            if start_at:
                query["from"] = start_at
            page = await self._get(ROWS_PATH, query, timeout_s)
            if isinstance(page, Err):
                return Err(PlatformFault.UNREACHED)
            first = page.ok_value if first is None else first
            if page.ok_value.era != first.era:
                # Restored between two pages, which do not belong together.
                return Err(PlatformFault.UNREACHED)
            found.extend(page.ok_value.rows)
            if not page.ok_value.more or not page.ok_value.rows:
                return Ok(WireRows(found, False, first.ver, era=first.era))
            start_at = page.ok_value.rows[-1].key + "\0"

    async def feed(self, table: str, after: Position, wait_s: float) -> Result[WireRows, FeedFault]:
        """Long-poll for the rows of a table that changed after a position."""
        query = {"table": table, "after": str(after.revision), "wait_ms": str(int(wait_s * 1000))}
        changes = await self._get(FEED_PATH, query, wait_s + RESPONSE_TIMEOUT_S)
        if not isinstance(changes, Err) and changes.ok_value.era != after.era:
            # The revision asked for names another state in this era.
            return Err(FeedFault.HISTORY_GONE)
        return changes

    async def commit(
        self, commit: Commit, table: str = OWN_TABLE
    ) -> Result[Committed | Conflict, PlatformFault]:
        """Write all rows to one of our own tables if all conditions hold."""
        body = {
            "expected": [{**_row_id(table, item.key), "ver": item.revision} for item in commit.conditions],
            "put": [
                {**_row_id(table, item.key), "value": b64encode(item.value.encode()).decode()}
                for item in commit.writes
                if item.value is not None
            ],
            "remove": [_row_id(table, item.key) for item in commit.writes if item.value is None],
        }
        requested_at = monotonic()
        answer = await self._exchange(
            lambda: self.session.post(self.url + COMMIT_PATH, json=body), RESPONSE_TIMEOUT_S
        )
        if answer is None:
            return Err(PlatformFault.UNKNOWN)
        try:
            if answer.status == HTTP_OK:
                return Ok(Committed(self._decode(answer, requested_at).ver, answer.era))
            if answer.status == HTTP_CONFLICT:
                rows = msgspec.json.decode(answer.content, type=WireRows).rows
                return Ok(Conflict(tuple(decode_row(row, answer.era) for row in rows)))
        except MALFORMED as error:
            LOGGER.warning("the answer to a write is malformed: %s", error)
            return Err(PlatformFault.UNKNOWN)
        refused = answer.status in (HTTP_TOO_MANY, HTTP_UNAVAILABLE)
        return Err(PlatformFault.UNREACHED if refused else PlatformFault.UNKNOWN)

    async def _get(
        self, path: str, query: Mapping[str, str], timeout_s: float
    ) -> Result[WireRows, FeedFault]:
        requested_at = monotonic()
        answer = await self._exchange(lambda: self.session.get(self.url + path, params=query), timeout_s)
        if answer is None:
            return Err(FeedFault.UNREACHED)
        if answer.status == HTTP_GONE:
            return Err(FeedFault.HISTORY_GONE)
        if answer.status != HTTP_OK:
            return Err(FeedFault.UNREACHED)
        try:
            return Ok(self._decode(answer, requested_at))
        except MALFORMED:
            return Err(FeedFault.UNREACHED)

    async def _exchange(
        self, call: Callable[[], AbstractAsyncContextManager[ClientResponse]], timeout_s: float
    ) -> Answer | None:
        """Return the answer to a call, or None if none came in time, or one of an era that is over."""
        try:
            async with asyncio.timeout(timeout_s):
                async with call() as response:
                    content = await self._read(response)
        except (ClientError, TimeoutError, OSError):
            return None
        if content is None:
            LOGGER.warning(
                "an answer of the table service was given up: incomplete ones take too much memory"
            )
            return None
        # An answer that names no era is taken for one of the newest.
        era = decode_era(response.headers.get(ERA)) or self.newest_era
        if era < self.newest_era:
            return None
        self.newest_era = era
        return Answer(response.status, content, era)

    async def _read(self, response: ClientResponse) -> bytes | None:
        """Return the body of an answer, or None if it was given up for its size."""
        buffer = self.buffers.buffer()
        try:
            async for data in response.content.iter_any():
                if not buffer.extend(data):
                    break
            if buffer.dropped:
                response.close()
                return None
            return buffer.take()
        finally:
            buffer.release()

    def _decode(self, answer: Answer, requested_at: float) -> WireRows:
        """Decode a page of rows and update the clock offset from it."""
        found = msgspec.json.decode(answer.content, type=WireRows)
        found.era = answer.era
        if found.now_ms > 0:
            measured = ClockOffset.from_exchange(found.now_ms / 1000, requested_at, monotonic())
            self.clock_offset = (
                measured if self.clock_offset is None else self.clock_offset.narrowed(measured)
            )
        return found


class OwnRows:
    """Reads and writes our own table, which holds the lease and the list of boxes."""

    def __init__(self, client: TableClient) -> None:
        self.client = client

    async def get(self, key: str) -> Result[Row, PlatformFault]:
        """Return a row; its value is None if there is none."""
        found = await self.client.rows(OWN_TABLE, key)
        if isinstance(found, Err):
            return found
        era = found.ok_value.era
        rows = (decode_row(row, era) for row in found.ok_value.rows)
        return Ok(next((row for row in rows if row.key == key), Row(key, None, 0, era)))

    async def list_prefix(self, prefix: str) -> Result[tuple[Row, ...], PlatformFault]:
        """Return all rows whose keys have a prefix."""
        found = await self.client.rows(OWN_TABLE, prefix)
        if isinstance(found, Err):
            return found
        rows = (decode_row(row, found.ok_value.era) for row in found.ok_value.rows)
        return Ok(tuple(row for row in rows if row.key.startswith(prefix)))

    async def commit(self, commit: Commit) -> Result[Committed | Conflict, PlatformFault]:
        """Write all rows if all conditions hold."""
        return await self.client.commit(commit)

    def clock_offset(self) -> ClockOffset | None:
        """Return the offset of the table service's clock, or None before the first response."""
        return self.client.clock_offset


class FollowedRows:
    """Reads, writes and follows one of our own tables."""

    def __init__(self, client: TableClient, table: str) -> None:
        self.client = client
        self.table = table

    async def read(self) -> Result[Changes, FeedFault]:
        """Read all rows."""
        found = await self.client.rows(self.table, timeout_s=SNAPSHOT_TIMEOUT_S)
        return Err(FeedFault.UNREACHED) if isinstance(found, Err) else Ok(_changes(found.ok_value))

    async def follow(self, after: Position, wait_s: float) -> Result[Changes, FeedFault]:
        """Long-poll for rows that changed after a position."""
        return (await self.client.feed(self.table, after, wait_s)).map(_changes)

    async def commit(self, commit: Commit) -> Result[Committed | Conflict, PlatformFault]:
        """Write all rows if all conditions hold."""
        return await self.client.commit(commit, self.table)

    def clock_offset(self) -> ClockOffset | None:
        """Return the offset of the table service's clock, or None before the first response."""
        return self.client.clock_offset


def _changes(found: WireRows) -> Changes:
    return Changes(found.ver, tuple(decode_row(row, found.era) for row in found.rows), found.era)


def decode_era(header: str | None) -> int:
    """Return the era that an answer names, or 0 if it names none or one that is not a number."""
    if header is None:
        return 0
    era = parse_whole_number(header)
    if era is None:
        _logger_of_invalid_eras().warning("the table service names the era %r", header)
        return 0
    return era


@cache
def _logger_of_invalid_eras() -> Logger:
    """Return a logger that passes on only its first message: every answer may name an invalid era."""
    logger = LOGGER.getChild("era")
    messages = count()
    logger.addFilter(lambda _: next(messages) == 0)
    return logger


def decode_row(row: WireRow, era: int = 0) -> Row:
    """Decode a row of our own tables; an undecodable value becomes empty, which all readers reject."""
    try:
        return Row(row.key, row.text(), row.ver, era)
    except ValueError:
        return Row(row.key, "", row.ver, era)


def _row_id(table: str, key: str) -> dict[str, Any]:
    return {"table": table, "part": "", "key": key}
