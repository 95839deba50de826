"""Until when kept context of a version may be fetched, and from when it may be freed.

All boxes keep to one rule, by times that each takes from its own views alone: a fetch ends by a share of the
time of a rollout after its box last knew the version to be the newest, and parts are freed by a box that has
known a newer one for longer than that. So no fetch is in progress then, also of a box that was frozen or cut,
that knows other endpoints or that has just started.
"""

from stairquay.core.lease import FIRST_ERA
from stairquay.serving.endpoint import NEVER
from stairquay.serving.state import RESTORE_GRACE_S, BoxState

FETCH_TIMEOUT_S = 2.0
"""Seconds after which a fetch of cached context is abandoned, or not started."""

TERM_SHARE = 0.6
"""Share of the time of a rollout for which context of replaced weights may be fetched; then it is freed. Most
engines have loaded newer weights by then, which need the room at the store boxes."""

FREE_MARGIN_S = 0.25
"""Seconds between the last possible fetch and the freeing, for rates of clocks that differ."""


def observe_versions(state: BoxState, asked_at: float, received_at: float) -> None:
    """Record a view of the target versions.

    Shortly after a restore of the table service it may lack a version that was named before. A box that
    has just started doesn't know for how long the current era has lasted.
    """
    complete = state.era <= FIRST_ERA or asked_at >= state.era_since + RESTORE_GRACE_S
    known_until = asked_at if complete else NEVER
    state.version_views.observe(state.target_version_by_model, known_until, received_at)


def fetch_until(state: BoxState, model: str, version: int, now: float) -> float:
    """Return until when a fetch of a version's context that begins now may last; `now` or before for none."""
    if state.clock_offset_ms is None:
        return NEVER
    views = state.version_views
    # Another box may still free by a shorter time that earlier settings named.
    term_s = min(state.settings.versions_within_s, views.shortest_term_s)
    return min(now + FETCH_TIMEOUT_S, views.newest_at(model, version) + term_s * TERM_SHARE)


def may_free(state: BoxState, model: str, version: int, now: float) -> bool:
    """Tell whether no box can still have context of a version fetched."""
    views = state.version_views
    replaced_by = views.replaced_by(model, version)
    # Fetches by a longer time that earlier settings named may be in progress.
    term_s = max(state.settings.versions_within_s, views.longest_term_s)
    return replaced_by is not None and now > replaced_by + term_s * TERM_SHARE + FREE_MARGIN_S


def endpoints_clock_ms(state: BoxState, at: float) -> int | None:
    """Return the endpoints' clock at a local time, None while it is not known.

    It is behind by the way of the answer that told it, and never ahead.
    """
    if state.clock_offset_ms is None:
        return None
    return int(at * 1000 + state.clock_offset_ms)
