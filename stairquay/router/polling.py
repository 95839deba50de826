"""Polls engines for load and cache events, and store boxes for their catalogues."""

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
class Position:
    """How far the events of one source were read."""

    incarnation: str = ""
    last: int = 0


class Poller:
    """Keeps a router's soft state near what endpoints and store boxes say."""

    def __init__(self, state: RouterState, session: ClientSession) -> None:
        self.state = state
        self.session = session
        self.engine_positions: dict[str, Position] = {}
        self.store_positions: dict[str, Position] = {}

    async def run(self) -> None:
        """Poll for ever."""
        while True:
            await self.poll_once()
            self.state.expire_tickets(monotonic())
            jitter = 1 + JITTER_SHARE * (random.random() - 0.5)
            await asyncio.sleep(self.state.settings.poll_s * jitter)

    async def poll_once(self) -> None:
        """Ask every engine and every store box once, all at the same time."""
        engines = [self._poll_engine(box) for box in self.state.engines().values()]
        stores = [self._poll_store(box) for box in self.state.listed_stores().values()]
        self._forget_gone_stores()
        await asyncio.gather(*engines, *stores)

    async def _poll_engine(self, box: Box) -> None:
        position = self.engine_positions.setdefault(box.id, Position())
        timeout_s = self.state.settings.endpoint_timeout_s
        outcome = await fetch_state(self.session, box.addresses["http"], position.last, timeout_s)
        if isinstance(outcome, Err):
            return
        self._take_engine(box.id, position, outcome.ok_value)

    def _take_engine(self, endpoint: str, position: Position, reported: EngineState) -> None:
        now = monotonic()
        if reported.incarnation == position.incarnation or not position.last:
            self._take_events(endpoint, position, reported.events)
        else:
            # The events asked for were another life's; the next round asks from the first on.
            self.state.engine_caches.reset(endpoint)
            position.last = 0
        position.incarnation = reported.incarnation
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

    def _take_events(self, endpoint: str, position: Position, events: tuple[CacheEvent, ...]) -> None:
        memory = self.state.engine_caches.of(endpoint)
        for event in events:
            if event.number <= position.last:
                continue
            lost = event.number - position.last - 1
            if lost and position.last:
                self.state.metrics.lost_events.inc(lost)
            position.last = event.number
            if event.kind == EventKind.STORED:
                memory.touch(event.ids)
            else:
                memory.drop(event.ids)

    async def _poll_store(self, box: Box) -> None:
        position = self.store_positions.setdefault(box.id, Position())
        outcome = await fetch_catalogue(
            self.session,
            box.addresses["http"],
            position.incarnation,
            position.last,
            self.state.settings.endpoint_timeout_s,
        )
        if isinstance(outcome, Err):
            return
        self._take_catalogue(box.id, position, outcome.ok_value)

    def _take_catalogue(self, store: str, position: Position, catalogue: Catalogue) -> None:
        if catalogue.whole:
            self.state.stored_blocks.reset(store)
        for change in catalogue.changes:
            if change.segment is None:
                self.state.stored_blocks.remove(store, change.name)
            else:
                self.state.stored_blocks.add(store, change.segment)
        position.incarnation = catalogue.incarnation
        position.last = catalogue.last_change
        self.state.catalogue_received_at_by_store[store] = monotonic()
        self.state.metrics.kept_bytes.labels(store).set(catalogue.used)

    def _forget_gone_stores(self) -> None:
        live = self.state.listed_stores()
        for store in list(self.store_positions):
            if store not in live:
                del self.store_positions[store]
                self.state.stored_blocks.reset(store)
