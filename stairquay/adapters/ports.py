"""Interfaces to the platform, independent of its protocol."""

from enum import Enum
from typing import TYPE_CHECKING, Protocol

import msgspec
from result import Result

from stairquay.core.position import Positioned
from stairquay.core.row import Row

if TYPE_CHECKING:
    # The serving process doesn't load the box list's types.
    from stairquay.core.models import BoxList


class PlatformFault(str, Enum):
    """Why a call to the platform failed."""

    UNREACHED = "unreached"
    """The call had no effect, for example since it was not delivered."""

    UNKNOWN = "unknown"
    """The call may have taken effect."""


class Condition(msgspec.Struct, frozen=True):
    """The row must be at this revision; 0 means that it must not exist."""

    key: str
    revision: int


class Write(msgspec.Struct, frozen=True):
    """A row to write as JSON text, or to delete if `value` is None."""

    key: str
    value: str | None


class Commit(msgspec.Struct, frozen=True):
    """An atomic, conditional write of several rows. `token` makes it idempotent."""

    token: str
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class Conflict(msgspec.Struct, frozen=True):
    """The rows whose revisions did not match the commit's conditions."""

    rows: tuple[Row, ...]


class Committed(msgspec.Struct, Positioned, frozen=True):
    """The revision at which a commit's rows were written."""

    revision: int
    era: int = 0


class Changes(msgspec.Struct, Positioned, frozen=True):
    """Rows with a key prefix that changed after a given revision, complete up to `revision`."""

    revision: int
    rows: tuple[Row, ...]
    era: int = 0


class Table(Protocol):
    """The platform's transactional table service."""

    async def get(self, key: str) -> Result[Row | None, PlatformFault]:
        """Return a row, or None if it does not exist."""

    async def changes(self, since: int, prefix: str) -> Result[Changes, PlatformFault]:
        """Return the rows with a key prefix that changed after a revision."""

    async def commit(self, commit: Commit) -> Result[Committed | Conflict, PlatformFault]:
        """Write all rows atomically if all conditions hold."""


class BoxDirectory(Protocol):
    """The platform's list of boxes, which may lag behind."""

    async def boxes(self) -> "Result[BoxList, PlatformFault]":
        """Return the current list."""


class Platform(Table, BoxDirectory, Protocol):
    """Table service and box directory of the platform."""

    async def close(self) -> None:
        """Close the connections."""
