"""A caller's request and the state of its attempts."""

from dataclasses import dataclass, field
from functools import cached_property
from itertools import count
from math import inf

from stairquay.core.attempt import Attempt, combine_execution_status
from stairquay.core.call import Call, request_digest
from stairquay.core.catalog import (
    HIGHEST_PRIORITY,
    Catalog,
    Route,
    ServiceSpec,
    WorkspacePolicy,
    engine_priority,
)
from stairquay.core.crashes import part_digest
from stairquay.core.errors import ExecutionStatus
from stairquay.core.stream_origins import StreamOrigin
from stairquay.serving.endpoint import EndpointState
from stairquay.serving.endpoint_choice import Choice
from stairquay.serving.ports import Reply, SendFailure
from stairquay.serving.relay import StreamProgress

job_numbers = count(1)


@dataclass(frozen=True)
class Job:
    """A caller's request with its resolved route, service and workspace.

    arrived_at, deadline: monotonic seconds. number: identifies the job in this process; callers may use one
    request id for several requests at a time.
    """

    call: Call
    body: bytes
    catalog: Catalog
    route: Route
    service: ServiceSpec
    workspace: WorkspacePolicy | None
    arrived_at: float
    deadline: float
    number: int = field(default_factory=lambda: next(job_numbers))

    @property
    def workspace_id(self) -> str:
        """Return the workspace's id, empty if the route needs no API key."""
        return "" if self.workspace is None else self.workspace.id

    @property
    def max_attempts(self) -> int:
        """Return to how many endpoints this box may send the request."""
        allowed = self.call.forwarded_attempts
        return self.route.max_attempts if allowed is None else min(allowed, self.route.max_attempts)

    @property
    def stream_id(self) -> str:
        """Return the id of the request that brought, or will bring, the first event of the stream."""
        return self.call.resumes or self.call.id

    @property
    def is_taken_up(self) -> bool:
        """Tell whether the caller goes on with a stream of which it has got a part."""
        return self.route.streamed and (self.call.resume_after is not None or self.call.resumes is not None)

    @property
    def engine_priority(self) -> int:
        """Return the priority at engines and in routers' queues.

        A stream that is taken up goes first: only endpoints of its version may go on with it, and its caller
        has waited before.
        """
        return HIGHEST_PRIORITY if self.is_taken_up else engine_priority(self.route, self.workspace)

    @cached_property
    def digest(self) -> str:
        """Return the digest of the request's content, which identifies repeats of it under other ids."""
        return request_digest(self.call, self.body)

    @cached_property
    def part_digests(self) -> tuple[str, ...]:
        """Return the digests of the parts that other prompts may share, the first part's first."""
        prompt = self.call.prompt
        return () if prompt is None else tuple(part_digest(part.id) for part in prompt.shared)


@dataclass(frozen=True)
class AttemptTiming:
    """Seconds that a streamed attempt took from its start to the first event, and from there to its end."""

    first_token_s: float
    stream_s: float
    events: int


@dataclass(frozen=True)
class OriginBasis:
    """What a box went by as it looked for where a stream began.

    source: how that was found out. asked: other routers. list_age_s: of this box's list. answer_ages_s: of
    the lists of the routers that answered.
    """

    source: str
    asked: int = 0
    list_age_s: float = inf
    answer_ages_s: tuple[float, ...] = ()


@dataclass
class JobProgress:
    """Results of a job's attempts so far.

    tried: ids of endpoints. refused: attempts that did not run. runs: attempts that may have run. ran: the
    worst status of all attempts. last: the last failure. error_reply: the last 5xx reply, with its body.
    retry_after_s: the routers' estimate of the seconds until an endpoint accepts the job. timing: of the
    attempt that succeeded, where it is comparable to others. rejected: why the routers refuse the job, empty
    if they don't. unreached: attempts that found no connection to their endpoint. asked_other_boxes: it was
    passed on to other boxes, none of which served it. origin: where its stream began, None before the first
    event. origin_basis: how that was found out, None where it was not asked. is_trial: it is sent once
    although its parts are quarantined. attempt: the last one, at an endpoint or at another box.
    """

    tried: set[str] = field(default_factory=set)
    refused: int = 0
    runs: int = 0
    ran: ExecutionStatus = ExecutionStatus.NOT_RUN
    stream: StreamProgress = field(default_factory=StreamProgress)
    last: SendFailure | None = None
    error_reply: tuple[Reply, bytes] | None = None
    retry_after_s: float | None = None
    timing: AttemptTiming | None = None
    rejected: str = ""
    unreached: int = 0
    asked_other_boxes: bool = False
    origin: StreamOrigin | None = None
    origin_basis: OriginBasis | None = None
    is_trial: bool = False
    attempt: Attempt | None = None

    def is_begun(self) -> bool:
        """Tell whether the request goes on while this box stops: an endpoint or another box may be running
        it, or its stream has begun."""
        return bool(self.stream.events) or (self.attempt is not None and self.attempt.is_running)

    def break_off(self) -> None:
        """Record that this box ended the attempt in progress, if there is one."""
        if self.attempt is None or not self.attempt.is_running:
            return
        self.attempt.lose()
        self.runs += 1
        self.ran = combine_execution_status(self.ran, self.attempt.ran)


@dataclass
class StartedAttempt:
    """An attempt in progress at an endpoint.

    sent_at, first_byte_at: monotonic seconds. head_received: the response head was received.
    """

    choice: Choice
    attempt: Attempt
    endpoint_state: EndpointState
    sent_at: float
    head_received: bool = False
    first_byte_at: float | None = None


def attempt_timing(
    job: Job, started_attempt: StartedAttempt, progress: JobProgress, now: float
) -> AttemptTiming | None:
    """Return how long a streamed attempt took that ends now, None if it continued an earlier stream."""
    first_byte_at = started_attempt.first_byte_at
    if first_byte_at is None or progress.tried or job.call.resume_after is not None:
        return None
    return AttemptTiming(first_byte_at - started_attempt.sent_at, now - first_byte_at, progress.stream.events)
