"""Admission control: limits per workspace, and fair queueing for a service's slots.

Start-time fair queueing: tags advance by 1/weight for each request of a workspace, and the smallest tag
is served next. A request whose predicted wait is too long is refused with a retry delay.
"""

import heapq
from collections import Counter
from dataclasses import dataclass, field

from stairquay.core.errors import ErrorKind, Refusal
from stairquay.core.models import Workspace

SERVICE_TIME_GAIN = 0.1
"""Weight of the newest sample in the moving averages of slot times."""

NEW_CONVERSATION_WAIT_SHARE = 0.5
"""Share of `max_wait_s` that a new conversation may be predicted to wait."""

MAX_IDLE_TAGS = 16
"""Finish tags kept, besides two for each waiting workspace, before stale ones are dropped."""


@dataclass
class TokenBucket:
    """Token bucket of `rate_s` tokens per second; holds `level` tokens at `at` (monotonic seconds)."""

    rate_s: float
    burst: float
    level: float
    at: float

    def take(self, now: float) -> float:
        """Take one token and return 0, or return the seconds until one is available."""
        self.level = min(self.burst, self.level + (now - self.at) * self.rate_s)
        self.at = now
        if self.level >= 1.0:
            self.level -= 1.0
            return 0.0
        return (1.0 - self.level) / self.rate_s

    def overdraw(self, amount: float, now: float) -> bool:
        """Take any amount, which may leave a negative level; return False if the level is not positive."""
        self.level = min(self.burst, self.level + (now - self.at) * self.rate_s)
        self.at = now
        if self.level <= 0.0:
            return False
        self.level -= amount
        return True


@dataclass
class WorkspaceLimits:
    """Request rates and requests in flight by workspace, scaled to this box's share of all boxes."""

    buckets_by_id: dict[str, TokenBucket] = field(default_factory=dict)
    in_flight: Counter[str] = field(default_factory=Counter)

    def admit(self, workspace: Workspace, share: float, now: float) -> Refusal | None:
        """Admit a request, or return why it is refused. `share` is 1 over the number of live boxes."""
        allowed = max(1, int(workspace.max_in_flight * share))
        if self.in_flight[workspace.id] >= allowed:
            return Refusal(ErrorKind.RATE_LIMITED, detail=f"{allowed} requests are in flight")
        wait_s = self._bucket(workspace, share, now).take(now)
        if wait_s > 0.0:
            return Refusal(ErrorKind.RATE_LIMITED, detail="requests a second", retry_after_s=wait_s)
        self.in_flight[workspace.id] += 1
        return None

    def release(self, workspace_id: str) -> None:
        """Release a request that was admitted."""
        self.in_flight[workspace_id] -= 1
        if self.in_flight[workspace_id] <= 0:
            del self.in_flight[workspace_id]

    def _bucket(self, workspace: Workspace, share: float, now: float) -> TokenBucket:
        rate_s = workspace.rate_s * share
        burst = max(1.0, workspace.burst * share)
        bucket = self.buckets_by_id.get(workspace.id)
        if bucket is None:
            bucket = TokenBucket(rate_s, burst, burst, now)
            self.buckets_by_id[workspace.id] = bucket
        bucket.rate_s = rate_s
        bucket.burst = burst
        return bucket


@dataclass(frozen=True, order=True)
class Ticket:
    """A place in the queue; smaller tags go first."""

    tag: float
    number: int
    workspace: str = field(compare=False)


@dataclass
class FairQueue:
    """Slots of one service on this box, and the requests that wait for them.

    A request holds a starting slot until its first byte, and a slot until its end.
    """

    slots: int
    max_wait_s: float
    starting_slots: int = 1_000_000
    running: int = 0
    starting: int = 0
    mean_slot_s: float = 0.5
    mean_starting_slot_s: float = 0.0
    virtual_time: float = 0.0
    last_number: int = 0
    heap: list[Ticket] = field(default_factory=list)
    finish_tags: dict[str, float] = field(default_factory=dict)
    waiting: Counter[str] = field(default_factory=Counter)
    weights: dict[str, float] = field(default_factory=dict)
    withdrawn: set[int] = field(default_factory=set)

    def offer(self, workspace: Workspace, returning: bool = True) -> Ticket | Refusal:
        """Queue a request, or refuse it if its predicted wait is too long.

        New conversations are refused first: a returning one can reuse cached context, which may be gone and
        has to be computed again if it is refused.
        """
        self.weights[workspace.id] = workspace.weight
        limit_s = self.max_wait_s if returning else self.max_wait_s * NEW_CONVERSATION_WAIT_SHARE
        if self.predicted_wait_s(workspace) > limit_s:
            return self.overload_refusal(workspace, limit_s)
        tag = max(self.virtual_time, self.finish_tags.get(workspace.id, 0.0))
        self.finish_tags[workspace.id] = tag + 1.0 / workspace.weight
        self.last_number += 1
        ticket = Ticket(tag, self.last_number, workspace.id)
        heapq.heappush(self.heap, ticket)
        self.waiting[workspace.id] += 1
        return ticket

    def grant(self) -> Ticket | None:
        """Dequeue the next request if a slot and a starting slot are free."""
        while self.heap and self.running < self.slots and self.starting < self.starting_slots:
            ticket = heapq.heappop(self.heap)
            if ticket.number in self.withdrawn:
                self.withdrawn.discard(ticket.number)
                continue
            self._remove_waiting(ticket.workspace)
            self.virtual_time = max(self.virtual_time, ticket.tag)
            self._drop_idle_tags()
            self.running += 1
            self.starting += 1
            return ticket
        return None

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a waiting request from the queue."""
        self.withdrawn.add(ticket.number)
        self._remove_waiting(ticket.workspace)

    def backlogged(self, workspace_id: str) -> bool:
        """Tell whether a workspace has requests waiting; then it uses its share, and more would be out of
        turn."""
        return self.waiting[workspace_id] > 0

    def release_starting_slot(self, held_s: float) -> None:
        """Release a starting slot after `held_s` seconds."""
        self.starting -= 1
        self.mean_starting_slot_s += SERVICE_TIME_GAIN * (held_s - self.mean_starting_slot_s)

    def release(self, held_s: float) -> None:
        """Release a slot after `held_s` seconds; its starting slot must be released before."""
        self.running -= 1
        self.mean_slot_s += SERVICE_TIME_GAIN * (held_s - self.mean_slot_s)

    def overload_refusal(self, workspace: Workspace, limit_s: float) -> Refusal:
        """Return the refusal of a request whose predicted wait exceeds `limit_s`."""
        over_s = self.predicted_wait_s(workspace) - limit_s
        return Refusal(ErrorKind.OVERLOADED, retry_after_s=max(0.0, over_s) + self.mean_slot_s)

    def predicted_wait_s(self, workspace: Workspace) -> float:
        """Return the seconds that a new request of a workspace would wait for a slot."""
        taken = sum(self.waiting.values())
        if self.running + taken < self.slots and self.starting + taken < self.starting_slots:
            return 0.0
        active = {key for key, count in self.waiting.items() if count} | {workspace.id}
        total = sum(self.weights.get(key, 1.0) for key in active)
        share = workspace.weight / total
        ahead = self.waiting[workspace.id] + 1
        slot_s = max(
            self.mean_slot_s / max(1, self.slots), self.mean_starting_slot_s / max(1, self.starting_slots)
        )
        return ahead * slot_s / share

    def _remove_waiting(self, workspace_id: str) -> None:
        self.waiting[workspace_id] -= 1
        if self.waiting[workspace_id] <= 0:
            del self.waiting[workspace_id]

    def _drop_idle_tags(self) -> None:
        """Drop expired tags of idle workspaces, once there are many."""
        if len(self.finish_tags) <= 2 * len(self.waiting) + MAX_IDLE_TAGS:
            return
        stale = [key for key, tag in self.finish_tags.items() if tag <= self.virtual_time]
        for key in stale:
            if not self.waiting[key]:
                del self.finish_tags[key]
