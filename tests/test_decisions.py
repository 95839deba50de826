"""The structured event log, which is bounded and never blocks, and the `explain` command."""

import io
import json

from stairquay.cli import main
from stairquay.environment import Environment
from stairquay.explain import Logs, explain_request
from stairquay.serving.event_log import MAX_LINES_PER_S, MAX_QUEUED_LINES, EventLog, LogEvent
from stairquay.serving.metrics import BoxMetrics
from stairquay.status import ExitStatus


class StubReader:
    """Standard output whose reader may stall or close."""

    def __init__(self) -> None:
        self.data = b""
        self.stalled = False
        self.gone = False
        self.max_write_bytes = 10**9

    def write(self, data: bytes) -> int:
        if self.gone:
            raise BrokenPipeError
        if self.stalled:
            raise BlockingIOError
        self.data += data[: self.max_write_bytes]
        return min(len(data), self.max_write_bytes)

    def lines(self) -> list[dict]:
        return [json.loads(line) for line in self.data.splitlines()]


def test_a_line_has_its_time_box_kind_request_and_inputs():
    reader = StubReader()
    log = EventLog("box-1", reader.write)
    log.line(LogEvent.SENT, "r-1", endpoint="e", view_age_s=0.123456, fetch=["a", ""])
    log.flush()
    line = reader.lines()[0]
    assert line.pop("at") > 0
    expected = {"box": "box-1", "kind": "sent", "request": "r-1", "endpoint": "e"}
    assert line == expected | {"view_age_s": 0.1235, "fetch": ["a", ""]}


def test_a_text_that_is_no_valid_text_costs_no_other_line():
    """Lines are encoded together, and a caller chooses the id of its request."""
    reader = StubReader()
    log = EventLog("box-1", reader.write)
    log.line(LogEvent.SENT, "r-1", endpoint="e")
    log.line(LogEvent.SENT, "r-\udcff", endpoint="e", detail="d\udc80", took_s=float("inf"))
    log.line(LogEvent.ENDED, "r-2", outcome="answered")
    log.flush()
    lines = reader.lines()
    assert [line["request"] for line in lines] == ["r-1", "r-\\udcff", "r-2"]
    assert [line["kind"] for line in lines] == ["sent", "sent", "ended"]
    assert lines[1]["detail"] == "d\\udc80" and lines[1]["took_s"] == "inf"


def test_lines_keep_their_order_and_time_whether_or_not_they_are_encoded_at_once(monkeypatch):
    """`explain` orders what boxes tell by the time in the lines."""
    reader = StubReader()
    log = EventLog("box-1", reader.write)
    for number, kind in enumerate((LogEvent.SENT, LogEvent.ORDER, LogEvent.ENDED, LogEvent.LEASE)):
        monkeypatch.setattr("stairquay.serving.event_log.time", lambda number=number: 100.0 + number)
        log.line(kind, f"r-{number}")
    monkeypatch.setattr("stairquay.serving.event_log.time", lambda: 500.0)
    log.flush()
    assert [line["at"] for line in reader.lines()] == [100, 101, 102, 103]


def test_a_metrics_child_is_the_one_that_is_scraped():
    metrics = BoxMetrics()
    for _ in range(3):
        metrics.child(metrics.ended, "r", "answered").inc()
    metrics.child(metrics.ended, "r", "cut").inc()
    metrics.child(metrics.first_byte, "w", "r").observe(0.1)
    text = metrics.text().decode()
    assert 'stairquay_ended_total{outcome="answered",route="r"} 3.0' in text
    assert 'stairquay_ended_total{outcome="cut",route="r"} 1.0' in text
    assert 'stairquay_first_byte_seconds_count{route="r",workspace="w"} 1.0' in text


def test_a_stalled_reader_delays_nothing_and_what_is_left_out_is_told(monkeypatch):
    # The limit of lines is per second, so all lines must have the same second.
    monkeypatch.setattr("stairquay.serving.event_log.monotonic", lambda: 5.0)
    reader = StubReader()
    reader.stalled = True
    log = EventLog("box-1", reader.write)
    for kind in (LogEvent.SENT, LogEvent.ENDED, LogEvent.REFUSED):
        for number in range(MAX_LINES_PER_S + 50):
            log.line(kind, f"r-{number}")
    log.flush()
    assert len(log.lines) <= MAX_QUEUED_LINES
    reader.stalled = False
    log.flush()
    log.flush()
    lines = reader.lines()
    dropped = [line for line in lines if line["kind"] == "left_out"]
    assert sum(sum(line["lines"].values()) for line in dropped) == log.dropped_total == 150
    assert sum(line["kind"] == "sent" for line in lines) == MAX_LINES_PER_S


def test_a_queue_that_is_full_keeps_its_size():
    reader = StubReader()
    reader.stalled = True
    log = EventLog("box-1", reader.write)
    for number in range(MAX_QUEUED_LINES * 2):
        log.lines_by_kind.clear()
        log.line(LogEvent.SENT, f"r-{number}")
    assert len(log.lines) == MAX_QUEUED_LINES and log.dropped_total == MAX_QUEUED_LINES


def test_lines_that_are_taken_in_pieces_stay_whole():
    reader = StubReader()
    reader.max_write_bytes = 7
    log = EventLog("box-1", reader.write)
    for number in range(20):
        log.line(LogEvent.ENDED, f"r-{number}", outcome="answered")
    log.flush()
    assert [line["request"] for line in reader.lines()] == [f"r-{number}" for number in range(20)]


def test_a_reader_that_went_away_ends_the_log_and_nothing_else():
    reader = StubReader()
    reader.gone = True
    log = EventLog("box-1", reader.write)
    log.line(LogEvent.START)
    log.flush()
    log.line(LogEvent.STOP)
    log.flush()
    assert log.closed and log.dropped_total == 1


LOG = """
{"at": 10.0, "box": "b1", "kind": "dependency", "name": "operators", "outcome": "lost", "view_age_s": 0.8}
{"at": 12.0, "box": "b2", "kind": "dependency", "name": "operators", "outcome": "lost"}
{"at": 13.0, "box": "b1", "kind": "sent", "request": "r-1", "endpoint": "e-1", "view_age_s": 3.1}
not a line of ours
{"at": 13.4, "box": "b1", "kind": "left_out", "lines": {"sent": 3}}
{"at": 13.5, "box": "b1", "kind": "refused", "request": "r-1", "cause": "not_ready", "ran": "not run"}
{"at": 13.6, "box": "b1", "kind": "sent", "request": "r-2", "endpoint": "e-2"}
"""


def test_a_story_has_the_requests_lines_and_what_its_box_believed_and_says_what_is_missing():
    logs = Logs()
    logs.read(LOG.splitlines())
    explanation = explain_request(logs, "r-1")
    assert explanation[0] == "request r-1, first seen at 13.000 by b1"
    assert "-3.000 s  b1  dependency" in explanation[1] and "view_age_s=0.8" in explanation[1]
    assert explanation[2].startswith("> ") and "e-1" in explanation[2]
    assert "cause=not_ready ran=not_run" in explanation[3]
    assert any("left out" in line for line in explanation) and "1 lines" in explanation[-1]
    assert not any("r-2" in line or "b2" in line for line in explanation)
    assert explain_request(logs, "r-9") == []


ATTEMPTS_LOG = """
{"at": 1, "box": "b", "kind": "sent", "request": "r-1", "endpoint": "e1", "attempt": 1, "first_token_s": 0.4}
{"at": 1.2, "box": "b", "kind": "attempt_failed", "request": "r-1", "endpoint": "e1"}
{"at": 2, "box": "b", "kind": "sent", "request": "r-1", "endpoint": "e2", "attempt": 2, "first_token_s": 0.3}
{"at": 3, "box": "b", "kind": "ended", "request": "r-1", "endpoint": "e2", "first_token_took_s": 0.0512}
{"at": 4, "box": "b", "kind": "sent", "request": "r-2", "endpoint": "p-1", "attempt": 1}
{"at": 5, "box": "b", "kind": "ended", "request": "r-2", "endpoint": "p-1", "first_token_took_s": 0.01}
"""


def test_a_story_compares_the_predicted_with_the_actual_first_token_of_each_attempt():
    """Guards against a slow engine that nobody can tell from a queue, and a failed attempt that takes the
    figure of the next one."""
    logs = Logs()
    logs.read(ATTEMPTS_LOG.splitlines())
    compared = [line for line in explain_request(logs, "r-1") if line.startswith("=")]
    assert compared == [
        "= attempt 1 at e1: first token predicted 0.4000 s, actual unknown",
        "= attempt 2 at e2: first token predicted 0.3000 s, actual 0.0512 s",
    ]
    assert not any(line.startswith("=") for line in explain_request(logs, "r-2"))


def run_cli(*args: str, stdin: str = "") -> tuple[int, str, str]:
    env = Environment(io.StringIO(stdin), io.StringIO(), io.StringIO(), {})
    status = main(args, env)
    return status, env.stdout.getvalue(), env.stderr.getvalue()


def test_explain_reads_files_and_standard_input(tmp_path):
    file = tmp_path / "b1.log"
    file.write_text(LOG)
    status, out, _ = run_cli("explain", "r-1", str(file))
    assert status == ExitStatus.SUCCESS and "not_ready" in out
    assert run_cli("explain", "r-1", stdin=LOG)[0] == ExitStatus.SUCCESS
    assert run_cli("explain", "r-9", str(file))[0] == ExitStatus.ERROR
    assert run_cli("explain")[0] == ExitStatus.USAGE
    status, _, error = run_cli("explain", "r-1", str(tmp_path / "none"))
    assert status == ExitStatus.ERROR and "none" in error
