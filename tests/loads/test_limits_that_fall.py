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
from tests.loads.test_limits_of_endpoints import PLAIN, make_fleet, others_to_ask

WINDOW_S = 4.0
MAX_PROPAGATION_S = 3.0
OLD_LIMIT_PER_S, NEW_LIMIT_PER_S = 25.0, 1.0
OLD_LIMIT_AT, NEW_LIMIT_AT = 100.0, 130.0
STEP_S = 0.02


def receive_limit(state: BoxState, per_s: float, at: float) -> None:
    apply_limit(state, PLAIN, state.endpoint_state(PLAIN), LimitReport(per_s, at, at))


def try_send(state: BoxState, at: float, random: Random) -> bool:
    if wait_s(state, PLAIN, at, random) > 0:
        return False
    count_sent(state, PLAIN, at, random)
    return True


class Fleet:
    """Boxes that know a limit, and pass requests on that they may not send."""

    def __init__(self, boxes: int, per_s: float, at: float) -> None:
        self.random = Random(boxes)
        self.by_id = {state.settings.id: state for state in make_fleet(boxes)}
        self.receive_limit(per_s, at)

    def receive_limit(self, per_s: float, at: float) -> None:
        for state in self.by_id.values():
            receive_limit(state, per_s, at)

    def send(self, name: str, at: float) -> bool:
        """Send a request that came to a box, or pass it on; tell whether the endpoint got it."""
        state = self.by_id[name]
        asked = [self.by_id[other] for other in others_to_ask(state, at, self.random)] or [state]
        return any(try_send(item, at, self.random) for item in asked)

    def send_one_each(self, at: float) -> float:
        """Have all boxes send one request each as soon as they may; return when the last one was sent."""
        waiting = list(self.by_id)
        while waiting:
            if self.send(waiting[-1], at):
                waiting.pop()
            else:
                at += STEP_S
        return at

    def surge(self, at: float) -> int:
        """Have all boxes try to send one more within a window; return how many the endpoint got."""
        times = {name: at + self.random.random() * WINDOW_S for name in self.by_id}
        return sum(self.send(name, times[name]) for name in sorted(times, key=lambda name: times[name]))


@pytest.mark.parametrize("boxes", (6, 71, 195, 330))
def test_boxes_that_had_nothing_to_send_keep_to_a_limit_that_fell(boxes):
    fleet = Fleet(boxes, OLD_LIMIT_PER_S, OLD_LIMIT_AT)
    assert fleet.send_one_each(OLD_LIMIT_AT) < NEW_LIMIT_AT
    fleet.receive_limit(NEW_LIMIT_PER_S, NEW_LIMIT_AT)
    sent = fleet.surge(NEW_LIMIT_AT + MAX_PROPAGATION_S)
    assert 0 < sent <= 1.5 * NEW_LIMIT_PER_S * WINDOW_S + 5
