"""What a router keeps for other boxes of the streams that they began, and its answers to those asking."""

from collections.abc import Iterable

from stairquay.adapters.clock import monotonic
from stairquay.core.stream_origins import KnownStream
from stairquay.serving.messages import BegunStream, OriginReply, OriginRequest
from stairquay.serving.new_lists import ListedVersions, NewLists, knows_past
from stairquay.serving.state import BoxState

NEW_LIST_TIMEOUT_S = 0.7
"""Seconds for which a router looks for a new list: the pause between two reads of it, and one read."""

MAX_ASKED_BOXES = 24
"""Boxes of a site up to which each one may be asked where a stream began; in larger ones routers are."""


def asks_all_boxes(state: BoxState) -> bool:
    """Tell whether boxes that are no routers are asked where streams began."""
    return len(state.boxes) <= MAX_ASKED_BOXES


def record_told_streams(state: BoxState, begun: Iterable[BegunStream], now: float) -> None:
    """Remember streams whose first events another box has passed on."""
    for stream in begun:
        state.origins.record(stream.id, KnownStream(stream.origin, now + stream.left_s, own=False))


def recent_versions(state: BoxState, services: Iterable[str], now: float) -> frozenset[tuple[str, str]]:
    """Return the versions that endpoints of the services had lately, as far as this box knows."""
    return frozenset(
        (service, software) for service in services for software in state.software.versions(service, now)
    )


def origin_reply(
    state: BoxState, request: OriginRequest, received_at: float, new: ListedVersions | None = None
) -> OriginReply:
    """Return what this box knows of a stream. new: versions in a list that was read for this answer."""
    now = monotonic()
    versions, list_asked_at = recent_versions(state, request.services, now), state.list_asked_at
    if new is not None:
        versions |= {version for version in new.versions if version[0] in request.services}
        list_asked_at = max(list_asked_at, new.asked_at)
    return OriginReply(
        state.origins.find(request.id, now),
        tuple(sorted(versions)),
        now - list_asked_at,
        now - received_at,
        knows_past(state, now, received_at),
    )


async def new_origin_reply(
    state: BoxState, new_lists: NewLists, request: OriginRequest, received_at: float
) -> OriginReply:
    """Return the same from a list that was requested after the question, if one comes soon."""
    until = received_at + NEW_LIST_TIMEOUT_S
    new = await new_lists.since(received_at, until)
    if new is not None:
        await new_lists.knows_past(received_at, until)
    return origin_reply(state, request, received_at, new)
