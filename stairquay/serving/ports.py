"""Ports of the box process: the interfaces that adapters of a platform implement.

Their values are frozen msgspec structs. Compared with a frozen data class, such a class takes a fortieth of
the time to make at import, and an instance a tenth.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import msgspec
from aiohttp import web
from result import Result

from stairquay.adapters.early_answer import RequestHead
from stairquay.adapters.ports import Changes, Commit, Committed, Conflict, PlatformFault
from stairquay.core.attempt import Attempt
from stairquay.core.call import Call, Dispatch
from stairquay.core.catalog import Catalog, CatalogVersion
from stairquay.core.clock import ClockOffset
from stairquay.core.errors import ErrorKind, ExecutionStatus, Refusal
from stairquay.core.fleet import Endpoint
from stairquay.core.holdings import PartEvent, PartKey
from stairquay.core.limits import UNLIMITED
from stairquay.core.position import Position, Positioned
from stairquay.core.row import Row


class FeedFault(str, Enum):
    """Why a feed returned no changes."""

    UNREACHED = "unreached"

    HISTORY_GONE = "history_gone"
    """The changes after that position are no longer kept, or the table service was restored since: a
    snapshot has to be read."""


class OperatorChanges(msgspec.Struct, Positioned, frozen=True):
    """Changes of the operators' configuration, or a snapshot of it (`whole`).

    catalog: None if it did not change, or is invalid (`unreadable` says why).
    """

    revision: int
    whole: bool
    catalog: Catalog | None = None
    unreadable: str = ""
    # New target versions.
    versions_by_model: dict[str, int] = msgspec.field(default_factory=dict)
    # Seconds by which this is older than the request for it, if a router forwarded it.
    behind_s: float = 0.0
    # Data halls whose endpoints must get no requests, all of them in a snapshot.
    evacuated: tuple[str, ...] = ()
    # Data halls whose evacuation has ended.
    returned: tuple[str, ...] = ()
    era: int = 0
    # A router sent this, not the table service.
    forwarded: bool = False
    # Era in which the table service last returned the configuration, if a router sent this and knows it.
    catalog_era: int = 0


class EndpointChanges(msgspec.Struct, Positioned, frozen=True):
    """Changed entries of the list of endpoints, and the ids of removed ones; or a snapshot (`whole`).

    behind_s: as in OperatorChanges. unreadable: errors by id of invalid entries, which `gone` also lists.
    """

    revision: int
    whole: bool
    present: tuple[Endpoint, ...] = ()
    gone: tuple[str, ...] = ()
    behind_s: float = 0.0
    unreadable: dict[str, str] = msgspec.field(default_factory=dict)
    era: int = 0


class Feeds(Protocol):
    """Feeds of the platform's table service."""

    async def read_operators(self) -> Result[OperatorChanges, FeedFault]:
        """Read the configuration and the target versions."""

    async def follow_operators(self, after: Position, wait_s: float) -> Result[OperatorChanges, FeedFault]:
        """Wait for changes after a position."""

    async def read_endpoints(self) -> Result[EndpointChanges, FeedFault]:
        """Read the list of endpoints."""

    async def follow_endpoints(self, after: Position, wait_s: float) -> Result[EndpointChanges, FeedFault]:
        """Wait for changes of the list after a position."""


class OwnTable(Protocol):
    """The table for rows of the boxes: the lease and the heartbeats."""

    async def get(self, key: str) -> Result[Row, PlatformFault]:
        """Return a row; its value is None where there is none."""

    async def list_prefix(self, prefix: str) -> Result[tuple[Row, ...], PlatformFault]:
        """Return all rows whose keys begin with a prefix."""

    async def commit(self, commit: Commit) -> Result[Committed | Conflict, PlatformFault]:
        """Write all rows if all conditions hold."""

    def clock_offset(self) -> ClockOffset | None:
        """Return the offset of the table service's monotonic clock to the local one, None if unknown."""


class CrashTable(Protocol):
    """The table in which boxes publish crashes, one row for each box under its id."""

    async def read(self) -> Result[Changes, FeedFault]:
        """Read all rows."""

    async def follow(self, after: Position, wait_s: float) -> Result[Changes, FeedFault]:
        """Wait for rows that change after a position."""

    async def commit(self, commit: Commit) -> Result[Committed | Conflict, PlatformFault]:
        """Write all rows if all conditions hold."""

    def clock_offset(self) -> ClockOffset | None:
        """Return the offset of the table service's monotonic clock to the local one, None if unknown."""


class EngineReport(msgspec.Struct, frozen=True):
    """The state that an engine or store box reports.

    next_tokens: prompt tokens of the first waiting request. born: as in Endpoint. cold_s: seconds for which
    it is still cold, None where it is not known.
    """

    versions_by_model: dict[str, int] = msgspec.field(default_factory=dict)
    busy: bool = False
    sequence: int | None = None
    queued: int = 0
    next_tokens: int = 0
    running: int = 0
    leaving: bool = False
    clock_ms: int | None = None
    incarnation: int | None = None
    used_tokens: int = 0
    total_tokens: int = 0
    born: int = 0
    cold_s: float | None = None


class CacheSnapshot(msgspec.Struct, frozen=True):
    """All parts in the cache of an engine or store box. partial: parts whose transfer broke off."""

    incarnation: int
    position: int
    parts: tuple[tuple[PartKey, int], ...]
    partial: tuple[PartKey, ...] = ()


class CacheChanges(msgspec.Struct, frozen=True):
    """Cache events after a position. lost: some are missing, and a snapshot has to be read."""

    incarnation: int
    position: int
    lost: bool
    events: tuple[PartEvent, ...]
    clock_ms: int | None = None


class OrderAnswer(str, Enum):
    """How an engine answered an order."""

    UNDER_WAY = "under_way"
    IN_FORCE = "in_force"
    CONFLICT = "conflict"
    OLD_FENCE = "old_fence"
    REFUSED = "refused"
    SILENT = "silent"


class FreeOrder(msgspec.Struct, frozen=True):
    """A call to free parts at a store box, which does nothing after `until_ms` by the endpoints' clock, or in
    another incarnation."""

    address: str
    keys: tuple[PartKey, ...]
    incarnation: int
    until_ms: int


class FreeOutcome(str, Enum):
    """How a call to free parts ended. After SILENT, it may still be carried out."""

    FREED = "freed"
    REFUSED = "refused"
    UNREACHED = "unreached"
    SILENT = "silent"


class VersionOrder(msgspec.Struct, frozen=True):
    """An order to load weights, with the fencing token of the lease that it is issued under."""

    endpoint: str
    address: str
    model: str
    version: int
    holder: str
    fence: int
    sequence: int | None = None


class Peers(Protocol):
    """Control calls to engines and store boxes. They return None where there is no answer."""

    async def report(self, address: str) -> EngineReport | None:
        """Return the state of an engine or store box."""

    async def cache_changes(self, address: str, since: int, wait_s: float) -> CacheChanges | None:
        """Return cache events after a position, waiting for some."""

    async def cache_snapshot(self, address: str) -> CacheSnapshot | None:
        """Return all cached parts."""

    async def free(self, order: FreeOrder) -> FreeOutcome:
        """Free parts at a store box."""

    async def order(self, order: VersionOrder) -> OrderAnswer:
        """Send an order to an engine."""

    async def accepts_connections(self, address: str) -> bool:
        """Tell whether an address accepts connections."""


class Topic(str, Enum):
    """Kinds of feedback."""

    LIMIT = "limit"
    LEAVING = "leaving"
    BACKOFF = "rest"
    TOLERANCE = "brittle"


class Feedback(msgspec.Struct, frozen=True):
    """What an endpoint reports of its own use, in the head of an answer.

    limit_per_s: requests per second that it accepts from all callers together. leaving: it accepts no new
    requests. backoff_s: seconds for which it wants no requests from this box. bears_per_s: rejections a
    second above which it falls over, UNLIMITED if it doesn't. Each is None where its header is invalid;
    unreadable has the text then. rejected: it turned the request away for want of room.
    """

    limit_per_s: float | None = UNLIMITED
    leaving: bool | None = False
    backoff_s: float | None = 0.0
    bears_per_s: float | None = UNLIMITED
    rejected: bool = False
    unreadable: tuple[tuple[Topic, str], ...] = ()


class SurplusAnswers(msgspec.Struct, frozen=True):
    """Answers to earlier requests that an endpoint sent before the one that was due, and that were skipped.

    answered: id of the request that the first of them names, empty if it names none. status: its status.
    """

    number: int
    answered: str
    status: int


class SendFailure(msgspec.Struct, frozen=True):
    """Why an attempt at an endpoint failed.

    status: the HTTP status, 0 for none. misdirected: another endpoint or version is at the address. fault:
    whether it counts against the endpoint. connection_broken: the connection ended before the answer did.
    feedback: None where no answer came, or one that may be another endpoint's.
    """

    kind: ErrorKind
    ran: ExecutionStatus
    detail: str
    status: int = 0
    misdirected: bool = False
    fault: bool = True
    connection_broken: bool = False
    feedback: Feedback | None = None
    surplus: SurplusAnswers | None = None


Take = Callable[[bytes], Awaitable[None] | None]
"""Takes bytes of a body right when they are read from the connection. It must not block; what it returns, if
anything, is awaited before it is called again."""

HoldSeconds = Callable[[], float]
"""Asked after each piece: seconds for which nothing more is read from the connection, 0 to go on at once."""


class Framing(str, Enum):
    """What marks the end of an answer's body (RFC 9112, section 6.3)."""

    LENGTH = "length"
    """Its Content-Length; also of answers that have no body."""

    CHUNKED = "chunked"

    CLOSE = "close"
    """The end of the connection, which a sender that crashes ends as well."""


class Reply(msgspec.Struct, frozen=True):
    """An endpoint's answer whose head was read. version: the weights it ran, where the answer names them.

    forward passes the body on as it arrives, and raises IncompleteResponseError where the body ends early.
    whole_body returns the body if it is there as a whole already, else None.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    forward: Callable[[Take, HoldSeconds], Awaitable[None]]
    close: Callable[[], None]
    streamed: bool = False
    version: int | None = None
    feedback: Feedback = Feedback()
    whole_body: Callable[[], bytes | None] = lambda: None
    framing: Framing = Framing.LENGTH
    surplus: SurplusAnswers | None = None


class IncompleteResponseError(Exception):
    """A response ended before it was complete."""


class Forward(msgspec.Struct, frozen=True):
    """How a request is passed on to another box.

    address: where it takes callers' requests. attempts: endpoints that it may send the request to.
    resume_after: as in Call, of the answer that the caller has by now. configuration: the one that this box
    goes by.
    """

    address: str
    time_left_s: float
    attempts: int
    resume_after: str | None = None
    configuration: CatalogVersion | None = None


class BoxRefusal(msgspec.Struct, frozen=True):
    """Why another box gave no endpoint's answer.

    retry_after_s: as it told, None if it told nothing. not_listening: it refused the connection. runs:
    endpoints at which the request may have run, None if the box did not tell.
    """

    kind: ErrorKind
    ran: ExecutionStatus
    detail: str
    retry_after_s: float | None = None
    not_listening: bool = False
    runs: int | None = None


class BoxSender(Protocol):
    """Passes callers' requests on to other boxes."""

    async def send(
        self, call: Call, body: bytes, forward: Forward, attempt: Attempt
    ) -> Result[Reply, BoxRefusal]:
        """Send a request, and return the head of an endpoint's answer."""

    async def is_refused(self, address: str) -> bool:
        """Tell whether a box refuses a new connection, which is closed at once."""


Guard = Callable[[], bool]
"""Checked just before the first byte is written: tells whether the request may still be sent."""


class RequestSender(Protocol):
    """Sends callers' requests to endpoints."""

    async def send(
        self, call: Call, body: bytes, dispatch: Dispatch, attempt: Attempt, guard: Guard, wait_s: float
    ) -> Result[Reply, SendFailure]:
        """Send a request, and return the answer's head."""

    async def probe(self, address: str) -> bool:
        """Tell whether a new connection can be opened; it is kept for the next request."""


class CallerCodec(Protocol):
    """Decodes callers' requests and encodes refusals."""

    def decode(self, request: web.BaseRequest) -> Result[Call, Refusal]:
        """Return the decoded request."""

    def refuse(self, call_id: str, refusal: Refusal) -> web.Response:
        """Return the response to a refused request."""

    def decode_head(self, head: RequestHead) -> Call | None:
        """Return a call without body, prompt and other headers, None if it is malformed."""

    def encode_refusal(self, call_id: str, refusal: Refusal) -> bytes:
        """Return the response to a refused request as bytes that close the connection."""


@dataclass(frozen=True)
class Ports:
    """All ports of the box process."""

    feeds: Feeds
    own: OwnTable
    peers: Peers
    endpoints: RequestSender
    callers: CallerCodec
    ready_path: str
    close: Callable[[], Awaitable[None]]
    crashes: CrashTable
    boxes: BoxSender
