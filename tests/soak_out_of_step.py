"""Soak test of streams that are taken up at boxes out of step while the first endpoints of a version join.

`python -m tests.soak_out_of_step --seed 1 --seconds 30` runs it. Boxes remember versions for two minutes, so
that each round has a service of its own, with one version before. One or two boxes stand still, or are cut
from other boxes, from the table service or from both; new endpoints join at some time of that, and may crash
and leave again; streams begin through the other boxes and are taken up at those out of step until these are
back.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from random import Random

from stairquay.serving.boxes import HEARTBEAT_INTERVAL_S
from tests.cut_box import CutKind, write_cut
from tests.many_boxes import several_boxes
from tests.ports import port_of
from tests.site import Site, box_rows, configuration, eventually, route
from tests.soak_command import run_soak
from tests.standins.endpoints import Endpoint
from tests.streams import EVENTS, Stream, slow_streams

BOXES = 3
SERVICES = 12
ENGINES = 2
WAYS = ("freeze", "boxes", "table", "both", "none")
OUT_OF_STEP_S = (0.8, 3.5)
JOIN_AFTER_S = (0.0, 1.2)
CRASH_SHARE = 0.3
STREAM_PAUSE_S = 0.03
BACK_S = 0.6
"""Seconds for which streams are taken up after the boxes are back."""


@dataclass
class Outcome:
    """What was broken, with an example; rounds by their ways, and what became of streams taken up."""

    broken: dict[str, str] = field(default_factory=dict)
    ways: Counter[str] = field(default_factory=Counter)
    begun_at_new: int = 0
    taken_up: Counter[str] = field(default_factory=Counter)


def service_name(number: int) -> str:
    return f"llm-{number}"


def path_of(number: int) -> str:
    return f"/again{number}/x"


def put_services(box: Site) -> None:
    """Write a configuration with a service and a route for each round."""
    base = configuration(1, [])
    [spec] = [item for item in base["services"] if item["name"] == "llm"]
    names = [service_name(number) for number in range(SERVICES)]
    routes = [
        route(f"again-{number}", f"/again{number}/", name, kind="streaming", resumable=True)
        for number, name in enumerate(names)
    ]
    services = base["services"] + [spec | {"name": name} for name in names]
    box.put_configuration(2, routes=base["routes"] + routes, services=services)


async def start_engine(box: Site, number: int, name: str, software: str) -> Endpoint:
    engine = Endpoint(id=name, service=service_name(number), model="m", software=software)
    slow_streams([engine])
    await engine.start()
    box.endpoints.append(engine)
    box.table.put("servers", engine.id, engine.entry())
    return engine


def cut(boxes: list[Site], victim: Site, way: str, kind: CutKind, ports: dict[str, set[int]]) -> None:
    """Cut a box; ports: those that are cut of each box so far, by its name."""
    if way != "boxes":
        ports.setdefault(victim.name, set()).add(port_of(victim.table.address))
    if way != "table":
        for other in boxes:
            if other is not victim:
                ports.setdefault(victim.name, set()).update(map(port_of, (other.peer_address, other.front)))
                ports.setdefault(other.name, set()).update(map(port_of, (victim.peer_address, victim.front)))
    for box in boxes:
        if box.name in ports:
            write_cut(box.folder, kind, sorted(ports[box.name]))


async def out_of_step(boxes: list[Site], victims: list[Site], way: str, kind: CutKind, for_s: float) -> None:
    """Put boxes out of step for some time."""
    if way == "freeze":
        await asyncio.gather(*(box.pause_box(for_s) for box in victims))
        return
    ports: dict[str, set[int]] = {}
    for victim in victims if way != "none" else []:
        cut(boxes, victim, way, kind, ports)
    await asyncio.sleep(for_s)
    for box in boxes:
        write_cut(box.folder, None, [])


async def play_round(boxes: list[Site], random: Random, number: int, outcome: Outcome) -> None:
    loop = asyncio.get_running_loop()
    victims = random.sample(boxes, random.choice((1, 1, 2)))
    others = [box for box in boxes if box not in victims]
    way, kind = random.choice(WAYS), random.choice([CutKind.RESET, CutKind.HANG])
    outcome.ways[f"{way} {len(victims)}"] += 1
    for_s = random.uniform(*OUT_OF_STEP_S)
    streams: list[Stream] = []

    async def one(call: int, leave_after: int, pause_s: float) -> None:
        stream = Stream()
        name = f"s-{number}-{call}"
        await stream.take(random.choice(others), name, leave_after, path_of(number))
        if stream.versions != {b"v2"} or stream.complete:
            return
        streams.append(stream)
        await asyncio.sleep(pause_s)
        await stream.take(random.choice(victims), f"{name}-again", None, path_of(number))

    end = loop.time() + for_s + BACK_S
    disturbed = asyncio.create_task(out_of_step(boxes, victims, way, kind, for_s))
    await asyncio.sleep(min(random.uniform(*JOIN_AFTER_S), for_s))
    joined = [await start_engine(boxes[0], number, f"n-{number}-{item}", "v2") for item in range(ENGINES)]
    crash_at = loop.time() + random.uniform(0.6, 1.5) if random.random() < CRASH_SHARE else end
    calls = []
    while loop.time() < end:
        arguments = len(calls), random.randrange(1, EVENTS // 2), random.choice((0.0, 0.0, 0.1, 0.5))
        calls.append(asyncio.create_task(one(*arguments)))
        await asyncio.sleep(STREAM_PAUSE_S)
        if loop.time() >= crash_at and not joined[0].crashed:
            for engine in joined:
                engine.crash()
                boxes[0].table.remove("servers", engine.id)
    await disturbed
    await asyncio.gather(*calls)
    check(
        streams,
        f"round {number}, {way} of {[box.name for box in victims]} {kind.value} {for_s:.1f} s",
        outcome,
    )


def check(streams: list[Stream], name: str, outcome: Outcome) -> None:
    outcome.begun_at_new += len(streams)
    for stream in streams:
        if len(stream.versions) > 1:
            outcome.broken.setdefault("events of two versions", f"{name}: {' '.join(stream.ids)}")
            outcome.taken_up["joined"] += 1
        elif stream.is_whole():
            outcome.taken_up["whole"] += 1
        else:
            refused = b"stream_unresumable" in stream.bodies[-1]
            outcome.taken_up["refused" if refused else f"other {stream.statuses[-1]}"] += 1


async def soak(seed: int, seconds: float) -> Outcome:
    random, outcome = Random(seed), Outcome()
    async with several_boxes(BOXES, engines=1, software=("v1",), module="tests.cut_box") as boxes:
        put_services(boxes[0])
        for number in range(SERVICES):
            for item in range(ENGINES):
                await start_engine(boxes[0], number, f"o-{number}-{item}", "v1")
        await eventually(lambda: len(box_rows(boxes[0])) == BOXES)
        await asyncio.sleep(HEARTBEAT_INTERVAL_S * 1.2)
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        for number in range(SERVICES):
            if loop.time() < end:
                await play_round(boxes, random, number, outcome)
                # A box that was cut is to be back in step before the next round.
                await asyncio.sleep(1.0)
    return outcome


if __name__ == "__main__":
    run_soak(soak)
