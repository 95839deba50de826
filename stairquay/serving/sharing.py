"""Follows the table service through routers, so that its load does not grow with the number of boxes.

A few routers follow it for all. The other boxes ask one of these; how old its view is goes with it. Where
none answers, or its own view is old, a box asks the table service itself.
"""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import TypeVar

from result import Ok, Result

from stairquay.core.routers import routers_for
from stairquay.serving.links import Link, Links
from stairquay.serving.messages import EndpointsReply, EndpointsRequest, OperatorsReply, OperatorsRequest
from stairquay.serving.ports import EndpointChanges, FeedFault, Feeds, OperatorChanges
from stairquay.serving.state import BoxState

Reply = TypeVar("Reply")

HELD_SHARE = 0.2
"""Share of the time in which a change must be known for which a router holds a question."""

ANSWER_SHARE = 0.2
"""Share of that time after which a router that does not answer a question besides is taken for silent. With
the age up to which a router's view is used, 0.45 or 0.5 of it, a change is known after 0.9 of it."""


class SharedFeeds:
    """The table service's feeds, asked through a router where some boxes route for all."""

    def __init__(self, state: BoxState, feeds: Feeds, links: Links) -> None:
        self.state = state
        self.feeds = feeds
        self.links = links

    async def read_operators(self) -> Result[OperatorChanges, FeedFault]:
        """Read the configuration and the named versions."""
        passed = await self._operators(self.state.operators_revision, 0.0)
        return Ok(passed) if passed is not None else await self.feeds.read_operators()

    async def follow_operators(self, after: int, wait_s: float) -> Result[OperatorChanges, FeedFault]:
        """Wait for changes after a revision."""
        passed = await self._operators(after, wait_s)
        return Ok(passed) if passed is not None else await self.feeds.follow_operators(after, wait_s)

    async def read_endpoints(self) -> Result[EndpointChanges, FeedFault]:
        """Read the list of endpoints."""
        passed = await self._endpoints(self.state.list_revision, 0.0)
        self.state.list_passed_on = passed is not None
        return Ok(passed) if passed is not None else await self.feeds.read_endpoints()

    async def follow_endpoints(self, after: int, wait_s: float) -> Result[EndpointChanges, FeedFault]:
        """Wait for changes of the list after a revision."""
        passed = await self._endpoints(after, wait_s)
        self.state.list_passed_on = passed is not None
        return Ok(passed) if passed is not None else await self.feeds.follow_endpoints(after, wait_s)

    async def _operators(self, after: int, wait_s: float) -> OperatorChanges | None:
        limit_s = self.state.settings.apply_s

        def ask(link: Link) -> Awaitable[OperatorsReply | None]:
            return link.operators(
                OperatorsRequest(after, min(wait_s, limit_s * HELD_SHARE)), limit_s * ANSWER_SHARE
            )

        reply = await self._ask(ask, "operators' rows")
        if reply is None or self.state.view_too_old(reply.age_s):
            return None
        # The answer was made `held_s` after the question came in, which was after it was asked.
        return replace(reply.changes, behind_s=reply.age_s - reply.held_s)

    async def _endpoints(self, after: int, wait_s: float) -> EndpointChanges | None:
        limit_s = self.state.settings.drain_s

        def ask(link: Link) -> Awaitable[EndpointsReply | None]:
            return link.endpoints(
                EndpointsRequest(after, min(wait_s, limit_s * HELD_SHARE)), limit_s * ANSWER_SHARE
            )

        reply = await self._ask(ask, "the list of endpoints")
        if reply is None or self.state.list_too_old(reply.age_s):
            return None
        return replace(reply.changes, behind_s=reply.age_s)

    async def _ask(self, ask: Callable[[Link], Awaitable[Reply | None]], question: str) -> Reply | None:
        """Ask the nearest router that follows the table service; None where this box does or none answers."""
        if self.state.follows:
            return None
        router = next(iter(routers_for(self.state.member, self.state.following_routers())), None)
        if router is None:
            return None
        return self.links.heard(router, await ask(self.links.to(router)), question)
