"""Requests that are answered before the HTTP server takes their connection, over real sockets."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest
from aiohttp import web

from stairquay.adapters.early_answer import EarlyAnswerRunner, RequestHead
from stairquay.adapters.program import start_site
from stairquay.core.errors import ErrorKind, Refusal
from stairquay.platform.callers import PlatformCallerCodec
from tests.ports import free_port

RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
GET = b"GET /refuse HTTP/1.1\r\nHost: h\r\n\r\n"


@dataclass
class Server:
    port: int
    active: bool = True
    heads: list[RequestHead] = field(default_factory=list)
    handled: list[str] = field(default_factory=list)

    def answer(self, head: RequestHead) -> bytes | None:
        self.heads.append(head)
        return RESPONSE if head.target.startswith("/refuse") else None

    async def handle(self, request: web.BaseRequest) -> web.Response:
        self.handled.append(request.path)
        return web.Response(body=await request.read())


@asynccontextmanager
async def running_server() -> AsyncIterator[Server]:
    server = Server(free_port())
    web_server = web.Server(server.handle, access_log=None)
    runner = EarlyAnswerRunner(web_server, lambda: server.active, server.answer)
    await start_site(runner, f"127.0.0.1:{server.port}")
    try:
        yield server
    finally:
        await runner.cleanup()


async def exchange(server: Server, *pieces: bytes, pause_s: float = 0.02) -> bytes:
    """Send pieces of a request with pauses in between; return all bytes until the connection ends."""
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    for piece in pieces:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(pause_s)
    async with asyncio.timeout(5.0):
        answer = await reader.read(-1)
    writer.close()
    return answer


def run_with_server(check) -> None:
    async def scenario() -> None:
        async with running_server() as server:
            await check(server)

    asyncio.run(scenario())


def test_a_request_is_answered_from_its_head_and_never_handled():
    async def check(server: Server) -> None:
        assert await exchange(server, GET) == RESPONSE
        assert server.heads[0].headers["host"] == "h" and not server.handled

    run_with_server(check)


@pytest.mark.parametrize(
    "length", (b"Content-Length: 200000", b"Content-Length: 40", b"Transfer-Encoding: chunked")
)
def test_a_body_that_is_still_being_sent_does_not_cost_the_caller_the_answer(length):
    """Guards against a connection that is reset while the caller sends, which then reads no refusal."""

    async def check(server: Server) -> None:
        head = b"POST /refuse HTTP/1.1\r\nHost: h\r\n" + length + b"\r\n\r\n"
        body = [b"x" * 50_000] * 4 if b"2000" in length else [b"x" * 20] * 2
        assert await exchange(server, head + body[0], *body[1:]) == RESPONSE
        assert not server.handled

    run_with_server(check)


def test_a_caller_that_stops_sending_does_not_hold_its_connection():
    async def check(server: Server) -> None:
        began = asyncio.get_running_loop().time()
        head = b"POST /refuse HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"
        assert await exchange(server, head) == RESPONSE
        assert asyncio.get_running_loop().time() - began < 3.0

    run_with_server(check)


@pytest.mark.parametrize(
    "pieces",
    (
        (b"POST /serve HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbo", b"dy"),
        # A head in two pieces is left to the server, whatever it asks for.
        (b"POST /refuse HTTP/1.1\r\nHost: h\r\nConnection: close\r\n", b"Content-Length: 4\r\n\r\nbody"),
    ),
)
def test_other_requests_reach_the_server_whole(pieces):
    async def check(server: Server) -> None:
        answer = await exchange(server, *pieces)
        assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(b"body")
        assert len(server.handled) == 1

    run_with_server(check)


def test_a_malformed_request_gets_the_servers_answer():
    async def check(server: Server) -> None:
        assert (await exchange(server, b"GET /refuse HTTP/1.1\r\nno header\r\n\r\n")).startswith(
            b"HTTP/1.0 400 "
        )
        assert not server.heads and not server.handled

    run_with_server(check)


def test_without_an_overload_connections_go_to_the_server_directly():
    async def check(server: Server) -> None:
        server.active = False
        answer = await exchange(server, b"GET /refuse HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 200 ") and not server.heads

    run_with_server(check)


def test_an_encoded_refusal_says_the_same_as_a_response():
    """Guards against two refusals of one kind that differ by the way they take."""
    codec = PlatformCallerCodec()
    refusal = Refusal(ErrorKind.OVERLOADED, detail="this box is late", retry_after_s=0.123)
    encoded, response = codec.encode_refusal("call-1", refusal), codec.refuse("call-1", refusal)
    head, _, body = encoded.partition(b"\r\n\r\n")
    status, *lines = head.decode().split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines)
    assert status == "HTTP/1.1 503 Service Unavailable"
    assert body == response.body and int(headers["Content-Length"]) == len(body)
    assert headers["Retry-After"] == response.headers["Retry-After"] == "0.13"
    assert headers["Request-Id"] == response.headers["Request-Id"] == "call-1"
    assert headers["Content-Type"] == response.headers["Content-Type"]
    assert headers["Connection"] == "close"
