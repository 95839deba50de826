"""Settings files and the command line."""

import io
import json
from dataclasses import MISSING, fields
from pathlib import Path

import json5
import pytest

from stairquay.adapters.settings import (
    BoxSettings,
    ControlSettings,
    EntrySettings,
    KeepSettings,
    PlatformSettings,
    RouterSettings,
    Settings,
    TlsSettings,
    ViewSettings,
    load_settings,
    parse_settings,
)
from stairquay.cli import main
from stairquay.core.configuration import Configuration
from stairquay.core.decode import decode
from stairquay.core.plan import PlanRequest, RuntimeState, make_plan
from stairquay.environment import Environment
from stairquay.status import ExitStatus

ROOT = Path(__file__).resolve().parent.parent
EXAMPLES = sorted((ROOT / "examples").glob("*/box.json"))
SECTIONS = (
    BoxSettings,
    PlatformSettings,
    ViewSettings,
    TlsSettings,
    EntrySettings,
    KeepSettings,
    RouterSettings,
    ControlSettings,
)
INTENTS = sorted((ROOT / "examples").glob("*/intents.json"))


def run_stairquay(*args):
    """Run a command; return its exit status, standard output and standard error."""
    env = Environment(io.StringIO(), io.StringIO(), io.StringIO(), {})
    status = main([str(arg) for arg in args], env)
    return status, env.stdout.getvalue(), env.stderr.getvalue()


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.parent.name)
def test_example_settings_hold_no_mistake(path):
    status, output, _ = run_stairquay("check-settings", path)
    assert status == ExitStatus.SUCCESS
    assert "no mistakes" in output


@pytest.mark.parametrize("path", INTENTS, ids=lambda path: path.parent.name)
def test_example_intents_lead_to_a_plan(path):
    request = decode({"intents": json5.loads(path.read_text())}, PlanRequest).unwrap()
    plan = make_plan(request, Configuration(), RuntimeState(), "plan-1", 0.0, lambda: "secret").unwrap()
    workspaces = [change for change in plan.changes if change.key.startswith("config/workspace/")]
    assert len(workspaces) == 10
    assert len(plan.loads) == 5


def test_both_deployments_have_examples():
    assert (
        [path.parent.name for path in EXAMPLES] == ["hsita", "lakeshore"] == [p.parent.name for p in INTENTS]
    )


def test_every_mistake_is_listed_with_file_path_and_what_was_expected(tmp_path):
    path = tmp_path / "box.json"
    path.write_text(
        """{
        // comments are fine
        "box": {"id": 7, "colour": "red"},
        "platform": {"url": "http://192.0.2.1", "timeout_s": "long"},
        "view": {"seeds": "all"},
        "entry": {"listen": "0.0.0.0:1", "metrics": "0.0.0.0:2"},
        }"""
    )
    status, _, errors = run_stairquay("check-settings", path)
    assert status == ExitStatus.BAD_SETTINGS
    for expected in (
        "$.box.id: expected a string, not 7",
        "$.box: unknown keys: colour",
        "$.platform.timeout_s: expected a number, not 'long'",
        "$.view.seeds: expected a list, not 'all'",
        "$.entry.router: required, but missing",
    ):
        assert f"{path}: {expected}" in errors


def test_rules_beyond_types_are_listed_together():
    value = {
        "box": {"id": ""},
        "platform": {"url": "ftp://x"},
        "view": {"poll_s": 9},
        "router": {"listen": "nowhere", "metrics": "127.0.0.1:1", "policy": "best"},
    }
    paths = [mistake.path for mistake in parse_settings(value).unwrap_err()]
    assert paths == ["$.box.id", "$.platform.url", "$.view.poll_s", "$.router.listen", "$.router.policy"]


def test_a_file_that_is_missing_or_no_json(tmp_path):
    assert "cannot be read" in str(load_settings(tmp_path / "none.json").unwrap_err()[0])
    (tmp_path / "bad.json").write_text("{")
    assert "is not JSON" in str(load_settings(tmp_path / "bad.json").unwrap_err()[0])


def test_a_program_without_its_section_does_not_start(tmp_path):
    path = tmp_path / "box.json"
    path.write_text(json.dumps({"box": {"id": "a"}, "platform": {"url": "http://192.0.2.1"}}))
    status, _, errors = run_stairquay("entry", path)
    assert status == ExitStatus.BAD_SETTINGS
    assert "$.entry: required by this program, but missing" in errors


def test_unknown_commands_and_missing_arguments():
    assert run_stairquay("sail")[0] == ExitStatus.USAGE
    assert run_stairquay("entry")[0] == ExitStatus.USAGE


def test_a_new_key_comes_with_its_hash():
    status, output, _ = run_stairquay("key", "--json")
    made = json.loads(output)
    assert status == ExitStatus.SUCCESS
    assert made["key"].startswith("sq-") and len(made["hash"]) == 64


def test_the_page_of_settings_names_every_key_and_its_default():
    page = (ROOT / "docs" / "SETTINGS.md").read_text()
    rows = [line.split("|")[1:3] for line in page.splitlines() if line.startswith("| `")]
    documented = {key.strip(" `"): default.strip() for keys, default in rows for key in keys.split(",")}
    expected = dict(plain_keys(Settings, ""))
    assert set(documented) == set(expected)
    for key, default in expected.items():
        if default is not MISSING and not isinstance(default, str | tuple):
            assert documented[key] == json.dumps(default), key


def plain_keys(settings_class, prefix):
    """Yield the path and default of every key of a settings class that is no section."""
    for field in fields(settings_class):
        section = next((item for item in SECTIONS if item.__name__ in str(field.type)), None)
        path = f"{prefix}{field.name}"
        if section is not None:
            yield from plain_keys(section, path + ".")
        else:
            yield path, field.default
