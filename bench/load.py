"""Open-loop load generator: replays a trace against a running system and records the responses."""

import asyncio
import json
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector
from hdrh.histogram import HdrHistogram

from bench.trace import SMALL_WORKSPACES, TextGenerator, Turn, messages

LOWEST_US, HIGHEST_US, DIGITS = 1, 120_000_000, 3
TIMEOUT_S = 60.0
MAX_ATTEMPTS = 3
RETRYABLE_STATUSES = (429, 503)


def histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


@dataclass
class Tally:
    """Latencies, token counts and refusals of one group of requests."""

    first_byte_us: HdrHistogram = field(default_factory=histogram)
    token_interval_us: HdrHistogram = field(default_factory=histogram)
    prompt_tokens: int = 0
    cached_tokens: int = 0
    answered: int = 0
    refused: Counter = field(default_factory=Counter)

    def summary(self) -> dict[str, Any]:
        """Return the summary; times are in milliseconds."""
        quantiles = {f"p{q}": self.first_byte_us.get_value_at_percentile(q) / 1000 for q in (50, 95, 99)}
        recomputed = 1 - self.cached_tokens / max(1, self.prompt_tokens)
        return {
            **quantiles,
            "between_p95": self.token_interval_us.get_value_at_percentile(95) / 1000,
            "recomputed": recomputed,
            "answered": self.answered,
            "refused": dict(self.refused),
        }


@dataclass
class Reply:
    """One response; `first_byte_at` is the monotonic time of its first byte."""

    status: int = 0
    first_byte_at: float = 0.0
    tail: bytes = b""
    retry_after_s: float = 0.0


@dataclass
class Replay:
    """Sends the turns of a trace and counts those that are due after `warmup_s`."""

    urls: list[str]
    service: str
    answer_tokens: int
    warmup_s: float
    overall: Tally = field(default_factory=Tally)
    by_workspace: dict[str, Tally] = field(default_factory=dict)
    returned: Tally = field(default_factory=Tally)
    cold: Tally = field(default_factory=Tally)
    small: Tally = field(default_factory=Tally)
    abandoned: set[int] = field(default_factory=set)

    async def run(self, turns: list[Turn]) -> None:
        """Send every turn when it is due, without waiting for earlier responses."""
        text_generator = TextGenerator()
        timeout = ClientTimeout(total=TIMEOUT_S)
        async with ClientSession(timeout=timeout, connector=TCPConnector(limit=0)) as session:
            started = time.monotonic()
            tasks = []
            for number, turn in enumerate(turns):
                body = self.body(turn, text_generator)
                await asyncio.sleep(max(0.0, started + turn.at - time.monotonic()))
                url = self.urls[number % len(self.urls)]
                tasks.append(asyncio.create_task(self.send(session, url, turn, body)))
            await asyncio.gather(*tasks)

    def body(self, turn: Turn, text_generator: TextGenerator) -> bytes:
        value = {
            "model": self.service,
            "messages": messages(turn, text_generator),
            "stream": True,
            "max_tokens": self.answer_tokens,
            "stream_options": {"include_usage": True},
        }
        return json.dumps(value).encode()

    async def send(self, session: ClientSession, url: str, turn: Turn, body: bytes) -> None:
        """Send a turn, with retries after refusals as in a client library.

        The later turns of a conversation are not sent once one of its turns has failed.
        """
        if turn.conversation in self.abandoned:
            return
        started = time.monotonic()
        for number in range(MAX_ATTEMPTS):
            answer = await self.send_once(session, url, turn, body)
            if answer.status not in RETRYABLE_STATUSES or number + 1 == MAX_ATTEMPTS:
                break
            await asyncio.sleep(answer.retry_after_s)
        if answer.status != 200:
            self.abandoned.add(turn.conversation)
        if turn.at >= self.warmup_s:
            first_byte_s = answer.first_byte_at - started
            self.record(
                turn, answer.status, first_byte_s, time.monotonic() - answer.first_byte_at, answer.tail
            )

    async def send_once(self, session: ClientSession, url: str, turn: Turn, body: bytes) -> Reply:
        """Send a turn once."""
        headers = {"Authorization": f"Bearer key-{turn.workspace}", "Content-Type": "application/json"}
        reply = Reply()
        try:
            async with session.post(url + "/v1/chat/completions", data=body, headers=headers) as response:
                reply.status = response.status
                reply.retry_after_s = int(response.headers.get("Retry-After-Ms", "0")) / 1000
                async for part in response.content.iter_any():
                    reply.first_byte_at = reply.first_byte_at or time.monotonic()
                    reply.tail = (reply.tail + part)[-2_000:]
        except (ClientError, asyncio.TimeoutError):
            reply.status = 0
        return reply

    def record(self, turn: Turn, status: int, first_byte_s: float, stream_s: float, tail: bytes) -> None:
        tallies = [self.overall, self.by_workspace.setdefault(turn.workspace, Tally())]
        tallies.append(self.returned if turn.number else self.cold)
        if turn.workspace in SMALL_WORKSPACES:
            tallies.append(self.small)
        usage = parse_usage(tail) if status == 200 else None
        for tally in tallies:
            if usage is None:
                tally.refused[refusal_code(status, tail)] += 1
                continue
            tally.answered += 1
            tally.first_byte_us.record_value(max(1, int(first_byte_s * 1e6)))
            tally.token_interval_us.record_value(max(1, int(stream_s * 1e6 / self.answer_tokens)))
            tally.prompt_tokens += usage["prompt_tokens"]
            tally.cached_tokens += usage["prompt_tokens_details"]["cached_tokens"]


def parse_usage(tail: bytes) -> dict | None:
    """Return the usage object at the end of a complete stream, or None."""
    if not tail.endswith(b"data: [DONE]\n\n"):
        return None
    event = tail.split(b"\n\n")[-3]
    return json.loads(event.removeprefix(b"data: ")).get("usage")


def refusal_code(status: int, tail: bytes) -> str:
    try:
        return json.loads(tail)["error"]["code"]
    except (ValueError, KeyError, TypeError):
        return f"status {status}"
