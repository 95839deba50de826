"""Tracks which engines and store boxes hold which parts of prompts, from their events.

A wrong belief about an engine only costs time. A store box does not check what it serves, so its contents
may be used only while its events are followed without a gap.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import msgspec

PartKey = tuple[str, str]
"""Scope of the context, and id of the part."""

MAX_DROPPED = 2_000
"""Dropped parts of one holder whose last event number is remembered. Covers some seconds of events."""


class PartEvent(msgspec.Struct, frozen=True):
    """A holder now has `tokens` of a part; 0 if it dropped the part."""

    number: int
    scope: str
    part: str
    tokens: int


@dataclass
class Holding:
    """The contents of one holder: tokens by key, their total, and the number of the last event about each
    key.

    position: number of the last event received. updated_at: monotonic seconds of the last update.
    """

    incarnation: int = 0
    position: int = 0
    updated_at: float = 0.0
    total: int = 0
    tokens_by_key: dict[PartKey, int] = field(default_factory=dict)
    number_by_key: dict[PartKey, int] = field(default_factory=dict)


@dataclass
class Holdings:
    """All holders by address, and the holders of each part.

    life_by_address: the incarnation, and when its first list was received, -inf if no earlier one is known.
    """

    by_address: dict[str, Holding] = field(default_factory=dict)
    holders_by_key: dict[PartKey, set[str]] = field(default_factory=dict)
    life_by_address: dict[str, tuple[int, float]] = field(default_factory=dict)

    def replace(
        self, address: str, incarnation: int, position: int, parts: Iterable[tuple[PartKey, int]], now: float
    ) -> None:
        """Replace what is known of a holder by a complete list."""
        self.forget(address)
        holding = Holding(incarnation, position, now)
        self.by_address[address] = holding
        for key, tokens in parts:
            self._set(address, holding, key, tokens, position)

    def record_list(self, address: str, incarnation: int, received_at: float) -> None:
        """Record that a list of an incarnation was received."""
        known = self.life_by_address.get(address)
        if known is None:
            self.life_by_address[address] = incarnation, float("-inf")
        elif known[0] != incarnation:
            self.life_by_address[address] = incarnation, received_at

    def started_anew_at(self, address: str) -> float:
        """Return when a holder was first seen in another incarnation than before, -inf for never."""
        known = self.life_by_address.get(address)
        return float("-inf") if known is None else known[1]

    def apply(self, address: str, events: Iterable[PartEvent], position: int, now: float) -> None:
        """Apply a holder's events; an event older than the last one about its part is ignored."""
        holding = self.by_address.setdefault(address, Holding())
        holding.position = position
        holding.updated_at = now
        for event in events:
            key = (event.scope, event.part)
            if event.number > holding.number_by_key.get(key, -1):
                self._set(address, holding, key, event.tokens, event.number)

    def expect(self, address: str, scope: str, part: str, tokens: int) -> None:
        """Assume that a holder is about to have a part, until its events say otherwise."""
        holding = self.by_address.setdefault(address, Holding())
        key = (scope, part)
        if holding.tokens_by_key.get(key, 0) < tokens:
            self._set(address, holding, key, tokens, holding.number_by_key.get(key, -1))

    def drop(self, address: str, incarnation: int, keys: Iterable[PartKey]) -> None:
        """Drop parts that one incarnation of a holder has freed, until its events say otherwise."""
        holding = self.by_address.get(address)
        if holding is None or holding.incarnation != incarnation:
            return
        for key in keys:
            self._set(address, holding, key, 0, holding.number_by_key.get(key, -1))

    def forget(self, address: str) -> None:
        """Forget a holder."""
        holding = self.by_address.pop(address, None)
        if holding is None:
            return
        for key in list(holding.tokens_by_key):
            self._drop_holder(address, key)

    def tokens(self, address: str, scope: str, part: str) -> int:
        """Return how many tokens of a part a holder is believed to have."""
        holding = self.by_address.get(address)
        return 0 if holding is None else holding.tokens_by_key.get((scope, part), 0)

    def resident(self, address: str, keys: Sequence[PartKey]) -> tuple[int, ...]:
        """Return how many tokens of each of several parts a holder is believed to have."""
        holding = self.by_address.get(address)
        if holding is None:
            return (0,) * len(keys)
        tokens_by_key = holding.tokens_by_key
        return tuple([tokens_by_key.get(key, 0) for key in keys])

    def holders(self, scope: str, part: str) -> set[str]:
        """Return the addresses believed to have some of a part."""
        return self.holders_by_key.get((scope, part), set())

    def _set(self, address: str, holding: Holding, key: PartKey, tokens: int, number: int) -> None:
        holding.number_by_key[key] = number
        holding.total += tokens - holding.tokens_by_key.get(key, 0)
        if tokens > 0:
            holding.tokens_by_key[key] = tokens
            self.holders_by_key.setdefault(key, set()).add(address)
            return
        # The number of a dropped part is kept, since an older event about it may still arrive.
        if holding.tokens_by_key.pop(key, None) is not None:
            self._drop_holder(address, key)
        if len(holding.number_by_key) > len(holding.tokens_by_key) + MAX_DROPPED:
            self._forget_dropped(holding)

    def _forget_dropped(self, holding: Holding) -> None:
        dropped = [key for key in holding.number_by_key if key not in holding.tokens_by_key]
        for key in dropped[: len(dropped) // 2]:
            del holding.number_by_key[key]

    def _drop_holder(self, address: str, key: PartKey) -> None:
        holders = self.holders_by_key.get(key)
        if holders is None:
            return
        holders.discard(address)
        if not holders:
            del self.holders_by_key[key]
