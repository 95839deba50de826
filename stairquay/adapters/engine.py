"""HTTP client of model engines: state and cache events, fenced orders, import and export of KV blocks.

docs/ENDPOINTS.md describes the calls. Requests of callers go through `stairquay.entry`.
"""

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout
from result import Err, Ok, Result

from stairquay.core.malformed import MALFORMED

T = TypeVar("T")

HTTP_OK = 200


class EventKind(str, Enum):
    """What happened to blocks in an engine's cache."""

    STORED = "stored"
    REMOVED = "removed"


@dataclass(frozen=True)
class CacheEvent:
    """A cache event. Numbers are consecutive; a gap means that events were lost."""

    number: int
    kind: EventKind
    ids: tuple[str, ...]


@dataclass(frozen=True)
class EngineState:
    """An engine's report, `age_s` seconds old when sent, with the cache events after a given number."""

    incarnation: str
    version: str
    age_s: float = 0.0
    loading: str = ""
    leaving: bool = False
    queued_tokens: int = 0
    running: int = 0
    cache_tokens: int = 0
    last_event: int = 0
    events: tuple[CacheEvent, ...] = ()


class OrderKind(str, Enum):
    """Orders that engines accept."""

    LOAD = "load"


@dataclass(frozen=True)
class Order:
    """A fenced order, not to be carried out after `valid_until` (Unix seconds).

    Engines that check fences refuse an order whose fence is below the highest that they have seen.
    """

    kind: OrderKind
    fence: int
    valid_until: float
    version: str = ""
    adapters: tuple[str, ...] = ()


class OrderOutcome(str, Enum):
    """Result of sending an order: `FENCED` if it was refused, `UNKNOWN` if no answer arrived."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class ImportBlock:
    """A block to read: its id, its index in a segment, and its expected checksum."""

    id: str
    segment: str
    index: int
    checksum: str


@dataclass(frozen=True)
class ImportOrder:
    """Blocks to read from a store box; the engine stops at `valid_until` (Unix seconds)."""

    store: str
    version: str
    valid_until: float
    block_bytes: int
    blocks: tuple[ImportBlock, ...]


@dataclass(frozen=True)
class ImportResult:
    """Number of leading blocks of the order that arrived intact, and bytes moved."""

    blocks: int
    bytes: int = 0


@dataclass(frozen=True)
class ExportOrder:
    """Blocks to write to a store box as one segment with a new, unique name."""

    store: str
    segment: str
    version: str
    block_bytes: int
    ids: tuple[str, ...]


@dataclass(frozen=True)
class ExportResult:
    """The blocks that were written, in order, with their checksums."""

    ids: tuple[str, ...]
    checksums: tuple[str, ...]


async def fetch_state(
    session: ClientSession, address: str, after: int, timeout_s: float
) -> Result[EngineState, str]:
    """Return an engine's state with the cache events after number `after`."""
    return await _call(session, "GET", f"http://{address}/state?after={after}", None, EngineState, timeout_s)


async def import_blocks(
    session: ClientSession, address: str, order: ImportOrder, timeout_s: float
) -> Result[ImportResult, str]:
    """Make an engine read blocks from a store box."""
    return await _call(session, "POST", f"http://{address}/kv/import", order, ImportResult, timeout_s)


async def export_blocks(
    session: ClientSession, address: str, order: ExportOrder, timeout_s: float
) -> Result[ExportResult, str]:
    """Make an engine write blocks to a store box."""
    return await _call(session, "POST", f"http://{address}/kv/export", order, ExportResult, timeout_s)


async def send_order(session: ClientSession, address: str, order: Order, timeout_s: float) -> OrderOutcome:
    """Send an order; the outcome is unknown if no answer arrives."""
    try:
        async with session.post(
            f"http://{address}/orders",
            data=msgspec.json.encode(order),
            timeout=ClientTimeout(total=timeout_s),
        ) as response:
            if response.status == HTTP_OK:
                return OrderOutcome.ACCEPTED
            return OrderOutcome.FENCED
    except (ClientError, asyncio.TimeoutError):
        return OrderOutcome.UNKNOWN


async def _call(
    session: ClientSession,
    method: str,
    url: str,
    body: object,
    response_type: type[T],
    timeout_s: float,
) -> Result[T, str]:
    data = None if body is None else msgspec.json.encode(body)
    timeout = ClientTimeout(total=timeout_s)
    try:
        async with session.request(method, url, data=data, timeout=timeout) as response:
            text = await response.read()
            if response.status != HTTP_OK:
                return Err(f"status {response.status}")
            return Ok(msgspec.json.decode(text, type=response_type))
    except (ClientError, asyncio.TimeoutError, *MALFORMED) as error:
        return Err(type(error).__name__)
