"""Runs the router program."""

import asyncio
import random

import grpc
from absl import logging

from stairquay.adapters.channels import MAX_CONNECTIONS_OPTION
from stairquay.adapters.follower import View, follow
from stairquay.adapters.followers import platform_first_round
from stairquay.adapters.platform import HttpPlatform
from stairquay.adapters.program import (
    BackgroundTasks,
    listen_for_monitoring,
    usable_descriptors,
    wait_for_stop,
    wait_until,
)
from stairquay.adapters.router_pb2_grpc import add_RouterServicer_to_server
from stairquay.adapters.rpc import RouterChannels, bind
from stairquay.adapters.sessions import open_endpoint_sessions
from stairquay.adapters.settings import RouterSettings, Settings
from stairquay.core.connection_limits import max_peer_connections
from stairquay.router.exporting import Exporter
from stairquay.router.importing import Importer
from stairquay.router.polling import Poller
from stairquay.router.service import RouterService
from stairquay.router.state import RouterState

ROLE = "router"
SHUTDOWN_TIMEOUT_S = 15.0
"""Time that a stopping router gives to route calls in progress."""


async def run_router(settings: Settings, router: RouterSettings) -> None:
    """Run the router until a stop signal, then let route calls in progress finish."""
    view = View(settings.box.id, ROLE, settings.view.stale_s)
    platform = HttpPlatform(settings.platform.url, settings.platform.timeout_s)
    channels = RouterChannels(settings.internal_tls)
    state = RouterState(settings.box.id, router, view, random.Random())
    async with open_endpoint_sessions() as sessions:
        importer = Importer(state, sessions.orders)
        tasks = BackgroundTasks()
        exporter = Exporter(state, sessions.orders, tasks.start)
        service = RouterService(state, importer, exporter)
        most = max_peer_connections(usable_descriptors())
        server = grpc.aio.server(options=[(MAX_CONNECTIONS_OPTION, most)])
        add_RouterServicer_to_server(service, server)
        bind(server, router.listen, settings.internal_tls)
        await server.start()
        stopping = asyncio.Event()
        site = await listen_for_monitoring(
            router.metrics, lambda: view.ready() and not stopping.is_set(), state.metrics.text
        )
        one_round = platform_first_round(settings.view, router.listen, platform, channels)
        tasks.start(follow(view, one_round, settings.view.poll_s, settings.round_timeout_s))
        tasks.start(Poller(state, sessions.reports).run())
        logging.info("router %s listens on %s", settings.box.id, router.listen)
        await wait_for_stop(tasks)
        stopping.set()
        await asyncio.sleep(router.lame_duck_s)
        await wait_until(lambda: service.active_routes == 0, SHUTDOWN_TIMEOUT_S)
        await server.stop(grace=SHUTDOWN_TIMEOUT_S)
        await tasks.cancel()
        await site.cleanup()
    await channels.close()
    await platform.close()
