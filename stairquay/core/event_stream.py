"""Where the events of a stream end (HTML standard, section 9.2.6). Lines may end with LF, CR or both."""

import re
from collections.abc import Iterable
from dataclasses import dataclass

LINE_END = re.compile(rb"\r\n|\n|\r")
BLANK_LINE = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}")
EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")
COMMENT = b":"


def complete_events_end(data: bytes) -> int:
    """Return the number of bytes up to the end of the last complete event, 0 if there is none."""
    if b"\r" not in data:
        return data.rfind(b"\n\n") + 2 if b"\n\n" in data else 0
    end = 0
    for found in BLANK_LINE.finditer(data):
        end = found.end()
    return end


def count_events(data: bytes) -> int:
    """Return the number of events that end in these bytes."""
    return data.count(b"\n\n") if b"\r" not in data else len(BLANK_LINE.findall(data))


def last_event_id(data: bytes) -> str | None:
    """Return the last event id in some complete events, None if they have none."""
    ids = EVENT_ID.findall(data)
    return ids[-1].decode(errors="replace") if ids else None


def ends_inside_event(rest: bytes) -> bool:
    """Return whether a stream that ends with these bytes after its last complete event was broken off.

    Blank lines and whole comments begin no event.
    """
    boundary = EventBoundary()
    boundary.add(rest)
    return boundary.is_inside()


@dataclass
class EventBoundary:
    """Tells whether a stream whose pieces pass by is inside an event, without keeping the pieces.

    begun: a field of the event has passed. unfinished: the first byte of the line that is under way, and a CR
    at the end of the last piece, which LF may follow.
    """

    begun: bool = False
    unfinished: bytes = b""

    def add(self, piece: bytes) -> None:
        """Pass on a piece."""
        text = self.unfinished + piece
        carriage_return = b"\r" if text.endswith(b"\r") else b""
        *lines, last = LINE_END.split(text.removesuffix(b"\r"))
        self.begun = _is_begun(self.begun, lines)
        self.unfinished = last[:1] + carriage_return

    def is_inside(self) -> bool:
        """Return whether a stream that ends here was broken off."""
        *lines, last = LINE_END.split(self.unfinished)
        return bool(last) or _is_begun(self.begun, lines)


def _is_begun(begun: bool, lines: Iterable[bytes]) -> bool:
    for line in lines:
        begun = bool(line) and (begun or not line.startswith(COMMENT))
    return begun
