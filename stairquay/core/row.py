"""Rows of the table service."""

from dataclasses import dataclass

from stairquay.core.position import Positioned


@dataclass(frozen=True)
class Row(Positioned):
    """One row of the table service: `value` is JSON text, None for a deleted row."""

    key: str
    value: str | None
    revision: int
    era: int = 0
