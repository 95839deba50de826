"""Follows the table service through routers, so that its load does not grow with the number of boxes.

A box that is no router asks one that is for what it follows; how old a router's view is goes with it. Where
no router answers, or its own view is old, the box asks the table service itself.
"""

from dataclasses import replace

from result import Ok, Result

from stairquay.core.routers import Member, routers_for
from stairquay.serving.links import Links
from stairquay.serving.messages import EndpointsRequest, OperatorsRequest
from stairquay.serving.ports import EndpointChanges, FeedFault, Feeds, OperatorChanges
from stairquay.serving.state import BoxState

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
        router = self._router()
        if router is None:
            return None
        known_in_s = self.state.settings.apply_s
        question = OperatorsRequest(after, min(wait_s, known_in_s * HELD_SHARE))
        answer = await self.links.to(router).operators(question, known_in_s * ANSWER_SHARE)
        reply = self.links.heard(router, answer, "operators' rows")
        if reply is None or self.state.view_too_old(reply.age_s):
            return None
        # The answer was made `held_s` after the question came in, which was after it was asked.
        return replace(reply.changes, behind_s=reply.age_s - reply.held_s)

    async def _endpoints(self, after: int, wait_s: float) -> EndpointChanges | None:
        router = self._router()
        if router is None:
            return None
        known_in_s = self.state.settings.drain_s
        question = EndpointsRequest(after, min(wait_s, known_in_s * HELD_SHARE))
        answer = await self.links.to(router).endpoints(question, known_in_s * ANSWER_SHARE)
        reply = self.links.heard(router, answer, "the list of endpoints")
        if reply is None or self.state.list_too_old(reply.age_s):
            return None
        return replace(reply.changes, behind_s=reply.age_s)

    def _router(self) -> Member | None:
        if self.state.routes:
            return None
        return next(iter(routers_for(self.state.member, self.state.live_routers())), None)
