"""Stand-ins for the users' platform: its table service, endpoints and store boxes, with faults.

They run on the loop of the test that starts them, so that a test sets a fault by setting a field.
"""

import asyncio
import json
import socket
import struct
from base64 import b64decode, b64encode
from dataclasses import dataclass, field
from time import monotonic
from typing import Any

from aiohttp import web
from multidict import CIMultiDict

TABLE_STARTED_S = monotonic() - 1_000.0
"""When the table service's clock stood at 0; the process has its own for as long as tests run."""


def now_ms() -> float:
    """Return the table service's clock."""
    return (monotonic() - TABLE_STARTED_S) * 1000


async def serve_app(handler: Any) -> tuple[web.AppRunner, str]:
    """Serve one handler for all paths on a free port, and return its address."""
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", handler)
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    return runner, f"{host}:{port}"


@dataclass
class TableService:
    """Rows with one growing counter, a feed, and conditional writes.

    down: nothing is answered. lost: writes that are done but not answered. refused_by_prefix: writes of
    keys that begin so that are turned away, nothing done. forgotten: the history before this counter is gone.
    slow_s: delay of every answer. late_s_by_table: seconds by which a table's rows are late on their way.
    unread_tables: tables whose rows are not to be had for now.
    """

    rows_by_key: dict[tuple[str, str], tuple[str, int]] = field(default_factory=dict)
    history: list[tuple[int, str, str]] = field(default_factory=list)
    counter: int = 0
    down: bool = False
    lost: int = 0
    refused_by_prefix: dict[str, int] = field(default_factory=dict)
    forgotten: int = 0
    slow_s: float = 0.0
    late_s_by_table: dict[str, float] = field(default_factory=dict)
    unread_tables: set[str] = field(default_factory=set)
    calls: list[str] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    address: str = ""
    runner: web.AppRunner | None = None

    async def start(self) -> None:
        self.runner, self.address = await serve_app(self._handle)

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator or an endpoint does."""
        self._write([(table, key, json.dumps(value))])

    def remove(self, table: str, key: str) -> None:
        self._write([(table, key, None)])

    def get(self, table: str, key: str) -> Any:
        row = self.rows_by_key.get((table, key))
        return None if row is None else json.loads(row[0])

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
        self.calls.append(request.path)
        if self.down:
            await asyncio.sleep(30)
        await asyncio.sleep(self.slow_s)
        if request.path == "/-/rows-get":
            table = request.query["table"]
            if table in self.unread_tables:
                return web.Response(status=429)
            answer = self._rows(request)
            await asyncio.sleep(self.late_s_by_table.get(table, 0.0))
            return answer
        if request.path == "/-/rows-feed":
            return await self._feed(request)
        if request.path == "/-/rows-tx":
            return await self._commit(request)
        return web.Response(status=404)

    def _rows(self, request: web.Request) -> web.Response:
        table, start = request.query["table"], request.query.get("from", "")
        found = sorted(key for held, key in self.rows_by_key if held == table and key >= start)
        limit = int(request.query.get("limit", "500"))
        rows = [self._row(table, key) for key in found[:limit]]
        return web.json_response(
            {"rows": rows, "more": len(found) > limit, "ver": self.counter, "now_ms": now_ms()}
        )

    async def _feed(self, request: web.Request) -> web.Response:
        table, after = request.query["table"], int(request.query["after"])
        if after < self.forgotten:
            return web.Response(status=410)
        end = asyncio.get_running_loop().time() + int(request.query["wait_ms"]) / 1000
        while True:
            keys = dict.fromkeys(key for ver, held, key in self.history if held == table and ver > after)
            left = end - asyncio.get_running_loop().time()
            if keys or left <= 0:
                rows = [self._row(table, key) for key in keys]
                return web.json_response({"rows": rows, "ver": self.counter, "now_ms": now_ms()})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue

    async def _commit(self, request: web.Request) -> web.Response:
        body = await request.json()
        for prefix, count in self.refused_by_prefix.items():
            if count and any(item["key"].startswith(prefix) for item in body["put"]):
                self.refused_by_prefix[prefix] -= 1
                return web.Response(status=503)
        wrong = [
            item
            for item in body["expected"]
            if self.rows_by_key.get((item["table"], item["key"]), ("", 0))[1] != item["ver"]
        ]
        if wrong:
            rows = [self._row(item["table"], item["key"]) for item in wrong]
            return web.json_response({"rows": rows, "ver": self.counter}, status=412)
        puts = [(item["table"], item["key"], b64decode(item["value"]).decode()) for item in body["put"]]
        removes = [(item["table"], item["key"], None) for item in body["remove"]]
        self._write([*puts, *removes])
        if self.lost:
            self.lost -= 1
            await asyncio.sleep(30)
        return web.json_response({"ver": self.counter, "now_ms": now_ms()})

    def _row(self, table: str, key: str) -> dict[str, Any]:
        row = self.rows_by_key.get((table, key))
        if row is None:
            return {"table": table, "part": "", "key": key, "gone": True, "ver": self.counter}
        value = b64encode(row[0].encode()).decode()
        return {"table": table, "part": "", "key": key, "value": value, "ver": row[1]}


@dataclass
class Taken:
    """A request as an endpoint took it."""

    id: str
    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes


@dataclass
class Holder:
    """What engines and store boxes have in common: kept parts, told by events and lists."""

    life: int = 1
    parts_by_key: dict[tuple[str, str], int] = field(default_factory=dict)
    events: list[list[Any]] = field(default_factory=list)
    freed: list[tuple[str, str]] = field(default_factory=list)
    silent: bool = False
    clock_ms: int = 1_000_000

    def keep(self, scope: str, part: str, tokens: int) -> None:
        self.parts_by_key[scope, part] = tokens
        self.events.append([len(self.events) + 1, "+", scope, part, tokens, "m"])

    def drop(self, scope: str, part: str) -> None:
        self.parts_by_key.pop((scope, part), None)
        self.events.append([len(self.events) + 1, "-", scope, part, 0, "m"])

    async def kept(self, request: web.Request) -> web.Response | None:
        """Answer a call about what is kept, None where it is another call."""
        if self.silent and request.path.startswith("/-/"):
            await asyncio.sleep(30)
        if request.path == "/-/kv-events":
            return await self._changes(request)
        if request.path == "/-/kv-list":
            held = [[scope, part, tokens, "m"] for (scope, part), tokens in self.parts_by_key.items()]
            position = len(self.events)
            return web.json_response({"boot_epoch": self.life, "next_page_token": position, "held": held})
        if request.path == "/-/kv-free":
            return await self._free(request)
        return None

    async def _changes(self, request: web.Request) -> web.Response:
        since = int(request.query["since"])
        end = asyncio.get_running_loop().time() + int(request.headers["Wait-Ms"]) / 1000
        while len(self.events) <= since and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.02)
        answer = {
            "boot_epoch": self.life,
            "next_page_token": len(self.events),
            "lost": False,
            "events": self.events[since:],
            "clock_ms": self.clock_ms,
        }
        return web.json_response(answer)

    async def _free(self, request: web.Request) -> web.Response:
        body = await request.json()
        if body.get("boot_epoch") not in (None, self.life):
            return web.Response(status=409)
        for scope, part in body["parts"]:
            self.freed.append((scope, part))
            self.drop(scope, part)
        return web.json_response({})


@dataclass
class StoreBox(Holder):
    """A store box."""

    address: str = ""
    runner: web.AppRunner | None = None

    async def start(self) -> None:
        self.runner, self.address = await serve_app(self._handle)

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        return await self.kept(request) or web.Response(status=404)


@dataclass
class Endpoint(Holder):
    """A plain service's endpoint, or an engine. Faults are fields:

    refuse: this many requests are turned away. errors: this many runs end in 500. stray: this many answers
    carry another request's id. break_after: streams are reset after that many events. hold_s: time before
    the answer. unframed_reset: this many answers without a length end in a reset. surplus: this many
    answers are followed by bytes that belong to nothing.
    """

    id: str = "i-1"
    service: str = "plain"
    model: str = ""
    version: int = 1
    events_made: int = 5
    event_s: float = 0.005
    refuse: int = 0
    errors: int = 0
    stray: int = 0
    unsigned: int = 0
    break_after: int | None = None
    hold_s: float = 0.0
    unframed_reset: int = 0
    keep_alive: str = ""
    lose_orders: int = 0
    load_s: float = 0.1
    queued: int = 0
    busy: bool = False
    sequence: int = 0
    asked_report: int = 0
    taken: list[Taken] = field(default_factory=list)
    orders: list[dict[str, Any]] = field(default_factory=list)
    ports: list[int] = field(default_factory=list)
    left: int = 0
    address: str = ""
    runner: web.AppRunner | None = None
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        self.runner, self.address = await serve_app(self._handle)

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the endpoint's entry in the list."""
        models = [{"name": self.model, "version": self.version, "adapters": []}] if self.model else []
        return {
            "service": self.service,
            "address": self.address,
            "zone": "hall-a",
            "slots": 4,
            "state": state,
            "models": models,
            "sequence": 1,
        }

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        kept = await self.kept(request)
        if kept is not None:
            return kept
        if request.path == "/-/report":
            return self._report()
        if request.path == "/-/order":
            return await self._order(request)
        return await self._run(request)

    def _report(self) -> web.Response:
        self.asked_report += 1
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        report = {"stage": "both", "models": models, "busy": self.busy, "sequence": self.sequence}
        report |= {"queued": self.queued, "next_page_token": 9_000, "running": 0, "kv_used": 0}
        report |= {"kv_total": 100_000, "clock_ms": self.clock_ms}
        return web.json_response(report)

    async def _order(self, request: web.Request) -> web.Response:
        order = await request.json()
        self.orders.append(order)
        if order.get("expected") not in (None, self.sequence):
            return web.Response(status=409)
        self.sequence += 1
        self.busy = True
        task = asyncio.get_running_loop().create_task(self._load(order["version"]))
        self.tasks.add(task)
        if self.lose_orders:
            self.lose_orders -= 1
            await asyncio.sleep(30)
        return web.Response(status=202)

    async def _load(self, version: int) -> None:
        await asyncio.sleep(self.load_s)
        self.version = version
        self.busy = False

    async def _run(self, request: web.Request) -> web.StreamResponse:
        call_id = request.headers.get("Request-Id", "")
        wanted = request.headers.get("Target-Instance", self.id)
        version = request.headers.get("Expect-Version", str(self.version))
        if wanted != self.id or version != str(self.version):
            return web.Response(status=421, headers={"Instance-Id": self.id})
        if self.refuse:
            self.refuse -= 1
            return web.Response(status=503, headers={"Not-Executed": "1", "Request-Id": call_id})
        body = await request.read()
        assert request.transport is not None
        self.ports.append(request.transport.get_extra_info("peername")[1])
        self.taken.append(
            Taken(call_id, request.method, request.raw_path, CIMultiDict(request.headers), body)
        )
        try:
            await asyncio.sleep(self.hold_s)
            return await self._answer(request, call_id)
        except asyncio.CancelledError:
            self.left += 1
            raise

    async def _answer(self, request: web.Request, call_id: str) -> web.StreamResponse:
        headers = {
            "Request-Id": call_id,
            "Response-Signature": f"sig-{self.id}",
            "Versions": str(self.version),
        }
        if self.keep_alive:
            headers["Keep-Alive"] = self.keep_alive
        if self.stray:
            self.stray -= 1
            headers["Request-Id"] = "somebody-else"
        if self.unsigned:
            self.unsigned -= 1
            del headers["Response-Signature"]
        if self.errors:
            self.errors -= 1
            return web.Response(status=500, body=b"broken", headers=headers)
        if self.unframed_reset:
            self.unframed_reset -= 1
            return await self._reset_unframed(request, headers)
        if not self.model:
            return web.Response(body=f"answer of {self.id}".encode(), headers=headers)
        return await self._stream(request, headers)

    async def _stream(self, request: web.Request, headers: dict[str, str]) -> web.StreamResponse:
        response = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        response.enable_chunked_encoding()
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, self.events_made + 1):
            await response.write(f"id: {number}\ndata: piece {number}\n\n".encode())
            await asyncio.sleep(self.event_s)
            if number == self.break_after:
                self.break_after = None
                assert request.transport is not None
                await response.write(f"id: {number + 1}\nda".encode())
                request.transport.abort()
                return response
        await response.write_eof()
        return response

    async def _reset_unframed(self, request: web.Request, headers: dict[str, str]) -> web.StreamResponse:
        assert request.transport is not None
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        request.transport.write(f"HTTP/1.1 200 OK\r\n{lines}Connection: close\r\n\r\nhalf of".encode())
        await asyncio.sleep(0.05)
        held = request.transport.get_extra_info("socket")
        held.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        request.transport.abort()
        return web.Response()
