"""Settings of a box, independent of the format of the settings file."""

from dataclasses import dataclass, field

from stairquay.core.budget import RetryAllowance


@dataclass(frozen=True)
class FreshnessSettings:
    """Limits on the age of the configuration view, in seconds.

    keyed_s: above it, requests with an API key are refused, since the key may have been revoked.
    ready_s: above it, the box reports unready to the load balancer.
    """

    keyed_s: float = 4.6
    ready_s: float = 2.5


@dataclass(frozen=True)
class LeaseSettings:
    """Settings of the lease whose holder issues orders, in seconds.

    duration_s: validity of a written lease, of which the holder uses a share.
    handover_s: wait of a new holder after a lease expires, as endpoints may not check who sends orders.
    """

    duration_s: float = 0.8
    handover_s: float = 3.3


@dataclass(frozen=True)
class BoxSettings:
    """Settings of one box. Addresses are `IP:port`; `_s` fields are seconds."""

    id: str
    ip: str
    data_hall: str
    # Listen address for callers.
    front: str
    # Listen address for the load balancer's checks.
    readiness: str
    # 0 for none.
    metrics_port: int = 0
    # Address for other boxes, empty if they cannot reach this one.
    peer_address: str = ""
    cores: float = 1.0
    link_mbps: float = 1_000.0
    # Time from the stop signal until the process is killed.
    stop_s: float = 8.0
    # Deadline for sending no new work to a leaving endpoint.
    drain_s: float = 2.0
    # Deadline for applying a written configuration.
    apply_s: float = 2.0
    # Deadline for sending no new work to an evacuated data hall.
    evacuate_s: float = 5.0
    # Deadline for rolling out a target version.
    versions_within_s: float = 12.0
    # 0 for no limit.
    memory_mb: int = 0
    max_descriptors: int = 1024
    freshness: FreshnessSettings = field(default_factory=FreshnessSettings)
    lease: LeaseSettings = field(default_factory=LeaseSettings)
    repeats: RetryAllowance = field(default_factory=RetryAllowance)
