"""Writes a copy of the source tree with one mechanism disabled, for ablation studies.

`python -m bench.ablation` lists the mechanisms; `python -m bench.ablation NAME FOLDER` writes the copy.
A switch whose text is not in the code exactly once is an error.
"""

import shutil
import sys
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
IGNORED_FILES = shutil.ignore_patterns(
    ".venv", ".git", "journal", "target", "__pycache__", "*.egg-info", "build", "dist"
)


@dataclass(frozen=True)
class Switch:
    """Replacing `before` by `after` in `file` disables the mechanism that `what` describes."""

    what: str
    file: str
    before: str
    after: str


PLACEMENT = "stairquay/core/placement.py"
SERVING = "stairquay/serving/"

SWITCHES: dict[str, Switch] = {
    "waiting": Switch(
        "waiting for prompt parts that are in prefill",
        SERVING + "endpoint_chooser.py",
        "MAX_PREFILL_WAIT_SHARE = 0.35",
        "MAX_PREFILL_WAIT_SHARE = 0.0",
    ),
    "shedding": Switch(
        "refusing the requests of lowest priority when engines have a backlog",
        SERVING + "dispatch.py",
        "SHED_BACKLOG_SHARE = 0.1",
        "SHED_BACKLOG_SHARE = 1e9",
    ),
    "fill": Switch(
        "balancing memory before it is full",
        PLACEMENT,
        "MEMORY_FILL_PENALTY_S = 0.06",
        "MEMORY_FILL_PENALTY_S = 0.0",
    ),
    "room": Switch(
        "predicting the wait for free memory",
        PLACEMENT,
        "    excess = engine.used_tokens + tokens - engine.total_tokens * USABLE_MEMORY_SHARE",
        "    excess = 0.0",
    ),
    "runs": Switch("counting running requests", PLACEMENT, "STEP_DELAY_S = 0.0005", "STEP_DELAY_S = 0.0"),
    "failing": Switch(
        "avoiding engines that fail requests", PLACEMENT, "FAILURE_PENALTY_S = 0.5", "FAILURE_PENALTY_S = 0.0"
    ),
    "familiar": Switch(
        "preferring engines that the box often uses",
        PLACEMENT,
        "NEW_CONNECTION_PENALTY_S = 0.008",
        "NEW_CONNECTION_PENALTY_S = 0.0",
    ),
    "hall": Switch(
        "preferring the router's own data hall",
        PLACEMENT,
        "OTHER_HALL_PENALTY_S = 0.002",
        "OTHER_HALL_PENALTY_S = 0.0",
    ),
    "old_version": Switch(
        "avoiding engines with an old version",
        PLACEMENT,
        "OLD_VERSION_PENALTY_S = 0.12",
        "OLD_VERSION_PENALTY_S = 0.0",
    ),
    "queue": Switch(
        "counting the tokens that wait for prefill",
        PLACEMENT,
        "return engine.waiting_tokens / PREFILL_TOKENS_PER_S",
        "return 0.0",
    ),
    "saves": Switch(
        "saving shared parts to store boxes",
        SERVING + "saving.py",
        "    stores = fresh_stores(state, catalog)",
        "    stores = fresh_stores(state, catalog)[:0]",
    ),
    "engine_fetch": Switch(
        "fetching parts from other engines",
        SERVING + "engine_views.py",
        "    for endpoint in state.fleet.live():",
        "    for endpoint in state.fleet.live()[:0]:",
    ),
    "store_fetch": Switch(
        "fetching parts from store boxes",
        SERVING + "engine_views.py",
        "    for store in fresh_stores(state, catalog):",
        "    for store in fresh_stores(state, catalog)[:0]:",
    ),
    "spare_fetch": Switch(
        "naming a source for parts in the engine's own cache",
        PLACEMENT,
        'source.address if source is not None and source.tokens >= part.tokens else ""',
        '""',
    ),
    "second_router": Switch(
        "asking a second router when the first has a backlog",
        SERVING + "endpoint_chooser.py",
        "ROUTERS_ASKED = 2",
        "ROUTERS_ASKED = 1",
    ),
    "one_by_one": Switch(
        "loading new weights on a few engines at a time",
        "stairquay/core/rollout.py",
        "CONCURRENT_LOADS_SHARE = 0.3",
        "CONCURRENT_LOADS_SHARE = 1.0",
    ),
    "full_pause": Switch(
        "leaving an endpoint alone that turned a request away",
        SERVING + "state.py",
        "BUSY_BACKOFF_S = 0.25",
        "BUSY_BACKOFF_S = 0.0",
    ),
    "silent": Switch(
        "choosing engines last whose reports stopped",
        SERVING + "state.py",
        "MAX_MISSED_REPORTS = 2.5",
        "MAX_MISSED_REPORTS = 1e9",
    ),
}


def main(arguments: list[str]) -> int:
    """List the switches, or write the requested copy."""
    if not arguments:
        for name, switch in SWITCHES.items():
            print(f"{name:14} {switch.what}")
        return 0
    if len(arguments) != 2 or arguments[0] not in SWITCHES:
        print("usage: python -m bench.ablation [NAME FOLDER]", file=sys.stderr)
        return 2
    return _write_copy(SWITCHES[arguments[0]], Path(arguments[1]))


def _write_copy(switch: Switch, folder: Path) -> int:
    source = (ROOT / switch.file).read_text()
    if source.count(switch.before) != 1:
        print(f"{switch.file} does not contain this exactly once: {switch.before}", file=sys.stderr)
        return 1
    shutil.copytree(ROOT, folder, ignore=IGNORED_FILES)
    (folder / switch.file).write_text(source.replace(switch.before, switch.after))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
