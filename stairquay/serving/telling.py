"""What boxes tell each other of what endpoints say: an answer comes to one box, and others decide too."""

from collections.abc import Iterable

from msgspec import structs

from stairquay.core.fleet import Endpoint
from stairquay.core.limits import UNLIMITED, LimitReport
from stairquay.serving.endpoint import EndpointState
from stairquay.serving.messages import StatementTold
from stairquay.serving.state import BoxState
from stairquay.serving.statements import rests_of, take_leaving, take_limit

NEWS_S = 10.0
"""Seconds for which boxes tell each other that an endpoint leaves, or that a limit has ended: each asks twice
a second or more."""

PASSING_S = 0.5
"""Seconds by which what another box heard may be older than it says: for the way of a message."""


def told_statements(
    state: BoxState, now: float, also: frozenset[str] = frozenset()
) -> tuple[StatementTold, ...]:
    """Return what other boxes should know of what endpoints said.

    also: endpoints of which to tell in any case, since the other box believes something else.
    """
    rests_s = rests_of(state, now)
    ids = {*_with_limits(state, now, also), *_leaving(state, now, also), *rests_s}
    return tuple(_told(state, name, rests_s.get(name, 0.0), now) for name in sorted(ids))


def told_rests(state: BoxState, now: float) -> tuple[StatementTold, ...]:
    """Return which endpoints want rest from this box."""
    return tuple(StatementTold(name, 0, rest_s=rest_s) for name, rest_s in rests_of(state, now).items())


def statement_told(endpoint: Endpoint, held: EndpointState, now: float) -> StatementTold | None:
    """Return what this box heard of an endpoint's limit, for another box; None where it heard of none."""
    limit = held.limit
    if limit is None:
        return None
    return StatementTold(endpoint.id, held.born, limit.per_s, now - limit.sent_at, now - limit.received_at)


def take_told(state: BoxState, told: Iterable[StatementTold], now: float) -> None:
    """Take in what another box heard. What another life of an endpoint said binds nobody; a rest binds only
    the box that was asked for it."""
    for item in told:
        endpoint = state.fleet.by_id.get(item.endpoint)
        held = None if endpoint is None else state.of(endpoint)
        if item.leaving:
            born = item.born or (0 if held is None else held.born)
            take_leaving(state, item.endpoint, born, "box")
        if endpoint is None or held is None or (item.born and held.born and item.born != held.born):
            continue
        news = LimitReport(item.per_s, now - item.sent_ago_s - PASSING_S, now - item.heard_ago_s)
        take_limit(state, endpoint, held, news)


def _with_limits(state: BoxState, now: float, also: frozenset[str]) -> set[str]:
    """Return the endpoints that name a limit, or lately ceased to."""
    names = set()
    for name in state.limited & state.fleet.by_id.keys():
        held = state.endpoints_by_id.get(name)
        if held is None or held.limit is None:
            continue
        if held.limit.per_s < UNLIMITED or now - held.limit_ended_at < NEWS_S or name in also:
            names.add(name)
    return names


def _leaving(state: BoxState, now: float, also: frozenset[str]) -> set[str]:
    """Return the endpoints that lately were heard to be leaving."""
    by_id = state.fleet.leaving_by_id
    return {name for name, life in by_id.items() if now - life.at < NEWS_S or name in also}


def _told(state: BoxState, name: str, rest_s: float, now: float) -> StatementTold:
    endpoint, left = state.fleet.by_id.get(name), state.fleet.leaving_by_id.get(name)
    if endpoint is None:
        return StatementTold(name, 0 if left is None else left.born, leaving=left is not None, rest_s=rest_s)
    held = state.of(endpoint)
    told = statement_told(endpoint, held, now) or StatementTold(name, held.born)
    # A newer life may have been heard of before its entry came: it does not leave as the last one does.
    leaving = left is not None and held.born <= left.born
    return structs.replace(told, leaving=leaving, rest_s=rest_s)
