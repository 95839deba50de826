"""Notification of changes: no waiter misses one, and none waits past its timeout."""

import asyncio

import pytest

from stairquay.adapters.clock import monotonic
from stairquay.core.routers import Member
from stairquay.serving.change_notifier import ChangeNotifier
from stairquay.serving.following import apply_operators
from stairquay.serving.links import RouterClients
from stairquay.serving.local_router import LocalRouter
from stairquay.serving.messages import EndedAttempt, FinishedNotice, NoticeReply, OperatorsRequest
from stairquay.serving.notices import NoticeSender
from stairquay.serving.ports import OperatorChanges
from stairquay.serving.state import BoxState
from tests.site import eventually
from tests.states import box_state

MAX_DELAY_S = 1.0
"""Longest time in seconds until an event takes effect, on a busy machine."""


def test_all_who_wait_are_woken_and_conditions_are_looked_at_again():
    async def scenario():
        changes, seen = ChangeNotifier(), []
        waiting = [asyncio.create_task(changes.wait_for(lambda n=n: len(seen) > n, 5.0)) for n in range(3)]
        for number in range(3):
            await asyncio.sleep(0.01)
            assert [task.done() for task in waiting] == [other < number for other in range(3)]
            seen.append(number)
            changes.notify_all()
        assert await asyncio.gather(*waiting) == [True, True, True]

    asyncio.run(scenario())


def test_a_condition_that_holds_already_is_not_waited_for_and_one_that_never_does_ends_at_the_limit():
    async def scenario():
        changes = ChangeNotifier()
        assert await changes.wait_for(lambda: True)
        began = monotonic()
        assert not await changes.wait_for(lambda: False, 0.05)
        assert monotonic() - began >= 0.05
        assert not changes._waiters

    asyncio.run(scenario())


def test_who_is_cancelled_while_waiting_leaves_nothing_behind():
    async def scenario():
        changes = ChangeNotifier()
        task = asyncio.create_task(changes.wait(5.0))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert not changes._waiters

    asyncio.run(scenario())


class StubRouterClients:
    """Stub clients of routers that record notices. silent: addresses that do not answer."""

    def __init__(self, state: BoxState) -> None:
        self.router_clients = RouterClients(state)
        self.silent: set[str] = set()
        self.notices_received: list[tuple[str, FinishedNotice]] = []

    def client_for(self, router: Member) -> "StubRouterClient":
        return StubRouterClient(self, router.address)

    def record_answer(self, router, answer, question):
        return self.router_clients.record_answer(router, answer, question)


class StubRouterClient:
    def __init__(self, clients: StubRouterClients, address: str) -> None:
        self.clients = clients
        self.address = address

    async def finished(self, notice: FinishedNotice, limit_s: float) -> NoticeReply | None:
        if self.address in self.clients.silent:
            await asyncio.sleep(0.05)
            return None
        self.clients.notices_received.append((self.address, notice))
        return NoticeReply()


def test_what_has_ended_is_told_soon_and_a_silent_router_hears_it_once_it_may_be_asked_again(monkeypatch):
    monkeypatch.setattr("stairquay.serving.links.SUSPECT_S", 0.3)

    async def scenario():
        state = box_state()
        first, second = Member("r-1", "one"), Member("r-2", "two")
        state.routers = (first, second)
        clients = StubRouterClients(state)
        clients.silent.add("two")
        notices = NoticeSender(state, clients, LocalRouter(state, None))
        sending = asyncio.create_task(notices.run())
        await asyncio.sleep(0.05)
        notices.add_ended(first, EndedAttempt("t-1"))
        notices.add_ended(second, EndedAttempt("t-2"))
        told = FinishedNotice((EndedAttempt("t-1"),), (), box=state.settings.id)
        await eventually(lambda: ("one", told) in clients.notices_received, 2.0)
        await eventually(lambda: state.suspected_until_by_id, 2.0)
        clients.silent.clear()
        told_later = FinishedNotice((EndedAttempt("t-2"),), (), box=state.settings.id)
        await eventually(lambda: ("two", told_later) in clients.notices_received, 2.0)
        assert not notices.ended_by_router and not notices.sending_by_router
        sending.cancel()

    asyncio.run(scenario())


def test_a_held_question_is_answered_as_soon_as_there_is_news_or_the_view_gets_too_old():
    async def scenario():
        state = box_state()
        local_router = LocalRouter(state, None)
        apply_operators(state, OperatorChanges(1, True, versions_by_model={"m": 1}), monotonic())
        pending = asyncio.create_task(local_router._on_operators(OperatorsRequest(1, 5.0)))
        await asyncio.sleep(0.05)
        assert not pending.done()
        apply_operators(state, OperatorChanges(2, False, versions_by_model={"m": 2}), monotonic())
        reply = await asyncio.wait_for(pending, MAX_DELAY_S)
        assert reply.changes.versions_by_model == {"m": 2} and reply.held_s >= 0.04

        # Without changes, the reply comes when the view becomes too old to forward.
        valid_for_s = state.view_valid_for_s(state.view_age())
        began = monotonic()
        reply = await local_router._on_operators(OperatorsRequest(2, 5.0))
        assert not reply.changes.versions_by_model
        assert valid_for_s - 0.01 <= monotonic() - began <= valid_for_s + MAX_DELAY_S

    asyncio.run(scenario())
