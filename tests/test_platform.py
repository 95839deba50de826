"""The platform adapter: boot settings, rows of the table, and which modules may use wire names."""

import json
import re
import tomllib
from base64 import b64encode
from pathlib import Path

import pytest
from result import Err

from stairquay.cli import main
from stairquay.environment import Environment
from stairquay.platform.boot import parse_boot_settings
from stairquay.platform.feeds import decode_catalog, endpoint_changes, operator_changes
from stairquay.platform.rows import WireRow, WireRows
from stairquay.status import ExitStatus
from tests.site import configuration

ROOT = Path(__file__).resolve().parent.parent

RAW_SETTINGS = {
    "node_name": "box-1",
    "ip": "10.1.0.40",
    "zone": "hall-a",
    "new_field": {"deep": 1},
    "listen": {"front": "10.1.0.40:8005", "readiness": "10.1.0.40:8002"},
    "platform": {"address": "10.200.1.7:8007"},
    "limits": {"memory_mb": 150, "max_fds": 4100},
    "bounds": {"grace_s": 8, "drain_ms": 2000, "strict_revoke": True, "revoke_ms": 5000, "lease_ms": 3000},
}


def test_settings_are_read_with_unknown_fields_passed_over():
    boot = parse_boot_settings(RAW_SETTINGS, 7700).unwrap()
    assert boot.table_address == "10.200.1.7:8007"
    assert boot.settings.data_hall == "hall-a" and boot.settings.stop_s == 8.0
    assert boot.settings.freshness.keyed_s < 5.0 and boot.settings.freshness.ready_s < 3.0
    assert boot.settings.lease.handover_s > 3.0


def test_without_strict_revocation_keys_hold_while_the_table_service_is_away():
    raw_settings = RAW_SETTINGS | {"bounds": {"strict_revoke": False}}
    assert parse_boot_settings(raw_settings, 0).unwrap().settings.freshness.keyed_s == float("inf")


def test_other_boxes_reach_a_box_at_the_last_of_its_free_ports():
    raw_settings = RAW_SETTINGS | {
        "internal_ports": [7700, 7715],
        "limits": {"cpu_share": 0.7, "cpu_cores": 3},
    }
    settings = parse_boot_settings(raw_settings, 0).unwrap().settings
    assert settings.peer_address == f"{settings.ip}:7715"
    assert round(settings.cores, 3) == 2.1 and settings.link_mbps == 1_000.0
    assert parse_boot_settings(RAW_SETTINGS, 0).unwrap().settings.peer_address == ""
    for invalid_ports in ([7700], "7700", [7700, 0], [7700, "x"], [True, 7715]):
        mistakes = parse_boot_settings(RAW_SETTINGS | {"internal_ports": invalid_ports}, 0).unwrap_err()
        assert [mistake.path for mistake in mistakes] == ["$.internal_ports"]


def test_every_mistake_in_the_settings_is_named_at_once():
    raw_settings = {
        "node_name": "",
        "listen": {"front": "nowhere"},
        "bounds": {"grace_s": "long", "strict_revoke": 1},
    }
    mistakes = {mistake.path for mistake in parse_boot_settings(raw_settings, 0).err_value}
    assert mistakes == {
        "$.node_name",
        "$.ip",
        "$.zone",
        "$.listen.front",
        "$.listen.readiness",
        "$.bounds.grace_s",
        "$.bounds.strict_revoke",
        "$.platform.address",
    }


def test_the_program_refuses_wrong_settings_with_status_3(tmp_path):
    import io

    file = tmp_path / "local.toml"
    for text in ("not = [toml", 'node_name = "x"'):
        file.write_text(text)
        env = Environment(io.StringIO(), io.StringIO(), io.StringIO(), {"STAIRQUAY_BOOT": str(file)})
        assert main(["box"], env) == ExitStatus.BAD_SETTINGS == 3
        assert str(file) in env.stderr.getvalue()


def row(key: str, value: object, ver: int = 7) -> WireRow:
    text = value if isinstance(value, str) else json.dumps(value)
    return WireRow("op", "", key, b64encode(text.encode()).decode(), ver)


def test_a_configuration_becomes_a_catalog():
    catalog = decode_catalog(json.dumps(configuration(3, [])))
    route = catalog.route_for("svc.example", "/again/x")
    assert route.resumable and route.streamed and not route.repeatable and route.retryable
    assert catalog.workspaces_by_key["key-two"].isolated
    assert catalog.services_by_id["llm"].engine.models == ("m",) and catalog.keys_required


def test_homes_that_are_not_honoured_are_told():
    config = configuration(3, [])
    assert decode_catalog(json.dumps(config)).region_restricted == ()
    config["routes"][0]["allowed_regions"] = ["north"]
    config["tenants"][1]["allowed_regions"] = ["south"]
    assert decode_catalog(json.dumps(config)).region_restricted == ("plain", "w2")


def test_unreadable_rows_are_told_and_the_others_taken():
    rows = WireRows([row("config", "{"), row("version/m", {"model": "m", "version": 4})], False, 9)
    changes = operator_changes(rows, whole=False)
    assert changes.catalog is None and changes.unreadable.startswith("config")
    assert changes.versions_by_model == {"m": 4} and changes.revision == 9


def test_entries_of_the_list_are_read_one_by_one():
    good = row("i-1", {"service": "s", "address": "10.0.0.1:1", "state": "draining", "sequence": 4})
    gone = WireRow("servers", "", "i-3", None, 8, True)
    changes = endpoint_changes(WireRows([good, row("i-2", {"service": 7}), gone], False, 8), whole=False)
    assert [(item.id, item.leaving) for item in changes.present] == [("i-1", True)]
    assert changes.gone == ("i-2", "i-3") and changes.unreadable.keys() == {"i-2"}


WIRE_NAMES = re.compile(
    r"rows-(tx|get|feed)|Kv-[A-Z]|Cache-Salt|Target-Instance|Not-Executed|Prompt-Prefix|Token-Usage"
    r"|Deadline-Ms|Response-Signature|Expect-Version|fencing_token|boot_epoch|next_page_token|kv_store_addr"
    r"|STAIRQUAY_BOOT|max_concurrency|path_prefix\"|api_keys|/-/"
)


@pytest.mark.parametrize("folder", ["core", "serving", "adapters", "entry", "router", "control"])
def test_the_platforms_names_stand_nowhere_else(folder):
    for file in (ROOT / "stairquay" / folder).rglob("*.py"):
        found = WIRE_NAMES.search(file.read_text())
        assert found is None, f"{file.name}: {found.group()}"


def test_the_adapter_decides_nothing_about_requests():
    for file in (ROOT / "stairquay" / "platform").rglob("*.py"):
        text = file.read_text()
        assert "stairquay.serving.state" not in text and "stairquay.core.placement" not in text, file.name


def test_the_deploy_file_names_programs_that_exist():
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    role = deploy["roles"]["box"]
    assert role["run"].startswith("python3 -m stairquay box") and role["serves"] == ["edge"]
    required_packages = {
        line.partition("==")[0] for line in (ROOT / "deploy" / "requirements.txt").read_text().split()
    }
    assert {"aiohttp", "msgspec", "absl-py", "cyclopts", "prometheus_client"} <= required_packages
    assert not isinstance(parse_boot_settings(RAW_SETTINGS, 7700), Err)
