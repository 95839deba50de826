"""How repeats are counted in the log of a play."""

import json

from bench.repeats import ServiceLoad, fullest_window, load_by_service, main
from stairquay.core.budget import RetryAllowance
from stairquay.explain import Logs


def line(at: float, kind: str, request: str, **fields: object) -> str:
    record = {"at": at, "box": "b-1", "kind": kind, "request": request, "endpoint": "e-1"} | fields
    return f"  1.0 b-1 {json.dumps(record)}\n"


def sent(at: float, request: str, **fields: object) -> str:
    return line(at, "sent", request, service="svc", **fields)


LOG = [
    "built in 9.4 s\n",
    sent(1.0, "a"),
    line(1.1, "attempt_failed", "a", outcome="endpoint_failed", ran="unknown", status=0, took_s=0.1),
    sent(1.2, "a", endpoint="e-2"),
    sent(1.3, "b"),
    line(1.4, "attempt_failed", "b", outcome="endpoint_failed", ran="not run", status=0, took_s=0.1),
    sent(1.5, "b", endpoint="e-2"),
    line(1.6, "attempt_failed", "c", outcome="endpoint_refused", ran="not run", status=503, took_s=0.1),
    sent(1.7, "c", endpoint="e-2"),
    '{"at":1.8,"box":"b-1","kind":"se',
]


def service_load() -> ServiceLoad:
    logs = Logs()
    logs.read(LOG)
    return load_by_service(logs.lines)["svc"]


def test_only_what_reached_an_endpoint_before_is_a_repeat():
    """Guards against sends that never left a box counted, and first sends of a busy box left out."""
    load = service_load()
    assert load.requests == [1.0, 1.5, 1.5] and load.repeats == [1.2, 1.7]


def test_the_fullest_window_counts_the_requests_of_the_best_of_three():
    window = fullest_window(service_load(), RetryAllowance(0.5, 1.0, 10.0))
    assert (window.repeats, window.requests) == (2, 3) and window.share == 2 / 2.5


def test_a_log_above_the_budget_is_told_by_the_exit_status(tmp_path, capsys):
    path = tmp_path / "play.out"
    path.write_text("".join(LOG))
    assert main([str(path), "--ratio", "0.2", "--slack", "1"]) == 1
    assert "svc: 3 requests, 2 repeats" in capsys.readouterr().out
    assert main([str(path), "--ratio", "0.2", "--slack", "2"]) == 0
