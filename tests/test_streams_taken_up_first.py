"""Streams that callers take up go before new prompts, at routers and at engines."""

import asyncio

from stairquay.serving.messages import PlaceReply
from tests.many_boxes import routed_box
from tests.site import SCOPE

ADMITTED = PlaceReply(endpoint="e-0", version=1, scope=SCOPE, decided=True)


def test_a_stream_that_is_taken_up_goes_first_and_a_new_one_in_its_turn():
    """Guards against streams that wait behind new ones until their callers give them up."""

    async def scenario():
        async with routed_box(engines=1) as (here, router):
            router.reply = ADMITTED
            priorities = []
            for headers in ({}, {"Last-Event-Id": "2", "Resumes": "call-0"}):
                answer = await here.prompt("/again/x", call_id=f"call-{len(headers)}", headers=headers)
                assert answer.status == 200
                sent = here.engines()[0].received[-1].headers["Priority"]
                priorities.append((router.place_requests[-1].priority, int(sent)))
            new, taken_up = priorities
            assert new[0] == new[1] > 0 and taken_up == (0, 0)

    asyncio.run(scenario())
