"""A real box whose event loop is late: it refuses new requests truly, says so, and recovers.

Freezes of the process make it late, since a test machine's load cannot be set.
"""

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from tests.site import Answer, Site, eventually, site

FREEZE_S = 0.25
"""Longer than the timer's interval and a quarter of the objective of the routes, 0.4 s."""

PAUSE_S = 0.1
"""Time between two freezes, so that several are within a second."""

HOLD_S = 2.5
"""Seconds after which the endpoint answers requests in progress."""

IN_PROGRESS = 12
"""Requests in progress, above the lowest limit of an overloaded box."""


def send(here: Site, name: signal.Signals) -> None:
    assert here.box is not None and here.box.returncode is None
    here.box.send_signal(name)


async def freeze(here: Site, seconds: float) -> None:
    send(here, signal.SIGSTOP)
    await asyncio.sleep(seconds)
    send(here, signal.SIGCONT)


@asynccontextmanager
async def repeated_freezes(here: Site) -> AsyncIterator[None]:
    async def run() -> None:
        while True:
            await freeze(here, FREEZE_S)
            await asyncio.sleep(PAUSE_S)

    task = asyncio.create_task(run())
    try:
        yield
    finally:
        task.cancel()
        send(here, signal.SIGCONT)


@asynccontextmanager
async def held_requests(here: Site, hold_s: float = HOLD_S) -> AsyncIterator[list[asyncio.Task[Answer]]]:
    """Keep requests in progress at an endpoint that answers late, and wait for their ends."""
    here.endpoints[0].delay_s = hold_s
    tasks = [
        asyncio.create_task(here.call("/plain/x", call_id=f"held-{number}")) for number in range(IN_PROGRESS)
    ]
    await eventually(lambda: len(here.endpoints[0].received) >= IN_PROGRESS)
    try:
        yield tasks
    finally:
        await asyncio.gather(*tasks)


def levels(here: Site) -> list[str]:
    return [line["level"] for line in here.logged("load")]


def test_an_overloaded_box_refuses_what_it_has_not_run_and_serves_again_afterwards():
    """Guards against a refusal of a request that was sent, against one that keeps the caller's connection at
    this box, and against a box that goes on refusing."""

    async def scenario():
        async with site() as here:
            async with repeated_freezes(here):
                async with held_requests(here) as held:
                    await eventually(lambda: "overloaded" in levels(here))
                    refused = await here.call("/plain/x", "POST", call_id="refused", body=b"x" * 9_000)
                    assert refused.status == 503 and refused.complete
                    assert b'"kind": "overloaded"' in refused.body and b'"ran": "not run"' in refused.body
                    assert refused.headers["Connection"] == "close"
                    assert 0 < float(refused.headers["Retry-After"]) <= 0.21
                    assert refused.headers["Request-Id"] == "refused"
                assert all(answer.result().status == 200 for answer in held)
            assert not any(item.id == "refused" for item in here.endpoints[0].received)
            here.endpoints[0].delay_s = 0.0
            await eventually(lambda: levels(here)[-1] == "normal")
            assert (await here.call("/plain/x")).status == 200
            metrics = await here.metrics()
            assert 'stairquay_box_refusals_total{reason="late"} 1.0' in metrics
            assert "stairquay_load_level 0.0" in metrics
            assert "stairquay_loop_lateness_seconds_count" in metrics
            await eventually(lambda: here.logged("left_out"))
            keys = {"level", "before", "late_s", "objective_s", "in_progress", "limit", "refused"}
            assert all(keys <= line.keys() for line in here.logged("load"))

    asyncio.run(scenario())


def test_a_box_that_stays_overloaded_is_unready_for_two_seconds_at_most_and_takes_connections():
    """Guards against boxes that are all unready, and against one that is unready for a moment of overload."""

    async def scenario():
        async with site() as here:
            async with held_requests(here), repeated_freezes(here):
                await eventually(lambda: "overloaded" in levels(here))
                assert await here.is_ready()
                await eventually(lambda: _unready(here), 4.0)
                began = asyncio.get_running_loop().time()
                here.endpoints[0].delay_s = 0.0
                asked = asyncio.create_task(here.call("/plain/x"))
                await eventually(here.is_ready, 4.0)
                assert asyncio.get_running_loop().time() - began < 2.6
                assert levels(here)[-1] == "overloaded"
                answer = await asked
                assert answer.status in (200, 503) and answer.took_s < 2.6

    async def _unready(here: Site) -> bool:
        return not await here.is_ready()

    asyncio.run(scenario())


def test_one_freeze_is_no_overload():
    """Guards against refusals after a clock jump or after the machine was suspended."""

    async def scenario():
        async with site() as here:
            async with held_requests(here):
                await freeze(here, 0.6)
                answers = await asyncio.gather(*(here.call("/plain/x") for _ in range(IN_PROGRESS)))
                assert [answer.status for answer in answers] == [200] * IN_PROGRESS
            assert "overloaded" not in levels(here)

    asyncio.run(scenario())
