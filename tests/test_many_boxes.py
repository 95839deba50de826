"""A box that sends its placement requests and view polls to routers, against stand-ins."""

import asyncio

from stairquay.serving.links import RouterClient
from stairquay.serving.messages import EndedAttempt, OperatorsRequest, Outcome, PlaceReply, PromptPart
from tests.many_boxes import ROUTERS, StubRouter, prompt_until_placed, routed_box
from tests.site import MODEL, SCOPE, Site, eventually
from tests.standins.endpoints import Endpoint


def reply_for(engine: str, **fields) -> PlaceReply:
    return PlaceReply(endpoint=engine, version=1, scope=SCOPE, **fields)


def test_a_box_sends_a_prompt_where_its_router_says_and_tells_when_it_ended():
    async def scenario():
        async with routed_box(engines=3) as (here, router):
            fetch = {"fetch_from": ("", "10.0.0.9:1", ""), "fetch_until_ms": 2_000}
            router.reply = reply_for("e-2", **fetch, save_to=("10.0.0.8:1", "", ""))
            answer, asked = await prompt_until_placed(here, router, "call-7")
            assert answer.status == 200
            taken = next(item for item in here.engines() if item.id == "e-2").received[-1]
            assert taken.headers["Cache-Salt"] == SCOPE and taken.headers["Expect-Version"] == "1"
            assert taken.headers["Kv-Fetch"] == "-,10.0.0.9:1,-" and taken.headers["Kv-Until"] == "2000"
            assert taken.headers["Kv-Save"] == "10.0.0.8:1,-,-"
            assert (asked.model, asked.tokens, asked.wall) == (MODEL, 900, "")
            assert asked.parts == (PromptPart("aa", 500), PromptPart("bb", 300), PromptPart("cc", 100))
            await eventually(lambda: EndedAttempt(asked.ticket, waited_s=asked.waited_s) in router.ended)

    asyncio.run(scenario())


def test_a_box_fetches_nothing_that_its_router_names_no_end_for():
    """Guards against a fetch without an end that a router of an earlier release has placed."""

    async def scenario():
        async with routed_box(engines=3) as (here, router):
            router.reply = reply_for("e-2", fetch_from=("", "10.0.0.9:1", ""))
            await prompt_until_placed(here, router, "call-7")
            taken = next(item for item in here.engines() if item.id == "e-2").received[-1]
            assert "Kv-Fetch" not in taken.headers

    asyncio.run(scenario())


def test_a_router_hears_how_attempts_end():
    async def scenario():
        async with routed_box(engines=1) as (here, router):
            router.reply = reply_for("e-0")
            engine = here.engines()[0]
            engine.break_after = 1
            _, broken = await prompt_until_placed(here, router, "broken")
            await eventually(
                lambda: EndedAttempt(broken.ticket, Outcome.FAILED, broken.waited_s) in router.ended
            )
            engine.break_after = None
            _, refused = await prompt_until_placed(
                here, router, "refused", before=lambda: refuse_once(engine)
            )
            await eventually(
                lambda: EndedAttempt(refused.ticket, Outcome.TURNED_AWAY, refused.waited_s) in router.ended
            )

    def refuse_once(engine: Endpoint) -> None:
        engine.refuse = 1

    asyncio.run(scenario())


def test_a_router_hears_of_an_engine_that_takes_no_connection():
    async def scenario():
        async with routed_box(engines=1) as (here, router):
            router.reply = reply_for("e-0")
            await here.engines()[0].runner.cleanup()
            answer, asked = await prompt_until_placed(here, router, "dead")
            assert answer.status == 503
            await eventually(
                lambda: EndedAttempt(asked.ticket, Outcome.UNREACHED, asked.waited_s) in router.ended
            )

    asyncio.run(scenario())


def test_a_router_does_not_hear_of_a_prompt_whose_caller_left_as_one_that_was_never_sent():
    async def scenario():
        async with routed_box(engines=1) as (here, router):
            router.reply = reply_for("e-0")
            here.engines()[0].delay_s = 5.0
            leaving = asyncio.create_task(here.prompt(call_id="left-1"))
            await eventually(lambda: here.engines()[0].received)
            leaving.cancel()
            await asyncio.wait([leaving])
            await eventually(lambda: any(item.ticket.startswith("left-1 0 ") for item in router.ended))
            assert all(item.outcome != Outcome.NOT_SENT for item in router.ended)

    asyncio.run(scenario())


def test_an_isolated_workspace_is_named_to_the_router():
    async def scenario():
        async with routed_box(engines=1) as (here, router):
            router.reply = reply_for("e-0")
            answer, asked = await prompt_until_placed(here, router, "walled", key="key-two")
            assert answer.status == 200 and asked.wall == "w2"

    asyncio.run(scenario())


def test_a_box_does_not_send_to_a_leaving_engine_whatever_its_router_says():
    async def scenario():
        async with routed_box(engines=2) as (here, router):
            leaving = here.engines()[0]
            here.table.put("servers", leaving.id, leaving.entry("draining"))
            await eventually(lambda: here.logged("endpoints", endpoint="e-0", standing="leaving"))
            router.reply = reply_for("e-0")
            for number in range(4):
                assert (await here.prompt(call_id=f"call-{number}")).status == 200
            assert not leaving.received and len(here.engines()[1].received) == 4
            await eventually(lambda: len(router.ended) >= 4)

    asyncio.run(scenario())


def test_a_box_whose_router_is_silent_decides_by_itself_and_does_not_wait_each_time():
    async def scenario():
        async with routed_box(engines=2) as (here, router):
            router.reply = reply_for("e-0")
            router.silent = True
            answers = [await here.prompt(call_id=f"call-{number}") for number in range(6)]
            assert all(answer.status == 200 for answer in answers)
            assert len(router.place_requests) <= 2
            await eventually(lambda: all(_is_router_lost(here, name) for name in ROUTERS))
            router.silent = False
            await eventually(lambda: _asked_again(here, router), 4.0)
            await eventually(lambda: here.logged("dependency", outcome="regained"))

    def _is_router_lost(here: Site, name: str) -> bool:
        return bool(here.logged("dependency", name=f"router {name}", outcome="lost"))

    async def _asked_again(here: Site, router: StubRouter) -> bool:
        assert (await here.prompt(call_id="call-9")).status == 200
        return any(item.ticket.startswith("call-9 ") for item in router.place_requests)

    asyncio.run(scenario())


def test_a_box_asks_the_table_service_itself_where_its_routers_view_is_old():
    async def scenario():
        async with routed_box() as (here, router):
            assert router.view_age_s is None
            here.put_configuration(3, tenants=[{"name": "w1", "api_keys": ["another"]}])
            await eventually(lambda: here.logged("configuration", outcome="in_force", version=3), 2.0)
            assert (await here.call("/plain/x", key="another")).status == 200

    asyncio.run(scenario())


def test_a_routers_view_counts_only_as_long_as_it_is_young():
    """Guards against a box taking an old view of its router as new."""

    async def scenario():
        async with routed_box(revoke_ms=600) as (here, router):
            await eventually(lambda: _served(here))
            here.table.down = True
            router.view_age_s = 0.8
            await eventually(lambda: _refused(here), 4.0)
            router.view_age_s = 0.0
            await eventually(lambda: _served(here), 4.0)

    async def _refused(here: Site) -> bool:
        return (await here.call("/plain/x")).status == 503

    async def _served(here: Site) -> bool:
        return (await here.call("/plain/x")).status == 200

    asyncio.run(scenario())


def test_a_change_is_in_force_in_time_where_routers_are_cut_off_from_the_table_service():
    """The routers answer with a view that is 1 s old and without changes."""

    async def scenario():
        async with routed_box(config_apply_ms=2000) as (here, router):
            router.view_age_s = 1.0
            here.put_configuration(3)
            await eventually(lambda: here.logged("configuration", outcome="in_force", version=3), 1.9)

    asyncio.run(scenario())


def test_a_change_is_in_force_in_time_where_routers_fall_silent_with_their_view():
    """The age of the view that the routers sent last counts towards the time limit of a change."""

    async def scenario():
        async with routed_box(config_apply_ms=2000) as (here, router):
            router.view_age_s = 0.8
            await asyncio.sleep(1.0)
            router.silent = True
            here.put_configuration(3)
            await eventually(lambda: here.logged("configuration", outcome="in_force", version=3), 1.8)

    asyncio.run(scenario())


def test_a_question_under_way_is_answered_with_nothing_when_its_channel_is_closed():
    """The RPC library cancels such a call, which must not cancel the task that made it."""

    async def scenario():
        async with routed_box() as (_, router):
            router.silent = True
            client = RouterClient(router.address)
            request_task = asyncio.create_task(client.operators(OperatorsRequest(0, 5.0), 5.0))
            await asyncio.sleep(0.3)
            await client.close()
            assert await asyncio.wait_for(request_task, 2.0) is None

    asyncio.run(scenario())


def test_a_box_follows_the_table_service_on_when_its_routers_change_during_a_question():
    async def scenario():
        async with routed_box() as (here, router):
            router.silent = True
            await asyncio.sleep(0.2)
            for name in ROUTERS:
                here.table.remove("stairquay", f"box/{name}")
            await eventually(lambda: len(here.logged("router", outcome="picked")) > 1, 10.0)
            here.put_configuration(3)
            await eventually(lambda: here.logged("configuration", outcome="in_force", version=3), 2.0)
            assert not here.logged("part_failed")

    asyncio.run(scenario())


def test_a_box_reads_the_list_itself_where_its_routers_list_is_old():
    async def scenario():
        async with routed_box(plain=2, drain_ms=1000) as (here, router):
            router.view_age_s = 0.6
            leaving = here.endpoints[0]
            here.table.put("servers", leaving.id, leaving.entry("draining"))
            await eventually(lambda: here.logged("endpoints", endpoint="p-0", standing="leaving"), 0.9)

    asyncio.run(scenario())


def test_prompts_that_run_under_one_request_id_are_told_apart_at_the_router():
    """Guards against a router that mistakes a second prompt with an id for the first one, loses count of the
    first, and goes on sending to an engine that is busy."""

    async def scenario():
        async with routed_box(engines=1) as (here, router):
            router.reply = reply_for("e-0")
            here.engines()[0].delay_s = 0.3
            before = len(router.place_requests)
            await asyncio.gather(*(here.prompt(call_id="same", body=b"%d" % number) for number in range(3)))
            tickets = {item.ticket for item in router.place_requests[before:]}
            assert len(tickets) == 3 and all(ticket.startswith("same 0 ") for ticket in tickets)
            await eventually(lambda: {item.ticket for item in router.ended} >= tickets)

    asyncio.run(scenario())
