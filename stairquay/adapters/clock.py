"""A monotonic clock that counts suspended time, and an event loop that uses it."""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""CLOCK_MONOTONIC stops while the machine is suspended, so leases and revoked keys would not expire."""


def monotonic() -> float:
    """Return seconds on a monotonic clock that includes suspended time, where the system has one."""
    return time.clock_gettime(_CLOCK)


class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers include suspended time; those that passed fire on the first wake-up."""

    def time(self) -> float:
        """Return the loop's time in seconds."""
        return monotonic()


def run(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine on a `BoottimeEventLoop` and return its result."""
    with asyncio.Runner(loop_factory=BoottimeEventLoop) as runner:
        return runner.run(main)
