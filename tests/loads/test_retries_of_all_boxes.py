"""Pattern: connections to all endpoints break at once, and boxes are lost, restarted, or get others' callers.

Figures: 6, 71 and 195 boxes are the deployments', 330 the largest planned; requests for one service and the
slack are theirs, or in proportion. Over all boxes, the retries in any window of 10 s must stay within the
slack and a fifth of the requests in it, in the one before, or in the one half a window before.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import pytest

from bench.repeats import ServiceLoad, fullest_window
from stairquay.core.budget import RetryAllowance, WindowedRetryBudget

WINDOW_S = 10.0
RATIO = 0.2
STARTS_AT = 0.0
BREAKS_AT = 30.0
ENDS_AT = 60.0
STEP_S = 0.1
DOWN_S = 1.0
BROKEN_SHARE = 0.4
"""Share of first attempts that fail after all connections broke."""

FLEETS = {6: (72.0, 52.0), 71: (370.0, 182.0), 195: (1_000.0, 430.0), 330: (1_700.0, 730.0)}
"""Requests per second for the service, and the slack, by the number of boxes."""


@dataclass
class SimulatedBox:
    budget: WindowedRetryBudget
    known_at: float
    down_until: float = 0.0
    # Requests of the last second and a half, which fail when all connections break.
    recent: list[float] = field(default_factory=list)


Event = Callable[[float, list[SimulatedBox], Random], None]
"""Changes boxes at each step."""


def new_budget(slack: float) -> WindowedRetryBudget:
    return WindowedRetryBudget(RetryAllowance(RATIO, slack, WINDOW_S))


def restart(box: SimulatedBox, now: float) -> None:
    box.budget = WindowedRetryBudget(box.budget.allowance)
    box.recent = []
    box.down_until = box.known_at = now + DOWN_S


def kill_together(share: float) -> Event:
    def event(now: float, boxes: list[SimulatedBox], random: Random) -> None:
        if now == pytest.approx(BREAKS_AT + 1.0):
            for box in random.sample(boxes, max(1, round(share * len(boxes)))):
                restart(box, now)

    return event


def restart_in_turn(now: float, boxes: list[SimulatedBox], _: Random) -> None:
    """Restart all boxes one after another within 8 s."""
    first = round((now - BREAKS_AT - 1.0) / 8.0 * len(boxes))
    after = round((now + STEP_S - BREAKS_AT - 1.0) / 8.0 * len(boxes))
    for box in boxes[max(0, first) : max(0, after)]:
        restart(box, now)


def stay(now: float, boxes: list[SimulatedBox], random: Random) -> None:
    """Change no box."""


def any_box(_: float, boxes: list[SimulatedBox], random: Random) -> SimulatedBox:
    return random.choice(boxes)


def one_half_then_the_other(now: float, boxes: list[SimulatedBox], random: Random) -> SimulatedBox:
    """Choose among the first half of the boxes until shortly after the connections broke, then the rest."""
    half = (len(boxes) + 1) // 2
    return random.choice(boxes[:half] if now < BREAKS_AT + 1.0 else boxes[half:])


def one_box_after_another(now: float, boxes: list[SimulatedBox], random: Random) -> SimulatedBox:
    """Choose one box for two seconds, then another, from the time when the connections broke."""
    return random.choice(boxes) if now < BREAKS_AT else boxes[int((now - BREAKS_AT) / 2.0) % len(boxes)]


Pick = Callable[[float, list[SimulatedBox], Random], SimulatedBox]
"""Picks the box that a request arrives at."""


def play(boxes_number: int, event: Event, pick: Pick, seed: int) -> float:
    """Return the retries of the fullest window, as a share of what is allowed."""
    random = Random(seed)
    per_s, slack = FLEETS[boxes_number]
    boxes = [SimulatedBox(new_budget(slack), STARTS_AT) for _ in range(boxes_number)]
    traffic = ServiceLoad()

    def retry(box: SimulatedBox, now: float) -> None:
        if box.budget.take(now, boxes_number, now - box.known_at):
            traffic.repeats.append(now)

    for step in range(int(ENDS_AT / STEP_S)):
        now = step * STEP_S
        event(now, boxes, random)
        if now == pytest.approx(BREAKS_AT):
            for box in boxes:
                for _ in box.recent:
                    retry(box, now)
        for _ in range(round(per_s * STEP_S)):
            traffic.requests.append(now)
            box = pick(now, boxes, random)
            if box.down_until > now:
                continue
            box.budget.on_request(now)
            box.recent = [at for at in box.recent if at > now - 1.5] + [now]
            if now > BREAKS_AT and random.random() < BROKEN_SHARE:
                retry(box, now)
    return fullest_window(traffic, RetryAllowance(RATIO, slack, WINDOW_S)).share


@pytest.mark.parametrize("share", (0.2, 0.6, 1.0))
@pytest.mark.parametrize("boxes", FLEETS)
def test_boxes_killed_after_a_burst_of_retries_do_not_spend_the_budget_again(boxes, share):
    """Guards against a new process that allows itself what the one before has spent."""
    assert play(boxes, kill_together(share), any_box, boxes) <= 1.0


@pytest.mark.parametrize("boxes", FLEETS)
def test_boxes_restarted_in_turn_after_a_burst_of_retries_do_not_spend_the_budget_again(boxes):
    assert play(boxes, restart_in_turn, any_box, boxes) <= 1.0


@pytest.mark.parametrize("pick", (one_half_then_the_other, one_box_after_another))
@pytest.mark.parametrize("boxes", FLEETS)
def test_callers_who_move_to_other_boxes_do_not_earn_them_more_retries(boxes, pick):
    """Guards against budgets of which each keeps to its own requests, at different times."""
    assert play(boxes, stay, pick, boxes) <= 1.0


MIN_USED_SHARE = 0.55
"""Share of what is allowed that boxes use where all stay and most requests fail."""


@pytest.mark.parametrize("boxes", FLEETS)
def test_boxes_that_stay_use_most_of_the_budget(boxes):
    assert MIN_USED_SHARE <= play(boxes, stay, any_box, boxes) <= 1.0
