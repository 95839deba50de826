"""Stand-ins for endpoints that write byte for byte, with slots, a short queue, and answers that go wrong.

They run on the event loop of the test, which sets what goes wrong in the field `troubles`.
"""

import asyncio
import json
import socket
import struct
from collections import Counter, deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Any

EVENTS = 8
EVENT_S = 0.05
"""Seconds between two events of a stream."""

WORK_S = 0.08
"""Seconds that a plain request takes."""

CLOSE_CHECK_S = 0.01
"""Seconds between two looks at whether the caller of a waiting request is gone."""

IDLE_SURPLUS_S = (0.001, 0.03)
"""Seconds after an answer at which a surplus one comes on the idle connection."""

LINGER_NONE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a socket is reset as it is closed."""


class Surplus(str, Enum):
    """How an answer comes a second time."""

    LATE = "late with its id"
    UNNAMED = "late without id"
    CHUNKED = "late in chunks"
    EARLIER = "late with an earlier id"
    AFTER_CONTINUE = "late after 100 Continue"
    SPLIT = "half before the next request"
    TWO = "two at once"
    IDLE = "on the idle connection"


class Harm(str, Enum):
    """What goes wrong with an answer to a request that the endpoint works on."""

    RESET = "reset while working"
    CUT_HEAD = "cut in its head"
    CUT_BODY = "cut in its body"
    OWN_503 = "503 Service Unavailable"
    OWN_429 = "429 Too Many Requests"
    OWN_408 = "408 Request Timeout"
    OWN_500 = "500 Internal Server Error"


CUTS = (Harm.RESET, Harm.CUT_HEAD, Harm.CUT_BODY)


@dataclass(frozen=True)
class Trouble:
    """What happens to a share of the answers."""

    kind: Surplus | Harm
    share: float


@dataclass(frozen=True)
class Answer:
    """An answer. status: with its reason. call_id: None for an answer that names no request."""

    status: str
    call_id: str | None
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def head(self, chunked: bool = False) -> bytes:
        lines = [f"HTTP/1.1 {self.status}"]
        if self.call_id is not None:
            lines.append(f"Request-Id: {self.call_id}")
        lines += [f"{name}: {value}" for name, value in self.headers]
        lines.append("Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(self.body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def encode(self, chunked: bool = False) -> bytes:
        return self.head(chunked) + (in_chunk(self.body) + LAST_CHUNK if chunked else self.body)

    def of(self, call_id: str | None) -> "Answer":
        """Return the same answer to another request, or to none."""
        return Answer(self.status, call_id, self.headers, self.body)


LAST_CHUNK = b"0\r\n\r\n"


def in_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


def event(call_id: str, number: int) -> bytes:
    return f"id: {number}\ndata: {call_id} {number}\n\n".encode()


@dataclass
class Channel:
    """A connection from a box. late: bytes that come once the next request has arrived."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    late: bytes = b""
    answers: deque[Answer] = field(default_factory=lambda: deque(maxlen=4))
    writing: bool = False

    async def write(self, data: bytes) -> None:
        self.writing = True
        self.writer.write(data)
        await self.writer.drain()

    def write_if_idle(self, data: bytes) -> None:
        """Write a surplus answer, but not into one that is being written."""
        if not self.writing and not self.writer.is_closing():
            self.writer.write(data)

    def reset(self) -> None:
        held = self.writer.get_extra_info("socket")
        held.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        self.writer.transport.abort()
        raise ConnectionResetError("the endpoint resets the connection")


@dataclass(frozen=True)
class Request:
    """A request from a box, with the names of its headers in lower case."""

    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        return self.headers.get("request-id", "")

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]


async def read_request(reader: asyncio.StreamReader) -> Request:
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(first.split(" ")[1], headers, body)


class CallerGoneError(Exception):
    """The connection of a waiting request was closed."""


class TooLateError(Exception):
    """The time of a request was over while it waited."""


@dataclass
class ByteEndpoint:
    """An endpoint of a plain service, or an engine whose answers are streams.

    runs: how often work began, by request. failed: the endpoint's own failures after work, by request.
    harmed, surplus: how often answers went wrong or came again, by kind.
    """

    id: str
    random: Random
    service: str = "plain"
    model: str = ""
    slots: int = 2
    queue: int = 2
    troubles: tuple[Trouble, ...] = ()
    runs: Counter[str] = field(default_factory=Counter)
    failed: dict[str, int] = field(default_factory=dict)
    counted: Counter[str] = field(default_factory=Counter)
    rejected: int = 0
    in_progress: int = 0
    address: str = ""
    server: asyncio.Server | None = None

    async def start(self) -> None:
        self.free = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        if self.server is not None:
            self.server.close()

    def entry(self) -> dict[str, Any]:
        """Return the endpoint's entry in the list."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "hall-a",
            "slots": self.slots,
            "state": "ready",
            "models": self._models(),
            "sequence": 1,
            "cold_remaining_ms": 0,
        }

    def _models(self) -> list[dict[str, Any]]:
        return [{"name": self.model, "version": 1, "adapters": []}] if self.model else []

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        channel = Channel(reader, writer)
        try:
            while True:
                request = await read_request(reader)
                if request.path.startswith("/-/"):
                    await self._tell(channel, request)
                    continue
                if channel.late:
                    writer.write(channel.late)
                    channel.late = b""
                await self._answer(channel, request)
                channel.writing = False
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, CallerGoneError):
            # Cancelled at the end of a test only; asyncio logs handlers that end so.
            return
        finally:
            writer.close()

    async def _tell(self, channel: Channel, request: Request) -> None:
        """Answer a question about the endpoint, which keeps no parts."""
        told: dict[str, Any] = {"boot_epoch": 1, "next_page_token": 0, "clock_ms": 1_000_000}
        if request.path == "/-/report":
            told |= {"stage": "both", "models": self._models(), "busy": False, "sequence": 1}
            told |= {"running": min(self.slots, self.in_progress), "kv_used": 0, "kv_total": 100_000}
            told |= {"queued": max(0, self.in_progress - self.slots)}
        elif request.path == "/-/kv-events":
            await asyncio.sleep(int(request.headers.get("wait-ms", "0")) / 1000)
            told |= {"lost": False, "events": []}
        elif request.path == "/-/kv-list":
            told |= {"held": []}
        headers = (("Content-Type", "application/json"),)
        await channel.write(Answer("200 OK", None, headers, json.dumps(told).encode()).encode())
        channel.writing = False

    async def _answer(self, channel: Channel, request: Request) -> None:
        headers = request.headers
        if headers.get("target-instance", self.id) != self.id or headers.get("expect-version", "1") != "1":
            misdirected = (("Instance-Id", self.id),)
            await self._finish(channel, Answer("421 Misdirected Request", request.id, misdirected, b""))
            return
        if self.in_progress >= self.slots + self.queue:
            await self._reject(channel, request)
            return
        self.in_progress += 1
        try:
            async with self._slot(channel, request):
                self.runs[request.id] += 1
                await self._work(channel, request)
        except TooLateError:
            await self._reject(channel, request)
        finally:
            self.in_progress -= 1

    async def _reject(self, channel: Channel, request: Request) -> None:
        self.rejected += 1
        headers = (("Not-Executed", "1"),)
        await self._finish(channel, Answer("503 Service Unavailable", request.id, headers, b""))

    @asynccontextmanager
    async def _slot(self, channel: Channel, request: Request) -> AsyncIterator[None]:
        """Hold a slot. Raises CallerGoneError or TooLateError if none was free in time."""
        end = asyncio.get_running_loop().time() + int(request.headers.get("deadline-ms", "3000")) / 1000
        # In the order of arrival: one that looked for a free slot again and again would wait for seconds.
        turn = asyncio.create_task(self.free.acquire())
        try:
            while not (await asyncio.wait((turn,), timeout=CLOSE_CHECK_S))[0]:
                if channel.reader.at_eof():
                    raise CallerGoneError
                if asyncio.get_running_loop().time() > end:
                    raise TooLateError
            yield
        finally:
            if turn.done():
                self.free.release()
            turn.cancel()

    async def _work(self, channel: Channel, request: Request) -> None:
        harm = self._draw(Harm)
        if harm is not None:
            self.counted[harm.value] += 1
        if harm is not None and harm not in CUTS:
            await asyncio.sleep(WORK_S)
            self.failed[request.id] = int(harm.value.split()[0])
            await self._finish(
                channel, self._signed(request, harm.value, f"{request.id} {harm.value}".encode())
            )
        elif self.model:
            await self._stream(channel, request, harm)
        else:
            await self._answer_plain(channel, request, harm)

    def _signed(self, request: Request, status: str, body: bytes, content_type: str = "text/plain") -> Answer:
        headers = (
            ("Response-Signature", f"sig-{self.id}"),
            ("Versions", "1"),
            ("Content-Type", content_type),
        )
        return Answer(status, request.id, headers, body)

    async def _answer_plain(self, channel: Channel, request: Request, harm: Harm | None) -> None:
        answer = self._signed(request, "200 OK", f"{request.id} 200".encode())
        chunked = self.random.random() < 0.5
        if harm == Harm.RESET:
            await asyncio.sleep(WORK_S / 2)
            channel.reset()
        await asyncio.sleep(WORK_S)
        if harm is not None:
            await self._cut(channel, harm, answer.head(chunked), in_chunk(answer.body)[:9])
        await self._finish(channel, answer, chunked)

    async def _stream(self, channel: Channel, request: Request, harm: Harm | None) -> None:
        first = int(request.headers.get("last-event-id", "0")) + 1
        events = [event(request.id, number) for number in range(first, EVENTS + 1)]
        answer = self._signed(request, "200 OK", b"".join(events), "text/event-stream")
        chunked = self.random.random() < 0.5
        framed = [in_chunk(item) if chunked else item for item in events]
        broken_at = self.random.randrange(len(events)) if harm is not None and events else None
        await asyncio.sleep(EVENT_S)
        if harm == Harm.RESET:
            channel.reset()
        if harm == Harm.CUT_HEAD:
            await self._cut(channel, harm, answer.head(chunked), b"")
        await channel.write(answer.head(chunked))
        for number, data in enumerate(framed):
            if number == broken_at:
                await channel.write(data[: len(data) // 2])
                await asyncio.sleep(EVENT_S)
                channel.reset()
            await channel.write(data)
            await asyncio.sleep(EVENT_S)
        await self._end(channel, answer, LAST_CHUNK if chunked else b"")

    async def _cut(self, channel: Channel, harm: Harm, head: bytes, body: bytes) -> None:
        await channel.write(head[: len(head) // 2] if harm == Harm.CUT_HEAD else head + body)
        await asyncio.sleep(CLOSE_CHECK_S)
        channel.reset()

    async def _finish(self, channel: Channel, answer: Answer, chunked: bool = False) -> None:
        await self._end(channel, answer, answer.encode(chunked))

    async def _end(self, channel: Channel, answer: Answer, last: bytes) -> None:
        """Write the last bytes of an answer, and what comes after them or later."""
        at_once = self._surplus(channel, answer)
        channel.answers.append(answer)
        await channel.write(last + at_once)

    def _surplus(self, channel: Channel, answer: Answer) -> bytes:
        """Return the bytes that follow an answer at once, and keep those that come later."""
        kind = self._draw(Surplus)
        if kind is None:
            return b""
        self.counted[kind.value] += 1
        copy = answer.encode()
        match kind:
            case Surplus.TWO:
                return copy
            case Surplus.SPLIT:
                channel.late = copy[len(copy) // 2 :]
                return copy[: len(copy) // 2]
            case Surplus.IDLE:
                after_s = self.random.uniform(*IDLE_SURPLUS_S)
                asyncio.get_running_loop().call_later(after_s, channel.write_if_idle, copy)
            case Surplus.UNNAMED:
                channel.late = answer.of(None).encode()
            case Surplus.CHUNKED:
                channel.late = answer.encode(chunked=True)
            case Surplus.EARLIER:
                channel.late = (channel.answers[0] if channel.answers else answer).encode()
            case Surplus.AFTER_CONTINUE:
                channel.late = b"HTTP/1.1 100 Continue\r\n\r\n" + copy
            case Surplus.LATE:
                channel.late = copy
        return b""

    def _draw(self, kinds: type[Surplus] | type[Harm]) -> Any:
        """Return what goes wrong with this answer, if anything."""
        for trouble in self.troubles:
            if isinstance(trouble.kind, kinds) and self.random.random() < trouble.share:
                return trouble.kind
        return None
