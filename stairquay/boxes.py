"""What an engineer sees of a whole fleet: which boxes there are, who routes, how old their views are.

Read from the boxes' own rows in the table service and from their metrics; nothing is kept or changed.
"""

import asyncio
import re
from collections import Counter
from dataclasses import dataclass

import msgspec
from aiohttp import ClientError, ClientSession
from result import Err, Ok, Result

from stairquay.core.routers import Member, followers, pick_routers
from stairquay.core.row import Row
from stairquay.platform.connections import open_session
from stairquay.platform.rows import OwnRows, TableClient
from stairquay.serving.boxes import PREFIX, BoxHeartbeat

ANSWER_S = 1.0
"""Seconds for a box's metrics: a box under load answers within a few hundred milliseconds."""

AT_ONCE = 32
"""Boxes asked at once: 200 are through in about a second, with few connections open."""

AGE = re.compile(rb"^stairquay_view_age_seconds (\S+)$", re.M)

AGE_STEPS_S = (0.5, 1.0, 2.0, 5.0)
"""Bounds of the groups in which views are counted by age. From 2.5 s on a box is unready by default."""


@dataclass(frozen=True)
class BoxSight:
    """One box: what its row says, and its view's age in seconds, None where it did not answer.

    readable: its row could be read; another release may write what this one cannot read.
    """

    member: Member
    readable: bool
    view_age_s: float | None


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
        found = await OwnRows(TableClient(table_address, session)).under(PREFIX)
        if isinstance(found, Err):
            return Err(f"the table service at {table_address} does not answer")
        limit = asyncio.Semaphore(AT_ONCE)
        sights = await asyncio.gather(
            *(_sight(row, session, metrics_port, limit) for row in found.ok_value if row.value is not None)
        )
    finally:
        await session.close()
    routers = pick_routers([sight.member for sight in sights if sight.view_age_s is not None])
    following = followers(routers)
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
    lines += [f"silent:     {', '.join(silent)}"] if silent else []
    lines += [f"unreadable: {', '.join(unreadable)}"] if unreadable else []
    return lines


def _views(fleet: FleetSight) -> str:
    ages_s = [sight.view_age_s for sight in fleet.boxes if sight.view_age_s is not None]
    if not ages_s:
        return "none told"
    counts = Counter(next((step for step in AGE_STEPS_S if age <= step), None) for age in ages_s)
    groups = [f"up to {step} s: {counts[step]}" for step in AGE_STEPS_S]
    oldest = max(fleet.boxes, key=lambda sight: sight.view_age_s or 0.0)
    return f"{', '.join(groups)}, older: {counts[None]}; oldest {max(ages_s):.2f} s at {oldest.member.id}"


async def _sight(row: Row, session: ClientSession, metrics_port: int, limit: asyncio.Semaphore) -> BoxSight:
    name = row.key.removeprefix(PREFIX)
    try:
        beat = msgspec.json.decode(row.value or "", type=BoxHeartbeat)
        readable = True
    except msgspec.MsgspecError:
        beat, readable = BoxHeartbeat(0), False
    member = Member(name, beat.address, beat.capacity, beat.data_hall)
    async with limit:
        return BoxSight(member, readable, await _view_age_s(name, session, metrics_port))


async def _view_age_s(name: str, session: ClientSession, metrics_port: int) -> float | None:
    """Return the age of a box's view, None where the box does not tell it. Boxes are named `NODE@IP`."""
    url = f"http://{name.rpartition('@')[2]}:{metrics_port}/metrics"
    try:
        async with asyncio.timeout(ANSWER_S):
            async with session.get(url) as response:
                told = AGE.search(await response.read())
        return float(told[1]) if told is not None else None
    except (ClientError, TimeoutError, OSError, ValueError):
        return None


def _names(members: tuple[Member, ...] | list[Member]) -> tuple[str, ...]:
    return tuple(member.id for member in members)
