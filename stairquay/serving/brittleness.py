"""Keeps requests away from endpoints that state how many rejections a second they bear before they fall over.

The statement is made by all endpoints of a service at a time, so that it also holds for one that has started
since and has not answered yet: all that waits would meet the first one that is back.
"""

from math import inf
from random import Random

from stairquay.core.fleet import Endpoint
from stairquay.core.limits import UNLIMITED, LimitReport, merge_reports
from stairquay.core.places import places_by_holder
from stairquay.serving.endpoint import EndpointState
from stairquay.serving.event_log import LogEvent
from stairquay.serving.state import BoxState

MIN_HOLD_S = 1.0
MAX_HOLD_S = 8.0
"""Seconds for which a box leaves a brittle endpoint alone after a rejection, doubled by each one in a row."""

TOLERANCE_TTL_S = 30.0
"""Seconds for which a statement holds that no answer repeats. A box that sends nothing to an endpoint may
miss that other boxes heard its end."""

_JITTER = Random()
"""Lengthens these times to up to twice as long, so that boxes do not come back together."""


def tolerance_report(state: BoxState, endpoint: Endpoint) -> LimitReport | None:
    """Return the newest statement that holds for an endpoint, None if there was never one.

    per_s: the rejections a second that it bears, UNLIMITED if it no longer states any.
    """
    if not state.tolerance_by_service:
        return None
    own = state.endpoint_state(endpoint).tolerance
    return state.tolerance_by_service.get(endpoint.service) if own is None else own


def is_brittle(state: BoxState, endpoint: Endpoint, now: float) -> bool:
    """Tell whether an endpoint falls over if it rejects too much."""
    return binds(tolerance_report(state, endpoint), now)


def binds(report: LimitReport | None, now: float) -> bool:
    """Tell whether a statement is in force."""
    return report is not None and report.per_s < UNLIMITED and now - report.received_at < TOLERANCE_TTL_S


def has_brittle_service(state: BoxState, now: float) -> bool:
    """Tell whether the endpoints of any service state that they are brittle."""
    return any(binds(report, now) for report in state.tolerance_by_service.values())


def apply_tolerance(
    state: BoxState, endpoint: Endpoint, endpoint_state: EndpointState, report: LimitReport
) -> None:
    """Apply how many rejections an answer stated, which this box or another one received."""
    known = state.tolerance_by_service.get(endpoint.service)
    if known is None and report.per_s == UNLIMITED:
        return
    state.tolerance_by_service[endpoint.service] = merge_reports(known, report)
    if not binds(known, report.received_at):
        state.changed.notify_all()
    before = tolerance_report(state, endpoint)
    endpoint_state.tolerance = merge_reports(endpoint_state.tolerance, report)
    before_per_s = UNLIMITED if before is None or known is None else before.per_s
    if endpoint_state.tolerance.per_s == before_per_s:
        return
    ended = endpoint_state.tolerance.per_s == UNLIMITED
    if ended:
        endpoint_state.tolerance_ended_at = report.received_at
        endpoint_state.rejections = 0
    state.log.line(
        LogEvent.BRITTLE,
        endpoint=endpoint.id,
        service=endpoint.service,
        outcome="ended" if ended else "stated",
        bears_per_s=endpoint_state.tolerance.per_s,
    )


def record_rejection(state: BoxState, endpoint: Endpoint, endpoint_state: EndpointState, now: float) -> None:
    """Leave an endpoint alone for a while that has rejected a request, if it is brittle.

    Requests that were sent before that and are rejected as well do not prolong it.
    """
    if not is_brittle(state, endpoint, now) or now < endpoint_state.rejected_until:
        return
    hold_s = min(MAX_HOLD_S, MIN_HOLD_S * 2**endpoint_state.rejections) * (1 + _JITTER.random())
    endpoint_state.rejections += 1
    endpoint_state.rejected_until = now + hold_s
    state.metrics.rejected_by_brittle.labels(endpoint.service).inc()
    state.log.line(
        LogEvent.BRITTLE, endpoint=endpoint.id, service=endpoint.service, outcome="left_alone", for_s=hold_s
    )


def places_left(state: BoxState, endpoint: Endpoint, now: float) -> int:
    """Return the requests that this box may still send to a brittle endpoint that no router places on."""
    return held_places(state, endpoint, now) - state.endpoint_state(endpoint).in_flight


def held_places(state: BoxState, endpoint: Endpoint, now: float) -> int:
    """Return the places at an endpoint that this box holds."""
    by_holder = places_by_holder(endpoint.id, endpoint.slots, state.boxes_not_gone(now))
    return by_holder.get(state.settings.id, 0)


def brittle_wait_s(state: BoxState, endpoint: Endpoint, now: float) -> float:
    """Return the seconds until this box may send to an endpoint, as far as rejections go: 0 if it may now,
    infinite if others have all places."""
    if not state.tolerance_by_service or not is_brittle(state, endpoint, now):
        return 0.0
    endpoint_state = state.endpoint_state(endpoint)
    if now < endpoint_state.rejected_until:
        return endpoint_state.rejected_until - now
    if is_routed(state, endpoint.service):
        # Its router counts the requests of all boxes. One that stops is gone for the others, which take over.
        handover_s = None if state.stopping else state.handovers.wait_s(endpoint.id, now)
        return inf if handover_s is None else handover_s
    if places_left(state, endpoint, now) > 0:
        return 0.0
    return endpoint_state.response_time_s if held_places(state, endpoint, now) else inf


def is_routed(state: BoxState, service: str) -> bool:
    """Tell whether routers place the requests for a service."""
    return bool(state.routers) and has_engines(state, service)


def has_engines(state: BoxState, service: str) -> bool:
    """Tell whether the endpoints of a service are engines."""
    return state.catalog is not None and state.catalog.engine_of(service) is not None
