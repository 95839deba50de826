"""Links between boxes: idle ones stay open, and a peer that falls silent is noticed."""

import asyncio
from contextlib import asynccontextmanager
from importlib.util import find_spec
from pathlib import Path

import grpc
import pytest

from stairquay.adapters.channels import CHANNEL_OPTIONS
from stairquay.adapters.clock import monotonic
from stairquay.core.routers import Member
from stairquay.serving.links import (
    GRPC_OPTIONS,
    KEEPALIVE_INTERVAL_MS,
    RouterClient,
    RouterClients,
    RouterHandlers,
    serve,
)
from stairquay.serving.messages import FinishedNotice, NoticeReply
from tests.ports import free_port
from tests.states import box_state

INTERVAL_S = KEEPALIVE_INTERVAL_MS / 1000
NOTICED_WITHIN_S = 1.5
"""Seconds within which a box has to notice that a router fell silent."""

NOTICE = FinishedNotice(())


class ByteProxy:
    """Forwards the bytes of TCP connections, until it swallows them without closing anything."""

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.swallows = False
        self.writers: list[asyncio.StreamWriter] = []

    async def connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        self.writers += [writer, target_writer]
        await asyncio.gather(self.forward(reader, target_writer), self.forward(target_reader, writer))

    async def forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while chunk := await reader.read(65_536):
                if not self.swallows:
                    writer.write(chunk)
        except ConnectionError:
            return
        writer.close()


@asynccontextmanager
async def linked(hold_s: float = 0.0):
    """Yield a client, and the proxy between it and a server that holds each notice for some seconds."""

    async def answer(_) -> NoticeReply:
        await asyncio.sleep(hold_s)
        return NoticeReply()

    port = free_port()
    server = await serve(f"127.0.0.1:{port}", RouterHandlers(*[answer] * 6))
    proxy = ByteProxy(port)
    listener = await asyncio.start_server(proxy.connect, "127.0.0.1", 0)
    proxy_port = listener.sockets[0].getsockname()[1]
    client = RouterClient(f"127.0.0.1:{proxy_port}")
    try:
        client.channel.get_state(try_to_connect=True)
        await asyncio.wait_for(client.channel.channel_ready(), 5.0)
        yield client, proxy
    finally:
        await client.close()
        await server.stop(None)
        listener.close()
        for writer in proxy.writers:
            writer.transport.abort()


async def states_over(client: RouterClient, for_s: float) -> set[grpc.ChannelConnectivity]:
    """Return the states of a channel within a time; a server's GOAWAY makes it idle."""
    end, seen = monotonic() + for_s, set()
    while monotonic() < end:
        seen.add(client.channel.get_state())
        await asyncio.sleep(0.05)
    return seen


async def noticed_after_s(client: RouterClient, proxy: ByteProxy) -> float:
    """Let the peer fall silent during a call, and return the seconds until the call has failed."""
    call = asyncio.create_task(client.finished(NOTICE, 10.0))
    await asyncio.sleep(0.1)
    proxy.swallows = True
    silent_at = monotonic()
    assert await call is None
    return monotonic() - silent_at


def test_a_link_without_calls_stays_open():
    """Guards against a server that ends idle links because of their keepalive pings."""

    async def scenario():
        async with linked() as (client, _):
            assert await states_over(client, 6 * INTERVAL_S) == {grpc.ChannelConnectivity.READY}

    asyncio.run(scenario())


def test_a_link_with_a_call_now_and_then_stays_open():
    """Guards against pings that are counted against the link although calls pass over it."""

    async def scenario():
        async with linked() as (client, _):
            for _ in range(3):
                assert await client.finished(NOTICE, 1.0) == NoticeReply()
                assert await states_over(client, 2.5 * INTERVAL_S) == {grpc.ChannelConnectivity.READY}

    asyncio.run(scenario())


@pytest.mark.parametrize("idle_intervals", [0, 10])
def test_a_peer_that_falls_silent_is_noticed_in_time(idle_intervals):
    """Guards against pings that become rarer the longer a link is idle."""

    async def scenario():
        async with linked(hold_s=8.0) as (client, proxy):
            await asyncio.sleep(idle_intervals * INTERVAL_S)
            assert await noticed_after_s(client, proxy) <= NOTICED_WITHIN_S

    asyncio.run(scenario())


@pytest.mark.parametrize("name", sorted({name for name, _ in [*CHANNEL_OPTIONS, *GRPC_OPTIONS]}))
def test_the_installed_library_knows_each_option(name):
    """Guards against options that gRPC has renamed or dropped: it ignores unknown ones without a message."""
    spec = find_spec("grpc._cython.cygrpc")
    assert f"{name}\0".encode() in Path(spec.origin).read_bytes()


def test_the_reason_of_a_failed_call_is_logged():
    """Guards against failures of links that only gRPC's own unstructured output explains."""

    async def scenario():
        state = box_state()
        lines = []
        state.log.line = lambda kind, request="", **fields: lines.append(fields)
        clients = RouterClients(state)
        router = Member("box-2", f"127.0.0.1:{free_port()}")
        answer = await clients.client_for(router).finished(NOTICE, 1.0)
        assert clients.record_answer(router, answer, "ended prompts") is None
        await clients.close_others(())
        assert lines[0]["outcome"] == "lost"
        assert "UNAVAILABLE" in lines[0]["detail"]

    asyncio.run(scenario())
