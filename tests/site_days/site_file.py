"""Reads a site file: halls, boxes, services, kinds of request, rates and days of trouble."""

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from stairquay.core.budget import RetryAllowance

STORE_MODEL, ENGINE_MODEL = "kvstore", "llm"
BODILESS_METHOD = "GET"
DEFAULT_TROUBLE_S = 5.0
"""Seconds for which a trouble lasts whose entry does not say so."""

ALL_TROUBLE_FIELDS = ("kind", "at", "for_s")


@dataclass(frozen=True)
class SharedPart:
    """A part of a kind's prompts. things: how many different ones there are."""

    things: int
    tokens: int


@dataclass(frozen=True)
class Kind:
    """A kind of request. Times are in seconds.

    error_share: runs that fail. shared_parts: in their order, empty for a plain service.
    """

    name: str
    service: str
    method: str
    route_kind: str
    resumable: bool
    timeout_s: float
    deadline_s: float
    target_s: float
    max_attempts: int
    retries: int
    priority: int
    error_share: float = 0.0
    prompt_tokens: int = 0
    tokens_out: int = 0
    shared_parts: tuple[SharedPart, ...] = ()


@dataclass(frozen=True)
class Service:
    """A service. endpoints_by_hall: their number, of store boxes as well. kv_tokens: 0 for a plain one."""

    name: str
    model: str
    endpoints_by_hall: Mapping[str, int]
    slots: int
    max_connections: int
    kv_tokens: int = 0
    kv_token_bytes: int = 0

    @property
    def is_store(self) -> bool:
        return self.model == STORE_MODEL

    @property
    def is_engine(self) -> bool:
        return self.model == ENGINE_MODEL


@dataclass(frozen=True)
class Traffic:
    """Requests a second that callers of a hall send, by kind."""

    hall: str
    per_s_by_kind: Mapping[str, float]


@dataclass(frozen=True)
class Trouble:
    """A trouble or planned work. at: seconds from the start of traffic. fields: the rest of its entry."""

    kind: str
    at: float
    for_s: float
    fields: Mapping[str, Any] = field(default_factory=dict)

    def number(self, name: str, default: float) -> float:
        return float(self.fields.get(name, default))

    @property
    def how(self) -> frozenset[str]:
        return frozenset(str(self.fields.get("how", "")).split())


@dataclass(frozen=True)
class Day:
    name: str
    troubles: tuple[Trouble, ...]
    traffic: tuple[Traffic, ...]
    closing: str = ""


@dataclass(frozen=True)
class SiteFile:
    """A deployment. bounds: settings of its boxes. Times are in seconds."""

    boxes_by_hall: Mapping[str, int]
    services_by_name: Mapping[str, Service]
    kinds_by_name: Mapping[str, Kind]
    days_by_name: Mapping[str, Day]
    allowance: RetryAllowance
    contact_s: float
    length_s: float
    bounds: Mapping[str, float]


def read_site_file(path: Path) -> SiteFile:
    """Read a site file and its days."""
    data = tomllib.loads(path.read_text())
    thin = float(data.get("thin", 1.0))
    traffic = _traffic(data["traffic"], thin)
    bounds = data["bounds"]
    boxes_by_hall: dict[str, int] = {}
    for machines in data["machines"]:
        boxes_by_hall[machines["zone"]] = boxes_by_hall.get(machines["zone"], 0) + machines["count"]
    return SiteFile(
        boxes_by_hall,
        {item["name"]: _service(item) for item in data["services"]},
        {item["name"]: _kind(item) for item in data["classes"]},
        {item["name"]: _day(item, traffic, thin) for item in data["day"]},
        RetryAllowance(
            bounds.get("budget_ratio", 0.2), bounds["budget_slack"], bounds.get("budget_window_s", 10)
        ),
        bounds["touch_ms"] / 1000,
        data["length_s"],
        {"drain_ms": bounds["drain_ms"], "grace_s": bounds["grace_s"]},
    )


def _service(item: Mapping[str, Any]) -> Service:
    llm = item.get("llm", {})
    return Service(
        item["name"],
        item.get("model", ""),
        {servers["zone"]: servers["count"] for servers in item["servers"]},
        item.get("slots", 1),
        item["conn_cap"],
        llm.get("kv_tokens", 0),
        int(llm.get("kv_bytes", 0)),
    )


def _kind(item: Mapping[str, Any]) -> Kind:
    stream = item.get("stream", {})
    parts = tuple(SharedPart(part["things"], int(part["tokens"]["mean"])) for part in stream.get("chain", ()))
    route_kind = {"stream": "streaming", "unsafe": "non_idempotent"}.get(item["kind"], "idempotent")
    return Kind(
        item["name"],
        item["service"],
        item["method"],
        route_kind,
        stream.get("resume", False),
        item.get("timeout_ms", item["deadline_ms"]) / 1000,
        item["deadline_ms"] / 1000,
        item["aim_ms"] / 1000,
        item["attempts"],
        item["retries"],
        item["priority"],
        item.get("error_share", 0.0),
        int(stream.get("prompt_tokens", {}).get("mean", 0)),
        int(stream.get("pieces", {}).get("mean", 0)),
        parts,
    )


def _traffic(items: list[Mapping[str, Any]], thin: float) -> tuple[Traffic, ...]:
    found = []
    for item in items:
        whole = sum(item["mix"].values())
        per_s = {kind: thin * item["per_s"] * share / whole for kind, share in item["mix"].items()}
        found.append(Traffic(item["zone"], per_s))
    return tuple(found)


def _day(item: Mapping[str, Any], usual: tuple[Traffic, ...], thin: float) -> Day:
    troubles = [_trouble(entry) for entry in (*item.get("plan", ()), *item.get("faults", ()))]
    traffic = _traffic(item["traffic"], thin) if "traffic" in item else usual
    closing = item.get("closing", {}).get("kind", "")
    return Day(item["name"], tuple(sorted(troubles, key=lambda trouble: trouble.at)), traffic, closing)


def _trouble(entry: Mapping[str, Any]) -> Trouble:
    fields = {name: value for name, value in entry.items() if name not in ALL_TROUBLE_FIELDS}
    return Trouble(entry["kind"], entry["at"], entry.get("for_s", DEFAULT_TROUBLE_S), fields)
