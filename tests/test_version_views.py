"""What one box's views tell of when a version of weights was replaced, whatever the box missed."""

from hypothesis import given
from hypothesis import strategies as st

from stairquay.core.version_views import MAX_RECORDS, NEVER, VersionViews

MODEL = "m"
names_at = st.lists(st.floats(0.0, 100.0), min_size=0, max_size=6).map(sorted)
views_at = st.lists(st.tuples(st.floats(0.0, 100.0), st.floats(0.0, 10.0), st.booleans()), max_size=20)


def target_at(named_at: list[float], at: float) -> int:
    return 1 + sum(time <= at for time in named_at)


@given(names_at, views_at)
def test_the_bounds_hold_for_any_views_that_are_late_missed_or_incomplete(named_at, views):
    """Guards against a time at which a version counts as newest after another one was named, or the reverse.

    A view is read at some time between its request and its receipt. One that is not complete, as after a
    restore, may show an older target.
    """
    seen = VersionViews()
    for asked_at, took_s, complete in sorted(views, key=lambda view: view[0] + view[1]):
        target = target_at(named_at, asked_at + took_s / 2) if complete else 1
        known = max(target, seen.target_by_model.get(MODEL, 0))
        seen.observe({MODEL: known}, asked_at if complete else NEVER, asked_at + took_s)
    for version in range(1, len(named_at) + 1):
        replaced_at = named_at[version - 1]
        assert seen.newest_at(MODEL, version) <= replaced_at
        learned_at = seen.replaced_by(MODEL, version)
        assert learned_at is None or learned_at >= replaced_at


def test_a_process_that_never_knew_a_version_as_the_target_does_not_take_it_for_the_newest():
    """Guards against a new process that takes its own first view for the time of a version."""
    seen = VersionViews()
    seen.observe({MODEL: 3}, 10.0, 10.1)
    assert seen.newest_at(MODEL, 2) == NEVER
    assert seen.newest_at(MODEL, 3) == seen.newest_at(MODEL, 4) == seen.newest_at("other", 1) == 10.0
    assert seen.replaced_by(MODEL, 2) == 10.1 and seen.replaced_by(MODEL, 3) is None


def test_a_version_that_no_view_showed_counts_as_newest_for_as_long_as_an_older_one_was_the_target():
    """Guards against engines without any fetch where operators never named the version that they run."""
    seen = VersionViews()
    seen.observe({}, 1.0, 1.1)
    seen.observe({}, 2.0, 2.1)
    seen.observe({MODEL: 4}, 3.0, 3.1)
    assert seen.newest_at(MODEL, 1) == seen.newest_at(MODEL, 3) == 2.0
    assert seen.newest_at(MODEL, 4) == 3.0


def test_versions_that_are_forgotten_count_as_replaced_later_and_as_newest_never():
    """Guards against parts that are freed too early once a box has seen more versions than it remembers."""
    seen = VersionViews()
    for version in range(1, MAX_RECORDS + 10):
        seen.observe({MODEL: version}, float(version), float(version) + 0.5)
    assert seen.newest_at(MODEL, 1) == NEVER
    assert seen.replaced_by(MODEL, 1) == 10.5
    assert len(seen.newest_at_by_version[MODEL]) <= MAX_RECORDS
