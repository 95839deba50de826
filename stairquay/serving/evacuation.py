"""Data halls whose endpoints operators want to get nothing, for as long as they do."""

from stairquay.adapters.clock import monotonic
from stairquay.core.fleet import Endpoint
from stairquay.serving.decisions import Decision
from stairquay.serving.ports import OperatorChanges
from stairquay.serving.state import BoxState


def apply_evacuations(state: BoxState, changes: OperatorChanges) -> None:
    """Take in which data halls are evacuated.

    A view that is older than the one this box has says nothing: a router that lags behind would send work
    back to a hall that this box knows to be evacuated. Without any newer view, the last one holds, however
    old: an evacuation that cannot be asked about is taken to stand.
    """
    if changes.revision < state.evacuated_revision:
        return
    state.evacuated_revision = changes.revision
    before = state.evacuated
    kept = frozenset() if changes.whole else before - set(changes.returned)
    state.evacuated = kept | set(changes.evacuated)
    for hall in sorted(before - state.evacuated):
        state.returned_at_by_hall[hall] = monotonic()
        _log(state, hall, "returned", changes.revision)
    for hall in sorted(state.evacuated - before):
        _log(state, hall, "evacuated", changes.revision)


def takes_work(state: BoxState, endpoint: Endpoint) -> bool:
    """Tell whether an endpoint may get new work now: it is not known to be leaving, and its hall stays."""
    known = state.fleet.by_id.get(endpoint.id, endpoint)
    return not state.fleet.is_leaving(known) and known.data_hall not in state.evacuated


def _log(state: BoxState, hall: str, outcome: str, revision: int) -> None:
    endpoints = sum(item.data_hall == hall for item in state.fleet.live())
    state.log.line(
        Decision.EVACUATION, data_hall=hall, outcome=outcome, revision=revision, endpoints=endpoints
    )
