"""A machine that is suspended for seconds: its steady clock stands still meanwhile, and all else goes on.

Boxes counted ages and limits by a clock that does not count such a time. A box that was suspended for six
seconds took its view for as young as before, and sent requests with keys that had been taken away, gave
orders under a lease that another box had taken over, and worked on requests whose time had long run out.
"""

import time
from importlib import import_module

import pytest

from stairquay.core.lease import Held, LeaseRow
from stairquay.serving.following import apply_endpoints, apply_operators
from stairquay.serving.orders import OrderGiver
from stairquay.serving.ports import EndpointChanges, OperatorChanges
from tests.states import box_state

SUSPENDED_S = 6.0


@pytest.fixture
def suspend(monkeypatch):
    """Return a function that has the machine suspended: only the clock that counts such times goes on."""
    passed = 0.0
    real = time.clock_gettime

    def clock_gettime(clock: int) -> float:
        return real(clock) + (passed if clock == time.CLOCK_BOOTTIME else 0.0)

    def go() -> None:
        nonlocal passed
        passed += SUSPENDED_S

    monkeypatch.setattr("time.clock_gettime", clock_gettime)
    return go


def now_of(module: str) -> float:
    """Return the time as a module of the box has it."""
    return import_module(f"stairquay.serving.{module}").monotonic()


def test_ages_of_views_keys_and_leases_count_the_time_of_a_suspension(suspend):
    state = box_state()
    apply_operators(state, OperatorChanges(1, True), now_of("following"))
    apply_endpoints(state, EndpointChanges(1, True), now_of("following"))
    state.suspect("box-2", 3.0)
    giver = OrderGiver(state, None, None)
    giver.held = Held(LeaseRow("b-1", 1, 3.0), 1, now_of("orders"))
    assert state.keys_fresh() and giver.held.may_act(now_of("orders"))
    suspend()
    assert not state.keys_fresh()
    assert state.view_age() >= SUSPENDED_S and state.list_age() >= SUSPENDED_S
    assert not giver.held.may_act(now_of("orders"))
    assert state.suspected_until_by_id["box-2"] < now_of("state")
