"""Client for the control calls to engines and store boxes: state, cached context and orders."""

import asyncio
from collections.abc import Mapping
from logging import getLogger
from typing import Any, TypeVar

import msgspec
from aiohttp import ClientConnectorError, ClientError, ClientSession

from stairquay.core.holdings import PartEvent
from stairquay.core.malformed import MALFORMED
from stairquay.core.whole_numbers import WholeNumber
from stairquay.platform.connections import CONNECT_TIMEOUT_S
from stairquay.platform.names import (
    CACHE_EVENTS_PATH,
    CACHE_FREE_PATH,
    CACHE_LIST_PATH,
    INSTANCE,
    ORDER_PATH,
    REPORT_PATH,
    STATE_DRAINING,
    WAIT,
)
from stairquay.platform.polling import PollClient
from stairquay.platform.weights import WireModel, versions_by_model
from stairquay.serving.ports import (
    CacheChanges,
    CacheSnapshot,
    EngineReport,
    FreeOrder,
    FreeOutcome,
    OrderAnswer,
    VersionOrder,
)

LOGGER = getLogger(__name__)

RESPONSE_TIMEOUT_S = 0.5
"""Timeout of a call in seconds, on top of the wait of a long poll."""

MAX_ORDER_ANSWER_BYTES = 65_536
"""Bytes read of the body of an answer to an order, which says nothing."""

HTTP_OK = 200
NO_HEADERS: Mapping[str, str] = {}
METHOD_RETAIN = "retain"
"""Lets running requests continue after the engine has changed its weights. `wait` keeps the engine idle until
they end, for three to six seconds instead of one and a half; `truncate` would abort them."""

ORDER_ANSWERS_BY_STATUS = {
    200: OrderAnswer.IN_FORCE,
    202: OrderAnswer.UNDER_WAY,
    409: OrderAnswer.CONFLICT,
    412: OrderAnswer.OLD_FENCE,
}


class WireReport(msgspec.Struct):
    """State of an engine or store box.

    sequence: number of accepted orders. boot_epoch: identifies the incarnation. next_page_token: here, the
    tokens of the first waiting prompt.
    """

    models: list[WireModel] = []
    busy: bool = False
    sequence: WholeNumber | None = None
    queued: WholeNumber = 0
    running: WholeNumber = 0
    state: str = ""
    clock_ms: float | None = None
    boot_epoch: WholeNumber | None = None
    next_page_token: WholeNumber = 0
    kv_used: WholeNumber = 0
    kv_total: WholeNumber = 0
    born: WholeNumber = 0
    cold_remaining_ms: float | None = None


class WireCacheEvents(msgspec.Struct):
    """Changes of a cache as [number, sign, scope, part, tokens cached now, model].

    next_page_token: position to continue from. lost: events are missing.
    """

    boot_epoch: WholeNumber
    next_page_token: WholeNumber
    lost: bool = False
    events: list[tuple[WholeNumber, str, str | None, str, WholeNumber, str]] = []
    clock_ms: float | None = None


class WireCacheSnapshot(msgspec.Struct):
    """Contents of a cache as [scope, part, tokens, model].

    partial: incomplete parts as [scope, part, total tokens, received tokens].
    """

    boot_epoch: WholeNumber
    next_page_token: WholeNumber
    held: list[tuple[str | None, str, WholeNumber, str]] = []
    partial: list[tuple[str | None, str, WholeNumber, WholeNumber]] = []


T = TypeVar("T")


class PeerClient:
    """Queries engines and store boxes, and sends orders to them.

    order_session: gives each call a connection of its own. On another one, an answer to an earlier order that
    comes a second time could not be told from the one that is due.
    """

    def __init__(self, order_session: ClientSession, polls: PollClient) -> None:
        self.order_session = order_session
        self.polls = polls

    async def report(self, address: str) -> EngineReport | None:
        """Return the state of an engine or store box, or None if it does not answer."""
        found = await self._get(address, REPORT_PATH, WireReport, RESPONSE_TIMEOUT_S)
        if found is None:
            return None
        return EngineReport(
            versions_by_model=versions_by_model(found.models),
            busy=found.busy,
            sequence=found.sequence,
            queued=found.queued,
            next_tokens=found.next_page_token,
            running=found.running,
            leaving=found.state == STATE_DRAINING,
            clock_ms=None if found.clock_ms is None else int(found.clock_ms),
            incarnation=found.boot_epoch,
            used_tokens=found.kv_used,
            total_tokens=found.kv_total,
            born=found.born,
            cold_s=None if found.cold_remaining_ms is None else max(0.0, found.cold_remaining_ms / 1000),
        )

    async def cache_changes(self, address: str, since: int, wait_s: float) -> CacheChanges | None:
        """Return the changes of a cache after a position, or None if its holder does not answer."""
        target = f"{CACHE_EVENTS_PATH}?since={since}"
        headers = {WAIT: str(int(wait_s * 1000))}
        found = await self._get(address, target, WireCacheEvents, wait_s + RESPONSE_TIMEOUT_S, headers)
        if found is None:
            return None
        events = tuple(PartEvent(item[0], item[2] or "", item[3], item[4]) for item in found.events)
        clock_ms = None if found.clock_ms is None else int(found.clock_ms)
        return CacheChanges(found.boot_epoch, found.next_page_token, found.lost, events, clock_ms)

    async def cache_snapshot(self, address: str) -> CacheSnapshot | None:
        """Return the contents of a cache, or None if its holder does not answer.

        Lists are rare, and an earlier one that came a second time would bring back parts that were dropped.
        """
        found = await self._get(address, CACHE_LIST_PATH, WireCacheSnapshot, RESPONSE_TIMEOUT_S, reuse=False)
        if found is None:
            return None
        parts = tuple(((item[0] or "", item[1]), item[2]) for item in found.held)
        partial = tuple((item[0] or "", item[1]) for item in found.partial)
        return CacheSnapshot(found.boot_epoch, found.next_page_token, parts, partial)

    async def free(self, order: FreeOrder) -> FreeOutcome:
        """Free parts at one incarnation of a store box."""
        body = {
            "parts": [list(key) for key in order.keys],
            "boot_epoch": order.incarnation,
            "until_ms": order.until_ms,
        }
        try:
            status = await self._post_once(f"http://{order.address}{CACHE_FREE_PATH}", body, {})
        except ClientConnectorError:
            return FreeOutcome.UNREACHED
        except (ClientError, TimeoutError, OSError):
            return FreeOutcome.SILENT
        return FreeOutcome.FREED if status == HTTP_OK else FreeOutcome.REFUSED

    async def order(self, order: VersionOrder) -> OrderAnswer:
        """Order an engine to load weights. It may do so later even if it does not answer."""
        body: dict[str, Any] = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            "method": METHOD_RETAIN,
            "holder": order.holder,
            "fencing_token": order.fence,
        }
        if order.sequence is not None:
            body["expected"] = order.sequence
        status = await self._post(f"http://{order.address}{ORDER_PATH}", body, {INSTANCE: order.endpoint})
        if status is None:
            return OrderAnswer.SILENT
        return ORDER_ANSWERS_BY_STATUS.get(status, OrderAnswer.REFUSED)

    async def accepts_connections(self, address: str) -> bool:
        """Tell whether anything accepts connections at an address; a port that was closed resets at once."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    async def _get(
        self,
        address: str,
        target: str,
        kind: type[T],
        timeout_s: float,
        headers: Mapping[str, str] = NO_HEADERS,
        reuse: bool = True,
    ) -> T | None:
        response = await self.polls.get(address, target, headers, timeout_s, reuse)
        if response is None or response.status != HTTP_OK:
            return None
        try:
            return msgspec.json.decode(response.body, type=kind)
        except MALFORMED as error:
            LOGGER.warning("invalid response from %s%s: %s", address, target, error)
            return None

    async def _post(self, url: str, body: dict[str, Any], headers: dict[str, str]) -> int | None:
        try:
            return await self._post_once(url, body, headers)
        except (ClientError, TimeoutError, OSError):
            return None

    async def _post_once(self, url: str, body: dict[str, Any], headers: dict[str, str]) -> int:
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            async with self.order_session.post(url, json=body, headers=headers) as response:
                if len(await response.content.read(MAX_ORDER_ANSWER_BYTES)) == MAX_ORDER_ANSWER_BYTES:
                    response.close()
                return response.status
