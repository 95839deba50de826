"""Polls engines for load reports and cache events, and store boxes for their catalogues."""

import asyncio
import random
from dataclasses import dataclass

from aiohttp import ClientSession
from result import Err

from stairquay.adapters.clock import monotonic
from stairquay.adapters.engine import CacheEvent, EngineState, EventKind, fetch_state
from stairquay.adapters.follower import JITTER_SHARE
from stairquay.adapters.store import Catalogue, fetch_catalogue
from stairquay.core.load import LoadReport
from stairquay.core.models import Box
from stairquay.router.state import RouterState


@dataclass
class EventCursor:
    """Incarnation of a source, and number of the last event or change read from it."""

    incarnation: str = ""
    last_number: int = 0


class Poller:
    """Updates a router's soft state from endpoints and store boxes."""

    def __init__(self, state: RouterState, session: ClientSession) -> None:
        self.state = state
        self.session = session
        self.engine_cursors: dict[str, EventCursor] = {}
        self.store_cursors: dict[str, EventCursor] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll_once()
            self.state.expire_tickets(monotonic())
            jitter = 1 + JITTER_SHARE * (random.random() - 0.5)
            await asyncio.sleep(self.state.settings.poll_s * jitter)

    async def poll_once(self) -> None:
        """Poll all engines and store boxes once, concurrently."""
        engines = [self._poll_engine(box) for box in self.state.engines().values()]
        stores = [self._poll_store(box) for box in self.state.listed_stores().values()]
        self._drop_removed_stores()
        await asyncio.gather(*engines, *stores)

    async def _poll_engine(self, box: Box) -> None:
        cursor = self.engine_cursors.setdefault(box.id, EventCursor())
        timeout_s = self.state.settings.endpoint_timeout_s
        outcome = await fetch_state(self.session, box.addresses["http"], cursor.last_number, timeout_s)
        if isinstance(outcome, Err):
            return
        self._apply_engine_state(box.id, cursor, outcome.ok_value)

    def _apply_engine_state(self, endpoint: str, cursor: EventCursor, reported: EngineState) -> None:
        now = monotonic()
        if reported.incarnation == cursor.incarnation or not cursor.last_number:
            self._apply_events(endpoint, cursor, reported.events)
        else:
            # The number was of an earlier incarnation; the next round fetches from the first event.
            self.state.engine_caches.reset(endpoint)
            cursor.last_number = 0
        cursor.incarnation = reported.incarnation
        membership = self.state.view.membership
        if reported.leaving:
            membership.on_leaving(endpoint, reported.incarnation)
        else:
            membership.on_alive(endpoint, reported.incarnation)
        if reported.cache_tokens:
            self.state.engine_caches.of(endpoint).capacity_tokens = reported.cache_tokens
        report = LoadReport(
            taken_at=now - reported.age_s,
            queued_tokens=reported.queued_tokens,
            running=reported.running,
            version=reported.version,
            loading=reported.loading,
            incarnation=reported.incarnation,
            leaving=reported.leaving,
            cache_tokens=reported.cache_tokens,
        )
        self.state.load(endpoint).on_report(report, now)

    def _apply_events(self, endpoint: str, cursor: EventCursor, events: tuple[CacheEvent, ...]) -> None:
        cache = self.state.engine_caches.of(endpoint)
        for event in events:
            if event.number <= cursor.last_number:
                continue
            missed_events = event.number - cursor.last_number - 1
            if missed_events and cursor.last_number:
                self.state.metrics.lost_events.inc(missed_events)
            cursor.last_number = event.number
            if event.kind == EventKind.STORED:
                cache.touch(event.ids)
            else:
                cache.drop(event.ids)

    async def _poll_store(self, box: Box) -> None:
        cursor = self.store_cursors.setdefault(box.id, EventCursor())
        outcome = await fetch_catalogue(
            self.session,
            box.addresses["http"],
            cursor.incarnation,
            cursor.last_number,
            self.state.settings.endpoint_timeout_s,
        )
        if isinstance(outcome, Err):
            return
        self._apply_catalogue(box.id, cursor, outcome.ok_value)

    def _apply_catalogue(self, store: str, cursor: EventCursor, catalogue: Catalogue) -> None:
        if catalogue.whole:
            self.state.stored_blocks.reset(store)
        for change in catalogue.changes:
            if change.segment is None:
                self.state.stored_blocks.remove(store, change.name)
            else:
                self.state.stored_blocks.add(store, change.segment)
        cursor.incarnation = catalogue.incarnation
        cursor.last_number = catalogue.last_change
        self.state.catalogue_received_at_by_store[store] = monotonic()
        self.state.metrics.kept_bytes.labels(store).set(catalogue.used)

    def _drop_removed_stores(self) -> None:
        listed = self.state.listed_stores()
        for store in list(self.store_cursors):
            if store not in listed:
                del self.store_cursors[store]
                self.state.stored_blocks.reset(store)
