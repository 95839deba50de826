"""The shutdown of a box at its edges: short times, late signals, requests behind others, slow readers."""

import asyncio
import os
import signal
import subprocess
import sys
from random import Random

import pytest
from hypothesis import given
from hypothesis.strategies import floats
from result import Err

from stairquay.adapters.clock import monotonic
from stairquay.adapters.program import STOP_SIGNALS, catch_stop_signals
from stairquay.core.call import Call
from stairquay.core.catalog import Route
from stairquay.core.errors import ErrorKind, ExecutionStatus
from stairquay.core.shutdown import ShutdownTimes, shutdown_times
from stairquay.serving.forwarding import Forwarder
from stairquay.serving.jobs import Job, JobProgress
from stairquay.serving.ports import BoxRefusal
from tests.loads.test_limits_of_endpoints import CATALOG
from tests.site import ROOT
from tests.states import box_state


class BoxThatStopsToo:
    """Another box, which refuses after this one has begun to refuse."""

    def __init__(self) -> None:
        self.sent_at: list[float] = []

    async def send(self, call, body, forward, attempt):
        self.sent_at.append(monotonic())
        attempt.send()
        await asyncio.sleep(0.2)
        attempt.refuse()
        return Err(BoxRefusal(ErrorKind.STOPPING, ExecutionStatus.NOT_RUN, ""))


# Guards against a request that a box that refuses passes on to a further box, after the first refused it.
def test_a_box_that_refuses_passes_a_request_on_to_no_further_box():
    state = box_state()
    state.fronts_by_box = {f"b-{number}": f"10.0.0.{number}:1" for number in range(2, 6)}
    route = Route("plain", "svc", "/", (), timeout_s=60.0)
    call, now = Call("call-1", "GET", "svc", "/x", "/x", ()), monotonic()
    job = Job(call, b"", CATALOG, route, CATALOG.services_by_id["plain"], None, now, now + 60.0)
    state.shutdown.begin(ShutdownTimes(now + 0.1, now + 5.0, now + 6.0))
    boxes = BoxThatStopsToo()
    asyncio.run(Forwarder(state, boxes, Random(1)).forward(job, JobProgress(), None))
    refuse_at = now + 0.1
    assert [at - refuse_at for at in boxes.sent_at if at > refuse_at] == []


# Guards against a process that ends before it has answered, where the grace time is short.
@given(floats(0.1, 1_000.0))
def test_a_box_answers_before_its_process_ends(grace_s: float):
    times = shutdown_times(100.0, grace_s)
    assert times.answer_by < times.exit_by


EXITS = """
import time
from stairquay.adapters.clock import monotonic
from stairquay.adapters.program import exit_at
exit_at(monotonic() + 0.2)
end = monotonic() + 5
while monotonic() < end:
    try:
        time.sleep(0.1)
    except OSError:
        pass
"""


# Guards against a last timer that waits, or fails, for a reader of standard error that is gone or stuck.
@pytest.mark.parametrize("reader", ["gone", "stuck"])
def test_the_last_timer_ends_the_process_whatever_reads_its_standard_error(reader: str):
    read_end, write_end = os.pipe()
    if reader == "gone":
        os.close(read_end)
    else:
        os.set_blocking(write_end, False)
        try:
            while True:
                os.write(write_end, b"x" * 4096)
        except BlockingIOError:
            os.set_blocking(write_end, True)
    process = subprocess.Popen([sys.executable, "-c", EXITS], cwd=ROOT, stderr=write_end)
    try:
        started = monotonic()
        assert process.wait(8) == 0
        assert monotonic() - started < 4
    finally:
        process.kill()
        process.wait()


# Guards against a stop that ends with a traceback, as a second signal came after the event loop had ended.
def test_a_stop_signal_after_the_event_loop_has_ended_is_no_error():
    async def scenario() -> None:
        catch_stop_signals(lambda at: None)

    handlers = {number: signal.getsignal(number) for number in STOP_SIGNALS}
    try:
        asyncio.run(scenario())
        os.kill(os.getpid(), signal.SIGTERM)
    finally:
        for number, handler in handlers.items():
            signal.signal(number, handler)
