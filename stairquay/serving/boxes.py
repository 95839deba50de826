"""Registry of live boxes: each writes heartbeats to the table service and reads those of the others."""

import asyncio
from collections.abc import Mapping
from logging import getLogger
from math import inf
from random import Random

import msgspec
from msgspec import UNSET, UnsetType
from result import Err

from stairquay.adapters.clock import monotonic
from stairquay.adapters.ports import Commit, Committed, Condition, Write
from stairquay.core.clock import ClockOffset
from stairquay.core.malformed import MALFORMED
from stairquay.core.position import Position
from stairquay.core.routers import Member, pick_routers
from stairquay.core.row import Row
from stairquay.core.software import MEMORY_S
from stairquay.core.stream_origins import BegunStreams
from stairquay.core.whole_numbers import WholeNumber
from stairquay.serving.endpoint import NEVER
from stairquay.serving.event_log import LogEvent
from stairquay.serving.ports import OwnTable
from stairquay.serving.state import BoxState

LOGGER = getLogger(__name__)

KEY_PREFIX = "box/"
HEARTBEAT_INTERVAL_S = 4.0

FIRST_HEARTBEAT_INTERVAL_S = 1.0
"""Shorter at first, so that boxes that start together find each other soon."""

HEARTBEAT_INTERVAL_GROWTH = 4.0
"""Factor per heartbeat, up to the usual interval."""

MAX_BOXES_AT_MIN_INTERVAL = 20
"""With more boxes the interval grows with their number, to limit the calls. Calls to the table service are
billed."""

MISSED_HEARTBEATS = 3.5
"""Intervals without a heartbeat after which a box counts as gone."""

JITTER = 0.2
"""Random share of the interval, so that boxes do not write together."""

TELL_INTERVAL_S = 1.0
"""Seconds between two rows of the box that tells of streams while versions of endpoints' software differ.
When all boxes end at once, streams that began since the last one can't be taken up."""

RETRY_S = 0.5
"""Pause after a failed write."""

MAX_FAILURES_COUNTED = 3
"""Failed writes in a row that lengthen the pause before anything is published early."""


class TargetVersion(msgspec.Struct, frozen=True):
    """A target version of a model, set at `at_s` seconds of the table service's monotonic clock."""

    model: str
    version: WholeNumber
    at_s: float


class ListedSoftware(msgspec.Struct, frozen=True, array_like=True):
    """A version of the software of a service's endpoints, last listed at `at_s` of the same clock."""

    service: str
    version: str
    at_s: float


class BoxHeartbeat(msgspec.Struct, frozen=True):
    """A box's row, which changes with every heartbeat.

    named: target versions, which tell starting boxes for how long weights have been replaced. viewed_at_s:
    time of the box's view by the table service's clock; versions that `named` lacks were set later.
    software: the versions that were listed lately, which tell starting boxes after all others have ended at
    which ones streams may have begun. begun: where such versions differ, the streams whose callers may still
    come back. Only followers of the table service write these two.
    """

    beat: WholeNumber
    address: str = ""
    capacity: float = 0.0
    data_hall: str = ""
    named: tuple[TargetVersion, ...] = ()
    viewed_at_s: float | None = None
    front: str = ""
    software: tuple[ListedSoftware, ...] | UnsetType = UNSET
    begun: tuple[BegunStreams, ...] | UnsetType = UNSET


class BoxRegistry:
    """Writes this box's heartbeats, and keeps the list of live boxes and of routers."""

    def __init__(self, state: BoxState, own: OwnTable, random: Random) -> None:
        self.state = state
        self.own = own
        self.random = random
        self.revision: int | None = None
        self.beat = 0
        self.last_change_by_key: dict[str, tuple[Position, float]] = {}
        self.write_failed = False
        # When rows were requested last, and the same less the time in which no box could renew its row.
        self.read_at = NEVER
        # When they were requested last, whether they came or not.
        self.tried_at = NEVER
        self.heard_at = NEVER
        self.era = 0
        self.rows_by_key: dict[str, Row] = {}
        # Rows that a restore of the table service lost, until they are written again.
        self.lost_rows_by_key: dict[str, Row] = {}
        self.published_versions: dict[str, int] = {}
        # Number of stream origins that had been recorded when this box's row was written.
        self.published_streams = 0
        # When each version of endpoints' software was last listed, as this box's row says; empty if it says
        # nothing of versions.
        self.published_software: dict[tuple[str, str], float] = {}
        self.failed_writes = 0

    async def run(self) -> None:
        """Read rows and write heartbeats, until cancelled."""
        while True:
            self.tried_at = asked_at = monotonic()
            found = await self.own.list_prefix(KEY_PREFIX)
            if not isinstance(found, Err):
                self._apply_rows(found.ok_value, asked_at)
            await self._renew_row()
            if self.write_failed:
                await asyncio.sleep(RETRY_S)
            if not self.state.version_history_known:
                continue
            pause_s = self._next_pause_s() * (1 + JITTER * (self.random.random() - 0.5))
            await self._pause(pause_s)

    async def _pause(self, pause_s: float) -> None:
        """Wait until the next heartbeat is due, and tell of streams meanwhile if that is up to this box."""
        due_at = monotonic() + pause_s
        if self.write_failed:
            # Nothing is published early while writes fail again and again.
            await asyncio.sleep(min(pause_s, RETRY_S * 2**self.failed_writes))
        while (left_s := due_at - monotonic()) > 0:
            limit_s = min(left_s, TELL_INTERVAL_S) if self._tells_streams() else left_s
            if await self.state.changed.wait_for(self._is_due_early, limit_s):
                return
            if not self._tells_streams() or self.state.origins.recorded == self.published_streams:
                continue
            await self._renew_row()
            if self.write_failed:
                return

    async def _renew_row(self) -> None:
        self.write_failed = not await self._write_heartbeat()
        self.failed_writes = min(MAX_FAILURES_COUNTED, self.failed_writes + 1) if self.write_failed else 0

    def _tells_streams(self) -> bool:
        """Tell whether this box writes its row more often, to tell of streams: the first follower does."""
        first = self.state.following_routers()[:1]
        return [item.id for item in first] == [self.state.settings.id] and self._versions_differ()

    def _apply_rows(self, found: tuple[Row, ...], asked_at: float) -> None:
        """Apply rows that were requested at a time, at which those of live boxes were recent enough."""
        self.revision = next(
            (row.revision for row in found if row.key == KEY_PREFIX + self.state.settings.id), 0
        )
        rows = (*found, *self._lost_rows(found))
        self._advance_heard_at(asked_at)
        self.last_change_by_key = {row.key: self._last_change(row, self.heard_at) for row in rows}
        own = KEY_PREFIX + self.state.settings.id
        timeout_s = MISSED_HEARTBEATS * self._heartbeat_interval_s()
        alive = [
            row
            for row in rows
            if self.heard_at - self.last_change_by_key[row.key][1] < timeout_s and row.key != own
        ]
        members = [_member(row) for row in alive] + [self.state.member]
        boxes = tuple(sorted(member.id for member in members))
        own_id = self.state.settings.id
        self.state.other_boxes = tuple(member for member in members if member.id != own_id)
        if boxes != self.state.boxes:
            self.state.boxes_changed_at = monotonic()
            self.state.boxes = boxes
            self.state.changed.notify_all()
        self.state.fronts_by_box = {
            member.id: member.front for member in members if member.front and member.id != own_id
        }
        if self.state.boxes_known_at == NEVER:
            self._learn_begun_streams(rows)
            self.state.predecessor_ended_by = asked_at if self.revision else NEVER
        self._advance_counted_from(asked_at)
        self.state.rows_asked_at = asked_at
        self.state.row_valid_s = (MISSED_HEARTBEATS - 1) * self._heartbeat_interval_s()
        self._use_routers(pick_routers(members) or (self.state.member,))
        self._learn_target_versions(rows)

    def _advance_counted_from(self, asked_at: float) -> None:
        """Let this box take its part of what all share once it has read the rows after writing its own.

        Before, boxes that start beside it may not count it, nor it them. The part counts from the write.
        """
        if self.state.boxes_known_at == NEVER:
            self.state.boxes_known_at = asked_at
            self.state.counted_from = inf
        elif self.state.counted_from == inf and self.state.row_written_at != NEVER:
            self.state.counted_from = self.state.row_written_at

    def _advance_heard_at(self, asked_at: float) -> None:
        """Advance the time that rows age by; it stops while the table service is silent or takes no writes.

        Otherwise all boxes would count each other as gone, and each would take the slack and limits of all.
        """
        if self.read_at == NEVER:
            self.heard_at = asked_at
        elif not self.write_failed:
            longest_pause_s = self._heartbeat_interval_s() * (1 + JITTER)
            self.heard_at += min(asked_at - self.read_at, longest_pause_s)
        self.read_at = asked_at

    def _lost_rows(self, found: tuple[Row, ...]) -> tuple[Row, ...]:
        """Return the rows that a restore lost and that are not back yet.

        Their boxes write them again with the next heartbeat, and count as gone only if that fails to come.
        """
        self.state.observe_era(max((row.position for row in found), default=Position()))
        if self.state.era > self.era:
            self.lost_rows_by_key, self.era = dict(self.rows_by_key), self.state.era
        self.rows_by_key = {row.key: row for row in found}
        for key in self.rows_by_key:
            self.lost_rows_by_key.pop(key, None)
        return tuple(self.lost_rows_by_key.values())

    def _use_routers(self, routers: tuple[Member, ...]) -> None:
        if routers == self.state.routers:
            return
        self.state.routers = routers
        self.state.changed.notify_all()
        names = [router.id for router in routers]
        self.state.log.line(LogEvent.ROUTER, outcome="picked", routers=names, boxes=len(self.state.boxes))

    def _heartbeat_interval_s(self) -> float:
        return HEARTBEAT_INTERVAL_S * max(1.0, len(self.state.boxes) / MAX_BOXES_AT_MIN_INTERVAL)

    def _next_pause_s(self) -> float:
        return min(
            self._heartbeat_interval_s(),
            FIRST_HEARTBEAT_INTERVAL_S * HEARTBEAT_INTERVAL_GROWTH ** max(0, self.beat - 1),
        )

    def _last_change(self, row: Row, heard_at: float) -> tuple[Position, float]:
        before = self.last_change_by_key.get(row.key)
        if before is not None and before[0] == row.position:
            return before
        return row.position, heard_at

    async def _write_heartbeat(self) -> bool:
        """Write this box's row; tell whether it was written."""
        offset = self.own.clock_offset()
        if self.revision is None or offset is None:
            return False
        self.beat += 1
        key = KEY_PREFIX + self.state.settings.id
        recorded = self.state.origins.recorded
        named = dict(self.state.target_version_by_model)
        software_seen = self._software_seen(monotonic())
        heartbeat = self._own_heartbeat(offset, software_seen)
        value = msgspec.json.encode(heartbeat).decode()
        answer = await self.own.commit(Commit("", (Condition(key, self.revision),), (Write(key, value),)))
        if isinstance(answer, Err) or not isinstance(answer.ok_value, Committed):
            return False
        self.revision = answer.ok_value.revision
        # Only after the write: a failed one published nothing.
        self.published_versions, self.published_streams = named, recorded
        self.published_software = {} if heartbeat.software is UNSET else software_seen
        self._record_written_row(monotonic())
        return True

    def _record_written_row(self, now: float) -> None:
        """Record that this box has just written its row.

        Where the one before was so old that others may have given this box up, they count it again only with
        their next heartbeats. Until then they share out its part of what all boxes may use.
        """
        if not self.state.is_row_valid(now) and self.state.counted_from != inf:
            self.state.counted_from = now + self._heartbeat_interval_s() * (1 + JITTER)
        self.state.row_written_at = now

    def _own_heartbeat(
        self, offset: ClockOffset, software_seen: Mapping[tuple[str, str], float]
    ) -> BoxHeartbeat:
        """Return this box's row.

        offset: of the table service's clock to the local one. software_seen: when versions were last listed.
        """
        member = self.state.member
        viewed_at = self.state.last_view_at()
        return BoxHeartbeat(
            self.beat,
            member.address,
            member.capacity,
            member.data_hall,
            tuple(
                TargetVersion(model, record.version, offset.to_remote(record.at))
                for model, history in self.state.version_history_by_model.items()
                for record in history.records
            ),
            None if viewed_at is None else offset.to_remote(viewed_at),
            member.front,
            self._listed_software(offset, software_seen),
            self._begun_streams(),
        )

    def _listed_software(
        self, offset: ClockOffset, seen: Mapping[tuple[str, str], float]
    ) -> tuple[ListedSoftware, ...] | UnsetType:
        """Return what this box knows of versions; a few rows are enough."""
        if not self.state.is_follower:
            return UNSET
        return tuple(ListedSoftware(*key, round(offset.to_remote(at), 1)) for key, at in seen.items())

    def _software_seen(self, now: float) -> dict[tuple[str, str], float]:
        """Return when each version of endpoints' software was last listed."""
        history = self.state.software
        return history.seen_at_by_version | dict.fromkeys(history.listed, now)

    def _begun_streams(self) -> tuple[BegunStreams, ...] | UnsetType:
        """Return the streams that a box has to know which starts after all others have ended."""
        if not (self.state.is_follower and self._versions_differ()):
            return UNSET
        return self.state.origins.begun_streams(monotonic())

    def _versions_differ(self) -> bool:
        """Tell whether endpoints of any service had several versions lately."""
        return bool(self.state.software.differing(monotonic()))

    def _is_due_early(self) -> bool:
        """Tell whether to read the rows and write this box's row before the next heartbeat."""
        wants_rows = self.state.rows_asked_at < self.state.rows_wanted_at
        may_try = monotonic() - self.tried_at >= RETRY_S
        return (wants_rows and may_try) or self._has_unpublished_versions()

    def _has_unpublished_versions(self) -> bool:
        """Tell whether to publish versions early, which only followers of the table service do.

        Boxes that start learn from any row when a target version was set, and at which versions of
        endpoints' software streams may have begun, so a few rows are enough.
        """
        if not self.state.is_follower:
            return False
        if self.state.target_version_by_model != self.published_versions:
            return True
        oldest = monotonic() - MEMORY_S / 2
        return any(self.published_software.get(key, NEVER) < oldest for key in self.state.software.listed)

    def _learn_begun_streams(self, rows: tuple[Row, ...]) -> None:
        """Learn from rows of before this box's start where streams began whose callers may come here."""
        for row in rows:
            begun = _decode_heartbeat(row).begun
            if not isinstance(begun, UnsetType):
                self.state.origins.learn(begun, monotonic())

    def _learn_target_versions(self, rows: tuple[Row, ...]) -> None:
        """Record target versions from rows, also from those of boxes that are gone."""
        offset = self.own.clock_offset()
        if offset is None:
            return
        now = monotonic()
        views_at = []
        for row in rows:
            beat = _decode_heartbeat(row)
            for named in beat.named:
                if self.state.saw_version_change(named.model, named.version):
                    # This box's own time is more exact: a box that was paused publishes too early a
                    # time, for which prompts were refused for up to seven seconds.
                    continue
                named_at = min(now, offset.to_local(named.at_s))
                self.state.record_target_version(named.model, named.version, named_at, row.key)
            for listed in () if isinstance(beat.software, UnsetType) else beat.software:
                at = min(now, offset.to_local(listed.at_s))
                self.state.software.learn(listed.service, listed.version, at)
            if beat.viewed_at_s is not None:
                views_at.append(min(now, offset.to_local(beat.viewed_at_s)))
        if views_at and not self.state.version_history_known:
            self.state.record_view_before_start(max(views_at))
        self.state.version_history_known = True


def _member(row: Row) -> Member:
    beat = _decode_heartbeat(row)
    box = row.key.removeprefix(KEY_PREFIX)
    return Member(box, beat.address, beat.capacity, beat.data_hall, beat.front)


def _decode_heartbeat(row: Row) -> BoxHeartbeat:
    """Decode a row. A box with an invalid row, as of another release, is alive but cannot be a router."""
    try:
        return msgspec.json.decode(row.value or "", type=BoxHeartbeat)
    except MALFORMED as error:
        LOGGER.warning("row %s cannot be read: %s", row.key, error)
        return BoxHeartbeat(0)
