"""Rows of the table service."""

import msgspec

from stairquay.core.position import Positioned


class Row(msgspec.Struct, Positioned, frozen=True):
    """One row of the table service: `value` is JSON text, None for a deleted row."""

    key: str
    value: str | None
    revision: int
    era: int = 0
