"""Splits the room or the request rate of an endpoint over a few boxes, without coordination.

A place allows one request at a time. A few boxes hold the places of each endpoint that must not reject
requests, or the rate of one that names a limit, and all boxes know from their list which ones: one that holds
none passes its requests on. So the requests at an endpoint stay within its bounds however many boxes there
are, and whether they were idle or have just started.
"""

from functools import lru_cache
from math import ceil

from stairquay.core.ownership import rank_owners

ROOM_SHARE = 0.85
"""Share of an endpoint's slots that have a place. A new connection may take a slot for a moment, and a box
that was killed may have left requests behind."""

PLACES_PER_HOLDER = 3
"""Places of one box, so that a request seldom waits for one while another box has a free one. With fewer
boxes than that takes, each has more."""

RATE_HOLDERS = 3
"""Boxes that hold the rate of one endpoint. While boxes disagree on the list of boxes, each that only some of
them know may be one more, so that with fewer of them the rate may be exceeded by more."""

MAX_CACHED = 4_096


def places(slots: int) -> int:
    """Return the places of an endpoint."""
    return max(1, int(slots * ROOM_SHARE))


def holders_number(slots: int) -> int:
    """Return how many boxes hold the places of an endpoint."""
    return ceil(places(slots) / PLACES_PER_HOLDER)


@lru_cache(MAX_CACHED)
def places_by_holder(endpoint_id: str, slots: int, boxes: tuple[str, ...]) -> dict[str, int]:
    """Return the places of an endpoint by the boxes that hold them; `boxes` are all that are alive."""
    total = places(slots)
    holders = rank_owners(endpoint_id.encode(), boxes, holders_number(slots))
    return {
        box: total // len(holders) + (number < total % len(holders)) for number, box in enumerate(holders)
    }


@lru_cache(MAX_CACHED)
def rate_holders(endpoint_id: str, slots: int | None, boxes: tuple[str, ...]) -> tuple[str, ...]:
    """Return the boxes that share an endpoint's request rate, the first of its ranking.

    slots: of an endpoint that must not reject requests, of which all of them hold places; else None.
    """
    count = RATE_HOLDERS if slots is None else min(RATE_HOLDERS, holders_number(slots))
    return tuple(rank_owners(endpoint_id.encode(), boxes, count))
