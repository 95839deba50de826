"""Follows the configuration and the list of endpoints in the table service."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from result import Err, Result

from stairquay.adapters.clock import monotonic
from stairquay.core.catalog import Catalog
from stairquay.serving.cold import cold_for_s
from stairquay.serving.endpoint import NEVER
from stairquay.serving.evacuation import apply_evacuations
from stairquay.serving.event_log import LogEvent
from stairquay.serving.ports import EndpointChanges, FeedFault, Feeds, OperatorChanges
from stairquay.serving.state import BoxState

Changes = TypeVar("Changes", OperatorChanges, EndpointChanges)

WAIT_S = 0.7
"""Seconds for which a call waits for changes: the view's age stays below it while the service answers,
and one lost answer does not make the view too old."""

ROUTER_WAIT_S = 0.35
"""The same for a router, whose view others rest on: it is half as old."""

AGAIN_S = 0.25
"""Seconds before a call that got no answer is made again: calls to a service that is down are priced, too."""

ROUTED_AGAIN_S = 1.0
"""The same for a box that asks routers: they ask again sooner, and it asks them first each time."""

SINGLE_MISSES = 2
"""Calls without an answer after which that longer pause is made; sooner, a change could be known too late."""

LIST_WHOLE_S = 4.0
"""Seconds between two whole reads of the list of endpoints. Entries that lapsed during an outage came back
without a change in the feed, and only whole reads find them; while some are missing, each read is whole. A
router that passes its list on does that for the boxes that ask it: with whole reads of their own, which no
router holds, each of them would ask some hundred times a second."""

OPERATORS_WHOLE_S = 8.0
"""Seconds between two whole reads of operators' rows, twice LIST_WHOLE_S: every call is priced."""

LIST_PAUSE_S = 0.6
"""Seconds between two reads of the list, which changes with every heartbeat: far below the two seconds
in which new work for a leaving endpoint must stop. Every call is priced."""

ROUTER_LIST_PAUSE_S = 0.2
"""Seconds between a router's two reads of the list."""


async def follow_operators(state: BoxState, feeds: Feeds) -> None:
    """Keep the configuration and the named versions up to date."""

    def apply(changes: OperatorChanges, asked_at: float) -> None:
        apply_operators(state, changes, asked_at)

    await _follow(
        state,
        Followed(
            name="operators",
            read=feeds.read_operators,
            follow=feeds.follow_operators,
            apply=apply,
            unreached=lambda: None,
            whole_now=lambda: False,
            whole_s=OPERATORS_WHOLE_S,
            pause_s=lambda: 0.0,
        ),
    )


async def follow_endpoints(state: BoxState, feeds: Feeds) -> None:
    """Keep the list of endpoints up to date."""

    def apply(changes: EndpointChanges, asked_at: float) -> None:
        apply_endpoints(state, changes, asked_at)

    def unreached() -> None:
        state.list_unreachable_at = monotonic()

    await _follow(
        state,
        Followed(
            name="endpoints",
            read=feeds.read_endpoints,
            follow=feeds.follow_endpoints,
            apply=apply,
            unreached=unreached,
            whole_now=lambda: bool(state.fleet.missing_since_by_id) and not state.list_from_router,
            whole_s=LIST_WHOLE_S,
            pause_s=lambda: _list_pause_s(state),
        ),
    )


@dataclass(frozen=True)
class Followed(Generic[Changes]):
    """One thing that is followed in the table service.

    apply takes the changes and when their question was asked. unreached hears that the table service itself
    gave no answer. whole_now tells whether everything has to be read; whole_s is the longest time between two
    such reads, pause_s returns the pause after an answer.
    """

    name: str
    read: Callable[[], Awaitable[Result[Changes, FeedFault]]]
    follow: Callable[[int, float], Awaitable[Result[Changes, FeedFault]]]
    apply: Callable[[Changes, float], None]
    unreached: Callable[[], None]
    whole_now: Callable[[], bool]
    whole_s: float
    pause_s: Callable[[], float]


async def _follow(state: BoxState, followed: Followed[Changes]) -> None:
    """Read everything, then follow its changes; read everything again from time to time."""
    revision: int | None = None
    read_at = float("-inf")
    lost = False
    missed = 0
    while True:
        asked_at = monotonic()
        whole = revision is None or followed.whole_now() or asked_at - read_at > followed.whole_s
        wait_s = ROUTER_WAIT_S if state.is_follower else WAIT_S
        answer = await (followed.read() if whole or revision is None else followed.follow(revision, wait_s))
        outcome = answer.err_value.value if isinstance(answer, Err) else "ok"
        state.metrics.table_calls.labels(followed.name, outcome).inc()
        if isinstance(answer, Err):
            if answer.err_value == FeedFault.HISTORY_GONE:
                revision = None
                continue
            followed.unreached()
            lost = _lost(state, followed.name, lost)
            missed += 1
            await asyncio.sleep(again_s(state, missed))
            continue
        missed = 0
        lost = _regained(state, followed.name, lost)
        followed.apply(answer.ok_value, asked_at)
        revision = answer.ok_value.revision
        read_at = asked_at if whole else read_at
        await asyncio.sleep(followed.pause_s())


def again_s(state: BoxState, missed: int) -> float:
    """Return the pause before a call to the table service is made again after so many without an answer."""
    beside_routers = bool(state.routers) and not state.is_follower
    return ROUTED_AGAIN_S if beside_routers and missed > SINGLE_MISSES else AGAIN_S


def _list_pause_s(state: BoxState) -> float:
    """Return the pause before the list is asked for again. A router that is asked holds the question."""
    if state.list_from_router:
        return 0.0
    return ROUTER_LIST_PAUSE_S if state.is_follower else LIST_PAUSE_S


def apply_operators(state: BoxState, changes: OperatorChanges, asked_at: float) -> None:
    """Put a newer configuration in force, and note newly named versions."""
    if changes.unreadable:
        state.log.line(LogEvent.CONFIGURATION, outcome="kept", unreadable=changes.unreadable)
    before = _operators_view(state)
    apply_evacuations(state, changes)
    if changes.catalog is not None:
        _put_in_force(state, changes.catalog)
    if state.view_asked_at == NEVER:
        state.target_versions_at_start = dict(changes.versions_by_model)
    # A version may have been named as soon as the last view was asked for that did not show it.
    last_view_at = state.last_view_at()
    named_at = monotonic() if last_view_at is None else last_view_at
    for model, version in changes.versions_by_model.items():
        if version > state.target_version_by_model.get(model, 0):
            state.target_version_by_model[model] = version
            state.record_target_version(model, version, named_at, "operators")
    after = _operators_view(state)
    if before != after:
        state.operators_changed_revision = changes.revision
    state.operators_revision = changes.revision
    state.view_asked_at = max(state.view_asked_at, asked_at - changes.behind_s)
    if before != after:
        state.changed.notify_all()


def _operators_view(state: BoxState) -> tuple[int | None, dict[str, int], frozenset[str]]:
    version = None if state.catalog is None else state.catalog.version
    return version, dict(state.target_version_by_model), state.evacuated


def _put_in_force(state: BoxState, catalog: Catalog) -> None:
    held = state.catalog
    if held is not None and catalog.version <= held.version:
        return
    state.catalog = catalog
    state.log.line(
        LogEvent.CONFIGURATION,
        outcome="in_force",
        version=catalog.version,
        before=0 if held is None else held.version,
        routes=len(catalog.routes),
        homes_not_honoured=catalog.region_restricted,
        keys=len(catalog.workspaces_by_key),
    )


def apply_endpoints(state: BoxState, changes: EndpointChanges, asked_at: float) -> None:
    """Take in changes of the list, and log those that change who may get work."""
    before = _standing(state)
    listed = state.fleet.live()
    now = monotonic()
    gone_since = _gone_since(state, now)
    if changes.whole:
        state.fleet.apply_snapshot(changes.present, now, gone_since)
    else:
        state.fleet.apply(changes.present, changes.gone, now, gone_since)
    state.list_asked_at = asked_at - changes.behind_s
    if not state.fleet_known or state.fleet.live() != listed:
        state.list_changed_revision = changes.revision
    state.list_revision = changes.revision
    state.fleet_known = True
    state.drop_removed_endpoints()
    _take_cold(state, changes, now)
    _tell_unreadable(state, changes)
    if state.list_changed_revision == state.list_revision:
        state.changed.notify_all()
    after = _standing(state)
    for endpoint_id, standing in after.items():
        if before.get(endpoint_id) != standing:
            state.log.line(
                LogEvent.ENDPOINTS, endpoint=endpoint_id, standing=standing, revision=changes.revision
            )
    for endpoint_id in before.keys() - after.keys():
        state.log.line(LogEvent.ENDPOINTS, endpoint=endpoint_id, standing="gone", revision=changes.revision)


def _take_cold(state: BoxState, changes: EndpointChanges, now: float) -> None:
    """Take in how long endpoints say that they are cold."""
    for endpoint in changes.present:
        held = state.endpoint_state(endpoint)
        if endpoint.born >= held.born:
            held.cold_until = now + endpoint.cold_s if endpoint.cold else NEVER


def _tell_unreadable(state: BoxState, changes: EndpointChanges) -> None:
    """Log and count entries that name no endpoint, once for as long as they stand."""
    if changes.whole:
        state.unreadable &= changes.unreadable.keys()
    for endpoint_id, why in changes.unreadable.items():
        if endpoint_id not in state.unreadable:
            state.unreadable.add(endpoint_id)
            state.metrics.unreadable_entries.inc()
            state.log.line(LogEvent.ENDPOINTS, endpoint=endpoint_id, standing="unreadable", detail=why)
    state.unreadable.difference_update(item.id for item in changes.present)


def _gone_since(state: BoxState, now: float) -> float:
    """Return since when an entry may be gone that the newest view is the first to lack.

    It may have been removed as soon as the last view was asked for that showed it: a box whose routers fall
    silent notices late, and has that much less time to stop sending. Where the table service itself was asked
    since and did not answer, the entry may have lapsed for that alone, and is given time from now on to come
    back: else all endpoints would vanish at once after an outage. A router's silence is no outage.
    """
    return now if state.list_unreachable_at > state.list_asked_at else state.list_asked_at


def _standing(state: BoxState) -> dict[str, str]:
    fleet, now = state.fleet, monotonic()
    standing = {key: "leaving" if item.leaving else "usable" for key, item in fleet.by_id.items()}
    cold = (key for key, item in fleet.by_id.items() if not item.leaving and cold_for_s(state, item, now) > 0)
    standing.update(dict.fromkeys(cold, "cold"))
    standing.update(dict.fromkeys(fleet.missing_since_by_id, "missing"))
    return standing


def _lost(state: BoxState, name: str, lost: bool) -> bool:
    if not lost:
        state.log.line(LogEvent.DEPENDENCY, name=name, outcome="lost", view_age_s=state.view_age())
    return True


def _regained(state: BoxState, name: str, lost: bool) -> bool:
    if lost:
        state.log.line(LogEvent.DEPENDENCY, name=name, outcome="regained", view_age_s=state.view_age())
    return False
