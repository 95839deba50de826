"""Follows the configuration and the list of endpoints in the table service."""

import asyncio
from time import monotonic

from result import Err

from stairquay.core.catalog import Catalog
from stairquay.serving.decisions import Decision
from stairquay.serving.ports import EndpointChanges, FeedFault, Feeds, OperatorChanges
from stairquay.serving.state import BoxState

WAIT_S = 0.7
"""Seconds for which a call waits for changes: the view's age stays below it while the service answers,
and one lost answer does not make the view too old."""

AGAIN_S = 0.1
"""Seconds before a call that got no answer is made again."""

LIST_PAUSE_S = 0.6
"""Seconds between two reads of the list, which changes with every heartbeat: far below the two seconds
in which new work for a leaving endpoint must stop. Every call is priced."""


async def follow_operators(state: BoxState, feeds: Feeds) -> None:
    """Keep the configuration and the named versions up to date."""
    revision: int | None = None
    lost = False
    while True:
        asked_at = monotonic()
        if revision is None:
            answer = await feeds.read_operators()
        else:
            answer = await feeds.follow_operators(revision, WAIT_S)
        state.metrics.table_calls.labels("operators", "err" if isinstance(answer, Err) else "ok").inc()
        if isinstance(answer, Err):
            if answer.err_value == FeedFault.HISTORY_GONE:
                revision = None
                continue
            lost = _lost(state, "operators", lost)
            await asyncio.sleep(AGAIN_S)
            continue
        lost = _regained(state, "operators", lost)
        apply_operators(state, answer.ok_value, asked_at)
        revision = answer.ok_value.revision


async def follow_endpoints(state: BoxState, feeds: Feeds) -> None:
    """Keep the list of endpoints up to date."""
    revision: int | None = None
    lost = False
    while True:
        if revision is None:
            answer = await feeds.read_endpoints()
        else:
            answer = await feeds.follow_endpoints(revision, WAIT_S)
        state.metrics.table_calls.labels("endpoints", "err" if isinstance(answer, Err) else "ok").inc()
        if isinstance(answer, Err):
            if answer.err_value == FeedFault.HISTORY_GONE:
                revision = None
                continue
            lost = _lost(state, "endpoints", lost)
            await asyncio.sleep(AGAIN_S)
            continue
        lost = _regained(state, "endpoints", lost)
        apply_endpoints(state, answer.ok_value)
        revision = answer.ok_value.revision
        await asyncio.sleep(LIST_PAUSE_S)


def apply_operators(state: BoxState, changes: OperatorChanges, asked_at: float) -> None:
    """Put a newer configuration in force, and note newly named versions."""
    if changes.unreadable:
        state.log.line(Decision.CONFIGURATION, outcome="kept", unreadable=changes.unreadable)
    if changes.catalog is not None:
        _put_in_force(state, changes.catalog)
    for model, version in changes.versions_by_model.items():
        if version > state.named_by_model.get(model, 0):
            state.named_by_model[model] = version
            state.named_at_by_model[model] = monotonic()
            state.log.line(Decision.VERSION_NAMED, model=model, version=version)
    state.view_asked_at = max(state.view_asked_at, asked_at)


def _put_in_force(state: BoxState, catalog: Catalog) -> None:
    held = state.catalog
    if held is not None and catalog.version <= held.version:
        return
    state.catalog = catalog
    state.log.line(
        Decision.CONFIGURATION,
        outcome="in_force",
        version=catalog.version,
        before=0 if held is None else held.version,
        routes=len(catalog.routes),
        keys=len(catalog.workspaces_by_key),
    )


def apply_endpoints(state: BoxState, changes: EndpointChanges) -> None:
    """Take in changes of the list, and log those that change who may get work."""
    before = _standing(state)
    now = monotonic()
    if changes.whole:
        state.fleet.apply_whole(changes.present, now)
    else:
        state.fleet.apply(changes.present, changes.gone, now)
    state.fleet_known = True
    state.forget_gone()
    after = _standing(state)
    for endpoint_id, standing in after.items():
        if before.get(endpoint_id) != standing:
            state.log.line(
                Decision.ENDPOINTS, endpoint=endpoint_id, standing=standing, revision=changes.revision
            )
    for endpoint_id in before.keys() - after.keys():
        state.log.line(Decision.ENDPOINTS, endpoint=endpoint_id, standing="gone", revision=changes.revision)


def _standing(state: BoxState) -> dict[str, str]:
    fleet = state.fleet
    standing = {key: "leaving" if item.leaving else "usable" for key, item in fleet.by_id.items()}
    standing.update(dict.fromkeys(fleet.missing_since_by_id, "missing"))
    return standing


def _lost(state: BoxState, name: str, lost: bool) -> bool:
    if not lost:
        state.log.line(Decision.DEPENDENCY, name=name, outcome="lost", view_age_s=state.view_age())
    return True


def _regained(state: BoxState, name: str, lost: bool) -> bool:
    if lost:
        state.log.line(Decision.DEPENDENCY, name=name, outcome="regained", view_age_s=state.view_age())
    return False
