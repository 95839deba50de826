"""Second answers of endpoints that arrive on a connection while the next request is under way."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest

from tests.site import Answer, Site, site

REQUESTS = 6
PARTS = (
    "HTTP/1.1 200 OK",
    "HTTP/1.1 200 OK\r\nDate: x",
    "HTTP/1.1 200 OK\r\nServer: a b",
    "HTTP/1.1 200 ",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nDa",
)
"""Beginnings of a second answer that is broken off."""

Respond = Callable[[str, str], str]
"""Returns what an endpoint writes on the connection: for this request, and the one before."""


def rejection(call_id: str) -> str:
    return (
        f"HTTP/1.1 503 X\r\nRequest-Id: {call_id}\r\nNot-Executed: 1\r\nRetry-After: 0\r\n"
        "Content-Length: 0\r\n\r\n"
    )


def signed(call_id: str, status: str = "200 OK") -> str:
    return (
        f"HTTP/1.1 {status}\r\nRequest-Id: {call_id}\r\nResponse-Signature: sig\r\n"
        "Content-Length: 2\r\n\r\nok"
    )


class RawEndpoint:
    """An endpoint that writes its answers byte for byte. ran: how often each request ran."""

    def __init__(self, respond: Respond) -> None:
        self.respond = respond
        self.ran: Counter[str] = Counter()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        before = ""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                call_id = head.partition("Request-Id: ")[2].partition("\r\n")[0]
                text = self.respond(call_id, before)
                self.ran[call_id] += "Signature" in text
                writer.write(text.encode())
                await writer.drain()
                before = call_id
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()


@asynccontextmanager
async def box_before(respond: Respond) -> AsyncIterator[tuple[Site, RawEndpoint]]:
    """Run a box before one plain endpoint."""
    endpoint = RawEndpoint(respond)
    server = await asyncio.start_server(endpoint.handle, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    try:
        async with site(plain=0, ready=False) as here:
            entry = {"service": "plain", "address": address, "zone": "hall-a", "slots": 64}
            here.table.put("servers", "raw", entry | {"state": "ready", "sequence": 1})
            await here.until_ready()
            yield here, endpoint
    finally:
        server.close()


async def send_all(here: Site, path: str) -> dict[str, Answer]:
    found = {}
    for number in range(REQUESTS):
        name = f"r-{number}"
        found[name] = await here.call(path, call_id=name, headers={"Deadline-Ms": "900"})
    return found


@pytest.mark.parametrize("path", ("/once/x", "/plain/x"))
def test_a_late_second_rejection_says_nothing_of_the_next_request(path: str):
    """Guards against a request that runs twice, or is answered 503, though it runs."""

    def respond(call_id: str, before: str) -> str:
        if not before:
            return rejection(call_id)
        return rejection(before) + signed(call_id)

    async def scenario():
        async with box_before(respond) as (here, endpoint):
            return await send_all(here, path), endpoint.ran

    answers, ran = asyncio.run(scenario())
    assert any(ran.values())
    for name, answer in answers.items():
        if path == "/once/x":
            assert ran[name] <= 1
            assert answer.status != 503 or not ran[name], name
        assert answer.status in (200, 502, 503)


@pytest.mark.parametrize("part", PARTS)
def test_the_beginning_of_a_second_answer_does_not_change_the_next_one(part: str):
    """Guards against a failure of an endpoint that reaches the caller as a success."""

    def respond(call_id: str, before: str) -> str:
        if not before:
            return signed(call_id)
        return part + signed(call_id, "500 Internal Server Error")

    async def scenario():
        async with box_before(respond) as (here, _):
            return await send_all(here, "/once/x")

    answers = asyncio.run(scenario())
    assert answers["r-0"].status == 200
    assert answers["r-1"].status in (500, 502)
