"""Finds the requests, and the parts of prompts, that crash endpoints, from the crashes that all boxes report.

A part is a suspect as a request is, with a digest of its own: it may crash each engine that begins to answer
a prompt with it, and no two of these prompts are alike.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

MIN_CRASHES = 3
"""Crashed incarnations required to quarantine a request, weighted by UNSTARTED_WEIGHT. With two, a request
that is retried beside the one that crashes endpoints would often be quarantined as well."""

MIN_PART_CRASHES = 4
"""The same for a part of prompts, which many requests share."""

INNOCENT_EVENTS = 4
"""Events of an answer from which the parts of its prompt are innocent: a part that crashes engines does so as
soon as the answer begins."""

PART_PREFIX = "part "
"""Begins the digest of a part; digests of requests are hexadecimal."""

MIN_UNEXPLAINED_PROVEN, MIN_UNEXPLAINED_POPULAR = 3, 12
"""Minimum of these that no other quarantined request explains, for a part that prompts have ended well with
lately, and for such a part of many prompts: it is at most crashes, and refusing it costs the most. The first
is enough of those that no other part can have caused."""

POPULAR_SHARE = 0.2
"""Share of the prompts that ended well at a box from which a part counts as one of many prompts."""

MIN_MISSED_ENDS = 2.0
"""Prompts with a part that should have ended well since its first crash, by its share of those that did, from
which the part does not count as one of many prompts. If it were innocent, the chance of none is 13 %, and it
has to be at three unexplained crashes all the same."""

MANY_MISSED_ENDS = 4.0
"""The same from which three crashes are enough. If the part were innocent, the chance of none is 2 %."""

PROGRESSED_WEIGHT = 0.5
"""Weight of a prompt that was answered well until its engine crashed, beside one that ended well: several of
them are often at the same crash."""

MIN_UNEXPLAINED_CRASHES = 2
"""The same for all others. Two requests that crash endpoints are often at the same one when it crashes; a
request that only ran beside them was at few crashes without either."""

UNSTARTED_WEIGHT = 0.5
"""Weight of a crash for a request that the engine had not begun to answer while it answered others: it was
probably queued. Engines send the head of an answer when they begin the request."""

SAME_POINT_EVENTS = 16
"""Tolerance in events within which crashes count as being at the same point of an answer. Time is not
compared, since a paused or disconnected box notices crashes seconds late."""

CRASH_TTL_S = 600.0
"""Seconds for which a crash counts, and so the time until a quarantined request is tried again. A request
that crashes endpoints at least this often stays quarantined."""


def part_digest(part_id: str) -> str:
    """Return the digest of a part of prompts."""
    return PART_PREFIX + part_id


def min_crashes(digest: str) -> int:
    """Return the crashes required to quarantine a request or a part."""
    return MIN_PART_CRASHES if is_part(digest) else MIN_CRASHES


def is_part(digest: str) -> bool:
    """Tell whether a digest is that of a part of prompts."""
    return digest.startswith(PART_PREFIX)


class Crash(msgspec.Struct, frozen=True):
    """An endpoint crashed while a request, or one with a part, was there.

    digest: the request's, as of `request_digest`, or the part's. incarnation: names the endpoint process that
    crashed. at: monotonic seconds when the crash was noticed. ran_s: seconds from sending the request until
    then. events: events of the answer received by then, or None if an engine had not begun to answer.
    """

    digest: str
    incarnation: str
    at: float
    ran_s: float
    events: int | None


class QuarantinedRequest(msgspec.Struct, frozen=True):
    """A request that must not be sent until a time in monotonic seconds, and the crashes that are evidence
    for it."""

    digest: str
    until: float
    crashes: tuple[Crash, ...]


@dataclass(frozen=True)
class GoodEnds:
    """Prompts that ended well lately.

    share_by_part: of those at this box that have a part, by digest; 0 for a part that only other boxes have
    seen end well. began_at: when answers at this box began, of those that ended last.
    """

    share_by_part: Mapping[str, float] = field(default_factory=dict)
    began_at: Collection[float] = ()

    def min_unexplained(self, part: str, first_crash_at: float, progressed_at: Iterable[float] = ()) -> int:
        """Return the unexplained crashes required to quarantine a part. None with it ended well since.

        progressed_at: when prompts were sent that got so much of their answer, before a crash, that none of
        their parts crashes engines.
        """
        missed = self.missed_ends(part, first_crash_at, progressed_at)
        is_popular = self.share_by_part[part] >= POPULAR_SHARE and missed < MIN_MISSED_ENDS
        return MIN_UNEXPLAINED_POPULAR if is_popular else MIN_UNEXPLAINED_PROVEN

    def missed_ends(self, part: str, first_crash_at: float, progressed_at: Iterable[float] = ()) -> float:
        """Return how many prompts with a part should have ended well since its first crash."""
        ends = sum(at > first_crash_at for at in self.began_at)
        progressed = sum(at > first_crash_at for at in progressed_at)
        return self.share_by_part.get(part, 0.0) * (ends + PROGRESSED_WEIGHT * progressed)


NO_GOOD_ENDS = GoodEnds()

CrashesByIncarnation = dict[str, Crash]
"""The crashes of one request, by the incarnation of the endpoint."""


def find_quarantined(
    crashes: Iterable[Crash], now: float, good_ends: GoodEnds = NO_GOOD_ENDS
) -> dict[str, QuarantinedRequest]:
    """Return by digest the requests and parts that probably crashed as many incarnations as it takes.

    Each crash has one cause but many concurrent requests. The request with the most unexplained crashes,
    relative to those that it takes, is taken first and explains all of its crashes, until none has enough
    left. Ties go to the shortest mean run, since the other requests had mostly started earlier, and among the
    parts of a prompt to the last one: others share the first ones.
    A request that is quarantined wrongly is released by the next crash of the right one.
    """
    known = _by_digest(crashes, now)
    started = {
        crash.incarnation
        for by_incarnation in known.values()
        for crash in by_incarnation.values()
        if crash.events is not None
    }

    def weight(by_incarnation: CrashesByIncarnation) -> float:
        unstarted = sum(
            crash.events is None and crash.incarnation in started for crash in by_incarnation.values()
        )
        return len(by_incarnation) - (1 - UNSTARTED_WEIGHT) * unstarted

    progressed_at = [
        crash.at - crash.ran_s
        for digest, by_incarnation in known.items()
        for crash in by_incarnation.values()
        if not is_part(digest) and event_count(crash) >= INNOCENT_EVENTS
    ]

    def least(digest: str, by_incarnation: CrashesByIncarnation) -> int:
        """Return the crashes required."""
        first_at = min((crash.at for crash in by_incarnation.values()), default=now)
        missed = good_ends.missed_ends(digest, first_at, progressed_at)
        return MIN_CRASHES if missed >= MANY_MISSED_ENDS else min_crashes(digest)

    counted = {digest: _counted(digest, by_incarnation) for digest, by_incarnation in known.items()}
    candidates = {
        digest: by_incarnation
        for digest, by_incarnation in counted.items()
        if weight(by_incarnation) >= MIN_CRASHES and weight(by_incarnation) >= least(digest, by_incarnation)
    }
    required = {
        digest: good_ends.min_unexplained(
            digest, min(crash.at for crash in by_incarnation.values()), progressed_at
        )
        for digest, by_incarnation in candidates.items()
        if digest in good_ends.share_by_part
    }
    beside_others = _at_several_parts(counted)
    order = {digest: number for number, digest in enumerate(known)}
    found: dict[str, QuarantinedRequest] = {}
    explained: set[str] = set()

    def strength_of(digest: str, by_incarnation: CrashesByIncarnation) -> float:
        """Return the unexplained crashes relative to those that it takes."""
        unexplained = _without(by_incarnation, explained)
        if digest not in required:
            return weight(unexplained) / MIN_UNEXPLAINED_CRASHES
        alone = _without(unexplained, beside_others)
        return max(weight(unexplained) / required[digest], weight(alone) / MIN_UNEXPLAINED_PROVEN)

    while candidates:
        strength = {key: strength_of(key, by_incarnation) for key, by_incarnation in candidates.items()}
        digest = max(
            candidates, key=lambda key: (strength[key], -_mean_duration_s(candidates[key]), order[key])
        )
        if strength[digest] < 1:
            break
        by_incarnation = candidates.pop(digest)
        explained |= by_incarnation.keys()
        until = max(crash.at for crash in by_incarnation.values()) + CRASH_TTL_S
        found[digest] = QuarantinedRequest(digest, until, tuple(by_incarnation.values()))
    return found


def _at_several_parts(counted: Mapping[str, CrashesByIncarnation]) -> set[str]:
    """Return the incarnations whose crash may count against more than one part."""
    by_part = (by_incarnation for digest, by_incarnation in counted.items() if is_part(digest))
    parts_at = Counter(incarnation for by_incarnation in by_part for incarnation in by_incarnation)
    return {incarnation for incarnation, parts in parts_at.items() if parts > 1}


def _counted(digest: str, by_incarnation: CrashesByIncarnation) -> CrashesByIncarnation:
    """Return the crashes that may count against a request or a part."""
    return _since_innocent(by_incarnation) if is_part(digest) else _at_same_point(by_incarnation)


def _since_innocent(by_incarnation: CrashesByIncarnation) -> CrashesByIncarnation:
    """Return the crashes that a part may have caused.

    A prompt that had got some events when the engine crashed shows that the part was innocent when it was
    sent: of crashes before that, and probably of this one.
    """
    innocent = [crash for crash in by_incarnation.values() if shows_innocence(crash)]
    innocent_at = max((crash.at - crash.ran_s for crash in innocent), default=float("-inf"))
    return {
        incarnation: crash
        for incarnation, crash in by_incarnation.items()
        if crash.at > innocent_at and not shows_innocence(crash)
    }


def shows_innocence(crash: Crash) -> bool:
    """Tell whether a prompt had got so much of its answer that none of its parts crashes engines."""
    return is_part(crash.digest) and event_count(crash) >= INNOCENT_EVENTS


def _by_digest(crashes: Iterable[Crash], now: float) -> dict[str, CrashesByIncarnation]:
    """Return the crashes that have not expired. If several report one incarnation, the one with the most
    events counts."""
    found: dict[str, CrashesByIncarnation] = {}
    for crash in crashes:
        if now - crash.at < CRASH_TTL_S:
            by_incarnation = found.setdefault(crash.digest, {})
            known = by_incarnation.get(crash.incarnation)
            if known is None or event_count(crash) > event_count(known):
                by_incarnation[crash.incarnation] = crash
    return found


def _at_same_point(by_incarnation: CrashesByIncarnation) -> CrashesByIncarnation:
    """Return the crashes at the same point of the answer as the latest one: a request that got further
    elsewhere did not cause the earlier crashes."""
    furthest = max(event_count(crash) for crash in by_incarnation.values())
    return {
        incarnation: crash
        for incarnation, crash in by_incarnation.items()
        if event_count(crash) >= furthest - SAME_POINT_EVENTS
    }


def _without(by_incarnation: CrashesByIncarnation, explained: Collection[str]) -> CrashesByIncarnation:
    return {
        incarnation: crash for incarnation, crash in by_incarnation.items() if incarnation not in explained
    }


def event_count(crash: Crash) -> int:
    """Return the events received, -1 if the answer had not begun."""
    return -1 if crash.events is None else crash.events


def _mean_duration_s(by_incarnation: CrashesByIncarnation) -> float:
    return sum(crash.ran_s for crash in by_incarnation.values()) / len(by_incarnation)


def unexplained_crashes(crashes: Iterable[Crash], found: dict[str, QuarantinedRequest]) -> list[Crash]:
    """Return the crashes that no quarantined request explains."""
    explained = {crash.incarnation for item in found.values() for crash in item.crashes}
    return [crash for crash in crashes if crash.incarnation not in explained]
