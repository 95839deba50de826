"""HTTP API for operators: intents, plans, configuration and status as JSON (see docs/API.md)."""

import hashlib
import hmac
from collections.abc import Awaitable, Callable
from dataclasses import replace

import msgspec
from aiohttp import web
from result import Err

from stairquay.adapters.follower import View
from stairquay.adapters.metrics import ControlMetrics
from stairquay.adapters.rpc import RouterChannels
from stairquay.adapters.settings import ControlSettings
from stairquay.control.plans import PlanService, StalePlan
from stairquay.control.status import SystemStatus, gather_status
from stairquay.core.decode import decode, encode
from stairquay.core.errors import ErrorKind, Refusal
from stairquay.core.mistake import Mistake
from stairquay.core.plan import Change, Plan, PlanRequest, RuntimeState

BEARER = "Bearer "
MAX_BODY_BYTES = 4_000_000
SECRET_FIELD = "kept_secret"

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class OperatorApi:
    """Handles operators' requests; holds no state between them."""

    def __init__(
        self,
        settings: ControlSettings,
        view: View,
        plans: PlanService,
        channels: RouterChannels,
        metrics: ControlMetrics,
    ) -> None:
        self.settings = settings
        self.view = view
        self.plans = plans
        self.channels = channels
        self.metrics = metrics

    def application(self) -> web.Application:
        """Return the web application with all routes."""
        app = web.Application(middlewares=[self._authenticate], client_max_size=MAX_BODY_BYTES)
        app.add_routes(
            [
                web.post("/v1/intents", self.propose),
                web.get("/v1/plans/{plan}", self.read),
                web.post("/v1/plans/{plan}/confirm", self.confirm),
                web.get("/v1/configuration", self.configuration),
                web.get("/v1/status", self.status),
            ]
        )
        return app

    async def propose(self, request: web.Request) -> web.StreamResponse:
        """Make and store a plan for the intents in the body, without applying it."""
        try:
            value = msgspec.json.decode(await request.read())
        except msgspec.DecodeError as error:
            return _refusal_response(Refusal(ErrorKind.BAD_REQUEST, detail=f"the body is not JSON: {error}"))
        decoded = decode(value, PlanRequest)
        if isinstance(decoded, Err):
            return _mistakes_response(decoded.err_value)
        outcome = await self.plans.propose(decoded.ok_value, await self._runtime_state())
        if isinstance(outcome, Err):
            self.metrics.plans.labels("refused").inc()
            found = outcome.err_value
            return _refusal_response(found) if isinstance(found, Refusal) else _mistakes_response(found)
        self.metrics.plans.labels("proposed").inc()
        return _json_response({"plan": encode(redact(outcome.ok_value))})

    async def read(self, request: web.Request) -> web.StreamResponse:
        """Return a plan."""
        outcome = await self.plans.read(request.match_info["plan"])
        if isinstance(outcome, Err):
            return _refusal_response(outcome.err_value)
        return _json_response({"plan": encode(redact(outcome.ok_value.plan))})

    async def confirm(self, request: web.Request) -> web.StreamResponse:
        """Apply a plan."""
        outcome = await self.plans.confirm(request.match_info["plan"])
        if isinstance(outcome, Err):
            return _refusal_response(outcome.err_value)
        result = outcome.ok_value
        if isinstance(result, StalePlan):
            self.metrics.plans.labels("stale").inc()
            return _refusal_response(Refusal(ErrorKind.CONFLICT), changed=encode(result.changed))
        self.metrics.plans.labels("confirmed").inc()
        return _json_response({"plan": encode(redact(result.plan)), "revision": result.revision})

    async def configuration(self, _: web.Request) -> web.StreamResponse:
        """Return the configuration that this process has loaded."""
        configuration = self.view.configuration
        rows = {row.key: _redact_value(row.value) for row in configuration.rows_by_key.values()}
        objects = {key: msgspec.json.decode(value) for key, value in rows.items() if value is not None}
        return _json_response({"revision": configuration.revision, "objects": objects})

    async def status(self, _: web.Request) -> web.StreamResponse:
        """Return the status of the whole system."""
        found = await gather_status(self.view, self.channels)
        return _json_response({**encode(found), "behind": encode(found.behind)})

    async def _runtime_state(self) -> RuntimeState:
        found: SystemStatus = await gather_status(self.view, self.channels)
        versions = {item.id: item.version for item in found.endpoints}
        return RuntimeState(versions, found.kept_bytes_by_version)

    @web.middleware
    async def _authenticate(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        header = request.headers.get("Authorization", "")
        key = header.removeprefix(BEARER).strip()
        key_hash = hashlib.sha256(key.encode(errors="surrogateescape")).hexdigest()
        matches = [hmac.compare_digest(key_hash, item) for item in self.settings.operator_key_hashes]
        if not header.startswith(BEARER) or not any(matches):
            return _refusal_response(Refusal(ErrorKind.UNAUTHENTICATED))
        return await handler(request)


def redact(plan: Plan) -> Plan:
    """Return a plan without the secrets of workspaces."""
    changes = tuple(
        Change(item.key, _redact_value(item.before), _redact_value(item.after)) for item in plan.changes
    )
    return replace(plan, changes=changes)


def _redact_value(value: str | None) -> str | None:
    if value is None or SECRET_FIELD not in value:
        return value
    fields = msgspec.json.decode(value)
    fields.pop(SECRET_FIELD, None)
    return msgspec.json.encode(fields).decode()


def _json_response(body: dict[str, object]) -> web.Response:
    return web.Response(body=msgspec.json.encode(body), content_type="application/json")


def _mistakes_response(mistakes: list[Mistake]) -> web.Response:
    refusal = Refusal(ErrorKind.BAD_REQUEST, detail=f"{len(mistakes)} mistakes")
    return _refusal_response(refusal, mistakes=encode(mistakes))


def _refusal_response(refusal: Refusal, **extra_fields: object) -> web.Response:
    error = {
        "code": refusal.kind.value,
        "message": refusal.message,
        "run": refusal.ran.value,
        "retry_after_s": refusal.effective_retry_after_s,
        **extra_fields,
    }
    body = msgspec.json.encode({"error": error})
    return web.Response(status=refusal.response.status, body=body, content_type="application/json")
