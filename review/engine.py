"""Stand-in of a model runner: streams, weights by model, orders, and a restart under the same id."""

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import Any

from review.common import Channel, Message, Record, encode_answer, read_message
from tests.standins.table import TableService

LOAD_S = 0.6
DOWN_S = 2.0
"""Seconds for which a runner is away after a crash."""

FIRST_EVENT_S = 0.03
EVENTS = 5
EVENT_S = 0.03
HEARTBEAT_S = 1.2


@dataclass
class Order:
    """An order as it arrived."""

    model: str
    version: int
    expected: int | None
    holder: str
    token: int


@dataclass
class Engine:
    """A runner of prompts.

    late_s: delays of the next orders, which get no answer. crashing_part: ends it once it begins to answer a
    prompt that has this part, on weights of some version or a newer one; it is back after some seconds.
    arrived, crashes: with times.
    """

    id: str
    record: Record
    table: TableService
    service: str = "llm"
    slots: int = 16
    versions_by_model: dict[str, int] = field(default_factory=lambda: {"m0": 1})
    late_s: list[float] = field(default_factory=list)
    crashing_part: str = ""
    crashes_from_version: int = 1
    arrived: list[tuple[float, str]] = field(default_factory=list)
    begun: set[str] = field(default_factory=set)
    crashes: list[float] = field(default_factory=list)
    born: int = 1_700_000_000_000
    boot_epoch: int = 1
    sequence: int = 0
    busy: bool = False
    is_down: bool = False
    beats: int = 0
    running: int = 0
    runs: list[tuple[str, str, int]] = field(default_factory=list)
    misdirected: int = 0
    address: str = ""
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    heartbeat: asyncio.Task[None] | None = None

    async def start(self) -> None:
        port = int(self.address.rpartition(":")[2] or 0)
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.write_entry()
        self.heartbeat = asyncio.create_task(self._beat())

    async def crash(self, down_s: float) -> None:
        """End at once, and start again under the same id at the same address."""
        if self.is_down:
            return
        self.is_down = True
        self.record.line("crashes", at=self.id)
        self.crashes.append(time.monotonic())
        assert self.server is not None and self.heartbeat is not None
        self.heartbeat.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(down_s)
        self.born += 60_000
        self.boot_epoch += 1
        self.sequence, self.busy, self.beats = 0, False, 0
        await self.start()
        self.is_down = False
        self.record.line("starts_again", at=self.id, versions=self.versions_by_model)

    def write_entry(self) -> None:
        self.beats += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "hall-a",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "stage": "both",
            "models": self._models(),
            "sequence": self.beats,
            "born": self.born,
        }
        self.table.put("servers", self.id, entry)

    def _models(self) -> list[dict[str, Any]]:
        return [{"name": name, "version": at, "adapters": []} for name, at in self.versions_by_model.items()]

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.write_entry()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        channel = Channel(reader, writer)
        self.writers.add(writer)
        try:
            while True:
                await self._answer(channel, await read_message(reader))
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, channel: Channel, request: Message) -> None:
        method, target, _ = request.first.split(" ", 2)
        path = target.partition("?")[0]
        if path == "/-/report":
            self._send_json(channel, 200, self._report())
        elif path == "/-/kv-events":
            await asyncio.sleep(min(1000, int(request.headers.get("wait-ms", "0"))) / 1000)
            self._send_json(channel, 200, self._clocked({"lost": False, "events": []}))
        elif path == "/-/kv-list":
            self._send_json(channel, 200, self._clocked({"held": []}))
        elif path == "/-/order":
            await self._order(channel, request)
        elif "request-id" not in request.headers:
            channel.writer.write(encode_answer(200, {"Instance-Id": self.id}, b""))
        else:
            await self._run(channel, request)

    def _send_json(self, channel: Channel, status: int, value: Any) -> None:
        headers = {"Content-Type": "application/json"}
        channel.writer.write(encode_answer(status, headers, json.dumps(value).encode()))

    def _clocked(self, value: dict[str, Any]) -> dict[str, Any]:
        clock_ms = int(time.monotonic() * 1000)
        return {"boot_epoch": self.boot_epoch, "next_page_token": 0, "clock_ms": clock_ms} | value

    def _report(self) -> dict[str, Any]:
        return self._clocked(
            {
                "stage": "both",
                "models": self._models(),
                "busy": self.busy,
                "sequence": self.sequence,
                "queued": 0,
                "running": self.running,
                "state": "ready",
                "kv_used": 1000 * self.running,
                "kv_total": 179_305,
                "handles": 0,
                "born": self.born,
            }
        )

    async def _order(self, channel: Channel, request: Message) -> None:
        body = json.loads(request.body)
        order = Order(
            body["model"], body["version"], body.get("expected"), body["holder"], body["fencing_token"]
        )
        self.record.line(
            "order", at=self.id, model=order.model, version=order.version, expected=order.expected
        )
        if request.headers.get("target-instance", self.id) != self.id:
            self._send_json(channel, 421, {})
            return
        if self.late_s:
            self._start(self._carry_out_late(order, self.late_s.pop(0)))
            await asyncio.sleep(30)
            return
        self._send_json(channel, self._take(order), {})

    async def _carry_out_late(self, order: Order, after_s: float) -> None:
        await asyncio.sleep(after_s)
        status = self._take(order)
        self.record.line(
            "late_order", at=self.id, version=order.version, expected=order.expected, status=status
        )

    def _take(self, order: Order) -> int:
        if order.expected is not None and order.expected != self.sequence:
            return 409
        if self.busy:
            return 409
        if self.versions_by_model[order.model] == order.version:
            return 200
        self.sequence += 1
        self.busy = True
        self._start(self._load(order, self.born))
        return 202

    async def _load(self, order: Order, born: int) -> None:
        await asyncio.sleep(LOAD_S)
        if born != self.born:
            return
        self.versions_by_model[order.model] = order.version
        self.busy = False
        self.record.line("loaded", at=self.id, model=order.model, version=order.version)
        self.write_entry()

    def _start(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _crashes_on(self, request: Message, version: int) -> bool:
        is_bad = self.crashing_part and self.crashing_part in request.headers.get("prompt-prefix", "")
        return bool(is_bad) and version >= self.crashes_from_version

    async def _run(self, channel: Channel, request: Message) -> None:
        request_id, model = request.headers["request-id"], request.headers.get("model", "")
        headers = {"Request-Id": request_id, "Content-Type": "text/event-stream"}
        self.arrived.append((time.monotonic(), request_id))
        version = self.versions_by_model[model]
        expected = request.headers.get("expect-version", str(version))
        if request.headers.get("target-instance", self.id) != self.id or int(expected) != version:
            self.misdirected += 1
            self.record.line("misdirected", id=request_id, at=self.id, expects=expected, has=version)
            channel.writer.write(encode_answer(421, headers | {"Instance-Id": self.id}, b""))
            return
        if self.busy or self.running >= self.slots:
            channel.writer.write(encode_answer(503, headers | {"Not-Executed": "1"}, b""))
            return
        self.runs.append((request_id, model, version))
        self.record.line("runs", id=request_id, at=self.id, model=model, version=version)
        self.running += 1
        try:
            await asyncio.sleep(FIRST_EVENT_S)
            if self._crashes_on(request, version):
                self._start(self.crash(DOWN_S))
                return
            self.begun.add(request_id)
            lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers.items())]
            lines += [f"Response-Signature: {self.id}.{len(self.runs)}", f"Versions: {version}"]
            lines.append("Transfer-Encoding: chunked")
            channel.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            for number in range(1, EVENTS + 1):
                event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
                channel.writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await channel.writer.drain()
                await asyncio.sleep(EVENT_S)
            channel.writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


def prompt_headers(model: str, number: int) -> dict[str, str]:
    return {
        "Model": model,
        "Token-Usage": "900,20",
        "Prompt-Prefix": f"{number % 16 + 256:x}:500,{number + 4096:x}:400",
    }


def engine_service(models: list[str]) -> dict[str, Any]:
    engine = {
        "slots": 16,
        "kv_capacity_tokens": 179305,
        "kv_token_bytes": 35136,
        "link_mbps": 1100000.0,
        "max_concurrency": 12,
        "models": [{"name": name} for name in models],
    }
    return {"name": "llm", "max_connections": 610, "health_path": "/healthz", "engine": engine}
