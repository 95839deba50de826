"""Settings of a box: a JSON5 file that is validated completely before a program starts."""

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import json5
from result import Err, Ok, Result

from stairquay.core.decode import decode
from stairquay.core.mistake import Mistake
from stairquay.core.retention import EVICTION_ORDERS, KEEP_POLICIES
from stairquay.core.routing import POLICIES

ROUND_TIMEOUT_FACTOR = 2.0
"""Timeout of a view refresh, as a multiple of the summed timeouts of its calls. A longer refresh hangs."""


@dataclass(frozen=True)
class BoxSettings:
    """Identity of the box: `id` as in the platform's box list, and its data hall."""

    id: str
    data_hall: str = ""


@dataclass(frozen=True)
class PlatformSettings:
    """URL of the platform, and timeout of each call."""

    url: str
    timeout_s: float = 2.0


@dataclass(frozen=True)
class ViewSettings:
    """How processes refresh their view of configuration and box list.

    poll_s: seconds between refreshes; stale_s: seconds without an answer of platform or peers after which
    the box accepts no new requests; timeout_s: timeout of a call; seeds: addresses of routers to query
    before a box list is known.
    """

    poll_s: float = 1.0
    stale_s: float = 4.0
    timeout_s: float = 1.0
    seeds: tuple[str, ...] = ()


@dataclass(frozen=True)
class TlsSettings:
    """Paths of PEM files. With `authority`, peers must present a certificate issued by it."""

    certificate: str = ""
    key: str = ""
    authority: str = ""


@dataclass(frozen=True)
class EntrySettings:
    """Settings of the entry program; durations in seconds, sizes in bytes.

    listen: address for callers; metrics: address for health checks and metrics; router: address of the box's
    router.
    """

    listen: str
    metrics: str
    router: str
    reuse_port: bool = False
    tls: TlsSettings = field(default_factory=TlsSettings)
    max_header_bytes: int = 16_384
    max_head_bytes: int = 32_768
    header_timeout_s: float = 30.0
    idle_timeout_s: float = 3_600.0
    max_connections: int = 0
    memory_mb: int = 0
    body_timeout_s: float = 10.0
    connect_timeout_s: float = 0.5
    route_timeout_s: float = 0.25
    import_wait_s: float = 10.0
    first_byte_timeout_s: float = 30.0
    stall_timeout_s: float = 15.0
    claim_timeout_s: float = 2.0
    claim_batch: int = 10
    max_queue_s: float = 2.0
    max_answer_bytes: int = 16_000_000
    max_attempts: int = 3
    lame_duck_s: float = 2.0
    drain_s: float = 300.0


@dataclass(frozen=True)
class KeepSettings:
    """Retention and eviction in store boxes, and the share of a link that exports may use."""

    policy: str = "expected-saving"
    eviction: str = "expected-saving"
    export_link_share: float = 0.6
    export_delay_s: float = 0.5
    grace_s: float = 30.0


@dataclass(frozen=True)
class RouterSettings:
    """Settings of the router program; durations in seconds.

    listen: address for gRPC; metrics: address for health checks and metrics.
    """

    listen: str
    metrics: str
    policy: str = "predicted"
    poll_s: float = 0.25
    endpoint_timeout_s: float = 1.0
    import_timeout_s: float = 10.0
    lame_duck_s: float = 2.0
    keep: KeepSettings = field(default_factory=KeepSettings)


@dataclass(frozen=True)
class ControlSettings:
    """Settings of the control program; durations in seconds.

    listen: address for operators; metrics: address for health checks and metrics; router: address of the
    box's router; operator_key_hashes: SHA-256 of operators' keys, in hex.
    """

    listen: str
    metrics: str
    router: str
    operator_key_hashes: tuple[str, ...] = ()
    tls: TlsSettings = field(default_factory=TlsSettings)
    lease_s: float = 10.0
    reconcile_s: float = 1.0
    order_timeout_s: float = 2.0
    order_validity_s: float = 5.0
    claim_retention_s: float = 86_400.0
    plan_retention_s: float = 86_400.0
    upkeep_s: float = 5.0


@dataclass(frozen=True)
class Settings:
    """All settings of a box. A program without a section refuses to start."""

    box: BoxSettings
    platform: PlatformSettings
    view: ViewSettings = field(default_factory=ViewSettings)
    internal_tls: TlsSettings = field(default_factory=TlsSettings)
    entry: EntrySettings | None = None
    router: RouterSettings | None = None
    control: ControlSettings | None = None

    @property
    def round_timeout_s(self) -> float:
        """Timeout of a view refresh, which queries the own router, other routers and the platform in turn."""
        return ROUND_TIMEOUT_FACTOR * (2 * self.view.timeout_s + self.platform.timeout_s)


@dataclass(frozen=True)
class FileMistake:
    """A validation error with the name of its file."""

    file: str
    mistake: Mistake

    def __str__(self) -> str:
        return f"{self.file}: {self.mistake}"


@dataclass(frozen=True)
class Check:
    """A validation rule beyond types: the path of its key, what is expected, and the predicate."""

    path: str
    expected: str
    holds: Callable[[Settings], bool]


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit() and int(port) < 65_536


CHECKS = (
    Check("$.box.id", "expected a name", lambda s: bool(s.box.id)),
    Check("$.platform.url", "expected http:// or https://", lambda s: s.platform.url.startswith("http")),
    Check("$.platform.timeout_s", "must be above 0", lambda s: s.platform.timeout_s > 0),
    Check("$.view.poll_s", "must be above 0 and below stale_s", lambda s: 0 < s.view.poll_s < s.view.stale_s),
    Check("$.view.seeds", "expected IP:port", lambda s: all(map(_is_address, s.view.seeds))),
    Check(
        "$.internal_tls",
        "needs certificate, key and authority, or none",
        lambda s: _all_or_none(s.internal_tls),
    ),
    Check("$.entry.listen", "expected IP:port", lambda s: not s.entry or _is_address(s.entry.listen)),
    Check("$.entry.metrics", "expected IP:port", lambda s: not s.entry or _is_address(s.entry.metrics)),
    Check("$.entry.router", "expected IP:port", lambda s: not s.entry or _is_address(s.entry.router)),
    Check("$.entry.max_attempts", "must be at least 1", lambda s: not s.entry or s.entry.max_attempts >= 1),
    Check("$.entry.claim_batch", "must be at least 1", lambda s: not s.entry or s.entry.claim_batch >= 1),
    Check("$.router.listen", "expected IP:port", lambda s: not s.router or _is_address(s.router.listen)),
    Check("$.router.metrics", "expected IP:port", lambda s: not s.router or _is_address(s.router.metrics)),
    Check(
        "$.router.policy",
        f"expected one of {', '.join(POLICIES)}",
        lambda s: not s.router or s.router.policy in POLICIES,
    ),
    Check(
        "$.router.keep.policy",
        f"expected one of {', '.join(KEEP_POLICIES)}",
        lambda s: not s.router or s.router.keep.policy in KEEP_POLICIES,
    ),
    Check(
        "$.router.keep.eviction",
        f"expected one of {', '.join(EVICTION_ORDERS)}",
        lambda s: not s.router or s.router.keep.eviction in EVICTION_ORDERS,
    ),
    Check(
        "$.router.keep.export_link_share",
        "must lie between 0 and 1",
        lambda s: not s.router or 0 <= s.router.keep.export_link_share <= 1,
    ),
    Check(
        "$.router.keep.grace_s",
        "must be longer than router.import_timeout_s",
        lambda s: not s.router or s.router.keep.grace_s > s.router.import_timeout_s,
    ),
    Check("$.control.listen", "expected IP:port", lambda s: not s.control or _is_address(s.control.listen)),
    Check("$.control.metrics", "expected IP:port", lambda s: not s.control or _is_address(s.control.metrics)),
    Check("$.control.router", "expected IP:port", lambda s: not s.control or _is_address(s.control.router)),
    Check(
        "$.control.operator_key_hashes",
        "expected SHA-256 in hex (64 digits); `stairquay key` makes one",
        lambda s: not s.control or all(len(item) == 64 for item in s.control.operator_key_hashes),
    ),
    Check(
        "$.control.order_validity_s",
        "must be shorter than lease_s",
        lambda s: not s.control or s.control.order_validity_s < s.control.lease_s,
    ),
)


def _all_or_none(tls: TlsSettings) -> bool:
    parts = [tls.certificate, tls.key, tls.authority]
    return all(parts) or not any(parts)


def load_settings(path: Path) -> Result[Settings, list[FileMistake]]:
    """Read settings from a file; return them or all validation errors."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Err([FileMistake(str(path), Mistake("$", f"cannot be read: {error}"))])
    try:
        value = json5.loads(text)
    except ValueError as error:
        return Err([FileMistake(str(path), Mistake("$", f"is not JSON with comments: {error}"))])
    outcome = parse_settings(value)
    return outcome.map_err(lambda found: [FileMistake(str(path), mistake) for mistake in found])


def parse_settings(value: object) -> Result[Settings, list[Mistake]]:
    """Decode settings from JSON types; return them or all validation errors."""
    decoded = decode(value, Settings)
    if isinstance(decoded, Err):
        return decoded
    settings = decoded.ok_value
    mistakes = [Mistake(check.path, check.expected) for check in CHECKS if not check.holds(settings)]
    if mistakes:
        return Err(mistakes)
    return Ok(settings)
