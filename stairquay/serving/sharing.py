"""Follows the table service through routers, so that its load does not grow with the number of boxes.

The other boxes request the views of a few routers, with their age. A box that gets no reply, or an expired
view, calls the table service itself.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
from msgspec.structs import replace
from result import Ok, Result

from stairquay.adapters.clock import monotonic
from stairquay.core.position import NO_POSITION, Position
from stairquay.core.routers import routers_for
from stairquay.serving.crash_reports import decode_report
from stairquay.serving.links import RouterClient, RouterClients
from stairquay.serving.messages import (
    EndpointsReply,
    EndpointsRequest,
    OperatorsReply,
    OperatorsRequest,
    PeerCrashes,
    ViewsReply,
    ViewsRequest,
)
from stairquay.serving.ports import EndpointChanges, FeedFault, Feeds, OperatorChanges
from stairquay.serving.state import BoxState
from stairquay.serving.telling import apply_peer_feedback, feedback_for_peers

Reply = TypeVar("Reply")

HOLD_SHARE = 0.2
"""Share of the shortest propagation deadline for which a router holds a request (long poll)."""

TIMEOUT_SHARE = 0.2
"""Share of that deadline after which, beyond the hold, a request times out. Both shares and that of a view's
maximum age add up to less than 1."""


class PendingViews(msgspec.Struct, frozen=True):
    """A request for both views, and when it was sent (monotonic seconds)."""

    sent_at: float
    reply: asyncio.Task[ViewsReply | None]


class SharedFeeds:
    """Feeds of the table service, read through a router where there is one.

    operators_from_router: the current view of operators' rows came from a router.
    """

    def __init__(self, state: BoxState, feeds: Feeds, links: RouterClients) -> None:
        self.state = state
        self.feeds = feeds
        self.links = links
        self.pending: PendingViews | None = None
        self.operators_from_router = False

    async def read_operators(self) -> Result[OperatorChanges, FeedFault]:
        """Read the configuration and the target versions."""
        timeout_s = self._timeout_s()
        request = self._operators_request(self.state.operators_position, 0.0)
        reply = await self._request(lambda link: link.operators(request, timeout_s), "operators' rows")
        changes = self._accept_operators(reply, 0.0)
        return Ok(changes) if changes is not None else await self.feeds.read_operators()

    async def follow_operators(self, after: Position, wait_s: float) -> Result[OperatorChanges, FeedFault]:
        """Wait for changes of operators' rows after a position."""
        hold_s = self._hold_s(wait_s)
        if self.state.list_from_router:
            views, pending_s = await self._follow_both_views(hold_s)
            reply = None if views is None else views.operators
        else:
            request, timeout_s, pending_s = self._operators_request(after, hold_s), self._timeout_s(), 0.0
            reply = await self._request(lambda link: link.operators(request, timeout_s), "operators' rows")
        changes = self._accept_operators(reply, pending_s)
        return Ok(changes) if changes is not None else await self.feeds.follow_operators(after, wait_s)

    async def read_endpoints(self) -> Result[EndpointChanges, FeedFault]:
        """Read the list of endpoints."""
        timeout_s = self._timeout_s()
        request = _endpoints_request(self.state.list_position, 0.0)
        reply = await self._request(lambda link: link.endpoints(request, timeout_s), "the list of endpoints")
        changes = self._accept_endpoints(reply, 0.0)
        return Ok(changes) if changes is not None else await self.feeds.read_endpoints()

    async def follow_endpoints(self, after: Position, wait_s: float) -> Result[EndpointChanges, FeedFault]:
        """Wait for changes of the list after a position."""
        hold_s = self._hold_s(wait_s)
        if self.operators_from_router:
            views, pending_s = await self._follow_both_views(hold_s)
            reply = None if views is None else views.endpoints
        else:
            request, timeout_s, pending_s = _endpoints_request(after, hold_s), self._timeout_s(), 0.0
            reply = await self._request(
                lambda link: link.endpoints(request, timeout_s), "the list of endpoints"
            )
        changes = self._accept_endpoints(reply, pending_s)
        return Ok(changes) if changes is not None else await self.feeds.follow_endpoints(after, wait_s)

    def _accept_operators(self, reply: OperatorsReply | None, pending_s: float) -> OperatorChanges | None:
        """Return a router's changes, None without a reply or if the view has expired.

        A router that has not heard of a restore of the table service has no view either for a box that has.
        pending_s: age of the request when the caller began to wait for it.
        """
        state, known = self.state, self.state.operators_position
        self.operators_from_router = (
            reply is not None
            and not state.view_expired(reply.age_s)
            and _era_of(reply.changes, known) >= known.era
        )
        if reply is None or not self.operators_from_router:
            self._apply_crash_report(NO_POSITION, None)
            return None
        self._apply_crash_report(Position(reply.crashes_era, reply.crashes_revision), reply.crashes)
        apply_peer_feedback(self.state, reply.said, monotonic())
        # `age_s` is the age when the reply was made; `behind_s` is the age when the caller began to wait.
        # The reply was made `held_s` after the request arrived, which was after it was sent.
        behind_s = reply.age_s - reply.held_s + pending_s
        era = _era_of(reply.changes, known)
        return replace(reply.changes, behind_s=behind_s, forwarded=True, era=era)

    def _operators_request(self, after: Position, hold_s: float) -> OperatorsRequest:
        feedback = feedback_for_peers(self.state, monotonic())
        crashes = self.state.quarantine.router_position
        return OperatorsRequest(after.revision, hold_s, crashes.revision, feedback, after.era, crashes.era)

    def _apply_crash_report(self, position: Position, report: PeerCrashes | None) -> None:
        """Apply a router's crash report. position: NO_POSITION for none; report: None if unchanged."""
        quarantine = self.state.quarantine
        was_reporting = quarantine.router_reporting
        if position.revision < 0:
            quarantine.end_router_reports()
        elif report is not None:
            quarantine.apply_router_report(decode_report(report, monotonic()), position)
        if was_reporting != quarantine.router_reporting:
            self.state.changed.notify_all()

    def _accept_endpoints(self, reply: EndpointsReply | None, pending_s: float) -> EndpointChanges | None:
        state, known = self.state, self.state.list_position
        state.list_from_router = (
            reply is not None
            and not state.list_expired(reply.age_s)
            and _era_of(reply.changes, known) >= known.era
        )
        if reply is None or not state.list_from_router:
            return None
        return replace(reply.changes, behind_s=reply.age_s + pending_s, era=_era_of(reply.changes, known))

    async def _follow_both_views(self, hold_s: float) -> tuple[ViewsReply | None, float]:
        """Return a router's reply with both views, and the age of its request when this call began.

        Both followers share one request, but only while both views come from the router: changes in an
        unused view would end each shared request at once.
        """
        now = monotonic()
        if self.pending is None or self.pending.reply.done():
            self.pending = PendingViews(now, asyncio.create_task(self._request_views(hold_s)))
        pending = self.pending
        return await asyncio.shield(pending.reply), now - pending.sent_at

    async def _request_views(self, hold_s: float) -> ViewsReply | None:
        state = self.state
        request = ViewsRequest(
            self._operators_request(state.operators_position, hold_s),
            _endpoints_request(state.list_position, hold_s),
        )
        return await self._request(lambda link: link.views(request, self._timeout_s()), "both views")

    def _hold_s(self, wait_s: float) -> float:
        return min(wait_s, self._shortest_deadline_s() * HOLD_SHARE)

    def _timeout_s(self) -> float:
        return self._shortest_deadline_s() * TIMEOUT_SHARE

    def _shortest_deadline_s(self) -> float:
        """Return the shortest time in which a change must have propagated."""
        settings = self.state.settings
        return min(settings.apply_s, settings.drain_s, settings.evacuate_s)

    async def _request(
        self, ask: Callable[[RouterClient], Awaitable[Reply | None]], question: str
    ) -> Reply | None:
        """Call the nearest follower; return None if this box is a follower, or without a reply."""
        if self.state.is_follower:
            return None
        router = next(iter(routers_for(self.state.member, self.state.following_routers())), None)
        if router is None:
            return None
        return self.links.record_answer(router, await ask(self.links.client_for(router)), question)


def _era_of(changes: OperatorChanges | EndpointChanges, known: Position) -> int:
    """Return the era of a router's view; the known one if a router of an earlier release names none."""
    return changes.era or known.era


def _endpoints_request(after: Position, hold_s: float) -> EndpointsRequest:
    return EndpointsRequest(after.revision, hold_s, after.era)
