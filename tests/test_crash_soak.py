"""A short run of the soak test with requests that crash endpoints; see tests.soak_crashes."""

import asyncio

from tests.soak_crashes import MAX_LATE, soak

SEED = 1
SECONDS = 25.0


def test_requests_that_crash_endpoints_are_held_back_and_no_others():
    outcome = asyncio.run(soak(SEED, SECONDS))
    assert max(outcome.late.values()) <= MAX_LATE, outcome
    assert sum(count >= 3 for count in outcome.crashes.values()) >= 3, outcome
    assert outcome.barred == 0, outcome
    assert outcome.answered > outcome.sent / 2, outcome
