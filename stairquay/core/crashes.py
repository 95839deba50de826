"""Which requests crash endpoints: what is known of crashes, and the verdict on it."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

LEAST_CRASHES = 3
"""Endpoints that must have crashed under a request before it is quarantined. Requests that run beside one
that crashes endpoints lose two in a row easily: they are sent again at once, and so is the other one."""

LEAST_UNEXPLAINED = 2
"""Of these, those that no other quarantined request explains. Two requests that crash endpoints are often at
the same one when it crashes; who only ran beside them was at few crashes without either."""

WAITING_WEIGHT = 0.5
"""What a crash counts against a request that its engine had not begun to answer while it answered others:
engines send the head of an answer when they begin, so that it mostly waited."""

ALIKE_EVENTS = 16
"""Events by which the same request may come further on one endpoint than on another before it crashes it.
Time says less: a box that stood still, or was cut off, hears of a crash seconds late."""

KEPT_S = 600.0
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
    life: str
    at: float
    ran_s: float
    events: int | None


@dataclass(frozen=True)
class Quarantined:
    """A request that nothing is sent of until a time (monotonic seconds), and the crashes that speak for
    it."""

    digest: str
    until: float
    crashes: tuple[Crash, ...]


Lives = dict[str, Crash]
"""Crashes under one request, by the life of the endpoint that ended."""


def quarantined(crashes: Iterable[Crash], now: float) -> dict[str, Quarantined]:
    """Return by digest the requests under which at least LEAST_CRASHES endpoints crashed, without those that
    only ran beside one of them.

    Each crash has one cause, but many requests that ran beside it. So the request with most crashes that
    nothing explains yet is taken first, and it explains all of its own. Others must have LEAST_UNEXPLAINED
    besides. Between equals the one that had run the shortest on average is taken: others had mostly begun
    before it. What was taken wrongly is cleared again by the next crash of the right one.
    """
    known = _by_digest(crashes, now)
    answering = {
        crash.life for lives in known.values() for crash in lives.values() if crash.events is not None
    }

    def weight(lives: Lives) -> float:
        waited = sum(crash.events is None and crash.life in answering for crash in lives.values())
        return len(lives) - (1 - WAITING_WEIGHT) * waited

    alike = {digest: _alike(lives) for digest, lives in known.items()}
    waiting = {digest: lives for digest, lives in alike.items() if weight(lives) >= LEAST_CRASHES}
    found: dict[str, Quarantined] = {}
    explained: set[str] = set()
    while waiting:
        left = {key: weight(_without(lives, explained)) for key, lives in waiting.items()}
        digest = max(waiting, key=lambda key: (left[key], -_mean_s(waiting[key]), key))
        if left[digest] < LEAST_UNEXPLAINED:
            break
        lives = waiting.pop(digest)
        explained |= lives.keys()
        until = max(crash.at for crash in lives.values()) + KEPT_S
        found[digest] = Quarantined(digest, until, tuple(lives.values()))
    return found


def _by_digest(crashes: Iterable[Crash], now: float) -> dict[str, Lives]:
    """Return the crashes that are young enough to count. Of two that tell of one life, that counts which saw
    the request come further."""
    found: dict[str, Lives] = {}
    for crash in crashes:
        if now - crash.at < KEPT_S:
            lives = found.setdefault(crash.digest, {})
            known = lives.get(crash.life)
            if known is None or _events(crash) > _events(known):
                lives[crash.life] = crash
    return found


def _alike(lives: Lives) -> Lives:
    """Return the crashes that came as late in the answer as the latest one: what crashes endpoints does so at
    one point, and a request that went on beyond that point somewhere is not why the endpoints before
    crashed."""
    furthest = max(_events(crash) for crash in lives.values())
    return {life: crash for life, crash in lives.items() if _events(crash) >= furthest - ALIKE_EVENTS}


def _without(lives: Lives, explained: Collection[str]) -> Lives:
    return {life: crash for life, crash in lives.items() if life not in explained}


def _events(crash: Crash) -> int:
    return -1 if crash.events is None else crash.events


def _mean_s(lives: Lives) -> float:
    return sum(crash.ran_s for crash in lives.values()) / len(lives)


def unexplained(crashes: Iterable[Crash], found: dict[str, Quarantined]) -> list[Crash]:
    """Return the crashes that no quarantined request explains."""
    lives = {crash.life for item in found.values() for crash in item.crashes}
    return [crash for crash in crashes if crash.life not in lives]
