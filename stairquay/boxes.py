"""What an engineer sees of a whole fleet: which boxes there are, who routes, how old their views are.

Read from the boxes' own rows in the table service and from their metrics; nothing is kept or changed.
"""

import asyncio
import re
from collections import Counter
from dataclasses import dataclass, field

import msgspec
from aiohttp import ClientError, ClientSession
from result import Err, Ok, Result

from stairquay.core.routers import Member, pick_followers, pick_routers
from stairquay.core.row import Row
from stairquay.platform.connections import open_session
from stairquay.platform.rows import OwnRows, TableClient
from stairquay.serving.boxes import KEY_PREFIX, BoxHeartbeat

ANSWER_S = 1.0
"""Seconds for a box's metrics: a box under load answers within a few hundred milliseconds."""

AT_ONCE = 32
"""Boxes asked at once: 200 are through in about a second, with few connections open."""

AGE = re.compile(rb"^stairquay_view_age_seconds (\S+)$", re.M)
EVACUATED = re.compile(rb'^stairquay_evacuated_data_hall{data_hall="([^"]*)"} 1\.0$', re.M)
LIMITED = re.compile(rb'^stairquay_endpoint_limit_per_second{endpoint="([^"]*)"} (\S+)$', re.M)
LEAVING = re.compile(rb'^stairquay_endpoint_leaving{endpoint="([^"]*)"} 1\.0$', re.M)
RESTING = re.compile(rb'^stairquay_endpoint_rest_seconds_left{endpoint="([^"]*)"} (\S+)$', re.M)
COLD = re.compile(rb'^stairquay_cold_seconds_left{endpoint="([^"]*)"} (\S+)$', re.M)

AGE_STEPS_S = (0.5, 1.0, 2.0, 5.0)
"""Bounds of the groups in which views are counted by age. From 2.5 s on a box is unready by default."""


@dataclass(frozen=True)
class BoxSight:
    """One box: what its row says, and its view's age in seconds, None where it did not answer.

    readable: its row could be read; another release may write what this one cannot read. evacuated: data
    halls that it sends nothing to. cold_s_by_endpoint: for how long it takes endpoints to be cold.
    limit_by_endpoint: the limits that it knows endpoints to name, in requests a second. leaving: endpoints
    that it knows to leave. rest_s_by_endpoint: for how long endpoints want nothing from it.
    """

    member: Member
    readable: bool
    view_age_s: float | None
    evacuated: frozenset[str] = frozenset()
    cold_s_by_endpoint: dict[str, float] = field(default_factory=dict)
    limit_by_endpoint: dict[str, float] = field(default_factory=dict)
    leaving: frozenset[str] = frozenset()
    rest_s_by_endpoint: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class FleetSight:
    """The whole fleet. routers: who routes for all, of the boxes that answer; following: who of them follows
    the table service for all."""

    boxes: tuple[BoxSight, ...]
    routers: tuple[str, ...]
    following: tuple[str, ...]


async def look(table_address: str, metrics_port: int) -> Result[FleetSight, str]:
    """Read the boxes' rows and ask each box for its metrics."""
    session = open_session()
    try:
        found = await OwnRows(TableClient(table_address, session)).list_prefix(KEY_PREFIX)
        if isinstance(found, Err):
            return Err(f"the table service at {table_address} does not answer")
        limit = asyncio.Semaphore(AT_ONCE)
        sights = await asyncio.gather(
            *(_sight(row, session, metrics_port, limit) for row in found.ok_value if row.value is not None)
        )
    finally:
        await session.close()
    routers = pick_routers([sight.member for sight in sights if sight.view_age_s is not None])
    following = pick_followers(routers)
    return Ok(FleetSight(tuple(sights), _names(routers), _names(following)))


def fleet_lines(fleet: FleetSight) -> list[str]:
    """Return what an engineer reads of a fleet."""
    halls = Counter(sight.member.data_hall or "unknown" for sight in fleet.boxes)
    silent = [sight.member.id for sight in fleet.boxes if sight.view_age_s is None]
    unreadable = [sight.member.id for sight in fleet.boxes if not sight.readable]
    lines = [
        f"boxes:      {len(fleet.boxes)}, {len(silent)} of them silent",
        f"data halls: {', '.join(f'{hall} {count}' for hall, count in sorted(halls.items())) or 'none'}",
        f"routers:    {', '.join(fleet.routers) or 'none'}",
        f"following:  {', '.join(fleet.following) or 'none'}",
        f"views:      {_views(fleet)}",
    ]
    lines += _halls_away(fleet) + _cold(fleet) + _limited(fleet) + _leaving(fleet) + _resting(fleet)
    lines += [f"silent:     {', '.join(silent)}"] if silent else []
    lines += [f"unreadable: {', '.join(unreadable)}"] if unreadable else []
    return lines


def _halls_away(fleet: FleetSight) -> list[str]:
    """Return a line for each evacuated data hall: how many boxes know, and how old the oldest view of the
    others is."""
    lines = []
    answering = [sight for sight in fleet.boxes if sight.view_age_s is not None]
    for hall in sorted({hall for sight in answering for hall in sight.evacuated}):
        ages_s = [sight.view_age_s or 0.0 for sight in answering if hall not in sight.evacuated]
        behind = f", oldest view of the others {max(ages_s):.2f} s" if ages_s else ""
        lines.append(
            f"evacuated:  {hall}, known at {len(answering) - len(ages_s)} of {len(answering)}{behind}"
        )
    return lines


def _cold(fleet: FleetSight) -> list[str]:
    """Return a line with the cold endpoints, and for how long any box takes them to be."""
    left_s: dict[str, float] = {}
    for sight in fleet.boxes:
        for endpoint, cold_s in sight.cold_s_by_endpoint.items():
            left_s[endpoint] = max(cold_s, left_s.get(endpoint, 0.0))
    told = ", ".join(f"{endpoint} {cold_s:.1f} s" for endpoint, cold_s in sorted(left_s.items()))
    return [f"cold:       {told}"] if told else []


def _limited(fleet: FleetSight) -> list[str]:
    """Return a line with the limits that endpoints name, the lowest that any box knows, and how many boxes
    know of one."""
    limits: dict[str, list[float]] = {}
    for sight in fleet.boxes:
        for endpoint, per_s in sight.limit_by_endpoint.items():
            limits.setdefault(endpoint, []).append(per_s)
    told = ", ".join(
        f"{endpoint} {min(known):g} a second, known at {len(known)}"
        for endpoint, known in sorted(limits.items())
    )
    return [f"limited:    {told}"] if told else []


def _leaving(fleet: FleetSight) -> list[str]:
    """Return a line with the endpoints that leave, and how many boxes know of each."""
    known = Counter(endpoint for sight in fleet.boxes for endpoint in sight.leaving)
    told = ", ".join(f"{endpoint}, known at {count}" for endpoint, count in sorted(known.items()))
    return [f"leaving:    {told}"] if told else []


def _resting(fleet: FleetSight) -> list[str]:
    """Return a line with the endpoints that want rest: the longest that is left, and from how many boxes."""
    rests_s: dict[str, list[float]] = {}
    for sight in fleet.boxes:
        for endpoint, rest_s in sight.rest_s_by_endpoint.items():
            rests_s.setdefault(endpoint, []).append(rest_s)
    told = ", ".join(
        f"{endpoint} {max(left_s):.1f} s, from {len(left_s)}" for endpoint, left_s in sorted(rests_s.items())
    )
    return [f"resting:    {told}"] if told else []


def _views(fleet: FleetSight) -> str:
    ages_s = [sight.view_age_s for sight in fleet.boxes if sight.view_age_s is not None]
    if not ages_s:
        return "none told"
    counts = Counter(next((step for step in AGE_STEPS_S if age <= step), None) for age in ages_s)
    groups = [f"up to {step} s: {counts[step]}" for step in AGE_STEPS_S]
    oldest = max(fleet.boxes, key=lambda sight: sight.view_age_s or 0.0)
    return f"{', '.join(groups)}, older: {counts[None]}; oldest {max(ages_s):.2f} s at {oldest.member.id}"


async def _sight(row: Row, session: ClientSession, metrics_port: int, limit: asyncio.Semaphore) -> BoxSight:
    name = row.key.removeprefix(KEY_PREFIX)
    try:
        beat = msgspec.json.decode(row.value or "", type=BoxHeartbeat)
        readable = True
    except msgspec.MsgspecError:
        beat, readable = BoxHeartbeat(0), False
    member = Member(name, beat.address, beat.capacity, beat.data_hall)
    async with limit:
        told = await _metrics(name, session, metrics_port)
    if told is None:
        return BoxSight(member, readable, None)
    evacuated = frozenset(hall.decode() for hall in EVACUATED.findall(told))
    cold_s = {endpoint.decode(): float(left_s) for endpoint, left_s in COLD.findall(told)}
    limits = {endpoint.decode(): float(per_s) for endpoint, per_s in LIMITED.findall(told)}
    leaving = frozenset(endpoint.decode() for endpoint in LEAVING.findall(told))
    rests_s = {endpoint.decode(): float(left_s) for endpoint, left_s in RESTING.findall(told)}
    return BoxSight(member, readable, _view_age_s(told), evacuated, cold_s, limits, leaving, rests_s)


def _view_age_s(told: bytes) -> float | None:
    found = AGE.search(told)
    try:
        return None if found is None else float(found[1])
    except ValueError:
        return None


async def _metrics(name: str, session: ClientSession, metrics_port: int) -> bytes | None:
    """Return a box's metrics, None where it does not tell them. Boxes are named `NODE@IP`."""
    url = f"http://{name.rpartition('@')[2]}:{metrics_port}/metrics"
    try:
        async with asyncio.timeout(ANSWER_S):
            async with session.get(url) as response:
                return await response.read()
    except (ClientError, TimeoutError, OSError, ValueError):
        return None


def _names(members: tuple[Member, ...] | list[Member]) -> tuple[str, ...]:
    return tuple(member.id for member in members)
