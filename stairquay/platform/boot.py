"""Decodes the settings file that the platform provides on each box."""

import tomllib
from collections.abc import Mapping
from functools import lru_cache
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok, Result

from stairquay.core.budget import RetryAllowance
from stairquay.core.mistake import Mistake
from stairquay.serving.settings import BoxSettings, FreshnessSettings, LeaseSettings

KEYED_STALENESS_SHARE = 0.92
"""Age of the view at which requests with a key are refused, as a share of the time limit for key revocation.
The rest covers the time from the check to the endpoint."""

READY_STALENESS_SHARE = 0.5
"""Age of the view at which the box reports unready, as a share of the same limit. Past 0.6, it need not serve
requests."""

HANDOVER_SLACK_S = 0.3
"""Seconds added between two holders of the lease, for orders still in transit."""

DEFAULT_MAX_DESCRIPTORS = 1024


class BootSettings(msgspec.Struct, frozen=True):
    """The settings of a box, and the address of the platform's table service."""

    settings: BoxSettings
    table_address: str


def load_boot_settings(path: Path, metrics_port: int) -> Result[BootSettings, list[Mistake]]:
    """Load the settings file, or return all validation errors in it."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Err([Mistake("$", f"cannot be read: {error}")])
    return _parse_text(text, metrics_port)


@lru_cache(maxsize=1)
def _parse_text(text: str, metrics_port: int) -> Result[BootSettings, list[Mistake]]:
    """Parse the settings file's text; cached, since the unchanged file is loaded every few seconds."""
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Err([Mistake("$", f"cannot be read: {error}")])
    return parse_boot_settings(tables, metrics_port)


def parse_boot_settings(tables: Mapping[str, Any], metrics_port: int) -> Result[BootSettings, list[Mistake]]:
    """Parse the tables of the settings file; unknown fields are ignored."""
    reader = _FieldReader(tables)
    ip = reader.text("ip")
    settings = BoxSettings(
        id=f"{reader.text('node_name')}@{ip}",
        ip=ip,
        data_hall=reader.text("zone"),
        front=reader.address("listen.front"),
        readiness=reader.address("listen.readiness"),
        metrics_port=metrics_port,
        peer_address=reader.peer_address(ip),
        cores=reader.number("limits.cpu_share", 1.0) * reader.number("limits.cpu_cores", 1.0),
        link_mbps=reader.number("limits.link_mbps", 1_000.0),
        stop_s=reader.number("bounds.grace_s", 8.0),
        drain_s=reader.number("bounds.drain_ms", 2_000.0) / 1000,
        apply_s=reader.number("bounds.config_apply_ms", 2_000.0) / 1000,
        evacuate_s=reader.number("bounds.evacuate_ms", 5_000.0) / 1000,
        versions_within_s=reader.number("bounds.version_ms", 12_000.0) / 1000,
        memory_mb=int(reader.number("limits.memory_mb", 0)),
        max_descriptors=int(reader.number("limits.max_fds", DEFAULT_MAX_DESCRIPTORS)),
        freshness=_freshness(reader),
        lease=LeaseSettings(handover_s=reader.number("bounds.lease_ms", 3_000.0) / 1000 + HANDOVER_SLACK_S),
        repeats=RetryAllowance(
            ratio=reader.number("bounds.retry_budget_ratio", 0.1),
            slack=reader.number("bounds.budget_slack", 10.0),
            window_s=reader.number("bounds.budget_window_s", 10.0),
        ),
    )
    table_address = reader.address("platform.address")
    if reader.mistakes:
        return Err(reader.mistakes)
    return Ok(BootSettings(settings, table_address))


def _freshness(reader: "_FieldReader") -> FreshnessSettings:
    bound_s = reader.number("bounds.revoke_ms", 5_000.0) / 1000
    ready_s = bound_s * READY_STALENESS_SHARE
    if not reader.flag("bounds.strict_revoke", True):
        return FreshnessSettings(keyed_s=float("inf"), ready_s=ready_s)
    return FreshnessSettings(keyed_s=bound_s * KEYED_STALENESS_SHARE, ready_s=ready_s)


def _is_port(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 < value < 65_536


class _FieldReader:
    """Reads fields by dotted path and collects validation errors."""

    def __init__(self, tables: Mapping[str, Any]) -> None:
        self.tables = tables
        self.mistakes: list[Mistake] = []

    def text(self, path: str) -> str:
        value = self._find(path)
        if isinstance(value, str) and value:
            return value
        self.mistakes.append(Mistake(f"$.{path}", f"expected a non-empty string, not {value!r}"))
        return ""

    def address(self, path: str) -> str:
        value = self._find(path)
        host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
        if host and port.isdigit() and 0 < int(port) < 65_536:
            return str(value)
        self.mistakes.append(Mistake(f"$.{path}", f"expected IP:port, not {value!r}"))
        return ""

    def peer_address(self, ip: str) -> str:
        """Return the address for other boxes, at the second internal port; empty if none are given."""
        ports = self._find("internal_ports")
        if ports is None:
            return ""
        if isinstance(ports, list) and len(ports) == 2 and all(_is_port(port) for port in ports):
            return f"{ip}:{ports[1]}"
        self.mistakes.append(Mistake("$.internal_ports", f"expected two ports, not {ports!r}"))
        return ""

    def number(self, path: str, default: float) -> float:
        value = self._find(path)
        if value is None:
            return default
        if isinstance(value, int | float) and not isinstance(value, bool) and value >= 0:
            return float(value)
        self.mistakes.append(Mistake(f"$.{path}", f"expected a number of 0 or more, not {value!r}"))
        return default

    def flag(self, path: str, default: bool) -> bool:
        value = self._find(path)
        if value is None:
            return default
        if isinstance(value, bool):
            return value
        self.mistakes.append(Mistake(f"$.{path}", f"expected true or false, not {value!r}"))
        return default

    def _find(self, path: str) -> Any:
        value: Any = self.tables
        for name in path.split("."):
            if not isinstance(value, Mapping):
                return None
            value = value.get(name)
        return value
