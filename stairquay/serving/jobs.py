"""A request that is to run, and what became of its attempts so far."""

from dataclasses import dataclass, field
from functools import cached_property

from stairquay.core.attempt import Attempt
from stairquay.core.call import Call, request_digest
from stairquay.core.catalog import Catalog, Route, ServiceSpec, WorkspacePolicy
from stairquay.core.errors import ExecutionStatus
from stairquay.serving.endpoint import EndpointState
from stairquay.serving.endpoint_choice import Choice
from stairquay.serving.ports import Reply, SendFailure
from stairquay.serving.relay import StreamProgress


@dataclass(frozen=True)
class Job:
    """A request that is to run. `deadline` is monotonic: the caller's time or the route's limit."""

    call: Call
    body: bytes
    catalog: Catalog
    route: Route
    service: ServiceSpec
    workspace: WorkspacePolicy | None
    arrived_at: float
    deadline: float

    @property
    def workspace_id(self) -> str:
        """Return the workspace's id, empty where the route needs no key."""
        return "" if self.workspace is None else self.workspace.id

    @cached_property
    def digest(self) -> str:
        """Return the name by which the request is known when it comes again, under another id."""
        return request_digest(self.call, self.body)


@dataclass
class JobProgress:
    """What became of a job's attempts. runs: attempts that may have run. ran: the worst of all.

    come_back_s: the seconds after which a router said that an endpoint takes the job, where all have got what
    they take.
    """

    tried: set[str] = field(default_factory=set)
    refused: int = 0
    runs: int = 0
    ran: ExecutionStatus = ExecutionStatus.NOT_RUN
    stream: StreamProgress = field(default_factory=StreamProgress)
    last: SendFailure | None = None
    error_reply: tuple[Reply, bytes] | None = None
    retry_after_s: float | None = None


@dataclass
class StartedAttempt:
    """An attempt under way at an endpoint. replied: the head of its answer has come. first_at: when its first
    byte or event came, in monotonic seconds."""

    choice: Choice
    attempt: Attempt
    endpoint_state: EndpointState
    sent_at: float
    head_received: bool = False
    first_byte_at: float | None = None
