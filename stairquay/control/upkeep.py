"""Upkeep by the leader: evicts segments and frees data in store boxes, and deletes expired rows.

Data without a manifest may belong to an export or an import in progress; it is freed after a grace period.
"""

import secrets
import time

import msgspec
from absl import logging
from result import Err, Ok

from stairquay.adapters.clock import monotonic
from stairquay.adapters.follower import View
from stairquay.adapters.metrics import ControlMetrics
from stairquay.adapters.ports import Commit, Condition, Table, Write
from stairquay.adapters.sessions import EndpointSessions
from stairquay.adapters.settings import ControlSettings, KeepSettings
from stairquay.adapters.store import Catalogue, delete_manifest, fetch_catalogue, free_data
from stairquay.control.leader import Leader
from stairquay.core.models import Box, BoxKind
from stairquay.core.plan import PLAN_PREFIX
from stairquay.core.residency import Segment
from stairquay.core.retention import EVICTION_ORDERS, choose_evictions, excess_bytes, segment_bytes
from stairquay.core.row import Row

CALL_TIMEOUT_S = 2.0
DELETE_BATCH_ROWS = 50
NO_INCARNATION = "none"

ONCE_PREFIX = "once/"


class StoreUpkeep:
    """Evicts segments from store boxes, and frees data that has no manifest."""

    def __init__(
        self,
        view: View,
        leader: Leader,
        sessions: EndpointSessions,
        keep: KeepSettings,
        metrics: ControlMetrics,
    ) -> None:
        self.view = view
        self.leader = leader
        self.sessions = sessions
        self.keep = keep
        self.metrics = metrics
        self.orphaned_since: dict[tuple[str, str], float] = {}
        self.first_seen_by_store: dict[str, dict[str, float]] = {}

    async def run_once(self) -> None:
        """Maintain every store box once."""
        for box in self.view.membership.boxes.by_kind[BoxKind.STORE].values():
            if not self.leader.may_act():
                return
            await self._maintain_store(box)

    async def _maintain_store(self, box: Box) -> None:
        address = box.addresses["http"]
        read = await fetch_catalogue(self.sessions.reports, address, NO_INCARNATION, 0, CALL_TIMEOUT_S)
        if isinstance(read, Err):
            return
        await self._evict(box, address, read.ok_value)
        await self._free_orphaned(box, address, read.ok_value)

    async def _evict(self, box: Box, address: str, catalogue: Catalogue) -> None:
        segments = [change.segment for change in catalogue.changes if change.segment is not None]
        order = EVICTION_ORDERS[self.keep.eviction]
        orphaned_bytes = catalogue.used - sum(segment_bytes(segment) for segment in segments)
        inflow = self._recent_inflow(box.id, segments)
        excess = excess_bytes(catalogue.used, max(0, orphaned_bytes), inflow, catalogue.capacity)
        evicted = choose_evictions(segments, excess, time.time(), order)
        for segment in evicted:
            if not self.leader.may_act():
                return
            await delete_manifest(self.sessions.orders, address, segment.name, CALL_TIMEOUT_S)
            self.metrics.evictions.labels(box.id).inc()

    def _recent_inflow(self, store: str, segments: list[Segment]) -> int:
        """Return the bytes of segments first seen within the last grace period, 0 on the first pass."""
        now = monotonic()
        previous = self.first_seen_by_store.get(store, {})
        self.first_seen_by_store[store] = {
            segment.name: previous.get(segment.name, now) for segment in segments
        }
        since = now - self.keep.grace_s
        first_seen = self.first_seen_by_store[store]
        return sum(
            segment_bytes(segment) for segment in segments if first_seen[segment.name] > since and previous
        )

    async def _free_orphaned(self, box: Box, address: str, catalogue: Catalogue) -> None:
        manifest_names = {change.name for change in catalogue.changes}
        orphaned = {(box.id, name) for name in catalogue.data if name not in manifest_names}
        now = monotonic()
        self._drop_recovered(box.id, orphaned)
        for key in orphaned:
            since = self.orphaned_since.setdefault(key, now)
            if now - since < self.keep.grace_s or not self.leader.may_act():
                continue
            await free_data(self.sessions.orders, address, key[1], CALL_TIMEOUT_S)

    def _drop_recovered(self, store: str, orphaned: set[tuple[str, str]]) -> None:
        for key in list(self.orphaned_since):
            if key[0] == store and key not in orphaned:
                del self.orphaned_since[key]


class TableUpkeep:
    """Deletes idempotency claims and plans past their retention time."""

    def __init__(self, table: Table, leader: Leader, settings: ControlSettings) -> None:
        self.table = table
        self.leader = leader
        self.settings = settings

    async def run_once(self) -> None:
        """Delete all expired claims and plans once."""
        await self._delete_expired(ONCE_PREFIX, self.settings.claim_retention_s)
        await self._delete_expired(PLAN_PREFIX, self.settings.plan_retention_s)

    async def _delete_expired(self, prefix: str, retention_s: float) -> None:
        read = await self.table.changes(0, prefix)
        if isinstance(read, Err):
            return
        cutoff = time.time() - retention_s
        expired = [
            row for row in read.ok_value.rows if row.value is not None and _written_at(row.value) < cutoff
        ]
        for start in range(0, len(expired), DELETE_BATCH_ROWS):
            if not self.leader.may_act():
                return
            await self._delete_rows(expired[start : start + DELETE_BATCH_ROWS])

    async def _delete_rows(self, rows: list[Row]) -> None:
        commit = Commit(
            token="expire-" + secrets.token_hex(12),
            conditions=tuple(Condition(row.key, row.revision) for row in rows),
            writes=tuple(Write(row.key, None) for row in rows),
        )
        outcome = await self.table.commit(commit)
        if isinstance(outcome, Ok):
            logging.info("%d expired rows deleted", len(rows))


def _written_at(value: str) -> float:
    """Return the Unix time at which a claim or plan was written, infinity if it has none."""
    return float(msgspec.json.decode(value).get("at", float("inf")))
