"""The table service is restored from a copy some seconds old, and issues the same revisions again.

Guards against boxes that ignore changes because their revisions are lower or known already.
The boxes are real processes; the endpoints are stand-ins.
"""

import asyncio
from collections.abc import Awaitable, Callable

from tests.many_boxes import two_boxes
from tests.site import KEY, Site, configuration, eventually, set_target_version, site
from tests.test_crashes import crash_count, make_endpoints_crash, send_crashing_requests, wait_for_quarantine

MAX_PROPAGATION_S = 3.0
"""Time within which a box must learn of a change of operators' rows."""

MAX_REVOCATION_S = 5.0
"""Time after which a revoked key must be refused."""

LOST_WRITES = 500
"""Rows written since the copy was made, and lost."""

OUTAGE_S = 0.5


def write_unrelated_rows(here: Site, count: int) -> None:
    """Write rows to a table that nobody follows, to advance the revision."""
    for number in range(count):
        here.table.put("elsewhere", "row", number)


async def restore_older_copy(
    here: Site, write_after_copy: Callable[[], Awaitable[None]], write_again: Callable[[], None]
) -> None:
    """Copy the table, make writes, and restore the copy after an outage.

    write_again: repeats the lost writes of operators and endpoints
    """
    copy = here.table.snapshot()
    await write_after_copy()
    here.table.down = True
    await asyncio.sleep(OUTAGE_S)
    here.table.restore(copy)
    write_again()
    here.table.down = False


async def write_nothing() -> None:
    """Make no writes of the test's own."""


def workspaces_without_key(here: Site) -> list[dict]:
    """Return the workspaces without the one whose key callers use."""
    tenants = configuration(1, here.stores)["tenants"]
    return [tenant for tenant in tenants if KEY not in tenant["api_keys"]]


def test_a_hall_evacuated_after_a_restore_gets_nothing():
    async def scenario():
        async with site(plain=2, halls=("hall-a", "hall-b")) as here:

            async def write_after_copy() -> None:
                write_unrelated_rows(here, LOST_WRITES)
                await asyncio.sleep(2.0)

            await restore_older_copy(here, write_after_copy, lambda: None)
            await asyncio.sleep(1.0)
            here.table.put("op", "evacuate/hall-a", {})
            await asyncio.sleep(MAX_PROPAGATION_S)
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

            async def write_after_copy() -> None:
                write_unrelated_rows(here, LOST_WRITES)
                await asyncio.sleep(2.0)

            await restore_older_copy(here, write_after_copy, lambda: None)
            here.table.remove("op", "evacuate/hall-a")
            await eventually(lambda: here.logged("evacuation", outcome="returned"), 2 * MAX_PROPAGATION_S)

    asyncio.run(scenario())


def test_a_key_that_is_taken_away_under_a_number_given_out_again_is_not_used_any_more():
    async def scenario():
        async with site(plain=1) as here:

            async def write_after_copy() -> None:
                write_unrelated_rows(here, LOST_WRITES)
                await asyncio.sleep(1.5)

            def write_again() -> None:
                here.put_configuration(2, tenants=workspaces_without_key(here))
                write_unrelated_rows(here, 2 * LOST_WRITES)

            await restore_older_copy(here, write_after_copy, write_again)
            await asyncio.sleep(MAX_REVOCATION_S)
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
            leaseholder = first if first.logged("lease", outcome="taken") else second
            await leaseholder.kill_box()
            first.table.down = True
            await asyncio.sleep(OUTAGE_S)
            first.table.restore(copy)
            set_target_version(first, 2)
            first.table.down = False
            set_target_version(first, 3)
            await eventually(lambda: engine.version == 3, 15.0)
            tokens_by_holder = {order["holder"]: order["fencing_token"] for order in engine.orders}
            assert len(tokens_by_holder) == 2 and len(set(tokens_by_holder.values())) == 2

    asyncio.run(scenario())


def test_a_request_that_crashes_endpoints_stays_refused_at_all_boxes():
    async def scenario():
        async with two_boxes(plain=0, engines=7, budget_window_s=1) as (first, second):
            await first.until_retry_budget_full()
            make_endpoints_crash(first)
            copy = first.table.snapshot()
            await send_crashing_requests(first, 2)
            assert crash_count(first) == 3
            await wait_for_quarantine(first, second)
            first.table.down = True
            await asyncio.sleep(OUTAGE_S)
            first.table.restore(copy)
            first.table.down = False
            await asyncio.sleep(2 * MAX_PROPAGATION_S)
            assert (await send_crashing_requests(second, 1, name="after")).status == 503
            assert crash_count(first) == 3

    asyncio.run(scenario())
