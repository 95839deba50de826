"""Notifies tasks in one event loop of changes, so that idle boxes need not poll.

With seven polling timers, an idle box woke 50 times a second.
"""

import asyncio
from collections.abc import Callable

from stairquay.adapters.clock import monotonic


class ChangeNotifier:
    """Wakes all waiting tasks when something has changed. Not thread-safe."""

    def __init__(self) -> None:
        self._waiters: set[asyncio.Future[None]] = set()

    def notify_all(self) -> None:
        """Wake all tasks that are waiting now."""
        waiters, self._waiters = self._waiters, set()
        for future in waiters:
            _resolve(future)

    async def wait(self, limit_s: float | None = None) -> None:
        """Wait for the next change, at most `limit_s` seconds."""
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
        """Wait until a condition holds, at most `limit_s` seconds; return whether it does.

        The condition is checked after each `notify_all`, not as time passes.
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
