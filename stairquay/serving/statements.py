"""Applies the feedback that endpoints give in their answers: a limit, leaving, a backoff, or brittleness.

Feedback holds for one incarnation, and is kept when the endpoint's entry lapses while the table service is
down.
"""

from dataclasses import replace

from stairquay.adapters.clock import monotonic
from stairquay.core.fleet import Endpoint
from stairquay.core.limits import UNLIMITED, LimitReport, merge_reports
from stairquay.core.rest import Backoff
from stairquay.serving.brittleness import apply_tolerance, record_rejection
from stairquay.serving.endpoint import EndpointState
from stairquay.serving.event_log import LogEvent
from stairquay.serving.ports import Feedback, Topic
from stairquay.serving.state import BoxState


def limit_of(endpoint_state: EndpointState) -> float:
    """Return an endpoint's rate limit in requests a second, UNLIMITED if it has none."""
    return UNLIMITED if endpoint_state.limit is None else endpoint_state.limit.per_s


def apply_feedback(
    state: BoxState,
    endpoint: Endpoint,
    endpoint_state: EndpointState,
    feedback: Feedback,
    sent_at: float,
    now: float,
) -> None:
    """Apply the feedback in the head of an answer, received at `now` to a request sent at `sent_at`.

    endpoint_state: of the incarnation that was known when the request was sent. Times are in monotonic
    seconds.
    """
    if feedback.leaving:
        # Never of a newer incarnation: it would get no work until it ends, if the answer was not its own.
        apply_leaving(state, endpoint.id, endpoint_state.born, "answer")
    endpoint_state = _answering_incarnation(state, endpoint, endpoint_state, sent_at)
    for topic, text in feedback.unreadable:
        _record_unreadable(state, endpoint, endpoint_state, topic, text)
    if feedback.limit_per_s is not None:
        apply_limit(state, endpoint, endpoint_state, LimitReport(feedback.limit_per_s, sent_at, now))
    if feedback.bears_per_s is not None:
        report = LimitReport(feedback.bears_per_s, sent_at, now)
        apply_tolerance(state, endpoint, endpoint_state, report)
    if feedback.rejected:
        record_rejection(state, endpoint, endpoint_state, now)
    elif endpoint_state.rejections:
        endpoint_state.rejections = 0
    if feedback.backoff_s is not None:
        _apply_backoff(state, endpoint, endpoint_state, feedback.backoff_s, sent_at, now)


def _answering_incarnation(
    state: BoxState, endpoint: Endpoint, known: EndpointState, sent_at: float
) -> EndpointState:
    """Return the state of the incarnation that answered a request; its start may have become known since.

    An answer of the last half second before that start may be taken for its own, see MAX_CLOCK_LAG_S.
    """
    newest = state.endpoints_by_id.get(endpoint.id, known)
    return newest if newest.born > known.born and sent_at >= state.started_at(newest.born) else known


def apply_leaving(state: BoxState, endpoint_id: str, born: int, source: str) -> None:
    """Mark an incarnation of an endpoint as leaving, so that it gets no new work. source: for the log."""
    if not state.fleet.mark_leaving(endpoint_id, born, monotonic()):
        return
    listed = state.fleet.by_id.get(endpoint_id)
    state.log.line(
        LogEvent.LEAVING,
        endpoint=endpoint_id,
        service=None if listed is None else listed.service,
        outcome="said",
        source=source,
        born=born,
    )
    state.changed.notify_all()


def _apply_backoff(
    state: BoxState,
    endpoint: Endpoint,
    endpoint_state: EndpointState,
    backoff_s: float,
    sent_at: float,
    now: float,
) -> None:
    """Start a backoff of `backoff_s` seconds, or end it where that is 0.

    Of overlapping backoffs the one that ends last holds. It ends with an answer without one to a request sent
    after its time.
    """
    backoff = endpoint_state.backoff
    if backoff_s == 0:
        if backoff is not None and sent_at >= backoff.until:
            endpoint_state.backoff = None
            state.backing_off.discard(endpoint.id)
            state.log.line(LogEvent.REST, endpoint=endpoint.id, service=endpoint.service, outcome="ended")
        return
    if backoff is not None and backoff.until >= now + backoff_s:
        return
    delay_s = _stagger_s(state, endpoint, endpoint_state, backoff_s)
    endpoint_state.backoff = Backoff(now + backoff_s + delay_s, sent_at=sent_at)
    state.backing_off.add(endpoint.id)
    state.log.line(
        LogEvent.REST,
        endpoint=endpoint.id,
        service=endpoint.service,
        outcome="asked",
        for_s=backoff_s,
        later_s=delay_s,
    )


def _stagger_s(state: BoxState, endpoint: Endpoint, endpoint_state: EndpointState, backoff_s: float) -> float:
    """Return the seconds by which this box extends a backoff, so that boxes do not resume all at once.

    Boxes resume in the order of their ids, at the endpoint's service rate, within `backoff_s` seconds.
    """
    boxes = len(state.boxes)
    rank = sum(other < state.settings.id for other in state.boxes)
    spread_s = min(backoff_s, boxes * endpoint_state.response_time_s / endpoint.slots)
    return spread_s * rank / max(1, boxes)


def apply_limit(
    state: BoxState, endpoint: Endpoint, endpoint_state: EndpointState, report: LimitReport
) -> None:
    """Apply the rate limit of an answer that this box or another one received."""
    if endpoint_state.limit is None and report.per_s == UNLIMITED:
        return
    previous_per_s = limit_of(endpoint_state)
    state.limited.add(endpoint.id)
    endpoint_state.limit = merge_reports(endpoint_state.limit, report)
    new_per_s = limit_of(endpoint_state)
    if new_per_s == previous_per_s:
        return
    if new_per_s == UNLIMITED:
        endpoint_state.limit_ended_at = report.received_at
    if previous_per_s == UNLIMITED:
        state.changed.notify_all()
    outcome = "ended" if new_per_s == UNLIMITED else "named" if previous_per_s == UNLIMITED else "changed"
    state.log.line(
        LogEvent.LIMIT,
        endpoint=endpoint.id,
        service=endpoint.service,
        outcome=outcome,
        per_s=new_per_s,
        before_per_s=previous_per_s,
    )


def _record_unreadable(
    state: BoxState, endpoint: Endpoint, endpoint_state: EndpointState, topic: Topic, text: str
) -> None:
    """Count feedback that could not be parsed, and log it if it differs from the last one.

    The earlier feedback on this topic stays in force.
    """
    state.metrics.unreadable_feedback.labels(topic.value).inc()
    if endpoint_state.unreadable_by_topic.get(topic) != text:
        endpoint_state.unreadable_by_topic[topic] = text
        state.log.line(
            LogEvent(topic.value),
            endpoint=endpoint.id,
            service=endpoint.service,
            outcome="unreadable",
            text=text,
        )


def backoffs_by_id(state: BoxState, now: float) -> dict[str, float]:
    """Return by endpoint id the seconds until this box may send a request.

    While the first request after a backoff is under way, that is at most the usual response time.
    """
    backoffs_s: dict[str, float] = {}
    for endpoint_id in state.backing_off:
        endpoint_state = state.endpoints_by_id.get(endpoint_id)
        if endpoint_state is None or endpoint_state.backoff is None:
            continue
        wait_s = endpoint_state.backoff.wait_s(now)
        if wait_s > 0:
            backoffs_s[endpoint_id] = (
                wait_s if now < endpoint_state.backoff.until else min(wait_s, endpoint_state.response_time_s)
            )
    return backoffs_s


def is_backing_off(endpoint_state: EndpointState, now: float) -> bool:
    """Return whether an endpoint's backoff for this box has not ended yet."""
    return endpoint_state.backoff is not None and now < endpoint_state.backoff.until


def record_probe(endpoint_state: EndpointState, now: float) -> None:
    """Record that a request is sent, whose answer shows whether the backoff has ended."""
    if endpoint_state.backoff is not None:
        endpoint_state.backoff = replace(endpoint_state.backoff, probed_at=now)
