"""Stand-in for the platform: table service, lagging list of boxes, weight store."""

import asyncio
import time
from dataclasses import dataclass, field, replace

import msgspec
from aiohttp import web

from stairquay.adapters.ports import Changes, Commit, Committed, Conflict
from stairquay.core.models import Box, BoxList
from stairquay.core.row import Row
from tests.standins.serving import fault_route, parse_parameters, reply, serve

MAX_FULL_SPEED_LOADS = 2


@dataclass
class Parameters:
    port: int
    load_s: float = 1.2
    list_lag_s: float = 0.0
    writes_s: float = 0.0


@dataclass
class Faults:
    outage: bool = False
    list_outage: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    refuse_before_effect: int = 0
    list_lag_s: float = 0.0
    odd_entry: str = ""
    """Stands in the list of boxes as another writer left it."""


@dataclass
class Table:
    revision: int = 0
    rows_by_key: dict[str, Row] = field(default_factory=dict)
    commits_by_token: dict[str, int] = field(default_factory=dict)

    def commit(self, commit: Commit) -> Committed | Conflict:
        if commit.token in self.commits_by_token:
            return Committed(self.commits_by_token[commit.token])
        wrong = []
        for condition in commit.conditions:
            row = self.rows_by_key.get(condition.key)
            present = row is not None and row.value is not None
            if (row.revision if present else 0) != condition.revision:
                wrong.append(row if present else Row(condition.key, None, 0))
        if wrong:
            return Conflict(tuple(wrong))
        self.revision += 1
        for write in commit.writes:
            self.rows_by_key[write.key] = Row(write.key, write.value, self.revision)
        self.commits_by_token[commit.token] = self.revision
        return Committed(self.revision)


class Platform:
    def __init__(self, parameters: Parameters) -> None:
        self.parameters = parameters
        self.faults = Faults(list_lag_s=parameters.list_lag_s)
        self.table = Table()
        self.lists: list[tuple[float, BoxList]] = [(0.0, BoxList(1))]
        self.loading = 0
        self.next_write = 0.0
        self.calls = {"reads": 0, "writes": 0}

    def application(self) -> web.Application:
        app = web.Application(middlewares=[self.inject_faults], client_max_size=64_000_000)
        app.add_routes(
            [
                web.get("/table/rows/{key}", self.get),
                web.get("/table/changes", self.changes),
                web.post("/table/commits", self.commit),
                web.get("/boxes", self.boxes),
                web.put("/boxes/{id}", self.put_box),
                web.delete("/boxes/{id}", self.delete_box),
                web.get("/weights/{version}", self.weights),
                web.get("/calls", self.count),
                fault_route(self.faults),
            ]
        )
        return app

    @web.middleware
    async def inject_faults(self, request: web.Request, handler) -> web.StreamResponse:
        if request.path == "/fault" or request.path.startswith(("/weights", "/calls")):
            return await handler(request)
        if request.path.startswith("/boxes/"):
            return await handler(request)
        if self.faults.outage or (self.faults.list_outage and request.path == "/boxes"):
            request.transport.abort()
            return web.Response(status=503)
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        return await handler(request)

    async def get(self, request: web.Request) -> web.Response:
        self.calls["reads"] += 1
        row = self.table.rows_by_key.get(request.match_info["key"])
        if row is None or row.value is None:
            return reply(None, 404)
        return reply(row)

    async def changes(self, request: web.Request) -> web.Response:
        self.calls["reads"] += 1
        since = int(request.query["since"])
        prefix = request.query["prefix"]
        rows = self.table.rows_by_key.values()
        found = tuple(row for row in rows if row.revision > since and row.key.startswith(prefix))
        return reply(Changes(self.table.revision, found))

    async def commit(self, request: web.Request) -> web.Response:
        self.calls["writes"] += 1
        commit = msgspec.json.decode(await request.read(), type=Commit)
        await self.limit_write_rate()
        if self.faults.refuse_before_effect > 0:
            self.faults.refuse_before_effect -= 1
            request.transport.abort()
            return web.Response(status=503)
        outcome = self.table.commit(commit)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.transport.abort()
            return web.Response(status=503)
        return reply(outcome, 409 if isinstance(outcome, Conflict) else 200)

    async def limit_write_rate(self) -> None:
        """Let at most `writes_s` commits through a second, in order of arrival."""
        if self.parameters.writes_s:
            start = max(time.monotonic(), self.next_write)
            self.next_write = start + 1 / self.parameters.writes_s
            await asyncio.sleep(start - time.monotonic())

    async def boxes(self, request: web.Request) -> web.Response:
        self.calls["reads"] += 1
        visible_at = time.monotonic() - self.faults.list_lag_s
        listed = [item for at, item in self.lists if at <= visible_at][-1]
        odd = self.faults.odd_entry
        tag = f'"{listed.as_of}{" odd" if odd else ""}"'
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=304)
        if not odd:
            return reply(listed, ETag=tag)
        entries = [msgspec.json.encode(box).decode() for box in listed.boxes]
        text = f'{{"as_of": {listed.as_of}, "boxes": [{", ".join([*entries, odd])}]}}'
        return web.Response(text=text, content_type="application/json", headers={"ETag": tag})

    async def put_box(self, request: web.Request) -> web.Response:
        box = msgspec.json.decode(await request.read(), type=Box)
        self.change_list({**self.newest().by_id, box.id: box})
        return web.Response(text="ok")

    async def delete_box(self, request: web.Request) -> web.Response:
        boxes = self.newest().by_id
        boxes.pop(request.match_info["id"], None)
        self.change_list(boxes)
        return web.Response(text="ok")

    def newest(self) -> BoxList:
        return self.lists[-1][1]

    def change_list(self, boxes: dict[str, Box]) -> None:
        changed = replace(self.newest(), as_of=self.newest().as_of + 1, boxes=tuple(boxes.values()))
        self.lists.append((time.monotonic(), changed))

    async def weights(self, request: web.Request) -> web.Response:
        """Respond after the time of a load; loads share their speed where too many run at once."""
        self.loading += 1
        try:
            done = 0.0
            while done < self.parameters.load_s:
                await asyncio.sleep(0.02)
                done += 0.02 * min(1.0, MAX_FULL_SPEED_LOADS / self.loading)
        finally:
            self.loading -= 1
        return web.Response(text=request.match_info["version"])

    async def count(self, request: web.Request) -> web.Response:
        return reply(self.calls)


if __name__ == "__main__":
    given = parse_parameters(Parameters)
    serve(given.port, lambda: Platform(given).application())
