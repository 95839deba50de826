"""Backoff that endpoints ask for with Retry-After when they refuse a request."""

from dataclasses import dataclass
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime
from math import inf

from stairquay.core.limits import parse_decimal

MAX_BACKOFF_S = 3_600.0
"""Maximum backoff in seconds; longer ones are capped."""

PROBE_INTERVAL_S = 0.5
"""Seconds between requests to an endpoint after its backoff, until one of them is answered."""


@dataclass(frozen=True)
class Backoff:
    """A backoff that an endpoint asked for; times are monotonic seconds.

    probed_at: when a request was last sent after `until`, or None. sent_at: when the request was sent whose
    answer asked for it.
    """

    until: float
    probed_at: float | None = None
    sent_at: float = -inf

    def wait_s(self, now: float) -> float:
        """Return the seconds until the endpoint may get a request, or 0.

        After the backoff, requests probe the endpoint one at a time, PROBE_INTERVAL_S apart: all at
        once would be the load that it asked to be spared.
        """
        if now < self.until:
            return self.until - now
        if self.probed_at is None:
            return 0.0
        return max(0.0, self.probed_at + PROBE_INTERVAL_S - now)


def parse_retry_after(text: str, now: datetime) -> float | None:
    """Return the backoff in seconds of a Retry-After value, or None if it is malformed.

    The value is a decimal number of seconds, or an HTTP date, which is compared with `now`, the server's
    time.
    """
    seconds = parse_decimal(text)
    if seconds is None:
        until = _parse_http_date(text)
        if until is None:
            return None
        seconds = max(0.0, (until - now).total_seconds())
    return min(seconds, MAX_BACKOFF_S)


def parse_date(text: str, default: datetime) -> datetime:
    """Return the time in a Date header, or the default if it is missing or malformed."""
    return _parse_http_date(text) or default


def _parse_http_date(text: str) -> datetime | None:
    try:
        parsed = parsedate_to_datetime(text)
    except (ValueError, TypeError, IndexError, OverflowError):
        return None
    return parsed if parsed.tzinfo is not None else parsed.replace(tzinfo=UTC)
