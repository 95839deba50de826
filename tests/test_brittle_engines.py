"""Real boxes before brittle engines: bursts while the router that places is paused or killed."""

import asyncio

import pytest

from tests.brittle_engines import DISTURBANCES, MAX_FALLS, play

MIN_USED_SHARE = 0.9
"""Share of the slots' capacity that is to be used while callers want more."""


@pytest.mark.parametrize("disturbance", ("paused", "paused-twice", "both-paused", "killed"))
def test_brittle_engines_seldom_fall_while_their_router_is_disturbed(disturbance: str):
    """Guards against two routers, or boxes by themselves, that fill the same engine at a time."""
    outcome = asyncio.run(play(DISTURBANCES[disturbance]))
    assert outcome.falls <= MAX_FALLS, outcome
    assert outcome.answered[200] > 0, outcome


def test_brittle_engines_are_used_in_a_burst_without_rejections():
    """Guards against brittle engines that stay partly idle while callers are refused."""
    outcome = asyncio.run(play(DISTURBANCES["none"]))
    assert outcome.falls == 0 and outcome.rejected <= 1, outcome
    assert outcome.served_share >= MIN_USED_SHARE, outcome


def test_brittle_engines_whose_queues_were_full_at_the_statement_seldom_fall():
    """Guards against a queue of before the statement that takes the room which is placed after it."""
    outcome = asyncio.run(play(DISTURBANCES["engine-crashes"], full_before=True))
    assert outcome.falls <= MAX_FALLS, outcome
    assert outcome.answered[200] > 0, outcome
