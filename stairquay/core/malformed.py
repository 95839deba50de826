"""The errors that reading malformed JSON raises."""

import msgspec

MALFORMED = (msgspec.MsgspecError, RecursionError)
"""RecursionError: it is nested too deep."""
