"""Creates plans in the table service, and applies them by one conditional transaction."""

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

CONFIRM_POLL_S = 0.1


@dataclass(frozen=True)
class StoredPlan:
    """A plan and the revision of its row in the table service."""

    plan: Plan
    revision: int


@dataclass(frozen=True)
class ConfirmedPlan:
    """A plan that was applied at `revision`."""

    plan: Plan
    revision: int


@dataclass(frozen=True)
class StalePlan:
    """A plan that can no longer be confirmed, since the rows in `changed` differ from its basis."""

    changed: tuple[Basis, ...]


class PlanService:
    """Makes, reads and confirms plans; holds none in memory."""

    def __init__(self, platform: Platform, confirm_timeout_s: float) -> None:
        self.platform = platform
        self.confirm_timeout_s = confirm_timeout_s

    async def propose(
        self, request: PlanRequest, running: RuntimeState
    ) -> Result[Plan, Refusal | list[Mistake]]:
        """Make a plan from the newest configuration in the table service, and store it."""
        read = await self.platform.changes(0, PREFIX)
        if isinstance(read, Err):
            return Err(_platform_refusal(read.err_value))
        rows = read.ok_value.rows
        revision = max((row.revision for row in rows), default=0)
        configuration = merge(Configuration(), rows, revision)
        plan_id = "plan-" + secrets.token_hex(8)
        planned = make_plan(request, configuration, running, plan_id, time.time(), _new_secret)
        if isinstance(planned, Err):
            return Err(planned.err_value)
        plan = planned.ok_value
        commit = Commit(f"propose-{plan_id}", (Condition(_plan_key(plan_id), 0),), (_plan_write(plan),))
        written = await self.platform.commit(commit)
        if isinstance(written, Err):
            return Err(_platform_refusal(written.err_value))
        return Ok(plan)

    async def read(self, plan_id: str) -> Result[StoredPlan, Refusal]:
        """Return a plan."""
        read = await self.platform.get(_plan_key(plan_id))
        if isinstance(read, Err):
            return Err(_platform_refusal(read.err_value))
        row = read.ok_value
        if row is None or row.value is None:
            return Err(Refusal(ErrorKind.NOT_FOUND, detail=f"plan {plan_id}"))
        return Ok(StoredPlan(msgspec.json.decode(row.value, type=Plan), row.revision))

    async def confirm(self, plan_id: str) -> Result[ConfirmedPlan | StalePlan, Refusal]:
        """Apply a plan unless a row of its basis has changed.

        The call is idempotent. If the reply to the commit is lost, the plan's row shows the outcome.
        """
        read = await self.read(plan_id)
        if isinstance(read, Err):
            return read
        stored = read.ok_value
        if stored.plan.state == PlanState.CONFIRMED:
            return Ok(ConfirmedPlan(stored.plan, stored.revision))
        confirmed = replace(stored.plan, state=PlanState.CONFIRMED)
        outcome = await self.platform.commit(_confirm_commit(stored, confirmed))
        if isinstance(outcome, Err):
            if outcome.err_value == PlatformFault.UNREACHED:
                return Err(_platform_refusal(outcome.err_value))
            return await self._resolve_lost_reply(plan_id, confirmed)
        if isinstance(outcome.ok_value, Committed):
            return Ok(ConfirmedPlan(confirmed, outcome.ok_value.revision))
        return await self._resolve_conflict(plan_id, outcome.ok_value)

    async def _resolve_lost_reply(
        self, plan_id: str, confirmed: Plan
    ) -> Result[ConfirmedPlan | StalePlan, Refusal]:
        """Poll the plan's row for the outcome of a commit whose reply was lost."""
        deadline = monotonic() + self.confirm_timeout_s
        while monotonic() < deadline:
            read = await self.read(plan_id)
            if isinstance(read, Ok) and read.ok_value.plan.state == PlanState.CONFIRMED:
                return Ok(ConfirmedPlan(confirmed, read.ok_value.revision))
            await asyncio.sleep(CONFIRM_POLL_S)
        detail = "whether the plan was confirmed is not known; read it or confirm it again"
        return Err(Refusal(ErrorKind.PLATFORM_DOWN, ExecutionStatus.UNKNOWN, detail))

    async def _resolve_conflict(
        self, plan_id: str, conflict: Conflict
    ) -> Result[ConfirmedPlan | StalePlan, Refusal]:
        """Return the plan as confirmed if another call did so, else as stale."""
        for row in conflict.rows:
            if row.key == _plan_key(plan_id) and row.value is not None:
                plan = msgspec.json.decode(row.value, type=Plan)
                if plan.state == PlanState.CONFIRMED:
                    return Ok(ConfirmedPlan(plan, row.revision))
        changed = tuple(Basis(row.key, row.revision) for row in conflict.rows)
        return Ok(StalePlan(changed))


def _confirm_commit(stored: StoredPlan, confirmed: Plan) -> Commit:
    basis = tuple(Condition(item.key, item.revision) for item in stored.plan.basis)
    writes = tuple(Write(change.key, change.after) for change in stored.plan.changes)
    return Commit(
        token=f"confirm-{stored.plan.id}",
        conditions=(Condition(_plan_key(stored.plan.id), stored.revision), *basis),
        writes=(*writes, _plan_write(confirmed)),
    )


def _plan_key(plan_id: str) -> str:
    return PLAN_PREFIX + plan_id


def _plan_write(plan: Plan) -> Write:
    return Write(_plan_key(plan.id), msgspec.json.encode(plan).decode())


def _new_secret() -> str:
    return secrets.token_hex(32)


def _platform_refusal(fault: PlatformFault) -> Refusal:
    ran = ExecutionStatus.NOT_RUN if fault == PlatformFault.UNREACHED else ExecutionStatus.UNKNOWN
    return Refusal(ErrorKind.PLATFORM_DOWN, ran)
