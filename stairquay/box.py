"""Starts a box without loading the command line, so that many boxes restart quickly after a power loss."""

import gc
import os
import sys
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from logging import INFO, WARNING, Handler, LogRecord, getLogger
from pathlib import Path
from signal import SIGTERM

from result import Err

from stairquay.environment import Environment
from stairquay.status import ExitStatus

COMMAND = "box"
METRICS_PORT_OPTION = "--metrics-port"
CERTIFICATES_VARIABLE = "SSL_CERT_FILE"


def parse_plain_box_command(args: Sequence[str]) -> int | None:
    """Return the metrics port, 0 if not given, of a plain `box` command; None for other arguments."""
    if list(args) == [COMMAND]:
        return 0
    if len(args) == 3 and tuple(args[:2]) == (COMMAND, METRICS_PORT_OPTION) and args[2].isdecimal():
        return int(args[2])
    return None


def start_box(path: Path | None, metrics_port: int, env: Environment) -> ExitStatus:
    """Run a box until it is stopped, with the settings at `path` or at the path that the platform sets."""
    _silence_grpc_core()
    with reduced_import_cost():
        from stairquay.adapters.clock import run
        from stairquay.adapters.early_signals import has_arrived
        from stairquay.adapters.program import write_stacks_on_signal
        from stairquay.platform.boot import load_boot_settings
        from stairquay.platform.names import SETTINGS_VARIABLE
        from stairquay.platform.surroundings import open_clients
        from stairquay.serving.app import run_box

    settings_path = path or Path(env.variables.get(SETTINGS_VARIABLE, ""))
    boot = load_boot_settings(settings_path, metrics_port)
    if isinstance(boot, Err):
        for mistake in boot.err_value:
            env.write_error(f"{settings_path}: {mistake}")
        return ExitStatus.BAD_SETTINGS
    if has_arrived(SIGTERM):
        return ExitStatus.SUCCESS
    configure_logging()
    write_stacks_on_signal()
    table_address = boot.ok_value.table_address
    run(
        run_box(
            boot.ok_value.settings,
            lambda: load_boot_settings(settings_path, metrics_port).map(lambda reloaded: reloaded.settings),
            lambda buffers: open_clients(table_address, buffers),
        )
    )
    return ExitStatus.SUCCESS


class AbslHandler(Handler):
    """Writes through absl, which is loaded with the first record: it takes a parser of command lines and an
    XML writer along, and a box that starts well logs nothing by it."""

    def emit(self, record: LogRecord) -> None:
        """Hand this record and all later ones to absl's handler."""
        try:
            from absl import flags, logging
        except OSError as error:
            # Without a free descriptor no module can be loaded. The next record tries again.
            sys.stderr.write(f"{self.format(record)}\nnot logged by absl: {error}\n")
            return
        flags.FLAGS.mark_as_parsed()
        getLogger().removeHandler(self)
        logging.use_absl_handler()
        logging.set_verbosity(logging.INFO)
        logging.get_absl_handler().handle(record)


def configure_logging() -> None:
    """Log the libraries' messages of level INFO and above to standard error."""
    getLogger().setLevel(INFO)
    getLogger().addHandler(AbslHandler())
    # It logs every state transition of every attempt.
    getLogger("transitions").setLevel(WARNING)


@contextmanager
def reduced_import_cost() -> Iterator[None]:
    """Pause garbage collection, and skip loading certificate authorities, which plain HTTP does not use.

    The HTTP library loads them when it is imported, from the file that the environment names, which took 60
    ms of CPU time and 1.6 MB. Hundreds of boxes start, many of them together after a power loss.
    """
    certificates = os.environ.get(CERTIFICATES_VARIABLE)
    gc.disable()
    os.environ[CERTIFICATES_VARIABLE] = os.devnull
    try:
        yield
    finally:
        if certificates is None:
            del os.environ[CERTIFICATES_VARIABLE]
        else:
            os.environ[CERTIFICATES_VARIABLE] = certificates
    # Without scanning the imported modules.
    gc.freeze()
    gc.enable()


def _silence_grpc_core() -> None:
    """Keep gRPC's C core from writing unstructured lines without bound. The event log has the reason of each
    lost router."""
    os.environ.setdefault("GRPC_VERBOSITY", "NONE")
