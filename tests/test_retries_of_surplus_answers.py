"""Retries of six real boxes, counted at endpoints that repeat rejections, reject or fail."""

import asyncio
import json
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from itertools import count
from random import Random

import pytest
from aiohttp import ClientError, ClientSession, ClientTimeout

from bench.repeats import ServiceLoad, fullest_window
from stairquay.core.budget import RetryAllowance
from stairquay.serving.boxes import HEARTBEAT_INTERVAL_S, KEY_PREFIX
from tests.cut_box import CutKind, write_cut
from tests.many_boxes import several_boxes
from tests.retries import beyond_the_first, budget_bounds
from tests.site import HOST, KEY, MODEL, Site, box_rows, eventually

BOXES = 6
ALLOWANCE = RetryAllowance(0.1, 26, 5)
"""Half of the smallest deployments' bounds, each, so that a case stays short."""

BOUNDS = budget_bounds(ALLOWANCE)
QUIET_S = 5.0
PRESSED_S = 9.0
BOX_START_S = 2.0
CALLERS = 12
CALLER_TRIES = 3
PAUSE_S = 0.1
ENDPOINTS = 4
MIN_USED_SHARE = 0.2
"""Share of what is allowed below which the repeats would be too few to show anything."""

STREAMS = "break streams"
PLAIN: tuple[str, str, dict[str, str]] = ("GET", "/plain/x", {})
PROMPT = {"Model": MODEL, "Token-Usage": "900,20", "Prompt-Prefix": "aa:500,bb:300,cc:100"}

Disturb = Callable[[list[Site]], Awaitable[None]]


class Spoiled:
    """A plain endpoint that writes its answers byte for byte.

    kind: what it does with most requests while `spoils`. arrivals: when each request came, with its id.
    """

    def __init__(self, kind: str, random: Random) -> None:
        self.kind, self.random = kind, random
        self.spoils = False
        self.arrivals: list[tuple[float, str]] = []

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        rejected = ""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                call_id = head.partition("Request-Id: ")[2].partition("\r\n")[0]
                self.arrivals.append((asyncio.get_running_loop().time(), call_id))
                text, rejected = self._answer(call_id, rejected)
                await asyncio.sleep(0.01)
                writer.write(text)
                if not text:
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    def _answer(self, call_id: str, rejected: str) -> tuple[bytes, str]:
        """Return what to write, and the id of the request whose rejection is to come again, if any."""
        if not self.spoils or self.random.random() < 0.1:
            return answer(call_id, brittle=self.kind == "fail, brittle"), ""
        if self.kind.startswith("fail"):
            return answer(call_id, "500 X", self.kind == "fail, brittle"), ""
        if self.kind == "break":
            return b"", ""
        if self.kind == "reject":
            return rejection(call_id), ""
        # A rejection that comes again before the next answer, which is one more rejection at times.
        before = rejection(rejected, named=self.kind == "repeat with id") if rejected else b""
        if self.random.random() < 0.7:
            return before + rejection(call_id), call_id
        return before + answer(call_id), ""


def rejection(call_id: str, named: bool = True) -> bytes:
    name = f"Request-Id: {call_id}\r\n" if named else ""
    return f"HTTP/1.1 503 X\r\n{name}Not-Executed: 1\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n".encode()


def answer(call_id: str, status: str = "200 OK", brittle: bool = False) -> bytes:
    states = "Server-Brittle: 2\r\n" if brittle else ""
    names = f"Request-Id: {call_id}\r\nResponse-Signature: sig\r\n{states}"
    return f"HTTP/1.1 {status}\r\n{names}Content-Length: 2\r\n\r\nok".encode()


class BreakingEngines:
    """The engines of boxes, which break off most streams after an event while `spoils`, or reject prompts."""

    def __init__(self, boxes: list[Site]) -> None:
        self.engines, self.random = boxes[0].engines(), Random(1)
        self.spoils = False
        self.task = asyncio.create_task(self._spoil())

    @property
    def arrivals(self) -> list[tuple[float, str]]:
        return [arrival for engine in self.engines for arrival in engine.arrivals]

    async def _spoil(self) -> None:
        while True:
            for engine in self.engines if self.spoils else ():
                engine.break_after = self.random.choice((1, 2))
                engine.refuse = int(self.random.random() < 0.3)
            await asyncio.sleep(0.003)


@asynccontextmanager
async def spoiled_endpoints(boxes: list[Site], kind: str) -> AsyncIterator[list[Spoiled | BreakingEngines]]:
    """Put endpoints that spoil their answers in the place of the plain ones, or let engines break streams."""
    if kind == STREAMS:
        engines = BreakingEngines(boxes)
        yield [engines]
        engines.task.cancel()
        return
    for endpoint in boxes[0].endpoints:
        boxes[0].table.put("servers", endpoint.id, endpoint.entry("gone"))
    made = [Spoiled(kind, Random(number)) for number in range(ENDPOINTS)]
    servers = [await asyncio.start_server(endpoint.handle, "127.0.0.1", 0) for endpoint in made]
    for number, server in enumerate(servers):
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        entry = {"service": "plain", "address": address, "zone": "hall-a", "slots": 64, "state": "ready"}
        boxes[0].table.put("servers", f"spoiled-{number}", entry | {"sequence": 1})
    try:
        yield made
    finally:
        for server in servers:
            server.close()


class Callers:
    """Callers who send requests to any box, and try again at once on a new connection to another one."""

    def __init__(self, boxes: list[Site], streams: bool) -> None:
        self.boxes, self.random, self.numbers = boxes, Random(1), count()
        self.method, self.path, self.headers = ("POST", "/again/chat", PROMPT) if streams else PLAIN
        self.sent_at: list[float] = []

    async def press(self) -> None:
        """Send requests until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(CALLERS):
                group.create_task(self._press())

    async def _press(self) -> None:
        while True:
            for _ in range(CALLER_TRIES):
                if await self._served():
                    break
            await asyncio.sleep(PAUSE_S * 2 * self.random.random())

    async def _served(self) -> bool:
        box = self.random.choice(self.boxes)
        headers = {"Host": HOST, "Request-Id": f"call-{next(self.numbers)}", "Deadline-Ms": "1500"}
        headers |= self.headers | {"Authorization": f"Bearer {KEY}"}
        self.sent_at.append(asyncio.get_running_loop().time())
        try:
            async with ClientSession(timeout=ClientTimeout(total=2.0)) as session:
                async with session.request(
                    self.method, f"http://{box.front}{self.path}", headers=headers
                ) as response:
                    await response.read()
                    return response.status == 200
        except (ClientError, TimeoutError):
            return False


async def nothing(_: list[Site]) -> None:
    await asyncio.sleep(PRESSED_S)


async def boxes_are_killed(boxes: list[Site]) -> None:
    """Kill half of the boxes twice, and start them again at their addresses."""
    for lost in (boxes[::2], boxes[1::2]):
        await asyncio.sleep(PRESSED_S / 4)
        await asyncio.gather(*(box.kill_box() for box in lost))
        await asyncio.gather(*(box.start_box(same_addresses=True) for box in lost))
    await asyncio.sleep(PRESSED_S / 2)


async def boxes_stop_in_turn(boxes: list[Site]) -> None:
    """Stop all boxes in turn, and start each again as soon as it has ended."""
    await asyncio.sleep(1.0)
    async with asyncio.TaskGroup() as group:
        for box in boxes:
            group.create_task(_restart(box))
            await asyncio.sleep(0.5)
    await asyncio.sleep(PRESSED_S / 2)


async def _restart(box: Site) -> None:
    box.stop_box()
    assert box.box is not None
    await box.box.wait()
    await box.start_box(same_addresses=True)


async def boxes_are_paused(boxes: list[Site]) -> None:
    """Pause half of the boxes for two seconds, then the others."""
    for paused in (boxes[::2], boxes[1::2]):
        await asyncio.sleep(PRESSED_S / 9)
        for box in paused:
            box.box.send_signal(signal.SIGSTOP)  # type: ignore[union-attr]
        await asyncio.sleep(2.0)
        for box in paused:
            box.box.send_signal(signal.SIGCONT)  # type: ignore[union-attr]
    await asyncio.sleep(PRESSED_S / 3)


async def boxes_are_cut_off(boxes: list[Site]) -> None:
    """Let two boxes pass their requests on to the others, then two others."""
    listed = boxes[0].table.rows_by_key.items()
    entries = [json.loads(text) for (table, _), (text, _) in listed if table == "servers"]
    ports = [int(entry["address"].rpartition(":")[2]) for entry in entries]
    for cut_off in (boxes[:2], boxes[2:4]):
        for box in cut_off:
            write_cut(box.folder, CutKind.RESET, ports)
        await asyncio.sleep(PRESSED_S / 2)
        for box in cut_off:
            write_cut(box.folder, None, ports)
    assert any(box.logged("forwarded") for box in boxes), "nothing was passed on"


async def boxes_start_while_no_row_is_taken(boxes: list[Site]) -> None:
    """Start all boxes anew beside a table service that gives rows and takes none of theirs."""
    table = boxes[0].table
    await asyncio.gather(*(box.kill_box() for box in boxes))
    for name, key in [row for row in table.rows_by_key if row[1].startswith(KEY_PREFIX)]:
        table.remove(name, key)
    table.refused_by_prefix[KEY_PREFIX] = 100_000
    await asyncio.gather(*(box.start_box(same_addresses=True) for box in boxes))
    await asyncio.sleep(BOX_START_S + 2 * ALLOWANCE.window_s)


async def played(kind: str, disturb: Disturb) -> ServiceLoad:
    """Press boxes whose endpoints spoil most answers; return the requests and repeats."""
    async with (
        several_boxes(BOXES, module="tests.cut_box", engines=ENDPOINTS, bounds=BOUNDS) as boxes,
        spoiled_endpoints(boxes, kind) as endpoints,
    ):
        await eventually(lambda: len(box_rows(boxes[0])) == BOXES)
        callers = Callers(boxes, kind == STREAMS)
        pressing = asyncio.create_task(callers.press())
        await asyncio.sleep(HEARTBEAT_INTERVAL_S + QUIET_S)
        for endpoint in endpoints:
            endpoint.spoils = True
        await disturb(boxes)
        pressing.cancel()
        await asyncio.gather(pressing, return_exceptions=True)
        arrivals = (arrival for endpoint in endpoints for arrival in endpoint.arrivals)
        return ServiceLoad(callers.sent_at, beyond_the_first(arrivals))


CASES = (
    ("repeat with id", boxes_are_killed),
    ("repeat without id", boxes_stop_in_turn),
    ("repeat without id", boxes_are_paused),
    ("reject", boxes_are_cut_off),
    ("fail", boxes_stop_in_turn),
    ("fail, brittle", boxes_are_killed),
    ("break", boxes_are_paused),
    (STREAMS, boxes_are_killed),
    (STREAMS, boxes_are_cut_off),
    ("fail", boxes_start_while_no_row_is_taken),
)


@pytest.mark.parametrize("kind,disturb", CASES)
def test_requests_arrive_again_only_within_the_budget(kind: str, disturb: Disturb):
    """Guards against arrivals without a retry, after surplus answers and as boxes end, start and wake."""
    window = fullest_window(asyncio.run(played(kind, disturb)), ALLOWANCE)
    assert MIN_USED_SHARE <= window.share <= 1.0, window
