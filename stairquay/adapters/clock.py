"""The clock of ages, leases and limits, and a loop that times its waits by it."""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""The usual steady clock stands still while a machine is suspended, and so would the age of a key that was
taken away meanwhile, or of a lease that another box has taken over."""


def monotonic() -> float:
    """Return seconds by a steady clock that goes on while the machine is suspended."""
    return time.clock_gettime(_CLOCK)


class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """A loop whose waits end by that clock, too. What ended while the machine was suspended is done at the
    first event or timer after it, in place of as much later: a caller is answered when its time is over."""

    def time(self) -> float:
        """Return the time by which waits are ended."""
        return monotonic()


def run(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a program on such a loop to its end."""
    with asyncio.Runner(loop_factory=BoottimeEventLoop) as runner:
        return runner.run(main)
