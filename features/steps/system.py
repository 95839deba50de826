"""Steps that start a system, change it and inject faults."""

import time

from behave import given, step, then, when

from stairquay.core.models import BoxKind, BoxState
from tests.launcher import hash_key, http
from tests.session import LLM

COSTS = {"prefill_tokens_s": 40000, "decode_step_s": 0.005, "link_bytes_s": 30e9, "load_s": 0.6}


def engine_parameters(context):
    return {
        "prefill_tokens_s": COSTS["prefill_tokens_s"],
        "decode_step_s": COSTS["decode_step_s"],
        **getattr(context, "engine_options", {}),
    }


def store_parameters(context):
    return {"link_bytes_s": COSTS["link_bytes_s"], **getattr(context, "store_options", {})}


@given("engines that do not check orders")
def _(context):
    context.checks_orders = False
    context.engine_options = {**getattr(context, "engine_options", {}), "checks_orders": False}


@given("engines with memory for {tokens:d} tokens")
def _(context, tokens):
    context.engine_options = {**getattr(context, "engine_options", {}), "cache_tokens": tokens}


@given("engines that take {seconds:g} s a token")
def _(context, seconds):
    context.engine_options = {**getattr(context, "engine_options", {}), "decode_step_s": seconds}


@given("engines that lose {share:g} of their cache events")
def _(context, share):
    context.engine_options = {**getattr(context, "engine_options", {}), "event_loss": share}


@given("the setting {path:Name} is {value}")
def _(context, path, value):
    import json

    context.cluster.overrides[path] = json.loads(value)


@given("a proxy before {name:Name}")
def _(context, name):
    context.proxied = [*getattr(context, "proxied", []), name]


@given("only {box:Name} goes through the platform's proxy")
def _(context, box):
    context.cluster.boxes_behind_platform_proxy = {box}


@given("a system of {boxes:d} boxes, {engines:d} engines, {stores:d} stores and {plain:d} plain endpoints")
def _(context, boxes, engines, stores, plain):
    cluster = context.cluster
    cluster.start_platform(load_s=COSTS["load_s"])
    for name in getattr(context, "proxied", []):
        if name == "platform":
            cluster.platform_proxy_url = "http://" + cluster.start_proxy(
                name, f"127.0.0.1:{cluster.ports['platform']}"
            )
        elif name.startswith("box"):
            cluster.proxied_routers.add(name)
        else:
            cluster.start_proxy(name)
    context.engines = [f"engine-{i}" for i in range(1, engines + 1)]
    context.stores = [f"store-{i}" for i in range(1, stores + 1)]
    context.plain = [f"plain-{i}" for i in range(1, plain + 1)]
    context.box_names = [f"box-{i}" for i in range(1, boxes + 1)]
    for name in context.engines:
        cluster.start_engine(name, **engine_parameters(context))
    for name in context.stores:
        cluster.start_store(name, **store_parameters(context))
    for name in context.plain:
        cluster.start_plain(name)
    for name in context.engines + context.stores + context.plain:
        cluster.until_listens(cluster.ports[name])
    cluster.add_boxes(*context.box_names)
    cluster.start_boxes(*context.box_names)
    cluster.until_ready(*context.box_names)
    for name in context.box_names:
        cluster.until(lambda name=name: cluster.is_ready(name, "control"), 15, "control")
    revision = cluster.apply("box-1", initial_intents(context))
    cluster.until_in_force("box-1", revision)
    cluster.until(lambda: all(item["age_s"] >= 0 for item in engine_status(context)), 10, "engines polled")


def engine_status(context):
    status = context.cluster.control("box-1", "GET", "/v1/status").json()
    return [item for item in status["endpoints"] if item["service"] == LLM]


def initial_intents(context):
    checks = getattr(context, "checks_orders", True)
    llm = {
        "kind": "engine",
        "endpoints": [{"id": name, "checks_orders": checks} for name in context.engines],
        "stores": context.stores,
        "costs": COSTS,
        "timeout_s": 30.0,
    }
    portal = {
        "kind": "plain",
        "path_prefix": "/portal",
        "endpoints": [{"id": name} for name in context.plain],
        "timeout_s": 20.0,
    }
    intents = [
        {"kind": "service", "id": LLM, "value": llm},
        {"kind": "service", "id": "portal", "value": portal},
        {"kind": "version", "id": f"{LLM}/v1"},
        {"kind": "version", "id": f"{LLM}/v2"},
        {"kind": "placement", "id": LLM, "value": {"version": "v1"}},
    ]
    for workspace in ("red", "blue"):
        intents.append(workspace_intent(workspace))
    return intents


def workspace_intent(workspace, **values):
    value = {"key_hashes": [hash_key(f"key-{workspace}")], "rate_s": 2000, "burst": 2000, **values}
    return {"kind": "workspace", "id": workspace, "value": value}


@step("engine {name:Name} has the fault {fault:Name} = {value}")
@step("endpoint {name:Name} has the fault {fault:Name} = {value}")
@step("store {name:Name} has the fault {fault:Name} = {value}")
def _(context, name, fault, value):
    import json

    context.cluster.set_fault(name, **{fault: json.loads(value)})


@step("all engines have the fault {fault:Name} = {value}")
def _(context, fault, value):
    import json

    for name in context.engines:
        context.cluster.set_fault(name, **{fault: json.loads(value)})


@step("the platform has the fault {fault:Name} = {value}")
def _(context, fault, value):
    import json

    context.cluster.set_fault("platform", **{fault: json.loads(value)})


@step("the proxy before {name:Name} has the fault {fault:Name} = {value}")
def _(context, name, fault, value):
    import json

    context.cluster.set_proxy_fault(name, **{fault: json.loads(value)})


@step("{name:Name} is killed")
def _(context, name):
    context.cluster.processes[name].kill()


@step("{name:Name} is frozen")
def _(context, name):
    context.cluster.processes[name].freeze()


@step("{name:Name} is woken")
def _(context, name):
    context.cluster.processes[name].thaw()


@step("{name:Name} is asked to stop")
def _(context, name):
    context.cluster.processes[name].terminate()


@step("the program {role:Name} of {box:Name} is started again")
def _(context, role, box):
    context.cluster.start_program(box, role)


@step("engine {name:Name} is started anew")
def _(context, name):
    context.cluster.start_engine(name, **engine_parameters(context))


@step("store {name:Name} is started anew")
def _(context, name):
    context.cluster.start_store(name, **store_parameters(context))
    context.cluster.until_listens(context.cluster.ports[name])


@then("{name:Name} has exited with status {status:d}")
def _(context, name, status):
    assert context.cluster.processes[name].wait(20) == status


@step("{seconds:g} seconds pass")
def _(context, seconds):
    time.sleep(seconds)


@then("{box:Name} is ready within {seconds:g} s")
def _(context, box, seconds):
    context.cluster.until_ready(box, timeout_s=seconds)


@then("{box:Name} is not ready within {seconds:g} s")
def _(context, box, seconds):
    context.cluster.until(lambda: not context.cluster.is_ready(box, "entry"), seconds, f"{box} unready")


@step("the list says that {name:Name} is {state:Name}")
def _(context, name, state):
    cluster = context.cluster
    kind = BoxKind.PLAIN if name in context.plain else BoxKind.ENGINE
    address = cluster.proxy_addresses.get(name, f"127.0.0.1:{cluster.ports[name]}")
    cluster.register_box(name, kind, {"http": address}, state=BoxState(state))


@when("the operator puts version {version:Name} into force at {box:Name}")
def _(context, version, box):
    intent = {"kind": "placement", "id": LLM, "value": {"version": version}}
    context.revision = context.cluster.apply(box, [intent])


@when("the operator revokes the keys of {workspace:Name}")
def _(context, workspace):
    intent = workspace_intent(workspace)
    intent["value"]["key_hashes"] = []
    context.revision = context.cluster.apply("box-1", [intent])


@then("that is in force everywhere within {seconds:g} s")
def _(context, seconds):
    took = context.cluster.until_in_force(context.box_names[-1], context.revision, seconds)
    assert took <= seconds


@then("all engines run version {version:Name} within {seconds:g} s")
def _(context, version, seconds):
    context.cluster.until(
        lambda: all(context.cluster.audit(name)["version"] == version for name in context.engines),
        seconds,
        f"version {version}",
    )


@step("{name:Name} keeps {count:d} segments within {seconds:g} s")
def _(context, name, count, seconds):
    context.cluster.until(lambda: context.cluster.audit(name)["manifests"] >= count, seconds, "segments")
    time.sleep(0.3)


@step("engine {name:Name} has forgotten its cache")
def _(context, name):
    cluster = context.cluster
    cluster.processes[name].kill()
    cluster.start_engine(name, **engine_parameters(context))
    cluster.until_listens(cluster.ports[name])
    cluster.until(lambda: http("GET", f"http://127.0.0.1:{cluster.ports[name]}/state?after=0").status == 200)
    time.sleep(0.6)
