"""Where a prompt's blocks may be: soft state about engines' memory and store boxes.

Everything here may be wrong. A wrong guess costs time only: engines and store boxes have the last
word on what they hold.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from stairquay.core.identity import BLOCK_TOKENS

DEFAULT_CACHE_TOKENS = 400_000


@dataclass
class EngineCache:
    """Blocks that one engine is believed to hold, least recently used first."""

    capacity_tokens: int = DEFAULT_CACHE_TOKENS
    blocks: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def touch(self, ids: Iterable[str]) -> None:
        """Mark blocks as held and most recently used."""
        for block in ids:
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        limit = max(1, self.capacity_tokens // BLOCK_TOKENS)
        while len(self.blocks) > limit:
            self.blocks.popitem(last=False)

    def drop(self, ids: Iterable[str]) -> None:
        """Forget blocks."""
        for block in ids:
            self.blocks.pop(block, None)

    def prefix_length(self, ids: tuple[str, ...]) -> int:
        """Return how many leading blocks of a chain are believed held."""
        for count, block in enumerate(ids):
            if block not in self.blocks:
                return count
        return len(ids)


class EngineCaches:
    """Believed memory of every engine, by endpoint id."""

    def __init__(self) -> None:
        self.by_endpoint: dict[str, EngineCache] = {}

    def of(self, endpoint: str) -> EngineCache:
        """Return the memory of an endpoint, empty at first."""
        return self.by_endpoint.setdefault(endpoint, EngineCache())

    def reset(self, endpoint: str) -> None:
        """Forget all about an endpoint that started anew."""
        self.by_endpoint.pop(endpoint, None)

    def correct(self, endpoint: str, ids: tuple[str, ...], cached_blocks: int) -> None:
        """Take in what an answer's usage said: these leading blocks were held, no more.

        The run itself has put all of its blocks into memory by now.
        """
        memory = self.of(endpoint)
        memory.drop(ids[cached_blocks:])
        memory.touch(ids)


@dataclass(frozen=True)
class StoredBlock:
    """One block in a store box: its place in a segment, and the checksum of its bytes."""

    store: str
    segment: str
    index: int
    checksum: str


@dataclass(frozen=True)
class Segment:
    """A run of blocks that were exported together, as its manifest describes it.

    `name` is unique for every export, so that a name is never used for other bytes.
    """

    name: str
    ids: tuple[str, ...]
    checksums: tuple[str, ...]
    block_bytes: int
    version: str
    value: float = 0.0
    used_at: float = 0.0


class StoredBlockIndex:
    """Blocks in store boxes by identity, derived from the boxes' own catalogues."""

    def __init__(self) -> None:
        self.segments_by_store: dict[str, dict[str, Segment]] = {}
        self.locations_by_block: dict[str, dict[str, StoredBlock]] = {}

    def add(self, store: str, segment: Segment) -> None:
        """Take in a segment whose manifest is written."""
        self.segments_by_store.setdefault(store, {})[segment.name] = segment
        for index, block in enumerate(segment.ids):
            location = StoredBlock(store, segment.name, index, segment.checksums[index])
            self.locations_by_block.setdefault(block, {})[store] = location

    def remove(self, store: str, name: str) -> None:
        """Forget a segment whose manifest is gone."""
        segment = self.segments_by_store.get(store, {}).pop(name, None)
        if segment is None:
            return
        for block in segment.ids:
            self._remove_location(block, store, name)

    def reset(self, store: str) -> None:
        """Forget all about a store box that started anew or left."""
        for name in list(self.segments_by_store.get(store, {})):
            self.remove(store, name)

    def has(self, block: str) -> bool:
        """Tell whether any store box is believed to hold a block."""
        return block in self.locations_by_block

    def contiguous_blocks(self, store: str, ids: tuple[str, ...], start: int) -> tuple[StoredBlock, ...]:
        """Return the unbroken run of a chain's blocks in one store, from index `start` on."""
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
