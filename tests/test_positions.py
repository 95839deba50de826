"""What a box reads in one era of the table service is never taken for what it read in another.

After a restore the table service issues the same revisions again, so that a revision alone does not tell
which of two states is newer.
"""

import asyncio
import json
from random import Random

from aiohttp import ClientSession
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from stairquay.adapters.clock import monotonic
from stairquay.adapters.ports import Changes, Committed
from stairquay.core.catalog import Catalog
from stairquay.core.clock import ClockOffset
from stairquay.core.crashes import Crash
from stairquay.core.fleet import Endpoint
from stairquay.core.lease import HeldLease, LeaseRow, next_lease_row, observe
from stairquay.core.position import NO_POSITION, Position
from stairquay.core.routers import Member
from stairquay.core.row import Row
from stairquay.platform.rows import TableClient, decode_era
from stairquay.serving.boxes import BoxRegistry
from stairquay.serving.crash_rows import CrashRowSync
from stairquay.serving.following import apply_endpoints, apply_operators, follow_operators
from stairquay.serving.local_router import LocalRouter
from stairquay.serving.messages import EndpointsRequest, OperatorsReply, OperatorsRequest
from stairquay.serving.orders import RolloutController
from stairquay.serving.ports import EndpointChanges, FeedFault, OperatorChanges
from stairquay.serving.sharing import SharedFeeds
from stairquay.serving.state import RESTORE_GRACE_S, BoxState
from tests.standins.table import TableService
from tests.states import box_state

ENDPOINT = Endpoint("e-1", "s", "10.0.0.1:1")
positions = st.builds(Position, st.integers(1, 4), st.integers(0, 9))


def apply(state: BoxState, era: int, revision: int, version: int, **fields) -> None:
    """Apply a snapshot of operators' rows with a configuration of a version."""
    changes = OperatorChanges(revision, True, Catalog(version), era=era, **fields)
    apply_operators(state, changes, monotonic())


def end_grace(state: BoxState) -> None:
    state.restored_at -= RESTORE_GRACE_S


@given(st.lists(positions, max_size=12))
def test_positions_are_ordered_by_era_first(found):
    ordered = sorted(found)
    assert [item.era for item in ordered] == sorted(item.era for item in found)
    assert all(item > NO_POSITION for item in found)
    for before, after in zip(ordered, ordered[1:], strict=False):
        assert before.era < after.era or before.revision <= after.revision


@given(st.lists(positions, min_size=1, max_size=12))
def test_a_box_never_goes_back_to_an_earlier_era(found):
    state = box_state()
    for item in found:
        before = state.operators_position
        apply(state, item.era, item.revision, version=item.revision)
        assert state.operators_position.era == max(before.era, item.era)
    assert state.era == max(item.era for item in found)


def test_an_era_that_is_no_number_counts_as_none():
    assert [decode_era(text) for text in (None, "7", "-1", "x", "²")] == [0, 7, 0, 0, 0]


def test_a_feed_of_another_era_has_to_be_read_whole():
    async def scenario():
        table = TableService()
        await table.start()
        async with ClientSession() as session:
            client = TableClient(table.address, session)
            copy = table.snapshot()
            table.put("op", "a", 1)
            read = (await client.rows("op")).ok_value
            assert (read.era, read.ver) == (1, 1)
            table.restore(copy)
            table.put("op", "b", 1)
            table.put("op", "c", 1)
            assert await client.feed("op", Position(1, 1), 0.1) == Err(FeedFault.HISTORY_GONE)
            assert (await client.feed("op", Position(2, 1), 0.1)).ok_value.rows[0].key == "c"
            table.era = 1
            assert isinstance(await client.rows("op"), Err)
            table.era = "unknown"
            assert (await client.feed("op", Position(2, 1), 0.1)).ok_value.era == 2
        await table.runner.cleanup()

    asyncio.run(scenario())


def test_a_configuration_of_an_earlier_era_changes_nothing():
    state = box_state()
    apply(state, 2, 5, version=3)
    apply(state, 1, 900, version=9, evacuated=("hall-a",))
    assert state.catalog.version == 3 and not state.evacuated
    assert state.operators_position == Position(2, 5)


def test_what_a_restore_lost_holds_until_operators_have_had_time_to_write_it_again():
    state = box_state()
    apply(state, 1, 50, version=9, evacuated=("hall-a",))
    apply(state, 2, 20, version=7)
    assert state.catalog.version == 9 and state.evacuated == {"hall-a"}
    end_grace(state)
    apply(state, 2, 30, version=7)
    assert state.catalog.version == 7 and not state.evacuated


def test_a_rewritten_configuration_of_the_same_version_is_in_force_at_once():
    state = box_state()
    apply(state, 1, 50, version=9)
    rewritten = Catalog(9, keys_required=True)
    apply_operators(state, OperatorChanges(20, True, rewritten, era=2), monotonic())
    assert state.catalog == rewritten
    apply_operators(state, OperatorChanges(21, True, Catalog(9), era=2), monotonic())
    assert state.catalog == rewritten


def test_an_evacuation_that_is_taken_back_after_a_restore_ends_at_once():
    state = box_state()
    apply(state, 1, 50, version=1, evacuated=("hall-a",))
    apply(state, 2, 20, version=1, evacuated=("hall-a",))
    apply_operators(state, OperatorChanges(21, False, returned=("hall-a",), era=2), monotonic())
    assert not state.evacuated


def test_a_router_passes_on_all_of_a_new_era_also_if_nothing_differs():
    state = box_state()
    for era, revision in ((1, 50), (2, 20)):
        apply(state, era, revision, version=1)
        apply_endpoints(state, EndpointChanges(revision, True, (ENDPOINT,), era=era), monotonic())
    router = LocalRouter(state, Random(1))
    for era, whole in ((1, True), (2, False)):
        reply = router._operators_reply(OperatorsRequest(60, 0.0, era=era), monotonic())
        listed = router._endpoints_reply(EndpointsRequest(60, 0.0, era=era))
        assert (reply.changes.whole, listed.changes.whole) == (whole, whole)
        assert reply.changes.position == listed.changes.position == Position(2, 20)


def test_a_box_of_an_earlier_release_is_answered_by_revisions():
    state = box_state()
    apply(state, 3, 20, version=1)
    router = LocalRouter(state, Random(1))
    assert router._operators_reply(OperatorsRequest(19, 0.0), monotonic()).changes.whole
    assert not router._operators_reply(OperatorsRequest(20, 0.0), monotonic()).changes.whole


class RouterOfAnEarlierEra:
    """Stub of a router that has not heard of the restore, and of the client that calls it."""

    def client_for(self, _):
        return self

    def record_answer(self, _, answer, question):
        return answer

    async def operators(self, request, limit_s):
        return OperatorsReply(OperatorChanges(900, True, Catalog(1), era=1), 0.1, 0.0)


class RouterOfAnEarlierRelease(RouterOfAnEarlierEra):
    """Stub of a router that does not know eras."""

    async def operators(self, request, limit_s):
        return OperatorsReply(OperatorChanges(22, False), 0.1, 0.0)


class TableOfThisEra:
    """Stub of the table service."""

    async def follow_operators(self, after, wait_s):
        return Ok(OperatorChanges(21, False, era=2))


def test_a_router_that_has_not_heard_of_a_restore_is_not_followed_by_a_box_that_has():
    changes, from_router = followed_changes(RouterOfAnEarlierEra())
    assert changes.position == Position(2, 21) and not from_router


def test_a_router_that_names_no_era_is_followed():
    changes, from_router = followed_changes(RouterOfAnEarlierRelease())
    assert changes.position == Position(2, 22) and from_router


def followed_changes(router: RouterOfAnEarlierEra) -> tuple[OperatorChanges, bool]:
    """Follow operators' rows behind a router; return the changes, and whether they are the router's."""
    state = box_state("b-9")
    state.routers = (Member("r-1", "one"),)
    apply(state, 2, 20, version=2)
    feeds = SharedFeeds(state, TableOfThisEra(), router)
    changes = asyncio.run(feeds.follow_operators(state.operators_position, 0.1)).ok_value
    return changes, feeds.operators_from_router


@given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 1), st.booleans()), max_size=20))
def test_no_token_is_given_out_twice_whatever_a_restore_loses(steps):
    era, row, owner_by_token = 1, None, {}
    copies = [None]
    for holder, restored, copied in steps:
        if restored:
            era, row = era + 1, copies[-1]
        row = next_lease_row(row, holder, 5.0, era)
        assert owner_by_token.setdefault(row.token, holder) == holder
        if copied:
            copies.append(row)


def test_an_old_row_under_a_revision_that_was_issued_again_is_waited_out_anew():
    row = LeaseRow("a", 3, 10.0)
    seen = observe(None, row, Position(1, 7), 100.0)
    assert not observe(seen, row, Position(2, 7), 109.0).expired(110.0)


class LeaseTable:
    """The lease's row in the table service, in an era that a test sets."""

    def __init__(self, era: int, row: LeaseRow | None) -> None:
        self.era = era
        self.row = row

    async def get(self, key):
        value = None if self.row is None else json.dumps(vars(self.row))
        return Ok(Row(key, value, 0 if self.row is None else 5, self.era))

    async def commit(self, commit):
        return Ok(Committed(6, self.era))


def test_a_lease_that_a_restore_lost_is_waited_out():
    async def scenario():
        state = box_state()
        state.observe_era(Position(1, 5))
        for row in (None, LeaseRow(state.settings.id, 4, 1.0)):
            controller = RolloutController(state, LeaseTable(1, row), None)
            assert await controller._may_acquire()
        state.observe_era(Position(2, 3))
        for row in (None, LeaseRow(state.settings.id, 4, 1.0)):
            controller = RolloutController(state, LeaseTable(2, row), None)
            assert not await controller._may_acquire()
        state.era_since -= state.settings.lease.duration_s + state.settings.lease.handover_s
        assert await controller._may_acquire()

    asyncio.run(scenario())


def test_a_renewal_that_a_restored_table_service_takes_renews_nothing():
    async def scenario():
        controller = RolloutController(box_state(), LeaseTable(2, None), None)
        row = LeaseRow("b-1", 1, 3.0)
        controller.held_lease = HeldLease(row, Position(1, 5), monotonic() - 2.5)
        assert not await controller._hold_lease()
        assert controller.held_lease is None

    asyncio.run(scenario())


def test_boxes_whose_rows_a_restore_lost_count_until_they_can_have_written_them_again():
    state = box_state()
    registry = BoxRegistry(state, ClockedTable(), Random(1))
    rows = [Row(f"box/b-{number}", "", number, 1) for number in (2, 3)]
    registry._apply_rows(tuple(rows), monotonic())
    registry._apply_rows((Row("box/b-2", "", 2, 2),), monotonic())
    assert state.boxes == ("b-1", "b-2", "b-3")
    key = "box/b-3"
    registry.last_change_by_key[key] = (registry.last_change_by_key[key][0], monotonic() - 60.0)
    registry._apply_rows((Row("box/b-2", "", 4, 2),), monotonic())
    assert state.boxes == ("b-1", "b-2")


class ClockedTable:
    """Stub of a table of the table service, whose clock is this box's."""

    def clock_offset(self):
        return ClockOffset(0.0, 0.0)


def test_crashes_whose_rows_a_restore_lost_still_count():
    state = box_state()
    row_sync = CrashRowSync(state, ClockedTable())
    now = monotonic()
    rows = tuple(
        Row(f"b-{number}", json.dumps({"crashes": [["bad", f"e-{number}", now, 0.1, 0]]}), number, 1)
        for number in (2, 3, 4)
    )
    row_sync._apply(Changes(9, rows, 1), whole=True)
    assert state.quarantine.remaining_s("bad") > 0
    row_sync._apply(Changes(5, rows[:1], 2), whole=True)
    assert state.quarantine.remaining_s("bad") > 0
    assert state.quarantine.rows_position == Position(2, 5)


def test_a_box_writes_its_crashes_again_after_a_restore():
    state = box_state()
    state.observe_era(Position(1, 5))
    state.quarantine.record_crashes([Crash("bad", "e-1", monotonic(), 0.1, 0)])
    state.quarantine.unpublished = False
    state.observe_era(Position(2, 3))
    assert state.quarantine.unpublished


def test_a_restore_is_logged_with_both_positions_and_counted():
    state = box_state()
    apply(state, 1, 50, version=1)
    apply(state, 2, 20, version=1)
    line = next(json.loads(item) for item in state.log.lines if b"restored" in item)
    assert (line["era"], line["revision"]) == (2, 20)
    assert (line["era_before"], line["revision_before"]) == (1, 50)
    text = state.metrics.text().decode()
    assert "stairquay_table_era 2.0" in text and "stairquay_table_restores_total 1.0" in text


class ForwardedFeed:
    """Stub of operators' rows behind a router after a restore: nothing differs."""

    def __init__(self) -> None:
        self.reads = 0

    async def read_operators(self):
        self.reads += 1
        await asyncio.sleep(0.002)
        return Ok(OperatorChanges(20, False, era=2, forwarded=True))

    async def follow_operators(self, after, wait_s):
        await asyncio.sleep(0.1)
        return Ok(OperatorChanges(20, False, era=2, forwarded=True))


def test_a_box_behind_a_router_reads_a_snapshot_once_after_a_restore():
    async def scenario():
        state, feed = box_state(), ForwardedFeed()
        for era, revision in ((1, 50), (2, 20)):
            apply(state, era, revision, version=1, forwarded=True)
        end_grace(state)
        following = asyncio.create_task(follow_operators(state, feed))
        await asyncio.sleep(0.5)
        following.cancel()
        assert feed.reads == 1

    asyncio.run(scenario())


def test_entries_that_a_restore_lost_are_used_until_they_can_have_been_written_again():
    state, now = box_state(), monotonic()
    apply_endpoints(state, EndpointChanges(50, True, (ENDPOINT,), era=1), now - 10.0)
    apply_endpoints(state, EndpointChanges(20, True, (), era=2), now)
    assert state.fleet.usable("s", monotonic()) == [ENDPOINT]
