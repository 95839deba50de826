"""Rolls out new target versions to engines, by one box at a time, under a lease in the table service.

The lease is written before orders are sent, and its holder stops when it expires by its own clock. Another
box waits for that and for the handover time. Nothing is written while all engines run their target versions.
The lease is short: a box that saw no write for a while knows that no order was sent since, and takes over
soon after its holder has gone.
"""

import asyncio
from dataclasses import replace

import msgspec
from result import Err, Result

from stairquay.adapters.clock import monotonic
from stairquay.adapters.ports import Commit, Committed, Condition, Conflict, PlatformFault, Write
from stairquay.core.fleet import Endpoint
from stairquay.core.lease import (
    FIRST_ERA,
    HeldLease,
    LeaseRow,
    ObservedLease,
    next_lease_row,
    observe,
)
from stairquay.core.position import Position
from stairquay.core.rollout import EngineState, IssuedOrder, Order, next_orders, outdated
from stairquay.serving.endpoint import NEVER
from stairquay.serving.event_log import LogEvent
from stairquay.serving.ports import OrderAnswer, OwnTable, Peers, VersionOrder
from stairquay.serving.state import BoxState

LEASE_KEY = "lease/orders"
POLL_INTERVAL_S = 0.15

MAX_REPORT_AGE_S = 0.3
"""Age from which an outdated engine's report is fetched anew before an order. A router polls the engines of
other routers too rarely for that. Reports lag by 0.2 s themselves."""

LEASE_POLL_INTERVAL_S = 0.4


class RolloutController:
    """Sends orders to outdated engines while this box holds the lease."""

    def __init__(self, state: BoxState, own: OwnTable, peers: Peers) -> None:
        self.state = state
        self.own = own
        self.peers = peers
        self.held_lease: HeldLease | None = None
        self.observed_lease: ObservedLease | None = None
        # Position of the lease's row when it was last read, with revision 0 if there was none.
        self.lease_position = Position()
        self.issued: dict[tuple[str, int], IssuedOrder] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Bring outdated engines to their target versions, until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            engines = self._engines_if_outdated()
            if not engines:
                self.state.metrics.leading.set(0)
                await self.state.changed.wait_for(lambda: bool(self._engines_if_outdated()))
                continue
            if self.held_lease is None and not await self._may_acquire():
                continue
            await self._refresh_reports(engines)
            self._drop_orders_of_old_incarnations()
            within_s = self.state.settings.versions_within_s
            orders = next_orders(
                self._engine_states(), self.state.target_version_by_model, self.issued, monotonic(), within_s
            )
            if orders and await self._hold_lease():
                self._issue(orders)

    async def _refresh_reports(self, engines: list[EngineState]) -> None:
        """Fetch the reports of loading engines, which the next ones wait for, and of outdated engines with a
        stale report, since they reject an order with an old sequence number."""
        loading = [engine.id for engine in engines if engine.busy]
        stale = [name for name in self._outdated_ids(engines) if self._report_age_s(name) > MAX_REPORT_AGE_S]
        endpoints = [self.state.fleet.by_id.get(name) for name in dict.fromkeys(loading + stale)]
        await asyncio.gather(
            *(self._fetch_report(endpoint) for endpoint in endpoints if endpoint is not None)
        )

    def _drop_orders_of_old_incarnations(self) -> None:
        """Drop orders to endpoints that have restarted since, which do not know of them."""
        for key, order in list(self.issued.items()):
            endpoint_state = self.state.endpoints_by_id.get(key[0])
            if endpoint_state is not None and order.at < endpoint_state.known_since:
                del self.issued[key]

    def _engines_if_outdated(self) -> list[EngineState]:
        """Return the states of all engines if any is outdated and this box is a router, else nothing.

        Only a change of the list, a new target version or a report of older weights than before can make one
        outdated, all of which notify `changed`.
        """
        if not self.state.is_router or self.state.stopping:
            return []
        engines = self._engine_states()
        return engines if outdated(engines, self.state.target_version_by_model) else []

    def _outdated_ids(self, engines: list[EngineState]) -> list[str]:
        return [engine.id for engine in outdated(engines, self.state.target_version_by_model)]

    def _report_age_s(self, engine: str) -> float:
        endpoint_state = self.state.endpoints_by_id.get(engine)
        return float("inf") if endpoint_state is None else monotonic() - endpoint_state.reported_at

    async def _fetch_report(self, endpoint: Endpoint) -> None:
        asked_at = monotonic()
        report = await self.peers.report(endpoint.address)
        if report is not None:
            self.state.apply_report(endpoint, report, monotonic(), asked_at)

    def _engine_states(self) -> list[EngineState]:
        """Return the states of engines that accept orders, one for each model."""
        catalog = self.state.catalog
        if catalog is None:
            return []
        states = []
        for endpoint in self.state.fleet.live():
            engine = catalog.engine_of(endpoint.service)
            if engine is None or endpoint.leaving:
                continue
            for model in engine.models or tuple(endpoint.versions_by_model):
                states.append(self._engine_state(endpoint, model))
        return states

    def _engine_state(self, endpoint: Endpoint, model: str) -> EngineState:
        endpoint_state = self.state.endpoint_state(endpoint)
        report = endpoint_state.report
        version = self.state.version_of(endpoint, model)
        replaced_s = self.state.replaced_for_s(model, version)
        if report is None:
            return EngineState(endpoint.id, model, version, replaced_s=replaced_s)
        return EngineState(
            endpoint.id, model, version, report.busy, report.running, report.sequence, replaced_s
        )

    async def _hold_lease(self) -> bool:
        """Acquire or renew the lease unless it is still valid; tell whether this box holds it now."""
        if self.held_lease is not None:
            if self.held_lease.may_act(monotonic()):
                return True
            return await self._write_lease(self.held_lease.row, self.held_lease.position)
        current = None if self.observed_lease is None else self.observed_lease.row
        return await self._write_lease(current, self.lease_position)

    async def _may_acquire(self) -> bool:
        """Read the lease; tell whether this box may acquire it."""
        found = await self.own.get(LEASE_KEY)
        if isinstance(found, Err):
            await asyncio.sleep(LEASE_POLL_INTERVAL_S)
            return False
        row, now = found.ok_value, monotonic()
        self.state.observe_era(row.position)
        self.lease_position = row.position
        if row.value is None:
            self.observed_lease = None
        else:
            current = msgspec.json.decode(row.value, type=LeaseRow)
            self.observed_lease = observe(self.observed_lease, current, row.position, now)
        if now >= self._acquirable_at():
            return True
        await asyncio.sleep(LEASE_POLL_INTERVAL_S)
        return False

    def _acquirable_at(self) -> float:
        """Return the time from which no other box can act under a lease, also if its row was lost.

        To the endpoints, a box that held the lease before its restart is the same holder.
        """
        state, observed, lease = self.state, self.observed_lease, self.state.settings.lease
        at = state.era_since + lease.duration_s + lease.handover_s if state.era > FIRST_ERA else NEVER
        if observed is None or observed.row.holder == state.settings.id:
            return at
        return max(at, observed.first_seen + observed.row.duration_s + lease.handover_s)

    async def _write_lease(self, current: LeaseRow | None, position: Position) -> bool:
        holder = self.state.settings.id
        row = next_lease_row(current, holder, self.state.settings.lease.duration_s, position.era)
        if self.held_lease is None and current is not None and current.holder == holder:
            row = replace(row, token=max(row.token, current.token + 1))
        sent_at = monotonic()
        value = msgspec.json.encode(row).decode()
        commit = Commit("", (Condition(LEASE_KEY, position.revision),), (Write(LEASE_KEY, value),))
        answer = await self.own.commit(commit)
        cause = _write_failure(answer, position.era)
        if not isinstance(answer, Err) and isinstance(answer.ok_value, Committed) and not cause:
            if self.held_lease is None:
                self.state.log.line(
                    LogEvent.LEASE,
                    outcome="taken",
                    fence=row.token,
                    era=position.era,
                    revision=position.revision,
                )
            self.held_lease = HeldLease(row, answer.ok_value.position, sent_at)
            self.state.metrics.leading.set(1)
            return self.held_lease.may_act(monotonic())
        if self.held_lease is not None:
            self.state.log.line(LogEvent.LEASE, outcome="lost", fence=self.held_lease.row.token, cause=cause)
        self.held_lease = None
        self.state.metrics.leading.set(0)
        return False

    def _issue(self, orders: list[Order]) -> None:
        for order in orders:
            self.issued[order.engine, order.version] = IssuedOrder(monotonic())
            task = asyncio.create_task(self._send_order(order))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _send_order(self, order: Order) -> None:
        endpoint = self.state.fleet.by_id.get(order.engine)
        lease = self.held_lease
        if endpoint is None or lease is None or not lease.may_act(monotonic()):
            self.issued.pop((order.engine, order.version), None)
            return
        answer = await self.peers.order(
            VersionOrder(
                endpoint=endpoint.id,
                address=endpoint.address,
                model=order.model,
                version=order.version,
                holder=lease.row.holder,
                fence=lease.row.token,
                sequence=order.sequence,
            )
        )
        if answer in (OrderAnswer.CONFLICT, OrderAnswer.REFUSED):
            self.issued.pop((order.engine, order.version), None)
        if answer == OrderAnswer.SILENT:
            self.issued[order.engine, order.version] = IssuedOrder(monotonic(), answered=False)
        self.state.metrics.orders.labels(answer.value).inc()
        self.state.log.line(
            LogEvent.ORDER,
            endpoint=endpoint.id,
            model=order.model,
            version=order.version,
            fence=lease.row.token,
            sequence=order.sequence,
            lease_age_s=monotonic() - lease.sent_at,
            outcome=answer.value,
        )


def _write_failure(answer: Result[Committed | Conflict, PlatformFault], era: int) -> str:
    """Return why a write gives no lease, or an empty text. era: in which the write's condition was read."""
    if isinstance(answer, Err):
        return answer.err_value.value
    if isinstance(answer.ok_value, Conflict):
        return "conflict"
    # The condition's revision names another state in another era.
    return "restored" if answer.ok_value.era != era else ""
