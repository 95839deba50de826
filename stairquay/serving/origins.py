"""Finds the software version that began a stream, and tells others of the streams that this box begins.

Each stream's origin is kept here. Where a service has endpoints of several versions, it is also told to three
routers, since this box may be gone when the caller comes back, to whichever box. A stream of which nobody was
told began at the only version there was. That there was one is proved only by a list of endpoints that was
requested after the stream came back: any older one may be that of a box or router out of step. A box that
does not find the origin refuses the stream: the wrong version would write what does not fit.
"""

import asyncio
from collections.abc import Collection, Iterable, Mapping
from dataclasses import replace
from math import isfinite

from msgspec import structs
from result import Err, Ok, Result

from stairquay.adapters.clock import monotonic
from stairquay.core.errors import ErrorKind, ExecutionStatus, Refusal
from stairquay.core.fleet import Endpoint
from stairquay.core.ownership import rank_owners
from stairquay.core.routers import Member, routers_for
from stairquay.core.software import MEMORY_S
from stairquay.core.stream_origins import KnownStream, StreamOrigin, may_continue, merge_origins
from stairquay.serving.endpoint import NEVER
from stairquay.serving.evacuation import takes_work
from stairquay.serving.jobs import Job, JobProgress, OriginBasis
from stairquay.serving.links import RouterClients
from stairquay.serving.messages import BegunStream, OriginReply, OriginRequest
from stairquay.serving.new_lists import NewLists
from stairquay.serving.notices import NoticeSender
from stairquay.serving.origin_replies import (
    NEW_LIST_TIMEOUT_S,
    asks_all_boxes,
    origin_reply,
    recent_versions,
)
from stairquay.serving.refusals import RETRY_AFTER_S
from stairquay.serving.silent_endpoints import silent_ids
from stairquay.serving.state import BoxState

ROUTERS_TOLD = 3
"""Routers that are told of a stream, besides this box: two of them may be away when its caller comes back."""

ORIGIN_TIMEOUT_S = 0.2
"""Seconds to wait for routers' answers. They take about 2 ms; the rest is for bursts after a failure, when
many callers come back at once."""

NEW_ANSWER_TIMEOUT_S = NEW_LIST_TIMEOUT_S + 0.1
"""Seconds to wait for a follower's answer from a new list."""

LIST_TIMEOUT_S = 1.2
"""Seconds after which a stream is refused if no list of endpoints came that is newer. Callers give a stream
up after two seconds."""

MAX_UNSEEN_S = 8.0
"""Seconds between the last heartbeat of a router and this box's first list within which no version comes and
goes: a heartbeat and a restart. It counts only while no router answers that knows the past, as when all boxes
start at once."""

RETURN_MARGIN_S = 1.0
"""Seconds for which a stream is remembered after its caller should have stopped waiting."""

EXPIRY_INTERVAL_S = 5.0
"""Seconds between two removals of what need not be remembered any longer."""

Audience = tuple[tuple[str, ...], tuple[tuple[str, str], ...], frozenset[str]]
"""The routers, what tells their starts apart, and the services whose endpoints differ in version."""


class OriginTracker:
    """Records where this box's streams began, and resolves where those began that callers take up."""

    def __init__(
        self, state: BoxState, links: RouterClients, notices: NoticeSender, new_lists: NewLists
    ) -> None:
        self.state = state
        self.new_lists = new_lists
        self.links = links
        self.notices = notices
        # Whom this box's streams were told to last.
        self.audience = self._audience()

    async def run(self) -> None:
        """Tell routers of this box's streams again whenever the audience changes, until cancelled."""
        while True:
            has_changed = await self.state.changed.wait_for(
                lambda: self._audience() != self.audience, EXPIRY_INTERVAL_S
            )
            now = monotonic()
            self.state.origins.expire(now)
            await self.links.close_others(self.state.routers)
            if has_changed:
                self.audience = self._audience()
                for stream, known in self.state.origins.own_streams(now).items():
                    self._tell(stream, known, now)

    def begun(self, job: Job, progress: JobProgress, endpoint: Endpoint) -> None:
        """Record where a job's stream began, as its first event is about to be passed on."""
        if not job.route.retryable:
            return
        listed = self.state.fleet.by_id.get(endpoint.id, endpoint)
        # The entry may have changed since the request was sent.
        software = endpoint.software if listed.software == endpoint.software else ""
        if self.state.is_entry_outdated(listed) and self.state.software.differs(
            endpoint.service, monotonic()
        ):
            software = ""
        if progress.origin is None:
            progress.origin = StreamOrigin(endpoint.service, endpoint.id, software)
        now = monotonic()
        waits_s = job.route.timeout_s if job.call.time_left_s is None else job.call.time_left_s
        until = min(job.arrived_at + waits_s + RETURN_MARGIN_S, now + MEMORY_S)
        known = KnownStream(progress.origin, until, True, _services_of(job))
        self.state.origins.record(job.stream_id, known)
        self._tell(job.stream_id, known, now)

    async def resolve(self, job: Job, progress: JobProgress) -> Refusal | None:
        """Set where the stream began that a job goes on with. Return the refusal if that is unknown."""
        if progress.origin is not None or not _goes_on(job, progress):
            return None
        found = await self._find(job, progress)
        if isinstance(found, Err):
            self._count(progress, OriginBasis("unknown"))
            return unresumable(progress.ran, found.err_value)
        progress.origin = found.ok_value
        return None

    def refuses(self, job: Job, progress: JobProgress) -> Refusal | None:
        """Return the refusal of a stream that no endpoint may go on with, if it is one."""
        if progress.origin is None:
            return None
        now = monotonic()
        usable = self.state.fleet.usable(job.service.id, now)
        if any(may_use(self.state, progress, item) and takes_work(self.state, item) for item in usable):
            return None
        detail = f"no endpoint has the version {progress.origin.software!r} that began it"
        return unresumable(progress.ran, detail)

    async def _find(self, job: Job, progress: JobProgress) -> Result[StreamOrigin, str]:
        """Return where a job's stream began, or why that is not known."""
        state, asked_at, stream = self.state, monotonic(), job.stream_id
        # Other boxes' rows tell which versions left before this box started.
        if state.boxes_known_at == NEVER:
            return Err("versions that were there before this box started are not known yet")
        origin = state.origins.find(stream, asked_at)
        if origin is not None:
            self._count(progress, OriginBasis("here"))
            return Ok(origin)
        services = _services_of(job)
        others = self._others()
        question = OriginRequest(stream, services)
        answers_by_id = await self._ask(others, question)
        answers = answers_by_id.values()
        ages_s = tuple(item.list_age_s for item in answers)
        versions = recent_versions(state, services, monotonic()).union(*(item.versions for item in answers))
        origin = merge_origins(item.origin for item in answers if item.origin is not None)
        if origin is None and not _differ(versions):
            # Any of these lists may be older than the stream, as may the list of a box that has only just
            # gone on or is cut from the table service: another box may have read a newer one.
            newer = await self._answer_of_all(question, answers_by_id)
            if newer is None:
                newer = await self._newer_answer(question, asked_at, answers_by_id)
            if newer is None:
                return Err("no list of endpoints came that is newer than the stream")
            if not newer.knows_past:
                return Err(
                    "versions that left while this box had no list, or before it started, are not known"
                )
            origin = newer.origin
            versions = recent_versions(state, services, monotonic()).union(versions, newer.versions)
        if origin is not None:
            self._count(progress, OriginBasis("router", len(others), state.list_age(), ages_s))
            return Ok(origin)
        if _differ(versions) or job.service.id not in dict(versions):
            return Err(f"none of {len(answers)} routers knows the version that began {stream!r}")
        self._count(progress, OriginBasis("one version", len(others), state.list_age(), ages_s))
        return Ok(StreamOrigin(job.service.id, "", dict(versions)[job.service.id]))

    async def _answer_of_all(
        self, question: OriginRequest, answers_by_id: Mapping[str, OriginReply]
    ) -> OriginReply | None:
        """Return what all other boxes know together, None unless each answered.

        The one that began the stream is among them and knows its version, also one that has left since,
        however old the others' lists are.
        """
        state = self.state
        if not asks_all_boxes(state) or any(router.id not in answers_by_id for router in self._others()):
            return None
        left = [box for box in state.other_boxes if box.id not in answers_by_id]
        if not state.other_boxes or not all(box.address for box in left):
            return None
        answers = {**answers_by_id, **await self._ask(left, question)}.values()
        origin = merge_origins(item.origin for item in answers if item.origin is not None)
        # A box without a list has just started, and may have begun the stream before.
        has_all = len(answers) >= len(state.other_boxes) and all(
            isfinite(item.list_age_s) for item in answers
        )
        if origin is None and not has_all:
            return None
        versions = frozenset[tuple[str, str]]().union(*(item.versions for item in answers))
        return OriginReply(origin, tuple(sorted(versions)))

    async def _newer_answer(
        self, question: OriginRequest, asked_at: float, answers_by_id: Mapping[str, OriginReply]
    ) -> OriginReply | None:
        """Return an answer from a list of endpoints that was requested after a time, None if none came soon.

        A follower's, which reads the list for all boxes, or this box's own.
        """
        state, until = self.state, asked_at + LIST_TIMEOUT_S
        knows = any(answer.knows_past for answer in answers_by_id.values())
        if not state.is_follower:
            answered = [router for router in state.following_routers() if router.id in answers_by_id]
            for router in routers_for(state.member, answered)[:1]:
                request = structs.replace(question, wants_new_list=True)
                answer = await self.links.client_for(router).origin(request, NEW_ANSWER_TIMEOUT_S)
                if answer is not None and (answer.is_new or answer.origin is not None):
                    return structs.replace(answer, knows_past=answer.knows_past or knows)
        new = await self.new_lists.since(asked_at, until)
        if new is None:
            return None
        if not knows:
            # Only the followers' rows tell what came and went meanwhile, in however short a time.
            rows_came = await self.new_lists.rows_since(asked_at, until)
            knows = rows_came and state.software.unseen_s() <= MAX_UNSEEN_S
        return structs.replace(origin_reply(state, question, asked_at, new), knows_past=knows)

    def _others(self) -> list[Member]:
        """Return the other routers."""
        return [router for router in self.state.routers if router.id != self.state.settings.id]

    def _count(self, progress: JobProgress, basis: OriginBasis) -> None:
        progress.origin_basis = basis
        self.state.metrics.taken_up.labels(basis.source).inc()

    async def _ask(self, routers: Iterable[Member], request: OriginRequest) -> dict[str, OriginReply]:
        """Return the answers of routers by their ids, up to the first one that knows the stream."""

        async def ask(router: Member) -> tuple[str, OriginReply | None]:
            return router.id, await self.links.client_for(router).origin(request, ORIGIN_TIMEOUT_S)

        asked = [asyncio.create_task(ask(router)) for router in routers]
        answers_by_id = {}
        try:
            for reply in asyncio.as_completed(asked):
                router_id, answer = await reply
                if answer is None:
                    continue
                answers_by_id[router_id] = answer
                if answer.origin is not None:
                    break
        finally:
            for task in asked:
                task.cancel()
        return answers_by_id

    def _tell(self, stream: str, known: KnownStream, now: float) -> None:
        """Tell routers of a stream, if endpoints of a service that may go on with it differ in version."""
        if not any(self.state.software.differs(service, now) for service in known.services):
            return
        begun = BegunStream(stream, known.origin, known.until - now)
        routers_by_id = {item.id: item for item in self.state.routers if item.id != self.state.settings.id}
        # The followers write what they are told to the table service.
        followers = [item.id for item in self.state.following_routers() if item.id in routers_by_id]
        ranked = rank_owners(stream.encode(errors="surrogateescape"), routers_by_id, len(routers_by_id))
        for router in list(dict.fromkeys([*followers, *ranked]))[:ROUTERS_TOLD]:
            self.notices.add_begun(routers_by_id[router], begun)

    def _audience(self) -> Audience:
        state = self.state
        return (
            tuple(router.id for router in state.routers),
            tuple(sorted(state.starts_by_router.items())),
            state.software.differing(monotonic()),
        )


def may_use(state: BoxState, progress: JobProgress, endpoint: Endpoint) -> bool:
    """Tell whether a job may be sent to an endpoint, given where its stream began."""
    if progress.origin is None:
        return True
    outdated = state.is_entry_outdated(endpoint)
    return may_continue(progress.origin, endpoint, state.software, monotonic(), outdated)


def excluded_ids(state: BoxState, job: Job, progress: JobProgress) -> frozenset[str]:
    """Return the endpoints that a job must not be sent to: those tried, and those of other versions.

    A repeat must not be sent to silent ones either.
    """
    excluded = progress.tried if progress.last is None else progress.tried | silent_ids(state, job)
    if progress.origin is None:
        return frozenset(excluded)
    others = (
        item.id
        for item in state.fleet.by_id.values()
        if item.service == job.service.id and not may_use(state, progress, item)
    )
    return frozenset((*excluded, *others))


def unresumable(ran: ExecutionStatus, detail: str) -> Refusal:
    """Return the refusal of a stream that can't be continued, so that its caller may begin anew."""
    return Refusal(ErrorKind.STREAM_UNRESUMABLE, ran, detail, RETRY_AFTER_S)


def at_origin(job: Job, progress: JobProgress) -> Job:
    """Return the job at the service that began its stream, if its route still leads there."""
    origin = progress.origin
    if origin is None or origin.service == job.service.id:
        return job
    service = job.catalog.services_by_id.get(origin.service)
    if service is None or all(split.service != origin.service for split in job.route.splits):
        return job
    return replace(job, service=service)


def _services_of(job: Job) -> tuple[str, ...]:
    return tuple(split.service for split in job.route.splits)


def _differ(versions: Collection[tuple[str, str]]) -> bool:
    """Tell whether one of the services had several versions."""
    return len(dict(versions)) < len(versions)


def _goes_on(job: Job, progress: JobProgress) -> bool:
    """Tell whether a job goes on with a stream, the caller's from an earlier request or its own."""
    return bool(progress.stream.events) or job.is_taken_up
