"""Engines whose weights fall back: an order of the life before is carried out in the new one."""

import asyncio
from dataclasses import replace

from stairquay.adapters.clock import monotonic
from stairquay.core.fleet import Endpoint
from stairquay.serving.endpoint import MAX_REPORT_LAG_S, EndpointState
from stairquay.serving.ports import EngineReport
from tests.site import MODEL, eventually, set_target_version, site
from tests.standins.endpoints import Endpoint as StandIn
from tests.test_lives import state_with

ENGINE = Endpoint("e", "llm", "10.0.1.1:1", "hall-a", 8, versions_by_model={"m": 2}, born=2_000)
AT_2, AT_3 = EngineReport({"m": 2}, born=2_000), EngineReport({"m": 3}, born=2_000)


def test_a_report_that_is_later_than_an_answer_counts_in_its_place():
    """The newest version that any answer had named counted for the rest of the life."""
    known, answered_at = EndpointState(born=2_000), 100.0
    known.on_answered_version("m", 3, answered_at)
    # What an engine says of itself is some hundred milliseconds old.
    for asked_at in (answered_at - 5.0, answered_at + MAX_REPORT_LAG_S / 2):
        known.on_report(AT_2, asked_at, asked_at)
        assert known.version_of(ENGINE, "m") == 3
    known.on_report(EngineReport({"other": 1}), answered_at + 5.0, answered_at + 5.0)
    assert known.version_of(ENGINE, "m") == 3, "a report that does not name the model tells nothing of it"
    known.on_report(AT_2, answered_at + 6.0, answered_at + 6.0)
    assert known.version_of(ENGINE, "m") == 2


def test_an_answer_that_is_later_than_a_report_counts_until_the_next():
    """Reports come rarely; an answer may be the first to tell of new weights."""
    known = EndpointState(born=2_000)
    known.on_report(AT_2, 100.0, 100.0)
    known.on_answered_version("m", 3, 100.5)
    known.on_answered_version("m", 2, 100.6)
    assert known.version_of(ENGINE, "m") == 3
    known.on_answered_version("m", 3, 101.5)
    known.on_report(AT_2, 102.0, 102.0)
    assert known.version_of(ENGINE, "m") == 3
    known.on_report(AT_3, 103.0, 103.0)
    known.on_report(AT_2, 102.5, 102.5)
    assert known.version_of(ENGINE, "m") == 3, "a report that was asked for earlier and came late"


def test_a_report_of_older_weights_wakes_those_who_wait_for_engines_to_update():
    """The list had told of the older weights before, while the last report still named the newer ones."""

    async def scenario():
        state = state_with(ENGINE)
        now = monotonic()
        state.apply_report(ENGINE, AT_3, now)
        waiting = asyncio.create_task(state.changed.wait_for(lambda: state.version_of(ENGINE, "m") == 2, 2.0))
        await asyncio.sleep(0)
        state.apply_report(ENGINE, AT_2, now + 1.0)
        assert await asyncio.wait_for(waiting, 0.5)

    asyncio.run(scenario())


def test_an_answer_that_began_long_before_a_report_and_ends_after_it_tells_nothing():
    """The end of a long stream made older weights count as newer again."""
    known = EndpointState(born=2_000)
    known.on_report(AT_2, 100.0, 100.0)
    known.on_answered_version("m", 3, 90.0)
    assert known.version_of(ENGINE, "m") == 2


def test_answers_of_a_life_before_tell_nothing_of_the_next():
    """A process that is back has the weights that its own report names."""
    state = state_with(replace(ENGINE, versions_by_model={"m": 1}, born=1_000))
    listed = state.fleet.by_id["e"]
    state.endpoint_state(listed).on_answered_version("m", 3, monotonic())
    state.apply_report(listed, AT_2, monotonic())
    assert state.version_of(listed, "m") == 2


async def start_again_and_serve(here, engine: StandIn) -> None:
    """Let an engine end, come back under its id with its weights and no orders, and serve a prompt."""
    engine.crash()
    await asyncio.sleep(0.3)
    engine.born, engine.sequence = 2_000, 0
    await engine.start_again()
    here.table.put("servers", engine.id, engine.entry())
    engine.received.clear()
    await asyncio.sleep(1.0)

    async def is_used() -> bool:
        await asyncio.gather(*(here.prompt(call_id=f"call-{number}") for number in range(4)))
        return bool(engine.received)

    await eventually(is_used)


def test_an_engine_that_carries_out_an_order_of_the_life_before_gets_the_newest_weights_again():
    """It kept the older weights for good, as boxes went by its earlier answers."""

    async def scenario():
        async with site(plain=0, engines=2) as here:
            engine = here.engines()[0]
            for each in here.engines():
                each.born = 1_000
                here.table.put("servers", each.id, each.entry())
            for version in (2, 3):
                set_target_version(here, version)
                await eventually(
                    lambda wanted=version: all(item.version == wanted for item in here.engines())
                )
            first = engine.orders[0]
            assert (first["version"], first["expected"]) == (2, 0)
            await start_again_and_serve(here, engine)
            assert engine.version == 3
            await asyncio.sleep(1.0)
            assert await engine.carry_out(first)
            here.table.put("servers", engine.id, engine.entry() | {"sequence": 2})
            assert engine.version == 2
            await eventually(lambda: engine.version == 3)
            assert engine.orders[-1]["version"] == 3 and engine.orders[-1]["model"] == MODEL

    asyncio.run(scenario())
