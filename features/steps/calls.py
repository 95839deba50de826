"""Steps that send requests and check their responses."""

import json
import random
import time

from behave import step, then, when

from tests.launcher import http
from tests.session import all_runs, audit, chat_body, send_chat, send_plain

LONG_PROMPT_CHARS = 24_000
"""Characters of a long prompt: 6,000 tokens, 23 blocks."""


def entry_url(context, box):
    return f"http://127.0.0.1:{context.cluster.boxes[box].entry}"


def long_prompt(name):
    return " ".join(f"{name}-{number}" for number in range(LONG_PROMPT_CHARS // (len(name) + 6)))


def prompt_body(name, stream=True, tokens=8, tag="", turns=None):
    return chat_body(long_prompt(name), stream, tokens, tag, turns)


def record_outcome(context, outcome, name=""):
    context.outcomes.append(outcome)
    context.last = outcome
    if name:
        context.results_by_name[name] = outcome


def send_prompt(context, workspace, box, body, headers=None):
    return send_chat(entry_url(context, box), f"key-{workspace}", body, headers)


@when("{workspace:Name} sends the prompt {name:Name} to {box:Name}")
def _(context, workspace, name, box):
    record_outcome(context, context.loop.run(send_prompt(context, workspace, box, prompt_body(name))), name)


@when("{workspace:Name} sends the prompt {name:Name} to {box:Name} for a whole answer")
def _(context, workspace, name, box):
    record_outcome(
        context, context.loop.run(send_prompt(context, workspace, box, prompt_body(name, stream=False))), name
    )


@when("{workspace:Name} sends the prompt {name:Name} to {box:Name}, not repeatable")
def _(context, workspace, name, box):
    headers = {"Stairquay-Repeatable": "no", "Stairquay-Timeout": "5"}
    body = prompt_body(name, tag=f"once-{name}")
    record_outcome(context, context.loop.run(send_prompt(context, workspace, box, body, headers)), name)


@when("{workspace:Name} sends the prompt {name:Name} to {box:Name} with the key {key:Name}")
def _(context, workspace, name, box, key):
    headers = {"Idempotency-Key": key}
    body = prompt_body(name, tag=f"once-{key}")
    record_outcome(context, context.loop.run(send_prompt(context, workspace, box, body, headers)), name)


@when("{workspace:Name} starts the prompt {name:Name} of {tokens:d} tokens at {box:Name}")
def _(context, workspace, name, tokens, box):
    context.pending[name] = context.loop.start(
        send_prompt(context, workspace, box, prompt_body(name, tokens=tokens))
    )


@when("{workspace:Name} starts the prompt {name:Name} of {tokens:d} tokens at {box:Name} for a whole answer")
def _(context, workspace, name, tokens, box):
    context.pending[name] = context.loop.start(
        send_prompt(context, workspace, box, prompt_body(name, tokens=tokens, stream=False))
    )


@when(
    "{workspace:Name} starts the prompt {name:Name} of {tokens:d} tokens at {box:Name} with the key {key:Name}"
)
def _(context, workspace, name, tokens, box, key):
    body = prompt_body(name, tokens=tokens, tag=f"once-{key}")
    context.pending[name] = context.loop.start(
        send_prompt(context, workspace, box, body, {"Idempotency-Key": key})
    )


@when("the prompt {name:Name} is answering")
def _(context, name):
    def answering():
        runs = all_runs(context.cluster, context.engines)
        return any(run["made"] > 2 for run in runs)

    context.cluster.until(answering, 10, f"{name} answering")


@when("the caller of {name:Name} goes away")
def _(context, name):
    context.pending.pop(name).cancel()


@then("the prompt {name:Name} is answered whole")
def _(context, name):
    if name in context.pending:
        record_outcome(context, context.pending.pop(name).result(40), name)
    outcome = context.results_by_name[name]
    assert outcome.answered, f"{outcome} {outcome.body[-400:]!r}"


@then("the prompt {name:Name} is not answered whole")
def _(context, name):
    record_outcome(context, context.pending.pop(name).result(40), name)
    assert not context.results_by_name[name].answered, context.results_by_name[name]


@then("the prompt {name:Name} ends in a clear error, with the run {ran}")
def _(context, name, ran):
    if name in context.pending:
        record_outcome(context, context.pending.pop(name).result(40), name)
    outcome = context.results_by_name[name]
    assert not outcome.complete and outcome.code, outcome
    assert outcome.execution_status == ran, outcome


@then("the answer is whole")
def _(context):
    assert context.last.answered, f"{context.last} {context.last.body[-400:]!r}"


@then("the answer was computed from nothing")
def _(context):
    assert context.last.answered and context.last.cached == 0, context.last


@then("at least {share:g} of the prompt was reused")
def _(context, share):
    assert context.last.answered, context.last
    assert context.last.cached >= share * context.last.prompt_tokens, context.last


@then("the refusal is {code:Name}, with the run {ran}")
def _(context, code, ran):
    assert context.last.code == code, f"{context.last} {context.last.body[-400:]!r}"
    assert context.last.execution_status == ran, context.last


@then("the refusal tells when to come back")
def _(context):
    assert int(context.last.retry_after) >= 1, context.last


@then("it came within {seconds:g} s")
def _(context, seconds):
    assert context.last.total_s <= seconds, context.last


@when("{workspace:Name} calls {method:Name} {path:Name} at {box:Name}")
def _(context, workspace, method, path, box):
    url = entry_url(context, box)
    body = b"" if method == "GET" else b"part=7"
    request = send_plain(url, f"key-{workspace}", method, path, body, {"X-Tag": path})
    record_outcome(context, context.loop.run(request), path)


@when("{workspace:Name} calls {method:Name} {path:Name} at {box:Name}, not repeatable")
def _(context, workspace, method, path, box):
    url = entry_url(context, box)
    body = b"" if method == "GET" else b"part=7"
    headers = {"X-Tag": f"once-{path}", "Stairquay-Repeatable": "no"}
    record_outcome(
        context, context.loop.run(send_plain(url, f"key-{workspace}", method, path, body, headers)), path
    )


@when(
    "{workspace:Name} calls {method:Name} {path:Name} at {box:Name} with the key {key:Name} and the body {text}"
)
def _(context, workspace, method, path, box, key, text):
    headers = {"X-Tag": f"once-{key}", "Idempotency-Key": key}
    request = send_plain(entry_url(context, box), f"key-{workspace}", method, path, text.encode(), headers)
    record_outcome(context, context.loop.run(request), path)


@when(
    "{workspace:Name} calls {method:Name} {path:Name} at {box_a:Name} and {box_b:Name} at once with the key {key:Name}"
)
def _(context, workspace, method, path, box_a, box_b, key):
    headers = {"X-Tag": f"once-{key}", "Idempotency-Key": key}
    started = [
        context.loop.start(
            send_plain(entry_url(context, box), f"key-{workspace}", method, path, b"x", headers)
        )
        for box in (box_a, box_b)
    ]
    for future in started:
        record_outcome(context, future.result(40))


@then("exactly {count:d} of them was answered")
def _(context, count):
    assert sum(item.status == 200 for item in context.outcomes) == count, context.outcomes


@then("the call is answered")
def _(context):
    assert context.last.status == 200 and not context.last.broken, context.last


@then("the caller sees a broken answer")
def _(context):
    assert context.last.broken, context.last


@then("{count:d} runs are on record with the tag {tag:Name}")
def _(context, count, tag):
    runs = all_runs(context.cluster, context.engines + context.plain)
    tagged = [run for run in runs if run["tag"] == tag]
    assert len(tagged) == count, tagged


@then("no run is on record")
def _(context):
    runs = all_runs(context.cluster, context.engines + context.plain)
    assert not runs, runs


@then("the run of {name:Name} is cancelled within {seconds:g} s")
def _(context, name, seconds):
    def cancelled():
        return any(run["state"] == "cancelled" for run in all_runs(context.cluster, context.engines))

    context.cluster.until(cancelled, seconds, "cancelled")


@step("mixed load runs for {seconds:g} s at {rate:d} requests a second")
def _(context, seconds, rate):
    """Start the load, which continues during the following steps."""
    context.load = context.loop.start(mixed_load(context, seconds, rate))


async def mixed_load(context, seconds, rate):
    import asyncio

    rng = random.Random(11)
    tasks = []
    end = time.monotonic() + seconds
    number = 0
    while time.monotonic() < end:
        number += 1
        workspace = rng.choice(["red", "blue"])
        box = rng.choice(context.box_names)
        tasks.append(asyncio.create_task(send_mixed_request(context, rng, number, workspace, box)))
        await asyncio.sleep(1 / rate)
    return await asyncio.gather(*tasks)


async def send_mixed_request(context, rng, number, workspace, box):
    name = f"talk{rng.randrange(12)}"
    kind = rng.randrange(10)
    if kind < 6:
        turns = [f"turn {n}" for n in range(rng.randrange(3))]
        body = prompt_body(name, stream=kind < 4, tokens=rng.randrange(4, 30), turns=turns)
        return await send_prompt(context, workspace, box, body)
    if kind == 6:
        body = prompt_body(name, tag=f"once-load{number}")
        return await send_prompt(context, workspace, box, body, {"Stairquay-Repeatable": "no"})
    url = entry_url(context, box)
    if kind == 7:
        headers = {"X-Tag": f"once-key{number}", "Idempotency-Key": f"key{number}"}
        return await send_plain(url, f"key-{workspace}", "POST", "/portal/order", b"x", headers)
    return await send_plain(url, f"key-{workspace}", "GET", f"/portal/page{number}")


@then("the load ends")
def _(context):
    outcomes = context.load.result(90)
    context.outcomes += outcomes
    statuses = {}
    for outcome in outcomes:
        key = outcome.code or (outcome.status if not outcome.broken else "broken")
        statuses[key] = statuses.get(key, 0) + 1
    print(f"outcomes of {len(outcomes)} requests: {statuses}")


@then("every request of it was answered whole")
def _(context):
    failed = [item for item in context.outcomes if not (item.status == 200 and item.complete)]
    assert not failed, f"{len(failed)} of {len(context.outcomes)}: {failed[:3]}"


@then("at least {share:g} of its requests were answered")
def _(context, share):
    completed = sum(1 for item in context.outcomes if item.status == 200 and item.complete)
    assert completed >= share * len(context.outcomes), f"{completed} of {len(context.outcomes)}"


@then("the audit finds nothing")
def _(context):
    violations = audit(context.cluster, context.engines, context.plain, context.outcomes)
    assert not violations, "\n".join(violations)


@then("{name:Name} gets no new run in the next {seconds:g} s of load")
def _(context, name, seconds):
    before = len(context.cluster.audit(name)["runs"])
    load = context.loop.start(mixed_load(context, seconds, 20))
    context.outcomes += load.result(60)
    after = len(context.cluster.audit(name)["runs"])
    assert after == before, f"{after - before} new runs"


@then("{name:Name} turned away at most {count:d} requests")
def _(context, name, count):
    assert context.cluster.audit(name)["turned_away"] <= count, context.cluster.audit(name)["turned_away"]


@then("{name:Name} gets new runs within {seconds:g} s of load")
def _(context, name, seconds):
    before = len(context.cluster.audit(name)["runs"])
    load = context.loop.start(mixed_load(context, seconds, 20))
    context.outcomes += load.result(60)
    assert len(context.cluster.audit(name)["runs"]) > before


@then("no log and no metric holds the text of {name:Name}")
def _(context, name):
    needle = f"{name}-17"
    for process in context.cluster.processes.values():
        if process.name.startswith("box"):
            assert needle not in process.log.read_text(errors="replace"), process.name
    for ports in context.cluster.boxes.values():
        for port in (ports.entry_metrics, ports.router_metrics, ports.control_metrics):
            text = http("GET", f"http://127.0.0.1:{port}/metrics").body.decode()
            assert needle not in text and "stairquay_" in text


@then("the call carried no cookie")
def _(context):
    headers = json.loads(context.last.body)["headers"]
    assert "Cookie" not in headers, headers


@when("{workspace:Name} calls GET {path:Name} at {box:Name} under the name of {other:Name}")
def _(context, workspace, path, box, other):
    headers = {"x-stairquay-workspace": other, "x-request-id": "mine"}
    request = send_plain(entry_url(context, box), f"key-{workspace}", "GET", path, headers=headers)
    record_outcome(context, context.loop.run(request), path)


@then("the plain service was told of {workspace:Name} alone")
def _(context, workspace):
    seen = json.loads(context.last.body)
    workspaces = [value for key, value in seen["all_headers"] if key.lower() == "x-stairquay-workspace"]
    request_ids = [value for key, value in seen["all_headers"] if key.lower() == "x-request-id"]
    assert workspaces == [workspace], workspaces
    assert len(request_ids) == 1 and request_ids[0].startswith("req-"), request_ids


@when("the engine ends all its runs early")
def _(context):
    for run in all_runs(context.cluster, context.engines):
        http("DELETE", f"http://127.0.0.1:{context.cluster.ports[run['endpoint']]}/runs/{run['id']}")


@then("the prompt {name:Name} has ended")
def _(context, name):
    assert context.pending[name].done()
