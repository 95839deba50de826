"""Exports cached context that is likely to be reused; imports have priority on the link."""

import asyncio
import heapq
import secrets
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, replace
from typing import Any

from aiohttp import ClientSession
from result import Err

from stairquay.adapters.clock import monotonic
from stairquay.adapters.engine import ExportOrder, ExportResult, export_blocks
from stairquay.adapters.store import put_manifest, renew_manifest
from stairquay.core.admission import TokenBucket
from stairquay.core.models import Service
from stairquay.core.ownership import rank_owners
from stairquay.core.residency import Segment
from stairquay.core.retention import KEEP_POLICIES, ExportCandidate
from stairquay.core.routing import block_bytes
from stairquay.router.state import RouterState, Ticket

POLL_INTERVAL_S = 0.05
"""Interval at which the queue and a busy link are polled."""

MAX_QUEUED_EXPORTS = 1_000
"""Queued exports for one store box; beyond it the oldest is dropped, which engines evict first."""

StartTask = Callable[[Coroutine[Any, Any, None]], object]
"""Starts a background task."""

RENEW_INTERVAL_S = 5.0
"""Shortest time between two renewals of a segment's manifest."""


@dataclass(order=True)
class QueuedExport:
    """A finished run whose context may be exported, ordered by the time from which it may."""

    ready_at: float
    ticket: Ticket = field(compare=False)


class Exporter:
    """Export queues of one router, one for each store box, so that a slow link delays no other."""

    def __init__(self, state: RouterState, session: ClientSession, start_task: StartTask) -> None:
        self.state = state
        self.session = session
        self.start_task = start_task
        self.should_export = KEEP_POLICIES[state.settings.keep.policy]
        self.queues_by_store: dict[str, list[QueuedExport]] = {}
        self.bandwidth_by_store: dict[str, TokenBucket] = {}
        self.renewed_at_by_segment: dict[str, float] = {}

    def enqueue(self, ticket: Ticket) -> None:
        """Queue the context of a finished run for export."""
        service = self.state.view.configuration.services.get(ticket.service)
        store = self._choose_store(service, ticket) if service is not None else None
        if store is None or not ticket.ids:
            return
        if store not in self.queues_by_store:
            self.queues_by_store[store] = []
            self.start_task(self._run_queue(store))
        ready_at = monotonic() + self.state.settings.keep.export_delay_s
        heapq.heappush(self.queues_by_store[store], QueuedExport(ready_at, ticket))
        if len(self.queues_by_store[store]) > MAX_QUEUED_EXPORTS:
            heapq.heappop(self.queues_by_store[store])

    async def _run_queue(self, store: str) -> None:
        """Export to one store box until cancelled, one segment at a time."""
        queue = self.queues_by_store[store]
        while True:
            if not queue or queue[0].ready_at > monotonic():
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            await self._export(store, heapq.heappop(queue).ticket)

    async def _export(self, store: str, ticket: Ticket) -> None:
        service = self.state.view.configuration.services.get(ticket.service)
        box = self.state.view.membership.usable(ticket.endpoint)
        store_box = self.state.live_stores().get(store)
        if service is None or box is None or store_box is None:
            return
        resident_blocks = self.state.engine_caches.of(ticket.endpoint).prefix_length(ticket.ids)
        stored_count = len(self.state.stored_blocks.contiguous_blocks(store, ticket.ids, 0))
        self._renew_segments(store, ticket, stored_count)
        ids = ticket.ids[stored_count:resident_blocks]
        size = len(ids) * block_bytes(service.costs)
        return_probability = self._return_probability(ticket)
        if not ids or not self.should_export(ExportCandidate(return_probability, size)):
            return
        await self._wait_for_link(store, service, size)
        order = ExportOrder(
            store=store_box.addresses["http"],
            segment=secrets.token_hex(16),
            version=ticket.version,
            block_bytes=block_bytes(service.costs),
            ids=ids,
        )
        await self._export_segment(store, box.addresses["http"], order, return_probability)

    async def _export_segment(
        self, store: str, engine: str, order: ExportOrder, return_probability: float
    ) -> None:
        """Write the data, then the manifest, and only then add the segment to the index."""
        timeout_s = self.state.settings.import_timeout_s
        written = await export_blocks(self.session, engine, order, timeout_s)
        if isinstance(written, Err) or not written.ok_value.ids:
            self.state.metrics.exports.labels(store, "failed").inc()
            return
        segment = _segment(order, written.ok_value, return_probability)
        exported_bytes = order.block_bytes * len(segment.ids)
        self.state.metrics.link_bytes.labels(store, "export").inc(exported_bytes)
        manifest_put = await put_manifest(self.session, order.store, segment, timeout_s)
        if isinstance(manifest_put, Err):
            self.state.metrics.exports.labels(store, "failed").inc()
            return
        self.state.stored_blocks.add(store, segment)
        self.state.metrics.exports.labels(store, "done").inc()

    def _return_probability(self, ticket: Ticket) -> float:
        """Return the probability that the run's conversation returns."""
        turns = self.state.turn_counter.turns(ticket.prompt.family)
        return self.state.return_rates.probability(ticket.workspace, turns)

    def _choose_store(self, service: Service, ticket: Ticket) -> str | None:
        """Return the conversation's first-ranked store box, unless another stores over half of the blocks.

        The prefix that a workspace's prompts share is in every store box, so it does not decide.
        """
        live_ids = [key for key in service.stores if key in self.state.live_stores()]
        if not live_ids:
            return None
        ranked_ids = rank_owners(ticket.prompt.family, live_ids)
        stored = {
            key: len(self.state.stored_blocks.contiguous_blocks(key, ticket.ids, 0)) for key in ranked_ids
        }
        fullest = max(ranked_ids, key=lambda key: stored[key])
        return fullest if stored[fullest] > max(stored[ranked_ids[0]], len(ticket.ids) / 2) else ranked_ids[0]

    async def _wait_for_link(self, store: str, service: Service, size: int) -> None:
        """Wait until no import uses the link and the bandwidth limit of exports allows `size` bytes."""
        share = self.state.settings.keep.export_link_share / max(1, len(self.state.view.live_routers()))
        rate = max(1.0, service.costs.link_bytes_s * share)
        bucket = self.bandwidth_by_store.setdefault(store, TokenBucket(rate, rate, rate, monotonic()))
        bucket.rate_s = rate
        link = self.state.link(store)
        while link.active_imports or not bucket.overdraw(size, monotonic()):
            await asyncio.sleep(POLL_INTERVAL_S)

    def _renew_segments(self, store: str, ticket: Ticket, stored_count: int) -> None:
        """Update the time of use and the return probability in the manifests of reused segments."""
        now = monotonic()
        return_probability = self._return_probability(ticket)
        blocks = self.state.stored_blocks.contiguous_blocks(store, ticket.ids, 0)[:stored_count]
        for name in {block.segment for block in blocks}:
            segment = self.state.stored_blocks.segments_by_store[store][name]
            if now - self.renewed_at_by_segment.get(name, float("-inf")) < RENEW_INTERVAL_S:
                continue
            self.renewed_at_by_segment[name] = now
            renewed = replace(segment, value=return_probability, used_at=time.time())
            self.start_task(self._renew_manifest(store, renewed))

    async def _renew_manifest(self, store: str, segment: Segment) -> None:
        """Renew a manifest unless it was deleted."""
        box = self.state.live_stores().get(store)
        if box is not None:
            await renew_manifest(self.session, box.addresses["http"], segment, RENEW_INTERVAL_S)


def _segment(order: ExportOrder, written: ExportResult, return_probability: float) -> Segment:
    return Segment(
        name=order.segment,
        ids=written.ids,
        checksums=written.checksums,
        block_bytes=order.block_bytes,
        version=order.version,
        value=return_probability,
        used_at=time.time(),
    )
