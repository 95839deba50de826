"""The HTTP client that polls engines and store boxes, against servers that misbehave."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager

import pytest

from stairquay.platform import polling
from stairquay.platform.polling import PollClient, PollResponse
from tests.ports import free_port

PATH = "/-/report"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

Serve = Callable[[int, int, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]
"""Answers one request, given the numbers of its connection and of the request on it; tells whether to go on
with the connection."""


@asynccontextmanager
async def server(serve: Serve):
    """Run a server, and yield its address, a client, and the request heads that arrived."""
    heads: list[bytes] = []
    connections = 0

    async def handle(reader, writer):
        nonlocal connections
        connections += 1
        number, requests = connections, 0
        try:
            while True:
                heads.append(await reader.readuntil(b"\r\n\r\n"))
                requests += 1
                if not await serve(number, requests, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    running = await asyncio.start_server(handle, "127.0.0.1", 0)
    host, port = running.sockets[0].getsockname()
    client = PollClient()
    try:
        yield f"{host}:{port}", client, heads
    finally:
        client.close()
        running.close()


def answers(*answers_by_request: bytes, go_on: bool = True) -> Serve:
    """Answer each request of all connections in turn, the last answer again and again."""
    remaining = list(answers_by_request)

    async def serve(_connection, _request, _reader, writer):
        writer.write(remaining.pop(0) if len(remaining) > 1 else remaining[0])
        await writer.drain()
        return go_on

    return serve


async def get(address: str, client: PollClient, timeout_s: float = 2.0) -> PollResponse | None:
    return await client.get(address, PATH, {"Wait-Ms": "7"}, timeout_s)


def test_a_connection_is_used_again_and_the_request_is_complete():
    async def scenario():
        seen = []

        async def serve(connection, request, _, writer):
            seen.append((connection, request))
            writer.write(OK)
            return True

        async with server(serve) as (address, client, heads):
            for _ in range(3):
                assert await get(address, client) == PollResponse(200, b"{}")
            assert seen == [(1, 1), (1, 2), (1, 3)]
            lines = heads[0].decode().split("\r\n")
            assert lines[:3] == ["GET /-/report HTTP/1.1", f"Host: {address}", "Wait-Ms: 7"]

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nabcde",
        # The end of the connection marks that of the body.
        b"HTTP/1.1 200 OK\r\n\r\nabcde",
        b"HTTP/1.0 200 OK\r\n\r\nabcde",
    ],
)
def test_bodies_end_as_their_heads_say(answer):
    async def scenario():
        async with server(answers(answer, go_on=False)) as (address, client, _):
            assert await get(address, client) == PollResponse(200, b"abcde")
            assert await get(address, client) == PollResponse(200, b"abcde")

    asyncio.run(scenario())


def test_a_connection_that_was_closed_while_idle_is_replaced():
    """Otherwise each engine that closes idle connections would now and then seem silent."""

    async def scenario():
        async def serve(_connection, request, _reader, writer):
            if request == 1:
                writer.write(OK)
            return request == 1

        async with server(serve) as (address, client, heads):
            for _ in range(4):
                assert await get(address, client) == PollResponse(200, b"{}")
            assert len(heads) == 7, "each request but the first was first sent on a closed connection"

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"nothing like HTTP\r\n\r\n",
    ],
)
def test_an_incomplete_or_invalid_response_is_none(answer):
    async def scenario():
        async with server(answers(answer, go_on=False)) as (address, client, heads):
            assert await get(address, client) is None
            assert len(heads) == 1, "a new connection that fails is no reason to send the request again"

    asyncio.run(scenario())


def test_a_late_response_is_not_taken_for_the_next_one():
    async def scenario():
        async def serve(connection, _request, _reader, writer):
            if connection == 1:
                await asyncio.sleep(0.3)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
            else:
                writer.write(OK)
            return True

        async with server(serve) as (address, client, _):
            assert await get(address, client, timeout_s=0.1) is None
            await asyncio.sleep(0.4)
            assert await get(address, client) == PollResponse(200, b"{}")

    asyncio.run(scenario())


@pytest.mark.parametrize("extra", [b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", b"HTT"])
def test_bytes_after_a_response_end_the_connection(extra):
    """They would else be taken for the response to the next request, and so the state of the engine."""

    async def scenario():
        async with server(answers(OK + extra, OK)) as (address, client, _):
            assert await get(address, client) == PollResponse(200, b"{}")
            assert not client.idle_by_kind.get((address, PATH))
            assert await get(address, client) == PollResponse(200, b"{}")
            assert len(client.idle_by_kind[address, PATH]) == 1

    asyncio.run(scenario())


def test_a_response_without_end_is_given_up(monkeypatch):
    monkeypatch.setattr(polling, "MAX_RESPONSE_BYTES", 1_000)

    async def scenario():
        long = b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + b"x" * 5_000
        async with server(answers(long)) as (address, client, _):
            assert await get(address, client) is None

    asyncio.run(scenario())


def test_responses_without_end_take_little_memory_together(monkeypatch):
    """Guards against a router that runs out of memory for the reports of some engines."""
    monkeypatch.setattr(polling, "MAX_INCOMPLETE_BYTES", 40_000)

    async def scenario():
        long = b"HTTP/1.1 200 OK\r\nContent-Length: 30000\r\n\r\n" + b"x" * 29_000
        async with server(answers(*[long] * 4, OK)) as (address, _, _):
            client = polling.PollClient()
            pending = [asyncio.create_task(get(address, client, timeout_s=0.6)) for _ in range(4)]
            await asyncio.sleep(0.3)
            assert 0 < client.budget.used_bytes <= 40_000
            assert await get(address, client) == PollResponse(200, b"{}")
            assert await asyncio.gather(*pending) == [None] * 4
            await asyncio.sleep(0.05)
            assert client.budget.used_bytes == 0
            client.close()

    asyncio.run(scenario())


def test_a_head_without_end_is_given_up():
    async def scenario():
        endless = b"HTTP/1.1 200 OK\r\n" + b"A: b\r\n" * 100_000
        async with server(answers(endless)) as (address, client, _):
            started = asyncio.get_running_loop().time()
            assert await get(address, client, timeout_s=5.0) is None
            assert asyncio.get_running_loop().time() - started < 2.0

    asyncio.run(scenario())


def test_requests_at_one_time_have_connections_of_their_own():
    async def scenario():
        open_connections = set()

        async def serve(connection, _request, _reader, writer):
            open_connections.add(connection)
            while len(open_connections) < 3:
                await asyncio.sleep(0.01)
            writer.write(OK)
            return True

        async with server(serve) as (address, client, _):
            found = await asyncio.gather(*(get(address, client) for _ in range(3)))
            assert found == [PollResponse(200, b"{}")] * 3

    asyncio.run(scenario())


def test_connections_to_an_address_that_nobody_polls_any_more_are_closed(monkeypatch):
    monkeypatch.setattr(polling, "IDLE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(polling, "SWEEP_INTERVAL_S", 0.1)

    async def scenario():
        async with server(answers(OK)) as (gone, client, _), server(answers(OK)) as (staying, _, _):
            await get(gone, client)
            (connection,) = client.idle_by_kind[gone, PATH]
            await asyncio.sleep(0.2)
            await get(staying, client)
            assert list(client.idle_by_kind) == [(staying, PATH)]
            assert not connection.usable

    asyncio.run(scenario())


def test_nobody_at_an_address_is_none():
    async def scenario():
        client = PollClient()
        assert await get(f"127.0.0.1:{free_port()}", client) is None
        assert await get("not an address", client) is None

    asyncio.run(scenario())
