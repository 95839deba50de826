"""Frees cached context of replaced versions at store boxes that don't evict it themselves."""

import asyncio

from stairquay.adapters.clock import monotonic
from stairquay.core.catalog import StoreSpec
from stairquay.core.holdings import PartKey
from stairquay.core.scope import parse_scope
from stairquay.serving.context_lifetime import endpoints_clock_ms, may_free
from stairquay.serving.engine_views import fresh_stores
from stairquay.serving.event_log import LogEvent
from stairquay.serving.ports import FreeOrder, FreeOutcome, Peers
from stairquay.serving.state import BoxState

INTERVAL_S = 1.0
"""Seconds between two collections. Space is needed again soon after all engines run a new version."""

FREE_VALID_S = 0.5
"""Seconds for which a store box may carry out a call to free, which is given up by then."""

MAX_PARTS_PER_CALL = 400
"""Maximum number of parts freed with one call, which bounds the size of the request to about 20 kB."""


class StoreGarbageCollector:
    """Frees outdated parts at store boxes. One router is enough; another may do the same meanwhile."""

    def __init__(self, state: BoxState, peers: Peers) -> None:
        self.state = state
        self.peers = peers

    async def run(self) -> None:
        """Free unused parts periodically until cancelled."""
        while True:
            # Only routers know the content of store boxes.
            await self.state.changed.wait_for(lambda: self.state.is_router)
            await asyncio.sleep(INTERVAL_S)
            catalog = self.state.catalog
            if catalog is None or self.state.stopping or not self._is_first_router():
                continue
            for store in fresh_stores(self.state, catalog):
                if store.managed:
                    await self._free_unused_parts(store)

    def _is_first_router(self) -> bool:
        return bool(self.state.routers) and self.state.routers[0].id == self.state.settings.id

    async def _free_unused_parts(self, store: StoreSpec) -> None:
        decided_at = monotonic()
        holding = self.state.holdings.by_address.get(store.address)
        until_ms = endpoints_clock_ms(self.state, decided_at + FREE_VALID_S)
        if holding is None or until_ms is None:
            return
        unused = [key for key in holding.tokens_by_key if self._is_unused(key, decided_at)]
        keys = tuple(unused[:MAX_PARTS_PER_CALL])
        if not keys:
            return
        outcome = await self.peers.free(FreeOrder(store.address, keys, holding.incarnation, until_ms))
        if outcome == FreeOutcome.FREED:
            self.state.metrics.freed.inc(len(keys))
            self.state.holdings.drop(store.address, holding.incarnation, keys)
        self.state.log.line(
            LogEvent.FREED,
            store=store.id,
            parts=len(keys),
            life=holding.incarnation,
            replaced_s=self._replaced_s(keys),
            list_age_s=self.state.list_age(),
            view_age_s=self.state.view_age(),
            took_s=monotonic() - decided_at,
            outcome=outcome.value,
        )

    def _replaced_s(self, keys: tuple[PartKey, ...]) -> dict[str, float]:
        """Return for how many seconds the versions of parts have been replaced, by scope."""
        scope_by_name = {name: parse_scope(name) for name in {key[0] for key in keys}}
        return {
            name: round(self.state.replaced_for_s(scope.model, scope.version), 4)
            for name, scope in scope_by_name.items()
            if scope is not None
        }

    def _is_unused(self, key: PartKey, now: float) -> bool:
        scope = parse_scope(key[0])
        return scope is not None and may_free(self.state, scope.model, scope.version, now)
