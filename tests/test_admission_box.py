"""A box whose routers delay or refuse prompts while the engines are full."""

import asyncio

import msgspec

from stairquay.serving.messages import Outcome, PlaceReply, PlaceRequest
from tests.many_boxes import ROUTERS, prompt_with_live_routers, routed_box
from tests.site import SCOPE, eventually

ADMITTED = PlaceReply(endpoint="e-0", version=1, scope=SCOPE, decided=True)
DEFERRED = PlaceReply(endpoint="e-0", version=1, again_s=0.02, backlog_s=1.0, decided=True)
ENGINES = 16
"""Engines for which two routers place prompts."""

REJECTED = PlaceReply(come_back_s=0.42, rejected="objective", decided=True)


def test_a_box_waits_for_its_place_and_asks_the_same_router_again():
    async def scenario():
        async with routed_box(engines=1) as (here, router):
            router.first_replies, router.reply = [DEFERRED, DEFERRED, DEFERRED], ADMITTED
            answer = await here.prompt(call_id="call-1")
            assert answer.status == 200
            requests = router.place_requests
            assert len({request.ticket for request in requests}) == 1
            assert [request.waited_s for request in requests] == sorted(
                request.waited_s for request in requests
            )
            first = requests[0]
            assert 0 < first.objective_left_s < first.deadline_left_s and first.waited_s < 0.2
            await eventually(lambda: here.logged("waits", request="call-1"))
            assert len(here.logged("waits")) == 1
            assert here.logged("waits")[0]["why"] == "the engines are full"

    asyncio.run(scenario())


def test_a_box_refuses_with_the_time_that_its_routers_planned():
    async def scenario():
        async with routed_box(engines=ENGINES) as (here, router):
            router.reply = REJECTED
            answer, call_id = await prompt_with_live_routers(here, router, "call", [])
            assert answer.status == 503 and answer.headers["Retry-After"] == "0.42"
            asked = [item for item in router.place_requests if item.ticket.startswith(f"{call_id} ")]
            assert len(asked) == len(ROUTERS)
            await eventually(lambda: here.logged("refused", request=call_id))
            line = here.logged("refused", request=call_id)[0]
            assert (line["cause"], line["ran"], line["come_back_s"]) == ("overloaded", "not run", 0.42)
            assert "objective" in line["detail"] and not here.logged("sent")

    asyncio.run(scenario())


def test_a_prompt_that_one_router_refuses_runs_at_the_engines_of_another():
    """Guards against refusals while engines in another data hall have free slots."""

    async def scenario():
        async with routed_box(engines=ENGINES) as (here, router):
            router.reply = ADMITTED
            answer, _ = await prompt_with_live_routers(here, router, "refused", [REJECTED])
            assert answer.status == 200
            answer, call_id = await prompt_with_live_routers(here, router, "deferred", [DEFERRED])
            assert answer.status == 200
            assert not here.logged("waits", request=call_id)

    asyncio.run(scenario())


def test_a_caller_that_disconnects_gives_up_its_place():
    async def scenario():
        async with routed_box(engines=1) as (here, router):
            router.reply = DEFERRED
            call = asyncio.create_task(here.prompt(call_id="call-1"))
            await eventually(lambda: len(router.place_requests) > 3)
            call.cancel()
            ticket = router.place_requests[0].ticket
            await eventually(
                lambda: any(
                    item.ticket == ticket and item.outcome == Outcome.NOT_SENT for item in router.ended
                )
            )

    asyncio.run(scenario())


def test_messages_of_a_box_of_the_version_before_are_understood():
    fields = ["t", "b-2", "llm", "m", [], 10, 1, "", []]
    request = msgspec.msgpack.decode(msgspec.msgpack.encode(fields), type=PlaceRequest)
    assert request.objective_left_s is None and request.deadline_left_s is None
    reply = msgspec.msgpack.decode(msgspec.msgpack.encode(["e-0"]), type=PlaceReply)
    assert not reply.decided and not reply.rejected
