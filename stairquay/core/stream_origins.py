"""Where streams began: what a box has to know to go on with one at the version that began it."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from stairquay.core.fleet import Endpoint
from stairquay.core.software import SoftwareHistory

MAX_ORIGINS = 50_000
"""Streams that are remembered; the oldest are forgotten first. At 570 streams a second over all boxes, each
remembered for 15 s by each of three routers, a router has 8,550."""


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """The endpoint that sent the first event of a stream, its service, and the version of its software.

    software: empty where its entry named none, or was of a life before the one that began the stream.
    """

    service: str
    endpoint: str
    software: str


@dataclass(frozen=True)
class KnownStream:
    """A stream's origin. until: when its caller stops waiting (monotonic seconds). own: this box passed on
    its first event, else another box told of it. services: those of its route, for own ones."""

    origin: StreamOrigin
    until: float
    own: bool
    services: tuple[str, ...] = ()


def merge_origins(origins: Iterable[StreamOrigin]) -> StreamOrigin | None:
    """Return the origin that several boxes know of one stream, None if there is none.

    Where they differ, as when a caller used one id twice, it names no version and no endpoint.
    """
    found = list(origins)
    if len({(item.service, item.software) for item in found}) > 1:
        return StreamOrigin(found[0].service, "", "")
    if len({item.endpoint for item in found}) > 1 and not found[0].software:
        return StreamOrigin(found[0].service, "", "")
    return found[0] if found else None


def may_continue(
    origin: StreamOrigin,
    endpoint: Endpoint,
    history: SoftwareHistory,
    now: float,
    entry_outdated: bool = False,
) -> bool:
    """Tell whether a stream may go on at an endpoint.

    entry_outdated: the endpoint started again since it wrote its entry, perhaps as another version.
    """
    if origin.endpoint in history.changed or endpoint.id in history.changed:
        return False
    if endpoint.service != origin.service or endpoint.software != origin.software:
        return False
    if not entry_outdated and (origin.software or endpoint.id == origin.endpoint):
        return True
    # A service whose entries name no version at all is taken to have one.
    return history.versions(origin.service, now) == {""}


@dataclass
class StreamOrigins:
    """The origins of streams whose callers may still come back, by the id of the request that began them."""

    known_by_id: dict[str, KnownStream] = field(default_factory=dict)

    def record(self, stream: str, known: KnownStream) -> None:
        """Record where a stream began; what is known already has to agree."""
        before = self.known_by_id.pop(stream, None)
        if before is not None:
            origin = merge_origins((before.origin, known.origin))
            assert origin is not None
            known = KnownStream(
                origin,
                max(before.until, known.until),
                before.own or known.own,
                known.services or before.services,
            )
        elif len(self.known_by_id) >= MAX_ORIGINS:
            del self.known_by_id[next(iter(self.known_by_id))]
        self.known_by_id[stream] = known

    def find(self, stream: str, now: float) -> StreamOrigin | None:
        """Return where a stream began, None if that is not known."""
        known = self.known_by_id.get(stream)
        return None if known is None or known.until < now else known.origin

    def own_streams(self, now: float) -> dict[str, KnownStream]:
        """Return the streams whose first events this box passed on, by id."""
        return {key: known for key, known in self.known_by_id.items() if known.own and known.until >= now}

    def expire(self, now: float) -> None:
        """Forget the streams whose callers have stopped waiting."""
        for stream in [key for key, known in self.known_by_id.items() if known.until < now]:
            del self.known_by_id[stream]
