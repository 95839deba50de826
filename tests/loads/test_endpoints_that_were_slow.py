"""Pattern: a plain endpoint answers late for some seconds, or for good, while its peers are nearly idle.

Figures: 45 ms and 1 s are answers of the deployments' plain services and engines; 2 to 50 requests a second
are what one box of the smallest and the largest deployment sends to a plain service.
"""

from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count, pairwise
from random import Random

import pytest

from stairquay.core.catalog import ServiceSpec
from stairquay.core.fleet import Endpoint
from stairquay.serving import endpoint_choice
from stairquay.serving.dispatch import RESPONSE_TIME_WEIGHT
from stairquay.serving.endpoint import EndpointState
from stairquay.serving.endpoint_choice import ChoiceRequest, choose_endpoint
from tests.states import box_state

QUICK_S, SLOW_S = 0.045, 1.0
ENDPOINTS = 3
SLOW = "p-0"
REQUESTS_PER_S = (2.0, 10.0, 50.0)
SLOW_FROM_S, SLOW_UNTIL_S = 5.0, 8.0
USED_AGAIN_S = 20.0
"""Seconds after its last late answer from which the endpoint is to get work as its peers do."""

MIN_SHARE = 0.2
"""Share of the requests that it gets then at least, where a third would be even."""

LASTING_S = 300.0
MAX_LATE_SHARE = 0.01
"""Share of requests that may be late for the sake of trials where the endpoint stays slow."""

MAX_LATE_PER_S = 0.02
"""The same in a second where there are few requests."""


@dataclass(frozen=True)
class Sent:
    """A request at the time at which it was sent."""

    at: float
    endpoint: str


def played(
    per_s: float, seconds: float, work_s: Callable[[float], float], monkeypatch: pytest.MonkeyPatch
) -> list[Sent]:
    """Send requests at a rate. work_s: seconds that the slow endpoint takes for one sent at a time."""
    now, random, numbers = 0.0, Random(1), count()
    monkeypatch.setattr(endpoint_choice, "monotonic", lambda: now)
    state = box_state()
    names = [f"p-{number}" for number in range(ENDPOINTS)]
    state.fleet.apply([Endpoint(name, "plain", f"10.0.0.1:{n}") for n, name in enumerate(names)], (), 0.0)
    events: list[tuple[float, int, Sent | None]] = [(0.0, next(numbers), None)]
    sent = []
    while events:
        now, _, answered = heappop(events)
        if answered is not None:
            endpoint_state = state.endpoint_state(state.fleet.by_id[answered.endpoint])
            endpoint_state.in_flight -= 1
            endpoint_state.on_response_time(answered.at, now, RESPONSE_TIME_WEIGHT)
            continue
        if now > seconds:
            break
        choice = choose_endpoint(state, None, ChoiceRequest(ServiceSpec("plain")), random)  # type: ignore[arg-type]
        assert choice is not None
        item = Sent(now, choice.endpoint.id)
        sent.append(item)
        endpoint_state = state.endpoint_state(choice.endpoint)
        endpoint_state.on_request(now)
        endpoint_state.in_flight += 1
        took_s = work_s(now) if item.endpoint == SLOW else QUICK_S
        heappush(events, (now + took_s, next(numbers), item))
        heappush(events, (now + random.expovariate(per_s), next(numbers), None))
    return sent


def count_of_slow(sent: list[Sent], since: float, until: float) -> tuple[int, int]:
    """Return how many requests of a time went to the slow endpoint, and how many there were."""
    found = [item for item in sent if since <= item.at < until]
    return sum(item.endpoint == SLOW for item in found), len(found)


@pytest.mark.parametrize("per_s", REQUESTS_PER_S)
def test_an_endpoint_that_was_slow_for_seconds_gets_work_again_while_others_are_idle(per_s, monkeypatch):
    """Guards against endpoints that are never used again, as only an answer shows that they are quick."""
    end = SLOW_UNTIL_S + SLOW_S + USED_AGAIN_S + 60.0

    def work_s(at: float) -> float:
        return SLOW_S if SLOW_FROM_S <= at < SLOW_UNTIL_S else QUICK_S

    slow, all_of = count_of_slow(played(per_s, end, work_s, monkeypatch), end - 60.0, end)
    assert slow >= MIN_SHARE * all_of, (slow, all_of)


@pytest.mark.parametrize("per_s", REQUESTS_PER_S)
def test_trials_of_an_endpoint_that_stays_slow_make_few_requests_late(per_s, monkeypatch):
    """Guards against a late request each time that a slow endpoint is tried anew."""
    sent = played(per_s, LASTING_S, lambda at: SLOW_S, monkeypatch)
    late, all_of = count_of_slow(sent, SLOW_UNTIL_S, LASTING_S)
    assert late <= max(MAX_LATE_SHARE * all_of, MAX_LATE_PER_S * LASTING_S), (late, all_of)


def test_an_endpoint_that_answers_no_trial_is_tried_ever_more_rarely():
    """Guards against requests that time out again and again at an endpoint that hangs."""
    endpoint_state = EndpointState(response_time_s=SLOW_S)
    trials = []
    for second in range(int(LASTING_S)):
        if endpoint_state.is_trial_due(float(second)):
            endpoint_state.on_request(float(second))
            trials.append(second)
    pauses = [later - earlier for earlier, later in pairwise(trials)]
    assert pauses == sorted(pauses) and pauses[-1] > 5 * pauses[0], pauses
