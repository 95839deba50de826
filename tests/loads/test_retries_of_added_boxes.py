"""Pattern: all requests fail while boxes are added, start together, freeze, lose the table service or return.

The slack of the retry budget is split by the number of boxes, which each box reads from the table service
with its heartbeats. Figures: 6 and 71 boxes are the deployments', 330 the largest planned; a day may double
them. Over all boxes, the retries in any window of 10 s must stay within the slack and a fifth of the
requests in it, in the one before, or in the one half a window before.
"""

from collections.abc import Coroutine
from dataclasses import dataclass, field
from random import Random
from typing import Any

import pytest
from result import Err, Ok

from stairquay.adapters.ports import Commit, Committed
from stairquay.core.budget import RetryAllowance
from stairquay.core.clock import ClockOffset
from stairquay.core.row import Row
from stairquay.serving import boxes as registry_module
from stairquay.serving import state as state_module
from stairquay.serving.boxes import JITTER, KEY_PREFIX, BoxRegistry
from stairquay.serving.state import BoxState
from tests.states import box_state

WINDOW_S = 10.0
RATIO = 0.2
STEP_S = 0.25
STEPS_PER_WINDOW = round(WINDOW_S / STEP_S)
SETTLED_S = 40.0
"""Seconds until all boxes that started together have read all rows, and two windows of requests are over."""

QUIET_SHARE = 0.02
"""Share of the usual requests where the slack is most of what is allowed."""

FLEETS = {6: (72.0, 52.0), 71: (370.0, 182.0), 330: (1_700.0, 730.0)}
"""Requests per second for the service, and the slack, by the number of boxes."""

SERVICE = "svc"


class Clock:
    """The time of the simulation."""

    now = 0.0


class Table:
    """A table service without delays.

    cut: boxes that it does not answer. unwritten: boxes whose writes it refuses. unread: those that get no
    rows.
    """

    def __init__(self) -> None:
        self.rows_by_key: dict[str, Row] = {}
        self.revision = 0
        self.cut: set[str] = set()
        self.unwritten: set[str] = set()
        self.unread: set[str] = set()


class BoxTable:
    """One box's way to the table."""

    def __init__(self, table: Table, box: str) -> None:
        self.table, self.box = table, box

    async def list_prefix(self, _: str):
        if self.box in self.table.cut | self.table.unread:
            return Err("cut")
        return Ok(tuple(self.table.rows_by_key.values()))

    async def commit(self, commit: Commit):
        if self.box in self.table.cut | self.table.unwritten:
            return Err("refused")
        self.table.revision += 1
        for write in commit.writes:
            self.table.rows_by_key[write.key] = Row(write.key, write.value, self.table.revision)
        return Ok(Committed(self.table.revision))

    def clock_offset(self) -> ClockOffset:
        return ClockOffset(0.0, 0.0)


@dataclass
class SimulatedBox:
    """A box with its registry. frozen_until: it does nothing before."""

    name: str
    table: Table
    random: Random
    state: BoxState = field(init=False)
    registry: BoxRegistry = field(init=False)
    read_at: float = 0.0
    frozen_until: float = 0.0

    def __post_init__(self) -> None:
        self.start()

    def start(self) -> None:
        """Start the box, or its next process."""
        self.state = box_state(self.name)
        self.registry = BoxRegistry(self.state, BoxTable(self.table, self.name), self.random)
        self.read_at = Clock.now

    def beat_if_due(self) -> None:
        """Read the rows and write this box's, as `BoxRegistry.run` does."""
        if Clock.now < self.read_at:
            return
        self.state.view_asked_at = Clock.now
        found = run_at_once(self.registry.own.list_prefix(KEY_PREFIX))
        if not isinstance(found, Err):
            self.registry._apply_rows(found.ok_value, Clock.now)
        self.registry.write_failed = not run_at_once(self.registry._write_heartbeat())
        pause_s = self.registry._next_pause_s() * (1 + JITTER * (self.random.random() - 0.5))
        self.read_at = Clock.now + pause_s


def run_at_once(call: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that never waits."""
    try:
        call.send(None)
    except StopIteration as done:
        return done.value
    raise AssertionError("it waited")


class Simulation:
    """Boxes whose requests all fail, so that each takes every retry that it may."""

    def __init__(self, boxes: int, load: float = QUIET_SHARE, settled: bool = True) -> None:
        self.random, self.table = Random(boxes), Table()
        usual_per_s, self.slack = FLEETS[boxes]
        self.per_s = load * usual_per_s
        self.allowance = RetryAllowance(RATIO, self.slack, WINDOW_S)
        # By step, over all boxes.
        self.requests: list[int] = []
        self.retries: list[int] = []
        self.boxes = self.add(boxes, "b")
        if settled:
            self.run(SETTLED_S, fails=False)

    def add(self, number: int, prefix: str) -> list[SimulatedBox]:
        """Start boxes within a second."""
        added = [SimulatedBox(f"{prefix}-{item}", self.table, self.random) for item in range(number)]
        for box in added:
            box.read_at = Clock.now + self.random.random()
        return added

    def run(self, seconds: float, fails: bool = True) -> None:
        """Let time pass, in which all requests fail or none."""
        end = Clock.now + seconds
        while Clock.now < end:
            Clock.now += STEP_S
            running = [box for box in self.boxes if Clock.now >= box.frozen_until]
            for box in running:
                box.state.retry_budget(SERVICE).use_allowance(self.allowance)
                box.beat_if_due()
            arrived = round(self.per_s * STEP_S)
            for _ in range(arrived):
                box = self.random.choice(self.boxes)
                if Clock.now >= box.frozen_until:
                    box.state.retry_budget(SERVICE).on_request(Clock.now)
            self.requests.append(arrived)
            self.retries.append(sum(self._take_all(box) for box in running) if fails else 0)

    def _take_all(self, box: SimulatedBox) -> int:
        taken = 0
        while box.state.take_retry(SERVICE):
            taken += 1
        return taken

    def share(self, first: int = 0) -> float:
        """Return the retries of the fullest window from a step on, as a share of what is allowed in it."""
        return max(self._window_share(start) for start in range(first, len(self.retries)))

    def _window_share(self, start: int) -> float:
        width = STEPS_PER_WINDOW
        starts = (start, max(0, start - width // 2), max(0, start - width))
        requests = max(sum(self.requests[at : at + width]) for at in starts)
        return sum(self.retries[start : start + width]) / (RATIO * requests + self.slack)


@pytest.fixture(autouse=True)
def virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    Clock.now = 0.0
    for module in (registry_module, state_module):
        monkeypatch.setattr(module, "monotonic", lambda: Clock.now)


@pytest.mark.parametrize("boxes", FLEETS)
def test_boxes_that_are_added_take_no_slack_that_the_others_have_not_given_up(boxes):
    """Guards against added boxes that count the others before the others count them."""
    fleet = Simulation(boxes)
    fleet.run(WINDOW_S)
    fleet.boxes += fleet.add(boxes, "added")
    fleet.run(40.0)
    assert fleet.share() <= 1.0


@pytest.mark.parametrize("boxes", FLEETS)
def test_boxes_that_start_together_do_not_each_take_the_whole_slack(boxes):
    """Guards against boxes that read an empty table, and count themselves alone until the next one."""
    fleet = Simulation(boxes, settled=False)
    fleet.run(2 * WINDOW_S)
    assert fleet.share() <= 1.0


@pytest.mark.parametrize("frozen_s", (3.0, 20.0, 90.0))
@pytest.mark.parametrize("boxes", FLEETS)
def test_boxes_that_thaw_take_no_slack_that_others_have_shared_out(boxes, frozen_s):
    """Guards against thawed boxes that go by an old number, or that the others count no longer."""
    fleet = Simulation(boxes)
    for box in fleet.boxes[::2]:
        box.frozen_until = Clock.now + frozen_s
    fleet.run(frozen_s + 40.0)
    assert fleet.share() <= 1.0


@pytest.mark.parametrize("cut_s", (10.0, 60.0))
@pytest.mark.parametrize("boxes", FLEETS)
def test_boxes_that_the_table_service_turned_away_take_no_slack_that_others_have_shared_out(boxes, cut_s):
    fleet = Simulation(boxes)
    fleet.table.cut = {box.name for box in fleet.boxes[::3]}
    fleet.run(cut_s)
    fleet.table.cut = set()
    fleet.run(60.0)
    assert fleet.share() <= 1.0


@pytest.mark.parametrize("boxes", FLEETS)
def test_boxes_that_are_added_while_others_are_frozen_and_cut_keep_to_the_slack(boxes):
    fleet = Simulation(boxes)
    fleet.run(WINDOW_S)
    for box in fleet.boxes[::6]:
        box.frozen_until = Clock.now + 4.0
    fleet.table.cut = {box.name for box in fleet.boxes[1::6]}
    fleet.boxes += fleet.add(boxes, "added")
    fleet.run(12.0)
    fleet.table.cut = set()
    fleet.run(60.0)
    assert fleet.share() <= 1.0


@pytest.mark.parametrize("boxes", FLEETS)
def test_boxes_that_were_gone_for_long_take_no_slack_before_the_others_count_them(boxes):
    """Guards against a row of long ago that a box takes for one that the others still count."""
    fleet = Simulation(boxes)
    gone, fleet.boxes = fleet.boxes[::2], fleet.boxes[1::2]
    fleet.run(250.0, fails=False)
    fleet.run(WINDOW_S)
    for box in gone:
        box.start()
    fleet.boxes += gone
    fleet.run(60.0)
    assert fleet.share() <= 1.0


@pytest.mark.parametrize("boxes", FLEETS)
def test_added_boxes_that_never_wrote_a_row_take_no_slack(boxes):
    """Guards against boxes that read the others' rows, and that no other box can count."""
    fleet = Simulation(boxes)
    fleet.table.unwritten = {f"added-{number}" for number in range(boxes)}
    fleet.boxes += fleet.add(boxes, "added")
    fleet.run(3 * WINDOW_S)
    fleet.table.unwritten = set()
    fleet.run(4 * WINDOW_S)
    assert fleet.share() <= 1.0


@pytest.mark.parametrize("boxes", FLEETS)
def test_boxes_that_get_no_rows_while_others_are_added_keep_to_the_slack(boxes):
    """Guards against boxes that go by a number of long ago, though their own rows are new."""
    fleet = Simulation(boxes)
    fleet.table.unread = {box.name for box in fleet.boxes}
    fleet.boxes += fleet.add(boxes, "added")
    fleet.run(4 * WINDOW_S)
    fleet.table.unread = set()
    fleet.run(2 * WINDOW_S)
    assert fleet.share() <= 1.0


@pytest.mark.parametrize("silent", ("cut", "unwritten"))
@pytest.mark.parametrize("boxes", FLEETS)
def test_boxes_that_start_together_as_the_table_service_fails_do_not_each_take_the_whole_slack(boxes, silent):
    """Guards against boxes that know only those that had written a row before them."""
    fleet = Simulation(boxes, settled=False)
    names = {box.name for box in fleet.boxes}
    if silent == "cut":
        fleet.run(STEP_S)
        while len(fleet.table.rows_by_key) < boxes / 2:
            fleet.run(STEP_S)
    setattr(fleet.table, silent, names)
    fleet.run(3 * WINDOW_S)
    setattr(fleet.table, silent, set())
    fleet.run(4 * WINDOW_S)
    assert fleet.share() <= 1.0


MIN_USED_SHARE = 0.55
"""Share of what is allowed that boxes use in a window in which nothing changes."""


@pytest.mark.parametrize("boxes", FLEETS)
def test_boxes_that_were_killed_together_keep_to_the_slack_and_use_it_again(boxes):
    """Guards against the same slack spent by both processes, and boxes that wait for others in vain."""
    fleet = Simulation(boxes, load=1.0)
    fleet.run(WINDOW_S)
    assert fleet.share() >= MIN_USED_SHARE
    for box in fleet.boxes:
        box.start()
        box.read_at += 0.5 * fleet.random.random()
    restarted = len(fleet.retries)
    fleet.run(4 * WINDOW_S)
    assert fleet.share() <= 1.0
    assert fleet.share(restarted + 2 * STEPS_PER_WINDOW) >= MIN_USED_SHARE


@pytest.mark.parametrize("boxes", FLEETS)
def test_added_boxes_use_their_part_of_the_slack_soon(boxes):
    """Guards against boxes that wait for good to be counted."""
    fleet = Simulation(boxes, load=1.0)
    fleet.boxes += fleet.add(boxes, "added")
    longest_pause_s = fleet.boxes[0].registry._heartbeat_interval_s() * (1 + JITTER)
    fleet.run(longest_pause_s + 3 * WINDOW_S, fails=False)
    fleet.run(2 * WINDOW_S)
    assert fleet.share() >= MIN_USED_SHARE
