"""Paces this box's requests to endpoints whose request rate is limited over all boxes.

Each choice of an endpoint checks the pace here, and each request sent to one is counted here. The rate of an
engine is its router's. The limit that an endpoint of a plain service names is split by the few boxes that
hold it. All boxes take turns where neither is so: at cold endpoints, without a router, and before a box knows
the others.
"""

from collections.abc import Collection, Mapping
from math import inf
from random import Random

from stairquay.core.fleet import Endpoint
from stairquay.core.limits import UNLIMITED
from stairquay.core.pace import (
    COLD_SHARES,
    HELD_SHARE,
    HOLDER_BURST_S,
    LIMIT_SHARES,
    MIN_PER_S,
    UNSETTLED_HELD_SHARE,
    Pacer,
    RateBound,
    standalone_pacer,
)
from stairquay.core.places import rate_holders
from stairquay.serving.brittleness import brittle_wait_s, has_engines, is_brittle
from stairquay.serving.cold import cold_for_s, cold_limit_of
from stairquay.serving.endpoint import NEVER, EndpointState
from stairquay.serving.evacuation import takes_work
from stairquay.serving.state import BoxState
from stairquay.serving.statements import limit_of

ASSUMED_BOXES = 300
"""Boxes assumed until their rows are read: as many as a fleet may have. Otherwise hundreds of boxes that
start at once would each take the whole rate as their share."""

MAX_COLD_RETRY_S = 2.0
"""Longest Retry-After in seconds where only cold endpoints hold requests back. Starts take seconds, and one
endpoint that is warm again takes all who wait."""

MIN_RESPONSE_TIME_S = 0.01
"""Lowest response time in seconds assumed when a Retry-After is computed."""

RETRY_SPREAD_S = 3.0
"""Longest time in seconds over which the retries of callers refused together are spread."""

FULL_RETRY_S = 0.25
"""Retry-After in seconds where only other boxes may send to an endpoint: its callers' next try may reach one
of them."""


def rate_bounds(state: BoxState, endpoint: Endpoint, now: float) -> list[RateBound]:
    """Return the bounds on an endpoint's request rate now; usually there are none."""
    bounds = []
    limit_per_s = limit_of(state.endpoint_state(endpoint))
    if limit_per_s < UNLIMITED:
        bounds.append(RateBound(max(MIN_PER_S, limit_per_s), LIMIT_SHARES))
    cold = cold_limit_of(state, endpoint)
    if cold is not None and cold_for_s(state, endpoint, now) > 0:
        bounds.append(RateBound(cold.per_s, COLD_SHARES))
    return bounds


def wait_s(state: BoxState, endpoint: Endpoint, now: float, random: Random) -> float:
    """Return the seconds until this box may send a request to an endpoint, 0 if it may now, infinite if only
    other boxes may."""
    return max(brittle_wait_s(state, endpoint, now), _paced_wait_s(state, endpoint, now, random))


def _paced_wait_s(state: BoxState, endpoint: Endpoint, now: float, random: Random) -> float:
    """Return the seconds until the bounds on its request rate let this box send to an endpoint."""
    bounds = rate_bounds(state, endpoint, now)
    if not bounds:
        return 0.0
    per_s = box_rate_per_s(state, endpoint, bounds, now)
    if endpoint.id in state.routed_engines:
        router_burst = min(bound.shares.burst for bound in bounds)
        return _holder_pacer(state, endpoint, now).wait_s(now, per_s, router_burst)
    holders = limit_holders(state, endpoint, now)
    if not holders:
        return _standalone_pacer(state, endpoint, now, per_s, random).wait_s(now, per_s)
    if state.settings.id not in holders:
        return inf
    burst = 1 + min(endpoint.slots, HOLDER_BURST_S * per_s)
    return _holder_pacer(state, endpoint, now).wait_s(now, per_s, burst)


def limit_holders(state: BoxState, endpoint: Endpoint, now: float) -> tuple[str, ...]:
    """Return the boxes that alone may send to an endpoint that names a limit, none if each box has turns."""
    if limit_of(state.endpoint_state(endpoint)) == UNLIMITED or state.boxes_known_at == NEVER:
        return ()
    if has_engines(state, endpoint.service):
        return ()
    slots = endpoint.slots if is_brittle(state, endpoint, now) else None
    return rate_holders(endpoint.id, slots, state.boxes_not_gone(now))


def count_sent(state: BoxState, endpoint: Endpoint, now: float, random: Random) -> bool:
    """Count a request sent to an endpoint with a bounded rate; tell whether it was counted as by its
    router."""
    bounds = rate_bounds(state, endpoint, now)
    if not bounds:
        return False
    per_s = box_rate_per_s(state, endpoint, bounds, now)
    if endpoint.id in state.routed_engines:
        _holder_pacer(state, endpoint, now).take(now, per_s)
        return True
    if state.settings.id in limit_holders(state, endpoint, now):
        _holder_pacer(state, endpoint, now).take(now, per_s)
    else:
        _standalone_pacer(state, endpoint, now, per_s, random).take(now, per_s)
    return False


def refund_sent(endpoint_state: EndpointState) -> None:
    """As the endpoint's router, undo count_sent for a request that never reached it."""
    if endpoint_state.holder_pacer is not None:
        endpoint_state.holder_pacer.refund()


def box_rate_per_s(state: BoxState, endpoint: Endpoint, bounds: list[RateBound], now: float) -> float:
    """Return the requests per second that this box may send to an endpoint, by its strictest bound.

    For one whose limit other boxes hold, it is this box's part of what these pass on for all.
    """
    holders = limit_holders(state, endpoint, now)
    if state.settings.id in holders:
        return min(bound.per_s * _held_share(state, bound, now) for bound in bounds) / len(holders)
    return min(bound.per_s * _box_share(state, endpoint, bound) for bound in bounds)


def _held_share(state: BoxState, bound: RateBound, now: float) -> float:
    """Return the share of a bound that the boxes which hold an endpoint's limit use together."""
    if bound.shares != LIMIT_SHARES:
        return bound.shares.unrouted
    return HELD_SHARE if state.boxes_settled(now) else UNSETTLED_HELD_SHARE


def retry_after_s(
    state: BoxState,
    service: str,
    tried: Collection[str],
    backoffs_s: Mapping[str, float],
    now: float,
    random: Random,
) -> float | None:
    """Return the seconds after which a refused caller should retry, None if no endpoint is paced or
    asked for a backoff.

    tried: ids of endpoints that the request was sent to already. backoffs_s: by endpoint id, the seconds of
    backoff left. Callers that are refused together get staggered times, at the rate that endpoints accept:
    with equal times, all but the first would be refused again.
    """
    usable = [
        item for item in state.fleet.usable(service, now) if takes_work(state, item) and item.id not in tried
    ]
    bounds_by_id = {item.id: bounds for item in usable if (bounds := rate_bounds(state, item, now))}
    held_back = [
        item
        for item in usable
        if item.id in bounds_by_id or item.id in backoffs_s or is_brittle(state, item, now)
    ]
    pauses_s = [max(_pause_s(state, item, now, random), backoffs_s.get(item.id, 0.0)) for item in held_back]
    soonest_s = min((pause_s for pause_s in pauses_s if pause_s > 0), default=None)
    if soonest_s is None:
        return None
    per_s = sum(_retry_rate_per_s(state, item, bounds_by_id.get(item.id), now) for item in held_back)
    delay_s = max(soonest_s, state.retry_at_by_service.get(service, NEVER) - now)
    only_cold = all(
        limit_of(state.endpoint_state(item)) == UNLIMITED
        and item.id not in backoffs_s
        and not is_brittle(state, item, now)
        for item in held_back
    )
    max_delay_s = max(soonest_s, MAX_COLD_RETRY_S) if only_cold else soonest_s + RETRY_SPREAD_S
    if delay_s > max_delay_s:
        return max_delay_s if only_cold else soonest_s + RETRY_SPREAD_S * random.random()
    state.retry_at_by_service[service] = now + delay_s + 1 / per_s
    return delay_s


def _retry_rate_per_s(
    state: BoxState, endpoint: Endpoint, bounds: list[RateBound] | None, now: float
) -> float:
    """Return the retries per second that an endpoint accepts from this box: by its bounds, else by its slots
    and response time."""
    if bounds:
        return box_rate_per_s(state, endpoint, bounds, now)
    boxes = 1 if endpoint.id in state.routed_engines else max(1, len(state.boxes))
    return endpoint.slots / max(MIN_RESPONSE_TIME_S, state.endpoint_state(endpoint).response_time_s) / boxes


def _pause_s(state: BoxState, endpoint: Endpoint, now: float, random: Random) -> float:
    """Return the seconds until an endpoint accepts a request from this box; a cold one may be warm
    earlier."""
    pause_s = wait_s(state, endpoint, now, random)
    if pause_s == inf:
        return FULL_RETRY_S
    if limit_of(state.endpoint_state(endpoint)) < UNLIMITED or is_brittle(state, endpoint, now):
        return pause_s
    return min(pause_s, cold_for_s(state, endpoint, now), MAX_COLD_RETRY_S)


def _box_share(state: BoxState, endpoint: Endpoint, bound: RateBound) -> float:
    if endpoint.id in state.routed_engines:
        return bound.shares.router
    boxes = ASSUMED_BOXES if state.boxes_known_at == NEVER else max(1, len(state.boxes))
    shares = bound.shares
    return (shares.standalone if has_engines(state, endpoint.service) else shares.unrouted) / boxes


def _holder_pacer(state: BoxState, endpoint: Endpoint, now: float) -> Pacer:
    endpoint_state = state.endpoint_state(endpoint)
    if endpoint_state.holder_pacer is None:
        endpoint_state.holder_pacer = Pacer(now)
    return endpoint_state.holder_pacer


def _standalone_pacer(state: BoxState, endpoint: Endpoint, now: float, per_s: float, random: Random) -> Pacer:
    endpoint_state = state.endpoint_state(endpoint)
    endpoint_state.standalone_pacer = standalone_pacer(endpoint_state.standalone_pacer, now, per_s, random)
    return endpoint_state.standalone_pacer
