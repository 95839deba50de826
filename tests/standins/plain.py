"""Stand-in for a plain service: records every request, and returns the record."""

import asyncio
import hashlib
from dataclasses import dataclass

from aiohttp import web

from tests.standins.serving import fault_route, parse_parameters, reply, serve


@dataclass
class Parameters:
    port: int
    id: str
    delay_s: float = 0.0


@dataclass
class Faults:
    leaving: bool = False
    fail: int = 0
    never: int = 0
    cut: int = 0
    cut_before_answer: int = 0
    refuse: int = 0
    delay_s: float = 0.0
    own_id: bool = False


class Plain:
    def __init__(self, parameters: Parameters) -> None:
        self.parameters = parameters
        self.faults = Faults(delay_s=parameters.delay_s)
        self.runs: list[dict] = []
        self.turned_away = 0

    def application(self) -> web.Application:
        app = web.Application(client_max_size=0)
        app.add_routes(
            [
                web.get("/audit", self.audit),
                fault_route(self.faults),
                web.route("*", "/{path:.*}", self.call),
            ]
        )
        return app

    async def call(self, request: web.Request) -> web.StreamResponse:
        if self.faults.leaving:
            self.turned_away += 1
            return reply({}, 503, **{"X-Not-Run": "true", "X-Leaving": "true"})
        if self.faults.refuse > 0:
            self.faults.refuse -= 1
            return reply({}, 503, **{"X-Not-Run": "true"})
        size = 0
        digest = hashlib.sha256()
        async for part in request.content.iter_any():
            size += len(part)
            digest.update(part)
        run = {
            "id": request.headers.get("X-Request-Id", ""),
            "tag": request.headers.get("X-Tag", ""),
            "workspace": request.headers.get("X-Stairquay-Workspace", ""),
            "method": request.method,
            "path": request.path_qs,
            "size": size,
            "sha256": digest.hexdigest(),
            "headers": dict(request.headers),
            "all_headers": [(str(key), value) for key, value in request.headers.items()],
        }
        self.runs.append(run)
        if self.faults.never > 0:
            self.faults.never -= 1
            await asyncio.sleep(3600)
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.fail > 0:
            self.faults.fail -= 1
            return reply({"error": "failed"}, 500)
        if self.faults.cut_before_answer > 0:
            self.faults.cut_before_answer -= 1
            request.transport.abort()
        if self.faults.cut > 0:
            self.faults.cut -= 1
            return await self.cut_answer(request)
        if request.path.endswith("/empty"):
            return web.Response(status=204)
        extra = {"Set-Cookie": f"session={run['workspace']}", "X-Service": self.parameters.id}
        if self.faults.own_id:
            extra["X-Request-Id"] = "an-id-of-our-own"
        return reply(run, 200, **extra)

    async def cut_answer(self, request: web.Request) -> web.StreamResponse:
        answer = web.StreamResponse()
        await answer.prepare(request)
        await answer.write(b"only a part")
        await asyncio.sleep(0.02)
        request.transport.abort()
        return answer

    async def audit(self, request: web.Request) -> web.Response:
        return reply({"runs": self.runs, "turned_away": self.turned_away})


if __name__ == "__main__":
    given = parse_parameters(Parameters)
    serve(given.port, lambda: Plain(given).application())
