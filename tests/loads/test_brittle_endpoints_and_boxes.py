"""Pattern: endpoints fall over when they reject too much, while boxes are lost or disagree on who is alive.

Figures as in `test_brittle_endpoints`, and 85 boxes as on a deployment with three plain endpoints. A killed
box counts as alive until its row is old, and an added one only once the others have read its row: with many
boxes both take up to a minute. In one time of brittleness, 2 and a tenth of the endpoints may fall.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import pytest

from stairquay.serving import forwarding
from stairquay.serving.boxes import HEARTBEAT_INTERVAL_S, MAX_BOXES_AT_MIN_INTERVAL, MISSED_HEARTBEATS
from stairquay.serving.forwarding import MAX_HOLDERS_ASKED
from stairquay.serving.state import BoxState
from stairquay.serving.substitutes import PROBE_INTERVAL_S, boxes_to_probe
from tests.loads.test_brittle_endpoints import (
    DOWN_S,
    MIN_SERVED_SHARE,
    PROPAGATION_S,
    STATED_FROM,
    SimulatedEndpoint,
    Simulation,
    assert_few_falls,
)

SIZES = (6, 71, 85, 195, 330)
CHANGES_AT = 21.0


def row_timeout_s(boxes: int) -> float:
    return MISSED_HEARTBEATS * HEARTBEAT_INTERVAL_S * max(1.0, boxes / MAX_BOXES_AT_MIN_INTERVAL)


@dataclass
class ChangingFleet(Simulation):
    """A fleet whose boxes may be dead, and go by lists of their own. change: called at CHANGES_AT."""

    change: Callable[["ChangingFleet"], None] = lambda _: None
    down_until: float = 0.0
    dead: frozenset[int] = frozenset()

    def _disturb(self, now: float) -> None:
        self._schedule(CHANGES_AT, lambda _: self.change(self))
        self._schedule(self.random.random(), self._probe)

    def _request(self, box: int, now: float, until: float, counted: bool) -> None:
        """Send a request; callers come to a box that lives."""
        while box in self.dead:
            box = self.random.randrange(self.boxes)
        super()._request(box, now, until, counted)

    def _is_counted(self, now: float) -> bool:
        """Leave out what comes while all endpoints are down."""
        return not CHANGES_AT <= now < self.down_until and super()._is_counted(now)

    def _pick(self, boxes: list[int], state: BoxState, now: float) -> list[int]:
        """Return the boxes to pass a request on to; a dead one refuses the connection at once."""
        living = []
        for box in self.random.sample(boxes, len(boxes)):
            state.refused_connections.record(f"b-{box}", box in self.dead, now)
            living += [box] if box not in self.dead else []
            if len(living) == MAX_HOLDERS_ASKED:
                break
        return living

    def _probe(self, now: float) -> None:
        """Have all boxes probe those whose places they might take over."""
        self._schedule(now + PROBE_INTERVAL_S, self._probe)
        for number, state in enumerate(self.states):
            for name in () if number in self.dead else boxes_to_probe(state, now):
                is_refused = int(name.removeprefix("b-")) in self.dead
                state.refused_connections.record(name, is_refused, now)

    def use_list(self, box: int, names: tuple[str, ...]) -> None:
        """Have a box go by a list of living boxes."""
        state = self.states[box]
        state.boxes = names
        state.fronts_by_box = {name: name for name in names if name != f"b-{box}"}

    def kill(self, share: float) -> None:
        """Kill boxes for good; the others count them until their rows are old."""
        self.dead = frozenset(range(2, self.boxes, round(1 / share)))
        alive = tuple(name for number, name in enumerate(self.names) if number not in self.dead)
        for number in range(self.boxes):
            self._schedule(
                self.now + row_timeout_s(self.boxes), lambda _, box=number: self.use_list(box, alive)
            )


def kill_half(fleet: ChangingFleet) -> None:
    fleet.kill(0.5)


def kill_a_third(fleet: ChangingFleet) -> None:
    fleet.kill(1 / 3)


@pytest.mark.parametrize("kill", (kill_a_third, kill_half))
@pytest.mark.parametrize("boxes", SIZES)
def test_the_places_of_killed_boxes_are_used(boxes, kill):
    """Guards against room that stays unused until the rows of killed boxes are old."""
    assert_few_falls(ChangingFleet(boxes, 2.0, boxes, change=kill).run())


def disagree(fleet: ChangingFleet) -> None:
    """Let a third of the boxes know no added box, and another third count boxes that are gone."""
    known, gone = 2 * fleet.boxes // 3, range(fleet.boxes, fleet.boxes + fleet.boxes // 2)
    fleet.dead = frozenset(gone)
    for number in range(fleet.boxes):
        if number % 3 == 0:
            fleet.use_list(number, fleet.names[:known])
        elif number % 3 == 1:
            fleet.use_list(number, (*fleet.names, *(f"b-{item}" for item in gone)))


@pytest.mark.parametrize("bears", (2.0, 5.0))
@pytest.mark.parametrize("boxes", SIZES)
def test_boxes_that_disagree_on_who_is_alive_make_few_endpoints_fall(boxes, bears):
    """Guards against the same places held by several boxes, each of which goes by its own list."""
    assert_few_falls(ChangingFleet(boxes, bears, boxes, change=disagree).run())


def crash_all(fleet: ChangingFleet) -> None:
    fleet.down_until = fleet.now + DOWN_S
    for endpoint in fleet.endpoints:
        endpoint.down_until = fleet.now + DOWN_S
        endpoint.finish_at = []
        fleet._schedule(endpoint.down_until, lambda at, item=endpoint: fleet._come_back(item, at))


@pytest.mark.parametrize("boxes", SIZES)
def test_endpoints_that_were_all_down_at_once_do_not_fall_as_they_return(boxes):
    """Guards against all that waited meeting the endpoints that are back, which have said nothing yet."""
    assert_few_falls(ChangingFleet(boxes, 2.0, boxes, change=crash_all).run())


STATED_S, DROPPED_S = 5.0, 2.0


@dataclass
class WaveringEndpoint(SimulatedEndpoint):
    """An endpoint that makes its statement and drops it, again and again."""

    def states(self, now: float) -> bool:
        return now >= STATED_FROM and _stated_for_s(now) < STATED_S

    def binds(self, now: float) -> bool:
        return self.states(now) and _stated_for_s(now) >= PROPAGATION_S

    def falls_by_time(self) -> Counter[int]:
        """Return the falls by the number of the time in which it made its statement."""
        return Counter(int((at - STATED_FROM) / (STATED_S + DROPPED_S)) for at in self.fell_at)


def _stated_for_s(now: float) -> float:
    return (now - STATED_FROM) % (STATED_S + DROPPED_S)


@pytest.mark.parametrize("boxes", SIZES)
def test_a_statement_that_is_made_and_dropped_again_and_again_is_heeded(boxes):
    """Guards against boxes that go by a statement of before, or take its end for another endpoint's."""
    fleet = Simulation(boxes, 2.0, boxes, endpoint_kind=WaveringEndpoint).run()
    by_time = sum((endpoint.falls_by_time() for endpoint in fleet.endpoints), Counter())
    assert max(by_time.values(), default=0) <= 2 + 0.1 * len(fleet.endpoints)
    assert fleet.served >= MIN_SERVED_SHARE * fleet.offered


@pytest.fixture(autouse=True)
def virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Have boxes that pass requests on read the time of the simulation."""
    monkeypatch.setattr(forwarding, "monotonic", lambda: Simulation.now)
