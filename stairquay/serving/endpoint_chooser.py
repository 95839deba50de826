"""Chooses the endpoint of each request, for prompts by asking the boxes that act as routers.

A router that does not answer in time is skipped for a while. If none answers, the box chooses by itself.
"""

import asyncio
from dataclasses import dataclass, replace
from random import Random

from msgspec import structs

from stairquay.adapters.clock import monotonic
from stairquay.core.call import PromptShape
from stairquay.core.catalog import EngineSpec, WorkspacePolicy
from stairquay.core.engine_speed import is_useful
from stairquay.core.fleet import Endpoint
from stairquay.core.limits import UNLIMITED
from stairquay.core.prompt_queue import MAX_WAIT_SHARE, Deferred, Rejected
from stairquay.core.routers import Member, routers_for
from stairquay.serving.endpoint_choice import Choice, ChoiceRequest, HasRoom
from stairquay.serving.evacuation import takes_work
from stairquay.serving.event_log import LogEvent
from stairquay.serving.jobs import AttemptTiming, Job, JobProgress
from stairquay.serving.links import RouterClients
from stairquay.serving.local_router import LocalRouter
from stairquay.serving.messages import (
    EndedAttempt,
    Outcome,
    PlaceReply,
    PlaceRequest,
    PromptPart,
    SpeedSample,
)
from stairquay.serving.notices import NoticeSender
from stairquay.serving.origins import excluded_ids, may_use
from stairquay.serving.overload import order_by_lateness, record_router_lateness
from stairquay.serving.pacing import count_sent, retry_after_s
from stairquay.serving.place_replies import choice_from_reply
from stairquay.serving.saving import choose_with_save_targets
from stairquay.serving.standalone import StandaloneShares
from stairquay.serving.state import BoxState
from stairquay.serving.statements import backoffs_by_id, limit_of
from stairquay.serving.telling import apply_peer_feedback, backoffs_for_router, feedback_for_peers

ROUTER_TIMEOUT_S = 0.08
"""Seconds to wait for a router's answer, well below the objectives for a first token. The round trip takes
about 2 ms and a slow box another 2 ms; the rest is for bursts."""

ROUTER_TIMEOUT_SHARE = 0.3
"""Share of the time left to the objective for which a router is waited for whose answers take long. A prompt
that its box places without a view costs its engine more than that: all its shared parts are prefilled."""

ROUTERS_ASKED = 2
"""Most routers asked for one prompt before the box chooses by itself."""

MAX_ROUTERS_ASKED = 4
"""Most routers asked for a prompt that those before refused: each knows the room at its own engines only."""

MAX_PREFILL_WAIT_SHARE = 0.35
"""Share of the objective, from arrival, within which a prompt waits for the prefill of a part it shares. The
prompt then starts no later than if its engine had prefilled the part a second time beside the other prompt.
At high load this saved a sixth of the repeated prefill."""

SECOND_ROUTER_BACKLOG_SHARE = 0.1
"""Backlog, as a share of the objective, above which a second router is asked for a shorter one."""


@dataclass(frozen=True)
class Wait:
    """Why a prompt waits: the engines are full, or a router has its parts prefilled for another prompt.

    again_s: when it is decided on again. router: id of the one that decided, empty for this box.
    """

    again_s: float
    router: str
    full: bool


class Chooser:
    """Chooses endpoints with the help of routers, and tells them when requests end."""

    def __init__(
        self,
        state: BoxState,
        links: RouterClients,
        local_router: LocalRouter,
        notices: NoticeSender,
        random: Random,
    ) -> None:
        self.state = state
        self.links = links
        self.local_router = local_router
        self.notices = notices
        self.random = random
        self.standalone = StandaloneShares(state)

    async def choose(self, job: Job, progress: JobProgress, most_backlog_s: float | None) -> Choice | None:
        """Return the endpoint for a job, None if no endpoint can take it.

        most_backlog_s: backlog above which the caller rejects the job; None if it never does.
        """
        prompt = job.call.prompt
        if prompt is None or job.service.engine is None:
            return self._choose_locally(job, progress)
        wait_until = job.arrived_at + job.route.objective_s * MAX_PREFILL_WAIT_SHARE
        wait_logged = False
        waits_at = ""
        while True:
            may_wait = not progress.tried and monotonic() < wait_until
            request = self._place_request(job, prompt, progress, most_backlog_s, may_wait)
            best = await self._ask_routers(job, prompt, request, progress, waits_at)
            if best is None:
                found = self._decide_standalone(job, job.service.engine, progress, request)
                if not isinstance(found, Deferred):
                    return found
                wait = Wait(found.again_s, "", True)
            elif best.again_s:
                wait = Wait(best.again_s, best.router, best.decided)
            else:
                return best
            if not wait_logged:
                wait_logged = True
                self._log_wait(job, wait)
            waits_at = wait.router if wait.full else ""
            try:
                await asyncio.sleep(wait.again_s)
            except asyncio.CancelledError:
                # The caller has disconnected: give up the place in the queue.
                self.standalone.leave(request.ticket)
                if best is not None:
                    self.finished(best, Outcome.NOT_SENT)
                raise

    def _decide_standalone(
        self, job: Job, spec: EngineSpec, progress: JobProgress, request: PlaceRequest
    ) -> Choice | Deferred | None:
        """Decide on a prompt that no router placed, which they may have refused."""
        if progress.rejected:
            return None
        decision = self.standalone.decide(request, spec, monotonic())
        if isinstance(decision, Rejected):
            progress.rejected, progress.retry_after_s = decision.reason.value, decision.retry_after_s
            return None
        if isinstance(decision, Deferred):
            return decision
        return self._choose_standalone(job, spec, progress, request)

    def _choose_standalone(
        self, job: Job, spec: EngineSpec, progress: JobProgress, request: PlaceRequest
    ) -> Choice | None:
        """Choose an engine without a router, and count the prompt in this box's share."""
        now = monotonic()
        choice = self._choose_locally(
            job, progress, lambda engine: self.standalone.may_use(engine.id, spec, now)
        )
        if choice is None:
            return None
        self.standalone.place(request, spec, now)
        return replace(choice, ticket=request.ticket)

    def _log_wait(self, job: Job, wait: Wait) -> None:
        why = "the engines are full" if wait.full else "its parts are being read for another prompt"
        share = MAX_WAIT_SHARE if wait.full else MAX_PREFILL_WAIT_SHARE
        most_s = job.arrived_at + job.route.objective_s * share - monotonic()
        self.state.log.line(
            LogEvent.WAITS, job.call.id, router=wait.router, why=why, again_s=wait.again_s, most_s=most_s
        )

    async def _ask_routers(
        self,
        job: Job,
        prompt: PromptShape,
        request: PlaceRequest,
        progress: JobProgress,
        waits_at: str,
    ) -> Choice | None:
        """Return the best choice of the routers. waits_at: id of the one in whose queue the prompt waits."""
        best: Choice | None = None
        progress.retry_after_s = None
        progress.rejected = ""
        routers = order_by_lateness(self.state, routers_for(self.state.member, self.state.placing_routers()))
        routers.sort(key=lambda router: router.id != waits_at)
        for number, router in enumerate(routers[:MAX_ROUTERS_ASKED]):
            if number >= ROUTERS_ASKED and not (best is None and progress.rejected):
                break
            choice = await self._place(router, request, prompt, progress)
            best = self._keep_shorter_wait(best, choice)
            if best is None:
                continue
            short = best.backlog_s <= SECOND_ROUTER_BACKLOG_SHARE * job.route.objective_s
            if short or self.state.load.is_busy:
                break
            if _is_deferred(best) and best.router == waits_at:
                break
        if best is not None:
            progress.rejected = ""
        return best

    def prefill_finished(self, choice: Choice) -> None:
        """Tell the router that the engine has prefilled a prompt."""
        router = next((item for item in self.state.routers if item.id == choice.router), None)
        if router is not None:
            self.notices.add_prefill_finished(router, choice.ticket)

    def finished(
        self, choice: Choice, outcome: Outcome = Outcome.DONE, timing: AttemptTiming | None = None
    ) -> None:
        """Tell the router that a request has ended at its endpoint, how, and how long it took."""
        if not choice.router:
            self.standalone.end(choice.ticket, outcome == Outcome.DONE, monotonic())
            return
        router = next((item for item in self.state.routers if item.id == choice.router), None)
        if router is None:
            return
        if timing is not None and is_useful(timing.first_token_s, timing.events):
            sample = SpeedSample(choice.ticket, timing.first_token_s, timing.stream_s, timing.events)
            self.notices.add_sample(router, sample)
        self.notices.add_ended(router, EndedAttempt(choice.ticket, outcome, choice.waited_s))

    async def _place(
        self, router: Member, request: PlaceRequest, prompt: PromptShape, progress: JobProgress
    ) -> Choice | None:
        """Return a router's choice, None if it has none that this box may use."""
        try:
            reply = await self._ask_with_feedback(router, request)
        except asyncio.CancelledError:
            # The caller has disconnected.
            self.notices.add_ended(router, _not_sent(request))
            raise
        if reply is None:
            return None
        if not reply.endpoint:
            progress.rejected = progress.rejected or reply.rejected
            if reply.come_back_s > 0:
                progress.retry_after_s = min(reply.come_back_s, progress.retry_after_s or reply.come_back_s)
            return None
        endpoint = self._usable_endpoint(reply, prompt)
        if endpoint is not None:
            self.state.learn_start(endpoint, reply.born, monotonic(), "router")
        if endpoint is None or not may_use(self.state, progress, endpoint):
            self.notices.add_ended(router, _not_sent(request))
            return None
        return choice_from_reply(endpoint, reply, router.id, request)

    def _keep_shorter_wait(self, first: Choice | None, second: Choice | None) -> Choice | None:
        """Return the choice with the smaller backlog, and release the other."""
        if first is None or second is None:
            return first or second
        better, worse = sorted((first, second), key=lambda item: (_is_deferred(item), item.backlog_s))
        self.finished(worse, Outcome.NOT_SENT)
        return better

    async def _ask_with_feedback(self, router: Member, request: PlaceRequest) -> PlaceReply | None:
        """Ask a router, and once more with this box's feedback from the chosen endpoint if it lacks that.

        A router counts requests against an endpoint's rate limit only if it knows that limit.
        """
        reply = await self._ask(router, request)
        if reply is None or not self._lacks_feedback(reply):
            return reply
        feedback = feedback_for_peers(self.state, monotonic(), frozenset((reply.endpoint,)))
        reply = await self._ask(router, structs.replace(request, said=feedback))
        if reply is not None and (not reply.endpoint or self._lacks_feedback(reply)):
            # Release the first placement, which is not used.
            self.notices.add_ended(router, _not_sent(request))
            return PlaceReply(come_back_s=reply.come_back_s, rejected=reply.rejected)
        return reply

    def _lacks_feedback(self, reply: PlaceReply) -> bool:
        """Return whether a router doesn't know what its chosen endpoint told this box about its use."""
        state, now = self.state, monotonic()
        if reply.said is not None:
            apply_peer_feedback(state, (reply.said,), now)
        if reply.again_s or not reply.endpoint:
            return False
        endpoint = state.fleet.by_id.get(reply.endpoint)
        if endpoint is None:
            return reply.endpoint in state.fleet.leaving_by_id
        by_router = UNLIMITED if reply.said is None else reply.said.per_s
        if limit_of(state.endpoint_state(endpoint)) < by_router or state.fleet.is_leaving(endpoint):
            return True
        return endpoint.id in backoffs_by_id(state, now)

    async def _ask(self, router: Member, request: PlaceRequest) -> PlaceReply | None:
        if router.id == self.state.settings.id:
            return self.local_router.place(request)
        client, asked_at = self.links.client_for(router), monotonic()
        limit_s = client.place_times.limit_s(ROUTER_TIMEOUT_S, _longest_wait_s(request))
        answer = await client.place(request, limit_s)
        took_s = monotonic() - asked_at
        if answer is not None or took_s >= limit_s:
            client.place_times.observe(took_s)
        reply = self.links.record_answer(router, answer, "where a prompt runs")
        if reply is not None:
            record_router_lateness(self.state, router.id, reply.late_s)
        else:
            # It may have placed the prompt and only answered too late.
            self.notices.add_ended(router, _not_sent(request))
        return reply

    def _usable_endpoint(self, reply: PlaceReply, prompt: PromptShape) -> Endpoint | None:
        """Return the endpoint that a router chose, None if this box knows that it must not be used."""
        usable = self.state.fleet.by_id.get(reply.endpoint)
        if usable is None or usable.id in self.state.fleet.missing_since_by_id:
            return None
        if not takes_work(self.state, usable):
            return None
        too_old = self.state.version_too_old(prompt.model, reply.version or 0, reply.first_token_s)
        return None if too_old else usable

    def _choose_locally(
        self, job: Job, progress: JobProgress, may_use: HasRoom | None = None
    ) -> Choice | None:
        """Choose an endpoint by this box's own view. may_use: tells of an engine whether it goes first."""
        tried = excluded_ids(self.state, job, progress)
        backoffs_s = backoffs_by_id(self.state, monotonic())
        wanted = ChoiceRequest(
            job.service, job.call.prompt, job.workspace, tried, backoffs_s=backoffs_s, has_room=may_use
        )
        choice = choose_with_save_targets(self.state, job.catalog, wanted, self.random)
        if choice is not None:
            count_sent(self.state, choice.endpoint, monotonic(), self.random)
        return choice

    def retry_after_s(self, job: Job, progress: JobProgress) -> float | None:
        """Return the seconds until an endpoint is expected to accept the job, None if none is throttled.

        The routers' estimate counts; without one, this box makes its own.
        """
        if progress.retry_after_s is not None:
            return progress.retry_after_s
        now = monotonic()
        backoffs_s = backoffs_by_id(self.state, now)
        tried = excluded_ids(self.state, job, progress)
        return retry_after_s(self.state, job.service.id, tried, backoffs_s, now, self.random)

    def retry_after_backoff_s(self, job: Job) -> float | None:
        """Return the seconds until the first back-off ends, None unless all endpoints asked for one.

        Endpoints that refused this job count as well.
        """
        state, now = self.state, monotonic()
        backoffs_s = backoffs_by_id(state, now)
        usable = [item for item in state.fleet.usable(job.service.id, now) if takes_work(state, item)]
        if not usable or any(item.id not in backoffs_s for item in usable):
            return None
        return retry_after_s(state, job.service.id, (), backoffs_s, now, self.random)

    def _place_request(
        self,
        job: Job,
        prompt: PromptShape,
        progress: JobProgress,
        most_backlog_s: float | None,
        may_wait: bool,
    ) -> PlaceRequest:
        workspace: WorkspacePolicy | None = job.workspace
        now = monotonic()
        return PlaceRequest(
            ticket=f"{job.call.id} {len(progress.tried)} {self.state.settings.id} {job.number}",
            box=self.state.settings.id,
            service=job.service.id,
            model=prompt.model,
            parts=tuple(PromptPart(part.id, part.tokens) for part in prompt.parts),
            tokens=prompt.tokens,
            max_output=prompt.max_output,
            wall=workspace.id if workspace is not None and workspace.isolated else "",
            tried=tuple(excluded_ids(self.state, job, progress)),
            most_backlog_s=most_backlog_s,
            may_wait=may_wait,
            said=backoffs_for_router(self.state, now),
            priority=job.engine_priority,
            workspace=job.workspace_id,
            objective_left_s=None if progress.tried else job.arrived_at + job.route.objective_s - now,
            deadline_left_s=job.deadline - now,
            waited_s=now - job.arrived_at,
        )


def _not_sent(request: PlaceRequest) -> EndedAttempt:
    return EndedAttempt(request.ticket, Outcome.NOT_SENT, request.waited_s)


def _is_deferred(choice: Choice) -> bool:
    """Return whether a prompt waits in its router's queue, and has no engine yet."""
    return choice.decided and choice.again_s > 0


def _longest_wait_s(request: PlaceRequest) -> float:
    """Return the seconds for which a router's answer is waited for at most."""
    left_s = request.objective_left_s
    return ROUTER_TIMEOUT_S if left_s is None else max(ROUTER_TIMEOUT_S, left_s * ROUTER_TIMEOUT_SHARE)
