"""Delays the use of engines that a router has just taken over, as another router may still place there.

Routers learn at different times that another one is gone, or is back. Two of them that count at the same
engine each keep its bound, but not together. So a router waits until the one before it has answered no ping
for so long that it knows of its own pause, and then waits as well.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from stairquay.core.reach import NEVER

HANDOVER_S = 2.5
"""Seconds for which a router leaves engines alone that it has taken over."""

MAX_HANDOVER_S = 6.0
"""The same while the engine still has runs that this router did not place. They may be long ones whose router
is gone."""

GONE_HANDOVER_S = 0.8
"""The same where the router before is known to be gone, so that the engine's reports, which come every 0.45 s
and lag by 0.2 s, tell all of its runs."""

MIN_PAUSE_S = 0.6
"""Seconds between two updates from which a router may have missed a ping. Updates come every 0.25 s, and a
ping is waited for half a second."""

PINGED_AGAIN_S = 0.8
"""Seconds after a pause within which the other routers get the answer to a ping."""


@dataclass
class Handovers:
    """When this router took its engines over, in monotonic seconds.

    unreached_since: the beginning of the last pauses between which no ping may have been answered.
    unreached_until: when one has been answered again.
    """

    began_at_by_engine: dict[str, float] = field(default_factory=dict)
    # When an engine was last seen with runs that this router did not place.
    foreign_at_by_engine: dict[str, float] = field(default_factory=dict)
    complete: set[str] = field(default_factory=set)
    # When the router of an engine was found to be gone.
    gone_at_by_engine: dict[str, float] = field(default_factory=dict)
    updated_at: float = NEVER
    unreached_since: float = NEVER
    unreached_until: float = NEVER

    def update(self, engines: Collection[str], now: float) -> None:
        """Record the engines that this box routes for; to be called several times a second."""
        known = {} if self._may_be_replaced(now) else self.began_at_by_engine
        if now - self.updated_at > MIN_PAUSE_S:
            self.unreached_since = self._unreached_since()
            self.unreached_until = now + PINGED_AGAIN_S
        self.updated_at = now
        self.began_at_by_engine = {engine: known.get(engine, now) for engine in engines}
        self.complete.intersection_update(known.keys() & self.began_at_by_engine.keys())
        for engine in self.pending():
            if self._ends_at(engine) <= now:
                self.complete.add(engine)
        pending = self.began_at_by_engine.keys() - self.complete
        for evidence in (self.foreign_at_by_engine, self.gone_at_by_engine):
            for engine in evidence.keys() - pending:
                del evidence[engine]

    def pending(self) -> list[str]:
        """Return the engines that are not used yet."""
        return [engine for engine in self.began_at_by_engine if engine not in self.complete]

    def restart(self, now: float) -> None:
        """Begin anew with the engines not used yet, since their router has answered."""
        for engine in self.pending():
            self.began_at_by_engine[engine] = now
            self.gone_at_by_engine.pop(engine, None)

    def record_gone(self, now: float) -> None:
        """Record that all routers which may have used the pending engines are gone."""
        for engine in self.pending():
            self.gone_at_by_engine.setdefault(engine, now)

    def record_foreign_runs(self, engine: str, now: float) -> None:
        """Record that an engine has runs that this router did not place."""
        self.foreign_at_by_engine[engine] = now

    def wait_s(self, engine: str, now: float) -> float | None:
        """Return the seconds until an engine may be used, None if this box does not route for it."""
        if engine not in self.began_at_by_engine:
            return None
        if self._may_be_replaced(now):
            return HANDOVER_S
        return 0.0 if engine in self.complete else max(0.0, self._ends_at(engine) - now)

    def _may_be_replaced(self, now: float) -> bool:
        """Tell whether this router has just been paused for so long that another one may place for it."""
        paused = now - self.updated_at > MIN_PAUSE_S
        return paused and now + PINGED_AGAIN_S - self._unreached_since() >= HANDOVER_S

    def _unreached_since(self) -> float:
        return self.unreached_since if self.updated_at <= self.unreached_until else self.updated_at

    def _ends_at(self, engine: str) -> float:
        began_at = self.began_at_by_engine[engine]
        gone_at = self.gone_at_by_engine.get(engine)
        if gone_at is not None:
            return gone_at + GONE_HANDOVER_S
        foreign_at = self.foreign_at_by_engine.get(engine, NEVER)
        return max(began_at + HANDOVER_S, min(foreign_at + HANDOVER_S, began_at + MAX_HANDOVER_S))
