"""Pattern: boxes are killed in series while endpoints of a service are stopped and all others of it fail.

Figures: 6 and 71 boxes are the deployments', with their requests and slack. A stopped endpoint reads what
it got from all processes of the boxes at once when it goes on, beside the repeats of those that run then.
These may take the usable part of the slack, so that the unread ones have to be within the rest of it.
"""

from random import Random

import pytest

from stairquay.core.budget import SLACK_SHARE, RetryAllowance
from stairquay.core.call import Call
from stairquay.core.catalog import Catalog, Route, ServiceSpec
from stairquay.core.fleet import Endpoint
from stairquay.core.silence import Silence
from stairquay.serving import boxes as registry_module
from stairquay.serving import silent_endpoints as silence_module
from stairquay.serving import state as state_module
from stairquay.serving.jobs import Job
from stairquay.serving.silent_endpoints import silent_ids
from tests.loads.test_retries_of_added_boxes import (
    FLEETS,
    RATIO,
    SERVICE,
    WINDOW_S,
    Clock,
    SimulatedBox,
    Table,
)

STEP_S = 0.05
SETTLED_S = 40.0
BETWEEN_KILLS_S = 7.0
KILLS = 6
SENT_S = 1.0
"""Seconds in which boxes send repeats to endpoints that have just stopped."""

STOPPED, FAILING = ("p-0", "p-1"), "p-2"
ENDPOINTS = [Endpoint(name, SERVICE, f"10.0.0.1:{number}") for number, name in enumerate((*STOPPED, FAILING))]
DEADLINE_S = 5.0


@pytest.fixture(autouse=True)
def virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    Clock.now = 0.0
    for module in (registry_module, silence_module, state_module):
        monkeypatch.setattr(module, "monotonic", lambda: Clock.now)


class Simulation:
    """Boxes before three endpoints. read_later: when each repeat was sent that a stopped endpoint got."""

    def __init__(self, boxes: int) -> None:
        self.random, self.table = Random(boxes), Table()
        self.per_s, slack = FLEETS[boxes]
        self.allowance = RetryAllowance(RATIO, slack, WINDOW_S)
        self.boxes = [SimulatedBox(f"b-{number}", self.table, self.random) for number in range(boxes)]
        self.is_stopped, self.due = False, 0.0
        self.read_later: list[float] = []
        for box in self.boxes:
            self.start(box)

    def start(self, box: SimulatedBox) -> None:
        """Start a box, or its next process."""
        box.start()
        box.state.fleet.apply(ENDPOINTS, (), Clock.now)
        box.state.retry_budget(SERVICE).use_allowance(self.allowance)

    def run(self, seconds: float) -> None:
        end = Clock.now + seconds
        while Clock.now < end:
            Clock.now += STEP_S
            for box in self.boxes:
                box.beat_if_due()
            self.due += self.per_s * STEP_S
            while self.due >= 1.0:
                self.due -= 1.0
                self.request(self.random.choice(self.boxes))

    def request(self, box: SimulatedBox) -> None:
        """Send a request to an endpoint, and again if that fails and another one may get it."""
        now, state = Clock.now, box.state
        state.retry_budget(SERVICE).on_request(now)
        unprobed = [item.id for item in ENDPOINTS if not silence_of(box, item.id).is_probed(now)]
        endpoint = self.random.choice(unprobed)
        self.send(box, endpoint, is_repeat=False)
        if not self.is_stopped or endpoint in STOPPED or not state.take_retry(SERVICE):
            return
        may_answer = [name for name in STOPPED if name not in silent_ids(state, job())]
        if may_answer:
            self.send(box, self.random.choice(may_answer), is_repeat=True)

    def send(self, box: SimulatedBox, endpoint: str, is_repeat: bool) -> None:
        """Send a request to an endpoint, which answers at once unless it is stopped."""
        silence = silence_of(box, endpoint)
        silence.on_sent(Clock.now, is_repeat)
        if not (self.is_stopped and endpoint in STOPPED):
            silence.on_answered(Clock.now)
        elif is_repeat:
            self.read_later.append(Clock.now)


def silence_of(box: SimulatedBox, endpoint: str) -> Silence:
    return box.state.endpoint_state(box.state.fleet.by_id[endpoint]).silence


def job() -> Job:
    route = Route("plain", "svc", "/", (), timeout_s=DEADLINE_S, repeatable=True)
    service, call = ServiceSpec(SERVICE), Call("call-1", "GET", "svc", "/x", "/x", ())
    catalog = Catalog(1, services_by_id={SERVICE: service})
    return Job(call, b"", catalog, route, service, None, Clock.now, Clock.now + DEADLINE_S)


@pytest.mark.parametrize("per_box", (0.3, 1.0, 12.0))
@pytest.mark.parametrize("boxes", (6, 71))
def test_later_processes_of_killed_boxes_leave_no_repeats_at_stopped_endpoints(boxes: int, per_box: float):
    """Guards against processes that each leave unread what a box may, and end one after another."""
    fleet = Simulation(boxes)
    fleet.run(SETTLED_S)
    fleet.is_stopped = True
    fleet.run(SENT_S)
    of_first_processes = len(fleet.read_later)
    fleet.per_s = per_box * boxes
    for _ in range(KILLS):
        for box in fleet.boxes:
            fleet.start(box)
        fleet.run(BETWEEN_KILLS_S)
    usable = boxes * int(fleet.allowance.slack * SLACK_SHARE / boxes)
    assert 0 < of_first_processes <= fleet.allowance.slack - usable
    assert len(fleet.read_later) == of_first_processes


def test_later_processes_repeat_to_endpoints_that_answer():
    """Guards against boxes that repeat nothing for a minute after they were killed."""
    fleet = Simulation(6)
    fleet.run(SETTLED_S)
    for box in fleet.boxes:
        fleet.start(box)
    fleet.run(2 * BETWEEN_KILLS_S)
    assert all(not silent_ids(box.state, job()) for box in fleet.boxes)


@pytest.mark.parametrize("load", (1.0, 4.0, 16.0))
@pytest.mark.parametrize("boxes", (6, 71))
def test_a_burst_of_repeats_leaves_few_at_endpoints_that_have_just_stopped(boxes: int, load: float):
    """Guards against repeats of the moment before a box can know that an endpoint has stopped."""
    fleet = Simulation(boxes)
    fleet.per_s *= load
    fleet.run(SETTLED_S)
    fleet.is_stopped = True
    fleet.run(SENT_S)
    most_of_box = fleet.allowance.most_unread(boxes) + len(STOPPED) - 1
    assert 0 < len(fleet.read_later) <= boxes * most_of_box
