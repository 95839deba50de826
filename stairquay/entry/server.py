"""The callers' side: HTTP routes, keys, limits, and the way of a request through the entry."""

import hashlib
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial

import msgspec
from aiohttp import web
from result import Err, Ok, Result

from stairquay.adapters.clock import monotonic
from stairquay.core.errors import ErrorKind, ExecutionStatus, Refusal
from stairquay.core.models import Service, ServiceKind, Workspace, allowed
from stairquay.entry.attempts import AttemptSteps, IncomingRequest, Runner
from stairquay.entry.bodies import read_body
from stairquay.entry.callers import CHAT_PATH, COMPLETIONS_PATH, parse_prompt
from stairquay.entry.context import EntryContext
from stairquay.entry.marks import Marks, Wanted, read_marks, wanted_claim
from stairquay.entry.once import Claims, claim_key
from stairquay.entry.plain import find_plain, plain_body, plain_steps
from stairquay.entry.prompts import find_model, largest_body, prompt_steps
from stairquay.entry.replies import REQUEST_ID_HEADER, refusal_response
from stairquay.entry.targets import RouteClient

MODELS_PATH = "/v1/models"
CALLER_GONE = 499
"""Status of an answer that nobody reads; it is never sent."""
BEARER = "Bearer "

Handler = Callable[[web.Request, str], Awaitable[Result[web.StreamResponse, Refusal]]]


class EntryServer:
    """Handles callers' requests; keeps nothing between them but the context."""

    def __init__(self, context: EntryContext, claims: Claims) -> None:
        self.context = context
        self.claims = claims
        self.routes = RouteClient(context)
        self.runner = Runner(context, self.routes)

    def route_table(self) -> list[web.RouteDef]:
        """Return the routes, the plain services' catch-all last."""
        return [
            web.get(MODELS_PATH, self.models),
            web.post(CHAT_PATH, self.prompt),
            web.post(COMPLETIONS_PATH, self.prompt),
            web.route("*", "/{path:.*}", self.plain),
        ]

    async def models(self, request: web.Request) -> web.StreamResponse:
        """List the models that the caller's workspace may use."""
        request_id = new_request_id()
        admitted = self._admit(request)
        if isinstance(admitted, Err):
            return self._refuse(admitted.err_value, request_id)
        workspace, _ = admitted.ok_value
        services = self.context.view.configuration.services.values()
        data = [
            {"id": item.id, "object": "model", "created": 0, "owned_by": "stairquay"}
            for item in services
            if item.kind == ServiceKind.ENGINE and allowed(workspace, item)
        ]
        body = msgspec.json.encode({"object": "list", "data": data})
        headers = {REQUEST_ID_HEADER: request_id}
        return web.Response(body=body, content_type="application/json", headers=headers)

    async def prompt(self, request: web.Request) -> web.StreamResponse:
        """Run a chat or text completion."""
        return await self._serve(request, self._prompt)

    async def plain(self, request: web.Request) -> web.StreamResponse:
        """Run a call of a plain service."""
        return await self._serve(request, self._plain)

    async def _serve(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Run a handler with a request id, and turn a refusal into its answer."""
        request_id = new_request_id()
        self.context.in_flight += 1
        self.context.metrics.in_flight.set(self.context.in_flight)
        try:
            outcome = await handler(request, request_id)
        except ConnectionError:
            return web.Response(status=CALLER_GONE)
        finally:
            self.context.in_flight -= 1
            self.context.metrics.in_flight.set(self.context.in_flight)
        if isinstance(outcome, Err):
            return self._refuse(outcome.err_value, request_id)
        return outcome.ok_value

    async def _prompt(self, request: web.Request, request_id: str) -> Result[web.StreamResponse, Refusal]:
        arrived_at = monotonic()
        admitted = self._admit(request)
        if isinstance(admitted, Err):
            return admitted
        workspace, marks = admitted.ok_value
        raw = await read_body(request, largest_body(self.context), self.context.settings.body_timeout_s)
        if isinstance(raw, Err):
            return raw
        parsed = parse_prompt(request.path, raw.ok_value)
        if isinstance(parsed, Err):
            return parsed
        service = find_model(self.context, workspace, parsed.ok_value.model, len(raw.ok_value))
        if isinstance(service, Err):
            return service
        incoming = _incoming_request(request_id, workspace, service.ok_value, marks, arrived_at)
        incoming = replace(incoming, returning=parsed.ok_value.turn > 1)
        steps = prompt_steps(
            self.context,
            self.routes,
            incoming,
            request,
            parsed.ok_value,
            partial(self._on_first_byte, incoming),
        )
        return await self._limited(incoming, wanted_claim(request, marks, raw.ok_value), steps)

    async def _plain(self, request: web.Request, request_id: str) -> Result[web.StreamResponse, Refusal]:
        arrived_at = monotonic()
        admitted = self._admit(request)
        if isinstance(admitted, Err):
            return admitted
        workspace, marks = admitted.ok_value
        service = find_plain(self.context, workspace, request.path)
        if service is None:
            kind = ErrorKind.METHOD_NOT_ALLOWED if _is_own(request.path) else ErrorKind.UNKNOWN_PATH
            return Err(Refusal(kind))
        body = await plain_body(self.context, request, service, marks)
        if isinstance(body, Err):
            return body
        held = body.ok_value
        incoming = _incoming_request(request_id, workspace, service, marks, arrived_at)
        incoming = replace(incoming, replayable=isinstance(held, bytes))
        steps = plain_steps(self.context, incoming, request, held, partial(self._on_first_byte, incoming))
        return await self._limited(incoming, wanted_claim(request, marks, held), steps)

    def _admit(self, request: web.Request) -> Result[tuple[Workspace, Marks], Refusal]:
        """Check all that can be checked before a body is read."""
        if self.context.refusing:
            return Err(Refusal(ErrorKind.STOPPING))
        if not self.context.view.ready():
            return Err(Refusal(ErrorKind.NOT_READY))
        workspace = self._authenticate(request)
        if isinstance(workspace, Err):
            return workspace
        marks = read_marks(request.headers)
        if isinstance(marks, Err):
            return marks
        return Ok((workspace.ok_value, marks.ok_value))

    def _authenticate(self, request: web.Request) -> Result[Workspace, Refusal]:
        header = request.headers.get("Authorization", "")
        if not header.startswith(BEARER):
            return Err(Refusal(ErrorKind.UNAUTHENTICATED))
        key = header[len(BEARER) :].strip()
        hashed = hashlib.sha256(key.encode(errors="surrogateescape")).hexdigest()
        workspace = self.context.view.configuration.workspaces_by_key_hash.get(hashed)
        if workspace is None:
            return Err(Refusal(ErrorKind.UNAUTHENTICATED))
        return Ok(workspace)

    async def _limited(
        self, incoming: IncomingRequest, claim: Wanted | None, steps: AttemptSteps
    ) -> Result[web.StreamResponse, Refusal]:
        """Run work within the workspace's limits and the service's slots."""
        workspace = incoming.workspace
        metrics = self.context.metrics
        labels = (metrics.labels.of(workspace.id), incoming.service.id)
        metrics.requests.labels(*labels).inc()
        refused = self.context.limits.admit(workspace, self.context.box_share(), monotonic())
        if refused is not None:
            return Err(refused)
        try:
            limiter = self.context.limiter(incoming.service)
            waits_from = monotonic()
            limit_s = min(limiter.queue.max_wait_s, incoming.deadline - waits_from)
            entered = await limiter.acquire(workspace, limit_s, incoming.returning)
            if isinstance(entered, Err):
                return entered
            permit = entered.ok_value
            metrics.queue_time.labels(*labels).observe(permit.acquired_at - waits_from)
            incoming.first_byte_callbacks.append(permit.release_starting_slot)
            incoming = replace(incoming, high_priority=permit.high_priority)
            try:
                return await self._claimed(incoming, claim, steps)
            finally:
                permit.release()
        finally:
            self.context.limits.release(workspace.id)

    async def _claimed(
        self, incoming: IncomingRequest, claim: Wanted | None, steps: AttemptSteps
    ) -> Result[web.StreamResponse, Refusal]:
        """Run work, under a claim where the caller gave an idempotency key."""
        if claim is None:
            return await self.runner.run(incoming, steps)
        key = claim_key(incoming.workspace.id, claim.key)
        claimed = await self.claims.take(key, incoming.request_id, claim.body_hash)
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
        for call in incoming.first_byte_callbacks:
            call()

    def _refuse(self, refusal: Refusal, request_id: str) -> web.Response:
        self.context.metrics.refusals.labels(refusal.kind.value, refusal.ran.value).inc()
        return refusal_response(refusal, request_id)


def new_request_id() -> str:
    """Return an id that no other request has."""
    return "req-" + secrets.token_hex(12)


def _incoming_request(
    request_id: str,
    workspace: Workspace,
    service: Service,
    marks: Marks,
    arrived_at: float,
) -> IncomingRequest:
    limit_s = service.timeout_s if marks.timeout_s is None else min(marks.timeout_s, service.timeout_s)
    return IncomingRequest(
        request_id=request_id,
        workspace=workspace,
        service=service,
        arrived_at=arrived_at,
        deadline=arrived_at + limit_s,
        repeatable=marks.repeatable,
    )


def _is_own(path: str) -> bool:
    return path in (MODELS_PATH, CHAT_PATH, COMPLETIONS_PATH)
