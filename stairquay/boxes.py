"""Read-only status of a whole fleet: its boxes, which of them are routers, and how old their views are.

Combines the boxes' rows in the table service with their metrics.
"""

import asyncio
import re
from collections import Counter
from dataclasses import dataclass, field

import msgspec
from aiohttp import ClientError, ClientSession
from result import Err, Ok, Result

from stairquay.core.malformed import MALFORMED
from stairquay.core.routers import Member, pick_followers, pick_routers
from stairquay.core.row import Row
from stairquay.platform.connections import open_session
from stairquay.platform.rows import OwnRows, TableClient
from stairquay.serving.boxes import KEY_PREFIX, BoxHeartbeat

METRICS_TIMEOUT_S = 1.0
"""Timeout of fetching one box's metrics."""

MAX_CONCURRENT_SCRAPES = 32
"""Boxes whose metrics are fetched concurrently."""

VIEW_AGE_PATTERN = re.compile(rb"^stairquay_view_age_seconds (\S+)$", re.M)
EVACUATED_PATTERN = re.compile(rb'^stairquay_evacuated_data_hall{data_hall="([^"]*)"} 1\.0$', re.M)
LIMIT_PATTERN = re.compile(rb'^stairquay_endpoint_limit_per_second{endpoint="([^"]*)"} (\S+)$', re.M)
LEAVING_PATTERN = re.compile(rb'^stairquay_endpoint_leaving{endpoint="([^"]*)"} 1\.0$', re.M)
BACKOFF_PATTERN = re.compile(rb'^stairquay_endpoint_rest_seconds_left{endpoint="([^"]*)"} (\S+)$', re.M)
LOST_PATTERN = re.compile(rb'^stairquay_service_lost{service="([^"]*)"} 1\.0$', re.M)
COLD_PATTERN = re.compile(rb'^stairquay_cold_seconds_left{endpoint="([^"]*)"} (\S+)$', re.M)

VIEW_AGE_BUCKETS_S = (0.5, 1.0, 2.0, 5.0)
"""Upper bounds of the buckets in which views are counted by age."""


@dataclass(frozen=True)
class BoxStatus:
    """Status of one box, from its row and its metrics.

    readable: this release can decode its row. view_age_s: None if it reports no age. evacuated: data halls
    that get no requests. cold_s_by_endpoint: seconds left as cold. limit_by_endpoint: rate limits in requests
    per second. rest_s_by_endpoint: seconds of backoff left. lost: services that it does not reach.
    """

    member: Member
    readable: bool
    view_age_s: float | None
    evacuated: frozenset[str] = frozenset()
    cold_s_by_endpoint: dict[str, float] = field(default_factory=dict)
    limit_by_endpoint: dict[str, float] = field(default_factory=dict)
    leaving: frozenset[str] = frozenset()
    rest_s_by_endpoint: dict[str, float] = field(default_factory=dict)
    lost: frozenset[str] = frozenset()


@dataclass(frozen=True)
class FleetStatus:
    """Status of the fleet.

    routers: boxes that route, among those that answer; following: routers that follow the table service for
    the others.
    """

    boxes: tuple[BoxStatus, ...]
    routers: tuple[str, ...]
    following: tuple[str, ...]


async def inspect_fleet(table_address: str, metrics_port: int) -> Result[FleetStatus, str]:
    """Read the boxes' rows, and fetch the metrics of each box."""
    session = open_session()
    try:
        found = await OwnRows(TableClient(table_address, session)).list_prefix(KEY_PREFIX)
        if isinstance(found, Err):
            return Err(f"the table service at {table_address} does not answer")
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_SCRAPES)
        statuses = await asyncio.gather(
            *(
                _box_status(row, session, metrics_port, semaphore)
                for row in found.ok_value
                if row.value is not None
            )
        )
    finally:
        await session.close()
    routers = pick_routers([box.member for box in statuses if box.view_age_s is not None])
    following = pick_followers(routers)
    return Ok(FleetStatus(tuple(statuses), _box_ids(routers), _box_ids(following)))


def fleet_lines(fleet: FleetStatus) -> list[str]:
    """Format the status of a fleet as lines of text."""
    halls = Counter(box.member.data_hall or "unknown" for box in fleet.boxes)
    silent = [box.member.id for box in fleet.boxes if box.view_age_s is None]
    unreadable = [box.member.id for box in fleet.boxes if not box.readable]
    lines = [
        f"boxes:      {len(fleet.boxes)}, {len(silent)} of them silent",
        f"data halls: {', '.join(f'{hall} {count}' for hall, count in sorted(halls.items())) or 'none'}",
        f"routers:    {', '.join(fleet.routers) or 'none'}",
        f"following:  {', '.join(fleet.following) or 'none'}",
        f"views:      {_view_ages(fleet)}",
    ]
    lines += (
        _evacuated_lines(fleet)
        + _cold_lines(fleet)
        + _limited_lines(fleet)
        + _leaving_lines(fleet)
        + _backoff_lines(fleet)
        + _lost_lines(fleet)
    )
    lines += [f"silent:     {', '.join(silent)}"] if silent else []
    lines += [f"unreadable: {', '.join(unreadable)}"] if unreadable else []
    return lines


def _evacuated_lines(fleet: FleetStatus) -> list[str]:
    """Return a line for each evacuated data hall: how many boxes know, and the oldest view of the others."""
    lines = []
    answering = [box for box in fleet.boxes if box.view_age_s is not None]
    for hall in sorted({hall for box in answering for hall in box.evacuated}):
        ages_s = [box.view_age_s or 0.0 for box in answering if hall not in box.evacuated]
        behind = f", oldest view of the others {max(ages_s):.2f} s" if ages_s else ""
        lines.append(
            f"evacuated:  {hall}, known at {len(answering) - len(ages_s)} of {len(answering)}{behind}"
        )
    return lines


def _cold_lines(fleet: FleetStatus) -> list[str]:
    """Return a line with the cold endpoints, and the longest time left at any box."""
    left_s: dict[str, float] = {}
    for box in fleet.boxes:
        for endpoint, cold_s in box.cold_s_by_endpoint.items():
            left_s[endpoint] = max(cold_s, left_s.get(endpoint, 0.0))
    summary = ", ".join(f"{endpoint} {cold_s:.1f} s" for endpoint, cold_s in sorted(left_s.items()))
    return [f"cold:       {summary}"] if summary else []


def _limited_lines(fleet: FleetStatus) -> list[str]:
    """Return a line with the lowest known rate limit of each endpoint, and how many boxes know one."""
    limits: dict[str, list[float]] = {}
    for box in fleet.boxes:
        for endpoint, per_s in box.limit_by_endpoint.items():
            limits.setdefault(endpoint, []).append(per_s)
    summary = ", ".join(
        f"{endpoint} {min(known):g} a second, known at {len(known)}"
        for endpoint, known in sorted(limits.items())
    )
    return [f"limited:    {summary}"] if summary else []


def _leaving_lines(fleet: FleetStatus) -> list[str]:
    """Return a line with the leaving endpoints, and how many boxes know of each."""
    known = Counter(endpoint for box in fleet.boxes for endpoint in box.leaving)
    summary = ", ".join(f"{endpoint}, known at {count}" for endpoint, count in sorted(known.items()))
    return [f"leaving:    {summary}"] if summary else []


def _backoff_lines(fleet: FleetStatus) -> list[str]:
    """Return a line with the endpoints in backoff: the longest time left, and at how many boxes."""
    rests_s: dict[str, list[float]] = {}
    for box in fleet.boxes:
        for endpoint, rest_s in box.rest_s_by_endpoint.items():
            rests_s.setdefault(endpoint, []).append(rest_s)
    summary = ", ".join(
        f"{endpoint} {max(left_s):.1f} s, from {len(left_s)}" for endpoint, left_s in sorted(rests_s.items())
    )
    return [f"resting:    {summary}"] if summary else []


def _lost_lines(fleet: FleetStatus) -> list[str]:
    """Return a line for each service that some boxes, or all that answer, do not reach."""
    lines = []
    answering = sum(box.view_age_s is not None for box in fleet.boxes)
    for service in sorted({service for box in fleet.boxes for service in box.lost}):
        names = [box.member.id for box in fleet.boxes if service in box.lost]
        where = "any box that answers" if len(names) == answering else ", ".join(names)
        lines.append(f"lost:       {service}, not reached from {where}")
    return lines


def _view_ages(fleet: FleetStatus) -> str:
    ages_s = [box.view_age_s for box in fleet.boxes if box.view_age_s is not None]
    if not ages_s:
        return "none told"
    counts = Counter(next((bucket for bucket in VIEW_AGE_BUCKETS_S if age <= bucket), None) for age in ages_s)
    groups = [f"up to {bucket} s: {counts[bucket]}" for bucket in VIEW_AGE_BUCKETS_S]
    oldest = max(fleet.boxes, key=lambda box: box.view_age_s or 0.0)
    return f"{', '.join(groups)}, older: {counts[None]}; oldest {max(ages_s):.2f} s at {oldest.member.id}"


async def _box_status(
    row: Row, session: ClientSession, metrics_port: int, semaphore: asyncio.Semaphore
) -> BoxStatus:
    name = row.key.removeprefix(KEY_PREFIX)
    try:
        heartbeat = msgspec.json.decode(row.value or "", type=BoxHeartbeat)
        readable = True
    except MALFORMED:
        heartbeat, readable = BoxHeartbeat(0), False
    member = Member(name, heartbeat.address, heartbeat.capacity, heartbeat.data_hall)
    async with semaphore:
        metrics = await _fetch_metrics(name, session, metrics_port)
    if metrics is None:
        return BoxStatus(member, readable, None)
    evacuated = frozenset(hall.decode() for hall in EVACUATED_PATTERN.findall(metrics))
    cold_s = {endpoint.decode(): float(left_s) for endpoint, left_s in COLD_PATTERN.findall(metrics)}
    limits = {endpoint.decode(): float(per_s) for endpoint, per_s in LIMIT_PATTERN.findall(metrics)}
    leaving = frozenset(endpoint.decode() for endpoint in LEAVING_PATTERN.findall(metrics))
    rests_s = {endpoint.decode(): float(left_s) for endpoint, left_s in BACKOFF_PATTERN.findall(metrics)}
    lost = frozenset(service.decode() for service in LOST_PATTERN.findall(metrics))
    age_s = _view_age_s(metrics)
    return BoxStatus(member, readable, age_s, evacuated, cold_s, limits, leaving, rests_s, lost)


def _view_age_s(metrics: bytes) -> float | None:
    found = VIEW_AGE_PATTERN.search(metrics)
    try:
        return None if found is None else float(found[1])
    except ValueError:
        return None


async def _fetch_metrics(name: str, session: ClientSession, metrics_port: int) -> bytes | None:
    """Return a box's metrics, or None if it does not answer. Boxes are named `NODE@IP`."""
    url = f"http://{name.rpartition('@')[2]}:{metrics_port}/metrics"
    try:
        async with asyncio.timeout(METRICS_TIMEOUT_S):
            async with session.get(url) as response:
                return await response.read()
    except (ClientError, TimeoutError, OSError, ValueError):
        return None


def _box_ids(members: tuple[Member, ...] | list[Member]) -> tuple[str, ...]:
    return tuple(member.id for member in members)
