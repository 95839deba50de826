"""Estimates of which prompt blocks are cached in engines and store boxes.

An error costs time only: engines verify imported blocks by checksum.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from stairquay.core.identity import BLOCK_TOKENS

DEFAULT_CACHE_TOKENS = 400_000


@dataclass
class EngineCache:
    """Estimated cache contents of one engine, least recently used first."""

    capacity_tokens: int = DEFAULT_CACHE_TOKENS
    blocks: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def touch(self, ids: Iterable[str]) -> None:
        """Mark blocks as cached and most recently used."""
        for block in ids:
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        limit = max(1, self.capacity_tokens // BLOCK_TOKENS)
        while len(self.blocks) > limit:
            self.blocks.popitem(last=False)

    def drop(self, ids: Iterable[str]) -> None:
        """Remove blocks."""
        for block in ids:
            self.blocks.pop(block, None)

    def prefix_length(self, ids: tuple[str, ...]) -> int:
        """Return the number of leading blocks of a chain that are cached."""
        for count, block in enumerate(ids):
            if block not in self.blocks:
                return count
        return len(ids)


class EngineCaches:
    """Estimated cache contents of all engines, by endpoint id."""

    def __init__(self) -> None:
        self.by_endpoint: dict[str, EngineCache] = {}

    def of(self, endpoint: str) -> EngineCache:
        """Return the cache of an endpoint, empty at first."""
        return self.by_endpoint.setdefault(endpoint, EngineCache())

    def reset(self, endpoint: str) -> None:
        """Drop the cache of an endpoint that restarted."""
        self.by_endpoint.pop(endpoint, None)

    def correct(self, endpoint: str, ids: tuple[str, ...], cached_blocks: int) -> None:
        """Update the cache after a run that reported its leading cached blocks; all are cached now."""
        memory = self.of(endpoint)
        memory.drop(ids[cached_blocks:])
        memory.touch(ids)


@dataclass(frozen=True)
class StoredBlock:
    """One block in a store box: its index in a segment, and the checksum of its bytes."""

    store: str
    segment: str
    index: int
    checksum: str


@dataclass(frozen=True)
class Segment:
    """Manifest of consecutive blocks that were exported together.

    name: unique for every export
    version: weight version
    value: return probability at the last use
    used_at: Unix time of the last use
    """

    name: str
    ids: tuple[str, ...]
    checksums: tuple[str, ...]
    block_bytes: int
    version: str
    value: float = 0.0
    used_at: float = 0.0


class StoredBlockIndex:
    """Locations of blocks in store boxes by block id, built from the boxes' catalogues."""

    def __init__(self) -> None:
        self.segments_by_store: dict[str, dict[str, Segment]] = {}
        self.locations_by_block: dict[str, dict[str, StoredBlock]] = {}

    def add(self, store: str, segment: Segment) -> None:
        """Add a segment, once its manifest is written."""
        self.segments_by_store.setdefault(store, {})[segment.name] = segment
        for index, block in enumerate(segment.ids):
            location = StoredBlock(store, segment.name, index, segment.checksums[index])
            self.locations_by_block.setdefault(block, {})[store] = location

    def remove(self, store: str, name: str) -> None:
        """Remove a segment, once its manifest is deleted."""
        segment = self.segments_by_store.get(store, {}).pop(name, None)
        if segment is None:
            return
        for block in segment.ids:
            self._remove_location(block, store, name)

    def reset(self, store: str) -> None:
        """Remove all segments of a store box that restarted or left."""
        for name in list(self.segments_by_store.get(store, {})):
            self.remove(store, name)

    def has(self, block: str) -> bool:
        """Tell whether any store box holds a block."""
        return block in self.locations_by_block

    def contiguous_blocks(self, store: str, ids: tuple[str, ...], start: int) -> tuple[StoredBlock, ...]:
        """Return the blocks of a chain that a store holds from index `start` up to the first gap."""
        found = []
        for block in ids[start:]:
            location = self.locations_by_block.get(block, {}).get(store)
            if location is None:
                break
            found.append(location)
        return tuple(found)

    def _remove_location(self, block: str, store: str, name: str) -> None:
        locations = self.locations_by_block.get(block, {})
        location = locations.get(store)
        if location is None or location.segment != name:
            return
        del locations[store]
        if not locations:
            del self.locations_by_block[block]
