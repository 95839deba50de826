"""The operators' configuration as an immutable catalog of routes, workspaces, services and store boxes."""

from dataclasses import dataclass, field
from functools import cached_property

import msgspec

from stairquay.core.cold import ColdLimit


class Split(msgspec.Struct, frozen=True):
    """The weight of a service among those that serve a route."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """How requests for one host and path prefix are served.

    repeatable: the request may run more than once. streamed: the answer is an event stream. resumable: a
    broken stream may continue at another endpoint. timeout_s: time limit of a request. objective_s: target
    time to the first byte. gap_s: target for the longest pause between events. priority: 0 is the highest.
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
        """Tell whether a request may be sent again when it is unknown whether it ran."""
        return self.repeatable or self.resumable


class WorkspacePolicy(msgspec.Struct, frozen=True):
    """How a workspace's requests are treated. isolated: it shares no cached context with other workspaces."""

    id: str
    isolated: bool = False
    priority: int | None = None


class EngineSpec(msgspec.Struct, frozen=True):
    """The engines of a service.

    slots: requests run concurrently. link_bytes_s: bandwidth of the link over which cached context is moved.
    max_followers: clients that may follow an engine's events.
    """

    slots: int
    memory_tokens: int
    bytes_per_token: int
    link_bytes_s: float
    models: tuple[str, ...] = ()
    max_followers: int = 8


class ServiceSpec(msgspec.Struct, frozen=True):
    """A service that requests are sent to. engine: None for plain services. cold: None where its endpoints
    take full load right after a start."""

    id: str
    max_connections: int = 100
    engine: EngineSpec | None = None
    cold: ColdLimit | None = None


class StoreSpec(msgspec.Struct, frozen=True):
    """A store box. managed: it evicts nothing by itself, so that unused parts must be freed.

    link_bytes_s: bandwidth. first_byte_s: time to the first byte of a fetch. max_followers: clients that
    may follow its events.
    """

    id: str
    address: str
    data_hall: str
    memory_tokens: int
    link_bytes_s: float
    first_byte_s: float = 0.0
    max_followers: int = 8
    managed: bool = False


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on callers' requests."""

    max_body_bytes: int = 4_194_304
    max_header_bytes: int = 32_768
    header_timeout_s: float = 30.0
    idle_timeout_s: float = 120.0


class CatalogVersion(msgspec.Struct, frozen=True, order=True):
    """Which configuration a box goes by: operators' version of it, in an era of the table service.

    Operators' versions rise, but those that a restore of the table service took back are issued again.
    """

    era: int
    version: int


@dataclass(frozen=True)
class Catalog:
    """One complete version of the configuration.

    keys_required: requests need an API key. region_restricted: names of routes and workspaces restricted
    to some regions, which is not enforced.
    """

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
        """Return the spec of a service's engines, or None for plain and unknown services."""
        shape = self.services_by_id.get(service)
        return None if shape is None else shape.engine

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix that matches the path."""
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
        """Tell whether no route of the service has a lower priority than this one."""
        return route.priority >= self._lowest_priority_by_service.get(service, 0)

    def needs_key(self, route: Route) -> bool:
        """Tell whether requests on a route must carry an API key."""
        return self.keys_required and not route.public


ROUTE_PRIORITIES = 3
"""Number of route priorities distinguished within one workspace priority. Engines know ten priorities in
all."""

HIGHEST_PRIORITY, LOWEST_PRIORITY = 0, 9
"""Of the ten priorities that engines know."""


def engine_priority(route: Route, workspace: WorkspacePolicy | None) -> int:
    """Return the priority of a request at engines, 0 for the highest.

    Workspace priority takes precedence over route priority.
    """
    if workspace is None or workspace.priority is None:
        return min(LOWEST_PRIORITY, route.priority)
    return min(
        LOWEST_PRIORITY, workspace.priority * ROUTE_PRIORITIES + min(route.priority, ROUTE_PRIORITIES - 1)
    )


def pick_service(route: Route, draw: float) -> str:
    """Return the service for a random number in [0, 1), by the route's weights."""
    total = sum(split.weight for split in route.splits)
    remaining = draw * total
    for split in route.splits:
        remaining -= split.weight
        if remaining < 0:
            return split.service
    return route.splits[-1].service
