"""Which engines and store boxes hold which parts of prompts, as told by their events.

What is believed of an engine may be wrong: a miss costs time only. What is believed of a store box must
be true, because a store box does not check what it hands out: its view counts only while its events are
followed without a gap.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

PartKey = tuple[str, str]
"""The scope under which context is kept, and a part's id."""

MAX_DROPPED = 2_000
"""Dropped parts of one holder whose last event's number is remembered: some seconds of events."""


@dataclass(frozen=True)
class PartEvent:
    """A holder now keeps `tokens` of a part; 0 where it dropped the part."""

    number: int
    scope: str
    part: str
    tokens: int


@dataclass
class Holding:
    """What one holder keeps: tokens by key, their total, and the last event's number about each key."""

    incarnation: int = 0
    position: int = 0
    updated_at: float = 0.0
    total: int = 0
    tokens_by_key: dict[PartKey, int] = field(default_factory=dict)
    number_by_key: dict[PartKey, int] = field(default_factory=dict)


@dataclass
class Holdings:
    """All holders by address, and the holders of each part."""

    by_address: dict[str, Holding] = field(default_factory=dict)
    holders_by_key: dict[PartKey, set[str]] = field(default_factory=dict)

    def replace(
        self, address: str, incarnation: int, position: int, parts: Iterable[tuple[PartKey, int]], now: float
    ) -> None:
        """Take in a whole list of what a holder keeps."""
        self.forget(address)
        holding = Holding(incarnation, position, now)
        self.by_address[address] = holding
        for key, tokens in parts:
            self._set(address, holding, key, tokens, position)

    def apply(self, address: str, events: Iterable[PartEvent], position: int, now: float) -> None:
        """Take in a holder's events; one that is older than what is known of its part changes nothing."""
        holding = self.by_address.setdefault(address, Holding())
        holding.position = position
        holding.updated_at = now
        for event in events:
            key = (event.scope, event.part)
            if event.number > holding.number_by_key.get(key, -1):
                self._set(address, holding, key, event.tokens, event.number)

    def expect(self, address: str, scope: str, part: str, tokens: int) -> None:
        """Believe that a holder is about to keep a part, until its events say more."""
        holding = self.by_address.setdefault(address, Holding())
        key = (scope, part)
        if holding.tokens_by_key.get(key, 0) < tokens:
            self._set(address, holding, key, tokens, holding.number_by_key.get(key, -1))

    def forget(self, address: str) -> None:
        """Forget all about a holder."""
        holding = self.by_address.pop(address, None)
        if holding is None:
            return
        for key in list(holding.tokens_by_key):
            self._drop_holder(address, key)

    def tokens(self, address: str, scope: str, part: str) -> int:
        """Return how many tokens of a part a holder is believed to keep."""
        holding = self.by_address.get(address)
        return 0 if holding is None else holding.tokens_by_key.get((scope, part), 0)

    def holders(self, scope: str, part: str) -> set[str]:
        """Return the addresses believed to keep some of a part."""
        return self.holders_by_key.get((scope, part), set())

    def _set(self, address: str, holding: Holding, key: PartKey, tokens: int, number: int) -> None:
        holding.number_by_key[key] = number
        holding.total += tokens - holding.tokens_by_key.get(key, 0)
        if tokens > 0:
            holding.tokens_by_key[key] = tokens
            self.holders_by_key.setdefault(key, set()).add(address)
            return
        # The number of a dropped part is kept: an older event about it may still arrive.
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
