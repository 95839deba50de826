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
    """Settings of one box. Addresses are `IP:port`; `_s` fields are seconds.

    front: listen address for callers. readiness: listen address for the load balancer's checks. metrics_port:
    0 for none. peer_address: address for other boxes, empty if they cannot reach this one. stop_s: time from
    the stop signal until the process is killed. memory_mb: 0 for no limit.

    Deadlines: apply_s for applying a written configuration; evacuate_s and drain_s for sending no new work to
    an evacuated data hall and to a leaving endpoint; versions_within_s for rolling out a version of weights.
    """

    id: str
    ip: str
    data_hall: str
    front: str
    readiness: str
    metrics_port: int = 0
    peer_address: str = ""
    cores: float = 1.0
    link_mbps: float = 1_000.0
    stop_s: float = 8.0
    drain_s: float = 2.0
    apply_s: float = 2.0
    evacuate_s: float = 5.0
    versions_within_s: float = 12.0
    memory_mb: int = 0
    max_descriptors: int = 1024
    freshness: FreshnessSettings = field(default_factory=FreshnessSettings)
    lease: LeaseSettings = field(default_factory=LeaseSettings)
    repeats: RetryAllowance = field(default_factory=RetryAllowance)
