"""What answers say of their endpoint's use, in their heads."""

from collections.abc import Callable
from datetime import UTC, datetime
from typing import TypeVar

from multidict import CIMultiDictProxy

from stairquay.core.limits import UNLIMITED, parse_decimal
from stairquay.core.rest import parse_date, parse_retry_after
from stairquay.platform.names import DATE, LEAVING, LIMIT, RETRY_AFTER
from stairquay.serving.ports import Feedback, Topic

Headers = CIMultiDictProxy[str]
Value = TypeVar("Value", bool, float)

TURNED_AWAY = 503
"""Status of an answer that may ask for rest."""

SAYS_LEAVING = "1"
EMPTY = "(empty)"


def statement(headers: Headers, status: int) -> Feedback:
    """Return what an answer's head says of its endpoint. Of several limits the lowest holds, of several rests
    the longest."""
    limit = _read(headers, LIMIT, parse_decimal, min, UNLIMITED)
    leaving = _read(headers, LEAVING, _read_leaving, max, False)
    rest: float | None = 0.0
    if status == TURNED_AWAY:
        answered_at = parse_date(headers.get(DATE, ""), datetime.now(UTC))
        rest = _read(headers, RETRY_AFTER, lambda text: parse_retry_after(text, answered_at), max, 0.0)
    names_by_topic = {Topic.LIMIT: LIMIT, Topic.LEAVING: LEAVING, Topic.BACKOFF: RETRY_AFTER}
    values = {Topic.LIMIT: limit, Topic.LEAVING: leaving, Topic.BACKOFF: rest}
    unreadable = tuple(
        (topic, headers.get(name, "") or EMPTY)
        for topic, name in names_by_topic.items()
        if values[topic] is None
    )
    return Feedback(limit, leaving, rest, unreadable)


def _read(
    headers: Headers,
    name: str,
    read: Callable[[str], Value | None],
    choose: Callable[[list[Value]], Value],
    unsaid: Value,
) -> Value | None:
    """Return what a header says, None where nothing in it can be read."""
    texts = headers.getall(name, [])
    if not texts:
        return unsaid
    readable = [value for text in texts if (value := read(text)) is not None]
    return choose(readable) if readable else None


def _read_leaving(text: str) -> bool | None:
    return True if text.strip() == SAYS_LEAVING else None
