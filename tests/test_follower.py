"""Refresh rounds go on when a library cancels a call by itself or never returns from one."""

import asyncio
from collections.abc import Awaitable, Callable

from stairquay.adapters.follower import View, fetch_from_router, follow
from stairquay.adapters.program import wait_until

ROUND_TIMEOUT_S = 0.2
"""Timeout of a round; long enough on a busy machine."""


class Channels:
    """Stand-in of RPC channels: calls hang, or are cancelled as when their channel is closed."""

    def __init__(self, hang: bool = False) -> None:
        self.hang = hang

    def stub(self, address: str) -> "Channels":
        return self

    async def View(self, request: object, timeout: float) -> None:
        if self.hang:
            await asyncio.sleep(30)
        raise asyncio.CancelledError


def test_a_question_that_is_cancelled_with_its_channel_counts_as_no_answer():
    outcome = asyncio.run(fetch_from_router(Channels(), "r:1", View("box-1", "entry", 5.0), 1.0))
    assert outcome.is_err() and outcome.err_value == "cancelled"


def test_a_question_ends_with_the_task_that_asks():
    async def scenario() -> bool:
        task = asyncio.create_task(
            fetch_from_router(Channels(hang=True), "r:1", View("b", "entry", 5.0), 1.0)
        )
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.wait([task])
        return task.cancelled()

    assert asyncio.run(scenario())


def count_rounds(first_round: Callable[[], Awaitable[None]]) -> int:
    """Return how many rounds `follow` starts after the given first one."""

    async def scenario() -> int:
        rounds = 0

        async def run_round(view: View) -> None:
            nonlocal rounds
            rounds += 1
            if rounds == 1:
                await first_round()

        task = asyncio.create_task(follow(View("box-1", "entry", 5.0), run_round, 0.01, ROUND_TIMEOUT_S))
        await wait_until(lambda: rounds > 1 or task.done(), limit_s=2.0)
        task.cancel()
        await asyncio.wait([task], timeout=1.0)
        assert task.cancelled()
        return rounds

    return asyncio.run(scenario())


def test_following_goes_on_after_a_round_in_which_something_was_cancelled():
    async def cancelled_from_inside() -> None:
        raise asyncio.CancelledError

    assert count_rounds(cancelled_from_inside) > 1


def test_following_goes_on_after_a_round_that_does_not_end():
    async def without_end() -> None:
        await asyncio.Event().wait()

    assert count_rounds(without_end) > 1


def test_following_ends_with_its_task_in_the_midst_of_a_round():
    async def scenario() -> bool:
        async def run_round(view: View) -> None:
            await asyncio.Event().wait()

        task = asyncio.create_task(follow(View("box-1", "entry", 5.0), run_round, 0.01, 30.0))
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.wait([task], timeout=1.0)
        return task.cancelled()

    assert asyncio.run(scenario())
