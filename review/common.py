"""Stand-ins of a small deployment for the cases: the table service, runners on raw sockets, callers, a box.

A box is a process of its own, with the command of the deploy file. All else runs on this process's
event loop, on loopback addresses.
"""

import asyncio
import json
import os
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tests.standins.table import TableService

ROOT = Path(__file__).resolve().parent.parent
HOST = "svc.example"
KEY = "key-one"
TENANT = "w1"

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

BOUNDS = """
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
skew_max_ms = 5000
strict_revoke = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 52
recovery_s = 12
transit_ms = 120
again_s = 20
require_fencing = false
lease_ms = 3000
thaw_slack_ms = 300
version_ms = 12000
version_all_ms = 17000
"""
"""Bounds of the small deployment hsita-stairquay."""


def trouble() -> bool:
    """Tell whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


GARBLE_S, PAUSE_S = 5.0, 1.0
"""Length of one `garble` as the site file has it, and of the pause before the next one."""


def garbles_now(record: "Record") -> bool:
    """Tell whether a faulty runner garbles now: by turns, as the disruption may come more than once."""
    return (time.monotonic() - record.started) % (GARBLE_S + PAUSE_S) < GARBLE_S


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of a case."""

    def __init__(self, folder: Path) -> None:
        self.started = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def line(self, kind: str, **fields: Any) -> None:
        at = f"{time.monotonic() - self.started:8.3f}"
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{at} {kind} {text}\n")

    def close(self) -> None:
        self.file.close()


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


@dataclass
class Message:
    """The head and the body of a request or an answer. whole: the body came in full."""

    first: str
    headers: dict[str, str]
    body: bytes = b""
    whole: bool = True

    @property
    def status(self) -> int:
        return int(self.first.split(" ", 2)[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first, headers)


async def read_message(reader: asyncio.StreamReader, has_body: bool = True) -> Message:
    """Read a message whose body has a length or comes in chunks."""
    message = await read_head(reader)
    if not has_body:
        return message
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                message.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        else:
            message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        message.whole = False
    return message


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    reasons = {200: "OK", 421: "Misdirected Request", 500: "Internal Server Error"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Service Unavailable')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


@dataclass
class Channel:
    """One channel to a runner. late: bytes to send when the next request has arrived."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    late: bytes = b""


AfterAnswer = Callable[["Runner", Channel, int, bytes], Awaitable[None]]


async def nothing_after(_: "Runner", __: Channel, ___: int, ____: bytes) -> None:
    """Send nothing after an answer, as a sound runner."""


@dataclass
class Runner:
    """A runner of a plain service, with slots and a queue. after_answer: called after an answer."""

    id: str
    record: Record
    service: str = "plain"
    slots: int = 6
    queue: int = 24
    work_s: float = 0.03
    answer_status: Callable[[str], int] = lambda _: 200
    said: dict[str, str] = field(default_factory=dict)
    after_answer: AfterAnswer = nothing_after
    in_progress: int = 0
    runs: list[str] = field(default_factory=list)
    statuses: dict[str, int] = field(default_factory=dict)
    rejected: list[str] = field(default_factory=list)
    free: asyncio.Semaphore = field(init=False)
    address: str = ""
    server: asyncio.Server | None = None

    async def start(self) -> None:
        self.free = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def entry(self) -> dict[str, Any]:
        return {
            "service": self.service,
            "address": self.address,
            "zone": "hall-a",
            "version": 1,
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        channel = Channel(reader, writer)
        try:
            while True:
                request = await read_message(reader)
                if channel.late:
                    writer.write(channel.late)
                    channel.late = b""
                await self._answer(channel, request)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, channel: Channel, request: Message) -> None:
        request_id = request.headers.get("request-id", "")
        headers = {"Request-Id": request_id, "Content-Type": "text/plain", **self.said}
        if not request_id:
            headers["Instance-Id"] = self.id
            channel.writer.write(encode_answer(200, headers, b""))
            return
        self.record.line("arrives", id=request_id, at=self.id)
        if request.headers.get("target-instance", self.id) != self.id:
            channel.writer.write(encode_answer(421, headers | {"Instance-Id": self.id}, b""))
            return
        if self.in_progress >= self.slots + self.queue:
            self.rejected.append(request_id)
            answer = encode_answer(503, headers | {"Not-Executed": "1"}, b"")
            await self._write(channel, request_id, 503, answer)
            return
        self.in_progress += 1
        try:
            async with self.free:
                self.runs.append(request_id)
                self.record.line("runs", id=request_id, at=self.id)
                await asyncio.sleep(self.work_s)
        finally:
            self.in_progress -= 1
        status = self.answer_status(request_id)
        self.statuses[request_id] = status
        headers["Response-Signature"] = f"{self.id}.{len(self.runs)}"
        await self._write(
            channel, request_id, status, encode_answer(status, headers, f"{request_id} {status}".encode())
        )

    async def _write(self, channel: Channel, request_id: str, status: int, answer: bytes) -> None:
        self.record.line("runner_answers", id=request_id, at=self.id, status=status)
        channel.writer.write(answer)
        await channel.writer.drain()
        await self.after_answer(self, channel, status, answer)


@dataclass
class Box:
    """One box as a process. sent signals and restarts are up to the case."""

    table: str
    folder: Path
    name: str = "edge-1"
    memory_mb: int = 300
    zone: str = "hall-a"
    bounds: str = BOUNDS
    front: str = ""
    readiness: str = ""
    process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        if not self.front:
            self.front, self.readiness = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
        settings = self.folder / f"{self.name}.toml"
        settings.write_text(self._settings())
        run = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["box"]["run"]
        command = shlex.split(run)
        command[command.index("--metrics-port") + 1] = str(free_port())
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "STAIRQUAY_BOOT": str(settings),
        }
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()

    def _settings(self) -> str:
        return f"""
node_name = "{self.name}"
role = "box"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "{self.zone}"
region = "r"
internal_ports = [{free_port()}, {free_port()}]
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[listen]
front = "{self.front}"
readiness = "{self.readiness}"
[limits]
cpu_share = 0.537
cpu_cores = 2
memory_mb = {self.memory_mb}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]{self.bounds}
[platform]
address = "{self.table}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 5.0
part_writes_per_s = 200
row_bytes = 65536
across = false
history_s = 20
"""

    async def until_ready(self, limit_s: float = 20.0) -> bool:
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    async def is_ready(self) -> bool:
        try:
            answer = await exchange(self.readiness, "GET", "/-/readyz", {}, b"", 1.0)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return answer.status == 200

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


async def exchange(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes, limit_s: float
) -> Message:
    """Send one request on a new channel and return the answer."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method not in ("GET", "HEAD"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            return await read_message(reader)
        finally:
            writer.close()


@dataclass
class Caller:
    """Sends requests to a box and records the answers."""

    front: str
    record: Record
    answers: dict[str, Message] = field(default_factory=dict)
    sent: int = 0
    sent_ids: list[str] = field(default_factory=list)

    async def call(
        self,
        request_id: str,
        method: str,
        path: str,
        body: bytes = b"",
        wait_ms: int = 2500,
        more: dict[str, str] | None = None,
    ) -> None:
        self.sent += 1
        self.sent_ids.append(request_id)
        headers = {"Request-Id": request_id, "Deadline-Ms": str(wait_ms), "Authorization": f"Bearer {KEY}"}
        headers |= more or {}
        self.record.line("sent", id=request_id, method=method, path=path)
        try:
            answer = await exchange(self.front, method, path, headers, body, wait_ms / 1000)
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
            self.record.line("no_answer", id=request_id, cause=type(error).__name__)
            return
        self.answers[request_id] = answer
        self.record.line(
            "answered",
            id=request_id,
            status=answer.status,
            signature=answer.headers.get("response-signature", "-"),
            whole=answer.whole,
        )


def route(name: str, prefix: str, service: str, **fields: Any) -> dict[str, Any]:
    base = {"name": name, "host": HOST, "path_prefix": prefix, "service": service, "kind": "idempotent"}
    base |= {"timeout_ms": 1200, "target_latency_ms": 150, "priority": 2, "max_attempts": 2, "public": False}
    return base | fields


def configuration(version: int = 1, **fields: Any) -> dict[str, Any]:
    base: dict[str, Any] = {
        "version": version,
        "routes": [
            route("price-list", "/price/", "plain"),
            route("spec-sheet", "/spec/", "plain", kind="non_idempotent", max_attempts=1),
        ],
        "services": [{"name": "plain", "max_connections": 96, "health_path": "/healthz"}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 60000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }
    return base | fields


Case = Callable[[Path, Record], Awaitable[int]]


def main(folder: Path, case: Case, limit_s: float = 110.0) -> None:
    """Run a case and exit with its result."""
    record = Record(folder)

    async def run() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            try:
                async with asyncio.timeout(limit_s):
                    return await case(Path(temporary), record)
            except Exception as error:
                record.line("could_not_run", error=repr(error))
                print("could not run:", repr(error), file=sys.stderr)
                return COULD_NOT_RUN

    result = asyncio.run(run())
    record.line("result", exit=result)
    record.close()
    sys.exit(result)


async def start_table(runners: list[Runner], config: dict[str, Any]) -> TableService:
    table = TableService()
    await table.start()
    for runner in runners:
        await runner.start()
        table.put("servers", runner.id, runner.entry())
    table.put("op", "config", config)
    return table


def dump(value: Any) -> str:
    return json.dumps(value)
