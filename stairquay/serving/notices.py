"""Sends routers notices of prompts that have left their engines.

Notices also carry endpoint feedback, and serve as pings between routers. Each router gets one at a time, so
that an unresponsive one delays no other.
"""

import asyncio
from collections.abc import Sequence

from stairquay.adapters.clock import monotonic
from stairquay.core.routers import Member
from stairquay.serving.brittleness import has_brittle_service
from stairquay.serving.change_notifier import ChangeNotifier
from stairquay.serving.crash_reports import apply_reply, encode_report
from stairquay.serving.links import RouterClients
from stairquay.serving.local_router import LocalRouter
from stairquay.serving.messages import (
    BegunStream,
    EndedAttempt,
    FinishedNotice,
    PeerCrashes,
    SpeedSample,
)
from stairquay.serving.overload import record_router_lateness
from stairquay.serving.state import BoxState
from stairquay.serving.telling import feedback_for_peers

PING_INTERVAL_S = 0.4
"""Seconds between two pings, by which routers detect that another one has failed. They then share out its
engines."""

BATCH_S = 0.05
"""Seconds for which ended prompts are collected before a notice is sent."""

NOTICE_TIMEOUT_S = 0.5
"""Seconds until an unanswered notice has failed."""

MAX_QUEUED_ENDED = 2_000
"""Ended prompts queued for one router. Any more are dropped, and the router expires their placements."""

MAX_QUEUED_BEGUN = 2_000
"""Begun streams queued for one router. Any more are dropped: a caller may find its stream unknown."""

MAX_QUEUED_SAMPLES = 200
"""Speed samples queued for one router. Any more are dropped; a router uses a few of each engine a second."""


class NoticeSender:
    """Queues ended and prefilled prompts by router, and sends them in notices."""

    def __init__(self, state: BoxState, links: RouterClients, local_router: LocalRouter) -> None:
        self.state = state
        self.links = links
        self.local_router = local_router
        self.ended_by_router: dict[Member, list[EndedAttempt]] = {}
        self.prefilled_by_router: dict[Member, list[str]] = {}
        self.samples_by_router: dict[Member, list[SpeedSample]] = {}
        self.begun_by_router: dict[Member, list[BegunStream]] = {}
        self.sending_by_router: dict[Member, asyncio.Task[None]] = {}
        # `own_number` of the quarantine that each router was told, and that notices were last queued for.
        self.told_by_router: dict[str, int] = {}
        self.queued_number = 0
        self.queue_changed = ChangeNotifier()

    async def run(self) -> None:
        """Send queued notices until cancelled."""
        while True:
            while (wait_s := self._next_send_in_s()) != 0:
                await self.queue_changed.wait(wait_s)
            await asyncio.sleep(BATCH_S)
            self._send_all()

    async def ping_routers(self) -> None:
        """Ping the other routers while this box is a router, until cancelled."""
        while True:
            await self.state.changed.wait_for(lambda: self.state.is_router)
            self._queue_pings()
            await asyncio.sleep(PING_INTERVAL_S)

    async def tell_crashes(self) -> None:
        """Tell the routers of crashes that this box noticed, until cancelled."""
        quarantine = self.state.quarantine
        while True:
            await quarantine.changed.wait_for(lambda: quarantine.own_number != self.queued_number)
            self.queued_number = quarantine.own_number
            for router in self.state.routers:
                self._queue_empty(router)
            await asyncio.sleep(BATCH_S)

    def _next_send_in_s(self) -> float | None:
        """Return the seconds until the next notice may be sent, None if none is queued.

        Routers to which a notice is under way are left out.
        """
        now = monotonic()
        brittle = has_brittle_service(self.state, now)
        waits_s = [
            0.0 if brittle else max(0.0, self.state.suspected_until_by_id.get(router.id, now) - now)
            for router in self.ended_by_router
            if router not in self.sending_by_router
        ]
        return min(waits_s, default=None)

    def add_ended(self, router: Member, ended: EndedAttempt) -> None:
        """Queue that a prompt has left its engine. This box's own router is notified at once."""
        if router.id == self.state.settings.id:
            self.local_router.finished(ended)
            return
        queued = self.ended_by_router.setdefault(router, [])
        if len(queued) < MAX_QUEUED_ENDED:
            queued.append(ended)
        self.queue_changed.notify_all()

    def add_sample(self, router: Member, sample: SpeedSample) -> None:
        """Queue how long an attempt took, before add_ended of the same attempt, which sends it."""
        if router.id == self.state.settings.id:
            self.local_router.speeds.observe(sample, monotonic())
            return
        queued = self.samples_by_router.setdefault(router, [])
        if len(queued) < MAX_QUEUED_SAMPLES:
            queued.append(sample)

    def add_prefill_finished(self, router: Member, ticket: str) -> None:
        """Queue that a prompt's prefill has finished; dropped if the router is unresponsive."""
        if router.id == self.state.settings.id:
            self.local_router.prefill_finished(ticket)
            return
        self.ended_by_router.setdefault(router, [])
        self.prefilled_by_router.setdefault(router, []).append(ticket)
        self.queue_changed.notify_all()

    def add_begun(self, router: Member, begun: BegunStream) -> None:
        """Queue that this box has passed on the first event of a stream."""
        self.ended_by_router.setdefault(router, [])
        queued = self.begun_by_router.setdefault(router, [])
        if len(queued) < MAX_QUEUED_BEGUN:
            queued.append(begun)
        self.queue_changed.notify_all()

    def _send_all(self) -> None:
        """Send a notice to each live router that has one queued and none under way.

        Queues of former routers are dropped.
        """
        live = set(self._notified_routers())
        feedback = feedback_for_peers(self.state, monotonic())
        for router in list(self.ended_by_router):
            if router not in self.state.routers:
                del self.ended_by_router[router]
                self.prefilled_by_router.pop(router, None)
                self.samples_by_router.pop(router, None)
                self.begun_by_router.pop(router, None)
            elif router in live and router not in self.sending_by_router:
                notice = FinishedNotice(
                    tuple(self.ended_by_router.pop(router)),
                    tuple(self.prefilled_by_router.pop(router, ())),
                    feedback,
                    tuple(self.samples_by_router.pop(router, ())),
                    tuple(self.begun_by_router.pop(router, ())),
                    self.state.settings.id,
                    self._untold_crashes(router),
                    self.state.quarantine.heard.number_of(router.id),
                )
                told = self.state.quarantine.own_number
                self.sending_by_router[router] = asyncio.create_task(self._send(router, notice, told))
            elif router not in live:
                self.prefilled_by_router.pop(router, None)
                self.samples_by_router.pop(router, None)

    def _untold_crashes(self, router: Member) -> PeerCrashes | None:
        """Return this box's crashes, None if the router has been told of them."""
        quarantine = self.state.quarantine
        if self.told_by_router.get(router.id, 0) == quarantine.own_number:
            return None
        return encode_report(quarantine.own_report(), monotonic())

    def _notified_routers(self) -> Sequence[Member]:
        """Return the routers that get notices: those that are not suspected, and all while one is brittle.

        A suspected one may still place at brittle endpoints, and has to hear what ended there.
        """
        brittle = has_brittle_service(self.state, monotonic())
        return self.state.routers if brittle else self.state.live_routers()

    def _queue_pings(self) -> None:
        """Queue a notice, which may be empty, for every other live router."""
        for router in self._notified_routers():
            self._queue_empty(router)

    def _queue_empty(self, router: Member) -> None:
        """Queue a notice for another router, which may be empty."""
        if router.id != self.state.settings.id:
            self.ended_by_router.setdefault(router, [])
            self.queue_changed.notify_all()

    async def _send(self, router: Member, notice: FinishedNotice, told: int) -> None:
        """Send a notice. told: `own_number` of the quarantine as it was made."""
        try:
            answer = await self.links.client_for(router).finished(notice, NOTICE_TIMEOUT_S)
        finally:
            del self.sending_by_router[router]
            self.queue_changed.notify_all()
        if answer is not None:
            record_router_lateness(self.state, router.id, answer.late_s)
            if self._record_start(router, answer.started) and notice.crashes is None:
                self._queue_empty(router)
            else:
                self.told_by_router[router.id] = told
            apply_reply(self.state, router.id, answer)
        if self.links.record_answer(router, answer, "ended prompts") is None:
            # Retried once the router is back; notices are idempotent.
            if notice.crashes is not None:
                self._queue_empty(router)
            for item in notice.ended:
                self.add_ended(router, item)
            for stream in notice.begun:
                self.add_begun(router, stream)

    def _record_start(self, router: Member, started: str) -> bool:
        """Record which start of a router answered. Return whether it is a new one, which was told nothing."""
        if started == self.state.starts_by_router.get(router.id, ""):
            return False
        self.state.starts_by_router[router.id] = started
        self.told_by_router.pop(router.id, None)
        self.state.quarantine.heard.forget_number(router.id)
        self.state.changed.notify_all()
        return True
