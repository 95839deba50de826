"""Writes log lines and metrics about the attempts and the end of a job."""

from math import isfinite

from stairquay.adapters.clock import monotonic
from stairquay.core.errors import ExecutionStatus, Refusal
from stairquay.core.limits import UNLIMITED
from stairquay.core.placement import Placement
from stairquay.serving.endpoint_choice import Choice
from stairquay.serving.event_log import LogEvent
from stairquay.serving.jobs import Job, JobProgress, OriginBasis, StartedAttempt
from stairquay.serving.ports import Feedback, Reply, SendFailure, SurplusAnswers
from stairquay.serving.relay import MIN_ERROR_STATUS
from stairquay.serving.state import BoxState
from stairquay.serving.statements import limit_of

SURPLUS_LOG_INTERVAL_S = 10.0
"""Seconds between two lines about surplus answers of one endpoint; the metric counts all."""


def feedback_fields(feedback: Feedback | None) -> dict[str, object]:
    """Return the log fields for an endpoint's feedback."""
    if feedback is None:
        return {}
    fields: dict[str, object] = {}
    if feedback.limit_per_s != UNLIMITED:
        fields["limit_per_s"] = feedback.limit_per_s
    if feedback.leaving:
        fields["leaving"] = True
    if feedback.backoff_s:
        fields["rest_s"] = feedback.backoff_s
    if feedback.unreadable:
        fields["unreadable"] = {topic.value: text for topic, text in feedback.unreadable}
    return fields


def record_sent(state: BoxState, job: Job, choice: Choice, progress: JobProgress) -> None:
    """Log an attempt's endpoint and the inputs of that choice; a busy box does so for retries only."""
    if state.load.is_busy and not progress.tried:
        state.log.leave_out(LogEvent.SENT)
        return
    now = monotonic()
    fields: dict[str, object] = {
        "endpoint": choice.endpoint.id,
        "address": choice.endpoint.address,
        "service": job.service.id,
        "attempt": len(progress.tried) + 1,
        "waited_s": now - job.arrived_at,
        "left_s": job.deadline - now,
        "view_age_s": state.view_age(),
        "configuration": job.catalog.version,
        "in_flight": state.endpoint_state(choice.endpoint).in_flight,
    }
    limit_per_s = limit_of(state.endpoint_state(choice.endpoint))
    if limit_per_s < UNLIMITED:
        fields["limit_per_s"] = limit_per_s
    if choice.endpoint.software:
        fields["software"] = choice.endpoint.software
    after = progress.stream.last_event_id or job.call.resume_after
    if after is not None:
        fields.update(resume_after=after, resumes=job.call.resumes, **_origin_fields(progress.origin_basis))
    if choice.placement is not None:
        fields.update(_placement_fields(state, choice, choice.placement))
    if choice.version is not None and job.call.prompt is not None:
        fields["replaced_s"] = state.replaced_for_s(job.call.prompt.model, choice.version)
    state.log.line(LogEvent.SENT, job.call.id, **fields)


def _origin_fields(basis: OriginBasis | None) -> dict[str, object]:
    """Return how this box knows where a stream began."""
    if basis is None:
        return {"origin": ""}
    # A router of an earlier release doesn't tell.
    ages_s = [round(age_s, 4) if isfinite(age_s) else None for age_s in basis.answer_ages_s]
    asked = {"origin_routers": basis.asked, "answer_ages_s": ages_s} if basis.asked else {}
    return {"origin": basis.source, "list_age_s": basis.list_age_s, **asked}


def _placement_fields(state: BoxState, choice: Choice, placement: Placement) -> dict[str, object]:
    return {
        "version": choice.version,
        "router": choice.router or state.settings.id,
        "first_token_s": placement.first_token_s,
        "alternative_s": choice.alternative_s,
        "reused": placement.reused,
        "fetched": placement.fetched,
        "read": placement.read,
        "report_age_s": monotonic() - state.endpoint_state(choice.endpoint).reported_at,
        "resident": placement.engine.resident,
        "fetch": placement.fetch_from,
        "fetch_until_ms": choice.fetch_until_ms,
        "used": placement.engine.used_tokens,
        "waiting": placement.engine.waiting_tokens,
        "running": placement.engine.running,
    }


def record_first_byte(state: BoxState, job: Job, first_byte_at: float) -> None:
    """Observe the time from arrival to the first byte of the response."""
    metrics = state.metrics
    labels = metrics.labels.of(job.workspace_id), metrics.labels.of(job.route.id)
    metrics.child(metrics.first_byte, *labels).observe(first_byte_at - job.arrived_at)


def record_prompt_tokens(state: BoxState, job: Job, placement: Placement) -> None:
    """Observe how many prompt tokens the engine was expected to reuse, fetch and prefill."""
    metrics = state.metrics
    for way, tokens in (
        ("reused", placement.reused),
        ("fetched", placement.fetched),
        ("read", placement.read),
    ):
        metrics.child(metrics.prompt_tokens, metrics.labels.of(job.route.id), way).observe(tokens)


def record_surplus(
    state: BoxState, job: Job, started_attempt: StartedAttempt, surplus: SurplusAnswers
) -> None:
    """Count surplus answers, and log one of each endpoint at a time: a faulty one may send many."""
    endpoint, endpoint_state = started_attempt.choice.endpoint, started_attempt.endpoint_state
    state.metrics.surplus_answers.labels(endpoint.service).inc(surplus.number)
    now = monotonic()
    if now - endpoint_state.surplus_logged_at < SURPLUS_LOG_INTERVAL_S:
        return
    endpoint_state.surplus_logged_at = now
    state.log.line(
        LogEvent.SURPLUS_ANSWER,
        job.call.id,
        endpoint=endpoint.id,
        answered=surplus.answered,
        status=surplus.status,
        number=surplus.number,
    )


def record_attempt_failed(
    state: BoxState, job: Job, started_attempt: StartedAttempt, failure: SendFailure, now: float
) -> None:
    """Log and count a failed attempt."""
    state.metrics.attempts.labels(job.service.id, failure.kind.value).inc()
    state.log.line(
        LogEvent.ATTEMPT_FAILED,
        job.call.id,
        endpoint=started_attempt.choice.endpoint.id,
        outcome=failure.kind.value,
        ran=failure.ran.value,
        detail=failure.detail,
        status=failure.status,
        took_s=now - started_attempt.sent_at,
        failing=started_attempt.endpoint_state.current_failure_rate(now),
        broke=failure.connection_broken,
        first_token_took_s=_first_token_took_s(started_attempt),
        digest=job.digest,
        **feedback_fields(failure.feedback),
    )


def _first_token_took_s(started_attempt: StartedAttempt) -> float | None:
    """Return the seconds from sending an attempt to its first output, to compare with the prediction."""
    if started_attempt.first_byte_at is None:
        return None
    return started_attempt.first_byte_at - started_attempt.sent_at


def record_retry_denied(state: BoxState, job: Job) -> None:
    """Log that a failed job is not retried because the retry budget is exhausted."""
    budget = state.retry_budget(job.service.id)
    state.log.line(
        LogEvent.ATTEMPT_FAILED,
        job.call.id,
        outcome="not_sent_again",
        detail="retry budget exhausted",
        repeats=len(budget.retries),
        requests=budget.counter.in_window,
        boxes=len(state.boxes),
    )


def record_answered(
    state: BoxState,
    job: Job,
    started_attempt: StartedAttempt,
    reply: Reply,
    progress: JobProgress,
    now: float,
) -> None:
    """Log and count a job whose response was relayed completely.

    A busy box writes no line about a success at the first attempt.
    """
    metrics = state.metrics
    route = metrics.labels.of(job.route.id)
    metrics.child(metrics.attempts, job.service.id, "ok").inc()
    metrics.child(metrics.ended, route, "answered").inc()
    metrics.child(metrics.response_time, route).observe(now - job.arrived_at)
    if state.load.is_busy and not progress.tried and reply.status < MIN_ERROR_STATUS:
        state.log.leave_out(LogEvent.ENDED)
        return
    state.log.line(
        LogEvent.ENDED,
        job.call.id,
        outcome="answered",
        ran=ExecutionStatus.RAN.value,
        status=reply.status,
        endpoint=started_attempt.choice.endpoint.id,
        version=reply.version,
        events=progress.stream.events,
        framing=reply.framing.value,
        trailing_bytes=progress.stream.trailing_bytes,
        first_s=None
        if started_attempt.first_byte_at is None
        else started_attempt.first_byte_at - job.arrived_at,
        first_token_took_s=_first_token_took_s(started_attempt),
        took_s=now - job.arrived_at,
        **feedback_fields(reply.feedback),
    )


def record_answered_elsewhere(
    state: BoxState, job: Job, box: str, reply: Reply, progress: JobProgress
) -> None:
    """Log and count a job that another box served, and whose response was relayed completely."""
    metrics, took_s = state.metrics, monotonic() - job.arrived_at
    route = metrics.labels.of(job.route.id)
    metrics.child(metrics.ended, route, "answered").inc()
    metrics.child(metrics.response_time, route).observe(took_s)
    state.log.line(
        LogEvent.ENDED,
        job.call.id,
        outcome="answered",
        ran=ExecutionStatus.RAN.value,
        status=reply.status,
        by=box,
        events=progress.stream.events,
        framing=reply.framing.value,
        trailing_bytes=progress.stream.trailing_bytes,
        took_s=took_s,
    )


def record_job_failed(
    state: BoxState, job: Job, outcome: str, ran: ExecutionStatus, refusal: Refusal
) -> None:
    """Log and count a job that ended with an endpoint's error or a truncated stream."""
    state.metrics.ended.labels(state.metrics.labels.of(job.route.id), outcome).inc()
    state.log.line(
        LogEvent.ENDED,
        job.call.id,
        outcome=outcome,
        ran=ran.value,
        cause=refusal.kind.value,
        detail=refusal.detail,
        took_s=monotonic() - job.arrived_at,
    )
