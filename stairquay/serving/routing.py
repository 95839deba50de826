"""The router's part of a box: decides for other boxes where prompts run, and passes its views on.

It runs on every box and serves only while the box is among the routers. What it counts and answers concerns
speed alone: each box checks keys, endpoints and versions itself before it sends anything.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

import grpc

from stairquay.adapters.clock import monotonic
from stairquay.core.call import Part, PromptShape
from stairquay.core.catalog import WorkspacePolicy
from stairquay.core.fleet import Endpoint
from stairquay.core.holdings import PartKey
from stairquay.core.placement import prefill_s
from stairquay.core.routers import Engine, engines_of
from stairquay.serving.choosing import Choice, Wanted
from stairquay.serving.cold import cold_for_s
from stairquay.serving.crash_rows import STALE_S
from stairquay.serving.decisions import Decision
from stairquay.serving.endpoint import FULL_PAUSE_S, EndpointState
from stairquay.serving.links import Answers, serve
from stairquay.serving.messages import (
    CrashesTold,
    CrashTold,
    Ended,
    EndpointsReply,
    EndpointsRequest,
    FinishedNotice,
    Nothing,
    OperatorsReply,
    OperatorsRequest,
    Outcome,
    PlaceReply,
    PlaceRequest,
    ViewsReply,
    ViewsRequest,
)
from stairquay.serving.pacing import come_back_s, count_sent, take_back
from stairquay.serving.ports import EndpointChanges, OperatorChanges
from stairquay.serving.saving import choose_and_save
from stairquay.serving.state import BoxState
from stairquay.serving.telling import statement_told, take_told, told_statements

REVIEW_S = 0.25
"""Seconds between two looks at whether this box is a router, and of which engines."""

PLACED_S = 20.0
"""Seconds after which a placed prompt counts as ended without a notice: above the usual time limits
of routes, for boxes that ended before they could tell."""

READ_AGAIN_S = 0.05
"""Seconds after which a sender asks again whether a part has been read that its prompt needs."""

READING_S = 1.0
"""Seconds for which an engine is believed to be reading a prompt: later, something has gone wrong with it."""

WORTH_WAITING_TOKENS = 2_000
"""Fewest tokens being read for another prompt that a prompt waits for."""


@dataclass(frozen=True)
class Placed:
    """A prompt placed on an endpoint: when, how long the endpoint reads it, and how many tokens it holds.

    held: what is believed of the endpoint's life that got it. shared: the parts that other prompts may share,
    with their tokens; the endpoint's address will keep them. paced: it was counted as one of the few that the
    endpoint takes, as its router.
    """

    at: float
    held: EndpointState
    reading_s: float
    tokens: int
    address: str = ""
    shared: tuple[tuple[PartKey, int], ...] = ()
    paced: bool = False


class RouterPart:
    """Serves other boxes while this box is a router."""

    def __init__(self, state: BoxState, random: Random) -> None:
        self.state = state
        self.random = random
        self.placed_by_ticket: dict[str, Placed] = {}
        self.reader_by_key: dict[PartKey, str] = {}
        self.server: grpc.aio.Server | None = None

    async def run(self) -> None:
        """Serve as long as this box is a router, until cancelled."""
        try:
            while True:
                await self._review()
                if self.state.routes or self.server is not None or self.placed_by_ticket:
                    await asyncio.sleep(REVIEW_S)
                else:
                    await self.state.changed.until(lambda: self.state.routes)
        finally:
            await self._close()

    def place(self, asked: PlaceRequest) -> PlaceReply:
        """Choose an engine for a prompt, and count it there until the box that asked says that it ended."""
        now = monotonic()
        take_told(self.state, asked.said, now)
        rests_s = {item.endpoint: item.rest_s for item in asked.said if item.rest_s > 0}
        choice = self._choose(asked, rests_s)
        if choice is None or choice.placement is None:
            soonest_s = come_back_s(self.state, asked.service, asked.tried, rests_s, now, self.random)
            return PlaceReply(come_back_s=soonest_s or 0.0)
        said = statement_told(choice.endpoint, self.state.of(choice.endpoint), now)
        given_up = asked.most_backlog_s is not None and choice.backlog_s > asked.most_backlog_s
        if not given_up and asked.may_wait and self._read_soon(choice, asked):
            return PlaceReply(endpoint=choice.endpoint.id, version=choice.version, again_s=READ_AGAIN_S)
        if not given_up:
            self._count(asked, choice)
        placement = choice.placement
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
        )

    def was_read(self, ticket: str) -> None:
        """Take in that an engine has read a prompt, and so keeps its parts."""
        placed = self.placed_by_ticket.get(ticket)
        if placed is None:
            return
        self._forget_reader(ticket, placed)
        for (scope, part), tokens in placed.shared:
            self.state.holdings.expect(placed.address, scope, part, tokens)

    def _read_soon(self, choice: Choice, asked: PlaceRequest) -> bool:
        """Tell whether much of what a prompt would have to read is being read for another one."""
        placement = choice.placement
        assert placement is not None
        now = monotonic()
        soon = 0
        for index, part in enumerate(asked.parts[:-1]):
            if placement.engine.resident[index] >= part.tokens or placement.fetch_from[index]:
                continue
            reader = self.placed_by_ticket.get(self.reader_by_key.get((choice.scope, part.id), ""))
            if reader is not None and now - reader.at < READING_S:
                soon += part.tokens
        return soon >= WORTH_WAITING_TOKENS

    def _forget_reader(self, ticket: str, placed: Placed) -> None:
        for key, _ in placed.shared:
            if self.reader_by_key.get(key) == ticket:
                del self.reader_by_key[key]

    def finished(self, ended: Ended) -> None:
        """Take in that a prompt has left its engine, and how."""
        placed = self.placed_by_ticket.pop(ended.ticket, None)
        if placed is not None:
            self._forget_reader(ended.ticket, placed)
        if placed is None:
            return
        held, now = placed.held, monotonic()
        held.in_flight = max(0, held.in_flight - 1)
        if ended.outcome in (Outcome.NOT_SENT, Outcome.TURNED_AWAY, Outcome.UNREACHED):
            held.take_back(placed.reading_s, placed.tokens, placed.at)
            if placed.paced and ended.outcome != Outcome.TURNED_AWAY:
                take_back(held)
        if ended.outcome == Outcome.TURNED_AWAY:
            held.refused_until = now + FULL_PAUSE_S
        if ended.outcome == Outcome.UNREACHED:
            held.doubted_at = now
        if ended.outcome in (Outcome.DONE, Outcome.FAILED, Outcome.UNREACHED):
            held.on_outcome(ended.outcome != Outcome.DONE, now)

    def _choose(self, asked: PlaceRequest, rests_s: dict[str, float]) -> Choice | None:
        catalog = self.state.catalog
        service = None if catalog is None else catalog.services_by_id.get(asked.service)
        if catalog is None or service is None:
            return None
        parts = tuple(Part(part.id, part.tokens) for part in asked.parts)
        prompt = PromptShape(asked.model, parts, asked.tokens, asked.max_output)
        wall = WorkspacePolicy(asked.wall, isolated=True) if asked.wall else None
        wanted = Wanted(service, prompt, wall, frozenset(asked.tried), asked.box, rests_s)
        return choose_and_save(self.state, catalog, wanted, self.random)

    def _count(self, asked: PlaceRequest, choice: Choice) -> None:
        now = monotonic()
        placement = choice.placement
        assert placement is not None
        self.finished(Ended(asked.ticket, Outcome.NOT_SENT))
        reading_s = prefill_s(placement.read, asked.tokens)
        address = choice.endpoint.address
        shared = tuple(((choice.scope, part.id), part.tokens) for part in asked.parts[:-1])
        held = self.state.of(choice.endpoint)
        paced = count_sent(self.state, choice.endpoint, now, self.random)
        placed = Placed(now, held, reading_s, asked.tokens, address, shared, paced)
        self.placed_by_ticket[asked.ticket] = placed
        for key, _ in shared:
            self.reader_by_key.setdefault(key, asked.ticket)
        held.in_flight += 1
        held.on_placed(placed.reading_s, now)
        # Kept parts count, too: while the prompt runs they cannot give way to others.
        held.on_sent(asked.tokens, now)

    async def _review(self) -> None:
        state = self.state
        mine = state.routes
        if mine and self.server is None and not state.stopping:
            await self._open()
        if self.server is not None and (not mine or state.stopping):
            await self._close()
        state.routed_engines = self._engines() if mine else frozenset()
        self._expire(monotonic())

    def _engines(self) -> frozenset[str]:
        """Return the engines that this router routes for: those of suspected routers are shared out.

        Those of evacuated data halls get nothing. The routers that had them go on watching them, so that what
        they keep is known when their hall returns.
        """
        catalog, state = self.state.catalog, self.state
        if catalog is None:
            return frozenset()
        engines = [
            Engine(item.id, item.data_hall)
            for item in state.fleet.by_id.values()
            if catalog.engine_of(item.service) is not None and not item.leaving
        ]
        staying = [item for item in engines if item.data_hall not in state.evacuated]
        away = [item for item in engines if item.data_hall in state.evacuated]
        own = state.settings.id
        return engines_of(own, staying, state.placing_routers()) | engines_of(own, away, state.live_routers())

    def _expire(self, now: float) -> None:
        """Stop counting prompts that nobody said a word about for long."""
        for ticket, placed in list(self.placed_by_ticket.items()):
            if now - placed.at < PLACED_S:
                break
            self.finished(Ended(ticket))

    async def _open(self) -> None:
        address = self.state.settings.peer_address
        answers = Answers(
            self._on_place, self._on_finished, self._on_operators, self._on_endpoints, self._on_views
        )
        try:
            self.server = await serve(address, answers)
        except OSError as error:
            self.state.log.line(Decision.ROUTER, outcome="cannot_serve", address=address, detail=str(error))
            return
        self.state.log.line(Decision.ROUTER, outcome="serving", address=address, boxes=len(self.state.boxes))

    async def _close(self) -> None:
        if self.server is None:
            return
        server, self.server = self.server, None
        await server.stop(grace=None)
        self.state.log.line(Decision.ROUTER, outcome="closed")

    async def _on_place(self, asked: PlaceRequest) -> PlaceReply:
        return self.place(asked)

    async def _on_finished(self, notice: FinishedNotice) -> Nothing:
        take_told(self.state, notice.said, monotonic())
        for ticket in notice.read:
            self.was_read(ticket)
        for ended in notice.ended:
            self.finished(ended)
        return Nothing()

    async def _on_operators(self, asked: OperatorsRequest) -> OperatorsReply:
        began_at = monotonic()
        take_told(self.state, asked.said, began_at)
        await self._hold(lambda: self._operators_last_s(asked), asked.wait_s)
        return self._operators_reply(asked, began_at)

    async def _on_endpoints(self, asked: EndpointsRequest) -> EndpointsReply:
        await self._hold(lambda: self._endpoints_last_s(asked), asked.wait_s)
        return self._endpoints_reply(asked)

    async def _on_views(self, asked: ViewsRequest) -> ViewsReply:
        began_at = monotonic()
        take_told(self.state, asked.operators.said, began_at)

        def last_s() -> float:
            return min(self._operators_last_s(asked.operators), self._endpoints_last_s(asked.endpoints))

        await self._hold(last_s, min(asked.operators.wait_s, asked.endpoints.wait_s))
        operators = self._operators_reply(asked.operators, began_at)
        return ViewsReply(operators, self._endpoints_reply(asked.endpoints))

    def _operators_last_s(self, asked: OperatorsRequest) -> float:
        """Return the seconds for which nothing new can be said, as far as is known now."""
        state = self.state
        return 0.0 if state.operators_changed > asked.after else state.view_lasts_s(state.view_age())

    def _endpoints_last_s(self, asked: EndpointsRequest) -> float:
        """Return the same for the list of endpoints."""
        state = self.state
        return 0.0 if state.list_changed > asked.after else state.list_lasts_s(state.list_age())

    def _operators_reply(self, asked: OperatorsRequest, began_at: float) -> OperatorsReply:
        state = self.state
        revision = state.operators_revision
        if state.operators_changed > asked.after:
            named, evacuated = dict(state.named_by_model), tuple(sorted(state.evacuated))
            changes = OperatorChanges(revision, True, state.catalog, "", named, evacuated=evacuated)
        else:
            changes = OperatorChanges(revision, False)
        changed, crashes = self._crashes(asked.crashes_known)
        now = monotonic()
        said = told_statements(state, now, frozenset(item.endpoint for item in asked.said))
        return OperatorsReply(changes, state.view_age(), now - began_at, changed, crashes, said)

    def _crashes(self, known: int) -> tuple[int, CrashesTold | None]:
        """Return the revision at which boxes' rows about crashes last changed, and what they tell where that
        is news to the one that asks."""
        quarantine, now = self.state.quarantine, monotonic()
        if quarantine.rows_revision < 0 or now - quarantine.rows_asked_at > STALE_S:
            return -1, None
        if quarantine.rows_changed == known:
            return known, None
        told = quarantine.to_pass_on()
        crashes = tuple(
            CrashTold(crash.digest, crash.incarnation, now - crash.at, crash.ran_s, crash.events)
            for crash in told.crashes
        )
        cleared = tuple((digest, now - at) for digest, at in told.cleared.items())
        return quarantine.rows_changed, CrashesTold(crashes, cleared)

    def _endpoints_reply(self, asked: EndpointsRequest) -> EndpointsReply:
        state = self.state
        if state.list_changed > asked.after:
            changes = EndpointChanges(state.list_revision, True, self._listed())
        else:
            changes = EndpointChanges(state.list_revision, False)
        return EndpointsReply(changes, state.list_age())

    def _listed(self) -> tuple[Endpoint, ...]:
        """Return the list of endpoints, with the time for which cold ones are cold from now on."""
        now = monotonic()

        def as_of_now(endpoint: Endpoint) -> Endpoint:
            if not endpoint.cold:
                return endpoint
            return replace(endpoint, cold_s=cold_for_s(self.state, endpoint, now))

        return tuple(as_of_now(item) for item in self.state.fleet.live())

    async def _hold(self, lasts_s: Callable[[], float], limit_s: float) -> None:
        """Hold a question as long as the answer lasts that it would get now, at most so long."""
        end = monotonic() + limit_s
        while (left_s := min(lasts_s(), end - monotonic())) > 0:
            await self.state.changed.wait(left_s)
