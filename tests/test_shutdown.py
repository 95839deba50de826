"""Which requests a shutdown ends, and when; the time of the stop signal."""

import asyncio
import os
import signal
import threading
import time
from math import inf

import pytest
from hypothesis import given
from hypothesis.strategies import floats

from stairquay.adapters.clock import monotonic
from stairquay.adapters.program import STOP_SIGNALS, catch_stop_signals
from stairquay.adapters.shutdown import PendingRequest, Shutdown
from stairquay.core.attempt import Attempt
from stairquay.core.errors import ErrorKind, ExecutionStatus
from stairquay.core.shutdown import ShutdownTimes, shutdown_times
from stairquay.entry.attempts import RunProgress
from tests.site import site
from tests.states import box_state
from tests.test_box_shutdown import GRACE_S, Stop

EXCUSED_S = 3.0
LAST_SHARE = 5 / 6
"""Share of the grace time before which no answer of an endpoint is given up."""


# Guards against a step of the end that comes too early, too late, or after the one that follows it.
@given(floats(0.1, 1_000.0))
def test_the_steps_of_a_shutdown_are_in_order_and_end_before_the_grace_time(grace_s: float):
    times = shutdown_times(100.0, grace_s)
    assert 100.0 < times.refuse_at < times.answer_by
    assert times.refuse_at <= 100.0 + EXCUSED_S
    assert times.answer_by >= 100.0 + grace_s * LAST_SHARE - 1e-9
    assert times.answer_by < 100.0 + grace_s and times.exit_by < 100.0 + grace_s


def stopping(refuse_in_s: float, answer_in_s: float) -> Shutdown:
    now = monotonic()
    shutdown = Shutdown()
    shutdown.begin(ShutdownTimes(now + refuse_in_s, now + answer_in_s, now + answer_in_s + 1))
    return shutdown


# Guards against a second stop signal that gives a box more time than the platform does.
def test_a_second_stop_signal_changes_no_time():
    shutdown = stopping(1.0, 2.0)
    times = shutdown.times
    shutdown.begin(ShutdownTimes(inf, inf, inf))
    assert shutdown.times == times


# Guards against a request that is passed on and can't end, and against one refused that would end in time.
@pytest.mark.parametrize(
    ("refuse_in_s", "left_s", "allowed"), [(1.0, 60.0, True), (-1.0, 1.0, True), (-1.0, 60.0, False)]
)
def test_a_request_is_passed_on_if_it_ends_before_the_box(refuse_in_s: float, left_s: float, allowed: bool):
    assert stopping(refuse_in_s, 5.0).allows(monotonic() + left_s) == allowed


async def outcome_of(shutdown: Shutdown, left_s: float, passed_on: bool, end: str) -> str:
    pending = PendingRequest(shutdown, monotonic() + left_s, lambda: passed_on)

    async def wait() -> str:
        try:
            async with pending:
                await asyncio.sleep(0.05)
        except TimeoutError:
            return "ended"
        return "went on"

    task = asyncio.create_task(wait())
    await asyncio.sleep(0)
    {"waiting": shutdown.end_waiting, "all": shutdown.end_all}[end]()
    outcome = await task
    assert not shutdown.pending
    return outcome


# Guards against requests that wait for their deadline in a box that takes no more, and against cut answers.
@pytest.mark.parametrize(
    ("left_s", "passed_on", "end", "outcome"),
    [
        (60.0, False, "waiting", "ended"),
        (1.0, False, "waiting", "went on"),
        (60.0, True, "waiting", "went on"),
        (60.0, True, "all", "ended"),
        (1.0, False, "all", "ended"),
    ],
)
def test_only_what_waits_is_ended_first_and_all_at_the_end(
    left_s: float, passed_on: bool, end: str, outcome: str
):
    assert asyncio.run(outcome_of(stopping(-1.0, 5.0), left_s, passed_on, end)) == outcome


# Guards against a caller's leaving that is taken for the end of the box, which would answer nobody.
def test_a_request_whose_caller_leaves_as_the_box_ends_is_cancelled():
    async def scenario():
        shutdown = stopping(-1.0, 5.0)

        async def wait():
            async with PendingRequest(shutdown, inf):
                await asyncio.sleep(5)

        task = asyncio.create_task(wait())
        await asyncio.sleep(0)
        shutdown.end_all()
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(scenario())


# Guards against a box that counts its grace time from when a busy event loop handles the signal.
def test_the_time_of_a_stop_signal_is_taken_while_the_event_loop_is_busy():
    async def scenario() -> list[float]:
        times: list[float] = []
        handled = catch_stop_signals(times.append)
        sent_at = monotonic()
        os.kill(os.getpid(), signal.SIGTERM)
        while monotonic() < sent_at + 0.5:
            time.sleep(0.01)
        assert not handled.is_set()
        await asyncio.wait_for(handled.wait(), 1.0)
        return [at - sent_at for at in times]

    handlers = {number: signal.getsignal(number) for number in STOP_SIGNALS}
    try:
        late_s = asyncio.run(scenario())
    finally:
        for number, handler in handlers.items():
            signal.signal(number, handler)
    assert len(late_s) == 1 and late_s[0] < 0.3


# Guards against a box that is killed since something other than its requests does not end.
def test_a_box_ends_in_time_though_a_connection_never_finishes_closing():
    async def scenario():
        async with site(module="tests.hanging_box") as here:
            stop = Stop(here)
            assert await stop.ended(closes=False) > GRACE_S * LAST_SHARE

    asyncio.run(scenario())


# Guards against an entry that says "not run", and frees the idempotency key, of a request that has run.
def test_an_entry_that_stops_as_the_end_of_an_answer_is_written_does_not_say_that_it_has_not_run():
    attempt = Attempt("r-1", "e-1")
    attempt.send()
    attempt.answer()
    attempt.finish()
    refusal = RunProgress(attempt=attempt).stopped()
    assert (refusal.kind, refusal.ran) == (ErrorKind.STOPPED, ExecutionStatus.RAN)


# Guards against a box that stood still as the signal came and counts its grace time from when it went on.
@pytest.mark.parametrize(
    ("overdue_s", "began_s"), [(-0.1, 0.0), (1.5, 1.5), (60.0, GRACE_S / 2)], ids=["runs", "stood", "long"]
)
def test_the_signal_counts_from_the_last_moment_at_which_the_box_may_have_run(
    overdue_s: float, began_s: float
):
    state = box_state()
    state.tick_due_at = 100.0 - overdue_s
    state.begin_shutdown(100.0)
    assert state.shutdown.times == shutdown_times(100.0 - began_s, GRACE_S)


# Guards against the same where the box has made a tick between its pause and the handling of the signal.
@pytest.mark.parametrize(("ended_s", "began_s"), [(0.1, 2.0), (1.0, 0.0)], ids=["just now", "before"])
def test_the_signal_counts_from_the_start_of_a_pause_that_has_just_ended(ended_s: float, began_s: float):
    state = box_state()
    state.tick_due_at, state.paused_from, state.paused_until = 100.1, 98.0, 100.0 - ended_s
    state.begin_shutdown(100.0)
    assert state.shutdown.times == shutdown_times(100.0 - began_s, GRACE_S)


# Guards against a stop signal that waits for the event loop's next timer, as another thread took it.
def test_a_stop_signal_that_another_thread_takes_wakes_the_event_loop():
    async def scenario() -> float:
        handled = catch_stop_signals(lambda at: None)

        def take() -> None:
            time.sleep(0.2)
            signal.pthread_kill(threading.get_ident(), signal.SIGTERM)

        thread = threading.Thread(target=take, daemon=True)
        thread.start()
        began_at = monotonic()
        await asyncio.wait_for(handled.wait(), 5.0)
        return monotonic() - began_at

    handlers = {number: signal.getsignal(number) for number in STOP_SIGNALS}
    try:
        assert asyncio.run(scenario()) < 1.0
    finally:
        for number, handler in handlers.items():
            signal.signal(number, handler)
