"""Starts a box, apart from the command line.

Hundreds of boxes start, many of them together after a loss of power, and callers wait for them. So what a box
does not need is not loaded: the command line's library, the parser of settings with comments and the types of
the three programs take a fifth of the processor time that a box's code takes to load.
"""

import gc
import os
from collections.abc import Sequence
from logging import WARNING, getLogger
from pathlib import Path

from absl import flags, logging
from result import Err

from stairquay.environment import Environment
from stairquay.status import ExitStatus

COMMAND = "box"
METRICS_PORT_OPTION = "--metrics-port"


def plain_metrics_port(args: Sequence[str]) -> int | None:
    """Return the port for metrics where the arguments start a box in the usual form; None for all others,
    which the command line reads."""
    if list(args) == [COMMAND]:
        return 0
    if len(args) == 3 and tuple(args[:2]) == (COMMAND, METRICS_PORT_OPTION) and args[2].isdecimal():
        return int(args[2])
    return None


def start_box(path: Path | None, metrics_port: int, env: Environment) -> ExitStatus:
    """Run a box until it is stopped, by the settings at `path` or where the platform names them."""
    _load_lightly()
    from stairquay.adapters.clock import run
    from stairquay.platform.boot import load_boot_settings
    from stairquay.platform.names import SETTINGS_VARIABLE
    from stairquay.platform.surroundings import open_clients
    from stairquay.serving.app import run_box

    _loaded()
    settings_path = path or Path(env.variables.get(SETTINGS_VARIABLE, ""))
    boot = load_boot_settings(settings_path, metrics_port)
    if isinstance(boot, Err):
        for mistake in boot.err_value:
            env.complain(f"{settings_path}: {mistake}")
        return ExitStatus.BAD_SETTINGS
    start_logs()
    table_address = boot.ok_value.table_address
    run(
        run_box(
            boot.ok_value.settings,
            lambda: load_boot_settings(settings_path, metrics_port).map(lambda again: again.settings),
            lambda: open_clients(table_address),
        )
    )
    return ExitStatus.SUCCESS


def start_logs() -> None:
    """Write the libraries' log lines from their level of information on."""
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    # It writes a line for every attempt's every state.
    getLogger("transitions").setLevel(WARNING)


def _load_lightly() -> None:
    """Prepare for loading a box's code: hundreds of boxes start, many of them together after a loss of power.

    Loading makes no garbage, and looking for it takes a tenth of the processor time of a start. A box speaks
    plain HTTP: the HTTP library would read the machine's certificate authorities all the same, for 60 ms of
    processor time and 1.6 MB.
    """
    gc.disable()
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)


def _loaded() -> None:
    """Look for garbage from now on, but not in what was loaded, which stays."""
    gc.freeze()
    gc.enable()
