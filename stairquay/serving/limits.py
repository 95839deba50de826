"""Limits that endpoints name in their answers, in requests a second from all callers together."""

from collections.abc import Iterable

from stairquay.core.fleet import Endpoint
from stairquay.core.limits import UNLIMITED, LimitNews, newer
from stairquay.serving.decisions import Decision
from stairquay.serving.endpoint import EndpointState
from stairquay.serving.messages import LimitTold
from stairquay.serving.state import BoxState

ENDED_TOLD_S = 10.0
"""Seconds for which boxes tell each other that a limit has ended: each asks twice a second or more."""

PASSING_S = 0.5
"""Seconds by which what another box heard may be older than it says: for the way of a message."""


def limit_of(held: EndpointState) -> float:
    """Return the limit that an endpoint names, UNLIMITED where it names none."""
    return UNLIMITED if held.limit is None else held.limit.per_s


def take_limit(state: BoxState, endpoint: Endpoint, held: EndpointState, told: LimitNews) -> None:
    """Take in what an answer said of its endpoint's limit, here or at another box."""
    if held.limit is None and told.per_s == UNLIMITED:
        return
    before = limit_of(held)
    state.limited.add(endpoint.id)
    held.limit = newer(held.limit, told)
    now_per_s = limit_of(held)
    if now_per_s == before:
        return
    if now_per_s == UNLIMITED:
        held.limit_ended_at = told.heard_at
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


def told_limits(state: BoxState, now: float, also: frozenset[str] = frozenset()) -> tuple[LimitTold, ...]:
    """Return what other boxes should know of limits: those in force, and which have lately ended.

    also: endpoints of which to tell in any case, since the other box believes in a limit of theirs.
    """
    told = []
    for name in state.limited:
        endpoint, held = state.fleet.by_id.get(name), state.endpoints_by_id.get(name)
        if endpoint is None or held is None or held.limit is None:
            continue
        if held.limit.per_s < UNLIMITED or now - held.limit_ended_at < ENDED_TOLD_S or endpoint.id in also:
            told.append(limit_told(endpoint, held, held.limit, now))
    return tuple(told)


def limit_told(endpoint: Endpoint, held: EndpointState, limit: LimitNews, now: float) -> LimitTold:
    """Return what this box heard of one endpoint's limit, for another box."""
    return LimitTold(endpoint.id, held.born, limit.per_s, now - limit.sent_at, now - limit.heard_at)


def take_told_limits(state: BoxState, told: Iterable[LimitTold], now: float) -> None:
    """Take in what another box heard of limits. One of another life of an endpoint says nothing."""
    for item in told:
        endpoint = state.fleet.by_id.get(item.endpoint)
        if endpoint is None:
            continue
        held = state.of(endpoint)
        if item.born and held.born and item.born != held.born:
            continue
        news = LimitNews(item.per_s, now - item.sent_ago_s - PASSING_S, now - item.heard_ago_s)
        take_limit(state, endpoint, held, news)
