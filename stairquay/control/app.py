"""Runs the control program: each process serves the operator API, and the leader sends orders."""

import secrets

from absl import logging

from stairquay.adapters.follower import View, follow
from stairquay.adapters.followers import router_first_round
from stairquay.adapters.metrics import ControlMetrics
from stairquay.adapters.platform import HttpPlatform
from stairquay.adapters.program import (
    OPERATORS_LIMITS,
    BackgroundTasks,
    listen,
    listen_for_monitoring,
    logged_connections,
    server_tls_context,
    wait_for_stop,
)
from stairquay.adapters.rpc import RouterChannels
from stairquay.adapters.sessions import open_endpoint_sessions
from stairquay.adapters.settings import ControlSettings, KeepSettings, Settings
from stairquay.control.api import OperatorApi
from stairquay.control.leader import Leader, run_while_leading
from stairquay.control.orders import Reconciler
from stairquay.control.plans import PlanService
from stairquay.control.upkeep import StoreUpkeep, TableUpkeep

ROLE = "control"
SHUTDOWN_TIMEOUT_S = 10.0


async def run_control(settings: Settings, control: ControlSettings) -> None:
    """Run the control program until a stop signal, then release the lease and finish open requests."""
    view = View(settings.box.id, ROLE, settings.view.stale_s)
    platform = HttpPlatform(settings.platform.url, settings.platform.timeout_s)
    channels = RouterChannels(settings.internal_tls)
    metrics = ControlMetrics()
    keep = settings.router.keep if settings.router is not None else KeepSettings()
    # A restarted process must not take over the lease of the one before it.
    name = f"{settings.box.id}-{secrets.token_hex(4)}"
    leader = Leader(platform, name, control.lease_s, metrics)
    plans = PlanService(platform, settings.platform.timeout_s * 2)
    api = OperatorApi(control, view, plans, channels, metrics)
    async with open_endpoint_sessions() as sessions:
        site = await listen(
            api.application(),
            control.listen,
            logged_connections(control.listen, OPERATORS_LIMITS),
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            ssl_context=server_tls_context(control.tls),
        )
        operations = await listen_for_monitoring(control.metrics, view.ready, metrics.text)
        tasks = BackgroundTasks()
        one_round = router_first_round(settings.view, control.router, platform, channels)
        tasks.start(follow(view, one_round, settings.view.poll_s, settings.round_timeout_s))
        tasks.start(leader.run())
        reconciler = Reconciler(view, leader, sessions, control, metrics)
        tasks.start(run_while_leading(leader, reconciler.reconcile, control.reconcile_s))
        store_upkeep = StoreUpkeep(view, leader, sessions, keep, metrics)
        tasks.start(run_while_leading(leader, store_upkeep.run_once, control.upkeep_s))
        table_upkeep = TableUpkeep(platform, leader, control)
        tasks.start(run_while_leading(leader, table_upkeep.run_once, control.upkeep_s * 10))
        logging.info("control %s listens on %s", name, control.listen)
        await wait_for_stop(tasks)
        await tasks.cancel()
        await leader.release()
        await site.cleanup()
        await operations.cleanup()
    await channels.close()
    await platform.close()
