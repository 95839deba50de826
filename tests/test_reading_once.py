"""Prompts that arrive in a burst with shared parts: the engines prefill those parts once."""

import asyncio
from random import Random

from stairquay.serving.local_router import PREFILL_TIMEOUT_S, LocalRouter
from stairquay.serving.messages import (
    EndedAttempt,
    FinishedNotice,
    Outcome,
    PlaceReply,
    PlaceRequest,
    PromptPart,
)
from tests.many_boxes import ROUTERS, routed_box, router_box
from tests.site import SCOPE, eventually
from tests.test_choosing import router_state

PARTS = (PromptPart("aa", 8_000), PromptPart("bb", 300), PromptPart("own", 100))


def place_request(ticket: str, **fields) -> PlaceRequest:
    base = {"service": "llm", "model": "m", "parts": PARTS, "tokens": 8_400, "max_output": 20}
    return PlaceRequest(**(base | {"ticket": ticket, "box": "b-2", "wall": "", "tried": ()} | fields))


def test_a_prompt_waits_for_a_part_that_is_being_read_and_then_reads_its_own_part_alone():
    local_router = LocalRouter(router_state(4), Random(1))
    first = local_router.place(place_request("t0", may_wait=True))
    assert first.again_s == 0 and first.read == 8_400
    assert local_router.place(place_request("t1", may_wait=True)).again_s > 0
    local_router.prefill_finished("t0")
    second = local_router.place(place_request("t1", may_wait=True))
    assert (second.again_s, second.reused + second.fetched, second.read) == (0, 8_300, 100)


def test_a_prompt_that_waits_counts_nowhere():
    state = router_state(1)
    local_router = LocalRouter(state, Random(1))
    local_router.place(place_request("t0", may_wait=True))
    local_router.place(place_request("t1", may_wait=True))
    assert list(local_router.placed_by_ticket) == ["t0"] and state.endpoints_by_id["e-0"].in_flight == 1


def test_nobody_waits_who_must_not_or_for_little_or_for_what_was_not_read():
    local_router = LocalRouter(router_state(4), Random(1))
    local_router.place(place_request("t0"))
    assert local_router.place(place_request("t1")).again_s == 0
    local_router.finished(EndedAttempt("t1"))
    small = (PromptPart("aa", 8_000), PromptPart("cc", 300), PromptPart("own", 100))
    local_router.prefill_finished("t0")
    assert local_router.place(place_request("t2", parts=small, may_wait=True)).again_s == 0
    for outcome in (Outcome.NOT_SENT, Outcome.TURNED_AWAY, Outcome.FAILED, Outcome.UNREACHED):
        other = LocalRouter(router_state(1), Random(1))
        other.place(place_request("t0"))
        other.finished(EndedAttempt("t0", outcome))
        assert other.place(place_request("t1", may_wait=True)).again_s == 0


def test_nobody_waits_long_for_an_engine_that_should_have_read_by_now(monkeypatch):
    local_router = LocalRouter(router_state(4), Random(1))
    local_router.place(place_request("t0"))
    placed = local_router.placed_by_ticket["t0"]
    monkeypatch.setattr("stairquay.serving.local_router.monotonic", lambda: placed.at + PREFILL_TIMEOUT_S)
    assert local_router.place(place_request("t1", may_wait=True)).again_s == 0


def test_a_router_takes_a_notice_of_what_was_read():
    async def scenario():
        async with router_box(engines=2) as (here, client):
            await eventually(lambda: all(engine.report_requests for engine in here.engines()))
            assert (await client.place(place_request("t0"), 1.0)).read == 8_400
            assert (await client.place(place_request("t1", may_wait=True), 1.0)).again_s > 0
            await client.finished(FinishedNotice((), ("t0",)), 1.0)
            second = await client.place(place_request("t1", may_wait=True), 1.0)
            assert (second.reused + second.fetched, second.read, second.scope) == (8_300, 100, SCOPE)

    asyncio.run(scenario())


def test_a_box_asks_again_when_told_and_tells_its_router_what_was_read():
    async def scenario():
        async with routed_box(engines=1) as (here, router):
            router.reply = PlaceReply(endpoint="e-0", version=1, scope=SCOPE, read=900)
            router.retry_replies = 2
            answer = await here.prompt(call_id="call-1")
            assert answer.status == 200
            tickets = [asked.ticket for asked in router.place_requests]
            assert len(tickets) > 2 and len(set(tickets)) == 1 and tickets[0].startswith("call-1 0 ")
            await eventually(lambda: tickets[0] in router.prefill_finished)
            await eventually(lambda: here.logged("waits", request="call-1"))
            assert len(here.logged("waits")) == 1
            line = here.logged("waits")[0]
            assert line["again_s"] == 0.02 and line["router"] in ROUTERS
            assert 0 < line["most_s"] <= 0.35 * 0.4 and "read for another prompt" in line["why"]

    asyncio.run(scenario())


def test_a_box_tells_nothing_of_a_prefill_that_no_prompt_waits_for():
    """Guards against a call to the router for each prompt whose shared parts were cached or fetched."""

    async def scenario():
        async with routed_box(engines=1) as (here, router):
            for number, read in enumerate((100, 101)):
                router.reply = PlaceReply(endpoint="e-0", version=1, scope=SCOPE, read=read)
                assert (await here.prompt(call_id=f"call-{number}")).status == 200
            own, shared = [asked.ticket for asked in router.place_requests]
            await eventually(lambda: shared in [item.ticket for item in router.ended])
            assert router.prefill_finished == [shared]
            assert own in [item.ticket for item in router.ended]

    asyncio.run(scenario())
