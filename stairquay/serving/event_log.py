"""Structured event log: one JSON object per line on standard output, rate-limited and non-blocking.

Lines that exceed the rate limit or the queue are dropped, counted, and reported in a line and a metric.
"""

import asyncio
import os
from collections import Counter as Tally
from collections import deque
from collections.abc import Callable
from enum import Enum
from time import time
from typing import Any

import msgspec

from stairquay.adapters.clock import monotonic
from stairquay.serving.change_notifier import ChangeNotifier

MAX_QUEUED_LINES = 4_000
"""Most lines that wait to be written: about four seconds at 1,000 lines a second."""

MAX_LINES_PER_S = 400
"""Most lines of one kind per second."""

FLUSH_INTERVAL_S = 0.2
"""Seconds for which lines are batched before a write, which saves system calls."""

CHUNK_BYTES = 32_768
"""Size at which a batch of lines is passed to one write."""

MAX_TEXT_CHARS = 200
"""Length to which string values are truncated."""


class LogEvent(str, Enum):
    """Kinds of log lines."""

    START = "start"
    STOP = "stop"
    RELOAD = "reload"
    CONFIGURATION = "configuration"
    VERSION_NAMED = "version_named"
    ENDPOINTS = "endpoints"
    EVACUATION = "evacuation"
    BORN_ANEW = "born_anew"
    SILENCE = "silence"
    SURPLUS_ANSWER = "surplus_answer"
    DEPENDENCY = "dependency"
    ROUTER = "router"
    LEASE = "lease"
    ORDER = "order"
    STORE_VIEW = "store_view"
    FREED = "freed"
    REFUSED = "refused"
    CONNECTIONS_CLOSED = "connections_closed"
    WAITS = "waits"
    SENT = "sent"
    ATTEMPT_FAILED = "attempt_failed"
    ENDED = "ended"
    LIMIT = "limit"
    BRITTLE = "brittle"
    LEAVING = "leaving"
    REST = "rest"
    CRASHED = "crashed"
    QUARANTINE = "quarantine"
    ENGINE_SPEED = "engine_speed"
    REACH = "reach"
    FORWARDED = "forwarded"
    PART_FAILED = "part_failed"
    LEFT_OUT = "left_out"
    LOAD = "load"


FREQUENT_KINDS = frozenset(
    (LogEvent.SENT, LogEvent.ATTEMPT_FAILED, LogEvent.ENDED, LogEvent.REFUSED, LogEvent.FORWARDED)
)
"""Kinds of which each request has some. They are encoded when they are written, many in a row, which takes
less time than one by one between other work. Their fields must not change after the call."""

QueuedFields = tuple[float, LogEvent, str, dict[str, Any]]
"""The time, kind, request and fields of a line that is not encoded yet."""

NonBlockingWrite = Callable[[bytes], int]
"""Writes some of the bytes and returns how many; raises BlockingIOError if it would block."""


def write_standard_output(data: bytes) -> int:
    """Write to standard output, which `EventLog.run` makes non-blocking."""
    return os.write(1, data)


class EventLog:
    """Queues log lines and writes them in batches."""

    def __init__(self, box: str, write: NonBlockingWrite = write_standard_output) -> None:
        self.box = box
        self.write = write
        self.lines: deque[bytes | QueuedFields] = deque()
        self.unwritten = b""
        self.current_second = 0
        self.lines_by_kind: Tally[LogEvent] = Tally()
        self.dropped_by_kind: Tally[LogEvent] = Tally()
        self.dropped_total = 0
        self.closed = False
        self.wakeup = ChangeNotifier()

    def line(self, kind: LogEvent, request: str = "", **fields: Any) -> None:
        """Queue one log line with the given fields, or drop it if its kind is over the rate limit."""
        if not self._within_rate(kind):
            self._drop(kind)
            return
        self._enqueue(kind, request, fields)

    def leave_out(self, kind: LogEvent) -> None:
        """Count a line that is not written because the box is short of CPU time."""
        self._drop(kind)

    async def run(self) -> None:
        """Write lines until cancelled."""
        os.set_blocking(1, False)
        while True:
            await self.wakeup.wait_for(self._has_pending)
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def flush(self) -> None:
        """Write as much as standard output takes without blocking."""
        self._report_dropped()
        while not self.closed and (self.unwritten or self.lines):
            if not self.unwritten:
                self.unwritten = self._next_chunk()
            try:
                written = self.write(self.unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so that the error cannot be logged either.
                self.closed = True
                return
            self.unwritten = self.unwritten[written:]

    def _has_pending(self) -> bool:
        return not self.closed and bool(self.unwritten or self.lines or self.dropped_by_kind)

    def _enqueue(self, kind: LogEvent, request: str, fields: dict[str, Any]) -> None:
        if self.closed or len(self.lines) >= MAX_QUEUED_LINES:
            self._drop(kind)
            return
        queued = (time(), kind, request, fields)
        self.lines.append(queued if kind in FREQUENT_KINDS else self._encode(*queued))
        self.wakeup.notify_all()

    def _encode(self, at: float, kind: LogEvent, request: str, fields: dict[str, Any]) -> bytes:
        record: dict[str, Any] = {"at": round(at, 3), "box": self.box, "kind": kind}
        if request:
            record["request"] = request
        for key, value in fields.items():
            record[key] = _json_value(value) if isinstance(value, (float, str)) else value
        try:
            return msgspec.json.encode(record) + b"\n"
        except UnicodeEncodeError:
            # A caller's header that is no valid text must not cost the other lines of the batch.
            return msgspec.json.encode({key: _valid_text(value) for key, value in record.items()}) + b"\n"

    def _next_chunk(self) -> bytes:
        chunk = bytearray()
        while self.lines and len(chunk) < CHUNK_BYTES:
            line = self.lines.popleft()
            chunk += line if isinstance(line, bytes) else self._encode(*line)
        return bytes(chunk)

    def _within_rate(self, kind: LogEvent) -> bool:
        second = int(monotonic())
        if second != self.current_second:
            self.current_second = second
            self.lines_by_kind.clear()
        self.lines_by_kind[kind] += 1
        return self.lines_by_kind[kind] <= MAX_LINES_PER_S

    def _drop(self, kind: LogEvent) -> None:
        self.dropped_by_kind[kind] += 1
        self.dropped_total += 1
        self.wakeup.notify_all()

    def _report_dropped(self) -> None:
        if self.closed or not self.dropped_by_kind or len(self.lines) >= MAX_QUEUED_LINES:
            return
        counts = {kind.value: count for kind, count in self.dropped_by_kind.items()}
        self.dropped_by_kind.clear()
        self._enqueue(LogEvent.LEFT_OUT, "", {"lines": counts})


def _json_value(value: Any) -> Any:
    if isinstance(value, float):
        return round(value, 4) if value == value and abs(value) != float("inf") else str(value)
    if isinstance(value, str):
        return value[:MAX_TEXT_CHARS]
    return value


def _valid_text(value: Any) -> Any:
    """Return a value that can be encoded, with bytes that are no valid text replaced."""
    if isinstance(value, LogEvent) or not isinstance(value, str):
        return value
    return value.encode(errors="backslashreplace").decode()
