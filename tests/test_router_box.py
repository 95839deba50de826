"""A box among many that routes for others, against stand-ins."""

import asyncio

from stairquay.adapters.clock import monotonic
from stairquay.serving.links import RouterClient
from stairquay.serving.messages import (
    EndedAttempt,
    EndpointsRequest,
    FinishedNotice,
    OperatorsRequest,
    Outcome,
    PlaceRequest,
    PromptPart,
)
from tests.many_boxes import router_box
from tests.site import MODEL, SCOPE, Site, eventually, route

SLOTS = 8
"""Runs that each engine of the sites here makes at once."""


def question(ticket: str, **fields) -> PlaceRequest:
    parts = (PromptPart("aa", 500), PromptPart("bb", 300), PromptPart("cc", 100))
    base = {"service": "llm", "model": MODEL, "parts": parts, "tokens": 900, "max_output": 20}
    return PlaceRequest(**(base | {"ticket": ticket, "box": "box-9", "wall": "", "tried": ()} | fields))


QUICK_S = 0.25
"""Seconds within which a round of questions has to be through: with a pause of 0.2 s in it an engine that was
emptied is still the best one, with one of 0.5 s the others have read what they were given, too."""

ROUNDS = 10
"""Rounds tried until a busy machine gets one through in time."""

FORGOTTEN_S = 1.2
"""Seconds after which nothing of a round counts any more."""


async def _round(here: Site, link: RouterClient, name: str) -> tuple[list[int], list[str], float]:
    """Fill three engines, empty one, and fill it again. Return the counts of the first by engine, the engines
    of the last, and the seconds that it took."""
    began = monotonic()
    first = [await link.place(question(f"{name} r{n}"), 1.0) for n in range(3 * SLOTS)]
    counts = [[reply.endpoint for reply in first].count(engine.id) for engine in here.engines()]
    ended = tuple(EndedAttempt(f"{name} r{n}") for n, reply in enumerate(first) if reply.endpoint == "e-1")
    await link.finished(FinishedNotice(ended), 1.0)
    again = [(await link.place(question(f"{name} q{n}"), 1.0)).endpoint for n in range(SLOTS)]
    took_s = monotonic() - began
    names = [f"{name} r{n}" for n in range(3 * SLOTS)] + [f"{name} q{n}" for n in range(SLOTS)]
    await link.finished(FinishedNotice(tuple(EndedAttempt(ticket) for ticket in names)), 1.0)
    return counts, again, took_s


def test_a_router_spreads_what_it_places_and_counts_it_until_it_has_ended():
    async def scenario():
        async with router_box(engines=3) as (here, link):
            await eventually(lambda: all(engine.report_requests for engine in here.engines()))
            for number in range(ROUNDS):
                await asyncio.sleep(0.4 if number == 0 else FORGOTTEN_S)
                counts, again, took_s = await _round(here, link, f"round-{number}")
                if took_s < QUICK_S:
                    assert counts == [SLOTS] * 3
                    assert again == ["e-1"] * SLOTS
                    return
            raise AssertionError("no round was quick enough")

    asyncio.run(scenario())


def test_a_router_avoids_an_engine_that_fails_what_is_sent_there():
    async def scenario():
        async with router_box(engines=2) as (here, link):
            await eventually(lambda: all(engine.report_requests for engine in here.engines()))
            for number in range(4):
                reply = await link.place(question(f"r{number}", tried=("e-1",)), 1.0)
                assert reply.endpoint == "e-0"
                await link.finished(FinishedNotice((EndedAttempt(f"r{number}", Outcome.FAILED),)), 1.0)
            placed = [(await link.place(question(f"q{n}"), 1.0)).endpoint for n in range(4)]
            assert placed == ["e-1"] * 4

    asyncio.run(scenario())


def test_a_prompt_that_is_given_up_does_not_count_as_work_of_its_engine():
    async def scenario():
        async with router_box(engines=1) as (here, link):
            await eventually(lambda: here.engines()[0].report_requests)
            busy = await link.place(question("r0", tokens=90_000), 1.0)
            assert busy.endpoint == "e-0"
            waits = [await link.place(question(f"q{n}", most_backlog_s=0.05), 1.0) for n in range(20)]
            assert all(reply.backlog_s > 0.05 for reply in waits)
            assert waits[-1].backlog_s <= waits[0].backlog_s
            await link.finished(FinishedNotice((EndedAttempt("r0", Outcome.NOT_SENT),)), 1.0)
            assert (await link.place(question("r1", most_backlog_s=0.05), 1.0)).backlog_s < 0.05

    asyncio.run(scenario())


def test_a_router_names_the_scope_of_a_walled_workspace_and_leaves_out_tried_engines():
    async def scenario():
        async with router_box(engines=2) as (_, link):
            reply = await link.place(question("r1", wall="w2", tried=("e-0",)), 1.0)
            assert (reply.endpoint, reply.scope) == ("e-1", f"w2{SCOPE}")
            none = await link.place(question("r2", tried=("e-0", "e-1")), 1.0)
            assert none.endpoint == ""
            assert (await link.place(question("r3", service="unknown"), 1.0)).endpoint == ""

    asyncio.run(scenario())


def test_a_router_passes_on_the_configuration_and_the_list_with_their_ages():
    async def scenario():
        async with router_box(engines=1) as (here, link):
            whole = await link.operators(OperatorsRequest(0, 0.0), 1.0)
            assert whole.changes.catalog.version == 1 and whole.age_s < 1.5
            assert "key-one" in whole.changes.catalog.workspaces_by_key
            waiting = asyncio.create_task(link.operators(OperatorsRequest(whole.changes.revision, 2.0), 1.0))
            await asyncio.sleep(0.2)
            here.put_configuration(2, routes=[route("plain", "/plain/", "plain")])
            changed = await waiting
            assert changed.changes.catalog.version == 2 and 0.1 < changed.held_s < 2.0
            same = await link.operators(OperatorsRequest(changed.changes.revision, 0.0), 1.0)
            assert same.changes.catalog is None and not same.changes.whole
            listed = await link.endpoints(EndpointsRequest(0, 0.0), 1.0)
            assert {item.id for item in listed.changes.present} == {"p-0", "e-0"}
            here.table.put("servers", "e-0", here.engines()[0].entry("draining"))
            later = await link.endpoints(EndpointsRequest(listed.changes.revision, 2.0), 1.0)
            assert any(item.leaving for item in later.changes.present)

    asyncio.run(scenario())


def test_a_router_whose_list_grows_old_says_so_without_waiting_longer():
    async def scenario():
        async with router_box(drain_ms=2000) as (here, link):
            listed = await link.endpoints(EndpointsRequest(0, 0.0), 1.0)
            here.table.down = True
            began = asyncio.get_running_loop().time()
            old = await link.endpoints(EndpointsRequest(listed.changes.revision, 10.0), 1.0)
            assert old.age_s > 1.0 and asyncio.get_running_loop().time() - began < 3.0

    asyncio.run(scenario())


def test_a_router_that_stops_closes_its_channels():
    async def scenario():
        async with router_box(engines=1) as (here, link):
            assert (await link.place(question("r1"), 1.0)).endpoint == "e-0"
            here.stop_box()
            await eventually(lambda: here.logged("router", outcome="closed"))
            assert await link.place(question("r2"), 1.0) is None

    asyncio.run(scenario())
