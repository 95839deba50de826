"""Runs a request: attempts at endpoints, one after the other, as far as truth, time and budget allow."""

import asyncio
from dataclasses import replace

from aiohttp import web
from result import Err, Ok, Result

from stairquay.adapters.clock import monotonic
from stairquay.core.attempt import Attempt, combine_execution_status
from stairquay.core.call import Dispatch
from stairquay.core.catalog import engine_priority
from stairquay.core.errors import ErrorKind, Ran, Refusal
from stairquay.serving.asking import Chooser
from stairquay.serving.choosing import Choice
from stairquay.serving.crashes import CrashWatch
from stairquay.serving.endpoint import FULL_PAUSE_S
from stairquay.serving.evacuation import takes_work
from stairquay.serving.jobs import Begun, Job, Progress
from stairquay.serving.messages import Outcome
from stairquay.serving.ports import BrokenAnswer, Endpoints, Reply, SendFailure
from stairquay.serving.records import (
    record_answered,
    record_failed,
    record_first,
    record_given_up,
    record_not_repeated,
    record_prompt,
    record_sent,
)
from stairquay.serving.refusals import RETRY_AFTER_S, all_held_back, overloaded, truthful
from stairquay.serving.relay import cut, read_whole, relay_stream, whole_response
from stairquay.serving.state import BoxState
from stairquay.serving.statements import is_resting, note_tried, take_statement

MAX_REFUSED = 4
"""Times that one request may be turned away by endpoints before it is refused."""

SERVER_ERROR = 500
"""HTTP status from which an answer is an endpoint's own error."""

SHED_AT = 0.1
"""Backlog, in objectives, from which the least urgent requests are refused. Reports lag and all boxes send at
once, so that the backlog grows beyond it. Of 0.05, 0.15, 0.35 and 0.75, 0.15 served best at high load;
about 0.05 of that stood for memory in use that nobody waits for, and is not counted any more."""

WORK_WEIGHT = 0.1
"""Weight of the newest answer in an endpoint's mean time to answer."""

TURN_SHARE = 0.25
"""Share of the objective, from a request's arrival, within which it waits for its turn where all endpoints
take only so many a second: it is still in time then, and a refusal and its return take longer. Who would
wait longer is refused at once."""

MIN_LEFT_S = 0.01
"""Seconds left below which no attempt is begun."""


class Dispatcher:
    """Sends jobs to endpoints."""

    def __init__(self, state: BoxState, endpoints: Endpoints, chooser: Chooser, crashes: CrashWatch) -> None:
        self.state = state
        self.endpoints = endpoints
        self.chooser = chooser
        self.crashes = crashes

    async def run(self, job: Job, request: web.Request) -> Result[web.StreamResponse, Refusal]:
        """Run a job to its end, and return the answer that was given or is to be given."""
        self.state.budget(job.service.id).on_request(monotonic())
        progress = Progress()
        while True:
            refusal = self._may_go_on(job, progress)
            if refusal is not None:
                return self._given_up(job, progress, refusal, request)
            most_backlog_s = _most_backlog_s(job, progress)
            choice = await self.chooser.choose(job, progress, most_backlog_s)
            if choice is None:
                come_back_s = self.chooser.come_back_s(job, progress)
                if come_back_s is not None and _may_wait(job, come_back_s):
                    await asyncio.sleep(come_back_s)
                    continue
                refusal = self._told_when(job, _no_endpoint(progress, come_back_s))
                return self._given_up(job, progress, refusal, request)
            outcome = Outcome.NOT_SENT
            try:
                if most_backlog_s is not None and choice.backlog_s > most_backlog_s:
                    return self._given_up(job, progress, overloaded(choice), request)
                # Where the caller leaves, the engine may have read the prompt.
                outcome = Outcome.DONE
                response = await self._attempt(job, choice, progress, request)
                outcome = _outcome(response, progress)
            finally:
                self.chooser.finished(choice, outcome)
            if response is not None:
                return Ok(response)
            refusal = self._may_repeat(job, progress)
            if refusal is not None:
                return self._given_up(job, progress, self._told_when(job, refusal), request)

    def _may_go_on(self, job: Job, progress: Progress) -> Refusal | None:
        """Return why nothing may be sent now, None where it may."""
        if job.deadline - monotonic() < MIN_LEFT_S:
            return Refusal(ErrorKind.DEADLINE, progress.ran)
        if not self._fresh(job):
            return Refusal(ErrorKind.NOT_READY, progress.ran, "the configuration's view is too old")
        quarantined_s = self._quarantined_s(job)
        if quarantined_s > 0:
            return Refusal(ErrorKind.QUARANTINED, progress.ran, f"digest {job.digest}", quarantined_s)
        return None

    def _told_when(self, job: Job, refusal: Refusal) -> Refusal:
        """Return a refusal that gives the end of the rest, where no endpoint takes anything before that."""
        rest_s = None if refusal.kind == ErrorKind.OVERLOADED else self.chooser.all_rest_s(job)
        return refusal if rest_s is None else replace(refusal, retry_after_s=max(RETRY_AFTER_S, rest_s))

    def _quarantined_s(self, job: Job) -> float:
        """Return for how many more seconds nothing is sent of a job, because it crashes endpoints."""
        quarantine = self.state.quarantine
        return quarantine.left_s(job.digest) if quarantine.verdict else 0.0

    def _fresh(self, job: Job) -> bool:
        return job.workspace is None or self.state.keys_fresh()

    def _too_old(self, job: Job, choice: Choice) -> bool:
        """Tell whether the weights a prompt was to run on were replaced too long ago by now."""
        prompt = job.call.prompt
        if prompt is None or choice.placement is None:
            return False
        return self.state.too_old(prompt.model, choice.version or 0, choice.placement.first_token_s)

    def _may_repeat(self, job: Job, progress: Progress) -> Refusal | None:
        """Return why a failed job is not sent again, None where it is."""
        failure = progress.last
        assert failure is not None
        refusal = Refusal(failure.kind, progress.ran, failure.detail, retry_after_s=RETRY_AFTER_S)
        if failure.ran == Ran.NOT_RUN and failure.status == 0:
            # It never left this box, so that no endpoint saw it twice.
            return None if progress.refused < MAX_REFUSED else refusal
        if failure.ran != Ran.NOT_RUN:
            if not job.route.retryable or progress.runs >= job.route.max_attempts:
                return refusal
        elif progress.refused >= MAX_REFUSED:
            return refusal
        if not self.state.take_repeat(job.service.id):
            record_not_repeated(self.state, job)
            return refusal
        self.state.metrics.repeats.labels(job.service.id).inc()
        return None

    async def _attempt(
        self, job: Job, choice: Choice, progress: Progress, request: web.Request
    ) -> web.StreamResponse | None:
        """Make one attempt. Return the caller's response, or None where it failed (`progress.last`)."""
        attempt = Attempt(job.call.id, choice.endpoint.id)
        held = self.state.of(choice.endpoint)
        begun = Begun(choice, attempt, held, monotonic())
        # A router has already counted what it placed itself.
        counted = choice.router == self.state.settings.id
        held.in_flight += not counted
        if choice.placement is not None and not counted:
            held.unread_tokens_by_request[job.call.id] = choice.placement.read
            held.on_sent(choice.placement.read + choice.placement.fetched, begun.sent_at)
        note_tried(held, begun.sent_at)
        record_sent(self.state, job, choice, progress)
        try:
            sent = await self._send(job, begun, progress)
            self._take_statement(begun, sent)
            if isinstance(sent, Err):
                self._failed(job, begun, progress, sent.err_value)
                return None
            begun.replied = True
            return await self._relay(job, begun, progress, sent.ok_value, request)
        finally:
            held.in_flight -= not counted
            held.unread_tokens_by_request.pop(job.call.id, None)

    def _take_statement(self, begun: Begun, sent: Result[Reply, SendFailure]) -> None:
        """Take in what an answer's head says of its endpoint, before any of it is passed on."""
        said = sent.err_value.said if isinstance(sent, Err) else sent.ok_value.said
        if said is not None:
            take_statement(self.state, begun.choice.endpoint, begun.held, said, begun.sent_at, monotonic())

    async def _send(self, job: Job, begun: Begun, progress: Progress) -> Result[Reply, SendFailure]:
        left_s = job.deadline - monotonic()
        after = progress.stream.last_event or job.call.resume_after
        dispatch = self._dispatch(job, begun.choice, left_s, after)

        def guard() -> bool:
            if not self._fresh(job) or job.deadline <= monotonic() or self._quarantined_s(job) > 0:
                return False
            if not takes_work(self.state, begun.choice.endpoint) or is_resting(begun.held, monotonic()):
                return False
            return not self._too_old(job, begun.choice)

        return await self.endpoints.send(job.call, job.body, dispatch, begun.attempt, guard, left_s)

    def _dispatch(self, job: Job, choice: Choice, left_s: float, resume_after: str | None) -> Dispatch:
        placement = choice.placement
        return Dispatch(
            endpoint=choice.endpoint.id,
            address=choice.endpoint.address,
            time_left_s=left_s,
            workspace=job.workspace_id,
            priority=None if placement is None else engine_priority(job.route, job.workspace),
            context_scope=choice.scope,
            version=choice.version,
            fetch_from=() if placement is None else placement.fetch_from,
            save_to=choice.save_to,
            fetch_until_ms=choice.fetch_until_ms,
            resume_after=resume_after,
        )

    async def _relay(
        self, job: Job, begun: Begun, progress: Progress, reply: Reply, request: web.Request
    ) -> web.StreamResponse | None:
        """Pass an answer on. Return None where it broke off and might be tried elsewhere."""
        try:
            if reply.streamed and reply.status < SERVER_ERROR:
                await relay_stream(
                    request,
                    reply,
                    progress.stream,
                    job.deadline,
                    on_first=lambda: self._on_first(job, begun),
                    last_on_connection=self.state.turns_away,
                )
                response = progress.stream.response
                assert response is not None
            elif progress.stream.response is not None:
                # The caller already has the head of a stream: no other answer may follow it.
                raise BrokenAnswer(f"status {reply.status} in place of the rest of a stream")
            else:
                body = await read_whole(reply, job.deadline)
                if reply.status >= SERVER_ERROR and self._error_again(job, begun, progress, reply, body):
                    return None
                self._on_first(job, begun)
                response = whole_response(reply, body)
        except (BrokenAnswer, TimeoutError) as error:
            kind = ErrorKind.DEADLINE if isinstance(error, TimeoutError) else ErrorKind.ENDPOINT_FAILED
            begun.attempt.lose()
            fault = kind != ErrorKind.DEADLINE
            detail = f"the answer broke off: {error}"
            failure = SendFailure(kind, begun.attempt.ran, detail, reply.status, fault=fault, broke=fault)
            self._failed(job, begun, progress, failure)
            return None
        finally:
            reply.close()
        begun.attempt.finish()
        self._ended_well(job, begun, reply, progress)
        return response

    def _error_again(self, job: Job, begun: Begun, progress: Progress, reply: Reply, body: bytes) -> bool:
        """Take in an endpoint's own error; tell whether the job is sent again instead of passing it on."""
        progress.kept_reply = (reply, body)
        again = job.route.retryable and progress.runs + 1 < job.route.max_attempts
        if not again:
            return False
        begun.attempt.lose()
        failure = SendFailure(
            ErrorKind.ENDPOINT_FAILED, begun.attempt.ran, f"status {reply.status}", reply.status, fault=False
        )
        self._failed(job, begun, progress, failure)
        return True

    def _on_first(self, job: Job, begun: Begun) -> None:
        if begun.first_at is not None:
            return
        begun.first_at = monotonic()
        begun.held.unread_tokens_by_request.pop(job.call.id, None)
        record_first(self.state, job, begun.first_at)
        placement = begun.choice.placement
        if placement is None or job.call.prompt is None:
            return
        record_prompt(self.state, job, placement)
        self.chooser.was_read(begun.choice)

    def _failed(self, job: Job, begun: Begun, progress: Progress, failure: SendFailure) -> None:
        """Take in a failed attempt."""
        now = monotonic()
        progress.last = failure
        progress.ran = combine_execution_status(progress.ran, failure.ran)
        progress.tried.add(begun.choice.endpoint.id)
        if failure.ran == Ran.NOT_RUN:
            progress.refused += 1
            begun.held.refused_until = now + FULL_PAUSE_S
        else:
            progress.runs += 1
        if _speaks_against(failure):
            begun.held.on_outcome(True, now)
            if _unreached(failure):
                begun.held.doubted_at = now
        if failure.broke:
            self.crashes.broke(job, begun, progress.stream.events)
        record_failed(self.state, job, begun, failure, now)

    def _ended_well(self, job: Job, begun: Begun, reply: Reply, progress: Progress) -> None:
        now = monotonic()
        if reply.status < SERVER_ERROR:
            self.state.quarantine.served(job.digest)
        begun.held.on_outcome(False, now)
        begun.held.work_s += WORK_WEIGHT * ((now - begun.sent_at) - begun.held.work_s)
        if reply.version is not None:
            begun.held.version = max(begun.held.version, reply.version)
        record_answered(self.state, job, begun, reply, progress, now)

    def _given_up(
        self, job: Job, progress: Progress, refusal: Refusal, request: web.Request
    ) -> Result[web.StreamResponse, Refusal]:
        """End a job without success: with the endpoint's own error, a refusal, or a cut stream."""
        if progress.stream.response is not None:
            cut(request)
            record_given_up(self.state, job, "cut", progress.ran, refusal)
            return Ok(progress.stream.response)
        if progress.kept_reply is not None:
            reply, body = progress.kept_reply
            record_given_up(self.state, job, "endpoint_error", progress.ran, refusal)
            return Ok(whole_response(reply, body))
        return Err(truthful(refusal, progress.ran))


def _may_wait(job: Job, come_back_s: float) -> bool:
    """Tell whether a request that all endpoints hold back waits for its turn."""
    until = job.arrived_at + job.route.objective_s * TURN_SHARE
    return monotonic() + come_back_s < min(until, job.deadline - MIN_LEFT_S)


def _no_endpoint(progress: Progress, come_back_s: float | None) -> Refusal:
    if come_back_s is None:
        return Refusal(ErrorKind.NO_ENDPOINT, progress.ran)
    return all_held_back(come_back_s, progress.ran)


def _outcome(response: web.StreamResponse | None, progress: Progress) -> Outcome:
    """Return what an attempt that has just ended says of its endpoint."""
    failure = progress.last
    if response is not None or failure is None:
        return Outcome.DONE
    if failure.ran == Ran.NOT_RUN and failure.status:
        return Outcome.TURNED_AWAY
    if failure.ran == Ran.NOT_RUN:
        return Outcome.UNREACHED if _unreached(failure) else Outcome.NOT_SENT
    return Outcome.FAILED if _speaks_against(failure) else Outcome.DONE


def _unreached(failure: SendFailure) -> bool:
    """Tell whether the endpoint took no connection."""
    return failure.ran == Ran.NOT_RUN and not failure.status and _speaks_against(failure)


def _speaks_against(failure: SendFailure) -> bool:
    """Tell whether a failed attempt counts as its endpoint's failure."""
    return failure.fault and failure.kind != ErrorKind.DEADLINE


def _most_backlog_s(job: Job, progress: Progress) -> float | None:
    """Return the wait from which a request is refused at once, because every engine has more work than it
    does in time; None for requests that are never refused for that.

    Only the least urgent kind is: the others are let in before it. Those that are let in are in time,
    where otherwise all of them would be late.
    """
    if progress.tried or not job.catalog.is_lowest_priority(job.route, job.service.id):
        return None
    return job.route.objective_s * SHED_AT
