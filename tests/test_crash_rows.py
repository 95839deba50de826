"""Rows in which boxes tell each other of crashes: what was written before counts, and what counts no more
goes."""

import asyncio
import json
from random import Random

from result import Err, Ok

from stairquay.adapters.ports import Changes, Committed, Conflict, PlatformFault
from stairquay.core.clock import ClockOffset
from stairquay.core.crashes import CRASH_TTL_S, Crash
from stairquay.core.row import Row
from stairquay.serving.crash_rows import CrashRowSync, decode
from stairquay.serving.local_router import LocalRouter
from stairquay.serving.state import BoxState
from tests.states import box_state

NOW = 1_000.0
OFFSET = ClockOffset(50.0, 50.0)


class Table:
    """A table service that answers commits as the test wants, and notes them."""

    def __init__(self, *answers) -> None:
        self.answers = list(answers)
        self.commits = []

    def clock_offset(self):
        return OFFSET

    async def commit(self, commit):
        self.commits.append(commit)
        return self.answers.pop(0) if self.answers else Ok(Committed(7))


def row(key: str, revision: int, *crashes: tuple[str, int, float], **fields) -> Row:
    """A box's row; times are seconds ago."""
    told = [[digest, f"e-{life}", NOW + 50.0 - ago_s, 0.1, 0] for digest, life, ago_s in crashes]
    return Row(key, json.dumps({"crashes": told, **fields}), revision)


def box(monkeypatch, table: Table) -> tuple[BoxState, CrashRowSync]:
    for module in ("crash_rows", "quarantine"):
        monkeypatch.setattr(f"stairquay.serving.{module}.monotonic", lambda: NOW)
    state = box_state()
    return state, CrashRowSync(state, table)


def written(table: Table) -> list[str]:
    return [item[0] for item in json.loads(table.commits[-1].writes[0].value)["crashes"]]


def test_what_a_process_before_wrote_stays_in_the_row(monkeypatch):
    standing = row("b-1", 5, ("before", 1, 10.0))
    table = Table(Ok(Conflict((standing,))))
    state, rows = box(monkeypatch, table)
    state.quarantine.record_crashes([Crash("new", "e-2", NOW - 1.0, 0.1, 0)])
    assert not asyncio.run(rows._write())
    assert asyncio.run(rows._write())
    assert table.commits[-1].conditions[0].revision == 5
    assert sorted(written(table)) == ["before", "new"]
    assert rows.revision == 7


def test_a_row_that_another_box_removed_is_written_anew(monkeypatch):
    table = Table(Ok(Committed(3)), Ok(Conflict((Row("b-1", None, 4),))))
    state, rows = box(monkeypatch, table)
    state.quarantine.record_crashes([Crash("new", "e-2", NOW - 1.0, 0.1, 0)])
    assert asyncio.run(rows._write())
    assert not asyncio.run(rows._write())
    assert asyncio.run(rows._write())
    assert table.commits[-1].conditions[0].revision == 0


def test_a_write_without_an_answer_is_made_again(monkeypatch):
    table = Table(Err(PlatformFault.UNKNOWN))
    state, rows = box(monkeypatch, table)
    state.quarantine.record_crashes([Crash("new", "e-2", NOW - 1.0, 0.1, 0)])
    assert not asyncio.run(rows._write()) and asyncio.run(rows._write())


def test_rows_in_which_nothing_counts_any_more_are_removed_and_no_others(monkeypatch):
    table = Table()
    state, rows = box(monkeypatch, table)
    told = (
        row("old", 1, ("a", 1, CRASH_TTL_S + 1)),
        row("young", 2, ("a", 2, CRASH_TTL_S + 1), ("a", 3, 5.0)),
        row("cleared", 3, cleared=[["a", NOW + 49.0]]),
    )
    changes = Changes(9, told)
    rows._apply(changes, whole=True)
    asyncio.run(rows._remove_old(changes))
    assert [(item.writes[0].key, item.writes[0].value) for item in table.commits] == [("old", None)]
    assert table.commits[0].conditions[0].revision == 1


def test_three_crashes_told_by_three_boxes_are_enough_and_a_row_that_cannot_be_read_harms_nobody(monkeypatch):
    state, rows = box(monkeypatch, Table())
    told = [row(f"b-{number}", number, ("bad", number, 1.0)) for number in (2, 3, 4)]
    rows._apply(Changes(9, (*told, Row("b-5", "]", 5))), whole=True)
    assert state.quarantine.remaining_s("bad") > CRASH_TTL_S - 2
    rows._apply(Changes(10, (Row("b-4", None, 10),)), whole=False)
    assert state.quarantine.remaining_s("bad") == 0


def test_times_in_a_row_are_those_of_the_table_service(monkeypatch):
    box(monkeypatch, Table())
    assert decode(row("b-2", 1, ("a", 1, 30.0)), OFFSET).crashes[0].at == NOW - 30.0


def test_one_crash_of_a_request_that_was_then_served_is_forgotten():
    quarantine = box_state().quarantine
    quarantine.record_crashes([Crash("a", "e-1", 0.0, 0.1, 0)])
    quarantine.record_served("a")
    assert not quarantine.own_crashes and not quarantine.cleared


class HeldTable(Table):
    """A table service in which nothing changes: each question for changes is held to its end."""

    questions = 0

    async def read(self):
        return Ok(Changes(1, ()))

    async def follow(self, after, wait_s):
        self.questions += 1
        await asyncio.sleep(wait_s)
        return Ok(Changes(after, ()))


def test_a_router_that_follows_the_rows_tells_of_them_all_the_time():
    """Else each box would read them itself whenever its router seems to have lost them."""

    async def scenario():
        state = box_state()
        state.routers = (state.member,)
        table = HeldTable()
        rows, router = CrashRowSync(state, table), LocalRouter(state, Random(1))
        following = asyncio.create_task(rows.follow())
        await asyncio.sleep(0.1)
        while table.questions < 4:
            assert router._crashes_since(-1)[0] == 1
            await asyncio.sleep(0.02)
        following.cancel()

    asyncio.run(scenario())
