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

MAX_DIGITS = 32
"""Longest text that is read as a number."""

DECIMAL = re.compile(r"(\d+\.?\d*|\.\d+)(e[+-]?\d{1,3})?", re.ASCII | re.IGNORECASE)
"""A decimal number without a sign; words such as `nan` are none."""


@dataclass(frozen=True)
class LimitNews:
    """What an answer said of its endpoint's limit, in requests a second from all callers together.

    sent_at, heard_at: monotonic seconds between which the answer was begun: when its request was sent, and
    when its head came.
    """

    per_s: float
    sent_at: float
    heard_at: float


def read_decimal(text: str) -> float | None:
    """Return a decimal number that an answer gives, None where the text is none: a limit in requests a
    second, a rest in seconds."""
    text = text.strip()
    if len(text) > MAX_DIGITS or DECIMAL.fullmatch(text) is None:
        return None
    value = float(text)
    return value if isfinite(value) else None


def newer(known: LimitNews | None, told: LimitNews) -> LimitNews:
    """Return what holds after two statements about one endpoint, whichever of them was heard of first.

    One is newer than another only if its request was sent after the other's answer had come. Where neither
    is, the lower limit holds: answers that cross must not end a limit. It keeps its own times: an answer that
    names none must not make a limit seem to have been heard again.
    """
    if known is None or told.sent_at >= known.heard_at:
        return told
    if known.sent_at >= told.heard_at:
        return known
    if known.per_s != told.per_s:
        return min(known, told, key=lambda news: news.per_s)
    return LimitNews(known.per_s, max(known.sent_at, told.sent_at), max(known.heard_at, told.heard_at))
