"""What boxes say to each other where some of them route for all."""

from enum import Enum
from math import inf

import msgspec

from stairquay.core.limits import UNLIMITED
from stairquay.serving.ports import EndpointChanges, OperatorChanges


class PromptPart(msgspec.Struct, frozen=True, array_like=True):
    """One part of a prompt."""

    id: str
    tokens: int


class PeerFeedback(msgspec.Struct, frozen=True, array_like=True):
    """What a box heard an endpoint say of its use.

    born: of the life that said it, 0 where that is not known. per_s: its limit; sent_ago_s, heard_ago_s: as
    the times of core.limits.LimitNews, before this was made, infinite where it named none. rest_s: seconds
    for which it wants nothing from the box that tells this.
    """

    endpoint: str
    born: int
    per_s: float = UNLIMITED
    sent_ago_s: float = inf
    heard_ago_s: float = inf
    leaving: bool = False
    rest_s: float = 0.0


class PlaceRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks where a prompt should run.

    ticket: names this attempt until it has ended. box: who asks, and will send it. wall: the workspace that
    shares no kept context, empty for the others. tried: endpoints that must not be chosen again.
    most_backlog_s: the sender gives the prompt up where it would wait longer; None where it does not.
    may_wait: the sender can ask again a little later. said: who wants rest from the sender; and all else that
    it heard endpoints say, where a router has just shown that it does not know of it.
    """

    ticket: str
    box: str
    service: str
    model: str
    parts: tuple[PromptPart, ...]
    tokens: int
    max_output: int
    wall: str
    tried: tuple[str, ...]
    most_backlog_s: float | None = None
    may_wait: bool = False
    said: tuple[PeerFeedback, ...] = ()


class PlaceReply(msgspec.Struct, frozen=True, array_like=True):
    """Where a prompt should run; `endpoint` is empty where no endpoint can take it.

    again_s: seconds after which the sender should ask again, 0 where this reply is the answer. said: what the
    router heard of the endpoint's limit, and counts by; None where it heard of none. come_back_s: where all
    endpoints have got what they take, or want rest, the seconds until one takes this prompt; else 0.

    The fields are those of serving.choosing.Choice and core.placement.Placement.
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
    again_s: float = 0.0
    said: PeerFeedback | None = None
    come_back_s: float = 0.0


class Outcome(str, Enum):
    """How an attempt ended, as far as it tells something about its endpoint."""

    DONE = "done"
    """Nothing speaks against the endpoint."""

    FAILED = "failed"
    """The endpoint failed it."""

    TURNED_AWAY = "turned_away"
    """The endpoint did not take it."""

    UNREACHED = "unreached"
    """The endpoint took no connection."""

    NOT_SENT = "not_sent"
    """It never left its box."""


class EndedAttempt(msgspec.Struct, frozen=True, array_like=True):
    """An attempt that has left the endpoint it was placed on."""

    ticket: str
    outcome: Outcome = Outcome.DONE


class FinishedNotice(msgspec.Struct, frozen=True, array_like=True):
    """Names attempts that have ended, and the tickets of those whose prompts have been read; none where a
    router only asks whether another is there. said: what the sender heard endpoints say."""

    ended: tuple[EndedAttempt, ...]
    read: tuple[str, ...] = ()
    said: tuple[PeerFeedback, ...] = ()


class PeerCrash(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint crashed while a request was there, `ago_s` before this was made. Else as
    core.crashes.Crash."""

    digest: str
    life: str
    ago_s: float
    ran_s: float
    events: int | None


class PeerCrashes(msgspec.Struct, frozen=True, array_like=True):
    """What a router knows of crashes. cleared: requests that are above suspicion, and for how many
    seconds."""

    crashes: tuple[PeerCrash, ...]
    cleared: tuple[tuple[str, float], ...]


class OperatorsRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for operators' rows if they changed after a revision; waits up to `wait_s` for that.

    crashes_known: the revision at which boxes' rows about crashes last changed, as far as the asker was told.
    said: what the asker heard endpoints say.
    """

    after: int
    wait_s: float
    crashes_known: int = -1
    said: tuple[PeerFeedback, ...] = ()


class OperatorsReply(msgspec.Struct, frozen=True, array_like=True):
    """A router's view of operators' rows. age_s: how old it was when this reply was made; held_s: how long
    the router held the question.

    crashes_revision: the revision at which boxes' rows about crashes last changed, -1 where the router does
    not follow them. crashes: what they tell, None where the question named that revision. said: what the
    router heard endpoints say.
    """

    changes: OperatorChanges
    age_s: float
    held_s: float
    crashes_revision: int = -1
    crashes: PeerCrashes | None = None
    said: tuple[PeerFeedback, ...] = ()


class EndpointsRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for the list of endpoints if it changed after a revision; waits up to `wait_s` for that."""

    after: int
    wait_s: float


class EndpointsReply(msgspec.Struct, frozen=True, array_like=True):
    """A router's view of the list of endpoints, `age_s` old when this reply was made."""

    changes: EndpointChanges
    age_s: float


class ViewsRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for both as soon as one of them changes. Each question to a router costs both sides about a
    millisecond of processor time, and all boxes ask the same two routers."""

    operators: OperatorsRequest
    endpoints: EndpointsRequest


class ViewsReply(msgspec.Struct, frozen=True, array_like=True):
    """A router's view of operators' rows and of the list of endpoints."""

    operators: OperatorsReply
    endpoints: EndpointsReply


class Empty(msgspec.Struct, frozen=True, array_like=True):
    """An empty message."""
