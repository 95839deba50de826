"""A TCP proxy that injects faults between two processes: cuts, freezes, delays."""

import asyncio
from dataclasses import dataclass, field

from aiohttp import web

from tests.standins.serving import fault_route, parse_parameters, reply, serve

CHUNK = 65_536


@dataclass
class Parameters:
    port: int
    control: int
    target: str


@dataclass
class Faults:
    """refuse: accept no connection; frozen: forward nothing; after_bytes: where an answer is cut.

    Cuts affect only connections whose requests contain `only`.
    """

    only: str = "POST /v1/"

    refuse: bool = False
    frozen: bool = False
    delay_s: float = 0.0
    cut_answers: int = 0
    after_bytes: int = 0
    cut_requests: int = 0
    cut_now: bool = False


@dataclass
class Proxy:
    parameters: Parameters
    faults: Faults = field(default_factory=Faults)
    writers: set = field(default_factory=set)
    forwarded_bytes: int = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.faults.refuse:
            writer.transport.abort()
            return
        host, _, port = self.parameters.target.rpartition(":")
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, upstream_writer}
        matched = asyncio.Event()
        self.writers |= pair
        try:
            await asyncio.gather(
                self.forward(reader, upstream_writer, pair, matched, answer=False),
                self.forward(upstream_reader, writer, pair, matched, answer=True),
            )
        finally:
            self.writers -= pair
            for item in pair:
                item.transport.abort()

    async def forward(self, reader, writer, pair, matched: asyncio.Event, answer: bool) -> None:
        forwarded_bytes = 0
        while True:
            try:
                data = await reader.read(CHUNK)
            except OSError:
                data = b""
            while self.faults.frozen:
                await asyncio.sleep(0.01)
            await asyncio.sleep(self.faults.delay_s)
            if not answer and self.faults.only.encode() in data:
                matched.set()
            if not answer and matched.is_set() and self.faults.cut_requests > 0:
                self.faults.cut_requests -= 1
                self.abort(pair)
                return
            if data and answer and matched.is_set() and self.faults.cut_answers > 0:
                remaining = self.faults.after_bytes - forwarded_bytes
                if len(data) > remaining:
                    self.faults.cut_answers -= 1
                    writer.write(data[: max(0, remaining)])
                    await asyncio.sleep(0.01)
                    self.abort(pair)
                    return
            forwarded_bytes += len(data)
            self.forwarded_bytes += len(data)
            try:
                if not data:
                    writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()
            except (OSError, RuntimeError):
                return

    def abort(self, writers) -> None:
        for item in set(writers):
            item.transport.abort()

    async def watch_faults(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            if self.faults.cut_now or (self.faults.refuse and self.writers):
                self.faults.cut_now = False
                self.abort(self.writers)

    def application(self) -> web.Application:
        app = web.Application()
        app.add_routes([fault_route(self.faults), web.get("/audit", self.audit)])
        app.on_startup.append(self.start)
        return app

    async def audit(self, request: web.Request) -> web.Response:
        return reply({"passed": self.forwarded_bytes})

    async def start(self, app: web.Application) -> None:
        app["server"] = await asyncio.start_server(self.handle, "127.0.0.1", self.parameters.port)
        app["watch"] = asyncio.create_task(self.watch_faults())


if __name__ == "__main__":
    given = parse_parameters(Parameters)
    serve(given.control, lambda: Proxy(given).application())
