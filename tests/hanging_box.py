"""A box whose connections to its surroundings never finish closing."""

import asyncio
import sys
from dataclasses import replace

from stairquay.core.buffers import BufferBudget
from stairquay.platform import surroundings
from stairquay.serving.ports import Ports

open_clients = surroundings.open_clients


def open_clients_that_hang(table_address: str, buffers: BufferBudget) -> Ports:
    async def hang() -> None:
        await asyncio.sleep(60)

    return replace(open_clients(table_address, buffers), close=hang)


if __name__ == "__main__":
    surroundings.open_clients = open_clients_that_hang
    from stairquay.__main__ import run

    sys.exit(run())
