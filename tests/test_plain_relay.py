"""How the entry passes on answers of plain services that end early."""

import asyncio
from types import SimpleNamespace

import pytest
from aiohttp import ClientError, ClientSession, web

from stairquay.adapters.clock import monotonic
from stairquay.core.attempt import Attempt
from stairquay.entry.relay import plain_relay
from stairquay.entry.upstream import OutgoingRequest, open_response, open_session
from tests.standins.table import serve_app
from tests.test_connection_ends import server

CLOSE = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
EVENTS_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream; charset=utf-8\r\n"
EVENT = b"data: a\n\n"

BROKEN = {
    "close, reset": ((CLOSE, b"half"), True),
    "close, inside an event": ((EVENTS_HEAD + b"\r\n", EVENT, b"da"), False),
    "close, before the first event": ((EVENTS_HEAD + b"\r\n",), False),
    "length, inside an event": ((EVENTS_HEAD + b"Content-Length: 11\r\n\r\n", EVENT, b"da"), False),
    "length, FIN early": ((b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", b"half"), False),
}
WHOLE = {
    "close": (CLOSE, b"whole"),
    "close, between events": (EVENTS_HEAD + b"\r\n", EVENT, EVENT),
    "chunks, no event": (EVENTS_HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"0\r\n\r\n"),
    "an error of a stream's type": (EVENTS_HEAD.replace(b"200 OK", b"404 X") + b"\r\n", b"no event"),
}


async def relayed(address: str, http: str) -> tuple[bytes, bool]:
    """Return the body that a caller gets of the answer at an address, and whether it looks complete."""
    upstream = open_session(1.0, reuse=False)

    async def handle(request: web.Request) -> web.StreamResponse:
        attempt = Attempt("r", "e")
        outgoing = OutgoingRequest("GET", f"http://{address}/x", {}, None, verify_run_id=False)
        deadline = monotonic() + 5
        response = (await open_response(upstream, outgoing, attempt, deadline, 5.0)).unwrap()
        context = SimpleNamespace(settings=SimpleNamespace(stall_timeout_s=2.0))
        incoming = SimpleNamespace(request_id="r", deadline=deadline)
        relay = plain_relay(context, incoming, request, lambda: None)
        result = await relay(SimpleNamespace(response=response, attempt=attempt))
        return result.ok() or result.err().partial_response

    runner, front = await serve_app(handle)
    try:
        return await (read_without_chunks(front) if http == "1.0" else read(front))
    finally:
        await runner.cleanup()
        await upstream.close()


async def read(address: str) -> tuple[bytes, bool]:
    body = b""
    async with ClientSession() as session:
        try:
            async with session.get(f"http://{address}/x") as response:
                async for piece in response.content.iter_any():
                    body += piece
        except ClientError:
            return body, False
    return body, True


async def read_without_chunks(address: str) -> tuple[bytes, bool]:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET /x HTTP/1.0\r\nHost: h\r\n\r\n")
    data = b""
    try:
        while piece := await reader.read(65_536):
            data += piece
    except ConnectionResetError:
        return data.partition(b"\r\n\r\n")[2], False
    finally:
        writer.close()
    return data.partition(b"\r\n\r\n")[2], True


@pytest.mark.parametrize("http", ["1.0", "1.1"])
@pytest.mark.parametrize("case", BROKEN)
def test_an_answer_that_was_broken_off_never_looks_complete(case: str, http: str):
    """A reset, and the end of a connection inside an event, were taken for the end of the answer."""

    async def scenario():
        pieces, reset = BROKEN[case]
        async with server(pieces, reset) as address:
            _, complete = await relayed(address, http)
            assert not complete

    asyncio.run(scenario())


@pytest.mark.parametrize("http", ["1.0", "1.1"])
@pytest.mark.parametrize("case", WHOLE)
def test_a_whole_answer_is_passed_on_whole(case: str, http: str):
    async def scenario():
        async with server(WHOLE[case]) as address:
            expected = b"".join(WHOLE[case][1:]).removesuffix(b"0\r\n\r\n")
            assert await relayed(address, http) == (expected, True)

    asyncio.run(scenario())
