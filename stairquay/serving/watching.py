"""Watches engines and store boxes: their load, their weights and their caches."""

import asyncio
from collections.abc import Callable, Coroutine
from functools import lru_cache, partial
from typing import Any

import xxhash

from stairquay.adapters.clock import monotonic
from stairquay.core.catalog import Catalog
from stairquay.serving.endpoint import REPORT_INTERVAL_S
from stairquay.serving.event_log import LogEvent
from stairquay.serving.ports import Peers
from stairquay.serving.reach import record_reached, record_unreached
from stairquay.serving.state import BoxState
from stairquay.serving.statements import apply_leaving

OTHER_REPORT_INTERVAL_S = 2.0
"""Time between reports of engines that other routers place on. Orders need their sequence numbers, and this
router may have to take over these engines."""

EVENTS_LONG_POLL_S = 0.8

EVENTS_PAUSE_S = 0.15
"""Lets events gather into batches between two calls."""

STORE_LONG_POLL_S = 0.4
"""Shorter, since the view of a store box expires sooner."""

RETRY_S = 0.3

MIN_SNAPSHOT_INTERVAL_S = 3.0
"""Shortest time between snapshots of an engine's cache, each of which delays its work."""

RECONCILE_INTERVAL_S = 0.25
"""Time between updates of the tasks to the list of endpoints."""

MAX_FOLLOWER_SHARE = 0.8
"""Share of the followers that an engine or store box accepts which the routers use together."""

CACHED_ASSIGNMENTS = 1_024
"""Caches whose followers are remembered between two reconciliations."""

TaskKey = tuple[str, str]
"""`report` with the endpoint's id and address, or `engine` or `store` with the address."""

TaskFactory = Callable[[], Coroutine[Any, Any, None]]


class EndpointWatcher:
    """Runs a task for the reports of each engine, and one for the events of each cache."""

    def __init__(self, state: BoxState, peers: Peers) -> None:
        self.state = state
        self.peers = peers
        self.tasks_by_key: dict[TaskKey, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Start and end tasks as endpoints come and go, until cancelled."""
        try:
            while True:
                self._reconcile()
                if self.tasks_by_key or self.state.is_router:
                    await asyncio.sleep(RECONCILE_INTERVAL_S)
                else:
                    await self.state.changed.wait_for(lambda: self.state.is_router)
        finally:
            for task in self.tasks_by_key.values():
                task.cancel()

    def _reconcile(self) -> None:
        catalog = self.state.catalog
        if catalog is None:
            return
        desired = self._desired_tasks(catalog)
        for key in list(self.tasks_by_key):
            if key not in desired:
                self.tasks_by_key.pop(key).cancel()
                if key[0] != "report":
                    self.state.holdings.forget(key[1])
        for key, create in desired.items():
            task = self.tasks_by_key.get(key)
            if task is None or task.done():
                self.tasks_by_key[key] = asyncio.create_task(create())

    def _desired_tasks(self, catalog: Catalog) -> dict[TaskKey, TaskFactory]:
        desired: dict[TaskKey, TaskFactory] = {}
        if not self.state.is_router:
            return desired
        for endpoint in self.state.fleet.by_id.values():
            engine = catalog.engine_of(endpoint.service)
            if engine is None:
                continue
            name = f"{endpoint.id} {endpoint.address}"
            desired["report", name] = partial(self._watch_report, endpoint.id, endpoint.address)
            if endpoint.id not in self.state.routed_engines:
                continue
            if self._is_assigned(endpoint.address, engine.max_followers):
                desired["engine", endpoint.address] = partial(self._watch_engine, endpoint.address)
        for store in catalog.stores_by_id.values():
            if self._is_assigned(store.address, store.max_followers):
                desired["store", store.address] = partial(self._watch_store, store.address)
        return desired

    def _is_assigned(self, address: str, max_followers: int) -> bool:
        """Tell whether this router is among the limited number that follow a cache."""
        routers = self.state.routers
        limit = max(1, int(max_followers * MAX_FOLLOWER_SHARE))
        if len(routers) <= limit:
            return True
        boxes = tuple(router.id for router in routers)
        return self.state.settings.id in _followers(address, boxes, limit)

    async def _watch_report(self, endpoint_id: str, address: str) -> None:
        while True:
            asked_at = monotonic()
            report = await self.peers.report(address)
            self._count("report", report is not None)
            endpoint = self.state.fleet.by_id.get(endpoint_id)
            if report is not None and endpoint is not None:
                self.state.apply_report(endpoint, report, monotonic(), asked_at)
                if report.leaving:
                    apply_leaving(self.state, endpoint.id, report.born or endpoint.born, "report")
                self._apply_clock(report.clock_ms)
                record_reached(self.state, endpoint.service)
            elif endpoint is not None:
                record_unreached(self.state, endpoint)
                self.state.endpoint_state(endpoint).unreachable_at = monotonic()
            await asyncio.sleep(self._report_pause_s(endpoint_id))

    def _report_pause_s(self, endpoint_id: str) -> float:
        return REPORT_INTERVAL_S if endpoint_id in self.state.routed_engines else OTHER_REPORT_INTERVAL_S

    async def _watch_engine(self, address: str) -> None:
        position = 0
        incarnation = 0
        snapshot_at = float("-inf")
        while True:
            asked_at = monotonic()
            changes = await self.peers.cache_changes(address, position, EVENTS_LONG_POLL_S)
            self._count("engine_events", changes is not None)
            if changes is None:
                await asyncio.sleep(RETRY_S)
                continue
            if changes.incarnation != incarnation:
                self.state.holdings.forget(address)
                incarnation = changes.incarnation
                if position != 0:
                    position = 0
                    continue
            elif changes.position < position:
                # An answer to an earlier call that came a second time: positions only rise within a life.
                await asyncio.sleep(RETRY_S)
                continue
            if changes.lost and asked_at - snapshot_at > MIN_SNAPSHOT_INTERVAL_S:
                snapshot_at = asked_at
                await self._apply_snapshot(address, asked_at)
            self.state.holdings.apply(address, changes.events, changes.position, asked_at)
            self._apply_clock(changes.clock_ms)
            position = changes.position
            await asyncio.sleep(EVENTS_PAUSE_S)

    async def _watch_store(self, address: str) -> None:
        """Follow a store box, with a new snapshot whenever events were missed."""
        while True:
            asked_at = monotonic()
            snapshot = await self.peers.cache_snapshot(address)
            self._count("store_list", snapshot is not None)
            if snapshot is None:
                await asyncio.sleep(RETRY_S)
                continue
            self.state.holdings.replace(
                address, snapshot.incarnation, snapshot.position, snapshot.parts, asked_at
            )
            self.state.holdings.record_list(address, snapshot.incarnation, monotonic())
            self.state.log.line(
                LogEvent.STORE_VIEW,
                store=address,
                outcome="read",
                parts=len(snapshot.parts),
                life=snapshot.incarnation,
            )
            cause = await self._follow_store(address, snapshot.incarnation, snapshot.position)
            self.state.holdings.forget(address)
            self.state.log.line(LogEvent.STORE_VIEW, store=address, outcome="dropped", cause=cause)

    async def _follow_store(self, address: str, incarnation: int, position: int) -> str:
        """Apply a store box's events until its view becomes invalid; return the cause."""
        while True:
            asked_at = monotonic()
            changes = await self.peers.cache_changes(address, position, STORE_LONG_POLL_S)
            self._count("store_events", changes is not None)
            if changes is None:
                return "silent"
            if changes.incarnation != incarnation:
                return "started anew"
            if changes.position < position:
                # An answer to an earlier call that came a second time; the view expires if no other comes.
                await asyncio.sleep(RETRY_S)
                continue
            if changes.lost:
                return "events lost"
            self.state.holdings.apply(address, changes.events, changes.position, asked_at)
            self._apply_clock(changes.clock_ms)
            position = changes.position
            await asyncio.sleep(EVENTS_PAUSE_S)

    async def _apply_snapshot(self, address: str, asked_at: float) -> None:
        snapshot = await self.peers.cache_snapshot(address)
        self._count("engine_list", snapshot is not None)
        if snapshot is not None:
            self.state.holdings.replace(
                address, snapshot.incarnation, snapshot.position, snapshot.parts, asked_at
            )

    def _apply_clock(self, clock_ms: int | None) -> None:
        if clock_ms is not None:
            self.state.clock_offset_ms = clock_ms - monotonic() * 1000

    def _count(self, call: str, answered: bool) -> None:
        self.state.metrics.peer_calls.labels(call, "ok" if answered else "silent").inc()


@lru_cache(maxsize=CACHED_ASSIGNMENTS)
def _followers(address: str, boxes: tuple[str, ...], limit: int) -> list[str]:
    """Return the routers that follow the cache at an address."""
    return sorted(boxes, key=lambda box: xxhash.xxh64_intdigest(f"{address} {box}".encode()))[:limit]
