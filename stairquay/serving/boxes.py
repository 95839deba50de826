"""Which boxes of ours are alive: each writes a row from time to time, and reads those of the others."""

import asyncio
from random import Random
from time import monotonic

import msgspec
from result import Err

from stairquay.adapters.ports import Commit, Condition, Write
from stairquay.core.configuration import Row
from stairquay.serving.ports import OwnTable
from stairquay.serving.state import BoxState

PREFIX = "box/"
WRITE_S = 4.0
"""Seconds between two heartbeats of a box: 85 boxes write about 20 rows a second."""

SILENT_S = 14.0
"""Seconds without a change after which a box counts as gone: three heartbeats."""

JITTER = 0.2
"""Share of WRITE_S by which the pause between heartbeats varies, so that boxes do not write together."""


class BoxHeartbeat(msgspec.Struct, frozen=True):
    """A box's row: it changes with every heartbeat."""

    beat: int


class BoxList:
    """Keeps the list of boxes that are alive."""

    def __init__(self, state: BoxState, own: OwnTable, random: Random) -> None:
        self.state = state
        self.own = own
        self.random = random
        self.revision: int | None = None
        self.beat = 0
        self.seen_by_key: dict[str, tuple[int, float]] = {}

    async def run(self) -> None:
        """Write and read, until cancelled."""
        while True:
            found = await self.own.under(PREFIX)
            if not isinstance(found, Err):
                self._take(found.ok_value)
            await self._write()
            await asyncio.sleep(WRITE_S * (1 + JITTER * (self.random.random() - 0.5)))

    def _take(self, rows: tuple[Row, ...]) -> None:
        now = monotonic()
        self.seen_by_key = {row.key: self._sight(row, now) for row in rows}
        own = PREFIX + self.state.settings.id
        alive = {key for key, (_, since) in self.seen_by_key.items() if now - since < SILENT_S}
        self.revision = next((row.revision for row in rows if row.key == own), 0)
        self.state.boxes = tuple(sorted(key.removeprefix(PREFIX) for key in alive | {own}))

    def _sight(self, row: Row, now: float) -> tuple[int, float]:
        before = self.seen_by_key.get(row.key)
        if before is not None and before[0] == row.revision:
            return before
        return row.revision, now

    async def _write(self) -> None:
        if self.revision is None:
            return
        self.beat += 1
        key = PREFIX + self.state.settings.id
        value = msgspec.json.encode(BoxHeartbeat(self.beat)).decode()
        await self.own.commit(Commit("", (Condition(key, self.revision),), (Write(key, value),)))
