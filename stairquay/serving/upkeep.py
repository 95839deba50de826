"""Frees cached context of outdated versions at store boxes that don't evict it themselves.

Context of a version is unused once all engines run newer ones: no new fetch of it can start, and fetches in
progress time out.
"""

import asyncio

from stairquay.adapters.clock import monotonic
from stairquay.core.catalog import Catalog, StoreSpec
from stairquay.core.holdings import PartKey
from stairquay.core.scope import parse_scope
from stairquay.core.versions import VersionHistory
from stairquay.serving.endpoint_choice import FETCH_TIMEOUT_S
from stairquay.serving.engine_views import fresh_stores
from stairquay.serving.event_log import LogEvent
from stairquay.serving.ports import FreeOutcome, Peers
from stairquay.serving.state import BoxState

INTERVAL_S = 1.0
"""Seconds between two collections. Space is needed again soon after all engines run a new version."""

UNUSED_GRACE_S = FETCH_TIMEOUT_S + 2.0
"""Seconds for which a version must be unused before its parts are freed: fetches in progress have ended, and
boxes with an older view have caught up."""

MAX_PARTS_PER_CALL = 400
"""Maximum number of parts freed with one call, which bounds the size of the request to about 20 kB."""


class StoreGarbageCollector:
    """Frees outdated parts at store boxes. Only the first router does so."""

    def __init__(self, state: BoxState, peers: Peers) -> None:
        self.state = state
        self.peers = peers
        self.oldest_version_by_model: dict[str, int] = {}
        self.oldest_history_by_model: dict[str, VersionHistory] = {}

    async def run(self) -> None:
        """Free unused parts periodically until cancelled."""
        while True:
            # Only routers know the content of store boxes.
            await self.state.changed.wait_for(lambda: self.state.is_router)
            await asyncio.sleep(INTERVAL_S)
            catalog = self.state.catalog
            if catalog is None:
                continue
            self._update_oldest_versions(catalog)
            if self.state.stopping or not self._is_first_router():
                continue
            for store in fresh_stores(self.state, catalog):
                if store.managed:
                    await self._free_unused_parts(store)

    def _is_first_router(self) -> bool:
        return bool(self.state.routers) and self.state.routers[0].id == self.state.settings.id

    def _update_oldest_versions(self, catalog: Catalog) -> None:
        """Record the oldest version that any engine runs, by model, and since when."""
        oldest_version_by_model: dict[str, int] = {}
        for endpoint in self.state.fleet.by_id.values():
            engine = catalog.engine_of(endpoint.service)
            if engine is None:
                continue
            for model in engine.models or tuple(endpoint.versions_by_model):
                version = self.state.version_of(endpoint, model)
                oldest_version_by_model[model] = min(version, oldest_version_by_model.get(model, version))
        for model, version in oldest_version_by_model.items():
            if self.oldest_version_by_model.get(model) != version:
                self.oldest_version_by_model[model] = version
                self.oldest_history_by_model.setdefault(model, VersionHistory()).roll_back(
                    version, monotonic()
                )

    async def _free_unused_parts(self, store: StoreSpec) -> None:
        holding = self.state.holdings.by_address.get(store.address)
        if holding is None:
            return
        keys = tuple(key for key in holding.tokens_by_key if self._is_unused(key))[:MAX_PARTS_PER_CALL]
        if not keys:
            return
        decided_at = monotonic()
        outcome = await self.peers.free(store.address, keys, holding.incarnation)
        if outcome == FreeOutcome.FREED:
            self.state.metrics.freed.inc(len(keys))
        self.state.log.line(
            LogEvent.FREED,
            store=store.id,
            parts=len(keys),
            life=holding.incarnation,
            oldest=self.oldest_version_by_model,
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

    def _is_unused(self, key: PartKey) -> bool:
        scope = parse_scope(key[0])
        if scope is None:
            return False
        oldest_version = self.oldest_version_by_model.get(scope.model)
        if oldest_version is None or scope.version >= oldest_version:
            return False
        unused_since = self.oldest_history_by_model[scope.model].replaced_at(scope.version)
        return unused_since is not None and monotonic() - unused_since > UNUSED_GRACE_S
