"""Bounds the memory that callers' request bodies take together."""

from dataclasses import dataclass

from stairquay.serving.state import BoxState

BODY_MEMORY_SHARE = 0.25
"""Share of the box's memory that request bodies may take."""


class NoBodyMemoryError(Exception):
    """Raised where the box has no memory for a body, or for the next part of one."""


def body_fits(state: BoxState, size: int) -> bool:
    """Tell whether the box has memory for a body, or a part of one."""
    max_bytes = state.settings.memory_mb * 1_000_000 * BODY_MEMORY_SHARE
    return max_bytes <= 0 or state.body_bytes + size <= max_bytes


@dataclass
class BodyClaim:
    """What the body of one request takes of it, from when its size is known until the request ends."""

    state: BoxState
    claimed_bytes: int = 0

    def cover(self, size: int) -> None:
        """Claim `size` bytes in all, come or announced. Raises NoBodyMemoryError if they don't fit."""
        added = size - self.claimed_bytes
        if added <= 0:
            return
        if not body_fits(self.state, added):
            raise NoBodyMemoryError
        self.claimed_bytes = size
        self.state.body_bytes += added

    def release(self) -> None:
        """Free what was claimed."""
        self.state.body_bytes -= self.claimed_bytes
        self.claimed_bytes = 0
