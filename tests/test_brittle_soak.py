"""A short soak of several boxes before endpoints that fall over if they reject too much."""

import asyncio

from tests.soak_brittle import soak

SEED = 1
SECONDS = 30.0


def test_brittle_endpoints_seldom_fall_and_are_used():
    """Guards against boxes that make endpoints fall in bursts, and against ones that leave them unused."""
    outcome = asyncio.run(soak(SEED, SECONDS))
    assert not outcome.broken, outcome
    assert outcome.brittle_times >= 2 and outcome.faults.total() >= 3, outcome
    assert outcome.answered > outcome.sent / 2 and outcome.forwarded > 0, outcome
