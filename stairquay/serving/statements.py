"""What endpoints say of their use, in answers to requests: a limit, in requests a second from all callers
together; that they leave; for how long they want nothing from this box.

It is taken in here, whoever heard it and at whatever kind of request.
"""

from collections.abc import Iterable

from stairquay.core.fleet import Endpoint
from stairquay.core.limits import UNLIMITED, LimitNews, newer
from stairquay.core.rest import Rest
from stairquay.serving.decisions import Decision
from stairquay.serving.endpoint import NEVER, EndpointState
from stairquay.serving.messages import LimitTold
from stairquay.serving.ports import Statement, Topic
from stairquay.serving.state import BoxState

ENDED_TOLD_S = 10.0
"""Seconds for which boxes tell each other that a limit has ended: each asks twice a second or more."""

PASSING_S = 0.5
"""Seconds by which what another box heard may be older than it says: for the way of a message."""


def limit_of(held: EndpointState) -> float:
    """Return the limit that an endpoint names, UNLIMITED where it names none."""
    return UNLIMITED if held.limit is None else held.limit.per_s


def take_statement(
    state: BoxState, endpoint: Endpoint, held: EndpointState, said: Statement, sent_at: float, now: float
) -> None:
    """Take in what the head of an answer says, that came now to a request sent at `sent_at`.

    held: the life of the endpoint that answered.
    """
    for topic, text in said.unreadable:
        _take_unreadable(state, endpoint, held, topic, text)
    if said.limit_per_s is not None:
        take_limit(state, endpoint, held, LimitNews(said.limit_per_s, sent_at, now))
    if said.leaving:
        _take_leaving(state, endpoint, held, now)
    if said.rest_s is not None:
        _take_rest(state, endpoint, held, said.rest_s, sent_at, now)


def _take_leaving(state: BoxState, endpoint: Endpoint, held: EndpointState, now: float) -> None:
    if held.said_leaving_at > NEVER:
        return
    held.said_leaving_at = now
    state.log.line(Decision.LEAVING, endpoint=endpoint.id, service=endpoint.service, outcome="said")


def _take_rest(
    state: BoxState, endpoint: Endpoint, held: EndpointState, rest_s: float, sent_at: float, now: float
) -> None:
    """Take in for how long an endpoint wants nothing. Of rests that overlap, the one that ends last holds; it
    is over with an answer that asks for none, to a request sent after its end."""
    rest = held.rest
    if rest_s == 0:
        if rest is not None and sent_at >= rest.until:
            held.rest = None
            state.resting.discard(endpoint.id)
            state.log.line(Decision.REST, endpoint=endpoint.id, service=endpoint.service, outcome="ended")
        return
    if rest is not None and rest.until >= now + rest_s:
        return
    held.rest = Rest(now + rest_s)
    state.resting.add(endpoint.id)
    state.log.line(
        Decision.REST, endpoint=endpoint.id, service=endpoint.service, outcome="asked", for_s=rest_s
    )


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


def _take_unreadable(
    state: BoxState, endpoint: Endpoint, held: EndpointState, topic: Topic, text: str
) -> None:
    """Count an answer of which something cannot be read; what is known of that stands.

    Logged once for each life of an endpoint and each text in a row.
    """
    state.metrics.unreadable_statements.labels(topic.value).inc()
    if held.unreadable_by_topic.get(topic) != text:
        held.unreadable_by_topic[topic] = text
        state.log.line(
            Decision(topic.value),
            endpoint=endpoint.id,
            service=endpoint.service,
            outcome="unreadable",
            text=text,
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
