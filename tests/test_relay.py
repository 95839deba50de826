"""How a stream is relayed while the caller's connection is slow, gone, or gets events in pieces."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import pytest
from aiohttp import ClientError, ClientSession, web

from stairquay.adapters.clock import monotonic
from stairquay.core.buffers import BufferBudget
from stairquay.serving.ports import HoldSeconds, IncompleteResponseError, Reply, Take
from stairquay.serving.relay import (
    COLLECT_EVENTS_S,
    EVENTS_PASSED_AT_ONCE,
    MAX_EVENT_BYTES,
    StreamProgress,
    relay_stream,
)
from tests.standins.table import serve_app

SLOW_MACHINE_S = 60.0
"""Seconds within which a busy machine relays 50 MB."""

MAX_KEPT_BYTES = 10_000_000

Forward = Callable[[Take, HoldSeconds], Awaitable[None]]


def reply_of(forward: Forward) -> Reply:
    return Reply(200, (("Content-Type", "text/event-stream"),), forward, lambda: None, True)


async def relayed(
    forward: Forward, read: Callable[[Any], Awaitable[Any]], deadline_s: float = 5.0, busy: bool = True
) -> Any:
    """Relay a reply to a real caller. Return progress, counts at first events, errors and what was read."""
    progress, first_at, errors = StreamProgress(), [], []
    done = asyncio.Event()

    async def handle(request: web.Request) -> web.StreamResponse:
        try:
            await relay_stream(
                request,
                reply_of(forward),
                progress,
                monotonic() + deadline_s,
                on_first_event=lambda: first_at.append(progress.events),
                should_close=lambda: False,
                may_collect=lambda: busy,
                buffers=BufferBudget(MAX_KEPT_BYTES),
            )
        except (Exception, asyncio.CancelledError) as error:
            errors.append(error)
            raise
        finally:
            done.set()
        assert progress.response is not None
        return progress.response

    runner, address = await serve_app(handle)
    try:
        async with ClientSession() as session, session.get(f"http://{address}/x") as response:
            result = await read(response)
        await asyncio.wait_for(done.wait(), 5)
    finally:
        await runner.cleanup()
    return progress, first_at, errors, result


PIECES = b"id: 1\nda", b"ta: x\n", b"\nid: 2\ndata: y\n\nid: 3", b"\ndata: z"


async def read_available(response: Any) -> bytes:
    """Return what came until the end of the response, also of one that was broken off."""
    body = b""
    with suppress(ClientError):
        async for data in response.content.iter_any():
            body += data
    return body


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n"])
def test_events_that_come_in_pieces_are_written_whole_and_counted(end: bytes):
    """A caller that resumes names the last whole event; half of one must not count."""

    async def forward(take: Take, hold_s: HoldSeconds) -> None:
        for piece in (*PIECES, end):
            blocked = take(piece)
            if blocked is not None:
                await blocked

    async def run() -> None:
        progress, first_at, errors, body = await relayed(forward, lambda response: response.read())
        assert body == b"id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\ndata: z" + end
        assert (progress.events, progress.last_event_id) == (3, "3") and first_at == [0] and not errors

    asyncio.run(run())


def test_half_an_event_at_the_end_is_neither_written_nor_counted_and_breaks_the_stream_off():
    """It was written, and the stream ended as if it were complete."""

    async def forward(take: Take, hold_s: HoldSeconds) -> None:
        for piece in PIECES:
            blocked = take(piece)
            if blocked is not None:
                await blocked

    async def run() -> None:
        progress, first_at, errors, body = await relayed(forward, read_available)
        assert body == b"id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
        assert (progress.events, progress.last_event_id) == (2, "2") and first_at == [0]
        assert len(errors) == 1 and isinstance(errors[0], IncompleteResponseError)

    asyncio.run(run())


def test_only_a_busy_box_collects_events_and_never_the_first():
    """The first token's time is what callers and objectives go by, and no event waits without need."""
    holds: list[float] = []

    async def forward(take: Take, hold_s: HoldSeconds) -> None:
        for _ in range(EVENTS_PASSED_AT_ONCE + 2):
            blocked = take(b"data: x\n\n")
            if blocked is not None:
                await blocked
            holds.append(hold_s())

    async def run() -> None:
        await relayed(forward, lambda response: response.read())
        assert holds == [0.0] * (EVENTS_PASSED_AT_ONCE - 1) + 3 * [COLLECT_EVENTS_S]
        holds.clear()
        await relayed(forward, lambda response: response.read(), busy=False)
        assert holds == [0.0] * (EVENTS_PASSED_AT_ONCE + 2)

    asyncio.run(run())


def test_a_slow_caller_holds_the_stream_back():
    """Events for callers that don't read would otherwise take any amount of a box's memory."""
    event = b"data: " + b"x" * 50_000 + b"\n\n"
    taken = 0

    async def forward(take: Take, hold_s: HoldSeconds) -> None:
        nonlocal taken
        for _ in range(1_000):
            blocked = take(event)
            if blocked is not None:
                await blocked
            taken += 1

    async def read_late(response: Any) -> bytes:
        await asyncio.sleep(0.5)
        assert taken < 900
        return await response.read()

    async def run() -> None:
        progress, _, errors, body = await relayed(forward, read_late, deadline_s=SLOW_MACHINE_S)
        assert len(body) == 1_000 * len(event) and progress.events == 1_000 and not errors

    asyncio.run(run())


def test_a_caller_that_is_gone_ends_the_relay():
    async def forward(take: Take, hold_s: HoldSeconds) -> None:
        while True:
            blocked = take(b"data: x\n\n")
            if blocked is not None:
                await blocked
            await asyncio.sleep(0.001)

    async def leave(response: Any) -> None:
        await response.content.readany()
        response.close()

    async def run() -> None:
        _, _, errors, _ = await relayed(forward, leave)
        assert len(errors) == 1 and isinstance(errors[0], (asyncio.CancelledError, ConnectionError))

    asyncio.run(run())


@pytest.mark.parametrize("first", [b"", b"data: x\n\n"])
def test_an_event_that_is_too_large_ends_the_stream(first: bytes):
    async def forward(take: Take, hold_s: HoldSeconds) -> None:
        for piece in (first, b"x" * (MAX_EVENT_BYTES + 1)):
            blocked = take(piece)
            if blocked is not None:
                await blocked

    async def read(response: Any) -> None:
        with suppress(Exception):
            await response.read()

    async def run() -> None:
        _, _, errors, _ = await relayed(forward, read)
        assert len(errors) == 1 and isinstance(errors[0], IncompleteResponseError)

    asyncio.run(run())
