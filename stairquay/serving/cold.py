"""Tells which endpoints are cold, and take fewer requests for some time after a start.

Endpoints that may have restarted unnoticed count as cold too: those that were unreachable, and those of a
data hall whose evacuation has just ended.
"""

from stairquay.core.cold import ColdLimit
from stairquay.core.fleet import Endpoint
from stairquay.serving.endpoint import NEVER
from stairquay.serving.state import BoxState

POST_EVACUATION_COLD_S = 2.0
"""Seconds for which endpoints count as cold after their data hall's evacuation ended. Their entries lag, and
every router would otherwise choose these idle endpoints at once. An entry is written about every 1.2 s and
arrives 0.8 s late."""


def cold_limit_of(state: BoxState, endpoint: Endpoint) -> ColdLimit | None:
    """Return the limit of an endpoint while it is cold, None if its service has none."""
    spec = None if state.catalog is None else state.catalog.services_by_id.get(endpoint.service)
    return None if spec is None else spec.cold


def cold_for_s(state: BoxState, endpoint: Endpoint, now: float) -> float:
    """Return the seconds for which an endpoint still counts as cold, 0 if it does not."""
    limit = cold_limit_of(state, endpoint)
    if limit is None:
        return 0.0
    endpoint_state = state.endpoint_state(endpoint)
    until = endpoint_state.cold_until
    if endpoint_state.unreachable_at > NEVER:
        until = max(until, endpoint_state.unreachable_at + limit.after_start_s)
    evacuation_ended_at = state.evacuation_ended_at_by_hall.get(endpoint.data_hall, NEVER)
    return max(0.0, max(until, evacuation_ended_at + POST_EVACUATION_COLD_S) - now)
