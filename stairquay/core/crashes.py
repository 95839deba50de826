"""Finds the requests, and the parts of prompts, that crash endpoints, from the crashes that all boxes report.

A part is a suspect as a request is, with a digest of its own: it may crash each engine that begins to answer
a prompt with it, and no two of these prompts are alike.
"""

from collections.abc import Collection, Iterable

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

MIN_UNEXPLAINED_CRASHES = 2
"""Minimum of these that no other quarantined request explains, weighted likewise. Two requests that crash
endpoints are often at the same one when it crashes; a request that only ran beside them was at few crashes
without either."""

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


CrashesByIncarnation = dict[str, Crash]
"""The crashes of one request, by the incarnation of the endpoint."""


def find_quarantined(crashes: Iterable[Crash], now: float) -> dict[str, QuarantinedRequest]:
    """Return by digest the requests and parts that probably crashed as many incarnations as it takes.

    Each crash has one cause but many concurrent requests. The request with the most unexplained crashes is
    taken first and explains all of its crashes, until none has MIN_UNEXPLAINED_CRASHES left. Ties go to the
    shortest mean run, since the other requests had mostly started earlier, and among the parts of a prompt
    to the last one: others share the first ones.
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

    at_same_point = {digest: _at_same_point(by_incarnation) for digest, by_incarnation in known.items()}
    candidates = {
        digest: by_incarnation
        for digest, by_incarnation in at_same_point.items()
        if weight(by_incarnation) >= min_crashes(digest)
    }
    order = {digest: number for number, digest in enumerate(known)}
    found: dict[str, QuarantinedRequest] = {}
    explained: set[str] = set()
    while candidates:
        unexplained_weight = {
            key: weight(_without(by_incarnation, explained)) for key, by_incarnation in candidates.items()
        }
        digest = max(
            candidates,
            key=lambda key: (unexplained_weight[key], -_mean_duration_s(candidates[key]), order[key]),
        )
        if unexplained_weight[digest] < MIN_UNEXPLAINED_CRASHES:
            break
        by_incarnation = candidates.pop(digest)
        explained |= by_incarnation.keys()
        until = max(crash.at for crash in by_incarnation.values()) + CRASH_TTL_S
        found[digest] = QuarantinedRequest(digest, until, tuple(by_incarnation.values()))
    return found


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
