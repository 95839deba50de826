"""One long poll of a router follows both views, and a forwarded view is never taken for newer than it is."""

import asyncio

import pytest
from result import Ok

from stairquay.adapters.clock import monotonic
from stairquay.core.fleet import Endpoint
from stairquay.core.position import Position
from stairquay.core.routers import Member
from stairquay.serving.following import follow_endpoints
from stairquay.serving.messages import (
    EndpointsReply,
    OperatorsReply,
    OperatorsRequest,
    ViewsReply,
    ViewsRequest,
)
from stairquay.serving.ports import EndpointChanges, OperatorChanges
from stairquay.serving.sharing import SharedFeeds
from stairquay.serving.state import BoxState
from tests.site import eventually
from tests.states import box_state

LONG_POLL_S = 0.3
AGE_S = 0.1
KNOWN_OPERATORS, KNOWN_LIST = Position(0, 5), Position(0, 6)


class StubRouter:
    """Stub of a router that holds each long poll, and of the client that calls it."""

    def __init__(self, age_s: float = AGE_S, held_s: float = LONG_POLL_S) -> None:
        self.age_s = age_s
        self.held_s = held_s
        self.asked: list[ViewsRequest] = []
        self.answers_at_once = False
        self.request_count = 0

    def client_for(self, _):
        return self

    def record_answer(self, _, answer, question):
        return answer

    async def views(self, request: ViewsRequest, limit_s: float) -> ViewsReply:
        self.asked.append(request)
        self.request_count += 1
        if not self.answers_at_once:
            await asyncio.sleep(self.held_s)
        operators = OperatorsReply(OperatorChanges(7, False), AGE_S, self.held_s)
        return ViewsReply(operators, EndpointsReply(EndpointChanges(8, False), self.age_s))

    async def operators(self, request: OperatorsRequest, limit_s: float) -> OperatorsReply:
        self.request_count += 1
        await asyncio.sleep(LONG_POLL_S)
        return OperatorsReply(OperatorChanges(7, False), AGE_S, LONG_POLL_S)


class TableService:
    """Stub of the table service, which is asked where no router's view may be used. wait_s: its long poll."""

    wait_s = 0.0

    async def follow_endpoints(self, after, wait_s):
        await asyncio.sleep(self.wait_s)
        return Ok(EndpointChanges(99, False))


def shared_feeds(router: StubRouter) -> SharedFeeds:
    state = box_state("b-9")
    state.routers = (Member("r-1", "one"), Member("r-2", "two"))
    state.operators_position, state.list_position = KNOWN_OPERATORS, KNOWN_LIST
    state.list_from_router = True
    feeds = SharedFeeds(state, TableService(), router)
    feeds.operators_from_router = True
    return feeds


def test_one_question_follows_both_views_and_each_new_one_asks_again():
    async def scenario():
        router = StubRouter()
        feeds = shared_feeds(router)
        for round_number in (1, 2):
            operators, endpoints = await asyncio.gather(
                feeds.follow_operators(KNOWN_OPERATORS, 0.7), feeds.follow_endpoints(KNOWN_LIST, 0.7)
            )
            assert len(router.asked) == round_number
            assert operators.ok_value.revision == 7 and endpoints.ok_value.revision == 8
        assert (router.asked[0].operators.after, router.asked[0].endpoints.after) == (5, 6)

    asyncio.run(scenario())


def test_who_waits_for_a_question_under_way_does_not_take_its_answer_for_younger():
    async def scenario():
        router = StubRouter(held_s=1.5)
        feeds = shared_feeds(router)
        first = asyncio.create_task(feeds.follow_operators(KNOWN_OPERATORS, 0.7))
        await asyncio.sleep(0)
        began = monotonic()
        await asyncio.sleep(0.2)
        late_s = monotonic() - began
        late = await feeds.follow_endpoints(KNOWN_LIST, 0.7)
        assert len(router.asked) == 1
        assert late.ok_value.behind_s == pytest.approx(AGE_S + late_s, abs=0.05)
        assert late.ok_value.behind_s >= AGE_S + late_s
        assert (await first).ok_value.behind_s == pytest.approx(AGE_S - router.held_s, abs=0.05)

    asyncio.run(scenario())


def test_a_view_that_is_too_old_to_use_is_asked_for_elsewhere_while_the_other_one_is_used():
    async def scenario():
        feeds = shared_feeds(StubRouter(age_s=10.0))
        operators, endpoints = await asyncio.gather(
            feeds.follow_operators(KNOWN_OPERATORS, 0.7), feeds.follow_endpoints(KNOWN_LIST, 0.7)
        )
        assert (operators.ok_value.revision, endpoints.ok_value.revision) == (7, 99)

    asyncio.run(scenario())


def test_news_for_one_view_that_nobody_takes_does_not_make_the_other_one_ask_again_and_again():
    """The router's list is too old, so that its long polls return at once. The configuration must still be
    followed by long polls, without a busy loop."""

    async def scenario():
        router = StubRouter(age_s=10.0)
        router.answers_at_once = True
        feeds = shared_feeds(router)
        feeds.feeds.wait_s = 5.0
        following = asyncio.create_task(feeds.follow_endpoints(KNOWN_LIST, 0.7))
        end = monotonic() + 1.0
        while monotonic() < end:
            assert (await feeds.follow_operators(KNOWN_OPERATORS, 0.7)).ok_value.revision == 7
        assert router.request_count <= 6
        following.cancel()

    asyncio.run(scenario())


def test_boxes_behind_a_router_do_not_read_the_list_again_and_again_while_an_endpoint_is_missing():
    """Guards against boxes that read the whole list from routers in a busy loop until the entry returns."""

    async def scenario():
        state = box_state()
        vanishing, other = Endpoint("e-1", "s", "10.0.0.1:1"), Endpoint("e-2", "s", "10.0.0.2:1")
        router = RouterListFeed(state, [(vanishing, other), (other,)])
        following = asyncio.create_task(follow_endpoints(state, router))
        await eventually(lambda: state.fleet.missing_since_by_id, 2.0)
        asked = router.asked
        await asyncio.sleep(0.6)
        assert router.asked - asked <= 4
        # The pending long poll returns the entry that is back.
        router.lists.append((vanishing, other))
        await eventually(lambda: not state.fleet.missing_since_by_id and len(state.fleet.live()) == 2, 2.0)
        following.cancel()

    asyncio.run(scenario())


class RouterListFeed:
    """Stub feed of a router's list: returns each of `lists` once, and otherwise holds the long poll."""

    def __init__(self, state: BoxState, lists: list[tuple[Endpoint, ...]]) -> None:
        self.state = state
        self.lists = lists
        self.lists_sent = 0
        self.asked = 0

    async def read_endpoints(self):
        self.asked += 1
        await asyncio.sleep(0.002)
        return self.answer()

    async def follow_endpoints(self, after, wait_s):
        self.asked += 1
        end = monotonic() + 0.2
        while self.lists_sent == len(self.lists) and monotonic() < end:
            await asyncio.sleep(0.01)
        return self.answer()

    def answer(self):
        self.state.list_from_router = True
        if self.lists_sent == len(self.lists):
            return Ok(EndpointChanges(self.lists_sent, False))
        self.lists_sent += 1
        return Ok(EndpointChanges(self.lists_sent, True, self.lists[self.lists_sent - 1]))
