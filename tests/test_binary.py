"""The single-file binary, built and run as an operator would."""

import os
import subprocess
from pathlib import Path

import pytest

from bench.binary import build
from stairquay import __version__

ROOT = Path(__file__).resolve().parent.parent


@pytest.fixture(scope="module")
def binary(tmp_path_factory):
    return build(tmp_path_factory.mktemp("dist") / "stairquay")


def run(binary, *args):
    variables = {**os.environ, "SHIV_ROOT": str(binary.parent / "unpacked")}
    return subprocess.run([str(binary), *args], capture_output=True, text=True, env=variables)


def test_the_binary_tells_its_version(binary):
    assert run(binary, "--version").stdout.strip() == __version__


def test_the_binary_checks_settings(binary, tmp_path):
    done = run(binary, "check-settings", str(ROOT / "examples" / "hsita" / "box.json"))
    assert done.returncode == 0, done.stderr
    (tmp_path / "bad.json").write_text("{}")
    done = run(binary, "check-settings", str(tmp_path / "bad.json"))
    assert done.returncode == 3
    assert "$.box: required, but missing" in done.stderr
