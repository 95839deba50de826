"""When a box writes its row early, for boxes that start after all others have ended."""

import asyncio
import json
from random import Random

import pytest
from msgspec import structs
from result import Err, Ok, Result

from stairquay.adapters.clock import monotonic
from stairquay.adapters.ports import Commit, Committed, PlatformFault
from stairquay.core.clock import ClockOffset
from stairquay.core.fleet import Endpoint
from stairquay.core.row import Row
from stairquay.core.software import MEMORY_S
from stairquay.serving.boxes import RETRY_S, BoxRegistry
from stairquay.serving.state import BoxState
from tests.states import box_state

V1 = Endpoint("e-1", "llm", "h:1", software="v1")
V2 = Endpoint("e-2", "llm", "h:2", software="v2")


class Table:
    """A table service that takes rows, or none. rows: as written. calls: reads and writes."""

    def __init__(self) -> None:
        self.rows: list[dict] = []
        self.calls = 0
        self.takes_writes = True
        self.takes_reads = True

    def clock_offset(self) -> ClockOffset:
        return ClockOffset(0.0, 0.0)

    async def list_prefix(self, _: str) -> Result[tuple[Row, ...], PlatformFault]:
        self.calls += 1
        return Ok(()) if self.takes_reads else Err(next(iter(PlatformFault)))

    async def commit(self, commit: Commit) -> Result[Committed, PlatformFault]:
        self.calls += 1
        if not self.takes_writes:
            return Err(next(iter(PlatformFault)))
        self.rows.append(json.loads(commit.writes[0].value))
        return Ok(Committed(1))


def registry_of(state: BoxState, table: Table) -> BoxRegistry:
    """Return a registry that has read the rows."""
    registry = BoxRegistry(state, table, Random(1))  # type: ignore[arg-type]
    registry._apply_rows((), monotonic())
    return registry


def follow_no_longer(state: BoxState) -> None:
    state.routers = tuple(structs.replace(state.member, id=f"a-{number}") for number in (1, 2))
    assert not state.is_follower


def test_a_version_is_published_that_comes_after_an_empty_list():
    """Guards against streams of the very first version, whose row names none."""
    state, table = box_state(), Table()
    registry = registry_of(state, table)
    state.software.observe([], monotonic())
    asyncio.run(registry._write_heartbeat())
    assert not registry._has_unpublished_versions()
    state.software.observe([V1], monotonic())
    assert registry._has_unpublished_versions()


@pytest.mark.parametrize("followed_before", (True, False))
def test_a_box_that_becomes_a_follower_publishes_the_versions(followed_before: bool):
    """Guards against a row that names no version since its box did not follow when it wrote it."""
    state, table = box_state(), Table()
    registry = registry_of(state, table)
    routers = state.routers
    state.software.observe([V1, V2], monotonic())
    if followed_before:
        asyncio.run(registry._write_heartbeat())
        assert "software" in table.rows[-1] and not registry._has_unpublished_versions()
    follow_no_longer(state)
    asyncio.run(registry._write_heartbeat())
    assert "software" not in table.rows[-1] and not registry._has_unpublished_versions()
    state.routers = routers
    assert registry._has_unpublished_versions()


def test_a_version_that_returns_late_is_published_with_its_new_time():
    """Guards against a version that boxes forget by its old time although endpoints have it again."""
    state, table = box_state(), Table()
    registry = registry_of(state, table)
    gone_at = monotonic() - MEMORY_S + 2
    state.software.observe([V1, V2], gone_at)
    state.software.observe([V1], gone_at)
    asyncio.run(registry._write_heartbeat())
    assert not registry._has_unpublished_versions()
    state.software.observe([V1, V2], monotonic())
    assert registry._has_unpublished_versions()


def test_a_table_service_that_takes_no_writes_is_not_called_more_often_for_a_new_version():
    """Guards against a box that calls twice a second for as long as it can publish nothing."""

    async def scenario() -> int:
        state, table = box_state(), Table()
        table.takes_writes = False
        state.software.observe([V1], monotonic())
        running = asyncio.create_task(registry_of(state, table).run())
        await asyncio.sleep(6.0)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        return table.calls

    assert asyncio.run(scenario()) <= 10


def test_rows_that_are_wanted_after_a_gap_of_the_list_are_read_before_the_next_heartbeat():
    """Guards against streams that are refused for four seconds after a pause, until rows are read again."""

    async def scenario() -> tuple[int, int]:
        state, table = box_state(), Table()
        running = asyncio.create_task(registry_of(state, table).run())
        await asyncio.sleep(1.5)
        before = table.calls
        await asyncio.sleep(0.3)
        calm = table.calls - before
        wanted_at = state.rows_wanted_at = monotonic()
        state.changed.notify_all()
        await asyncio.sleep(0.3)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        assert state.rows_asked_at >= wanted_at
        return calm, table.calls - before - calm

    calm, wanted = asyncio.run(scenario())
    assert calm == 0 and wanted == 2, "one read and one write"


def test_rows_that_cannot_be_read_are_not_asked_for_again_and_again():
    """Guards against calls without pause while streams wait for rows and the table service refuses reads."""

    async def scenario() -> int:
        state, table = box_state(), Table()
        running = asyncio.create_task(registry_of(state, table).run())
        await asyncio.sleep(1.5)
        before, table.takes_reads = table.calls, False
        for _ in range(40):
            state.rows_wanted_at = monotonic()
            state.changed.notify_all()
            await asyncio.sleep(0.05)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        return table.calls - before

    assert asyncio.run(scenario()) <= 2 * 2.0 / RETRY_S + 2, "a read and a write each half a second"
