"""Engines that a router takes over from another one, and uses once that one cannot place there any more."""

from math import inf
from random import Random

import pytest
from pytest import approx

from stairquay.core.handover import GONE_HANDOVER_S, HANDOVER_S, MAX_HANDOVER_S, PINGED_AGAIN_S, Handovers
from stairquay.core.limits import LimitReport
from stairquay.core.reach import NEVER
from stairquay.core.routers import Member
from stairquay.serving.brittleness import apply_tolerance, brittle_wait_s
from stairquay.serving.links import SUSPECT_S
from stairquay.serving.notices import NOTICE_TIMEOUT_S
from tests.loads.test_limits_of_endpoints import ENGINE, make_box

STEP_S = 0.25
PING_STEP_S = 0.02


def keep_up(handovers: Handovers, engines: set[str], begin: float, end: float) -> float:
    """Update several times a second; return the time of the last update."""
    now = begin
    while now < end:
        handovers.update(engines, now)
        now += STEP_S
    handovers.update(engines, end)
    return end


def test_an_engine_that_is_taken_over_is_left_alone_for_a_while():
    """Guards against two routers that fill an engine at the same time."""
    handovers = Handovers()
    handovers.update({"e-1"}, 0.0)
    assert handovers.wait_s("e-1", 0.0) == HANDOVER_S and handovers.wait_s("e-2", 0.0) is None
    now = keep_up(handovers, {"e-1"}, 0.0, HANDOVER_S)
    assert handovers.wait_s("e-1", now) == 0.0
    handovers.update({"e-1", "e-2"}, now)
    assert handovers.wait_s("e-1", now) == 0.0 and handovers.wait_s("e-2", now) == HANDOVER_S
    handovers.update({"e-2"}, now)
    handovers.update({"e-1", "e-2"}, now + STEP_S)
    assert handovers.wait_s("e-1", now + STEP_S) == HANDOVER_S


def test_a_router_that_was_paused_takes_its_engines_over_anew():
    """Guards against a router that goes on with its old account while another one has taken over."""
    handovers = Handovers()
    now = keep_up(handovers, {"e-1"}, 0.0, HANDOVER_S)
    pause_s = HANDOVER_S - PINGED_AGAIN_S
    short = now + pause_s - 0.1
    assert handovers.wait_s("e-1", short) == 0.0
    handovers.update({"e-1"}, short)
    assert handovers.wait_s("e-1", short) == 0.0
    now = keep_up(handovers, {"e-1"}, short, short + 2 * PINGED_AGAIN_S)
    late = now + pause_s + 0.1
    assert handovers.wait_s("e-1", late) == approx(HANDOVER_S)
    handovers.update({"e-1"}, late)
    assert handovers.wait_s("e-1", late) == approx(HANDOVER_S)


@pytest.mark.parametrize("foreign_for_s, used_after_s", ((1.0, 1.0 + HANDOVER_S), (inf, MAX_HANDOVER_S)))
def test_an_engine_with_runs_of_another_router_is_left_alone_for_longer(foreign_for_s, used_after_s):
    """Guards against an engine that its old router still fills, and against one that is never used again."""
    handovers = Handovers()
    now = 0.0
    handovers.update({"e-1"}, now)
    while handovers.wait_s("e-1", now):
        if now <= foreign_for_s:
            handovers.record_foreign_runs("e-1", now)
        now += STEP_S
        handovers.update({"e-1"}, now)
    assert used_after_s <= now <= used_after_s + STEP_S


def test_only_the_router_of_a_brittle_engine_sends_prompts_there():
    """Guards against boxes that place by themselves, or at engines of a slow router."""
    box = make_box("b-1", 6)
    apply_tolerance(box, ENGINE, box.endpoint_state(ENGINE), LimitReport(2.0, 1.0, 1.0))
    box.routers = (Member("b-2", "127.0.0.1:1"),)
    assert brittle_wait_s(box, ENGINE, 2.0) == inf
    box.routed_engines = frozenset((ENGINE.id,))
    keep_up(box.handovers, {ENGINE.id}, 2.0, 2.0 + HANDOVER_S)
    assert brittle_wait_s(box, ENGINE, 2.0 + HANDOVER_S) == 0.0


def test_a_box_that_knows_no_router_goes_by_its_places():
    box = make_box("b-0", 1)
    box.routers = ()
    apply_tolerance(box, ENGINE, box.endpoint_state(ENGINE), LimitReport(2.0, 1.0, 1.0))
    assert brittle_wait_s(box, ENGINE, 2.0) == 0.0


def test_engines_of_a_router_that_is_gone_are_used_once_reports_tell_its_runs():
    """Guards against engines that stay unused for seconds after the kill of their router."""
    handovers = Handovers()
    handovers.update({"e-1"}, 0.0)
    handovers.record_foreign_runs("e-1", 0.5)
    handovers.record_gone(0.5)
    handovers.record_gone(1.0)
    now = keep_up(handovers, {"e-1"}, 0.5, 0.5 + GONE_HANDOVER_S)
    assert handovers.wait_s("e-1", now) == 0.0


def test_a_router_that_answers_again_is_not_gone():
    """Guards against two routers that use an engine after a restart of the first."""
    handovers = Handovers()
    handovers.update({"e-1"}, 0.0)
    handovers.record_gone(0.5)
    handovers.restart(0.6)
    now = keep_up(handovers, {"e-1"}, 0.6, 0.6 + GONE_HANDOVER_S)
    assert handovers.wait_s("e-1", now) == approx(HANDOVER_S - GONE_HANDOVER_S)


class Pinger:
    """A router that pings another one, and takes its engine over while it suspects that one."""

    def __init__(self) -> None:
        self.handovers = Handovers()
        self.sent_at = NEVER
        self.suspected_until = NEVER

    def step(self, now: float, other_runs: bool) -> None:
        if self.sent_at == NEVER:
            self.sent_at = now
        if other_runs:
            # The answer to a ping that waited arrives at once.
            self.suspected_until = NEVER
            self.handovers.restart(now)
            self.sent_at = NEVER
        elif now - self.sent_at >= NOTICE_TIMEOUT_S:
            self.suspected_until = now + SUSPECT_S
            self.sent_at = NEVER
        self.handovers.update({"e-1"} if now < self.suspected_until else set(), now)


@pytest.mark.parametrize("seed", range(50))
def test_two_routers_of_which_one_is_paused_again_and_again_never_use_an_engine_together(seed):
    """Guards against an engine that two routers use after short pauses of the first, one after another."""
    random = Random(seed)
    first, second = Handovers(), Pinger()
    paused_until, next_pause, next_update, taken_over = 0.0, 5.0, 0.0, 0
    for step in range(6_000):
        now = step * PING_STEP_S
        if now >= next_pause:
            paused_until = now + random.choice((0.3, 0.7, 1.2, 1.45, 1.6, 3.0, 8.0))
            next_pause = paused_until + random.choice((0.05, 0.3, 0.6, 1.0, 2.0, 6.0))
        runs = now >= paused_until
        second.step(now, runs)
        if not runs:
            taken_over += second.handovers.wait_s("e-1", now) == 0.0
            continue
        in_use = first.wait_s("e-1", now) == 0.0 and second.handovers.wait_s("e-1", now) == 0.0
        assert not in_use, now
        if now >= next_update:
            first.update({"e-1"}, now)
            next_update = now + STEP_S
    assert taken_over
