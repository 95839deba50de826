"""Routers whose answers take long, as those of boxes that are short of processor time."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from stairquay.core.answer_times import AnswerTimes
from stairquay.serving.messages import PlaceReply
from tests.many_boxes import ROUTERS, routed_box
from tests.site import SCOPE, eventually

SHORTEST_S, LONGEST_S = 0.08, 0.12


@given(st.lists(st.floats(0.0, 10.0), max_size=30))
def test_a_time_limit_stays_within_its_bounds(answers):
    times = AnswerTimes()
    for took_s in answers:
        times.observe(took_s)
        assert SHORTEST_S <= times.limit_s(SHORTEST_S, LONGEST_S) <= LONGEST_S


def test_a_time_limit_follows_the_answers():
    times = AnswerTimes()
    assert times.limit_s(SHORTEST_S, LONGEST_S) == SHORTEST_S
    times.observe(SHORTEST_S)
    assert times.limit_s(SHORTEST_S, LONGEST_S) == LONGEST_S
    for _ in range(20):
        times.observe(0.003)
    assert times.limit_s(SHORTEST_S, LONGEST_S) == SHORTEST_S


def test_a_router_that_answers_late_still_places_prompts():
    """Guards against boxes that place prompts without a view, while their routers answer within 0.1 s."""

    async def scenario():
        async with routed_box(engines=1) as (here, router):
            router.reply = PlaceReply(endpoint="e-0", version=1, scope=SCOPE, read=100)
            router.place_delay_s = 0.1
            for number in range(3):
                assert (await here.prompt(call_id=f"call-{number}")).status == 200
            await eventually(lambda: here.logged("sent", request="call-2"))
            routers = [here.logged("sent", request=f"call-{number}")[0]["router"] for number in range(3)]
            assert all(name in ROUTERS for name in routers[1:]), routers

    asyncio.run(scenario())
