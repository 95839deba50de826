"""Limits that endpoints name in their answers, in requests a second from all callers together."""

from stairquay.core.fleet import Endpoint
from stairquay.core.limits import UNLIMITED, LimitNews, newer
from stairquay.serving.decisions import Decision
from stairquay.serving.endpoint import EndpointState
from stairquay.serving.state import BoxState


def limit_of(held: EndpointState) -> float:
    """Return the limit that an endpoint names, UNLIMITED where it names none."""
    return UNLIMITED if held.limit is None else held.limit.per_s


def take_limit(state: BoxState, endpoint: Endpoint, held: EndpointState, told: LimitNews) -> None:
    """Take in what an answer said of its endpoint's limit."""
    before = limit_of(held)
    held.limit = newer(held.limit, told)
    now_per_s = limit_of(held)
    if now_per_s == before:
        return
    outcome = "ended" if now_per_s == UNLIMITED else "named" if before == UNLIMITED else "changed"
    state.log.line(
        Decision.LIMIT,
        endpoint=endpoint.id,
        service=endpoint.service,
        outcome=outcome,
        per_s=now_per_s,
        before_per_s=before,
    )


def take_unreadable_limit(state: BoxState, endpoint: Endpoint, held: EndpointState, text: str) -> None:
    """Count an answer whose limit cannot be read; what is known of the limit stands.

    Logged once for each life of an endpoint and each text in a row.
    """
    state.metrics.unreadable_limits.inc()
    if held.unreadable_limit != text:
        held.unreadable_limit = text
        state.log.line(
            Decision.LIMIT, endpoint=endpoint.id, service=endpoint.service, outcome="unreadable", text=text
        )
