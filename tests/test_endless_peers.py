"""Answers that never end, from several endpoints at once, and from what a box asks on its own.

Bounds the peak of the box's resident memory by the memory that it is told, with sound requests beside.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import pytest

from tests.site import Answer, Site, site
from tests.test_endless_answers import BY_CASE, EndlessServer

MEMORY_MB = (150, 300)
"""Memory of the smallest boxes and of larger ones; one that takes more is killed."""

PRESSED_S = 4.0
"""Shorter than the time for which a box serves callers with keys while the table service tells it nothing."""

PER_S = 20.0
SERVED_SHARE = 0.95

HEADS = ("interim answers", "header line", "header lines", "status line", "no answer", "chunk extension")
BODIES = ("body without length", "body of a great length", "chunked body") * 2
MIXED = (*BODIES[:3], "trailers", "many chunk extensions", "interim answers")


def peak_mb(here: Site) -> float:
    """Return the most memory that the box has had resident since its start."""
    assert here.box is not None
    lines = Path(f"/proc/{here.box.pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmHWM:"))


async def press(send: Callable[[str], Awaitable[Answer]]) -> list[Answer]:
    """Send requests for some seconds, fewer where the machine is slow, and return their answers."""
    loop = asyncio.get_running_loop()
    end, tasks = loop.time() + PRESSED_S, []
    while loop.time() < end:
        tasks.append(asyncio.create_task(send(str(len(tasks)))))
        await asyncio.sleep(1 / PER_S)
    return await asyncio.gather(*tasks)


async def send_sound_requests(here: Site) -> list[Answer]:
    return await press(lambda number: here.prompt(call_id=f"sound-{number}"))


async def send_to_endless(here: Site) -> list[Answer]:
    headers = {"Deadline-Ms": "3000"}
    return await press(lambda number: here.call("/plain/x", call_id=f"endless-{number}", headers=headers))


def assert_sound(here: Site, memory_mb: int, answers: list[Answer], what: str) -> None:
    found_mb = peak_mb(here)
    served = sum(answer.status == 200 and answer.complete for answer in answers)
    print(f"{what}: peak {found_mb:.0f} of {memory_mb} MB, {served} of {len(answers)} served")
    assert here.box is not None and here.box.returncode is None
    assert found_mb < memory_mb, found_mb
    unserved = [(answer.status, answer.body) for answer in answers if answer.status != 200]
    assert served >= SERVED_SHARE * len(answers), unserved


@asynccontextmanager
async def endless_endpoints(here: Site, cases: tuple[str, ...]) -> AsyncIterator[None]:
    """Run endless endpoints of the service `plain` before a box."""
    async with AsyncExitStack() as stack:
        for number, case in enumerate(cases):
            server = await asyncio.start_server(EndlessServer(BY_CASE[case]).handle, "127.0.0.1", 0)
            stack.callback(server.close)
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            entry = {"service": "plain", "address": address, "zone": "hall-a", "slots": 64, "models": []}
            here.table.put("servers", f"endless-{number}", entry | {"state": "ready", "sequence": 1})
        yield


@pytest.mark.parametrize("memory_mb", MEMORY_MB)
@pytest.mark.parametrize("cases", [HEADS, BODIES, MIXED], ids=["heads", "bodies", "mixed"])
def test_several_endless_endpoints_at_once_take_no_more_memory_than_a_box_has(
    cases: tuple[str, ...], memory_mb: int
):
    """Guards against a box that runs out of memory for several faulty endpoints, each within its bounds."""

    async def scenario():
        async with site(plain=0, engines=2, ready=False, limits={"memory_mb": memory_mb}) as here:
            async with endless_endpoints(here, cases):
                await here.until_ready()
                answers, _ = await asyncio.gather(send_sound_requests(here), send_to_endless(here))
                assert_sound(here, memory_mb, answers, f"{len(cases)} endpoints")

    asyncio.run(scenario())


@pytest.mark.parametrize("memory_mb", MEMORY_MB)
@pytest.mark.parametrize("path", ["/-/rows-feed", "/-/rows-tx"])
def test_a_table_service_whose_answers_never_end_costs_a_box_neither_memory_nor_requests(
    path: str, memory_mb: int
):
    """Guards against a box that keeps all that the table service sends."""

    async def scenario():
        async with site(plain=0, engines=2, limits={"memory_mb": memory_mb}) as here:
            here.table.endless_paths.add(path)
            # An answer that was awaited already comes first.
            here.table.put("op", "unknown", {})
            answers = await send_sound_requests(here)
            assert_sound(here, memory_mb, answers, path)

    asyncio.run(scenario())


@pytest.mark.parametrize("memory_mb", MEMORY_MB)
@pytest.mark.parametrize("path", ["/-/kv-events", "/-/kv-list", "/-/kv-free"])
def test_store_boxes_whose_answers_never_end_cost_a_box_neither_memory_nor_requests(
    path: str, memory_mb: int
):
    """Guards against a box that runs out of memory for several faulty store boxes."""

    async def scenario():
        async with site(plain=0, engines=2, stores=6, ready=False, limits={"memory_mb": memory_mb}) as here:
            for store in here.stores:
                store.endless_paths.add(path)
            await here.until_ready()
            answers = await send_sound_requests(here)
            assert_sound(here, memory_mb, answers, path)

    asyncio.run(scenario())


@pytest.mark.parametrize("memory_mb", MEMORY_MB)
def test_reports_and_answers_that_never_end_share_the_memory_of_a_box(memory_mb: int):
    """Guards against clients that each stay within their bound, and together take more than a box has."""

    async def scenario():
        async with site(plain=0, engines=10, stores=6, ready=False, limits={"memory_mb": memory_mb}) as here:
            for engine in here.engines()[2:]:
                engine.endless_paths |= {"/-/report", "/-/kv-events", "/-/kv-list"}
            for store in here.stores:
                store.endless_paths |= {"/-/kv-events", "/-/kv-list"}
            async with endless_endpoints(here, BODIES):
                await here.until_ready()
                here.table.endless_paths.add("/-/rows-feed")
                here.table.put("op", "unknown", {})
                answers, _ = await asyncio.gather(send_sound_requests(here), send_to_endless(here))
                assert_sound(here, memory_mb, answers, "all at once")

    asyncio.run(scenario())
