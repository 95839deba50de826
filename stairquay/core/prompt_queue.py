"""Admission of prompts while the engines of a service are full.

While an engine has room, prompts are admitted as they come. Otherwise they wait at the router for a short
part of their objective, ordered by priority, then fairly among workspaces. Then they go to an engine's own
queue if their first token will still be in time, or are refused with the time at which they may be served.
"""

from bisect import bisect_left, insort
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from heapq import heappop, heappush
from math import exp, inf

from stairquay.core.room import Room

MAX_WAIT_SHARE = 0.1
"""Share of the objective, from arrival, within which a prompt is admitted or refused. Boxes must refuse
within an eighth; the rest is for the way of the messages."""

MIN_AGAIN_S = 0.005
MAX_AGAIN_S = 0.025
"""Bounds in seconds on the time after which a sender asks again: each question costs CPU time at two boxes,
and a slot that becomes free stays so until the next one."""

MESSAGES_S = 0.005
"""Seconds that a reply and the next question take, together."""

MIN_EXPIRY_S = 0.08
"""Shortest time in seconds for which a place is kept that nobody asks for: as long as a sender waits for a
router's reply."""

IN_TIME_SHARE = 0.7
"""Share of the time left to the objective by which a first token must be predicted while engines are full.
The rest covers more urgent prompts that arrive later, and runs that last longer than expected."""

MIN_LEFT_SHARE = 0.1
"""Smallest share of the capacity assumed to be left by more urgent prompts."""

MIN_URGENT_SHARE = 0.05
"""Share of the admitted tokens that more urgent prompts take, below which nothing is refused for them."""

MIN_DRAIN_PER_S = 1.0
"""Prompts per second assumed to be admitted while nothing is known of the engines' runs."""

RETURN_SHARE = 0.25
"""Share of the admitted rate at which refused callers are asked back; new prompts take most of it."""

MAX_RETRY_AFTER_S = 4.0
"""Longest Retry-After in seconds. Further refused callers return among those refused before them."""

MIN_RETRY_AFTER_S = 0.05

REFUSED_TTL_S = 8.0
"""Seconds for which a refused prompt is known when it returns."""

MAX_REFUSED = 10_000
"""Most refused prompts that are remembered."""

RATE_WINDOW_S = 1.0
"""Seconds over which rates of admissions are measured."""

IDLE_S = 1.0
"""Seconds without contention after which the shares of workspaces start anew."""


class Reason(str, Enum):
    """Why a prompt is refused."""

    DEADLINE = "deadline"
    """It could not be served within its time limit."""

    OBJECTIVE = "objective"
    """Its first token would be late, and more urgent prompts need the engines."""

    SHARE = "share"
    """Its workspace has taken more than its share, and others wait."""


@dataclass(frozen=True)
class RoomRequest:
    """A prompt that needs room at an engine.

    ticket: identifies it when its sender asks again. tokens: prompt and longest output. objective_left_s,
    deadline_left_s: until its first token is due, and until its time limit. waited_s: since it arrived at its
    sender. prefill_s: predicted seconds from its start at an engine to its first token. digest: identifies it
    when its caller sends it again; empty if unknown.
    """

    ticket: str
    priority: int
    workspace: str
    tokens: int
    objective_left_s: float
    deadline_left_s: float
    waited_s: float = 0.0
    prefill_s: float = 0.0
    digest: str = ""

    @property
    def wait_left_s(self) -> float:
        """Return the seconds within which it has to be admitted or refused."""
        return (self.objective_left_s + self.waited_s) * MAX_WAIT_SHARE - self.waited_s


@dataclass(frozen=True)
class Admitted:
    """The prompt may be sent to an engine. queued: it will wait in that engine's own queue."""

    engine: str
    queued: bool = False


@dataclass(frozen=True)
class Deferred:
    """The sender should ask again; the ticket keeps its place."""

    again_s: float


@dataclass(frozen=True)
class Rejected:
    """The prompt is refused, and its caller may come back."""

    retry_after_s: float
    reason: Reason


Decision = Admitted | Deferred | Rejected

Key = tuple[int, float, bool, float, str]
"""Order of waiting prompts: priority, fair tag, not refused before, time due, ticket."""


@dataclass
class Place:
    """A place in the queue. expires_at: when it is given up unless its sender asks again."""

    key: Key
    workspace: str
    tokens: int
    expires_at: float


@dataclass
class Shares:
    """Start-time fair queueing among the workspaces of one priority: each prompt is tagged with the work that
    its workspace got before, and lower tags go first."""

    now: float = 0.0
    next_by_workspace: dict[str, float] = field(default_factory=dict)

    def tag(self, workspace: str, tokens: int) -> float:
        """Return the tag of a prompt that starts to wait."""
        start = max(self.now, self.next_by_workspace.get(workspace, 0.0))
        self.next_by_workspace[workspace] = start + tokens
        return start

    def revert(self, workspace: str, tokens: int) -> None:
        """Give back the tag of a prompt that got no room."""
        self.next_by_workspace[workspace] = max(self.now, self.next_by_workspace[workspace] - tokens)


@dataclass
class Rate:
    """A rate, mostly of the last second. at: monotonic seconds of the last change."""

    last_per_s: float = 0.0
    at: float = -inf

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
        self.last_per_s = self.per_s(now) + amount / RATE_WINDOW_S
        self.at = now

    def per_s(self, now: float) -> float:
        """Return the amount per second."""
        return self.last_per_s * exp((self.at - now) / RATE_WINDOW_S)


def _mostly_free(rooms: Sequence[Room]) -> bool:
    """Tell whether less than half of all slots are taken and no engine has a queue: then nothing is refused,
    although the memory may be short."""
    taken = sum(room.slots - room.free_slots for room in rooms)
    return 2 * taken < sum(room.slots for room in rooms) and not any(room.queued for room in rooms)


class PromptQueue:
    """The queue of one service at one router.

    refuses_late: also refuse prompts that would only be late if nothing more urgent needs the engines.
    """

    def __init__(self, refuses_late: bool = False) -> None:
        self.refuses_late = refuses_late
        self.places_by_ticket: dict[str, Place] = {}
        self.order: list[Key] = []
        # When to look at each place again: a time at or before its expiry.
        self.expiries: list[tuple[float, str]] = []
        self.shares_by_priority: dict[int, Shares] = {}
        self.refused_until_by_digest: dict[str, float] = {}
        self.return_at_by_priority: dict[int, float] = {}
        self.admitted_by_priority: dict[int, Rate] = {}
        self.tokens_by_priority: dict[int, Rate] = {}
        self.reserved_engine = ""
        self.reserved_for = ""
        self.contended_at = -inf

    def decide(
        self, request: RoomRequest, rooms: Sequence[Room], now: float, may_queue: bool = True
    ) -> Decision:
        """Decide on a prompt. rooms: of the engines that may run it, the preferred ones first.

        may_queue: it may wait in an engine's queue; otherwise only here.
        """
        self._expire(now)
        if not rooms or all(room.free_in_s == inf for room in rooms):
            # No engine can ever hold it, which the engines say better.
            return self._admit(request, now, Admitted(rooms[0].engine if rooms else ""))
        rank = self._rank(request, now)
        free = [room for room in rooms if room.free_in_s == 0 and self._may_use(room.engine, request, now)]
        if rank < sum(room.free_slots for room in free):
            return self._admit(request, now, Admitted(free[0].engine))
        self.contended_at = now
        soonest = min(rooms, key=lambda room: room.free_in_s)
        drain_per_s = max(MIN_DRAIN_PER_S, sum(room.ends_per_s for room in rooms))
        left_share = max(MIN_LEFT_SHARE, 1 - self._urgent_share(request.priority, now))
        start_s = max(soonest.free_in_s, (rank + 1) / drain_per_s) / left_share
        reason = self._reason_to_refuse(request, start_s, now)
        if may_queue and reason is not None and not self.order and _mostly_free(rooms):
            return self._admit(request, now, Admitted(soonest.engine, queued=True))
        if reason is not None:
            return self._reject(request, reason, len(self.order) / drain_per_s, drain_per_s, now)
        if may_queue and request.priority == 0:
            return self._admit(request, now, Admitted(soonest.engine, queued=True))
        again_s = min(MAX_AGAIN_S, max(MIN_AGAIN_S, start_s))
        if again_s + MESSAGES_S <= request.wait_left_s:
            self._wait(request, again_s, soonest.engine, now)
            return Deferred(again_s)
        if may_queue and (rank == 0 or not self._over_share(request, now)):
            return self._admit(request, now, Admitted(soonest.engine, queued=True))
        reason = Reason.SHARE if may_queue else Reason.OBJECTIVE
        return self._reject(request, reason, len(self.order) / drain_per_s, drain_per_s, now)

    def is_idle(self, now: float) -> bool:
        """Tell whether nothing waits, so that a prompt for which an engine has room needs no decision."""
        if self.order:
            self._expire(now)
        return not self.order

    def waiting_by_priority(self) -> dict[int, int]:
        """Return the number of waiting prompts by priority."""
        counts: dict[int, int] = {}
        for key in self.order:
            counts[key[0]] = counts.get(key[0], 0) + 1
        return counts

    def record_admitted(self, priority: int, tokens: int, now: float) -> None:
        """Count an admitted prompt, also one that needed no decision."""
        self.admitted_by_priority.setdefault(priority, Rate()).add(1, now)
        self.tokens_by_priority.setdefault(priority, Rate()).add(tokens, now)

    def _urgent_share(self, priority: int, now: float) -> float:
        """Return the share of the capacity that more urgent prompts take."""
        by_priority = {key: rate.per_s(now) for key, rate in self.tokens_by_priority.items()}
        total = sum(by_priority.values())
        return sum(value for key, value in by_priority.items() if key < priority) / total if total else 0.0

    def leave(self, ticket: str) -> None:
        """Give up a place, as its sender no longer needs it."""
        place = self._remove(ticket)
        if place is not None:
            self.shares_by_priority[place.key[0]].revert(place.workspace, place.tokens)

    def _rank(self, request: RoomRequest, now: float) -> int:
        """Return the number of waiting prompts that go before this one."""
        return bisect_left(self.order, self._key(request, now))

    def _key(self, request: RoomRequest, now: float) -> Key:
        """Return the key of a prompt, that of its place if it has one."""
        place = self.places_by_ticket.get(request.ticket)
        if place is not None:
            return place.key
        shares = self.shares_by_priority.get(request.priority, Shares())
        tag = max(shares.now, shares.next_by_workspace.get(request.workspace, 0.0))
        known = request.digest in self.refused_until_by_digest
        due_at = now + request.objective_left_s
        return request.priority, tag, not known, due_at, request.ticket

    def _may_use(self, engine: str, request: RoomRequest, now: float) -> bool:
        if engine != self.reserved_engine or request.ticket == self.reserved_for:
            return True
        place = self.places_by_ticket.get(self.reserved_for)
        return place is None or self._key(request, now) < place.key

    def _over_share(self, request: RoomRequest, now: float) -> bool:
        """Tell whether a workspace of the same priority that had less waits as well."""
        tag = self._key(request, now)[1]
        shares = self.shares_by_priority.get(request.priority, Shares())
        return tag > shares.now + request.tokens

    def _reason_to_refuse(self, request: RoomRequest, start_s: float, now: float) -> Reason | None:
        """Return why a prompt should not run, None if it should.

        A late answer is better than none: a prompt that would only be late is refused for the sake of more
        urgent ones alone, and once.
        """
        first_token_s = start_s + request.prefill_s
        if first_token_s > request.deadline_left_s:
            return Reason.DEADLINE
        if not self.refuses_late and not self._is_late_refused(request, now):
            return None
        late = first_token_s > request.objective_left_s * IN_TIME_SHARE
        return Reason.OBJECTIVE if late else None

    def _is_late_refused(self, request: RoomRequest, now: float) -> bool:
        """Tell whether a prompt is refused if it would be late."""
        known = request.digest in self.refused_until_by_digest
        return not known and self._urgent_share(request.priority, now) >= MIN_URGENT_SHARE

    def _admit(self, request: RoomRequest, now: float, admitted: Admitted) -> Admitted:
        place = self._remove(request.ticket)
        if place is not None:
            shares = self.shares_by_priority[request.priority]
            shares.now = max(shares.now, place.key[1])
        self.refused_until_by_digest.pop(request.digest, None)
        self.record_admitted(request.priority, request.tokens, now)
        return admitted

    def _wait(self, request: RoomRequest, again_s: float, engine: str, now: float) -> None:
        expires_at = now + max(MIN_EXPIRY_S, 2 * again_s)
        place = self.places_by_ticket.get(request.ticket)
        if place is None:
            key = self._key(request, now)
            shares = self.shares_by_priority.setdefault(request.priority, Shares())
            shares.tag(request.workspace, request.tokens)
            place = Place(key, request.workspace, request.tokens, expires_at)
            self.places_by_ticket[request.ticket] = place
            insort(self.order, key)
            heappush(self.expiries, (expires_at, request.ticket))
        place.expires_at = expires_at
        if self.order[0] == place.key:
            self.reserved_for, self.reserved_engine = request.ticket, engine

    def _remove(self, ticket: str) -> Place | None:
        place = self.places_by_ticket.pop(ticket, None)
        if place is not None:
            del self.order[bisect_left(self.order, place.key)]
        if ticket == self.reserved_for:
            self.reserved_for = self.reserved_engine = ""
        return place

    def _reject(
        self, request: RoomRequest, reason: Reason, backlog_s: float, drain_per_s: float, now: float
    ) -> Rejected:
        self.leave(request.ticket)
        if request.digest:
            self._remember(request.digest, now)
        return Rejected(self._retry_after_s(request.priority, backlog_s, drain_per_s, now), reason)

    def _remember(self, digest: str, now: float) -> None:
        known = self.refused_until_by_digest
        known.pop(digest, None)
        known[digest] = now + REFUSED_TTL_S
        while len(known) > MAX_REFUSED or next(iter(known.values())) < now:
            del known[next(iter(known))]

    def _retry_after_s(self, priority: int, backlog_s: float, drain_per_s: float, now: float) -> float:
        """Return when a refused caller may be served: after the backlog and the callers refused before it, of
        its priority and of more urgent ones."""
        first_at = now + max(MIN_RETRY_AFTER_S, backlog_s)
        return_at = max(first_at, self._returns_until(priority))
        if return_at > now + MAX_RETRY_AFTER_S:
            return_at = first_at
        rate = self.admitted_by_priority.get(priority)
        per_s = max(MIN_DRAIN_PER_S, 0.0 if rate is None else rate.per_s(now) * RETURN_SHARE)
        self.return_at_by_priority[priority] = return_at + 1 / per_s
        return return_at - now

    def _returns_until(self, priority: int) -> float:
        """Return when the last refused caller of a priority, or of a more urgent one, comes back."""
        return max((at for key, at in self.return_at_by_priority.items() if key <= priority), default=-inf)

    def _expire(self, now: float) -> None:
        """Drop places that nobody asked for in time, and the shares after a time without waits."""
        while self.expiries and self.expiries[0][0] < now:
            _, ticket = heappop(self.expiries)
            place = self.places_by_ticket.get(ticket)
            if place is None:
                continue
            if place.expires_at < now:
                self.leave(ticket)
            else:
                heappush(self.expiries, (place.expires_at, ticket))
        if not self.order and now - self.contended_at > IDLE_S:
            self.shares_by_priority.clear()
