"""Keeps a process's view of configuration and box list up to date, from the platform or from routers.

A view never goes back: rows merge by revision, and older box lists are ignored.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import grpc
import msgspec
from absl import logging
from result import Err, Ok, Result

from stairquay.adapters.clock import monotonic
from stairquay.adapters.ports import Platform
from stairquay.adapters.program import being_cancelled
from stairquay.adapters.router_pb2 import ViewReply, ViewRequest
from stairquay.adapters.rpc import RouterChannels
from stairquay.adapters.settings import ViewSettings
from stairquay.core.configuration import PREFIX, Configuration, merge
from stairquay.core.freshness import Freshness, Reach
from stairquay.core.malformed import MALFORMED
from stairquay.core.membership import Membership
from stairquay.core.models import BoxKind, BoxList
from stairquay.core.row import Row

JITTER_SHARE = 0.2
"""Width of the random spread of a poll period, as a share of it, so that boxes do not poll in step."""


@dataclass(frozen=True)
class Update:
    """The answer of one source: rows complete up to `revision`, and a box list if it has a newer one."""

    loaded: bool
    fresh: bool
    revision: int
    rows: tuple[Row, ...]
    boxes: BoxList | None


class View:
    """One process's view of the configuration and the boxes."""

    def __init__(self, name: str, role: str, stale_s: float) -> None:
        self.name = name
        self.role = role
        self.configuration = Configuration()
        self.membership = Membership()
        self.freshness = Freshness(stale_s)

    def apply(self, update: Update) -> None:
        """Merge the answer of a source."""
        before = self.configuration.revision
        self.configuration = merge(self.configuration, update.rows, update.revision)
        if self.configuration.revision != before:
            logging.info("applied configuration revision %d", self.configuration.revision)
            for key in self.configuration.unreadable_keys:
                logging.error("ignored configuration row %s: its value is invalid", key)
        if update.boxes is not None:
            self.membership.on_list(update.boxes)

    def routers(self) -> dict[str, str]:
        """Return the addresses of all listed routers by box id, also of those that are leaving."""
        boxes = self.membership.boxes.by_kind[BoxKind.STAIRQUAY]
        return {key: box.addresses["router"] for key, box in boxes.items() if "router" in box.addresses}

    def live_routers(self) -> dict[str, str]:
        """Return the addresses of the live routers by box id."""
        routers = self.routers()
        return {key: routers[key] for key in routers if self.membership.usable(key) is not None}

    def ready(self) -> bool:
        """Return whether the view is fresh enough to accept new requests."""
        return self.freshness.ready(monotonic())

    def reach(self) -> Reach:
        """Return which sources this process reached recently."""
        return self.freshness.reach(monotonic())


RefreshRound = Callable[[View], Awaitable[None]]
"""One round of refreshing a view; expected not to raise."""


async def follow(view: View, one_round: RefreshRound, poll_s: float, timeout_s: float) -> None:
    """Refresh a view until cancelled; log each change of its readiness."""
    was_ready = False
    while True:
        await _run_round(one_round, view, timeout_s)
        ready = view.ready()
        if ready != was_ready:
            logging.info("view is %s (reach: %s)", "ready" if ready else "not ready", view.reach().value)
        was_ready = ready
        await asyncio.sleep(poll_s * (1 + JITTER_SHARE * (random.random() - 0.5)))


async def _run_round(one_round: RefreshRound, view: View, timeout_s: float) -> None:
    """Run a round; neither its timeout nor a cancellation inside it ends the refreshing."""
    limit = asyncio.timeout(timeout_s)
    try:
        async with limit:
            await one_round(view)
    except TimeoutError:
        if not limit.expired():
            raise
        logging.error("view refresh timed out after %.1f s", timeout_s)
    except asyncio.CancelledError:
        if being_cancelled():
            raise
        logging.error("view refresh was cancelled internally")


async def fetch_from_platform(platform: Platform, view: View) -> Result[Update, str]:
    """Fetch from the platform what is newer than the view; not fresh if its list of boxes is missing."""
    changes, boxes = await asyncio.gather(
        platform.changes(view.configuration.revision, PREFIX), platform.boxes()
    )
    if isinstance(changes, Err):
        return Err(changes.err_value.value)
    rows = changes.ok_value.rows
    revision = max([view.configuration.revision, *(row.revision for row in rows)])
    return Ok(Update(True, boxes.is_ok(), revision, rows, boxes.ok()))


async def fetch_from_router(
    channels: RouterChannels, address: str, view: View, timeout_s: float
) -> Result[Update, str]:
    """Fetch from a router what is newer than the view."""
    request = ViewRequest(
        follower=view.name,
        role=view.role,
        revision=view.configuration.revision,
        list_as_of=view.membership.boxes.as_of,
    )
    try:
        reply = await channels.stub(address).View(request, timeout=timeout_s)
    except grpc.aio.AioRpcError as error:
        return Err(error.code().name)
    except asyncio.CancelledError:
        # gRPC also cancels a call when its channel closes, which must not end the refreshing.
        if being_cancelled():
            raise
        logging.warning("view request to router %s was cancelled: channel closed", address)
        return Err("cancelled")
    return _decode_update(reply)


def _decode_update(reply: ViewReply) -> Result[Update, str]:
    boxes = None
    if reply.boxes:
        try:
            boxes = msgspec.json.decode(reply.boxes, type=BoxList)
        except MALFORMED as error:
            return Err(str(error))
    rows = tuple(
        Row(row.key, row.value if row.HasField("value") else None, row.revision) for row in reply.rows
    )
    return Ok(Update(reply.loaded, reply.fresh, reply.revision, rows, boxes))


def platform_refresher(platform: Platform) -> Callable[[View], Awaitable[bool]]:
    """Return a function that refreshes a view from the platform and returns whether it answered in full."""

    async def refresh(view: View) -> bool:
        outcome = await fetch_from_platform(platform, view)
        if isinstance(outcome, Err):
            return False
        view.apply(outcome.ok_value)
        if not outcome.ok_value.fresh:
            return False
        view.freshness.on_platform(monotonic())
        return True

    return refresh


def routers_refresher(
    channels: RouterChannels,
    settings: ViewSettings,
    addresses: Callable[[View], Sequence[str]],
    require_fresh: bool,
) -> Callable[[View], Awaitable[bool]]:
    """Return a function that refreshes a view from several routers and returns whether any answered.

    With `require_fresh`, routers whose own view is stale do not count.
    """

    async def fetch_and_apply(view: View, address: str) -> bool:
        outcome = await fetch_from_router(channels, address, view, settings.timeout_s)
        if isinstance(outcome, Err):
            return False
        update = outcome.ok_value
        view.apply(update)
        if require_fresh and not update.fresh:
            return False
        view.freshness.on_peer(address, monotonic(), update.loaded)
        return True

    async def refresh(view: View) -> bool:
        answers = await asyncio.gather(*(fetch_and_apply(view, address) for address in addresses(view)))
        return any(answers)

    return refresh
