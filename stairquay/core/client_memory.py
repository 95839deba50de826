"""Bounds the memory that all clients' requests take together until they are answered."""

from dataclasses import dataclass
from math import inf

CLIENT_MEMORY_SHARE = 0.25
"""Share of the machine's memory that clients' heads, bodies and answers that they don't take may have."""


@dataclass
class ClientMemory:
    """An account of what is kept for clients: incomplete heads, bodies, and answers that they don't take."""

    max_bytes: float = inf
    used_bytes: int = 0

    def fits(self, size: int) -> bool:
        """Tell whether `size` bytes more may be kept."""
        return self.used_bytes + size <= self.max_bytes

    def limit_by(self, memory_mb: int) -> None:
        """Set the limit from the machine's memory in MB, 0 for none."""
        self.max_bytes = memory_mb * 1_000_000 * CLIENT_MEMORY_SHARE or inf


class NoBodyMemoryError(Exception):
    """Raised where there is no memory for a body, or for the next part of one."""


@dataclass
class BodyClaim:
    """What one body takes of the account, from when its size is known until its request ends."""

    memory: ClientMemory
    claimed_bytes: int = 0

    def cover(self, size: int) -> None:
        """Claim `size` bytes in all, come or announced. Raises NoBodyMemoryError if they don't fit."""
        added = size - self.claimed_bytes
        if added <= 0:
            return
        if not self.memory.fits(added):
            raise NoBodyMemoryError
        self.claimed_bytes = size
        self.memory.used_bytes += added

    def release(self) -> None:
        """Free what was claimed."""
        self.memory.used_bytes -= self.claimed_bytes
        self.claimed_bytes = 0
