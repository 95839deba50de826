"""Accounts of the engines that this box routes for, corrected by the engines' reports."""

from collections import Counter
from collections.abc import Iterator

from stairquay.core.catalog import EngineSpec
from stairquay.core.fleet import Endpoint
from stairquay.core.memory import SharedParts
from stairquay.core.placement import RUN_DURATION_S, USABLE_MEMORY_SHARE
from stairquay.core.places import places
from stairquay.core.room import EngineAccount, MeanDuration, Room
from stairquay.serving.brittleness import brittle_wait_s, has_brittle_service, is_brittle
from stairquay.serving.endpoint import EndpointState
from stairquay.serving.evacuation import takes_work
from stairquay.serving.event_log import LogEvent
from stairquay.serving.messages import PlaceRequest
from stairquay.serving.state import BoxState

RunKind = tuple[str, int]
"""A service, and the priority of a run: runs of one kind last about as long as each other."""


class EngineAccounts:
    """One account for each engine that prompts were placed on, or that this box routes for."""

    def __init__(self, state: BoxState) -> None:
        self.state = state
        self.accounts_by_engine: dict[str, tuple[EndpointState, EngineAccount]] = {}
        # Engines that this box takes over and does not use yet, as last logged.
        self.known_pending: frozenset[str] = frozenset()
        self.durations_by_kind: dict[RunKind, MeanDuration] = {}

    def has_room(self, engine: str, needed_tokens: int, spec: EngineSpec, now: float) -> bool:
        """Tell whether an engine can start a prompt now; yes for one of which this box keeps no account.

        needed_tokens: prompt and longest output, without what other runs there share with it.
        """
        endpoint = self.state.fleet.by_id.get(engine)
        if endpoint is None or engine not in self.state.routed_engines:
            return True
        return self._account(endpoint, spec, now).has_room(needed_tokens, now)

    def rooms(self, request: PlaceRequest, parts: SharedParts, spec: EngineSpec, now: float) -> list[Room]:
        """Return the room for a prompt at each engine of its service that this box routes for.

        parts: those that other runs may share.
        """
        peak_tokens = request.tokens + request.max_output
        # Only the least urgent prompts may be shed for a backlog; all others pass some of an engine's queue.
        after_unknown = request.most_backlog_s is not None

        def room(endpoint: Endpoint) -> Room:
            account = self._account(endpoint, spec, now)
            needed_tokens = peak_tokens - account.memory.tokens_in_use(parts)
            return account.room(endpoint.id, needed_tokens, now, request.priority, after_unknown)

        return [
            room(endpoint)
            for endpoint in self._routed(request.service)
            if endpoint.id not in request.tried
            and takes_work(self.state, endpoint)
            and brittle_wait_s(self.state, endpoint, now) == 0
        ]

    def place(self, request: PlaceRequest, parts: SharedParts, endpoint: Endpoint, now: float) -> None:
        """Count a placed prompt. parts: those that other runs may share."""
        catalog = self.state.catalog
        spec = None if catalog is None else catalog.engine_of(endpoint.service)
        if spec is None:
            return
        expected_s = self.duration_s(request.service, request.priority)
        peak_tokens = request.tokens + request.max_output
        account = self._account(endpoint, spec, now)
        account.place(request.ticket, peak_tokens, expected_s, now, request.priority, parts)

    def end(self, ticket: str, engine: str, kind: RunKind, completed: bool, now: float) -> None:
        """Stop counting a prompt. completed: it ran, so that its duration is worth learning."""
        _, account = self.accounts_by_engine.get(engine, (None, None))
        run = None if account is None else account.end(ticket, now)
        if run is not None and completed and run.started_at < now:
            duration = self.durations_by_kind.setdefault(kind, MeanDuration(RUN_DURATION_S))
            duration.add(now - run.started_at)

    def duration_s(self, service: str, priority: int) -> float:
        """Return how long runs of a kind last, as observed."""
        duration = self.durations_by_kind.get((service, priority))
        return RUN_DURATION_S if duration is None else duration.mean_s

    def update_handovers(self, now: float) -> None:
        """Record the engines that this box routes for, and which of those taken over others still use."""
        handovers, catalog = self.state.handovers, self.state.catalog
        handovers.update(self.state.routed_engines, now)
        if not has_brittle_service(self.state, now):
            return
        self._log_taken_over()
        for engine in handovers.pending():
            endpoint = self.state.fleet.by_id.get(engine)
            spec = None if endpoint is None or catalog is None else catalog.engine_of(endpoint.service)
            if endpoint is None or spec is None or not is_brittle(self.state, endpoint, now):
                continue
            if self._account(endpoint, spec, now).unknown_runs:
                handovers.record_foreign_runs(engine, now)

    def _log_taken_over(self) -> None:
        pending = frozenset(self.state.handovers.pending())
        if pending != self.known_pending:
            self.known_pending = pending
            self.state.log.line(LogEvent.BRITTLE, outcome="taking_over", engines=sorted(pending))

    def observe_metrics(self) -> None:
        """Write the free slots of each service to the metrics, and drop accounts of engines that left."""
        free_slots: Counter[str] = Counter()
        for engine, (_, account) in list(self.accounts_by_engine.items()):
            endpoint = self.state.fleet.by_id.get(engine)
            if endpoint is None or engine not in self.state.routed_engines:
                if endpoint is None or not account.runs_by_ticket:
                    del self.accounts_by_engine[engine]
                continue
            free_slots[endpoint.service] += max(0, account.slots - account.taken)
        for service, slots in free_slots.items():
            self.state.metrics.room.labels(service).set(slots)

    def _routed(self, service: str) -> Iterator[Endpoint]:
        fleet = self.state.fleet
        for engine in self.state.routed_engines:
            endpoint = fleet.by_id.get(engine)
            if (
                endpoint is not None
                and endpoint.service == service
                and engine not in fleet.missing_since_by_id
            ):
                yield endpoint

    def _account(self, endpoint: Endpoint, spec: EngineSpec, now: float) -> EngineAccount:
        """Return an engine's account, a new one for a new incarnation, with the last report applied."""
        endpoint_state = self.state.endpoint_state(endpoint)
        known_state, account = self.accounts_by_engine.get(endpoint.id, (None, None))
        if account is None or known_state is not endpoint_state:
            usable_tokens = spec.memory_tokens * USABLE_MEMORY_SHARE
            account = EngineAccount(spec.slots, usable_tokens, memory=endpoint_state.memory)
            self.accounts_by_engine[endpoint.id] = endpoint_state, account
        report = endpoint_state.report
        if report is not None and endpoint_state.reported_at > account.reported_at:
            usable_tokens = report.total_tokens * USABLE_MEMORY_SHARE
            runs = report.running + report.queued
            account.on_report(runs, report.used_tokens, usable_tokens, endpoint_state.reported_at)
        # A brittle engine may reject for want of a slot that a new connection holds for a moment.
        account.slots = places(spec.slots) if is_brittle(self.state, endpoint, now) else spec.slots
        return account
