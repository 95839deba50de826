"""Admission of prompts at a router: asks the queue of their service once the engines are full."""

from stairquay.core.catalog import LOWEST_PRIORITY
from stairquay.core.memory import SharedParts
from stairquay.core.placement import Placement, prefill_s
from stairquay.core.prompt_queue import Decision, PromptQueue, Rejected, RoomRequest
from stairquay.serving.endpoint_choice import Choice
from stairquay.serving.engine_accounts import EngineAccounts
from stairquay.serving.messages import PlaceRequest
from stairquay.serving.state import BoxState


class RouterAdmission:
    """The queues of the services whose engines this box routes for."""

    def __init__(self, state: BoxState, accounts: EngineAccounts) -> None:
        self.state = state
        self.accounts = accounts
        self.queues_by_service: dict[str, PromptQueue] = {}

    def decide(self, request: PlaceRequest, choice: Choice, now: float) -> Decision | None:
        """Decide on a prompt.

        Return None if it may go to the chosen engine without a decision: the engine has room and nothing
        waits, or the sender leaves admission to the engines.
        """
        spec = None if self.state.catalog is None else self.state.catalog.engine_of(request.service)
        engine, placement = choice.endpoint.id, choice.placement
        if spec is None or placement is None or engine not in self.state.routed_engines:
            return None
        room_request = _room_request(request, placement)
        if room_request is None:
            return None
        queue = self.queues_by_service.setdefault(request.service, PromptQueue())
        needed_tokens = room_request.tokens - placement.engine.tokens_in_use
        if queue.is_idle(now) and self.accounts.has_room(engine, needed_tokens, spec, now):
            queue.record_admitted(request.priority, room_request.tokens, now)
            return None
        parts = shared_parts(request, choice.scope)
        rooms = self.accounts.rooms(request, parts, spec, now)
        rooms.sort(key=lambda room: room.engine != engine)
        decision = queue.decide(room_request, rooms, now)
        if isinstance(decision, Rejected):
            label = str(min(LOWEST_PRIORITY, request.priority))
            self.state.metrics.rejected.labels(decision.reason.value, label).inc()
        return decision

    def leave(self, ticket: str) -> None:
        """Give up the place of a prompt that its sender will not ask for again."""
        for queue in self.queues_by_service.values():
            queue.leave(ticket)

    def observe_metrics(self, now: float) -> None:
        """Write the number of waiting prompts by priority to the metrics."""
        counts = dict.fromkeys(range(LOWEST_PRIORITY + 1), 0)
        for queue in self.queues_by_service.values():
            queue.is_idle(now)
            for priority, count in queue.waiting_by_priority().items():
                counts[min(LOWEST_PRIORITY, priority)] += count
        for priority, count in counts.items():
            self.state.metrics.waiting_prompts.labels(str(priority)).set(count)


def shared_parts(request: PlaceRequest, scope: str) -> SharedParts:
    """Return the parts of a prompt that others may share, with their tokens."""
    return tuple([((scope, part.id), part.tokens) for part in request.parts[:-1]])


def _room_request(request: PlaceRequest, placement: Placement) -> RoomRequest | None:
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
        prefill_s(placement.read, request.tokens),
        # Only repeats of one request have the same last part.
        f"{request.workspace} {own_part}" if own_part else "",
    )
