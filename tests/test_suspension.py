"""A machine that is suspended: ages, leases and timeouts must count the time of the suspension."""

import asyncio
import time
from importlib import import_module

import pytest

from stairquay.box import start_box
from stairquay.core.lease import HeldLease, LeaseRow
from stairquay.core.position import Position
from stairquay.serving.following import apply_endpoints, apply_operators
from stairquay.serving.orders import RolloutController
from stairquay.serving.ports import EndpointChanges, OperatorChanges
from tests.states import box_state

SUSPENDED_S = 6.0


@pytest.fixture
def suspend(monkeypatch):
    """Return a function that simulates a suspension: only CLOCK_BOOTTIME advances."""
    suspended_s = 0.0
    real_clock_gettime = time.clock_gettime

    def clock_gettime(clock: int) -> float:
        return real_clock_gettime(clock) + (suspended_s if clock == time.CLOCK_BOOTTIME else 0.0)

    def advance_clock() -> None:
        nonlocal suspended_s
        suspended_s += SUSPENDED_S

    monkeypatch.setattr("time.clock_gettime", clock_gettime)
    return advance_clock


def now_of(module: str) -> float:
    """Return the time by the clock that a module uses."""
    return import_module(f"stairquay.serving.{module}").monotonic()


def test_ages_of_views_keys_and_leases_count_the_time_of_a_suspension(suspend):
    state = box_state()
    apply_operators(state, OperatorChanges(1, True), now_of("following"))
    apply_endpoints(state, EndpointChanges(1, True), now_of("following"))
    state.suspect("box-2", 3.0)
    controller = RolloutController(state, None, None)
    controller.held_lease = HeldLease(LeaseRow("b-1", 1, 3.0), Position(1, 1), now_of("orders"))
    assert state.keys_fresh() and controller.held_lease.may_act(now_of("orders"))
    suspend()
    assert not state.keys_fresh()
    assert state.view_age() >= SUSPENDED_S and state.list_age() >= SUSPENDED_S
    assert not controller.held_lease.may_act(now_of("orders"))
    assert state.suspected_until_by_id["box-2"] < now_of("state")


def test_a_request_whose_time_ran_out_meanwhile_ends_at_the_next_event(suspend, monkeypatch, tmp_path):
    """The timeouts of the event loop use CLOCK_BOOTTIME too."""
    took_s = []

    async def box(*_: object) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, suspend)
        started_at = time.perf_counter()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(SUSPENDED_S):
                while True:
                    await asyncio.sleep(0.02)
        took_s.append(time.perf_counter() - started_at)

    monkeypatch.setattr("stairquay.serving.app.run_box", box)
    settings = tmp_path / "local.toml"
    settings.write_text(SETTINGS)
    assert start_box(settings, 0, None) == 0  # type: ignore[arg-type]
    assert took_s[0] < SUSPENDED_S / 2


SETTINGS = """
node_name = "box-1"
ip = "127.0.0.1"
zone = "hall-a"
internal_ports = [1, 2]
[listen]
front = "127.0.0.1:1"
readiness = "127.0.0.1:2"
[platform]
address = "127.0.0.1:3"
[limits]
[bounds]
"""
