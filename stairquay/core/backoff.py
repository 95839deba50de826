"""Rest that endpoints ask for when they turn a request away: seconds for which they want nothing from the box
that they answered."""

from dataclasses import dataclass
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime

from stairquay.core.limits import parse_decimal

MAX_BACKOFF_S = 3_600.0
"""Seconds after which an endpoint is tried again that asked for a longer rest."""

PROBE_INTERVAL_S = 0.5
"""Seconds between two requests to an endpoint whose rest is over, until one of them is answered."""


@dataclass(frozen=True)
class Backoff:
    """A rest that an endpoint asked for, in monotonic seconds.

    tried_at: when a request was last sent there since the rest was asked for, None where none was.
    """

    until: float
    probed_at: float | None = None

    def wait_s(self, now: float) -> float:
        """Return the seconds until the endpoint may get a request, 0 where it may now.

        After the rest one request goes, and the others wait for its answer: all at once would be what the
        endpoint asked for rest from.
        """
        if now < self.until:
            return self.until - now
        if self.probed_at is None:
            return 0.0
        return max(0.0, self.probed_at + PROBE_INTERVAL_S - now)


def parse_retry_after(text: str, now: datetime) -> float | None:
    """Return the seconds of rest that an answer asks for, None where the text says nothing of the kind.

    It is a decimal number of seconds, or a date as HTTP writes it: then it lasts from `now`, by the clock of
    who wrote it, until that date. A date that is over asks for nothing.
    """
    seconds = parse_decimal(text)
    if seconds is None:
        until = _parse_http_date(text)
        if until is None:
            return None
        seconds = max(0.0, (until - now).total_seconds())
    return min(seconds, MAX_BACKOFF_S)


def parse_date(text: str, default: datetime) -> datetime:
    """Return the time that an answer gives for itself, another one where it gives none."""
    return _parse_http_date(text) or default


def _parse_http_date(text: str) -> datetime | None:
    try:
        parsed = parsedate_to_datetime(text)
    except (ValueError, TypeError, IndexError, OverflowError):
        return None
    return parsed if parsed.tzinfo is not None else parsed.replace(tzinfo=UTC)
