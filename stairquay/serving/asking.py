"""Chooses the endpoint of each prompt by asking one of the boxes that route for all.

A router that does not answer in time is not asked for a while, and the next one is. Where none answers, the
box decides by itself: between two engines drawn by chance, since its own view of them is poor.
"""

import asyncio
from random import Random

from msgspec import structs

from stairquay.adapters.clock import monotonic
from stairquay.core.call import PromptShape
from stairquay.core.catalog import WorkspacePolicy
from stairquay.core.fleet import Endpoint
from stairquay.core.limits import UNLIMITED
from stairquay.core.placement import EngineView, Placement
from stairquay.core.routers import Member, routers_for
from stairquay.serving.choosing import Choice, Wanted
from stairquay.serving.decisions import Decision
from stairquay.serving.evacuation import takes_work
from stairquay.serving.jobs import Job, Progress
from stairquay.serving.links import Links
from stairquay.serving.messages import Ended, Outcome, PartShape, PlaceReply, PlaceRequest
from stairquay.serving.notices import Notices
from stairquay.serving.pacing import come_back_s, count_sent
from stairquay.serving.routing import RouterPart
from stairquay.serving.saving import choose_and_save
from stairquay.serving.state import BoxState
from stairquay.serving.statements import limit_of, rests_of
from stairquay.serving.telling import take_told, told_rests, told_statements

ASK_S = 0.08
"""Seconds for a router's answer: a way of 2 ms and 2 ms of a slow box's time, with room for a burst; a
third of the shortest objective for a first token is 100 ms."""

ROUTERS_ASKED = 2
"""Routers asked for one prompt before the box decides by itself."""

WAIT_SHARE = 0.35
"""Share of the objective up to which a prompt waits for a part that an engine is reading for another one. It
then reads its own part alone, and begins no later than if it had read all of it beside the other one. Worth
0.014 of the payoff owed at high load (error 0.008, 12 paired runs): a sixth less is read again."""

SPILL_AT = 0.1
"""Backlog, in objectives, from which a second router is asked: its data hall may be less busy."""


class Chooser:
    """Chooses the endpoint of each request: by itself, or by asking a router."""

    def __init__(
        self, state: BoxState, links: Links, part: RouterPart, notices: Notices, random: Random
    ) -> None:
        self.state = state
        self.links = links
        self.part = part
        self.notices = notices
        self.random = random

    async def choose(self, job: Job, progress: Progress, most_backlog_s: float | None) -> Choice | None:
        """Return where a job goes, None where no endpoint can take it.

        most_backlog_s: a longer wait than that makes the sender give it up; None where it does not.
        """
        prompt = job.call.prompt
        if prompt is None or job.service.engine is None:
            return self._choose_here(job, progress)
        wait_until = job.arrived_at + job.route.objective_s * WAIT_SHARE
        waits = False
        while True:
            may_wait = not progress.tried and monotonic() < wait_until
            asked = self._question(job, prompt, progress, most_backlog_s, may_wait)
            best = await self._ask_routers(job, prompt, asked, progress)
            if best is None:
                return self._choose_here(job, progress)
            if not best.again_s:
                return best
            if not waits:
                waits = True
                self._log_wait(job, best, wait_until)
            await asyncio.sleep(best.again_s)

    def _log_wait(self, job: Job, choice: Choice, wait_until: float) -> None:
        most_s = wait_until - monotonic()
        why = "its parts are being read for another prompt"
        self.state.log.line(
            Decision.WAITS, job.call.id, router=choice.router, why=why, again_s=choice.again_s, most_s=most_s
        )

    async def _ask_routers(
        self, job: Job, prompt: PromptShape, asked: PlaceRequest, progress: Progress
    ) -> Choice | None:
        best: Choice | None = None
        progress.come_back_s = None
        for router in routers_for(self.state.member, self.state.placing_routers())[:ROUTERS_ASKED]:
            choice = await self._place(router, asked, prompt, progress)
            best = self._better(best, choice)
            if best is not None and best.backlog_s <= SPILL_AT * job.route.objective_s:
                return best
        return best

    def was_read(self, choice: Choice) -> None:
        """Take in that an engine has read a prompt: its answer begins."""
        router = next((item for item in self.state.routers if item.id == choice.router), None)
        if router is not None:
            self.notices.add_read(router, choice.ticket)

    def finished(self, choice: Choice, outcome: Outcome = Outcome.DONE) -> None:
        """Take in that a request has left the endpoint it was placed on, and how."""
        router = next((item for item in self.state.routers if item.id == choice.router), None)
        if router is not None:
            self.notices.add(router, Ended(choice.ticket, outcome))

    async def _place(
        self, router: Member, asked: PlaceRequest, prompt: PromptShape, progress: Progress
    ) -> Choice | None:
        """Return a router's choice, None where there is none that this box may use."""
        try:
            reply = await self._ask_knowing(router, asked)
        except asyncio.CancelledError:
            # The caller left meanwhile.
            self.notices.add(router, Ended(asked.ticket, Outcome.NOT_SENT))
            raise
        if reply is None:
            return None
        if not reply.endpoint:
            if reply.come_back_s > 0:
                progress.come_back_s = min(reply.come_back_s, progress.come_back_s or reply.come_back_s)
            return None
        endpoint = self._usable(reply, prompt)
        if endpoint is None:
            self.notices.add(router, Ended(asked.ticket, Outcome.NOT_SENT))
            return None
        return _choice(endpoint, reply, router.id, asked.ticket)

    def _better(self, first: Choice | None, second: Choice | None) -> Choice | None:
        """Return the choice with the shorter wait, and give up the other."""
        if first is None or second is None:
            return first or second
        better, worse = (first, second) if first.backlog_s <= second.backlog_s else (second, first)
        self.finished(worse, Outcome.NOT_SENT)
        return better

    async def _ask_knowing(self, router: Member, asked: PlaceRequest) -> PlaceReply | None:
        """Ask a router, and once more where it did not know what an endpoint had said to this box: only one
        that knows of a limit counts what it places there, also right after it started or took it over."""
        reply = await self._ask(router, asked)
        if reply is None or not self._unaware(reply):
            return reply
        told = told_statements(self.state, monotonic(), frozenset((reply.endpoint,)))
        reply = await self._ask(router, structs.replace(asked, said=told))
        if reply is not None and (not reply.endpoint or self._unaware(reply)):
            # What it placed at first is not sent.
            self.notices.add(router, Ended(asked.ticket, Outcome.NOT_SENT))
            return PlaceReply(come_back_s=reply.come_back_s)
        return reply

    def _unaware(self, reply: PlaceReply) -> bool:
        """Tell whether a router chose an endpoint without knowing what it said to this box: a limit, that it
        leaves, or that it wants rest."""
        state, now = self.state, monotonic()
        if reply.said is not None:
            take_told(state, (reply.said,), now)
        if reply.again_s or not reply.endpoint:
            return False
        endpoint = state.fleet.by_id.get(reply.endpoint)
        if endpoint is None:
            return reply.endpoint in state.fleet.leaving_by_id
        by_router = UNLIMITED if reply.said is None else reply.said.per_s
        if limit_of(state.of(endpoint)) < by_router or state.fleet.is_leaving(endpoint):
            return True
        return endpoint.id in rests_of(state, now)

    async def _ask(self, router: Member, asked: PlaceRequest) -> PlaceReply | None:
        if router.id == self.state.settings.id:
            return self.part.place(asked)
        answer = await self.links.to(router).place(asked, ASK_S)
        reply = self.links.heard(router, answer, "where a prompt runs")
        if reply is None:
            # It may have placed the prompt all the same.
            self.notices.add(router, Ended(asked.ticket, Outcome.NOT_SENT))
        return reply

    def _usable(self, reply: PlaceReply, prompt: PromptShape) -> Endpoint | None:
        """Return the endpoint that a router chose, None where this box knows that it must not be used."""
        usable = self.state.fleet.by_id.get(reply.endpoint)
        if usable is None or usable.id in self.state.fleet.missing_since_by_id:
            return None
        if not takes_work(self.state, usable):
            return None
        too_old = self.state.too_old(prompt.model, reply.version or 0, reply.first_token_s)
        return None if too_old else usable

    def _choose_here(self, job: Job, progress: Progress) -> Choice | None:
        tried, rests_s = frozenset(progress.tried), rests_of(self.state, monotonic())
        wanted = Wanted(job.service, job.call.prompt, job.workspace, tried, rests_s=rests_s)
        choice = choose_and_save(self.state, job.catalog, wanted, self.random)
        if choice is not None:
            count_sent(self.state, choice.endpoint, monotonic(), self.random)
        return choice

    def come_back_s(self, job: Job, progress: Progress) -> float | None:
        """Return the seconds after which an endpoint takes a job that none takes now, as a router says, or
        this box where none was asked; None where none is held back for having got what it takes, or for
        wanting rest."""
        if progress.come_back_s is not None:
            return progress.come_back_s
        now = monotonic()
        rests_s = rests_of(self.state, now)
        return come_back_s(self.state, job.service.id, progress.tried, rests_s, now, self.random)

    def all_rest_s(self, job: Job) -> float | None:
        """Return the seconds after which the caller of a job should come back that is refused while all
        endpoints want rest from this box, those included that turned it away; None where one does not."""
        state, now = self.state, monotonic()
        rests_s = rests_of(state, now)
        usable = [item for item in state.fleet.usable(job.service.id, now) if takes_work(state, item)]
        if not usable or any(item.id not in rests_s for item in usable):
            return None
        return come_back_s(state, job.service.id, (), rests_s, now, self.random)

    def _question(
        self,
        job: Job,
        prompt: PromptShape,
        progress: Progress,
        most_backlog_s: float | None,
        may_wait: bool,
    ) -> PlaceRequest:
        workspace: WorkspacePolicy | None = job.workspace
        return PlaceRequest(
            ticket=f"{job.call.id} {len(progress.tried)}",
            box=self.state.settings.id,
            service=job.service.id,
            model=prompt.model,
            parts=tuple(PartShape(part.id, part.tokens) for part in prompt.parts),
            tokens=prompt.tokens,
            max_output=prompt.max_output,
            wall=workspace.id if workspace is not None and workspace.isolated else "",
            tried=tuple(progress.tried),
            most_backlog_s=most_backlog_s,
            may_wait=may_wait,
            said=told_rests(self.state, monotonic()),
        )


def _choice(endpoint: Endpoint, reply: PlaceReply, router: str, ticket: str) -> Choice:
    engine = EngineView(id=endpoint.id, address=endpoint.address, resident=())
    placement = Placement(
        engine, reply.fetch_from, reply.reused, reply.fetched, reply.read, reply.first_token_s
    )
    return Choice(
        endpoint=endpoint,
        version=reply.version,
        scope=reply.scope,
        placement=placement,
        alternative_s=reply.alternative_s,
        backlog_s=reply.backlog_s,
        fetch_until_ms=reply.fetch_until_ms,
        save_to=reply.save_to,
        router=router,
        ticket=ticket,
        again_s=reply.again_s,
    )
