"""What one box believes: configuration, endpoints, their load, and who keeps which context."""

from dataclasses import dataclass, field

from stairquay.adapters.clock import monotonic
from stairquay.core.budget import WindowedRetryBudget
from stairquay.core.catalog import Catalog
from stairquay.core.fleet import Endpoint, Fleet
from stairquay.core.holdings import Holdings
from stairquay.core.routers import Member, capacity, pick_followers, pick_placing_routers
from stairquay.core.versions import VersionHistory
from stairquay.serving.decisions import Decision, DecisionLog
from stairquay.serving.endpoint import NEVER, EndpointState
from stairquay.serving.metrics import BoxMetrics
from stairquay.serving.ports import EngineReport
from stairquay.serving.quarantine import Quarantine
from stairquay.serving.settings import BoxSettings
from stairquay.serving.waking import Changes

TOO_OLD_SHARE = 0.95
"""Share of the time in which a version is to be everywhere after which no request may begin on older ones:
the rest is for the request's way. Its predicted time to the first token counts besides."""

FIRST_TOKEN_FACTOR = 2.0
"""Times by which a first token may come later than predicted: 1.6 to 2.0 at the median of each engine, where
engines read at less than half of the speed that predictions assume."""

SAME_NAMING_S = 0.25
"""Seconds by which two boxes' times for the same naming may differ without a line in the log: clocks are
compared over the network, and views are asked for a few times a second."""

OLD_VIEW_SHARE = 0.45
"""Share of the time in which a configuration must be in force up to whose age a router's view is used. A box
whose router then falls silent waits for 0.4 of it before it asks the table service itself."""

OLD_LIST_SHARE = 0.5
"""The same for the list of endpoints, of the time in which new work for a leaving endpoint must stop."""


@dataclass
class BoxState:
    """Everything that the parts of the program share; there is one loop, so nothing is locked.

    view_asked_at: when the question was asked that the newest answer about the configuration rests on.
    viewed_before_start: the same of any box, before this one started; named_at_start: the versions that this
    box's first view showed. namings_learned: rows of boxes were read, which tell when versions were named.
    stopping: the stop signal came; refusing: what still arrives is refused, since it could not be finished.
    boxes: boxes of ours believed alive; boxes_known_at: when their rows were first read.
    clock_offset_ms: the endpoints' clock less this one's.
    operators_revision, list_revision: the table service's revision that our view is complete up to;
    operators_changed, list_changed: the revision at which it last changed. list_asked_at: like
    view_asked_at, for the list of endpoints; list_unreached_at: when the table service itself last gave no
    answer about it; list_passed_on: a router passed its newest answer on.
    routers: boxes that route prompts for all, none before the boxes were read. routed_engines: the engines
    that this box routes for. suspected_until_by_id: boxes that lately did not answer.
    come_back_at_by_service: the latest time that a caller was told for whom all endpoints of a service had
    got what they take.
    limited: ids of endpoints that have named a limit, also where it has ended. resting: ids of those that
    asked this box for rest, until it is known to be over.
    evacuated: data halls whose endpoints are to get nothing; evacuated_revision: the table service's revision
    up to which that is known; returned_at_by_hall: when such a hall might get work again.
    unreadable: ids whose entries in the list name no endpoint.
    changed: wakes who waits for a change of the configuration, the named versions, the evacuated halls, the
    list, the routers or their silence, or for the stop; also where routers begin or cease to tell of crashes.
    quarantine: requests that crash endpoints.
    """

    settings: BoxSettings
    log: DecisionLog
    metrics: BoxMetrics = field(default_factory=BoxMetrics)
    catalog: Catalog | None = None
    view_asked_at: float = NEVER
    fleet: Fleet = field(default_factory=Fleet)
    fleet_known: bool = False
    viewed_before_start: float = NEVER
    named_at_start: dict[str, int] = field(default_factory=dict)
    namings_learned: bool = False
    named_by_model: dict[str, int] = field(default_factory=dict)
    namings_by_model: dict[str, VersionHistory] = field(default_factory=dict)
    endpoints_by_id: dict[str, EndpointState] = field(default_factory=dict)
    holdings: Holdings = field(default_factory=Holdings)
    budgets_by_service: dict[str, WindowedRetryBudget] = field(default_factory=dict)
    boxes: tuple[str, ...] = ()
    boxes_known_at: float = NEVER
    operators_revision: int = 0
    operators_changed: int = 0
    list_asked_at: float = NEVER
    list_unreached_at: float = NEVER
    list_passed_on: bool = False
    list_revision: int = 0
    list_changed: int = 0
    routers: tuple[Member, ...] = ()
    routed_engines: frozenset[str] = frozenset()
    come_back_at_by_service: dict[str, float] = field(default_factory=dict)
    suspected_until_by_id: dict[str, float] = field(default_factory=dict)
    limited: set[str] = field(default_factory=set)
    resting: set[str] = field(default_factory=set)
    evacuated: frozenset[str] = frozenset()
    evacuated_revision: int = 0
    returned_at_by_hall: dict[str, float] = field(default_factory=dict)
    unreadable: set[str] = field(default_factory=set)
    clock_offset_ms: float | None = None
    in_flight: int = 0
    body_bytes: int = 0
    stopping: bool = False
    refusing: bool = False
    changed: Changes = field(default_factory=Changes)
    quarantine: Quarantine = field(init=False)

    def __post_init__(self) -> None:
        """Begin with no request in quarantine."""
        self.quarantine = Quarantine(self.log)

    def use_settings(self, settings: BoxSettings) -> None:
        """Put changed settings in force; addresses keep until the next start."""
        self.settings = settings
        for budget in self.budgets_by_service.values():
            budget.allowance = settings.repeats

    @property
    def routes(self) -> bool:
        """Tell whether this box is one of those that route for all, by their own view of engines."""
        return any(router.id == self.settings.id for router in self.routers)

    @property
    def follows(self) -> bool:
        """Tell whether this box is one of those that follow the table service for all."""
        return any(router.id == self.settings.id for router in self.following_routers())

    @property
    def member(self) -> Member:
        """Return this box as others see it."""
        settings = self.settings
        room = capacity(settings.cores, settings.link_mbps)
        return Member(settings.id, settings.peer_address, room, settings.data_hall)

    def suspect(self, router: str, for_s: float) -> None:
        """Pass a router over for a while that did not answer."""
        now = monotonic()
        known = self.suspected_until_by_id.get(router, NEVER) > now
        self.suspected_until_by_id[router] = now + for_s
        if not known:
            self.changed.happened()

    def live_routers(self) -> list[Member]:
        """Return the routers that are not suspected of being gone; this box is never suspected."""
        now = monotonic()
        return [item for item in self.routers if self.suspected_until_by_id.get(item.id, NEVER) <= now]

    def following_routers(self) -> list[Member]:
        """Return the routers that follow the table service now."""
        return pick_followers(self.live_routers())

    def placing_routers(self) -> list[Member]:
        """Return the routers that place prompts now: not suspected, as far as there are engines, and none in
        an evacuated data hall where there are others: its engines get nothing."""
        catalog = self.catalog
        if catalog is None:
            return []
        engines = sum(
            catalog.engine_of(item.service) is not None and item.data_hall not in self.evacuated
            for item in self.fleet.live()
        )
        live = self.live_routers()
        staying = [router for router in live if router.data_hall not in self.evacuated]
        return pick_placing_routers(staying or live, engines)

    def list_age(self) -> float:
        """Return the age of the list of endpoints in seconds."""
        return monotonic() - self.list_asked_at

    def list_too_old(self, age_s: float) -> bool:
        """Tell whether a list of that age is too old to pass on: leaving endpoints must be known in time."""
        return self.list_lasts_s(age_s) < 0

    def list_lasts_s(self, age_s: float) -> float:
        """Return the seconds until a list of that age is too old to pass on."""
        return self.settings.drain_s * OLD_LIST_SHARE - age_s

    def view_too_old(self, age_s: float) -> bool:
        """Tell whether a view of operators' rows of that age is too old to pass on."""
        return self.view_lasts_s(age_s) < 0

    def view_lasts_s(self, age_s: float) -> float:
        """Return the seconds until a view of operators' rows of that age is too old to pass on."""
        return min(self.settings.apply_s, self.settings.evacuate_s) * OLD_VIEW_SHARE - age_s

    def view_age(self) -> float:
        """Return the age of the configuration's view in seconds."""
        return monotonic() - self.view_asked_at

    def keys_fresh(self) -> bool:
        """Tell whether requests with a key may be sent: the key may have been taken away meanwhile."""
        return self.view_age() < self.settings.freshness.keyed_s

    def ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        known = self.catalog is not None and self.fleet_known
        return known and not self.stopping and self.view_age() < self.settings.freshness.ready_s

    def turns_away(self) -> bool:
        """Tell whether callers should use another box from now on: this one stops, or its view is old."""
        return self.stopping or self.view_age() >= self.settings.freshness.ready_s

    def of(self, endpoint: Endpoint) -> EndpointState:
        """Return the state of an endpoint, a new one where its entry tells of a newer life."""
        held = self.endpoints_by_id.get(endpoint.id)
        if held is None:
            held = self.endpoints_by_id[endpoint.id] = EndpointState(born=endpoint.born)
        elif endpoint.born > held.born:
            return self._new_life(endpoint, held, endpoint.born, "entry")
        return held

    def take_report(self, endpoint: Endpoint, report: EngineReport, now: float) -> None:
        """Take in what an endpoint said of itself. News of a newer life may come so before its entry does: it
        has just started then, and counts as cold."""
        held = self.of(endpoint)
        if 0 < report.born < held.born:
            return
        if report.born > held.born:
            known = held
            held = self._new_life(endpoint, held, report.born, "report")
            if held is not known:
                held.cold_until = now + self.cold_start_s(endpoint.service)
        held.on_report(report, now)

    def cold_start_s(self, service: str) -> float:
        """Return for how many seconds the endpoints of a service are cold after a start."""
        shape = None if self.catalog is None else self.catalog.services_by_id.get(service)
        return 0.0 if shape is None or shape.cold is None else shape.cold.after_start_s

    def _new_life(self, endpoint: Endpoint, held: EndpointState, born: int, source: str) -> EndpointState:
        """Drop all that was believed of an endpoint's last life; return the state of the new one.

        The first birth that is heard of is that of the life which is known already. What is under way at the
        old life goes on counting there.
        """
        if not held.born:
            held.born = born
            return held
        self.holdings.forget(endpoint.address)
        self.log.line(Decision.BORN_ANEW, endpoint=endpoint.id, born=born, before=held.born, source=source)
        anew = EndpointState(born=born, known_since=monotonic())
        self.endpoints_by_id[endpoint.id] = anew
        return anew

    def version_of(self, endpoint: Endpoint, model: str) -> int:
        """Return the version of the weights an endpoint runs: no endpoint ever goes back."""
        state = self.of(endpoint)
        reported = 0 if state.report is None else state.report.versions_by_model.get(model, 0)
        return max(endpoint.versions_by_model.get(model, 0), reported, state.version)

    def note_named(self, model: str, version: int, at: float, source: str) -> None:
        """Note when a version was named; of what several boxes saw, the earliest time counts.

        source: what tells so, for the log.
        """
        history = self.namings_by_model.setdefault(model, VersionHistory())
        before = history.replaced_at(version - 1)
        history.record(version, at)
        after = history.replaced_at(version - 1)
        if after is not None and (before is None or before - after > SAME_NAMING_S):
            age_s = monotonic() - after
            self.log.line(
                Decision.VERSION_NAMED, model=model, version=version, named_s_ago=age_s, source=source
            )

    def last_view_at(self) -> float | None:
        """Return when the last view that is known of was asked for: this box's own, or any box's before it
        started. What the next view shows for the first time was named later."""
        at = max(self.view_asked_at, self.viewed_before_start)
        return at if at > NEVER else None

    def note_view_before_start(self, at: float) -> None:
        """Note when a box last had a view, before this one started: what that one did not show, and our first
        one does, may have been named right after it. Without this, a version that is named while no box runs,
        or right before all are lost, seems younger by the time without boxes."""
        self.viewed_before_start = at
        for model, version in self.named_at_start.items():
            self.note_named(model, version, at, "view before start")

    def saw_named(self, model: str, version: int) -> bool:
        """Tell whether a version came between two views of this box: the first of them tells its age."""
        return self.named_at_start.get(model, 0) < version <= self.named_by_model.get(model, 0)

    def replaced_for_s(self, model: str, version: int) -> float:
        """Return for how long a version has been replaced by newer ones, in seconds; 0 where it has not."""
        if version >= self.named_by_model.get(model, 0):
            return 0.0
        history = self.namings_by_model.get(model)
        replaced_at = None if history is None else history.replaced_at(version)
        return 0.0 if replaced_at is None else monotonic() - replaced_at

    def oldest_replaced_s(self) -> float:
        """Return for how long the oldest weights that an endpoint runs have been replaced, in seconds."""
        ages_s = (
            self.replaced_for_s(model, self.version_of(endpoint, model))
            for endpoint in self.fleet.live()
            for model in endpoint.versions_by_model
        )
        return max(ages_s, default=0.0)

    def too_old(self, model: str, version: int, first_token_s: float = 0.0) -> bool:
        """Tell whether a version was replaced so long ago that a run must not begin on it, with a first token
        that is predicted after `first_token_s`.

        While a box that starts cannot know for how long, any version that was replaced counts as too old.
        """
        if not self.namings_learned:
            return version < self.named_by_model.get(model, 0)
        replaced_s = self.replaced_for_s(model, version)
        begins_s = replaced_s + first_token_s * FIRST_TOKEN_FACTOR
        return replaced_s > 0 and begins_s > self.settings.versions_within_s * TOO_OLD_SHARE

    def budget(self, service: str) -> WindowedRetryBudget:
        """Return the budget for sending a service's requests again."""
        budget = self.budgets_by_service.get(service)
        if budget is None:
            budget = self.budgets_by_service[service] = WindowedRetryBudget(self.settings.repeats)
        return budget

    def take_repeat(self, service: str) -> bool:
        """Spend one repeat of a service's request, if the budget for that permits it."""
        now = monotonic()
        known_s = now - self.boxes_known_at if self.boxes_known_at > NEVER else 0.0
        return self.budget(service).take(now, len(self.boxes), known_s)

    def forget_gone(self) -> None:
        """Drop the state of endpoints that are no longer known, but for what they said that still binds."""
        now = monotonic()
        for endpoint_id in list(self.endpoints_by_id):
            state = self.endpoints_by_id[endpoint_id]
            if endpoint_id not in self.fleet.by_id and state.in_flight == 0 and not state.bound(now):
                del self.endpoints_by_id[endpoint_id]
                self.limited.discard(endpoint_id)
                self.resting.discard(endpoint_id)
