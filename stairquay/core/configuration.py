"""Configuration rows with revisions, and the typed objects decoded from them.

Merging keeps the higher revision of each row, whatever the order of arrival.
"""

from dataclasses import dataclass, field
from functools import cached_property
from typing import TypeVar

import msgspec

from stairquay.core.malformed import MALFORMED
from stairquay.core.models import ModelVersion, Placement, Service, ServiceKind, Workspace
from stairquay.core.row import Row

PREFIX = "config/"
SERVICE_PREFIX = "config/service/"
WORKSPACE_PREFIX = "config/workspace/"
VERSION_PREFIX = "config/version/"
PLACEMENT_PREFIX = "config/placement/"

TYPES_BY_PREFIX: dict[str, type] = {
    SERVICE_PREFIX: Service,
    WORKSPACE_PREFIX: Workspace,
    VERSION_PREFIX: ModelVersion,
    PLACEMENT_PREFIX: Placement,
}

T = TypeVar("T")


@dataclass(frozen=True)
class Configuration:
    """All configuration rows up to `revision`."""

    revision: int = 0
    rows_by_key: dict[str, Row] = field(default_factory=dict)

    @cached_property
    def services(self) -> dict[str, Service]:
        """Return services by id."""
        return {item.id: item for item in self._objects(SERVICE_PREFIX, Service)}

    @cached_property
    def workspaces(self) -> dict[str, Workspace]:
        """Return workspaces by id."""
        return {item.id: item for item in self._objects(WORKSPACE_PREFIX, Workspace)}

    @cached_property
    def workspaces_by_key_hash(self) -> dict[str, Workspace]:
        """Return workspaces by the SHA-256 of each of their keys."""
        return {key: item for item in self.workspaces.values() for key in item.key_hashes}

    @cached_property
    def placements(self) -> dict[str, Placement]:
        """Return placements by service id."""
        return {item.service: item for item in self._objects(PLACEMENT_PREFIX, Placement)}

    @cached_property
    def versions(self) -> dict[tuple[str, str], ModelVersion]:
        """Return model versions by (service id, version id)."""
        found = self._objects(VERSION_PREFIX, ModelVersion)
        return {(item.service, item.id): item for item in found}

    @cached_property
    def plain_by_prefix(self) -> dict[str, Service]:
        """Return plain services by path prefix, longest prefix first."""
        plain = [item for item in self.services.values() if item.kind == ServiceKind.PLAIN]
        plain.sort(key=lambda item: -len(item.path_prefix))
        return {item.path_prefix: item for item in plain if item.path_prefix}

    def rows_since(self, revision: int) -> tuple[Row, ...]:
        """Return the rows changed after `revision`, deleted ones included."""
        return tuple(row for row in self.rows_by_key.values() if row.revision > revision)

    @cached_property
    def unreadable_keys(self) -> tuple[str, ...]:
        """Return the keys of rows that cannot be decoded and are ignored."""
        bad = []
        for prefix, kind in TYPES_BY_PREFIX.items():
            for key, value in self._values(prefix):
                if _read(value, kind) is None:
                    bad.append(key)
        return tuple(bad)

    def _objects(self, prefix: str, kind: type[T]) -> list[T]:
        read = (_read(value, kind) for _, value in self._values(prefix))
        return [item for item in read if item is not None]

    def _values(self, prefix: str) -> list[tuple[str, str]]:
        rows = self.rows_by_key.values()
        return [(row.key, row.value) for row in rows if row.key.startswith(prefix) and row.value is not None]


def _read(value: str, kind: type[T]) -> T | None:
    try:
        return msgspec.json.decode(value, type=kind)
    except MALFORMED:
        return None


def merge(current: Configuration, rows: tuple[Row, ...], revision: int) -> Configuration:
    """Return the configuration after a delta that is complete up to `revision`.

    A delta that is no newer than the current revision changes nothing.
    """
    if revision <= current.revision:
        return current
    rows_by_key = dict(current.rows_by_key)
    for row in rows:
        known = rows_by_key.get(row.key)
        if known is None or row.revision > known.revision:
            rows_by_key[row.key] = row
    return Configuration(revision, rows_by_key)
