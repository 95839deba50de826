"""Has a router use the brittle engines of another one soon where that one's process is known to be gone."""

import asyncio

from stairquay.adapters.clock import monotonic
from stairquay.serving.brittleness import has_brittle_service
from stairquay.serving.ports import BoxSender
from stairquay.serving.state import BoxState

PROBE_INTERVAL_S = 0.2
"""Seconds between two rounds of probes while engines are being taken over."""


async def probe_suspected_routers(state: BoxState, boxes: BoxSender) -> None:
    """Probe the routers that this one takes engines over from, until cancelled."""
    while True:
        await state.changed.wait_for(lambda: takes_over(state, monotonic()))
        addresses = suspected_addresses(state)
        refused = await asyncio.gather(*(boxes.is_refused(address) for address in addresses))
        if refused and all(refused):
            # A refusal shows that no process listens there, so that none places prompts.
            state.handovers.record_gone(monotonic())
        await asyncio.sleep(PROBE_INTERVAL_S)


def takes_over(state: BoxState, now: float) -> bool:
    """Tell whether this router waits for engines of suspected routers, some of which are brittle."""
    return bool(state.handovers.pending() and suspected_addresses(state)) and has_brittle_service(state, now)


def suspected_addresses(state: BoxState) -> list[str]:
    """Return the addresses of the routers that did not answer."""
    return [router.address for router in state.routers if state.is_suspected(router.id)]
