"""A box whose interpreter takes long to end: `python -m tests.slow_teardown_box box`."""

import sys
from collections.abc import Callable
from time import sleep

from stairquay.__main__ import run

TEARDOWN_S = 1.0
"""Seconds that the interpreter takes to destroy its objects: beyond any end of the grace time."""


class SlowToDestroy:
    """An object whose destruction takes long."""

    def __del__(self, wait: Callable[[float], None] = sleep, seconds: float = TEARDOWN_S) -> None:
        # The module's own names may be gone by then.
        wait(seconds)


if __name__ == "__main__":
    # Destroyed by the interpreter's end; a name of this module is not, as the box has frozen its objects.
    sys.slow_to_destroy = SlowToDestroy()  # type: ignore[attr-defined]
    sys.exit(run())
