"""Which endpoints are cold.

News of coldness is up to three seconds old, so that endpoints count as cold, too, which may be: those that
were not to be reached and may have started again, and those of a data hall whose evacuation was taken back.
"""

from stairquay.core.cold import ColdLimit
from stairquay.core.fleet import Endpoint
from stairquay.serving.endpoint import NEVER
from stairquay.serving.state import BoxState

POST_EVACUATION_COLD_S = 2.0
"""Seconds for which endpoints count as cold after the evacuation of their data hall was taken back, whatever
their entries say: an entry is written about each 1.2 s and comes 0.8 s late. They stand empty, so that
without this each of them would look like the best one to every router at once."""


def cold_limit_of(state: BoxState, endpoint: Endpoint) -> ColdLimit | None:
    """Return what an endpoint bears while it is cold, None where it bears as much as ever."""
    spec = None if state.catalog is None else state.catalog.services_by_id.get(endpoint.service)
    return None if spec is None else spec.cold


def cold_for_s(state: BoxState, endpoint: Endpoint, now: float) -> float:
    """Return for how many more seconds an endpoint counts as cold, 0 where it does not."""
    limit = cold_limit_of(state, endpoint)
    if limit is None:
        return 0.0
    endpoint_state = state.endpoint_state(endpoint)
    until = endpoint_state.cold_until
    if endpoint_state.unreachable_at > NEVER:
        until = max(until, endpoint_state.unreachable_at + limit.start_s)
    evacuation_ended_at = state.evacuation_ended_at_by_hall.get(endpoint.data_hall, NEVER)
    return max(0.0, max(until, evacuation_ended_at + POST_EVACUATION_COLD_S) - now)
