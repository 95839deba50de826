"""Plans: the changes that an operator's intents lead to, their preconditions and their cost."""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

import msgspec
from result import Err, Ok, Result

from stairquay.core.configuration import (
    PLACEMENT_PREFIX,
    SERVICE_PREFIX,
    VERSION_PREFIX,
    WORKSPACE_PREFIX,
    Configuration,
    merge,
)
from stairquay.core.decode import decode
from stairquay.core.mistake import Mistake
from stairquay.core.models import ModelVersion, Placement, Service, ServiceKind, Workspace
from stairquay.core.row import Row

PLAN_PREFIX = "plan/"


class ObjectKind(str, Enum):
    """Kind of the object that an intent changes."""

    SERVICE = "service"
    WORKSPACE = "workspace"
    VERSION = "version"
    PLACEMENT = "placement"


class Operation(str, Enum):
    """Operation that an intent requests."""

    PUT = "put"
    DELETE = "delete"


@dataclass(frozen=True)
class Intent:
    """A change requested by an operator; the `id` of a version is `service/version`."""

    kind: ObjectKind
    id: str
    op: Operation = Operation.PUT
    value: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True)
class PlanRequest:
    """The body of a POST to the intent API."""

    intents: tuple[Intent, ...]


@dataclass(frozen=True)
class Change:
    """A row that the plan writes; `before` and `after` are JSON text, None for no row."""

    key: str
    before: str | None
    after: str | None


@dataclass(frozen=True)
class Basis:
    """A row that the plan depends on, and its revision (0 for no row)."""

    key: str
    revision: int


@dataclass(frozen=True)
class WeightLoad:
    """A change of the version that an endpoint runs."""

    endpoint: str
    before: str
    after: str


class PlanState(str, Enum):
    """State of a plan."""

    PROPOSED = "proposed"
    CONFIRMED = "confirmed"


@dataclass(frozen=True)
class Plan:
    """Proposed changes, to be confirmed by an operator.

    at: creation time in Unix seconds
    basis: rows that must be unchanged on confirmation
    loads_s: estimated seconds until all loads are done
    lost_kept_bytes: cached context of replaced versions
    """

    id: str
    state: PlanState
    at: float
    revision: int
    changes: tuple[Change, ...]
    basis: tuple[Basis, ...]
    loads: tuple[WeightLoad, ...] = ()
    loads_s: float = 0.0
    lost_kept_bytes: int = 0
    warnings: tuple[str, ...] = ()


@dataclass(frozen=True)
class RuntimeState:
    """Running version by endpoint, and bytes of cached context by version."""

    versions_by_endpoint: Mapping[str, str] = field(default_factory=dict)
    kept_bytes_by_version: Mapping[str, int] = field(default_factory=dict)


TYPES: dict[ObjectKind, type] = {
    ObjectKind.SERVICE: Service,
    ObjectKind.WORKSPACE: Workspace,
    ObjectKind.VERSION: ModelVersion,
    ObjectKind.PLACEMENT: Placement,
}

PREFIXES = {
    ObjectKind.SERVICE: SERVICE_PREFIX,
    ObjectKind.WORKSPACE: WORKSPACE_PREFIX,
    ObjectKind.VERSION: VERSION_PREFIX,
    ObjectKind.PLACEMENT: PLACEMENT_PREFIX,
}


def make_plan(
    request: PlanRequest,
    current: Configuration,
    running: RuntimeState,
    plan_id: str,
    at: float,
    new_secret: Callable[[], str],
) -> Result[Plan, list[Mistake]]:
    """Return the plan for the intents, or all mistakes in them."""
    mistakes: list[Mistake] = []
    changes: list[Change] = []
    for number, intent in enumerate(request.intents):
        outcome = _plan_change(intent, current, new_secret)
        if isinstance(outcome, Err):
            mistakes += [_with_intent_path(number, mistake) for mistake in outcome.err_value]
        else:
            changes.append(outcome.ok_value)
    if not request.intents:
        mistakes.append(Mistake("$.intents", "expected at least one intent"))
    changes = [change for change in changes if change.before != change.after]
    after = _apply(current, changes)
    if not mistakes:
        mistakes = _validate(after)
    if mistakes:
        return Err(mistakes)
    loads = _required_loads(after, changes, running)
    plan = Plan(
        id=plan_id,
        state=PlanState.PROPOSED,
        at=at,
        revision=current.revision,
        changes=tuple(changes),
        basis=_basis(current, after, changes),
        loads=tuple(loads),
        loads_s=_load_time_s(after, loads),
        lost_kept_bytes=_lost_kept_bytes(loads, running),
        warnings=tuple(_warnings(changes, after)),
    )
    return Ok(plan)


def _with_intent_path(number: int, mistake: Mistake) -> Mistake:
    return Mistake(f"$.intents[{number}]{mistake.path[1:]}", mistake.expected)


def _plan_change(
    intent: Intent, current: Configuration, new_secret: Callable[[], str]
) -> Result[Change, list[Mistake]]:
    if not intent.id:
        return Err([Mistake("$.id", "expected a non-empty id")])
    key = PREFIXES[intent.kind] + intent.id
    row = current.rows_by_key.get(key)
    before = row.value if row is not None else None
    if intent.op == Operation.DELETE:
        if before is None:
            return Err([Mistake("$.id", f"there is no {intent.kind.value} {intent.id!r} to delete")])
        return Ok(Change(key, before, None))
    kind: type[Any] = TYPES[intent.kind]
    decoded: Result[Any, list[Mistake]] = decode({**_identity_fields(intent), **intent.value}, kind)
    if isinstance(decoded, Err):
        return Err([Mistake("$.value" + item.path[1:], item.expected) for item in decoded.err_value])
    value = _with_secret(decoded.ok_value, before, new_secret)
    return Ok(Change(key, before, msgspec.json.encode(value).decode()))


def _identity_fields(intent: Intent) -> dict[str, str]:
    if intent.kind == ObjectKind.VERSION:
        service, _, version = intent.id.partition("/")
        return {"service": service, "id": version}
    if intent.kind == ObjectKind.PLACEMENT:
        return {"service": intent.id}
    return {"id": intent.id}


def _with_secret(value: Any, before: str | None, new_secret: Callable[[], str]) -> Any:
    """Keep the secret of an existing workspace, or generate one for a new workspace."""
    if not isinstance(value, Workspace):
        return value
    if before is not None:
        current = msgspec.json.decode(before, type=Workspace)
        return replace(value, kept_secret=current.kept_secret)
    return replace(value, kept_secret=new_secret())


def _apply(current: Configuration, changes: list[Change]) -> Configuration:
    revision = current.revision + 1
    rows = tuple(Row(change.key, change.after, revision) for change in changes)
    return merge(current, rows, revision)


def _validate(after: Configuration) -> list[Mistake]:
    """Return the inconsistencies of the planned configuration."""
    found = []
    for placement in after.placements.values():
        path = f"$.{PLACEMENT_PREFIX}{placement.service}"
        if placement.service not in after.services:
            found.append(Mistake(path, f"there is no service {placement.service!r}"))
        if (placement.service, placement.version) not in after.versions:
            found.append(
                Mistake(path, f"there is no version {placement.version!r} of service {placement.service!r}")
            )
        if placement.max_loading < 1:
            found.append(Mistake(path, f"max_loading must be at least 1, not {placement.max_loading}"))
    for service, version in after.versions:
        if service not in after.services:
            path = f"$.{VERSION_PREFIX}{service}/{version}"
            found.append(Mistake(path, f"there is no service {service!r}"))
    return found + _validate_services(after) + _validate_workspaces(after)


def _validate_services(after: Configuration) -> list[Mistake]:
    found = []
    owners: dict[str, str] = {}
    for service in after.services.values():
        path = f"$.{SERVICE_PREFIX}{service.id}"
        if service.kind == ServiceKind.PLAIN and not service.path_prefix.startswith("/"):
            found.append(
                Mistake(
                    path, f"path_prefix of a plain service must start with /, not {service.path_prefix!r}"
                )
            )
        if service.path_prefix.startswith(("/v1/", "/healthz", "/readyz", "/metrics")):
            found.append(Mistake(path, f"path_prefix {service.path_prefix!r} is reserved"))
        if service.path_prefix and service.path_prefix in owners:
            other = owners[service.path_prefix]
            found.append(
                Mistake(path, f"path_prefix {service.path_prefix!r} is already used by service {other!r}")
            )
        owners[service.path_prefix] = service.id
        if not 0.0 <= service.time_weight <= 1.0:
            found.append(Mistake(path, f"time_weight must be between 0 and 1, not {service.time_weight}"))
        if service.costs.prefill_tokens_s <= 0 or service.costs.link_bytes_s <= 0:
            found.append(Mistake(path, "prefill_tokens_s and link_bytes_s must be above 0"))
    return found


def _validate_workspaces(after: Configuration) -> list[Mistake]:
    found = []
    owners: dict[str, str] = {}
    for workspace in after.workspaces.values():
        path = f"$.{WORKSPACE_PREFIX}{workspace.id}"
        if workspace.weight <= 0 or workspace.rate_s <= 0 or workspace.max_in_flight < 1:
            found.append(Mistake(path, "weight, rate_s and max_in_flight must be above 0"))
        for key_hash in workspace.key_hashes:
            if owners.setdefault(key_hash, workspace.id) != workspace.id:
                found.append(Mistake(path, f"a key is already used by workspace {owners[key_hash]!r}"))
        for service in workspace.services:
            if service not in after.services:
                found.append(Mistake(path, f"there is no service {service!r}"))
    return found


def _basis(current: Configuration, after: Configuration, changes: list[Change]) -> tuple[Basis, ...]:
    """Return the rows that the plan writes or was validated against."""
    keys = {change.key for change in changes}
    for change in changes:
        keys |= _related_keys(change.key, current, after)
    return tuple(Basis(key, _revision(current, key)) for key in sorted(keys))


def _related_keys(key: str, current: Configuration, after: Configuration) -> set[str]:
    """Return the keys of other rows that a change to `key` was validated against."""
    if key.startswith(PLACEMENT_PREFIX):
        service = key.removeprefix(PLACEMENT_PREFIX)
        versions = {f"{VERSION_PREFIX}{service}/{name}" for owner, name in after.versions if owner == service}
        return {SERVICE_PREFIX + service} | versions
    if key.startswith(VERSION_PREFIX):
        service = key.removeprefix(VERSION_PREFIX).partition("/")[0]
        return {SERVICE_PREFIX + service, PLACEMENT_PREFIX + service}
    if key.startswith(SERVICE_PREFIX):
        return {PLACEMENT_PREFIX + key.removeprefix(SERVICE_PREFIX)}
    workspace = after.workspaces.get(key.removeprefix(WORKSPACE_PREFIX))
    return {SERVICE_PREFIX + name for name in workspace.services} if workspace else set()


def _revision(current: Configuration, key: str) -> int:
    row = current.rows_by_key.get(key)
    return row.revision if row is not None else 0


def _required_loads(after: Configuration, changes: list[Change], running: RuntimeState) -> list[WeightLoad]:
    changed_ids = {change.key.rpartition("/")[2] for change in changes if change.after is not None}
    loads = []
    for service_id, placement in after.placements.items():
        service = after.services.get(service_id)
        if service is None or service_id not in changed_ids:
            continue
        for endpoint in service.endpoints:
            version = running.versions_by_endpoint.get(endpoint.id, "")
            if version != placement.version:
                loads.append(WeightLoad(endpoint.id, version, placement.version))
    return loads


def _load_time_s(after: Configuration, loads: list[WeightLoad]) -> float:
    total = 0.0
    for service_id, placement in after.placements.items():
        service = after.services.get(service_id)
        if service is None:
            continue
        ids = {endpoint.id for endpoint in service.endpoints}
        count = sum(1 for load in loads if load.endpoint in ids)
        total = max(total, math.ceil(count / placement.max_loading) * service.costs.load_s)
    return total


def _lost_kept_bytes(loads: list[WeightLoad], running: RuntimeState) -> int:
    versions = {load.before for load in loads if load.before}
    return sum(running.kept_bytes_by_version.get(version, 0) for version in versions)


def _warnings(changes: list[Change], after: Configuration) -> list[str]:
    found = []
    if not changes:
        found.append("nothing changes: the configuration already says so")
    for change in changes:
        if change.after is None:
            found.append(f"{change.key} will be deleted")
    for service in after.services.values():
        if not service.endpoints:
            found.append(f"service {service.id} has no endpoints")
    return found
