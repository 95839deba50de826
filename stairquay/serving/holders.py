"""Finds the boxes that a plain request is passed on to, as they alone may send to its service's endpoints.

These hold the places at endpoints that are brittle, or the limits that endpoints name.
"""

from collections.abc import Collection
from random import Random

from stairquay.core.fleet import Endpoint
from stairquay.core.limits import UNLIMITED
from stairquay.core.places import places_by_holder
from stairquay.serving.brittleness import has_brittle_service, has_engines, is_brittle
from stairquay.serving.endpoint import NEVER
from stairquay.serving.evacuation import takes_work
from stairquay.serving.pacing import limit_holders, wait_s
from stairquay.serving.state import BoxState
from stairquay.serving.statements import is_backing_off, limit_of


def boxes_to_ask(
    state: BoxState, service: str, tried: Collection[str], now: float, random: Random
) -> frozenset[str]:
    """Return the other boxes to pass a plain request on to.

    There are none if this box may send it itself, now or alone, or if any box may send to some endpoint.
    tried: ids of endpoints that it was sent to.
    """
    if not has_holders(state, service) or state.boxes_known_at == NEVER:
        return frozenset()
    found: set[str] = set()
    for endpoint in state.fleet.usable(service, now):
        if endpoint.id in tried or not takes_work(state, endpoint):
            continue
        holders = holders_of(state, endpoint, now)
        if not holders:
            return frozenset()
        endpoint_state = state.endpoint_state(endpoint)
        if now < endpoint_state.rejected_until or is_backing_off(endpoint_state, now):
            continue
        if wait_s(state, endpoint, now, random) == 0:
            return frozenset()
        found |= holders
    return frozenset(found - {state.settings.id})


def has_holders(state: BoxState, service: str) -> bool:
    """Tell whether few boxes may send to some endpoint of a service; cheap, and true a little too often."""
    return service in state.tolerance_by_service or bool(state.limited)


def holders_of(state: BoxState, endpoint: Endpoint, now: float) -> frozenset[str]:
    """Return the boxes that alone may send to an endpoint that no router places on, none if all may."""
    holders = limit_holders(state, endpoint, now)
    if not holders and is_brittle(state, endpoint, now):
        return frozenset(places_by_holder(endpoint.id, endpoint.slots, state.boxes_not_gone(now)))
    return frozenset(holders)


def held_endpoints(state: BoxState, now: float) -> list[Endpoint]:
    """Return the endpoints of plain services that few boxes may send to."""
    if not state.limited and not has_brittle_service(state, now):
        return []
    plain = (item for item in state.fleet.live() if not has_engines(state, item.service))
    return [item for item in plain if _is_held(state, item, now)]


def _is_held(state: BoxState, endpoint: Endpoint, now: float) -> bool:
    return is_brittle(state, endpoint, now) or limit_of(state.endpoint_state(endpoint)) < UNLIMITED
