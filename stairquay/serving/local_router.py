"""Places prompts for other boxes and forwards them its views of the platform, while this box is a router.

Its answers affect latency only: the sending box checks keys, endpoints and versions itself.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from os import urandom
from random import Random

import grpc
from msgspec import structs

from stairquay.adapters.clock import monotonic
from stairquay.core.call import Part, PromptShape
from stairquay.core.catalog import LOWEST_PRIORITY, EngineSpec, WorkspacePolicy
from stairquay.core.connection_limits import max_peer_connections
from stairquay.core.holdings import PartKey
from stairquay.core.memory import SharedParts
from stairquay.core.prompt_queue import Admitted, Deferred, Rejected
from stairquay.core.routers import Engine, engines_of
from stairquay.serving.brittleness import record_rejection
from stairquay.serving.crash_reports import apply_notice, reply_to_notice
from stairquay.serving.endpoint import BUSY_BACKOFF_S, EndpointState
from stairquay.serving.endpoint_choice import Choice, ChoiceRequest, HasRoom
from stairquay.serving.engine_accounts import EngineAccounts
from stairquay.serving.engine_speeds import EngineSpeeds
from stairquay.serving.event_log import LogEvent
from stairquay.serving.links import RouterHandlers, serve, serve_origins
from stairquay.serving.messages import (
    EndedAttempt,
    EndpointsReply,
    EndpointsRequest,
    FinishedNotice,
    NoticeReply,
    OperatorsReply,
    OperatorsRequest,
    OriginReply,
    OriginRequest,
    Outcome,
    PlaceReply,
    PlaceRequest,
    ViewsReply,
    ViewsRequest,
)
from stairquay.serving.new_lists import NewLists
from stairquay.serving.origin_replies import (
    asks_all_boxes,
    new_origin_reply,
    origin_reply,
    record_told_streams,
)
from stairquay.serving.pacing import count_sent, refund_sent, retry_after_s
from stairquay.serving.router_admission import RouterAdmission, reply_without_room, shared_parts
from stairquay.serving.saving import choose_with_save_targets
from stairquay.serving.state import BoxState
from stairquay.serving.takeover import takes_over
from stairquay.serving.telling import apply_peer_feedback, limit_feedback
from stairquay.serving.view_replies import endpoints_reply, operators_reply

ROLE_CHECK_INTERVAL_S = 0.25
"""Seconds between two updates of this box's role and its share of the engines."""

PLACEMENT_TTL_S = 20.0
"""Seconds after which a placed prompt counts as ended although its box sent no notice. Longer than the usual
time limits of routes."""

PREFILL_POLL_S = 0.05
"""Seconds after which a sender asks again while a part that its prompt shares is being prefilled."""

PREFILL_TIMEOUT_S = 1.0
"""Seconds after which an unfinished prefill is no longer waited for."""

MIN_SHARED_PREFILL_TOKENS = 2_000
"""Fewest tokens in prefill for other prompts that are worth waiting for."""


class Role(Enum):
    """What a box serves other boxes as."""

    NONE = "none"
    ROUTER = "router"
    ORIGINS = "origins"
    """It tells where streams began."""


@dataclass(frozen=True)
class PlacedPrompt:
    """A prompt placed on an endpoint.

    at: when, in monotonic seconds. shared_parts: parts that other prompts may reuse, with their tokens.
    rate_limited: it was counted against the endpoint's rate limit. engine: the endpoint's id. waited_s: of
    the request to place it.
    """

    at: float
    endpoint_state: EndpointState
    expected_prefill_s: float
    tokens: int
    address: str = ""
    shared_parts: SharedParts = ()
    rate_limited: bool = False
    engine: str = ""
    service: str = ""
    priority: int = LOWEST_PRIORITY
    waited_s: float = 0.0


class LocalRouter:
    """Places prompts and serves views while this box is a router."""

    def __init__(self, state: BoxState, random: Random, new_lists: NewLists | None = None) -> None:
        self.state = state
        self.new_lists = new_lists
        self.random = random
        self.placed_by_ticket: dict[str, PlacedPrompt] = {}
        self.prefill_ticket_by_key: dict[PartKey, str] = {}
        self.accounts = EngineAccounts(state)
        self.admission = RouterAdmission(state, self.accounts)
        self.server: grpc.aio.Server | None = None
        self.role = Role.NONE
        self.speeds = EngineSpeeds(state)
        self.started = urandom(4).hex()

    async def run(self) -> None:
        """Serve whenever this box is a router, until cancelled."""
        try:
            while True:
                await self._update_role()
                changes_role = self._wanted_role() != self.role
                if self.state.is_router or changes_role or self.placed_by_ticket:
                    await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
                else:
                    await self.state.changed.wait_for(lambda: self._wanted_role() != self.role)
        finally:
            await self._close()

    def place(self, request: PlaceRequest) -> PlaceReply:
        """Choose an engine for a prompt, and count it there until the sender reports its end."""
        now = monotonic()
        apply_peer_feedback(self.state, request.said, now)
        backoffs_s = {item.endpoint: item.rest_s for item in request.said if item.rest_s > 0}
        decision, waiting_choice = self.admission.decide_again(request, now)
        if waiting_choice is not None and isinstance(decision, Rejected | Deferred):
            return reply_without_room(decision, waiting_choice)
        admitted = decision.engine if isinstance(decision, Admitted) else ""
        choice = self._choose(request, backoffs_s, admitted)
        if choice is None or choice.placement is None:
            earliest_retry_s = retry_after_s(
                self.state, request.service, request.tried, backoffs_s, now, self.random
            )
            return PlaceReply(come_back_s=earliest_retry_s or 0.0)
        decided = request.objective_left_s is not None
        if not admitted:
            decision = self.admission.decide(request, choice, now)
        if isinstance(decision, Rejected | Deferred):
            return reply_without_room(decision, choice)
        if not admitted and isinstance(decision, Admitted) and decision.engine != choice.endpoint.id:
            choice = self._choose(request, backoffs_s, decision.engine) or choice
        full = self.admission.reject_without_room(request, choice, now)
        if full is not None:
            return reply_without_room(full, choice)
        endpoint_state = self.state.endpoint_state(choice.endpoint)
        said = limit_feedback(choice.endpoint, endpoint_state, now)
        most_backlog_s = None if decided else request.most_backlog_s
        rejected = most_backlog_s is not None and choice.backlog_s > most_backlog_s
        if not rejected and request.may_wait and self._awaits_shared_prefill(choice, request):
            return PlaceReply(endpoint=choice.endpoint.id, version=choice.version, again_s=PREFILL_POLL_S)
        if not rejected:
            self._record_placement(request, choice)
        placement = choice.placement
        assert placement is not None
        return PlaceReply(
            endpoint=choice.endpoint.id,
            version=choice.version,
            scope=choice.scope,
            fetch_from=placement.fetch_from,
            save_to=choice.save_to,
            fetch_until_ms=choice.fetch_until_ms,
            reused=placement.reused,
            fetched=placement.fetched,
            read=placement.read,
            first_token_s=placement.first_token_s,
            alternative_s=choice.alternative_s,
            backlog_s=choice.backlog_s,
            said=said,
            decided=decided,
            born=endpoint_state.born,
        )

    def prefill_finished(self, ticket: str) -> None:
        """Expect the shared parts of a prompt in its engine's cache from now on."""
        placed = self.placed_by_ticket.get(ticket)
        if placed is None:
            return
        self._forget_prefill(ticket, placed)
        for (scope, part), tokens in placed.shared_parts:
            self.state.holdings.expect(placed.address, scope, part, tokens)

    def _awaits_shared_prefill(self, choice: Choice, request: PlaceRequest) -> bool:
        """Return whether other prompts' prefills will soon provide enough of this prompt's parts."""
        placement = choice.placement
        assert placement is not None
        now = monotonic()
        shared_tokens = 0
        for index, part in enumerate(request.parts[:-1]):
            if placement.engine.resident[index] >= part.tokens or placement.fetch_from[index]:
                continue
            prefilling = self.placed_by_ticket.get(
                self.prefill_ticket_by_key.get((choice.scope, part.id), "")
            )
            if prefilling is not None and now - prefilling.at < PREFILL_TIMEOUT_S:
                shared_tokens += part.tokens
        return shared_tokens >= MIN_SHARED_PREFILL_TOKENS

    def _forget_prefill(self, ticket: str, placed: PlacedPrompt) -> None:
        for key, _ in placed.shared_parts:
            if self.prefill_ticket_by_key.get(key) == ticket:
                del self.prefill_ticket_by_key[key]

    def finished(self, ended: EndedAttempt) -> None:
        """Stop counting a prompt on its engine, and record the outcome."""
        placed = self.placed_by_ticket.get(ended.ticket)
        if placed is not None and placed.waited_s > ended.waited_s:
            return
        self.speeds.forget(ended.ticket)
        if placed is None:
            self.admission.leave(ended.ticket)
            return
        del self.placed_by_ticket[ended.ticket]
        self._forget_prefill(ended.ticket, placed)
        endpoint_state, now = placed.endpoint_state, monotonic()
        kind = placed.service, placed.priority
        self.accounts.end(ended.ticket, placed.engine, kind, ended.outcome == Outcome.DONE, now)
        endpoint_state.in_flight = max(0, endpoint_state.in_flight - 1)
        if ended.outcome in (Outcome.NOT_SENT, Outcome.TURNED_AWAY, Outcome.UNREACHED):
            endpoint_state.revert_placed(placed.expected_prefill_s, placed.tokens, placed.at)
            if placed.rate_limited and ended.outcome != Outcome.TURNED_AWAY:
                refund_sent(endpoint_state)
        if ended.outcome == Outcome.TURNED_AWAY:
            endpoint_state.refused_until = now + BUSY_BACKOFF_S
            endpoint = self.state.fleet.by_id.get(placed.engine)
            if endpoint is not None:
                record_rejection(self.state, endpoint, endpoint_state, now)
        if ended.outcome == Outcome.DONE:
            endpoint_state.rejections = 0
        if ended.outcome == Outcome.UNREACHED:
            endpoint_state.unreachable_at = now
        if ended.outcome in (Outcome.DONE, Outcome.FAILED, Outcome.UNREACHED):
            endpoint_state.on_outcome(ended.outcome != Outcome.DONE, now)

    def _choose(
        self, request: PlaceRequest, backoffs_s: dict[str, float], preferred: str = ""
    ) -> Choice | None:
        """Return the best engine for a prompt. preferred: the one to use if it is usable at all."""
        catalog = self.state.catalog
        service = None if catalog is None else catalog.services_by_id.get(request.service)
        if catalog is None or service is None:
            return None
        parts = tuple(Part(part.id, part.tokens) for part in request.parts)
        prompt = PromptShape(request.model, parts, request.tokens, request.max_output)
        workspace = WorkspacePolicy(request.wall, isolated=True) if request.wall else None
        wanted = ChoiceRequest(
            service,
            prompt,
            workspace,
            frozenset(request.tried),
            request.box,
            backoffs_s,
            None if service.engine is None else self._room_test(request, service.engine, preferred),
        )
        return choose_with_save_targets(self.state, catalog, wanted, self.random)

    def _room_test(self, request: PlaceRequest, spec: EngineSpec, preferred: str) -> HasRoom:
        if preferred:
            return lambda engine: engine.id == preferred
        tokens, now = request.tokens + request.max_output, monotonic()
        return lambda engine: self.accounts.has_room(engine.id, tokens - engine.tokens_in_use, spec, now)

    def _record_placement(self, request: PlaceRequest, choice: Choice) -> None:
        now = monotonic()
        placement = choice.placement
        assert placement is not None
        self.finished(EndedAttempt(request.ticket, Outcome.NOT_SENT))
        address = choice.endpoint.address
        parts = shared_parts(request, choice.scope)
        endpoint_state = self.state.endpoint_state(choice.endpoint)
        rate_limited = count_sent(self.state, choice.endpoint, now, self.random)
        expected_s = self.speeds.expect(request.ticket, choice.endpoint, placement, request.tokens, now)
        placed = PlacedPrompt(
            now,
            endpoint_state,
            expected_s,
            request.tokens,
            address,
            parts,
            rate_limited,
            choice.endpoint.id,
            request.service,
            request.priority,
            request.waited_s,
        )
        self.accounts.place(request, parts, choice.endpoint, now)
        self.placed_by_ticket[request.ticket] = placed
        if placement.read > request.tokens - sum(tokens for _, tokens in parts):
            for key, _ in parts:
                self.prefill_ticket_by_key.setdefault(key, request.ticket)
        endpoint_state.in_flight += 1
        endpoint_state.on_placed(placed.expected_prefill_s, now)
        # Cached parts count as well, since they can't be evicted while the prompt runs.
        endpoint_state.on_sent(request.tokens, now)

    async def _update_role(self) -> None:
        state = self.state
        is_router = state.is_router
        role = self._wanted_role()
        if role != self.role:
            await self._close()
            await self._open(role)
        state.routed_engines = self._engines() if is_router else frozenset()
        self._expire(monotonic())
        self.accounts.update_handovers(monotonic())
        if takes_over(state, monotonic()):
            # Wakes the probes of routers whose engines this one takes over.
            state.changed.notify_all()
        self.accounts.observe_metrics()
        self.speeds.update(monotonic())
        self.admission.observe_metrics(monotonic())

    def _engines(self) -> frozenset[str]:
        """Return the engines assigned to this router, with its share of those of suspected routers.

        Engines in evacuated data halls stay assigned, so that their caches are known when the hall returns.
        """
        catalog, state = self.state.catalog, self.state
        if catalog is None:
            return frozenset()
        engines = [
            Engine(item.id, item.data_hall)
            for item in state.fleet.by_id.values()
            if catalog.engine_of(item.service) is not None and not item.leaving
        ]
        active = [item for item in engines if item.data_hall not in state.evacuated]
        evacuated = [item for item in engines if item.data_hall in state.evacuated]
        own = state.settings.id
        return engines_of(own, active, state.placing_routers()) | engines_of(
            own, evacuated, state.live_routers()
        )

    def _expire(self, now: float) -> None:
        """Stop counting prompts whose time to live has passed."""
        for ticket, placed in list(self.placed_by_ticket.items()):
            if now - placed.at < PLACEMENT_TTL_S:
                break
            self.finished(EndedAttempt(ticket))

    def _wanted_role(self) -> Role:
        """Return what this box is to serve other boxes as."""
        if self.state.stopping:
            return Role.NONE
        if self.state.is_router:
            return Role.ROUTER
        answers = self.state.settings.peer_address and asks_all_boxes(self.state)
        return Role.ORIGINS if answers else Role.NONE

    async def _open(self, role: Role) -> None:
        """Serve other boxes in a role, which is tried again where the address is taken."""
        address = self.state.settings.peer_address
        if role == Role.NONE:
            return
        answers = RouterHandlers(
            self._on_place,
            self._on_finished,
            self._on_operators,
            self._on_endpoints,
            self._on_views,
            self._on_origin,
        )
        most = max_peer_connections(self.state.settings.max_descriptors)
        try:
            if role == Role.ROUTER:
                self.server = await serve(address, answers, most)
            else:
                self.server = await serve_origins(address, self._on_origin, most)
        except OSError as error:
            detail = str(error)
            self.state.log.line(LogEvent.ROUTER, outcome="cannot_serve", address=address, detail=detail)
            return
        self.role = role
        if role == Role.ROUTER:
            boxes = len(self.state.boxes)
            self.state.log.line(LogEvent.ROUTER, outcome="serving", address=address, boxes=boxes)

    async def _close(self) -> None:
        if self.server is None:
            return
        server, self.server = self.server, None
        role, self.role = self.role, Role.NONE
        await server.stop(grace=None)
        if role == Role.ROUTER:
            self.state.log.line(LogEvent.ROUTER, outcome="closed")

    async def _on_place(self, request: PlaceRequest) -> PlaceReply:
        reply, late_s = self.place(request), self.state.load.reported_late_s
        return reply if late_s == 0 else structs.replace(reply, late_s=late_s)

    async def _on_finished(self, notice: FinishedNotice) -> NoticeReply:
        apply_peer_feedback(self.state, notice.said, monotonic())
        for ticket in notice.read:
            self.prefill_finished(ticket)
        for sample in notice.speeds:
            self.speeds.observe(sample, monotonic())
        for ended in notice.ended:
            self.finished(ended)
        record_told_streams(self.state, notice.begun, monotonic())
        apply_notice(self.state, notice)
        return reply_to_notice(self.state, notice, self.started)

    async def _on_origin(self, request: OriginRequest) -> OriginReply:
        received_at = monotonic()
        if self.new_lists is None or not request.wants_new_list:
            return origin_reply(self.state, request, received_at)
        return await new_origin_reply(self.state, self.new_lists, request, received_at)

    async def _on_operators(self, request: OperatorsRequest) -> OperatorsReply:
        received_at = monotonic()
        apply_peer_feedback(self.state, request.said, received_at)
        await self._long_poll(lambda: self._operators_valid_for_s(request), request.wait_s)
        return self._operators_reply(request, received_at)

    async def _on_endpoints(self, request: EndpointsRequest) -> EndpointsReply:
        await self._long_poll(lambda: self._endpoints_valid_for_s(request), request.wait_s)
        return self._endpoints_reply(request)

    async def _on_views(self, request: ViewsRequest) -> ViewsReply:
        received_at = monotonic()
        apply_peer_feedback(self.state, request.operators.said, received_at)

        def valid_for_s() -> float:
            return min(
                self._operators_valid_for_s(request.operators), self._endpoints_valid_for_s(request.endpoints)
            )

        await self._long_poll(valid_for_s, min(request.operators.wait_s, request.endpoints.wait_s))
        operators = self._operators_reply(request.operators, received_at)
        return ViewsReply(operators, self._endpoints_reply(request.endpoints))

    def _operators_valid_for_s(self, request: OperatorsRequest) -> float:
        """Return the seconds until the view of operators' rows needs a new reply, 0 if it has changed."""
        state = self.state
        return (
            0.0
            if state.operators_changed_position > request.known_in(state.operators_position.era)
            else state.view_valid_for_s(state.view_age())
        )

    def _endpoints_valid_for_s(self, request: EndpointsRequest) -> float:
        """Return the seconds until the list of endpoints needs a new reply, 0 if it has changed."""
        state = self.state
        return (
            0.0
            if state.list_changed_position > request.known_in(state.list_position.era)
            else state.list_valid_for_s(state.list_age())
        )

    def _operators_reply(self, request: OperatorsRequest, received_at: float) -> OperatorsReply:
        return operators_reply(self.state, request, received_at)

    def _endpoints_reply(self, request: EndpointsRequest) -> EndpointsReply:
        return endpoints_reply(self.state, request)

    async def _long_poll(self, valid_for_s: Callable[[], float], limit_s: float) -> None:
        """Wait until the reply would differ or expire, at most `limit_s` seconds."""
        end = monotonic() + limit_s
        while (left_s := min(valid_for_s(), end - monotonic())) > 0:
            await self.state.changed.wait(left_s)
