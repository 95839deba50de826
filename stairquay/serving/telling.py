"""Exchanges endpoint feedback between boxes, since an answer reaches only the box that sent the request."""

from collections.abc import Iterable
from math import inf

from msgspec import structs

from stairquay.core.fleet import Endpoint
from stairquay.core.limits import UNLIMITED, LimitReport
from stairquay.serving.brittleness import apply_tolerance, is_brittle, tolerance_report
from stairquay.serving.endpoint import EndpointState
from stairquay.serving.messages import PeerFeedback
from stairquay.serving.state import BoxState
from stairquay.serving.statements import apply_leaving, apply_limit, backoffs_by_id

SHARE_PERIOD_S = 10.0
"""Seconds for which boxes share that an endpoint leaves or that its rate limit has ended. Each box calls
twice a second or more."""

MAX_MESSAGE_DELAY_S = 0.5
"""Seconds that a message between boxes may take, added to the age of its contents."""


def feedback_for_peers(
    state: BoxState, now: float, include_ids: frozenset[str] = frozenset()
) -> tuple[PeerFeedback, ...]:
    """Return the feedback that other boxes should know.

    include_ids: endpoints of which the other box has outdated feedback.
    """
    backoffs_s = backoffs_by_id(state, now)
    ids = {
        *_limited_ids(state, now, include_ids),
        *_brittle_ids(state, now),
        *_leaving_ids(state, now, include_ids),
        *backoffs_s,
    }
    return tuple(
        _endpoint_feedback(state, endpoint_id, backoffs_s.get(endpoint_id, 0.0), now)
        for endpoint_id in sorted(ids)
    )


def backoffs_for_router(state: BoxState, now: float) -> tuple[PeerFeedback, ...]:
    """Return the backoffs that bind this box."""
    return tuple(
        PeerFeedback(endpoint_id, 0, rest_s=rest_s)
        for endpoint_id, rest_s in backoffs_by_id(state, now).items()
    )


def limit_feedback(endpoint: Endpoint, endpoint_state: EndpointState, now: float) -> PeerFeedback | None:
    """Return an endpoint's last known rate limit for another box, None if there was never one."""
    limit = endpoint_state.limit
    if limit is None:
        return None
    return PeerFeedback(
        endpoint.id, endpoint_state.born, limit.per_s, now - limit.sent_at, now - limit.received_at
    )


def apply_peer_feedback(state: BoxState, feedback: Iterable[PeerFeedback], now: float) -> None:
    """Apply leaving states, rate limits and brittleness that another box received.

    Limits of another incarnation are ignored, and backoffs bind only the box that received them.
    """
    for item in feedback:
        endpoint = state.fleet.by_id.get(item.endpoint)
        endpoint_state = None if endpoint is None else state.endpoint_state(endpoint)
        if item.leaving:
            born = item.born or (0 if endpoint_state is None else endpoint_state.born)
            apply_leaving(state, item.endpoint, born, "box")
        if (
            endpoint is None
            or endpoint_state is None
            or (item.born and endpoint_state.born and item.born != endpoint_state.born)
        ):
            continue
        limit = _peer_report(item.per_s, item.sent_ago_s, item.heard_ago_s, now)
        apply_limit(state, endpoint, endpoint_state, limit)
        if item.bears_heard_ago_s < inf:
            tolerance = _peer_report(item.bears_per_s, item.bears_sent_ago_s, item.bears_heard_ago_s, now)
            apply_tolerance(state, endpoint, endpoint_state, tolerance)


def _peer_report(per_s: float, sent_ago_s: float, heard_ago_s: float, now: float) -> LimitReport:
    """Return a report that a message from another box brings, by this box's clock."""
    return LimitReport(per_s, now - sent_ago_s - MAX_MESSAGE_DELAY_S, now - heard_ago_s)


def _limited_ids(state: BoxState, now: float, include_ids: frozenset[str]) -> set[str]:
    """Return the ids of endpoints with a rate limit now or recently, or ever if in `include_ids`."""
    endpoint_ids = set()
    for endpoint_id in state.limited & state.fleet.by_id.keys():
        endpoint_state = state.endpoints_by_id.get(endpoint_id)
        if endpoint_state is None or endpoint_state.limit is None:
            continue
        if (
            endpoint_state.limit.per_s < UNLIMITED
            or now - endpoint_state.limit_ended_at < SHARE_PERIOD_S
            or endpoint_id in include_ids
        ):
            endpoint_ids.add(endpoint_id)
    return endpoint_ids


def _brittle_ids(state: BoxState, now: float) -> set[str]:
    """Return the ids of listed endpoints that are brittle, or have been recently."""
    if not state.tolerance_by_service:
        return set()
    return {
        endpoint.id
        for endpoint in state.fleet.live()
        if is_brittle(state, endpoint, now)
        or now - state.endpoint_state(endpoint).tolerance_ended_at < SHARE_PERIOD_S
    }


def _leaving_ids(state: BoxState, now: float, include_ids: frozenset[str]) -> set[str]:
    """Return the ids of endpoints that were marked as leaving recently, or ever if in `include_ids`."""
    by_id = state.fleet.leaving_by_id
    return {
        endpoint_id
        for endpoint_id, incarnation in by_id.items()
        if now - incarnation.at < SHARE_PERIOD_S or endpoint_id in include_ids
    }


def _endpoint_feedback(state: BoxState, endpoint_id: str, rest_s: float, now: float) -> PeerFeedback:
    endpoint, departing = state.fleet.by_id.get(endpoint_id), state.fleet.leaving_by_id.get(endpoint_id)
    if endpoint is None:
        return PeerFeedback(
            endpoint_id,
            0 if departing is None else departing.born,
            leaving=departing is not None,
            rest_s=rest_s,
        )
    endpoint_state = state.endpoint_state(endpoint)
    feedback = limit_feedback(endpoint, endpoint_state, now) or PeerFeedback(endpoint_id, endpoint_state.born)
    # A newer incarnation, which may be known before its entry is listed, is not leaving.
    leaving = state.fleet.is_marked_leaving(endpoint_id, endpoint_state.born)
    tolerance = tolerance_report(state, endpoint)
    if tolerance is not None:
        feedback = structs.replace(
            feedback,
            bears_per_s=tolerance.per_s,
            bears_sent_ago_s=now - tolerance.sent_at,
            bears_heard_ago_s=now - tolerance.received_at,
        )
    return structs.replace(feedback, leaving=leaving, rest_s=rest_s)
