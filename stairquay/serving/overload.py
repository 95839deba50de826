"""Measures how late a box's event loop runs, and refuses requests while it is overloaded."""

import asyncio
from math import inf

from stairquay.adapters.clock import monotonic
from stairquay.core.catalog import Catalog
from stairquay.core.errors import ErrorKind, ExecutionStatus, Refusal
from stairquay.core.overload import MAX_OBJECTIVE_S, WINDOW_S, LoadLevel, shortest_objective_s
from stairquay.core.routers import Member
from stairquay.serving.event_log import LogEvent
from stairquay.serving.state import BoxState

TICK_INTERVAL_S = 0.1
"""Seconds between two ticks while ticks are late."""

CALM_TICK_INTERVAL_S = 0.25
"""Seconds between two ticks else, four in the window of a level: 1.2 instead of 2.7 ms of CPU time per s."""

CALM_LATE_S = 0.01
"""Lateness below which a tick is not late, half of the lowest threshold."""

MIN_PAUSE_S = 0.2
"""Lateness of a tick from which the process may have stood still."""

PREFER_OTHER_ROUTER_S = 1.0
"""Seconds for which other routers are asked before one that said that it is late."""


async def measure_lateness(state: BoxState) -> None:
    """Run the timer and apply its lateness, until cancelled.

    It pauses on a box without requests that is no router, so that an idle box is not woken.
    """
    objective = _ObjectiveCache()
    active_at = monotonic()
    late_s = 0.0
    while True:
        interval_s = tick_interval_s(state.load.level, late_s)
        due = state.tick_due_at = monotonic() + interval_s
        await asyncio.sleep(interval_s)
        now = monotonic()
        late_s = max(0.0, now - due)
        if late_s > MIN_PAUSE_S:
            state.paused_from, state.paused_until = due, now
        _apply_tick(state, now, late_s, objective.shortest_s(state.catalog))
        if _needs_timer(state):
            active_at = now
        elif now - active_at > WINDOW_S:
            state.tick_due_at = inf
            await _wait_until_needed(state)
            active_at = monotonic()


def tick_interval_s(level: LoadLevel, late_s: float) -> float:
    """Return the time until the next tick, after one that was this late."""
    calm = level == LoadLevel.NORMAL and late_s < CALM_LATE_S
    return CALM_TICK_INTERVAL_S if calm else TICK_INTERVAL_S


def _needs_timer(state: BoxState) -> bool:
    return state.in_flight > 0 or state.is_router or state.load.level != LoadLevel.NORMAL


async def _wait_until_needed(state: BoxState) -> None:
    """Wait for a request, or until this box is a router."""
    arrived = asyncio.ensure_future(state.load_wakeup.wait_for(lambda: _needs_timer(state)))
    elected = asyncio.ensure_future(state.changed.wait_for(lambda: _needs_timer(state)))
    try:
        await asyncio.wait((arrived, elected), return_when=asyncio.FIRST_COMPLETED)
    finally:
        arrived.cancel()
        elected.cancel()


class _ObjectiveCache:
    """The shortest objective of the configuration in force."""

    def __init__(self) -> None:
        self.catalog: Catalog | None = None
        self.objective_s = MAX_OBJECTIVE_S

    def shortest_s(self, catalog: Catalog | None) -> float:
        """Return the shortest objective of a configuration."""
        if catalog is not None and catalog is not self.catalog:
            self.catalog = catalog
            self.objective_s = shortest_objective_s(route.objective_s for route in catalog.routes)
        return self.objective_s


def _apply_tick(state: BoxState, now: float, late_s: float, objective_s: float) -> None:
    load, before = state.load, state.load.level
    state.metrics.loop_lateness.observe(late_s)
    level = load.observe(now, late_s, objective_s)
    if level == before:
        return
    state.metrics.load_level.set(level)
    state.log.line(
        LogEvent.LOAD,
        level=level.name.lower(),
        before=before.name.lower(),
        late_s=load.lateness.late_s,
        objective_s=objective_s,
        in_progress=load.limit.in_progress(),
        limit=load.limit.limit,
        refused=load.refused_total,
    )


def overload_refusal(state: BoxState, priority: int, objective_s: float) -> Refusal:
    """Return the refusal of a request that this box has no time for.

    It is counted but gets no log line, as a refusal has to take much less CPU time than serving. The
    connection is to be closed, so that the retry reaches another box.
    """
    retry_after_s = state.load.refuse(priority, objective_s, monotonic())
    state.metrics.late_refusals.inc()
    state.metrics.late_refusal_reasons.inc()
    state.log.leave_out(LogEvent.REFUSED)
    return Refusal(ErrorKind.OVERLOADED, ExecutionStatus.NOT_RUN, "this box is late", retry_after_s)


def record_router_lateness(state: BoxState, router: str, late_s: float) -> None:
    """Prefer other routers for a while if one said that it is late."""
    if late_s > 0:
        state.late_until_by_router[router] = monotonic() + PREFER_OTHER_ROUTER_S


def order_by_lateness(state: BoxState, routers: list[Member]) -> list[Member]:
    """Return routers in the same order, but with those that are late at the end.

    A box never passes over itself: asking another router would take more of its time.
    """
    if not state.late_until_by_router:
        return routers
    now, own = monotonic(), state.settings.id
    late = {router for router, until in state.late_until_by_router.items() if until > now}
    return sorted(routers, key=lambda router: router.id in late and router.id != own)
