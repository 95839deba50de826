"""What the one-process program needs of its surroundings, whatever dialect they speak."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from aiohttp import web
from result import Result

from stairquay.adapters.ports import Changes, Commit, Committed, Conflict, PlatformFault
from stairquay.core.attempt import Attempt
from stairquay.core.call import Call, Dispatch
from stairquay.core.catalog import Catalog
from stairquay.core.clock import ClockOffset
from stairquay.core.errors import ErrorKind, ExecutionStatus, Refusal
from stairquay.core.fleet import Endpoint
from stairquay.core.holdings import PartEvent, PartKey
from stairquay.core.limits import UNLIMITED
from stairquay.core.row import Row


class FeedFault(str, Enum):
    """Why a feed gave no changes."""

    UNREACHED = "unreached"
    """The table service did not answer."""

    HISTORY_GONE = "history_gone"
    """The changes since then are forgotten: everything has to be read anew."""


@dataclass(frozen=True)
class OperatorChanges:
    """What operators changed. `whole`: everything was read, not only the changes.

    catalog is None where the configuration did not change, or where it cannot be read (`unreadable` says
    why). versions_by_model holds newly named weights. evacuated: data halls whose endpoints are to get
    nothing, all of them where everything was read; returned: those that may get work again. behind_s: seconds
    by which this is older than the question for it, where another box passed it on.
    """

    revision: int
    whole: bool
    catalog: Catalog | None = None
    unreadable: str = ""
    versions_by_model: dict[str, int] = field(default_factory=dict)
    behind_s: float = 0.0
    evacuated: tuple[str, ...] = ()
    returned: tuple[str, ...] = ()


@dataclass(frozen=True)
class EndpointChanges:
    """Changed entries of the list of endpoints, and the ids of removed ones.

    behind_s: as for OperatorChanges. unreadable: why, for each id whose entry names no endpoint; it is among
    the removed ones, too.
    """

    revision: int
    whole: bool
    present: tuple[Endpoint, ...] = ()
    gone: tuple[str, ...] = ()
    behind_s: float = 0.0
    unreadable: dict[str, str] = field(default_factory=dict)


class Feeds(Protocol):
    """What is followed in the platform's table service."""

    async def read_operators(self) -> Result[OperatorChanges, FeedFault]:
        """Read the configuration and the named versions."""

    async def follow_operators(self, after: int, wait_s: float) -> Result[OperatorChanges, FeedFault]:
        """Wait for changes after a revision."""

    async def read_endpoints(self) -> Result[EndpointChanges, FeedFault]:
        """Read the list of endpoints."""

    async def follow_endpoints(self, after: int, wait_s: float) -> Result[EndpointChanges, FeedFault]:
        """Wait for changes of the list after a revision."""


class OwnTable(Protocol):
    """Rows of our own: the lease, and who is there."""

    async def get(self, key: str) -> Result[Row | None, PlatformFault]:
        """Return a row, or None where there is none."""

    async def list_prefix(self, prefix: str) -> Result[tuple[Row, ...], PlatformFault]:
        """Return all rows whose keys begin so."""

    async def commit(self, commit: Commit) -> Result[Committed | Conflict, PlatformFault]:
        """Write all rows if all conditions hold."""

    def clock_offset(self) -> ClockOffset | None:
        """Return the table service's steady clock less ours, None before it was heard."""


class CrashTable(Protocol):
    """Rows of our own in which boxes tell each other of crashes, one for each box under its id."""

    async def read(self) -> Result[Changes, FeedFault]:
        """Read all rows."""

    async def follow(self, after: int, wait_s: float) -> Result[Changes, FeedFault]:
        """Wait for rows that change after a revision."""

    async def commit(self, commit: Commit) -> Result[Committed | Conflict, PlatformFault]:
        """Write all rows if all conditions hold."""

    def clock_offset(self) -> ClockOffset | None:
        """Return the table service's steady clock less ours, None before it was heard."""


@dataclass(frozen=True)
class EngineReport:
    """What an engine or store box says of its state, some hundred milliseconds old.

    next_tokens: the prompt of the first request that waits. born: as for Endpoint. cold_s: seconds for which
    it is cold, None where it does not say so.
    """

    versions_by_model: dict[str, int] = field(default_factory=dict)
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


@dataclass(frozen=True)
class CacheSnapshot:
    """All that a holder keeps; `partial` counts the parts that broke off on their way in."""

    incarnation: int
    position: int
    parts: tuple[tuple[PartKey, int], ...]
    partial: tuple[PartKey, ...] = ()


@dataclass(frozen=True)
class CacheChanges:
    """A holder's events. `lost`: some are missing, and the list has to be read anew."""

    incarnation: int
    position: int
    lost: bool
    events: tuple[PartEvent, ...]
    clock_ms: int | None = None


class OrderAnswer(str, Enum):
    """What an engine said to an order."""

    UNDER_WAY = "under_way"
    IN_FORCE = "in_force"
    CONFLICT = "conflict"
    OLD_FENCE = "old_fence"
    REFUSED = "refused"
    SILENT = "silent"


@dataclass(frozen=True)
class VersionOrder:
    """An order to load weights, under the fencing token of the lease it is given by."""

    endpoint: str
    address: str
    model: str
    version: int
    holder: str
    fence: int
    sequence: int | None = None


class Peers(Protocol):
    """Calls to engines and store boxes besides callers' requests. A silent one gives None."""

    async def report(self, address: str) -> EngineReport | None:
        """Return an endpoint's state."""

    async def cache_changes(self, address: str, since: int, wait_s: float) -> CacheChanges | None:
        """Return a holder's events after a position, waiting for some."""

    async def cache_snapshot(self, address: str) -> CacheSnapshot | None:
        """Return all that a holder keeps."""

    async def free(self, address: str, keys: tuple[PartKey, ...], incarnation: int) -> bool:
        """Free parts at a store box, unless it has started anew; tell whether it was done."""

    async def order(self, order: VersionOrder) -> OrderAnswer:
        """Give an order."""

    async def accepts_connections(self, address: str) -> bool:
        """Tell whether something takes connections at an address."""


class Topic(str, Enum):
    """What an endpoint may say of its use."""

    LIMIT = "limit"
    LEAVING = "leaving"
    BACKOFF = "rest"


@dataclass(frozen=True)
class Feedback:
    """What an answer says of its endpoint's use.

    limit_per_s: requests a second that it takes from all callers together. leaving: it takes no new work any
    more. rest_s: seconds for which it wants nothing from this box. None where what it says cannot be read;
    unreadable gives the text then.
    """

    limit_per_s: float | None = UNLIMITED
    leaving: bool | None = False
    backoff_s: float | None = 0.0
    unreadable: tuple[tuple[Topic, str], ...] = ()


@dataclass(frozen=True)
class SendFailure:
    """Why an endpoint gave no answer that counts.

    status: the HTTP status it gave, 0 for none. misdirected: another endpoint or version is there now.
    fault: whether it speaks against the endpoint. broke: the connection ended before the answer did.
    said: None where no answer came, or one that may be another endpoint's.
    """

    kind: ErrorKind
    ran: ExecutionStatus
    detail: str
    status: int = 0
    misdirected: bool = False
    fault: bool = True
    connection_broken: bool = False
    feedback: Feedback | None = None


@dataclass(frozen=True)
class Reply:
    """An endpoint's answer whose head was read. `version` is what it ran, where it said so.

    chunks yields the body as it arrives, and raises BrokenAnswer where the body ends early.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    chunks: Callable[[], AsyncIterator[bytes]]
    close: Callable[[], None]
    streamed: bool = False
    version: int | None = None
    feedback: Feedback = Feedback()


class IncompleteResponseError(Exception):
    """An answer ended before it was whole."""


Guard = Callable[[], bool]
"""Tells, at the last moment before bytes may leave, whether the request may still be sent."""


class RequestSender(Protocol):
    """Callers' requests on their way to endpoints."""

    async def send(
        self, call: Call, body: bytes, dispatch: Dispatch, attempt: Attempt, guard: Guard, wait_s: float
    ) -> Result[Reply, SendFailure]:
        """Send a request, and return the answer's head."""


class CallerCodec(Protocol):
    """The dialect that callers speak."""

    def decode(self, request: web.Request) -> Result[Call, Refusal]:
        """Return the request in our own types."""

    def refuse(self, call_id: str, refusal: Refusal) -> web.Response:
        """Return the answer to a request that was given up on."""


@dataclass(frozen=True)
class Ports:
    """All ports of the one-process program."""

    feeds: Feeds
    own: OwnTable
    peers: Peers
    endpoints: RequestSender
    callers: CallerCodec
    ready_path: str
    close: Callable[[], Awaitable[None]]
    crashes: CrashTable
