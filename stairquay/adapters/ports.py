"""Ports to the outside: what the programs need of the platform, whatever protocol it speaks."""

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol

from result import Result

from stairquay.core.row import Row

if TYPE_CHECKING:
    # One process a box knows boxes by their own rows.
    from stairquay.core.models import BoxList


class PlatformFault(str, Enum):
    """Why the platform gave no answer that can be used."""

    UNREACHED = "unreached"
    """The request cannot have arrived."""

    UNKNOWN = "unknown"
    """The request may have arrived and taken effect."""


@dataclass(frozen=True)
class Condition:
    """A row must stand at this revision; 0 means that there must be no such row."""

    key: str
    revision: int


@dataclass(frozen=True)
class Write:
    """A row to write as JSON text, or to delete where `value` is None."""

    key: str
    value: str | None


@dataclass(frozen=True)
class Commit:
    """A conditional write of several rows at once. A token takes effect once, however often sent."""

    token: str
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True)
class Conflict:
    """The rows that stood at other revisions than the commit's conditions named."""

    rows: tuple[Row, ...]


@dataclass(frozen=True)
class Committed:
    """The revision that a commit's rows were written at."""

    revision: int


@dataclass(frozen=True)
class Changes:
    """Rows under a prefix changed after a revision, complete up to `revision`."""

    revision: int
    rows: tuple[Row, ...]


class Table(Protocol):
    """The platform's transactional table service."""

    async def get(self, key: str) -> Result[Row | None, PlatformFault]:
        """Return a row, or None where there is none."""

    async def changes(self, since: int, prefix: str) -> Result[Changes, PlatformFault]:
        """Return the rows under a prefix that changed after a revision."""

    async def commit(self, commit: Commit) -> Result[Committed | Conflict, PlatformFault]:
        """Write all rows if all conditions hold."""


class BoxDirectory(Protocol):
    """The platform's lagging list of boxes."""

    async def boxes(self) -> "Result[BoxList, PlatformFault]":
        """Return the list as the platform has it now."""


class Platform(Table, BoxDirectory, Protocol):
    """All that the platform gives."""

    async def close(self) -> None:
        """Free the connections."""
