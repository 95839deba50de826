"""Surplus answers on the connections of orders and polls, each in the place of the one that is due."""

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest

from stairquay.platform.surroundings import open_clients
from stairquay.serving.ports import OrderAnswer, Ports, VersionOrder

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
    ports = open_clients("127.0.0.1:1")
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

    async def scenario() -> list[bool]:
        async with repeating_holder(lambda before, _: (409 if before else 200, {})) as (address, ports):
            return [await ports.peers.free(address, (("s", "aa"),), LIFE) for _ in range(3)]

    assert asyncio.run(scenario()) == [True, False, False]
