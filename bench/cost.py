"""What the system costs, as slopes: `make bench-cost` prints each figure with the sizes measured.

Processor time and memory are those of the product's own processes; bytes are counted by proxies
between them. Slopes are least-squares fits over three sizes.
"""

import asyncio
import gc
import json
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import psutil

from bench.deploy import Variant, start
from bench.trace import HSITA, Words
from stairquay.core.identity import identify_prompt, workspace_key
from stairquay.core.models import EngineCosts
from stairquay.core.residency import EngineCaches, Segment, StoredBlockIndex
from stairquay.core.retention import TurnCounter
from stairquay.core.routing import Candidate, Demand, choose
from tests.launcher import Cluster, hash_key
from tests.session import chat_body, expected_text, send_chat

RESULT = Path(__file__).resolve().parent / "results" / "cost.json"
IDLE_S = 5.0
KEY = "key-space-0"


def slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return (slope, intercept) of a least-squares fit."""
    fit = statistics.linear_regression([x for x, _ in points], [y for _, y in points])
    return fit.slope, fit.intercept


def cpu_s(cluster: Cluster, name: str) -> float:
    times = psutil.Process(cluster.processes[name].popen.pid).cpu_times()
    return times.user + times.system


def rss_mb(cluster: Cluster, name: str) -> float:
    return psutil.Process(cluster.processes[name].popen.pid).memory_info().rss / 1e6


def requests_and_tokens() -> dict[str, Any]:
    """Processor time of entry and router for a request, by prompt size, and for a relayed token."""
    cluster = start(HSITA, Variant("cost", boxes=1), sys.executable)
    try:
        url = f"http://127.0.0.1:{cluster.boxes['box-1'].entry}"
        words = Words()

        async def send(count: int, prompt_tokens: int, answer_tokens: int, streams: int) -> None:
            gate = asyncio.Semaphore(streams)

            async def one(number: int) -> None:
                text = words.text(f"{prompt_tokens} {number % 10}", prompt_tokens)
                body = {**chat_body(text, True, answer_tokens), "model": HSITA.service}
                async with gate:
                    outcome = await send_chat(url, KEY, body)
                assert outcome.status == 200 and outcome.text == expected_text(body, "v1"), outcome

            await asyncio.gather(*(one(number) for number in range(count)))

        def used(count: int, prompt_tokens: int, answer_tokens: int, streams: int = 4) -> dict[str, float]:
            before = {role: cpu_s(cluster, f"box-1-{role}") for role in ("entry", "router")}
            asyncio.run(send(count, prompt_tokens, answer_tokens, streams))
            return {role: (cpu_s(cluster, f"box-1-{role}") - at) / count * 1e3 for role, at in before.items()}

        used(20, 1_000, 2)
        by_prompt = {tokens: used(150, tokens, 2) for tokens in (500, 4_000, 16_000)}
        by_answer = {tokens: used(60, 500, tokens, 8) for tokens in (2, 200, 800)}
        return {
            "entry_ms_request": {str(key): round(item["entry"], 3) for key, item in by_prompt.items()},
            "router_ms_request": {str(key): round(item["router"], 3) for key, item in by_prompt.items()},
            "entry_us_relayed_token": round(
                slope([(key, item["entry"]) for key, item in by_answer.items()])[0] * 1e3, 2
            ),
            "rss_mb": {
                role: round(rss_mb(cluster, f"box-1-{role}"), 1) for role in ("entry", "router", "control")
            },
        }
    finally:
        cluster.stop()


def memory_of(make: Callable[[int], Any], sizes: tuple[int, ...]) -> dict[str, Any]:
    """Return bytes an item, from the growth of a fresh process's resident memory at three sizes."""
    points = []
    for size in sizes:
        points.append((size, in_child(make.__name__, size)))
    return {
        "sizes": {str(size): round(grown / 1e6, 2) for size, grown in points},
        "bytes": round(slope(points)[0]),
    }


def in_child(name: str, size: int) -> float:
    command = [sys.executable, "-m", "bench.cost", "child", name, str(size)]
    return float(subprocess.run(command, capture_output=True, text=True, check=True).stdout)


def resident() -> float:
    gc.collect()
    return psutil.Process().memory_info().rss


def families(size: int) -> Any:
    known = TurnCounter(limit=size)
    for number in range(size):
        known.on_turn(number.to_bytes(16, "big"), 1)
    return known


def resident_blocks(size: int) -> Any:
    memories = EngineCaches()
    memory = memories.of("engine")
    memory.capacity_tokens = size * 256
    memory.touch(f"{number:032x}" for number in range(size))
    return memories


def kept_blocks(size: int) -> Any:
    index = StoredBlockIndex()
    for start_at in range(0, size, 30):
        ids = tuple(f"{number:032x}" for number in range(start_at, start_at + 30))
        sums = tuple(f"{number:032x}" for number in range(start_at, start_at + 30))
        index.add("store", Segment(f"{start_at:032x}", ids, sums, 35_840_000, "v1"))
    return index


MAKERS = {item.__name__: item for item in (families, resident_blocks, kept_blocks)}


def decisions() -> dict[str, Any]:
    """Processor time of hashing a prompt, and of one decision over so many endpoints."""
    chance = Random(3)
    found: dict[str, Any] = {}
    for count in (5, 50, 500):
        candidates = [
            Candidate(f"e{number}", "v", chance.uniform(0, 9_000), 0, 0 if number % 7 else 20)
            for number in range(count)
        ]
        began = time.process_time()
        for _ in range(200):
            choose(Demand(8_000, 0.8), candidates, EngineCosts(), chance)
        found[f"choose_ms_{count}_endpoints"] = round((time.process_time() - began) / 200 * 1e3, 4)
    key = workspace_key("secret", "w", "s")
    points = []
    for tokens in (1_000, 8_000, 64_000):
        text = b"x" * tokens * 4
        began = time.process_time()
        for _ in range(100):
            identify_prompt(key, text[:1000], text)
        points.append((tokens, (time.process_time() - began) / 100 * 1e6))
    found["hash_us_1000_tokens"] = round(slope(points)[0] * 1000, 2)
    return found


def control_bytes() -> dict[str, Any]:
    """Bytes a second that one box's router exchanges when idle, by what it talks to."""
    found: dict[str, Any] = {"engines": {}, "workspaces": {}, "idle_cpu_percent": {}}
    for engines, workspaces in ((2, 10), (4, 10), (8, 10), (4, 200), (4, 800)):
        figures = idle_system(engines, workspaces)
        if workspaces == 10:
            found["engines"][str(engines)] = figures
        if engines == 4:
            found["workspaces"][str(workspaces)] = figures
    for what in ("engine_bytes_s", "router_cpu_percent"):
        points = [(int(key), item[what]) for key, item in found["engines"].items()]
        found[f"{what}_an_engine"] = round(slope(points)[0], 3)
    for what in ("entry_rss_mb", "router_rss_mb", "control_rss_mb"):
        points = [(int(key), item[what]) for key, item in found["workspaces"].items()]
        found[f"{what}_a_workspace"] = round(slope(points)[0], 5)
    return found


def idle_system(engines: int, workspaces: int) -> dict[str, float]:
    """Run an idle box behind counting proxies, with the product's default periods."""
    cluster = Cluster(python=sys.executable)
    cluster.overrides = {
        "view.poll_s": 1.0,
        "view.stale_s": 4.0,
        "router.poll_s": 0.25,
        "control.lease_s": 10.0,
    }
    cluster.overrides |= {
        "control.order_validity_s": 5.0,
        "control.reconcile_s": 1.0,
        "control.upkeep_s": 5.0,
    }
    try:
        cluster.start_platform()
        address = cluster.start_proxy("platform", f"127.0.0.1:{cluster.ports['platform']}")
        cluster.platform_proxy_url = f"http://{address}"
        names = [f"engine-{number}" for number in range(engines)]
        for name in names:
            cluster.start_proxy(name)
            cluster.start_engine(name)
        cluster.add_boxes("box-1")
        cluster.start_boxes("box-1")
        cluster.until_ready("box-1")
        cluster.until(lambda: cluster.is_ready("box-1", "control"), 20, "control")
        cluster.apply("box-1", idle_intents(names, workspaces))
        time.sleep(3.0)
        roles = ("entry", "router", "control")
        bytes_before = passed(cluster, names)
        cpu_before = [cpu_s(cluster, f"box-1-{role}") for role in roles]
        time.sleep(IDLE_S)
        moved = [after - before for before, after in zip(bytes_before, passed(cluster, names), strict=True)]
        cpu = [cpu_s(cluster, f"box-1-{role}") - at for role, at in zip(roles, cpu_before, strict=True)]
        figures = {"platform_bytes_s": moved[0] / IDLE_S, "engine_bytes_s": sum(moved[1:]) / IDLE_S}
        figures |= {f"{role}_cpu_percent": used / IDLE_S * 100 for role, used in zip(roles, cpu, strict=True)}
        figures |= {f"{role}_rss_mb": rss_mb(cluster, f"box-1-{role}") for role in roles}
        return {key: round(value, 2) for key, value in figures.items()}
    finally:
        cluster.stop()


def passed(cluster: Cluster, names: list[str]) -> list[int]:
    ports = [cluster.ports[f"proxycontrol:{name}"] for name in ["platform", *names]]
    cluster.ports |= {f"audit{port}": port for port in ports}
    return [cluster.audit(f"audit{port}")["passed"] for port in ports]


def idle_intents(names: list[str], workspaces: int) -> list[dict[str, Any]]:
    service = {"kind": "engine", "endpoints": [{"id": name} for name in names]}
    found = [
        {"kind": "service", "id": "llm", "value": service},
        {"kind": "version", "id": "llm/v1"},
        {"kind": "placement", "id": "llm", "value": {"version": "v1"}},
    ]
    for number in range(workspaces):
        value = {"key_hashes": [hash_key(f"{number} {key}") for key in range(2)]}
        found.append({"kind": "workspace", "id": f"workspace-{number}", "value": value})
    return found


def claims() -> dict[str, Any]:
    """Claims a second through a table that takes 100 writes a second, by claims in one write."""
    from stairquay.adapters.platform import HttpPlatform
    from stairquay.entry.once import Claims

    cluster = Cluster(python=sys.executable)
    try:
        url = cluster.start_platform(writes_s=100.0)

        async def run(batch: int, count: int) -> float:
            platform = HttpPlatform(url, 30.0)
            taken = Claims(platform, "box", batch, 30.0)
            began = time.monotonic()
            outcomes = await asyncio.gather(
                *(
                    taken.acquire(f"once/w/{batch}-{number}", f"r{batch}-{number}", "h")
                    for number in range(count)
                )
            )
            took = time.monotonic() - began
            assert all(outcome.is_ok() for outcome in outcomes)
            await platform.close()
            return count / took

        return {
            f"claims_s_batch_{batch}": round(asyncio.run(run(batch, 60 * batch)), 1) for batch in (1, 4, 10)
        }
    finally:
        cluster.stop()


def propagation() -> dict[str, Any]:
    """Seconds from the confirmation of a change until it is in force everywhere, by boxes."""
    found = {}
    for boxes in (2, 4, 6):
        overrides = {"view.poll_s": 1.0, "view.stale_s": 4.0}
        cluster = start(HSITA, Variant("cost", overrides, boxes=boxes), sys.executable)
        try:
            took = []
            for number in range(5):
                value = {"key_hashes": [hash_key(f"new {number}")]}
                revision = cluster.apply("box-1", [{"kind": "workspace", "id": "new", "value": value}])
                took.append(cluster.until_in_force("box-1", revision))
            found[str(boxes)] = {"median_s": round(statistics.median(took), 2), "most_s": round(max(took), 2)}
        finally:
            cluster.stop()
    return found


SECTIONS: dict[str, Callable[[], dict[str, Any]]] = {
    "requests": requests_and_tokens,
    "memory": lambda: {
        "family": memory_of(families, (50_000, 100_000, 200_000)),
        "resident_block": memory_of(resident_blocks, (50_000, 100_000, 200_000)),
        "kept_block": memory_of(kept_blocks, (30_000, 60_000, 120_000)),
    },
    "decisions": decisions,
    "control": control_bytes,
    "claims": claims,
    "propagation": propagation,
}


def main() -> None:
    if sys.argv[1:2] == ["child"]:
        before = resident()
        held = MAKERS[sys.argv[2]](int(sys.argv[3]))
        print(resident() - before)
        del held
        return
    wanted = sys.argv[1:] or list(SECTIONS)
    results = json.loads(RESULT.read_text()) if RESULT.exists() else {}
    for name in wanted:
        results[name] = SECTIONS[name]()
        print(name, json.dumps(results[name], indent=1), flush=True)
    RESULT.write_text(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
