"""A short soak after which all endpoints get work again, although all prompts come under one request id."""

import asyncio

from tests.soak_statements import soak

SEED = 64
SECONDS = 25.0


def test_all_endpoints_work_again_after_what_they_said_has_ended():
    outcome = asyncio.run(soak(SEED, SECONDS))
    assert not outcome.broken, outcome
    assert outcome.healed == 8, outcome
