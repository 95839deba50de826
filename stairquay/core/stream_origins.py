"""Where streams began: what a box has to know to go on with one at the version that began it."""

from base64 import urlsafe_b64encode
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice

import msgspec
from xxhash import xxh3_64_digest

from stairquay.core.fleet import Endpoint
from stairquay.core.software import SoftwareHistory

MAX_ORIGINS = 50_000
"""Streams that are remembered; the oldest are forgotten first. At 570 streams a second over all boxes, each
remembered for 15 s by each of three routers, a router has 8,550."""

MAX_PUBLISHED = 2_000
"""Streams of which a box that others learn from tells at a time, the newest ones."""

DIGEST_BYTES = 6
DIGEST_CHARS = 8
"""Length of the base64 digest of a stream's id; one in 10^8 of 2,000 streams has the digest of another."""

LEARNED_S = 20.0
"""Seconds for which a box that starts keeps what it learns of streams, longer than callers wait."""


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


class BegunStreams(msgspec.Struct, frozen=True, array_like=True):
    """Streams that began at a version of a service's software, as their digests in a row."""

    service: str
    software: str
    digests: str


def stream_digest(stream: str) -> str:
    """Return the digest of a stream's id, which is short enough to tell many streams in one row."""
    digest = xxh3_64_digest(stream.encode(errors="surrogateescape"))[:DIGEST_BYTES]
    return urlsafe_b64encode(digest).decode()


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
    """The origins of streams whose callers may still come back, by the id of the request that began them.

    learned_by_digest: of streams that boxes before this one's start told of, by the digest of that id.
    recorded: number of origins recorded so far.
    """

    known_by_id: dict[str, KnownStream] = field(default_factory=dict)
    learned_by_digest: dict[str, KnownStream] = field(default_factory=dict)
    recorded: int = 0

    def record(self, stream: str, known: KnownStream) -> None:
        """Record where a stream began; what is known already has to agree."""
        self.recorded += 1
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
        if known is None and self.learned_by_digest:
            known = self.learned_by_digest.get(stream_digest(stream))
        return None if known is None or known.until < now else known.origin

    def learn(self, begun: Iterable[BegunStreams], now: float) -> None:
        """Keep what boxes before this one's start told of streams. What they disagree on stays unknown."""
        for item in begun:
            origin = StreamOrigin(item.service, "", item.software)
            for at in range(0, len(item.digests) - DIGEST_CHARS + 1, DIGEST_CHARS):
                digest = item.digests[at : at + DIGEST_CHARS]
                before = self.learned_by_digest.get(digest)
                agreed = origin if before is None else merge_origins((before.origin, origin))
                assert agreed is not None
                self.learned_by_digest[digest] = KnownStream(agreed, now + LEARNED_S, own=False)

    def begun_streams(self, now: float) -> tuple[BegunStreams, ...]:
        """Return the newest streams, for boxes that start after all that know them have ended."""
        newest = islice(reversed(self.known_by_id.items()), MAX_PUBLISHED)
        found_by_digest = {stream_digest(key): known for key, known in newest}
        for digest in islice(self.learned_by_digest, MAX_PUBLISHED - len(found_by_digest)):
            found_by_digest.setdefault(digest, self.learned_by_digest[digest])
        digests_by_version: dict[tuple[str, str], list[str]] = defaultdict(list)
        for digest, known in found_by_digest.items():
            if known.origin.software and known.until >= now:
                digests_by_version[known.origin.service, known.origin.software].append(digest)
        return tuple(BegunStreams(*key, "".join(found)) for key, found in digests_by_version.items())

    def own_streams(self, now: float) -> dict[str, KnownStream]:
        """Return the streams whose first events this box passed on, by id."""
        return {key: known for key, known in self.known_by_id.items() if known.own and known.until >= now}

    def expire(self, now: float) -> None:
        """Forget the streams whose callers have stopped waiting."""
        for stream in [key for key, known in self.known_by_id.items() if known.until < now]:
            del self.known_by_id[stream]
        for digest in [key for key, known in self.learned_by_digest.items() if known.until < now]:
            del self.learned_by_digest[digest]
