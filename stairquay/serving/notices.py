"""Tells routers which prompts have left their engines, and what endpoints say of their use.

Routers find by their notices that another is gone.

Each router gets one notice at a time, and a silent one holds up no other's.
"""

import asyncio

from stairquay.adapters.clock import monotonic
from stairquay.core.routers import Member
from stairquay.serving.links import Links
from stairquay.serving.local_router import LocalRouter
from stairquay.serving.messages import Ended, FinishedNotice
from stairquay.serving.state import BoxState
from stairquay.serving.telling import told_statements
from stairquay.serving.waking import Changes

PING_S = 0.4
"""Seconds between two notices that a router sends to the others, so that they share out the engines of one
that is gone."""

NOTICE_S = 0.05
"""Seconds for which ended prompts are gathered before their routers are told."""

NOTICE_ANSWER_S = 0.5
"""Seconds for the answer to a notice; one that is lost is made up for by PLACED_S."""

MAX_NOTICES = 2_000
"""Most ended prompts that wait for one router: some seconds of a box's prompts."""


class Notices:
    """What routers have yet to be told."""

    def __init__(self, state: BoxState, links: Links, part: LocalRouter) -> None:
        self.state = state
        self.links = links
        self.part = part
        self.ended_by_router: dict[Member, list[Ended]] = {}
        self.read_by_router: dict[Member, list[str]] = {}
        self.telling_by_router: dict[Member, asyncio.Task[None]] = {}
        self.more = Changes()

    async def run(self) -> None:
        """Tell routers which prompts have ended, until cancelled."""
        while True:
            while (wait_s := self._next_in_s()) != 0:
                await self.more.wait(wait_s)
            await asyncio.sleep(NOTICE_S)
            self._tell_all()

    async def ping_others(self) -> None:
        """While this box is a router, have every other one sent a notice, even where nothing has ended."""
        while True:
            await self.state.changed.until(lambda: self.state.routes)
            self._ping()
            await asyncio.sleep(PING_S)

    def _next_in_s(self) -> float | None:
        """Return the seconds until a router may be told something, None where nothing waits for that.

        One that is being told, or does not answer, is told later.
        """
        now = monotonic()
        waits_s = [
            max(0.0, self.state.suspected_until_by_id.get(router.id, now) - now)
            for router in self.ended_by_router
            if router not in self.telling_by_router
        ]
        return min(waits_s, default=None)

    def add(self, router: Member, ended: Ended) -> None:
        """Have a router told that a prompt has left its engine; this box's own part hears it at once."""
        if router.id == self.state.settings.id:
            self.part.finished(ended)
            return
        waiting = self.ended_by_router.setdefault(router, [])
        if len(waiting) < MAX_NOTICES:
            waiting.append(ended)
        self.more.happened()

    def add_read(self, router: Member, ticket: str) -> None:
        """Have a router told that a prompt has been read; one that is not told in time hears it no more."""
        if router.id == self.state.settings.id:
            self.part.prefill_finished(ticket)
            return
        self.ended_by_router.setdefault(router, [])
        self.read_by_router.setdefault(router, []).append(ticket)
        self.more.happened()

    def _tell_all(self) -> None:
        """Send each router its notice, one at a time for each; those not heard lately wait."""
        live = set(self.state.live_routers())
        said = told_statements(self.state, monotonic())
        for router in list(self.ended_by_router):
            if router not in self.state.routers:
                del self.ended_by_router[router]
                self.read_by_router.pop(router, None)
            elif router in live and router not in self.telling_by_router:
                notice = FinishedNotice(
                    tuple(self.ended_by_router.pop(router)),
                    tuple(self.read_by_router.pop(router, ())),
                    said,
                )
                self.telling_by_router[router] = asyncio.create_task(self._tell(router, notice))
            elif router not in live:
                self.read_by_router.pop(router, None)

    def _ping(self) -> None:
        """Have a notice sent to every other router, even where nothing has ended."""
        for router in self.state.live_routers():
            if router.id != self.state.settings.id:
                self.ended_by_router.setdefault(router, [])
        self.more.happened()

    async def _tell(self, router: Member, notice: FinishedNotice) -> None:
        try:
            answer = await self.links.to(router).finished(notice, NOTICE_ANSWER_S)
        finally:
            del self.telling_by_router[router]
            self.more.happened()
        if self.links.heard(router, answer, "what has ended") is None:
            # Told again once it is asked again: hearing the same twice changes nothing.
            for item in notice.ended:
                self.add(router, item)
