"""Start-up, readiness and graceful shutdown of the entry program."""

import asyncio
import random

from absl import logging
from aiohttp import ClientSession, web

from stairquay.adapters.follower import View, follow
from stairquay.adapters.followers import router_first_round
from stairquay.adapters.platform import HttpPlatform
from stairquay.adapters.program import (
    BackgroundTasks,
    health_routes,
    listen,
    listen_for_monitoring,
    server_tls_context,
    wait_for_stop,
    wait_until,
)
from stairquay.adapters.rpc import RouterChannels
from stairquay.adapters.settings import EntrySettings, Settings
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
    claims = Claims(platform, settings.box.id, entry.claim_batch, entry.claim_timeout_s)
    server = EntryServer(context, claims)
    app = web.Application(client_max_size=0)

    def ready() -> bool:
        return view.ready() and not context.stopping

    app.add_routes(health_routes(ready))
    app.add_routes(server.route_table())
    operations = await listen_for_monitoring(entry.metrics, ready, context.metrics.text)
    site = await listen(
        app,
        entry.listen,
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
    await wait_for_stop(tasks)
    await _drain(context, entry)
    await site.cleanup()
    await operations.cleanup()
    await tasks.cancel()
    for session in (context.pooled_session, context.unpooled_session, context.run_control_session):
        await session.close()
    await channels.close()
    await platform.close()


async def _drain(context: EntryContext, entry: EntrySettings) -> None:
    """Report not ready, wait for load balancers to notice, then refuse new requests and drain the others."""
    context.stopping = True
    await asyncio.sleep(entry.lame_duck_s)
    context.refusing = True
    finished = await wait_until(lambda: context.in_flight == 0, entry.drain_s)
    if not finished:
        logging.warning("%d requests still in flight after drain_s", context.in_flight)
