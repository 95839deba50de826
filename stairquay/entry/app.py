"""Start-up, readiness and graceful shutdown of the entry program."""

import asyncio
import random

from absl import logging
from aiohttp import ClientSession, web

from stairquay.adapters.clock import monotonic
from stairquay.adapters.follower import View, follow
from stairquay.adapters.followers import router_first_round
from stairquay.adapters.platform import HttpPlatform
from stairquay.adapters.program import (
    BackgroundTasks,
    catch_stop_signals,
    health_routes,
    listen,
    listen_for_monitoring,
    logged_connections,
    machine_memory_mb,
    server_tls_context,
    usable_descriptors,
    wait_for_stop,
    wait_until,
)
from stairquay.adapters.rpc import RouterChannels
from stairquay.adapters.settings import EntrySettings, Settings
from stairquay.core.connection_limits import (
    ENTRY_CONNECTION_BYTES,
    PROGRAMS_PER_MACHINE,
    ConnectionLimits,
    max_connections,
)
from stairquay.core.shutdown import ShutdownTimes
from stairquay.entry.context import EntryContext
from stairquay.entry.once import Claims
from stairquay.entry.server import EntryServer
from stairquay.entry.upstream import open_session

ROLE = "entry"
SHUTDOWN_TIMEOUT_S = 1.0
"""Time the HTTP server gives to requests that outlast `drain_s`."""


async def run_entry(settings: Settings, entry: EntrySettings) -> None:
    """Run the entry until a stop signal, then drain it."""
    view = View(settings.box.id, ROLE, settings.view.stale_s)
    platform = HttpPlatform(settings.platform.url, settings.platform.timeout_s)
    channels = RouterChannels(settings.internal_tls)
    context = EntryContext(
        box=settings.box.id,
        data_hall=settings.box.data_hall,
        settings=entry,
        view=view,
        platform=platform,
        channels=channels,
        pooled_session=open_session(entry.connect_timeout_s, reuse=True),
        unpooled_session=open_session(entry.connect_timeout_s, reuse=False),
        run_control_session=ClientSession(auto_decompress=False),
        random=random.Random(),
    )
    memory_mb = entry.memory_mb or machine_memory_mb() // PROGRAMS_PER_MACHINE
    context.client_memory.limit_by(memory_mb)
    # Before anything listens: a request that was accepted is answered.
    stopped = catch_stop_signals(lambda at: context.shutdown.begin(_shutdown_times(at, entry)))
    claims = Claims(platform, settings.box.id, entry.claim_batch, entry.claim_timeout_s)
    server = EntryServer(context, claims)
    app = web.Application(client_max_size=0)

    def ready() -> bool:
        return view.ready() and context.shutdown.times is None

    app.add_routes(health_routes(ready))
    app.add_routes(server.route_table())
    operations = await listen_for_monitoring(entry.metrics, ready, context.metrics.text)
    site = await listen(
        app,
        entry.listen,
        logged_connections(entry.listen, _callers_limits(entry, memory_mb), context.client_memory),
        handler_cancellation=True,
        auto_decompress=False,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        max_field_size=entry.max_header_bytes,
        ssl_context=server_tls_context(entry.tls),
        reuse_port=entry.reuse_port,
    )
    tasks = BackgroundTasks()
    one_round = router_first_round(settings.view, entry.router, platform, channels)
    tasks.start(follow(view, one_round, settings.view.poll_s, settings.round_timeout_s))
    logging.info("entry %s listening on %s", settings.box.id, entry.listen)
    await wait_for_stop(tasks, stopped)
    await _drain(context)
    await site.cleanup()
    await operations.cleanup()
    await tasks.cancel()
    for session in (context.pooled_session, context.unpooled_session, context.run_control_session):
        await session.close()
    await channels.close()
    await platform.close()


def _callers_limits(entry: EntrySettings, memory_mb: int) -> ConnectionLimits:
    return ConnectionLimits(
        max_header_bytes=entry.max_head_bytes,
        header_timeout_s=entry.header_timeout_s,
        idle_timeout_s=entry.idle_timeout_s,
        max_connections=entry.max_connections
        or max_connections(usable_descriptors(), memory_mb, ENTRY_CONNECTION_BYTES),
    )


def _shutdown_times(signalled_at: float, entry: EntrySettings) -> ShutdownTimes:
    refuse_at = signalled_at + entry.lame_duck_s
    answer_by = refuse_at + entry.drain_s
    return ShutdownTimes(refuse_at, answer_by, answer_by + SHUTDOWN_TIMEOUT_S)


async def _drain(context: EntryContext) -> None:
    """Wait for load balancers to notice, then refuse new requests, finish the others, and answer the rest."""
    times = context.shutdown.times
    assert times is not None
    await asyncio.sleep(times.refuse_at - monotonic())
    context.shutdown.end_waiting()
    if await wait_until(lambda: context.in_flight == 0, times.answer_by - monotonic()):
        return
    logging.warning("%d requests still in flight after drain_s", context.in_flight)
    context.shutdown.end_all()
    await wait_until(lambda: context.in_flight == 0, SHUTDOWN_TIMEOUT_S)
