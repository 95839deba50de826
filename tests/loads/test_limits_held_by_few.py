"""Pattern: an endpoint names a limit, and boxes get uneven shares of the requests, come or go.

A few boxes hold the limit, and all others pass their requests on to them. Guards against limits that are
passed while boxes disagree on who holds them, and against limits that stay unused beside boxes whose callers
are refused. Figures: as in test_limits_of_endpoints; boxes learn of others within 4 s, and of those that
refuse connections within 3 s.
"""

from collections.abc import Callable
from random import Random

import pytest

from stairquay.serving.pacing import limit_holders
from stairquay.serving.state import BoxState
from tests.loads.test_limits_of_endpoints import (
    FLEET_SIZES,
    LIMIT_STARTS_AT,
    MAX_PROPAGATION_S,
    PLAIN,
    Simulation,
    constant_limit,
    make_box,
    make_fleet,
    max_in_window,
)

ENDS_AT = 60.0
CHANGES_AT, CHANGE_KNOWN_S = 35.0, 4.0
MIN_SERVED_AT_ONCE = 0.95
"""Least share of the requests that a box or its holder sends at once, at the offered share of the limit."""

OFFERED_SHARE = 0.9


class ChangingFleet(Simulation):
    """A fleet in which boxes go or come, which the others learn at different times.

    changes: what happens, by time, in order.
    """

    def __init__(self, per_s: float, boxes: list[BoxState], offered_per_s: float, seed: int = 1) -> None:
        routers = boxes[:2]
        super().__init__(PLAIN, constant_limit(per_s), boxes, routers, lambda box, now: box % 2, seed)
        self.offered_per_s = offered_per_s
        self.changes: list[tuple[float, Callable[[], None]]] = []
        self.gone: set[int] = set()

    def _try_send(self, box: int, now: float, random: Random) -> int | None:
        while self.changes and self.changes[0][0] <= now:
            self.changes.pop(0)[1]()
        if box in self.gone:
            return None
        return super()._try_send(box, now, random)

    def _send_if_allowed(self, state: BoxState, now: float, random: Random) -> bool:
        return self.number_by_name[state.settings.id] not in self.gone and super()._send_if_allowed(
            state, now, random
        )

    def learn(self, names: tuple[str, ...], random: Random) -> None:
        """Have all boxes learn of a new list of boxes, each at a time of its own."""
        for state in self.boxes:
            at = CHANGES_AT + CHANGE_KNOWN_S * random.random()
            self.changes.append((at, lambda state=state, at=at: know_boxes(state, names, at)))
        self.changes.sort(key=lambda change: change[0])


def know_boxes(state: BoxState, names: tuple[str, ...], at: float) -> None:
    """Have a box learn of a new list of boxes."""
    state.boxes, state.boxes_changed_at, state.row_valid_s = names, at, 2 * CHANGE_KNOWN_S


def assert_within_limit(played: Simulation, per_s: float) -> None:
    counts = played.window_counts(LIMIT_STARTS_AT + MAX_PROPAGATION_S, ENDS_AT)
    assert max(counts) <= max_in_window(per_s)


def served_share(played: Simulation, start: float, end: float) -> float:
    """Return the share of the requests in a span that were sent at once."""
    offered = sum(start <= at < end for at in played.offered_at)
    return sum(start <= at < end for at, _ in played.arrived) / offered


def nine_in_ten_at_one(boxes: int) -> Callable[[float, Random], int]:
    """Return a way of picking boxes: nine in ten requests come to one, and later to another."""

    def pick(now: float, random: Random) -> int:
        favourite = 2 if now < CHANGES_AT else 4
        return favourite if random.random() < 0.9 else random.randrange(boxes)

    return pick


@pytest.mark.parametrize("skewed", (False, True))
@pytest.mark.parametrize("per_s", (9.0, 25.0))
@pytest.mark.parametrize("boxes", FLEET_SIZES)
def test_requests_below_a_limit_are_served_at_once_wherever_they_come_in(boxes, per_s, skewed):
    played = ChangingFleet(per_s, make_fleet(boxes), OFFERED_SHARE * per_s)
    played.pick_box = nine_in_ten_at_one(boxes) if skewed else None
    played.run(ENDS_AT)
    assert_within_limit(played, per_s)
    assert served_share(played, LIMIT_STARTS_AT + MAX_PROPAGATION_S, ENDS_AT) >= MIN_SERVED_AT_ONCE


@pytest.mark.parametrize("per_s", (1.0, 9.0, 25.0))
@pytest.mark.parametrize("boxes", FLEET_SIZES)
def test_a_limit_is_kept_while_its_holders_are_lost_and_used_again_afterwards(boxes, per_s):
    played = ChangingFleet(per_s, make_fleet(boxes), 60.0)
    holders = limit_holders_of(played.boxes[0], per_s)
    lost = [played.number_by_name[name] for name in holders[:-1]]
    lost += [number for number in range(2, boxes) if number not in lost][: boxes // 3 - len(lost)]
    left = tuple(name for name, number in played.number_by_name.items() if number not in lost)
    played.changes.append((CHANGES_AT, lambda: played.gone.update(lost)))
    played.learn(left, Random(boxes))
    played.run(ENDS_AT)
    assert_within_limit(played, per_s)
    assert played.rate(CHANGES_AT + CHANGE_KNOWN_S + 1, ENDS_AT) >= 0.6 * per_s


@pytest.mark.parametrize("per_s", (1.0, 9.0, 25.0))
@pytest.mark.parametrize("boxes", FLEET_SIZES)
def test_a_limit_is_kept_while_boxes_come_that_not_all_know(boxes, per_s):
    new = [make_box(f"new-{number}", boxes) for number in range(boxes // 2)]
    old = make_fleet(boxes)
    names = (*old[0].boxes, *(state.settings.id for state in new))
    for state in new:
        # A box that starts reads the rows of all others and writes its own.
        know_boxes(state, names, CHANGES_AT)
    played = ChangingFleet(per_s, [*old, *new], 60.0)
    played.pick_box = lambda now, random: random.randrange(boxes if now < CHANGES_AT else len(played.boxes))
    played.learn(names, Random(boxes))
    played.run(ENDS_AT)
    assert_within_limit(played, per_s)
    assert played.rate(CHANGES_AT + CHANGE_KNOWN_S + 1, ENDS_AT) >= 0.6 * per_s


def limit_holders_of(state: BoxState, per_s: float) -> tuple[str, ...]:
    """Return the boxes that hold the endpoint's limit once it names one."""
    told = make_box(state.settings.id, len(state.boxes))
    played = ChangingFleet(per_s, [told], 60.0).run(LIMIT_STARTS_AT + MAX_PROPAGATION_S)
    return limit_holders(played.boxes[0], PLAIN, LIMIT_STARTS_AT + MAX_PROPAGATION_S)
