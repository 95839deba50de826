"""What a router keeps for other boxes of the streams that they began, and its answers to those asking."""

from collections.abc import Iterable

from stairquay.core.stream_origins import KnownStream
from stairquay.serving.messages import BegunStream, OriginReply, OriginRequest
from stairquay.serving.state import BoxState


def record_told_streams(state: BoxState, begun: Iterable[BegunStream], now: float) -> None:
    """Remember streams whose first events another box has passed on."""
    for stream in begun:
        state.origins.record(stream.id, KnownStream(stream.origin, now + stream.left_s, own=False))


def recent_versions(state: BoxState, services: Iterable[str], now: float) -> frozenset[tuple[str, str]]:
    """Return the versions that endpoints of the services had lately, as far as this box knows."""
    return frozenset(
        (service, software) for service in services for software in state.software.versions(service, now)
    )


def origin_reply(state: BoxState, request: OriginRequest, now: float) -> OriginReply:
    """Return what this box knows of a stream."""
    versions = recent_versions(state, request.services, now)
    origin = state.origins.find(request.id, now)
    return OriginReply(origin, tuple(sorted(versions)), now - state.list_asked_at)
