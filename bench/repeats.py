"""Sums the repeated sends of all boxes in a play's log, and compares the fullest window with the budget.

    python -m bench.repeats LOG --ratio 0.2 --slack 182 [--window 10]

LOG: output of a play with the lines of all boxes. For each service it prints the requests, the arrivals
beyond the first of their request, and the window in which these come closest to what is allowed. The exit
status is 1 if one is above it.

An attempt counts as arrived unless its failure says that it never left the box. A busy box leaves out the
line of a first attempt, which is then known from how it ended. Requests without any line are not known, so
that a share is rather too high; a box that is killed loses its last lines, which makes it too low (0.80 where
the bench counted 1.04).
"""

import argparse
import sys
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from stairquay.core.budget import RetryAllowance
from stairquay.explain import Line, read_logs

NOT_RUN = "not run"
NOT_SENT_AGAIN = "not_sent_again"


@dataclass(frozen=True)
class Attempt:
    """An attempt to send a request to an endpoint, in seconds of the log's clock."""

    at: float
    service: str


@dataclass
class ServiceLoad:
    """Times of a service's requests and repeats."""

    requests: list[float] = field(default_factory=list)
    repeats: list[float] = field(default_factory=list)


@dataclass(frozen=True)
class Window:
    """A window of a service's repeats; `share` is that of the allowed ones."""

    start: float = 0.0
    repeats: int = 0
    requests: int = 0
    share: float = 0.0


def load_by_service(lines: Iterable[Line]) -> dict[str, ServiceLoad]:
    """Return the requests and repeats of each service."""
    attempts_by_request: dict[str, list[Attempt]] = defaultdict(list)
    service_by_endpoint: dict[str, str] = {}
    open_by_key: dict[tuple[str, str, str], Attempt] = {}
    for line in lines:
        kind, request = line["kind"], line.get("request", "")
        key = (line.get("box", ""), request, line.get("endpoint") or "")
        if kind == "sent":
            service_by_endpoint[line["endpoint"]] = line["service"]
            attempt = open_by_key[key] = Attempt(line["at"], line["service"])
            attempts_by_request[request].append(attempt)
        elif kind in ("attempt_failed", "ended") and line.get("outcome") != NOT_SENT_AGAIN and key[2]:
            begun = open_by_key.pop(key, None)
            if line.get("ran") == NOT_RUN and not line.get("status"):
                if begun is not None:
                    attempts_by_request[request].remove(begun)
            elif begun is None and key[2] in service_by_endpoint:
                at = line["at"] - line.get("took_s", 0.0)
                attempts_by_request[request].append(Attempt(at, service_by_endpoint[key[2]]))
    return _separate_repeats(attempts_by_request)


def _separate_repeats(attempts_by_request: dict[str, list[Attempt]]) -> dict[str, ServiceLoad]:
    """Take each request's first arrival for the request, and all others for repeats."""
    loads: dict[str, ServiceLoad] = defaultdict(ServiceLoad)
    for attempts in attempts_by_request.values():
        for number, attempt in enumerate(sorted(attempts, key=lambda item: item.at)):
            load = loads[attempt.service]
            (load.repeats if number else load.requests).append(attempt.at)
    for load in loads.values():
        load.requests.sort()
        load.repeats.sort()
    return loads


def fullest_window(load: ServiceLoad, allowance: RetryAllowance) -> Window:
    """Return the window whose repeats come closest to what is allowed, or exceed it most."""
    windows = [_window(load, allowance, start) for start in load.repeats]
    return max(windows, key=lambda window: window.share, default=Window())


def _window(load: ServiceLoad, allowance: RetryAllowance, start: float) -> Window:
    width = allowance.window_s
    requests = max(_count(load.requests, start - back, width) for back in (0.0, width / 2, width))
    repeats = _count(load.repeats, start, width)
    return Window(start, repeats, requests, repeats / (allowance.ratio * requests + allowance.slack))


def _count(times: list[float], start: float, for_s: float) -> int:
    return bisect_left(times, start + for_s) - bisect_left(times, start)


def main(args: list[str]) -> int:
    """Print the fullest window of each service."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("log", type=Path)
    parser.add_argument("--ratio", type=float, required=True)
    parser.add_argument("--slack", type=float, required=True)
    parser.add_argument("--window", type=float, default=10.0)
    given = parser.parse_args(args)
    allowance = RetryAllowance(given.ratio, given.slack, given.window)
    loads = load_by_service(read_logs([given.log], sys.stdin).lines)
    worst = 0.0
    for service, load in sorted(loads.items()):
        window = fullest_window(load, allowance)
        worst = max(worst, window.share)
        print(
            f"{service}: {len(load.requests)} requests, {len(load.repeats)} repeats; "
            f"fullest window from {window.start:.1f}: {window.repeats} for {window.requests} requests, "
            f"{window.share:.2f} of what is allowed"
        )
    return worst > 1.0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
