"""Imports stored context into engines, once for all prompts that need the same blocks."""

import asyncio
import time
from dataclasses import dataclass

from aiohttp import ClientSession
from result import Err

from stairquay.adapters.clock import monotonic
from stairquay.adapters.engine import ImportBlock, ImportOrder, import_blocks
from stairquay.core.models import Box, EngineCosts
from stairquay.core.routing import Import, block_bytes
from stairquay.router.state import RouterState


@dataclass(frozen=True)
class ImportRequest:
    """Blocks to import into one engine; `ids` are the block ids of `import_`, in order."""

    endpoint: str
    address: str
    version: str
    ids: tuple[str, ...]
    import_: Import
    costs: EngineCosts


class Importer:
    """Starts imports, and keeps the running ones by endpoint and block."""

    def __init__(self, state: RouterState, session: ClientSession) -> None:
        self.state = state
        self.session = session
        self.pending: dict[tuple[str, str], asyncio.Task[int]] = {}

    def start(self, request: ImportRequest) -> int:
        """Start to import the blocks that no running import covers; return their size in bytes.

        The blocks count as cached at once, so that later prompts are routed to the same engine.
        """
        new_indexes = [
            i for i, block in enumerate(request.ids) if (request.endpoint, block) not in self.pending
        ]
        if not new_indexes:
            return 0
        order = self._import_order(request, new_indexes)
        size = len(new_indexes) * order.block_bytes
        self.state.link(request.import_.store).start_import(size, request.costs.link_bytes_s, monotonic())
        self.state.engine_caches.of(request.endpoint).touch(request.ids)
        task = asyncio.create_task(self._run_import(request, order, size))
        for block in order.blocks:
            self.pending[request.endpoint, block.id] = task
        return size

    def pending_imports(self, endpoint: str, ids: tuple[str, ...]) -> set[asyncio.Task[int]]:
        """Return the running imports of any of these blocks into an engine."""
        found = {self.pending.get((endpoint, block)) for block in ids}
        return {task for task in found if task is not None}

    async def wait_for_pending(self) -> None:
        """Wait until the running imports have ended."""
        await asyncio.gather(*set(self.pending.values()), return_exceptions=True)

    def _import_order(self, request: ImportRequest, new_indexes: list[int]) -> ImportOrder:
        blocks = []
        for index in new_indexes:
            location = request.import_.blocks[index]
            blocks.append(
                ImportBlock(request.ids[index], location.segment, location.index, location.checksum)
            )
        store = self.state.live_stores().get(request.import_.store)
        return ImportOrder(
            store=_store_address(store),
            version=request.version,
            valid_until=time.time() + self.state.settings.import_timeout_s,
            block_bytes=block_bytes(request.costs),
            blocks=tuple(blocks),
        )

    async def _run_import(self, request: ImportRequest, order: ImportOrder, size: int) -> int:
        started = monotonic()
        store = request.import_.store
        timeout_s = self.state.settings.import_timeout_s
        outcome = await import_blocks(self.session, request.address, order, timeout_s)
        for block in order.blocks:
            self.pending.pop((request.endpoint, block.id), None)
        imported_blocks = 0 if isinstance(outcome, Err) else outcome.ok_value.blocks
        missing_ids = [block.id for block in order.blocks[imported_blocks:]]
        self.state.engine_caches.of(request.endpoint).drop(missing_ids)
        imported_bytes = imported_blocks * order.block_bytes
        self.state.link(store).finish_import(
            imported_bytes, monotonic() - started, request.costs.link_bytes_s
        )
        self._record_metrics(store, imported_bytes, bool(missing_ids))
        return imported_blocks

    def _record_metrics(self, store: str, imported_bytes: int, partial: bool) -> None:
        outcome = "short" if partial else "whole"
        self.state.metrics.imports.labels(store, outcome).inc()
        self.state.metrics.link_bytes.labels(store, "import").inc(imported_bytes)


def _store_address(box: Box | None) -> str:
    return "" if box is None else box.addresses["http"]
