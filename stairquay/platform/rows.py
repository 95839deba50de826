"""The platform's table service over HTTP: rows, their feed, and conditional writes."""

import asyncio
from base64 import b64decode, b64encode
from collections.abc import Mapping
from typing import Any

import msgspec
from aiohttp import ClientError, ClientSession
from result import Err, Ok, Result

from stairquay.adapters.clock import monotonic
from stairquay.adapters.ports import Changes, Commit, Committed, Conflict, PlatformFault
from stairquay.core.clock import ClockOffset
from stairquay.core.row import Row
from stairquay.platform.names import COMMIT_PATH, FEED_PATH, OWN_TABLE, ROWS_PATH
from stairquay.serving.ports import FeedFault

ANSWER_S = 0.7
"""Seconds that the table service may take for an answer, besides a wait that was asked for: an outage
that slows it sixtyfold makes a call of 4 ms take 0.24 s and a transaction of 5 ms take 0.3 s."""

PAGE_ROWS = 500
"""Most rows in one answer of the table service."""

HTTP_OK = 200
HTTP_CONFLICT = 412
HTTP_GONE = 410
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503


class WireRow(msgspec.Struct):
    """One row as the table service writes it. `ver` is its revision; `gone` marks a removed row."""

    table: str = ""
    part: str = ""
    key: str = ""
    value: str | None = None
    ver: int = 0
    gone: bool = False

    def text(self) -> str | None:
        """Return the value as text, None for a removed row. Raises ValueError where it is no text."""
        if self.gone or self.value is None:
            return None
        return b64decode(self.value, validate=True).decode()


class WireRows(msgspec.Struct):
    """An answer with rows, complete up to the revision `ver`; `now_ms` is the service's steady clock."""

    rows: list[WireRow] = []
    more: bool = False
    ver: int = 0
    now_ms: float = 0.0


class TableClient:
    """Calls to the table service. A call that gets no answer in time may still take effect."""

    def __init__(self, address: str, session: ClientSession) -> None:
        self.url = f"http://{address}"
        self.session = session
        self.clock_offset: ClockOffset | None = None

    async def rows(self, table: str, start: str = "") -> Result[WireRows, PlatformFault]:
        """Return a table's rows from a key on, page after page, as of the first page's revision."""
        found: list[WireRow] = []
        revision: int | None = None
        start_at = start
        while True:
            query = {"table": table, "part": "", "limit": str(PAGE_ROWS)}
            if start_at:
                query["from"] = start_at
            page = await self._get(ROWS_PATH, query, ANSWER_S)
            if isinstance(page, Err):
                return Err(PlatformFault.UNREACHED)
            revision = page.ok_value.ver if revision is None else revision
            found.extend(page.ok_value.rows)
            if not page.ok_value.more or not page.ok_value.rows:
                return Ok(WireRows(found, False, revision))
            start_at = page.ok_value.rows[-1].key + "\0"

    async def feed(self, table: str, after: int, wait_s: float) -> Result[WireRows, FeedFault]:
        """Wait for the rows of a table that change after a revision."""
        query = {"table": table, "after": str(after), "wait_ms": str(int(wait_s * 1000))}
        return await self._get(FEED_PATH, query, wait_s + ANSWER_S)

    async def commit(
        self, commit: Commit, table: str = OWN_TABLE
    ) -> Result[Committed | Conflict, PlatformFault]:
        """Write all rows of a table of our own if all conditions hold."""
        body = {
            "expected": [{**_place(table, item.key), "ver": item.revision} for item in commit.conditions],
            "put": [
                {**_place(table, item.key), "value": b64encode(item.value.encode()).decode()}
                for item in commit.writes
                if item.value is not None
            ],
            "remove": [_place(table, item.key) for item in commit.writes if item.value is None],
        }
        asked_at = monotonic()
        try:
            async with asyncio.timeout(ANSWER_S):
                async with self.session.post(self.url + COMMIT_PATH, json=body) as response:
                    content = await response.read()
        except (ClientError, TimeoutError, OSError):
            return Err(PlatformFault.UNKNOWN)
        if response.status == HTTP_OK:
            return Ok(Committed(self._decode(content, asked_at).ver))
        if response.status == HTTP_CONFLICT:
            rows = msgspec.json.decode(content, type=WireRows).rows
            return Ok(Conflict(tuple(own_row(row) for row in rows)))
        refused = response.status in (HTTP_TOO_MANY, HTTP_UNAVAILABLE)
        return Err(PlatformFault.UNREACHED if refused else PlatformFault.UNKNOWN)

    async def _get(self, path: str, query: Mapping[str, str], limit_s: float) -> Result[WireRows, FeedFault]:
        asked_at = monotonic()
        try:
            async with asyncio.timeout(limit_s):
                async with self.session.get(self.url + path, params=query) as response:
                    content = await response.read()
        except (ClientError, TimeoutError, OSError):
            return Err(FeedFault.UNREACHED)
        if response.status == HTTP_GONE:
            return Err(FeedFault.HISTORY_GONE)
        if response.status != HTTP_OK:
            return Err(FeedFault.UNREACHED)
        try:
            return Ok(self._decode(content, asked_at))
        except msgspec.MsgspecError:
            return Err(FeedFault.UNREACHED)

    def _decode(self, content: bytes, asked_at: float) -> WireRows:
        """Read an answer with rows, and note the clock that it tells."""
        found = msgspec.json.decode(content, type=WireRows)
        if found.now_ms > 0:
            told = ClockOffset.from_exchange(found.now_ms / 1000, asked_at, monotonic())
            self.clock_offset = told if self.clock_offset is None else self.clock_offset.narrowed(told)
        return found


class OwnRows:
    """Our own table, as the port that the lease and the list of boxes use."""

    def __init__(self, client: TableClient) -> None:
        self.client = client

    async def get(self, key: str) -> Result[Row | None, PlatformFault]:
        """Return a row, or None where there is none."""
        found = await self.list_prefix(key)
        return found.map(lambda rows: next((row for row in rows if row.key == key), None))

    async def list_prefix(self, prefix: str) -> Result[tuple[Row, ...], PlatformFault]:
        """Return all rows whose keys begin so."""
        found = await self.client.rows(OWN_TABLE, prefix)
        if isinstance(found, Err):
            return found
        rows = (own_row(row) for row in found.ok_value.rows)
        return Ok(tuple(row for row in rows if row.key.startswith(prefix)))

    async def commit(self, commit: Commit) -> Result[Committed | Conflict, PlatformFault]:
        """Write all rows if all conditions hold."""
        return await self.client.commit(commit)

    def clock_offset(self) -> ClockOffset | None:
        """Return the table service's steady clock less ours, None before it was heard."""
        return self.client.clock_offset


class FollowedRows:
    """A table of our own that is followed."""

    def __init__(self, client: TableClient, table: str) -> None:
        self.client = client
        self.table = table

    async def read(self) -> Result[Changes, FeedFault]:
        """Read all rows."""
        found = await self.client.rows(self.table)
        return Err(FeedFault.UNREACHED) if isinstance(found, Err) else Ok(_changes(found.ok_value))

    async def follow(self, after: int, wait_s: float) -> Result[Changes, FeedFault]:
        """Wait for rows that change after a revision."""
        return (await self.client.feed(self.table, after, wait_s)).map(_changes)

    async def commit(self, commit: Commit) -> Result[Committed | Conflict, PlatformFault]:
        """Write all rows if all conditions hold."""
        return await self.client.commit(commit, self.table)

    def clock_offset(self) -> ClockOffset | None:
        """Return the table service's steady clock less ours, None before it was heard."""
        return self.client.clock_offset


def _changes(found: WireRows) -> Changes:
    return Changes(found.ver, tuple(own_row(row) for row in found.rows))


def own_row(row: WireRow) -> Row:
    """Return a row of our own table in our own type. Bytes that are no text give a value no reader takes."""
    try:
        return Row(row.key, row.text(), row.ver)
    except ValueError:
        return Row(row.key, "", row.ver)


def _place(table: str, key: str) -> dict[str, Any]:
    return {"table": table, "part": "", "key": key}
