"""Common to the stand-ins: parameters as JSON in the first argument, an HTTP server, faults by POST."""

import asyncio
import json
import sys
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
from aiohttp import web

T = TypeVar("T")


def parse_parameters(kind: type[T]) -> T:
    return msgspec.json.decode(sys.argv[1], type=kind)


def reply(value: Any, status: int = 200, **headers: str) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), status=status, content_type="application/json", headers=headers
    )


def fault_route(faults: Any) -> web.RouteDef:
    """Let tests set the fields of a data class of faults while the stand-in runs."""

    async def set_faults(request: web.Request) -> web.Response:
        for key, value in json.loads(await request.read()).items():
            if not hasattr(faults, key):
                return web.Response(status=400, text=f"no fault {key}")
            setattr(faults, key, value)
        return web.Response(text="ok")

    return web.post("/fault", set_faults)


def serve(port: int, make: Callable[[], web.Application], host: str = "127.0.0.1") -> None:
    async def run() -> None:
        runner = web.AppRunner(make(), access_log=None, handler_cancellation=True)
        await runner.setup()
        await web.TCPSite(runner, host, port).start()
        await asyncio.Event().wait()

    try:
        asyncio.run(run())
    except KeyboardInterrupt:
        return
