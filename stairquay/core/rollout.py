"""Which engines are told next to load a newly named version of their weights."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import ceil

CONCURRENT_LOADS_SHARE = 0.3
"""Share of the engines that load at the same time, one at least: one of 5, 16 of 56, where two and 22 load at
full speed. The others must hold the memory of all runs, about 0.6 of it at usual load; and all are to be
through in less than twelve seconds, at a second and a half each."""

DEADLINE_SHARE = 0.9
"""Share of the time in which a version is to be everywhere by which all engines are to have loaded it. Where
the loads left, one after the other, would take longer, more engines load at once, and only as many as that
takes: while all load, nothing is served. With all of them at once after half of the time, 46 prompts were
refused in three runs of a calm half minute with two versions, and 1 so."""

LOAD_DURATION_S = 1.5
"""Seconds from an order until the report that it is done: engines load for 0.9 to 1.3 s, and reports are 0.2
to 0.5 s old. Longer than that only means that a few more load at once."""

ACCEPTED_ORDER_TIMEOUT_S = 6.0
"""Seconds for which an order that was taken counts as under way without a visible effect."""

UNANSWERED_ORDER_TIMEOUT_S = 2.5
"""Seconds after which an order that got no answer is given again: it may be carried out later, and its
count of orders then no longer fits."""


@dataclass(frozen=True)
class EngineState:
    """What is known of one engine's weights. `sequence` counts the orders that it has taken; `replaced_s`:
    seconds for which its weights have been replaced by newer ones."""

    id: str
    model: str
    version: int
    busy: bool = False
    running: int = 0
    sequence: int | None = None
    replaced_s: float = 0.0


@dataclass(frozen=True)
class IssuedOrder:
    """An order that was given, by monotonic time. `answered`: the engine said that it took it."""

    at: float
    answered: bool = True

    def is_pending(self, now: float) -> bool:
        """Tell whether the order may still show its effect."""
        return now - self.at < (ACCEPTED_ORDER_TIMEOUT_S if self.answered else UNANSWERED_ORDER_TIMEOUT_S)


@dataclass(frozen=True)
class Order:
    """Tell an engine to load a version, if it has taken `sequence` orders so far."""

    engine: str
    model: str
    version: int
    sequence: int | None


def outdated(engines: Iterable[EngineState], target_versions: Mapping[str, int]) -> list[EngineState]:
    """Return the engines that run an older version than the one named for their model."""
    return [engine for engine in engines if engine.version < target_versions.get(engine.model, 0)]


def next_orders(
    engines: Iterable[EngineState],
    target_versions: Mapping[str, int],
    issued: Mapping[tuple[str, int], IssuedOrder],
    now: float,
    within_s: float = float("inf"),
) -> list[Order]:
    """Return the orders to give now, the engines with the oldest weights first, and the least busy of these.

    `given` has the orders already given, by engine and version. An engine whose count of orders is not known
    gets none: one carried out late could not be told from a newer one. An engine that is loading counts
    towards the limit; one that did not answer does not, since it may never load. within_s: the time in which
    a version is to be everywhere.
    """
    known = list(engines)
    pending = {
        engine.id: order
        for engine in known
        if (order := _pending_order(engine, target_versions, issued, now)) is not None
    }
    loading = {engine.id for engine in known if engine.busy}
    loading |= {key for key, order in pending.items() if order.answered}
    behind = outdated(known, target_versions)
    ready = [
        engine
        for engine in behind
        if engine.id not in loading and engine.id not in pending and engine.sequence is not None
    ]
    candidates = sorted(ready, key=lambda engine: (engine.version, engine.running, engine.id))
    concurrency = max(1, int(len(known) * CONCURRENT_LOADS_SHARE), _required_concurrency(behind, within_s))
    free = max(0, concurrency - len(loading))
    return [
        Order(item.id, item.model, target_versions[item.model], item.sequence) for item in candidates[:free]
    ]


def _required_concurrency(behind: Iterable[EngineState], within_s: float) -> int:
    """Return how many engines must load at the same time so that each has done so in time, those first whose
    weights have been replaced for longest."""
    needed = 0
    for loads, replaced_s in enumerate(sorted((item.replaced_s for item in behind), reverse=True), start=1):
        left_s = max(LOAD_DURATION_S, within_s * DEADLINE_SHARE - replaced_s)
        needed = max(needed, ceil(loads * LOAD_DURATION_S / left_s))
    return needed


def _pending_order(
    engine: EngineState,
    target_versions: Mapping[str, int],
    issued: Mapping[tuple[str, int], IssuedOrder],
    now: float,
) -> IssuedOrder | None:
    """Return the order that an engine that is behind may still be carrying out."""
    version = target_versions.get(engine.model, 0)
    order = issued.get((engine.id, version))
    if engine.version >= version or order is None or not order.is_pending(now):
        return None
    return order
