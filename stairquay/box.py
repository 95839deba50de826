"""Starts a box without loading the command line, so that many boxes restart quickly after a power loss."""

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


def parse_plain_box_command(args: Sequence[str]) -> int | None:
    """Return the metrics port, 0 if not given, of a plain `box` command; None for other arguments."""
    if list(args) == [COMMAND]:
        return 0
    if len(args) == 3 and tuple(args[:2]) == (COMMAND, METRICS_PORT_OPTION) and args[2].isdecimal():
        return int(args[2])
    return None


def start_box(path: Path | None, metrics_port: int, env: Environment) -> ExitStatus:
    """Run a box until it is stopped, with the settings at `path` or at the path that the platform sets."""
    _reduce_import_cost()
    _silence_grpc_core()
    from stairquay.adapters.clock import run
    from stairquay.adapters.program import write_stacks_on_signal
    from stairquay.platform.boot import load_boot_settings
    from stairquay.platform.names import SETTINGS_VARIABLE
    from stairquay.platform.surroundings import open_clients
    from stairquay.serving.app import run_box

    _resume_garbage_collection()
    settings_path = path or Path(env.variables.get(SETTINGS_VARIABLE, ""))
    boot = load_boot_settings(settings_path, metrics_port)
    if isinstance(boot, Err):
        for mistake in boot.err_value:
            env.write_error(f"{settings_path}: {mistake}")
        return ExitStatus.BAD_SETTINGS
    configure_logging()
    write_stacks_on_signal()
    table_address = boot.ok_value.table_address
    run(
        run_box(
            boot.ok_value.settings,
            lambda: load_boot_settings(settings_path, metrics_port).map(lambda reloaded: reloaded.settings),
            lambda: open_clients(table_address),
        )
    )
    return ExitStatus.SUCCESS


def configure_logging() -> None:
    """Log the libraries' messages of level INFO and above."""
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    # It logs every state transition of every attempt.
    getLogger("transitions").setLevel(WARNING)


def _reduce_import_cost() -> None:
    """Pause garbage collection, and skip loading certificate authorities, which plain HTTP does not use."""
    gc.disable()
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)


def _silence_grpc_core() -> None:
    """Keep gRPC's C core from writing unstructured lines without bound. The event log has the reason of each
    lost router."""
    os.environ.setdefault("GRPC_VERBOSITY", "NONE")


def _resume_garbage_collection() -> None:
    """Resume garbage collection, without scanning the imported modules."""
    gc.freeze()
    gc.enable()
