"""Soft state of a router, and the routing candidates derived from it."""

from dataclasses import dataclass, field
from random import Random

from stairquay.adapters.clock import monotonic
from stairquay.adapters.follower import View
from stairquay.adapters.metrics import RouterMetrics
from stairquay.adapters.settings import RouterSettings
from stairquay.core.identity import Prompt, block_ids
from stairquay.core.load import EndpointLoad
from stairquay.core.models import Box, BoxKind, Service, ServiceKind
from stairquay.core.residency import EngineCaches, StoredBlockIndex
from stairquay.core.retention import ReturnRates, TurnCounter
from stairquay.core.routing import Candidate, StoredRun

STALE_AFTER_S = 3.0
"""Report age beyond which an endpoint is used only as a last resort, and a store box not at all."""

LINK_SPEED_EWMA_WEIGHT = 0.3
"""Weight of the newest import in the moving average of a link's speed."""

TICKET_TTL_S = 900.0
"""Time after which a run without a report is removed."""

FIRST_TICKET_BITS = 48


@dataclass
class Link:
    """Link to one store box: end of its reserved time, measured speed and number of running imports."""

    busy_until: float = 0.0
    measured_bytes_per_s: float = 0.0
    active_imports: int = 0

    def wait_s(self, now: float) -> float:
        """Return the estimated seconds until this router's imports have ended."""
        return max(0.0, self.busy_until - now)

    def bytes_per_s(self, default_bytes_per_s: float) -> float:
        """Return the measured speed, or the default before the first measurement."""
        return self.measured_bytes_per_s or default_bytes_per_s

    def start_import(self, size: int, default_bytes_per_s: float, now: float) -> None:
        """Count an import that starts, and reserve its time on the link."""
        self.active_imports += 1
        self.busy_until = max(now, self.busy_until) + size / self.bytes_per_s(default_bytes_per_s)

    def finish_import(self, size: int, duration_s: float, default_bytes_per_s: float) -> None:
        """Count an import that ended, and update the measured speed."""
        self.active_imports -= 1
        if size and duration_s > 0:
            previous = self.bytes_per_s(default_bytes_per_s)
            self.measured_bytes_per_s = previous + LINK_SPEED_EWMA_WEIGHT * (size / duration_s - previous)


@dataclass(frozen=True)
class Ticket:
    """A routed run, kept until its report: the prompt, the chosen endpoint and the block ids."""

    number: int
    service: str
    workspace: str
    prompt: Prompt
    turn: int
    endpoint: str
    version: str
    ids: tuple[str, ...]
    created_at: float


@dataclass
class RouterState:
    """State of a router; any of it may be lost or out of date."""

    box: str
    settings: RouterSettings
    view: View
    random: Random
    metrics: RouterMetrics = field(default_factory=RouterMetrics)
    engine_caches: EngineCaches = field(default_factory=EngineCaches)
    loads_by_endpoint: dict[str, EndpointLoad] = field(default_factory=dict)
    stored_blocks: StoredBlockIndex = field(default_factory=StoredBlockIndex)
    links_by_store: dict[str, Link] = field(default_factory=dict)
    catalogue_received_at_by_store: dict[str, float] = field(default_factory=dict)
    return_rates: ReturnRates = field(default_factory=ReturnRates)
    turn_counter: TurnCounter = field(default_factory=TurnCounter)
    tickets_by_number: dict[int, Ticket] = field(default_factory=dict)
    next_ticket: int = 0

    def __post_init__(self) -> None:
        # A random start, so that reports on runs from before a restart match no new ticket.
        self.next_ticket = 1 + self.random.getrandbits(FIRST_TICKET_BITS)

    def load(self, endpoint: str) -> EndpointLoad:
        """Return the load of an endpoint, idle at first."""
        return self.loads_by_endpoint.setdefault(endpoint, EndpointLoad())

    def link(self, store: str) -> Link:
        """Return the link of a store box."""
        return self.links_by_store.setdefault(store, Link())

    def engines(self) -> dict[str, Box]:
        """Return the boxes of all engines that services name, including leaving ones, by id."""
        boxes = self.view.membership.boxes.by_id
        endpoint_ids = set()
        for service in self.view.configuration.services.values():
            if service.kind == ServiceKind.ENGINE:
                endpoint_ids |= {endpoint.id for endpoint in service.endpoints}
        return {key: boxes[key] for key in endpoint_ids if key in boxes}

    def listed_stores(self) -> dict[str, Box]:
        """Return the store boxes that are live in the box list, by id."""
        boxes = self.view.membership.boxes.by_kind[BoxKind.STORE]
        return {key: box for key, box in boxes.items() if self.view.membership.usable(key) is not None}

    def live_stores(self) -> dict[str, Box]:
        """Return the listed store boxes with a recent catalogue, by id."""
        since = monotonic() - STALE_AFTER_S
        listed = self.listed_stores()
        return {
            key: box
            for key, box in listed.items()
            if self.catalogue_received_at_by_store.get(key, 0.0) >= since
        }

    def open_ticket(self, ticket: Ticket) -> None:
        """Keep a run until its report."""
        self.tickets_by_number[ticket.number] = ticket

    def expire_tickets(self, now: float) -> None:
        """Remove runs whose report is overdue, oldest first."""
        for number, ticket in list(self.tickets_by_number.items()):
            if now - ticket.created_at < TICKET_TTL_S:
                return
            del self.tickets_by_number[number]
            self.load(ticket.endpoint).on_finished()


def find_candidates(
    state: RouterState, service: Service, prompt: Prompt, excluded: frozenset[str], now: float
) -> list[Candidate]:
    """Return the endpoints that a prompt may run on.

    Those with a stale report count only if all have one, and excluded ones only if no others remain.
    """
    usable = [item.id for item in service.endpoints if state.view.membership.usable(item.id) is not None]
    reporting = [key for key in usable if now - state.load(key).received_at <= STALE_AFTER_S]
    pool = reporting or usable
    allowed = [key for key in pool if key not in excluded] or pool
    ids_by_version: dict[str, tuple[str, ...]] = {}
    live = state.live_stores()
    stores = [key for key in service.stores if key in live]
    candidates = []
    for endpoint in allowed:
        version = _reported_version(state, service, endpoint)
        if version not in ids_by_version:
            ids_by_version[version] = block_ids(prompt.chain, version)
        candidates.append(
            _make_candidate(state, service, stores, endpoint, version, ids_by_version[version], now)
        )
    return candidates


def _reported_version(state: RouterState, service: Service, endpoint: str) -> str:
    reported = state.load(endpoint).report.version
    if reported:
        return reported
    placement = state.view.configuration.placements.get(service.id)
    return placement.version if placement is not None else ""


def _make_candidate(
    state: RouterState,
    service: Service,
    stores: list[str],
    endpoint: str,
    version: str,
    ids: tuple[str, ...],
    now: float,
) -> Candidate:
    load = state.load(endpoint)
    resident_blocks = state.engine_caches.of(endpoint).prefix_length(ids)
    return Candidate(
        endpoint=endpoint,
        version=version,
        queued_tokens=load.queued_tokens(now, service.costs.prefill_tokens_s),
        running=load.running(),
        resident_blocks=resident_blocks,
        stored=_stored_runs(state, service, stores, ids, resident_blocks, now),
        loading_s=0.0 if version else service.costs.load_s,
    )


def _stored_runs(
    state: RouterState,
    service: Service,
    stores: list[str],
    ids: tuple[str, ...],
    resident_blocks: int,
    now: float,
) -> tuple[StoredRun, ...]:
    if resident_blocks == len(ids):
        return ()
    runs = []
    for store in stores:
        blocks = state.stored_blocks.contiguous_blocks(store, ids, resident_blocks)
        if blocks:
            link = state.link(store)
            bytes_per_s = link.bytes_per_s(service.costs.link_bytes_s)
            runs.append(StoredRun(store, blocks, link.wait_s(now), bytes_per_s))
    return tuple(runs)
