"""Pattern: boxes that have sent one request each under a steady limit are idle, and then all have another.

Guards against turns that boxes keep while they are idle and all use at once. Figures: 6, 71 and 195 boxes are
the deployments', 330 the largest planned; the endpoint takes one and a half times its limit and five more.
"""

from random import Random

import pytest

from stairquay.core.limits import LimitReport
from stairquay.core.pace import LIMIT_SHARES
from stairquay.serving.endpoint import NEVER
from stairquay.serving.pacing import (
    ASSUMED_BOXES,
    box_rate_per_s,
    count_sent,
    limit_holders,
    rate_bounds,
    wait_s,
)
from stairquay.serving.state import BoxState
from stairquay.serving.statements import apply_limit
from tests.loads.test_limits_of_endpoints import (
    ENGINE,
    MAX_PROPAGATION_S,
    MIN_UTILIZATION,
    PLAIN,
    make_box,
)
from tests.loads.test_limits_that_fall import WINDOW_S, Fleet, receive_limit, try_send

STARTED_AT = 100.0


@pytest.mark.parametrize("per_s", (1.0, 9.0, 25.0))
@pytest.mark.parametrize("boxes", (6, 71, 195, 330))
def test_boxes_that_had_nothing_to_send_keep_to_a_limit_that_stays(boxes, per_s):
    fleet = Fleet(boxes, per_s, STARTED_AT)
    idle_from = fleet.send_one_each(STARTED_AT)
    # If all boxes split the limit, each that was idle would have had its turn by then.
    interval_s = boxes / (per_s * LIMIT_SHARES.unrouted)
    sent = fleet.surge(max(idle_from, STARTED_AT + 2.1 * interval_s))
    assert sent <= 1.5 * per_s * WINDOW_S + 5
    assert sent >= min(boxes - 1, MIN_UTILIZATION * per_s * WINDOW_S)


def limited_box(knows_boxes: bool, per_s: float) -> BoxState:
    """Return a box that holds a limit, or one that does not know the others and takes turns."""
    names = make_box("b-0", 6)
    receive_limit(names, per_s, STARTED_AT)
    state = make_box(limit_holders(names, PLAIN, STARTED_AT)[0], 6)
    if not knows_boxes:
        state.boxes_known_at = NEVER
    receive_limit(state, per_s, STARTED_AT)
    return state


@pytest.mark.parametrize("knows_boxes", (True, False))
def test_a_limit_that_varies_a_little_costs_no_turn(knows_boxes):
    random = Random(1)
    state = limited_box(knows_boxes, 25.0)
    at = STARTED_AT
    while not try_send(state, at, random):
        at += 0.01
    interval_s = 1 / box_rate_per_s(state, PLAIN, rate_bounds(state, PLAIN, at), at)
    receive_limit(state, 24.0, at + interval_s)
    assert try_send(state, at + 1.2 * interval_s, random)


TIMER_DELAY_S = 0.1
"""Delay of a timer on a busy machine."""


@pytest.mark.parametrize("seed", range(20))
def test_a_request_that_waited_for_its_turn_gets_it_although_the_timer_was_late(seed):
    random = Random(seed)
    state = limited_box(False, 50.0 * ASSUMED_BOXES)
    waited_s = wait_s(state, PLAIN, STARTED_AT, random)
    assert waited_s > 0
    assert try_send(state, STARTED_AT + waited_s + TIMER_DELAY_S, random)


FALLS_AT = STARTED_AT + 30.0
FEW_BOXES = 4


def try_place(state: BoxState, at: float, random: Random) -> bool:
    if wait_s(state, ENGINE, at, random) > 0:
        return False
    count_sent(state, ENGINE, at, random)
    return True


def receive_engine_limit(state: BoxState, per_s: float, at: float) -> None:
    apply_limit(state, ENGINE, state.endpoint_state(ENGINE), LimitReport(per_s, at, at))


@pytest.mark.parametrize("seed", range(10))
def test_few_boxes_keep_to_a_limit_that_fell_to_0_while_their_router_changes(seed):
    """Each of two routers uses its burst, and boxes that no router answers choose for themselves."""
    random = Random(seed)
    boxes = [make_box(f"b-{number}", FEW_BOXES) for number in range(FEW_BOXES)]
    routers = [make_box(f"r-{number}", FEW_BOXES) for number in range(2)]
    for state in routers:
        state.routed_engines = frozenset({ENGINE.id})
    for state in (*boxes, *routers):
        receive_engine_limit(state, 8.0, STARTED_AT)
        at = STARTED_AT
        while not try_place(state, at, random):
            at += 0.1
        receive_engine_limit(state, 0.0, FALLS_AT)
    surge_at = FALLS_AT + MAX_PROPAGATION_S
    sent = 0
    for step in range(30):
        sent += sum(try_place(state, surge_at + step / 100, random) for state in (*routers, *boxes))
    assert sent <= 5
