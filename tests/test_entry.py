"""Races in the concurrency limiter of the entry, and invalid input."""

import asyncio

from stairquay.core.admission import FairQueue
from stairquay.core.configuration import Configuration, merge
from stairquay.core.membership import Membership
from stairquay.core.models import Box, BoxKind, BoxList, Workspace
from stairquay.core.row import Row
from stairquay.entry.context import ConcurrencyLimiter


def test_a_slot_granted_in_the_moment_of_giving_up_is_used_and_not_lost():
    async def race():
        limiter = ConcurrencyLimiter(FairQueue(slots=1, max_wait_s=9.0))
        first = (await limiter.acquire(Workspace("w"), 1.0)).unwrap()
        loop = asyncio.get_running_loop()
        waiting = asyncio.create_task(limiter.acquire(Workspace("w"), 0.05))
        await asyncio.sleep(0)
        due = loop.time() + 0.05
        loop.call_at(due - 0.0005, release_and_block, loop, due + 0.01, first)
        acquired = await waiting
        assert limiter.queue.running == limiter.queue.starting == (1 if acquired.is_ok() else 0)
        assert not limiter.waiting

    def release_and_block(loop, until, permit):
        """Free the slot, and block the event loop until the timeout is due too."""
        permit.release()
        while loop.time() < until:
            pass

    asyncio.run(race())


def test_a_slot_granted_to_a_request_whose_time_just_ran_out_fails_nobody_else():
    """The timeout cancels the awaited future before the request runs again."""

    async def race():
        limiter = ConcurrencyLimiter(FairQueue(slots=1, max_wait_s=9.0))
        first = (await limiter.acquire(Workspace("w"), 1.0)).unwrap()
        loop = asyncio.get_running_loop()
        waiting = asyncio.create_task(limiter.acquire(Workspace("w"), 0.05))
        await asyncio.sleep(0)
        due = loop.time() + 0.05
        failed = []
        loop.call_at(due - 0.001, block_loop, loop, due + 0.01)
        # Both are due by then; the timeout runs first.
        loop.call_at(due + 0.002, release_permit, first, failed)
        acquired = await waiting
        assert not failed
        assert limiter.queue.running == limiter.queue.starting == (1 if acquired.is_ok() else 0)
        assert not limiter.waiting

    def block_loop(loop, until):
        while loop.time() < until:
            pass

    def release_permit(permit, failed):
        try:
            permit.release()
        except asyncio.InvalidStateError as error:
            failed.append(error)

    asyncio.run(race())


def test_a_listed_endpoint_without_an_address_is_left_out():
    without_address = Box("e", BoxKind.ENGINE, {})
    with_address = Box("f", BoxKind.ENGINE, {"http": "192.0.2.1:1"})
    membership = Membership()
    membership.on_list(BoxList(2, (without_address, with_address)))
    assert membership.usable("e") is None and membership.usable("f") is not None
    assert "e" not in membership.boxes.by_id


def test_a_row_that_cannot_be_read_leaves_the_others_in_force():
    rows = (
        Row("config/workspace/a", '{"id": "a"}', 1),
        Row("config/workspace/b", '{"id": 7}', 2),
        Row("config/workspace/c", "no json", 3),
    )
    configuration = merge(Configuration(), rows, 3)
    assert set(configuration.workspaces) == {"a"}
    assert configuration.unreadable_keys == ("config/workspace/b", "config/workspace/c")
