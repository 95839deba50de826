"""Runs a request: attempts at endpoints, one after the other, as far as truth and budget allow."""

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
from stairquay.core.attempt import Attempt, worst
from stairquay.core.errors import ErrorKind, ExecutionStatus, Refusal
from stairquay.core.models import Service, Workspace
from stairquay.core.retry import backoff_s
from stairquay.entry.context import EntryContext
from stairquay.entry.targets import Chooser, RouteClient, Target, Tried
from stairquay.entry.upstream import (
    CACHED_TOKENS_HEADER,
    PROMPT_TOKENS_HEADER,
    Failure,
    Outgoing,
    count_header,
    open_response,
)


@dataclass(frozen=True)
class Arrival:
    """What is known of a request once its caller is: times are monotonic seconds.

    repeatable: it may run more than once; replayable: its body is held, so that it can be sent again;
    returning: it belongs to a conversation that has been here before, or to a plain service;
    urgent: it goes before those that are not, where an engine honours priorities;
    on_first: what is called when the first byte of its answer goes out.
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
    on_first: list[Callable[[], None]] = field(default_factory=list)


@dataclass(frozen=True)
class Begun:
    """An attempt whose answer has begun."""

    target: Target
    attempt: Attempt
    response: ClientResponse


Relay = Callable[[Begun], Awaitable[Result[web.StreamResponse, Failure]]]
"""Passes an answer on to the caller. It fails only where no byte has reached the caller yet."""


Cancel = Callable[[Target, str], Coroutine[Any, Any, None]]
"""Tells an endpoint that nobody waits for a run any more."""


@dataclass(frozen=True)
class Work:
    """How to run a request: where, as what, how its answer is passed on, and how it is given up."""

    choose: Chooser
    prepare: Callable[[Target, str, bool], Outgoing]
    relay: Relay
    cancel: Cancel | None = None


@dataclass
class Usage:
    """Tokens of a prompt, and those of them that the endpoint did not have to compute."""

    prompt_tokens: int = 0
    cached_tokens: int = 0


class Runner:
    """Runs requests; keeps nothing between them but the context."""

    def __init__(self, context: EntryContext, routes: RouteClient) -> None:
        self.context = context
        self.routes = routes

    async def run(self, arrival: Arrival, work: Work) -> Result[web.StreamResponse, Refusal]:
        """Return the caller's answer, or the refusal that is true of all attempts together."""
        ran = ExecutionStatus.NOT_RUN
        tried = Tried(self._ejected(arrival))
        budget = self.context.retry_budget(arrival.service.id)
        budget.on_request()
        for number in range(1, self.context.settings.max_attempts + 1):
            chosen = await work.choose(tried, arrival.deadline)
            if isinstance(chosen, Err):
                return Err(_with_ran(chosen.err_value, ran))
            outcome = await self._attempt(arrival, work, chosen.ok_value, number)
            if isinstance(outcome, Ok):
                return outcome
            failure = outcome.err_value
            if failure.answered is not None:
                return Ok(failure.answered)
            ran = worst(ran, failure.ran)
            tried = _after(tried, chosen.ok_value.endpoint, failure)
            if not self._may_retry(arrival, failure, number):
                break
            await asyncio.sleep(self._pause_s(arrival, failure, number))
        return Err(Refusal(failure.kind, ran, failure.detail))

    async def _attempt(
        self, arrival: Arrival, work: Work, target: Target, number: int
    ) -> Result[web.StreamResponse, Failure]:
        attempt = Attempt(f"{arrival.request_id}-{number}", target.endpoint)
        self.context.runs_by_endpoint[target.endpoint] += 1
        failed = True
        usage = Usage()
        try:
            outcome = await self._exchange(arrival, work, target, attempt, usage)
            failed = isinstance(outcome, Err)
            if failed and attempt.ran == ExecutionStatus.UNKNOWN and work.cancel is not None:
                self.routes.background(work.cancel(target, attempt.run_id))
            self._learn(arrival, target, outcome, usage)
            return outcome
        finally:
            self.context.runs_by_endpoint[target.endpoint] -= 1
            name = attempt.state.value if failed else "done"
            self.context.metrics.attempts.labels(arrival.service.id, name).inc()

    async def _exchange(
        self, arrival: Arrival, work: Work, target: Target, attempt: Attempt, usage: Usage
    ) -> Result[web.StreamResponse, Failure]:
        session = self.context.pooled_session if arrival.repeatable else self.context.unpooled_session
        outgoing = work.prepare(target, attempt.run_id, arrival.high_priority)
        limit_s = self.context.settings.first_byte_timeout_s
        try:
            opened = await open_response(session, outgoing, attempt, arrival.deadline, limit_s)
            if isinstance(opened, Err):
                return opened
            self._count_tokens(arrival, opened.ok_value, usage)
            return await work.relay(Begun(target, attempt, opened.ok_value))
        except (asyncio.CancelledError, ConnectionError):
            # The caller is gone; failures of the endpoint come back as results.
            self.routes.report(target, RUN_OUTCOME_FAILED)
            if work.cancel is not None:
                self.routes.background(work.cancel(target, attempt.run_id))
            raise

    def _count_tokens(self, arrival: Arrival, response: ClientResponse, usage: Usage) -> None:
        """Take in what an answer's head says of its prompt."""
        usage.prompt_tokens = count_header(response, PROMPT_TOKENS_HEADER)
        usage.cached_tokens = count_header(response, CACHED_TOKENS_HEADER)
        if not usage.prompt_tokens:
            return
        metrics = self.context.metrics
        labels = (metrics.labels.of(arrival.workspace.id), arrival.service.id)
        metrics.reused.labels(*labels).observe(usage.cached_tokens)
        metrics.recomputed.labels(*labels).observe(usage.prompt_tokens - usage.cached_tokens)

    def _learn(
        self,
        arrival: Arrival,
        target: Target,
        outcome: Result[web.StreamResponse, Failure],
        usage: Usage,
    ) -> None:
        """Tell the router, the ejector and the membership what became of an attempt."""
        ejector = self.context.ejector(arrival.service.id)
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
        if failure.fault and ejector.on_failure(target.endpoint, monotonic(), len(arrival.service.endpoints)):
            self.context.metrics.ejected.labels(arrival.service.id).inc()
            logging.info("endpoint %s ejected after failures", target.endpoint)

    def _ejected(self, arrival: Arrival) -> frozenset[str]:
        ejected = self.context.ejector(arrival.service.id).ejected(monotonic())
        if ejected >= set(self.context.usable_endpoints(arrival.service)):
            return frozenset()
        return frozenset(ejected)

    def _may_retry(self, arrival: Arrival, failure: Failure, number: int) -> bool:
        """Tell whether another attempt is allowed.

        A request that must not repeat is sent again only where it has truly not run. Attempts that
        the endpoint turned away at no cost are not charged to the budget; failures are.
        """
        if number >= self.context.settings.max_attempts or not arrival.replayable:
            return False
        if not arrival.repeatable and failure.ran != ExecutionStatus.NOT_RUN:
            return False
        if failure.kind == ErrorKind.DEADLINE or monotonic() >= arrival.deadline:
            return False
        return not failure.fault or self.context.retry_budget(arrival.service.id).take()

    def _pause_s(self, arrival: Arrival, failure: Failure, number: int) -> float:
        if not failure.fault:
            return 0.0
        left_s = max(0.0, arrival.deadline - monotonic())
        return min(left_s, backoff_s(number, self.context.random.random()))


def _after(tried: Tried, endpoint: str, failure: Failure) -> Tried:
    """Return what is known after one more failure; an endpoint of another version is not avoided."""
    if failure.version and not failure.leaving:
        return Tried(tried.avoid, {**tried.versions, endpoint: failure.version})
    return Tried(tried.avoid | {endpoint}, tried.versions)


def _with_ran(refusal: Refusal, ran: ExecutionStatus) -> Refusal:
    return Refusal(refusal.kind, ran, refusal.detail, refusal.retry_after_s)
