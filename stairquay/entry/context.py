"""What an entry keeps while it runs: nothing but requests in flight and what it learned of endpoints."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from math import ceil
from random import Random

from aiohttp import ClientSession
from result import Err, Ok, Result

from stairquay.adapters.clock import monotonic
from stairquay.adapters.follower import View
from stairquay.adapters.metrics import EntryMetrics
from stairquay.adapters.ports import Platform
from stairquay.adapters.rpc import RouterChannels
from stairquay.adapters.settings import EntrySettings
from stairquay.core.admission import FairQueue, Ticket, WorkspaceLimits
from stairquay.core.errors import Refusal
from stairquay.core.models import Service, ServiceKind, Workspace
from stairquay.core.retry import Ejector, RetryBudget


@dataclass
class EntryContext:
    """State of an entry, handed to every request.

    `session` and `once_session` carry attempts; `side_session` carries calls about runs.
    """

    box: str
    data_hall: str
    settings: EntrySettings
    view: View
    platform: Platform
    channels: RouterChannels
    pooled_session: ClientSession
    unpooled_session: ClientSession
    run_control_session: ClientSession
    random: Random
    metrics: EntryMetrics = field(default_factory=EntryMetrics)
    limits: WorkspaceLimits = field(default_factory=WorkspaceLimits)
    limiters: dict[str, "ConcurrencyLimiter"] = field(default_factory=dict)
    retry_budgets: dict[str, RetryBudget] = field(default_factory=dict)
    ejectors: dict[str, Ejector] = field(default_factory=dict)
    runs_by_endpoint: Counter[str] = field(default_factory=Counter)
    in_flight: int = 0
    stopping: bool = False
    refusing: bool = False

    def limiter(self, service: Service) -> "ConcurrencyLimiter":
        """Return a service's gate, with as many slots as its endpoints give this box now."""
        limiter = self.limiters.get(service.id)
        if limiter is None:
            limiter = ConcurrencyLimiter(FairQueue(slots=1, max_wait_s=self.settings.max_queue_s))
            self.limiters[service.id] = limiter
        engines = len(self.usable_endpoints(service)) * self.box_share()
        limiter.queue.slots = max(1, round(engines * service.costs.slots))
        if service.kind == ServiceKind.ENGINE:
            limiter.queue.starting_slots = max(1, ceil(engines * service.costs.starting_slots))
        return limiter

    def retry_budget(self, service: str) -> RetryBudget:
        """Return a service's retry budget."""
        return self.retry_budgets.setdefault(service, RetryBudget())

    def ejector(self, service: str) -> Ejector:
        """Return a service's ejector."""
        return self.ejectors.setdefault(service, Ejector())

    def box_share(self) -> float:
        """Return this box's share of limits that hold for the whole system."""
        return 1.0 / max(1, len(self.view.live_routers()))

    def usable_endpoints(self, service: Service) -> list[str]:
        """Return the endpoints of a service that may get new work."""
        membership = self.view.membership
        return [item.id for item in service.endpoints if membership.usable(item.id) is not None]


@dataclass
class Permit:
    """A request's hold on its slots: the starting one until `on_first`, the other until `leave`.

    `urgent`: its workspace had nothing else waiting, so it goes before those of workspaces that had.
    """

    limiter: "ConcurrencyLimiter"
    acquired_at: float
    high_priority: bool = True
    starting_slot_released: bool = False

    def release_starting_slot(self) -> None:
        """Free the starting slot; a second call does nothing."""
        if not self.starting_slot_released:
            self.starting_slot_released = True
            self.limiter.release_starting_slot(monotonic() - self.acquired_at)

    def release(self) -> None:
        """Free what is still held."""
        self.release_starting_slot()
        self.limiter.release_slot(monotonic() - self.acquired_at)


@dataclass
class ConcurrencyLimiter:
    """Waits for slots of a fair queue."""

    queue: FairQueue
    waiting: dict[int, "asyncio.Future[None]"] = field(default_factory=dict)

    async def acquire(
        self, workspace: Workspace, timeout_s: float, returning: bool = True
    ) -> Result[Permit, Refusal]:
        """Wait for a slot, at most `timeout_s`; return the hold on it, or why there is none."""
        ticket = self.queue.offer(workspace, returning)
        if isinstance(ticket, Refusal):
            return Err(ticket)
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting[ticket.number] = granted
        self._grant_slots()
        try:
            async with asyncio.timeout(timeout_s):
                # Shielded: a time-out must not end what `_grant` may be about to set.
                await asyncio.shield(granted)
        except TimeoutError:
            if ticket.number in self.waiting:
                return Err(self._withdraw_timed_out(ticket, workspace))
            # The slot was granted in the same moment; it is ours to use.
        except asyncio.CancelledError:
            self._undo_cancelled(ticket, granted)
            raise
        return Ok(Permit(self, monotonic(), not self.queue.backlogged(workspace.id)))

    def release_starting_slot(self, held_s: float) -> None:
        """Free a starting slot."""
        self.queue.release_starting_slot(held_s)
        self._grant_slots()

    def release_slot(self, held_s: float) -> None:
        """Free a slot."""
        self.queue.release(held_s)
        self._grant_slots()

    def _grant_slots(self) -> None:
        while True:
            ticket = self.queue.grant()
            if ticket is None:
                return
            self.waiting.pop(ticket.number).set_result(None)

    def _withdraw_timed_out(self, ticket: Ticket, workspace: Workspace) -> Refusal:
        self.waiting.pop(ticket.number)
        self.queue.withdraw(ticket)
        return self.queue.overload_refusal(workspace, self.queue.max_wait_s)

    def _undo_cancelled(self, ticket: Ticket, granted: "asyncio.Future[None]") -> None:
        """Put back what a request that went away had: its place, or the slot it was just given."""
        if self.waiting.pop(ticket.number, None) is not None:
            self.queue.withdraw(ticket)
        elif granted.done():
            self.queue.release_starting_slot(self.queue.mean_starting_slot_s)
            self.queue.release(self.queue.mean_slot_s)
            self._grant_slots()
