"""Parses the feedback that endpoints give in the headers of their responses."""

from collections.abc import Callable
from datetime import UTC, datetime
from typing import TypeVar

from multidict import CIMultiDictProxy

from stairquay.core.limits import UNLIMITED, parse_decimal
from stairquay.core.rest import parse_date, parse_retry_after
from stairquay.platform.names import DATE, LEAVING, LIMIT, NOT_RUN, RETRY_AFTER, TOLERANCE
from stairquay.serving.ports import Feedback, Topic

Headers = CIMultiDictProxy[str]
Value = TypeVar("Value", bool, float)

HTTP_UNAVAILABLE = 503
"""Status of a response that may ask for a backoff."""

REJECTED_STATUSES = frozenset((429, HTTP_UNAVAILABLE))
"""Statuses of an endpoint that has no room for a request."""

LEAVING_VALUE = "1"
EMPTY_VALUE = "(empty)"


def parse_feedback(headers: Headers, status: int) -> Feedback:
    """Return the feedback in the headers of a response. The lowest of several limits and tolerances applies,
    and the longest of several backoffs."""
    limit = _parse_header(headers, LIMIT, parse_decimal, min, UNLIMITED)
    bears = _parse_header(headers, TOLERANCE, parse_decimal, min, UNLIMITED)
    leaving = _parse_header(headers, LEAVING, _parse_leaving, max, False)
    backoff_s: float | None = 0.0
    if status == HTTP_UNAVAILABLE:
        answered_at = parse_date(headers.get(DATE, ""), datetime.now(UTC))
        backoff_s = _parse_header(
            headers, RETRY_AFTER, lambda text: parse_retry_after(text, answered_at), max, 0.0
        )
    names_by_topic = {
        Topic.LIMIT: LIMIT,
        Topic.LEAVING: LEAVING,
        Topic.BACKOFF: RETRY_AFTER,
        Topic.TOLERANCE: TOLERANCE,
    }
    values = {
        Topic.LIMIT: limit,
        Topic.LEAVING: leaving,
        Topic.BACKOFF: backoff_s,
        Topic.TOLERANCE: bears,
    }
    unreadable = tuple(
        (topic, headers.get(name, "") or EMPTY_VALUE)
        for topic, name in names_by_topic.items()
        if values[topic] is None
    )
    rejected = NOT_RUN in headers and status in REJECTED_STATUSES
    return Feedback(limit, leaving, backoff_s, bears, rejected, unreadable)


def _parse_header(
    headers: Headers,
    name: str,
    parse: Callable[[str], Value | None],
    combine: Callable[[list[Value]], Value],
    default: Value,
) -> Value | None:
    """Return the value of a header, the default if it is absent, or None if no part of it is valid."""
    texts = headers.getall(name, [])
    if not texts:
        return default
    readable = [value for text in texts if (value := parse(text)) is not None]
    return combine(readable) if readable else None


def _parse_leaving(text: str) -> bool | None:
    return True if text.strip() == LEAVING_VALUE else None
