"""A short run of the soak test of other writers' rows and of two models; see tests.soak_rows."""

import asyncio

from tests.soak_rows import soak

SEED = 1
SECONDS = 12.0


def test_boxes_go_by_the_newest_of_all_whatever_rows_other_writers_leave():
    """Guards against one row that keeps boxes from all later ones, or from telling each other of any."""
    outcome = asyncio.run(soak(SEED, SECONDS))
    assert not outcome.broken, outcome
    assert outcome.unreadable_rows >= 5 and sum(outcome.versions.values()) >= 4, outcome
    assert min(outcome.faults.values()) >= 1 and len(outcome.faults) == 10, outcome
