"""Stand-in for a model engine: HTTP server with load reports, fenced orders, cache transfers and faults.

Answers are derived from the prompt, so that an answer to the wrong caller is detected.
"""

import asyncio
import hashlib
import json
import random
import secrets
import time
from collections import OrderedDict
from dataclasses import asdict, dataclass

import msgspec
from aiohttp import ClientError, ClientSession, web

from stairquay.adapters.engine import (
    EngineState,
    ExportOrder,
    ExportResult,
    ImportOrder,
    ImportResult,
    Order,
)
from tests.standins.batch import Batch, Parameters, Run
from tests.standins.serving import fault_route, parse_parameters, reply, serve
from tests.standins.store import BLOCK_PAYLOAD

MAX_RECORDED_RUNS = 20_000


@dataclass
class Faults:
    """Counts are numbers of runs to disturb; `after_bytes` is where an answer is cut."""

    leaving: bool = False
    not_run: int = 0
    fail: int = 0
    fail_share: float = 0.0
    garbage: int = 0
    wrong_id: int = 0
    never: int = 0
    cut: int = 0
    cut_before_answer: int = 0
    stall_before_answer: int = 0
    after_bytes: int = 0
    forget_runs: bool = False
    resume_shift: int = 0
    stale_version: str = ""


def payload_of(block: str, version: str) -> bytes:
    return hashlib.blake2b(f"{block}/{version}".encode(), digest_size=BLOCK_PAYLOAD).digest()


def checksum_of(payload: bytes) -> str:
    return hashlib.blake2b(payload, digest_size=16).hexdigest()


class Engine:
    def __init__(self, parameters: Parameters) -> None:
        self.parameters = parameters
        self.batch = Batch(parameters)
        self.faults = Faults()
        self.incarnation = secrets.token_hex(4)
        self.version = parameters.version
        self.loading = ""
        self.fence = 0
        self.runs_by_id: OrderedDict[str, Run] = OrderedDict()
        self.orders: list[dict] = []
        self.turned_away = 0
        self.imports = {"orders": 0, "blocks": 0, "refused": 0}
        self.random = random.Random(parameters.id)
        self.session: ClientSession | None = None

    def application(self) -> web.Application:
        app = web.Application(client_max_size=64_000_000)
        app.add_routes(
            [
                web.post("/v1/chat/completions", self.complete),
                web.post("/v1/completions", self.complete),
                web.get("/runs/{id}/answer", self.resume),
                web.delete("/runs/{id}", self.cancel),
                web.get("/state", self.state),
                web.post("/orders", self.order),
                web.post("/kv/import", self.import_blocks),
                web.post("/kv/export", self.export_blocks),
                web.get("/audit", self.audit),
                fault_route(self.faults),
            ]
        )
        app.on_startup.append(self.start)
        return app

    async def start(self, app: web.Application) -> None:
        self.session = ClientSession()
        app["work"] = asyncio.create_task(self.batch.run_steps())

    # Runs

    async def complete(self, request: web.Request) -> web.StreamResponse:
        run_id = request.headers["X-Request-Id"]
        body = json.loads(await request.read())
        if self.faults.never > 0:
            self.faults.never -= 1
            await asyncio.sleep(3600)
        refusal = self.refusal(run_id, body)
        if refusal is not None:
            return refusal
        if self.faults.fail > 0 or self.random.random() < self.faults.fail_share:
            self.faults.fail = max(0, self.faults.fail - 1)
            return web.Response(status=500, headers={"X-Request-Id": run_id})
        run = self.admit(run_id, request.path, body)
        run.priority = int(request.headers.get("X-Priority", "0"))
        while run.state in ("queued", "prefill"):
            await run.changed.wait()
        if self.faults.stall_before_answer > 0:
            self.faults.stall_before_answer -= 1
            run.max_tokens = 500
            await asyncio.sleep(3600)
        if self.faults.cut_before_answer > 0:
            self.faults.cut_before_answer -= 1
            request.transport.abort()
        return await self.answer(request, run, 0)

    def refusal(self, run_id: str, body: dict) -> web.Response | None:
        not_run = {"X-Request-Id": run_id, "X-Not-Run": "true"}
        if self.faults.leaving:
            self.turned_away += 1
            return reply({"error": "leaving"}, 503, **not_run, **{"X-Leaving": "true"})
        if self.faults.not_run > 0:
            self.faults.not_run -= 1
            return reply({"error": "not now"}, 503, **not_run)
        expected = body.get("kv_transfer_params", {}).get("version", "")
        if expected and expected != self.version:
            return reply({"error": "version"}, 409, **not_run, **{"X-Weight-Version": self.version})
        return None

    def admit(self, run_id: str, path: str, body: dict) -> Run:
        chat = path.endswith("chat/completions")
        text = json.dumps(body["messages"]) if chat else body["prompt"]
        size = (
            sum(len(str(item.get("content") or "")) + 12 for item in body["messages"]) if chat else len(text)
        )
        run = Run(
            id=run_id,
            version=self.version,
            digest=hashlib.sha256(text.encode()).hexdigest()[:16],
            tag=str(body.get("user", "")),
            prompt_tokens=max(1, size // 4),
            max_tokens=int(body.get("max_tokens") or body.get("max_completion_tokens") or 8),
            block_ids=tuple(body.get("kv_transfer_params", {}).get("ids", ())),
            stream=bool(body.get("stream")),
            chat=chat,
            usage=bool((body.get("stream_options") or {}).get("include_usage")),
            model=body["model"],
            started_at=time.monotonic(),
        )
        if run_id in self.runs_by_id:
            self.batch.violations.append(f"run {run_id} came twice")
        self.runs_by_id[run_id] = run
        while len(self.runs_by_id) > MAX_RECORDED_RUNS:
            self.runs_by_id.popitem(last=False)
        self.batch.add(run)
        return run

    async def answer(self, request: web.Request, run: Run, offset: int) -> web.StreamResponse:
        headers = {
            "X-Request-Id": "another" if self.faults.wrong_id > 0 else run.id,
            "X-Prompt-Tokens": str(run.prompt_tokens),
            "X-Cached-Tokens": str(run.cached),
            "X-Weight-Version": run.version,
            "X-Stream-Offset": str(offset),
            "Content-Type": "text/event-stream" if run.stream else "application/json",
        }
        self.faults.wrong_id = max(0, self.faults.wrong_id - 1)
        if self.faults.garbage > 0:
            self.faults.garbage -= 1
            return web.Response(body=b"\x00 not an answer", headers=headers)
        cut = self.faults.cut > 0 and offset == 0
        self.faults.cut -= 1 if cut else 0
        answer = web.StreamResponse(headers=headers)
        await answer.prepare(request)
        while True:
            changed = run.changed
            piece = bytes(run.output[offset:])
            if cut and offset + len(piece) > self.faults.after_bytes:
                await answer.write(piece[: max(0, self.faults.after_bytes - offset)])
                await asyncio.sleep(0.01)
                request.transport.abort()
                return answer
            if piece:
                await answer.write(piece)
                offset += len(piece)
            if run.done and offset == len(run.output):
                break
            await changed.wait()
        await answer.write_eof()
        return answer

    async def resume(self, request: web.Request) -> web.StreamResponse:
        run = self.runs_by_id.get(request.match_info["id"])
        if run is None or self.faults.forget_runs:
            return web.Response(status=404)
        return await self.answer(request, run, int(request.query["from"]) + self.faults.resume_shift)

    async def cancel(self, request: web.Request) -> web.Response:
        run = self.runs_by_id.get(request.match_info["id"])
        if run is not None and not run.done:
            run.state = "cancelled"
            run.append_output(b"", done=True)
        return web.Response(text="ok")

    # Reports and orders

    async def state(self, request: web.Request) -> web.Response:
        now = time.monotonic()
        after = int(request.query["after"])
        old = [item for item in self.batch.reports if item[0] <= now - self.parameters.load_lag_s]
        at, queued, running = old[-1] if old else (now, 0, 0)
        ready = [event for made, event in self.batch.events if made <= now - self.parameters.event_lag_s]
        sent = [event for event in ready if event.number > after] if after >= 0 else []
        kept = tuple(item for item in sent if self.random.random() >= self.parameters.event_loss)
        return reply(
            EngineState(
                incarnation=self.incarnation,
                version=self.faults.stale_version or self.version,
                age_s=min(now - at, self.parameters.load_lag_s),
                loading=self.loading,
                leaving=self.faults.leaving,
                queued_tokens=queued,
                running=running,
                cache_tokens=self.parameters.cache_tokens,
                last_event=ready[-1].number if ready else 0,
                events=kept,
            )
        )

    async def order(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=Order)
        fenced = self.parameters.checks_orders and order.fence < self.fence
        late = time.time() > order.valid_until
        self.orders.append({**asdict(order), "at": time.time(), "followed": not (fenced or late)})
        if fenced or late:
            return reply({"error": "fenced" if fenced else "late"}, 409)
        if order.fence < self.fence:
            self.batch.violations.append(f"order of fence {order.fence} followed after {self.fence}")
        self.fence = max(self.fence, order.fence)
        if order.version not in (self.version, self.loading):
            self.loading = order.version
            asyncio.create_task(self.load(order.version))
        return reply({"accepted": True})

    async def load(self, version: str) -> None:
        async with self.session.get(f"{self.parameters.platform}/weights/{version}") as response:
            await response.read()
        if self.loading == version:
            self.version = version
            self.loading = ""
            if not self.parameters.keep_blocks_over_versions:
                self.batch.cache.clear()

    # Cache transfers

    async def import_blocks(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=ImportOrder)
        self.imports["orders"] += 1
        imported = 0
        if order.version == self.version and not self.faults.leaving:
            imported = await self.read_blocks(order)
        self.imports["blocks"] += imported
        return reply(ImportResult(imported, imported * order.block_bytes))

    async def read_blocks(self, order: ImportOrder) -> int:
        """Read blocks segment by segment, up to the first invalid one or the deadline."""
        imported = 0
        while imported < len(order.blocks):
            segment = order.blocks[imported].segment
            adjacent = [block for block in order.blocks[imported:] if block.segment == segment]
            indexes = ",".join(str(block.index) for block in adjacent)
            valid = 0
            try:
                url = f"http://{order.store}/data/{segment}?blocks={indexes}"
                async with self.session.get(url) as response:
                    for block in adjacent if response.status == 200 else []:
                        payload = await response.content.readexactly(BLOCK_PAYLOAD)
                        if time.time() > order.valid_until or not self.store_if_valid(
                            block, payload, order.version
                        ):
                            break
                        valid += 1
            except (ClientError, asyncio.IncompleteReadError):
                pass
            imported += valid
            if valid < len(adjacent):
                return imported
        return imported

    def store_if_valid(self, block, payload: bytes, version: str) -> bool:
        if checksum_of(payload) != block.checksum:
            self.imports["refused"] += 1
            return False
        if payload != payload_of(block.id, version):
            self.batch.violations.append(f"block {block.id} was taken in with foreign bytes")
        self.batch.store((block.id,), version)
        return True

    async def export_blocks(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=ExportOrder)
        ids = []
        for block in order.ids:
            if self.batch.cache.get(block) != order.version:
                break
            ids.append(block)
        payloads = [payload_of(block, order.version) for block in ids]
        try:
            async with self.session.put(
                f"http://{order.store}/data/{order.segment}",
                data=b"".join(payloads),
                headers={"X-Block-Bytes": str(order.block_bytes)},
            ) as response:
                if response.status != 200:
                    return reply(None, 507)
        except ClientError:
            return reply(None, 502)
        return reply(ExportResult(tuple(ids), tuple(checksum_of(item) for item in payloads)))

    async def audit(self, request: web.Request) -> web.Response:
        runs = [
            {
                "id": run.id,
                "tag": run.tag,
                "version": run.version,
                "digest": run.digest,
                "state": run.state,
                "prompt_tokens": run.prompt_tokens,
                "cached": run.cached,
                "made": run.generated_tokens,
                "started_at": run.started_at,
            }
            for run in self.runs_by_id.values()
        ]
        return reply(
            {
                "runs": runs,
                "orders": self.orders,
                "violations": self.batch.violations,
                "turned_away": self.turned_away,
                "imports": self.imports,
                "version": self.version,
                "cache": list(self.batch.cache),
                "loading": self.loading,
            }
        )


if __name__ == "__main__":
    given = parse_parameters(Parameters)
    serve(given.port, lambda: Engine(given).application())
