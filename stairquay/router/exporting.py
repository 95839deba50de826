"""Exports context that is likely to return, within a share of the link that imports leave free."""

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

IDLE_S = 0.05
"""Seconds between two looks at an empty queue, or at a link that imports keep busy."""

MAX_QUEUED = 1_000
"""Exports that wait for one store box; beyond it the oldest goes, whose context is gone soonest."""

Start = Callable[[Coroutine[Any, Any, None]], object]
"""Runs work in the background of the program."""

RENEW_S = 5.0
"""A segment's time of use is written again at most this often."""


@dataclass(order=True)
class Queued:
    """A finished run whose context may be exported, by the time it is ready."""

    ready_at: float
    ticket: Ticket = field(compare=False)


class Exporter:
    """Queues of exports of one router, one for each store box, so that none waits for another's link."""

    def __init__(self, state: RouterState, session: ClientSession, start: Start) -> None:
        self.state = state
        self.session = session
        self.start = start
        self.keep = KEEP_POLICIES[state.settings.keep.policy]
        self.queues: dict[str, list[Queued]] = {}
        self.budgets: dict[str, TokenBucket] = {}
        self.renewed_at: dict[str, float] = {}

    def offer(self, ticket: Ticket) -> None:
        """Consider the context of a run that has ended."""
        service = self.state.view.configuration.services.get(ticket.service)
        store = self._store(service, ticket) if service is not None else None
        if store is None or not ticket.ids:
            return
        if store not in self.queues:
            self.queues[store] = []
            self.start(self._work(store))
        ready_at = monotonic() + self.state.settings.keep.export_delay_s
        heapq.heappush(self.queues[store], Queued(ready_at, ticket))
        if len(self.queues[store]) > MAX_QUEUED:
            heapq.heappop(self.queues[store])

    async def _work(self, store: str) -> None:
        """Export to one store box for ever, one segment at a time."""
        queue = self.queues[store]
        while True:
            if not queue or queue[0].ready_at > monotonic():
                await asyncio.sleep(IDLE_S)
                continue
            await self._export(store, heapq.heappop(queue).ticket)

    async def _export(self, store: str, ticket: Ticket) -> None:
        service = self.state.view.configuration.services.get(ticket.service)
        box = self.state.view.membership.usable(ticket.endpoint)
        live = self.state.stores().get(store)
        if service is None or box is None or live is None:
            return
        resident = self.state.memories.of(ticket.endpoint).prefix_length(ticket.ids)
        held = len(self.state.kept.contiguous_blocks(store, ticket.ids, 0))
        self._renew(store, ticket, held)
        ids = ticket.ids[held:resident]
        size = len(ids) * block_bytes(service.costs)
        worth = self._worth(ticket)
        if not ids or not self.keep(ExportCandidate(worth, size)):
            return
        await self._wait_for_link(store, service, size)
        order = ExportOrder(
            store=live.addresses["http"],
            segment=secrets.token_hex(16),
            version=ticket.version,
            block_bytes=block_bytes(service.costs),
            ids=ids,
        )
        await self._run_order(store, box.addresses["http"], order, worth)

    async def _run_order(self, store: str, engine: str, order: ExportOrder, worth: float) -> None:
        """Write the data, then the manifest; the segment is known only after both."""
        timeout_s = self.state.settings.import_timeout_s
        written = await export_blocks(self.session, engine, order, timeout_s)
        if isinstance(written, Err) or not written.ok_value.ids:
            self.state.metrics.exports.labels(store, "failed").inc()
            return
        segment = _segment(order, written.ok_value, worth)
        moved = order.block_bytes * len(segment.ids)
        self.state.metrics.link_bytes.labels(store, "export").inc(moved)
        shown = await put_manifest(self.session, order.store, segment, timeout_s)
        if isinstance(shown, Err):
            self.state.metrics.exports.labels(store, "failed").inc()
            return
        self.state.kept.add(store, segment)
        self.state.metrics.exports.labels(store, "done").inc()

    def _worth(self, ticket: Ticket) -> float:
        """Return the probability that the run's conversation returns."""
        turns = self.state.families.turns(ticket.prompt.family)
        return self.state.rates.probability(ticket.workspace, turns)

    def _store(self, service: Service, ticket: Ticket) -> str | None:
        """Return the family's own store, unless another holds most of the chain already.

        What a workspace's prompts share is kept in every store, so it draws no family to one.
        """
        live = [key for key in service.stores if key in self.state.stores()]
        if not live:
            return None
        order = rank_owners(ticket.prompt.family, live)
        held = {key: len(self.state.kept.contiguous_blocks(key, ticket.ids, 0)) for key in order}
        most = max(order, key=lambda key: held[key])
        return most if held[most] > max(held[order[0]], len(ticket.ids) / 2) else order[0]

    async def _wait_for_link(self, store: str, service: Service, size: int) -> None:
        """Wait until no import uses the link and the export's share of it allows the bytes."""
        share = self.state.settings.keep.export_link_share / max(1, len(self.state.view.live_routers()))
        rate = max(1.0, service.costs.link_bytes_s * share)
        bucket = self.budgets.setdefault(store, TokenBucket(rate, rate, rate, monotonic()))
        bucket.rate_s = rate
        link = self.state.link(store)
        while link.importing or not bucket.overdraw(size, monotonic()):
            await asyncio.sleep(IDLE_S)

    def _renew(self, store: str, ticket: Ticket, held: int) -> None:
        """Write anew when the segments of a returned prompt were used, and what they are worth."""
        now = monotonic()
        worth = self._worth(ticket)
        blocks = self.state.kept.contiguous_blocks(store, ticket.ids, 0)[:held]
        for name in {block.segment for block in blocks}:
            segment = self.state.kept.segments_by_store[store][name]
            if now - self.renewed_at.get(name, float("-inf")) < RENEW_S:
                continue
            self.renewed_at[name] = now
            renewed = replace(segment, value=worth, used_at=time.time())
            self.start(self._put(store, renewed))

    async def _put(self, store: str, segment: Segment) -> None:
        """Renew a manifest; one that is gone stays gone, and the catalogue will say so."""
        box = self.state.stores().get(store)
        if box is not None:
            await renew_manifest(self.session, box.addresses["http"], segment, RENEW_S)


def _segment(order: ExportOrder, written: ExportResult, worth: float) -> Segment:
    return Segment(
        name=order.segment,
        ids=written.ids,
        checksums=written.checksums,
        block_bytes=order.block_bytes,
        version=order.version,
        value=worth,
        used_at=time.time(),
    )
