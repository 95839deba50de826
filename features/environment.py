"""Starts a cluster for each scenario and stops it afterwards."""

from behave import register_type
from parse import with_pattern

from tests.launcher import Cluster
from tests.session import EventLoopThread


@with_pattern(r"[\w./-]+")
def parse_name(text):
    return text


register_type(Name=parse_name)


def before_scenario(context, scenario):
    context.loop = EventLoopThread()
    context.cluster = Cluster()
    if "callers" not in scenario.effective_tags:
        # Only the callers feature tests refusals under load; elsewhere a busy machine may be slow.
        context.cluster.overrides["entry.max_queue_s"] = 8.0
    context.engines = []
    context.plain = []
    context.stores = []
    context.box_names = []
    context.outcomes = []
    context.results_by_name = {}
    context.pending = {}


def after_scenario(context, scenario):
    if scenario.status.name not in ("passed", "skipped"):
        print(context.cluster.log_tails())
    context.cluster.stop()
    context.loop.stop()
