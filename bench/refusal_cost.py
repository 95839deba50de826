"""Compares the processor time that one box takes to serve and to refuse a request.

`python -m bench.refusal_cost [REQUESTS]` prints milliseconds per request. Each request has a connection
of its own, as refusals close theirs. Freezes of the process keep the box overloaded while it refuses.
"""

import asyncio
import json
import sys
import time
from collections.abc import Awaitable, Callable

import psutil
from aiohttp import ClientSession, ClientTimeout, TCPConnector

from tests.site import Answer, Site, site
from tests.test_overloaded_box import held_requests, levels, repeated_freezes

SERVED, REFUSED = 6, 24
"""Requests sent at a time: as many as engines take, and more than the lowest limit of an overloaded box."""

EVENTS = 30
"""Events of a streamed answer, near those of the deployments' chats and reviews."""

HOLD_S = 2.5
"""Seconds for which endpoints hold the requests that an overloaded box admits."""

REQUESTS = 1_000
IDLE_S = 3.0
BODY = b"x" * 4_000


def cpu_s(here: Site) -> float:
    assert here.box is not None
    times = psutil.Process(here.box.pid).cpu_times()
    return times.user + times.system


async def send_all(send: Callable[[int], Awaitable[Answer]], requests: int, concurrency: int) -> list[int]:
    """Send requests, a few at a time. Return their statuses."""
    statuses: list[int] = []
    numbers = iter(range(requests))

    async def run() -> None:
        for number in numbers:
            statuses.append((await send(number)).status)

    await asyncio.gather(*(run() for _ in range(concurrency)))
    return statuses


async def measure(
    here: Site, path: str, prompt: bool, requests: int, concurrency: int, idle_share: float
) -> tuple[float, dict[int, int]]:
    """Return milliseconds of processor time per request, without an idle box's, and answers by status."""
    connector = TCPConnector(force_close=True)
    async with ClientSession(timeout=ClientTimeout(total=20), connector=connector) as session:

        async def send(number: int) -> Answer:
            call_id = f"bench-{number}"
            if prompt:
                return await here.prompt(path, call_id=call_id, body=BODY, session=session)
            return await here.call(path, "POST", call_id=call_id, body=BODY, session=session)

        before, began = cpu_s(here), time.perf_counter()
        statuses = await send_all(send, requests, concurrency)
        spent_s = cpu_s(here) - before - idle_share * (time.perf_counter() - began)
    return 1000 * spent_s / requests, {status: statuses.count(status) for status in set(statuses)}


async def run(requests: int) -> dict[str, object]:
    async with site(engines=2) as here:
        for engine in here.engines():
            engine.event_count = EVENTS
        await asyncio.sleep(IDLE_S)
        before = cpu_s(here)
        await asyncio.sleep(IDLE_S)
        idle_share = (cpu_s(here) - before) / IDLE_S
        served = {
            "plain": await measure(here, "/plain/x", False, requests, SERVED, idle_share),
            "prompt": await measure(here, "/llm/chat", True, requests, SERVED, idle_share),
        }
        for endpoint in here.endpoints:
            endpoint.received.clear()
            endpoint.delay_s = HOLD_S
        async with held_requests(here, HOLD_S), repeated_freezes(here):
            while "overloaded" not in levels(here):
                await asyncio.sleep(0.1)
            refused = {
                "plain": await measure(here, "/plain/x", False, requests, REFUSED, idle_share),
                "prompt": await measure(here, "/llm/chat", True, requests, REFUSED, idle_share),
            }
        return {"idle_ms_per_s": 1000 * idle_share, "served": served, "refused": refused}


if __name__ == "__main__":
    count = int(sys.argv[1]) if len(sys.argv) > 1 else REQUESTS
    print(json.dumps(asyncio.run(run(count)), indent=1))
