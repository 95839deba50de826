"""Messages between boxes and the routers among them."""

from enum import Enum
from math import inf

import msgspec

from stairquay.core.catalog import LOWEST_PRIORITY
from stairquay.core.limits import UNLIMITED
from stairquay.core.position import Position
from stairquay.core.stream_origins import StreamOrigin
from stairquay.serving.ports import EndpointChanges, OperatorChanges


class PromptPart(msgspec.Struct, frozen=True, array_like=True):
    """One part of a prompt."""

    id: str
    tokens: int


class PeerFeedback(msgspec.Struct, frozen=True, array_like=True):
    """Feedback of an endpoint that one box forwards to another.

    born: of the incarnation that sent it, 0 for unknown. per_s: its limit, in requests per second;
    sent_ago_s, heard_ago_s: the ages of the times in core.limits.LimitReport, infinite for no limit. rest_s:
    seconds for which it wants no requests from the sender of this message. bears_per_s: rejections a second
    above which it falls over; bears_sent_ago_s, bears_heard_ago_s: as for the limit.
    """

    endpoint: str
    born: int
    per_s: float = UNLIMITED
    sent_ago_s: float = inf
    heard_ago_s: float = inf
    leaving: bool = False
    rest_s: float = 0.0
    bears_per_s: float = UNLIMITED
    bears_sent_ago_s: float = inf
    bears_heard_ago_s: float = inf


class PlaceRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks where a prompt should run.

    ticket: id of the attempt among those of all boxes. box: the sender, which will also send the prompt.
    tried: endpoints to exclude. may_wait: the sender can ask again later. priority: as at engines, 0 for the
    most urgent. workspace: the one whose share of the capacity counts. objective_left_s, deadline_left_s:
    until the first token is due and until the time limit, None from a sender that leaves admission to the
    engines. waited_s: since the request arrived at the sender.
    """

    ticket: str
    box: str
    service: str
    model: str
    parts: tuple[PromptPart, ...]
    tokens: int
    max_output: int
    # The workspace if it shares no cached context with others, else empty.
    wall: str
    tried: tuple[str, ...]
    # Longest wait for an engine that the sender accepts, None for any.
    most_backlog_s: float | None = None
    may_wait: bool = False
    # Backoffs that the sender has to observe, and feedback that the router has shown not to know.
    said: tuple[PeerFeedback, ...] = ()
    priority: int = LOWEST_PRIORITY
    workspace: str = ""
    objective_left_s: float | None = None
    deadline_left_s: float | None = None
    waited_s: float = 0.0


class PlaceReply(msgspec.Struct, frozen=True, array_like=True):
    """Where a prompt should run; `endpoint` is empty where no endpoint can take it.

    The other fields are those of serving.endpoint_choice.Choice and core.placement.Placement.
    """

    endpoint: str = ""
    version: int | None = None
    scope: str = ""
    fetch_from: tuple[str, ...] = ()
    save_to: tuple[str, ...] = ()
    fetch_until_ms: int | None = None
    reused: int = 0
    fetched: int = 0
    read: int = 0
    first_token_s: float = 0.0
    alternative_s: float | None = None
    backlog_s: float = 0.0
    # Seconds after which the sender should ask again, 0 if this reply is final.
    again_s: float = 0.0
    # The endpoint's rate limit that the router applies, None for none.
    said: PeerFeedback | None = None
    # Seconds until an endpoint accepts this prompt if all are at their limits or asked for a backoff, or if
    # the prompt is refused, else 0.
    come_back_s: float = 0.0
    # Seconds by which the router's event loop is late, 0 unless it is busy.
    late_s: float = 0.0
    # Why the prompt is refused while the engines are full, else empty.
    rejected: str = ""
    # The router decided on admission, by the times that the sender gave.
    decided: bool = False
    # The newest start of the endpoint that the router knows of, as for Endpoint.
    born: int = 0


class Outcome(str, Enum):
    """How an attempt ended."""

    DONE = "done"
    """Nothing counts against the endpoint."""

    FAILED = "failed"
    """The endpoint failed."""

    TURNED_AWAY = "turned_away"
    """The endpoint refused the request."""

    UNREACHED = "unreached"
    """The endpoint accepted no connection."""

    NOT_SENT = "not_sent"
    """The request was not sent."""


class EndedAttempt(msgspec.Struct, frozen=True, array_like=True):
    """An attempt that has ended at its endpoint.

    waited_s: of the PlaceRequest that this is the answer to. What was placed for a later one with the same
    ticket goes on. Infinite from an earlier release, which ends both.
    """

    ticket: str
    outcome: Outcome = Outcome.DONE
    waited_s: float = inf


class SpeedSample(msgspec.Struct, frozen=True, array_like=True):
    """How long an attempt that succeeded took: from sending it to the first event, and from there to the last
    of its events."""

    ticket: str
    first_token_s: float
    stream_s: float = 0.0
    events: int = 0


class BegunStream(msgspec.Struct, frozen=True, array_like=True):
    """A stream whose first event a box has passed on. id: of the request that brought it. left_s: seconds for
    which its caller may still come back."""

    id: str
    origin: StreamOrigin
    left_s: float


class OriginRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks where a stream began. services: those that may serve its caller. wants_new_list: the answer is to
    be from a list that was requested after the question."""

    id: str
    services: tuple[str, ...]
    wants_new_list: bool = False


class OriginReply(msgspec.Struct, frozen=True, array_like=True):
    """Where a stream began, None if the router does not know, and the versions that endpoints of the services
    had lately, each with its service. list_age_s: of the newest list that these are from, infinite from an
    earlier release. held_s: time since the question. knows_past: no version can have come and gone unseen by
    the router; one of an earlier release doesn't tell."""

    origin: StreamOrigin | None = None
    versions: tuple[tuple[str, str], ...] = ()
    list_age_s: float = inf
    held_s: float = 0.0
    knows_past: bool = True

    @property
    def is_new(self) -> bool:
        """Tell whether it is from a list that was requested after the question."""
        return self.list_age_s <= self.held_s


class PeerCrash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of an endpoint `ago_s` seconds ago; the other fields are those of core.crashes.Crash."""

    digest: str
    life: str
    ago_s: float
    ran_s: float
    events: int | None


class PeerCrashes(msgspec.Struct, frozen=True, array_like=True):
    """Crashes that a box or a router knows of.

    cleared: digests of requests cleared of suspicion, and how many seconds ago.
    """

    crashes: tuple[PeerCrash, ...]
    cleared: tuple[tuple[str, float], ...]


class FinishedNotice(msgspec.Struct, frozen=True, array_like=True):
    """Attempts that have ended, and tickets of those whose prefill has finished (`read`); empty for a ping.

    said: feedback of endpoints. speeds: of attempts among those that have ended. begun: streams of services
    whose endpoints differ in version. box: the sender, empty from an earlier release. crashes: that the
    sender noticed, None if the router has been told. crashes_seen: the number of the router's report that the
    sender has.
    """

    ended: tuple[EndedAttempt, ...]
    read: tuple[str, ...] = ()
    said: tuple[PeerFeedback, ...] = ()
    speeds: tuple[SpeedSample, ...] = ()
    begun: tuple[BegunStream, ...] = ()
    box: str = ""
    crashes: PeerCrashes | None = None
    crashes_seen: int = 0


class NoticeReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to a FinishedNotice. late_s: as in PlaceReply. started: differs after each start of the
    router, empty from an older release. crashes: the router's report if the sender has another one, and
    crashes_number its number since that start."""

    late_s: float = 0.0
    started: str = ""
    crashes_number: int = 0
    crashes: PeerCrashes | None = None


class OperatorsRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for operators' rows that changed after a position, waiting up to `wait_s` seconds.

    crashes_known: the last revision of crash rows that the sender knows. said: feedback of endpoints. era,
    crashes_era: of both revisions; None from a sender that does not know eras.
    """

    after: int
    wait_s: float
    crashes_known: int = -1
    said: tuple[PeerFeedback, ...] = ()
    era: int | None = None
    crashes_era: int | None = None

    def known_in(self, era: int) -> Position:
        """Return the position that the sender knows. era: assumed if it does not name one."""
        return Position(era if self.era is None else self.era, self.after)

    def crashes_known_in(self, era: int) -> Position:
        """Return the position of the crash rows that the sender knows, likewise."""
        return Position(era if self.crashes_era is None else self.crashes_era, self.crashes_known)


class OperatorsReply(msgspec.Struct, frozen=True, array_like=True):
    """A router's view of operators' rows.

    age_s: age of the view when this was sent, in seconds. held_s: seconds for which the router held the
    request. crashes_revision: last revision of crash rows, -1 where the router does not follow them.
    crashes_era: its era. crashes: None where the request named that revision. said: feedback of endpoints.
    """

    changes: OperatorChanges
    age_s: float
    held_s: float
    crashes_revision: int = -1
    crashes: PeerCrashes | None = None
    said: tuple[PeerFeedback, ...] = ()
    crashes_era: int = 0


class EndpointsRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for the list of endpoints if it changed after a position, waiting up to `wait_s` seconds.

    era: as in OperatorsRequest.
    """

    after: int
    wait_s: float
    era: int | None = None

    def known_in(self, era: int) -> Position:
        """Return the position that the sender knows. era: assumed if it does not name one."""
        return Position(era if self.era is None else self.era, self.after)


class EndpointsReply(msgspec.Struct, frozen=True, array_like=True):
    """A router's view of the list of endpoints, `age_s` seconds old when this was sent."""

    changes: EndpointChanges
    age_s: float


class ViewsRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for both views as soon as one of them changes. One request instead of two, since all boxes ask
    the same few routers."""

    operators: OperatorsRequest
    endpoints: EndpointsRequest


class ViewsReply(msgspec.Struct, frozen=True, array_like=True):
    """A router's view of operators' rows and of the list of endpoints."""

    operators: OperatorsReply
    endpoints: EndpointsReply
