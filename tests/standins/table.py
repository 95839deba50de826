"""Stand-in for the platform's table service, with faults that a test sets as fields."""

import asyncio
import json
from base64 import b64decode, b64encode
from dataclasses import dataclass, field
from time import monotonic
from typing import Any

from aiohttp import web

TABLE_STARTED_S = monotonic() - 1_000.0
"""Monotonic time at which the table service's clock was 0."""


def now_ms() -> float:
    """Return the table service's clock."""
    return (monotonic() - TABLE_STARTED_S) * 1000


async def serve_app(handler: Any, port: int = 0) -> tuple[web.AppRunner, str]:
    """Serve one handler for all paths on a port, or a free one, and return its address."""
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", handler)
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", port)
    await site.start()
    host, port = runner.addresses[0][:2]
    return runner, f"{host}:{port}"


ENDLESS_BLOCK = b"x" * 65_536
ENDLESS_BYTES = 400_000_000
"""Bytes after which an answer without end does end, for the sake of the machine that runs the test."""


async def answer_without_end(request: web.Request) -> web.StreamResponse:
    """Send a body until the caller closes."""
    response = web.StreamResponse()
    await response.prepare(request)
    for _ in range(ENDLESS_BYTES // len(ENDLESS_BLOCK)):
        await response.write(ENDLESS_BLOCK)
        await asyncio.sleep(0)
    return response


@dataclass(frozen=True)
class Snapshot:
    """Content of the table service at one time."""

    rows_by_key: dict[tuple[str, str], tuple[str, int]]
    history: tuple[tuple[int, str, str], ...]
    counter: int


@dataclass
class TableService:
    """Rows with one revision counter, a change feed, and conditional writes.

    down: no request is answered. lost_answers: number of writes that are done but not answered.
    refused_by_prefix: number of writes to refuse, by prefix of their keys. compacted_before: the feed refuses
    older revisions. delay_s: delay of every answer. delay_s_by_table: delay of a table's rows after they are
    read. unavailable_tables: tables whose rows cannot be read. endless_paths: paths whose answers never end.
    era: rises with each restore of a snapshot.
    """

    rows_by_key: dict[tuple[str, str], tuple[str, int]] = field(default_factory=dict)
    history: list[tuple[int, str, str]] = field(default_factory=list)
    counter: int = 0
    down: bool = False
    lost_answers: int = 0
    refused_by_prefix: dict[str, int] = field(default_factory=dict)
    compacted_before: int = 0
    delay_s: float = 0.0
    delay_s_by_table: dict[str, float] = field(default_factory=dict)
    unavailable_tables: set[str] = field(default_factory=set)
    endless_paths: set[str] = field(default_factory=set)
    era: int = 1
    calls: list[str] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    address: str = ""
    runner: web.AppRunner | None = None

    async def start(self) -> None:
        self.runner, self.address = await serve_app(self._handle)

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator or an endpoint does."""
        self._write([(table, key, json.dumps(value))])

    def put_bytes(self, table: str, key: str, value: bytes) -> None:
        """Write a row whose bytes need not be valid text."""
        self._write([(table, key, value.decode("utf-8", "surrogateescape"))])

    def remove(self, table: str, key: str) -> None:
        self._write([(table, key, None)])

    def get(self, table: str, key: str) -> Any:
        row = self.rows_by_key.get((table, key))
        return None if row is None else json.loads(row[0])

    def snapshot(self) -> Snapshot:
        """Return the current content, to restore it later."""
        return Snapshot(dict(self.rows_by_key), tuple(self.history), self.counter)

    def restore(self, snapshot: Snapshot) -> None:
        """Go back to a snapshot: later writes are lost, and their revisions are assigned again."""
        self.rows_by_key, self.history = dict(snapshot.rows_by_key), list(snapshot.history)
        self.counter = snapshot.counter
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def _write(self, changes: list[tuple[str, str, str | None]]) -> None:
        self.counter += 1
        for table, key, value in changes:
            if value is None:
                self.rows_by_key.pop((table, key), None)
            else:
                self.rows_by_key[table, key] = (value, self.counter)
            self.history.append((self.counter, table, key))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        if request.path in self.endless_paths:
            return await answer_without_end(request)
        answer = await self._answer(request)
        answer.headers["Store-Era"] = str(self.era)
        return answer

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        self.calls.append(request.path)
        if self.down:
            await asyncio.sleep(30)
        await asyncio.sleep(self.delay_s)
        if request.path == "/-/rows-get":
            table = request.query["table"]
            if table in self.unavailable_tables:
                return web.Response(status=429)
            answer = self._rows(request)
            await asyncio.sleep(self.delay_s_by_table.get(table, 0.0))
            return answer
        if request.path == "/-/rows-feed":
            return await self._feed(request)
        if request.path == "/-/rows-tx":
            return await self._commit(request)
        return web.Response(status=404)

    def _rows(self, request: web.Request) -> web.Response:
        table, start = request.query["table"], request.query.get("from", "")
        found = sorted(key for row_table, key in self.rows_by_key if row_table == table and key >= start)
        limit = int(request.query.get("limit", "500"))
        rows = [self._row(table, key) for key in found[:limit]]
        return web.json_response(
            {"rows": rows, "more": len(found) > limit, "ver": self.counter, "now_ms": now_ms()}
        )

    async def _feed(self, request: web.Request) -> web.Response:
        table, after = request.query["table"], int(request.query["after"])
        if after < self.compacted_before or after > self.counter:
            return web.Response(status=410)
        end = asyncio.get_running_loop().time() + int(request.query["wait_ms"]) / 1000
        while True:
            keys = dict.fromkeys(
                key for ver, row_table, key in self.history if row_table == table and ver > after
            )
            remaining_s = end - asyncio.get_running_loop().time()
            if keys or remaining_s <= 0:
                rows = [self._row(table, key) for key in keys]
                return web.json_response({"rows": rows, "ver": self.counter, "now_ms": now_ms()})
            try:
                await asyncio.wait_for(self.changed.wait(), remaining_s)
            except TimeoutError:
                continue

    async def _commit(self, request: web.Request) -> web.Response:
        body = await request.json()
        for prefix, count in self.refused_by_prefix.items():
            if count and any(item["key"].startswith(prefix) for item in body["put"]):
                self.refused_by_prefix[prefix] -= 1
                return web.Response(status=503)
        failed_conditions = [
            item
            for item in body["expected"]
            if self.rows_by_key.get((item["table"], item["key"]), ("", 0))[1] != item["ver"]
        ]
        if failed_conditions:
            rows = [self._row(item["table"], item["key"]) for item in failed_conditions]
            return web.json_response({"rows": rows, "ver": self.counter}, status=412)
        puts = [(item["table"], item["key"], b64decode(item["value"]).decode()) for item in body["put"]]
        removes = [(item["table"], item["key"], None) for item in body["remove"]]
        self._write([*puts, *removes])
        if self.lost_answers:
            self.lost_answers -= 1
            await asyncio.sleep(30)
        return web.json_response({"ver": self.counter, "now_ms": now_ms()})

    def _row(self, table: str, key: str) -> dict[str, Any]:
        row = self.rows_by_key.get((table, key))
        if row is None:
            return {"table": table, "part": "", "key": key, "gone": True, "ver": self.counter}
        value = b64encode(row[0].encode("utf-8", "surrogateescape")).decode()
        return {"table": table, "part": "", "key": key, "value": value, "ver": row[1]}
