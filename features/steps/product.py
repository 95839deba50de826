"""Steps for the public interfaces: the OpenAI client, invalid input, operators' commands and TLS."""

import asyncio
import gzip
import io
import json
import socket
import time

import openai
from behave import given, then, when
from calls import entry_url, record_outcome
from system import workspace_intent

from stairquay.cli import main
from stairquay.environment import Environment
from stairquay.status import ExitStatus
from tests.launcher import OPERATOR_KEY, Answer, http
from tests.session import LLM, chat_body, send_chat, send_plain

SHORT_MESSAGES = [{"role": "user", "content": "hello"}]


def openai_client(context, key="key-red"):
    return openai.OpenAI(base_url=entry_url(context, "box-1") + "/v1", api_key=key, max_retries=0)


@then("the openai client lists the model {name:Name}")
def _(context, name):
    assert [model.id for model in openai_client(context).models.list()] == [name]


@then("the openai client gets a chat answer, whole and streamed, with usage")
def _(context):
    completions = openai_client(context).chat.completions
    response = completions.create(model=LLM, messages=SHORT_MESSAGES, max_tokens=5)
    assert response.choices[0].message.content.endswith(" w4") and response.usage.completion_tokens == 5
    parts = list(
        completions.create(
            model=LLM,
            messages=SHORT_MESSAGES,
            max_tokens=5,
            stream=True,
            stream_options={"include_usage": True},
        )
    )
    text = "".join(part.choices[0].delta.content or "" for part in parts if part.choices)
    assert text == response.choices[0].message.content
    assert parts[-1].usage.prompt_tokens == response.usage.prompt_tokens
    assert parts[-1].usage.prompt_tokens_details.cached_tokens is not None


@then("the openai client gets a text completion")
def _(context):
    answer = openai_client(context).completions.create(model=LLM, prompt="hello", max_tokens=3)
    assert answer.choices[0].text.endswith(" w2")


@then("the openai client raises its own error for a wrong key and a wrong model")
def _(context):
    for key, model, error_type in [
        ("wrong", LLM, openai.AuthenticationError),
        ("key-red", "nothing", openai.NotFoundError),
    ]:
        try:
            openai_client(context, key).chat.completions.create(model=model, messages=SHORT_MESSAGES)
        except error_type as error:
            assert error.body["run"] == "not run"
        else:
            raise AssertionError(error_type)


VALID_BODY = json.dumps({"model": LLM, "messages": SHORT_MESSAGES}).encode()
RED_HEADERS = {"Authorization": "Bearer key-red", "Content-Type": "application/json"}
CHAT = "/v1/chat/completions"
NESTED = b'{"model": "llm", "messages": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"

BAD_INPUT = {
    "no key": ("POST", CHAT, VALID_BODY, {}),
    "an unknown key": ("POST", CHAT, VALID_BODY, {"Authorization": "Bearer nobody"}),
    "an unknown model": ("POST", CHAT, VALID_BODY.replace(b"llm", b"none"), RED_HEADERS),
    "a plain service as model": ("POST", CHAT, VALID_BODY.replace(b"llm", b"portal"), RED_HEADERS),
    "an unknown path": ("GET", "/nowhere", None, RED_HEADERS),
    "a wrong method": ("GET", CHAT, None, RED_HEADERS),
    "malformed JSON": ("POST", CHAT, b'{"model": "llm", ', RED_HEADERS),
    "deeply nested JSON": ("POST", CHAT, NESTED, RED_HEADERS),
    "JSON that is no object": ("POST", CHAT, b"[1]", RED_HEADERS),
    "messages that are no list": ("POST", CHAT, b'{"model": "llm", "messages": "hi"}', RED_HEADERS),
    "no messages": ("POST", CHAT, b'{"model": "llm", "messages": []}', RED_HEADERS),
    "bytes that are no UTF-8": ("POST", CHAT, b'{"model": "\xff\xfe"}', RED_HEADERS),
    "a body over the limit": ("POST", CHAT, b" " * 4_100_000 + VALID_BODY, RED_HEADERS),
    "too long an idempotency key": ("POST", CHAT, VALID_BODY, {**RED_HEADERS, "Idempotency-Key": "k" * 300}),
    "a timeout of minus one": ("POST", CHAT, VALID_BODY, {**RED_HEADERS, "Stairquay-Timeout": "-1"}),
    "a header flood": ("POST", CHAT, VALID_BODY, {**RED_HEADERS, "X-Flood": "f" * 60_000}),
}


@when("a caller sends a slow body")
def _(context):
    head = f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-red\r\nContent-Length: 500\r\n\r\n"
    with socket.create_connection(("127.0.0.1", context.cluster.boxes["box-1"].entry)) as connection:
        connection.sendall(head.encode() + b'{"model"')
        connection.settimeout(5)
        parts = []
        while True:
            try:
                part = connection.recv(65_536)
            except OSError:
                break
            parts.append(part)
            if not part or b"}}" in part:
                break
    text = b"".join(parts)
    context.response = Answer(int(text.split(b" ")[1]), {}, text.partition(b"\r\n\r\n")[2])


@when("a caller sends a chunked body over the limit")
def _(context):
    async def parts():
        for _ in range(70):
            yield b" " * 65_536

    request = send_plain(entry_url(context, "box-1"), "key-red", "POST", CHAT, parts(), {})
    outcome = context.loop.run(request)
    context.response = Answer(outcome.status, outcome.headers, outcome.body)


@when("a caller sends {what}")
def _(context, what):
    method, path, body, headers = BAD_INPUT[what]
    context.response = http(method, entry_url(context, "box-1") + path, body, headers)


@then("the answer's status is {status:d} and its code {code:Name}")
def _(context, status, code):
    assert context.response.status == status, context.response
    if code != "none":
        error = context.response.json()["error"]
        assert error["code"] == code and error["run"] == "not run", error


@then("each of GET, POST, PUT, PATCH, DELETE and OPTIONS reaches the plain service with its body")
def _(context):
    for method in ("GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"):
        body = b"" if method == "GET" else b"the body"
        request = send_plain(entry_url(context, "box-1"), "key-red", method, "/portal/a%20b?c=d", body)
        outcome = context.loop.run(request)
        seen = json.loads(outcome.body)
        assert seen["method"] == method and seen["size"] == len(body), seen
        assert seen["path"] == "/portal/a%20b?c=d", seen


@then("a body of {size:d} bytes reaches the plain service whole")
def _(context, size):
    request = send_plain(entry_url(context, "box-1"), "key-red", "POST", "/portal/large", b"x" * size)
    outcome = context.loop.run(request)
    assert json.loads(outcome.body)["size"] == size, outcome


@then("hop-by-hop headers and the caller's key do not reach the plain service")
def _(context):
    headers = {"Connection": "X-Hop", "X-Hop": "1", "Keep-Alive": "5", "X-Kept": "1"}
    request = send_plain(entry_url(context, "box-1"), "key-red", "GET", "/portal/h", headers=headers)
    seen = {key.lower() for key in json.loads(context.loop.run(request).body)["headers"]}
    assert "x-kept" in seen and not seen & {"x-hop", "keep-alive", "authorization"}, seen


def send_short_prompt(context, workspace, name, tokens=4):
    body = chat_body(name, True, tokens)
    return send_chat(entry_url(context, "box-1"), f"key-{workspace}", body)


async def send_blue_prompts(context, count):
    outcomes = []
    for number in range(count):
        outcomes.append(await send_short_prompt(context, "blue", f"blue {number}"))
        await asyncio.sleep(0.05)
    return outcomes


@when("blue's calm time to first token is measured")
def _(context):
    calm = context.loop.run(send_blue_prompts(context, 15))
    context.baseline_first_s = sorted(item.first_byte_s for item in calm)[-1]


@when("red floods box-1 with {count:d} prompts while blue goes on")
def _(context, count):
    flood = [context.loop.start(send_short_prompt(context, "red", f"red {n}", 40)) for n in range(count)]
    context.blue_outcomes = context.loop.run(send_blue_prompts(context, 15))
    context.red_outcomes = [future.result(60) for future in flood]
    context.outcomes = context.red_outcomes + context.blue_outcomes


@then("blue's prompts are all answered, and none waits over {seconds:g} s")
def _(context, seconds):
    assert all(item.answered for item in context.blue_outcomes), context.blue_outcomes
    slowest = max(item.first_byte_s for item in context.blue_outcomes)
    print(f"blue's slowest first token: calm {context.baseline_first_s:.3f} s, under flood {slowest:.3f} s")
    assert slowest < seconds


@then("red's refusals say not run and when to come back")
def _(context):
    refused = [item for item in context.red_outcomes if not item.answered]
    assert refused, "no request was refused"
    for item in refused:
        assert (
            item.execution_status == "not run"
            and item.retry_after
            and item.code in ("overloaded", "rate_limited")
        ), item


@when("the operator limits red to {rate:g} requests a second")
def _(context, rate):
    intent = workspace_intent("red", rate_s=rate, burst=rate)
    revision = context.cluster.apply("box-1", [intent])
    context.cluster.until_in_force("box-1", revision)
    time.sleep(0.5)


@when("red sends {count:d} short prompts to box-1 at once")
def _(context, count):
    started = [context.loop.start(send_short_prompt(context, "red", f"red {n}")) for n in range(count)]
    context.outcomes = [future.result(60) for future in started]


@then("at least {count:d} of them are refused as {code:Name}")
def _(context, count, code):
    refused = [item for item in context.outcomes if item.code == code]
    assert len(refused) >= count, context.outcomes
    assert all(item.retry_after for item in refused)


@when("red sends {count:d} short prompts to box-1, one after the other")
def _(context, count):
    for number in range(count):
        record_outcome(context, context.loop.run(send_short_prompt(context, "red", f"red {number}")))


@then("the engines saw at most {ratio:g} attempts a request")
def _(context, ratio):
    text = ""
    for ports in context.cluster.boxes.values():
        text += http("GET", f"http://127.0.0.1:{ports.entry_metrics}/metrics").body.decode()
    lines = [line for line in text.splitlines() if line.startswith("stairquay_attempts_total")]
    attempts = sum(float(line.rpartition(" ")[2]) for line in lines)
    print(f"{attempts} attempts for {len(context.outcomes)} requests")
    assert len(context.outcomes) <= attempts <= ratio * len(context.outcomes), lines


INTENT_FILES = {
    "swap.json": """// Intents may hold comments.
        [{"kind": "placement", "id": "llm", "value": {"version": "v2"}}]""",
    "wrong.json": """[{"kind": "placement", "id": "llm", "value": {"version": 2}},
        {"kind": "workspace", "id": "green", "value": {"colour": "green"}}]""",
}


def run_command(context, args, key):
    control = f"http://127.0.0.1:{context.cluster.boxes['box-1'].control}"
    variables = {"STAIRQUAY_CONTROL": control, "STAIRQUAY_OPERATOR_KEY": key}
    for name, text in INTENT_FILES.items():
        (context.cluster.folder / name).write_text(text)
    args = [str(context.cluster.folder / arg) if arg in INTENT_FILES else arg for arg in args]
    env = Environment(io.StringIO(), io.StringIO(), io.StringIO(), variables)
    context.exit_status = main(args, env)
    context.command_stdout = env.stdout.getvalue()
    context.command_stderr = env.stderr.getvalue()


@when("an operator runs: stairquay {command}")
def _(context, command):
    run_command(context, command.split(), OPERATOR_KEY)


@when("an operator without a key runs: stairquay {command}")
def _(context, command):
    run_command(context, command.split(), "")


@when("the operator confirms that plan")
def _(context):
    plan = context.command_stdout.split()[0]
    run_command(context, ["plan", plan, "--confirm"], OPERATOR_KEY)


@then('the command succeeds and shows "{text}"')
def _(context, text):
    assert context.exit_status == ExitStatus.SUCCESS, (
        context.exit_status,
        context.command_stdout,
        context.command_stderr,
    )
    assert text in context.command_stdout, context.command_stdout


@then('the command shows "{text}"')
def _(context, text):
    assert text in context.command_stdout, context.command_stdout


@then('the command ends with {status:Name} and complains of "{text}"')
def _(context, status, text):
    assert context.exit_status == ExitStatus[status], (context.exit_status, context.command_stderr)
    assert text in context.command_stderr, context.command_stderr


@then('the command complains of "{text}"')
def _(context, text):
    assert text in context.command_stderr, context.command_stderr


@then("no engine was ordered to do anything")
def _(context):
    for name in context.engines:
        assert not context.cluster.audit(name)["orders"], name


@then("neither plans nor the configuration show a secret")
def _(context):
    plan = context.cluster.propose("box-1", [workspace_intent("green"), workspace_intent("red", rate_s=7)])
    configuration = context.cluster.control("box-1", "GET", "/v1/configuration").body.decode()
    stored_plan = context.cluster.control("box-1", "GET", f"/v1/plans/{plan['id']}").body.decode()
    for text in (json.dumps(plan), configuration, stored_plan):
        assert "red" in text and "kept_secret" not in text, text


@given("the system uses TLS")
def _(context):
    context.cluster.use_tls()


@when("{workspace:Name} sends the prompt {name:Name} to {box:Name} over TLS")
def _(context, workspace, name, box):
    body = chat_body("over tls", True, 6)
    url = f"https://127.0.0.1:{context.cluster.boxes[box].entry}"
    record_outcome(
        context, context.loop.run(send_chat(url, f"key-{workspace}", body, tls=context.cluster.tls))
    )


@then("a process without a certificate cannot ask a router")
def _(context):
    async def request_status():
        import grpc

        from stairquay.adapters.router_pb2 import StatusRequest
        from stairquay.adapters.rpc import RouterChannels
        from stairquay.adapters.settings import TlsSettings

        channels = RouterChannels(TlsSettings())
        stub = channels.stub(f"127.0.0.1:{context.cluster.boxes['box-1'].router}")
        try:
            await stub.Status(StatusRequest(), timeout=2)
        except grpc.aio.AioRpcError as error:
            return error.code().name
        finally:
            await channels.close()
        return "answered"

    assert context.loop.run(request_status()) in ("UNAVAILABLE", "DEADLINE_EXCEEDED")


@then("a compressed body reaches the plain service as it was sent")
def _(context):
    compressed = gzip.compress(b"the body " * 1000)
    headers = {"Content-Encoding": "gzip"}
    request = send_plain(
        entry_url(context, "box-1"), "key-red", "POST", "/portal/packed", compressed, headers
    )
    seen = json.loads(context.loop.run(request).body)
    # The stand-in's server decompresses bodies and refuses invalid gzip data.
    assert seen["size"] == 9000 and seen["headers"]["Content-Encoding"] == "gzip", seen


@then("a HEAD call and an answer with status 204 pass")
def _(context):
    url = entry_url(context, "box-1")
    head = context.loop.run(send_plain(url, "key-red", "HEAD", "/portal/page"))
    assert head.status == 200 and head.body == b"" and not head.broken, head
    empty = context.loop.run(send_plain(url, "key-red", "DELETE", "/portal/empty"))
    assert empty.status == 204 and empty.body == b"" and not empty.broken, empty
