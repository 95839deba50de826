"""The clock of ages, leases and limits."""

import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""The usual steady clock stands still while a machine is suspended, and so would the age of a key that was
taken away meanwhile, or of a lease that another box has taken over."""


def monotonic() -> float:
    """Return seconds by a steady clock that goes on while the machine is suspended."""
    return time.clock_gettime(_CLOCK)
