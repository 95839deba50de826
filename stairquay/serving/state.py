"""The shared state of a box: configuration, endpoints, other boxes and cached context."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import lru_cache
from math import inf

from stairquay.adapters.clock import monotonic
from stairquay.adapters.shutdown import Shutdown
from stairquay.core.absence import RefusedConnections
from stairquay.core.budget import WindowedRetryBudget
from stairquay.core.buffers import BufferBudget
from stairquay.core.catalog import Catalog, CatalogVersion
from stairquay.core.client_memory import ClientMemory
from stairquay.core.fleet import Endpoint, Fleet
from stairquay.core.handover import Handovers
from stairquay.core.helpers import Helpers
from stairquay.core.holdings import Holdings
from stairquay.core.limits import LimitReport
from stairquay.core.overload import BoxLoad
from stairquay.core.position import Position
from stairquay.core.reach import Reach
from stairquay.core.routers import Member, capacity, pick_followers, pick_placing_routers
from stairquay.core.shutdown import shutdown_times
from stairquay.core.software import SoftwareHistory
from stairquay.core.stream_origins import StreamOrigins
from stairquay.core.version_views import VersionViews
from stairquay.core.versions import VersionHistory
from stairquay.serving.change_notifier import ChangeNotifier
from stairquay.serving.endpoint import NEVER, EndpointState
from stairquay.serving.event_log import EventLog, LogEvent
from stairquay.serving.metrics import BoxMetrics
from stairquay.serving.ports import EngineReport
from stairquay.serving.quarantine import Quarantine
from stairquay.serving.settings import BoxSettings

VERSION_DEADLINE_SHARE = 0.95
"""Share of a version's rollout time after which no request may start on an older one; the rest covers the
request's way."""

FIRST_TOKEN_MARGIN = 2.0
"""Factor by which a first token may come later than predicted. Engines with less than half of the assumed
prefill speed take 1.6 to 2.0 times the prediction at the median, until their speed is learned."""

CLOCK_TOLERANCE_S = 0.25
"""Seconds by which boxes' times of a target version may differ without a log line. Clocks are compared over
the network, and views are requested a few times a second."""

MAX_VIEW_AGE_SHARE = 0.45
"""Share of the time limit for applying changes up to which a router's view is used; the rest leaves time to
ask the table service. A box whose router falls silent waits for 0.4 of the time limit first."""

MAX_LIST_AGE_SHARE = 0.5
"""Share of the drain time up to which a router's list of endpoints is used."""

MAX_CRASH_ROWS_WAIT_S = 2.0
"""Seconds from the first configuration for which a box that has just started takes no requests until it knows
the crashes that other boxes reported."""

RESTORE_GRACE_S = 2.0
"""Seconds after a restore of the table service in which operators repeat writes that were lost. A snapshot of
their rows that was read in that time takes nothing back."""

MAX_CLOCK_LAG_S = 0.5
"""Seconds by which this box's view of the endpoints' clock may be behind: the way of the answer that told it,
and the time until a busy box reads that. A process takes longer to end and to start again."""

AFTER_PAUSE_S = 0.3
"""Seconds after a pause within which a stop signal may have come in it: another thread may take the signal,
which tells the one with the event loop a moment later."""

MAX_PAUSE_SHARE = 0.5
"""Share of the grace time for which a process may have stood still at a stop signal, at most: with less time
left, requests in progress would be ended in vain where the signal came late in the pause."""

MAX_ANSWER_BYTES = 64_000_000
"""Bytes that all incomplete answers may take together."""

ANSWER_MEMORY_SHARE = 0.15
"""The same, as a share of the box's memory. A quarter is for request bodies."""


@lru_cache
def _without(boxes: tuple[str, ...], gone: frozenset[str]) -> tuple[str, ...]:
    """Return the boxes that are not gone; brittle endpoints ask for them with each request."""
    return tuple(box for box in boxes if box not in gone)


@dataclass
class BoxState:
    """State shared by all parts of a box; they run on one event loop, so nothing is locked."""

    settings: BoxSettings
    log: EventLog
    metrics: BoxMetrics = field(default_factory=BoxMetrics)
    catalog: Catalog | None = None
    # When the newest configuration was requested, and when the first one was there.
    view_asked_at: float = NEVER
    first_view_at: float = NEVER
    fleet: Fleet = field(default_factory=Fleet)
    fleet_known: bool = False
    # When any box last requested a view before this one started.
    last_view_before_start: float = NEVER
    # Target versions in this box's first view.
    target_versions_at_start: dict[str, int] = field(default_factory=dict)
    # Whether other boxes' rows, which tell when versions became the target, were read.
    version_history_known: bool = False
    # Newest target versions that this box has seen.
    target_version_by_model: dict[str, int] = field(default_factory=dict)
    version_history_by_model: dict[str, VersionHistory] = field(default_factory=dict)
    # What this process has itself seen of target versions.
    version_views: VersionViews = field(default_factory=VersionViews)
    endpoints_by_id: dict[str, EndpointState] = field(default_factory=dict)
    # Called with an endpoint's id and start time for each incarnation that this box learns of.
    incarnation_listeners: list[Callable[[str, int], None]] = field(default_factory=list)
    holdings: Holdings = field(default_factory=Holdings)
    # The versions of endpoints' software, and the streams that callers may take up again.
    software: SoftwareHistory = field(default_factory=SoftwareHistory)
    origins: StreamOrigins = field(default_factory=StreamOrigins)
    # What tells each start of a router from the one before.
    starts_by_router: dict[str, str] = field(default_factory=dict)
    retry_budgets_by_service: dict[str, WindowedRetryBudget] = field(default_factory=dict)
    # Ids of boxes believed alive.
    boxes: tuple[str, ...] = ()
    boxes_known_at: float = NEVER
    # By when an earlier process of this box had ended, if there was one.
    predecessor_ended_by: float = NEVER
    # The other boxes believed alive, as their rows tell of them.
    other_boxes: tuple[Member, ...] = ()
    # When this box last read a list of boxes that differs from the one before.
    boxes_changed_at: float = NEVER
    # Boxes that refuse connections although their rows are not old yet.
    refused_connections: RefusedConnections = field(default_factory=RefusedConnections)
    # When this box last asked for the rows that it has.
    rows_asked_at: float = inf
    # Rows are wanted that were asked for after this time.
    rows_wanted_at: float = NEVER
    # When this box last wrote its row, and the seconds after which others may count it as gone.
    row_written_at: float = NEVER
    row_valid_s: float = inf
    # From when all others count this box: `inf` before it has read the rows after writing its own.
    counted_from: float = NEVER
    # Where other live boxes take callers' requests, by id.
    fronts_by_box: dict[str, str] = field(default_factory=dict)
    # Era of the table service, 0 until it has answered; when this box first saw it, and whether that was at a
    # restore.
    era: int = 0
    era_since: float = NEVER
    restored_at: float = NEVER
    # Position up to which the view of the configuration is complete, and that of its last change.
    operators_position: Position = Position()
    operators_changed_position: Position = Position()
    # When the last snapshot of operators' rows was requested, or a router's view of them.
    operators_snapshot_at: float = NEVER
    # Era in which the table service last returned the configuration in force.
    catalog_era: int = 0
    # When the newest list of endpoints was requested.
    list_asked_at: float = NEVER
    # When the table service last gave no answer about the list.
    list_unreachable_at: float = NEVER
    # Whether a router forwarded the newest list.
    list_from_router: bool = False
    # Position up to which the list is complete, and that of its last change.
    list_position: Position = Position()
    list_changed_position: Position = Position()
    # Boxes that route prompts for all boxes.
    routers: tuple[Member, ...] = ()
    # Ids of engines that this box routes for.
    routed_engines: frozenset[str] = frozenset()
    handovers: Handovers = field(default_factory=Handovers)
    # Latest retry time given to a refused caller.
    retry_at_by_service: dict[str, float] = field(default_factory=dict)
    # Routers that recently did not answer.
    suspected_until_by_id: dict[str, float] = field(default_factory=dict)
    # Ids of endpoints that have reported a rate limit, also if it has ended.
    limited: set[str] = field(default_factory=set)
    # The newest statement of any of a service's endpoints of the rejections a second that it bears.
    tolerance_by_service: dict[str, LimitReport] = field(default_factory=dict)
    # Ids of endpoints that asked this box to back off.
    backing_off: set[str] = field(default_factory=set)
    # Data halls that get no new work, as of a position of the configuration.
    evacuated: frozenset[str] = frozenset()
    evacuated_position: Position = Position()
    evacuation_ended_at_by_hall: dict[str, float] = field(default_factory=dict)
    # Ids of malformed list entries.
    unreadable: set[str] = field(default_factory=set)
    # The endpoints' clock minus this box's.
    clock_offset_ms: float | None = None
    in_flight: int = 0
    load: BoxLoad = field(default_factory=BoxLoad)
    # Notified when a request arrives while none is in progress.
    load_wakeup: ChangeNotifier = field(default_factory=ChangeNotifier)
    # Routers that recently said that they are late.
    late_until_by_router: dict[str, float] = field(default_factory=dict)
    # What this box's connections show of the endpoints of each service.
    reach_by_service: dict[str, Reach] = field(default_factory=dict)
    # Services none of whose endpoints this box reaches, as far as it knows.
    lost_services: set[str] = field(default_factory=set)
    # What this box knows of other boxes' ways to the endpoints of each service.
    helpers_by_service: dict[str, Helpers] = field(default_factory=dict)
    # Notified when `lost_services` changes.
    reach_changed: ChangeNotifier = field(default_factory=ChangeNotifier)
    # Of the requests in flight, those that still wait for their bodies.
    awaiting_bodies: int = 0
    # Of what clients' requests take until they are answered.
    client_memory: ClientMemory = field(default_factory=ClientMemory)
    # Of what this box keeps of incomplete answers.
    answer_buffers: BufferBudget = field(default_factory=lambda: BufferBudget(MAX_ANSWER_BYTES))
    shutdown: Shutdown = field(default_factory=Shutdown)
    # When the next tick of the event loop is due that measures its lateness; infinite while there is none.
    tick_due_at: float = inf
    # The last time in which this process may have stood still.
    paused_from: float = inf
    paused_until: float = NEVER
    # Notified when views, routers or their suspicion change, an endpoint is marked as leaving, routers start
    # or stop reporting crashes, and on stop.
    changed: ChangeNotifier = field(default_factory=ChangeNotifier)
    quarantine: Quarantine = field(init=False)

    def __post_init__(self) -> None:
        """Create the quarantine, which needs the log, and bound the answers by the box's memory."""
        self.quarantine = Quarantine(self.log)
        self.client_memory.limit_by(self.settings.memory_mb)
        if self.settings.memory_mb:
            share = int(self.settings.memory_mb * 1_000_000 * ANSWER_MEMORY_SHARE)
            self.answer_buffers.max_bytes = min(MAX_ANSWER_BYTES, share)

    def use_settings(self, settings: BoxSettings) -> None:
        """Apply changed settings; addresses take effect at the next start."""
        self.version_views.observe_term(self.settings.versions_within_s)
        self.settings = settings
        self.client_memory.limit_by(settings.memory_mb)
        for budget in self.retry_budgets_by_service.values():
            budget.use_allowance(settings.repeats)

    @property
    def is_router(self) -> bool:
        """Tell whether this box routes prompts for all boxes."""
        return any(router.id == self.settings.id for router in self.routers)

    @property
    def is_follower(self) -> bool:
        """Tell whether this box follows the table service for all boxes."""
        return any(router.id == self.settings.id for router in self.following_routers())

    @property
    def member(self) -> Member:
        """Return this box as other boxes see it."""
        settings = self.settings
        box_capacity = capacity(settings.cores, settings.link_mbps)
        return Member(settings.id, settings.peer_address, box_capacity, settings.data_hall, settings.front)

    def observe_era(self, position: Position) -> None:
        """Record the era of a position that was read; a later one than known means a restore."""
        if position.era <= self.era:
            return
        before = max(self.operators_position, self.list_position)
        restored = self.era > 0
        self.era, self.era_since = position.era, monotonic()
        self.metrics.era.set(position.era)
        if not restored:
            return
        self.restored_at = self.era_since
        self.metrics.restores.inc()
        self.log.line(
            LogEvent.DEPENDENCY,
            name="table service",
            outcome="restored",
            era=position.era,
            revision=position.revision,
            era_before=before.era,
            revision_before=before.revision,
        )
        self.quarantine.republish()

    def in_restore_grace(self) -> bool:
        """Tell whether the table service may still lack rows that are about to be written again."""
        return monotonic() - self.restored_at < RESTORE_GRACE_S

    def suspect(self, router: str, for_s: float) -> None:
        """Skip a router that did not answer, for a number of seconds."""
        now = monotonic()
        known = self.suspected_until_by_id.get(router, NEVER) > now
        self.suspected_until_by_id[router] = now + for_s
        if not known:
            self.changed.notify_all()

    def is_suspected(self, router: str) -> bool:
        """Tell whether a router did not answer lately."""
        return self.suspected_until_by_id.get(router, NEVER) > monotonic()

    def live_routers(self) -> list[Member]:
        """Return the routers that are not suspected; this box never suspects itself."""
        now = monotonic()
        return [item for item in self.routers if self.suspected_until_by_id.get(item.id, NEVER) <= now]

    def following_routers(self) -> list[Member]:
        """Return the routers that currently follow the table service."""
        return pick_followers(self.live_routers())

    def placing_routers(self) -> list[Member]:
        """Return the routers that place prompts now, as many as the engines warrant.

        Those in evacuated data halls are used only if there are no others.
        """
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

    def list_expired(self, age_s: float) -> bool:
        """Tell whether a list of endpoints of that age is too old to forward."""
        return self.list_valid_for_s(age_s) < 0

    def list_valid_for_s(self, age_s: float) -> float:
        """Return the seconds until a list of endpoints of that age expires."""
        return self.settings.drain_s * MAX_LIST_AGE_SHARE - age_s

    def view_expired(self, age_s: float) -> bool:
        """Tell whether operators' rows of that age are too old to forward."""
        return self.view_valid_for_s(age_s) < 0

    def view_valid_for_s(self, age_s: float) -> float:
        """Return the seconds until operators' rows of that age expire."""
        return min(self.settings.apply_s, self.settings.evacuate_s) * MAX_VIEW_AGE_SHARE - age_s

    def view_age(self) -> float:
        """Return the age of the configuration in seconds."""
        return monotonic() - self.view_asked_at

    @property
    def catalog_version(self) -> CatalogVersion | None:
        """Return which configuration is in force, None before the first."""
        return None if self.catalog is None else CatalogVersion(self.catalog_era, self.catalog.version)

    def keys_fresh(self) -> bool:
        """Tell whether requests with a key may be sent, that is, a revoked key would be known."""
        return self.view_age() < self.settings.freshness.keyed_s

    def crashes_known(self) -> bool:
        """Tell whether crashes that other boxes reported are known, or were waited for long enough."""
        waited_s = monotonic() - self.first_view_at
        return self.quarantine.informed or waited_s > MAX_CRASH_ROWS_WAIT_S

    def ready(self) -> bool:
        """Tell whether the load balancer should send callers here."""
        known = self.catalog is not None and self.fleet_known and self.crashes_known()
        return known and not self.should_close_connections() and self.load.ready(monotonic())

    def begin_shutdown(self, handled_at: float) -> None:
        """Begin to stop, on the first stop signal.

        If a tick is overdue, or was until just now, the process may have stood still, and the signal may have
        come as that began.
        """
        grace_s = self.settings.stop_s
        earliest = handled_at - grace_s * MAX_PAUSE_SHARE
        paused = handled_at - self.paused_until < AFTER_PAUSE_S
        signalled_at = max(
            earliest, min(handled_at, self.tick_due_at, self.paused_from if paused else handled_at)
        )
        self.shutdown.begin(shutdown_times(signalled_at, grace_s))

    @property
    def stopping(self) -> bool:
        """Tell whether this box has got the stop signal."""
        return self.shutdown.times is not None

    def should_close_connections(self) -> bool:
        """Tell whether callers should move to another box."""
        return self.stopping or self.view_age() >= self.settings.freshness.ready_s

    def is_cut_from(self, service: str) -> bool:
        """Tell whether it is this box that does not reach a service: another box has reached it lately."""
        if service not in self.lost_services:
            return False
        helpers = self.helpers_by_service.get(service)
        return helpers is not None and helpers.has_helped(monotonic())

    def endpoint_state(self, endpoint: Endpoint) -> EndpointState:
        """Return the state of an endpoint, a new one if its entry shows a newer incarnation."""
        endpoint_state = self.endpoints_by_id.get(endpoint.id)
        if endpoint_state is None:
            endpoint_state = self.endpoints_by_id[endpoint.id] = EndpointState(born=endpoint.born)
            self._announce_incarnation(endpoint.id, endpoint.born)
        elif endpoint.born > endpoint_state.born:
            return self._reset_endpoint(endpoint, endpoint_state, endpoint.born, "entry")
        return endpoint_state

    def apply_report(
        self, endpoint: Endpoint, report: EngineReport, now: float, asked_at: float | None = None
    ) -> None:
        """Record a report, unless it is of an older incarnation; a newer one counts as cold.

        The report of a new incarnation may arrive before its entry, so the endpoint has just started.
        """
        if 0 < report.born < self.endpoint_state(endpoint).born:
            return
        self.learn_start(endpoint, report.born, now, "report")
        endpoint_state = self.endpoint_state(endpoint)
        before = {model: endpoint_state.version_of(endpoint, model) for model in report.versions_by_model}
        endpoint_state.on_report(report, now, asked_at)
        if any(endpoint_state.version_of(endpoint, model) < version for model, version in before.items()):
            # It may have to be updated again.
            self.changed.notify_all()

    def learn_start(self, endpoint: Endpoint, born: int, now: float, source: str) -> None:
        """Record a start of an endpoint that its entry may not tell of yet, 0 for unknown."""
        known = self.endpoint_state(endpoint)
        if born <= known.born:
            return
        endpoint_state = self._reset_endpoint(endpoint, known, born, source)
        if endpoint_state is not known:
            endpoint_state.cold_until = now + self.cold_start_s(endpoint.service)

    def is_entry_outdated(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint is known to have started since it wrote this entry.

        Until it has written one in its new life, the version of its software is not known.
        """
        known = self.endpoints_by_id.get(endpoint.id)
        return known is not None and 0 < endpoint.born < known.born

    def cold_start_s(self, service: str) -> float:
        """Return the seconds for which endpoints of a service are cold after a start."""
        spec = None if self.catalog is None else self.catalog.services_by_id.get(service)
        return 0.0 if spec is None or spec.cold is None else spec.cold.after_start_s

    def _reset_endpoint(
        self, endpoint: Endpoint, endpoint_state: EndpointState, born: int, source: str
    ) -> EndpointState:
        """Return the new state of a restarted endpoint; requests in flight keep counting in the old one.

        The first start time that this box learns belongs to the known incarnation.
        """
        if not endpoint_state.born:
            endpoint_state.born = born
            return endpoint_state
        self.holdings.forget(endpoint.address)
        now, started_at = monotonic(), self.started_at(born)
        self.log.line(
            LogEvent.BORN_ANEW,
            endpoint=endpoint.id,
            born=born,
            before=endpoint_state.born,
            source=source,
            started_ago_s=None if started_at == inf else now - started_at,
        )
        new_state = EndpointState(born=born, known_since=now)
        new_state.keep_feedback(endpoint_state, started_at)
        self.endpoints_by_id[endpoint.id] = new_state
        self._announce_incarnation(endpoint.id, born)
        return new_state

    def started_at(self, born: int) -> float:
        """Return the earliest time at which an incarnation may have started, in monotonic seconds; infinite
        where that is not known."""
        if not born or self.clock_offset_ms is None:
            return inf
        return (born - self.clock_offset_ms) / 1000 - MAX_CLOCK_LAG_S

    def _announce_incarnation(self, endpoint_id: str, born: int) -> None:
        for listener in self.incarnation_listeners:
            listener(endpoint_id, born)

    def version_of(self, endpoint: Endpoint, model: str) -> int:
        """Return the version of a model's weights that an endpoint runs."""
        return self.endpoint_state(endpoint).version_of(endpoint, model)

    def record_target_version(self, model: str, version: int, at: float, source: str) -> None:
        """Record when a version became the target; the earliest time that any box saw counts."""
        history = self.version_history_by_model.setdefault(model, VersionHistory())
        before = history.replaced_at(version - 1)
        history.record(version, at)
        after = history.replaced_at(version - 1)
        if after is not None and (before is None or before - after > CLOCK_TOLERANCE_S):
            age_s = monotonic() - after
            self.log.line(
                LogEvent.VERSION_NAMED, model=model, version=version, named_s_ago=age_s, source=source
            )

    def last_view_at(self) -> float | None:
        """Return when the last known view was requested, by this box or, before it started, by any box."""
        at = max(self.view_asked_at, self.last_view_before_start)
        return at if at > NEVER else None

    def record_view_before_start(self, at: float) -> None:
        """Record when any box last requested a view before this one started.

        Versions first seen in this box's first view may have become the target right after that.
        """
        self.last_view_before_start = at
        for model, version in self.target_versions_at_start.items():
            self.record_target_version(model, version, at, "view before start")

    def saw_version_change(self, model: str, version: int) -> bool:
        """Tell whether a version became the target between two views of this box."""
        return (
            self.target_versions_at_start.get(model, 0)
            < version
            <= self.target_version_by_model.get(model, 0)
        )

    def replaced_for_s(self, model: str, version: int) -> float:
        """Return the seconds since a newer version became the target, 0 if there is none."""
        if version >= self.target_version_by_model.get(model, 0):
            return 0.0
        history = self.version_history_by_model.get(model)
        replaced_at = None if history is None else history.replaced_at(version)
        return 0.0 if replaced_at is None else monotonic() - replaced_at

    def oldest_replaced_s(self) -> float:
        """Return the seconds since the oldest version that an endpoint runs was replaced."""
        ages_s = (
            self.replaced_for_s(model, self.version_of(endpoint, model))
            for endpoint in self.fleet.live()
            for model in endpoint.versions_by_model
        )
        return max(ages_s, default=0.0)

    def version_too_old(self, model: str, version: int, first_token_s: float = 0.0) -> bool:
        """Tell whether a run must not start on a version, given the predicted seconds to its first token.

        Until the version history is known, every replaced version counts as too old.
        """
        if not self.version_history_known:
            return version < self.target_version_by_model.get(model, 0)
        replaced_s = self.replaced_for_s(model, version)
        begins_s = replaced_s + first_token_s * FIRST_TOKEN_MARGIN
        return replaced_s > 0 and begins_s > self.settings.versions_within_s * VERSION_DEADLINE_SHARE

    def retry_budget(self, service: str) -> WindowedRetryBudget:
        """Return the retry budget of a service."""
        budget = self.retry_budgets_by_service.get(service)
        if budget is None:
            budget = self.retry_budgets_by_service[service] = WindowedRetryBudget(self.settings.repeats)
        return budget

    def take_retry(self, service: str) -> bool:
        """Spend one retry of a service's budget, if it permits."""
        now = monotonic()
        unread = self.unread_repeats(service, now)
        return self.retry_budget(service).take(now, len(self.boxes), self.known_boxes_for_s(now), unread)

    def unread_repeats(self, service: str, now: float) -> list[float]:
        """Return when repeats were sent that a service's endpoints may not have read yet."""
        return [
            at
            for endpoint in self.fleet.by_id.values()
            if endpoint.service == service
            for at in self.endpoint_state(endpoint).silence.unread_repeats(now)
        ]

    def boxes_not_gone(self, now: float) -> tuple[str, ...]:
        """Return the boxes believed alive, without those that refuse connections."""
        gone = self.refused_connections.gone(now)
        return _without(self.boxes, gone) if gone else self.boxes

    def boxes_settled(self, now: float) -> bool:
        """Tell whether all others should have the list of boxes that this one has."""
        return now - self.boxes_changed_at >= self.row_valid_s

    def known_boxes_for_s(self, now: float) -> float:
        """Return the seconds since this box knows the number of boxes.

        It is 0 if others may not count this box, and if it may not count others that came since.
        """
        rows_too_old = now - self.rows_asked_at >= self.row_valid_s
        if self.boxes_known_at == NEVER or rows_too_old or not self.is_row_valid(now):
            return 0.0
        return max(0.0, now - max(self.boxes_known_at, self.counted_from))

    def is_row_valid(self, now: float) -> bool:
        """Tell whether others still count this box by its row, as far as it has written one."""
        return self.row_written_at == NEVER or now - self.row_written_at < self.row_valid_s

    def drop_removed_endpoints(self) -> None:
        """Drop the state of unlisted endpoints without active limits or requests."""
        now = monotonic()
        for endpoint_id in list(self.endpoints_by_id):
            state = self.endpoints_by_id[endpoint_id]
            if (
                endpoint_id not in self.fleet.by_id
                and state.in_flight == 0
                and not state.has_active_limits(now)
            ):
                del self.endpoints_by_id[endpoint_id]
                self.limited.discard(endpoint_id)
                self.backing_off.discard(endpoint_id)
