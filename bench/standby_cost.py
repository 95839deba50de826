"""Measures the processor time of a box that starts, and of an idle box and an idle router.

`python -m bench.standby_cost start|box|router [--profile]`: one real process on real sockets, with stand-ins
for everything else in the process of the benchmark. `--profile` also names the largest costs; profiling makes
everything slower.
"""

import argparse
import asyncio
import os
import pstats
import signal
import statistics
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import psutil

from bench.profiled_standby import PROFILE_VARIABLE
from stairquay.serving.links import RouterClient
from stairquay.serving.messages import (
    EndpointsRequest,
    FinishedNotice,
    OperatorsRequest,
    ViewsRequest,
)
from stairquay.serving.notices import PING_INTERVAL_S
from tests.many_boxes import routed_box, router_box
from tests.site import PROGRAM_VARIABLE, READY_S, Site, eventually, site

SETTLE_S = 6.0
"""Seconds after readiness until a box is idle: heartbeats are frequent at first."""

HOLD_S = 0.4
"""Seconds for which the stand-ins of other boxes have the router hold their requests."""

PINGING_ROUTERS = 3
"""Other routers, which ping the one that is measured."""

REPLY_TIMEOUT_S = 1.0
LARGEST_COSTS = 10


def cpu_s(here: Site) -> float:
    """Return the processor time that the box has used so far."""
    assert here.box is not None
    times = psutil.Process(here.box.pid).cpu_times()
    return times.user + times.system


async def measure_starts(count: int, engines: int) -> None:
    """Print the processor time from process start to readiness, with the median of several starts."""
    costs_s = []
    async with site(engines=engines, stores=4) as here:
        for _ in range(count):
            await here.kill_box()
            await here.start_box()
            await eventually(here.is_ready, READY_S)
            costs_s.append(cpu_s(here))
    text = " ".join(f"{cost_s:.2f}" for cost_s in costs_s)
    print(f"start: {statistics.median(costs_s):.3f} s of processor time (median of {text})")


async def ask_for_views(client: RouterClient) -> None:
    """Long-poll a router for its views, as an idle box does."""
    operators, endpoints = OperatorsRequest(-1, HOLD_S), EndpointsRequest(-1, HOLD_S)
    while True:
        reply = await client.views(ViewsRequest(operators, endpoints), REPLY_TIMEOUT_S)
        if reply is None:
            await asyncio.sleep(HOLD_S)
            continue
        changes = reply.operators.changes
        crashes = reply.operators.crashes_revision, reply.operators.crashes_era
        operators = OperatorsRequest(changes.revision, HOLD_S, crashes[0], (), changes.era, crashes[1])
        endpoints = EndpointsRequest(reply.endpoints.changes.revision, HOLD_S, reply.endpoints.changes.era)


async def ping(client: RouterClient) -> None:
    """Ping a router, as other routers do."""
    while True:
        await client.finished(FinishedNotice(()), REPLY_TIMEOUT_S)
        await asyncio.sleep(PING_INTERVAL_S)


@asynccontextmanager
async def other_boxes(address: str, count: int) -> AsyncIterator[None]:
    """Run stand-ins of boxes that follow a router's views, and of routers that ping it."""
    clients = [RouterClient(address) for _ in range(count + PINGING_ROUTERS)]
    tasks = [asyncio.create_task(ask_for_views(client)) for client in clients[:count]]
    tasks += [asyncio.create_task(ping(client)) for client in clients[count:]]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for client in clients:
            await client.close()


async def measure_idle(here: Site, name: str, seconds: float, profile: Path | None) -> None:
    """Print the processor time that an idle box uses per second, or its largest costs."""
    assert here.box is not None
    await asyncio.sleep(SETTLE_S)
    calls_before = len(here.table.calls)
    if profile is not None:
        here.box.send_signal(signal.SIGUSR2)
    started_at, before_s = asyncio.get_running_loop().time(), cpu_s(here)
    await asyncio.sleep(seconds)
    used_s, took_s = cpu_s(here) - before_s, asyncio.get_running_loop().time() - started_at
    calls = (len(here.table.calls) - calls_before) / took_s
    print(f"{name}: {used_s / took_s * 1000:.1f} ms of processor time and {calls:.1f} table calls a second")
    if profile is not None:
        here.box.send_signal(signal.SIGUSR2)
        await eventually(profile.exists)
        await asyncio.sleep(1.0)
        print_largest_costs(profile)


def print_largest_costs(profile: Path) -> None:
    """Print the functions with the most time of their own, waiting for events excluded."""
    rows = [
        (own_s, calls, f"{Path(file).parent.name}/{Path(file).name}:{line} {function}".replace("/~:0 ", ""))
        for (file, line, function), (_, calls, own_s, _, _) in pstats.Stats(str(profile)).stats.items()
        if "select.epoll" not in function
    ]
    total_s = sum(own_s for own_s, _, _ in rows)
    print(f"the {LARGEST_COSTS} largest of {total_s:.3f} s profiled:")
    for own_s, calls, function in sorted(rows, reverse=True)[:LARGEST_COSTS]:
        print(f"  {own_s / total_s:6.1%} {calls:8d} calls  {function}")


async def measure(options: argparse.Namespace, profile: Path | None) -> None:
    """Run one of the measurements."""
    if options.what == "start":
        await measure_starts(options.starts, options.engines)
    elif options.what == "router":
        async with router_box(engines=options.engines, stores=4) as (here, _):
            async with other_boxes(here.peer_address, options.boxes):
                await measure_idle(here, "router", options.seconds, profile)
    else:
        async with routed_box(engines=options.engines, stores=4) as (here, router):
            router.view_age_s = 0.2
            await measure_idle(here, "box", options.seconds, profile)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=["start", "box", "router"])
    parser.add_argument("--engines", type=int, default=70)
    parser.add_argument("--boxes", type=int, default=16, help="boxes that follow the router's views")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--starts", type=int, default=7)
    parser.add_argument("--profile", action="store_true")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        profile = Path(folder) / "profile" if options.profile else None
        if profile is not None:
            os.environ[PROFILE_VARIABLE] = str(profile)
            os.environ[PROGRAM_VARIABLE] = "bench.profiled_standby"
        asyncio.run(measure(options, profile))


if __name__ == "__main__":
    sys.exit(main())
