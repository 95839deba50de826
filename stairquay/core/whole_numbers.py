"""Whole numbers that others write, no larger than what messages between boxes and rows can hold.

A larger one would be read by one box, which then could not tell any other of it.
"""

from typing import Annotated

import msgspec

MAX_WHOLE_NUMBER = 2**63 - 1
MAX_DIGITS = 18
"""Digits of a number in a header at most, so that it is not above the maximum."""

WholeNumber = Annotated[int, msgspec.Meta(ge=-MAX_WHOLE_NUMBER, le=MAX_WHOLE_NUMBER)]
"""Type of a field in JSON; a larger number is malformed."""


def parse_whole_number(text: str, max_digits: int = MAX_DIGITS) -> int | None:
    """Return the number that a header consists of, None if it is no whole number or too long."""
    if not text.isascii() or not text.isdecimal() or len(text) > max_digits:
        return None
    return int(text)
