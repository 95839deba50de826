"""Exit statuses of the command line."""

from collections.abc import Callable
from enum import IntEnum

from stairquay.environment import Environment


class ExitStatus(IntEnum):
    """Exit status of the process."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    BAD_SETTINGS = 3
    REFUSED = 4
    CONFLICT = 5
    UNREACHED = 6
    BEHIND = 7
    INTERRUPTED = 130


def run_command(env: Environment, command: Callable[[], ExitStatus]) -> ExitStatus:
    """Run a command; return its exit status, also after an interrupt or an OSError."""
    try:
        return command()
    except KeyboardInterrupt:
        return ExitStatus.INTERRUPTED
    except OSError as error:
        env.write_error(str(error))
        return ExitStatus.ERROR
