"""Which engines are told next to load a newly named version of their weights."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

AT_ONCE_SHARE = 0.2
"""Share of the engines that load at the same time, one at least. The others must hold the memory of all
runs, about 0.6 of it on a standard day; and all are to be through in less than twelve seconds, at a second
and a half each."""

ORDER_SETTLES_S = 6.0
"""Seconds for which an order without a visible effect counts as under way; it may be taken late."""


@dataclass(frozen=True)
class EngineState:
    """What is known of one engine's weights. `sequence` counts the orders that it has taken."""

    id: str
    model: str
    version: int
    busy: bool = False
    running: int = 0
    sequence: int | None = None


@dataclass(frozen=True)
class Order:
    """Tell an engine to load a version, if it has taken `sequence` orders so far."""

    engine: str
    model: str
    version: int
    sequence: int | None


def outdated(engines: Iterable[EngineState], named: Mapping[str, int]) -> list[EngineState]:
    """Return the engines that run an older version than the one named for their model."""
    return [engine for engine in engines if engine.version < named.get(engine.model, 0)]


def next_orders(
    engines: Iterable[EngineState],
    named: Mapping[str, int],
    ordered_at: Mapping[tuple[str, int], float],
    now: float,
) -> list[Order]:
    """Return the orders to give now, the least busy engines first.

    An engine whose count of orders is not known gets none: one carried out late could not be told from a
    newer one. `ordered_at` has the monotonic time of orders already given, by engine and version. An engine
    that is loading counts towards the limit; one whose order seems lost is told again after a while.
    """
    known = list(engines)
    behind = outdated(known, named)
    settling = [
        engine
        for engine in behind
        if now - ordered_at.get((engine.id, named[engine.model]), float("-inf")) < ORDER_SETTLES_S
    ]
    loading = {engine.id for engine in known if engine.busy} | {engine.id for engine in settling}
    ready = [engine for engine in behind if engine.id not in loading and engine.sequence is not None]
    waiting = sorted(ready, key=lambda engine: (engine.running, engine.id))
    at_once = max(1, int(len(known) * AT_ONCE_SHARE))
    free = max(0, at_once - len(loading))
    return [Order(item.id, item.model, named[item.model], item.sequence) for item in waiting[:free]]
