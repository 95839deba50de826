"""When a box lets prompts fetch kept context, and when it frees that, by what it was told and when."""

from dataclasses import replace

from stairquay.adapters.clock import monotonic
from stairquay.serving.context_lifetime import TERM_SHARE, fetch_until, may_free, observe_versions
from stairquay.serving.following import apply_operators
from stairquay.serving.ports import OperatorChanges
from stairquay.serving.settings import BoxSettings
from stairquay.serving.state import RESTORE_GRACE_S, BoxState
from tests.states import box_state

MODEL = "m"
CLOCK_RATE_ERROR = 0.01
"""Share by which the clocks of two boxes may run at different rates."""


def told_state() -> BoxState:
    """Return the state of a box that was told the endpoints' clock."""
    state = box_state()
    state.clock_offset_ms = 0.0
    return state


def with_rollout(state: BoxState, within_s: float) -> BoxSettings:
    """Return a box's settings with another time within which versions have to be rolled out."""
    return replace(state.settings, versions_within_s=within_s)


def operators_view(version: int, behind_s: float = 0.0) -> OperatorChanges:
    return OperatorChanges(version, True, versions_by_model={MODEL: version}, era=1, behind_s=behind_s)


def test_parts_are_kept_while_a_box_with_a_slower_clock_may_have_them_fetched():
    """Guards against parts that are freed early because two boxes' clocks run at different rates."""
    state = told_state()
    state.target_version_by_model[MODEL] = 2
    observe_versions(state, 10.0, 10.0)
    ends_at = 10.0 + state.settings.versions_within_s * TERM_SHARE * (1 + CLOCK_RATE_ERROR)
    assert not may_free(state, MODEL, 1, ends_at)
    assert may_free(state, MODEL, 1, ends_at + 1.0)


def test_a_view_read_shortly_after_a_restore_does_not_show_that_a_version_is_the_newest():
    """Guards against fetches on weights whose newer version is missing in a restored table service."""
    state = told_state()
    observe_versions(state, 10.0, 10.1)
    state.era, state.era_since = 2, 20.0
    observe_versions(state, 20.0 + RESTORE_GRACE_S / 2, 21.1)
    assert state.version_views.newest_at(MODEL, 1) == 10.0
    observe_versions(state, 20.0 + RESTORE_GRACE_S, 22.1)
    assert state.version_views.newest_at(MODEL, 1) == 20.0 + RESTORE_GRACE_S


def test_a_view_that_comes_late_shows_a_new_version_from_its_receipt_and_an_old_one_until_its_request():
    """Guards against parts freed early, or fetched late, after a view that took seconds to come."""
    state, started_at = told_state(), monotonic()
    apply_operators(state, operators_view(1), started_at - 5.0)
    assert state.version_views.newest_at(MODEL, 1) <= started_at - 5.0
    apply_operators(state, operators_view(2), started_at - 4.0)
    replaced_by = state.version_views.replaced_by(MODEL, 1)
    assert replaced_by is not None and replaced_by >= started_at
    assert state.version_views.newest_at(MODEL, 1) <= started_at - 5.0


def test_a_view_that_another_box_forwards_shows_the_newest_version_only_until_that_box_asked():
    """Guards against fetches that last too long by the age of a view that a router forwarded."""
    state, started_at = told_state(), monotonic()
    apply_operators(state, operators_view(1, behind_s=3.0), started_at)
    assert state.version_views.newest_at(MODEL, 1) <= started_at - 3.0


def test_a_shorter_time_of_a_rollout_frees_nothing_that_may_still_be_fetched_by_the_longer_one():
    """Guards against settings that are reloaded with a shorter time while fetches by the longer one last."""
    state = told_state()
    state.use_settings(with_rollout(state, 12.0))
    observe_versions(state, 10.0, 10.0)
    state.target_version_by_model[MODEL] = 2
    observe_versions(state, 10.0, 10.0)
    begun_at = 10.0 + 12.0 * TERM_SHARE - 1.0
    ends_at = fetch_until(state, MODEL, 1, begun_at)
    assert ends_at > begun_at
    state.use_settings(with_rollout(state, 3.0))
    assert not may_free(state, MODEL, 1, ends_at)
    assert may_free(state, MODEL, 1, ends_at + 1.0)


def test_a_longer_time_of_a_rollout_allows_no_fetch_that_a_box_with_the_shorter_one_does_not_wait_for():
    """Guards against settings that are reloaded with a longer time at one box before another one."""
    state, other = told_state(), told_state()
    for box in (state, other):
        box.use_settings(with_rollout(box, 3.0))
        observe_versions(box, 10.0, 10.0)
        box.target_version_by_model[MODEL] = 2
        observe_versions(box, 10.0, 10.0)
    state.use_settings(with_rollout(state, 12.0))
    freed_from = next(at / 10 for at in range(100, 300) if may_free(other, MODEL, 1, at / 10))
    assert fetch_until(state, MODEL, 1, 12.5) <= freed_from
    assert fetch_until(state, MODEL, 1, 14.0) <= 14.0
