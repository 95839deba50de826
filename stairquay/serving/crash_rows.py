"""Shares what boxes know of crashes: each writes a row of its own, and some read those of all.

Routers that follow the table service do so for the others, which get what matters with their view of
operators' rows. A box that no router tells reads the rows itself.
"""

import asyncio

import msgspec
from absl import logging
from result import Err

from stairquay.adapters.clock import monotonic
from stairquay.adapters.ports import Changes, Commit, Committed, Condition, Write
from stairquay.core.clock import ClockOffset
from stairquay.core.crashes import CRASH_TTL_S, Crash
from stairquay.core.row import Row
from stairquay.serving.ports import CrashTable, FeedFault
from stairquay.serving.quarantine import Told
from stairquay.serving.state import BoxState

GATHER_S = 0.2
"""Seconds for which crashes are gathered before they are written: all connections of one break within
that."""

PAUSE_S = 0.8
"""Seconds between two writes of a box: every call is priced. What it tells is known everywhere within 2 s."""

AGAIN_S = 0.4
"""Seconds before a call that got no answer is made again. After an outage, a call under way may hang for 2.7
s; with 1 s before the next one, a crash was known at all boxes 3.4 s after the outage, in a soak."""

WAIT_S = 2.0
"""Seconds for which a call waits for changes of rows: every call is priced, and two routers always wait."""

READ_PAUSE_S = 0.2
"""Seconds between two such calls, in which the rows of many boxes come together."""

STALE_S = 5.2
"""Seconds after which what a box read of the rows is too old to pass on. What was read last is that old when
two calls that wait have followed each other, and the second one got its answer as late as it may: 4.9 s."""


class CrashRow(msgspec.Struct, frozen=True):
    """A box's row: [digest, life, at, ran_s, events] of crashes, and [digest, at] of requests that are
    above suspicion. Times are seconds of the table service's clock."""

    crashes: tuple[tuple[str, str, float, float, int | None], ...] = ()
    cleared: tuple[tuple[str, float], ...] = ()


class CrashRows:
    """Writes this box's row, and follows those of all while no router tells of them."""

    def __init__(self, state: BoxState, table: CrashTable) -> None:
        self.state = state
        self.table = table
        self.revision = 0

    async def tell(self) -> None:
        """Write this box's row whenever there is something new in it, until cancelled."""
        quarantine = self.state.quarantine
        while True:
            await quarantine.changed.until(lambda: quarantine.untold)
            await asyncio.sleep(GATHER_S)
            while quarantine.untold:
                quarantine.untold = False
                written = await self._write()
                # More may have come while it was written.
                quarantine.untold = quarantine.untold or not written
                await asyncio.sleep(PAUSE_S if written else AGAIN_S)

    async def follow(self) -> None:
        """Keep to what boxes' rows tell, as long as this box has to read them itself, until cancelled."""
        quarantine = self.state.quarantine
        while True:
            if not self._has_to_follow():
                quarantine.forget_rows()
                await self.state.changed.until(self._has_to_follow)
            asked_at = monotonic()
            whole = quarantine.rows_revision < 0
            answer = await (
                self.table.read() if whole else self.table.follow(quarantine.rows_revision, WAIT_S)
            )
            if isinstance(answer, Err):
                if answer.err_value == FeedFault.HISTORY_GONE:
                    quarantine.rows_revision = -1
                    continue
                await asyncio.sleep(AGAIN_S)
                continue
            self._apply(answer.ok_value, whole)
            quarantine.rows_asked_at = asked_at
            await self._remove_old(answer.ok_value)
            await asyncio.sleep(READ_PAUSE_S)

    def _has_to_follow(self) -> bool:
        return self.state.follows or not self.state.quarantine.router_tells

    def _apply(self, changes: Changes, whole: bool) -> None:
        offset = self.table.clock_offset()
        if offset is None:
            return
        told = {row.key: None if row.value is None else decode(row, offset) for row in changes.rows}
        quarantine = self.state.quarantine
        quarantine.rows_revision = changes.revision
        if whole or told:
            quarantine.rows_changed = changes.revision
            quarantine.take_rows(told, whole)

    async def _remove_old(self, changes: Changes) -> None:
        """Remove rows in which nothing counts any more, as those of boxes that are gone."""
        now = monotonic()
        for row in changes.rows:
            told = self.state.quarantine.told_by_key.get(row.key)
            if told is None or any(now - at < CRASH_TTL_S for at in told.times()):
                continue
            await self.table.commit(Commit("", (Condition(row.key, row.revision),), (Write(row.key, None),)))

    async def _write(self) -> bool:
        """Write this box's row; tell whether it stands there now."""
        offset, quarantine = self.table.clock_offset(), self.state.quarantine
        if offset is None:
            return False
        row = CrashRow(
            tuple(
                (item.digest, item.incarnation, offset.to_remote(item.at), item.ran_s, item.events)
                for item in quarantine.own.values()
            ),
            tuple((digest, offset.to_remote(at)) for digest, at in quarantine.cleared.items()),
        )
        key, value = self.state.settings.id, msgspec.json.encode(row).decode()
        answer = await self.table.commit(Commit("", (Condition(key, self.revision),), (Write(key, value),)))
        if isinstance(answer, Err):
            return False
        outcome = answer.ok_value
        if isinstance(outcome, Committed):
            self.revision = outcome.revision
            return True
        # A process of this box before wrote a row, or a write without an answer was done.
        standing = next((item for item in outcome.rows if item.key == key and item.value is not None), None)
        self.revision = 0 if standing is None else standing.revision
        if standing is not None:
            quarantine.take_own_row(decode(standing, offset))
        return False


def decode(row: Row, offset: ClockOffset) -> Told:
    """Return what a row tells, by our clock. One that cannot be read tells nothing."""
    try:
        told = msgspec.json.decode(row.value or "{}", type=CrashRow)
    except msgspec.MsgspecError as error:
        logging.warning("row %s cannot be read: %s", row.key, error)
        return Told()
    now = monotonic()
    crashes = (
        Crash(digest, life, min(now, offset.to_local(at)), ran_s, events)
        for digest, life, at, ran_s, events in told.crashes
    )
    return Told(tuple(crashes), {digest: min(now, offset.to_local(at)) for digest, at in told.cleared})
