"""Brings kept context to engines: one import for all prompts that want the same blocks."""

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
class Want:
    """Blocks to bring to one engine: `ids` are the identities of the import's blocks, in order."""

    endpoint: str
    address: str
    version: str
    ids: tuple[str, ...]
    import_: Import
    costs: EngineCosts


class Importer:
    """Imports under way, by endpoint and block."""

    def __init__(self, state: RouterState, session: ClientSession) -> None:
        self.state = state
        self.session = session
        self.pending: dict[tuple[str, str], asyncio.Task[int]] = {}

    def start(self, want: Want) -> int:
        """Start to bring the blocks that are not on their way yet; return the bytes asked for.

        The engine's memory is taken to hold them from now on, so that prompts that come in the
        meantime are sent to the same engine and wait for the same import.
        """
        fresh = [i for i, block in enumerate(want.ids) if (want.endpoint, block) not in self.pending]
        if not fresh:
            return 0
        order = self._order(want, fresh)
        size = len(fresh) * order.block_bytes
        self.state.link(want.import_.store).start_import(size, want.costs.link_bytes_s, monotonic())
        self.state.engine_caches.of(want.endpoint).touch(want.ids)
        task = asyncio.create_task(self._bring(want, order, size))
        for block in order.blocks:
            self.pending[want.endpoint, block.id] = task
        return size

    def under_way(self, endpoint: str, ids: tuple[str, ...]) -> set[asyncio.Task[int]]:
        """Return the imports that bring any of these blocks to an engine."""
        found = {self.pending.get((endpoint, block)) for block in ids}
        return {task for task in found if task is not None}

    async def drain(self) -> None:
        """Wait for the imports under way."""
        await asyncio.gather(*set(self.pending.values()), return_exceptions=True)

    def _order(self, want: Want, fresh: list[int]) -> ImportOrder:
        blocks = []
        for index in fresh:
            place = want.import_.blocks[index]
            blocks.append(ImportBlock(want.ids[index], place.segment, place.index, place.checksum))
        store = self.state.live_stores().get(want.import_.store)
        return ImportOrder(
            store=_address(store),
            version=want.version,
            valid_until=time.time() + self.state.settings.import_timeout_s,
            block_bytes=block_bytes(want.costs),
            blocks=tuple(blocks),
        )

    async def _bring(self, want: Want, order: ImportOrder, size: int) -> int:
        started = monotonic()
        store = want.import_.store
        timeout_s = self.state.settings.import_timeout_s
        outcome = await import_blocks(self.session, want.address, order, timeout_s)
        for block in order.blocks:
            self.pending.pop((want.endpoint, block.id), None)
        brought = 0 if isinstance(outcome, Err) else outcome.ok_value.blocks
        missing = [block.id for block in order.blocks[brought:]]
        self.state.engine_caches.of(want.endpoint).drop(missing)
        moved = brought * order.block_bytes
        self.state.link(store).finish_import(moved, monotonic() - started, want.costs.link_bytes_s)
        self._count(store, moved, bool(missing))
        return brought

    def _count(self, store: str, moved: int, short: bool) -> None:
        outcome = "short" if short else "whole"
        self.state.metrics.imports.labels(store, outcome).inc()
        self.state.metrics.link_bytes.labels(store, "import").inc(moved)


def _address(box: Box | None) -> str:
    return "" if box is None else box.addresses["http"]
