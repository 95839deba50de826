"""Asks routers, where some boxes route for all: where a prompt runs, and what the table service says.

A router that does not answer in time is not asked for a while, and the next one is. Where none answers, the
box decides by itself: between two engines drawn by chance, since its own view of them is poor.
"""

import asyncio
from random import Random
from time import monotonic
from typing import TypeVar

from stairquay.core.call import PromptShape
from stairquay.core.catalog import WorkspaceRule
from stairquay.core.fleet import Endpoint
from stairquay.core.placement import EngineView, Placement
from stairquay.core.routers import Member, routers_for
from stairquay.serving.choosing import Choice, choose
from stairquay.serving.decisions import Decision
from stairquay.serving.jobs import Job, Progress
from stairquay.serving.links import Link
from stairquay.serving.messages import Ended, FinishedNotice, Outcome, PartShape, PlaceReply, PlaceRequest
from stairquay.serving.routing import RouterPart
from stairquay.serving.saving import save_targets
from stairquay.serving.state import BoxState

ASK_S = 0.08
"""Seconds for a router's answer: a way of 2 ms and 2 ms of a slow box's time, with room for a burst; a
third of the shortest objective for a first token is 100 ms."""

SUSPECT_S = 1.0
"""Seconds for which a router that did not answer is passed over."""

ROUTERS_ASKED = 2
"""Routers asked for one prompt before the box decides by itself."""

SPILL_AT = 0.1
"""Backlog, in objectives, from which a second router is asked: its data hall may be less busy."""

PING_S = 0.4
"""Seconds between two notices that a router sends to the others, so that they share out the engines of one
that is gone."""

NOTICE_S = 0.05
"""Seconds for which ended prompts are gathered before their routers are told."""

NOTICE_ANSWER_S = 0.5
"""Seconds for the answer to a notice; one that is lost is made up for by PLACED_S."""

MAX_NOTICES = 2_000
"""Most ended prompts that wait for one router: some seconds of a box's prompts."""

Answer = TypeVar("Answer")


class Links:
    """Open channels to routers, and which of them lately did not answer."""

    def __init__(self, state: BoxState) -> None:
        self.state = state
        self.links_by_address: dict[str, Link] = {}
        self.lost: set[str] = set()

    def to(self, router: Member) -> Link:
        """Return the channel to a router."""
        link = self.links_by_address.get(router.address)
        if link is None:
            link = self.links_by_address[router.address] = Link(router.address)
        return link

    def heard(self, router: Member, answer: Answer | None, question: str) -> Answer | None:
        """Note whether a router answered, and return its answer. One that did not is passed over a while."""
        if answer is not None:
            if router.id in self.lost:
                self.lost.remove(router.id)
                self._log(router, "regained", question)
            return answer
        self.state.suspected_until_by_id[router.id] = monotonic() + SUSPECT_S
        self.state.metrics.silent_routers.inc()
        if router.id not in self.lost:
            self.lost.add(router.id)
            self._log(router, "lost", question)
        return None

    def _log(self, router: Member, outcome: str, question: str) -> None:
        name = f"router {router.id}"
        self.state.log.line(Decision.DEPENDENCY, name=name, outcome=outcome, question=question)

    async def keep_only(self, routers: tuple[Member, ...]) -> None:
        """Close the channels to boxes that are routers no longer."""
        wanted = {router.address for router in routers}
        for address in set(self.links_by_address) - wanted:
            await self.links_by_address.pop(address).close()
        ids = {router.id for router in routers}
        for known in set(self.state.suspected_until_by_id) - ids:
            del self.state.suspected_until_by_id[known]
        self.lost &= ids


class Chooser:
    """Chooses the endpoint of each request: by itself, or by asking a router."""

    def __init__(self, state: BoxState, links: Links, part: RouterPart, random: Random) -> None:
        self.state = state
        self.links = links
        self.part = part
        self.random = random
        self.ended_by_router: dict[Member, list[Ended]] = {}
        self.telling: dict[Member, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Tell routers which prompts have ended, until cancelled."""
        pinged_at = monotonic()
        while True:
            await asyncio.sleep(NOTICE_S)
            await self.links.keep_only(self.state.routers)
            if monotonic() - pinged_at > PING_S:
                pinged_at = monotonic()
                self._ping()
            self._tell_all()

    def _tell_all(self) -> None:
        """Send each router its notice, one at a time for each; those not heard lately wait."""
        self.telling = {router: task for router, task in self.telling.items() if not task.done()}
        live = set(self.state.live_routers())
        for router in list(self.ended_by_router):
            if router not in self.state.routers:
                del self.ended_by_router[router]
            elif router in live and router not in self.telling:
                ended = tuple(self.ended_by_router.pop(router))
                self.telling[router] = asyncio.create_task(self._tell(router, ended))

    async def choose(self, job: Job, progress: Progress, most_backlog_s: float | None) -> Choice | None:
        """Return where a job goes, None where no endpoint can take it.

        most_backlog_s: a longer wait than that makes the sender give it up; None where it does not.
        """
        prompt = job.call.prompt
        if not self.state.routers or prompt is None or job.service.engine is None:
            return self._choose_here(job, progress)
        asked = _question(self.state.settings.id, job, prompt, progress, most_backlog_s)
        best: Choice | None = None
        for router in routers_for(self.state.member, self.state.placing_routers())[:ROUTERS_ASKED]:
            choice = await self._place(router, asked, prompt)
            best = self._better(best, choice)
            if best is not None and best.backlog_s <= SPILL_AT * job.route.objective_s:
                return best
        return best or self._choose_here(job, progress)

    def finished(self, choice: Choice, outcome: Outcome = Outcome.DONE) -> None:
        """Take in that a request has left the endpoint it was placed on, and how."""
        router = next((item for item in self.state.routers if item.id == choice.router), None)
        if router is not None:
            self._ended(router, Ended(choice.ticket, outcome))

    async def _place(self, router: Member, asked: PlaceRequest, prompt: PromptShape) -> Choice | None:
        """Return a router's choice, None where there is none that this box may use."""
        try:
            reply = await self._ask(router, asked)
        except asyncio.CancelledError:
            # The caller left meanwhile.
            self._ended(router, Ended(asked.ticket, Outcome.NOT_SENT))
            raise
        if reply is None or not reply.endpoint:
            return None
        endpoint = self._usable(reply, prompt)
        if endpoint is None:
            self._ended(router, Ended(asked.ticket, Outcome.NOT_SENT))
            return None
        return _choice(endpoint, reply, router.id, asked.ticket)

    def _better(self, first: Choice | None, second: Choice | None) -> Choice | None:
        """Return the choice with the shorter wait, and give up the other."""
        if first is None or second is None:
            return first or second
        better, worse = (first, second) if first.backlog_s <= second.backlog_s else (second, first)
        self.finished(worse, Outcome.NOT_SENT)
        return better

    def _ended(self, router: Member, ended: Ended) -> None:
        if router.id == self.state.settings.id:
            self.part.finished(ended)
            return
        waiting = self.ended_by_router.setdefault(router, [])
        if len(waiting) < MAX_NOTICES:
            waiting.append(ended)

    def _ping(self) -> None:
        """As a router, have a notice sent to every other one, even where nothing has ended."""
        if not self.state.routes:
            return
        for router in self.state.live_routers():
            if router.id != self.state.settings.id:
                self.ended_by_router.setdefault(router, [])

    async def _tell(self, router: Member, ended: tuple[Ended, ...]) -> None:
        answer = await self.links.to(router).finished(FinishedNotice(ended), NOTICE_ANSWER_S)
        if self.links.heard(router, answer, "what has ended") is None:
            # Told again once it is asked again: hearing the same twice changes nothing.
            for item in ended:
                self._ended(router, item)

    async def _ask(self, router: Member, asked: PlaceRequest) -> PlaceReply | None:
        if router.id == self.state.settings.id:
            return self.part.place(asked)
        answer = await self.links.to(router).place(asked, ASK_S)
        reply = self.links.heard(router, answer, "where a prompt runs")
        if reply is None:
            # It may have placed the prompt all the same.
            self._ended(router, Ended(asked.ticket, Outcome.NOT_SENT))
        return reply

    def _usable(self, reply: PlaceReply, prompt: PromptShape) -> Endpoint | None:
        """Return the endpoint that a router chose, None where this box knows that it must not be used."""
        usable = self.state.fleet.by_id.get(reply.endpoint)
        if usable is None or usable.leaving or usable.id in self.state.fleet.missing_since_by_id:
            return None
        return None if self.state.too_old(usable, prompt.model) else usable

    def _choose_here(self, job: Job, progress: Progress) -> Choice | None:
        return choose(
            self.state,
            job.catalog,
            job.service,
            job.call.prompt,
            job.workspace,
            frozenset(progress.tried),
            self.random,
            save_targets,
        )


def _question(
    box: str, job: Job, prompt: PromptShape, progress: Progress, most_backlog_s: float | None
) -> PlaceRequest:
    workspace: WorkspaceRule | None = job.workspace
    return PlaceRequest(
        ticket=f"{job.call.id} {len(progress.tried)}",
        box=box,
        service=job.service.id,
        model=prompt.model,
        parts=tuple(PartShape(part.id, part.tokens) for part in prompt.parts),
        tokens=prompt.tokens,
        max_output=prompt.max_output,
        wall=workspace.id if workspace is not None and workspace.isolated else "",
        tried=tuple(progress.tried),
        most_backlog_s=most_backlog_s,
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
    )
