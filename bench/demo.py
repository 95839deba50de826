"""Demonstrates prompts that return after the engines' caches have evicted them: `make demo`.

Starts the stand-ins and the programs as separate processes, sends long prompts, evicts them with
others, sends them again, and prints what the callers saw.
"""

import asyncio
import statistics
import sys
import time

from bench.deploy import link_bytes
from bench.trace import HSITA, TextGenerator
from stairquay.core.models import BoxKind
from tests.launcher import Cluster, hash_key
from tests.session import Outcome, send_chat

ENGINES = [f"advisor-{number}" for number in range(1, 4)]
CONVERSATIONS = 8
EVICTING_PROMPTS = 18
TOKENS = 8_000
ANSWER_TOKENS = 12
COSTS = {"prefill_tokens_s": 10_000, "decode_step_s": 0.01, "link_bytes_s": 4e9, "slots": 16}
CACHE_TOKENS = 40_000
EXPORT_TIMEOUT_S = 10.0


def main() -> None:
    """Run the demonstration and stop its processes."""
    started = time.monotonic()
    print("starting a platform, 3 engines, 2 store boxes, and 2 boxes of entry, router and control ...")
    cluster = Cluster(python=sys.executable)
    try:
        start_system(cluster)
        asyncio.run(measure_returning_prompts(cluster))
    finally:
        cluster.stop()
    print(f"all stopped after {time.monotonic() - started:.0f} s")


def start_system(cluster: Cluster) -> None:
    """Start and configure the system through its own intent API."""
    cluster.overrides = {"router.keep.export_delay_s": 0.1, "router.keep.export_link_share": 1.0}
    cluster.start_platform()
    for name in ENGINES:
        cluster.start_engine(name, cache_tokens=CACHE_TOKENS, prefill_tokens_s=10_000, decode_step_s=0.01)
    for name in HSITA.stores:
        cluster.start_store(name, link_bytes_s=COSTS["link_bytes_s"])
    cluster.add_boxes("box-1", "box-2")
    cluster.start_boxes("box-1", "box-2")
    cluster.until_ready("box-1", "box-2")
    cluster.until(lambda: cluster.is_ready("box-1", "control"), 20, "control")
    service = {
        "kind": BoxKind.ENGINE.value,
        "endpoints": [{"id": name, "checks_orders": True} for name in ENGINES],
        "stores": list(HSITA.stores),
        "time_weight": HSITA.time_weight,
        "costs": COSTS,
    }
    revision = cluster.apply(
        "box-1",
        [
            {"kind": "service", "id": "llm", "value": service},
            {"kind": "version", "id": "llm/v1"},
            {"kind": "placement", "id": "llm", "value": {"version": "v1"}},
            {"kind": "workspace", "id": "shop", "value": {"key_hashes": [hash_key("key-shop")]}},
        ],
    )
    cluster.until_in_force("box-1", revision, 20)


async def measure_returning_prompts(cluster: Cluster) -> None:
    """Send prompts, evict them, send them again, and print a table."""
    text_generator = TextGenerator()
    conversations = [text_generator.text(f"mine {number}", TOKENS) for number in range(CONVERSATIONS)]
    evicting = [text_generator.text(f"other {number}", TOKENS) for number in range(EVICTING_PROMPTS)]
    print(f"{CONVERSATIONS} conversations of {TOKENS} tokens; each engine's memory holds {CACHE_TOKENS}")
    before = link_bytes(cluster, HSITA)
    cold = await send_all(cluster, conversations)
    rows = [format_row("cold", cold, link_bytes(cluster, HSITA) - before)]
    await wait_for_exports(cluster)
    await send_all(cluster, evicting)
    await wait_for_exports(cluster)
    before = link_bytes(cluster, HSITA)
    returned = await send_all(cluster, conversations, follow_up=True)
    rows.append(format_row("returned", returned, link_bytes(cluster, HSITA) - before))
    print(f"{'':<10}{'first token, median':>22}{'slowest':>10}{'recomputed':>13}{'link':>10}")
    print("\n".join(rows))


async def send_all(cluster: Cluster, texts: list[str], follow_up: bool = False) -> list[Outcome]:
    """Send prompts one after the other, alternating between the boxes."""
    outcomes = []
    urls = [f"http://127.0.0.1:{ports.entry}" for ports in cluster.boxes.values()]
    for number, text in enumerate(texts):
        messages = [{"role": "user", "content": text}]
        if follow_up:
            messages += [{"role": "assistant", "content": "ok"}, {"role": "user", "content": "and then?"}]
        body = {"model": "llm", "messages": messages, "stream": True, "max_tokens": ANSWER_TOKENS}
        body["stream_options"] = {"include_usage": True}
        outcome = await send_chat(urls[number % 2], "key-shop", body)
        assert outcome.answered, outcome
        outcomes.append(outcome)
    return outcomes


async def wait_for_exports(cluster: Cluster) -> None:
    """Wait until the links of the stores carry no more traffic."""
    moved = -1
    end = time.monotonic() + EXPORT_TIMEOUT_S
    while moved != link_bytes(cluster, HSITA) and time.monotonic() < end:
        moved = link_bytes(cluster, HSITA)
        await asyncio.sleep(1.0)


def format_row(name: str, outcomes: list[Outcome], moved: int) -> str:
    """Return a line of the table."""
    times = [outcome.first_byte_s for outcome in outcomes]
    tokens = sum(outcome.prompt_tokens for outcome in outcomes)
    share = 1 - sum(outcome.cached for outcome in outcomes) / tokens
    return (
        f"{name:<10}{statistics.median(times):>20.3f} s{max(times):>8.3f} s"
        f"{share:>12.0%}{moved / 1e9:>7.1f} GB"
    )


if __name__ == "__main__":
    main()
