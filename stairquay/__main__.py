"""Entry point of `stairquay` and `python -m stairquay`; imports the command line only if needed."""

import atexit
import os
import sys

from stairquay.adapters.early_signals import hold_signals

BOX_COMMAND = "box"
"""The only command that reloads its settings on SIGHUP. Others end on a signal as any program does."""


def run() -> int:
    """Run the command line on the process's own arguments."""
    args = sys.argv[1:]
    if args[:1] != [BOX_COMMAND]:
        return _run(args)
    hold_signals()
    status = 1

    def end() -> None:
        sys.stdout.flush()
        sys.stderr.flush()
        os._exit(status)

    # The last thing to run at the exit. Destroying all objects may take long, and signals have their default
    # effect again meanwhile.
    atexit.register(end)
    status = _run(args)
    return status


def _run(args: list[str]) -> int:
    from stairquay.box import parse_plain_box_command, start_box
    from stairquay.environment import Environment
    from stairquay.status import run_command

    env = Environment()
    metrics_port = parse_plain_box_command(args)
    if metrics_port is not None:
        return int(run_command(env, lambda: start_box(None, metrics_port, env)))
    from stairquay.cli import main

    return int(main(args, env))


if __name__ == "__main__":
    sys.exit(run())
