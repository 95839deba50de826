"""How many requests this box may send to an endpoint that takes only so many a second from all boxes.

Every choice of an endpoint asks here first, and every request that goes to one is counted here: prompts that
a router places, what a box decides alone, plain requests, repeats and streams that go on elsewhere.
"""

from collections.abc import Collection, Mapping
from random import Random

from stairquay.core.fleet import Endpoint
from stairquay.core.limits import UNLIMITED
from stairquay.core.pace import COLD_SHARES, LIMIT_SHARES, MIN_PER_S, Pacer, RateBound, standalone_pacer
from stairquay.serving.cold import cold_for_s, cold_limit_of
from stairquay.serving.endpoint import NEVER, EndpointState
from stairquay.serving.evacuation import takes_work
from stairquay.serving.state import BoxState
from stairquay.serving.statements import limit_of

UNKNOWN_BOXES = 300
"""Boxes that a box counts with before it has read who else is there: as many as a fleet may have, so that
hundreds that start at once do not each take the whole for their own share."""

COLD_RETRY_S = 2.0
"""Longest time after which a caller refused for cold endpoints should come back: starts take seconds, and one
endpoint that is warm again takes all who wait."""

LEAST_WORK_S = 0.01
"""Shortest time that an answer is believed to take where callers are told when to come."""

SPREAD_S = 3.0
"""Longest time by which callers that are refused together are told to come one after the other."""


def bounds_of(state: BoxState, endpoint: Endpoint, now: float) -> list[RateBound]:
    """Return what bounds the work of an endpoint now; nothing does usually."""
    bounds = []
    named = limit_of(state.of(endpoint))
    if named < UNLIMITED:
        bounds.append(RateBound(max(MIN_PER_S, named), LIMIT_SHARES))
    cold = cold_limit_of(state, endpoint)
    if cold is not None and cold_for_s(state, endpoint, now) > 0:
        bounds.append(RateBound(cold.per_s, COLD_SHARES))
    return bounds


def wait_s(state: BoxState, endpoint: Endpoint, now: float, chance: Random) -> float:
    """Return the seconds until this box may send a request to an endpoint, 0 where it may do so now."""
    bounds = bounds_of(state, endpoint, now)
    if not bounds:
        return 0.0
    per_s = own_per_s(state, endpoint, bounds)
    if endpoint.id in state.routed_engines:
        burst = min(bound.shares.burst for bound in bounds)
        return _router_pace(state, endpoint, now).wait_s(now, per_s, burst)
    return _alone_pace(state, endpoint, now, per_s, chance).wait_s(now, per_s)


def count_sent(state: BoxState, endpoint: Endpoint, now: float, chance: Random) -> bool:
    """Count a request that goes to an endpoint, if that takes only so many; tell whether it was counted as by
    its router."""
    bounds = bounds_of(state, endpoint, now)
    if not bounds:
        return False
    per_s = own_per_s(state, endpoint, bounds)
    if endpoint.id in state.routed_engines:
        _router_pace(state, endpoint, now).take(now, per_s)
        return True
    _alone_pace(state, endpoint, now, per_s, chance).take(now, per_s)
    return False


def take_back(held: EndpointState) -> None:
    """As its router, stop counting a request that never reached an endpoint."""
    if held.router_pace is not None:
        held.router_pace.refund()


def own_per_s(state: BoxState, endpoint: Endpoint, bounds: list[RateBound]) -> float:
    """Return the requests a second that this box may send to an endpoint, by the strictest of its bounds."""
    return min(bound.per_s * _own_share(state, endpoint, bound) for bound in bounds)


def come_back_s(
    state: BoxState,
    service: str,
    tried: Collection[str],
    rests_s: Mapping[str, float],
    now: float,
    chance: Random,
) -> float | None:
    """Return the seconds after which a caller that is refused should come back, None where no endpoint of the
    service is held back by a bound, or wants rest.

    tried: endpoints that the request was sent to already. rests_s: those that want nothing from the box that
    would send it, and for how long. Callers that are refused together are told times one after the other, as
    the endpoints take them: all told the same time, all but the first would be refused again.
    """
    usable = [
        item for item in state.fleet.usable(service, now) if takes_work(state, item) and item.id not in tried
    ]
    bounds_by_id = {item.id: bounds for item in usable if (bounds := bounds_of(state, item, now))}
    held_back = [item for item in usable if item.id in bounds_by_id or item.id in rests_s]
    pauses_s = [max(_pause_s(state, item, now, chance), rests_s.get(item.id, 0.0)) for item in held_back]
    soonest_s = min((pause_s for pause_s in pauses_s if pause_s > 0), default=None)
    if soonest_s is None:
        return None
    per_s = sum(_returning_per_s(state, item, bounds_by_id.get(item.id)) for item in held_back)
    told_s = max(soonest_s, state.come_back_at_by_service.get(service, NEVER) - now)
    only_cold = all(limit_of(state.of(item)) == UNLIMITED and item.id not in rests_s for item in held_back)
    most_s = max(soonest_s, COLD_RETRY_S) if only_cold else soonest_s + SPREAD_S
    if told_s > most_s:
        return most_s if only_cold else soonest_s + SPREAD_S * chance.random()
    state.come_back_at_by_service[service] = now + told_s + 1 / per_s
    return told_s


def _returning_per_s(state: BoxState, endpoint: Endpoint, bounds: list[RateBound] | None) -> float:
    """Return the requests a second that an endpoint takes later of those that this box refuses now: by its
    bounds, or by its places and how long an answer takes."""
    if bounds:
        return own_per_s(state, endpoint, bounds)
    boxes = 1 if endpoint.id in state.routed_engines else max(1, len(state.boxes))
    return endpoint.slots / max(LEAST_WORK_S, state.of(endpoint).work_s) / boxes


def _pause_s(state: BoxState, endpoint: Endpoint, now: float, chance: Random) -> float:
    """Return the seconds until an endpoint takes a request of this box: a cold one may be warm before."""
    pause_s = wait_s(state, endpoint, now, chance)
    if limit_of(state.of(endpoint)) < UNLIMITED:
        return pause_s
    return min(pause_s, cold_for_s(state, endpoint, now), COLD_RETRY_S)


def _own_share(state: BoxState, endpoint: Endpoint, bound: RateBound) -> float:
    if endpoint.id in state.routed_engines:
        return bound.shares.router
    boxes = UNKNOWN_BOXES if state.boxes_known_at == NEVER else max(1, len(state.boxes))
    routed = state.catalog is not None and state.catalog.engine_of(endpoint.service) is not None
    return (bound.shares.standalone if routed else bound.shares.unrouted) / boxes


def _router_pace(state: BoxState, endpoint: Endpoint, now: float) -> Pacer:
    held = state.of(endpoint)
    if held.router_pace is None:
        held.router_pace = Pacer(now)
    return held.router_pace


def _alone_pace(state: BoxState, endpoint: Endpoint, now: float, per_s: float, chance: Random) -> Pacer:
    held = state.of(endpoint)
    held.alone_pace = standalone_pacer(held.alone_pace, now, per_s, chance)
    return held.alone_pace
