"""Which endpoints have gone silent while requests wait there.

New requests go to other endpoints, as long as there are any, and one at a time tries a silent endpoint anew.
Repeats never go there: an endpoint that goes on after a long silence would read those of several windows of
the retry budget at once. Those sent before the silence was known count until they have been read.
"""

from result import Ok, Result

from stairquay.adapters.clock import monotonic
from stairquay.core.errors import ExecutionStatus
from stairquay.core.silence import SILENT_AFTER_S, Silence
from stairquay.serving.event_log import LogEvent
from stairquay.serving.jobs import Job, StartedAttempt
from stairquay.serving.ports import Reply, SendFailure
from stairquay.serving.state import BoxState


def record_result(state: BoxState, started_attempt: StartedAttempt, sent: Result[Reply, SendFailure]) -> None:
    """Record whether an attempt was answered; one whose connection broke shows that its endpoint goes on."""
    silence = started_attempt.endpoint_state.silence
    if isinstance(sent, Ok) or sent.err_value.status or sent.err_value.connection_broken:
        now = monotonic()
        ended = silence.on_answered(now)
        if ended is not None:
            _record_end(state, started_attempt, ended, now)
    elif sent.err_value.ran == ExecutionStatus.NOT_RUN:
        silence.on_not_sent(started_attempt.sent_at)
    else:
        silence.on_given_up()


def silent_ids(state: BoxState, job: Job) -> frozenset[str]:
    """Return the endpoints to which a repeat of this job must not be sent, as they may read it late.

    An endpoint whose answers usually take as long as the objective allows is not silent yet.
    """
    now, after_s = monotonic(), max(SILENT_AFTER_S, job.route.objective_s)
    return frozenset(
        item.id
        for item in state.fleet.by_id.values()
        if item.service == job.service.id and state.endpoint_state(item).silence.lasts_s(now) > after_s
    )


def _record_end(state: BoxState, started_attempt: StartedAttempt, ended: Silence, now: float) -> None:
    """Count repeats that are read only now, and log the silence."""
    endpoint = started_attempt.choice.endpoint
    state.retry_budget(endpoint.service).on_read_late(ended.repeats, now)
    state.log.line(
        LogEvent.SILENCE,
        endpoint=endpoint.id,
        service=endpoint.service,
        silent_s=ended.lasts_s(now),
        waiting=ended.waiting,
        repeats=len(ended.repeats),
    )
