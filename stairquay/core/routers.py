"""Selects the boxes that route prompts for all, the engines of each router, and the routers that a box asks.

Boxes choosing engines by themselves, from reports that are half a second old, would all choose the same one.
So each engine has one router, which counts what it sends there. Boxes ask a router, in their data hall if
possible, so that requests stay there and use few connections. Disagreement costs time only.
"""

from collections.abc import Iterable, Sequence
from functools import lru_cache
from math import ceil

import msgspec
from xxhash import xxh3_64_intdigest

from stairquay.core.ownership import rank_owners

BOXES_PER_ROUTER = 40
"""Maximum boxes of a data hall for each router there. 85 boxes in three data halls have three routers, each
of which places about 185 prompts a second."""

MIN_ENGINES_PER_ROUTER = 8
"""Minimum engines for each placing router; the others stand by. A router of one or two engines could not
choose, and its boxes would ask a second one for most prompts."""

MIN_ROUTERS = 2
"""Minimum routers, for redundancy."""

FOLLOWER_COUNT = 2
"""Routers that follow the table service and pass its rows on to all boxes: two for redundancy, no more since
each call is charged. Two instead of four saved a third of what all calls cost."""

CACHED_SHARES = 64
"""Shares of engines that are remembered; a router asks for its own several times a second."""

FULL_CAPACITY_CORES = 0.5
FULL_CAPACITY_MBPS = 50.0
"""Processor cores and link in Mbit/s from which a box has full capacity as a router. Placing 140 prompts a
second took about 0.2 of a core; views for 24 boxes and place requests took about 3 Mbit/s."""


class Member(msgspec.Struct, frozen=True):
    """A live box. address: where other boxes reach it, empty if they cannot. capacity: as of capacity().

    front: where it takes callers' requests, empty for a box of an older release.
    """

    id: str
    address: str = ""
    capacity: float = 0.0
    data_hall: str = ""
    front: str = ""


class Engine(msgspec.Struct, frozen=True):
    """An engine that needs a router."""

    id: str
    data_hall: str = ""


def capacity(cores: float, link_mbps: float) -> float:
    """Return a box's capacity as a router, from 0 to 1."""
    return min(1.0, cores / FULL_CAPACITY_CORES, link_mbps / FULL_CAPACITY_MBPS)


def pick_routers(members: Sequence[Member]) -> tuple[Member, ...]:
    """Return the boxes that route for all, ordered by id; empty if no box can be reached by others."""
    members_by_hall: dict[str, list[Member]] = {}
    for member in members:
        members_by_hall.setdefault(member.data_hall, []).append(member)
    routers = []
    for hall_members in members_by_hall.values():
        routers += _highest_capacity(hall_members, ceil(len(hall_members) / BOXES_PER_ROUTER))
    others = [member for member in members if member not in routers]
    routers += _highest_capacity(others, max(0, MIN_ROUTERS - len(routers)))
    return tuple(sorted(routers, key=lambda member: member.id))


def pick_followers(routers: Sequence[Member]) -> list[Member]:
    """Return the routers that follow the table service for all."""
    return list(routers[:FOLLOWER_COUNT])


def pick_placing_routers(routers: Sequence[Member], engines: int) -> list[Member]:
    """Return the routers that share this many engines; the others stand by."""
    return list(routers[: max(1, engines // MIN_ENGINES_PER_ROUTER)])


def routers_for(box: Member, routers: Iterable[Member]) -> list[Member]:
    """Return the routers in the order in which a box asks them, its own data hall first."""
    by_id = {router.id: router for router in routers}
    order = [by_id[name] for name in rank_owners(box.id.encode(), by_id, len(by_id))]
    return sorted(order, key=lambda router: router.data_hall != box.data_hall)


def engines_of(router: str, engines: Iterable[Engine], routers: Sequence[Member]) -> frozenset[str]:
    """Return the engines that a router routes for: its share of those in its data hall and in data halls
    without a router."""
    halls = {item.data_hall for item in routers}
    names_by_hall: dict[str, list[str]] = {}
    for engine in engines:
        hall = engine.data_hall if engine.data_hall in halls else ""
        names_by_hall.setdefault(hall, []).append(engine.id)
    found: set[str] = set()
    for hall, names in names_by_hall.items():
        hall_routers = [item.id for item in routers if item.data_hall == hall] or [
            item.id for item in routers
        ]
        found |= _assigned_engines(router, tuple(sorted(names)), tuple(hall_routers))
    return frozenset(found)


def _highest_capacity(members: Iterable[Member], count: int) -> list[Member]:
    reachable = [member for member in members if member.address]
    return sorted(reachable, key=lambda member: (-member.capacity, xxh3_64_intdigest(member.id.encode())))[
        :count
    ]


@lru_cache(maxsize=CACHED_SHARES)
def _assigned_engines(router: str, engines: tuple[str, ...], routers: tuple[str, ...]) -> frozenset[str]:
    """Return one router's even share of sorted engines, of which few move as engines come and go."""
    if router not in routers:
        return frozenset()
    max_engines = ceil(len(engines) / len(routers))
    assigned = dict.fromkeys(routers, 0)
    found = set()
    for engine in engines:
        free = [name for name in routers if assigned[name] < max_engines]
        owner = rank_owners(engine.encode(), free, 1)[0]
        assigned[owner] += 1
        if owner == router:
            found.add(engine)
    return frozenset(found)
