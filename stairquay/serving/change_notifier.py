"""Waking those who wait for a change, in place of looking for it from time to time.

Hundreds of boxes mostly stand by: each look on a timer wakes a process that then finds nothing to do. With
seven such timers a box that served nobody woke 50 times a second.
"""

import asyncio
from collections.abc import Callable

from stairquay.adapters.clock import monotonic


class ChangeNotifier:
    """Wakes all who wait whenever something has changed. For one loop: nothing is locked."""

    def __init__(self) -> None:
        self._waiters: set[asyncio.Future[None]] = set()

    def notify_all(self) -> None:
        """Wake all who wait now."""
        waiters, self._waiters = self._waiters, set()
        for future in waiters:
            _resolve(future)

    async def wait(self, limit_s: float | None = None) -> None:
        """Wait for the next change, at most so long."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[None] = loop.create_future()
        timer = None if limit_s is None else loop.call_later(max(0.0, limit_s), _resolve, future)
        self._waiters.add(future)
        try:
            await future
        finally:
            self._waiters.discard(future)
            if timer is not None:
                timer.cancel()

    async def wait_for(self, condition: Callable[[], bool], limit_s: float | None = None) -> bool:
        """Wait until a change makes a condition hold; tell whether it does, at the latest after the limit.

        What the condition rests on may change between two calls of `happened` only by these changes: time
        alone wakes nobody before the limit.
        """
        deadline = None if limit_s is None else monotonic() + limit_s
        while not condition():
            left_s = None if deadline is None else deadline - monotonic()
            if left_s is not None and left_s <= 0:
                return False
            await self.wait(left_s)
        return True


def _resolve(future: "asyncio.Future[None]") -> None:
    if not future.done():
        future.set_result(None)
