"""Finds the software version that began a stream, and tells others of the streams that this box begins.

Each stream's origin is kept here. Where a service has endpoints of several versions, it is also told to three
routers, since this box may be gone when the caller comes back, to whichever box. A stream of which nobody was
told began at the only version there was. Routers are asked for that too: a box has its list of endpoints from
one of them, so that it knows no version that they don't. A box that does not find the origin refuses the
stream: the wrong version would write what does not fit.
"""

import asyncio
from collections.abc import Awaitable, Callable, Collection, Iterable
from dataclasses import replace

from result import Err, Ok, Result

from stairquay.adapters.clock import monotonic
from stairquay.core.errors import ErrorKind, ExecutionStatus, Refusal
from stairquay.core.fleet import Endpoint
from stairquay.core.ownership import rank_owners
from stairquay.core.routers import Member
from stairquay.core.software import MEMORY_S
from stairquay.core.stream_origins import KnownStream, StreamOrigin, may_continue, merge_origins
from stairquay.serving.endpoint import NEVER
from stairquay.serving.evacuation import takes_work
from stairquay.serving.jobs import Job, JobProgress, OriginBasis
from stairquay.serving.links import RouterClients
from stairquay.serving.messages import BegunStream, OriginReply, OriginRequest
from stairquay.serving.notices import NoticeSender
from stairquay.serving.origin_replies import recent_versions
from stairquay.serving.ports import EndpointChanges, FeedFault
from stairquay.serving.refusals import RETRY_AFTER_S
from stairquay.serving.silent_endpoints import silent_ids
from stairquay.serving.state import BoxState

ROUTERS_TOLD = 3
"""Routers that are told of a stream, besides this box: two of them may be away when its caller comes back."""

ORIGIN_TIMEOUT_S = 0.2
"""Seconds to wait for routers' answers. They take about 2 ms; the rest is for bursts after a failure, when
many callers come back at once."""

LIST_TIMEOUT_S = 1.2
"""Seconds to wait for a list of endpoints that is newer than a stream if a router does not answer."""

LIST_POLL_S = 0.05

LIST_PAUSE_S = 0.5
"""Seconds between two reads of the list for streams that are taken up, since calls are billed."""

MAX_UNSEEN_S = 8.0
"""Seconds between the last heartbeat of a router and this box's first list within which no version comes and
goes: a heartbeat and a restart. It counts only while no router answers, as when all boxes start at once."""

RETURN_MARGIN_S = 1.0
"""Seconds for which a stream is remembered after its caller should have stopped waiting."""

EXPIRY_INTERVAL_S = 5.0
"""Seconds between two removals of what need not be remembered any longer."""

ReadList = Callable[[], Awaitable[Result[EndpointChanges, FeedFault]]]
"""Reads the list of endpoints from the table service."""

Audience = tuple[tuple[str, ...], tuple[tuple[str, str], ...], frozenset[str]]
"""The routers, what tells their starts apart, and the services whose endpoints differ in version."""


class OriginTracker:
    """Records where this box's streams began, and resolves where those began that callers take up."""

    def __init__(
        self, state: BoxState, links: RouterClients, notices: NoticeSender, read_list: ReadList
    ) -> None:
        self.state = state
        self.read_list = read_list
        # The read under way or the last one, and when it was or will be asked.
        self.list_read: asyncio.Task[frozenset[tuple[str, str]] | None] | None = None
        self.list_read_at = NEVER
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
        """Set where the stream began that a job goes on with. Return the refusal if that is unknown.

        Without an origin, it may go on anywhere.
        """
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

    async def _find(self, job: Job, progress: JobProgress) -> Result[StreamOrigin | None, str]:
        """Return where a job's stream began, None if no version is named, or why that is not known."""
        state, asked_at, stream = self.state, monotonic(), job.stream_id
        # Other boxes' rows tell which versions left before this box started.
        if state.boxes_known_at == NEVER:
            return Err("versions that were there before this box started are not known yet")
        origin = state.origins.find(stream, asked_at)
        if origin is not None:
            self._count(progress, OriginBasis("here"))
            return Ok(origin)
        services = _services_of(job)
        others = [router for router in state.routers if router.id != state.settings.id]
        answers = await self._ask(others, OriginRequest(stream, services))
        ages_s = tuple(item.list_age_s for item in answers)
        origin = merge_origins(item.origin for item in answers if item.origin is not None)
        if origin is not None:
            self._count(progress, OriginBasis("router", len(others), state.list_age(), ages_s))
            return Ok(origin)
        versions = recent_versions(state, services, monotonic()).union(*(item.versions for item in answers))
        if not _differ(versions) and len(answers) < len(others):
            # The box that began the stream may have its list from a router that did not answer.
            listed = await self._versions_listed_since(asked_at)
            if listed is None:
                return Err("the list of endpoints may be older than the stream")
            versions |= recent_versions(state, services, monotonic())
            versions |= {version for version in listed if version[0] in services}
            if not (answers or state.software.unseen_s() <= MAX_UNSEEN_S):
                return Err("versions that left before this box started are not known")
        if _differ(versions) or job.service.id not in dict(versions):
            return Err(f"none of {len(answers)} routers knows the version that began {stream!r}")
        self._count(progress, OriginBasis("one version", len(others), state.list_age(), ages_s))
        software = dict(versions)[job.service.id]
        return Ok(StreamOrigin(job.service.id, "", software) if software else None)

    async def _versions_listed_since(self, at: float) -> frozenset[tuple[str, str]] | None:
        """Return the versions in a list of endpoints that was requested after a time, by service.

        None if none came soon. A long poll may be held for longer than a caller waits, so that the list is
        read, by one call for all streams that wait for it.
        """
        reading = self._list_read_since(at)
        while monotonic() - at <= LIST_TIMEOUT_S:
            if self.state.list_asked_at >= at:
                return self.state.software.listed
            if reading.done() and (listed := reading.result()) is not None:
                return listed
            await asyncio.sleep(LIST_POLL_S)
        return None

    def _list_read_since(self, at: float) -> asyncio.Task[frozenset[tuple[str, str]] | None]:
        """Return a read of the list that was or will be asked after a time."""
        if self.list_read is None or self.list_read_at < at:
            now = monotonic()
            self.list_read_at = max(now, self.list_read_at + LIST_PAUSE_S)
            self.list_read = asyncio.create_task(self._read_versions(self.list_read_at - now))
        return self.list_read

    async def _read_versions(self, delay_s: float) -> frozenset[tuple[str, str]] | None:
        await asyncio.sleep(delay_s)
        found = await self.read_list()
        if isinstance(found, Err):
            return None
        return frozenset((item.service, item.software) for item in found.ok_value.present)

    def _count(self, progress: JobProgress, basis: OriginBasis) -> None:
        progress.origin_basis = basis
        self.state.metrics.taken_up.labels(basis.source).inc()

    async def _ask(self, routers: Iterable[Member], request: OriginRequest) -> list[OriginReply]:
        """Return the routers' answers, up to the first one that knows the stream."""
        asked = [
            asyncio.create_task(self.links.client_for(router).origin(request, ORIGIN_TIMEOUT_S))
            for router in routers
        ]
        answers = []
        try:
            for reply in asyncio.as_completed(asked):
                answer = await reply
                if answer is None:
                    continue
                answers.append(answer)
                if answer.origin is not None:
                    break
        finally:
            for task in asked:
                task.cancel()
        return answers

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
