"""Runs a request as a series of attempts at endpoints, within its deadline and the retry budget."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from absl import logging
from aiohttp import ClientResponse, web
from result import Err, Ok, Result

from stairquay.adapters.clock import monotonic
from stairquay.adapters.router_pb2 import (
    RUN_OUTCOME_FAILED,
    RUN_OUTCOME_FINISHED,
    RUN_OUTCOME_LEAVING,
    RUN_OUTCOME_WRONG_VERSION,
)
from stairquay.adapters.shutdown import PendingRequest
from stairquay.core.attempt import Attempt, combine_execution_status
from stairquay.core.errors import ErrorKind, ExecutionStatus, Refusal
from stairquay.core.models import Service, Workspace
from stairquay.core.retry import backoff_s
from stairquay.entry.context import EntryContext
from stairquay.entry.targets import Chooser, PriorAttempts, RouteClient, Target
from stairquay.entry.upstream import (
    CACHED_TOKENS_HEADER,
    PROMPT_TOKENS_HEADER,
    Failure,
    OutgoingRequest,
    open_response,
    parse_count_header,
)


@dataclass(frozen=True)
class IncomingRequest:
    """A client's request after authentication; times are monotonic seconds.

    repeatable: may run more than once; replayable: its body is buffered and can be sent again;
    returning: a later turn of a conversation, or a plain call; high_priority: tie-break of engine priority.
    """

    request_id: str
    workspace: Workspace
    service: Service
    arrived_at: float
    deadline: float
    repeatable: bool
    replayable: bool = True
    returning: bool = True
    high_priority: bool = True
    first_byte_callbacks: list[Callable[[], None]] = field(default_factory=list)


@dataclass(frozen=True)
class StartedAttempt:
    """An attempt whose response headers have been received."""

    target: Target
    attempt: Attempt
    response: ClientResponse


Relay = Callable[[StartedAttempt], Awaitable[Result[web.StreamResponse, Failure]]]
"""Relays a response to the client; a failure has `partial_response` if that response was started."""


Cancel = Callable[[Target, str], Coroutine[Any, Any, None]]
"""Cancels a run at an endpoint, by run id."""


@dataclass(frozen=True)
class AttemptSteps:
    """The steps of an attempt, from the choice of an endpoint to the response or cancellation."""

    choose: Chooser
    prepare: Callable[[Target, str, bool], OutgoingRequest]
    relay: Relay
    cancel: Cancel | None = None


@dataclass
class Usage:
    """Prompt tokens reported by an endpoint, and those of them that were cached."""

    prompt_tokens: int = 0
    cached_tokens: int = 0


@dataclass
class RunProgress:
    """What is known of a request's attempts. ran: of those that ended. attempt: the last one."""

    ran: ExecutionStatus = ExecutionStatus.NOT_RUN
    attempt: Attempt | None = None

    def is_passed_on(self) -> bool:
        """Tell whether an endpoint may be running the request now."""
        return self.attempt is not None and self.attempt.is_running

    def stopped(self) -> Refusal:
        """Return the refusal of the request as the program stops."""
        ran = self.ran
        if self.attempt is not None:
            if self.attempt.is_running:
                self.attempt.lose()
            # It may have ended well, while the end of the answer was being written.
            ran = combine_execution_status(ran, self.attempt.ran)
        return Refusal(ErrorKind.STOPPING if ran == ExecutionStatus.NOT_RUN else ErrorKind.STOPPED, ran)


class Runner:
    """Runs each request until an attempt succeeds, no retry is allowed, or the program stops."""

    def __init__(self, context: EntryContext, routes: RouteClient) -> None:
        self.context = context
        self.routes = routes

    async def run(
        self, incoming: IncomingRequest, steps: AttemptSteps
    ) -> Result[web.StreamResponse, Refusal]:
        """Return the response, or a refusal with the execution status of all attempts combined."""
        progress = RunProgress()
        pending = PendingRequest(self.context.shutdown, incoming.deadline, progress.is_passed_on)
        try:
            async with pending:
                return await self._run(incoming, steps, progress)
        except TimeoutError:
            if not pending.was_ended:
                raise
            return Err(progress.stopped())

    async def _run(
        self, incoming: IncomingRequest, steps: AttemptSteps, progress: RunProgress
    ) -> Result[web.StreamResponse, Refusal]:
        prior = PriorAttempts(self._ejected_endpoints(incoming))
        budget = self.context.retry_budget(incoming.service.id)
        budget.on_request()
        for number in range(1, self.context.settings.max_attempts + 1):
            if not self.context.shutdown.allows(incoming.deadline):
                return Err(progress.stopped())
            chosen = await steps.choose(prior, incoming.deadline)
            if isinstance(chosen, Err):
                return Err(_with_ran(chosen.err_value, progress.ran))
            outcome = await self._attempt(incoming, steps, chosen.ok_value, number, progress)
            if isinstance(outcome, Ok):
                return outcome
            failure = outcome.err_value
            if failure.partial_response is not None:
                return Ok(failure.partial_response)
            progress.ran = combine_execution_status(progress.ran, failure.ran)
            prior = _add_failure(prior, chosen.ok_value.endpoint, failure)
            if not self._may_retry(incoming, failure, number):
                break
            await asyncio.sleep(self._retry_delay_s(incoming, failure, number))
        return Err(Refusal(failure.kind, progress.ran, failure.detail))

    async def _attempt(
        self,
        incoming: IncomingRequest,
        steps: AttemptSteps,
        target: Target,
        number: int,
        progress: RunProgress,
    ) -> Result[web.StreamResponse, Failure]:
        attempt = progress.attempt = Attempt(f"{incoming.request_id}-{number}", target.endpoint)
        self.context.runs_by_endpoint[target.endpoint] += 1
        failed = True
        usage = Usage()
        try:
            outcome = await self._exchange(incoming, steps, target, attempt, usage)
            failed = isinstance(outcome, Err)
            if failed and attempt.ran == ExecutionStatus.UNKNOWN and steps.cancel is not None:
                self.routes.run_in_background(steps.cancel(target, attempt.run_id))
            self._record_outcome(incoming, target, outcome, usage)
            return outcome
        finally:
            self.context.runs_by_endpoint[target.endpoint] -= 1
            outcome_label = attempt.state.value if failed else "done"
            self.context.metrics.attempts.labels(incoming.service.id, outcome_label).inc()

    async def _exchange(
        self, incoming: IncomingRequest, steps: AttemptSteps, target: Target, attempt: Attempt, usage: Usage
    ) -> Result[web.StreamResponse, Failure]:
        session = self.context.pooled_session if incoming.repeatable else self.context.unpooled_session
        outgoing = steps.prepare(target, attempt.run_id, incoming.high_priority)
        first_byte_timeout_s = self.context.settings.first_byte_timeout_s
        try:
            opened = await open_response(session, outgoing, attempt, incoming.deadline, first_byte_timeout_s)
            if isinstance(opened, Err):
                return opened
            self._count_tokens(incoming, opened.ok_value, usage)
            return await steps.relay(StartedAttempt(target, attempt, opened.ok_value))
        except (asyncio.CancelledError, ConnectionError):
            # The client disconnected or the program stops; failures of the endpoint are returned, not raised.
            self.routes.report(target, RUN_OUTCOME_FAILED)
            if steps.cancel is not None:
                self.routes.run_in_background(steps.cancel(target, attempt.run_id))
            raise

    def _count_tokens(self, incoming: IncomingRequest, response: ClientResponse, usage: Usage) -> None:
        usage.prompt_tokens = parse_count_header(response, PROMPT_TOKENS_HEADER)
        usage.cached_tokens = parse_count_header(response, CACHED_TOKENS_HEADER)
        if not usage.prompt_tokens:
            return
        metrics = self.context.metrics
        labels = (metrics.labels.of(incoming.workspace.id), incoming.service.id)
        metrics.reused.labels(*labels).observe(usage.cached_tokens)
        metrics.recomputed.labels(*labels).observe(usage.prompt_tokens - usage.cached_tokens)

    def _record_outcome(
        self,
        incoming: IncomingRequest,
        target: Target,
        outcome: Result[web.StreamResponse, Failure],
        usage: Usage,
    ) -> None:
        ejector = self.context.ejector(incoming.service.id)
        if isinstance(outcome, Ok):
            ejector.on_success(target.endpoint)
            self.routes.report(target, RUN_OUTCOME_FINISHED, usage.prompt_tokens, usage.cached_tokens)
            return
        failure = outcome.err_value
        if failure.leaving:
            self.routes.report(target, RUN_OUTCOME_LEAVING)
            box = self.context.view.membership.boxes.by_id.get(target.endpoint)
            self.context.view.membership.on_leaving(target.endpoint, box.incarnation if box else "")
        elif failure.version:
            self.routes.report(target, RUN_OUTCOME_WRONG_VERSION, version=failure.version)
        else:
            self.routes.report(target, RUN_OUTCOME_FAILED)
        if failure.endpoint_fault and ejector.on_failure(
            target.endpoint, monotonic(), len(incoming.service.endpoints)
        ):
            self.context.metrics.ejected.labels(incoming.service.id).inc()
            logging.info("ejected endpoint %s after consecutive failures", target.endpoint)

    def _ejected_endpoints(self, incoming: IncomingRequest) -> frozenset[str]:
        ejected = self.context.ejector(incoming.service.id).ejected(monotonic())
        if ejected >= set(self.context.usable_endpoints(incoming.service)):
            return frozenset()
        return frozenset(ejected)

    def _may_retry(self, incoming: IncomingRequest, failure: Failure, number: int) -> bool:
        """Return whether another attempt is allowed.

        A request that is not repeatable is retried only if it has not run. Failures are charged to the
        retry budget; refusals by an endpoint are not.
        """
        if number >= self.context.settings.max_attempts or not incoming.replayable:
            return False
        if not incoming.repeatable and failure.ran != ExecutionStatus.NOT_RUN:
            return False
        if failure.kind == ErrorKind.DEADLINE or monotonic() >= incoming.deadline:
            return False
        return not failure.endpoint_fault or self.context.retry_budget(incoming.service.id).take()

    def _retry_delay_s(self, incoming: IncomingRequest, failure: Failure, number: int) -> float:
        if not failure.endpoint_fault:
            return 0.0
        remaining_s = max(0.0, incoming.deadline - monotonic())
        return min(remaining_s, backoff_s(number, self.context.random.random()))


def _add_failure(prior: PriorAttempts, endpoint: str, failure: Failure) -> PriorAttempts:
    """Add a failed attempt; an endpoint that refused only the weight version is not avoided."""
    if failure.version and not failure.leaving:
        return PriorAttempts(prior.avoided, {**prior.versions, endpoint: failure.version})
    return PriorAttempts(prior.avoided | {endpoint}, prior.versions)


def _with_ran(refusal: Refusal, ran: ExecutionStatus) -> Refusal:
    return Refusal(refusal.kind, ran, refusal.detail, refusal.retry_after_s)
