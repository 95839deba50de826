"""Settings of the one-process program, whatever file they came from."""

from dataclasses import dataclass, field

from stairquay.core.budget import RetryAllowance


@dataclass(frozen=True)
class FreshnessSettings:
    """How old the view of the configuration may be; seconds.

    keyed_s: past it, requests that carry a key are refused, since the key may have been taken away.
    ready_s: past it, the box tells the balancer that it is not ready.
    """

    keyed_s: float = 4.6
    ready_s: float = 2.5


@dataclass(frozen=True)
class LeaseSettings:
    """The lease under which orders are given; seconds.

    duration_s: how long a written lease lasts; its holder uses a share of it.
    handover_s: how long a new holder waits after the old one's lease has run out, where endpoints do not
    check who gives them orders.
    """

    duration_s: float = 0.8
    handover_s: float = 3.3


@dataclass(frozen=True)
class BoxSettings:
    """One box. Addresses are `IP:port`; times are seconds.

    front: for callers. readiness: for the balancer. metrics_port: for scraping, 0 for none.
    apply_s: within this time of being written, a configuration is in force. evacuate_s: within this time an
    evacuated data hall's endpoints get no new work. drain_s: within this time a
    leaving endpoint gets no new work. versions_within_s: within this time of being named, a version of
    weights is to be everywhere. stop_s: time from the stop signal until the process is killed.
    peer_address: for other boxes of ours, empty where they cannot reach this one. cores, link_mbps: what the
    box has.
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
