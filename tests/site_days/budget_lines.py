"""Counts, at the endpoints, each line of the rule BUDGET in a play, with the requests that were sent."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import cached_property

from bench.repeats import ServiceLoad, fullest_window
from stairquay.core.budget import RetryAllowance
from tests.retries import beyond_the_first
from tests.soak_crashes import MAX_LATE, MIN_CRASHES, MIN_PART_CRASHES
from tests.standins.endpoint_process import Arrival, EndpointProcess

Spans = Sequence[tuple[float, float]]

MAX_RUNS_OVER = 3
"""Requests that may run on more endpoints than `max_attempts`."""

MAX_TIMES_OVER, MAX_SHARE_OVER, TIME_MARGIN_S = 20, 0.2, 0.5
"""Requests that may be handed more time than is left, and by how much."""

READ_S = 1.0
"""Seconds in which an endpoint that goes on reads what had waited for it."""

PART_PREFIX = "part "
REST_REACTION_S, MAX_IN_REST = 0.5, 2
"""Seconds after an endpoint asked a box for rest, and requests that may reach it from there on."""


@dataclass(frozen=True)
class SentRequest:
    """A caller's request. box: that it was sent to."""

    id: str
    service: str
    at: float
    deadline_s: float
    max_attempts: int
    box: str


@dataclass(frozen=True)
class Play:
    """What a play showed.

    sender_by_id: the box that sent a request on to an endpoint, where its log tells of one. away_by_box: when
    boxes were disturbed. table_away: when the table service was. Both end when the disturbance does.
    """

    endpoints: Sequence[EndpointProcess]
    sent: Sequence[SentRequest]
    sender_by_id: Mapping[str, str]
    away_by_box: Mapping[str, Spans]
    table_away: Spans
    allowance: RetryAllowance
    contact_s: float

    @cached_property
    def box_by_id(self) -> dict[str, str]:
        """Return the box that sent each request on, as far as logs tell, or that was asked."""
        return {request.id: request.box for request in self.sent} | dict(self.sender_by_id)

    def in_touch(self, box: str, at: float) -> bool:
        """Tell whether a box and the table service were undisturbed for the contact time."""
        spans = (*self.away_by_box.get(box, ()), *self.table_away)
        return not any(begun <= at and at - self.contact_s <= ended for begun, ended in spans)


@dataclass
class Lines:
    """The lines of the rule. broken: by line, with what was seen.

    shares: repeats in the fullest window of each service, of what is allowed. sent_late: requests that were
    sent again so late that their time has to be shorter. crashes, late, late_untouched: by cause; the last
    one counts boxes that were not in touch.
    """

    broken: dict[str, str] = field(default_factory=dict)
    shares: dict[str, float] = field(default_factory=dict)
    repeats: dict[str, int] = field(default_factory=dict)
    runs_over: int = 0
    times_over: int = 0
    sent_late: int = 0
    crashes: dict[str, int] = field(default_factory=dict)
    late: dict[str, int] = field(default_factory=dict)
    late_untouched: dict[str, int] = field(default_factory=dict)
    most_in_rest: int = 0


def count_lines(play: Play) -> Lines:
    """Return what a play counts of each line."""
    lines = Lines()
    sent_by_id = {request.id: request for request in play.sent}
    _count_repeats(play, lines)
    count_runs(play.endpoints, sent_by_id, lines)
    count_times(play.endpoints, sent_by_id, lines)
    _count_crashes(play, lines)
    _count_rests(play, lines)
    return lines


def _count_repeats(play: Play, lines: Lines) -> None:
    for service in sorted({item.endpoint.service for item in play.endpoints}):
        arrivals = [item for item in play.endpoints if item.endpoint.service == service]
        repeats = beyond_the_first((arrival.at, arrival.id) for item in arrivals for arrival in item.arrivals)
        sent_at = sorted(request.at for request in play.sent if request.service == service)
        window = fullest_window(ServiceLoad(sent_at, repeats), play.allowance)
        lines.shares[service], lines.repeats[service] = round(window.share, 2), len(repeats)
        if window.share > 1.0:
            lines.broken[f"repeats {service}"] = str(window)


def count_runs(
    endpoints: Sequence[EndpointProcess], sent_by_id: Mapping[str, SentRequest], lines: Lines
) -> None:
    """Count requests that ran on too many endpoints, besides those that were away meanwhile."""
    runs_by_id: dict[str, list[tuple[float, EndpointProcess]]] = defaultdict(list)
    for item in endpoints:
        for arrival in item.arrivals:
            if arrival.runs:
                runs_by_id[arrival.id].append((arrival.at, item))
    over = []
    for call_id, runs in runs_by_id.items():
        first, last = min(at for at, _ in runs), max(at for at, _ in runs)
        ran_at = {
            id(item)
            for _, item in runs
            if not any(begun <= last and first <= ended for begun, ended in item.away_spans)
        }
        if len(ran_at) > sent_by_id[call_id].max_attempts:
            over.append(call_id)
    lines.runs_over = len(over)
    if len(over) > MAX_RUNS_OVER:
        lines.broken["more runs than max_attempts"] = f"{len(over)}, such as {over[0]}"


def count_times(
    endpoints: Sequence[EndpointProcess], sent_by_id: Mapping[str, SentRequest], lines: Lines
) -> None:
    """Count requests that are handed more time than their callers gave them."""
    by_id: dict[str, list[Arrival]] = defaultdict(list)
    for item in endpoints:
        for arrival in item.arrivals:
            # What waited at a stopped endpoint was sent earlier than it was read.
            if not any(begun <= arrival.at <= ended + READ_S for begun, ended in item.away_spans):
                by_id[arrival.id].append(arrival)
    over = [key for key, found in by_id.items() if is_handed_too_much(found, sent_by_id[key].deadline_s)]
    sent_late = {key for key, found in by_id.items() if is_sent_late(found)}
    lines.times_over, lines.sent_late = len(over), len(sent_late)
    if len(over) > MAX_TIMES_OVER and len(over) > MAX_SHARE_OVER * len(sent_late.union(over)):
        lines.broken["handed more time than is left"] = f"{len(over)}, such as {by_id[over[0]]}"


def is_sent_late(arrivals: Sequence[Arrival]) -> bool:
    """Tell whether a request arrives again so late that it has to be handed less time."""
    times = [arrival.at for arrival in arrivals]
    return max(times) - min(times) > TIME_MARGIN_S


def is_handed_too_much(arrivals: Sequence[Arrival], deadline_s: float) -> bool:
    """Tell whether an arrival has no time, more than the caller's, or ends later than the first one."""
    first = min(arrivals, key=lambda arrival: arrival.at)
    most_ms = (deadline_s + TIME_MARGIN_S) * 1000
    if first.left_ms is None:
        return True
    ends = first.at + first.left_ms / 1000 + TIME_MARGIN_S
    for arrival in arrivals:
        if arrival.left_ms is None or arrival.left_ms > most_ms:
            return True
        if arrival.at - first.at > TIME_MARGIN_S and arrival.at + arrival.left_ms / 1000 > ends:
            return True
    return False


def _count_crashes(play: Play, lines: Lines) -> None:
    """Count how often what crashes endpoints reached one once all boxes had to know of it."""
    crashes_by_cause: dict[str, list[float]] = defaultdict(list)
    for item in play.endpoints:
        for crash in item.crashes:
            crashes_by_cause[crash.cause].append(crash.at)
    for cause, times in sorted(crashes_by_cause.items()):
        lines.crashes[cause] = len(times)
        borne = MIN_PART_CRASHES if cause.startswith(PART_PREFIX) else MIN_CRASHES
        if len(times) < borne:
            continue
        known_at = sorted(times)[borne - 1] + play.contact_s
        late = [
            arrival
            for item in play.endpoints
            for arrival in item.arrivals
            if arrival.cause == cause and arrival.at > known_at
        ]
        lines.late[cause] = sum(play.in_touch(play.box_by_id[arrival.id], arrival.at) for arrival in late)
        lines.late_untouched[cause] = len(late) - lines.late[cause]
        if lines.late[cause] > MAX_LATE:
            lines.broken[f"crashes by a {cause.partition(' ')[0]}"] = f"{lines.late[cause]} late of {cause}"


def _count_rests(play: Play, lines: Lines) -> None:
    """Count what reached an endpoint from a box in the rest that it had asked this box for."""
    for item in play.endpoints:
        for asked in [arrival for arrival in item.arrivals if arrival.rest_s]:
            box, until = play.box_by_id[asked.id], asked.at + asked.rest_s
            if any(begun <= until and asked.at <= ended for begun, ended in play.away_by_box.get(box, ())):
                continue
            within = _count_within(item.arrivals, play.box_by_id, box, asked.at + REST_REACTION_S, until)
            lines.most_in_rest = max(lines.most_in_rest, within)
            if within > MAX_IN_REST:
                lines.broken["requests in a rest"] = f"{within} from {box} at {item.endpoint.id}"


def _count_within(
    arrivals: Iterable[Arrival], box_by_id: Mapping[str, str], box: str, start: float, end: float
) -> int:
    return sum(start < arrival.at < end and box_by_id[arrival.id] == box for arrival in arrivals)
