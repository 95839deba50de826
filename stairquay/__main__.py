"""Entry point of `stairquay` and `python -m stairquay`; imports the command line only if needed."""

import sys

from stairquay.box import parse_plain_box_command, start_box
from stairquay.environment import Environment
from stairquay.status import run_command


def run() -> int:
    """Run the command line on the process's own arguments."""
    args, env = sys.argv[1:], Environment()
    metrics_port = parse_plain_box_command(args)
    if metrics_port is not None:
        return int(run_command(env, lambda: start_box(None, metrics_port, env)))
    from stairquay.cli import main

    return int(main(args, env))


if __name__ == "__main__":
    sys.exit(run())
