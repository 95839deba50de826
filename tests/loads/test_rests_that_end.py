"""Pattern: an endpoint asks all boxes to back off within 0.1 s, and all have work for it afterwards.

Figures: 6 slots at 45 ms and 64 slots at 1 s are the deployments' plain services and engines; 6, 71 and 195
boxes are theirs, 330 the largest planned.
"""

from random import Random

import pytest

from stairquay.core.fleet import Endpoint
from stairquay.serving.following import apply_endpoints
from stairquay.serving.ports import EndpointChanges, Feedback
from stairquay.serving.state import BoxState
from stairquay.serving.statements import apply_feedback, backoffs_by_id, record_probe
from tests.states import box_state

BACKOFF_S = 3.0
ASKED_WITHIN_S = 0.1
WINDOW_S = 0.1
MAX_LOAD_FACTOR = 2.0
"""Highest load in a window, in multiples of the endpoint's throughput; its queue absorbs the excess."""

MAX_RESUME_S = 2 * BACKOFF_S
"""Longest time in seconds until a box that was asked to back off sends again."""

FLEET_SIZES = (1, 6, 71, 195, 330)
ENDPOINT_PROFILES = ((6, 0.045), (64, 1.0))


def make_box(number: int, boxes: int, endpoint: Endpoint, work_s: float) -> BoxState:
    state = box_state(f"b-{number:03}")
    apply_endpoints(state, EndpointChanges(1, True, (endpoint,)), 0.0)
    state.boxes, state.boxes_known_at = tuple(f"b-{other:03}" for other in range(boxes)), 0.0
    state.endpoint_state(endpoint).response_time_s = work_s
    return state


def resume_time(state: BoxState, endpoint: Endpoint, asked_at: float) -> float:
    """Return when a box with pending work sends the next request to an endpoint that asked for back-off."""
    apply_feedback(
        state, endpoint, state.endpoint_state(endpoint), Feedback(backoff_s=BACKOFF_S), asked_at, asked_at
    )
    steps = range(int(MAX_RESUME_S * 200) + 1)
    return next(asked_at + step / 200 for step in steps if not backoffs_by_id(state, asked_at + step / 200))


@pytest.mark.parametrize("boxes", FLEET_SIZES)
@pytest.mark.parametrize(("slots", "work_s"), ENDPOINT_PROFILES)
def test_boxes_that_were_asked_for_rest_together_come_back_as_the_endpoint_takes_them(boxes, slots, work_s):
    random = Random(boxes)
    endpoint = Endpoint("e", "plain", "10.0.1.1:1", "hall-a", slots)
    times = []
    for number in range(boxes):
        state = make_box(number, boxes, endpoint, work_s)
        asked_at = 100.0 + random.random() * ASKED_WITHIN_S
        resumed_at = resume_time(state, endpoint, asked_at)
        assert resumed_at >= asked_at + BACKOFF_S
        record_probe(state.endpoint_state(endpoint), resumed_at)
        assert backoffs_by_id(state, resumed_at + 0.01), (
            "a second request must wait for the answer to the first"
        )
        times.append(resumed_at)
    fullest = max(sum(start <= at < start + WINDOW_S for at in times) for start in times)
    assert fullest <= max(1, slots, MAX_LOAD_FACTOR * WINDOW_S * slots / work_s)
