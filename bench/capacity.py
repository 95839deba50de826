"""Estimates the load of each role at the target size from the results of `make bench-cost`.

Prints the tables of docs/CAPACITY.md: `.venv/bin/python -m bench.capacity`.
"""

import json
from dataclasses import dataclass
from typing import Any

from bench.cost import RESULT


@dataclass(frozen=True)
class Target:
    """Size of the target installation; the last four fields are assumptions."""

    nodes: int = 330
    runners: int = 1_800
    models: int = 17
    workspaces: int = 820
    requests_per_s: float = 19_000.0
    tokens_per_s: float = 8.3e6
    conversations: float = 1.6e6
    changes_per_day: float = 5_300.0
    prompt_tokens: int = 8_000
    block_tokens: int = 256
    resident_tokens: int = 1_000_000
    poll_s: float = 0.25


@dataclass(frozen=True)
class Row:
    """One line of a table."""

    quantity: str
    value: float
    unit: str
    derivation: str


def data_path_rows(target: Target, cost: dict[str, Any]) -> list[Row]:
    """Return the load of the data path on one node."""
    requests = target.requests_per_s / target.nodes
    tokens = target.tokens_per_s / target.nodes
    entry_ms = cost["requests"]["entry_ms_request"]["4000"]
    router_ms = cost["requests"]["router_ms_request"]["4000"]
    token_us = cost["requests"]["entry_us_relayed_token"]
    return [
        Row("requests", requests, "1/s", "19,000 over 330 nodes"),
        Row("tokens relayed", tokens, "1/s", "8.3 M over 330 nodes"),
        Row("entry, requests", requests * entry_ms / 1e3, "cores", f"{entry_ms} ms a request"),
        Row("entry, tokens", tokens * token_us / 1e6, "cores", f"{token_us} us a token"),
        Row("router, requests", requests * router_ms / 1e3, "cores", f"{router_ms} ms a request"),
    ]


def router_state_rows(target: Target, cost: dict[str, Any]) -> list[Row]:
    """Return the memory of one router, with all blocks and with those of its own conversations."""
    memory = cost["memory"]
    conversations_per_router = target.conversations / target.nodes
    blocks = target.prompt_tokens / target.block_tokens
    stored_block_mb = memory["kept_block"]["bytes"] / 1e6
    resident_block_mb = memory["resident_block"]["bytes"] / 1e6
    resident_blocks = target.runners * target.resident_tokens / target.block_tokens
    return [
        Row("families owned", conversations_per_router, "", "1.6 M over 330 nodes"),
        Row(
            "families",
            conversations_per_router * memory["family"]["bytes"] / 1e6,
            "MB",
            f"{memory['family']['bytes']} bytes each",
        ),
        Row(
            "kept blocks, all at every router (today)",
            target.conversations * blocks * stored_block_mb,
            "MB",
            "no owner filter",
        ),
        Row(
            "kept blocks, own families only",
            conversations_per_router * blocks * stored_block_mb,
            "MB",
            f"{memory['kept_block']['bytes']} bytes each",
        ),
        Row(
            "resident blocks, all at every router (today)",
            resident_blocks * resident_block_mb,
            "MB",
            "1 M tokens a runner",
        ),
        Row(
            "resident blocks, own families only",
            resident_blocks * resident_block_mb / target.nodes,
            "MB",
            f"{memory['resident_block']['bytes']} bytes each",
        ),
    ]


def control_rows(target: Target, cost: dict[str, Any]) -> list[Row]:
    """Return the control traffic and processor time of one node."""
    measured = cost["control"]
    engine_bytes = measured["engine_bytes_s_an_engine"]
    engine_cpu = measured["router_cpu_percent_an_engine"]
    four_engines = measured["engines"]["4"]
    runners_per_model = target.runners / target.models
    return [
        Row(
            "platform, idle",
            four_engines["platform_bytes_s"] / 1e3,
            "KB/s",
            "one box, two questions a second, headers included",
        ),
        Row(
            "configuration changes", target.changes_per_day / 86_400 * 500 / 1e3, "KB/s", "500 bytes a change"
        ),
        Row("platform reads, all nodes", target.nodes * 2.0, "1/s", "two a second and router; 2,000 allowed"),
        Row(
            "polling all runners (today)",
            engine_bytes * target.runners / 1e3,
            "KB/s",
            f"{engine_bytes:.0f} bytes/s a runner",
        ),
        Row(
            "polling one model's runners",
            engine_bytes * runners_per_model / 1e3,
            "KB/s",
            f"{runners_per_model:.0f} runners",
        ),
        Row(
            "polling all runners (today)",
            engine_cpu * target.runners,
            "% of a core",
            f"{engine_cpu} % a runner",
        ),
        Row("idle router, 4 engines", four_engines["router_cpu_percent"], "% of a core", "measured"),
        Row("idle entry", four_engines["entry_cpu_percent"], "% of a core", "measured"),
        Row("idle control", four_engines["control_cpu_percent"], "% of a core", "measured"),
        Row("router, resident", four_engines["router_rss_mb"], "MB", "measured"),
        Row("control, resident", four_engines["control_rss_mb"], "MB", "measured"),
        Row(
            "entry, 820 workspaces",
            measured["entry_rss_mb_a_workspace"] * target.workspaces,
            "MB",
            "slope over 10, 200, 800",
        ),
        Row(
            "router, 820 workspaces",
            measured["router_rss_mb_a_workspace"] * target.workspaces,
            "MB",
            "slope over 10, 200, 800",
        ),
    ]


def format_table(rows: list[Row]) -> str:
    lines = ["| what | at the target | unit | from |", "| --- | --- | --- | --- |"]
    for row in rows:
        lines.append(f"| {row.quantity} | {row.value:,.3g} | {row.unit} | {row.derivation} |")
    return "\n".join(lines)


def main() -> None:
    target = Target()
    cost = json.loads(RESULT.read_text())
    for name, rows in (
        ("Data path of a node", data_path_rows),
        ("State of a router", router_state_rows),
        ("Control", control_rows),
    ):
        print(f"## {name}\n\n{format_table(rows(target, cost))}\n")


if __name__ == "__main__":
    main()
