"""Pattern: boxes that have sent one request each under a steady limit are idle, and then all have another.

Guards against turns that boxes keep while they are idle and all use at once. Figures: 6, 71 and 195 boxes are
the deployments', 330 the largest planned; the endpoint takes one and a half times its limit and five more.
"""

from random import Random

import pytest

from stairquay.serving.pacing import box_rate_per_s, rate_bounds, wait_s
from tests.loads.test_limits_of_endpoints import PLAIN, make_box
from tests.loads.test_limits_that_fall import WINDOW_S, receive_limit, try_send

STARTED_AT = 100.0


@pytest.mark.parametrize("per_s", (1.0, 9.0, 25.0))
@pytest.mark.parametrize("boxes", (6, 71, 195, 330))
def test_boxes_that_had_nothing_to_send_keep_to_a_limit_that_stays(boxes, per_s):
    random = Random(boxes)
    sent = 0
    for number in range(boxes):
        state = make_box(f"b-{number}", boxes)
        receive_limit(state, per_s, STARTED_AT)
        interval_s = 1 / box_rate_per_s(state, PLAIN, rate_bounds(state, PLAIN, STARTED_AT))
        at = STARTED_AT
        while not try_send(state, at, random):
            at += interval_s / 50
        # From here, each box that was idle has had its turn.
        surge_at = STARTED_AT + 2.1 * interval_s
        sent += try_send(state, surge_at + random.random() * WINDOW_S, random)
    assert sent <= 1.5 * per_s * WINDOW_S + 5


def test_a_limit_that_varies_a_little_costs_no_turn():
    random = Random(1)
    state = make_box("b-0", 6)
    receive_limit(state, 25.0, STARTED_AT)
    at = STARTED_AT
    while not try_send(state, at, random):
        at += 0.01
    interval_s = 1 / box_rate_per_s(state, PLAIN, rate_bounds(state, PLAIN, at))
    receive_limit(state, 24.0, at + interval_s)
    assert try_send(state, at + 1.2 * interval_s, random)


TIMER_DELAY_S = 0.1
"""Delay of a timer on a busy machine."""


@pytest.mark.parametrize("seed", range(20))
def test_a_request_that_waited_for_its_turn_gets_it_although_the_timer_was_late(seed):
    random = Random(seed)
    state = make_box("b-0", 1)
    receive_limit(state, 50.0, STARTED_AT)
    waited_s = wait_s(state, PLAIN, STARTED_AT, random)
    assert waited_s > 0
    assert try_send(state, STARTED_AT + waited_s + TIMER_DELAY_S, random)
