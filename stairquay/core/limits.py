"""Rate limits that endpoints report in their answers.

A limit is the requests per second that an endpoint takes from all callers together. Answers arrive late
and out of order, and boxes forward reports to each other, so an older report must not override a newer
one.
"""

import re
from math import inf, isfinite

import msgspec

UNLIMITED = inf
"""Requests per second of an endpoint that reports no limit."""

MAX_NUMBER_LENGTH = 32
"""Maximum length in characters of a number in a header."""

DECIMAL_PATTERN = re.compile(r"(\d+\.?\d*|\.\d+)(e[+-]?\d{1,3})?", re.ASCII | re.IGNORECASE)
"""A decimal number without a sign; excludes words such as `nan`."""


class LimitReport(msgspec.Struct, frozen=True):
    """The limit that an answer reported for its endpoint, in requests per second.

    sent_at, received_at: monotonic seconds when the request was sent and when the head of the answer was
    received; the report was made between them.
    """

    per_s: float
    sent_at: float
    received_at: float


def parse_decimal(text: str) -> float | None:
    """Return the decimal number in a header value, or None if it is malformed or out of range."""
    text = text.strip()
    if len(text) > MAX_NUMBER_LENGTH or DECIMAL_PATTERN.fullmatch(text) is None:
        return None
    value = float(text)
    return value if isfinite(value) else None


def merge_reports(known: LimitReport | None, incoming: LimitReport) -> LimitReport:
    """Return the report that holds after two reports about one endpoint, in whichever order they were
    received.

    A report is newer only if its request was sent after the other's answer was received. If neither is,
    the lower limit holds with its own times, so that concurrent answers do not end or prolong it; equal
    limits get the later times.
    """
    if known is None or incoming.sent_at >= known.received_at:
        return incoming
    if known.sent_at >= incoming.received_at:
        return known
    if known.per_s != incoming.per_s:
        return min(known, incoming, key=lambda report: report.per_s)
    return LimitReport(
        known.per_s, max(known.sent_at, incoming.sent_at), max(known.received_at, incoming.received_at)
    )
