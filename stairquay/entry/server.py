"""HTTP server of the entry: routes, authentication, admission and dispatch of requests."""

import hashlib
import secrets
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import replace
from functools import partial
from typing import Any, TypeVar

import msgspec
from aiohttp import web
from result import Err, Ok, Result

from stairquay.adapters.clock import monotonic
from stairquay.adapters.shutdown import PendingRequest
from stairquay.core.client_memory import BodyClaim
from stairquay.core.errors import ErrorKind, ExecutionStatus, Refusal
from stairquay.core.models import Service, ServiceKind, Workspace, allowed
from stairquay.entry.attempts import AttemptSteps, IncomingRequest, Runner
from stairquay.entry.bodies import read_body
from stairquay.entry.context import EntryContext
from stairquay.entry.marks import ClaimRequest, RequestOptions, claim_request, parse_request_options
from stairquay.entry.once import Claims, claim_key
from stairquay.entry.openai_requests import CHAT_PATH, COMPLETIONS_PATH, parse_prompt
from stairquay.entry.plain import find_plain_service, plain_steps, read_plain_body
from stairquay.entry.prompts import find_engine_service, largest_body_limit, prompt_steps
from stairquay.entry.replies import REQUEST_ID_HEADER, refusal_response
from stairquay.entry.targets import RouteClient

MODELS_PATH = "/v1/models"
CLIENT_CLOSED_REQUEST = 499
"""Status for a client that disconnected; never sent."""
BEARER = "Bearer "

Body = TypeVar("Body")

Handler = Callable[[web.Request, str, BodyClaim], Awaitable[Result[web.StreamResponse, Refusal]]]


class EntryServer:
    """Handles clients' requests."""

    def __init__(self, context: EntryContext, claims: Claims) -> None:
        self.context = context
        self.claims = claims
        self.routes = RouteClient(context)
        self.runner = Runner(context, self.routes)

    def route_table(self) -> list[web.RouteDef]:
        """Return the routes; the catch-all for plain services is last."""
        return [
            web.get(MODELS_PATH, self.handle_models),
            web.post(CHAT_PATH, self.handle_prompt),
            web.post(COMPLETIONS_PATH, self.handle_prompt),
            web.route("*", "/{path:.*}", self.handle_plain),
        ]

    async def handle_models(self, request: web.Request) -> web.StreamResponse:
        """List the models that the client's workspace may use."""
        request_id = new_request_id()
        prechecked = self._precheck(request)
        if isinstance(prechecked, Err):
            return self._error_response(prechecked.err_value, request_id)
        workspace, _ = prechecked.ok_value
        services = self.context.view.configuration.services.values()
        data = [
            {"id": item.id, "object": "model", "created": 0, "owned_by": "stairquay"}
            for item in services
            if item.kind == ServiceKind.ENGINE and allowed(workspace, item)
        ]
        body = msgspec.json.encode({"object": "list", "data": data})
        headers = {REQUEST_ID_HEADER: request_id}
        return web.Response(body=body, content_type="application/json", headers=headers)

    async def handle_prompt(self, request: web.Request) -> web.StreamResponse:
        """Run a chat or text completion."""
        return await self._serve(request, self._run_prompt)

    async def handle_plain(self, request: web.Request) -> web.StreamResponse:
        """Proxy a call of a plain service."""
        return await self._serve(request, self._run_plain)

    async def _serve(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        request_id = new_request_id()
        self.context.in_flight += 1
        self.context.metrics.in_flight.set(self.context.in_flight)
        claim = BodyClaim(self.context.client_memory)
        try:
            outcome = await handler(request, request_id, claim)
        except ConnectionError:
            return web.Response(status=CLIENT_CLOSED_REQUEST)
        finally:
            claim.release()
            self.context.in_flight -= 1
            self.context.metrics.in_flight.set(self.context.in_flight)
        if isinstance(outcome, Err):
            return self._error_response(outcome.err_value, request_id)
        return outcome.ok_value

    async def _run_prompt(
        self, request: web.Request, request_id: str, claim: BodyClaim
    ) -> Result[web.StreamResponse, Refusal]:
        arrived_at = monotonic()
        prechecked = self._precheck(request)
        if isinstance(prechecked, Err):
            return prechecked
        workspace, options = prechecked.ok_value
        limit, timeout_s = largest_body_limit(self.context), self.context.settings.body_timeout_s
        raw_body = await self._unless_stopped(read_body(request, limit, timeout_s, claim))
        if isinstance(raw_body, Err):
            return raw_body
        parsed = parse_prompt(request.path, raw_body.ok_value)
        if isinstance(parsed, Err):
            return parsed
        service = find_engine_service(self.context, workspace, parsed.ok_value.model, len(raw_body.ok_value))
        if isinstance(service, Err):
            return service
        incoming = _incoming_request(request_id, workspace, service.ok_value, options, arrived_at)
        incoming = replace(incoming, returning=parsed.ok_value.turn > 1)
        steps = prompt_steps(
            self.context,
            self.routes,
            incoming,
            request,
            parsed.ok_value,
            partial(self._on_first_byte, incoming),
        )
        return await self._run_limited(incoming, claim_request(request, options, raw_body.ok_value), steps)

    async def _run_plain(
        self, request: web.Request, request_id: str, claim: BodyClaim
    ) -> Result[web.StreamResponse, Refusal]:
        arrived_at = monotonic()
        prechecked = self._precheck(request)
        if isinstance(prechecked, Err):
            return prechecked
        workspace, options = prechecked.ok_value
        service = find_plain_service(self.context, workspace, request.path)
        if service is None:
            kind = ErrorKind.METHOD_NOT_ALLOWED if _is_builtin_path(request.path) else ErrorKind.UNKNOWN_PATH
            return Err(Refusal(kind))
        body = await self._unless_stopped(read_plain_body(self.context, request, service, options, claim))
        if isinstance(body, Err):
            return body
        plain_body = body.ok_value
        incoming = _incoming_request(request_id, workspace, service, options, arrived_at)
        incoming = replace(incoming, replayable=isinstance(plain_body, bytes))
        steps = plain_steps(
            self.context, incoming, request, plain_body, partial(self._on_first_byte, incoming)
        )
        return await self._run_limited(incoming, claim_request(request, options, plain_body), steps)

    async def _unless_stopped(
        self, reading: Coroutine[Any, Any, Result[Body, Refusal]]
    ) -> Result[Body, Refusal]:
        """Read a body, or return a refusal when the program stops before it could come."""
        deadline = monotonic() + self.context.settings.body_timeout_s
        pending = PendingRequest(self.context.shutdown, deadline)
        try:
            async with pending:
                return await reading
        except TimeoutError:
            if not pending.was_ended:
                raise
            return Err(Refusal(ErrorKind.STOPPING))

    def _precheck(self, request: web.Request) -> Result[tuple[Workspace, RequestOptions], Refusal]:
        """Check readiness, API key and headers, before the body is read."""
        if self.context.shutdown.is_refusing():
            return Err(Refusal(ErrorKind.STOPPING))
        if not self.context.view.ready():
            return Err(Refusal(ErrorKind.NOT_READY))
        workspace = self._authenticate(request)
        if isinstance(workspace, Err):
            return workspace
        options = parse_request_options(request.headers)
        if isinstance(options, Err):
            return options
        return Ok((workspace.ok_value, options.ok_value))

    def _authenticate(self, request: web.Request) -> Result[Workspace, Refusal]:
        header = request.headers.get("Authorization", "")
        if not header.startswith(BEARER):
            return Err(Refusal(ErrorKind.UNAUTHENTICATED))
        key = header[len(BEARER) :].strip()
        key_hash = hashlib.sha256(key.encode(errors="surrogateescape")).hexdigest()
        workspace = self.context.view.configuration.workspaces_by_key_hash.get(key_hash)
        if workspace is None:
            return Err(Refusal(ErrorKind.UNAUTHENTICATED))
        return Ok(workspace)

    async def _run_limited(
        self, incoming: IncomingRequest, claim: ClaimRequest | None, steps: AttemptSteps
    ) -> Result[web.StreamResponse, Refusal]:
        workspace = incoming.workspace
        metrics = self.context.metrics
        labels = (metrics.labels.of(workspace.id), incoming.service.id)
        metrics.requests.labels(*labels).inc()
        refused = self.context.limits.admit(workspace, self.context.box_share(), monotonic())
        if refused is not None:
            return Err(refused)
        try:
            limiter = self.context.limiter(incoming.service)
            queued_at = monotonic()
            max_wait_s = min(limiter.queue.max_wait_s, incoming.deadline - queued_at)
            acquired = await limiter.acquire(workspace, max_wait_s, incoming.returning)
            if isinstance(acquired, Err):
                return acquired
            permit = acquired.ok_value
            metrics.queue_time.labels(*labels).observe(permit.acquired_at - queued_at)
            incoming.first_byte_callbacks.append(permit.release_starting_slot)
            incoming = replace(incoming, high_priority=permit.high_priority)
            try:
                return await self._run_claimed(incoming, claim, steps)
            finally:
                permit.release()
        finally:
            self.context.limits.release(workspace.id)

    async def _run_claimed(
        self, incoming: IncomingRequest, claim: ClaimRequest | None, steps: AttemptSteps
    ) -> Result[web.StreamResponse, Refusal]:
        if claim is None:
            return await self.runner.run(incoming, steps)
        key = claim_key(incoming.workspace.id, claim.key)
        claimed = await self.claims.acquire(key, incoming.request_id, claim.body_hash)
        if isinstance(claimed, Err):
            return claimed
        outcome = await self.runner.run(incoming, steps)
        if isinstance(outcome, Err) and outcome.err_value.ran == ExecutionStatus.NOT_RUN:
            self.claims.release(key, incoming.request_id)
        return outcome

    def _on_first_byte(self, incoming: IncomingRequest) -> None:
        metrics = self.context.metrics
        labels = (metrics.labels.of(incoming.workspace.id), incoming.service.id)
        metrics.first_token.labels(*labels).observe(monotonic() - incoming.arrived_at)
        for callback in incoming.first_byte_callbacks:
            callback()

    def _error_response(self, refusal: Refusal, request_id: str) -> web.Response:
        self.context.metrics.refusals.labels(refusal.kind.value, refusal.ran.value).inc()
        return refusal_response(refusal, request_id)


def new_request_id() -> str:
    """Return a random request id."""
    return "req-" + secrets.token_hex(12)


def _incoming_request(
    request_id: str,
    workspace: Workspace,
    service: Service,
    options: RequestOptions,
    arrived_at: float,
) -> IncomingRequest:
    timeout_s = service.timeout_s if options.timeout_s is None else min(options.timeout_s, service.timeout_s)
    return IncomingRequest(
        request_id=request_id,
        workspace=workspace,
        service=service,
        arrived_at=arrived_at,
        deadline=arrived_at + timeout_s,
        repeatable=options.repeatable,
    )


def _is_builtin_path(path: str) -> bool:
    return path in (MODELS_PATH, CHAT_PATH, COMPLETIONS_PATH)
