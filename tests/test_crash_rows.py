"""Rows of the table service in which boxes share crashes: writes, conflicts and expiry."""

import asyncio
import json

from result import Err, Ok

from stairquay.adapters.clock import monotonic
from stairquay.adapters.ports import Changes, Committed, Conflict, PlatformFault
from stairquay.core.catalog import Catalog
from stairquay.core.clock import ClockOffset
from stairquay.core.crashes import CRASH_TTL_S, Crash
from stairquay.core.position import NO_POSITION, Position
from stairquay.core.row import Row
from stairquay.serving.crash_rows import CrashRowSync, decode
from stairquay.serving.following import apply_endpoints, apply_operators
from stairquay.serving.ports import EndpointChanges, OperatorChanges
from stairquay.serving.quarantine import CrashReport
from stairquay.serving.state import MAX_CRASH_ROWS_WAIT_S, BoxState
from stairquay.serving.view_replies import crashes_since
from tests.site import eventually
from tests.states import box_state

NOW = 1_000.0
OFFSET = ClockOffset(50.0, 50.0)


class StubTable:
    """Answers commits with the given results and records them."""

    def __init__(self, *answers) -> None:
        self.answers = list(answers)
        self.commits = []

    def clock_offset(self):
        return OFFSET

    async def commit(self, commit):
        self.commits.append(commit)
        return self.answers.pop(0) if self.answers else Ok(Committed(7))


def row(key: str, revision: int, *crashes: tuple[str, int, float], **fields) -> Row:
    """Return a row of a box; each crash is a digest, an incarnation and its age in seconds."""
    encoded = [
        [digest, f"e-{incarnation}", NOW + 50.0 - ago_s, 0.1, 0] for digest, incarnation, ago_s in crashes
    ]
    return Row(key, json.dumps({"crashes": encoded, **fields}), revision)


def box_with_row_sync(monkeypatch, table: StubTable) -> tuple[BoxState, CrashRowSync]:
    for module in ("crash_rows", "quarantine"):
        monkeypatch.setattr(f"stairquay.serving.{module}.monotonic", lambda: NOW)
    state = box_state()
    return state, CrashRowSync(state, table)


def written_digests(table: StubTable) -> list[str]:
    return [item[0] for item in json.loads(table.commits[-1].writes[0].value)["crashes"]]


def test_what_a_process_before_wrote_stays_in_the_row(monkeypatch):
    existing = row("b-1", 5, ("before", 1, 10.0))
    table = StubTable(Ok(Conflict((existing,))))
    state, row_sync = box_with_row_sync(monkeypatch, table)
    state.quarantine.record_crashes([Crash("new", "e-2", NOW - 1.0, 0.1, 0)])
    assert not asyncio.run(row_sync._write())
    assert asyncio.run(row_sync._write())
    assert table.commits[-1].conditions[0].revision == 5
    assert sorted(written_digests(table)) == ["before", "new"]
    assert row_sync.revision == 7


def test_a_row_that_another_box_removed_is_written_anew(monkeypatch):
    table = StubTable(Ok(Committed(3)), Ok(Conflict((Row("b-1", None, 4),))))
    state, row_sync = box_with_row_sync(monkeypatch, table)
    state.quarantine.record_crashes([Crash("new", "e-2", NOW - 1.0, 0.1, 0)])
    assert asyncio.run(row_sync._write())
    assert not asyncio.run(row_sync._write())
    assert asyncio.run(row_sync._write())
    assert table.commits[-1].conditions[0].revision == 0


def test_a_write_without_an_answer_is_made_again(monkeypatch):
    table = StubTable(Err(PlatformFault.UNKNOWN))
    state, row_sync = box_with_row_sync(monkeypatch, table)
    state.quarantine.record_crashes([Crash("new", "e-2", NOW - 1.0, 0.1, 0)])
    assert not asyncio.run(row_sync._write()) and asyncio.run(row_sync._write())


def test_rows_in_which_nothing_counts_any_more_are_removed_and_no_others(monkeypatch):
    table = StubTable()
    state, row_sync = box_with_row_sync(monkeypatch, table)
    rows = (
        row("old", 1, ("a", 1, CRASH_TTL_S + 1)),
        row("young", 2, ("a", 2, CRASH_TTL_S + 1), ("a", 3, 5.0)),
        row("cleared", 3, cleared=[["a", NOW + 49.0]]),
    )
    changes = Changes(9, rows)
    row_sync._apply(changes, whole=True)
    asyncio.run(row_sync._remove_old(changes))
    assert [(item.writes[0].key, item.writes[0].value) for item in table.commits] == [("old", None)]
    assert table.commits[0].conditions[0].revision == 1


def test_three_crashes_told_by_three_boxes_are_enough_and_a_row_that_cannot_be_read_harms_nobody(monkeypatch):
    state, row_sync = box_with_row_sync(monkeypatch, StubTable())
    rows = [row(f"b-{number}", number, ("bad", number, 1.0)) for number in (2, 3, 4)]
    row_sync._apply(Changes(9, (*rows, Row("b-5", "]", 5))), whole=True)
    assert state.quarantine.remaining_s("bad") > CRASH_TTL_S - 2
    row_sync._apply(Changes(10, (Row("b-4", None, 10),)), whole=False)
    assert state.quarantine.remaining_s("bad") == 0


def test_times_in_a_row_are_those_of_the_table_service(monkeypatch):
    box_with_row_sync(monkeypatch, StubTable())
    assert decode(row("b-2", 1, ("a", 1, 30.0)), OFFSET).crashes[0].at == NOW - 30.0


def test_one_crash_of_a_request_that_was_then_served_is_forgotten():
    quarantine = box_state().quarantine
    quarantine.record_crashes([Crash("a", "e-1", 0.0, 0.1, 0)])
    quarantine.record_served(("a",))
    assert not quarantine.own_crashes and not quarantine.cleared


class LongPollTable(StubTable):
    """A table without changes: each long poll runs into its timeout."""

    polls = 0

    async def read(self):
        return Ok(Changes(1, ()))

    async def follow(self, after, wait_s):
        self.polls += 1
        await asyncio.sleep(wait_s)
        return Ok(Changes(after.revision, (), after.era))


def test_a_router_that_follows_the_rows_tells_of_them_all_the_time():
    """Otherwise boxes would bypass the router and read the rows themselves."""

    async def scenario():
        state = box_state()
        state.routers = (state.member,)
        table = LongPollTable()
        row_sync = CrashRowSync(state, table)
        follower = asyncio.create_task(row_sync.follow())
        await asyncio.sleep(0.1)
        while table.polls < 4:
            assert crashes_since(state, NO_POSITION)[0] == Position(0, 1)
            await asyncio.sleep(0.02)
        follower.cancel()

    asyncio.run(scenario())


def test_a_box_that_has_just_started_takes_requests_once_it_knows_crashes_or_has_waited():
    first_view = OperatorChanges(1, True, Catalog(1))
    for learn in (
        lambda state: state.quarantine.apply_rows({}, whole=True),
        lambda state: state.quarantine.apply_router_report(CrashReport(), Position(1, 1)),
        lambda state: setattr(state, "first_view_at", monotonic() - MAX_CRASH_ROWS_WAIT_S - 0.1),
    ):
        state = box_state()
        apply_operators(state, first_view, monotonic())
        apply_endpoints(state, EndpointChanges(1, True), monotonic())
        assert not state.ready()
        learn(state)
        assert state.ready()


def test_the_crash_that_begins_a_quarantine_is_written_at_once():
    """Guards against losing it with a box that is killed while its next write is due."""

    async def scenario():
        state, table = box_state(), StubTable()
        publishing = asyncio.create_task(CrashRowSync(state, table).publish())
        for number in (1, 2):
            state.quarantine.record_crashes([Crash("bad", f"e-{number}", monotonic(), 0.1, 0)])
        await eventually(lambda: table.commits)
        state.quarantine.record_crashes([Crash("bad", "e-3", monotonic(), 0.1, 0)])
        await eventually(lambda: len(table.commits) == 2, 0.2)
        assert written_digests(table) == ["bad"] * 3
        publishing.cancel()

    asyncio.run(scenario())
