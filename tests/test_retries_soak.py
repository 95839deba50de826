"""A short run of the soak test of retries; see tests.soak_retries."""

import asyncio

from stairquay.core.budget import RetryAllowance
from tests.soak_retries import soak

SEED = 1
SECONDS = 25.0
ALLOWANCE = RetryAllowance(0.1, 26, 5)
"""Half of the smallest deployments' bounds, each, so that a short run has several windows."""


def test_repeats_stay_within_the_budget_while_endpoint_processes_boxes_and_callers_fail():
    """Guards against repeats above the budget, runs above `max_attempts`, and time handed on that is over."""
    outcome = asyncio.run(soak(SEED, SECONDS, ALLOWANCE))
    assert not outcome.broken, outcome
    assert outcome.faults["trouble"] >= 3 and sum(outcome.repeats.values()) >= 20, outcome
    assert outcome.faults["stop endpoints"] + outcome.faults["kill endpoints"] >= 2, outcome
