"""Endpoints whose answers never end: a head, a body, trailers, events, or bytes on an idle connection.

Each sends as fast as the box reads, for some seconds or until the box closes the connection.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from itertools import repeat
from pathlib import Path

import pytest

from tests.site import Site, site

SENDS_FOR_S = 3.0
PER_S = 20.0
MEMORY_MB = 160
"""Memory of the smallest boxes; one that takes more is killed."""

BLOCK = 65_536
HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\n"
PLAIN = HEAD + "Content-Type: text/plain\r\n"
STREAM = HEAD + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"10000\r\n" + b"x" * BLOCK + b"\r\n"
WHOLE = PLAIN + "Content-Length: 2\r\n\r\nok"


@dataclass(frozen=True)
class Endless:
    """What an endpoint sends: a beginning that names the request, and then the same bytes again and again."""

    begin: str
    block: bytes


BY_CASE = {
    "chunked body": Endless(PLAIN + "Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "body without length": Endless(PLAIN + "\r\n", b"x" * BLOCK),
    "body of a great length": Endless(PLAIN + f"Content-Length: {10**12}\r\n\r\n", b"x" * BLOCK),
    "interim answers": Endless("", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000),
    "chunk size": Endless(PLAIN + "Transfer-Encoding: chunked\r\n\r\n", b"0" * BLOCK),
    "chunk extension": Endless(PLAIN + "Transfer-Encoding: chunked\r\n\r\n2;a=", b"x" * BLOCK),
    "many chunk extensions": Endless(
        PLAIN + "Transfer-Encoding: chunked\r\n\r\n", b"1;a=" + b"x" * 30_000 + b"\r\nx\r\n"
    ),
    "status line": Endless("HTTP/1.1 200 ", b"O" * BLOCK),
    "header line": Endless(PLAIN + "A: ", b"x" * BLOCK),
    "header lines": Endless(PLAIN, b"A: b\r\n" * 10_000),
    "no answer": Endless("", b"\0" * BLOCK),
    "trailers": Endless(PLAIN + "Transfer-Encoding: chunked\r\n\r\n0\r\n", b"A: b\r\n" * 10_000),
    "trailer line": Endless(PLAIN + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: ", b"x" * BLOCK),
    "after a whole answer": Endless(WHOLE, b"x" * BLOCK),
    "answers after a whole answer": Endless(WHOLE, WHOLE.encode() * 500),
    "event": Endless(STREAM, CHUNK),
    "events on a line": Endless(STREAM, b"10000\r\n" + b"id: 1\n" * 10_922 + b"abc\n\r\n"),
    "header line of a stream": Endless(HEAD + "Content-Type: text/event-stream\r\nA: ", b"x" * BLOCK),
    "chunk extension of a stream": Endless(STREAM + "2;a=", b"x" * BLOCK),
    "after a whole stream": Endless(STREAM + "e\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n", b"x" * BLOCK),
}
SERVED = {"after a whole answer", "answers after a whole answer", "after a whole stream"}
"""Cases in which a whole answer comes first, which the caller may get."""


class EndlessServer:
    """An endpoint that sends without end. closed_after_s: seconds for which it sent on each connection."""

    def __init__(self, answer: Endless, delay_s: float = 0.0) -> None:
        self.answer, self.delay_s = answer, delay_s
        self.closed_after_s: list[float] = []

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        started: float | None = None
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            call_id = head.partition("Request-Id: ")[2].partition("\r\n")[0]
            writer.write(self.answer.begin.replace("{id}", call_id).encode())
            if self.delay_s:
                await writer.drain()
                await asyncio.sleep(self.delay_s)
            started = loop.time()
            for block in repeat(self.answer.block):
                if loop.time() > started + SENDS_FOR_S or writer.is_closing():
                    break
                writer.write(block)
                await writer.drain()
                await asyncio.sleep(0)
        except (ConnectionError, asyncio.IncompleteReadError):
            # The box has closed the connection, which ends the sending.
            return
        finally:
            if started is not None:
                self.closed_after_s.append(loop.time() - started)
            writer.close()


@asynccontextmanager
async def box_before(answer: Endless, delay_s: float = 0.0) -> AsyncIterator[tuple[Site, EndlessServer]]:
    """Run a box whose service `plain` or `llm` has one endless endpoint, and a sound service beside it."""
    endless = EndlessServer(answer, delay_s)
    server = await asyncio.start_server(endless.handle, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    is_stream = "event-stream" in answer.begin
    try:
        async with site(
            ready=False,
            plain=int(is_stream),
            engines=int(not is_stream),
            limits={"memory_mb": MEMORY_MB},
        ) as here:
            entry = {"service": "llm" if is_stream else "plain", "address": address, "zone": "hall-a"}
            entry |= {"slots": 64, "state": "ready", "sequence": 1}
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}] if is_stream else []
            here.table.put("servers", "endless", entry)
            await here.until_ready()
            yield here, endless
    finally:
        server.close()


def resident_mb(here: Site) -> float:
    assert here.box is not None
    line = next(
        line
        for line in Path(f"/proc/{here.box.pid}/status").read_text().splitlines()
        if line.startswith("VmRSS:")
    )
    return int(line.split()[1]) / 1024


async def press(here: Site, send: Callable[[int], asyncio.Future]) -> tuple[list, float]:
    """Send requests for some seconds. Return their answers, and the most resident memory meanwhile."""
    tasks, most_mb = [], 0.0
    for number in range(int(SENDS_FOR_S * PER_S)):
        tasks.append(send(number))
        most_mb = max(most_mb, resident_mb(here))
        await asyncio.sleep(1 / PER_S)
    while not all(task.done() for task in tasks):
        most_mb = max(most_mb, resident_mb(here))
        await asyncio.sleep(0.02)
    return [task.result() for task in tasks], most_mb


@pytest.mark.parametrize("case", BY_CASE)
def test_an_answer_without_end_takes_little_memory_and_ends_early(case: str):
    """Guards against a box that runs out of memory, or reads until the deadline, for one endpoint's sake."""
    answer = BY_CASE[case]
    is_stream = "event-stream" in answer.begin

    async def scenario():
        async with box_before(answer) as (here, endless):
            others: list[asyncio.Task] = []

            def send(number: int) -> asyncio.Task:
                headers = {"Deadline-Ms": "3000"}
                calls = [here.call("/plain/x", call_id=f"p-{number}", headers=headers)]
                calls.append(here.prompt(call_id=f"l-{number}", headers=headers))
                endless_call, other = reversed(calls) if is_stream else calls
                others.append(asyncio.create_task(other))
                return asyncio.create_task(endless_call)

            answers, most_mb = await press(here, send)
            sound = [(await task).status for task in others]
            return answers, most_mb, endless, sound

    answers, most_mb, endless, sound = asyncio.run(scenario())
    print(f"{case}: {most_mb:.0f} MB, closed within {max(endless.closed_after_s):.2f} s")
    assert most_mb < MEMORY_MB, most_mb
    assert sound.count(200) >= 0.95 * len(sound), sound
    assert max(endless.closed_after_s) < SENDS_FOR_S / 2, endless.closed_after_s
    for item in answers:
        if case in SERVED and item.status == 200:
            assert item.complete
        else:
            assert item.status in (502, 503) or not item.complete, item
            assert item.took_s < SENDS_FOR_S / 2, item.took_s


def test_bytes_on_an_idle_connection_close_it_and_reach_no_caller():
    """Guards against answers that nobody asked for, which pile up on a connection that is kept."""

    async def scenario():
        async with box_before(Endless(WHOLE, WHOLE.encode() * 500), delay_s=0.3) as (here, endless):
            first = await here.call("/plain/x", call_id="first")
            await asyncio.sleep(0.5 + SENDS_FOR_S / 2)
            return first, resident_mb(here), endless

    first, most_mb, endless = asyncio.run(scenario())
    assert first.status == 200 and first.body == b"ok"
    assert endless.closed_after_s and max(endless.closed_after_s) < SENDS_FOR_S / 2
    assert most_mb < MEMORY_MB


def test_streams_are_whole_beside_answers_without_end():
    """Guards against sound streams that are given up for the memory that other answers take."""

    async def scenario():
        async with box_before(BY_CASE["body without length"]) as (here, _):
            engine = here.engines()[0]
            engine.event_count, engine.event_s = 40, 0.02
            tasks = [
                asyncio.create_task(here.call("/plain/x", call_id=f"p-{number}")) for number in range(40)
            ]
            streams = [asyncio.create_task(here.prompt(call_id=f"l-{number}")) for number in range(4)]
            found = await asyncio.gather(*streams)
            await asyncio.gather(*tasks)
            return found

    for stream in asyncio.run(scenario()):
        assert stream.status == 200 and stream.complete and len(stream.events) == 40
