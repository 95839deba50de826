"""Which engines are told next to load a newly named version of their weights."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

AT_ONCE_SHARE = 0.3
"""Share of the engines that load at the same time, one at least: one of 5, 16 of 56, where two and 22 load at
full speed. The others must hold the memory of all runs, about 0.6 of it on a standard day; and all are to be
through in less than twelve seconds, at a second and a half each."""

HURRY_SHARE = 0.55
"""Share of the time in which a version is to be everywhere after which all engines load at once: slower
loads cost less than requests on replaced weights."""

ORDER_SETTLES_S = 6.0
"""Seconds for which an order that was taken counts as under way without a visible effect."""

SILENT_SETTLES_S = 2.5
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
class Given:
    """An order that was given, by monotonic time. `answered`: the engine said that it took it."""

    at: float
    answered: bool = True

    def settles(self, now: float) -> bool:
        """Tell whether the order may still show its effect."""
        return now - self.at < (ORDER_SETTLES_S if self.answered else SILENT_SETTLES_S)


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
    given: Mapping[tuple[str, int], Given],
    now: float,
    hurry: bool = False,
) -> list[Order]:
    """Return the orders to give now, the engines with the oldest weights first, and the least busy of these.

    `given` has the orders already given, by engine and version. An engine whose count of orders is not known
    gets none: one carried out late could not be told from a newer one. An engine that is loading counts
    towards the limit; one that did not answer does not, since it may never load. In a hurry all load at once.
    """
    known = list(engines)
    settling = {
        engine.id: sent for engine in known if (sent := _settling(engine, named, given, now)) is not None
    }
    loading = {engine.id for engine in known if engine.busy}
    loading |= {key for key, sent in settling.items() if sent.answered}
    ready = [
        engine
        for engine in outdated(known, named)
        if engine.id not in loading and engine.id not in settling and engine.sequence is not None
    ]
    waiting = sorted(ready, key=lambda engine: (engine.version, engine.running, engine.id))
    at_once = len(known) if hurry else max(1, int(len(known) * AT_ONCE_SHARE))
    free = max(0, at_once - len(loading))
    return [Order(item.id, item.model, named[item.model], item.sequence) for item in waiting[:free]]


def _settling(
    engine: EngineState, named: Mapping[str, int], given: Mapping[tuple[str, int], Given], now: float
) -> Given | None:
    """Return the order that an engine that is behind may still be carrying out."""
    version = named.get(engine.model, 0)
    sent = given.get((engine.id, version))
    if engine.version >= version or sent is None or not sent.settles(now):
        return None
    return sent
