"""In-memory state of an entry: requests in flight, concurrency limits, retry budgets, ejected endpoints."""

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
from stairquay.adapters.shutdown import Shutdown
from stairquay.core.admission import FairQueue, Ticket, WorkspaceLimits
from stairquay.core.client_memory import ClientMemory
from stairquay.core.errors import Refusal
from stairquay.core.models import Service, ServiceKind, Workspace
from stairquay.core.retry import Ejector, RetryBudget


@dataclass
class EntryContext:
    """State shared by all requests of an entry.

    unpooled_session: for requests that must run at most once; run_control_session: resumes and cancels runs.
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
    shutdown: Shutdown = field(default_factory=Shutdown)
    client_memory: ClientMemory = field(default_factory=ClientMemory)

    def limiter(self, service: Service) -> "ConcurrencyLimiter":
        """Return a service's limiter, with slots for this box's share of the usable endpoints."""
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
        """Return the retry budget of a service id."""
        return self.retry_budgets.setdefault(service, RetryBudget())

    def ejector(self, service: str) -> Ejector:
        """Return the outlier ejector of a service id."""
        return self.ejectors.setdefault(service, Ejector())

    def box_share(self) -> float:
        """Return this box's share of system-wide limits."""
        return 1.0 / max(1, len(self.view.live_routers()))

    def usable_endpoints(self, service: Service) -> list[str]:
        """Return the ids of a service's endpoints that accept new requests."""
        membership = self.view.membership
        return [item.id for item in service.endpoints if membership.usable(item.id) is not None]


@dataclass
class Permit:
    """A request's slot, and its starting slot until the first byte of the response.

    acquired_at: monotonic seconds; high_priority: the workspace had no other request waiting.
    """

    limiter: "ConcurrencyLimiter"
    acquired_at: float
    high_priority: bool = True
    starting_slot_released: bool = False

    def release_starting_slot(self) -> None:
        """Release the starting slot; idempotent."""
        if not self.starting_slot_released:
            self.starting_slot_released = True
            self.limiter.release_starting_slot(monotonic() - self.acquired_at)

    def release(self) -> None:
        """Release all slots still held."""
        self.release_starting_slot()
        self.limiter.release_slot(monotonic() - self.acquired_at)


@dataclass
class ConcurrencyLimiter:
    """Bounds a service's concurrent requests by the slots of a fair queue."""

    queue: FairQueue
    waiting: dict[int, "asyncio.Future[None]"] = field(default_factory=dict)

    async def acquire(
        self, workspace: Workspace, timeout_s: float, returning: bool = True
    ) -> Result[Permit, Refusal]:
        """Wait at most `timeout_s` for a slot."""
        ticket = self.queue.offer(workspace, returning)
        if isinstance(ticket, Refusal):
            return Err(ticket)
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting[ticket.number] = granted
        self._grant_slots()
        try:
            async with asyncio.timeout(timeout_s):
                # The timeout must not cancel a future that `_grant_slots` may still resolve.
                await asyncio.shield(granted)
        except TimeoutError:
            if ticket.number in self.waiting:
                return Err(self._withdraw_timed_out(ticket, workspace))
            # Granted just before the timeout fired.
        except asyncio.CancelledError:
            self._undo_cancelled(ticket, granted)
            raise
        return Ok(Permit(self, monotonic(), not self.queue.backlogged(workspace.id)))

    def release_starting_slot(self, held_s: float) -> None:
        """Release a starting slot that was held for `held_s`."""
        self.queue.release_starting_slot(held_s)
        self._grant_slots()

    def release_slot(self, held_s: float) -> None:
        """Release a slot that was held for `held_s`."""
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
        """Leave the queue, or release the slot if it was granted before the cancellation."""
        if self.waiting.pop(ticket.number, None) is not None:
            self.queue.withdraw(ticket)
        elif granted.done():
            self.queue.release_starting_slot(self.queue.mean_starting_slot_s)
            self.queue.release(self.queue.mean_slot_s)
            self._grant_slots()
