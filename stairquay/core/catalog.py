"""What operators configured, as one immutable catalog: routes, workspaces, services and store boxes."""

from dataclasses import dataclass, field
from functools import cached_property

from stairquay.core.cold import ColdLimit


@dataclass(frozen=True)
class Split:
    """A share of a route's requests that goes to one service."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """How requests for one host and path prefix are served; times are seconds.

    repeatable: the request may run more than once. streamed: the answer is a stream of events.
    resumable: a broken stream may go on at another endpoint. objective_s: time to the first byte that
    earns full value. gap_s: longest pause between events that is in time. priority: 0 is most urgent.
    """

    id: str
    host: str
    path_prefix: str
    splits: tuple[Split, ...]
    repeatable: bool = False
    streamed: bool = False
    resumable: bool = False
    timeout_s: float = 30.0
    objective_s: float = 1.0
    gap_s: float = 0.0
    max_attempts: int = 1
    priority: int = 5
    public: bool = False

    @property
    def retryable(self) -> bool:
        """Tell whether a request whose first run is in doubt may be sent once more."""
        return self.repeatable or self.resumable


@dataclass(frozen=True)
class WorkspacePolicy:
    """A workspace as routing sees it. `isolated`: it shares no kept context with any other."""

    id: str
    isolated: bool = False
    priority: int | None = None


@dataclass(frozen=True)
class EngineSpec:
    """What the engines of a service have; `link_bytes_s` is the link that moves kept context."""

    slots: int
    memory_tokens: int
    bytes_per_token: int
    link_bytes_s: float
    models: tuple[str, ...] = ()
    max_followers: int = 8


@dataclass(frozen=True)
class ServiceSpec:
    """A service that requests are sent to. `engine` is None for plain services, `cold` where its endpoints
    bear as much as ever from their start on."""

    id: str
    max_connections: int = 100
    engine: EngineSpec | None = None
    cold: ColdLimit | None = None


@dataclass(frozen=True)
class StoreSpec:
    """A store box. `managed`: it frees nothing by itself, so that we free what is not needed."""

    id: str
    address: str
    data_hall: str
    memory_tokens: int
    link_bytes_s: float
    first_byte_s: float = 0.0
    max_followers: int = 8
    managed: bool = False


@dataclass(frozen=True)
class CallerLimits:
    """Bounds on what a caller may send."""

    max_body_bytes: int = 4_194_304


@dataclass(frozen=True)
class Catalog:
    """One version of the configuration, complete. homed: routes and workspaces that are to be served in some
    regions only, which boxes do not do."""

    version: int
    routes: tuple[Route, ...] = ()
    services_by_id: dict[str, ServiceSpec] = field(default_factory=dict)
    stores_by_id: dict[str, StoreSpec] = field(default_factory=dict)
    workspaces_by_key: dict[str, WorkspacePolicy] = field(default_factory=dict, repr=False)
    keys_required: bool = False
    region_restricted: tuple[str, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)

    @cached_property
    def _routes_by_host(self) -> dict[str, tuple[Route, ...]]:
        grouped: dict[str, list[Route]] = {}
        for route in self.routes:
            grouped.setdefault(route.host, []).append(route)
        return {
            host: tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
            for host, routes in grouped.items()
        }

    def engine_of(self, service: str) -> EngineSpec | None:
        """Return the shape of a service's engines, None for plain services and unknown ones."""
        shape = self.services_by_id.get(service)
        return None if shape is None else shape.engine

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route of a host whose prefix begins the path and is longest."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    @cached_property
    def _lowest_priority_by_service(self) -> dict[str, int]:
        lowest: dict[str, int] = {}
        for route in self.routes:
            for split in route.splits:
                lowest[split.service] = max(route.priority, lowest.get(split.service, 0))
        return lowest

    def is_lowest_priority(self, route: Route, service: str) -> bool:
        """Tell whether no route of a service is less urgent than this one."""
        return route.priority >= self._lowest_priority_by_service.get(service, 0)

    def needs_key(self, route: Route) -> bool:
        """Tell whether requests on a route must carry a workspace's key."""
        return self.keys_required and not route.public


ROUTE_PRIORITIES = 3
"""Ranks of routes that are told apart within one rank of workspaces: engines know ten in all."""

LOWEST_PRIORITY = 9
"""The last of the ten ranks."""


def engine_priority(route: Route, workspace: WorkspacePolicy | None) -> int:
    """Return the rank of a request at engines, 0 for the most urgent.

    A workspace's rank goes before its routes'; routes of equally ranked workspaces keep their order.
    """
    if workspace is None or workspace.priority is None:
        return min(LOWEST_PRIORITY, route.priority)
    return min(
        LOWEST_PRIORITY, workspace.priority * ROUTE_PRIORITIES + min(route.priority, ROUTE_PRIORITIES - 1)
    )


def pick_service(route: Route, draw: float) -> str:
    """Return the service for a draw in [0, 1), by the route's weights."""
    total = sum(split.weight for split in route.splits)
    remaining = draw * total
    for split in route.splits:
        remaining -= split.weight
        if remaining < 0:
            return split.service
    return route.splits[-1].service
