"""Remembers signals that arrive while a program starts, before its event loop handles them.

Loading a box's modules takes a third of a second, and either signal would end a process that does not handle
it. This module loads nothing but `signal`.
"""

import signal
from types import FrameType

HELD_SIGNALS = (signal.SIGHUP, signal.SIGTERM)

_arrived: set[int] = set()


def hold_signals() -> None:
    """Remember the signals from now on; a handler of the event loop takes the place of this one."""
    for number in HELD_SIGNALS:
        signal.signal(number, _remember)


def has_arrived(number: signal.Signals) -> bool:
    """Tell whether a signal arrived while it was held."""
    return number in _arrived


def _remember(number: int, _: FrameType | None) -> None:
    _arrived.add(number)
