"""A standalone box's share of the engines: what it sends without a router, so that all boxes together do not
send more than the engines hold."""

from stairquay.core.catalog import EngineSpec
from stairquay.core.prompt_queue import Decision, PromptQueue
from stairquay.core.room import EngineAccount, MeanDuration, standalone_share
from stairquay.serving.messages import PlaceRequest
from stairquay.serving.router_admission import count_rejected, room_request
from stairquay.serving.state import BoxState

ASSUMED_RUN_S = 0.3
"""Seconds that a run is assumed to last until one has ended. A longer guess would refuse what can be in
time."""

UNKNOWN_PREFILL_S = 0.0
"""Predicted seconds of prefill: a box without a router does not know what the engines cache."""


class StandaloneShares:
    """The prompts that this box sent without a router, and those that wait for one to end, by service.

    A share is kept like an engine with as many slots as the share has, and with unlimited memory.
    """

    def __init__(self, state: BoxState) -> None:
        self.state = state
        self.accounts_by_service: dict[str, EngineAccount] = {}
        self.queues_by_service: dict[str, PromptQueue] = {}
        self.durations_by_service: dict[str, MeanDuration] = {}
        self.service_by_ticket: dict[str, str] = {}

    def decide(self, request: PlaceRequest, spec: EngineSpec, now: float) -> Decision | None:
        """Decide on a prompt for which no router answered, None if the share has room."""
        account = self._account(request.service, spec, now)
        wanted = room_request(request, UNKNOWN_PREFILL_S)
        if wanted is None:
            return None
        # Late prompts would otherwise exceed the share, on which the other boxes rely.
        queue = self.queues_by_service.setdefault(request.service, PromptQueue(refuses_late=True))
        if queue.is_idle(now) and account.has_room(wanted.tokens, now):
            return None
        room = account.room(request.service, wanted.tokens, now, request.priority)
        decision = queue.decide(wanted, [room], now)
        count_rejected(self.state, decision, request.priority)
        return decision

    def place(self, request: PlaceRequest, spec: EngineSpec, now: float) -> None:
        """Count a prompt that is sent without a router."""
        duration = self.durations_by_service.setdefault(request.service, MeanDuration(ASSUMED_RUN_S))
        account = self._account(request.service, spec, now)
        account.place(request.ticket, 0, duration.mean_s, now, request.priority)
        self.service_by_ticket[request.ticket] = request.service

    def end(self, ticket: str, completed: bool, now: float) -> None:
        """Stop counting a prompt. completed: it ran, so that its duration is worth learning."""
        service = self.service_by_ticket.pop(ticket, None)
        if service is None:
            return
        run = self.accounts_by_service[service].end(ticket, now)
        if run is not None and completed:
            self.durations_by_service[service].add(now - run.placed_at)

    def leave(self, ticket: str) -> None:
        """Give up the place of a prompt whose caller has disconnected."""
        for queue in self.queues_by_service.values():
            queue.leave(ticket)

    def may_use(self, engine: str, spec: EngineSpec, now: float) -> bool:
        """Tell whether an engine may get a prompt: not if it was full when its reports stopped."""
        endpoint_state = self.state.endpoints_by_id.get(engine)
        if endpoint_state is None or endpoint_state.report is None or not endpoint_state.silent(now):
            return True
        return endpoint_state.report.running + endpoint_state.report.queued < spec.slots

    def _account(self, service: str, spec: EngineSpec, now: float) -> EngineAccount:
        account = self.accounts_by_service.setdefault(service, EngineAccount(1))
        engines = len(self.state.fleet.usable(service, now))
        account.slots = standalone_share(spec.slots, engines, len(self.state.boxes))
        return account
