"""Kept context of replaced weights: until when it may be fetched, and from when it is freed."""

import asyncio
from dataclasses import dataclass

import pytest

from stairquay.serving.context_lifetime import TERM_SHARE
from tests.many_boxes import two_boxes
from tests.site import MODEL, Site, eventually, set_target_version, site
from tests.standins.endpoints import Endpoint, ReceivedRequest, StoreBox, endpoints_clock_ms

ROLLOUT_MS = 10_000
TERM_MS = ROLLOUT_MS * TERM_SHARE
PARTS = ("aa", "bb")
TOKENS = 500
STORE_TOKENS = 50_000
"""Memory of a store box of a site."""

OLD_VIEW_MS = 3_200
"""Milliseconds after the last answer of a store box's life until which a box may have its content fetched."""

CALLED_S = 7.5
"""Seconds in which a box that goes by its list of endpoints alone frees the parts of a lapsed engine."""


@dataclass(frozen=True)
class BrokenFetch:
    """A fetch that may have been in progress as one of its parts was freed; times by the endpoints' clock."""

    part: str
    received_ms: int
    until_ms: int | None
    freed_ms: int


def fetches_from(store: StoreBox, requests: list[ReceivedRequest]) -> list[ReceivedRequest]:
    return [item for item in requests if store.address in item.headers.get("Kv-Fetch", "")]


def broken_fetches(store: StoreBox, requests: list[ReceivedRequest]) -> list[BrokenFetch]:
    """Return the fetches of parts that were freed before the end that the fetch names, if it names one."""
    found = []
    for request in fetches_from(store, requests):
        named = request.headers.get("Kv-Until")
        until_ms = None if named is None else int(named)
        for part, address in zip(PARTS, request.headers["Kv-Fetch"].split(","), strict=False):
            freed_ms = store.freed_at_ms.get((request.headers["Cache-Salt"], part))
            if address != store.address or freed_ms is None or freed_ms < request.at_ms:
                continue
            if until_ms is None or freed_ms <= until_ms:
                found.append(BrokenFetch(part, request.at_ms, until_ms, freed_ms))
    return found


async def keep_parts(here: Site, version: int = 1) -> StoreBox:
    """Keep both parts of the prompts in the store box, and wait until the box has its list."""
    store = here.stores[0]
    for part in PARTS:
        store.add_part(f"/{MODEL}/{version}", part, TOKENS)
    await eventually(lambda: here.logged("store_view", outcome="read"))
    await asyncio.sleep(1.0)
    return store


async def prompts_for(here: Site, seconds: float, name: str) -> list[int]:
    """Send prompts one after another for some seconds; return their statuses."""
    end = asyncio.get_running_loop().time() + seconds
    statuses = []
    while asyncio.get_running_loop().time() < end:
        answer = await here.prompt(call_id=f"{name}-{len(statuses)}")
        statuses.append(answer.status)
        await asyncio.sleep(0.1)
    return statuses


async def until_called(store: StoreBox, seconds: float) -> None:
    """Wait until a box asks a store box to free parts, or some seconds have passed."""
    end = asyncio.get_running_loop().time() + seconds
    while not store.free_calls and asyncio.get_running_loop().time() < end:
        await asyncio.sleep(0.05)


def received(here: Site) -> list[ReceivedRequest]:
    return [item for engine in here.engines() for item in engine.received]


def stay_on_old_weights(*engines: Endpoint) -> None:
    for engine in engines:
        engine.refuses_orders = True


def test_a_call_to_free_that_arrives_late_frees_nothing():
    """Guards against a store box that frees parts seconds after the box that asked gave the call up."""

    async def scenario():
        async with site(plain=0, engines=1, stores=1, version_ms=2_000) as here:
            store = await keep_parts(here)
            store.free_delay_s = 1.5
            set_target_version(here, 2)
            await eventually(lambda: here.logged("freed", outcome="silent"), 10.0)
            await asyncio.sleep(3.0)
            assert store.late_frees and not store.freed

    asyncio.run(scenario())


def test_parts_are_kept_for_as_long_as_any_box_may_have_them_fetched():
    """Guards against parts that one box frees as it sees no engine on their weights while another does."""

    async def scenario():
        async with site(plain=0, engines=1, stores=1, version_ms=ROLLOUT_MS) as here:
            store = await keep_parts(here)
            named_ms = endpoints_clock_ms()
            set_target_version(here, 2)
            await eventually(lambda: store.freed, 15.0)
            assert min(store.freed_at_ms.values()) - named_ms >= TERM_MS

    asyncio.run(scenario())


def test_no_fetch_on_replaced_weights_lasts_beyond_the_time_of_their_rollout():
    """Guards against a fetch that is begun late on old weights and outlasts what other boxes wait for."""

    async def scenario():
        async with site(plain=0, engines=1, stores=1, version_ms=ROLLOUT_MS) as here:
            store = await keep_parts(here)
            stay_on_old_weights(*here.engines())
            named_ms = endpoints_clock_ms()
            set_target_version(here, 2)
            await prompts_for(here, ROLLOUT_MS / 1000, "late")
            fetches = [item for item in fetches_from(store, received(here)) if item.at_ms > named_ms + 1_000]
            assert fetches
            assert all(int(item.headers["Kv-Until"]) <= named_ms + TERM_MS for item in fetches)

    asyncio.run(scenario())


def test_a_box_that_is_cut_from_the_table_service_stops_fetching_in_time():
    """Guards against a box that fetches parts of weights which were replaced without its knowledge."""

    async def scenario():
        async with site(plain=0, engines=1, stores=1, version_ms=5_000) as here:
            store = await keep_parts(here)
            stay_on_old_weights(*here.engines())
            here.table.down = True
            cut_ms = endpoints_clock_ms()
            await prompts_for(here, 4.5, "cut")
            fetches = [item for item in fetches_from(store, received(here)) if item.at_ms > cut_ms]
            assert fetches
            assert all(int(item.headers["Kv-Until"]) <= cut_ms + 5_000 * TERM_SHARE for item in fetches)

    asyncio.run(scenario())


def test_a_box_that_starts_fetches_nothing_on_weights_that_were_replaced_before():
    """Guards against a new process that counts the time since a version from its own first view."""

    async def scenario():
        async with site(plain=0, engines=1, stores=1) as here:
            store = await keep_parts(here)
            stay_on_old_weights(*here.engines())
            set_target_version(here, 2)
            await eventually(lambda: here.logged("version_named", version=2))
            await here.kill_box()
            here.log_lines.clear()
            here.engines()[0].received.clear()
            await here.start_box()
            await here.until_ready()
            await eventually(lambda: here.logged("store_view", outcome="read"))
            await asyncio.sleep(1.0)
            statuses = await prompts_for(here, 2.0, "anew")
            assert 200 in statuses
            assert not fetches_from(store, received(here))

    asyncio.run(scenario())


def test_nothing_is_fetched_while_the_endpoints_clock_is_not_known():
    """Guards against a fetch without an end, which no box that frees parts can wait for."""

    async def scenario():
        async with site(plain=0, engines=1, stores=1) as here:
            for part in (*here.engines(), *here.stores):
                part.tells_clock = False
            await here.kill_box()
            await here.start_box()
            await here.until_ready()
            await keep_parts(here)
            assert set(await prompts_for(here, 1.0, "no-clock")) == {200}
            assert not [item for item in received(here) if "Kv-Fetch" in item.headers]

    asyncio.run(scenario())


@pytest.mark.parametrize("kept_tokens, saves", ((STORE_TOKENS // 4, True), (STORE_TOKENS * 3 // 4, False)))
def test_parts_of_replaced_weights_are_saved_to_half_of_a_store_box_only(kept_tokens: int, saves: bool):
    """Guards against parts of old weights that take the room of newer ones at the store boxes."""

    async def scenario():
        async with site(plain=0, engines=1, stores=1) as here:
            here.stores[0].add_part(f"/{MODEL}/1", "zz", kept_tokens)
            await eventually(lambda: here.logged("store_view", outcome="read"))
            stay_on_old_weights(*here.engines())
            assert set(await prompts_for(here, 0.5, "before")) == {200}
            assert all("Kv-Save" in item.headers for item in received(here))
            set_target_version(here, 2)
            await eventually(lambda: here.logged("version_named", version=2))
            here.engines()[0].received.clear()
            assert set(await prompts_for(here, 1.0, "after")) == {200}
            assert all(("Kv-Save" in item.headers) == saves for item in received(here))

    asyncio.run(scenario())


def test_nothing_is_saved_to_a_store_box_that_started_anew_while_its_old_content_may_be_fetched():
    """Guards against a part that is fetched incomplete as it is saved again at a store box that lost it."""

    async def scenario():
        async with site(plain=0, engines=1, stores=1) as here:
            store = await keep_parts(here)
            assert set(await prompts_for(here, 0.3, "before")) == {200}
            assert fetches_from(store, received(here))
            store.incarnation, store.parts_by_key, store.events = 2, {}, []
            restarted_ms = endpoints_clock_ms()
            here.engines()[0].received.clear()
            assert set(await prompts_for(here, 6.0, "after")) == {200}
            saves = [item.at_ms - restarted_ms for item in received(here) if "Kv-Save" in item.headers]
            assert saves
            assert min(saves) >= OLD_VIEW_MS

    asyncio.run(scenario())


@pytest.mark.parametrize("held_up_s", (0.0, 2.0, 4.0))
def test_an_engine_that_returns_on_old_weights_fetches_nothing_that_is_freed_meanwhile(held_up_s: float):
    """Guards against parts that are freed while an engine whose entry had lapsed takes them over again."""

    async def scenario():
        async with two_boxes(engines=2, stores=1, version_ms=15_000) as (first, second):
            store = await keep_parts(first)
            loads, returns = first.engines()
            stay_on_old_weights(returns)
            first.table.remove("servers", returns.id)
            set_target_version(first, 2)
            await eventually(lambda: loads.version == 2)
            store.free_delay_s = held_up_s
            await until_called(store, CALLED_S)
            first.table.remove("servers", loads.id)
            first.table.put("servers", returns.id, returns.entry())
            sent = await asyncio.gather(prompts_for(first, 6.0, "one"), prompts_for(second, 6.0, "two"))
            store.free_delay_s = 0.0
            assert any(status == 200 for statuses in sent for status in statuses)
            assert not broken_fetches(store, returns.received)
            await eventually(lambda: store.freed, 12.0)

    asyncio.run(scenario())
