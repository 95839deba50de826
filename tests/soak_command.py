"""The command line of a soak test: its seed and how long it runs."""

import argparse
import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any


def run_soak(soak: Callable[[int, float], Awaitable[Any]]) -> None:
    """Run the soak that the command line asks for, and print its result as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    arguments = parser.parse_args()

    async def run() -> Any:
        return await soak(arguments.seed, arguments.seconds)

    print(json.dumps({"seed": arguments.seed, **vars(asyncio.run(run()))}))
