"""The router's gRPC service: routing, reports on runs, views and status."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, replace
from time import process_time
from typing import Any

import msgspec

from stairquay.adapters.clock import monotonic
from stairquay.adapters.router_pb2 import (
    RUN_OUTCOME_FINISHED,
    RUN_OUTCOME_LEAVING,
    RUN_OUTCOME_WRONG_VERSION,
    EndpointStatus,
    FollowerStatus,
    KeptStatus,
    ReportReply,
    ReportRequest,
    RouteReply,
    RouteRequest,
    Row,
    StatusReply,
    StatusRequest,
    ViewReply,
    ViewRequest,
)
from stairquay.adapters.router_pb2_grpc import RouterServicer
from stairquay.core.identity import BLOCK_TOKENS, Prompt, block_ids
from stairquay.core.models import Service
from stairquay.core.retention import segment_bytes
from stairquay.core.routing import POLICIES, Decision, Demand
from stairquay.router.exporting import Exporter
from stairquay.router.importing import Importer, ImportRequest
from stairquay.router.state import RouterState, Ticket, find_candidates

NO_ENDPOINT_RETRY_S = 1.0
FOLLOWER_TTL_S = 60.0


@dataclass(frozen=True)
class Follower:
    """A process that fetches views: its revisions and the monotonic time at its last request."""

    name: str
    role: str
    revision: int
    list_as_of: int
    last_request_at: float


class RouterService(RouterServicer):
    """Handles calls from entries, control programs and other routers."""

    def __init__(self, state: RouterState, importer: Importer, exporter: Exporter) -> None:
        self.state = state
        self.importer = importer
        self.exporter = exporter
        self.policy = POLICIES[state.settings.policy]()
        self.followers: dict[tuple[str, str], Follower] = {}
        self.active_routes = 0

    async def Route(self, request: RouteRequest, context: Any) -> AsyncIterator[RouteReply]:
        """Choose an endpoint for a prompt, and import stored context into it."""
        self.active_routes += 1
        try:
            async for reply in self._route(request):
                yield reply
        finally:
            self.active_routes -= 1

    async def Report(self, request: ReportRequest, context: Any) -> ReportReply:
        """Apply the report on a run."""
        ticket = self.state.tickets_by_number.get(request.ticket)
        if ticket is not None:
            self._apply_report(ticket, request)
        return ReportReply()

    async def View(self, request: ViewRequest, context: Any) -> ViewReply:
        """Return the rows and the box list that are newer than the follower's."""
        now = monotonic()
        key = (request.follower, request.role)
        self.followers[key] = Follower(*key, request.revision, request.list_as_of, now)
        view = self.state.view
        reply = ViewReply(
            loaded=view.freshness.loaded,
            fresh=view.ready(),
            revision=view.configuration.revision,
            list_as_of=view.membership.boxes.as_of,
        )
        for row in view.configuration.rows_since(request.revision):
            reply.rows.append(Row(key=row.key, value=row.value, revision=row.revision))
        if view.membership.boxes.as_of > request.list_as_of:
            reply.boxes = msgspec.json.encode(view.membership.boxes)
        return reply

    async def Status(self, request: StatusRequest, context: Any) -> StatusReply:
        """Return the status of this router, its followers, its endpoints and the stored context."""
        view = self.state.view
        now = monotonic()
        reply = StatusReply(
            box=self.state.box,
            revision=view.configuration.revision,
            list_as_of=view.membership.boxes.as_of,
            reach=view.reach().value,
        )
        reply.followers.extend(self._follower_statuses(now))
        for service in view.configuration.services.values():
            reply.endpoints.extend(self._endpoint_statuses(service, now))
        reply.kept.extend(self._kept_statuses())
        return reply

    async def _route(self, request: RouteRequest) -> AsyncIterator[RouteReply]:
        service = self.state.view.configuration.services.get(request.service)
        if service is None:
            yield RouteReply(retry_after_s=NO_ENDPOINT_RETRY_S, ready=True)
            return
        prompt = Prompt(request.family, tuple(request.chain), request.tokens)
        started_cpu_s = process_time()
        decision = self._decide(request, service, prompt)
        self.state.metrics.decision_time.observe(process_time() - started_cpu_s)
        if decision is None:
            yield RouteReply(retry_after_s=NO_ENDPOINT_RETRY_S, ready=True)
            return
        ticket = self._open_ticket(request, service, prompt, decision)
        reply, import_request = self._start_run(service, ticket, decision)
        pending_imports = self.importer.pending_imports(ticket.endpoint, ticket.ids)
        reply.ready = not pending_imports
        yield reply
        if not pending_imports:
            return
        await asyncio.wait(pending_imports, timeout=request.import_wait_ms / 1000)
        reply.ready = True
        yield reply

    def _decide(self, request: RouteRequest, service: Service, prompt: Prompt) -> Decision | None:
        now = monotonic()
        for endpoint, version in request.versions.items():
            load = self.state.load(endpoint)
            load.report = replace(load.report, version=version)
        excluded = frozenset(request.excluded)
        candidates = find_candidates(self.state, service, prompt, excluded, now)
        demand = Demand(prompt.tokens, service.time_weight)
        return self.policy(demand, candidates, service.costs, self.state.random)

    def _open_ticket(
        self, request: RouteRequest, service: Service, prompt: Prompt, decision: Decision
    ) -> Ticket:
        ticket = Ticket(
            number=self.state.next_ticket,
            service=service.id,
            workspace=request.workspace,
            prompt=prompt,
            turn=max(1, request.turn),
            endpoint=decision.endpoint,
            version=decision.version,
            ids=block_ids(prompt.chain, decision.version),
            created_at=monotonic(),
        )
        self.state.next_ticket += 1
        self.state.open_ticket(ticket)
        self.state.load(decision.endpoint).on_sent(decision.missing_tokens, ticket.created_at)
        return ticket

    def _start_run(
        self, service: Service, ticket: Ticket, decision: Decision
    ) -> tuple[RouteReply, ImportRequest | None]:
        """Start the decision's import, if any; return the reply, with `ready` unset, and the import."""
        box = self.state.view.membership.boxes.by_id[ticket.endpoint]
        address = box.addresses["http"]
        import_request = self._import_request(service, ticket, decision, address)
        imported = 0 if import_request is None else self.importer.start(import_request)
        source = (
            "import" if import_request is not None else "resident" if decision.resident_blocks else "compute"
        )
        self.state.metrics.decisions.labels(service.id, source).inc()
        # After the run, the engine caches all blocks of the prompt.
        self.state.engine_caches.of(ticket.endpoint).touch(ticket.ids)
        reply = RouteReply(
            ticket=ticket.number,
            endpoint=ticket.endpoint,
            address=address,
            version=ticket.version,
            incarnation=box.incarnation,
            missing_tokens=decision.missing_tokens,
            first_token_s=decision.first_token_s,
            imported_bytes=imported,
        )
        return reply, import_request

    def _import_request(
        self, service: Service, ticket: Ticket, decision: Decision, address: str
    ) -> ImportRequest | None:
        if decision.import_ is None:
            return None
        first = decision.resident_blocks
        ids = ticket.ids[first : first + len(decision.import_.blocks)]
        return ImportRequest(ticket.endpoint, address, ticket.version, ids, decision.import_, service.costs)

    def _apply_report(self, ticket: Ticket, request: ReportRequest) -> None:
        del self.state.tickets_by_number[ticket.number]
        load = self.state.load(ticket.endpoint)
        load.on_finished()
        if request.outcome == RUN_OUTCOME_FINISHED:
            self._record_finished(ticket, request.cached_tokens // BLOCK_TOKENS)
            return
        self.state.engine_caches.of(ticket.endpoint).drop(ticket.ids)
        if request.outcome == RUN_OUTCOME_LEAVING:
            self.state.view.membership.on_leaving(ticket.endpoint, load.report.incarnation)
        if request.outcome == RUN_OUTCOME_WRONG_VERSION:
            load.report = replace(load.report, version=request.version)

    def _record_finished(self, ticket: Ticket, cached_blocks: int) -> None:
        """Update caches and return rates after a finished run, and queue its context for export."""
        self.state.engine_caches.correct(ticket.endpoint, ticket.ids, cached_blocks)
        turn = self.state.turn_counter.on_turn(ticket.prompt.family, ticket.turn)
        self.state.return_rates.on_turn(ticket.workspace, turn)
        self.exporter.enqueue(ticket)

    def _follower_statuses(self, now: float) -> list[FollowerStatus]:
        statuses = []
        for key, item in list(self.followers.items()):
            age_s = now - item.last_request_at
            if age_s > FOLLOWER_TTL_S:
                del self.followers[key]
                continue
            statuses.append(
                FollowerStatus(
                    name=item.name,
                    role=item.role,
                    revision=item.revision,
                    list_as_of=item.list_as_of,
                    age_s=age_s,
                )
            )
        return statuses

    def _endpoint_statuses(self, service: Service, now: float) -> list[EndpointStatus]:
        statuses = []
        for endpoint in service.endpoints:
            load = self.state.loads_by_endpoint.get(endpoint.id)
            status = EndpointStatus(id=endpoint.id, service=service.id, age_s=-1)
            status.leaving = self.state.view.membership.usable(endpoint.id) is None
            if load is not None:
                status.version = load.report.version
                status.loading = load.report.loading
                status.queued_tokens = load.report.queued_tokens
                status.running = load.report.running
                status.age_s = now - load.received_at
            statuses.append(status)
        return statuses

    def _kept_statuses(self) -> list[KeptStatus]:
        statuses = []
        for store, segments in self.state.stored_blocks.segments_by_store.items():
            sizes: dict[str, int] = {}
            for segment in segments.values():
                sizes[segment.version] = sizes.get(segment.version, 0) + segment_bytes(segment)
            statuses += [KeptStatus(store=store, version=key, bytes=size) for key, size in sizes.items()]
        return statuses
