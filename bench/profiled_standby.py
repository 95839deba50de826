"""Runs a box whose profile starts at one SIGUSR2 and is written at the next."""

import cProfile
import os
import signal
import sys
from typing import Any

from stairquay.__main__ import run

PROFILE_VARIABLE = "STAIRQUAY_PROFILE"
"""Environment variable with the path of the file to which the profile is written."""


def profile_on_signal(path: str) -> None:
    """Start profiling this thread at the first signal, and write the profile at the second."""
    profile = cProfile.Profile()
    started = False

    def switch(*_: Any) -> None:
        nonlocal started
        if started:
            profile.disable()
            profile.dump_stats(path)
            return
        started = True
        profile.enable()

    signal.signal(signal.SIGUSR2, switch)


if __name__ == "__main__":
    profile_on_signal(os.environ[PROFILE_VARIABLE])
    sys.exit(run())
