"""Admission of prompts at a router: asks the queue of their service once the engines are full."""

from stairquay.core.catalog import LOWEST_PRIORITY
from stairquay.core.memory import SharedParts
from stairquay.core.placement import prefill_s
from stairquay.core.prompt_queue import Decision, Deferred, PromptQueue, Reason, Rejected, RoomRequest
from stairquay.serving.brittleness import binds
from stairquay.serving.endpoint_choice import Choice
from stairquay.serving.engine_accounts import EngineAccounts
from stairquay.serving.messages import PlaceReply, PlaceRequest
from stairquay.serving.state import BoxState

BRITTLE_RETRY_AFTER_S = 0.25
"""Retry-After in seconds of a prompt that no queue holds while the brittle engines are full."""


class RouterAdmission:
    """The queues of the services whose engines this box routes for."""

    def __init__(self, state: BoxState, accounts: EngineAccounts) -> None:
        self.state = state
        self.accounts = accounts
        self.queues_by_service: dict[str, PromptQueue] = {}
        # The engine that was chosen first for each waiting prompt.
        self.choices_by_ticket: dict[str, Choice] = {}

    def decide_again(self, request: PlaceRequest, now: float) -> tuple[Decision | None, Choice | None]:
        """Decide on a prompt that waits here, without another choice of an engine, which costs far more.

        Return the first choice as well. Both are None if the prompt has no place.
        """
        choice = self.choices_by_ticket.pop(request.ticket, None)
        queue = self.queues_by_service.get(request.service)
        if choice is None or queue is None or request.ticket not in queue.places_by_ticket:
            return None, None
        return self._ask_queue(request, choice, queue, now), choice

    def decide(self, request: PlaceRequest, choice: Choice, now: float) -> Decision | None:
        """Decide on a prompt.

        Return None if it may go to the chosen engine without a decision: the engine has room and nothing
        waits, or the sender leaves admission to the engines.
        """
        spec = None if self.state.catalog is None else self.state.catalog.engine_of(request.service)
        engine, placement = choice.endpoint.id, choice.placement
        if spec is None or placement is None or engine not in self.state.routed_engines:
            return None
        wanted = room_request(request, prefill_s(placement.read, request.tokens))
        if wanted is None:
            return None
        queue = self.queues_by_service.setdefault(request.service, PromptQueue())
        needed_tokens = wanted.tokens - placement.engine.tokens_in_use
        if queue.is_idle(now) and self.accounts.has_room(engine, needed_tokens, spec, now):
            queue.record_admitted(request.priority, wanted.tokens, now)
            return None
        return self._ask_queue(request, choice, queue, now)

    def reject_without_room(self, request: PlaceRequest, choice: Choice, now: float) -> Rejected | None:
        """Reject a prompt whose engine is brittle and full by its account, None for any other.

        The queue may have admitted it to an engine that cannot be chosen now, such as one that crashed.
        """
        spec = None if self.state.catalog is None else self.state.catalog.engine_of(request.service)
        if spec is None or choice.placement is None or not self._is_brittle(request.service, now):
            return None
        peak_tokens = request.tokens + request.max_output - choice.placement.engine.tokens_in_use
        has_room = self.accounts.has_room(choice.endpoint.id, peak_tokens, spec, now)
        return None if has_room else Rejected(BRITTLE_RETRY_AFTER_S, Reason.OBJECTIVE)

    def _ask_queue(
        self, request: PlaceRequest, choice: Choice, queue: PromptQueue, now: float
    ) -> Decision | None:
        spec = None if self.state.catalog is None else self.state.catalog.engine_of(request.service)
        if spec is None or choice.placement is None:
            return None
        wanted = room_request(request, prefill_s(choice.placement.read, request.tokens))
        if wanted is None:
            return None
        parts = shared_parts(request, choice.scope)
        rooms = self.accounts.rooms(request, parts, spec, now)
        rooms.sort(key=lambda room: room.engine != choice.endpoint.id)
        decision = queue.decide(wanted, rooms, now, may_queue=not self._is_brittle(request.service, now))
        if isinstance(decision, Deferred):
            self.choices_by_ticket[request.ticket] = choice
        count_rejected(self.state, decision, request.priority)
        return decision

    def _is_brittle(self, service: str, now: float) -> bool:
        """Tell whether engines of a service fall over if they reject too much, so that nothing may queue."""
        return binds(self.state.tolerance_by_service.get(service), now)

    def leave(self, ticket: str) -> None:
        """Give up the place of a prompt that its sender will not ask for again."""
        self.choices_by_ticket.pop(ticket, None)
        for queue in self.queues_by_service.values():
            queue.leave(ticket)

    def observe_metrics(self, now: float) -> None:
        """Write the number of waiting prompts by priority to the metrics, and forget expired ones."""
        counts = dict.fromkeys(range(LOWEST_PRIORITY + 1), 0)
        for queue in self.queues_by_service.values():
            queue.is_idle(now)
            for priority, count in queue.waiting_by_priority().items():
                counts[min(LOWEST_PRIORITY, priority)] += count
        queues = self.queues_by_service.values()
        for ticket in list(self.choices_by_ticket):
            if not any(ticket in queue.places_by_ticket for queue in queues):
                # Its sender did not ask for its place in time.
                del self.choices_by_ticket[ticket]
        for priority, count in counts.items():
            self.state.metrics.waiting_prompts.labels(str(priority)).set(count)


def shared_parts(request: PlaceRequest, scope: str) -> SharedParts:
    """Return the parts of a prompt that others may share, with their tokens."""
    return tuple([((scope, part.id), part.tokens) for part in request.parts[:-1]])


def count_rejected(state: BoxState, decision: Decision, priority: int) -> None:
    """Count a decision if it refuses a prompt."""
    if isinstance(decision, Rejected):
        label = str(min(LOWEST_PRIORITY, priority))
        state.metrics.rejected.labels(decision.reason.value, label).inc()


def room_request(request: PlaceRequest, expected_prefill_s: float) -> RoomRequest | None:
    """Return what the queue has to know of a prompt, None if its sender leaves admission to the engines."""
    if request.objective_left_s is None or request.deadline_left_s is None:
        return None
    own_part = request.parts[-1].id if request.parts else ""
    return RoomRequest(
        request.ticket,
        request.priority,
        request.workspace,
        request.tokens + request.max_output,
        request.objective_left_s,
        request.deadline_left_s,
        request.waited_s,
        expected_prefill_s,
        # Only repeats of one request have the same last part.
        f"{request.workspace} {own_part}" if own_part else "",
    )


def reply_without_room(decision: Rejected | Deferred, choice: Choice) -> PlaceReply:
    """Return the reply to a prompt that gets no room at an engine now."""
    if isinstance(decision, Rejected):
        return PlaceReply(come_back_s=decision.retry_after_s, rejected=decision.reason.value, decided=True)
    return PlaceReply(
        endpoint=choice.endpoint.id,
        version=choice.version,
        backlog_s=choice.backlog_s,
        again_s=decision.again_s,
        decided=True,
    )
