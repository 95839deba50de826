"""What a shutdown means for the requests of a program: which are still passed on, and when the others end."""

import asyncio
from collections.abc import Callable
from types import TracebackType

from stairquay.adapters.clock import monotonic
from stairquay.core.shutdown import ShutdownTimes


class Shutdown:
    """The shutdown of this program, and the requests that it would end. times: None until the stop signal."""

    def __init__(self) -> None:
        self.times: ShutdownTimes | None = None
        self.pending: set[PendingRequest] = set()

    def begin(self, times: ShutdownTimes) -> None:
        """Begin the shutdown; a second stop signal changes nothing."""
        self.times = self.times or times

    def is_refusing(self) -> bool:
        """Tell whether requests are refused from now on."""
        return self.times is not None and monotonic() >= self.times.refuse_at

    def allows(self, deadline: float) -> bool:
        """Tell whether a request with this deadline may be passed on now, since it ends before
        all are answered."""
        return self.times is None or not self.is_refusing() or deadline <= self.times.answer_by

    def end_waiting(self) -> None:
        """End the requests that have not been passed on and may not be any more."""
        for request in list(self.pending):
            if not self.allows(request.deadline) and not request.is_passed_on():
                request.end()

    def end_all(self) -> None:
        """End all requests."""
        for request in list(self.pending):
            request.end()


class PendingRequest:
    """A context in which a request is in progress. It raises TimeoutError if the shutdown ends the request.

    deadline: monotonic seconds. is_passed_on: tells whether an endpoint or another box may be running it now.
    """

    def __init__(
        self, shutdown: Shutdown, deadline: float, is_passed_on: Callable[[], bool] = lambda: False
    ) -> None:
        self.shutdown = shutdown
        self.deadline = deadline
        self.is_passed_on = is_passed_on
        self.timeout = asyncio.timeout(None)

    async def __aenter__(self) -> "PendingRequest":
        """Let the shutdown end the request from now on."""
        await self.timeout.__aenter__()
        self.shutdown.pending.add(self)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Raise TimeoutError in place of the cancellation that ended the request."""
        self.shutdown.pending.discard(self)
        await self.timeout.__aexit__(kind, error, traceback)

    def end(self) -> None:
        """Cancel what is being waited for."""
        if not self.was_ended:
            self.timeout.reschedule(asyncio.get_running_loop().time())

    @property
    def was_ended(self) -> bool:
        """Tell whether the shutdown ended the request."""
        return self.timeout.expired()
