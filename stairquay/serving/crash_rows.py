"""Shares crash reports between boxes through rows in the table service, one row for each box.

Followers of the table service read all rows and forward a summary to the other boxes. A box without a
follower reads the rows itself.
"""

import asyncio
from logging import getLogger
from random import random

import msgspec
from result import Err

from stairquay.adapters.clock import monotonic
from stairquay.adapters.ports import Changes, Commit, Committed, Condition, Write
from stairquay.core.clock import ClockOffset
from stairquay.core.crashes import CRASH_TTL_S, Crash
from stairquay.core.malformed import MALFORMED
from stairquay.core.position import NO_POSITION
from stairquay.core.row import Row
from stairquay.core.whole_numbers import WholeNumber
from stairquay.serving.heard_crashes import CrashReport
from stairquay.serving.ports import CrashTable, FeedFault
from stairquay.serving.state import BoxState

LOGGER = getLogger(__name__)

BATCH_S = 0.2
"""Seconds for which crashes are collected before a write, since a crash breaks many connections."""

REWRITE_SPREAD_S = 0.8
"""Seconds over which boxes write their rows again after a restore of the table service."""

WRITE_PAUSE_S = 0.8
"""Seconds between two writes of a box, since calls to the table service are billed. Crashes are still known
at all boxes within 2 s."""

RETRY_S = 0.4
"""Seconds before a failed call is retried. After an outage a call in progress may hang for 2.7 s; with a
retry after 1 s, a crash was known at all boxes only 3.4 s after the outage."""

HEARD_PAUSE_S = 0.1
"""Seconds between two judgements of what other boxes tell: all of a deployment tell of the same crash."""

HEARD_TIME_SHARE = 0.1
"""Most of a box's time that these judgements take. With 330 boxes that tell at once, one takes 0.11 s."""

LONG_POLL_S = 2.0
"""Seconds for which a call waits for changes of rows. Calls are billed, and two routers always wait."""

READ_PAUSE_S = 0.2
"""Seconds between two such calls, so that one returns the changes of many boxes."""

STALE_S = 5.2
"""Seconds after which a view of the rows is not forwarded: more than two long polls, one of them late. A view
gets 4.9 s old in that case."""


class CrashRow(msgspec.Struct, frozen=True):
    """A box's row.

    crashes: [digest, incarnation, at, ran_s, events], as in core.crashes.Crash. cleared: [digest, at] of
    requests cleared of suspicion. Times are seconds of the table service's clock.
    """

    crashes: tuple[tuple[str, str, float, float, WholeNumber | None], ...] = ()
    cleared: tuple[tuple[str, float], ...] = ()


class CrashRowSync:
    """Writes this box's row, and follows all rows as a follower or while no router forwards them.

    revision: of this box's row, 0 if there is none. written_era: of the last write of it, 0 for none.
    """

    def __init__(self, state: BoxState, table: CrashTable) -> None:
        self.state = state
        self.table = table
        self.revision = 0
        self.written_era = 0

    async def publish(self) -> None:
        """Write this box's row whenever it is out of date, until cancelled."""
        quarantine = self.state.quarantine
        while True:
            await quarantine.changed.wait_for(lambda: quarantine.unpublished)
            restored = 0 < self.written_era < self.state.era
            await asyncio.sleep(random() * REWRITE_SPREAD_S if restored else BATCH_S)
            while quarantine.unpublished:
                quarantine.unpublished = quarantine.urgent = False
                written = await self._write()
                # A crash may have been recorded during the write.
                quarantine.unpublished = quarantine.unpublished or not written
                if written:
                    # The crash that begins a quarantine must not be lost with this box.
                    await quarantine.changed.wait_for(lambda: quarantine.urgent, WRITE_PAUSE_S)
                else:
                    await asyncio.sleep(RETRY_S)

    async def apply_heard(self) -> None:
        """Judge what other boxes tell in messages, several reports at a time, until cancelled."""
        quarantine = self.state.quarantine
        while True:
            await quarantine.changed.wait_for(lambda: quarantine.heard.is_new)
            begun = monotonic()
            quarantine.apply_heard()
            await asyncio.sleep(max(HEARD_PAUSE_S, (monotonic() - begun) / HEARD_TIME_SHARE))

    async def follow(self) -> None:
        """Apply the rows of all boxes while this box has to read them itself, until cancelled."""
        quarantine = self.state.quarantine
        history_gone = False
        while True:
            if not self._must_follow():
                quarantine.clear_rows()
                await self.state.changed.wait_for(self._must_follow)
            asked_at = monotonic()
            whole = history_gone or quarantine.rows_position == NO_POSITION
            answer = await (
                self.table.read() if whole else self.table.follow(quarantine.rows_position, LONG_POLL_S)
            )
            if isinstance(answer, Err):
                history_gone = answer.err_value == FeedFault.HISTORY_GONE
                if not history_gone:
                    await asyncio.sleep(RETRY_S)
                continue
            history_gone = False
            self._apply(answer.ok_value, whole)
            quarantine.rows_asked_at = asked_at
            await self._remove_old(answer.ok_value)
            await asyncio.sleep(READ_PAUSE_S)

    def _must_follow(self) -> bool:
        return self.state.is_follower or not self.state.quarantine.router_reporting

    def _apply(self, changes: Changes, whole: bool) -> None:
        offset = self.table.clock_offset()
        if offset is None:
            return
        reports = {row.key: None if row.value is None else decode(row, offset) for row in changes.rows}
        quarantine = self.state.quarantine
        self.state.observe_era(changes.position)
        # Boxes write rows again that a restore has lost; until then, what was read of them holds.
        restored = quarantine.rows_position != NO_POSITION and changes.era != quarantine.rows_position.era
        quarantine.rows_position = changes.position
        if whole or reports:
            quarantine.rows_changed_position = changes.position
            quarantine.apply_rows(reports, whole and not restored)

    async def _remove_old(self, changes: Changes) -> None:
        """Delete rows whose entries have all expired, such as those of boxes that are gone."""
        now = monotonic()
        for row in changes.rows:
            report = self.state.quarantine.reports_by_key.get(row.key)
            if report is None or any(now - at < CRASH_TTL_S for at in report.timestamps()):
                continue
            await self.table.commit(Commit("", (Condition(row.key, row.revision),), (Write(row.key, None),)))

    async def _write(self) -> bool:
        """Write this box's row; return whether it was committed."""
        offset, quarantine = self.table.clock_offset(), self.state.quarantine
        if offset is None:
            return False
        row = CrashRow(
            tuple(
                (item.digest, item.incarnation, offset.to_remote(item.at), item.ran_s, item.events)
                for item in quarantine.own_crashes.values()
            ),
            tuple((digest, offset.to_remote(at)) for digest, at in quarantine.cleared.items()),
        )
        key, value = self.state.settings.id, msgspec.json.encode(row).decode()
        answer = await self.table.commit(Commit("", (Condition(key, self.revision),), (Write(key, value),)))
        if isinstance(answer, Err):
            return False
        outcome = answer.ok_value
        if isinstance(outcome, Committed):
            self.revision, self.written_era = outcome.revision, outcome.era
            return True
        # An earlier process wrote the row, or a write whose answer was lost succeeded.
        current = next((item for item in outcome.rows if item.key == key and item.value is not None), None)
        self.revision = 0 if current is None else current.revision
        if current is not None:
            quarantine.restore_own_row(decode(current, offset))
        return False


def decode(row: Row, offset: ClockOffset) -> CrashReport:
    """Return a row's report with times of this box's clock; an empty one if the row is malformed."""
    try:
        decoded = msgspec.json.decode(row.value or "{}", type=CrashRow)
    except MALFORMED as error:
        LOGGER.warning("cannot decode crash row %s: %s", row.key, error)
        return CrashReport()
    now = monotonic()
    crashes = (
        Crash(digest, incarnation, min(now, offset.to_local(at)), ran_s, events)
        for digest, incarnation, at, ran_s, events in decoded.crashes
    )
    return CrashReport(
        tuple(crashes), {digest: min(now, offset.to_local(at)) for digest, at in decoded.cleared}
    )
