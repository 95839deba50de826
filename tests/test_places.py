"""Evacuated data halls, cold endpoints, endpoints that start again under their id, and entries from others.

What a box sends to endpoints is seen at stand-ins of these; the box is a real process.
"""

import asyncio
from typing import Any

from stairquay.adapters.clock import monotonic
from tests.site import Answer, Site, configuration, eventually, site
from tests.standins.endpoints import Endpoint

KNOWN_S = 3.0
"""Seconds after which a change of operators' rows must be known to the box of a small site."""

COLD_PER_S = 10.0
"""Requests a second that a cold endpoint bears in these tests."""

AT_ONCE_S = 1.0
"""Seconds within which a refusal comes at once, on a busy machine: their time is over after three."""

HALLS = ("hall-a", "hall-b")


def taken_by(here: Site) -> dict[str, int]:
    return {endpoint.id: len(endpoint.received) for endpoint in here.endpoints}


def borne_since(started_at: float) -> float:
    """Return how many requests a cold engine bears from then until now, of at least a second."""
    return COLD_PER_S * max(1.0, monotonic() - started_at)


async def announce_cold(here: Site, engine: Endpoint) -> None:
    """Have an engine say that it is cold, and wait until the box knows."""
    configure_cold(here)
    engine.cold_ms = 30_000
    here.table.put("servers", engine.id, engine.entry())
    await eventually(lambda: here.logged("endpoints", endpoint=engine.id, standing="cold"))


async def call_often(here: Site, count: int, path: str = "/plain/x") -> list[int]:
    """Send requests side by side, so that all endpoints that may get some do; return their statuses."""
    calls = (here.call(path, call_id=f"c-{path}-{number}") for number in range(count))
    return [answer.status for answer in await asyncio.gather(*calls)]


async def answers_to_prompts(here: Site, count: int, name: str) -> list[Answer]:
    """Send prompts side by side, of a kind that is not refused for load; return their answers."""
    calls = (here.prompt("/again/chat", call_id=f"{name}-{number}") for number in range(count))
    return await asyncio.gather(*calls)


async def prompts(here: Site, count: int, name: str) -> list[int]:
    """Send prompts side by side, and return their statuses."""
    return [answer.status for answer in await answers_to_prompts(here, count, name)]


def configure_cold(here: Site, version: int = 2) -> None:
    """Have the engines bear little work while they are cold."""
    services: list[dict[str, Any]] = configuration(version, here.stores)["services"]
    for service in services:
        if service["name"] == "llm":
            service |= {"cold_start_s": 3.0, "cold_per_s": COLD_PER_S}
    here.put_configuration(version, services=services)


def test_nothing_goes_to_an_evacuated_hall_until_that_is_taken_back():
    async def scenario():
        async with site(plain=2, engines=2, halls=HALLS) as here:
            here.table.put("op", "evacuate/hall-a", {})
            await asyncio.sleep(KNOWN_S)
            before = taken_by(here)
            assert await call_often(here, 10) == [200] * 10
            assert await prompts(here, 6, "away") == [200] * 6
            after = taken_by(here)
            assert after["p-0"] == before["p-0"] and after["e-0"] == before["e-0"]
            here.table.remove("op", "evacuate/hall-a")
            await asyncio.sleep(KNOWN_S)
            await call_often(here, 40, "/plain/back")
            await prompts(here, 40, "back")
            assert taken_by(here)["p-0"] > after["p-0"] and taken_by(here)["e-0"] > after["e-0"]

    asyncio.run(scenario())


def test_requests_are_refused_at_once_while_all_halls_are_evacuated():
    async def scenario():
        async with site(plain=2, engines=2, halls=HALLS) as here:
            for hall in HALLS:
                here.table.put("op", f"evacuate/{hall}", {})
            await asyncio.sleep(KNOWN_S)
            before = taken_by(here)
            answers = [await here.call("/plain/x"), await here.prompt()]
            assert [answer.status for answer in answers] == [503, 503]
            assert all(float(answer.headers["Retry-After"]) > 0 for answer in answers)
            assert max(answer.took_s for answer in answers) < AT_ONCE_S
            assert taken_by(here) == before

    asyncio.run(scenario())


def test_an_evacuation_binds_whatever_its_row_holds_and_one_of_a_hall_that_does_not_exist_harms_nobody():
    async def scenario():
        async with site(plain=2, halls=HALLS) as here:
            here.table.put_bytes("op", "evacuate/hall-b", b"\xff{no")
            here.table.put("op", "evacuate/hall-z", {})
            await asyncio.sleep(KNOWN_S)
            before = taken_by(here)
            assert await call_often(here, 8) == [200] * 8
            assert taken_by(here)["p-1"] == before["p-1"]
            assert here.logged("evacuation", data_hall="hall-z", endpoints=0)

    asyncio.run(scenario())


def test_an_evacuation_holds_while_the_table_service_does_not_answer():
    async def scenario():
        async with site(plain=2, halls=HALLS, revoke_ms=60_000) as here:
            here.table.put("op", "evacuate/hall-a", {})
            await asyncio.sleep(KNOWN_S)
            here.table.down = True
            await asyncio.sleep(2.0)
            before = taken_by(here)
            assert await call_often(here, 6) == [200] * 6
            assert taken_by(here)["p-0"] == before["p-0"]

    asyncio.run(scenario())


def test_a_stream_that_broke_off_does_not_go_on_in_an_evacuated_hall():
    async def scenario():
        async with site(plain=0, engines=2, halls=HALLS) as here:
            for engine in here.engines():
                engine.event_s, engine.event_count = 0.8, 8
            under_way = asyncio.create_task(here.prompt("/again/chat"))
            await eventually(lambda: any(engine.received for engine in here.engines()))
            first, other = sorted(here.engines(), key=lambda engine: -len(engine.received))
            here.table.put("op", f"evacuate/{other.hall}", {})
            await asyncio.sleep(KNOWN_S)
            first.break_after = 5
            await under_way
            assert not other.received

    asyncio.run(scenario())


def test_a_cold_engine_gets_no_more_than_it_bears_and_the_rest_is_refused_at_once():
    async def scenario():
        async with site(plain=0, engines=1) as here:
            engine = here.engines()[0]
            await announce_cold(here, engine)
            started_at = monotonic()
            answers = await answers_to_prompts(here, 40, "cold")
            assert 0 < len(engine.received) <= borne_since(started_at)
            refused = [answer for answer in answers if answer.status == 503]
            assert len(refused) + len(engine.received) == len(answers)
            assert max(answer.took_s for answer in refused) < AT_ONCE_S
            assert min(float(answer.headers["Retry-After"]) for answer in refused) > 0
            # What it bears next comes soon, and is not withheld.
            await asyncio.sleep(2 / COLD_PER_S)
            assert (await here.prompt("/again/chat", call_id="one-more")).status == 200
            engine.cold_ms = 0
            here.table.put("servers", engine.id, engine.entry())
            await eventually(
                lambda: len(here.logged("endpoints", endpoint=engine.id, standing="usable")) == 2
            )
            assert await prompts(here, 10, "warm") == [200] * 10

    asyncio.run(scenario())


def test_prompts_go_to_warm_engines_beyond_what_a_cold_one_bears():
    async def scenario():
        async with site(plain=0, engines=2) as here:
            cold = here.engines()[0]
            await announce_cold(here, cold)
            started_at = monotonic()
            assert await prompts(here, 40, "mixed") == [200] * 40
            assert len(cold.received) <= borne_since(started_at)

    asyncio.run(scenario())


def test_engines_of_a_hall_that_returned_count_as_cold_for_a_moment():
    async def scenario():
        async with site(plain=0, engines=2, halls=HALLS) as here:
            configure_cold(here)
            here.table.put("op", "evacuate/hall-a", {})
            await eventually(lambda: here.logged("evacuation", outcome="evacuated"), KNOWN_S)
            here.table.remove("op", "evacuate/hall-a")
            await eventually(lambda: here.logged("evacuation", outcome="returned"), KNOWN_S)
            before, started_at = taken_by(here)["e-0"], monotonic()
            assert await prompts(here, 40, "back") == [200] * 40
            assert taken_by(here)["e-0"] - before <= borne_since(started_at)

    asyncio.run(scenario())


def test_an_endpoint_that_was_leaving_and_starts_again_under_its_id_gets_work():
    async def scenario():
        async with site(plain=1) as here:
            endpoint = here.endpoints[0]
            endpoint.born = 1_000
            here.table.put("servers", endpoint.id, endpoint.entry("draining"))
            await eventually(lambda: here.logged("endpoints", endpoint=endpoint.id, standing="leaving"))
            assert (await here.call("/plain/x")).status == 503
            endpoint.born = 2_000
            here.table.put("servers", endpoint.id, endpoint.entry())
            await asyncio.sleep(1.5)
            assert await call_often(here, 3) == [200] * 3
            late = endpoint.entry("draining") | {"born": 1_000, "sequence": 9}
            here.table.put("servers", endpoint.id, late)
            await asyncio.sleep(1.5)
            assert await call_often(here, 3, "/plain/late") == [200] * 3

    asyncio.run(scenario())


def test_an_engine_that_starts_again_under_its_id_is_ordered_anew_at_once():
    async def scenario():
        async with site(plain=0, engines=1) as here:
            engine = here.engines()[0]
            engine.born, engine.load_s = 1_000, 30.0
            here.table.put("servers", engine.id, engine.entry())
            await asyncio.sleep(1.0)
            here.table.put("op", "version/m", {"model": "m", "version": 2})
            await eventually(lambda: engine.orders, 5.0)
            # It starts again while it loads, and knows nothing of the order.
            engine.born, engine.load_s, engine.busy, engine.sequence = 2_000, 0.1, False, 0
            here.table.put("servers", engine.id, engine.entry())
            await eventually(lambda: len(engine.orders) > 1, 4.0)
            assert engine.orders[-1]["expected"] == 0

    asyncio.run(scenario())


BAD_ENTRIES: list[Any] = [
    b"\xff\xfe\x00",
    b"{",
    b"null",
    b"[1, 2]",
    {"service": "plain", "zone": "hall-a", "state": "ready"},
    {"service": 7, "address": "127.0.0.1:9", "state": "ready"},
    {"service": "plain", "address": "127.0.0.1:9", "state": "resting"},
    {"service": "plain", "address": "127.0.0.1:9"},
    {"service": "plain", "address": "no address", "state": "ready"},
    {"service": "plain", "address": "127.0.0.1:9", "state": "ready", "slots": "four"},
    {"service": "nobody's", "address": "127.0.0.1:9", "state": "ready"},
    {"service": "plain", "address": "127.0.0.1:9", "state": "ready", "born": 1.5},
]


def put_entry(here: Site, key: str, entry: Any) -> None:
    if isinstance(entry, bytes):
        here.table.put_bytes("servers", key, entry)
    else:
        here.table.put("servers", key, entry)


def test_entries_that_cannot_be_read_name_no_endpoint_and_the_others_hold():
    async def scenario():
        async with site(plain=2) as here:
            for number, entry in enumerate(BAD_ENTRIES):
                put_entry(here, f"x-{number}", entry)
            await asyncio.sleep(2.0)
            assert await call_often(here, 40) == [200] * 40
            assert min(taken_by(here).values()) > 0
            assert here.logged("part_failed") == []
            told = {line["endpoint"] for line in here.logged("endpoints", standing="unreadable")}
            assert len(told) == len(BAD_ENTRIES) - 1

    asyncio.run(scenario())


def test_an_endpoint_whose_entry_another_writer_spoiled_gets_nothing_until_it_writes_again():
    async def scenario():
        async with site(plain=2) as here:
            for spoiled in (b"\xff", {**here.endpoints[0].entry(), "state": "resting"}):
                put_entry(here, "p-0", spoiled)
                await asyncio.sleep(1.5)
                before = taken_by(here)["p-0"]
                assert await call_often(here, 8) == [200] * 8
                assert taken_by(here)["p-0"] == before
            here.table.put("servers", "p-0", here.endpoints[0].entry())
            await asyncio.sleep(1.5)
            await call_often(here, 40, "/plain/back")
            assert taken_by(here)["p-0"] > before

    asyncio.run(scenario())
