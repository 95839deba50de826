"""Chooses the endpoint of a request by load, health and cached context."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from math import ceil
from random import Random

from stairquay.adapters.clock import monotonic
from stairquay.core.call import PromptShape
from stairquay.core.catalog import Catalog, EngineSpec, ServiceSpec, WorkspacePolicy
from stairquay.core.fleet import Endpoint
from stairquay.core.ownership import rank_owners
from stairquay.core.placement import EngineView, Placement, Source, backlog_s, pick_quickest, rank_placements
from stairquay.core.scope import Scope
from stairquay.serving.engine_views import best_sources, engine_view, usable_sources
from stairquay.serving.evacuation import takes_work
from stairquay.serving.pacing import wait_s
from stairquay.serving.state import BoxState

CONNECTION_SHARE = 0.85
"""Share of an endpoint's connection limit that all boxes use together."""

FETCH_TIMEOUT_S = 2.0
"""Seconds after which a fetch of cached context is abandoned, or not started."""

PREFERRED_SHARE = 0.25
"""Share of a router's engines that a box prefers, to reuse connections before they are closed as idle."""

RANDOM_CANDIDATES = 2
"""Engines drawn at random by a box without a router (power of two choices)."""

OUTDATED_AFTER_S = 1.0
"""Seconds after which an engine on a replaced version counts as outdated."""


@dataclass(frozen=True)
class Choice:
    """The endpoint chosen for a request; placement is None for plain services.

    alternative_s: predicted time to first token of the second best. backlog_s: shortest wait at any
    candidate. fetch_until_ms: by the endpoints' clock. save_to: the store box address for each part of the
    prompt. router: id of the router that decided, empty if the box chose by itself. ticket: as in
    PlaceRequest. again_s, decided: as in PlaceReply.
    """

    endpoint: Endpoint
    version: int | None = None
    scope: str = ""
    placement: Placement | None = None
    alternative_s: float | None = None
    backlog_s: float = 0.0
    fetch_until_ms: int | None = None
    save_to: tuple[str, ...] = ()
    router: str = ""
    ticket: str = ""
    again_s: float = 0.0
    decided: bool = False


@dataclass(frozen=True)
class ChoiceRequest:
    """A request that needs an endpoint; prompt is None for plain services.

    tried: ids of endpoints that it was sent to. sender: the box that will send it, empty for this one.
    backoffs_s: by endpoint id, the seconds of back-off left for the sender. has_room: tells whether an engine
    has a free slot and enough memory; engines that have go before all others.
    """

    service: ServiceSpec
    prompt: PromptShape | None = None
    workspace: WorkspacePolicy | None = None
    tried: frozenset[str] = frozenset()
    sender: str = ""
    backoffs_s: Mapping[str, float] = field(default_factory=dict)
    has_room: Callable[[str], bool] | None = None


def choose_endpoint(
    state: BoxState, catalog: Catalog, request: ChoiceRequest, random: Random
) -> Choice | None:
    """Return the best endpoint, or None if no endpoint can be used."""
    now = monotonic()
    candidates = _candidates(state, request, now, random)
    prompt, engine = request.prompt, request.service.engine
    if prompt is not None:
        model = prompt.model
        candidates = [
            item for item in candidates if not state.version_too_old(model, state.version_of(item, model))
        ]
    if not candidates:
        return None
    if prompt is None or engine is None:
        return Choice(_least_busy(state, candidates, now, random))
    candidates = _routed_or_sampled(state, candidates, random)
    placements = _placements(state, catalog, request, prompt, engine, candidates, now)
    if request.has_room is not None:
        placements = _with_room_first(placements, request.has_room)
    return _best_choice(state, request, prompt, placements, random, now) if placements else None


def context_scope(workspace: WorkspacePolicy | None, model: str, version: int) -> str:
    """Return the cache scope of a model version, which is per workspace if that is isolated."""
    isolated_workspace = workspace.id if workspace is not None and workspace.isolated else ""
    return Scope(isolated_workspace, model, version).name


def _candidates(state: BoxState, request: ChoiceRequest, now: float, random: Random) -> list[Endpoint]:
    """Return usable endpoints: neither busy nor silent ones if there are any, else those not busy, else all.

    Never returns ones that were tried, back off, are being evacuated, or are at a connection or rate limit.
    """
    service, tried = request.service, request.tried
    max_connections = service.max_connections * CONNECTION_SHARE

    def has_connection(item: Endpoint) -> bool:
        # A router counts the requests of all boxes at its engines, any other box only its own.
        boxes = 1 if item.id in state.routed_engines else max(1, len(state.boxes))
        return state.endpoint_state(item).in_flight < max(2, int(max_connections / boxes))

    accepting = [item for item in state.fleet.usable(service.id, now) if takes_work(state, item)]
    available = [item for item in accepting if item.id not in request.backoffs_s]
    usable = [item for item in available if has_connection(item) and wait_s(state, item, now, random) <= 0]
    untried = [item for item in usable if item.id not in tried]
    if tried and not untried:
        return []
    not_busy = [
        item
        for item in untried
        if state.endpoint_state(item).refused_until <= now and not _is_busy(state, item)
    ]
    reporting = [item for item in not_busy if not state.endpoint_state(item).silent(now)]
    return reporting or not_busy or untried


def _routed_or_sampled(state: BoxState, candidates: list[Endpoint], random: Random) -> list[Endpoint]:
    """Return the engines that this box routes for, or if there are none, a random sample.

    By an outdated view, all boxes would choose the same best engine.
    """
    own = [item for item in candidates if item.id in state.routed_engines]
    return own or random.sample(candidates, min(RANDOM_CANDIDATES, len(candidates)))


def _preferred_engines(sender: str, candidates: Sequence[Endpoint]) -> frozenset[str]:
    """Return the engines that a box prefers, by rendezvous hashing."""
    count = ceil(len(candidates) * PREFERRED_SHARE)
    return frozenset(rank_owners(sender.encode(), [item.id for item in candidates], count))


def _is_busy(state: BoxState, endpoint: Endpoint) -> bool:
    report = state.endpoint_state(endpoint).report
    return report is not None and report.busy


def _least_busy(state: BoxState, candidates: Sequence[Endpoint], now: float, random: Random) -> Endpoint:
    def cost(endpoint: Endpoint) -> tuple[float, bool, float]:
        load = state.endpoint_state(endpoint)
        waits = (load.in_flight + 1) * load.response_time_s + load.current_failure_rate(now)
        return round(waits, 3), endpoint.data_hall != state.settings.data_hall, random.random()

    return min(candidates, key=cost)


def _placements(
    state: BoxState,
    catalog: Catalog,
    request: ChoiceRequest,
    prompt: PromptShape,
    engine: EngineSpec,
    candidates: Sequence[Endpoint],
    now: float,
) -> list[Placement]:
    """Return placements on candidates that can start before their version is too old, the best first."""
    model = prompt.model
    preferred = _preferred_engines(request.sender, candidates) if request.sender else None
    versions = {item.address: state.version_of(item, model) for item in candidates}
    scopes = {key: context_scope(request.workspace, model, version) for key, version in versions.items()}

    def view_of(item: Endpoint) -> EngineView:
        outdated = state.replaced_for_s(model, versions[item.address]) > OUTDATED_AFTER_S
        return engine_view(state, item, prompt, scopes[item.address], engine.slots, outdated, preferred, now)

    views = [view_of(item) for item in candidates]
    usable = usable_sources(state, catalog, engine, now)

    best_by_part: dict[tuple[int, str], list[Source]] = {}

    def source_of(index: int, address: str) -> Source | None:
        scope = scopes[address]
        best = best_by_part.get((index, scope))
        if best is None:
            best = best_by_part[index, scope] = best_sources(state, usable, scope, prompt.parts[index])
        return next((source for source in best if source.address != address), None)

    found = rank_placements(prompt.parts, prompt.tokens, views, source_of, engine.bytes_per_token)
    return [
        item
        for item in found
        if not state.version_too_old(model, versions[item.engine.address], item.first_token_s)
    ]


def _with_room_first(placements: list[Placement], has_room: Callable[[str], bool]) -> list[Placement]:
    """Return the placements from the quickest with room on, or all if none has room.

    Few engines are asked for their room, since the quickest ones usually have it.
    """
    first = next((n for n, item in enumerate(placements) if has_room(item.engine.id)), None)
    if first is None:
        return placements
    quickest = placements[first].first_token_s
    return [item for item in placements[first:] if item.first_token_s > quickest or has_room(item.engine.id)]


def _best_choice(
    state: BoxState,
    request: ChoiceRequest,
    prompt: PromptShape,
    placements: Sequence[Placement],
    random: Random,
    now: float,
) -> Choice:
    best = pick_quickest(placements, random)
    endpoint = state.fleet.by_id[best.engine.id]
    version = state.version_of(endpoint, prompt.model)
    return Choice(
        endpoint=endpoint,
        version=version or None,
        scope=context_scope(request.workspace, prompt.model, version),
        placement=best,
        backlog_s=min(backlog_s(item.engine) for item in placements),
        alternative_s=placements[1].first_token_s if len(placements) > 1 else None,
        fetch_until_ms=_fetch_until_ms(state, now),
    )


def _fetch_until_ms(state: BoxState, now: float) -> int | None:
    if state.clock_offset_ms is None:
        return None
    return int(now * 1000 + state.clock_offset_ms + FETCH_TIMEOUT_S * 1000)
