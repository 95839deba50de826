"""What all programs share: background tasks, graceful stop, HTTP listeners, health checks and TLS."""

import asyncio
import faulthandler
import os
import resource
import signal
import socket
import ssl
from collections.abc import Callable, Coroutine, Iterable
from logging import getLogger
from types import FrameType
from typing import TYPE_CHECKING, Any, TypeVar

from aiohttp import web

from stairquay.adapters.bounded_server import BoundedAppRunner
from stairquay.adapters.client_connections import ClientConnections, CloseReason
from stairquay.adapters.clock import monotonic
from stairquay.adapters.early_signals import has_arrived
from stairquay.core.client_memory import ClientMemory
from stairquay.core.connection_limits import MONITORING_CONNECTIONS, ConnectionLimits

if TYPE_CHECKING:
    # The serving process doesn't load the settings module and its JSON5 parser.
    from stairquay.adapters.settings import TlsSettings

LOGGER = getLogger(__name__)

Runner = TypeVar("Runner", bound=web.BaseRunner)

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
STACKS_SIGNAL = signal.SIGUSR1

WAKING_SIGNAL = signal.SIGURG
"""One handler of the event loop's own lets any signal wake it, also one that another thread takes. A process
that does not handle this signal ignores it."""

MONITORING_SHUTDOWN_S = 1.0
"""Seconds for which a program that ends waits for those who read its metrics or health."""

LISTEN_BACKLOG = 128
"""Connections that may wait to be accepted."""

ACCEPT_BATCH = 16
"""Connections accepted in a row, before any of them counts."""

MONITORING_LIMITS = ConnectionLimits(body_timeout_s=10.0, max_connections=MONITORING_CONNECTIONS)
"""Limits of ports that only few clients need, such as those for health and metrics."""

OPERATORS_LIMITS = ConnectionLimits(body_timeout_s=10.0, max_connections=64)
"""Limits of the port for operators."""

MAX_DESCRIPTORS = 20_000
"""Descriptors that a program reckons with where the system allows it more."""

MIN_TIMER_S = 0.001
"""A timer of 0 s would be none."""


def write_stacks_on_signal() -> None:
    """Write the stacks of all threads to standard error on STACKS_SIGNAL, also while the event loop hangs."""
    faulthandler.register(STACKS_SIGNAL, all_threads=True)


class BackgroundTasks:
    """Background tasks of a program. If one fails, the program ends with its error."""

    def __init__(self) -> None:
        self.running: set[asyncio.Task[Any]] = set()
        self.failed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a coroutine as a background task."""
        task = asyncio.create_task(work)
        self.running.add(task)
        task.add_done_callback(self._on_done)
        return task

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self.running)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self.running.discard(task)
        if task.cancelled() or task.exception() is None or self.failed.done():
            return
        error = task.exception()
        assert error is not None
        self.failed.set_exception(error)


def catch_signals(*signals: signal.Signals) -> asyncio.Event:
    """Return an event that any of these signals sets, also one that arrived while the program started."""
    return _catch(signals, lambda: None)


def catch_stop_signals(on_stop: Callable[[float], None]) -> asyncio.Event:
    """Return an event that the event loop sets after a stop signal, also one that came during the start.

    on_stop: called with the time of each signal (monotonic seconds) between any two instructions, at once,
    where a busy event loop handles the signal much later.
    """
    return _catch(STOP_SIGNALS, lambda: on_stop(monotonic()))


def _catch(signals: Iterable[signal.Signals], on_arrival: Callable[[], None]) -> asyncio.Event:
    # Handlers of the event loop would end with it, and a signal would then end the process.
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(WAKING_SIGNAL, lambda: None)
    caught = asyncio.Event()

    def on_signal(_: int, __: FrameType | None) -> None:
        on_arrival()
        if not loop.is_closed():
            loop.call_soon_threadsafe(caught.set)

    for number in signals:
        signal.signal(number, on_signal)
        if has_arrived(number):
            on_signal(number, None)
    return caught


def exit_at(at: float) -> None:
    """End the process at a time (monotonic seconds), whatever its event loop is doing then."""
    signal.signal(signal.SIGALRM, _exit)
    signal.setitimer(signal.ITIMER_REAL, max(MIN_TIMER_S, at - monotonic()))


def _exit(_: int, __: FrameType | None) -> None:
    try:
        # Whoever reads it may be stuck.
        os.set_blocking(2, False)
        os.write(2, b"ended at the end of the grace time, with work left\n")
    finally:
        os._exit(0)


async def wait_for_stop(tasks: BackgroundTasks, stopped: asyncio.Event | None = None) -> None:
    """Wait for a stop signal, or the event that one sets, and log it; raise the error of a background task
    that fails."""
    await wait_for_event(tasks, stopped or catch_signals(*STOP_SIGNALS))
    LOGGER.info("stopping: finishing requests in progress")


async def wait_for_event(tasks: BackgroundTasks, stopped: asyncio.Event) -> None:
    """Wait for an event; raise the error of a background task that fails."""
    stop_wait = asyncio.ensure_future(stopped.wait())
    outcomes: set[asyncio.Future[Any]] = {stop_wait, tasks.failed}
    await asyncio.wait(outcomes, return_when=asyncio.FIRST_COMPLETED)
    if tasks.failed.done():
        tasks.failed.result()


def being_cancelled() -> bool:
    """Return whether the current task itself is being cancelled, rather than something it awaits."""
    task = asyncio.current_task()
    return task is None or task.cancelling() > 0


async def wait_until(condition: Callable[[], bool], limit_s: float, step_s: float = 0.02) -> bool:
    """Poll a condition until it holds; return False after `limit_s` seconds."""
    loop = asyncio.get_running_loop()
    end = loop.time() + limit_s
    while not condition():
        if loop.time() >= end:
            return False
        await asyncio.sleep(step_s)
    return True


async def listen(
    app: web.Application, address: str, connections: ClientConnections | None = None, **options: Any
) -> web.AppRunner:
    """Serve a web application at `IP:port`. connections: of this port; by default it may have few."""
    reuse_port = options.pop("reuse_port", False)
    bounded = connections or logged_connections(address, MONITORING_LIMITS)
    runner = BoundedAppRunner(app, bounded, access_log=None, **options)
    return await start_site(runner, address, reuse_port)


async def start_site(runner: Runner, address: str, reuse_port: bool = False) -> Runner:
    """Set up a runner and let it listen at `IP:port`."""
    host, _, port = address.rpartition(":")
    await runner.setup()
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.create_server(
        (host.strip("[]"), int(port)), family=family, backlog=LISTEN_BACKLOG, reuse_port=reuse_port
    )
    try:
        await web.SockSite(runner, listener, backlog=ACCEPT_BATCH).start()
        # The event loop has set the queue to its batch.
        listener.listen(LISTEN_BACKLOG)
    except BaseException:
        listener.close()
        raise
    return runner


def logged_connections(
    address: str, limits: ConnectionLimits, memory: ClientMemory | None = None
) -> ClientConnections:
    """Return the connections of a port, which logs why it closes them: a line a second for each reason.

    memory: the account of what is kept for clients; by default only the limits bound that.
    """

    def report(reason: CloseReason, count: int) -> None:
        LOGGER.warning("closed %d connections at %s: %s", count, address, reason.value)

    return ClientConnections(lambda: limits, memory or ClientMemory(), report)


def usable_descriptors() -> int:
    """Return how many descriptors the system lets this process have, up to `MAX_DESCRIPTORS`."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MAX_DESCRIPTORS if allowed == resource.RLIM_INFINITY else min(allowed, MAX_DESCRIPTORS)


def machine_memory_mb() -> int:
    """Return the memory of this machine in MB."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") // 1_000_000


def health_routes(ready: Callable[[], bool]) -> list[web.RouteDef]:
    """Return the liveness and readiness routes that load balancers probe."""

    async def healthz(_: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def readyz(_: web.Request) -> web.Response:
        if ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    return [web.get("/healthz", healthz), web.get("/readyz", readyz)]


async def listen_for_monitoring(
    address: str, ready: Callable[[], bool], metrics: Callable[[], bytes]
) -> web.AppRunner:
    """Serve health checks and metrics at an address separate from that for callers."""

    async def scrape(_: web.Request) -> web.Response:
        return web.Response(body=metrics(), headers={"Content-Type": "text/plain; version=0.0.4"})

    app = web.Application()
    app.add_routes(health_routes(ready))
    app.add_routes([web.get("/metrics", scrape)])
    return await listen(app, address, shutdown_timeout=MONITORING_SHUTDOWN_S)


def server_tls_context(tls: "TlsSettings") -> ssl.SSLContext | None:
    """Return a server's TLS context, or None without a certificate in the settings."""
    if not tls.certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate, tls.key)
    if tls.authority:
        context.load_verify_locations(tls.authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context
