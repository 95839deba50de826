"""Which endpoints are cold.

News of coldness is up to three seconds old, so that endpoints count as cold, too, which may be: those that
were not to be reached and may have started again, and those of a data hall whose evacuation was taken back.
"""

from stairquay.core.cold import ColdLimit
from stairquay.core.fleet import Endpoint
from stairquay.serving.endpoint import NEVER
from stairquay.serving.state import BoxState

RETURN_CAUTION_S = 2.0
"""Seconds for which endpoints count as cold after the evacuation of their data hall was taken back, whatever
their entries say: an entry is written about each 1.2 s and comes 0.8 s late. They stand empty, so that
without this each of them would look like the best one to every router at once."""


def cold_limit_of(state: BoxState, endpoint: Endpoint) -> ColdLimit | None:
    """Return what an endpoint bears while it is cold, None where it bears as much as ever."""
    shape = None if state.catalog is None else state.catalog.services_by_id.get(endpoint.service)
    return None if shape is None else shape.cold


def cold_for_s(state: BoxState, endpoint: Endpoint, now: float) -> float:
    """Return for how many more seconds an endpoint counts as cold, 0 where it does not."""
    limit = cold_limit_of(state, endpoint)
    if limit is None:
        return 0.0
    held = state.of(endpoint)
    until = held.cold_until
    if held.doubted_at > NEVER:
        until = max(until, held.doubted_at + limit.after_start_s)
    returned_at = state.returned_at_by_hall.get(endpoint.data_hall, NEVER)
    return max(0.0, max(until, returned_at + RETURN_CAUTION_S) - now)
