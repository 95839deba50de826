"""Measures the processor time that one box takes for a plain request and for a streamed prompt.

    python -m bench.box_cost [--seconds 8] [--rounds 3] [--no-profile] [--json PATH]

The box is a real process before stand-ins for the table service, engines, plain endpoints and a store box,
over real sockets. Requests come at fixed rates, below those at which log lines are dropped, and far enough
apart that the box handles most of them alone. What the box takes without requests is measured first, and
subtracted. Profiles are taken in rounds of their own, whose processor time isn't reported.
"""

import argparse
import asyncio
import json
import os
import signal
import statistics
import tempfile
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from pathlib import Path

import psutil

from bench.profiled_box import DUMP_SIGNAL, PROFILE_VARIABLE
from tests.site import Answer, Site, eventually, site

PLAIN_ENDPOINTS = 2
ENGINES = 4

EVENTS = 20
"""Events of an answer, between the 2 of a check and the 38 of a review."""

EVENT_INTERVAL_S = 0.004
"""About the duration of an engine's step, so that events come one by one."""

WORKSPACE_PARTS = 24
"""Number of different first parts of prompts, which requests of one workspace share."""

BODY = b"{" + b" " * 400 + b"}"

RATES_PER_S = {"plain": 100.0, "prompt": 25.0}
SETTLE_S = 2.0
IDLE_S = 4.0
WARM_UP_S = 2.0
LARGEST_COSTS = 10

Send = Callable[[Site, int], Awaitable[Answer]]


async def send_plain(here: Site, number: int) -> Answer:
    return await here.call("/plain/bookings", "POST", call_id=f"plain-{number}", body=BODY)


async def send_prompt(here: Site, number: int) -> Answer:
    parts = f"shared-{number % WORKSPACE_PARTS}:2048,own-{number}:256"
    headers = {"Prompt-Prefix": parts, "Token-Usage": f"2304,{EVENTS}"}
    return await here.prompt("/again/chat", call_id=f"prompt-{number}", headers=headers, body=BODY)


SEND_BY_KIND: dict[str, Send] = {"plain": send_plain, "prompt": send_prompt}


@dataclass(frozen=True)
class Profile:
    """Sampled functions of the box: their file, their name and their share of the samples."""

    samples: int
    running: list[tuple[str, str, float]]
    on_stack: list[tuple[str, str, float]]


def parse_profile(counts: Mapping[str, object]) -> Profile:
    """Return the shares of a profile that a box wrote."""
    samples = int(str(counts["samples"]))

    def shares(name: str) -> list[tuple[str, str, float]]:
        rows = counts[name]
        assert isinstance(rows, list)
        return [(file, function, count / max(1, samples)) for file, function, count in rows]

    return Profile(samples, shares("running"), shares("on_stack"))


def largest_costs(profile: Profile, count: int = LARGEST_COSTS) -> list[tuple[str, float]]:
    """Return the functions with the most processor time, including that of the functions that they call.

    Of functions with nearly the same time, which call each other, only the first is named. Those on most
    stacks are left out.
    """
    named: list[tuple[str, float]] = []
    for file, function, share in profile.on_stack:
        if share > 0.5 or any(abs(share - other) < 0.004 for _, other in named):
            continue
        named.append((f"{file} {function}", share))
    return named[:count]


def cpu_s(here: Site) -> float:
    assert here.box is not None
    times = psutil.Process(here.box.pid).cpu_times()
    return times.user + times.system


async def send_at_rate(here: Site, kind: str, seconds: float, first_number: int) -> int:
    """Send requests of a kind at its rate, and return their number. Every answer must be complete."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    sent: list[asyncio.Task[Answer]] = []

    async def send_one(number: int) -> Answer:
        return await SEND_BY_KIND[kind](here, number)

    while loop.time() < began + seconds:
        sent.append(asyncio.create_task(send_one(first_number + len(sent))))
        await asyncio.sleep(max(0.0, began + len(sent) / RATES_PER_S[kind] - loop.time()))
    for answer in await asyncio.gather(*sent):
        assert answer.status == 200 and answer.complete, answer
        assert kind == "plain" or len(answer.events) == EVENTS, answer
    return len(sent)


async def idle_share(here: Site) -> float:
    """Return the processor seconds per second of the box without requests."""
    await asyncio.sleep(SETTLE_S)
    before = cpu_s(here)
    await asyncio.sleep(IDLE_S)
    return (cpu_s(here) - before) / IDLE_S


async def cost_ms(here: Site, kind: str, seconds: float, first_number: int, idle: float) -> float:
    """Return the processor milliseconds of one request of a kind, without the box's idle time."""
    loop = asyncio.get_running_loop()
    began, before = loop.time(), cpu_s(here)
    count = await send_at_rate(here, kind, seconds, first_number)
    used_s = cpu_s(here) - before - idle * (loop.time() - began)
    return used_s / count * 1000


async def measure(seconds: float, rounds: int) -> dict[str, list[float]]:
    """Return the cost of each kind in each round, and the idle share as `idle`."""
    costs: dict[str, list[float]] = {"idle": [], **{kind: [] for kind in SEND_BY_KIND}}
    async with site(PLAIN_ENDPOINTS, ENGINES, 1) as here:
        prepare(here)
        idle = await idle_share(here)
        costs["idle"].append(idle)
        number = 0
        for kind in SEND_BY_KIND:
            number += await send_at_rate(here, kind, WARM_UP_S, number)
        for _ in range(rounds):
            for kind in SEND_BY_KIND:
                costs[kind].append(await cost_ms(here, kind, seconds, number, idle))
                number += round(seconds * RATES_PER_S[kind]) + 1
        assert not here.logged("left_out"), "the rates exceed what is logged"
        assert not here.logged("part_failed"), here.logged("part_failed")
    return costs


async def profile(kind: str, seconds: float) -> Profile:
    """Return a profile of a box that handles requests of one kind."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "profile.json"
        os.environ[PROFILE_VARIABLE] = str(path)
        async with site(PLAIN_ENDPOINTS, ENGINES, 1, module="bench.profiled_box") as here:
            prepare(here)
            await send_at_rate(here, kind, WARM_UP_S, 0)
            await read_profile(here, path)
            await send_at_rate(here, kind, seconds, 100_000)
            return await read_profile(here, path)


async def read_profile(here: Site, path: Path) -> Profile:
    """Return the samples since the last call."""
    path.unlink(missing_ok=True)
    assert here.box is not None
    here.box.send_signal(signal.Signals(DUMP_SIGNAL))
    await eventually(path.exists)
    return parse_profile(json.loads(path.read_text()))


def prepare(here: Site) -> None:
    for endpoint in here.endpoints:
        endpoint.event_count, endpoint.event_s = EVENTS, EVENT_INTERVAL_S


def report_costs(costs: Mapping[str, list[float]]) -> str:
    lines = [f"idle: {costs['idle'][0]:.4f} cores", "| request | median, ms | lowest | highest |"]
    for kind in SEND_BY_KIND:
        values = costs[kind]
        median = statistics.median(values)
        lines.append(f"| {kind} | {median:.2f} | {min(values):.2f} | {max(values):.2f} |")
    return "\n".join(lines)


def report_profile(kind: str, profile: Profile) -> str:
    lines = [f"{kind}: {profile.samples} samples; with the functions that they call"]
    lines += [f"  {share:6.1%}  {name}" for name, share in largest_costs(profile)]
    lines.append(f"{kind}: without the functions that they call")
    lines += [f"  {share:6.1%}  {file} {name}" for file, name, share in profile.running[:LARGEST_COSTS]]
    return "\n".join(lines)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--seconds", type=float, default=8.0, help="of each round")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--no-profile", action="store_true")
    parser.add_argument("--json", type=Path, help="where all figures are written")
    options = parser.parse_args()
    costs = asyncio.run(measure(options.seconds, options.rounds))
    print(report_costs(costs), flush=True)
    written: dict[str, object] = {"costs": costs}
    for kind in () if options.no_profile else SEND_BY_KIND:
        found = asyncio.run(profile(kind, options.seconds))
        print(report_profile(kind, found), flush=True)
        written[kind] = {"samples": found.samples, "running": found.running, "on_stack": found.on_stack}
    if options.json:
        options.json.write_text(json.dumps(written, indent=1))


if __name__ == "__main__":
    main()
