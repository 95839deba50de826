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
    session: ClientSession
    once_session: ClientSession
    side_session: ClientSession
    random: Random
    metrics: EntryMetrics = field(default_factory=EntryMetrics)
    limits: WorkspaceLimits = field(default_factory=WorkspaceLimits)
    gates: dict[str, "Gate"] = field(default_factory=dict)
    budgets: dict[str, RetryBudget] = field(default_factory=dict)
    ejectors: dict[str, Ejector] = field(default_factory=dict)
    runs_by_endpoint: Counter[str] = field(default_factory=Counter)
    in_flight: int = 0
    stopping: bool = False
    refusing: bool = False

    def gate(self, service: Service) -> "Gate":
        """Return a service's gate, with as many slots as its endpoints give this box now."""
        gate = self.gates.get(service.id)
        if gate is None:
            gate = Gate(FairQueue(slots=1, max_wait_s=self.settings.max_queue_s))
            self.gates[service.id] = gate
        engines = len(self.usable(service)) * self.share()
        gate.queue.slots = max(1, round(engines * service.costs.slots))
        if service.kind == ServiceKind.ENGINE:
            gate.queue.starting_slots = max(1, ceil(engines * service.costs.starting_slots))
        return gate

    def budget(self, service: str) -> RetryBudget:
        """Return a service's retry budget."""
        return self.budgets.setdefault(service, RetryBudget())

    def ejector(self, service: str) -> Ejector:
        """Return a service's ejector."""
        return self.ejectors.setdefault(service, Ejector())

    def share(self) -> float:
        """Return this box's share of limits that hold for the whole system."""
        return 1.0 / max(1, len(self.view.live_routers()))

    def usable(self, service: Service) -> list[str]:
        """Return the endpoints of a service that may get new work."""
        membership = self.view.membership
        return [item.id for item in service.endpoints if membership.usable(item.id) is not None]


@dataclass
class Admission:
    """A request's hold on its slots: the starting one until `on_first`, the other until `leave`.

    `urgent`: its workspace had nothing else waiting, so it goes before those of workspaces that had.
    """

    gate: "Gate"
    entered_at: float
    urgent: bool = True
    started: bool = False

    def on_first(self) -> None:
        """Free the starting slot; a second call does nothing."""
        if not self.started:
            self.started = True
            self.gate.on_started(monotonic() - self.entered_at)

    def leave(self) -> None:
        """Free what is still held."""
        self.on_first()
        self.gate.on_left(monotonic() - self.entered_at)


@dataclass
class Gate:
    """Waits for slots of a fair queue."""

    queue: FairQueue
    waiting: dict[int, "asyncio.Future[None]"] = field(default_factory=dict)

    async def enter(
        self, workspace: Workspace, limit_s: float, returning: bool = True
    ) -> Result[Admission, Refusal]:
        """Wait for a slot, at most `limit_s`; return the hold on it, or why there is none."""
        ticket = self.queue.offer(workspace, returning)
        if isinstance(ticket, Refusal):
            return Err(ticket)
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting[ticket.number] = granted
        self._grant()
        try:
            async with asyncio.timeout(limit_s):
                # Shielded: a time-out must not end what `_grant` may be about to set.
                await asyncio.shield(granted)
        except TimeoutError:
            if ticket.number in self.waiting:
                return Err(self._give_up(ticket, workspace))
            # The slot was granted in the same moment; it is ours to use.
        except asyncio.CancelledError:
            self._abandon(ticket, granted)
            raise
        return Ok(Admission(self, monotonic(), not self.queue.backlogged(workspace.id)))

    def on_started(self, held_s: float) -> None:
        """Free a starting slot."""
        self.queue.release_starting_slot(held_s)
        self._grant()

    def on_left(self, held_s: float) -> None:
        """Free a slot."""
        self.queue.release(held_s)
        self._grant()

    def _grant(self) -> None:
        while True:
            ticket = self.queue.grant()
            if ticket is None:
                return
            self.waiting.pop(ticket.number).set_result(None)

    def _give_up(self, ticket: Ticket, workspace: Workspace) -> Refusal:
        self.waiting.pop(ticket.number)
        self.queue.withdraw(ticket)
        return self.queue.overload_refusal(workspace, self.queue.max_wait_s)

    def _abandon(self, ticket: Ticket, granted: "asyncio.Future[None]") -> None:
        """Put back what a request that went away had: its place, or the slot it was just given."""
        if self.waiting.pop(ticket.number, None) is not None:
            self.queue.withdraw(ticket)
        elif granted.done():
            self.queue.release_starting_slot(self.queue.mean_starting_slot_s)
            self.queue.release(self.queue.mean_slot_s)
            self._grant()
