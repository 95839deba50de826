"""A router's replies about its views of operators' rows and of the list of endpoints."""

from dataclasses import replace

from stairquay.adapters.clock import monotonic
from stairquay.core.fleet import Endpoint
from stairquay.core.position import NO_POSITION, Position
from stairquay.serving.cold import cold_for_s
from stairquay.serving.crash_reports import encode_report
from stairquay.serving.crash_rows import STALE_S
from stairquay.serving.messages import (
    EndpointsReply,
    EndpointsRequest,
    OperatorsReply,
    OperatorsRequest,
    PeerCrashes,
)
from stairquay.serving.ports import EndpointChanges, OperatorChanges
from stairquay.serving.state import BoxState
from stairquay.serving.telling import feedback_for_peers


def operators_reply(state: BoxState, request: OperatorsRequest, received_at: float) -> OperatorsReply:
    """Return the view of operators' rows, and what changed after the position that the request names."""
    position = state.operators_position
    if state.operators_changed_position > request.known_in(position.era):
        named, evacuated = dict(state.target_version_by_model), tuple(sorted(state.evacuated))
        changes = OperatorChanges(
            position.revision,
            True,
            state.catalog,
            "",
            named,
            evacuated=evacuated,
            era=position.era,
            catalog_era=state.catalog_era,
        )
    else:
        changes = OperatorChanges(position.revision, False, era=position.era)
    changed, crashes = crashes_since(state, request.crashes_known_in(position.era))
    now = monotonic()
    said = feedback_for_peers(state, now, frozenset(item.endpoint for item in request.said))
    return OperatorsReply(
        changes, state.view_age(), now - received_at, changed.revision, crashes, said, changed.era
    )


def endpoints_reply(state: BoxState, request: EndpointsRequest) -> EndpointsReply:
    """Return the list of endpoints if it changed after the position that the request names."""
    position = state.list_position
    if state.list_changed_position > request.known_in(position.era):
        changes = EndpointChanges(position.revision, True, _listed_endpoints(state), era=position.era)
    else:
        changes = EndpointChanges(position.revision, False, era=position.era)
    return EndpointsReply(changes, state.list_age())


def crashes_since(state: BoxState, known: Position) -> tuple[Position, PeerCrashes | None]:
    """Return the position of the last change to the crash rows, and the crashes if that isn't `known`."""
    quarantine, now = state.quarantine, monotonic()
    if quarantine.rows_position == NO_POSITION or now - quarantine.rows_asked_at > STALE_S:
        return NO_POSITION, None
    if quarantine.rows_changed_position == known:
        return known, None
    report = quarantine.report_to_forward()
    return quarantine.rows_changed_position, encode_report(report, now)


def _listed_endpoints(state: BoxState) -> tuple[Endpoint, ...]:
    """Return the live endpoints, with the seconds for which cold ones remain cold."""
    now = monotonic()

    def as_of_now(endpoint: Endpoint) -> Endpoint:
        if not endpoint.cold:
            return endpoint
        return replace(endpoint, cold_s=cold_for_s(state, endpoint, now))

    return tuple(as_of_now(item) for item in state.fleet.live())
