"""Pattern: the table service is silent or takes no writes for long, so that all boxes' rows grow old at once.

Budgets and limits are split by the number of boxes. Figures: 6, 71 and 195 boxes are the deployments', 330
the largest planned; a silence of 60 s is longer than any of a day.
"""

from random import Random

import pytest

from stairquay.adapters.clock import monotonic
from stairquay.core.row import Row
from stairquay.serving.boxes import (
    HEARTBEAT_INTERVAL_S,
    MAX_BOXES_AT_MIN_INTERVAL,
    MISSED_HEARTBEATS,
    BoxRegistry,
)
from stairquay.serving.state import BoxState
from tests.states import box_state

FLEET_SIZES = (6, 71, 195, 330)


class TableWithoutClock:
    """Stub of a table whose clock is not known yet."""

    def clock_offset(self):
        return None


def interval_s(boxes: int) -> float:
    return HEARTBEAT_INTERVAL_S * max(1.0, boxes / MAX_BOXES_AT_MIN_INTERVAL)


def make_registry(box: str) -> tuple[BoxState, BoxRegistry]:
    state = box_state(box)
    return state, BoxRegistry(state, TableWithoutClock(), Random(1))


def rows(boxes: int, revision: int) -> tuple[Row, ...]:
    return tuple(Row(f"box/b-{number}", "", revision * boxes + number, 1) for number in range(boxes))


@pytest.mark.parametrize("boxes", FLEET_SIZES)
def test_a_silent_table_service_takes_no_box_out_of_the_number(boxes):
    """Guards against boxes that each believe that they are alone, and take the whole slack and limit."""
    state, registry = make_registry("b-0")
    at, pause_s = monotonic(), interval_s(boxes)
    for beat in range(4):
        registry._apply_rows(rows(boxes, beat), at + beat * pause_s)
    silent_s = max(60.0, 2 * MISSED_HEARTBEATS * pause_s)
    registry._apply_rows(rows(boxes, 3), at + 3 * pause_s + silent_s)
    assert len(state.boxes) == boxes


@pytest.mark.parametrize("boxes", FLEET_SIZES)
def test_a_table_service_that_takes_no_writes_takes_no_box_out_of_the_number(boxes):
    state, registry = make_registry("b-0")
    at, pause_s = monotonic(), interval_s(boxes)
    registry._apply_rows(rows(boxes, 0), at)
    for beat in range(1, 12):
        registry.write_failed = True
        registry._apply_rows(rows(boxes, 0), at + beat * pause_s)
    assert len(state.boxes) == boxes


@pytest.mark.parametrize("boxes", FLEET_SIZES)
def test_a_box_whose_row_alone_grows_old_is_counted_no_longer(boxes):
    state, registry = make_registry("b-0")
    at, pause_s = monotonic(), interval_s(boxes)
    for beat in range(6):
        silent = rows(boxes, 0)[-1]
        registry._apply_rows((*rows(boxes, beat)[:-1], silent), at + beat * pause_s)
    assert len(state.boxes) == boxes - 1


@pytest.mark.parametrize("boxes", FLEET_SIZES)
def test_a_box_that_cannot_write_its_row_takes_none_of_the_slack(boxes):
    """Guards against a box that the others have shared out already."""
    state, registry = make_registry("b-0")
    at, pause_s = monotonic(), interval_s(boxes)
    registry._apply_rows(rows(boxes, 0), at - MISSED_HEARTBEATS * pause_s)
    state.row_written_at = at - MISSED_HEARTBEATS * pause_s
    # A box takes nothing before it has read the rows after writing its own.
    registry._apply_rows(rows(boxes, 1), at)
    assert state.known_boxes_for_s(at) == 0
    state.row_written_at = at - pause_s
    assert state.known_boxes_for_s(at) > 0
