"""Compares variants of the system on seeded traces: `make bench BENCH="routing hsita"`.

Prints medians with their spread over the seeds, and writes all figures and a plot to bench/results/.
"""

import asyncio
import json
import statistics
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from absl import flags

from bench.deploy import Variant, deployment_fields, link_bytes, start
from bench.load import Replay
from bench.trace import DEPLOYMENTS, first_token_floor, flood, generate, optimal_recomputed_share
from stairquay.core.identity import BLOCK_TOKENS

RESULTS = Path(__file__).resolve().parent / "results"
WARMUP_SHARE = 0.45
"""Share of the trace at its start that fills the caches and is not counted."""

FLAGS = flags.FLAGS
flags.DEFINE_float("seconds", 40.0, "scaled seconds of one trace")
flags.DEFINE_integer("repeats", 3, "seeds 1 to this many")
flags.DEFINE_integer("at_once", 2, "systems that run at the same time")
flags.DEFINE_float("rate", 1.0, "factor on the trace's rate")
flags.DEFINE_list("only", [], "variants to run, all by default")


def routing_baseline(name: str, **options: Any) -> Variant:
    """Return a routing baseline; it saves nothing to store boxes, since it fetches nothing from them."""
    return Variant(name, {"router.policy": name, "router.keep.policy": "nothing"}, **options)


ROUTING = [
    Variant("stairquay"),
    routing_baseline("round-robin"),
    routing_baseline("least-loaded"),
    routing_baseline("prefix-affinity"),
]


def with_faults(**faults: Any) -> list[Variant]:
    return [Variant("stairquay", **faults), routing_baseline("prefix-affinity", **faults)]


SLOW_ENGINE_SPEED = 0.25
"""Engine speed in the overload comparisons, where the engines must be the bottleneck."""

CAPACITY_RATE = 0.75
"""Factor on the trace's rate that the slow engines can just sustain; see docs/MEASUREMENTS.md."""

LOW_RATE = 0.35

SMALL_STORES = Variant("", rate=1.7, store_share=0.4)
"""Variant whose store boxes are too small for all exports."""

KEEP_ALL_LRU = {"router.keep.policy": "all", "router.keep.eviction": "least-recently-used"}

COMPARISONS: dict[str, list[Variant]] = {
    "routing": ROUTING,
    "slow-link": with_faults(link_speed=0.1),
    "dead-store": with_faults(dead_store=True),
    "lagging": with_faults(event_loss=0.3, lag_factor=5.0),
    "busy": [replace(variant, rate=1.7) for variant in ROUTING],
    "overload": [
        Variant(f"{factor:g} times capacity", rate=factor * CAPACITY_RATE, engine_speed=SLOW_ENGINE_SPEED)
        for factor in (1, 1.5, 2, 4)
    ],
    "fairness": [
        Variant("calm", rate=LOW_RATE, engine_speed=SLOW_ENGINE_SPEED),
        Variant("one large workspace floods", rate=LOW_RATE, engine_speed=SLOW_ENGINE_SPEED, flood=2.0),
    ],
    "export-share": [
        Variant(f"share {share:g}", {"router.keep.export_link_share": share}, rate=1.7)
        for share in (0.15, 0.3, 0.6, 1.0)
    ],
    "keeping": [
        replace(SMALL_STORES, name="expected-saving"),
        replace(SMALL_STORES, name="all", overrides={"router.keep.policy": "all"}),
        replace(SMALL_STORES, name="all, least recently used", overrides=KEEP_ALL_LRU),
        replace(SMALL_STORES, name="nothing", overrides={"router.keep.policy": "nothing"}),
    ],
}


@dataclass
class Run:
    """The figures of one variant on one seed."""

    variant: str
    seed: int
    figures: dict[str, Any] = field(default_factory=dict)


def measure(deployment_name: str, variant: Variant, seed: int, seconds: float, rate: float) -> Run:
    """Run one variant on one seed in its own system."""
    base = DEPLOYMENTS[deployment_name]
    deployment = replace(base, prefill_tokens_s=base.prefill_tokens_s * variant.engine_speed)
    turns = generate(deployment, seed, seconds, rate * variant.rate)
    if variant.flood:
        turns += flood(deployment, seed, seconds, rate * variant.flood)
        turns.sort(key=lambda turn: turn.at)
    warmup_s = seconds * WARMUP_SHARE
    floors = sorted(first_token_floor(turns, deployment, warmup_s))
    cluster = start(deployment, variant, sys.executable)
    try:
        urls = [f"http://127.0.0.1:{ports.entry}" for ports in cluster.boxes.values()]
        replay = Replay(urls, deployment.service, deployment.answer_tokens, warmup_s)
        asyncio.run(replay.run(turns))
        figures = {
            **replay.overall.summary(),
            "returned": replay.returned.summary(),
            "cold": replay.cold.summary(),
            "workspaces": {key: item.summary() for key, item in sorted(replay.by_workspace.items())},
            "link_gb": link_bytes(cluster, deployment) / 1e9,
            "small": replay.small.summary(),
            "answered_s": replay.overall.answered / (seconds - warmup_s),
            "perfect": optimal_recomputed_share(turns, warmup_s, BLOCK_TOKENS),
            "floor_p95": floors[int(len(floors) * 0.95)] * 1000,
            "turns": len(turns),
        }
        for name in cluster.processes:
            if name.startswith("engine"):
                assert not cluster.audit(name)["violations"], cluster.audit(name)["violations"][:3]
        return Run(variant.name, seed, figures)
    finally:
        cluster.stop()


def format_table(runs: list[Run]) -> list[str]:
    """Return the medians over the seeds, with the lowest and highest."""
    lines = [
        "variant                    first token ms: p50 / p95 (min-max) / p99"
        "   recomputed (min-max)   link GB  small p95  answered/s  refused"
    ]
    for name in dict.fromkeys(run.variant for run in runs):
        rows = [run.figures for run in runs if run.variant == name]
        p95 = [row["p95"] for row in rows]
        share = [row["recomputed"] for row in rows]
        refused = sum(sum(row["refused"].values()) for row in rows)
        lines.append(
            f"{name:<26} {_median(rows, 'p50'):8.0f} / {statistics.median(p95):6.0f}"
            f" ({min(p95):.0f}-{max(p95):.0f}) / {_median(rows, 'p99'):6.0f}"
            f"   {statistics.median(share):8.3f} ({min(share):.3f}-{max(share):.3f})"
            f"   {_median(rows, 'link_gb'):8.0f}  {_median([row['small'] for row in rows], 'p95'):9.0f}"
            f"  {_median(rows, 'answered_s'):10.1f}  {refused}"
        )
    perfect = statistics.median(run.figures["perfect"] for run in runs)
    floor = statistics.median(run.figures["floor_p95"] for run in runs)
    lines.append(f"perfect knowledge, caches that hold all: recomputed {perfect:.3f}")
    lines.append(f"what is new in each prompt, on an idle engine: first token p95 {floor:.0f} ms")
    return lines


def _median(rows: list[dict[str, Any]], key: str) -> float:
    return statistics.median(row[key] for row in rows)


def plot(runs: list[Run], path: Path, title: str) -> None:
    """Draw first-token time and recomputed share of each variant."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = list(dict.fromkeys(run.variant for run in runs))
    figure, axes = pyplot.subplots(1, 2, figsize=(11, 4))
    for axis, key, label in (
        (axes[0], "p95", "first token p95, ms"),
        (axes[1], "recomputed", "share recomputed"),
    ):
        for position, name in enumerate(names):
            values = [run.figures[key] for run in runs if run.variant == name]
            axis.bar(position, statistics.median(values), color="tab:blue")
            axis.plot([position] * len(values), values, "k.")
        axis.set_xticks(range(len(names)), names, rotation=20, fontsize=8)
        axis.set_ylabel(label)
    figure.suptitle(title)
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def commit_hash() -> str:
    completed = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True)
    return completed.stdout.strip() or "unknown"


def run_comparison(comparison: str, deployment: str) -> None:
    """Run one comparison, print its table, and write its files."""
    variants = [item for item in COMPARISONS[comparison] if not FLAGS.only or item.name in FLAGS.only]
    seeds = range(1, FLAGS.repeats + 1)
    with ProcessPoolExecutor(FLAGS.at_once) as pool:
        futures = [
            pool.submit(measure, deployment, variant, seed, FLAGS.seconds, FLAGS.rate)
            for seed in seeds
            for variant in variants
        ]
        runs = [item.result() for item in futures]
    title = (
        f"{comparison} at {deployment}, rate x{FLAGS.rate:g}, {FLAGS.repeats} seeds, commit {commit_hash()}"
    )
    print(title)
    print("\n".join(format_table(runs)), flush=True)
    RESULTS.mkdir(exist_ok=True)
    stem = f"{comparison}-{deployment}" + ("" if FLAGS.rate == 1.0 else f"-x{FLAGS.rate:g}")
    value = {
        "title": title,
        "deployment": deployment_fields(DEPLOYMENTS[deployment]),
        "runs": [{"variant": run.variant, "seed": run.seed, **run.figures} for run in runs],
    }
    (RESULTS / f"{stem}.json").write_text(json.dumps(value, indent=1))
    plot(runs, RESULTS / f"{stem}.png", title)


def main() -> None:
    arguments = FLAGS(sys.argv)[1:]
    if len(arguments) != 2 or arguments[0] not in COMPARISONS or arguments[1] not in DEPLOYMENTS:
        sys.exit(f"usage: make bench BENCH='COMPARISON DEPLOYMENT'; {list(COMPARISONS)}; {list(DEPLOYMENTS)}")
    run_comparison(arguments[0], arguments[1])


if __name__ == "__main__":
    main()
