"""Follows the configuration and the list of endpoints in the table service by long polling."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from result import Err, Result

from stairquay.adapters.clock import monotonic
from stairquay.core.catalog import Catalog
from stairquay.core.fleet import Endpoint
from stairquay.core.position import NO_POSITION, Position
from stairquay.serving.cold import cold_for_s
from stairquay.serving.context_lifetime import observe_versions
from stairquay.serving.endpoint import NEVER
from stairquay.serving.evacuation import apply_evacuations
from stairquay.serving.event_log import LogEvent
from stairquay.serving.ports import EndpointChanges, FeedFault, Feeds, OperatorChanges
from stairquay.serving.state import RESTORE_GRACE_S, BoxState

Changes = TypeVar("Changes", OperatorChanges, EndpointChanges)

LONG_POLL_S = 0.7
"""Bounds the age of a box's view, which must not expire when one answer is lost."""

ROUTER_LONG_POLL_S = 0.35
"""Shorter for a router, since it forwards its view."""

RETRY_S = 0.25

ROUTED_RETRY_S = 1.0
"""Longer for a box that asks routers first, which retry sooner themselves."""

MAX_QUICK_RETRIES = 2
"""Failed calls in a row before ROUTED_RETRY_S applies. With fewer, a change could become known too late."""

LIST_SNAPSHOT_INTERVAL_S = 4.0
"""Longest time between snapshots of the list of endpoints. Entries that expired during an outage of the table
service may return without a change in the feed. Routers read snapshots for the boxes that use their list.
With snapshots of their own, which no router holds back, each of those boxes would call some hundred times a
second while entries are missing."""

OPERATORS_SNAPSHOT_INTERVAL_S = 8.0
"""Twice LIST_SNAPSHOT_INTERVAL_S, since calls to the table service are billed."""

MAX_LIST_GAP_S = 2.0
"""Seconds between two lists of endpoints within which no version of their software comes and goes unseen:
endpoints serve for longer. The list is usually read twice in that time."""

LIST_PAUSE_S = 0.6
"""Pause between calls for the list, which changes with every heartbeat; calls are billed. Far below
`BoxSettings.drain_s`, after which no new work may go to a leaving endpoint."""

ROUTER_LIST_PAUSE_S = 0.2


async def follow_operators(state: BoxState, feeds: Feeds) -> None:
    """Keep the configuration and the target versions up to date."""

    def apply(changes: OperatorChanges, asked_at: float) -> None:
        apply_operators(state, changes, asked_at)

    await _follow(
        state,
        Feed(
            name="operators",
            read=feeds.read_operators,
            follow=feeds.follow_operators,
            apply=apply,
            on_unreachable=lambda: None,
            snapshot_needed=lambda: _operators_provisional(state),
            snapshot_interval_s=OPERATORS_SNAPSHOT_INTERVAL_S,
            pause_s=lambda: 0.0,
        ),
    )


async def follow_endpoints(state: BoxState, feeds: Feeds) -> None:
    """Keep the list of endpoints up to date."""

    def apply(changes: EndpointChanges, asked_at: float) -> None:
        apply_endpoints(state, changes, asked_at)

    def on_unreachable() -> None:
        state.list_unreachable_at = monotonic()

    await _follow(
        state,
        Feed(
            name="endpoints",
            read=feeds.read_endpoints,
            follow=feeds.follow_endpoints,
            apply=apply,
            on_unreachable=on_unreachable,
            snapshot_needed=lambda: bool(state.fleet.missing_since_by_id) and not state.list_from_router,
            snapshot_interval_s=LIST_SNAPSHOT_INTERVAL_S,
            pause_s=lambda: _list_pause_s(state),
        ),
    )


@dataclass(frozen=True)
class Feed(Generic[Changes]):
    """A feed of the table service, and how to follow it.

    apply: takes the changes and when they were requested. snapshot_needed: tells whether to read a snapshot
    before snapshot_interval_s is over.
    """

    name: str
    read: Callable[[], Awaitable[Result[Changes, FeedFault]]]
    follow: Callable[[Position, float], Awaitable[Result[Changes, FeedFault]]]
    apply: Callable[[Changes, float], None]
    on_unreachable: Callable[[], None]
    snapshot_needed: Callable[[], bool]
    snapshot_interval_s: float
    pause_s: Callable[[], float]


async def _follow(state: BoxState, feed: Feed[Changes]) -> None:
    """Read a snapshot, then follow changes, with further snapshots."""
    position = NO_POSITION
    snapshot_at = float("-inf")
    lost = False
    failures = 0
    while True:
        asked_at = monotonic()
        whole = (
            position == NO_POSITION
            or feed.snapshot_needed()
            or asked_at - snapshot_at > feed.snapshot_interval_s
        )
        wait_s = ROUTER_LONG_POLL_S if state.is_follower else LONG_POLL_S
        answer = await (feed.read() if whole else feed.follow(position, wait_s))
        outcome = answer.err_value.value if isinstance(answer, Err) else "ok"
        state.metrics.table_calls.labels(feed.name, outcome).inc()
        if isinstance(answer, Err):
            if answer.err_value == FeedFault.HISTORY_GONE:
                position = NO_POSITION
                continue
            feed.on_unreachable()
            lost = _log_lost(state, feed.name, lost)
            failures += 1
            await asyncio.sleep(retry_pause_s(state, failures))
            continue
        failures = 0
        lost = _log_regained(state, feed.name, lost)
        feed.apply(answer.ok_value, asked_at)
        position = answer.ok_value.position
        snapshot_at = asked_at if whole else snapshot_at
        await asyncio.sleep(feed.pause_s())


def retry_pause_s(state: BoxState, failures: int) -> float:
    """Return the pause after so many failed calls in a row."""
    uses_routers = bool(state.routers) and not state.is_follower
    return ROUTED_RETRY_S if uses_routers and failures > MAX_QUICK_RETRIES else RETRY_S


def _list_pause_s(state: BoxState) -> float:
    """Return the pause before the list is read again, 0 where a router is asked, which holds the request."""
    if state.list_from_router:
        return 0.0
    return ROUTER_LIST_PAUSE_S if state.is_follower else LIST_PAUSE_S


def apply_operators(state: BoxState, changes: OperatorChanges, asked_at: float) -> None:
    """Apply a newer configuration, and record new target versions. A view of an earlier era is ignored."""
    if changes.era < state.operators_position.era:
        return
    state.observe_era(changes.position)
    if changes.unreadable:
        state.log.line(LogEvent.CONFIGURATION, outcome="kept", unreadable=changes.unreadable)
    before = _operators_state(state)
    apply_evacuations(state, changes)
    if changes.catalog is not None:
        _apply_catalog(state, changes.catalog, changes)
    if state.view_asked_at == NEVER:
        state.first_view_at = monotonic()
        state.target_versions_at_start = dict(changes.versions_by_model)
    # A version may have been set right after the last view without it was requested.
    last_view_at = state.last_view_at()
    named_at = monotonic() if last_view_at is None else last_view_at
    for model, version in changes.versions_by_model.items():
        if version > state.target_version_by_model.get(model, 0):
            state.target_version_by_model[model] = version
            state.record_target_version(model, version, named_at, "operators")
    observe_versions(state, asked_at - changes.behind_s, monotonic())
    after = _operators_state(state)
    # Boxes that know an earlier era have to get all of this one.
    if before != after or changes.era > state.operators_position.era:
        state.operators_changed_position = changes.position
    state.operators_position = changes.position
    if changes.whole or changes.forwarded:
        state.operators_snapshot_at = asked_at
    state.view_asked_at = max(state.view_asked_at, asked_at - changes.behind_s)
    if before != after:
        state.changed.notify_all()


def _operators_provisional(state: BoxState) -> bool:
    """Tell whether the last snapshot was read shortly after a restore, and may be complete by now."""
    return state.operators_snapshot_at < state.restored_at + RESTORE_GRACE_S and not state.in_restore_grace()


def _operators_state(state: BoxState) -> tuple[Catalog | None, int, dict[str, int], frozenset[str]]:
    return state.catalog, state.catalog_era, dict(state.target_version_by_model), state.evacuated


def _supersedes(state: BoxState, catalog: Catalog, changes: OperatorChanges) -> bool:
    """Tell whether a configuration that was read replaces the one in force.

    Operators' version numbers rise, except that they may be issued again after a restore of the table
    service. There, an older one is held back for as long as the newest may have to be written again.
    """
    previous = state.catalog
    if previous is None or catalog.version > previous.version:
        return True
    if _catalog_era(changes) <= state.catalog_era or catalog == previous:
        return False
    return catalog.version == previous.version or changes.forwarded or not state.in_restore_grace()


def _catalog_era(changes: OperatorChanges) -> int:
    """Return the era of a configuration that was read.

    A router may hold one back that the table service has lost in a restore. One of an earlier release doesn't
    tell, and its configuration counts as one of the era of its view.
    """
    return changes.catalog_era or changes.era


def _apply_catalog(state: BoxState, catalog: Catalog, changes: OperatorChanges) -> None:
    previous = state.catalog
    if not _supersedes(state, catalog, changes):
        if catalog == previous:
            state.catalog_era = max(state.catalog_era, _catalog_era(changes))
        return
    state.catalog, state.catalog_era = catalog, _catalog_era(changes)
    state.log.line(
        LogEvent.CONFIGURATION,
        outcome="in_force",
        version=catalog.version,
        before=0 if previous is None else previous.version,
        routes=len(catalog.routes),
        homes_not_honoured=catalog.region_restricted,
        keys=len(catalog.workspaces_by_key),
    )


def apply_endpoints(state: BoxState, changes: EndpointChanges, asked_at: float) -> None:
    """Apply changes of the list, and log those of an endpoint's status.

    A view of an earlier era is ignored.
    """
    if changes.era < state.list_position.era:
        return
    state.observe_era(changes.position)
    affected = _affected_ids(state, changes)
    before, live_before = _status_by_id(state, affected), _live_by_id(state, affected)
    now = monotonic()
    earliest_removal = _earliest_removal(state, changes, now)
    if changes.whole:
        state.fleet.apply_snapshot(changes.present, now, earliest_removal)
    else:
        state.fleet.apply(changes.present, changes.gone, now, earliest_removal)
    listed_before_at, state.list_asked_at = state.list_asked_at, asked_at - changes.behind_s
    if state.list_asked_at - listed_before_at > MAX_LIST_GAP_S:
        state.software.on_gap(now)
    changed = not state.fleet_known or _live_by_id(state, affected) != live_before
    if changed:
        state.software.observe(state.fleet.by_id.values(), now)
    # Boxes that know an earlier era have to get all of this one.
    if changed or changes.era > state.list_position.era:
        state.list_changed_position = changes.position
    state.list_position = changes.position
    state.fleet_known = True
    state.drop_removed_endpoints()
    _apply_cold(state, changes, now)
    _report_unreadable(state, changes)
    if state.list_changed_position == state.list_position:
        state.changed.notify_all()
    after = _status_by_id(state, affected)
    for endpoint_id, status in after.items():
        if before.get(endpoint_id) != status:
            software = {"software": version} if (version := state.fleet.by_id[endpoint_id].software) else {}
            state.log.line(
                LogEvent.ENDPOINTS,
                endpoint=endpoint_id,
                standing=status,
                revision=changes.revision,
                **software,
            )
    for endpoint_id in before.keys() - after.keys():
        state.log.line(LogEvent.ENDPOINTS, endpoint=endpoint_id, standing="gone", revision=changes.revision)


def _apply_cold(state: BoxState, changes: EndpointChanges, now: float) -> None:
    for endpoint in changes.present:
        endpoint_state = state.endpoint_state(endpoint)
        if endpoint.born >= endpoint_state.born:
            endpoint_state.cold_until = now + endpoint.cold_s if endpoint.cold else NEVER


def _report_unreadable(state: BoxState, changes: EndpointChanges) -> None:
    """Log and count invalid entries, each once until it is valid or gone."""
    if changes.whole:
        state.unreadable &= changes.unreadable.keys()
    for endpoint_id, why in changes.unreadable.items():
        if endpoint_id not in state.unreadable:
            state.unreadable.add(endpoint_id)
            state.metrics.unreadable_entries.inc()
            state.log.line(LogEvent.ENDPOINTS, endpoint=endpoint_id, standing="unreadable", detail=why)
    state.unreadable.difference_update(item.id for item in changes.present)


def _earliest_removal(state: BoxState, changes: EndpointChanges, now: float) -> float:
    """Return the earliest time at which entries missing from a new view can have been removed.

    That is when the last view was requested. After an outage or a restore of the table service it is now,
    since entries may just have expired or been lost, and would else all be dropped at once; a router without
    an answer is no outage.
    """
    outage = state.list_unreachable_at > state.list_asked_at
    return now if outage or changes.era > state.list_position.era else state.list_asked_at


def _affected_ids(state: BoxState, changes: EndpointChanges) -> set[str]:
    """Return the endpoints whose status can change with these changes, few of all in most cases.

    The time of a missing one may be over.
    """
    ids = {item.id for item in changes.present}
    ids.update(changes.gone, state.fleet.missing_since_by_id)
    if changes.whole:
        ids.update(state.fleet.by_id)
    return ids


def _live_by_id(state: BoxState, ids: set[str]) -> dict[str, Endpoint]:
    fleet = state.fleet
    missing = fleet.missing_since_by_id
    return {key: fleet.by_id[key] for key in ids if key in fleet.by_id and key not in missing}


def _status_by_id(state: BoxState, ids: set[str]) -> dict[str, str]:
    fleet, now = state.fleet, monotonic()
    status_by_id = {}
    for key in ids:
        endpoint = fleet.by_id.get(key)
        if endpoint is None:
            continue
        if key in fleet.missing_since_by_id:
            status_by_id[key] = "missing"
        elif endpoint.leaving:
            status_by_id[key] = "leaving"
        else:
            status_by_id[key] = "cold" if cold_for_s(state, endpoint, now) > 0 else "usable"
    return status_by_id


def _log_lost(state: BoxState, name: str, lost: bool) -> bool:
    if not lost:
        state.log.line(LogEvent.DEPENDENCY, name=name, outcome="lost", view_age_s=state.view_age())
    return True


def _log_regained(state: BoxState, name: str, lost: bool) -> bool:
    if lost:
        state.log.line(LogEvent.DEPENDENCY, name=name, outcome="regained", view_age_s=state.view_age())
    return False
