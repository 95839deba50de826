"""Explains one request from the logs of several boxes.

The explanation lists the request's log lines, with the inputs of each decision and their ages, and the state
changes of its boxes from shortly before to shortly after. Times are relative to the request's first line. For
each attempt of a prompt it compares the predicted with the actual time to the first token.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO

import msgspec

LOOKBACK_S = 5.0
"""State changes are listed from this long before a request's first line. By default, requests with a key are
refused on an older view."""

CLOCK_SKEW_S = 1.0
"""State changes are listed until this long after a request's last line, since clocks of boxes differ."""

STATE_KINDS = frozenset(
    (
        "start",
        "stop",
        "reload",
        "configuration",
        "version_named",
        "endpoints",
        "limit",
        "leaving",
        "rest",
        "dependency",
        "router",
        "lease",
        "order",
        "store_view",
        "part_failed",
        "engine_speed",
        "reach",
    )
)
"""Kinds of lines that record a change of a box's state, which may explain later decisions."""

QUARANTINED = "quarantined"
ATTEMPT_END_KINDS = ("ended", "attempt_failed")
DROPPED_KIND = "left_out"
HEADER_FIELDS = ("at", "box", "kind", "request")

Line = dict[str, Any]


@dataclass
class Logs:
    """Log lines of several files. `unreadable` counts lines that are not log events."""

    lines: list[Line] = field(default_factory=list)
    unreadable: int = 0

    def read(self, stream: Iterable[str]) -> None:
        """Add the lines of one log."""
        for text in stream:
            start = text.find("{")
            if start < 0:
                self.unreadable += bool(text.strip())
                continue
            try:
                line = msgspec.json.decode(text[start:])
            except msgspec.DecodeError:
                self.unreadable += 1
                continue
            if isinstance(line, dict) and isinstance(line.get("at"), int | float) and "kind" in line:
                self.lines.append(line)
            else:
                self.unreadable += 1


def read_logs(files: Sequence[Path], stdin: TextIO) -> Logs:
    """Read logs from files, or from standard input without any. Raises OSError."""
    logs = Logs()
    if not files:
        logs.read(stdin)
    for file in files:
        with file.open(errors="replace") as stream:
            logs.read(stream)
    return logs


def explain_request(logs: Logs, request: str) -> list[str]:
    """Return the lines that explain a request; empty if no log mentions it."""
    request_lines = [line for line in logs.lines if line.get("request") == request]
    if not request_lines:
        return []
    first = min(line["at"] for line in request_lines)
    last = max(line["at"] for line in request_lines)
    boxes = {line["box"] for line in request_lines}
    state_lines = [line for line in logs.lines if _is_state_change(line, boxes, first, last)]
    why_quarantined = _quarantine_lines(logs, request_lines)
    ordered = sorted([*request_lines, *state_lines, *why_quarantined], key=lambda line: line["at"])
    lines = [f"request {request}, first seen at {first:.3f} by {min(request_lines, key=_timestamp)['box']}"]
    lines += [_format_line(line, first) for line in ordered]
    lines += _prediction_lines(sorted(request_lines, key=_timestamp))
    lines += _missing_lines(logs, boxes, first, last)
    return lines


def _timestamp(line: Line) -> float:
    return float(line["at"])


def _is_state_change(line: Line, boxes: set[str], first: float, last: float) -> bool:
    """Return whether a line is a state change of these boxes around the time of the request."""
    return line["kind"] in STATE_KINDS and _is_in_window(line, boxes, first, last)


def _quarantine_lines(logs: Logs, request_lines: Sequence[Line]) -> list[Line]:
    """Return the lines about the digests that a request was refused for, and about the crashes under them."""
    refused = [str(line.get("detail", "")) for line in request_lines if line.get("cause") == QUARANTINED]
    digests = {
        digest for detail in refused for digest in detail.removeprefix("digest ").split(", ") if digest
    }
    lines = [line for line in logs.lines if line["kind"] == "quarantine" and line.get("digest") in digests]
    lives = {life for line in lines for life in line.get("crashed", ())}
    return lines + [line for line in logs.lines if line["kind"] == "crashed" and line.get("life") in lives]


def _is_in_window(line: Line, boxes: set[str], first: float, last: float) -> bool:
    return line.get("box") in boxes and first - LOOKBACK_S <= line["at"] <= last + CLOCK_SKEW_S


def _format_line(line: Line, first: float) -> str:
    mark = ">" if "request" in line else " "
    inputs = " ".join(f"{key}={_escape(value)}" for key, value in line.items() if key not in HEADER_FIELDS)
    return f"{mark} {line['at'] - first:+9.3f} s  {line['box']}  {line['kind']}  {inputs}"


def _prediction_lines(request_lines: Sequence[Line]) -> list[str]:
    """Return for each attempt of a prompt the predicted beside the actual time to the first token."""
    lines = []
    for index, sent in enumerate(request_lines):
        predicted_s = sent.get("first_token_s")
        if sent["kind"] != "sent" or predicted_s is None:
            continue
        actual_s = _actual_first_token_s(sent, request_lines[index + 1 :])
        actual = "unknown" if actual_s is None else f"{actual_s:.4f} s"
        lines.append(
            f"= attempt {sent.get('attempt')} at {sent.get('endpoint')}: "
            f"first token predicted {predicted_s:.4f} s, actual {actual}"
        )
    return lines


def _actual_first_token_s(sent: Line, later_lines: Iterable[Line]) -> float | None:
    """Return what the line that ended an attempt says, None if there is none or no token came."""
    for line in later_lines:
        if line["kind"] not in ATTEMPT_END_KINDS or line.get("endpoint") != sent.get("endpoint"):
            continue
        if line.get("box") == sent.get("box"):
            return line.get("first_token_took_s")
    return None


def _escape(value: Any) -> str:
    return "-" if value is None else str(value).replace(" ", "_")


def _missing_lines(logs: Logs, boxes: set[str], first: float, last: float) -> list[str]:
    """Return a warning for each place where log lines may be missing."""
    missing = [
        f"! {line['at'] - first:+9.3f} s  {line['box']}  lines were left out: {_escape(line.get('lines'))}"
        for line in logs.lines
        if line["kind"] == DROPPED_KIND and _is_in_window(line, boxes, first, last)
    ]
    if logs.unreadable:
        missing.append(f"! {logs.unreadable} lines of the logs could not be read")
    return missing
