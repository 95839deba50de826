"""Pattern: a data hall returns from evacuation at peak load, with all its endpoints cold and idle.

Figures: the deployment of 71 boxes and 30 engines in three halls, where a cold engine takes 18 requests a
second and overloads from 32, over all boxes (its `cold_per_s`, `cold_overage`, `cold_slack`). All boxes have
more to send than the engines take.
"""

from collections.abc import Callable
from random import Random

import pytest

from stairquay.core.pace import COLD_SHARES, Pacer, standalone_pacer

COLD_LIMIT_PER_S = 18.0
OVERLOAD_REQUESTS = 32
"""Requests within one second from which a cold engine is overloaded."""

BOXES = 71
SIMULATED_S = 6.0
STEP_S = 0.005

Sender = Callable[[float], bool]
"""Sends a request to the engine now if it may; tells whether it did."""


def router(start: float = 0.0) -> Sender:
    """A router that always has a prompt for the engine."""
    pacer = Pacer(start)
    per_s = COLD_LIMIT_PER_S * COLD_SHARES.router

    def sends(now: float) -> bool:
        if now < start or pacer.wait_s(now, per_s, COLD_SHARES.burst) > 0:
            return False
        pacer.take(now, per_s)
        return True

    return sends


def standalone_box(boxes: int, random: Random, share: float = COLD_SHARES.standalone) -> Sender:
    """A box that reaches no router and always has a prompt for the engine."""
    current: list[Pacer | None] = [None]
    per_s = COLD_LIMIT_PER_S * share / boxes

    def sends(now: float) -> bool:
        pacer = current[0] = standalone_pacer(current[0], now, per_s, random)
        if pacer.wait_s(now, per_s) > 0:
            return False
        pacer.take(now, per_s)
        return True

    return sends


def unpaced_box(boxes: int) -> Sender:
    """A box that starts at once instead of at a random time."""
    pacer = Pacer(0.0)
    per_s = COLD_LIMIT_PER_S / boxes

    def sends(now: float) -> bool:
        if pacer.wait_s(now, per_s) > 0:
            return False
        pacer.take(now, per_s)
        return True

    return sends


def busiest_second(senders: list[Sender]) -> int:
    """Return the most requests that the engine gets within one second."""
    sent_at: list[float] = []
    for step in range(int(SIMULATED_S / STEP_S)):
        now = step * STEP_S
        sent_at += [now for sends in senders if sends(now)]
    return max((sum(at <= other < at + 1.0 for other in sent_at) for at in sent_at), default=0)


def test_one_router_uses_most_of_what_a_cold_engine_bears_and_never_more():
    assert 0.6 * COLD_LIMIT_PER_S <= busiest_second([router()]) <= COLD_LIMIT_PER_S


@pytest.mark.parametrize("seed", range(4))
def test_a_router_beside_boxes_that_find_none_stays_below_what_fells_an_engine(seed):
    random = Random(seed)
    senders = [router(), *(standalone_box(BOXES, random) for _ in range(BOXES))]
    assert busiest_second(senders) < OVERLOAD_REQUESTS


@pytest.mark.parametrize("taken_over_at", (0.0, 0.3, 1.0))
def test_two_routers_that_both_believe_an_engine_is_theirs_do_not_fell_it(taken_over_at):
    assert busiest_second([router(), router(taken_over_at)]) <= OVERLOAD_REQUESTS


@pytest.mark.parametrize("boxes", (6, 71, 195, 330))
def test_boxes_without_any_router_do_not_send_in_the_same_second(boxes):
    random = Random(boxes)
    assert busiest_second([standalone_box(boxes, random) for _ in range(boxes)]) < OVERLOAD_REQUESTS / 2
    assert (
        busiest_second([standalone_box(boxes, random, COLD_SHARES.unrouted) for _ in range(boxes)])
        < OVERLOAD_REQUESTS
    )


def test_shares_that_may_be_spent_at_once_would_fell_it():
    assert busiest_second([unpaced_box(BOXES) for _ in range(BOXES)]) > OVERLOAD_REQUESTS
