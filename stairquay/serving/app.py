"""Starts a box with its servers and background tasks, and shuts it down gracefully."""

import asyncio
import random
import signal
from collections.abc import Callable, Coroutine
from functools import partial
from traceback import extract_tb
from typing import Any

from aiohttp import web
from result import Err, Result

from stairquay.adapters.client_connections import ClientConnections, CloseReason
from stairquay.adapters.clock import monotonic
from stairquay.adapters.early_answer import EarlyAnswerRunner
from stairquay.adapters.program import (
    BackgroundTasks,
    being_cancelled,
    catch_signals,
    catch_stop_signals,
    exit_at,
    listen,
    start_site,
    wait_for_event,
    wait_until,
)
from stairquay.core.buffers import BufferBudget
from stairquay.core.catalog import CallerLimits
from stairquay.core.connection_limits import (
    MIN_IDLE_S,
    MONITORING_CONNECTIONS,
    ConnectionLimits,
    max_connections,
)
from stairquay.core.limits import UNLIMITED
from stairquay.core.mistake import Mistake
from stairquay.serving.boxes import BoxRegistry
from stairquay.serving.brittleness import tolerance_report
from stairquay.serving.cold import cold_for_s
from stairquay.serving.crash_rows import CrashRowSync
from stairquay.serving.crashes import CrashDetector
from stairquay.serving.dispatch import Dispatcher
from stairquay.serving.endpoint_chooser import Chooser
from stairquay.serving.event_log import EventLog, LogEvent
from stairquay.serving.following import follow_endpoints, follow_operators
from stairquay.serving.forwarding import Forwarder
from stairquay.serving.front import Frontend
from stairquay.serving.links import RouterClients
from stairquay.serving.local_router import LocalRouter
from stairquay.serving.new_lists import NewLists
from stairquay.serving.notices import NoticeSender
from stairquay.serving.orders import RolloutController
from stairquay.serving.origins import OriginTracker
from stairquay.serving.overload import measure_lateness
from stairquay.serving.ports import Ports
from stairquay.serving.reach import probe_lost_services
from stairquay.serving.settings import BoxSettings
from stairquay.serving.sharing import SharedFeeds
from stairquay.serving.state import BoxState
from stairquay.serving.statements import backoffs_by_id, limit_of
from stairquay.serving.substitutes import probe_place_holders
from stairquay.serving.takeover import probe_suspected_routers
from stairquay.serving.upkeep import StoreGarbageCollector
from stairquay.serving.watching import EndpointWatcher

KEEP_ALIVE_S = 3_600.0
"""Idle timeout of the HTTP server, above the one that the configuration gives."""

RESTART_DELAY_S = 0.5
"""Seconds before a failed background task is restarted."""

SETTLED_S = 0.01
"""Seconds for which nothing is in progress at a box before it closes its callers' connections."""

WRITE_TIMEOUT_S = 0.25
"""Seconds for writing the answers to requests that the shutdown ends."""

CLOSE_TIMEOUT_S = 0.1
"""Seconds for which the HTTP server waits for its handlers at shutdown, and again once it has cancelled what
they read."""

MAX_FIELD_BYTES = 1_048_576
"""Limit of the parser on a header field and on the request line, above the one on a whole head."""

RELOAD_INTERVAL_S = 4.0
"""Seconds between reloads of the settings, which may change without a signal."""

LoadSettings = Callable[[], Result[BoxSettings, list[Mistake]]]
OpenSurroundings = Callable[[BufferBudget], Ports]
TaskFunction = Callable[[], Coroutine[Any, Any, None]]


async def run_box(settings: BoxSettings, load: LoadSettings, open_surroundings: OpenSurroundings) -> None:
    """Run a box until a stop signal, then finish the requests in progress.

    load: reads the settings, called on SIGHUP and periodically.
    """
    log = EventLog(settings.id)
    state = BoxState(settings, log)
    # Before anything listens: a request that was accepted is finished.
    stopped = catch_stop_signals(partial(_begin_shutdown, state))
    state.boxes = (settings.id,)
    state.load.readiness.jitter = random.random()
    surroundings = open_surroundings(state.answer_buffers)
    rng = random.Random()
    links = RouterClients(state)
    new_lists = NewLists(state, surroundings.feeds.read_endpoints)
    router = LocalRouter(state, rng, new_lists)
    notices = NoticeSender(state, links, router)
    chooser = Chooser(state, links, router, notices, rng)
    crash_detector = CrashDetector(state, surroundings.peers)
    forwarder = Forwarder(state, surroundings.boxes, rng)
    origins = OriginTracker(state, links, notices, new_lists)
    dispatcher = Dispatcher(state, surroundings.endpoints, chooser, crash_detector, forwarder, origins)
    front = Frontend(state, surroundings.callers, dispatcher, rng)
    tasks = BackgroundTasks()
    tasks_by_name = background_tasks(state, surroundings, links, router, notices, rng)
    tasks_by_name["origins"] = origins.run
    tasks_by_name["substitutes"] = partial(probe_place_holders, state, surroundings.boxes)
    tasks_by_name["takeover"] = partial(probe_suspected_routers, state, surroundings.boxes)
    tasks_by_name["reload"] = partial(_reload_settings, state, load)
    for name, task_function in tasks_by_name.items():
        tasks.start(run_with_restarts(state, name, task_function))
    log.line(LogEvent.START, front=settings.front, data_hall=settings.data_hall)
    callers = await _listen_front(state, front)
    others = await _listen_others(state, surroundings.ready_path)
    await wait_for_event(tasks, stopped)
    await _drain(state, callers)
    callers.reset_unsent()
    await asyncio.gather(*(runner.cleanup() for runner in (callers, *others)))
    _log_stop(state, "closed")
    log.flush()
    await tasks.cancel()
    await links.close_others(())
    await surroundings.close()


def background_tasks(
    state: BoxState,
    surroundings: Ports,
    links: RouterClients,
    router: LocalRouter,
    notices: NoticeSender,
    rng: random.Random,
) -> dict[str, TaskFunction]:
    """Return the background tasks by name; each runs until cancelled."""
    feeds = SharedFeeds(state, surroundings.feeds, links)
    crash_rows = CrashRowSync(state, surroundings.crashes)
    return {
        "log": state.log.run,
        "links": links.run,
        "load": partial(measure_lateness, state),
        "router": router.run,
        "asking": notices.run,
        "pings": notices.ping_routers,
        "operators": partial(follow_operators, state, feeds),
        "endpoints": partial(follow_endpoints, state, feeds),
        "watching": EndpointWatcher(state, surroundings.peers).run,
        "orders": RolloutController(state, surroundings.own, surroundings.peers).run,
        "boxes": BoxRegistry(state, surroundings.own, rng).run,
        "upkeep": StoreGarbageCollector(state, surroundings.peers).run,
        "reach": partial(probe_lost_services, state, surroundings.endpoints),
        "crashes told": crash_rows.publish,
        "crashes followed": crash_rows.follow,
        "crashes heard": crash_rows.apply_heard,
        "crashes told to routers": notices.tell_crashes,
    }


async def _reload_settings(state: BoxState, load: LoadSettings) -> None:
    """Apply changed settings on SIGHUP and periodically; invalid settings are logged and ignored."""
    hangup = catch_signals(signal.SIGHUP)
    error_logged = False
    while True:
        hangup_received = await _wait_for_event(hangup, RELOAD_INTERVAL_S)
        hangup.clear()
        loaded = load()
        if isinstance(loaded, Err):
            if hangup_received or not error_logged:
                mistakes = [str(mistake) for mistake in loaded.err_value]
                state.log.line(LogEvent.RELOAD, outcome="kept", mistakes=mistakes)
            error_logged = True
            continue
        error_logged = False
        changed = loaded.ok_value != state.settings
        if changed:
            state.use_settings(loaded.ok_value)
        if changed or hangup_received:
            state.log.line(
                LogEvent.RELOAD,
                outcome="in_force" if changed else "unchanged",
                asked=hangup_received,
            )


async def _wait_for_event(event: asyncio.Event, limit_s: float) -> bool:
    """Wait for an event. Return whether it was set within the limit."""
    try:
        async with asyncio.timeout(limit_s):
            await event.wait()
    except TimeoutError:
        return False
    return True


async def run_with_restarts(state: BoxState, name: str, task_function: TaskFunction) -> None:
    """Run a background task, and restart it whenever it ends; failures are logged."""
    while True:
        try:
            await task_function()
        except asyncio.CancelledError:
            if being_cancelled():
                raise
            # Something that the task awaited was cancelled, not the task itself.
            state.log.line(
                LogEvent.PART_FAILED,
                part=name,
                detail="CancelledError without cancellation of the task",
            )
        except Exception as error:
            frame = extract_tb(error.__traceback__)[-1]
            where = f"{frame.filename.rpartition('/')[2]}:{frame.lineno}"
            state.log.line(LogEvent.PART_FAILED, part=name, detail=repr(error), where=where)
        await asyncio.sleep(RESTART_DELAY_S)


async def _listen_others(state: BoxState, ready_path: str) -> list[web.AppRunner]:
    """Listen for the load balancer, and for who reads the metrics."""
    runners = [await _listen_readiness(state, ready_path)]
    if state.settings.metrics_port:
        runners.append(await _listen_metrics(state))
    return runners


def _connections(
    state: BoxState, port: str, read_limits: Callable[[], ConnectionLimits]
) -> ClientConnections:
    """Return the connections of a port, which share the account of what clients' requests take."""

    def report(reason: CloseReason, count: int) -> None:
        state.metrics.closed_connections.labels(port, reason.value).inc(count)
        state.log.line(LogEvent.CONNECTIONS_CLOSED, port=port, reason=reason.value, number=count)

    return ClientConnections(read_limits, state.client_memory, report)


def _callers_limits(state: BoxState) -> ConnectionLimits:
    settings = state.settings
    limits = CallerLimits() if state.catalog is None else state.catalog.limits
    return ConnectionLimits(
        max_header_bytes=limits.max_header_bytes,
        header_timeout_s=limits.header_timeout_s,
        idle_timeout_s=max(MIN_IDLE_S, limits.idle_timeout_s),
        max_connections=max_connections(settings.max_descriptors, settings.memory_mb),
    )


def _monitoring_limits() -> ConnectionLimits:
    return ConnectionLimits(max_connections=MONITORING_CONNECTIONS)


async def _listen_front(state: BoxState, front: Frontend) -> EarlyAnswerRunner:
    # There is one handler for all paths, so that the application's router and hooks would only take time.
    server = web.Server(
        front.handle,
        access_log=None,
        handler_cancellation=True,
        auto_decompress=False,
        keepalive_timeout=KEEP_ALIVE_S,
        max_field_size=MAX_FIELD_BYTES,
        max_line_size=MAX_FIELD_BYTES,
    )
    runner = EarlyAnswerRunner(
        server,
        lambda: front.state.load.limit.is_active,
        front.refuse_early,
        _connections(state, "front", partial(_callers_limits, state)),
        front.refuse_unread,
        shutdown_timeout=CLOSE_TIMEOUT_S,
    )
    return await start_site(runner, state.settings.front)


async def _listen_readiness(state: BoxState, path: str) -> web.AppRunner:
    async def ready(_: web.Request) -> web.Response:
        return web.Response(status=200 if state.ready() else 503)

    app = web.Application()
    app.router.add_get(path, ready)
    connections = _connections(state, "readiness", _monitoring_limits)
    return await listen(app, state.settings.readiness, connections, shutdown_timeout=CLOSE_TIMEOUT_S)


async def _listen_metrics(state: BoxState) -> web.AppRunner:
    async def scrape(_: web.Request) -> web.Response:
        state.metrics.in_flight.set(state.in_flight)
        state.metrics.quarantined.set(len(state.quarantine.quarantined_by_digest))
        state.metrics.view_age.set(state.view_age())
        state.metrics.replaced.set(state.oldest_replaced_s())
        state.metrics.dropped_log_lines.set(state.log.dropped_total)
        _update_endpoint_metrics(state)
        return web.Response(body=state.metrics.text(), headers={"Content-Type": "text/plain; version=0.0.4"})

    app = web.Application()
    app.router.add_get("/metrics", scrape)
    address = f"{state.settings.ip}:{state.settings.metrics_port}"
    connections = _connections(state, "metrics", _monitoring_limits)
    return await listen(app, address, connections, shutdown_timeout=CLOSE_TIMEOUT_S)


def _update_endpoint_metrics(state: BoxState) -> None:
    """Set the gauges of evacuated data halls, cold endpoints and endpoints' feedback."""
    metrics, now = state.metrics, monotonic()
    for hall in state.evacuated | state.evacuation_ended_at_by_hall.keys():
        metrics.evacuated.labels(hall).set(hall in state.evacuated)
    metrics.cold.clear()
    metrics.limits.clear()
    metrics.tolerances.clear()
    metrics.leaving.clear()
    metrics.backoffs.clear()
    for endpoint in state.fleet.live():
        remaining_s = cold_for_s(state, endpoint, now)
        if remaining_s > 0:
            metrics.cold.labels(endpoint.id).set(remaining_s)
        limit_per_s = limit_of(state.endpoint_state(endpoint))
        if limit_per_s < UNLIMITED:
            metrics.limits.labels(endpoint.id).set(limit_per_s)
        tolerance = tolerance_report(state, endpoint)
        if tolerance is not None and tolerance.per_s < UNLIMITED:
            metrics.tolerances.labels(endpoint.id).set(tolerance.per_s)
        if endpoint.leaving:
            metrics.leaving.labels(endpoint.id).set(1)
    for name, backoff_s in backoffs_by_id(state, now).items():
        metrics.backoffs.labels(name).set(backoff_s)


def _begin_shutdown(state: BoxState, signalled_at: float) -> None:
    """Begin to stop. The process ends in time from here on, even if its event loop hangs."""
    state.begin_shutdown(signalled_at)
    assert state.shutdown.times is not None
    exit_at(state.shutdown.times.exit_by)


async def _drain(state: BoxState, callers: EarlyAnswerRunner) -> None:
    """Report unready, serve until the load balancer has noticed, then finish the requests in progress."""

    def is_idle() -> bool:
        return state.in_flight == 0 and not callers.is_sending()

    times = state.shutdown.times
    assert times is not None
    state.changed.notify_all()
    _log_stop(state, "stopping")
    await asyncio.sleep(times.refuse_at - monotonic())
    state.shutdown.end_waiting()
    _log_stop(state, "refusing")
    await _wait_until_settled(is_idle, times.answer_by - monotonic())
    if not is_idle():
        _log_stop(state, "answering")
        state.shutdown.end_all()
        await _wait_until_settled(is_idle, WRITE_TIMEOUT_S)
    _log_stop(state, "closing")


async def _wait_until_settled(condition: Callable[[], bool], limit_s: float) -> None:
    """Wait until a condition holds and still holds a moment later: a request that was read behind another one
    is begun only once that is answered."""
    end = monotonic() + limit_s
    while await wait_until(condition, end - monotonic()):
        await asyncio.sleep(SETTLED_S)
        if condition():
            return


def _log_stop(state: BoxState, step: str) -> None:
    """Log a step of the shutdown, with the requests in progress and those of them at endpoints."""
    times = state.shutdown.times
    assert times is not None
    state.log.line(
        LogEvent.STOP,
        outcome=step,
        in_flight=state.in_flight,
        at_endpoints=sum(item.in_flight for item in state.endpoints_by_id.values()),
        left_s=times.exit_by - monotonic(),
    )
