"""What endpoints say of their use, in answers to requests: a limit, in requests a second from all callers
together; that they leave; for how long they want nothing from this box.

It is taken in here, whoever heard it and at whatever kind of request. It binds one life of an endpoint, and
outlives its entry in the list, which lapses where the table service is away.
"""

from dataclasses import replace

from stairquay.adapters.clock import monotonic
from stairquay.core.fleet import Endpoint
from stairquay.core.limits import UNLIMITED, LimitReport, merge_reports
from stairquay.core.rest import Backoff
from stairquay.serving.decisions import Decision
from stairquay.serving.endpoint import EndpointState
from stairquay.serving.ports import Statement, Topic
from stairquay.serving.state import BoxState


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
        take_limit(state, endpoint, held, LimitReport(said.limit_per_s, sent_at, now))
    if said.leaving:
        take_leaving(state, endpoint.id, held.born, "answer")
    if said.rest_s is not None:
        _take_rest(state, endpoint, held, said.rest_s, sent_at, now)


def take_leaving(state: BoxState, endpoint_id: str, born: int, source: str) -> None:
    """Take in that a life of an endpoint leaves: nothing new goes there. source: who said so, for the log."""
    if not state.fleet.mark_leaving(endpoint_id, born, monotonic()):
        return
    listed = state.fleet.by_id.get(endpoint_id)
    state.log.line(
        Decision.LEAVING,
        endpoint=endpoint_id,
        service=None if listed is None else listed.service,
        outcome="said",
        source=source,
        born=born,
    )
    state.changed.happened()


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
    later_s = _own_turn_s(state, endpoint, held, rest_s)
    held.rest = Backoff(now + rest_s + later_s)
    state.resting.add(endpoint.id)
    state.log.line(
        Decision.REST,
        endpoint=endpoint.id,
        service=endpoint.service,
        outcome="asked",
        for_s=rest_s,
        later_s=later_s,
    )


def _own_turn_s(state: BoxState, endpoint: Endpoint, held: EndpointState, rest_s: float) -> float:
    """Return the seconds after a rest at which this box comes back, in a turn of all boxes.

    An endpoint in need asks many boxes at once, whose rests end together. They come one after the other, as
    its places and the time of an answer allow, and within the length of the rest once more.
    """
    boxes = len(state.boxes)
    before = sum(other < state.settings.id for other in state.boxes)
    spread_s = min(rest_s, boxes * held.work_s / endpoint.slots)
    return spread_s * before / max(1, boxes)


def take_limit(state: BoxState, endpoint: Endpoint, held: EndpointState, told: LimitReport) -> None:
    """Take in what an answer said of its endpoint's limit, here or at another box."""
    if held.limit is None and told.per_s == UNLIMITED:
        return
    before = limit_of(held)
    state.limited.add(endpoint.id)
    held.limit = merge_reports(held.limit, told)
    now_per_s = limit_of(held)
    if now_per_s == before:
        return
    if now_per_s == UNLIMITED:
        held.limit_ended_at = told.received_at
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


def rests_of(state: BoxState, now: float) -> dict[str, float]:
    """Return by id the seconds for which endpoints want nothing from this box.

    Where a rest is over and its first request is under way, that is about as long as its answer takes.
    """
    rests_s: dict[str, float] = {}
    for name in state.resting:
        held = state.endpoints_by_id.get(name)
        if held is None or held.rest is None:
            continue
        wait_s = held.rest.wait_s(now)
        if wait_s > 0:
            rests_s[name] = wait_s if now < held.rest.until else min(wait_s, held.work_s)
    return rests_s


def is_resting(held: EndpointState, now: float) -> bool:
    """Tell whether an endpoint has asked this box for rest that is not over."""
    return held.rest is not None and now < held.rest.until


def note_tried(held: EndpointState, now: float) -> None:
    """Take in that a request goes to an endpoint, which shows whether its rest is over."""
    if held.rest is not None:
        held.rest = replace(held.rest, probed_at=now)
