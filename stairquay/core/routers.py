"""Which boxes route prompts for all, which engines each of them routes for, and whom a box asks.

Boxes that each chose by themselves would all send to the same engine, since reports are half a second old,
and every engine would have to answer the questions of all. So a few boxes route for all. Each engine has one
router, which counts exactly what it sends there; each box asks a router of its own data hall where there is
one, so that its requests stay there and use few connections. A lone box is its own router. Boxes that
disagree about who routes lose time, never truth.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import ceil

from xxhash import xxh3_64_intdigest

from stairquay.core.ownership import rank_owners

BOXES_PER_ROUTER = 40
"""Boxes of a data hall for which one routes. 85 boxes in three halls have three routers, each with 185
prompts a second and 19 engines."""

MIN_ENGINES_PER_ROUTER = 8
"""Fewest engines for which one routes: with fewer, the other routers stand by. A router of one or two engines
could not choose, and its boxes would ask a second one for most prompts."""

MIN_ROUTERS = 2
"""Fewest routers: where one is gone, another is there."""

FOLLOWER_COUNT = 2
"""Routers that follow the table service and pass it on to all boxes, the other routers among them: where one
is gone, another is there. Each makes about five calls a second, and every call is priced: two in place of
four save 0.005 of the payoff owed, a third of what all calls cost (6 paired runs)."""

FULL_CAPACITY_CORES = 0.5
FULL_CAPACITY_MBPS = 50.0
"""Processor and link from which a box is as good a router as any larger one: 140 prompts a second take about
0.2 of a core; views for 24 boxes and questions about prompts take about 3 Mbit/s."""


@dataclass(frozen=True)
class Member:
    """A box of ours that is alive. `address` is where other boxes reach it, empty where they cannot."""

    id: str
    address: str = ""
    capacity: float = 0.0
    data_hall: str = ""


@dataclass(frozen=True)
class Engine:
    """An engine that has to have a router."""

    id: str
    data_hall: str = ""


def capacity(cores: float, link_mbps: float) -> float:
    """Return how well a box can route for others, from 0 to 1."""
    return min(1.0, cores / FULL_CAPACITY_CORES, link_mbps / FULL_CAPACITY_MBPS)


def pick_routers(members: Sequence[Member]) -> tuple[Member, ...]:
    """Return the boxes that route for all, by id; none where no box can be reached by others."""
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
    """Return the routers among which so many engines are shared out; the others stand by."""
    return list(routers[: max(1, engines // MIN_ENGINES_PER_ROUTER)])


def routers_for(box: Member, routers: Iterable[Member]) -> list[Member]:
    """Return the routers in the order in which a box asks them: those of its own data hall first."""
    by_id = {router.id: router for router in routers}
    order = [by_id[name] for name in rank_owners(box.id.encode(), by_id, len(by_id))]
    return sorted(order, key=lambda router: router.data_hall != box.data_hall)


def engines_of(router: str, engines: Iterable[Engine], routers: Sequence[Member]) -> frozenset[str]:
    """Return the engines that a router routes for: its share of those in its data hall, and of those in
    halls without a router."""
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
        found |= _assigned_engines(router, names, hall_routers)
    return frozenset(found)


def _highest_capacity(members: Iterable[Member], count: int) -> list[Member]:
    reachable = [member for member in members if member.address]
    return sorted(reachable, key=lambda member: (-member.capacity, xxh3_64_intdigest(member.id.encode())))[
        :count
    ]


def _assigned_engines(router: str, engines: Iterable[str], routers: Sequence[str]) -> set[str]:
    """Return one router's engines: none has more than an even share, and few move as engines come and go."""
    ordered = sorted(engines)
    if router not in routers:
        return set()
    max_engines = ceil(len(ordered) / len(routers))
    assigned = dict.fromkeys(routers, 0)
    found = set()
    for engine in ordered:
        free = [name for name in routers if assigned[name] < max_engines]
        owner = rank_owners(engine.encode(), free, 1)[0]
        assigned[owner] += 1
        if owner == router:
            found.add(engine)
    return found
