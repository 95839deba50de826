"""Bounds the memory that answers take together while they are incomplete.

When it runs out, the largest answer is given up, so that one endpoint that sends without end does not cost
the answers of others.
"""

from dataclasses import dataclass, field


@dataclass(eq=False)
class Buffer:
    """The bytes kept of one incomplete answer. dropped: it was given up, and must not grow any more."""

    budget: "BufferBudget"
    data: bytearray = field(default_factory=bytearray)
    dropped: bool = False

    def extend(self, data: bytes) -> bool:
        """Add bytes; return whether the answer may go on."""
        if not self.dropped:
            self.data.extend(data)
            self.budget.add(self, len(data))
        return not self.dropped

    def take(self) -> bytes:
        """Return the bytes and free their memory."""
        data = bytes(self.data)
        self.release()
        return data

    def release(self) -> None:
        """Free the memory; may be called again."""
        self.budget.remove(self)
        self.data = bytearray()


@dataclass
class BufferBudget:
    """The bytes that all buffers of a kind may hold together."""

    max_bytes: int
    used_bytes: int = 0
    buffers: set[Buffer] = field(default_factory=set)

    def buffer(self) -> Buffer:
        """Return a new, empty buffer."""
        return Buffer(self)

    def add(self, buffer: Buffer, size: int) -> None:
        """Count bytes of a buffer. If the budget is spent, the largest buffer is dropped."""
        self.buffers.add(buffer)
        self.used_bytes += size
        while self.used_bytes > self.max_bytes:
            largest = max(self.buffers, key=lambda item: len(item.data))
            largest.dropped = True
            largest.release()

    def remove(self, buffer: Buffer) -> None:
        """Stop counting a buffer."""
        if buffer in self.buffers:
            self.buffers.discard(buffer)
            self.used_bytes -= len(buffer.data)
