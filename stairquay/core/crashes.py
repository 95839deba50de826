"""Which requests crash endpoints: what is known of crashes, and the verdict on it."""

from collections.abc import Iterable
from dataclasses import dataclass

LEAST_CRASHES = 3
"""Endpoints that must have crashed under a request before it is quarantined. Requests that run beside one
that crashes endpoints lose two in a row easily: they are sent again at once, and so is the other one."""

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
    """Return by digest the requests that explain at least LEAST_CRASHES crashes which no other one explains.

    Each crash has one cause, but many requests that ran beside it. So the request under which most endpoints
    crashed is taken first, and its crashes no longer speak against the others. Between equals the one that
    had run the shortest on average is taken: others had mostly begun before it. What was taken wrongly is
    cleared again by the next crash of the right one.
    """
    by_digest: dict[str, dict[str, Crash]] = {}
    for crash in crashes:
        if now - crash.at < KEPT_S:
            by_digest.setdefault(crash.digest, {})[crash.life] = crash
    found: dict[str, Quarantined] = {}
    explained: set[str] = set()
    while by_digest:
        left = {
            key: [item for item in held.values() if item.life not in explained]
            for key, held in by_digest.items()
        }
        digest = max(left, key=lambda key: (len(left[key]), -_mean_s(left[key]), key))
        if len(left[digest]) < LEAST_CRASHES:
            break
        held = by_digest.pop(digest)
        explained |= held.keys()
        until = max(crash.at for crash in held.values()) + KEPT_S
        found[digest] = Quarantined(digest, until, tuple(held.values()))
    return found


def _mean_s(crashes: list[Crash]) -> float:
    return sum(crash.ran_s for crash in crashes) / len(crashes) if crashes else float("inf")


def unexplained(crashes: Iterable[Crash], found: dict[str, Quarantined]) -> list[Crash]:
    """Return the crashes that no quarantined request explains."""
    lives = {crash.life for item in found.values() for crash in item.crashes}
    return [crash for crash in crashes if crash.life not in lives]
