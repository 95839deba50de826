"""Which requests crash endpoints: what is known of crashes, and the verdict on it."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

LEAST_CRASHES = 3
"""Endpoints that must have crashed under a request before it is quarantined. Requests that run beside one
that crashes endpoints lose two in a row easily: they are sent again at once, and so is the other one."""

LEAST_UNEXPLAINED = 2
"""Of these, those that no other quarantined request explains. Two requests that crash endpoints are often at
the same one when it crashes; who only ran beside them was at few crashes without either."""

KEPT_S = 600.0
"""Seconds for which a crash counts. A request that crashes endpoints at least this often stays quarantined;
one that was mended meanwhile gets its next chance after so long."""


@dataclass(frozen=True)
class Crash:
    """An endpoint crashed while a request was there.

    digest: names the request, as `request_digest` gives it. life: names the life of the endpoint that ended.
    at: when that was noticed, in monotonic seconds. ran_s: seconds from sending the request to that.
    """

    digest: str
    life: str
    at: float
    ran_s: float


@dataclass(frozen=True)
class Quarantined:
    """A request that nothing is sent of until a time (monotonic seconds), and the crashes that speak for
    it."""

    digest: str
    until: float
    crashes: tuple[Crash, ...]


def quarantined(crashes: Iterable[Crash], now: float) -> dict[str, Quarantined]:
    """Return by digest the requests under which at least LEAST_CRASHES endpoints crashed, without those that
    only ran beside one of them.

    Each crash has one cause, but many requests that ran beside it. So the request with most crashes that
    nothing explains yet is taken first, and it explains all of its own. Others must have LEAST_UNEXPLAINED
    besides. Between equals the one that had run the shortest on average is taken: others had mostly begun
    before it. What was taken wrongly is cleared again by the next crash of the right one.
    """
    lives_by_digest: dict[str, dict[str, Crash]] = {}
    for crash in crashes:
        if now - crash.at < KEPT_S:
            lives_by_digest.setdefault(crash.digest, {})[crash.life] = crash
    waiting = {key: held for key, held in lives_by_digest.items() if len(held) >= LEAST_CRASHES}
    found: dict[str, Quarantined] = {}
    explained: set[str] = set()
    while waiting:
        left = {key: held.keys() - explained for key, held in waiting.items()}
        digest = max(waiting, key=lambda key: (len(left[key]), -_mean_s(waiting[key].values()), key))
        if len(left[digest]) < LEAST_UNEXPLAINED:
            break
        held = waiting.pop(digest)
        explained |= held.keys()
        until = max(crash.at for crash in held.values()) + KEPT_S
        found[digest] = Quarantined(digest, until, tuple(held.values()))
    return found


def _mean_s(crashes: Collection[Crash]) -> float:
    return sum(crash.ran_s for crash in crashes) / len(crashes)


def unexplained(crashes: Iterable[Crash], found: dict[str, Quarantined]) -> list[Crash]:
    """Return the crashes that no quarantined request explains."""
    lives = {crash.life for item in found.values() for crash in item.crashes}
    return [crash for crash in crashes if crash.life not in lives]
