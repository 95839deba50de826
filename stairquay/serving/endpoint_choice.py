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
from stairquay.serving.context_lifetime import endpoints_clock_ms, fetch_until
from stairquay.serving.endpoint import EndpointState
from stairquay.serving.engine_views import VersionContext, best_sources, engine_view, usable_sources
from stairquay.serving.evacuation import takes_work
from stairquay.serving.pacing import wait_s
from stairquay.serving.state import BoxState

CONNECTION_SHARE = 0.85
"""Share of an endpoint's connection limit that all boxes use together. The endpoint resets connections beyond
its limit."""

PREFERRED_SHARE = 0.25
"""Share of a router's engines that a box prefers, to reuse connections before they are closed as idle. With
19 engines and 6 prompts a second, a box uses each of these connections about once a second."""

STANDALONE_CANDIDATES = 3
"""Engines that a box without a router chooses from. With two, one that gets a hot part has over 1.6 times the
mean load."""

MAX_STANDALONE_LOAD = 1.5
"""Factor by which an engine's share of this box's requests may exceed the mean over all engines, so that a
hot part spreads."""

OUTDATED_AFTER_S = 1.0
"""Seconds after which an engine on a replaced version counts as outdated."""


HasRoom = Callable[[EngineView], bool]
"""Tells whether an engine has a free slot and enough memory for a prompt."""


@dataclass(frozen=True)
class Choice:
    """The endpoint chosen for a request; placement is None for plain services.

    alternative_s: predicted time to first token of the second best. backlog_s: shortest wait at any
    candidate. fetch_until_ms: by the endpoints' clock. save_to: the store box address for each part of the
    prompt. router: id of the router that decided, empty if the box chose by itself. ticket,
    waited_s: as in PlaceRequest. again_s, decided: as in PlaceReply.
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
    waited_s: float = 0.0
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
    has_room: HasRoom | None = None


def choose_endpoint(
    state: BoxState, catalog: Catalog, request: ChoiceRequest, random: Random
) -> Choice | None:
    """Return the best endpoint, or None if no endpoint can be used."""
    now = monotonic()
    candidates = _candidates(state, request, now, random)
    prompt, engine = request.prompt, request.service.engine
    versions: dict[str, int] = {}
    if prompt is not None:
        versions = {item.id: state.version_of(item, prompt.model) for item in candidates}
        candidates = _on_current_versions(state, prompt.model, candidates, versions)
    if not candidates:
        return None
    if prompt is None or engine is None:
        return Choice(_least_busy(state, candidates, now, random))
    candidates = _routed_or_standalone(state, candidates, prompt, random)
    placements = _placements(state, catalog, request, prompt, engine, candidates, versions, now)
    if request.has_room is not None:
        placements = _with_room_first(placements, request.has_room)
    return _best_choice(state, request, prompt, placements, random, now) if placements else None


def context_scope(workspace: WorkspacePolicy | None, model: str, version: int) -> str:
    """Return the cache scope of a model version, which is per workspace if that is isolated."""
    isolated_workspace = workspace.id if workspace is not None and workspace.isolated else ""
    return Scope(isolated_workspace, model, version).name


def _on_current_versions(
    state: BoxState, model: str, candidates: list[Endpoint], versions: Mapping[str, int]
) -> list[Endpoint]:
    """Return the candidates whose version, by endpoint id, is not too old to start a prompt on."""
    too_old = {version for version in set(versions.values()) if state.version_too_old(model, version)}
    if not too_old:
        return candidates
    return [item for item in candidates if versions[item.id] not in too_old]


def _candidates(state: BoxState, request: ChoiceRequest, now: float, random: Random) -> list[Endpoint]:
    """Return usable endpoints: neither busy nor silent ones if there are any, else those not busy, else all.

    Never returns ones that were tried, back off, are being evacuated, or are at a connection or rate limit.
    """
    service, tried = request.service, request.tried
    max_connections = service.max_connections * CONNECTION_SHARE
    # A router counts the requests of all boxes at its engines, any other box only its own.
    max_routed = max(2, int(max_connections))
    max_unrouted = max(2, int(max_connections / max(1, len(state.boxes))))
    routed_engines = state.routed_engines
    current_spec = None if state.catalog is None else state.catalog.services_by_id.get(service.id)
    may_be_cold = current_spec is not None and current_spec.cold is not None
    may_be_brittle = service.id in state.tolerance_by_service

    untried: list[Endpoint] = []
    not_busy: list[Endpoint] = []
    reporting: list[Endpoint] = []
    for item in state.fleet.usable(service.id, now):
        if item.id in request.backoffs_s or not takes_work(state, item):
            continue
        endpoint_state = state.endpoint_state(item)
        if endpoint_state.in_flight >= (max_routed if item.id in routed_engines else max_unrouted):
            continue
        # Only a cold or brittle endpoint, or one with a rate limit, makes a request wait.
        may_wait = may_be_cold or may_be_brittle or endpoint_state.limit is not None
        if may_wait and wait_s(state, item, now, random) > 0:
            continue
        if item.id in tried:
            continue
        untried.append(item)
        if endpoint_state.refused_until > now or _is_busy(endpoint_state):
            continue
        not_busy.append(item)
        # Engines tell by their reports that they go on.
        is_silent = (
            endpoint_state.silence.is_probed(now) if request.prompt is None else endpoint_state.silent(now)
        )
        if not is_silent:
            reporting.append(item)
    return reporting or not_busy or untried


def _routed_or_standalone(
    state: BoxState, candidates: list[Endpoint], prompt: PromptShape, random: Random
) -> list[Endpoint]:
    """Return the engines that this box routes for, or if there are none, a few that suit the prompt.

    By an outdated view, all boxes would choose the same best engine: in a simulation of 56 engines with
    reports 0.2 to 0.95 s old, 59% of the prompts then waited over 0.1 s, against 3% with the better of two
    random engines and none where one router counts what it sends. Without a view, all boxes send prompts with
    the same part to the same few engines, which have it cached then.
    """
    own = [item for item in candidates if item.id in state.routed_engines]
    if own:
        return own
    if not prompt.shared:
        return random.sample(candidates, min(STANDALONE_CANDIDATES, len(candidates)))
    by_id = {item.id: item for item in _less_used(state, candidates)}
    largest = max(prompt.shared, key=lambda part: part.tokens)
    return [by_id[name] for name in rank_owners(largest.id.encode(), by_id, STANDALONE_CANDIDATES)]


def _less_used(state: BoxState, candidates: list[Endpoint]) -> list[Endpoint]:
    """Return the engines that have no more than their share of this box's requests in progress."""
    in_flight = [state.endpoint_state(item).in_flight for item in candidates]
    limit = max(1.0, MAX_STANDALONE_LOAD * sum(in_flight) / len(in_flight))
    return [item for item, count in zip(candidates, in_flight, strict=True) if count < limit]


def _preferred_engines(sender: str, candidates: Sequence[Endpoint]) -> frozenset[str]:
    """Return the engines that a box prefers, by rendezvous hashing."""
    count = ceil(len(candidates) * PREFERRED_SHARE)
    return frozenset(rank_owners(sender.encode(), [item.id for item in candidates], count))


def _is_busy(endpoint_state: EndpointState) -> bool:
    report = endpoint_state.report
    return report is not None and report.busy


def _least_busy(state: BoxState, candidates: Sequence[Endpoint], now: float, random: Random) -> Endpoint:
    quickest_s = min(state.endpoint_state(item).response_time_s for item in candidates)

    def cost(endpoint: Endpoint) -> tuple[float, bool, float]:
        load = state.endpoint_state(endpoint)
        waits = (load.in_flight + 1) * load.expected_response_time_s(
            quickest_s, now
        ) + load.current_failure_rate(now)
        return round(waits, 3), endpoint.data_hall != state.settings.data_hall, random.random()

    return min(candidates, key=cost)


def _placements(
    state: BoxState,
    catalog: Catalog,
    request: ChoiceRequest,
    prompt: PromptShape,
    engine: EngineSpec,
    candidates: Sequence[Endpoint],
    versions: Mapping[str, int],
    now: float,
) -> list[Placement]:
    """Return placements on candidates that can start before their version is too old, the best first.

    versions: of the model at each candidate, by endpoint id.
    """
    model = prompt.model
    preferred = _preferred_engines(request.sender, candidates) if request.sender else None
    usable = usable_sources(state, catalog, engine, now)
    contexts: dict[int, VersionContext] = {}
    sources_by_address: dict[str, list[list[Source]]] = {}
    views = []
    for item in candidates:
        version = versions[item.id]
        context = contexts.get(version)
        if context is None:
            context = contexts[version] = _version_context(
                state, request.workspace, prompt, version, usable, now
            )
        sources_by_address[item.address] = context.sources
        endpoint_state = state.endpoint_state(item)
        views.append(engine_view(state, item, endpoint_state, context, engine.slots, preferred, now))

    def source_of(index: int, address: str) -> Source | None:
        for source in sources_by_address[address][index]:
            if source.address != address:
                return source
        return None

    found = rank_placements(
        prompt.parts, prompt.tokens, views, source_of, engine.bytes_per_token, prompt.max_output
    )
    target_version = state.target_version_by_model.get(model, 0)
    if min(contexts) >= target_version:
        return found
    return [
        item
        for item in found
        if not state.version_too_old(model, versions[item.engine.id], item.first_token_s)
    ]


def _version_context(
    state: BoxState,
    workspace: WorkspacePolicy | None,
    prompt: PromptShape,
    version: int,
    usable: dict[str, Source],
    now: float,
) -> VersionContext:
    scope = context_scope(workspace, prompt.model, version)
    may_fetch = fetch_until(state, prompt.model, version, now) > now
    return VersionContext(
        outdated=state.replaced_for_s(prompt.model, version) > OUTDATED_AFTER_S,
        keys=[(scope, part.id) for part in prompt.parts],
        shared_parts=tuple([((scope, part.id), part.tokens) for part in prompt.shared]),
        sources=[best_sources(state, usable, scope, part) if may_fetch else [] for part in prompt.parts],
    )


def _with_room_first(placements: list[Placement], has_room: HasRoom) -> list[Placement]:
    """Return the placements from the quickest with room on, or all if none has room.

    Few engines are asked for their room, since the quickest ones usually have it.
    """
    first = next((n for n, item in enumerate(placements) if has_room(item.engine)), None)
    if first is None:
        return placements
    quickest = placements[first].first_token_s
    return [item for item in placements[first:] if item.first_token_s > quickest or has_room(item.engine)]


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
        fetch_until_ms=_fetch_until_ms(state, prompt.model, version, now) if any(best.fetch_from) else None,
    )


def _fetch_until_ms(state: BoxState, model: str, version: int, now: float) -> int | None:
    return endpoints_clock_ms(state, fetch_until(state, model, version, now))
