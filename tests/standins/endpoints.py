"""Stand-ins for endpoints and store boxes, with faults.

They run on the event loop of the test, which sets a fault by setting a field.
"""

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from time import monotonic
from typing import Any

from aiohttp import web
from multidict import CIMultiDict

from tests.standins.table import answer_without_end, serve_app


class Framing(str, Enum):
    """How the head of an answer says where the body ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


@dataclass(frozen=True)
class RawAnswer:
    """An answer that is written byte for byte, after which the connection ends.

    pieces: the body, one piece after another. reset: the connection ends with a reset in place of FIN.
    finished: the last chunk, or as many bytes as the length says, are written. head_bytes: bytes of the head
    after which the connection ends, None if it comes whole.
    """

    pieces: tuple[bytes, ...]
    framing: Framing = Framing.CLOSE
    finished: bool = True
    reset: bool = False
    http: str = "1.1"
    content_type: str = "text/event-stream"
    status: int = 200
    head_bytes: int | None = None

    def head(self, headers: dict[str, str]) -> bytes:
        lines = [f"HTTP/{self.http} {self.status} X", *(f"{key}: {value}" for key, value in headers.items())]
        lines.append(f"Content-Type: {self.content_type}")
        if self.framing != Framing.CLOSE:
            lines.append("Connection: close")
        if self.framing == Framing.CHUNKS:
            lines.append("Transfer-Encoding: chunked")
        if self.framing == Framing.LENGTH:
            missing = 0 if self.finished else 1
            lines.append(f"Content-Length: {sum(map(len, self.pieces)) + missing}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()[: self.head_bytes]

    def body(self) -> list[bytes]:
        if self.head_bytes is not None:
            return []
        if self.framing != Framing.CHUNKS:
            return list(self.pieces)
        chunks = [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in self.pieces]
        return [*chunks, b"0\r\n\r\n"] if self.finished else chunks


WORK_HEADER, ANSWER_BYTES_HEADER = "X-Work-S", "X-Answer-Bytes"
"""Headers of a request that say for how many seconds an endpoint works before it answers, and how many bytes
a plain answer has at least."""

RAW_PIECE_S = 0.02
"""Seconds between two pieces of a raw answer, so that they arrive one by one."""


@dataclass
class ReceivedRequest:
    """A request as an endpoint received it. at_ms: when, by the endpoints' clock."""

    id: str
    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes
    at_ms: int = field(default_factory=lambda: endpoints_clock_ms())


CLOCK_STARTED_S = monotonic() - 1_000.0
"""Monotonic time at which the endpoints' clock was 0."""


def endpoints_clock_ms() -> int:
    """Return the clock that all endpoints share, in milliseconds."""
    return int((monotonic() - CLOCK_STARTED_S) * 1000)


@dataclass
class CacheServer:
    """Cached parts, served as events and as a list; common to engines and store boxes.

    free_delay_s: time for which a call to free parts is held up before it is looked at. tells_clock: whether
    reports and events tell the endpoints' clock. freed_at_ms: by that clock, when each part was freed last.
    frees: each part that was freed, and when. free_calls: calls that came. late_frees: those that it looked
    at after the end that they name. endless_paths: paths whose answers never end.
    """

    incarnation: int = 1
    parts_by_key: dict[tuple[str, str], int] = field(default_factory=dict)
    events: list[list[Any]] = field(default_factory=list)
    freed: list[tuple[str, str]] = field(default_factory=list)
    silent: bool = False
    free_delay_s: float = 0.0
    tells_clock: bool = True
    freed_at_ms: dict[tuple[str, str], int] = field(default_factory=dict)
    frees: list[tuple[tuple[str, str], int]] = field(default_factory=list)
    free_calls: int = 0
    late_frees: int = 0
    endless_paths: set[str] = field(default_factory=set)

    @property
    def clock_ms(self) -> int | None:
        """What this endpoint tells of the clock."""
        return endpoints_clock_ms() if self.tells_clock else None

    def add_part(self, scope: str, part: str, tokens: int) -> None:
        self.parts_by_key[scope, part] = tokens
        self.events.append([len(self.events) + 1, "+", scope, part, tokens, "m"])

    def remove_part(self, scope: str, part: str) -> None:
        self.parts_by_key.pop((scope, part), None)
        self.events.append([len(self.events) + 1, "-", scope, part, 0, "m"])

    async def handle_cache_request(self, request: web.Request) -> web.StreamResponse | None:
        """Answer a request about the cache, or return None for another request."""
        if request.path in self.endless_paths:
            return await answer_without_end(request)
        if self.silent and request.path.startswith("/-/"):
            await asyncio.sleep(30)
        if request.path == "/-/kv-events":
            return await self._changes(request)
        if request.path == "/-/kv-list":
            held = [[scope, part, tokens, "m"] for (scope, part), tokens in self.parts_by_key.items()]
            position = len(self.events)
            return web.json_response(
                {"boot_epoch": self.incarnation, "next_page_token": position, "held": held}
            )
        if request.path == "/-/kv-free":
            return await self._free(request)
        return None

    async def _changes(self, request: web.Request) -> web.Response:
        since = int(request.query["since"])
        end = asyncio.get_running_loop().time() + int(request.headers["Wait-Ms"]) / 1000
        while len(self.events) <= since and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.02)
        answer = {
            "boot_epoch": self.incarnation,
            "next_page_token": len(self.events),
            "lost": False,
            "events": self.events[since:],
            "clock_ms": self.clock_ms,
        }
        return web.json_response(answer)

    async def _free(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.free_calls += 1
        # Carried out even if the caller has left, as a call that a link held up.
        return await asyncio.shield(self._free_later(body))

    async def _free_later(self, body: dict[str, Any]) -> web.Response:
        await asyncio.sleep(self.free_delay_s)
        if body.get("boot_epoch") not in (None, self.incarnation):
            return web.Response(status=409)
        if endpoints_clock_ms() > body.get("until_ms", inf):
            self.late_frees += 1
            return web.Response(status=409)
        for scope, part in body["parts"]:
            self.freed.append((scope, part))
            self.freed_at_ms[scope, part] = endpoints_clock_ms()
            self.frees.append(((scope, part), endpoints_clock_ms()))
            self.remove_part(scope, part)
        return web.json_response({})


@dataclass
class StoreBox(CacheServer):
    """A store box, which serves nothing but its cache."""

    address: str = ""
    runner: web.AppRunner | None = None

    async def start(self) -> None:
        self.runner, self.address = await serve_app(self._handle)

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        return await self.handle_cache_request(request) or web.Response(status=404)


@dataclass
class Endpoint(CacheServer):
    """Endpoint of a plain service, or an engine. Faults are fields:

    refuse: number of requests to refuse, each after refuse_s. errors: number of responses with status 500.
    wrong_id: number of responses with the id of another request. unsigned: number without a signature.
    unframed_reset: number without a length that end in a reset. break_after: the next stream is reset after
    that many events. delay_s: time before the response. crashes_on: a request whose body contains it
    crashes the endpoint after crash_s. crash_after_head: the head of the response is sent before.
    on_poison: called at the start of each such request and at each crash. limit, leaving: values of the
    headers Server-Limit and Server-Leaving. retry_after: value of Retry-After in refusals. raw_answers: the
    next answers, written as they are. silent_until: time of the event loop until which it does and sends
    nothing; its system goes on taking connections and bytes, as that of a stopped process.

    refuses_orders: it takes no order, so that it stays on its weights.

    arrivals, limits_sent, leaving_sent and retry_after_sent have times of the event loop. ended_at_by_id:
    when the work at a request ended, also where its caller left.
    """

    id: str = "i-1"
    service: str = "plain"
    model: str = ""
    version: int = 1
    event_count: int = 5
    event_s: float = 0.005
    refuse: int = 0
    refuse_s: float = 0.0
    errors: int = 0
    wrong_id: int = 0
    unsigned: int = 0
    break_after: int | None = None
    delay_s: float = 0.0
    unframed_reset: int = 0
    raw_answers: list[RawAnswer] = field(default_factory=list)
    crashes_on: bytes = b""
    crash_s: float = 0.02
    crash_after_head: bool = False
    on_poison: Callable[[str, bytes, bool], None] = lambda call_id, body, crashed: None
    crashed: bool = False
    keep_alive: str = ""
    limit: str | None = None
    # The rejections a second that it states to bear, as in its header.
    brittle: str | None = None
    leaving: str | None = None
    retry_after: str | None = None
    lose_orders: int = 0
    refuses_orders: bool = False
    load_s: float = 0.1
    queued: int = 0
    slots: int = 4
    busy: bool = False
    sequence: int = 0
    hall: str = "hall-a"
    born: int = 0
    cold_ms: int = 0
    silent_until: float = 0.0
    software: str | int | None = None
    report_requests: int = 0
    received: list[ReceivedRequest] = field(default_factory=list)
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    ended_at_by_id: dict[str, float] = field(default_factory=dict)
    limits_sent: list[tuple[float, str]] = field(default_factory=list)
    leaving_sent: list[tuple[float, str]] = field(default_factory=list)
    retry_after_sent: list[tuple[float, str, str]] = field(default_factory=list)
    orders: list[dict[str, Any]] = field(default_factory=list)
    client_ports: list[int] = field(default_factory=list)
    # Requests in progress above which it rejects; None for any number.
    room: int | None = None
    # Seconds for which a new connection holds a slot.
    connection_slot_s: float = 0.0
    known_ports: set[int] = field(default_factory=set)
    on_reject: Callable[[str], None] = lambda call_id: None
    in_progress: int = 0
    most_in_progress: int = 0
    disconnects: int = 0
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
            "zone": self.hall,
            "slots": self.slots,
            "state": state,
            "models": models,
            "sequence": 1,
            "cold_remaining_ms": self.cold_ms,
            **self._birth(),
            **({} if self.software is None else {"version": self.software}),
        }

    def _birth(self) -> dict[str, int]:
        return {"born": self.born} if self.born else {}

    async def _while_silent(self) -> None:
        while (left_s := self.silent_until - asyncio.get_running_loop().time()) > 0:
            await asyncio.sleep(left_s)

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        await self._while_silent()
        cache_response = await self.handle_cache_request(request)
        if cache_response is not None:
            return cache_response
        if request.path == "/-/report":
            return self._report()
        if request.path == "/-/order":
            return await self._order(request)
        return await self._run(request)

    def _report(self) -> web.Response:
        self.report_requests += 1
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        report = {"stage": "both", "models": models, "busy": self.busy, "sequence": self.sequence}
        running = min(self.slots, self.in_progress) if self.room is not None else 0
        queued = self.queued + (max(0, self.in_progress - self.slots) if self.room is not None else 0)
        report |= {"queued": queued, "next_page_token": 9_000, "running": running, "kv_used": 0}
        report |= {"kv_total": 100_000, "clock_ms": self.clock_ms, **self._birth()}
        return web.json_response(report)

    async def _order(self, request: web.Request) -> web.Response:
        order = await request.json()
        self.orders.append(order)
        if self.refuses_orders:
            return web.Response(status=503)
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

    async def carry_out(self, order: dict[str, Any]) -> bool:
        """Carry out an order that came late, as the body says it; return whether its condition held."""
        if order.get("expected") not in (None, self.sequence):
            return False
        self.sequence += 1
        self.busy = True
        await self._load(order["version"])
        return True

    async def _load(self, version: int) -> None:
        await asyncio.sleep(self.load_s)
        self.version = version
        self.busy = False

    def _feedback_headers(self, call_id: str) -> dict[str, str]:
        """Return the feedback headers of a response."""
        headers = {}
        if self.limit is not None:
            self.limits_sent.append((asyncio.get_running_loop().time(), call_id))
            headers["Server-Limit"] = self.limit
        if self.brittle is not None:
            headers["Server-Brittle"] = self.brittle
        if self.leaving is not None:
            self.leaving_sent.append((asyncio.get_running_loop().time(), call_id))
            headers["Server-Leaving"] = self.leaving
        return headers

    def _rejection_headers(self, call_id: str) -> dict[str, str]:
        return {"Not-Executed": "1", "Request-Id": call_id, **self._feedback_headers(call_id)}

    async def _run(self, request: web.Request) -> web.StreamResponse:
        call_id = request.headers.get("Request-Id", "")
        target_id = request.headers.get("Target-Instance", self.id)
        version = request.headers.get("Expect-Version", str(self.version))
        if target_id != self.id or version != str(self.version):
            return web.Response(status=421, headers={"Instance-Id": self.id, "Request-Id": call_id})
        self.arrivals.append((asyncio.get_running_loop().time(), call_id))
        if self.refuse:
            self.refuse -= 1
            await asyncio.sleep(self.refuse_s)
            headers = self._rejection_headers(call_id)
            if self.retry_after is not None:
                self.retry_after_sent.append((asyncio.get_running_loop().time(), call_id, self.retry_after))
                headers["Retry-After"] = self.retry_after
            return web.Response(status=503, headers=headers)
        self._hold_slot_for_connection(request)
        if self.room is not None and self.in_progress >= self.room:
            self.on_reject(call_id)
            return web.Response(status=503, headers=self._rejection_headers(call_id))
        body = await request.read()
        assert request.transport is not None
        self.client_ports.append(request.transport.get_extra_info("peername")[1])
        self.received.append(
            ReceivedRequest(call_id, request.method, request.raw_path, CIMultiDict(request.headers), body)
        )
        self.in_progress += 1
        self.most_in_progress = max(self.most_in_progress, self.in_progress)
        try:
            await asyncio.sleep(self.delay_s + float(request.headers.get(WORK_HEADER, "0")))
            await self._while_silent()
            if self.crashes_on and self.crashes_on in body:
                self.on_poison(call_id, body, False)
                if self.crash_after_head:
                    await self._begin_answer(request, call_id)
                await asyncio.sleep(self.crash_s)
                self.on_poison(call_id, body, True)
                return self.crash()
            return await self._answer(request, call_id)
        except asyncio.CancelledError:
            self.disconnects += 1
            raise
        finally:
            self.in_progress -= 1
            self.ended_at_by_id[call_id] = asyncio.get_running_loop().time()

    def _hold_slot_for_connection(self, request: web.Request) -> None:
        """Let a new connection take a slot for a moment, besides its request."""
        assert request.transport is not None
        port = request.transport.get_extra_info("peername")[1]
        if not self.connection_slot_s or port in self.known_ports:
            return
        self.known_ports.add(port)
        self.in_progress += 1

        def free() -> None:
            self.in_progress -= 1

        asyncio.get_running_loop().call_later(self.connection_slot_s, free)

    async def _begin_answer(self, request: web.Request, call_id: str) -> None:
        headers = {"Request-Id": call_id, "Response-Signature": f"sig-{self.id}", "Versions": "1"}
        response = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        response.enable_chunked_encoding()
        await response.prepare(request)

    def crash(self) -> web.Response:
        """Stop as a crashed process does: close the listener and reset all connections."""
        self.crashed = True
        assert self.runner is not None and self.runner.server is not None
        for site in list(self.runner.sites):
            site._server.close()  # type: ignore[attr-defined]
        for connection in self.runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        return web.Response()

    async def restart(self) -> None:
        """Restart after a crash, at another address."""
        assert self.runner is not None
        await self.runner.cleanup()
        self.crashed = False
        await self.start()

    async def start_again(self) -> None:
        """Restart after a crash at the same address, as a process that has the id of the one before."""
        assert self.runner is not None
        await self.runner.cleanup()
        self.crashed = False
        port = int(self.address.rpartition(":")[2])
        self.runner, self.address = await serve_app(self._handle, port)

    async def _answer(self, request: web.Request, call_id: str) -> web.StreamResponse:
        headers = {
            "Request-Id": call_id,
            "Response-Signature": f"sig-{self.id}",
            "Versions": str(self.version),
            **self._feedback_headers(call_id),
        }
        if self.keep_alive:
            headers["Keep-Alive"] = self.keep_alive
        if self.wrong_id:
            self.wrong_id -= 1
            headers["Request-Id"] = "somebody-else"
        if self.unsigned:
            self.unsigned -= 1
            del headers["Response-Signature"]
        if self.errors:
            self.errors -= 1
            return web.Response(status=500, body=b"broken", headers=headers)
        if self.raw_answers:
            return await _write_raw(request, headers, self.raw_answers.pop(0))
        if self.unframed_reset:
            self.unframed_reset -= 1
            return await _write_raw(
                request,
                {**headers, "Connection": "close"},
                RawAnswer((b"half of",), reset=True, content_type="text/plain"),
            )
        if not self.model:
            size = int(request.headers.get(ANSWER_BYTES_HEADER, "0"))
            return web.Response(body=f"answer of {self.id}".encode().ljust(size, b"."), headers=headers)
        return await self._stream(request, headers)

    async def _stream(self, request: web.Request, headers: dict[str, str]) -> web.StreamResponse:
        response = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        response.enable_chunked_encoding()
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, self.event_count + 1):
            await self._while_silent()
            written_by = "" if self.software is None else f" of {self.software}"
            await response.write(f"id: {number}\ndata: piece {number}{written_by}\n\n".encode())
            await asyncio.sleep(self.event_s)
            if number == self.break_after:
                self.break_after = None
                assert request.transport is not None
                await response.write(f"id: {number + 1}\nda".encode())
                request.transport.abort()
                return response
        await response.write_eof()
        return response


async def _write_raw(request: web.Request, headers: dict[str, str], answer: RawAnswer) -> web.Response:
    assert request.transport is not None
    request.transport.write(answer.head(headers))
    for piece in answer.body():
        request.transport.write(piece)
        await asyncio.sleep(RAW_PIECE_S)
    await asyncio.sleep(RAW_PIECE_S)
    if answer.reset:
        held = request.transport.get_extra_info("socket")
        held.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    request.transport.abort()
    return web.Response()
