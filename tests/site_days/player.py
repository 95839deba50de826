"""Plays a day of a site file: `python -m tests.site_days.player SITE DAY --seed 1 [--add KIND,AT,FOR_S,HOW]`.

Boxes and endpoints are processes; the table service, store boxes and callers run in this one. It prints every
line of BUDGET as counted at the endpoints, and which of the day's troubles no stand-in can play.
"""

import argparse
import asyncio
import json
from collections import Counter
from collections.abc import AsyncIterator, Iterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Any

from stairquay.serving.boxes import HEARTBEAT_INTERVAL_S
from tests.many_boxes import several_boxes
from tests.retries import budget_bounds
from tests.site import MODEL, Site, box_rows, eventually, route
from tests.site_days.budget_lines import Lines, Play, count_lines
from tests.site_days.callers import Callers
from tests.site_days.site_file import Day, Kind, Service, SiteFile, Trouble, read_site_file
from tests.site_days.troubles import Troubles
from tests.standins.endpoint_process import EndpointProcess
from tests.standins.endpoints import StoreBox

SETTLE_S = 2.0
QUIET_S = 12.0
"""Seconds of traffic before the first trouble counts from, so that budgets and parts' good ends are usual."""

CLOSING_S = 6.0
"""Seconds that a day goes on after its closing trouble."""


@dataclass
class Outcome:
    """What a play showed."""

    lines: Lines
    statuses: Counter[int]
    requests: int
    begun_by_kind: Counter[str]
    played: Counter[str] = field(default_factory=Counter)
    not_played: list[str] = field(default_factory=list)


async def play_day(site: SiteFile, day: Day, seed: int) -> Outcome:
    """Play a day, and return what it showed."""
    async with site_processes(site) as (boxes, endpoints):
        random = Random(seed)
        callers = Callers(site, boxes, Random(random.random()))
        troubles = Troubles(site, boxes, endpoints, callers, Random(random.random()))
        watching = [asyncio.create_task(troubles.restart_crashed(item)) for item in endpoints]
        pressing = [asyncio.create_task(callers.press(traffic)) for traffic in day.traffic]
        await asyncio.sleep(QUIET_S)
        await troubles.play(day, site.length_s)
        if day.closing:
            await troubles.close_day()
            await asyncio.sleep(CLOSING_S)
        await troubles.settle()
        for task in pressing:
            task.cancel()
        await callers.end()
        await asyncio.sleep(SETTLE_S)
        for task in watching:
            task.cancel()
        for endpoint in troubles.endpoints:
            await endpoint.close()
        play = Play(
            troubles.endpoints,
            callers.sent,
            _sender_by_id(boxes),
            troubles.away_by_box,
            troubles.table_away,
            site.allowance,
            site.contact_s,
        )
        return Outcome(
            count_lines(play),
            callers.statuses,
            len(callers.sent),
            callers.begun_by_kind,
            troubles.played,
            sorted(troubles.not_played),
        )


def _sender_by_id(boxes: list[Site]) -> dict[str, str]:
    """Return the boxes that sent requests on to endpoints, which differ from the asked ones if passed on."""
    return {line["request"]: box.name for box in boxes for line in box.logged("sent") if "request" in line}


@asynccontextmanager
async def site_processes(site: SiteFile) -> AsyncIterator[tuple[list[Site], list[EndpointProcess]]]:
    """Start a site's boxes and endpoints."""
    halls = tuple(hall for hall, number in site.boxes_by_hall.items() for _ in range(number))
    stores = sum(
        sum(item.endpoints_by_hall.values()) for item in site.services_by_name.values() if item.is_store
    )
    bounds = dict(site.bounds) | budget_bounds(site.allowance)
    async with several_boxes(
        len(halls), module="tests.cut_box", engines=0, bounds=bounds, stores=stores, box_halls=halls
    ) as boxes:
        endpoints = await _start_endpoints(site, boxes[0])
        try:
            await eventually(lambda: len(box_rows(boxes[0])) == len(halls))
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            yield boxes, endpoints
        finally:
            for endpoint in endpoints:
                await endpoint.close()


async def _start_endpoints(site: SiteFile, here: Site) -> list[EndpointProcess]:
    """Put a site's endpoints in the place of the usual ones, and its routes in the configuration."""
    for usual in here.endpoints:
        here.table.remove("servers", usual.id)
    made = []
    for service in site.services_by_name.values():
        if service.is_store:
            continue
        for hall, number in service.endpoints_by_hall.items():
            for place in range(number):
                model = MODEL if service.is_engine else ""
                endpoint = EndpointProcess(
                    f"{service.name}-{hall}-{place}", service.name, model, service.slots
                )
                endpoint.endpoint.hall = hall
                made.append(endpoint)
    await asyncio.gather(*(endpoint.start() for endpoint in made))
    for endpoint in made:
        here.table.put("servers", endpoint.endpoint.id, endpoint.endpoint.entry())
    here.put_configuration(2, **site_configuration(site, here))
    return made


def site_configuration(site: SiteFile, here: Site) -> dict[str, Any]:
    """Return the routes and services of a site, as a configuration has them."""
    stores = iter(here.stores)
    services = [_service_entry(item, stores) for item in site.services_by_name.values()]
    return {"routes": [route_entry(kind) for kind in site.kinds_by_name.values()], "services": services}


def _service_entry(service: Service, stores: Iterator[StoreBox]) -> dict[str, Any]:
    """Return a service's entry in a configuration; a store box takes the next stand-in."""
    if service.is_store:
        entry = {"name": service.name, "kv_store_addr": next(stores).address, "managed": True}
        return entry | {"kv_capacity_tokens": service.kv_tokens, "max_concurrency": 12}
    entry = {"name": service.name, "max_connections": service.max_connections}
    if not service.is_engine:
        return entry
    engine = {"slots": service.slots, "kv_capacity_tokens": service.kv_tokens, "max_concurrency": 12}
    engine |= {"kv_token_bytes": service.kv_token_bytes, "link_mbps": 1000.0, "models": [{"name": MODEL}]}
    return entry | {"engine": engine}


def route_entry(kind: Kind) -> dict[str, Any]:
    """Return a kind's route."""
    return route(
        kind.name,
        f"/{kind.name}/",
        kind.service,
        kind=kind.route_kind,
        resumable=kind.resumable,
        timeout_ms=int(kind.timeout_s * 1000),
        target_latency_ms=int(kind.target_s * 1000),
        max_attempts=kind.max_attempts,
        priority=kind.priority,
    )


def added_trouble(text: str) -> Trouble:
    """Return a trouble of the command line: its kind, at, for_s and how, and the kind of request it is of."""
    kind, at, for_s, how, of_kind = text.split(",")
    return Trouble(kind, float(at), float(for_s), {"how": how, "class": of_kind})


def with_added(day: Day, added: list[Trouble]) -> Day:
    troubles = sorted((*day.troubles, *added), key=lambda trouble: trouble.at)
    return replace(day, troubles=tuple(troubles))


def report(outcome: Outcome) -> Mapping[str, Any]:
    return {**asdict(outcome.lines), **{key: value for key, value in vars(outcome).items() if key != "lines"}}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", type=Path)
    parser.add_argument("day")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--add", action="append", default=[], type=added_trouble)
    given = parser.parse_args()
    site = read_site_file(given.site)
    day = with_added(site.days_by_name[given.day], given.add)
    outcome = asyncio.run(play_day(site, day, given.seed))
    print(json.dumps({"day": given.day, "seed": given.seed, **report(outcome)}))


if __name__ == "__main__":
    main()
