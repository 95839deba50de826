"""Data classes shared by all programs: configuration objects and the list of boxes."""

from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property


class ServiceKind(str, Enum):
    """Kind of a service's endpoints: inference engines, or plain HTTP servers."""

    ENGINE = "engine"
    PLAIN = "plain"


@dataclass(frozen=True)
class EndpointSpec:
    """An endpoint of a service; `checks_orders` means that it rejects outdated fencing tokens."""

    id: str
    checks_orders: bool = False


@dataclass(frozen=True)
class EngineCosts:
    """Speeds and capacities of one engine, for predictions.

    prefill_tokens_s: prompt tokens per second
    decode_step_s: seconds per output token
    kv_bytes_token: bytes of cached context per token
    link_bytes_s: bytes per second to or from a store box
    load_s: seconds to load weights
    slots: concurrent runs
    starting_slots: concurrent runs before their first token; more would bypass the fair queue
    """

    prefill_tokens_s: float = 10_000.0
    decode_step_s: float = 0.02
    kv_bytes_token: int = 140_000
    link_bytes_s: float = 3e9
    load_s: float = 1.5
    slots: int = 16
    starting_slots: int = 3


@dataclass(frozen=True)
class Service:
    """A service: engines addressed by model name, or plain endpoints by path prefix.

    stores: ids of its store boxes
    time_weight: routing cost, from 0 (recomputed tokens only) to 1 (time to first token only)
    """

    id: str
    kind: ServiceKind
    endpoints: tuple[EndpointSpec, ...] = ()
    path_prefix: str = ""
    stores: tuple[str, ...] = ()
    time_weight: float = 0.5
    max_body_bytes: int = 4_000_000
    timeout_s: float = 120.0
    costs: EngineCosts = field(default_factory=EngineCosts)


@dataclass(frozen=True)
class Workspace:
    """A customer's tenant, with its API keys and limits.

    key_hashes: SHA-256 of its keys, in hex
    weight: share in fair queueing
    rate_s: requests per second over the whole system
    services: ids of the services that it may call; empty for all
    kept_secret: secret from which the hash key of its block ids is derived
    """

    id: str
    key_hashes: tuple[str, ...] = ()
    weight: float = 1.0
    rate_s: float = 100.0
    burst: float = 200.0
    max_in_flight: int = 200
    priority: int = 0
    services: tuple[str, ...] = ()
    kept_secret: str = ""


@dataclass(frozen=True)
class ModelVersion:
    """One version of a service's weights, with its adapters."""

    service: str
    id: str
    weights: str = ""
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True)
class Placement:
    """The version that a service's endpoints should run, and how many may load it at once."""

    service: str
    version: str
    max_loading: int = 2


def allowed(workspace: Workspace, service: Service) -> bool:
    """Tell whether a workspace may use a service."""
    return not workspace.services or service.id in workspace.services


class BoxState(str, Enum):
    """A box's state in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class BoxKind(str, Enum):
    """What runs on a box."""

    STAIRQUAY = "stairquay"
    ENGINE = "engine"
    PLAIN = "plain"
    STORE = "store"


@dataclass(frozen=True)
class Box:
    """One row of the platform's list of boxes.

    addresses: `IP:port` by role (`router`, `entry`, `control`, `http`)
    incarnation: changes when the box restarts or is replaced
    """

    id: str
    kind: BoxKind
    addresses: dict[str, str]
    data_hall: str = ""
    state: BoxState = BoxState.LIVE
    incarnation: str = ""


@dataclass(frozen=True)
class BoxList:
    """The platform's list of boxes; `as_of` is its version number."""

    as_of: int = 0
    boxes: tuple[Box, ...] = ()

    @cached_property
    def by_id(self) -> dict[str, Box]:
        """Return all boxes by id."""
        return {box.id: box for box in self.boxes}

    @cached_property
    def by_kind(self) -> dict[BoxKind, dict[str, Box]]:
        """Return the boxes by kind, then by id."""
        return {kind: {box.id: box for box in self.boxes if box.kind == kind} for kind in BoxKind}
