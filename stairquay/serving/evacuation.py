"""Tracks which data halls operators have evacuated; their endpoints get no new work."""

from stairquay.adapters.clock import monotonic
from stairquay.core.fleet import Endpoint
from stairquay.core.position import Position
from stairquay.serving.event_log import LogEvent
from stairquay.serving.ports import OperatorChanges
from stairquay.serving.state import BoxState


def apply_evacuations(state: BoxState, changes: OperatorChanges) -> None:
    """Apply changes of the evacuated data halls, unless they are older than what this box knows.

    A router that lags behind must not send work back to an evacuated hall. Without newer changes an
    evacuation stays in force, however old it is. A snapshot ends none where its row may have been lost in a
    restore of the table service, and not yet been written again.
    """
    if changes.position < state.evacuated_position:
        return
    state.evacuated_position = changes.position
    before = state.evacuated
    complete = changes.whole and (changes.forwarded or not state.in_restore_grace())
    kept = frozenset() if complete else before - set(changes.returned)
    state.evacuated = kept | set(changes.evacuated)
    for hall in sorted(before - state.evacuated):
        state.evacuation_ended_at_by_hall[hall] = monotonic()
        _log(state, hall, "returned", changes.position)
    for hall in sorted(state.evacuated - before):
        _log(state, hall, "evacuated", changes.position)


def takes_work(state: BoxState, endpoint: Endpoint) -> bool:
    """Tell whether an endpoint may get new work: it is not leaving, and its data hall is not evacuated."""
    known = state.fleet.by_id.get(endpoint.id, endpoint)
    return not state.fleet.is_leaving(known) and known.data_hall not in state.evacuated


def _log(state: BoxState, hall: str, outcome: str, position: Position) -> None:
    endpoints = sum(item.data_hall == hall for item in state.fleet.live())
    state.log.line(
        LogEvent.EVACUATION,
        data_hall=hall,
        outcome=outcome,
        era=position.era,
        revision=position.revision,
        endpoints=endpoints,
    )
