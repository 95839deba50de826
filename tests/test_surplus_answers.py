"""Surplus answers on the connections of orders and polls, each in the place of the one that is due."""

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest

from stairquay.core.buffers import BufferBudget
from stairquay.core.holdings import PartEvent
from stairquay.platform.surroundings import open_clients
from stairquay.serving import watching
from stairquay.serving.ports import (
    CacheChanges,
    CacheSnapshot,
    FreeOrder,
    FreeOutcome,
    OrderAnswer,
    Ports,
    VersionOrder,
)
from stairquay.serving.state import MAX_ANSWER_BYTES, BoxState
from stairquay.serving.watching import EndpointWatcher
from tests.states import box_state

LIFE = 77120
REPORT = {"boot_epoch": LIFE, "next_page_token": 9_000, "queued": 1, "sequence": 3, "kv_total": 50_000}
LIST = {"boot_epoch": LIFE, "next_page_token": 40, "held": [["s", "aa", 500, "m"]]}
EVENTS = {"boot_epoch": LIFE, "next_page_token": 41, "events": [[41, "+", "s", "bb", 300, "m"]]}
BODY_BY_PATH = {"/-/report": REPORT, "/-/kv-list": LIST, "/-/kv-events": EVENTS}

Respond = Callable[[int, str], tuple[int, object]]
"""Returns status and body of the answer to a request, from how many came before it, and its path."""


def encode(status: int, body: object) -> bytes:
    content = json.dumps(body).encode()
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(content)}\r\n\r\n".encode() + content


@asynccontextmanager
async def repeating_holder(respond: Respond) -> AsyncIterator[tuple[str, Ports]]:
    """Run a server that repeats its last answer on a connection before it gives the next one there."""
    requests = 0

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal requests
        before = b""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = head.lower().partition("content-length: ")[2].partition("\r\n")[0]
                await reader.readexactly(int(length or 0))
                answer = encode(*respond(requests, head.split()[1].partition("?")[0]))
                requests += 1
                writer.write(before + answer)
                await writer.drain()
                before = answer
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    ports = open_clients("127.0.0.1:1", BufferBudget(MAX_ANSWER_BYTES))
    try:
        yield address, ports
    finally:
        await ports.close()
        server.close()


@pytest.mark.parametrize("first", (200, 202, 409, 412))
def test_the_answer_to_an_earlier_order_is_not_that_to_the_next_one(first: int):
    """Guards against an order that counts as taken, done or refused by the answer to the one before."""
    due = 412 if first != 412 else 202

    async def scenario() -> list[OrderAnswer]:
        async with repeating_holder(lambda before, _: (due if before else first, {})) as (address, ports):
            order = VersionOrder("i-1", address, "m", 2, "box-1", 41, 3)
            return [await ports.peers.order(order) for _ in range(3)]

    answers = asyncio.run(scenario())
    expected = OrderAnswer.OLD_FENCE if due == 412 else OrderAnswer.UNDER_WAY
    assert answers[1:] == [expected] * 2, answers


def test_the_answer_to_an_earlier_freeing_is_not_that_to_the_next_one():
    """Guards against parts that count as freed though the store box has refused it."""

    async def scenario() -> list[FreeOutcome]:
        async with repeating_holder(lambda before, _: (409 if before else 200, {})) as (address, ports):
            return [await ports.peers.free(FreeOrder(address, (("s", "aa"),), LIFE, 1_000)) for _ in range(3)]

    assert asyncio.run(scenario()) == [FreeOutcome.FREED, FreeOutcome.REFUSED, FreeOutcome.REFUSED]


def test_a_report_or_list_is_not_taken_for_the_changes_of_a_cache():
    """Guards against a position that jumps to a number of tokens, after which no event is received."""

    async def scenario():
        async with repeating_holder(lambda _, path: (200, BODY_BY_PATH[path])) as (address, ports):
            found = []
            for ask_before in (ports.peers.report, ports.peers.cache_snapshot):
                await ask_before(address)
                found.append(await ports.peers.cache_changes(address, 40, 0.1))
            return found

    for changes in asyncio.run(scenario()):
        assert changes is not None and changes.position == 41 and changes.events


def test_changes_of_a_cache_are_not_taken_for_a_list_or_a_report():
    """Guards against a store box that seems empty, and against an engine that seems idle."""

    async def scenario():
        async with repeating_holder(lambda _, path: (200, BODY_BY_PATH[path])) as (address, ports):
            await ports.peers.cache_changes(address, 40, 0.1)
            snapshot = await ports.peers.cache_snapshot(address)
            await ports.peers.cache_changes(address, 40, 0.1)
            return snapshot, await ports.peers.report(address)

    snapshot, report = asyncio.run(scenario())
    assert snapshot is not None and snapshot.parts == ((("s", "aa"), 500),)
    assert report is not None and report.queued == 1


class ScriptedPeers:
    """Answers with changes and lists in turn, and then no more. asked: positions asked for."""

    def __init__(self, changes: list[CacheChanges], snapshots: tuple[CacheSnapshot, ...] = ()) -> None:
        self.changes, self.snapshots = changes, list(snapshots)
        self.asked: list[int] = []

    async def cache_changes(self, address: str, since: int, wait_s: float) -> CacheChanges:
        self.asked.append(since)
        return self.changes.pop(0) if self.changes else await asyncio.Future()

    async def cache_snapshot(self, address: str) -> CacheSnapshot:
        return self.snapshots.pop(0) if self.snapshots else await asyncio.Future()


def changes(position: int, part: str, life: int = LIFE, lost: bool = False) -> CacheChanges:
    return CacheChanges(life, position, lost, (PartEvent(position, "s", part, 300),))


async def watched(peers: ScriptedPeers, kind: str) -> BoxState:
    """Let a router follow the cache of an engine or store box until nothing more comes."""
    state = box_state()
    watcher = EndpointWatcher(state, peers)  # type: ignore[arg-type]
    follow = watcher._watch_engine if kind == "engine" else watcher._watch_store
    task = asyncio.create_task(follow("a:1"))
    await asyncio.sleep(0.2)
    task.cancel()
    return state


@pytest.mark.parametrize("lost", (False, True))
@pytest.mark.parametrize("kind", ("engine", "store"))
def test_changes_of_an_earlier_position_are_not_believed(kind: str, lost: bool, monkeypatch):
    """Guards against parts that come back with an earlier answer, and a view that is dropped for it."""
    monkeypatch.setattr(watching, "EVENTS_PAUSE_S", 0.0)
    monkeypatch.setattr(watching, "RETRY_S", 0.0)
    lists = (CacheSnapshot(LIFE, 40, ((("s", "aa"), 500),), ()),) if kind == "store" else ()
    peers = ScriptedPeers([changes(41, "bb"), changes(20, "cc", lost=lost), changes(42, "dd")], lists)
    state = asyncio.run(watched(peers, kind))
    assert peers.asked == [40 if kind == "store" else 0, 41, 41, 42]
    holding = state.holdings.by_address["a:1"]
    assert holding.position == 42
    assert {part for _, part in holding.tokens_by_key} >= {"bb", "dd"}
    assert "cc" not in {part for _, part in holding.tokens_by_key}


def test_an_engine_that_started_anew_is_followed_from_its_beginning(monkeypatch):
    """Guards against a restarted engine whose low positions are taken for earlier answers."""
    monkeypatch.setattr(watching, "EVENTS_PAUSE_S", 0.0)
    monkeypatch.setattr(watching, "RETRY_S", 0.0)
    peers = ScriptedPeers([changes(41, "bb"), changes(2, "cc", LIFE + 1), changes(3, "dd", LIFE + 1)])
    state = asyncio.run(watched(peers, "engine"))
    assert peers.asked == [0, 41, 0, 3]
    assert {part for _, part in state.holdings.by_address["a:1"].tokens_by_key} == {"dd"}
