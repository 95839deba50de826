"""Decodes what operators and endpoints write to the table service.

A malformed row of operators changes nothing, and an endpoint with a malformed entry counts as removed.
"""

from functools import lru_cache
from ipaddress import AddressValueError, IPv4Address

import msgspec
from result import Err, Ok, Result

from stairquay.core.addresses import is_port
from stairquay.core.catalog import (
    CallerLimits,
    Catalog,
    EngineSpec,
    Route,
    ServiceSpec,
    Split,
    StoreSpec,
    WorkspacePolicy,
)
from stairquay.core.cold import ColdLimit
from stairquay.core.fleet import Endpoint
from stairquay.core.malformed import MALFORMED
from stairquay.core.position import Position
from stairquay.core.whole_numbers import WholeNumber
from stairquay.platform.names import (
    CONFIG_KEY,
    ENDPOINT_TABLE,
    EVACUATION_PREFIX,
    KIND_REPEATABLE,
    KIND_STREAM,
    OPERATOR_TABLE,
    STATE_DRAINING,
    STATE_READY,
    VERSION_PREFIX,
)
from stairquay.platform.rows import TableClient, WireRow, WireRows
from stairquay.platform.weights import WireModel, versions_by_model
from stairquay.serving.ports import EndpointChanges, FeedFault, OperatorChanges

BYTES_PER_MEGABIT = 125_000.0

MAX_COLD_S = 60.0
"""Maximum seconds for which an entry may declare its endpoint cold. Starts take seconds."""

MAX_NAME_CHARS = 200
"""Maximum length of names in an entry; those of models and data halls are parts of keys, which are no longer.
All boxes keep the entries and tell each other of them."""

MAX_ERROR_CHARS = 200
"""Maximum length of what is told of a malformed entry, which may hold the entry's own text."""

CHECKED_ADDRESSES = 1_024
"""Valid addresses that are remembered, since endpoints write their entries again and again."""

DECODE_ERRORS = (*MALFORMED, ValueError)
"""Exceptions raised on decoding a malformed row."""


class WireSplit(msgspec.Struct):
    """A service that gets a share of a route's requests."""

    service: str
    weight: float = 1.0


class WireRoute(msgspec.Struct):
    """A route. kind: whether it is repeatable or streamed. public: no key needed."""

    name: str
    host: str
    path_prefix: str
    kind: str = ""
    timeout_ms: float = 30_000.0
    target_latency_ms: float = 1_000.0
    gap_aim_ms: float = 0.0
    priority: WholeNumber = 5
    service: str = ""
    traffic_split: list[WireSplit] = []
    max_attempts: WholeNumber = 1
    public: bool = False
    resumable: bool = False
    allowed_regions: list[str] | None = None


class WireEngine(msgspec.Struct):
    """The engines of a service. max_concurrency: clients that may follow an engine's events."""

    slots: WholeNumber = 1
    kv_capacity_tokens: WholeNumber = 0
    kv_token_bytes: float = 0.0
    link_mbps: float = 1_000.0
    max_concurrency: WholeNumber = 8
    models: list[WireModel] = []


class WireService(msgspec.Struct):
    """A service, or a store box if kv_store_addr is set.

    cold_start_s: seconds for which endpoints are cold after a start. cold_per_s: rate limit of cold ones in
    requests per second, 0 for none.
    """

    name: str
    max_connections: WholeNumber = 100
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    engine: WireEngine | None = None
    kv_store_addr: str = ""
    zone: str = ""
    kv_capacity_tokens: WholeNumber = 0
    link_mbps: float = 1_000.0
    first_ms: float = 0.0
    max_concurrency: WholeNumber = 8
    managed: bool = False


class WireWorkspace(msgspec.Struct):
    """A workspace. isolated: it shares no cached context with others."""

    name: str
    api_keys: list[str] = []
    priority: WholeNumber | None = None
    isolated: bool = False
    allowed_regions: list[str] | None = None


class WireLimits(msgspec.Struct):
    """Limits on callers' requests."""

    max_body_bytes: WholeNumber = 4_194_304
    max_header_bytes: WholeNumber = 32_768
    header_timeout_ms: WholeNumber = 30_000
    idle_timeout_ms: WholeNumber = 120_000


class WireConfig(msgspec.Struct):
    """The whole configuration. If `tenants` is None, no request needs a key."""

    version: WholeNumber
    routes: list[WireRoute] = []
    services: list[WireService] = []
    tenants: list[WireWorkspace] | None = None
    limits: WireLimits = msgspec.field(default_factory=WireLimits)


class WireVersion(msgspec.Struct):
    """The target version of a model's weights."""

    model: str
    version: WholeNumber


class WireEndpoint(msgspec.Struct):
    """An endpoint's entry in the list, under its id.

    born: start in Unix milliseconds. sequence: rises with each entry of one incarnation.
    """

    service: str
    address: str
    state: str
    zone: str = ""
    slots: WholeNumber = 1
    cold_remaining_ms: float = 0.0
    sequence: WholeNumber = 0
    born: WholeNumber = 0
    models: list[WireModel] = []
    version: str | WholeNumber | float | None = None


class Feeds:
    """Reads and follows operators' rows and the list of endpoints."""

    def __init__(self, client: TableClient) -> None:
        self.client = client

    async def read_operators(self) -> Result[OperatorChanges, FeedFault]:
        """Read the configuration, target versions and evacuations."""
        found = await self.client.rows(OPERATOR_TABLE)
        if isinstance(found, Err):
            return Err(FeedFault.UNREACHED)
        return Ok(operator_changes(found.ok_value, whole=True))

    async def follow_operators(self, after: Position, wait_s: float) -> Result[OperatorChanges, FeedFault]:
        """Long-poll for changes after a position."""
        found = await self.client.feed(OPERATOR_TABLE, after, wait_s)
        return found.map(lambda rows: operator_changes(rows, whole=False))

    async def read_endpoints(self) -> Result[EndpointChanges, FeedFault]:
        """Read the list of endpoints."""
        found = await self.client.rows(ENDPOINT_TABLE)
        if isinstance(found, Err):
            return Err(FeedFault.UNREACHED)
        return Ok(endpoint_changes(found.ok_value, whole=True))

    async def follow_endpoints(self, after: Position, wait_s: float) -> Result[EndpointChanges, FeedFault]:
        """Long-poll for changes of the list after a position."""
        found = await self.client.feed(ENDPOINT_TABLE, after, wait_s)
        return found.map(lambda rows: endpoint_changes(rows, whole=False))


def operator_changes(rows: WireRows, whole: bool) -> OperatorChanges:
    """Decode operators' rows; malformed ones change nothing, and the last of them is reported.

    An evacuation takes effect whatever the value of its row. whole: rows holds the complete table.
    """
    catalog: Catalog | None = None
    unreadable = ""
    versions: dict[str, int] = {}
    halls_by_removed: dict[bool, list[str]] = {True: [], False: []}
    for row in rows.rows:
        if row.key.startswith(EVACUATION_PREFIX):
            halls_by_removed[row.gone].append(row.key.removeprefix(EVACUATION_PREFIX))
            continue
        try:
            text = row.text()
            if text is None:
                continue
            if row.key == CONFIG_KEY:
                catalog = decode_catalog(text)
            elif row.key.startswith(VERSION_PREFIX):
                target = msgspec.json.decode(text, type=WireVersion)
                versions[target.model] = target.version
        except DECODE_ERRORS as error:
            unreadable = f"{row.key}: {error}"
    return OperatorChanges(
        rows.ver,
        whole,
        catalog,
        unreadable,
        versions,
        evacuated=tuple(halls_by_removed[False]),
        returned=tuple(halls_by_removed[True]),
        era=rows.era,
    )


def endpoint_changes(rows: WireRows, whole: bool) -> EndpointChanges:
    """Decode entries of the list; an endpoint whose entry is malformed counts as removed."""
    present = []
    gone = []
    unreadable: dict[str, str] = {}
    for row in rows.rows:
        try:
            text = row.text()
            if text is None:
                gone.append(row.key)
            else:
                present.append(_decode_endpoint(row, text))
        except DECODE_ERRORS as error:
            unreadable[row.key] = str(error)[:MAX_ERROR_CHARS]
            gone.append(row.key)
    return EndpointChanges(rows.ver, whole, tuple(present), tuple(gone), unreadable=unreadable, era=rows.era)


def _decode_endpoint(row: WireRow, text: str) -> Endpoint:
    """Decode an entry; raises one of DECODE_ERRORS if it is malformed."""
    entry = msgspec.json.decode(text, type=WireEndpoint)
    if entry.state not in (STATE_READY, STATE_DRAINING):
        raise ValueError(f"unknown state {entry.state!r}")
    if entry.born < 0 or entry.sequence < 0 or entry.slots < 1:
        raise ValueError(
            f"expected born, sequence >= 0 and slots >= 1, not {entry.born}, {entry.sequence}, {entry.slots}"
        )
    _check_address(entry.address)
    software = "" if entry.version is None else str(entry.version)
    _check_names(entry.service, entry.zone, software, *(model.name for model in entry.models))
    cold_s = min(MAX_COLD_S, max(0.0, entry.cold_remaining_ms / 1000))
    return Endpoint(
        id=row.key,
        service=entry.service,
        address=entry.address,
        data_hall=entry.zone,
        slots=entry.slots,
        leaving=entry.state == STATE_DRAINING,
        versions_by_model=versions_by_model(entry.models),
        born=entry.born,
        sequence=entry.sequence,
        cold=cold_s > 0,
        cold_s=cold_s,
        software=software,
    )


def _check_names(*names: str) -> None:
    """Raise ValueError if a name is too long."""
    longest = max(names, key=len)
    if len(longest) > MAX_NAME_CHARS:
        raise ValueError(f"expected names of up to {MAX_NAME_CHARS} characters, not {len(longest)}")


@lru_cache(maxsize=CHECKED_ADDRESSES)
def _check_address(address: str) -> None:
    """Raise ValueError if an address is not IP:port."""
    host, _, port = address.rpartition(":")
    try:
        IPv4Address(host)
    except AddressValueError as error:
        raise ValueError(f"expected an address as IP:port, not {address!r}") from error
    if not is_port(port):
        raise ValueError(f"expected an address as IP:port, not {address!r}")


def decode_catalog(text: str) -> Catalog:
    """Decode the configuration; raises msgspec.MsgspecError if it is malformed."""
    config = msgspec.json.decode(text, type=WireConfig)
    workspaces = config.tenants or []
    return Catalog(
        version=config.version,
        routes=tuple(_decode_route(route) for route in config.routes),
        services_by_id={
            item.name: _decode_service(item) for item in config.services if not item.kv_store_addr
        },
        stores_by_id={item.name: _decode_store(item) for item in config.services if item.kv_store_addr},
        workspaces_by_key={
            key: WorkspacePolicy(item.name, item.isolated, item.priority)
            for item in workspaces
            for key in item.api_keys
        },
        keys_required=config.tenants is not None,
        region_restricted=_region_restricted_names(config.routes, workspaces),
        limits=_decode_limits(config.limits),
    )


def _decode_limits(limits: WireLimits) -> CallerLimits:
    return CallerLimits(
        max_body_bytes=limits.max_body_bytes,
        max_header_bytes=limits.max_header_bytes,
        header_timeout_s=limits.header_timeout_ms / 1000,
        idle_timeout_s=limits.idle_timeout_ms / 1000,
    )


def _region_restricted_names(routes: list[WireRoute], workspaces: list[WireWorkspace]) -> tuple[str, ...]:
    """Return the names of routes and workspaces that are restricted to some regions."""
    restricted_routes = [route.name for route in routes if route.allowed_regions]
    return (*restricted_routes, *(workspace.name for workspace in workspaces if workspace.allowed_regions))


def _decode_route(route: WireRoute) -> Route:
    splits = tuple(Split(item.service, item.weight) for item in route.traffic_split)
    return Route(
        id=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        splits=splits or (Split(route.service, 1.0),),
        repeatable=route.kind == KIND_REPEATABLE,
        streamed=route.kind == KIND_STREAM,
        resumable=route.resumable,
        timeout_s=route.timeout_ms / 1000,
        objective_s=route.target_latency_ms / 1000,
        gap_s=route.gap_aim_ms / 1000,
        max_attempts=max(1, route.max_attempts),
        priority=route.priority,
        public=route.public,
    )


def _decode_service(service: WireService) -> ServiceSpec:
    engine = service.engine
    cold = ColdLimit(service.cold_per_s, service.cold_start_s) if service.cold_per_s > 0 else None
    if engine is None:
        return ServiceSpec(service.name, service.max_connections, cold=cold)
    spec = EngineSpec(
        slots=engine.slots,
        memory_tokens=engine.kv_capacity_tokens,
        bytes_per_token=int(engine.kv_token_bytes),
        link_bytes_s=engine.link_mbps * BYTES_PER_MEGABIT,
        models=tuple(model.name for model in engine.models),
        max_followers=engine.max_concurrency,
    )
    return ServiceSpec(service.name, service.max_connections, spec, cold)


def _decode_store(service: WireService) -> StoreSpec:
    return StoreSpec(
        id=service.name,
        address=service.kv_store_addr,
        data_hall=service.zone,
        memory_tokens=service.kv_capacity_tokens,
        link_bytes_s=service.link_mbps * BYTES_PER_MEGABIT,
        first_byte_s=service.first_ms / 1000,
        max_followers=service.max_concurrency,
        managed=service.managed,
    )
