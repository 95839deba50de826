"""Passes requests on to other boxes where this box reaches no endpoint of their service, or may not send to
any of them.

The other box serves such a request as it serves any caller's, but passes it on no further. What may already
run at an endpoint is passed on only if it may be sent again.
"""

from random import Random

from aiohttp import web
from result import Err, Ok, Result

from stairquay.adapters.clock import monotonic
from stairquay.core.attempt import Attempt, combine_execution_status
from stairquay.core.errors import ErrorKind, ExecutionStatus, Refusal
from stairquay.core.helpers import Helpers
from stairquay.core.reach import MIN_UNREACHED
from stairquay.serving.event_log import LogEvent
from stairquay.serving.holders import boxes_to_ask, has_holders
from stairquay.serving.jobs import Job, JobProgress
from stairquay.serving.ports import (
    BoxRefusal,
    BoxSender,
    Forward,
    IncompleteResponseError,
    Reply,
    SendFailure,
)
from stairquay.serving.records import record_answered_elsewhere, record_first_byte
from stairquay.serving.refusals import RETRY_AFTER_S, is_false_promise, stopping
from stairquay.serving.relay import buffered_response, relay_or_read
from stairquay.serving.state import BoxState

MAX_BOXES_ASKED = 3
"""Other boxes that a request is passed on to, one after another, while none has sent it to an endpoint. Those
that refuse the connection do not count, which takes a millisecond each."""

MAX_HOLDERS_ASKED = 5
"""The same for boxes that alone may send to the endpoints. One that goes by another list of boxes may not be
one of them, and refuses at once."""

OTHER_CONFIGURATION = frozenset(
    (
        ErrorKind.OLDER_CONFIGURATION,
        ErrorKind.UNKNOWN_PATH,
        ErrorKind.UNAUTHENTICATED,
        ErrorKind.BODY_TOO_LARGE,
    )
)
"""Refusals that tell of another configuration at the box that gave them: this one found nothing wrong with
the route, the key and the body."""

CANNOT_HELP = OTHER_CONFIGURATION | {
    ErrorKind.ENDPOINTS_UNREACHED,
    ErrorKind.NOT_READY,
    ErrorKind.STOPPING,
}
"""Refusals that tell of the box that gave them, not of the endpoints. They are never handed on."""


def unreached_refusal(ran: ExecutionStatus) -> Refusal:
    """Return the refusal of a request whose service no box reaches, as far as this one knows."""
    return Refusal(ErrorKind.ENDPOINTS_UNREACHED, ran, retry_after_s=RETRY_AFTER_S)


class Forwarder:
    """Passes requests on, and remembers for each service which boxes reach it."""

    def __init__(self, state: BoxState, boxes: BoxSender, random: Random) -> None:
        self.state = state
        self.boxes = boxes
        self.random = random

    def applies(self, job: Job, progress: JobProgress) -> bool:
        """Return whether a request is to be passed on now."""
        if job.call.forwarded_attempts is not None or not self.state.fronts_by_box:
            return False
        if job.service.id in self.state.lost_services:
            return True
        if progress.asked_other_boxes:
            return False
        return progress.unreached >= MIN_UNREACHED or bool(self.holders(job, progress))

    def fronts_of(self, holders: frozenset[str]) -> dict[str, str]:
        """Return by id where these boxes take requests, or all others if none of these is known."""
        fronts = self.state.fronts_by_box
        return {box: at for box, at in fronts.items() if box in holders} or fronts

    def holders(self, job: Job, progress: JobProgress) -> frozenset[str]:
        """Return the boxes that alone may send to the endpoints; for prompts, routers see to that."""
        if job.service.engine is not None or not has_holders(self.state, job.service.id):
            return frozenset()
        return boxes_to_ask(self.state, job.service.id, progress.tried, monotonic(), self.random)

    def refuses(self, job: Job, progress: JobProgress) -> bool:
        """Return whether a request that another box passed on has to be refused, for yet another one."""
        if job.call.forwarded_attempts is None:
            return False
        return job.service.id in self.state.lost_services or progress.unreached >= MIN_UNREACHED

    async def forward(
        self, job: Job, progress: JobProgress, request: web.BaseRequest
    ) -> Result[web.StreamResponse, Refusal] | None:
        """Pass a request on. Return the response or a final refusal.

        None: it may have run and failed elsewhere, which `progress` tells, or no box helped, but this one may
        still try, since the service is not lost, or no longer.
        """
        helpers = self.state.helpers_by_service.setdefault(job.service.id, Helpers())
        holders = self.holders(job, progress)
        candidates = self.fronts_of(holders)
        try_next = CANNOT_HELP | {ErrorKind.OVERLOADED} if holders else CANNOT_HELP
        progress.asked_other_boxes = True
        asked: set[str] = set()
        full: Refusal | None = None
        left = MAX_HOLDERS_ASKED if holders else MAX_BOXES_ASKED
        while left > 0 and job.deadline > monotonic():
            if not self.state.shutdown.allows(job.deadline):
                return Err(stopping(progress.ran))
            fronts = {box: at for box, at in candidates.items() if box not in asked}
            box = helpers.pick(fronts, monotonic(), self.random)
            if box is None:
                break
            asked.add(box)
            result = await self._forward_to(box, fronts[box], job, progress, request, helpers)
            if result is None or isinstance(result, Ok) or result.err_value.kind not in try_next:
                return result
            left -= not self.state.refused_connections.is_refusing(box)
            if result.err_value.kind not in CANNOT_HELP:
                full = result.err_value
        if full is not None:
            return Err(full)
        lost = job.service.id in self.state.lost_services
        return Err(unreached_refusal(progress.ran)) if lost else None

    async def _forward_to(
        self,
        box: str,
        front: str,
        job: Job,
        progress: JobProgress,
        request: web.BaseRequest,
        helpers: Helpers,
    ) -> Result[web.StreamResponse, Refusal] | None:
        attempt, sent_at = Attempt(job.call.id, box), monotonic()
        forward = Forward(
            front,
            job.deadline - sent_at,
            max(1, job.max_attempts - progress.runs),
            progress.stream.last_event_id or job.call.resume_after,
            self.state.catalog_version,
        )
        progress.attempt = attempt
        sent = await self.boxes.send(job.call, job.body, forward, attempt)
        if isinstance(sent, Err):
            self._log(job, box, sent.err_value.kind.value, attempt, sent.err_value.detail, sent_at)
            self.state.refused_connections.record(box, sent.err_value.not_listening, monotonic())
            return self._on_refused(box, sent.err_value, forward, progress, helpers)
        helpers.record(box, True, monotonic())
        self.state.refused_connections.record(box, False, monotonic())
        try:
            response = await self._relay(job, sent.ok_value, progress, request)
        except (IncompleteResponseError, TimeoutError) as error:
            attempt.lose()
            kind = ErrorKind.DEADLINE if isinstance(error, TimeoutError) else ErrorKind.ENDPOINT_FAILED
            detail = f"the answer broke off: {error}"
            self._log(job, box, kind.value, attempt, detail, sent_at)
            failure = SendFailure(kind, attempt.ran, detail, fault=False)
            _record_failure(progress, failure, forward.attempts)
            return None
        finally:
            sent.ok_value.close()
        if is_false_promise(sent.ok_value.status, job.route):
            # A box of an earlier release passes these on.
            attempt.lose()
            detail = f"status {sent.ok_value.status}"
            self._log(job, box, ErrorKind.ENDPOINT_FAILED.value, attempt, detail, sent_at)
            failure = SendFailure(ErrorKind.ENDPOINT_FAILED, attempt.ran, detail, fault=False)
            _record_failure(progress, failure, forward.attempts)
            return None
        attempt.finish()
        self._log(job, box, "answered", attempt, "", sent_at)
        record_answered_elsewhere(self.state, job, box, sent.ok_value, progress)
        return Ok(response)

    def _on_refused(
        self, box: str, refusal: BoxRefusal, forward: Forward, progress: JobProgress, helpers: Helpers
    ) -> Err[Refusal] | None:
        """Return the refusal to pass on, or None if the request may have run."""
        if refusal.ran != ExecutionStatus.NOT_RUN:
            # This box does not stop, so that its caller is told of a failure.
            kind = ErrorKind.ENDPOINT_FAILED if refusal.kind == ErrorKind.STOPPED else refusal.kind
            failure = SendFailure(kind, refusal.ran, refusal.detail, fault=False)
            _record_failure(progress, failure, forward.attempts if refusal.runs is None else refusal.runs)
            return None
        if refusal.kind in OTHER_CONFIGURATION:
            helpers.record_behind(box, monotonic())
        elif refusal.kind in CANNOT_HELP:
            helpers.record(box, False, monotonic())
        return Err(Refusal(refusal.kind, progress.ran, refusal.detail, refusal.retry_after_s))

    async def _relay(
        self, job: Job, reply: Reply, progress: JobProgress, request: web.BaseRequest
    ) -> web.StreamResponse:
        body = await relay_or_read(
            request,
            reply,
            progress.stream,
            job.deadline,
            on_first_event=lambda: record_first_byte(self.state, job, monotonic()),
            should_close=self.state.should_close_connections,
            may_collect=lambda: self.state.load.is_busy,
            buffers=self.state.answer_buffers,
        )
        if body is not None:
            return buffered_response(reply, body)
        assert progress.stream.response is not None
        return progress.stream.response

    def _log(self, job: Job, box: str, outcome: str, attempt: Attempt, detail: str, sent_at: float) -> None:
        self.state.metrics.forwarded.labels(self.state.metrics.labels.of(job.service.id), outcome).inc()
        self.state.log.line(
            LogEvent.FORWARDED,
            job.call.id,
            to=box,
            service=job.service.id,
            lost=job.service.id in self.state.lost_services,
            outcome=outcome,
            ran=attempt.ran.value,
            detail=detail,
            took_s=monotonic() - sent_at,
        )


def _record_failure(progress: JobProgress, failure: SendFailure, runs: int) -> None:
    """Record that another box may have run a request. runs: all that it was allowed, unless it told."""
    progress.last = failure
    progress.ran = combine_execution_status(progress.ran, failure.ran)
    progress.runs += max(1, runs)
