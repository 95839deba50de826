"""Evacuated data halls, cold endpoints, endpoints restarted under their id, and invalid entries.

The box is a real process; the endpoints are stand-ins.
"""

import asyncio
from typing import Any

from stairquay.adapters.clock import monotonic
from tests.site import Answer, Site, configuration, eventually, site
from tests.standins.endpoints import Endpoint

MAX_PROPAGATION_S = 3.0
"""Time within which a box must learn of a change of operators' rows."""

COLD_REQUESTS_PER_S = 10.0
"""Rate limit of a cold endpoint in these tests."""

MAX_REFUSAL_S = 1.0
"""Time within which an immediate refusal must arrive, also on a busy machine."""

HALLS = ("hall-a", "hall-b")


def request_counts(here: Site) -> dict[str, int]:
    return {endpoint.id: len(endpoint.received) for endpoint in here.endpoints}


def cold_capacity_since(started_at: float) -> float:
    """Return how many requests a cold engine may get since `started_at`, counted as at least a second."""
    return COLD_REQUESTS_PER_S * max(1.0, monotonic() - started_at)


async def mark_cold(here: Site, engine: Endpoint) -> None:
    """Announce that an engine is cold, and wait until the box has noticed."""
    configure_cold(here)
    engine.cold_ms = 30_000
    here.table.put("servers", engine.id, engine.entry())
    await eventually(lambda: here.logged("endpoints", endpoint=engine.id, standing="cold"))


async def call_concurrently(here: Site, count: int, path: str = "/plain/x") -> list[int]:
    """Send concurrent requests, which spread over all usable endpoints; return their statuses."""
    calls = (here.call(path, call_id=f"c-{path}-{number}") for number in range(count))
    return [answer.status for answer in await asyncio.gather(*calls)]


async def send_prompts(here: Site, count: int, name: str) -> list[Answer]:
    """Send concurrent prompts on a route that is not subject to load shedding; return the responses."""
    calls = (here.prompt("/again/chat", call_id=f"{name}-{number}") for number in range(count))
    return await asyncio.gather(*calls)


async def prompt_statuses(here: Site, count: int, name: str) -> list[int]:
    """Send concurrent prompts, and return their statuses."""
    return [answer.status for answer in await send_prompts(here, count, name)]


def configure_cold(here: Site, version: int = 2) -> None:
    """Set a low rate limit for cold engines."""
    services: list[dict[str, Any]] = configuration(version, here.stores)["services"]
    for service in services:
        if service["name"] == "llm":
            service |= {"cold_start_s": 3.0, "cold_per_s": COLD_REQUESTS_PER_S}
    here.put_configuration(version, services=services)


def test_nothing_goes_to_an_evacuated_hall_until_that_is_taken_back():
    async def scenario():
        async with site(plain=2, engines=2, halls=HALLS) as here:
            here.table.put("op", "evacuate/hall-a", {})
            await asyncio.sleep(MAX_PROPAGATION_S)
            before = request_counts(here)
            assert await call_concurrently(here, 10) == [200] * 10
            assert await prompt_statuses(here, 6, "away") == [200] * 6
            after = request_counts(here)
            assert after["p-0"] == before["p-0"] and after["e-0"] == before["e-0"]
            here.table.remove("op", "evacuate/hall-a")
            await asyncio.sleep(MAX_PROPAGATION_S)
            await call_concurrently(here, 40, "/plain/back")
            await prompt_statuses(here, 40, "back")
            assert request_counts(here)["p-0"] > after["p-0"] and request_counts(here)["e-0"] > after["e-0"]

    asyncio.run(scenario())


def test_requests_are_refused_at_once_while_all_halls_are_evacuated():
    async def scenario():
        async with site(plain=2, engines=2, halls=HALLS) as here:
            for hall in HALLS:
                here.table.put("op", f"evacuate/{hall}", {})
            await asyncio.sleep(MAX_PROPAGATION_S)
            before = request_counts(here)
            answers = [await here.call("/plain/x"), await here.prompt()]
            assert [answer.status for answer in answers] == [503, 503]
            assert all(float(answer.headers["Retry-After"]) > 0 for answer in answers)
            assert max(answer.took_s for answer in answers) < MAX_REFUSAL_S
            assert request_counts(here) == before

    asyncio.run(scenario())


def test_an_evacuation_binds_whatever_its_row_holds_and_one_of_a_hall_that_does_not_exist_harms_nobody():
    async def scenario():
        async with site(plain=2, halls=HALLS) as here:
            here.table.put_bytes("op", "evacuate/hall-b", b"\xff{no")
            here.table.put("op", "evacuate/hall-z", {})
            await asyncio.sleep(MAX_PROPAGATION_S)
            before = request_counts(here)
            assert await call_concurrently(here, 8) == [200] * 8
            assert request_counts(here)["p-1"] == before["p-1"]
            assert here.logged("evacuation", data_hall="hall-z", endpoints=0)

    asyncio.run(scenario())


def test_an_evacuation_holds_while_the_table_service_does_not_answer():
    async def scenario():
        async with site(plain=2, halls=HALLS, revoke_ms=60_000) as here:
            here.table.put("op", "evacuate/hall-a", {})
            await asyncio.sleep(MAX_PROPAGATION_S)
            here.table.down = True
            await asyncio.sleep(2.0)
            before = request_counts(here)
            assert await call_concurrently(here, 6) == [200] * 6
            assert request_counts(here)["p-0"] == before["p-0"]

    asyncio.run(scenario())


def test_a_stream_that_broke_off_does_not_go_on_in_an_evacuated_hall():
    async def scenario():
        async with site(plain=0, engines=2, halls=HALLS) as here:
            for engine in here.engines():
                engine.event_s, engine.event_count = 0.8, 8
            stream = asyncio.create_task(here.prompt("/again/chat"))
            await eventually(lambda: any(engine.received for engine in here.engines()))
            first, other = sorted(here.engines(), key=lambda engine: -len(engine.received))
            here.table.put("op", f"evacuate/{other.hall}", {})
            await asyncio.sleep(MAX_PROPAGATION_S)
            first.break_after = 5
            await stream
            assert not other.received

    asyncio.run(scenario())


def test_a_cold_engine_gets_no_more_than_it_bears_and_the_rest_is_refused_at_once():
    async def scenario():
        async with site(plain=0, engines=1) as here:
            engine = here.engines()[0]
            await mark_cold(here, engine)
            started_at = monotonic()
            answers = await send_prompts(here, 40, "cold")
            assert 0 < len(engine.received) <= cold_capacity_since(started_at)
            refused = [answer for answer in answers if answer.status == 503]
            assert len(refused) + len(engine.received) == len(answers)
            assert max(answer.took_s for answer in refused) < MAX_REFUSAL_S
            assert min(float(answer.headers["Retry-After"]) for answer in refused) > 0
            # The limit is a rate: the next request is admitted soon after.
            await asyncio.sleep(2 / COLD_REQUESTS_PER_S)
            assert (await here.prompt("/again/chat", call_id="one-more")).status == 200
            engine.cold_ms = 0
            here.table.put("servers", engine.id, engine.entry())
            await eventually(
                lambda: len(here.logged("endpoints", endpoint=engine.id, standing="usable")) == 2
            )
            assert await prompt_statuses(here, 10, "warm") == [200] * 10

    asyncio.run(scenario())


def test_prompts_go_to_warm_engines_beyond_what_a_cold_one_bears():
    async def scenario():
        async with site(plain=0, engines=2) as here:
            cold = here.engines()[0]
            await mark_cold(here, cold)
            started_at = monotonic()
            assert await prompt_statuses(here, 40, "mixed") == [200] * 40
            assert len(cold.received) <= cold_capacity_since(started_at)

    asyncio.run(scenario())


def test_engines_of_a_hall_that_returned_count_as_cold_for_a_moment():
    async def scenario():
        async with site(plain=0, engines=2, halls=HALLS) as here:
            configure_cold(here)
            here.table.put("op", "evacuate/hall-a", {})
            await eventually(lambda: here.logged("evacuation", outcome="evacuated"), MAX_PROPAGATION_S)
            here.table.remove("op", "evacuate/hall-a")
            await eventually(lambda: here.logged("evacuation", outcome="returned"), MAX_PROPAGATION_S)
            before, started_at = request_counts(here)["e-0"], monotonic()
            assert await prompt_statuses(here, 40, "back") == [200] * 40
            assert request_counts(here)["e-0"] - before <= cold_capacity_since(started_at)

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
            assert await call_concurrently(here, 3) == [200] * 3
            outdated = endpoint.entry("draining") | {"born": 1_000, "sequence": 9}
            here.table.put("servers", endpoint.id, outdated)
            await asyncio.sleep(1.5)
            assert await call_concurrently(here, 3, "/plain/late") == [200] * 3

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
            # It restarts while it loads, and loses the order.
            engine.born, engine.load_s, engine.busy, engine.sequence = 2_000, 0.1, False, 0
            here.table.put("servers", engine.id, engine.entry())
            await eventually(lambda: len(engine.orders) > 1, 4.0)
            assert engine.orders[-1]["expected"] == 0

    asyncio.run(scenario())


INVALID_ENTRIES: list[Any] = [
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
            for number, entry in enumerate(INVALID_ENTRIES):
                put_entry(here, f"x-{number}", entry)
            await asyncio.sleep(2.0)
            assert await call_concurrently(here, 40) == [200] * 40
            assert min(request_counts(here).values()) > 0
            assert here.logged("part_failed") == []
            reported = {line["endpoint"] for line in here.logged("endpoints", standing="unreadable")}
            assert len(reported) == len(INVALID_ENTRIES) - 1

    asyncio.run(scenario())


def test_an_endpoint_whose_entry_another_writer_spoiled_gets_nothing_until_it_writes_again():
    async def scenario():
        async with site(plain=2) as here:
            for invalid in (b"\xff", {**here.endpoints[0].entry(), "state": "resting"}):
                put_entry(here, "p-0", invalid)
                await asyncio.sleep(1.5)
                before = request_counts(here)["p-0"]
                assert await call_concurrently(here, 8) == [200] * 8
                assert request_counts(here)["p-0"] == before
            here.table.put("servers", "p-0", here.endpoints[0].entry())
            await asyncio.sleep(1.5)
            await call_concurrently(here, 40, "/plain/back")
            assert request_counts(here)["p-0"] > before

    asyncio.run(scenario())
