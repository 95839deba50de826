"""Replies of another box that are far larger than any valid one, and the memory of the box that asked."""

import asyncio
from collections.abc import Awaitable, Callable

import grpc
import pytest

from stairquay.serving.links import GRPC_OPTIONS, SERVICE
from tests.many_boxes import add_boxes, picked_routers
from tests.ports import free_port
from tests.site import eventually, site
from tests.test_endless_peers import MEMORY_MB, assert_sound, send_sound_requests

METHODS = ("Place", "Finished", "Operators", "Endpoints", "Views", "Origin")
REPLY = b"\xdb\x03\x93\x87\x00" + b"x" * 60_000_000


def large_reply() -> Callable[[bytes, object], Awaitable[bytes]]:
    async def handle(request: bytes, context: object) -> bytes:
        return REPLY

    return handle


@pytest.mark.parametrize("memory_mb", MEMORY_MB)
def test_a_router_whose_replies_are_too_large_costs_a_box_neither_memory_nor_requests(memory_mb: int):
    """Guards against a box that runs out of memory for the replies of a faulty box."""

    async def scenario():
        server = grpc.aio.server(options=GRPC_OPTIONS)
        handlers = {name: grpc.unary_unary_rpc_method_handler(large_reply()) for name in METHODS}
        server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(SERVICE, handlers),))
        address = f"127.0.0.1:{free_port()}"
        server.add_insecure_port(address)
        await server.start()
        try:
            limits = {"cpu_share": 0, "memory_mb": memory_mb}
            async with site(ready=False, engines=2, limits=limits) as here:
                add_boxes(here, address)
                await here.until_ready()
                await eventually(lambda: picked_routers(here))
                assert_sound(here, memory_mb, await send_sound_requests(here), "replies of a router")
        finally:
            await server.stop(None)

    asyncio.run(scenario())
