"""The age limit of replaced weights: clock offsets, rows of boxes, and predicted waits."""

import asyncio
from random import Random

from aiohttp import ClientSession
from hypothesis import example, given
from hypothesis import strategies as st

from stairquay.adapters.clock import monotonic
from stairquay.core.call import Part, PromptShape
from stairquay.core.catalog import Catalog, EngineSpec, ServiceSpec
from stairquay.core.clock import ClockOffset
from stairquay.core.fleet import Endpoint
from stairquay.core.routers import Member
from stairquay.platform.names import OWN_TABLE
from stairquay.platform.rows import OwnRows, TableClient
from stairquay.serving.boxes import KEY_PREFIX, BoxRegistry
from stairquay.serving.endpoint_choice import ChoiceRequest, choose_endpoint
from stairquay.serving.following import apply_operators
from stairquay.serving.orders import RolloutController
from stairquay.serving.ports import EngineReport, OperatorChanges
from stairquay.serving.state import BoxState
from tests.site import box_rows, eventually, set_target_version, site
from tests.standins.table import TableService, now_ms
from tests.states import box_state


@given(
    st.floats(-1e3, 1e3),
    st.lists(st.tuples(st.floats(0, 1e3), st.floats(0, 1), st.floats(0, 1)), min_size=1),
    st.floats(0, 1e3),
)
@example(256.0, [(0.0, 0.0, 0.0), (255.9999999999999, 0.3377974098528163, 0.0)], 0.0)
def test_a_time_by_another_clock_is_never_taken_for_later_than_it_was(offset_s, exchanges, at):
    known: ClockOffset | None = None
    for asked_at, request_s, response_s in exchanges:
        received_at = asked_at + request_s
        offset = ClockOffset.from_exchange(received_at + offset_s, asked_at, received_at + response_s)
        known = offset if known is None else known.narrowed(offset)
    assert known is not None
    shortest_s = min(request_s + response_s for _, request_s, response_s in exchanges)
    assert at - shortest_s - 1e-6 <= known.to_local(at + offset_s) <= at + 1e-6
    assert known.to_remote(at) <= at + offset_s + 1e-6


def test_a_clock_that_contradicts_what_was_known_of_it_is_taken_as_it_is_now():
    known = ClockOffset.from_exchange(100.0, 10.0, 10.1).narrowed(ClockOffset.from_exchange(30.0, 20.0, 20.2))
    assert (known.to_local(30.0), known.to_remote(20.2)) == (20.0, 30.0)


async def read_box_rows(table: TableService, boxes: BoxRegistry) -> None:
    found = await boxes.own.list_prefix(KEY_PREFIX)
    boxes._apply_rows(found.ok_value, monotonic())


def test_an_answer_that_is_late_on_its_way_makes_no_time_in_a_row_look_later():
    """Times in rows are by the table service's clock; a slow response must not shift them."""

    async def scenario():
        table = TableService()
        await table.start()
        assert table.runner is not None
        try:
            async with ClientSession() as session:
                state = box_state()
                boxes = BoxRegistry(state, OwnRows(TableClient(table.address, session)), Random(1))
                viewed_at = monotonic() - 5.0
                table.put(OWN_TABLE, KEY_PREFIX + "other", {"beat": 3, "viewed_at_s": now_ms() / 1000 - 5.0})
                table.delay_s_by_table = {OWN_TABLE: 0.5}
                await read_box_rows(table, boxes)
                assert viewed_at - 0.7 <= state.last_view_before_start <= viewed_at + 0.05
        finally:
            await table.runner.cleanup()

    asyncio.run(scenario())


def test_nothing_begins_on_replaced_weights_before_the_rows_of_boxes_were_read():
    """A starting box learns the age of replaced weights from these rows only."""

    async def scenario():
        async with site(plain=0, engines=1, version_ms=3000) as here:
            here.engines()[0].load_s = 60.0
            set_target_version(here, 2)
            await eventually(
                lambda: [named["version"] for row in box_rows(here) for named in row["named"]] == [2]
            )
            await here.kill_box()
            here.table.unavailable_tables = {OWN_TABLE}
            await asyncio.sleep(3.0)
            await here.start_box()
            await here.until_ready()
            answer = await here.prompt()
            assert answer.status == 503 and not here.engines()[0].received

    asyncio.run(scenario())


CATALOG = Catalog(1, services_by_id={"llm": ServiceSpec("llm", 100, EngineSpec(8, 200_000, 100, 1e9))})


def state_with_old_weights(replaced_s: float) -> BoxState:
    """Return the state of a router with one engine whose weights were replaced `replaced_s` ago."""
    state = box_state()
    state.version_history_known = True
    state.catalog = CATALOG
    engine = Endpoint("e-0", "llm", "10.0.1.0:1", "hall-a", 8, versions_by_model={"m": 1})
    state.fleet.apply([engine], [], monotonic())
    state.routers = (Member("b-1"),)
    state.routed_engines = frozenset({engine.id})
    report = EngineReport(versions_by_model={"m": 1}, running=1, total_tokens=200_000)
    state.endpoint_state(engine).on_report(report, monotonic())
    state.target_version_by_model["m"] = 2
    state.record_target_version("m", 2, monotonic() - replaced_s, "operators")
    return state


def test_a_prompt_goes_to_old_weights_only_where_its_first_token_comes_in_time():
    """A run begins with its first token, so the time of the prefill counts too."""
    sent_by_tokens = {}
    for tokens in (100, 10_000, 30_000, 60_000):
        request = ChoiceRequest(
            CATALOG.services_by_id["llm"], PromptShape("m", (Part("aa", tokens),), tokens, 20)
        )
        choice = choose_endpoint(state_with_old_weights(11.0), CATALOG, request, Random(1))
        sent_by_tokens[tokens] = choice is not None
    assert sent_by_tokens == {100: True, 10_000: False, 30_000: False, 60_000: False}


def test_an_engine_that_has_not_reported_yet_hurries_orders_by_the_age_of_its_weights():
    """A restarted engine still has its old weights, and reports only later."""
    state = state_with_old_weights(9.0)
    state.fleet.apply([Endpoint("e-1", "llm", "10.0.1.1:1", versions_by_model={"m": 1})], [], monotonic())
    ages_s = {
        engine.id: engine.replaced_s for engine in RolloutController(state, None, None)._engine_states()
    }
    assert 8.9 < ages_s["e-1"] < 9.5


def show_versions(state: BoxState, versions_by_model: dict[str, int], asked_at: float) -> None:
    """Apply operators' rows that were requested at `asked_at`."""
    apply_operators(state, OperatorChanges(1, True, versions_by_model=versions_by_model), asked_at)


async def learned_age_s(state: BoxState, row: dict[str, object]) -> float:
    """Return how long ago version 1 was replaced, after a box has read the row of another."""
    table = TableService()
    await table.start()
    assert table.runner is not None
    table.put(OWN_TABLE, KEY_PREFIX + "other", row)
    try:
        async with ClientSession() as session:
            await read_box_rows(
                table, BoxRegistry(state, OwnRows(TableClient(table.address, session)), Random(1))
            )
            return state.replaced_for_s("m", 1)
    finally:
        await table.runner.cleanup()


def test_a_box_that_was_held_up_for_long_makes_no_other_box_take_weights_for_too_old():
    """A suspended box dates a new version by its last view, which is too early. Boxes that saw the change
    must keep their own time, or they refuse prompts."""

    async def scenario():
        long_ago_s = now_ms() / 1000 - 17.0
        row = {"beat": 3, "named": [{"model": "m", "version": 2, "at_s": long_ago_s}]}
        now = monotonic()
        saw_change = box_state()
        show_versions(saw_change, {"m": 1}, now - 2.0)
        show_versions(saw_change, {"m": 2}, now - 1.0)
        assert 1.9 < await learned_age_s(saw_change, row) < 4.0
        started_later = box_state()
        show_versions(started_later, {"m": 2}, now)
        assert 16.9 < await learned_age_s(started_later, row) < 19.0

    asyncio.run(scenario())
