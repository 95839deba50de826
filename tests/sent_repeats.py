"""Tells of repeats that arrived at endpoint processes which process of a box had sent them, and when.

An endpoint that is stopped reads later what was sent to it meanwhile. The time that a request is handed tells
when it was sent, as far as its caller's time is known.
"""

from bisect import bisect
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from stairquay.core.silence import QUIET_AFTER_S, SILENT_AFTER_S
from tests.standins.endpoint_process import EndpointProcess

FIRST_PROCESS = 0


@dataclass(frozen=True)
class Asked:
    """A caller's request: the box that it went to and when, in monotonic seconds."""

    box: str
    at: float


@dataclass(frozen=True)
class SentArrival:
    """An arrival, and who sent it when. process: the number of the box's processes that had ended before."""

    at: float
    sent_at: float
    id: str
    endpoint: str
    box: str
    process: int


def sent_arrivals(
    endpoints: Sequence[EndpointProcess],
    asked_by_id: Mapping[str, Asked],
    ended_at_by_box: Mapping[str, Sequence[float]],
) -> list[SentArrival]:
    """Return the arrivals in their order, where no box passes requests on to another.

    A box hands on somewhat less than its caller's time, by the same for all.
    """
    found = []
    most_left_ms = max((arrival.left_ms or 0 for item in endpoints for arrival in item.arrivals), default=0)
    for item in endpoints:
        for arrival in item.arrivals:
            asked = asked_by_id[arrival.id]
            sent_at = asked.at + (most_left_ms - (arrival.left_ms or 0)) / 1000
            process = bisect(ended_at_by_box[asked.box], sent_at)
            found.append(SentArrival(arrival.at, sent_at, arrival.id, item.endpoint.id, asked.box, process))
    return sorted(found, key=lambda arrival: (arrival.at, arrival.sent_at))


def count_repeats(
    arrivals: Sequence[SentArrival],
    ended_at_by_box: Mapping[str, Sequence[float]],
    start: float,
    width_s: float,
) -> Counter[str]:
    """Count the repeats of a window by their sender and by what it knew of the endpoint.

    Where they were read more than half a second after they were sent: at an endpoint to which their process
    had sent nothing yet that was read in this time, within the first 0.05 s of such a silence, or later.
    """
    counts: Counter[str] = Counter()
    seen: set[str] = set()
    for arrival in arrivals:
        is_repeat = arrival.id in seen
        seen.add(arrival.id)
        if not is_repeat or not start <= arrival.at < start + width_s:
            continue
        counts["all"] += 1
        counts["sent by a later process of its box"] += arrival.process > FIRST_PROCESS
        counts["sent by a process that had ended"] += (
            bisect(ended_at_by_box[arrival.box], arrival.at) > arrival.process
        )
        if arrival.at - arrival.sent_at > SILENT_AFTER_S:
            counts["read late"] += 1
            counts[_knowledge(arrival, arrivals)] += 1
    return counts


def _knowledge(repeat: SentArrival, arrivals: Iterable[SentArrival]) -> str:
    """Tell what the process of a repeat that was read late knew of the endpoint's silence."""
    unread_since = min(
        (
            other.sent_at
            for other in arrivals
            if (other.box, other.process, other.endpoint) == (repeat.box, repeat.process, repeat.endpoint)
            and other.at - other.sent_at > SILENT_AFTER_S
            and other.sent_at <= repeat.sent_at <= other.at
        ),
        default=repeat.sent_at,
    )
    if unread_since == repeat.sent_at:
        return "read late, first at the endpoint"
    if repeat.sent_at - unread_since <= QUIET_AFTER_S:
        return "read late, in the first 0.05 s"
    return "read late, after 0.05 s"
