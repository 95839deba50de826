"""Chooses the endpoint of an attempt: by the prompt's router, or locally if no router answers."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from dataclasses import dataclass, field
from typing import Any

import grpc
from result import Err, Ok, Result

from stairquay.adapters.clock import monotonic
from stairquay.adapters.router_pb2 import ReportRequest, RouteReply, RouteRequest, RunOutcome
from stairquay.core.errors import ErrorKind, Refusal
from stairquay.core.identity import Prompt, block_ids
from stairquay.core.models import Service, Workspace
from stairquay.core.ownership import rank_owners
from stairquay.entry.context import EntryContext

SUSPECT_S = 2.0
"""Time for which a router that did not answer is tried last."""

NO_ENDPOINT_RETRY_AFTER_S = 1.0
REPORT_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class Target:
    """An endpoint to try. ids: block ids; router, ticket: the routing decision, if a router made it."""

    endpoint: str
    address: str
    version: str = ""
    ids: tuple[str, ...] = ()
    router: str = ""
    ticket: int = 0


@dataclass(frozen=True)
class PriorAttempts:
    """What earlier attempts showed: endpoints to avoid, and weight versions by endpoint."""

    avoided: frozenset[str] = frozenset()
    versions: Mapping[str, str] = field(default_factory=dict)


Chooser = Callable[[PriorAttempts, float], Awaitable[Result[Target, Refusal]]]
"""Chooses a target, given earlier attempts and the deadline in monotonic seconds."""


@dataclass
class Suspects:
    """Routers that did not answer: the monotonic time until which each is tried last, by address."""

    suspected_until: dict[str, float] = field(default_factory=dict)

    def add(self, address: str) -> None:
        """Suspect a router for `SUSPECT_S`."""
        self.suspected_until[address] = monotonic() + SUSPECT_S

    def order(self, addresses: list[str]) -> list[str]:
        """Return the addresses with suspected ones last (stable)."""
        now = monotonic()
        return sorted(addresses, key=lambda address: self.suspected_until.get(address, 0.0) > now)


class RouteClient:
    """Asks routers for routing decisions, in the prompt's rendezvous-hashing order."""

    def __init__(self, context: EntryContext) -> None:
        self.context = context
        self.suspects = Suspects()
        self.tasks: set[asyncio.Task[None]] = set()

    def chooser(self, service: Service, workspace: Workspace, prompt: Prompt, turn: int) -> Chooser:
        """Return a chooser that asks the prompt's routers."""

        async def choose(prior: PriorAttempts, deadline: float) -> Result[Target, Refusal]:
            request = RouteRequest(
                service=service.id,
                workspace=workspace.id,
                family=prompt.family,
                chain=prompt.chain,
                tokens=prompt.tokens,
                turn=turn,
                excluded=sorted(prior.avoided),
                import_wait_ms=int(self._import_wait_s(deadline) * 1000),
                versions=prior.versions,
            )
            for address in self._ranked_routers(prompt.family):
                reply = await self._request_route(address, request, deadline)
                self.context.metrics.routes.labels("silent" if reply is None else "router").inc()
                if reply is not None:
                    return _target_from_reply(reply, address, prompt)
            self.context.metrics.routes.labels("here").inc()
            return choose_locally(self.context, service, prior.avoided)

        return choose

    def report(
        self,
        target: Target,
        outcome: RunOutcome,
        prompt_tokens: int = 0,
        cached_tokens: int = 0,
        version: str = "",
    ) -> None:
        """Report a run's outcome to the router that placed it, without waiting."""
        if not target.ticket:
            return
        request = ReportRequest(
            ticket=target.ticket,
            outcome=outcome,
            prompt_tokens=prompt_tokens,
            cached_tokens=cached_tokens,
            version=version,
        )
        self.run_in_background(self._send_report(target.router, request))

    def run_in_background(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _ranked_routers(self, family: bytes) -> list[str]:
        routers = self.context.view.live_routers()
        return self.suspects.order([routers[key] for key in rank_owners(family, routers)])

    def _import_wait_s(self, deadline: float) -> float:
        return max(0.0, min(self.context.settings.import_wait_s, deadline - monotonic()))

    async def _request_route(self, address: str, request: RouteRequest, deadline: float) -> RouteReply | None:
        """Return a router's decision once its import has ended or timed out, None without an answer."""
        call = self.context.channels.stub(address).Route(request)
        try:
            async with asyncio.timeout(self.context.settings.route_timeout_s):
                reply = await call.read()
        except (grpc.aio.AioRpcError, TimeoutError):
            call.cancel()
            self.suspects.add(address)
            return None
        if reply is grpc.aio.EOF:
            return None
        if not reply.ready:
            await self._wait_for_import(call, address, deadline)
        return reply

    async def _wait_for_import(self, call: grpc.aio.UnaryStreamCall, address: str, deadline: float) -> None:
        """Wait for the import of cached blocks; after a timeout, the engine recomputes them."""
        try:
            async with asyncio.timeout(self._import_wait_s(deadline)):
                await call.read()
        except (grpc.aio.AioRpcError, TimeoutError):
            call.cancel()
            self.suspects.add(address)

    async def _send_report(self, address: str, request: ReportRequest) -> None:
        try:
            await self.context.channels.stub(address).Report(request, timeout=REPORT_TIMEOUT_S)
        except grpc.aio.AioRpcError:
            self.suspects.add(address)


def _target_from_reply(reply: RouteReply, router: str, prompt: Prompt) -> Result[Target, Refusal]:
    if not reply.ticket:
        return Err(Refusal(ErrorKind.NO_ENDPOINT, retry_after_s=reply.retry_after_s))
    ids = block_ids(prompt.chain, reply.version)
    return Ok(Target(reply.endpoint, reply.address, reply.version, ids, router, reply.ticket))


def choose_locally(
    context: EntryContext, service: Service, excluded: frozenset[str]
) -> Result[Target, Refusal]:
    """Return the endpoint with fewer runs of this entry, of two chosen at random.

    Ties go to the box's own data hall. No block ids are sent, since the weight version is not known here.
    """
    usable = context.usable_endpoints(service)
    if not usable:
        return Err(Refusal(ErrorKind.NO_ENDPOINT, retry_after_s=NO_ENDPOINT_RETRY_AFTER_S))
    candidates = [key for key in usable if key not in excluded] or usable
    sampled = context.random.sample(candidates, min(2, len(candidates)))
    boxes = context.view.membership.boxes.by_id
    best = min(
        sampled, key=lambda key: (context.runs_by_endpoint[key], boxes[key].data_hall != context.data_hall)
    )
    return Ok(Target(best, boxes[best].addresses["http"]))


def plain_chooser(context: EntryContext, service: Service) -> Chooser:
    """Return a chooser for a plain service, which chooses locally."""

    async def choose(prior: PriorAttempts, _: float) -> Result[Target, Refusal]:
        return choose_locally(context, service, prior.avoided)

    return choose
