"""Plans in the table service: proposed by one write, confirmed by one conditional transaction."""

import asyncio
import secrets
import time
from dataclasses import dataclass, replace

import msgspec
from result import Err, Ok, Result

from stairquay.adapters.clock import monotonic
from stairquay.adapters.ports import (
    Commit,
    Committed,
    Condition,
    Conflict,
    Platform,
    PlatformFault,
    Write,
)
from stairquay.core.configuration import PREFIX, Configuration, merge
from stairquay.core.errors import ErrorKind, ExecutionStatus, Refusal
from stairquay.core.mistake import Mistake
from stairquay.core.plan import PLAN_PREFIX, Basis, Plan, PlanRequest, PlanState, RuntimeState, make_plan

SETTLE_PAUSE_S = 0.1


@dataclass(frozen=True)
class Held:
    """A plan as the table has it."""

    plan: Plan
    revision: int


@dataclass(frozen=True)
class Confirmed:
    """A plan in force from `revision` on."""

    plan: Plan
    revision: int


@dataclass(frozen=True)
class Stale:
    """Why a plan can no longer be confirmed: the rows that changed since it was made."""

    changed: tuple[Basis, ...]


class Plans:
    """Makes, reads and confirms plans; keeps none itself."""

    def __init__(self, platform: Platform, settle_s: float) -> None:
        self.platform = platform
        self.settle_s = settle_s

    async def propose(
        self, request: PlanRequest, running: RuntimeState
    ) -> Result[Plan, Refusal | list[Mistake]]:
        """Make a plan on the table's own newest configuration and write it down."""
        read = await self.platform.changes(0, PREFIX)
        if isinstance(read, Err):
            return Err(_down(read.err_value))
        rows = read.ok_value.rows
        revision = max((row.revision for row in rows), default=0)
        held = merge(Configuration(), rows, revision)
        plan_id = "plan-" + secrets.token_hex(8)
        made = make_plan(request, held, running, plan_id, time.time(), _new_secret)
        if isinstance(made, Err):
            return Err(made.err_value)
        plan = made.ok_value
        commit = Commit(f"propose-{plan_id}", (Condition(_key(plan_id), 0),), (_write(plan),))
        written = await self.platform.commit(commit)
        if isinstance(written, Err):
            return Err(_down(written.err_value))
        return Ok(plan)

    async def read(self, plan_id: str) -> Result[Held, Refusal]:
        """Return a plan."""
        read = await self.platform.get(_key(plan_id))
        if isinstance(read, Err):
            return Err(_down(read.err_value))
        row = read.ok_value
        if row is None or row.value is None:
            return Err(Refusal(ErrorKind.NOT_FOUND, detail=f"plan {plan_id}"))
        return Ok(Held(msgspec.json.decode(row.value, type=Plan), row.revision))

    async def confirm(self, plan_id: str) -> Result[Confirmed | Stale, Refusal]:
        """Put a plan into force, if nothing that it stands on has changed.

        To confirm a plan twice is the same as once. Where the answer of the write is lost, the
        plan's own row tells what became of it.
        """
        read = await self.read(plan_id)
        if isinstance(read, Err):
            return read
        held = read.ok_value
        if held.plan.state == PlanState.CONFIRMED:
            return Ok(Confirmed(held.plan, held.revision))
        confirmed = replace(held.plan, state=PlanState.CONFIRMED)
        outcome = await self.platform.commit(_confirmation(held, confirmed))
        if isinstance(outcome, Err):
            if outcome.err_value == PlatformFault.UNREACHED:
                return Err(_down(outcome.err_value))
            return await self._settle(plan_id, confirmed)
        if isinstance(outcome.ok_value, Committed):
            return Ok(Confirmed(confirmed, outcome.ok_value.revision))
        return await self._conflict(plan_id, outcome.ok_value)

    async def _settle(self, plan_id: str, confirmed: Plan) -> Result[Confirmed | Stale, Refusal]:
        """Read what became of a confirmation whose answer was lost."""
        end = monotonic() + self.settle_s
        while monotonic() < end:
            read = await self.read(plan_id)
            if isinstance(read, Ok) and read.ok_value.plan.state == PlanState.CONFIRMED:
                return Ok(Confirmed(confirmed, read.ok_value.revision))
            await asyncio.sleep(SETTLE_PAUSE_S)
        detail = "whether the plan was confirmed is not known; read it or confirm it again"
        return Err(Refusal(ErrorKind.PLATFORM_DOWN, ExecutionStatus.UNKNOWN, detail))

    async def _conflict(self, plan_id: str, conflict: Conflict) -> Result[Confirmed | Stale, Refusal]:
        """Tell a plan that another call has confirmed meanwhile from one that is out of date."""
        for row in conflict.rows:
            if row.key == _key(plan_id) and row.value is not None:
                plan = msgspec.json.decode(row.value, type=Plan)
                if plan.state == PlanState.CONFIRMED:
                    return Ok(Confirmed(plan, row.revision))
        changed = tuple(Basis(row.key, row.revision) for row in conflict.rows)
        return Ok(Stale(changed))


def _confirmation(held: Held, confirmed: Plan) -> Commit:
    basis = tuple(Condition(item.key, item.revision) for item in held.plan.basis)
    writes = tuple(Write(change.key, change.after) for change in held.plan.changes)
    return Commit(
        token=f"confirm-{held.plan.id}",
        conditions=(Condition(_key(held.plan.id), held.revision), *basis),
        writes=(*writes, _write(confirmed)),
    )


def _key(plan_id: str) -> str:
    return PLAN_PREFIX + plan_id


def _write(plan: Plan) -> Write:
    return Write(_key(plan.id), msgspec.json.encode(plan).decode())


def _new_secret() -> str:
    return secrets.token_hex(32)


def _down(fault: PlatformFault) -> Refusal:
    ran = ExecutionStatus.NOT_RUN if fault == PlatformFault.UNREACHED else ExecutionStatus.UNKNOWN
    return Refusal(ErrorKind.PLATFORM_DOWN, ran)
