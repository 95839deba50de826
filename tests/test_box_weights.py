"""Weight versions, rollout orders and stored blocks in one box, against stand-ins of the platform."""

import asyncio

from tests.site import KEY, MODEL, SCOPE, Site, box_rows, eventually, site
from tests.standins.endpoints import StoreBox, endpoints_clock_ms


async def store_part(here: Site) -> StoreBox:
    """Store a prompt part in the first store box, and wait until the box under test has read its index."""
    store = here.stores[0]
    store.add_part(SCOPE, "aa", 500)
    await eventually(lambda: here.logged("store_view", outcome="read"))
    return store


def test_engines_are_brought_to_a_named_version_one_after_the_other_under_one_fence():
    async def scenario():
        async with site(plain=0, engines=3) as here:
            here.table.put("op", f"version/{MODEL}", {"model": MODEL, "version": 2})
            await eventually(lambda: all(item.version == 2 for item in here.engines()), 10.0)
            orders = [order for engine in here.engines() for order in engine.orders]
            assert len(orders) == 3
            assert {order["fencing_token"] for order in orders} == {1}
            assert {order["holder"] for order in orders} == {"box-1@127.0.0.1"}
            assert all(order["expected"] == 0 for order in orders)
            answer = await here.prompt()
            assert answer.status == 200
            taken = [item for engine in here.engines() for item in engine.received][-1]
            assert taken.headers["Expect-Version"] == "2" and taken.headers["Cache-Salt"] == "/m/2"

    asyncio.run(scenario())


def test_an_order_whose_answer_is_lost_is_not_given_again_at_once():
    async def scenario():
        async with site(plain=0, engines=1) as here:
            here.engines()[0].lose_orders = 1
            here.engines()[0].load_s = 1.0
            here.table.put("op", f"version/{MODEL}", {"model": MODEL, "version": 2})
            await eventually(lambda: here.logged("order", outcome="silent"))
            await eventually(lambda: here.engines()[0].version == 2)
            await asyncio.sleep(1.0)
            assert len(here.engines()[0].orders) == 1

    asyncio.run(scenario())


def test_a_lease_of_another_box_is_waited_out_with_the_pause_that_endpoints_want():
    async def scenario():
        async with site(plain=0, engines=1, lease_ms=1500) as here:
            lease = {"holder": "box-9@10.0.0.9", "token": 7, "duration_s": 0.8, "renewal": 3}
            here.table.put("stairquay", "lease/orders", lease)
            here.table.put("op", f"version/{MODEL}", {"model": MODEL, "version": 2})
            await asyncio.sleep(2.0)
            here.table.put("stairquay", "lease/orders", lease | {"renewal": 4})
            renewed_at = asyncio.get_running_loop().time()
            await eventually(lambda: here.engines()[0].orders, 8.0)
            waited_s = asyncio.get_running_loop().time() - renewed_at
            assert waited_s >= 0.8 + 1.5
            assert here.engines()[0].orders[0]["fencing_token"] == 8

    asyncio.run(scenario())


def test_a_write_of_the_lease_whose_answer_is_lost_gives_no_order_under_a_shared_fence():
    async def scenario():
        async with site(plain=0, engines=1) as here:
            await eventually(lambda: here.table.get("stairquay", "box/box-1@127.0.0.1"))
            await asyncio.sleep(0.3)
            here.table.lost_answers = 1
            here.table.put("op", f"version/{MODEL}", {"model": MODEL, "version": 2})
            await eventually(lambda: here.engines()[0].orders, 8.0)
            row = here.table.get("stairquay", "lease/orders")
            assert here.engines()[0].orders[0]["fencing_token"] == row["token"]

    asyncio.run(scenario())


def test_shared_parts_are_saved_once_and_fetched_for_engines_that_lack_them():
    async def scenario():
        async with site(plain=0, engines=2, stores=1) as here:
            store = here.stores[0]
            await eventually(lambda: here.logged("store_view", outcome="read"))
            assert (await here.prompt()).status == 200
            first = next(item for engine in here.engines() for item in engine.received)
            assert first.headers["Kv-Save"] == f"{store.address},{store.address},-"
            store.add_part(SCOPE, "aa", 500)
            store.add_part(SCOPE, "bb", 300)
            await asyncio.sleep(1.0)
            for engine in here.engines():
                engine.received.clear()
            assert (await here.prompt(call_id="call-2")).status == 200
            second = next(item for engine in here.engines() for item in engine.received)
            assert "Kv-Save" not in second.headers
            assert store.address in second.headers["Kv-Fetch"]
            assert int(second.headers["Kv-Until"]) > store.clock_ms

    asyncio.run(scenario())


def test_nothing_is_fetched_from_a_store_box_that_started_anew():
    async def scenario():
        async with site(plain=0, engines=1, stores=1) as here:
            store = await store_part(here)
            await asyncio.sleep(0.5)
            assert (await here.prompt()).status == 200
            assert store.address in here.engines()[0].received[0].headers["Kv-Fetch"]
            store.incarnation, store.parts_by_key, store.events = 2, {}, []
            await eventually(lambda: here.logged("store_view", cause="started anew"), 3.0)
            await here.prompt(call_id="call-2")
            assert store.address not in here.engines()[0].received[1].headers.get("Kv-Fetch", "")

    asyncio.run(scenario())


def test_nothing_is_fetched_from_a_store_box_that_fell_silent():
    async def scenario():
        async with site(plain=0, engines=1, stores=1) as here:
            store = await store_part(here)
            await asyncio.sleep(0.3)
            store.silent = True
            await eventually(lambda: here.logged("store_view", cause="silent"), 4.0)
            await here.prompt()
            assert store.address not in here.engines()[0].received[0].headers.get("Kv-Fetch", "")

    asyncio.run(scenario())


def test_an_isolated_workspace_has_a_scope_of_its_own():
    async def scenario():
        async with site(plain=0, engines=1) as here:
            assert (await here.prompt(key="key-two")).status == 200
            assert here.engines()[0].received[0].headers["Cache-Salt"] == "w2/m/1"
            assert (await here.prompt(key=KEY, call_id="call-2")).status == 200
            assert here.engines()[0].received[1].headers["Cache-Salt"] == "/m/1"

    asyncio.run(scenario())


def test_parts_of_replaced_weights_are_freed_once_their_rollout_is_over():
    async def scenario():
        async with site(plain=0, engines=1, stores=1, version_ms=5_000) as here:
            store = here.stores[0]
            store.add_part("/m/1", "aa", 500)
            store.add_part("/m/2", "aa", 500)
            await eventually(lambda: here.logged("store_view", outcome="read"))
            await asyncio.sleep(1.0)
            assert not store.freed
            named_ms = endpoints_clock_ms()
            here.table.put("op", f"version/{MODEL}", {"model": MODEL, "version": 2})
            await eventually(lambda: here.engines()[0].version == 2)
            await eventually(lambda: store.freed, 10.0)
            assert store.freed_at_ms["/m/1", "aa"] - named_ms >= 3_000
            assert store.freed == [("/m/1", "aa")]
            await eventually(lambda: here.logged("freed", outcome="freed"))

    asyncio.run(scenario())


def test_an_engine_that_turns_out_to_run_another_version_is_left_and_another_is_tried():
    async def scenario():
        async with site(plain=0, engines=2) as here:
            await asyncio.sleep(0.8)
            # From its second heartbeat on, a box may repeat more than its own requests earn.
            await eventually(lambda: any(row["beat"] >= 2 for row in box_rows(here)))
            assert (await here.prompt(call_id="first")).status == 200
            for engine in here.engines():
                engine.silent = True
            # The engine with the prompt in its cache is chosen again.
            caching_engine = next(engine for engine in here.engines() if engine.received)
            caching_engine.version = 3
            for number in range(6):
                assert (await here.prompt(call_id=f"call-{number}")).status == 200
            await eventually(lambda: here.logged("attempt_failed", status=421, endpoint=caching_engine.id))

    asyncio.run(scenario())


def test_a_named_version_that_the_feed_did_not_tell_is_found():
    async def scenario():
        async with site(plain=0, engines=1) as here:
            here.table.put("op", f"version/{MODEL}", {"model": MODEL, "version": 2})
            here.table.history.pop()
            await eventually(lambda: here.engines()[0].version == 2, 12.0)

    asyncio.run(scenario())


def test_nothing_begins_on_weights_that_were_replaced_too_long_ago():
    async def scenario():
        async with site(plain=0, engines=1, version_ms=1500) as here:
            here.engines()[0].load_s = 60.0
            here.table.put("op", f"version/{MODEL}", {"model": MODEL, "version": 2})
            await eventually(lambda: here.logged("version_named", version=2))
            await asyncio.sleep(1.6)
            answer = await here.prompt()
            assert answer.status == 503 and not here.engines()[0].received

    asyncio.run(scenario())
