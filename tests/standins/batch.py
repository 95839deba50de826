"""Batch of the stand-in engine: continuous batching with chunked prefill, and a prefix cache with events.

It has no HTTP: the engine adds runs, and reads their output, the cache events and the load reports.
"""

import asyncio
import time
from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec

from stairquay.adapters.engine import CacheEvent, EventKind

BLOCK_TOKENS = 256
"""Tokens in a block of KV cache."""


@dataclass
class Parameters:
    port: int
    id: str
    version: str = "v1"
    platform: str = ""
    checks_orders: bool = True
    prefill_tokens_s: float = 10_000.0
    decode_step_s: float = 0.01
    piece_tokens: int = 2_000
    slots: int = 16
    cache_tokens: int = 400_000
    event_lag_s: float = 0.1
    event_loss: float = 0.0
    load_lag_s: float = 0.2
    keep_blocks_over_versions: bool = True


@dataclass
class Run:
    id: str
    version: str
    digest: str
    tag: str
    prompt_tokens: int
    max_tokens: int
    block_ids: tuple[str, ...]
    stream: bool
    chat: bool
    usage: bool
    model: str
    number: int = 0
    priority: int = 0
    cached: int = 0
    to_prefill: int = -1
    generated_tokens: int = 0
    started_at: float = 0.0
    state: str = "queued"
    output: bytearray = field(default_factory=bytearray)
    done: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def append_output(self, piece: bytes, done: bool = False) -> None:
        self.output += piece
        self.done = self.done or done
        self.changed.set()
        self.changed = asyncio.Event()


class Batch:
    """Works in steps: each prefills one chunk of one prompt, and decodes one token of each decoding run."""

    def __init__(self, parameters: Parameters) -> None:
        self.parameters = parameters
        self.last_number = 0
        self.queue: list[Run] = []
        self.running: list[Run] = []
        self.prefill_chunk: tuple[Run, int] | None = None
        self.wake = asyncio.Event()
        self.cache: OrderedDict[str, str] = OrderedDict()
        self.events: list[tuple[float, CacheEvent]] = []
        self.reports: list[tuple[float, int, int]] = [(0.0, 0, 0)]
        self.violations: list[str] = []

    def add(self, run: Run) -> None:
        """Queue a run."""
        self.last_number += 1
        run.number = self.last_number
        self.queue.append(run)
        self.wake.set()

    async def run_steps(self) -> None:
        at = time.monotonic()
        while True:
            self.record_load()
            if not self.queue and not self.running:
                self.wake.clear()
                await self.wake.wait()
                at = time.monotonic()
            at += self.plan_step()
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            self.finish_step()

    def plan_step(self) -> float:
        """Plan the next step, and return its duration."""
        self.running = [run for run in self.running if not run.done]
        self.queue = [run for run in self.queue if not run.done]
        self.queue.sort(key=lambda run: (-run.priority, run.number))
        while self.queue and len(self.running) < self.parameters.slots:
            self.running.append(self.queue.pop(0))
        prefilling = [run for run in self.running if run.state in ("queued", "prefill")]
        prefilling.sort(key=lambda run: (-run.priority, run.number))
        self.prefill_chunk = None
        step_s = self.parameters.decode_step_s if len(prefilling) < len(self.running) else 0.0
        if prefilling:
            run = prefilling[0]
            if run.state == "queued":
                self.look_up_prefix(run)
            tokens = min(self.parameters.piece_tokens, run.to_prefill)
            self.prefill_chunk = (run, tokens)
            step_s += tokens / self.parameters.prefill_tokens_s
        return max(step_s, 0.0005)

    def look_up_prefix(self, run: Run) -> None:
        """Start the prefill after the cached blocks of the run's prefix."""
        run.state = "prefill"
        cached_blocks = 0
        for block in run.block_ids:
            if block not in self.cache:
                break
            if self.cache[block] != run.version:
                self.violations.append(f"run {run.id} used a block of version {self.cache[block]}")
            self.cache.move_to_end(block)
            cached_blocks += 1
        run.cached = min(cached_blocks * BLOCK_TOKENS, run.prompt_tokens - 1)
        run.to_prefill = run.prompt_tokens - run.cached

    def finish_step(self) -> None:
        decoding = [run for run in self.running if run.state == "decode" and not run.done]
        if self.prefill_chunk is not None:
            run, tokens = self.prefill_chunk
            run.to_prefill -= tokens
            if run.to_prefill <= 0 and not run.done:
                self.store(run.block_ids, run.version)
                run.state = "decode"
                decoding.append(run)
        for run in decoding:
            self.emit(run)

    def emit(self, run: Run) -> None:
        text = token_text(run, run.generated_tokens)
        run.generated_tokens += 1
        last = run.generated_tokens >= run.max_tokens
        if run.stream:
            piece = sse(chunk(run, text, None))
            if last:
                piece += sse(chunk(run, "", "stop"))
                piece += (
                    sse({**chunk(run, "", None), "choices": [], "usage": usage(run)}) if run.usage else b""
                )
                piece += b"data: [DONE]\n\n"
        else:
            piece = completion_body(run) if last else b""
        if last:
            run.state = "finished"
        run.append_output(piece, done=last)

    def store(self, ids: tuple[str, ...], version: str) -> None:
        added = tuple(block for block in ids if block not in self.cache)
        for block in ids:
            self.cache[block] = version
            self.cache.move_to_end(block)
        evicted = []
        while len(self.cache) * BLOCK_TOKENS > self.parameters.cache_tokens:
            evicted.append(self.cache.popitem(last=False)[0])
        self.publish(EventKind.STORED, added)
        self.publish(EventKind.REMOVED, tuple(evicted))

    def publish(self, kind: EventKind, ids: tuple[str, ...]) -> None:
        if not ids:
            return
        number = (self.events[-1][1].number if self.events else 0) + 1
        self.events.append((time.monotonic(), CacheEvent(number, kind, ids)))
        del self.events[:-5_000]

    def record_load(self) -> None:
        queued = sum(run.prompt_tokens for run in self.queue)
        queued += sum(max(0, run.to_prefill) for run in self.running if run.state == "prefill")
        running = len(self.running) + len(self.queue)
        self.reports.append((time.monotonic(), queued, running))
        del self.reports[:-5_000]


def token_text(run: Run, number: int) -> str:
    """Return one token of an answer; the first has the prompt's digest and the version of the weights."""
    return f"{run.digest}@{run.version}" if number == 0 else f" w{number}"


def sse(value: dict) -> bytes:
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


def chunk(run: Run, text: str, finish: str | None) -> dict:
    choice = {"index": 0, "finish_reason": finish}
    if run.chat:
        choice["delta"] = (
            {"role": "assistant", "content": text} if run.generated_tokens == 1 else {"content": text}
        )
    else:
        choice["text"] = text
    return {
        "id": run.id,
        "object": "chat.completion.chunk" if run.chat else "text_completion",
        "created": 0,
        "model": run.model,
        "choices": [choice],
    }


def usage(run: Run) -> dict:
    return {
        "prompt_tokens": run.prompt_tokens,
        "completion_tokens": run.generated_tokens,
        "total_tokens": run.prompt_tokens + run.generated_tokens,
        "prompt_tokens_details": {"cached_tokens": run.cached},
    }


def completion_body(run: Run) -> bytes:
    text = "".join(token_text(run, number) for number in range(max(1, run.max_tokens)))
    choice = {"index": 0, "finish_reason": "stop"}
    if run.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return msgspec.json.encode(
        {
            "id": run.id,
            "object": "chat.completion" if run.chat else "text_completion",
            "created": 0,
            "model": run.model,
            "choices": [choice],
            "usage": usage(run),
        }
    )
