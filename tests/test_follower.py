"""A program's following of routers, when the library cancels a call by itself."""

import asyncio

from stairquay.adapters.follower import View, ask_router


class Channels:
    """Channels whose only stub's calls are cancelled as when their channel is closed."""

    def __init__(self, hang: bool = False) -> None:
        self.hang = hang

    def stub(self, address: str) -> "Channels":
        return self

    async def View(self, request: object, timeout: float) -> None:
        if self.hang:
            await asyncio.sleep(30)
        raise asyncio.CancelledError


def test_a_question_that_is_cancelled_with_its_channel_counts_as_no_answer():
    outcome = asyncio.run(ask_router(Channels(), "r:1", View("box-1", "entry", 5.0), 1.0))
    assert outcome.is_err() and outcome.err_value == "cancelled"


def test_a_question_ends_with_the_task_that_asks():
    async def scenario() -> bool:
        asking = asyncio.create_task(ask_router(Channels(hang=True), "r:1", View("b", "entry", 5.0), 1.0))
        await asyncio.sleep(0.01)
        asking.cancel()
        await asyncio.wait([asking])
        return asking.cancelled()

    assert asyncio.run(scenario())
