"""Answers to other runs, or to none that they name, on the connections of the separate programs."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest
from aiohttp import ClientResponse
from result import Result

from stairquay.adapters.clock import monotonic
from stairquay.adapters.engine import Order, OrderKind, OrderOutcome, send_order
from stairquay.adapters.sessions import open_endpoint_sessions
from stairquay.core.attempt import Attempt
from stairquay.core.errors import ErrorKind, ExecutionStatus
from stairquay.entry.upstream import Failure, OutgoingRequest, open_response, open_session

NOTHING = "Content-Length: 0\r\n\r\n"
REFUSED = "HTTP/1.1 503 X\r\nX-Not-Run: true\r\n"
SUCCESS = "HTTP/1.1 200 OK\r\n"

Respond = Callable[[str, str], str]
"""Returns what an endpoint writes on a connection: for this run, and the one before on it."""


@asynccontextmanager
async def endpoint(respond: Respond, late_s: float | None = None) -> AsyncIterator[str]:
    """Run an endpoint. late_s: time after which it repeats each of its answers."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        before = ""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = head.lower().partition("content-length: ")[2].partition("\r\n")[0]
                await reader.readexactly(int(length or 0))
                run = head.partition("X-Request-Id: ")[2].partition("\r\n")[0]
                answer = respond(run, before).encode()
                writer.write(answer)
                await writer.drain()
                before = run or "before"
                if late_s is not None:
                    await asyncio.sleep(late_s)
                    writer.write(answer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()


async def send(session, address: str, run: str, verify_run_id: bool) -> tuple[Attempt, str]:
    """Send a run; return its attempt, and the id that the answer names or the kind of the failure."""
    attempt = Attempt(run, "e")
    headers = {"X-Request-Id": run}
    outgoing = OutgoingRequest("POST", f"http://{address}/x", headers, b"", verify_run_id)
    opened: Result[ClientResponse, Failure] = await open_response(
        session, outgoing, attempt, monotonic() + 2.0, 2.0
    )
    if opened.is_err():
        return attempt, opened.unwrap_err().kind.value
    response = opened.unwrap()
    await response.read()
    return attempt, response.headers.get("X-Request-Id", "")


@pytest.mark.parametrize("head", (REFUSED, SUCCESS))
def test_an_engines_answer_that_names_no_run_says_nothing_of_this_one(head: str):
    """Guards against a run that is sent twice, or gets the answer of another one."""

    async def scenario():
        session = open_session(1.0, reuse=False)
        async with endpoint(lambda *_: head + NOTHING) as address:
            sent = await send(session, address, "run-1", verify_run_id=True)
            await session.close()
            return sent

    attempt, outcome = asyncio.run(scenario())
    assert outcome == ErrorKind.ENDPOINT_GARBAGE.value
    assert attempt.ran == ExecutionStatus.UNKNOWN


@pytest.mark.parametrize("head", (REFUSED, SUCCESS))
def test_an_engines_answer_that_names_its_run_counts(head: str):
    async def scenario():
        session = open_session(1.0, reuse=False)
        async with endpoint(lambda run, _: f"{head}X-Request-Id: {run}\r\n{NOTHING}") as address:
            sent = await send(session, address, "run-1", verify_run_id=True)
            await session.close()
            return sent

    attempt, outcome = asyncio.run(scenario())
    if head == REFUSED:
        assert outcome == ErrorKind.ENDPOINT_REFUSED.value and attempt.ran == ExecutionStatus.NOT_RUN
    else:
        assert outcome == "run-1"


def test_a_run_that_may_happen_once_gets_no_answer_of_an_earlier_one():
    """Guards against a plain request that is sent twice as the refusal of another one comes again."""

    def respond(run: str, before: str) -> str:
        return (REFUSED + NOTHING if before else "") + f"{SUCCESS}X-Request-Id: {run}\r\n{NOTHING}"

    async def scenario():
        session = open_session(1.0, reuse=False)
        async with endpoint(respond) as address:
            found = [await send(session, address, f"run-{n}", verify_run_id=False) for n in range(4)]
            await session.close()
            return found

    assert [outcome for _, outcome in asyncio.run(scenario())] == [f"run-{n}" for n in range(4)]


def test_an_answer_that_comes_again_on_an_idle_connection_is_not_that_to_the_next_run():
    """Guards against a plain request that gets the answer to the one before, maybe another caller's."""

    async def scenario():
        session = open_session(1.0, reuse=True)
        async with endpoint(lambda run, _: f"{SUCCESS}X-Request-Id: {run}\r\n{NOTHING}", 0.05) as address:
            found = []
            for number in range(4):
                found.append(await send(session, address, f"run-{number}", verify_run_id=False))
                await asyncio.sleep(0.2)
            await session.close()
            return found

    assert [outcome for _, outcome in asyncio.run(scenario())] == [f"run-{n}" for n in range(4)]


def test_the_answer_to_an_earlier_order_of_a_control_is_not_that_to_the_next_one():
    """Guards against an order that counts as accepted though the engine has refused it."""
    order = Order(OrderKind.LOAD, 1, 0.0)

    def respond(_: str, before: str) -> str:
        return (SUCCESS + NOTHING if before else "") + "HTTP/1.1 409 X\r\n" + NOTHING

    async def scenario():
        async with endpoint(respond) as address, open_endpoint_sessions() as sessions:
            return [await send_order(sessions.orders, address, order, 1.0) for _ in range(3)]

    assert asyncio.run(scenario()) == [OrderOutcome.FENCED] * 3
