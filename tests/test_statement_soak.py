"""A short soak of several boxes whose endpoints state limits, leave, or ask for back-off."""

import asyncio

from tests.soak_statements import soak

SEED = 1
SECONDS = 60.0
MIN_LEAVINGS = 21
"""Answers of leaving endpoints that boxes have to meet; how many come in 60 s depends on their timing."""


def test_endpoints_get_no_more_than_they_said_that_they_bear_and_work_again_afterwards():
    outcome = asyncio.run(soak(SEED, SECONDS, min_leavings=MIN_LEAVINGS))
    assert not outcome.broken, outcome
    assert outcome.windows > 50 and outcome.highest_share > 0.2, outcome
    assert outcome.leavings >= MIN_LEAVINGS and outcome.rests > 10, outcome
    assert outcome.healed == 8, outcome
