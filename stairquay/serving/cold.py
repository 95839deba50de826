"""Which endpoints are cold, and how many requests this box may send to one of them.

News of coldness is up to three seconds old, so that endpoints count as cold, too, which may be: those that
were not to be reached and may have started again, and those of a data hall whose evacuation was taken back.
"""

from random import Random

from stairquay.core.cold import ALONE_SHARE, ROUTER_BURST, ROUTER_SHARE, ColdLimit, Pace, pace_alone
from stairquay.core.fleet import Endpoint
from stairquay.serving.endpoint import NEVER
from stairquay.serving.state import BoxState

RETURN_CAUTION_S = 2.0
"""Seconds for which endpoints count as cold after the evacuation of their data hall was taken back, whatever
their entries say: an entry is written about each 1.2 s and comes 0.8 s late. They stand empty, so that
without this each of them would look like the best one to every router at once."""


def limit_of(state: BoxState, endpoint: Endpoint) -> ColdLimit | None:
    """Return what an endpoint bears while it is cold, None where it bears as much as ever."""
    shape = None if state.catalog is None else state.catalog.services_by_id.get(endpoint.service)
    return None if shape is None else shape.cold


def cold_for_s(state: BoxState, endpoint: Endpoint, now: float) -> float:
    """Return for how many more seconds an endpoint counts as cold, 0 where it does not."""
    limit = limit_of(state, endpoint)
    if limit is None:
        return 0.0
    held = state.of(endpoint)
    until = held.cold_until
    if held.doubted_at > NEVER:
        until = max(until, held.doubted_at + limit.start_s)
    returned_at = state.returned_at_by_hall.get(endpoint.data_hall, NEVER)
    return max(0.0, max(until, returned_at + RETURN_CAUTION_S) - now)


def wait_s(state: BoxState, endpoint: Endpoint, now: float, chance: Random) -> float:
    """Return the seconds until this box may send a request to an endpoint, 0 where it may do so now."""
    limit = limit_of(state, endpoint)
    if limit is None or cold_for_s(state, endpoint, now) <= 0:
        return 0.0
    if endpoint.id in state.routed_engines:
        return _router_pace(state, endpoint, now).wait_s(now, limit.per_s * ROUTER_SHARE, ROUTER_BURST)
    per_s = _alone_per_s(state, endpoint, limit)
    return _alone_pace(state, endpoint, now, per_s, chance).wait_s(now, per_s)


def count_sent(state: BoxState, endpoint: Endpoint, now: float, chance: Random) -> None:
    """Count a request that goes to an endpoint, if that is cold."""
    limit = limit_of(state, endpoint)
    if limit is None or cold_for_s(state, endpoint, now) <= 0:
        return
    if endpoint.id in state.routed_engines:
        _router_pace(state, endpoint, now).take(now, limit.per_s * ROUTER_SHARE)
        return
    per_s = _alone_per_s(state, endpoint, limit)
    _alone_pace(state, endpoint, now, per_s, chance).take(now, per_s)


def _alone_per_s(state: BoxState, endpoint: Endpoint, limit: ColdLimit) -> float:
    """Return this box's share of what boxes that decide alone send: they always do so to plain services."""
    assert state.catalog is not None
    routed = state.catalog.engine_of(endpoint.service) is not None
    return limit.per_s * (ALONE_SHARE if routed else ROUTER_SHARE) / max(1, len(state.boxes))


def _router_pace(state: BoxState, endpoint: Endpoint, now: float) -> Pace:
    held = state.of(endpoint)
    if held.router_pace is None:
        held.router_pace = Pace(now)
    return held.router_pace


def _alone_pace(state: BoxState, endpoint: Endpoint, now: float, per_s: float, chance: Random) -> Pace:
    held = state.of(endpoint)
    held.alone_pace = pace_alone(held.alone_pace, now, per_s, chance)
    return held.alone_pace
