"""Runs days of several deployments and compares their worth with a committed baseline.

    make regress FLEETBENCH=PATH SITES="SITE.toml ..." [DAYS=quiet-1,trouble-1] [SEEDS=11]

Prints the worth, broken rules and change of each day. The exit status is 1 if a rule is broken, a day
does not run to its end, or its worth falls by more than `MAX_LOSS`. `--write` updates the baseline.
"""

import argparse
import json
import re
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

BASELINE_FILE = Path(__file__).parent / "results" / "regress.json"

MAX_LOSS = 0.03
"""Tolerated loss of worth; runs of a day vary with the measured processor time."""

WORTH_LINE = re.compile(r"^worth (-?\d+\.\d+) = ", re.M)
FAULT_LINE = re.compile(r"^.*(?:BROKEN|given up|fault).*$", re.M)


@dataclass(frozen=True)
class DayResult:
    """Result of one day; `faults` are the lines on broken rules or on an incomplete run."""

    key: str
    worth: float | None
    faults: tuple[str, ...]


def parse_report(key: str, text: str) -> DayResult:
    """Parse the report of a day."""
    worth = WORTH_LINE.search(text)
    head = text if worth is None else text[: worth.start()]
    faults = tuple(line.strip() for line in FAULT_LINE.findall(head))
    return DayResult(key, float(worth[1]) if worth else None, faults)


def compare(result: DayResult, baseline: dict[str, float]) -> tuple[str, bool]:
    """Return a line that compares a day with the baseline, and whether the day passes."""
    if result.worth is None or result.faults:
        reason = "; ".join(result.faults) or "not run"
        return f"{result.key:48} {_format_worth(result.worth)}  FAILED: {reason}", False
    before = baseline.get(result.key)
    if before is None:
        return f"{result.key:48} {_format_worth(result.worth)}  new", True
    change = result.worth - before
    holds = change >= -MAX_LOSS
    return f"{result.key:48} {_format_worth(result.worth)}  {change:+.3f}{'' if holds else '  FELL'}", holds


def _format_worth(worth: float | None) -> str:
    return "  -  " if worth is None else f"{worth:.3f}"


def run_day(bench: Path, site: Path, day: str, seed: int, why: str) -> DayResult:
    """Run one day to its end."""
    command = [str(bench), "run", str(site), day, "--seed", str(seed), "--jobs", "1", "--why", why]
    text = subprocess.run(command, capture_output=True, text=True).stdout
    return parse_report(f"{site.stem} {day} {seed}", text)


def main() -> int:
    """Run the days, print the comparison and return the exit status."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("bench", type=Path, help="path of the bench's program")
    parser.add_argument("sites", type=Path, nargs="+", help="paths of site files")
    parser.add_argument("--days", default="quiet-1,trouble-1", help="days, separated by commas")
    parser.add_argument("--seeds", default="11", help="seeds, separated by commas")
    parser.add_argument("--why", default="regression run", help="a line for the journal")
    parser.add_argument("--write", action="store_true", help="write the results to the baseline")
    args = parser.parse_args()
    baseline: dict[str, float] = json.loads(BASELINE_FILE.read_text()) if BASELINE_FILE.exists() else {}
    all_hold = True
    for site in args.sites:
        for day in args.days.split(","):
            for seed in args.seeds.split(","):
                result = run_day(args.bench, site, day, int(seed), args.why)
                line, holds = compare(result, baseline)
                print(line, flush=True)
                all_hold = all_hold and holds
                if args.write and holds and result.worth is not None:
                    baseline[result.key] = result.worth
    if args.write:
        BASELINE_FILE.write_text(json.dumps(baseline, indent=1, sort_keys=True) + "\n")
    return 0 if all_hold else 1


if __name__ == "__main__":
    sys.exit(main())
