"""Tells routers which prompts have left their engines, and what endpoints say of their use.

Routers find by their notices that another is gone.

Each router gets one notice at a time, and a silent one holds up no other's.
"""

import asyncio

from stairquay.adapters.clock import monotonic
from stairquay.core.routers import Member
from stairquay.serving.change_notifier import ChangeNotifier
from stairquay.serving.links import Links
from stairquay.serving.messages import Ended, FinishedNotice
from stairquay.serving.routing import RouterPart
from stairquay.serving.state import BoxState
from stairquay.serving.telling import told_statements

PING_INTERVAL_S = 0.4
"""Seconds between two notices that a router sends to the others, so that they share out the engines of one
that is gone."""

BATCH_S = 0.05
"""Seconds for which ended prompts are gathered before their routers are told."""

NOTICE_TIMEOUT_S = 0.5
"""Seconds for the answer to a notice; one that is lost is made up for by PLACED_S."""

MAX_QUEUED_ENDED = 2_000
"""Most ended prompts that wait for one router: some seconds of a box's prompts."""


class NoticeSender:
    """What routers have yet to be told."""

    def __init__(self, state: BoxState, links: Links, local_router: RouterPart) -> None:
        self.state = state
        self.links = links
        self.local_router = local_router
        self.ended_by_router: dict[Member, list[Ended]] = {}
        self.prefilled_by_router: dict[Member, list[str]] = {}
        self.sending_by_router: dict[Member, asyncio.Task[None]] = {}
        self.queue_changed = ChangeNotifier()

    async def run(self) -> None:
        """Tell routers which prompts have ended, until cancelled."""
        while True:
            while (wait_s := self._next_send_in_s()) != 0:
                await self.queue_changed.wait(wait_s)
            await asyncio.sleep(BATCH_S)
            self._send_all()

    async def ping_routers(self) -> None:
        """While this box is a router, have every other one sent a notice, even where nothing has ended."""
        while True:
            await self.state.changed.wait_for(lambda: self.state.routes)
            self._queue_pings()
            await asyncio.sleep(PING_INTERVAL_S)

    def _next_send_in_s(self) -> float | None:
        """Return the seconds until a router may be told something, None where nothing waits for that.

        One that is being told, or does not answer, is told later.
        """
        now = monotonic()
        waits_s = [
            max(0.0, self.state.suspected_until_by_id.get(router.id, now) - now)
            for router in self.ended_by_router
            if router not in self.sending_by_router
        ]
        return min(waits_s, default=None)

    def add_ended(self, router: Member, ended: Ended) -> None:
        """Have a router told that a prompt has left its engine; this box's own part hears it at once."""
        if router.id == self.state.settings.id:
            self.local_router.finished(ended)
            return
        queued = self.ended_by_router.setdefault(router, [])
        if len(queued) < MAX_QUEUED_ENDED:
            queued.append(ended)
        self.queue_changed.notify_all()

    def add_prefill_finished(self, router: Member, ticket: str) -> None:
        """Have a router told that a prompt has been read; one that is not told in time hears it no more."""
        if router.id == self.state.settings.id:
            self.local_router.was_read(ticket)
            return
        self.ended_by_router.setdefault(router, [])
        self.prefilled_by_router.setdefault(router, []).append(ticket)
        self.queue_changed.notify_all()

    def _send_all(self) -> None:
        """Send each router its notice, one at a time for each; those not heard lately wait."""
        live = set(self.state.live_routers())
        said = told_statements(self.state, monotonic())
        for router in list(self.ended_by_router):
            if router not in self.state.routers:
                del self.ended_by_router[router]
                self.prefilled_by_router.pop(router, None)
            elif router in live and router not in self.sending_by_router:
                notice = FinishedNotice(
                    tuple(self.ended_by_router.pop(router)),
                    tuple(self.prefilled_by_router.pop(router, ())),
                    said,
                )
                self.sending_by_router[router] = asyncio.create_task(self._send(router, notice))
            elif router not in live:
                self.prefilled_by_router.pop(router, None)

    def _queue_pings(self) -> None:
        """Have a notice sent to every other router, even where nothing has ended."""
        for router in self.state.live_routers():
            if router.id != self.state.settings.id:
                self.ended_by_router.setdefault(router, [])
        self.queue_changed.notify_all()

    async def _send(self, router: Member, notice: FinishedNotice) -> None:
        try:
            answer = await self.links.to(router).finished(notice, NOTICE_TIMEOUT_S)
        finally:
            del self.sending_by_router[router]
            self.queue_changed.notify_all()
        if self.links.heard(router, answer, "what has ended") is None:
            # Told again once it is asked again: hearing the same twice changes nothing.
            for item in notice.ended:
                self.add_ended(router, item)
