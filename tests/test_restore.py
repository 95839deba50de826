"""The table service is away for a moment and comes back from a copy some seconds old.

What was written since is gone, its numbers are given out again, and what operators and endpoints wrote is
written once more. No box reads which era an answer is of, so that numbers that went back are taken for old
news, and changes under numbers given out again are not seen; the fence of a lease goes back with its row.

What a box does with that is seen at stand-ins of the endpoints; the boxes are real processes.
"""

import asyncio
from collections.abc import Awaitable, Callable

from tests.many_boxes import two_boxes
from tests.site import KEY, Site, configuration, eventually, set_target_version, site
from tests.test_crashes import arm, come, crashed, known_everywhere

KNOWN_S = 3.0
"""Seconds after which a change of operators' rows must be known to the box of a small site."""

REVOKED_S = 5.0
"""Seconds after which a key that was taken away must not be used any more."""

LOST_WRITES = 500
"""Rows written since the copy was made: endpoints write theirs each second."""

AWAY_S = 0.5


def write_others(here: Site, count: int) -> None:
    """Write rows of a table that nobody follows, so that the table service's numbers go on."""
    for number in range(count):
        here.table.put("elsewhere", "row", number)


async def lose_seconds(
    here: Site, since_copy: Callable[[], Awaitable[None]], again: Callable[[], None]
) -> None:
    """Have things written after a copy, then have the table service come back from it. `again` writes what
    operators and endpoints had written since."""
    copy = here.table.snapshot()
    await since_copy()
    here.table.down = True
    await asyncio.sleep(AWAY_S)
    here.table.restore(copy)
    again()
    here.table.down = False


async def nothing() -> None:
    """Have nothing written but what goes on by itself."""


def without_key(here: Site) -> list[dict]:
    """Return the workspaces, without the key that callers use."""
    tenants = configuration(1, here.stores)["tenants"]
    return [tenant for tenant in tenants if KEY not in tenant["api_keys"]]


def test_a_hall_evacuated_after_a_restore_gets_nothing():
    async def scenario():
        async with site(plain=2, halls=("hall-a", "hall-b")) as here:

            async def others() -> None:
                write_others(here, LOST_WRITES)
                await asyncio.sleep(2.0)

            await lose_seconds(here, others, lambda: None)
            await asyncio.sleep(1.0)
            here.table.put("op", "evacuate/hall-a", {})
            await asyncio.sleep(KNOWN_S)
            before = len(here.endpoints[0].received)
            for number in range(10):
                assert (await here.call("/plain/x", call_id=f"call-{number}")).status == 200
            assert len(here.endpoints[0].received) == before

    asyncio.run(scenario())


def test_a_hall_that_returned_after_a_restore_gets_work():
    async def scenario():
        async with site(plain=2, halls=("hall-a", "hall-b")) as here:
            here.table.put("op", "evacuate/hall-a", {})
            await eventually(lambda: here.logged("evacuation", outcome="evacuated"))

            async def others() -> None:
                write_others(here, LOST_WRITES)
                await asyncio.sleep(2.0)

            await lose_seconds(here, others, lambda: None)
            here.table.remove("op", "evacuate/hall-a")
            await eventually(lambda: here.logged("evacuation", outcome="returned"), 2 * KNOWN_S)

    asyncio.run(scenario())


def test_a_key_that_is_taken_away_under_a_number_given_out_again_is_not_used_any_more():
    async def scenario():
        async with site(plain=1) as here:

            async def others() -> None:
                write_others(here, LOST_WRITES)
                await asyncio.sleep(1.5)

            def again() -> None:
                here.put_configuration(2, tenants=without_key(here))
                write_others(here, 2 * LOST_WRITES)

            await lose_seconds(here, others, again)
            await asyncio.sleep(REVOKED_S)
            assert (await here.call("/plain/x")).status == 401

    asyncio.run(scenario())


def test_no_two_holders_give_orders_under_one_fence():
    async def scenario():
        async with two_boxes(plain=0, engines=1, lease_ms=600) as (first, second):
            engine = first.engines()[0]
            copy = first.table.snapshot()
            for key in list(copy.rows_by_key):
                if key[1].startswith("lease"):
                    del copy.rows_by_key[key]
            set_target_version(first, 2)
            await eventually(lambda: engine.version == 2)
            leader = first if first.logged("lease", outcome="taken") else second
            await leader.kill_box()
            first.table.down = True
            await asyncio.sleep(AWAY_S)
            first.table.restore(copy)
            set_target_version(first, 2)
            first.table.down = False
            set_target_version(first, 3)
            await eventually(lambda: engine.version == 3, 15.0)
            fences = {order["holder"]: order["fencing_token"] for order in engine.orders}
            assert len(fences) == 2 and len(set(fences.values())) == 2

    asyncio.run(scenario())


def test_a_request_that_crashes_endpoints_stays_refused_at_all_boxes():
    async def scenario():
        async with two_boxes(plain=0, engines=7, budget_window_s=1) as (first, second):
            await first.until_retry_budget_full()
            arm(first)
            copy = first.table.snapshot()
            await come(first, 2)
            assert crashed(first) == 3
            await known_everywhere(first, second)
            first.table.down = True
            await asyncio.sleep(AWAY_S)
            first.table.restore(copy)
            first.table.down = False
            await asyncio.sleep(2 * KNOWN_S)
            assert (await come(second, 1, name="after")).status == 503
            assert crashed(first) == 3

    asyncio.run(scenario())
