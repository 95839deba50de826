"""Leader election among the control programs, by a lease in one row of the table service."""

import asyncio
import secrets
from collections.abc import Awaitable, Callable

import msgspec
from absl import logging
from result import Err, Ok

from stairquay.adapters.clock import monotonic
from stairquay.adapters.metrics import ControlMetrics
from stairquay.adapters.ports import Commit, Committed, Condition, Table, Write
from stairquay.core.lease import HeldLease, LeaseRow, ObservedLease, next_lease_row, observe
from stairquay.core.row import Row

LEASE_KEY = "lease/control"
RENEWALS_PER_HALF_LEASE = 4
"""Renewals in half a lease's duration; its holder may act for longer, `HOLDER_SHARE` of the duration."""


class Leader:
    """State of the lease in this process: held by it, or observed as held by another."""

    def __init__(self, table: Table, name: str, lease_s: float, metrics: ControlMetrics) -> None:
        self.table = table
        self.name = name
        self.lease_s = lease_s
        self.metrics = metrics
        self.held: HeldLease | None = None
        self.observed: ObservedLease | None = None
        self.acquired_at = float("-inf")

    def may_act(self) -> bool:
        """Tell whether this process may act now; must be checked again after every await."""
        return self.held is not None and self.held.may_act(monotonic())

    @property
    def fence(self) -> int:
        """Return the fencing token of the held lease, 0 if none is held."""
        return self.held.row.token if self.held is not None else 0

    def held_for_s(self) -> float:
        """Return the seconds since this process acquired the lease, 0 if it may not act."""
        return monotonic() - self.acquired_at if self.may_act() else 0.0

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled."""
        while True:
            await self.acquire_or_renew()
            self.metrics.leading.set(1 if self.may_act() else 0)
            await asyncio.sleep(self.lease_s / (2 * RENEWALS_PER_HALF_LEASE))

    async def acquire_or_renew(self) -> None:
        """Read the row, and write it if the lease is held by this process or has expired."""
        read = await self.table.get(LEASE_KEY)
        if isinstance(read, Err):
            return
        row = read.ok_value
        current = _decode_lease(row)
        if row is not None and current is not None and not self._is_own_row(row, current):
            self.held = None
            self.observed = observe(self.observed, current, row.position, monotonic())
            if not self.observed.expired(monotonic()):
                return
        await self._write(row, current)

    async def release(self) -> None:
        """Release the lease at a planned stop, so that another process need not wait for its expiry."""
        held, self.held = self.held, None
        if held is None:
            return
        released = LeaseRow("", held.row.token, 0.0, held.row.renewal + 1)
        await self.table.commit(_lease_commit(released, held.position.revision))

    def _is_own_row(self, row: Row, current: LeaseRow) -> bool:
        """Tell whether this process wrote the row last and still holds the lease."""
        return (
            self.held is not None
            and current.holder == self.name
            and row.position == self.held.position
            and self.held.may_act(monotonic())
        )

    async def _write(self, row: Row | None, current: LeaseRow | None) -> None:
        sent_at = monotonic()
        renewing = self.held is not None and current is not None and current.token == self.held.row.token
        new_row = next_lease_row(current if renewing else _without_holder(current), self.name, self.lease_s)
        outcome = await self.table.commit(_lease_commit(new_row, row.revision if row is not None else 0))
        if not isinstance(outcome, Ok) or not isinstance(outcome.ok_value, Committed):
            return
        if not renewing:
            self.acquired_at = monotonic()
            logging.info("control lease acquired, fencing token %d", new_row.token)
        self.held = HeldLease(new_row, outcome.ok_value.position, sent_at)


def _decode_lease(row: Row | None) -> LeaseRow | None:
    if row is None or row.value is None:
        return None
    return msgspec.json.decode(row.value, type=LeaseRow)


def _without_holder(current: LeaseRow | None) -> LeaseRow | None:
    """Return the row without its holder, so that a lost lease is acquired under a higher token."""
    if current is None:
        return None
    return LeaseRow("", current.token, current.duration_s, current.renewal)


def _lease_commit(row: LeaseRow, revision: int) -> Commit:
    return Commit(
        token="lease-" + secrets.token_hex(12),
        conditions=(Condition(LEASE_KEY, revision),),
        writes=(Write(LEASE_KEY, msgspec.json.encode(row).decode()),),
    )


LeaderTask = Callable[[], Awaitable[None]]
"""A task of the leader; it checks `may_act` again after every await."""


async def run_while_leading(leader: Leader, task: LeaderTask, period_s: float) -> None:
    """Run a task every `period_s` seconds while the lease is held."""
    while True:
        if leader.may_act():
            await task()
        await asyncio.sleep(period_s)
