"""Positions in the history of the table service."""

import msgspec


class Position(msgspec.Struct, frozen=True, order=True):
    """A revision of the table service, in one era.

    The table service may be restored from an older copy. It then issues revisions again that it has used
    before, and its era rises by one, so that only both together order what was read. Era 0: not known.
    """

    era: int = 0
    revision: int = 0


NO_POSITION = Position(0, -1)
"""Before all positions: nothing was read."""


class Positioned:
    """Base of what was read from the table service at a position."""

    __slots__ = ()

    era: int
    revision: int

    @property
    def position(self) -> Position:
        """Return the position."""
        return Position(self.era, self.revision)
