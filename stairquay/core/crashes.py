"""Which requests crash endpoints: what is known of crashes, and the verdict on it."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

MIN_CRASHES = 3
"""Endpoints that must have crashed under a request before it is quarantined. Requests that run beside one
that crashes endpoints lose two in a row easily: they are sent again at once, and so is the other one."""

MIN_UNEXPLAINED_CRASHES = 2
"""Of these, those that no other quarantined request explains. Two requests that crash endpoints are often at
the same one when it crashes; who only ran beside them was at few crashes without either."""

UNSTARTED_WEIGHT = 0.5
"""What a crash counts against a request that its engine had not begun to answer while it answered others:
engines send the head of an answer when they begin, so that it mostly waited."""

SAME_POINT_EVENTS = 16
"""Events by which the same request may come further on one endpoint than on another before it crashes it.
Time says less: a box that stood still, or was cut off, hears of a crash seconds late."""

CRASH_TTL_S = 600.0
"""Seconds for which a crash counts. A request that crashes endpoints at least this often stays quarantined;
one that was mended meanwhile gets its next chance after so long."""


@dataclass(frozen=True)
class Crash:
    """An endpoint crashed while a request was there.

    digest: names the request, as `request_digest` gives it. life: names the life of the endpoint that ended.
    at: when that was noticed, in monotonic seconds. ran_s: seconds from sending the request to that. events:
    how many of its answer had come by then, None where an engine had not begun to answer.
    """

    digest: str
    incarnation: str
    at: float
    ran_s: float
    events: int | None


@dataclass(frozen=True)
class QuarantinedRequest:
    """A request that nothing is sent of until a time (monotonic seconds), and the crashes that speak for
    it."""

    digest: str
    until: float
    crashes: tuple[Crash, ...]


CrashesByIncarnation = dict[str, Crash]
"""Crashes under one request, by the life of the endpoint that ended."""


def find_quarantined(crashes: Iterable[Crash], now: float) -> dict[str, QuarantinedRequest]:
    """Return by digest the requests under which at least LEAST_CRASHES endpoints crashed, without those that
    only ran beside one of them.

    Each crash has one cause, but many requests that ran beside it. So the request with most crashes that
    nothing explains yet is taken first, and it explains all of its own. Others must have LEAST_UNEXPLAINED
    besides. Between equals the one that had run the shortest on average is taken: others had mostly begun
    before it. What was taken wrongly is cleared again by the next crash of the right one.
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
        if weight(by_incarnation) >= MIN_CRASHES
    }
    found: dict[str, QuarantinedRequest] = {}
    explained: set[str] = set()
    while candidates:
        unexplained_weight = {
            key: weight(_without(by_incarnation, explained)) for key, by_incarnation in candidates.items()
        }
        digest = max(
            candidates, key=lambda key: (unexplained_weight[key], -_mean_duration_s(candidates[key]), key)
        )
        if unexplained_weight[digest] < MIN_UNEXPLAINED_CRASHES:
            break
        by_incarnation = candidates.pop(digest)
        explained |= by_incarnation.keys()
        until = max(crash.at for crash in by_incarnation.values()) + CRASH_TTL_S
        found[digest] = QuarantinedRequest(digest, until, tuple(by_incarnation.values()))
    return found


def _by_digest(crashes: Iterable[Crash], now: float) -> dict[str, CrashesByIncarnation]:
    """Return the crashes that are young enough to count. Of two that tell of one life, that counts which saw
    the request come further."""
    found: dict[str, CrashesByIncarnation] = {}
    for crash in crashes:
        if now - crash.at < CRASH_TTL_S:
            by_incarnation = found.setdefault(crash.digest, {})
            known = by_incarnation.get(crash.incarnation)
            if known is None or _events(crash) > _events(known):
                by_incarnation[crash.incarnation] = crash
    return found


def _at_same_point(by_incarnation: CrashesByIncarnation) -> CrashesByIncarnation:
    """Return the crashes that came as late in the answer as the latest one: what crashes endpoints does so at
    one point, and a request that went on beyond that point somewhere is not why the endpoints before
    crashed."""
    furthest = max(_events(crash) for crash in by_incarnation.values())
    return {
        incarnation: crash
        for incarnation, crash in by_incarnation.items()
        if _events(crash) >= furthest - SAME_POINT_EVENTS
    }


def _without(by_incarnation: CrashesByIncarnation, explained: Collection[str]) -> CrashesByIncarnation:
    return {
        incarnation: crash for incarnation, crash in by_incarnation.items() if incarnation not in explained
    }


def _events(crash: Crash) -> int:
    return -1 if crash.events is None else crash.events


def _mean_duration_s(by_incarnation: CrashesByIncarnation) -> float:
    return sum(crash.ran_s for crash in by_incarnation.values()) / len(by_incarnation)


def unexplained_crashes(crashes: Iterable[Crash], found: dict[str, QuarantinedRequest]) -> list[Crash]:
    """Return the crashes that no quarantined request explains."""
    explained = {crash.incarnation for item in found.values() for crash in item.crashes}
    return [crash for crash in crashes if crash.incarnation not in explained]
