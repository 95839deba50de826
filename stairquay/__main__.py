"""Entry point of `stairquay` and `python -m stairquay`."""

import sys

from stairquay.box import plain_metrics_port, start_box
from stairquay.environment import Environment
from stairquay.status import ended


def run() -> int:
    """Run the command line on the process's own arguments."""
    args, env = sys.argv[1:], Environment()
    metrics_port = plain_metrics_port(args)
    if metrics_port is not None:
        return int(ended(env, lambda: start_box(None, metrics_port, env)))
    from stairquay.cli import main

    return int(main(args, env))


if __name__ == "__main__":
    sys.exit(run())
