"""Measures processor time, memory and traffic of the product's processes: `make bench-cost`.

Proxies between the processes count bytes. Slopes are least-squares fits over several sizes.
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
from bench.trace import HSITA, TextGenerator
from stairquay.core.identity import identify_prompt, workspace_key
from stairquay.core.models import EngineCosts
from stairquay.core.residency import EngineCaches, Segment, StoredBlockIndex
from stairquay.core.retention import TurnCounter
from stairquay.core.routing import Candidate, Demand, choose
from tests.launcher import Cluster, hash_key
from tests.session import chat_body, expected_text, send_chat

RESULT = Path(__file__).resolve().parent / "results" / "cost.json"
IDLE_S = 5.0
API_KEY = "key-space-0"


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
    """Measure the processor time of entry and router by request and by relayed token."""
    cluster = start(HSITA, Variant("cost", boxes=1), sys.executable)
    try:
        url = f"http://127.0.0.1:{cluster.boxes['box-1'].entry}"
        text_generator = TextGenerator()

        async def send(count: int, prompt_tokens: int, answer_tokens: int, streams: int) -> None:
            semaphore = asyncio.Semaphore(streams)

            async def send_one(number: int) -> None:
                text = text_generator.text(f"{prompt_tokens} {number % 10}", prompt_tokens)
                body = {**chat_body(text, True, answer_tokens), "model": HSITA.service}
                async with semaphore:
                    outcome = await send_chat(url, API_KEY, body)
                assert outcome.status == 200 and outcome.text == expected_text(body, "v1"), outcome

            await asyncio.gather(*(send_one(number) for number in range(count)))

        def cpu_ms_per_request(
            count: int, prompt_tokens: int, answer_tokens: int, streams: int = 4
        ) -> dict[str, float]:
            before = {role: cpu_s(cluster, f"box-1-{role}") for role in ("entry", "router")}
            asyncio.run(send(count, prompt_tokens, answer_tokens, streams))
            return {role: (cpu_s(cluster, f"box-1-{role}") - at) / count * 1e3 for role, at in before.items()}

        cpu_ms_per_request(20, 1_000, 2)
        by_prompt = {tokens: cpu_ms_per_request(150, tokens, 2) for tokens in (500, 4_000, 16_000)}
        by_answer = {tokens: cpu_ms_per_request(60, 500, tokens, 8) for tokens in (2, 200, 800)}
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


def bytes_per_item(factory: Callable[[int], Any], sizes: tuple[int, ...]) -> dict[str, Any]:
    """Return the bytes per item, from the growth of a new process's resident memory."""
    points = []
    for size in sizes:
        points.append((size, growth_in_child(factory.__name__, size)))
    return {
        "sizes": {str(size): round(growth / 1e6, 2) for size, growth in points},
        "bytes": round(slope(points)[0]),
    }


def growth_in_child(name: str, size: int) -> float:
    command = [sys.executable, "-m", "bench.cost", "child", name, str(size)]
    return float(subprocess.run(command, capture_output=True, text=True, check=True).stdout)


def resident_bytes() -> float:
    gc.collect()
    return psutil.Process().memory_info().rss


def turn_counter(size: int) -> Any:
    counter = TurnCounter(limit=size)
    for number in range(size):
        counter.on_turn(number.to_bytes(16, "big"), 1)
    return counter


def engine_caches(size: int) -> Any:
    caches = EngineCaches()
    cache = caches.of("engine")
    cache.capacity_tokens = size * 256
    cache.touch(f"{number:032x}" for number in range(size))
    return caches


def stored_block_index(size: int) -> Any:
    index = StoredBlockIndex()
    for start_at in range(0, size, 30):
        ids = tuple(f"{number:032x}" for number in range(start_at, start_at + 30))
        checksums = tuple(f"{number:032x}" for number in range(start_at, start_at + 30))
        index.add("store", Segment(f"{start_at:032x}", ids, checksums, 35_840_000, "v1"))
    return index


FACTORIES = {item.__name__: item for item in (turn_counter, engine_caches, stored_block_index)}


def decisions() -> dict[str, Any]:
    """Measure the processor time of hashing a prompt and of choosing among several endpoints."""
    rng = Random(3)
    measured: dict[str, Any] = {}
    for count in (5, 50, 500):
        candidates = [
            Candidate(f"e{number}", "v", rng.uniform(0, 9_000), 0, 0 if number % 7 else 20)
            for number in range(count)
        ]
        began = time.process_time()
        for _ in range(200):
            choose(Demand(8_000, 0.8), candidates, EngineCosts(), rng)
        measured[f"choose_ms_{count}_endpoints"] = round((time.process_time() - began) / 200 * 1e3, 4)
    key = workspace_key("secret", "w", "s")
    points = []
    for tokens in (1_000, 8_000, 64_000):
        text = b"x" * tokens * 4
        began = time.process_time()
        for _ in range(100):
            identify_prompt(key, text[:1000], text)
        points.append((tokens, (time.process_time() - began) / 100 * 1e6))
    measured["hash_us_1000_tokens"] = round(slope(points)[0] * 1000, 2)
    return measured


def control_bytes() -> dict[str, Any]:
    """Measure the traffic, processor time and memory of an idle box by engines and workspaces."""
    measured: dict[str, Any] = {"engines": {}, "workspaces": {}, "idle_cpu_percent": {}}
    for engines, workspaces in ((2, 10), (4, 10), (8, 10), (4, 200), (4, 800)):
        figures = measure_idle_box(engines, workspaces)
        if workspaces == 10:
            measured["engines"][str(engines)] = figures
        if engines == 4:
            measured["workspaces"][str(workspaces)] = figures
    for quantity in ("engine_bytes_s", "router_cpu_percent"):
        points = [(int(key), item[quantity]) for key, item in measured["engines"].items()]
        measured[f"{quantity}_an_engine"] = round(slope(points)[0], 3)
    for quantity in ("entry_rss_mb", "router_rss_mb", "control_rss_mb"):
        points = [(int(key), item[quantity]) for key, item in measured["workspaces"].items()]
        measured[f"{quantity}_a_workspace"] = round(slope(points)[0], 5)
    return measured


def measure_idle_box(engines: int, workspaces: int) -> dict[str, float]:
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
        bytes_before = proxied_bytes(cluster, names)
        cpu_before = [cpu_s(cluster, f"box-1-{role}") for role in roles]
        time.sleep(IDLE_S)
        moved = [
            after - before for before, after in zip(bytes_before, proxied_bytes(cluster, names), strict=True)
        ]
        cpu = [cpu_s(cluster, f"box-1-{role}") - at for role, at in zip(roles, cpu_before, strict=True)]
        figures = {"platform_bytes_s": moved[0] / IDLE_S, "engine_bytes_s": sum(moved[1:]) / IDLE_S}
        figures |= {f"{role}_cpu_percent": used / IDLE_S * 100 for role, used in zip(roles, cpu, strict=True)}
        figures |= {f"{role}_rss_mb": rss_mb(cluster, f"box-1-{role}") for role in roles}
        return {key: round(value, 2) for key, value in figures.items()}
    finally:
        cluster.stop()


def proxied_bytes(cluster: Cluster, names: list[str]) -> list[int]:
    ports = [cluster.ports[f"proxycontrol:{name}"] for name in ["platform", *names]]
    cluster.ports |= {f"audit{port}": port for port in ports}
    return [cluster.audit(f"audit{port}")["passed"] for port in ports]


def idle_intents(names: list[str], workspaces: int) -> list[dict[str, Any]]:
    service = {"kind": "engine", "endpoints": [{"id": name} for name in names]}
    intents = [
        {"kind": "service", "id": "llm", "value": service},
        {"kind": "version", "id": "llm/v1"},
        {"kind": "placement", "id": "llm", "value": {"version": "v1"}},
    ]
    for number in range(workspaces):
        value = {"key_hashes": [hash_key(f"{number} {key}") for key in range(2)]}
        intents.append({"kind": "workspace", "id": f"workspace-{number}", "value": value})
    return intents


def claims() -> dict[str, Any]:
    """Measure claims per second by batch size, on a table limited to 100 writes per second."""
    from stairquay.adapters.platform import HttpPlatform
    from stairquay.entry.once import Claims

    cluster = Cluster(python=sys.executable)
    try:
        url = cluster.start_platform(writes_s=100.0)

        async def run(batch: int, count: int) -> float:
            platform = HttpPlatform(url, 30.0)
            once_claims = Claims(platform, "box", batch, 30.0)
            began = time.monotonic()
            outcomes = await asyncio.gather(
                *(
                    once_claims.acquire(f"once/w/{batch}-{number}", f"r{batch}-{number}", "h")
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
    """Measure the seconds from a change's confirmation until all boxes apply it, by number of boxes."""
    measured = {}
    for boxes in (2, 4, 6):
        overrides = {"view.poll_s": 1.0, "view.stale_s": 4.0}
        cluster = start(HSITA, Variant("cost", overrides, boxes=boxes), sys.executable)
        try:
            took = []
            for number in range(5):
                value = {"key_hashes": [hash_key(f"new {number}")]}
                revision = cluster.apply("box-1", [{"kind": "workspace", "id": "new", "value": value}])
                took.append(cluster.until_in_force("box-1", revision))
            measured[str(boxes)] = {
                "median_s": round(statistics.median(took), 2),
                "most_s": round(max(took), 2),
            }
        finally:
            cluster.stop()
    return measured


SECTIONS: dict[str, Callable[[], dict[str, Any]]] = {
    "requests": requests_and_tokens,
    "memory": lambda: {
        "family": bytes_per_item(turn_counter, (50_000, 100_000, 200_000)),
        "resident_block": bytes_per_item(engine_caches, (50_000, 100_000, 200_000)),
        "kept_block": bytes_per_item(stored_block_index, (30_000, 60_000, 120_000)),
    },
    "decisions": decisions,
    "control": control_bytes,
    "claims": claims,
    "propagation": propagation,
}


def main() -> None:
    if sys.argv[1:2] == ["child"]:
        before = resident_bytes()
        instance = FACTORIES[sys.argv[2]](int(sys.argv[3]))
        print(resident_bytes() - before)
        del instance
        return
    sections = sys.argv[1:] or list(SECTIONS)
    results = json.loads(RESULT.read_text()) if RESULT.exists() else {}
    for name in sections:
        results[name] = SECTIONS[name]()
        print(name, json.dumps(results[name], indent=1), flush=True)
    RESULT.write_text(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
