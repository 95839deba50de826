"""Starts the stand-ins and programs of a deployment for a benchmark."""

from dataclasses import asdict, dataclass, field
from typing import Any

from bench.trace import SCALE, WORKSPACE_SHARES, WORKSPACES, Deployment
from tests.launcher import Cluster, hash_key


@dataclass(frozen=True)
class Variant:
    """Settings that differ from the product's defaults, and injected faults.

    Factors: rate on the trace's rate, engine_speed on the engines' prefill speed, link_speed on the
    stores' links, lag_factor on the lags of events and load reports, store_share on the stores' size,
    flood on the trace's rate for the additional requests of one large workspace.
    """

    name: str
    overrides: dict[str, Any] = field(default_factory=dict)
    event_loss: float = 0.0
    link_speed: float = 1.0
    dead_store: bool = False
    lag_factor: float = 1.0
    boxes: int = 2
    rate: float = 1.0
    engine_speed: float = 1.0
    flood: float = 0.0
    store_share: float = 1.0


def start(deployment: Deployment, variant: Variant, python: str) -> Cluster:
    """Return a running, configured deployment."""
    cluster = Cluster(python=python)
    cluster.overrides = {
        "router.poll_s": 0.1,
        "router.keep.export_delay_s": 0.05,
        "entry.max_queue_s": 2.0,
        "control.upkeep_s": 0.5,
        "router.import_timeout_s": 2.0,
        "router.keep.grace_s": 3.0,
        **variant.overrides,
    }
    cluster.start_platform(load_s=1.5 / SCALE)
    engines = [f"engine-{number}" for number in range(1, deployment.engines + 1)]
    for number, name in enumerate(engines):
        cluster.start_engine(name, deployment.halls[number % 3], **engine_parameters(deployment, variant))
    for number, name in enumerate(deployment.stores):
        rate = deployment.link_bytes_s * SCALE
        capacity = int(deployment.store_bytes * variant.store_share)
        cluster.start_store(name, deployment.halls[number], capacity=capacity, link_bytes_s=rate)
    boxes = [f"box-{number}" for number in range(1, variant.boxes + 1)]
    for name in engines + list(deployment.stores):
        cluster.until_listens(cluster.ports[name])
    cluster.add_boxes(*boxes)
    cluster.start_boxes(*boxes, roles=("router", "entry"))
    cluster.start_program("box-1", "control")
    cluster.until_ready(*boxes)
    cluster.until(lambda: cluster.is_ready("box-1", "control"), 20, "control")
    revision = cluster.apply("box-1", intents(deployment, engines))
    cluster.until_in_force("box-1", revision, 20)
    cluster.until(lambda: all_polled(cluster), 10, "engines polled")
    for name in deployment.stores:
        cluster.set_fault(name, link_factor=variant.link_speed)
    if variant.dead_store:
        cluster.processes[deployment.stores[0]].kill()
    return cluster


def all_polled(cluster: Cluster) -> bool:
    status = cluster.control("box-1", "GET", "/v1/status").json()
    return all(item["age_s"] >= 0 for item in status["endpoints"])


def engine_parameters(deployment: Deployment, variant: Variant) -> dict[str, Any]:
    return {
        "prefill_tokens_s": deployment.prefill_tokens_s * SCALE,
        "decode_step_s": deployment.decode_step_s / SCALE,
        "cache_tokens": deployment.cache_tokens,
        "event_lag_s": deployment.event_lag_s * variant.lag_factor / SCALE,
        "load_lag_s": deployment.load_lag_s * variant.lag_factor / SCALE,
        "event_loss": variant.event_loss,
    }


def intents(deployment: Deployment, engines: list[str]) -> list[dict[str, Any]]:
    costs = {
        "prefill_tokens_s": deployment.prefill_tokens_s * SCALE,
        "decode_step_s": deployment.decode_step_s / SCALE,
        "kv_bytes_token": deployment.kv_bytes_token,
        "link_bytes_s": deployment.link_bytes_s * SCALE,
        "load_s": 1.5 / SCALE,
        "slots": 16,
    }
    service = {
        "kind": "engine",
        "endpoints": [{"id": name, "checks_orders": True} for name in engines],
        "stores": list(deployment.stores),
        "time_weight": deployment.time_weight,
        "timeout_s": 60.0,
        "costs": costs,
    }
    objects = [
        {"kind": "service", "id": deployment.service, "value": service},
        {"kind": "version", "id": f"{deployment.service}/v1"},
        {"kind": "placement", "id": deployment.service, "value": {"version": "v1"}},
    ]
    for name, share in zip(WORKSPACES, WORKSPACE_SHARES, strict=True):
        value = {
            "key_hashes": [hash_key(f"key-{name}")],
            "rate_s": 5_000,
            "burst": 5_000,
            "max_in_flight": 5_000,
            "weight": 4.0 if share > 0.1 else 1.0,
        }
        objects.append({"kind": "workspace", "id": name, "value": value})
    return objects


def link_bytes(cluster: Cluster, deployment: Deployment) -> int:
    """Return the bytes that the store boxes' links have moved."""
    running = [name for name in deployment.stores if cluster.processes[name].alive()]
    return sum(cluster.audit(name)["moved"] for name in running)


def deployment_fields(deployment: Deployment) -> dict[str, Any]:
    return asdict(deployment)
