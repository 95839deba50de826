"""Sends a request to endpoints, one attempt after another, within its deadline and the retry budget."""

import asyncio
from dataclasses import replace

from aiohttp import web
from result import Err, Ok, Result

from stairquay.adapters.clock import monotonic
from stairquay.adapters.shutdown import PendingRequest
from stairquay.core.attempt import Attempt, combine_execution_status
from stairquay.core.call import Dispatch
from stairquay.core.errors import ErrorKind, ExecutionStatus, Refusal
from stairquay.core.ownership import rank_owners
from stairquay.serving.attempt_outcome import attempt_outcome, counts_against_endpoint, was_unreachable
from stairquay.serving.crashes import CrashDetector
from stairquay.serving.endpoint import BUSY_BACKOFF_S
from stairquay.serving.endpoint_choice import Choice
from stairquay.serving.endpoint_chooser import Chooser
from stairquay.serving.evacuation import takes_work
from stairquay.serving.forwarding import Forwarder, unreached_refusal
from stairquay.serving.jobs import Job, JobProgress, StartedAttempt, attempt_timing
from stairquay.serving.messages import Outcome
from stairquay.serving.origins import OriginTracker, at_origin, may_use
from stairquay.serving.ports import IncompleteResponseError, Reply, RequestSender, SendFailure
from stairquay.serving.reach import record_reached, record_unreached
from stairquay.serving.records import (
    record_answered,
    record_attempt_failed,
    record_first_byte,
    record_job_failed,
    record_prompt_tokens,
    record_retry_denied,
    record_sent,
    record_surplus,
)
from stairquay.serving.refusals import (
    RETRY_AFTER_S,
    all_throttled,
    is_false_promise,
    no_room,
    overloaded,
    reconcile_status,
    stopping,
)
from stairquay.serving.relay import (
    abort_connection,
    buffered_response,
    is_event_stream,
    relay_or_read,
)
from stairquay.serving.silent_endpoints import record_result, wait_for_answers
from stairquay.serving.state import BoxState
from stairquay.serving.statements import apply_feedback, is_backing_off, record_probe

MAX_REFUSED = 4
"""Attempts that may fail without running before the request is refused."""

SERVER_ERROR = 500
"""Lowest HTTP status that is an endpoint's own error."""

SHED_BACKLOG_SHARE = 0.1
"""Backlog, as a share of the objective, above which the lowest-priority requests are shed. Reports lag and
all boxes send at once, so that the backlog grows beyond it."""

RESPONSE_TIME_WEIGHT = 0.1
"""Weight of the newest answer in the moving average of an endpoint's response times."""

MAX_THROTTLE_WAIT_SHARE = 0.25
"""Share of the objective, from arrival, within which a request waits while all endpoints throttle this box.
One that would wait longer is refused at once. After such a wait a request can still meet its objective, and a
refusal with a retry takes longer."""

MIN_REMAINING_S = 0.01
"""Remaining seconds below which no attempt is started."""


class Dispatcher:
    """Sends jobs to endpoints and relays their answers."""

    def __init__(
        self,
        state: BoxState,
        endpoints: RequestSender,
        chooser: Chooser,
        crashes: CrashDetector,
        forwarder: Forwarder,
        origins: OriginTracker,
    ) -> None:
        self.state = state
        self.endpoints = endpoints
        self.chooser = chooser
        self.crashes = crashes
        self.forwarder = forwarder
        self.origins = origins

    async def run(self, job: Job, request: web.BaseRequest) -> Result[web.StreamResponse, Refusal]:
        """Run a job to its end, or to that of this box. Return the response, already sent if it is a stream,
        or a refusal."""
        progress = JobProgress()
        pending = PendingRequest(self.state.shutdown, job.deadline, progress.is_begun)
        try:
            async with pending:
                return await self._run(job, progress, request)
        except TimeoutError:
            if not pending.was_ended:
                raise
            progress.break_off()
            return self._give_up(job, progress, stopping(progress.ran), request)

    async def _run(
        self, job: Job, progress: JobProgress, request: web.BaseRequest
    ) -> Result[web.StreamResponse, Refusal]:
        # First of all, since the service that the request counts for follows from it.
        unknown = await self.origins.resolve(job, progress)
        job = at_origin(job, progress)
        if job.call.forwarded_attempts is None:
            # The box that passed it on has counted it.
            self.state.retry_budget(job.service.id).on_request(monotonic())
        if unknown is not None:
            return self._give_up(job, progress, unknown, request)
        while True:
            if self.crashes.probes_by_incarnation:
                await self.crashes.settle(job.digest)
            refusal = self._refusal_before_attempt(job, progress)
            if refusal is not None:
                return self._give_up(job, progress, refusal, request)
            if self.forwarder.applies(job, progress):
                forwarded = await self._forward(job, progress, request)
                if forwarded is not None:
                    return forwarded
                continue
            if progress.last is not None:
                await wait_for_answers(self.state, job, progress.tried)
            most_backlog_s = _most_backlog_s(job, progress)
            choice = await self.chooser.choose(job, progress, most_backlog_s)
            if choice is None:
                retry_after_s = self.chooser.retry_after_s(job, progress)
                if retry_after_s is not None and not progress.rejected and _can_wait(job, retry_after_s):
                    await asyncio.sleep(retry_after_s)
                    continue
                refusal = self._with_retry_after(job, _no_endpoint_refusal(progress, retry_after_s))
                return self._give_up(job, progress, refusal, request)
            outcome = Outcome.NOT_SENT
            try:
                if most_backlog_s is not None and not choice.decided and choice.backlog_s > most_backlog_s:
                    return self._give_up(job, progress, overloaded(choice), request)
                # If the caller disconnects, the engine may have prefilled the prompt already.
                outcome = Outcome.DONE
                response = await self._attempt(job, choice, progress, request)
                outcome = self._outcome(job, response, progress)
            finally:
                self.chooser.finished(choice, outcome, progress.timing)
            if response is not None:
                return Ok(response)
            refusal = self._refusal_after_failure(job, progress)
            if refusal is not None:
                return self._give_up(job, progress, self._with_retry_after(job, refusal), request)

    async def _forward(
        self, job: Job, progress: JobProgress, request: web.BaseRequest
    ) -> Result[web.StreamResponse, Refusal] | None:
        """Pass a job on to another box. Return how it ended, or None if this box is to go on with it."""
        runs_before = progress.runs
        forwarded = await self.forwarder.forward(job, progress, request)
        if isinstance(forwarded, Ok):
            return forwarded
        refusal: Refusal | None = None
        if isinstance(forwarded, Err):
            refusal = forwarded.err_value
        elif progress.runs > runs_before:
            refusal = self._refusal_after_failure(job, progress)
        if refusal is None and progress.stream.events:
            # Only the other box has seen where it began the stream.
            refusal = await self.origins.resolve(job, progress)
        return None if refusal is None else self._give_up(job, progress, refusal, request)

    def _outcome(self, job: Job, response: web.StreamResponse | None, progress: JobProgress) -> Outcome:
        """Return what the router is told of an attempt: that of a cut box says nothing of the endpoint."""
        outcome = attempt_outcome(response, progress)
        cut = outcome == Outcome.UNREACHED and self.state.is_cut_from(job.service.id)
        return Outcome.NOT_SENT if cut else outcome

    def _refusal_before_attempt(self, job: Job, progress: JobProgress) -> Refusal | None:
        """Return the refusal if nothing may be sent now, else None."""
        if job.deadline - monotonic() < MIN_REMAINING_S:
            return Refusal(ErrorKind.DEADLINE, progress.ran)
        if not self._may_pass_on(job, progress):
            return stopping(progress.ran)
        if not self._keys_fresh(job):
            return Refusal(ErrorKind.NOT_READY, progress.ran, "the configuration's view is too old")
        version_gone = self.origins.refuses(job, progress)
        if version_gone is not None:
            return version_gone
        if self.forwarder.refuses(job, progress):
            return unreached_refusal(progress.ran)
        quarantined_s = self._quarantined_s(job)
        if quarantined_s > 0 and not self._takes_trial(job, progress):
            quarantined = self.state.quarantine.quarantined_by_digest
            digests = [digest for digest in (job.digest, *job.part_digests) if digest in quarantined]
            return Refusal(ErrorKind.QUARANTINED, progress.ran, f"digest {', '.join(digests)}", quarantined_s)
        return None

    def _may_pass_on(self, job: Job, progress: JobProgress) -> bool:
        """Tell whether a request may be sent although this box may be stopping.

        A stream that has begun goes on, since it would be broken off now in place of later or not at all.
        """
        return bool(progress.stream.events) or self.state.shutdown.allows(job.deadline)

    def _with_retry_after(self, job: Job, refusal: Refusal) -> Refusal:
        """Return the refusal, with Retry-After set if all endpoints asked for a backoff."""
        backoff_s = None if refusal.kind == ErrorKind.OVERLOADED else self.chooser.retry_after_backoff_s(job)
        return refusal if backoff_s is None else replace(refusal, retry_after_s=max(RETRY_AFTER_S, backoff_s))

    def _quarantined_s(self, job: Job) -> float:
        """Return the seconds for which a job remains quarantined that crashes endpoints, or a part of it."""
        quarantine = self.state.quarantine
        if not quarantine.quarantined_by_digest:
            return 0.0
        return max(quarantine.remaining_s(digest) for digest in (job.digest, *job.part_digests))

    def _takes_trial(self, job: Job, progress: JobProgress) -> bool:
        """Return whether a quarantined job is sent once, since its parts may be innocent."""
        if progress.is_trial or progress.runs or progress.refused:
            return False
        quarantine, boxes = self.state.quarantine, self.state.boxes
        parts = [digest for digest in job.part_digests if digest in quarantine.quarantined_by_digest]
        if quarantine.remaining_s(job.digest) > 0:
            return False
        own = self.state.settings.id
        if any(rank_owners(digest.encode(), boxes, 1) != [own] for digest in parts):
            return False
        progress.is_trial = quarantine.take_trial(parts)
        return progress.is_trial

    def _keys_fresh(self, job: Job) -> bool:
        return job.workspace is None or self.state.keys_fresh()

    def _version_too_old(self, job: Job, choice: Choice) -> bool:
        """Return whether the chosen engine's weights were replaced too long ago to start a prompt on them."""
        prompt = job.call.prompt
        if prompt is None or choice.placement is None:
            return False
        return self.state.version_too_old(prompt.model, choice.version or 0, choice.placement.first_token_s)

    def _refusal_after_failure(self, job: Job, progress: JobProgress) -> Refusal | None:
        """Return the refusal if a failed job must not be retried, else None."""
        failure = progress.last
        assert failure is not None
        refusal = Refusal(failure.kind, progress.ran, failure.detail, retry_after_s=RETRY_AFTER_S)
        if failure.ran == ExecutionStatus.NOT_RUN and failure.status == 0:
            # The request never left this box, so that a retry needs no budget.
            return None if progress.refused < MAX_REFUSED else refusal
        if failure.ran != ExecutionStatus.NOT_RUN:
            if not job.route.retryable or progress.runs >= job.max_attempts:
                return refusal
        elif progress.refused >= MAX_REFUSED:
            return refusal
        if not self._may_pass_on(job, progress):
            return refusal
        if not self.state.take_retry(job.service.id):
            record_retry_denied(self.state, job)
            return refusal
        self.state.metrics.retries.labels(job.service.id).inc()
        return None

    async def _attempt(
        self, job: Job, choice: Choice, progress: JobProgress, request: web.BaseRequest
    ) -> web.StreamResponse | None:
        """Make one attempt. Return the caller's response, or None if it failed (`progress.last`)."""
        attempt = Attempt(job.call.id, choice.endpoint.id)
        endpoint_state = self.state.endpoint_state(choice.endpoint)
        started_attempt = StartedAttempt(choice, attempt, endpoint_state, monotonic())
        # The local router has already counted the prompts that it placed.
        counted_by_local_router = choice.router == self.state.settings.id
        endpoint_state.on_request(started_attempt.sent_at)
        endpoint_state.in_flight += not counted_by_local_router
        if choice.placement is not None and not counted_by_local_router:
            endpoint_state.waiting_tokens_by_job[job.number] = choice.placement.read
            endpoint_state.on_sent(choice.placement.read + choice.placement.fetched, started_attempt.sent_at)
        record_probe(endpoint_state, started_attempt.sent_at)
        record_sent(self.state, job, choice, progress)
        endpoint_state.silence.on_sent(started_attempt.sent_at, progress.last is not None)
        progress.attempt = attempt
        try:
            sent = await self._send_and_record(job, started_attempt, progress)
            self._record_reach(started_attempt, sent)
            self._apply_feedback(started_attempt, sent)
            surplus = sent.err_value.surplus if isinstance(sent, Err) else sent.ok_value.surplus
            if surplus is not None:
                record_surplus(self.state, job, started_attempt, surplus)
            if isinstance(sent, Err):
                self._on_failed(job, started_attempt, progress, sent.err_value)
                return None
            started_attempt.head_received = True
            return await self._relay(job, started_attempt, progress, sent.ok_value, request)
        except asyncio.CancelledError:
            self.crashes.caller_left(job, started_attempt)
            raise
        finally:
            endpoint_state.in_flight -= not counted_by_local_router
            endpoint_state.waiting_tokens_by_job.pop(job.number, None)

    async def _send_and_record(
        self, job: Job, started_attempt: StartedAttempt, progress: JobProgress
    ) -> Result[Reply, SendFailure]:
        """Send a request, and record whether its endpoint answers."""
        try:
            sent = await self._send(job, started_attempt, progress)
        except BaseException:
            started_attempt.endpoint_state.silence.on_given_up()
            raise
        record_result(self.state, started_attempt, sent)
        return sent

    def _record_reach(self, started_attempt: StartedAttempt, sent: Result[Reply, SendFailure]) -> None:
        """Record what an attempt shows of this box's way to the endpoint."""
        endpoint = started_attempt.choice.endpoint
        if isinstance(sent, Ok) or sent.err_value.status:
            record_reached(self.state, endpoint.service)
        elif sent.err_value.connection_broken or was_unreachable(sent.err_value):
            record_unreached(self.state, endpoint)

    def _apply_feedback(self, started_attempt: StartedAttempt, sent: Result[Reply, SendFailure]) -> None:
        """Apply the endpoint's feedback in the head of a reply."""
        said = sent.err_value.feedback if isinstance(sent, Err) else sent.ok_value.feedback
        if said is not None:
            apply_feedback(
                self.state,
                started_attempt.choice.endpoint,
                started_attempt.endpoint_state,
                said,
                started_attempt.sent_at,
                monotonic(),
            )

    async def _send(
        self, job: Job, started_attempt: StartedAttempt, progress: JobProgress
    ) -> Result[Reply, SendFailure]:
        left_s = job.deadline - monotonic()
        after = progress.stream.last_event_id or job.call.resume_after
        dispatch = self._dispatch(job, started_attempt.choice, left_s, after)

        def guard() -> bool:
            if self._quarantined_s(job) > 0 and not progress.is_trial:
                return False
            endpoint = started_attempt.choice.endpoint
            listed = self.state.fleet.by_id.get(endpoint.id, endpoint)
            if not may_use(self.state, progress, listed):
                return False
            if not takes_work(self.state, endpoint) or is_backing_off(
                started_attempt.endpoint_state, monotonic()
            ):
                return False
            if self._version_too_old(job, started_attempt.choice) or not self._keys_fresh(job):
                return False
            # What ends at a time is checked last, since the process may be stopped in between.
            return job.deadline > monotonic() and self._may_pass_on(job, progress)

        return await self.endpoints.send(job.call, job.body, dispatch, started_attempt.attempt, guard, left_s)

    def _dispatch(self, job: Job, choice: Choice, left_s: float, resume_after: str | None) -> Dispatch:
        placement = choice.placement
        return Dispatch(
            endpoint=choice.endpoint.id,
            address=choice.endpoint.address,
            time_left_s=left_s,
            workspace=job.workspace_id,
            priority=None if placement is None else job.engine_priority,
            context_scope=choice.scope,
            version=choice.version,
            fetch_from=() if placement is None else placement.fetch_from,
            save_to=choice.save_to,
            fetch_until_ms=choice.fetch_until_ms,
            resume_after=resume_after,
        )

    async def _relay(
        self,
        job: Job,
        started_attempt: StartedAttempt,
        progress: JobProgress,
        reply: Reply,
        request: web.BaseRequest,
    ) -> web.StreamResponse | None:
        """Relay a reply. Return None if the attempt failed and the job may be retried."""
        try:
            body = await relay_or_read(
                request,
                reply,
                progress.stream,
                job.deadline,
                on_first_event=lambda: self._on_first_event(job, started_attempt, progress),
                should_close=self.state.should_close_connections,
                may_collect=lambda: self.state.load.is_busy,
                buffers=self.state.answer_buffers,
            )
            response = progress.stream.response
            if body is not None:
                if is_false_promise(reply.status, job.route):
                    self._fail_reply(job, started_attempt, progress, reply)
                    return None
                if reply.status >= SERVER_ERROR and self._handle_error_reply(
                    job, started_attempt, progress, reply, body
                ):
                    return None
                self._on_first_output(job, started_attempt)
                response = buffered_response(reply, body)
            assert response is not None
        except (IncompleteResponseError, TimeoutError) as error:
            kind = ErrorKind.DEADLINE if isinstance(error, TimeoutError) else ErrorKind.ENDPOINT_FAILED
            started_attempt.attempt.lose()
            fault = kind != ErrorKind.DEADLINE
            detail = f"the answer broke off: {error}"
            failure = SendFailure(
                kind, started_attempt.attempt.ran, detail, reply.status, fault=fault, connection_broken=fault
            )
            self._on_failed(job, started_attempt, progress, failure)
            return None
        finally:
            reply.close()
        started_attempt.attempt.finish()
        self._on_succeeded(job, started_attempt, reply, progress)
        return response

    def _handle_error_reply(
        self, job: Job, started_attempt: StartedAttempt, progress: JobProgress, reply: Reply, body: bytes
    ) -> bool:
        """Keep an endpoint's error reply. Return whether the job is retried instead of relaying it."""
        progress.error_reply = (reply, body)
        should_retry = job.route.retryable and progress.runs + 1 < job.max_attempts
        if not should_retry:
            return False
        self._fail_reply(job, started_attempt, progress, reply)
        return True

    def _fail_reply(
        self, job: Job, started_attempt: StartedAttempt, progress: JobProgress, reply: Reply
    ) -> None:
        """Record a complete reply that the caller does not get as a failed attempt, which may have run."""
        started_attempt.attempt.lose()
        detail = f"status {reply.status}"
        failure = SendFailure(
            ErrorKind.ENDPOINT_FAILED, started_attempt.attempt.ran, detail, reply.status, fault=False
        )
        self._on_failed(job, started_attempt, progress, failure)

    def _on_first_event(self, job: Job, started_attempt: StartedAttempt, progress: JobProgress) -> None:
        self.origins.begun(job, progress, started_attempt.choice.endpoint)
        self._on_first_output(job, started_attempt)

    def _on_first_output(self, job: Job, started_attempt: StartedAttempt) -> None:
        if started_attempt.first_byte_at is not None:
            return
        started_attempt.first_byte_at = monotonic()
        started_attempt.endpoint_state.waiting_tokens_by_job.pop(job.number, None)
        record_first_byte(self.state, job, started_attempt.first_byte_at)
        placement = started_attempt.choice.placement
        if placement is None or job.call.prompt is None:
            return
        record_prompt_tokens(self.state, job, placement)
        if job.call.prompt.reads_shared(placement.read):
            # Otherwise no prompt waits for it, and the router knows who holds the parts.
            self.chooser.prefill_finished(started_attempt.choice)

    def _on_failed(
        self, job: Job, started_attempt: StartedAttempt, progress: JobProgress, failure: SendFailure
    ) -> None:
        """Record a failed attempt."""
        now = monotonic()
        progress.last = failure
        progress.ran = combine_execution_status(progress.ran, failure.ran)
        progress.tried.add(started_attempt.choice.endpoint.id)
        if failure.ran == ExecutionStatus.NOT_RUN:
            progress.refused += 1
            started_attempt.endpoint_state.refused_until = now + BUSY_BACKOFF_S
        else:
            progress.runs += 1
        if counts_against_endpoint(failure):
            started_attempt.endpoint_state.on_outcome(True, now)
            if was_unreachable(failure):
                progress.unreached += 1
                started_attempt.endpoint_state.unreachable_at = now
        if failure.connection_broken:
            self.crashes.connection_broken(job, started_attempt, progress.stream.events)
        record_attempt_failed(self.state, job, started_attempt, failure, now)

    def _on_succeeded(
        self, job: Job, started_attempt: StartedAttempt, reply: Reply, progress: JobProgress
    ) -> None:
        now = monotonic()
        if reply.status < SERVER_ERROR:
            digests = (job.digest, *job.part_digests)
            self.state.quarantine.record_served(digests, started_attempt.first_byte_at)
        started_attempt.endpoint_state.on_outcome(False, now)
        started_attempt.endpoint_state.on_response_time(started_attempt.sent_at, now, RESPONSE_TIME_WEIGHT)
        if reply.version is not None and job.call.prompt is not None:
            began_at = now if started_attempt.first_byte_at is None else started_attempt.first_byte_at
            started_attempt.endpoint_state.on_answered_version(job.call.prompt.model, reply.version, began_at)
        if is_event_stream(reply):
            progress.timing = attempt_timing(job, started_attempt, progress, now)
        record_answered(self.state, job, started_attempt, reply, progress, now)

    def _give_up(
        self, job: Job, progress: JobProgress, refusal: Refusal, request: web.BaseRequest
    ) -> Result[web.StreamResponse, Refusal]:
        """End a failed job with the endpoint's own error, a refusal, or a truncated stream."""
        if progress.stream.response is not None:
            abort_connection(request)
            record_job_failed(self.state, job, "cut", progress.ran, refusal)
            return Ok(progress.stream.response)
        if progress.error_reply is not None:
            reply, body = progress.error_reply
            record_job_failed(self.state, job, "endpoint_error", progress.ran, refusal)
            return Ok(buffered_response(reply, body))
        return Err(replace(reconcile_status(refusal, progress.ran), runs=progress.runs))


def _can_wait(job: Job, retry_after_s: float) -> bool:
    """Return whether a request that all endpoints throttle can wait and still meet its objective."""
    until = job.arrived_at + job.route.objective_s * MAX_THROTTLE_WAIT_SHARE
    return monotonic() + retry_after_s < min(until, job.deadline - MIN_REMAINING_S)


def _no_endpoint_refusal(progress: JobProgress, retry_after_s: float | None) -> Refusal:
    if retry_after_s is None:
        return Refusal(ErrorKind.NO_ENDPOINT, progress.ran)
    if progress.rejected:
        return no_room(progress.rejected, retry_after_s, progress.ran)
    return all_throttled(retry_after_s, progress.ran)


def _most_backlog_s(job: Job, progress: JobProgress) -> float | None:
    """Return the backlog in seconds above which a request is shed, None for those that are never shed.

    Only first attempts of the lowest priority are shed, so that the others still meet their objectives. It
    applies where no router decided on admission.
    """
    if progress.tried or job.is_taken_up or not job.catalog.is_lowest_priority(job.route, job.service.id):
        return None
    return job.route.objective_s * SHED_BACKLOG_SHARE
