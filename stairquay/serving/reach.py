"""Keeps track of services none of whose endpoints this box reaches, and probes those endpoints."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from stairquay.adapters.clock import monotonic
from stairquay.core.fleet import Endpoint
from stairquay.core.reach import Reach
from stairquay.serving.event_log import LogEvent
from stairquay.serving.ports import RequestSender
from stairquay.serving.state import BoxState

PROBE_INTERVAL_S = 0.25
"""Seconds between two rounds of probes, after which this box serves by itself again."""

PROBED_AT_ONCE = 2
"""Endpoints of a service in each round: one that is down must not hide that another one is reached."""

PROBED_AT_FIRST = 8
"""Endpoints in the first round, which tells whether those that failed are the only ones."""


def record_reached(state: BoxState, service: str) -> None:
    """Record that an endpoint of a service was reached."""
    reach = state.reach_by_service.get(service)
    if reach is None or not reach.unreached_at_by_id:
        return
    reach.record_reached()
    _update(state, service, monotonic())


def record_unreached(state: BoxState, endpoint: Endpoint) -> None:
    """Record that an endpoint took no connection, or that one broke without an answer."""
    now = monotonic()
    reach = state.reach_by_service.setdefault(endpoint.service, Reach())
    reach.record_unreached(endpoint.id, now)
    _update(state, endpoint.service, now)


async def probe_lost_services(state: BoxState, endpoints: RequestSender) -> None:
    """Open connections to endpoints of services that count as lost, until cancelled."""
    first_rounds: set[str] = set()
    while True:
        await state.reach_changed.wait_for(lambda: bool(state.lost_services))
        first_rounds &= state.lost_services
        for service in list(state.lost_services):
            count = PROBED_AT_ONCE if service in first_rounds else PROBED_AT_FIRST
            first_rounds.add(service)
            await _probe_service(state, endpoints, service, count)
        await asyncio.sleep(PROBE_INTERVAL_S)


async def _probe_service(state: BoxState, endpoints: RequestSender, service: str, count: int) -> None:
    if not await probe_endpoints(
        state, service, state.fleet.usable(service, monotonic()), count, endpoints.probe
    ):
        _update(state, service, monotonic())


async def probe_endpoints(
    state: BoxState,
    service: str,
    candidates: Iterable[Endpoint],
    count: int,
    probe: Callable[[str], Awaitable[bool]],
) -> bool:
    """Try some of a service's endpoints by their addresses, and record and return whether one is reached."""
    by_id = {item.id: item for item in candidates}
    names = state.reach_by_service[service].untried(list(by_id), monotonic())[:count]
    opened = await asyncio.gather(*(probe(by_id[name].address) for name in names))
    if any(opened):
        record_reached(state, service)
        return True
    for name in names:
        record_unreached(state, by_id[name])
    return False


def _update(state: BoxState, service: str, now: float) -> None:
    """Note whether a service is lost now, and log a change."""
    listed = [item.id for item in state.fleet.usable(service, now)]
    failed = state.reach_by_service[service].unreached_at_by_id
    # Without a sign either way once the failures are old or their endpoints are no longer listed.
    otherwise = "unknown" if failed else "reached"
    lost = state.reach_by_service[service].is_lost(listed, now)
    if lost == (service in state.lost_services):
        return
    if lost:
        state.lost_services.add(service)
    else:
        state.lost_services.discard(service)
    state.metrics.service_lost.labels(state.metrics.labels.of(service)).set(lost)
    state.log.line(
        LogEvent.REACH,
        service=service,
        outcome="lost" if lost else otherwise,
        unreached=sorted(failed),
        listed=len(listed),
    )
    state.reach_changed.notify_all()
