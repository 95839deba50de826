"""Has boxes take over the places at brittle endpoints, and the limits, that boxes which are gone still hold.

They belong to the first boxes of an endpoint's ranking. The boxes behind them try to connect to
those before them, so that one is ready to take requests by the time at which others pass them on to it.
"""

import asyncio

from stairquay.adapters.clock import monotonic
from stairquay.core.ownership import rank_owners
from stairquay.core.places import holders_number
from stairquay.serving.event_log import LogEvent
from stairquay.serving.holders import held_endpoints
from stairquay.serving.ports import BoxSender
from stairquay.serving.state import BoxState

PROBE_INTERVAL_S = 1.0
"""Seconds between two rounds of probes while an endpoint is held by few boxes."""

SUBSTITUTES = 6
"""Boxes behind the holders of an endpoint that probe those before them."""


async def probe_place_holders(state: BoxState, boxes: BoxSender) -> None:
    """Probe the boxes whose places and limits this one might take over, until cancelled."""
    known_gone: frozenset[str] = frozenset()
    while True:
        await state.changed.wait_for(lambda: bool(held_endpoints(state, monotonic())))
        names = [name for name in boxes_to_probe(state, monotonic()) if name in state.fronts_by_box]
        refused = await asyncio.gather(*(boxes.is_refused(state.fronts_by_box[name]) for name in names))
        now = monotonic()
        for name, is_refused in zip(names, refused, strict=True):
            state.refused_connections.record(name, is_refused, now)
        gone = state.refused_connections.gone(now)
        if gone != known_gone:
            state.log.line(LogEvent.BRITTLE, outcome="boxes_gone", boxes=sorted(gone))
            known_gone = gone
        await asyncio.sleep(PROBE_INTERVAL_S)


def boxes_to_probe(state: BoxState, now: float) -> set[str]:
    """Return the boxes before this one in the rankings of the endpoints that few boxes hold."""
    own, found = state.settings.id, set[str]()
    for endpoint in held_endpoints(state, now):
        count = holders_number(endpoint.slots) + SUBSTITUTES
        ranked = rank_owners(endpoint.id.encode(), state.boxes, count)
        if own in ranked:
            found.update(ranked[: ranked.index(own)])
    return found
