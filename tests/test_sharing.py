"""Following both views with one question: what is passed on is never taken for younger than it is."""

import asyncio

import pytest
from result import Ok

from stairquay.core.routers import Member
from stairquay.serving.messages import EndpointsReply, OperatorsReply, ViewsReply, ViewsRequest
from stairquay.serving.ports import EndpointChanges, OperatorChanges
from stairquay.serving.sharing import SharedFeeds
from tests.states import box_state

HELD_S = 0.3
AGE_S = 0.1


class Router:
    """A router that holds each question for a while; it is also the channel to it."""

    def __init__(self, age_s: float = AGE_S) -> None:
        self.age_s = age_s
        self.asked: list[ViewsRequest] = []

    def to(self, _):
        return self

    def heard(self, _, answer, question):
        return answer

    async def views(self, request: ViewsRequest, limit_s: float) -> ViewsReply:
        self.asked.append(request)
        await asyncio.sleep(HELD_S)
        operators = OperatorsReply(OperatorChanges(7, False), AGE_S, HELD_S)
        return ViewsReply(operators, EndpointsReply(EndpointChanges(8, False), self.age_s))


class TableService:
    """What is asked where no router's view may be used."""

    async def follow_endpoints(self, after, wait_s):
        return Ok(EndpointChanges(99, False))


def shared(router: Router) -> SharedFeeds:
    state = box_state("b-9")
    state.routers = (Member("r-1", "one"), Member("r-2", "two"))
    state.operators_revision, state.list_revision = 5, 6
    return SharedFeeds(state, TableService(), router)


def test_one_question_follows_both_views_and_each_new_one_asks_again():
    async def scenario():
        router = Router()
        feeds = shared(router)
        for round_number in (1, 2):
            operators, endpoints = await asyncio.gather(
                feeds.follow_operators(5, 0.7), feeds.follow_endpoints(6, 0.7)
            )
            assert len(router.asked) == round_number
            assert operators.ok_value.revision == 7 and endpoints.ok_value.revision == 8
        assert (router.asked[0].operators.after, router.asked[0].endpoints.after) == (5, 6)

    asyncio.run(scenario())


def test_who_waits_for_a_question_under_way_does_not_take_its_answer_for_younger():
    async def scenario():
        feeds = shared(Router())
        first = asyncio.create_task(feeds.follow_operators(5, 0.7))
        await asyncio.sleep(0.2)
        late = await feeds.follow_endpoints(6, 0.7)
        assert late.ok_value.behind_s == pytest.approx(AGE_S + 0.2, abs=0.1)
        assert late.ok_value.behind_s >= AGE_S + 0.2 - 0.005
        assert (await first).ok_value.behind_s == pytest.approx(AGE_S - HELD_S, abs=0.02)

    asyncio.run(scenario())


def test_a_view_that_is_too_old_to_use_is_asked_for_elsewhere_while_the_other_one_is_used():
    async def scenario():
        feeds = shared(Router(age_s=10.0))
        operators, endpoints = await asyncio.gather(
            feeds.follow_operators(5, 0.7), feeds.follow_endpoints(6, 0.7)
        )
        assert (operators.ok_value.revision, endpoints.ok_value.revision) == (7, 99)

    asyncio.run(scenario())
