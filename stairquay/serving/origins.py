"""Where streams began, and which endpoints may go on with them: those with the version that began it."""

from stairquay.adapters.clock import monotonic
from stairquay.core.errors import ErrorKind, ExecutionStatus, Refusal
from stairquay.core.fleet import Endpoint
from stairquay.core.stream_origins import StreamOrigin, may_continue
from stairquay.serving.evacuation import takes_work
from stairquay.serving.jobs import Job, JobProgress
from stairquay.serving.refusals import RETRY_AFTER_S
from stairquay.serving.state import BoxState


class OriginTracker:
    """Records where this box's streams began."""

    def __init__(self, state: BoxState) -> None:
        self.state = state

    def begun(self, job: Job, progress: JobProgress, endpoint: Endpoint) -> None:
        """Record where a job's stream began, as its first event is about to be passed on."""
        if not job.route.resumable:
            return
        listed = self.state.fleet.by_id.get(endpoint.id, endpoint)
        # The entry may have changed since the request was sent.
        software = endpoint.software if listed.software == endpoint.software else ""
        if progress.origin is None:
            progress.origin = StreamOrigin(endpoint.service, endpoint.id, software)

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


def may_use(state: BoxState, progress: JobProgress, endpoint: Endpoint) -> bool:
    """Tell whether a job may be sent to an endpoint, given where its stream began."""
    if progress.origin is None:
        return True
    return may_continue(progress.origin, endpoint, state.software, monotonic())


def excluded_ids(state: BoxState, job: Job, progress: JobProgress) -> frozenset[str]:
    """Return the endpoints that a job must not be sent to: those tried, and those of other versions."""
    if progress.origin is None:
        return frozenset(progress.tried)
    others = (
        item.id
        for item in state.fleet.by_id.values()
        if item.service == job.service.id and not may_use(state, progress, item)
    )
    return frozenset((*progress.tried, *others))


def unresumable(ran: ExecutionStatus, detail: str) -> Refusal:
    """Return the refusal of a stream that can't be continued, so that its caller may begin anew."""
    return Refusal(ErrorKind.STREAM_UNRESUMABLE, ran, detail, RETRY_AFTER_S)
