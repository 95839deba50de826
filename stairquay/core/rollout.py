"""Chooses which engines load a new version of their weights next."""

from collections.abc import Iterable, Mapping
from math import ceil

import msgspec

CONCURRENT_LOADS_SHARE = 0.3
"""Share of the engines that load concurrently, at least one. The others must be able to hold the memory of
all running requests, about 0.6 of the memory of all engines at usual load. Engines load at full speed while
no more than 2 of 5, or 22 of 56, load at once."""

DEADLINE_SHARE = 0.9
"""Share of the rollout's time limit by which all engines are to have loaded the version. As many more engines
load concurrently as that takes. No more than that, since an engine serves nothing while it loads: when all
loaded at once after half of the time, 46 prompts were refused in three runs, against 1."""

LOAD_DURATION_S = 1.5
"""Assumed seconds from an order until the engine reports that it has loaded: engines load for 0.9 to 1.3 s,
and reports are 0.2 to 0.5 s old. A longer time only lets a few more engines load concurrently."""

ACCEPTED_ORDER_TIMEOUT_S = 6.0
"""Seconds for which an accepted order counts as pending if no effect is reported."""

UNANSWERED_ORDER_TIMEOUT_S = 2.5
"""Seconds after which an unanswered order is sent again. The engine's sequence number rejects a late
duplicate."""


class EngineState(msgspec.Struct, frozen=True):
    """What is known of one engine's weights.

    busy: it is loading weights. running: requests in progress. sequence: number of orders that it has
    accepted, or None if unknown. replaced_s: seconds since its weights were replaced by a newer version.
    """

    id: str
    model: str
    version: int
    busy: bool = False
    running: int = 0
    sequence: int | None = None
    replaced_s: float = 0.0


class IssuedOrder(msgspec.Struct, frozen=True):
    """An order that was sent, by monotonic time. answered: the engine accepted it."""

    at: float
    answered: bool = True

    def is_pending(self, now: float) -> bool:
        """Tell whether the order may still take effect."""
        return now - self.at < (ACCEPTED_ORDER_TIMEOUT_S if self.answered else UNANSWERED_ORDER_TIMEOUT_S)


class Order(msgspec.Struct, frozen=True):
    """Tells an engine to load a version, provided that it has accepted `sequence` orders so far."""

    engine: str
    model: str
    version: int
    sequence: int | None


def outdated(engines: Iterable[EngineState], target_versions: Mapping[str, int]) -> list[EngineState]:
    """Return the engines that run an older version than their model's target version."""
    return [engine for engine in engines if engine.version < target_versions.get(engine.model, 0)]


def next_orders(
    engines: Iterable[EngineState],
    target_versions: Mapping[str, int],
    issued: Mapping[tuple[str, int], IssuedOrder],
    now: float,
    within_s: float = float("inf"),
) -> list[Order]:
    """Return the orders to send now: oldest weights first, then fewest running requests.

    Engines with an unknown sequence number get none, since they could not reject an outdated order. Engines
    with unanswered orders do not count as loading, since they may never load. issued: orders sent, by engine
    and version. within_s: time limit of the rollout.
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
    """Return how many engines must load concurrently for all to meet the time limit, those whose weights were
    replaced first going first."""
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
    """Return the order that an outdated engine may still be carrying out."""
    version = target_versions.get(engine.model, 0)
    order = issued.get((engine.id, version))
    if engine.version >= version or order is None or not order.is_pending(now):
        return None
    return order
