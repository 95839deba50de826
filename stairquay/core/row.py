"""Rows of the table service."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Row:
    """One row of the table service: `value` is JSON text, None for a deleted row."""

    key: str
    value: str | None
    revision: int
