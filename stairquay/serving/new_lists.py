"""Lists of endpoints that are newer than a stream that is taken up, one for all that wait."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from result import Err, Result

from stairquay.adapters.clock import monotonic
from stairquay.serving.endpoint import NEVER
from stairquay.serving.following import MAX_LIST_GAP_S
from stairquay.serving.ports import EndpointChanges, FeedFault
from stairquay.serving.state import BoxState

LIST_POLL_S = 0.05

LIST_PAUSE_S = 0.5
"""Seconds between two reads of the list for streams that are taken up, since calls are billed."""

ReadList = Callable[[], Awaitable[Result[EndpointChanges, FeedFault]]]
"""Reads the list of endpoints from the table service."""


@dataclass(frozen=True)
class ListedVersions:
    """The versions in a list of endpoints, by service, and when it was requested (monotonic seconds)."""

    asked_at: float
    versions: frozenset[tuple[str, str]]


def knows_past(state: BoxState, now: float, rows_at: float) -> bool:
    """Tell whether no version can have come and gone unseen by a box.

    rows_at: from when on rows count as read after a gap of the list that has not ended.
    """
    if state.rows_asked_at >= rows_at:
        return True
    return now - state.list_asked_at <= MAX_LIST_GAP_S and state.rows_asked_at >= state.software.gap_at


class NewLists:
    """Tells the versions in lists that were requested after a time.

    A long poll may be held for longer than a caller waits, so that the list is read, by one call for all
    streams that wait for it.
    """

    def __init__(self, state: BoxState, read_list: ReadList) -> None:
        self.state = state
        self.read_list = read_list
        # The read under way or the last one, and when it was or will be asked.
        self.reading: asyncio.Task[ListedVersions | None] | None = None
        self.read_at = NEVER

    async def since(self, at: float, until: float) -> ListedVersions | None:
        """Return the versions in a list that was requested after a time, None if none comes in time."""
        reading = self._read_since(at)
        while True:
            if self.state.list_asked_at >= at:
                return ListedVersions(self.state.list_asked_at, self.state.software.listed)
            if reading.done():
                listed = reading.result()
                if listed is not None:
                    return listed
                reading = self._read_since(monotonic())
            left_s = until - monotonic()
            if left_s <= 0:
                return None
            await asyncio.wait({reading}, timeout=min(LIST_POLL_S, left_s))

    async def knows_past(self, at: float, until: float) -> bool:
        """Tell whether no version can have come and gone unseen by this box, as far as rows of boxes tell.

        Where its list has a gap, the rows have to be read after it, or after `at`: followers write a new
        version into theirs at once.
        """
        return knows_past(self.state, monotonic(), at) or await self.rows_since(at, until)

    async def rows_since(self, at: float, until: float) -> bool:
        """Have the rows of boxes read, and tell whether some were requested after a time."""
        while self.state.rows_asked_at < at:
            left_s = until - monotonic()
            if left_s <= 0:
                return False
            self.state.rows_wanted_at = max(self.state.rows_wanted_at, at)
            self.state.changed.notify_all()
            await asyncio.sleep(min(LIST_POLL_S, left_s))
        return True

    def _read_since(self, at: float) -> asyncio.Task[ListedVersions | None]:
        """Return a read of the list that was or will be asked after a time."""
        if self.reading is None or self.read_at < at:
            now = monotonic()
            self.read_at = max(now, self.read_at + LIST_PAUSE_S)
            self.reading = asyncio.create_task(self._read(self.read_at - now))
        return self.reading

    async def _read(self, delay_s: float) -> ListedVersions | None:
        await asyncio.sleep(delay_s)
        asked_at = monotonic()
        found = await self.read_list()
        if isinstance(found, Err):
            return None
        versions = frozenset((item.service, item.software) for item in found.ok_value.present)
        return ListedVersions(asked_at, versions)
