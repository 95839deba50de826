"""Pattern: an endpoint lowers its limit while most boxes are idle, and then all have a request for it.

Each box sent one request under the old limit and sends again within four seconds, from 3 s after the new one.
Figures: 6, 71 and 195 boxes are the deployments', 330 the largest planned; the endpoint takes one and a half
times the new limit and five more.
"""

from random import Random

import pytest

from stairquay.core.limits import LimitReport
from stairquay.serving.pacing import count_sent, wait_s
from stairquay.serving.state import BoxState
from stairquay.serving.statements import apply_limit
from tests.loads.test_limits_of_endpoints import PLAIN, make_box

WINDOW_S = 4.0
MAX_PROPAGATION_S = 3.0
OLD_LIMIT_PER_S, NEW_LIMIT_PER_S = 25.0, 1.0
OLD_LIMIT_AT, NEW_LIMIT_AT = 100.0, 130.0


def receive_limit(state: BoxState, per_s: float, at: float) -> None:
    apply_limit(state, PLAIN, state.endpoint_state(PLAIN), LimitReport(per_s, at, at))


def try_send(state: BoxState, at: float, random: Random) -> bool:
    if wait_s(state, PLAIN, at, random) > 0:
        return False
    count_sent(state, PLAIN, at, random)
    return True


@pytest.mark.parametrize("boxes", (6, 71, 195, 330))
def test_boxes_that_had_nothing_to_send_keep_to_a_limit_that_fell(boxes):
    random = Random(boxes)
    sent = 0
    for number in range(boxes):
        state = make_box(f"b-{number}", boxes)
        receive_limit(state, OLD_LIMIT_PER_S, OLD_LIMIT_AT)
        at = OLD_LIMIT_AT
        while not try_send(state, at, random):
            at += 0.1
        receive_limit(state, NEW_LIMIT_PER_S, NEW_LIMIT_AT)
        sent += try_send(state, NEW_LIMIT_AT + MAX_PROPAGATION_S + random.random() * WINDOW_S, random)
    assert sent <= 1.5 * NEW_LIMIT_PER_S * WINDOW_S + 5
