"""Validation errors in files and messages."""

import msgspec


class Mistake(msgspec.Struct, frozen=True):
    """One validation error: the path of the key, such as `$.entry.listen`, and what was expected there."""

    path: str
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: {self.expected}"
