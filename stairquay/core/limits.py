"""Rate limits that endpoints name in their answers, and which of two statements about one is the newer one.

An endpoint that is short of room names in its answers how many requests a second it takes from all callers
together, for as long as it does so. Answers come to many boxes and late, and boxes tell each other what they
heard: an older answer must not undo what a newer one said.
"""

import re
from dataclasses import dataclass
from math import inf, isfinite

UNLIMITED = inf
"""Requests a second of an endpoint that names no limit."""

MAX_NUMBER_LENGTH = 32
"""Longest text that is read as a number."""

DECIMAL_PATTERN = re.compile(r"(\d+\.?\d*|\.\d+)(e[+-]?\d{1,3})?", re.ASCII | re.IGNORECASE)
"""A decimal number without a sign; words such as `nan` are none."""


@dataclass(frozen=True)
class LimitReport:
    """What an answer said of its endpoint's limit, in requests a second from all callers together.

    sent_at, heard_at: monotonic seconds between which the answer was begun: when its request was sent, and
    when its head came.
    """

    per_s: float
    sent_at: float
    heard_at: float


def parse_decimal(text: str) -> float | None:
    """Return a decimal number that an answer gives, None where the text is none: a limit in requests a
    second, a rest in seconds."""
    text = text.strip()
    if len(text) > MAX_NUMBER_LENGTH or DECIMAL_PATTERN.fullmatch(text) is None:
        return None
    value = float(text)
    return value if isfinite(value) else None


def merge_reports(known: LimitReport | None, received: LimitReport) -> LimitReport:
    """Return what holds after two statements about one endpoint, whichever of them was heard of first.

    One is newer than another only if its request was sent after the other's answer had come. Where neither
    is, the lower limit holds: answers that cross must not end a limit. It keeps its own times: an answer that
    names none must not make a limit seem to have been heard again.
    """
    if known is None or received.sent_at >= known.heard_at:
        return received
    if known.sent_at >= received.heard_at:
        return known
    if known.per_s != received.per_s:
        return min(known, received, key=lambda report: report.per_s)
    return LimitReport(
        known.per_s, max(known.sent_at, received.sent_at), max(known.heard_at, received.heard_at)
    )
