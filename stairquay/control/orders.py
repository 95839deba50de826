"""Sends fenced orders to endpoints to load the versions that placements name.

Endpoints that check orders refuse an old fencing token. For the others, a new leader waits until all
orders of the previous one have expired.
"""

import asyncio
import time
from dataclasses import dataclass

from absl import logging
from result import Ok

from stairquay.adapters.engine import EngineState, Order, OrderKind, OrderOutcome, fetch_state, send_order
from stairquay.adapters.follower import View
from stairquay.adapters.metrics import ControlMetrics
from stairquay.adapters.sessions import EndpointSessions
from stairquay.adapters.settings import ControlSettings
from stairquay.control.leader import Leader
from stairquay.core.models import EndpointSpec, Placement, Service

CLOCK_SKEW_S = 0.5
"""Largest clock difference between boxes and endpoints."""


@dataclass(frozen=True)
class EndpointReport:
    """An endpoint, its address and the state that it reported."""

    endpoint: EndpointSpec
    address: str
    state: EngineState


class Reconciler:
    """Compares the versions that endpoints run with their placements, and sends orders."""

    def __init__(
        self,
        view: View,
        leader: Leader,
        sessions: EndpointSessions,
        settings: ControlSettings,
        metrics: ControlMetrics,
    ) -> None:
        self.view = view
        self.leader = leader
        self.sessions = sessions
        self.settings = settings
        self.metrics = metrics

    async def reconcile(self) -> None:
        """Reconcile every placement once."""
        configuration = self.view.configuration
        reconciliations = []
        for placement in configuration.placements.values():
            service = configuration.services.get(placement.service)
            if service is not None:
                reconciliations.append(self._reconcile_service(service, placement))
        await asyncio.gather(*reconciliations)

    async def _reconcile_service(self, service: Service, placement: Placement) -> None:
        reports = await self._fetch_reports(service)
        loading = sum(1 for item in reports if item.state.loading)
        for item in reports:
            outdated = placement.version not in (item.state.version, item.state.loading)
            if not outdated or item.state.loading:
                continue
            if loading >= placement.max_loading:
                return
            loading += 1
            await self._send_load_order(item, service, placement)

    async def _fetch_reports(self, service: Service) -> list[EndpointReport]:
        async def fetch_report(endpoint: EndpointSpec) -> EndpointReport | None:
            box = self.view.membership.usable(endpoint.id)
            if box is None:
                return None
            address = box.addresses["http"]
            found = await fetch_state(self.sessions.reports, address, -1, self.settings.order_timeout_s)
            return EndpointReport(endpoint, address, found.ok_value) if isinstance(found, Ok) else None

        results = await asyncio.gather(*(fetch_report(endpoint) for endpoint in service.endpoints))
        return [item for item in results if item is not None]

    async def _send_load_order(self, item: EndpointReport, service: Service, placement: Placement) -> None:
        if not item.endpoint.checks_orders and not self._previous_orders_expired():
            return
        version = self.view.configuration.versions.get((service.id, placement.version))
        if version is None or not self.leader.may_act():
            return
        order = Order(
            kind=OrderKind.LOAD,
            fence=self.leader.fence,
            valid_until=time.time() + self.settings.order_validity_s - CLOCK_SKEW_S,
            version=version.id,
            adapters=version.adapters,
        )
        outcome = await send_order(self.sessions.orders, item.address, order, self.settings.order_timeout_s)
        self.metrics.orders.labels(outcome.value).inc()
        if outcome == OrderOutcome.ACCEPTED:
            logging.info("endpoint %s accepted the order to load version %s", item.endpoint.id, version.id)

    def _previous_orders_expired(self) -> bool:
        """Tell whether all orders of the previous leader have expired."""
        return self.leader.held_for_s() > self.settings.order_validity_s + CLOCK_SKEW_S
