"""Command line: starts programs, runs operators' commands and checks settings."""

import asyncio
import hashlib
import secrets
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from logging import WARNING, getLogger
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, TypeVar

import msgspec
from absl import flags, logging
from cyclopts import App, CycloptsError, Parameter
from result import Err

from stairquay import __version__
from stairquay.adapters.clock import run
from stairquay.adapters.program import write_stacks_on_signal
from stairquay.box import start_box
from stairquay.environment import Environment
from stairquay.status import ExitStatus, run_command

if TYPE_CHECKING:
    from stairquay.adapters.settings import Settings

SETTINGS = Annotated[Path, Parameter(help="The box's settings: JSON with comments.")]
BOX_SETTINGS = Annotated[Path | None, Parameter(help="The platform's settings; by default those it names.")]
METRICS_PORT = Annotated[int, Parameter(help="The port for metrics; 0 for none.")]
TABLE = Annotated[str, Parameter(help="The table service, as IP:port.")]
BOXES_PORT = Annotated[int, Parameter(help="The port at which every box serves its metrics.")]
LOGS = Annotated[Path, Parameter(help="Logs of boxes; standard input where none is named.")]
URL = Annotated[str, Parameter(name="--control", help="A control's URL; also STAIRQUAY_CONTROL.")]
AS_JSON = Annotated[bool, Parameter(name="--json", negative="", help="Write the answer as JSON.")]
FILE = Annotated[Path, Parameter(help="Intents as JSON with comments; `-` for standard input.")]
CONFIRM = Annotated[bool, Parameter(negative="", help="Put the plan into force.")]

DEFAULT_URL = "http://127.0.0.1:8090"
STANDARD_INPUT = Path("-")
KEY_BYTES = 24

T = TypeVar("T")


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Run one command, and return its exit status."""
    return run_command(env, lambda: _run(args, env))


def _run(args: Sequence[str], env: Environment) -> ExitStatus:
    app = _build_app(env)
    try:
        outcome = app(list(args), exit_on_error=False, print_error=False, result_action="return_value")
    except CycloptsError as error:
        env.write_error(str(error))
        env.write_error("`stairquay --help` lists the commands")
        return ExitStatus.USAGE
    return outcome if isinstance(outcome, ExitStatus) else ExitStatus.SUCCESS


@dataclass(frozen=True)
class Program:
    """A long-running program; `section` is the name of its part of the settings."""

    name: str
    section: str
    summary: str


PROGRAMS = (
    Program("entry", "entry", "Serve callers: keys, limits, and the relay of answers."),
    Program("router", "router", "Decide where prompts run, and which context is kept."),
    Program("control", "control", "Answer operators, and bring endpoints to what they confirmed."),
)


def _build_app(env: Environment) -> App:
    app = App(name="stairquay", version=__version__, help="Serve prompts that come back after long gaps.")
    for program in PROGRAMS:
        app.command(_program(program, env), name=program.name)
    app.command(_box(env), name="box")
    app.command(_intent(env), name="intent")
    app.command(_plan(env), name="plan")
    app.command(_status(env), name="status")
    app.command(_check_settings(env), name="check-settings")
    app.command(_boxes(env), name="boxes")
    app.command(_release(env), name="release")
    app.command(_key(env), name="key")
    app.command(_explain(env), name="explain")
    return app


def _program(program: Program, env: Environment) -> Callable[..., ExitStatus]:
    def command(settings: SETTINGS) -> ExitStatus:
        loaded = _read_settings(settings, env)
        if loaded is None:
            return ExitStatus.BAD_SETTINGS
        section = getattr(loaded, program.section)
        if section is None:
            env.write_error(f"{settings}: $.{program.section}: required by this program, but missing")
            return ExitStatus.BAD_SETTINGS
        configure_logging()
        write_stacks_on_signal()
        run(_import_main(program.name)(loaded, section))
        return ExitStatus.SUCCESS

    command.__doc__ = program.summary
    return command


def configure_logging() -> None:
    """Log the libraries' messages of level INFO and above."""
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    # It logs every state transition of every attempt.
    getLogger("transitions").setLevel(WARNING)


def _import_main(name: str) -> "Callable[[Settings, Any], Coroutine[Any, Any, None]]":
    """Import a program's main coroutine function, and only that program's modules."""
    if name == "entry":
        from stairquay.entry.app import run_entry

        return run_entry
    if name == "router":
        from stairquay.router.app import run_router

        return run_router
    from stairquay.control.app import run_control

    return run_control


def _box(env: Environment) -> Callable[..., ExitStatus]:
    def command(settings: BOX_SETTINGS = None, *, metrics_port: METRICS_PORT = 0) -> ExitStatus:
        """Serve a whole box in one process on the users' platform."""
        return start_box(settings, metrics_port, env)

    return command


def _read_settings(path: Path, env: Environment) -> "Settings | None":
    # Imported here: the `box` command doesn't need the settings module and its JSON5 parser.
    from stairquay.adapters.settings import load_settings

    outcome = load_settings(path)
    if isinstance(outcome, Err):
        for mistake in outcome.err_value:
            env.write_error(str(mistake))
        return None
    return outcome.ok_value


def _check_settings(env: Environment) -> Callable[..., ExitStatus]:
    def command(settings: SETTINGS) -> ExitStatus:
        """Check a settings file, and list every mistake in it."""
        if _read_settings(settings, env) is None:
            return ExitStatus.BAD_SETTINGS
        env.write_line(f"{settings}: no mistakes")
        return ExitStatus.SUCCESS

    return command


def _intent(env: Environment) -> Callable[..., ExitStatus]:
    def command(file: FILE, *, control: URL = "", as_json: AS_JSON = False) -> ExitStatus:
        """State intents, and read the plan that answers them. Nothing changes."""
        body = _read_intents(file, env)
        if body is None:
            return ExitStatus.USAGE
        return _call_and_print(env, control, as_json, "POST", "/v1/intents", body)

    return command


def _plan(env: Environment) -> Callable[..., ExitStatus]:
    def command(
        plan: str, *, confirm: CONFIRM = False, control: URL = "", as_json: AS_JSON = False
    ) -> ExitStatus:
        """Read a plan, or confirm it."""
        path = f"/v1/plans/{plan}"
        if confirm:
            return _call_and_print(env, control, as_json, "POST", path + "/confirm")
        return _call_and_print(env, control, as_json, "GET", path)

    return command


def _status(env: Environment) -> Callable[..., ExitStatus]:
    def command(*, control: URL = "", as_json: AS_JSON = False) -> ExitStatus:
        """Show boxes, endpoints, versions, and what is out of date."""
        from stairquay.operators import call_control, print_reply, status_lines

        reply = asyncio.run(call_control(_control_server(env, control), "GET", "/v1/status"))
        status = print_reply(env, reply, as_json, status_lines(reply.body))
        out_of_date = reply.body.get("behind") or reply.body.get("silent")
        return ExitStatus.BEHIND if status == ExitStatus.SUCCESS and out_of_date else status

    return command


def _boxes(env: Environment) -> Callable[..., ExitStatus]:
    def command(table: TABLE, *, metrics_port: BOXES_PORT = 7700, as_json: AS_JSON = False) -> ExitStatus:
        """Show all boxes on the users' platform: who routes, who follows, how old their views are."""
        from stairquay.boxes import fleet_lines, inspect_fleet

        found = asyncio.run(inspect_fleet(table, metrics_port))
        if isinstance(found, Err):
            env.write_error(found.err_value)
            return ExitStatus.UNREACHED
        fleet = found.ok_value
        lines = [msgspec.json.encode(fleet).decode()] if as_json else fleet_lines(fleet)
        for line in lines:
            env.write_line(line)
        silent = any(box.view_age_s is None for box in fleet.boxes)
        return ExitStatus.BEHIND if silent else ExitStatus.SUCCESS

    return command


def _release(env: Environment) -> Callable[..., ExitStatus]:
    def command(table: TABLE, *digests: str) -> ExitStatus:
        """End quarantines on the users' platform: DIGESTS as logged, "part ID" for a part of prompts."""
        from stairquay.release import release

        if not digests:
            env.write_error("name the digests to release")
            return ExitStatus.ERROR
        done = asyncio.run(release(table, digests))
        if isinstance(done, Err):
            env.write_error(done.err_value)
            return ExitStatus.UNREACHED
        env.write_line(f"released: {', '.join(digests)}")
        return ExitStatus.SUCCESS

    return command


def _key(env: Environment) -> Callable[..., ExitStatus]:
    def command(*, as_json: AS_JSON = False) -> ExitStatus:
        """Make a new key, and the hash of it that settings and workspaces hold."""
        key = "sq-" + secrets.token_urlsafe(KEY_BYTES)
        hashed = hashlib.sha256(key.encode()).hexdigest()
        if as_json:
            env.write_line(msgspec.json.encode({"key": key, "hash": hashed}).decode())
        else:
            env.write_line(f"key:  {key}")
            env.write_line(f"hash: {hashed}")
        return ExitStatus.SUCCESS

    return command


def _explain(env: Environment) -> Callable[..., ExitStatus]:
    def command(request: str, *logs: LOGS) -> ExitStatus:
        """Tell one request's story from the logs of one or more boxes."""
        from stairquay.explain import explain_request, read_logs

        lines = explain_request(read_logs(logs, env.stdin), request)
        if not lines:
            env.write_error(f"no line about request {request} in these logs")
            return ExitStatus.ERROR
        for line in lines:
            env.write_line(line)
        return ExitStatus.SUCCESS

    return command


def _call_and_print(
    env: Environment, control: str, as_json: bool, method: str, path: str, body: bytes | None = None
) -> ExitStatus:
    from stairquay.operators import call_control, plan_lines, print_reply

    reply = asyncio.run(call_control(_control_server(env, control), method, path, body))
    return print_reply(env, reply, as_json, plan_lines(reply.body))


def _control_server(env: Environment, control: str):  # type: ignore[no-untyped-def]
    from stairquay.operators import CONTROL_VARIABLE, KEY_VARIABLE, ControlServer

    url = control or env.variables.get(CONTROL_VARIABLE, DEFAULT_URL)
    return ControlServer(url.rstrip("/"), env.variables.get(KEY_VARIABLE, ""))


def _read_intents(file: Path, env: Environment) -> bytes | None:
    import json5

    try:
        text = env.stdin.read() if file == STANDARD_INPUT else file.read_text()
        value = json5.loads(text)
    except (OSError, ValueError) as error:
        env.write_error(f"{file}: {error}")
        return None
    if isinstance(value, list):
        value = {"intents": value}
    return msgspec.json.encode(value)
