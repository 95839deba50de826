"""Calls to engines and store boxes besides callers' requests: state, kept context, orders."""

import asyncio
from typing import Any, TypeVar

import msgspec
from absl import logging
from aiohttp import ClientError, ClientSession

from stairquay.core.holdings import PartEvent, PartKey
from stairquay.platform.connections import CONNECT_S
from stairquay.platform.names import (
    FREE_PATH,
    INSTANCE,
    KEPT_EVENTS_PATH,
    KEPT_LIST_PATH,
    ORDER_PATH,
    REPORT_PATH,
    STATE_DRAINING,
    WAIT,
)
from stairquay.platform.weights import WireModel, versions_by_model
from stairquay.serving.ports import CacheChanges, CacheSnapshot, EngineReport, OrderAnswer, VersionOrder

ANSWER_S = 0.5
"""Seconds for an answer of an engine or store box, besides a wait that was asked for."""

HTTP_OK = 200
METHOD_RETAIN = "retain"
"""How an engine changes its weights: runs under way go on after the change. Waiting for them to end (`wait`)
kept an engine out of work for three to six seconds instead of one and a half; cutting them off (`truncate`)
would lose their answers."""

ORDER_ANSWERS = {
    200: OrderAnswer.IN_FORCE,
    202: OrderAnswer.UNDER_WAY,
    409: OrderAnswer.CONFLICT,
    412: OrderAnswer.OLD_FENCE,
}


class WireReport(msgspec.Struct):
    """State of an engine or store box. `sequence` counts orders taken, `boot_epoch` names its life.

    next_page_token is, here, the tokens of the first waiting prompt.
    """

    models: list[WireModel] = []
    busy: bool = False
    sequence: int | None = None
    queued: int = 0
    running: int = 0
    state: str = ""
    clock_ms: float | None = None
    boot_epoch: int | None = None
    next_page_token: int = 0
    kv_used: int = 0
    kv_total: int = 0
    born: int = 0
    cold_remaining_ms: float | None = None


class WireEvents(msgspec.Struct):
    """Events of a holder: [number, sign, scope, part, tokens kept now, model]."""

    boot_epoch: int
    next_page_token: int
    lost: bool = False
    events: list[tuple[int, str, str | None, str, int, str]] = []
    clock_ms: float | None = None


class WireKept(msgspec.Struct):
    """All parts of a holder: [scope, part, tokens, model]; partial ones are [scope, part, whole, taken]."""

    boot_epoch: int
    next_page_token: int
    held: list[tuple[str | None, str, int, str]] = []
    partial: list[tuple[str | None, str, int, int]] = []


T = TypeVar("T")


class PeerClient:
    """Asks engines and store boxes, and gives orders."""

    def __init__(self, session: ClientSession) -> None:
        self.session = session

    async def report(self, address: str) -> EngineReport | None:
        """Return an endpoint's state, None where it does not answer."""
        found = await self._get(f"http://{address}{REPORT_PATH}", WireReport, ANSWER_S)
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
        """Return a holder's events after a position, None where it does not answer."""
        url = f"http://{address}{KEPT_EVENTS_PATH}?since={since}"
        found = await self._get(url, WireEvents, wait_s + ANSWER_S, {WAIT: str(int(wait_s * 1000))})
        if found is None:
            return None
        events = tuple(PartEvent(item[0], item[2] or "", item[3], item[4]) for item in found.events)
        clock_ms = None if found.clock_ms is None else int(found.clock_ms)
        return CacheChanges(found.boot_epoch, found.next_page_token, found.lost, events, clock_ms)

    async def cache_snapshot(self, address: str) -> CacheSnapshot | None:
        """Return all that a holder keeps, None where it does not answer."""
        found = await self._get(f"http://{address}{KEPT_LIST_PATH}", WireKept, ANSWER_S)
        if found is None:
            return None
        parts = tuple(((item[0] or "", item[1]), item[2]) for item in found.held)
        partial = tuple((item[0] or "", item[1]) for item in found.partial)
        return CacheSnapshot(found.boot_epoch, found.next_page_token, parts, partial)

    async def free(self, address: str, keys: tuple[PartKey, ...], incarnation: int) -> bool:
        """Free parts at a store box of a given life; tell whether it was done."""
        body = {"parts": [list(key) for key in keys], "boot_epoch": incarnation}
        status = await self._post(f"http://{address}{FREE_PATH}", body, {})
        return status == HTTP_OK

    async def order(self, order: VersionOrder) -> OrderAnswer:
        """Tell an engine to load weights. One that does not answer may still do it, even much later."""
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
        return ORDER_ANSWERS.get(status, OrderAnswer.REFUSED)

    async def accepts_connections(self, address: str) -> bool:
        """Tell whether something takes connections at an address: a port that was left resets at once."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    async def _get(
        self, url: str, kind: type[T], limit_s: float, headers: dict[str, str] | None = None
    ) -> T | None:
        try:
            async with asyncio.timeout(limit_s):
                async with self.session.get(url, headers=headers) as response:
                    content = await response.read()
        except (ClientError, TimeoutError, OSError):
            return None
        if response.status != HTTP_OK:
            return None
        try:
            return msgspec.json.decode(content, type=kind)
        except msgspec.MsgspecError as error:
            logging.warning("answer of %s cannot be read: %s", url, error)
            return None

    async def _post(self, url: str, body: dict[str, Any], headers: dict[str, str]) -> int | None:
        try:
            async with asyncio.timeout(ANSWER_S):
                async with self.session.post(url, json=body, headers=headers) as response:
                    await response.read()
                    return response.status
        except (ClientError, TimeoutError, OSError):
            return None
