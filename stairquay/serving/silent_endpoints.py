"""Which endpoints have gone silent while requests wait there.

New requests go to other endpoints, as long as there are any, and one at a time tries a silent endpoint anew.
Repeats never go there: an endpoint that goes on after a long silence would read those of several windows of
the retry budget at once. Those sent before the silence was known count until they have been read. They are
few: of a service's endpoints, only those that have just answered get repeats while some lie unread.
An endpoint that has answered an earlier process of this box only may hold repeats of that one, and gets none.
"""

import asyncio
from collections.abc import Collection
from math import inf

from result import Ok, Result

from stairquay.adapters.clock import monotonic
from stairquay.core.errors import ExecutionStatus
from stairquay.core.silence import QUIET_AFTER_S, SILENT_AFTER_S, UNREAD_TTL_S, Silence
from stairquay.serving.endpoint import NEVER
from stairquay.serving.event_log import LogEvent
from stairquay.serving.jobs import Job, StartedAttempt
from stairquay.serving.ports import Reply, SendFailure
from stairquay.serving.state import BoxState

CHECK_INTERVAL_S = 0.05
"""Seconds between two checks of whether an endpoint has answered."""

MAX_WAIT_S = 1.5
"""Seconds for which a repeat waits at most while endpoints answer others."""


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

    An endpoint whose answers usually take as long as the objective allows is not silent yet, unless as many
    repeats are unread as may be. Then one that has not read a repeat gets no other one either, however short
    its silence is, as many may be sent at once.
    """
    if not _most_are_unread(state, job):
        return _silent_for(state, job, _silent_after_s(job))
    now = monotonic()
    return _silent_for(state, job, QUIET_AFTER_S).union(
        item.id
        for item in state.fleet.by_id.values()
        if item.service == job.service.id and state.endpoint_state(item).silence.unread_repeats(now)
    )


async def wait_for_answers(state: BoxState, job: Job, tried: Collection[str]) -> None:
    """Wait while a repeat may go to no endpoint that it has not tried, but may once one of them answers.

    The wait lasts longer where endpoints go on answering, as each answer lets only few repeats go. The budget
    counts the repeat as of its end, when it is sent.
    """
    began = monotonic()
    while _must_wait(state, job, tried) and monotonic() < _wait_ends_at(state, job, tried, began):
        await asyncio.sleep(CHECK_INTERVAL_S)
    now = monotonic()
    if now - began >= CHECK_INTERVAL_S:
        state.retry_budget(job.service.id).on_read_late((began,), now)


def _wait_ends_at(state: BoxState, job: Job, tried: Collection[str], began: float) -> float:
    answering = _untried(state, job, tried) - _silent_for(state, job, SILENT_AFTER_S)
    return min(job.deadline, began + (MAX_WAIT_S if answering else SILENT_AFTER_S))


def _must_wait(state: BoxState, job: Job, tried: Collection[str]) -> bool:
    if not _most_are_unread(state, job):
        return False
    untried = _untried(state, job, tried)
    may_answer = untried - _silent_for(state, job, _silent_after_s(job))
    return bool(may_answer) and untried <= silent_ids(state, job)


def _untried(state: BoxState, job: Job, tried: Collection[str]) -> frozenset[str]:
    usable = state.fleet.usable(job.service.id, monotonic())
    return frozenset(item.id for item in usable if item.id not in tried)


def _silent_for(state: BoxState, job: Job, after_s: float) -> frozenset[str]:
    """Return the endpoints of a service that have answered nothing for longer than some seconds."""
    return frozenset(name for name, lasts_s in _silences_s(state, job).items() if lasts_s > after_s)


def _most_are_unread(state: BoxState, job: Job) -> bool:
    """Tell whether as many repeats are unread as may be at endpoints that may have stopped."""
    service = job.service.id
    most = state.retry_budget(service).allowance.most_unread(len(state.boxes))
    return len(state.unread_repeats(service, monotonic())) >= most


def _has_predecessor(state: BoxState) -> bool:
    """Tell whether repeats of an earlier process of this box may still be unread."""
    ended_by = state.predecessor_ended_by
    return ended_by != NEVER and monotonic() - ended_by < UNREAD_TTL_S


def _silent_after_s(job: Job) -> float:
    return max(SILENT_AFTER_S, job.route.objective_s)


def _silences_s(state: BoxState, job: Job) -> dict[str, float]:
    """Return for how many seconds each endpoint of a service has answered nothing, by id.

    It is infinite where only an earlier process of this box may have had answers, and repeats unread.
    """
    now, has_predecessor = monotonic(), _has_predecessor(state)

    def lasts_s(silence: Silence) -> float:
        return inf if has_predecessor and not silence.has_answered else silence.lasts_s(now)

    return {
        item.id: lasts_s(state.endpoint_state(item).silence)
        for item in state.fleet.by_id.values()
        if item.service == job.service.id
    }


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
