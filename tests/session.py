"""Client calls to the system under test, and the audit of their outcomes against what ran."""

import asyncio
import hashlib
import json
import threading
import time
from collections.abc import Coroutine
from concurrent.futures import Future
from dataclasses import dataclass, field
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from tests.launcher import Cluster

CALL_TIMEOUT_S = 40.0
LLM = "llm"


@dataclass
class Outcome:
    """The response that one caller got. `status` is 0 where no response head came."""

    prompt: str
    status: int = 0
    text: str = ""
    complete: bool = False
    execution_status: str = ""
    code: str = ""
    request_id: str = ""
    retry_after: str = ""
    cached: int = 0
    prompt_tokens: int = 0
    first_byte_s: float = 0.0
    total_s: float = 0.0
    broken: bool = False
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def answered(self) -> bool:
        return self.status == 200 and self.complete


class EventLoopThread:
    """An event loop in a thread of its own, for steps that are not coroutines."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def start(self, work: Coroutine) -> Future:
        return asyncio.run_coroutine_threadsafe(work, self.loop)

    def run(self, work: Coroutine) -> Any:
        return self.start(work).result()

    def stop(self) -> None:
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


def chat_body(
    prompt: str, stream: bool, max_tokens: int, tag: str = "", turns: list[str] | None = None
) -> dict:
    messages = [{"role": "user", "content": prompt}]
    for turn in turns or []:
        messages += [{"role": "assistant", "content": "ok"}, {"role": "user", "content": turn}]
    body = {"model": LLM, "messages": messages, "stream": stream, "max_tokens": max_tokens, "user": tag}
    if stream:
        body["stream_options"] = {"include_usage": True}
    return body


def expected_text(body: dict, version: str) -> str:
    digest = hashlib.sha256(json.dumps(body["messages"]).encode()).hexdigest()[:16]
    return f"{digest}@{version}" + "".join(f" w{number}" for number in range(1, body["max_tokens"]))


async def send_chat(
    url: str, key: str, body: dict, headers: dict[str, str] | None = None, tls: Any = True
) -> Outcome:
    """Send a prompt, and check that the answer is complete and belongs to the prompt."""
    outcome = Outcome(json.dumps(body["messages"])[:80])
    started = time.monotonic()
    given = {"Authorization": f"Bearer {key}", **(headers or {})}
    timeout = ClientTimeout(total=CALL_TIMEOUT_S)
    try:
        async with ClientSession(timeout=timeout, connector=TCPConnector(force_close=True)) as session:
            async with session.post(
                url + "/v1/chat/completions", json=body, headers=given, ssl=tls
            ) as response:
                record_head(outcome, response)
                parts = []
                async for part in response.content.iter_any():
                    if not parts:
                        outcome.first_byte_s = time.monotonic() - started
                    parts.append(part)
                outcome.body = b"".join(parts)
    except (ClientError, asyncio.TimeoutError, OSError):
        outcome.broken = True
    outcome.total_s = time.monotonic() - started
    parse_answer(outcome, body)
    return outcome


def record_head(outcome: Outcome, response: Any) -> None:
    outcome.status = response.status
    outcome.headers = dict(response.headers)
    outcome.request_id = response.headers.get("X-Request-Id", "")
    outcome.execution_status = response.headers.get("Stairquay-Run", "")
    outcome.retry_after = response.headers.get("Retry-After", "")


def parse_answer(outcome: Outcome, body: dict) -> None:
    if outcome.status == 200 and body["stream"]:
        parse_stream(outcome, body)
    elif outcome.body and not outcome.broken:
        parse_body(outcome, body)


def parse_stream(outcome: Outcome, body: dict) -> None:
    events = [line[6:] for line in outcome.body.decode().split("\n") if line.startswith("data: ")]
    done = bool(events) and events[-1] == "[DONE]" and not outcome.broken
    for event in events:
        if event == "[DONE]":
            continue
        try:
            value = json.loads(event)
        except ValueError:
            # A truncated event makes the answer incomplete; an error event may follow it.
            done = False
            continue
        if "error" in value:
            outcome.code = value["error"]["code"]
            outcome.execution_status = value["error"]["run"]
            done = False
            continue
        record_usage(outcome, value)
        for choice in value["choices"]:
            outcome.text += choice["delta"].get("content") or ""
    outcome.complete = done and is_expected(outcome.text, body)


def parse_body(outcome: Outcome, body: dict) -> None:
    value = json.loads(outcome.body)
    if "error" in value:
        outcome.code = value["error"]["code"]
        return
    record_usage(outcome, value)
    outcome.text = value["choices"][0]["message"]["content"]
    outcome.complete = is_expected(outcome.text, body)


def record_usage(outcome: Outcome, value: dict) -> None:
    usage = value.get("usage")
    if usage:
        outcome.cached = usage["prompt_tokens_details"]["cached_tokens"]
        outcome.prompt_tokens = usage["prompt_tokens"]


def is_expected(text: str, body: dict) -> bool:
    version = text.partition("@")[2].partition(" ")[0]
    return text == expected_text(body, version)


async def send_plain(
    url: str, key: str, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
) -> Outcome:
    outcome = Outcome(path)
    given = {"Authorization": f"Bearer {key}", **(headers or {})}
    timeout = ClientTimeout(total=CALL_TIMEOUT_S)
    try:
        async with ClientSession(timeout=timeout, connector=TCPConnector(force_close=True)) as session:
            async with session.request(method, url + path, data=body or None, headers=given) as response:
                record_head(outcome, response)
                outcome.body = await response.read()
                outcome.complete = response.status == 200
    except (ClientError, asyncio.TimeoutError, OSError):
        outcome.broken = True
    if outcome.status >= 400 and outcome.body:
        outcome.code = json.loads(outcome.body)["error"]["code"]
    return outcome


def all_runs(cluster: Cluster, names: list[str]) -> list[dict]:
    """Return the recorded runs of all live endpoints."""
    runs = []
    for name in names:
        if cluster.processes[name].alive():
            runs += [{**run, "endpoint": name} for run in cluster.audit(name)["runs"]]
    return runs


def audit(cluster: Cluster, engines: list[str], plain: list[str], outcomes: list[Outcome]) -> list[str]:
    """Return every violation of the invariants."""
    found = []
    for name in engines:
        if cluster.processes[name].alive():
            found += [f"{name}: {item}" for item in cluster.audit(name)["violations"]]
    runs = all_runs(cluster, engines + plain)
    by_request: dict[str, int] = {}
    by_tag: dict[str, int] = {}
    for run in runs:
        request_id = run["id"].rpartition("-")[0]
        by_request[request_id] = by_request.get(request_id, 0) + 1
        if run["tag"].startswith("once"):
            by_tag[run["tag"]] = by_tag.get(run["tag"], 0) + 1
    for outcome in outcomes:
        if outcome.execution_status == "not run" and outcome.request_id in by_request:
            found.append(f"reported as not run, but ran: {outcome.request_id} {outcome.code}")
        if outcome.status == 200 and not outcome.complete and not outcome.broken and not outcome.code:
            found.append(f"incomplete answer without an error: {outcome.body[-200:]!r}")
        if outcome.status >= 500 and not outcome.execution_status:
            found.append(f"error without an execution status: {outcome.body[:200]!r}")
    found += [f"{tag} ran {count} times" for tag, count in by_tag.items() if count > 1]
    return found
