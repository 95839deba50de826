"""Pattern: endpoints that fall over when they reject too much get bursts of twice their room from many boxes.

Figures: plain services have 3 to 5 endpoints with 6 slots at 45 ms; 6, 71, 85 and 195 boxes are the
deployments', 330 the largest planned. From 3 s after it first stated that it bears N rejections a second, an
endpoint lets one request wait instead of 24, and falls over in a second with more rejections; it is back 3 s
later. In all, 2 and a tenth of the endpoints may fall.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import ClassVar

import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from stairquay.core.call import Call
from stairquay.core.catalog import Route
from stairquay.core.fleet import Endpoint
from stairquay.platform.statements import parse_feedback
from stairquay.serving import forwarding
from stairquay.serving.endpoint import BUSY_BACKOFF_S
from stairquay.serving.following import apply_endpoints
from stairquay.serving.forwarding import MAX_HOLDERS_ASKED, Forwarder
from stairquay.serving.jobs import Job, JobProgress
from stairquay.serving.pacing import count_sent, wait_s
from stairquay.serving.ports import EndpointChanges
from stairquay.serving.state import BoxState
from stairquay.serving.statements import apply_feedback
from stairquay.serving.telling import apply_peer_feedback, feedback_for_peers
from tests.loads.test_limits_of_endpoints import CATALOG
from tests.states import box_state

SLOTS, WORK_S = 6, 0.045
USUAL_QUEUE, SHORT_QUEUE = 24, 1
NETWORK_S = 0.001
GOSSIP_INTERVAL_S = 0.5
STATED_FROM, ENDS_AT = 10.0, 40.0
PROPAGATION_S = 3.0
DOWN_S = 3.0
PATIENCE_S, RETRY_S = 0.05, 0.02
BURSTS = ((16.0, 18.0), (26.0, 27.0), (33.0, 35.0))
USUAL_SHARE, BURST_SHARE = 0.5, 2.0
"""Offered load, as a share of the endpoints' capacity."""

FLEETS = {6: 3, 71: 3, 85: 3, 195: 5, 330: 5}
"""Endpoints by the number of boxes."""

MIN_SERVED_SHARE = 0.9
"""Least share of the requests between bursts that are served, as endpoints have room for twice as many."""

ROUTE = Route("r", "svc", "/", (), timeout_s=2.0, objective_s=0.2)


@dataclass
class SimulatedEndpoint:
    entry: Endpoint
    bears: float
    finish_at: list[float] = field(default_factory=list)
    rejected_at: list[float] = field(default_factory=list)
    fell_at: list[float] = field(default_factory=list)
    down_until: float = 0.0
    work_s: float = WORK_S

    def states(self, now: float) -> bool:
        return now >= STATED_FROM

    def binds(self, now: float) -> bool:
        """Tell whether all boxes must heed the statement by now."""
        return now >= STATED_FROM + PROPAGATION_S

    def take(self, now: float) -> float | None:
        """Return when a request that arrives now is done, None if it is rejected."""
        self.finish_at = sorted(at for at in self.finish_at if at > now)
        queue = SHORT_QUEUE if self.binds(now) else USUAL_QUEUE
        if len(self.finish_at) >= SLOTS + queue:
            self._reject(now)
            return None
        running = self.finish_at[-SLOTS:]
        done_at = (now if len(running) < SLOTS else running[0]) + self.work_s
        self.finish_at.append(done_at)
        return done_at

    def _reject(self, now: float) -> None:
        self.rejected_at = [at for at in self.rejected_at if at > now - 1.0] + [now]
        if self.binds(now) and len(self.rejected_at) > self.bears:
            self.fell_at.append(now)
            self.down_until = now + DOWN_S
            self.finish_at, self.rejected_at = [], []


@dataclass
class Simulation:
    """A fleet of boxes in front of one plain service.

    idle_until: when the second half of the boxes gets its first request. cut: boxes that no router answers.
    """

    boxes: int
    bears: float
    seed: int
    idle_until: float = 0.0
    cut: frozenset[int] = frozenset()
    restarts_at: float = 0.0
    endpoint_kind: type[SimulatedEndpoint] = SimulatedEndpoint
    bursts: tuple[tuple[float, float], ...] = BURSTS
    work_s: float = WORK_S
    now: ClassVar[float] = 0.0
    endpoints: list[SimulatedEndpoint] = field(default_factory=list)
    states: list[BoxState] = field(default_factory=list)
    offered: int = 0
    served: int = 0

    def run(self) -> "Simulation":
        self.random, self.sequence = Random(self.seed), count()
        self.names = tuple(f"b-{number}" for number in range(self.boxes))
        self.queue: list[tuple[float, int, Callable[[float], None]]] = []
        self.endpoints = [
            self.endpoint_kind(
                Endpoint(f"p-{number}", "plain", f"10.0.1.{number}:1", "hall-a", SLOTS, born=1),
                self.bears,
                work_s=self.work_s,
            )
            for number in range(FLEETS[self.boxes])
        ]
        self.states = [self._new_box(number) for number in range(self.boxes)]
        self._schedule(0.0, self._arrive)
        self._schedule(0.0, self._gossip)
        self._schedule(0.0, self._disturb)
        while self.queue and self.queue[0][0] < ENDS_AT:
            Simulation.now, _, callback = heappop(self.queue)
            callback(Simulation.now)
        return self

    def _disturb(self, now: float) -> None:
        """Schedule what happens to the boxes."""
        if self.restarts_at:
            self._schedule(self.restarts_at, self._restart)

    @property
    def falls(self) -> int:
        return sum(len(item.fell_at) for item in self.endpoints)

    def _schedule(self, at: float, callback: Callable[[float], None]) -> None:
        heappush(self.queue, (at, next(self.sequence), callback))

    def _new_box(self, number: int) -> BoxState:
        state = box_state(f"b-{number}")
        state.catalog = CATALOG
        state.boxes = self.names
        state.boxes_known_at = 0.0
        state.fronts_by_box = {name: name for name in state.boxes if name != f"b-{number}"}
        apply_endpoints(state, self._entries(1), 0.0)
        return state

    def _entries(self, revision: int) -> EndpointChanges:
        return EndpointChanges(revision, True, tuple(item.entry for item in self.endpoints))

    def _restart(self, now: float) -> None:
        """Restart a third of the boxes; each asks a router for its views before it takes requests."""
        for number in range(0, self.boxes, 3):
            self.states[number] = self._new_box(number)
            apply_endpoints(self.states[number], self._entries(int(now * 1000)), now)
            if number not in self.cut:
                apply_peer_feedback(self.states[number], feedback_for_peers(self.states[1], now), now)

    def _gossip(self, now: float) -> None:
        self._schedule(now + GOSSIP_INTERVAL_S, self._gossip)
        router = self.states[1]
        for number, state in enumerate(self.states):
            if number != 1 and number not in self.cut:
                apply_peer_feedback(router, feedback_for_peers(state, now), now)
                apply_peer_feedback(state, feedback_for_peers(router, now), now)

    def _arrive(self, now: float) -> None:
        is_burst = any(start <= now < end for start, end in self.bursts)
        share = BURST_SHARE if is_burst else USUAL_SHARE
        per_s = share * len(self.endpoints) * SLOTS / self.work_s
        self._schedule(now + self.random.expovariate(per_s), self._arrive)
        box = self.random.randrange(self.boxes if now >= self.idle_until else (self.boxes + 1) // 2)
        counted = self._is_counted(now) and not is_burst
        self.offered += counted
        self._request(box, now, now + PATIENCE_S, counted)

    def _is_counted(self, now: float) -> bool:
        """Tell whether a request that arrives now has to be served, except in a burst."""
        return now > STATED_FROM + PROPAGATION_S

    def _request(self, box: int, now: float, until: float, counted: bool) -> None:
        """Serve a request at a box, or pass it on if the box says so."""
        state = self.states[box]
        call = Call("c", "GET", "h", "/", "/", ())
        job = Job(call, b"", CATALOG, ROUTE, CATALOG.services_by_id["plain"], None, now, now + 2.0)
        forwarder = Forwarder(state, None, self.random)
        if forwarder.applies(job, JobProgress()):
            fronts = sorted(forwarder.fronts_of(forwarder.holders(job, JobProgress())))
            asked = self._pick([int(name.partition("-")[2]) for name in fronts], state, now)
            self._pass_on(asked, now + NETWORK_S, until, counted)
        else:
            self._try(box, now, until, counted)

    def _pick(self, boxes: list[int], _: BoxState, now: float) -> list[int]:
        """Return the boxes to pass a request on to, one after another."""
        return self.random.sample(boxes, min(MAX_HOLDERS_ASKED, len(boxes)))

    def _pass_on(self, asked: list[int], now: float, until: float, counted: bool) -> None:
        if asked:
            self._try(
                asked[0],
                now,
                until,
                counted,
                lambda at: self._pass_on(asked[1:], at, at + PATIENCE_S, counted),
            )

    def _try(
        self,
        box: int,
        now: float,
        until: float,
        counted: bool,
        refused: Callable[[float], None] = lambda _: None,
    ) -> None:
        """Send a request from a box as soon as it may, or tell that it is refused."""
        state = self.states[box]
        usable = [item for item in self.endpoints if wait_s(state, item.entry, now, self.random) == 0]
        if not usable:
            again = now + RETRY_S
            self._schedule(
                again, (lambda at: self._try(box, at, until, counted, refused)) if again < until else refused
            )
            return
        known = {item.entry.id: state.endpoint_state(item.entry) for item in usable}
        rested = [item for item in usable if known[item.entry.id].refused_until <= now] or usable
        chosen = min(rested, key=lambda item: (known[item.entry.id].in_flight, self.random.random()))
        load = known[chosen.entry.id]
        load.in_flight += 1
        count_sent(state, chosen.entry, now, self.random)
        self._schedule(now + NETWORK_S, lambda at: self._reach(chosen, state, load, now, at, counted))

    def _reach(
        self, endpoint: SimulatedEndpoint, state: BoxState, load, sent_at: float, now: float, counted: bool
    ) -> None:
        if now < endpoint.down_until:
            self._schedule(now + NETWORK_S, lambda at: self._end(endpoint, state, load, sent_at, at, None))
            return
        done_at = endpoint.take(now)
        if endpoint.down_until > now:
            self._schedule(endpoint.down_until, lambda at: self._come_back(endpoint, at))
        status = 503 if done_at is None else 200
        self.served += counted and status == 200
        self._schedule(
            (done_at or now) + NETWORK_S, lambda at: self._end(endpoint, state, load, sent_at, at, status)
        )

    def _end(
        self,
        endpoint: SimulatedEndpoint,
        state: BoxState,
        load,
        sent_at: float,
        now: float,
        status: int | None,
    ) -> None:
        """Record at a box how an attempt ended; status: None if no connection was made."""
        load.in_flight -= 1
        if status != 200:
            load.refused_until = now + BUSY_BACKOFF_S
        if status is None:
            return
        headers = CIMultiDict({"Not-Executed": "1"} if status == 503 else {})
        if endpoint.states(now):
            headers["Server-Brittle"] = str(self.bears)
        said = parse_feedback(CIMultiDictProxy(headers), status)
        apply_feedback(state, endpoint.entry, load, said, sent_at, now)

    def _come_back(self, endpoint: SimulatedEndpoint, now: float) -> None:
        """Start a new process of an endpoint, which no box has an answer of."""
        endpoint.entry = Endpoint(
            endpoint.entry.id, "plain", endpoint.entry.address, "hall-a", SLOTS, born=endpoint.entry.born + 1
        )
        for state in self.states:
            apply_endpoints(state, self._entries(int(now * 1000)), now)


@pytest.fixture(autouse=True)
def virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Have boxes that pass requests on read the time of the simulation."""
    monkeypatch.setattr(forwarding, "monotonic", lambda: Simulation.now)


def assert_few_falls(played: Simulation) -> None:
    assert played.falls <= 2 + 0.1 * len(played.endpoints)
    assert played.served >= MIN_SERVED_SHARE * played.offered


@pytest.mark.parametrize("bears", (2.0, 5.0, 20.0))
@pytest.mark.parametrize("boxes", FLEETS)
def test_bursts_of_twice_the_room_make_few_endpoints_fall(boxes, bears):
    """Guards against boxes that each keep to their own requests, and together reject an endpoint to death."""
    assert_few_falls(Simulation(boxes, bears, boxes).run())


@pytest.mark.parametrize("boxes", FLEETS)
def test_boxes_that_were_idle_when_it_began_make_no_endpoint_fall(boxes):
    assert_few_falls(Simulation(boxes, 2.0, boxes, idle_until=20.0).run())


@pytest.mark.parametrize("boxes", FLEETS)
def test_boxes_that_no_router_answers_make_no_endpoint_fall(boxes):
    cut = frozenset(number for number in range(boxes) if number % 3 == 2)
    assert_few_falls(Simulation(boxes, 2.0, boxes, cut=cut).run())


@pytest.mark.parametrize("boxes", FLEETS)
def test_boxes_that_start_during_a_burst_make_no_endpoint_fall(boxes):
    assert_few_falls(Simulation(boxes, 2.0, boxes, restarts_at=17.0).run())


@pytest.mark.parametrize("work_s", (WORK_S, 10 * WORK_S))
@pytest.mark.parametrize("boxes", FLEETS)
def test_queues_that_are_full_when_the_statement_comes_make_no_endpoint_fall(boxes, work_s):
    """Guards against boxes that use their places at endpoints whose queue is still that of before."""
    bursts = ((STATED_FROM - 2.0, STATED_FROM + PROPAGATION_S + 1.0), (26.0, 28.0))
    assert_few_falls(Simulation(boxes, 2.0, boxes, bursts=bursts, work_s=work_s).run())
