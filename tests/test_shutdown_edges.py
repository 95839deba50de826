"""The shutdown of a box at its edges: short times, late signals, requests behind others, slow readers."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
from functools import partial
from random import Random
from time import sleep

import pytest
from hypothesis import given
from hypothesis.strategies import floats
from result import Err

from stairquay.adapters.clock import monotonic
from stairquay.adapters.program import STOP_SIGNALS, catch_stop_signals
from stairquay.core.attempt import Attempt
from stairquay.core.call import Call, Dispatch
from stairquay.core.catalog import Route
from stairquay.core.errors import ErrorKind, ExecutionStatus
from stairquay.core.shutdown import ShutdownTimes, shutdown_times
from stairquay.platform import endpoints
from stairquay.platform.connection_pool import ConnectionPool
from stairquay.platform.connections import CheckedProtocol
from stairquay.platform.endpoints import EndpointClient
from stairquay.serving import dispatch
from stairquay.serving.app import SETTLED_S
from stairquay.serving.crashes import CrashDetector
from stairquay.serving.dispatch import Dispatcher
from stairquay.serving.forwarding import Forwarder
from stairquay.serving.jobs import Job, JobProgress
from stairquay.serving.origins import OriginTracker
from stairquay.serving.ports import BoxRefusal, Feedback
from tests.loads.test_limits_of_endpoints import CATALOG
from tests.site import ROOT, configuration, site
from tests.standins.endpoints import Framing, RawAnswer
from tests.states import box_state
from tests.test_box_shutdown import (
    GRACE_S,
    LONG_DEADLINE,
    LONG_TIMEOUT_MS,
    Stop,
    is_not_run,
    put_long_routes,
    until_configured,
)
from tests.test_connection_pool import endpoint
from tests.test_front import HEAD, connect, status
from tests.test_statements_held import FeedbackDuringConnect, state_with_endpoint

STANDS_STILL_S = 0.2
"""Seconds for which the process stands still while it sends a request."""


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
import sys
import time
from stairquay.adapters.clock import monotonic
from stairquay.adapters.program import exit_at
exit_at(monotonic() + 0.2)
end = monotonic() + 10
while monotonic() < end:
    try:
        time.sleep(0.1)
    except OSError:
        pass
sys.exit(1)
"""


def stuck_pipe() -> tuple[int, int]:
    """Return both ends of a pipe that is full."""
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    try:
        while True:
            os.write(write_end, b"x" * 4096)
    except BlockingIOError:
        os.set_blocking(write_end, True)
    return read_end, write_end


# Guards against a last timer that waits, or fails, for a reader of standard error that is gone or stuck.
@pytest.mark.parametrize("reader", ["gone", "stuck"])
def test_the_last_timer_ends_the_process_whatever_reads_its_standard_error(reader: str):
    read_end, write_end = stuck_pipe()
    if reader == "gone":
        os.close(read_end)
    process = subprocess.Popen([sys.executable, "-c", EXITS], cwd=ROOT, stderr=write_end)
    try:
        assert process.wait(30) == 0
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


# Guards against a request that was read behind another one, and that a stopping box never answers.
def test_a_request_that_was_read_behind_another_one_is_answered_by_a_stopping_box():
    async def scenario():
        async with site() as here:
            put_long_routes(here)
            await until_configured(here)
            here.endpoints[0].delay_s = 1.0
            reader, writer = await connect(here)
            second = HEAD.replace(b"r-1", b"r-2")
            writer.write(HEAD + b"Content-Length: 0\r\n\r\n" + second + b"Content-Length: 0\r\n\r\n")
            await asyncio.sleep(0.3)
            Stop(here)
            assert await status(reader) == 200
            rest = await asyncio.wait_for(reader.read(), 8)
            assert rest.count(b"HTTP/1.1 ") == 1, rest

    asyncio.run(scenario())


RECEIVE_BYTES = 8_192


def slow_socket() -> socket.socket:
    """Return a socket whose system holds little of what it has not read."""
    made = socket.socket()
    made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    return made


def system_bytes() -> int:
    """Return the bytes that the systems of both sides hold of an answer that nobody reads."""
    with socket.create_server(("127.0.0.1", 0)) as server, slow_socket() as caller:
        caller.connect(server.getsockname())
        accepted, _ = server.accept()
        with accepted:
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            accepted.setblocking(False)
            return accepted.send(b"x" * 16_000_000)


# Guards against a box that ends while it still holds a part of an answer, since its caller reads slowly.
def test_a_box_waits_for_a_caller_that_has_not_read_its_whole_answer():
    async def scenario():
        async with site() as here:
            body = b"x" * (system_bytes() + 30_000)
            pieces = tuple(body[at : at + 100_000] for at in range(0, len(body), 100_000))
            here.endpoints[0].raw_answers = [RawAnswer(pieces, Framing.LENGTH, content_type="text/plain")]
            loop = asyncio.get_running_loop()
            with slow_socket() as caller:
                caller.setblocking(False)
                host, _, port = here.front.rpartition(":")
                await loop.sock_connect(caller, (host, int(port)))
                await loop.sock_sendall(caller, HEAD + b"Content-Length: 0\r\n\r\n")
                await asyncio.sleep(2.0)
                stop = Stop(here)
                await stop.until(4.0)
                answer = bytearray()
                async with asyncio.timeout(4):
                    while data := await loop.sock_recv(caller, 65_536):
                        answer += data
                        if answer.endswith(b"x") and answer.count(b"x") >= len(body):
                            break
            head, _, got = bytes(answer).partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200"), head
            assert len(got) == len(body)

    asyncio.run(scenario())


# Guards against a stream that looks complete though its box ended before its caller had read the rest.
def test_a_stream_whose_box_ends_before_it_is_read_does_not_look_complete():
    async def scenario():
        async with site() as here:
            event = b"data: " + b"x" * 9_992 + b"\n\n"
            pieces = (event * 10,) * ((system_bytes() + 30_000) // 100_000) + (event * 5,)
            sent = sum(map(len, pieces))
            here.endpoints[0].raw_answers = [RawAnswer(pieces, Framing.CHUNKS)]
            loop = asyncio.get_running_loop()
            with slow_socket() as caller:
                caller.setblocking(False)
                host, _, port = here.front.rpartition(":")
                await loop.sock_connect(caller, (host, int(port)))
                await loop.sock_sendall(
                    caller, HEAD.replace(b"HTTP/1.1", b"HTTP/1.0") + b"Content-Length: 0\r\n\r\n"
                )
                await asyncio.sleep(2.0)
                stop = Stop(here)
                await stop.until(4.0)
                answer, reset = bytearray(), False
                async with asyncio.timeout(5):
                    try:
                        while data := await loop.sock_recv(caller, 65_536):
                            answer += data
                    except ConnectionResetError:
                        reset = True
            head, _, got = bytes(answer).partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.0 200"), head
            assert reset or len(got) == sent

    asyncio.run(scenario())


# Guards against a box that never begins to stop, since nobody reads what it writes to standard error first.
def test_a_box_stops_though_nobody_reads_its_standard_error(monkeypatch: pytest.MonkeyPatch):
    read_end, write_end = stuck_pipe()
    start = asyncio.create_subprocess_exec

    async def start_with_stuck_error(*command, **options):
        return await start(*command, **options, stderr=write_end)

    monkeypatch.setattr(asyncio, "create_subprocess_exec", start_with_stuck_error)

    async def scenario():
        async with site() as here:
            await Stop(here).ended()

    try:
        asyncio.run(scenario())
    finally:
        os.close(read_end)
        os.close(write_end)


BEGUN_S = 2.2
TOLD_S = 3.2
"""Seconds after the stop signal: prompts begin to wait, for 1.4 s at most, and all of them are told."""


# Guards against prompts that wait for room until their box ends, or until they are passed on too late.
def test_prompts_that_wait_for_room_are_told_as_soon_as_the_box_refuses():
    async def scenario():
        async with site(engines=1) as here:
            routes = configuration(1, here.stores)["routes"]
            longer = {"timeout_ms": LONG_TIMEOUT_MS, "target_latency_ms": LONG_TIMEOUT_MS}
            here.put_configuration(2, routes=[{**item, **longer} for item in routes])
            await until_configured(here)
            engine = here.engines()[0]
            engine.event_count, engine.event_s = 200, 0.1
            stop = Stop(here)
            await stop.until(BEGUN_S)
            calls = [
                asyncio.create_task(here.prompt(call_id=f"p-{number}", headers=LONG_DEADLINE))
                for number in range(40)
            ]
            await stop.until(TOLD_S)
            assert len(here.logged("waits")) >= 10
            told = [call.result() for call in calls if call.done()]
            running = engine.in_progress
            await asyncio.gather(*calls)
            await stop.ended()
            assert len(told) >= 10 and all(
                is_not_run(answer) and b'"stopping"' in answer.body for answer in told
            )
            assert len(told) + running == len(calls)
            assert stop.arrived_late() == []

    asyncio.run(scenario())


# Guards against a stream that a stopping box breaks off though it has time to resume it at another engine.
def test_a_stopping_box_resumes_a_stream_that_has_begun():
    async def scenario():
        async with site(engines=2) as here:
            put_long_routes(here)
            await until_configured(here)
            for engine in here.engines():
                engine.event_count, engine.event_s = 40, 0.05
            stop = Stop(here)
            await stop.until(2.2)
            for engine in here.engines():
                engine.break_after = 16
            calls = [
                here.prompt("/again/chat", call_id=f"s-{number}", headers=LONG_DEADLINE)
                for number in range(6)
            ]
            answers = await asyncio.gather(*calls)
            assert [answer.events for answer in answers if not answer.complete] == []
            assert stop.after_s() < GRACE_S * 5 / 6
            await stop.ended()

    asyncio.run(scenario())


def stands_still_in(function):
    """Return the function, in which the process stands still until the box refuses."""

    def wrapped(*args, **options):
        sleep(STANDS_STILL_S)
        return function(*args, **options)

    return wrapped


@pytest.mark.parametrize(
    ("where", "name"),
    [
        (endpoints, "_request_headers"),
        (endpoints, "encode_head"),
        (CheckedProtocol, "set_response_params"),
    ],
)
def test_a_process_that_stands_still_as_it_sends_a_request_writes_none_after_it(where, name, monkeypatch):
    """Guards against a request that is checked, and written after a pause that lasts beyond `refuse_at`."""
    monkeypatch.setattr(where, name, stands_still_in(getattr(where, name)))
    written_at = []

    async def scenario() -> None:
        async with endpoint() as here:
            pool = ConnectionPool()
            transport = (await pool.open(here.address)).protocol.transport
            write = type(transport).write

            def record(self, data):
                # The endpoint's own writes are none of the box's.
                if data.startswith(b"POST"):
                    written_at.append(monotonic())
                write(self, data)

            monkeypatch.setattr(type(transport), "write", record)
            state, now = box_state(), monotonic()
            refuse_at = now + STANDS_STILL_S / 2
            state.shutdown.begin(ShutdownTimes(refuse_at, now + 5.0, now + 6.0))
            attempt, call = Attempt("call-1", "e-1"), Call("call-1", "POST", "h", "/x", "/x", ())
            sent_to, guard = Dispatch("e-1", here.address, 60.0), partial(state.shutdown.allows, now + 60.0)
            await EndpointClient(pool).send(call, b"a body", sent_to, attempt, guard, 1.0)
            await pool.close()
            await asyncio.sleep(SETTLED_S)
            assert [at - refuse_at for at in written_at if at > refuse_at] == []
            assert written_at or attempt.ran == ExecutionStatus.NOT_RUN

    asyncio.run(scenario())


@pytest.mark.parametrize("name", ("may_use", "takes_work", "is_backing_off"))
def test_a_process_that_stands_still_as_it_checks_a_request_does_not_send_it(name, monkeypatch):
    """Guards against a check of the time that is older than the other checks before a request is written."""
    state = state_with_endpoint()
    ports = FeedbackDuringConnect(state, Feedback())
    send, now = ports.send, monotonic()

    async def send_after_pause(*args):
        monkeypatch.setattr(dispatch, name, stands_still_in(getattr(dispatch, name)))
        refuse_at = monotonic() + STANDS_STILL_S / 2
        state.shutdown.begin(ShutdownTimes(refuse_at, refuse_at + 5.0, refuse_at + 6.0))
        return await send(*args)

    monkeypatch.setattr(ports, "send", send_after_pause)
    call, route = Call("call-1", "GET", "svc", "/x", "/x", ()), Route("plain", "svc", "/", (), timeout_s=60.0)
    job = Job(call, b"", CATALOG, route, CATALOG.services_by_id["plain"], None, now, now + 60.0)
    forwarder, origins = Forwarder(state, None, Random(0)), OriginTracker(state, None, None, None)
    dispatcher = Dispatcher(state, ports, ports, CrashDetector(state, None), forwarder, origins)
    asyncio.run(dispatcher.run(job, None))
    assert ports.guard_results == [False]
