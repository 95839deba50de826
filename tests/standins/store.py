"""Stand-in for a store box: memory slots behind one link of limited bandwidth.

Nothing isolates readers from writers: a slow reader sees freed and reused slots, and an aborted write leaves
its blocks.
"""

import asyncio
import secrets
import time
from dataclasses import dataclass, field

import msgspec
from aiohttp import web

from stairquay.adapters.store import Catalogue, CatalogueChange
from stairquay.core.residency import Segment
from tests.standins.serving import fault_route, parse_parameters, reply, serve

BLOCK_PAYLOAD = 32
"""Bytes that represent one block; the link is charged for the real size."""


@dataclass
class Parameters:
    port: int
    capacity: int = 200_000_000_000
    link_bytes_s: float = 3e9


@dataclass
class Faults:
    link_factor: float = 1.0
    corrupt: bool = False
    shorten: bool = False
    read_pause_s: float = 0.0
    full: bool = False


@dataclass
class StoredSegment:
    slots: list[int]
    block_bytes: int


@dataclass
class Link:
    busy_until: float = 0.0
    transferred_bytes: int = 0

    async def transfer(self, size: int, rate: float) -> None:
        """Wait until the link has transferred `size` bytes, after all earlier transfers."""
        start = max(time.monotonic(), self.busy_until)
        self.busy_until = start + size / rate
        self.transferred_bytes += size
        await asyncio.sleep(self.busy_until - time.monotonic())


@dataclass
class Memory:
    slots: list[bytes] = field(default_factory=list)
    free: list[int] = field(default_factory=list)

    def write(self, payload: bytes) -> int:
        if self.free:
            slot = self.free.pop()
            self.slots[slot] = payload
            return slot
        self.slots.append(payload)
        return len(self.slots) - 1


class Store:
    def __init__(self, parameters: Parameters) -> None:
        self.parameters = parameters
        self.faults = Faults()
        self.incarnation = secrets.token_hex(4)
        self.memory = Memory()
        self.data_by_name: dict[str, StoredSegment] = {}
        self.manifests: dict[str, Segment] = {}
        self.log: list[CatalogueChange] = []
        self.link = Link()

    def application(self) -> web.Application:
        app = web.Application(client_max_size=0)
        app.add_routes(
            [
                web.get("/catalogue", self.catalogue),
                web.put("/manifests/{name}", self.put_manifest),
                web.delete("/manifests/{name}", self.delete_manifest),
                web.put("/data/{name}", self.put_data),
                web.get("/data/{name}", self.get_data),
                web.delete("/data/{name}", self.delete_data),
                web.get("/audit", self.audit),
                fault_route(self.faults),
            ]
        )
        return app

    def rate(self) -> float:
        return self.parameters.link_bytes_s * self.faults.link_factor

    def used(self) -> int:
        return sum(len(item.slots) * item.block_bytes for item in self.data_by_name.values())

    async def catalogue(self, request: web.Request) -> web.Response:
        after = int(request.query["after"])
        same = request.query["incarnation"] == self.incarnation
        if same:
            changes = tuple(self.log[after:])
        else:
            changes = tuple(CatalogueChange(key, item) for key, item in self.manifests.items())
        data = () if same else tuple(self.data_by_name)
        return reply(
            Catalogue(
                self.incarnation,
                len(self.log),
                not same,
                changes,
                self.parameters.capacity,
                self.used(),
                data,
            )
        )

    async def put_manifest(self, request: web.Request) -> web.Response:
        segment = msgspec.json.decode(await request.read(), type=Segment)
        if "If-Match" in request.headers and segment.name not in self.manifests:
            return web.Response(status=412)
        self.manifests[segment.name] = segment
        self.log.append(CatalogueChange(segment.name, segment))
        return web.Response(text="ok")

    async def delete_manifest(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        if self.manifests.pop(name, None) is not None:
            self.log.append(CatalogueChange(name, None))
        return web.Response(text="ok")

    async def put_data(self, request: web.Request) -> web.Response:
        block_bytes = int(request.headers["X-Block-Bytes"])
        data = self.data_by_name.setdefault(request.match_info["name"], StoredSegment([], block_bytes))
        try:
            while True:
                payload = await request.content.readexactly(BLOCK_PAYLOAD)
                if self.faults.full or self.used() + block_bytes > self.parameters.capacity:
                    return web.Response(status=507)
                await self.link.transfer(block_bytes, self.rate())
                data.slots.append(self.memory.write(payload))
        except asyncio.IncompleteReadError:
            return web.Response(text="ok")

    async def get_data(self, request: web.Request) -> web.StreamResponse:
        data = self.data_by_name.get(request.match_info["name"])
        if data is None:
            return web.Response(status=404)
        slots = [data.slots[int(item)] for item in request.query["blocks"].split(",")]
        if self.faults.shorten:
            slots = slots[: len(slots) // 2]
        answer = web.StreamResponse()
        await answer.prepare(request)
        for slot in slots:
            await asyncio.sleep(self.faults.read_pause_s)
            await self.link.transfer(data.block_bytes, self.rate())
            payload = self.memory.slots[slot]
            await answer.write(bytes(BLOCK_PAYLOAD) if self.faults.corrupt else payload)
        await answer.write_eof()
        return answer

    async def delete_data(self, request: web.Request) -> web.Response:
        data = self.data_by_name.pop(request.match_info["name"], None)
        if data is not None:
            self.memory.free.extend(data.slots)
        return web.Response(text="ok")

    async def audit(self, request: web.Request) -> web.Response:
        return reply(
            {
                "moved": self.link.transferred_bytes,
                "used": self.used(),
                "manifests": len(self.manifests),
                "data": len(self.data_by_name),
            }
        )


if __name__ == "__main__":
    given = parse_parameters(Parameters)
    serve(given.port, lambda: Store(given).application())
