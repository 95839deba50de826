"""What is wrong with a file or a message, for the one who wrote it."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Mistake:
    """One mistake: the path of the key (`$.entry.listen`), and what was expected there."""

    path: str
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: {self.expected}"
