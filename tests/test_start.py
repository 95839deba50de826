"""Modules that a box imports at start; fewer imports make a restart of many boxes faster."""

import gc
import os
import subprocess
import sys
import tomllib
from pathlib import Path

from stairquay.box import CERTIFICATES_VARIABLE, parse_plain_box_command, reduced_import_cost
from stairquay.platform import boot
from stairquay.platform.boot import load_boot_settings, parse_boot_settings

ROOT = Path(__file__).resolve().parent.parent

PRINT_LOADED_MODULES = """
import stairquay.box
import stairquay.platform.boot, stairquay.platform.surroundings, stairquay.serving.app
import sys
print(*sys.modules)
"""

LOG_A_MESSAGE = """
from logging import getLogger
from stairquay.box import configure_logging
configure_logging()
getLogger("a.module").info("it began")
getLogger("a.module").info("it goes on")
getLogger("transitions.core").info("every state")
"""

# absl's logging loads `xml` and a parser of options.
UNNEEDED_MODULES = {"absl", "cyclopts", "cattrs", "json5", "stairquay.cli", "stairquay.adapters.settings"}


def test_a_box_does_not_load_what_it_does_not_need():
    done = subprocess.run(
        [sys.executable, "-c", PRINT_LOADED_MODULES], capture_output=True, text=True, check=True
    )
    assert not UNNEEDED_MODULES & set(done.stdout.split())


def test_certificate_authorities_are_skipped_while_importing_only(monkeypatch):
    """They cost 0.1 s where the environment names a file of them; later on the variable has to hold again."""
    monkeypatch.setenv(CERTIFICATES_VARIABLE, "/etc/authorities.pem")
    with reduced_import_cost():
        assert os.environ[CERTIFICATES_VARIABLE] == os.devnull
        assert not gc.isenabled()
    assert os.environ[CERTIFICATES_VARIABLE] == "/etc/authorities.pem"
    monkeypatch.delenv(CERTIFICATES_VARIABLE)
    with reduced_import_cost():
        pass
    assert CERTIFICATES_VARIABLE not in os.environ
    assert gc.isenabled()


def test_a_box_writes_the_libraries_messages_to_standard_error():
    """Guards against a handler that loses the message that loads absl, or those after it."""
    done = subprocess.run([sys.executable, "-c", LOG_A_MESSAGE], capture_output=True, text=True, check=True)
    lines = done.stderr.splitlines()
    assert [line[0] for line in lines] == ["I", "I"]
    assert [line.rpartition("] ")[2] for line in lines] == ["it began", "it goes on"]


def test_a_settings_file_is_parsed_again_only_when_it_changes(tmp_path, monkeypatch):
    """It is loaded every few seconds by every box."""
    parsed = []

    def parse(tables, metrics_port):
        parsed.append(tables)
        return parse_boot_settings(tables, metrics_port)

    monkeypatch.setattr(boot, "parse_boot_settings", parse)
    path = tmp_path / "local.toml"
    path.write_text('node_name = "a"')
    first = load_boot_settings(path, 0)
    assert load_boot_settings(path, 0) == first
    assert len(parsed) == 1
    path.write_text('node_name = "b"')
    load_boot_settings(path, 0)
    path.write_text("no TOML")
    assert load_boot_settings(path, 0).is_err()
    assert [tables["node_name"] for tables in parsed] == ["a", "b"]


def build_in(folder: Path, source: str) -> subprocess.CompletedProcess[str]:
    """Run the platform's build command in a folder with one module and installed dependencies."""
    (folder / "stairquay").mkdir()
    (folder / "stairquay" / "module.py").write_text(source)
    (folder / "deploy").mkdir()
    (folder / "deploy" / "requirements.txt").write_text("no-such-package==0")
    os.utime(folder / "deploy" / "requirements.txt", (0, 0))
    (folder / "target" / "deps").mkdir(parents=True)
    build = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"]
    return subprocess.run(["sh", "-c", build], cwd=folder, capture_output=True, text=True, check=False)


def test_the_build_writes_byte_code(tmp_path):
    """Boxes that cannot write it took 0.2 s more of processor time at each start."""
    assert build_in(tmp_path, "VALUE = 1").returncode == 0
    assert len(list((tmp_path / "stairquay" / "__pycache__").glob("module.*.pyc"))) == 1


def test_a_build_goes_on_without_byte_code_but_not_without_dependencies(tmp_path):
    (tmp_path / "uncompiled").mkdir()
    assert build_in(tmp_path / "uncompiled", "no python").returncode == 0
    (tmp_path / "without").mkdir()
    build_in(tmp_path / "without", "VALUE = 1")
    (tmp_path / "without" / "target" / "deps").rmdir()
    (tmp_path / "without" / "deploy" / "requirements.txt").unlink()
    build = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"]
    done = subprocess.run(["sh", "-c", build], cwd=tmp_path / "without", capture_output=True, check=False)
    assert done.returncode != 0


def test_the_usual_arguments_start_a_box_and_all_others_go_to_the_command_line():
    assert parse_plain_box_command(["box"]) == 0
    assert parse_plain_box_command(["box", "--metrics-port", "7700"]) == 7700
    for args in ([], ["entry", "x"], ["box", "--help"], ["box", "FILE"], ["box", "--metrics-port", "many"]):
        assert parse_plain_box_command(args) is None
