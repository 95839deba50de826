"""Chooses the endpoint of a request from what the box believes."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from math import ceil
from random import Random

from stairquay.adapters.clock import monotonic
from stairquay.core.call import PromptShape
from stairquay.core.catalog import Catalog, EngineSpec, ServiceSpec, WorkspacePolicy
from stairquay.core.fleet import Endpoint
from stairquay.core.ownership import rank_owners
from stairquay.core.placement import (
    EngineView,
    Placement,
    Source,
    backlog_s,
    pick_quickest,
    rank_placements,
)
from stairquay.core.scope import Scope
from stairquay.serving.evacuation import takes_work
from stairquay.serving.pacing import wait_s
from stairquay.serving.state import BoxState
from stairquay.serving.weighing import best_sources, engine_view, usable_sources

CONNECTION_SHARE = 0.85
"""Share of an endpoint's connections that our boxes use together; it resets those beyond its bound."""

FETCH_S = 2.0
"""Seconds after which a fetch is thrown away; a move that would wait longer is not begun at all."""

FAMILIAR_SHARE = 0.25
"""Share of a router's engines that a box sends to first: with 19 of them and 6 prompts a second it uses each
connection about once a second, before an engine closes it as idle."""

BLIND_CANDIDATES = 2
"""Engines between which a box chooses that has no router to ask."""

OLD_VERSION_AFTER_S = 1.0
"""Seconds after a version was named from which running on an older one costs value."""


@dataclass(frozen=True)
class Choice:
    """Where a request goes. placement is None for plain services.

    save_to: the store box that should keep each part of the prompt. router: the box that decided, empty
    where this one did; ticket: the name under which it counts the prompt. again_s: ask again after so long.
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


@dataclass(frozen=True)
class Wanted:
    """A request that needs an endpoint. prompt is None for plain services.

    tried: endpoints that it was sent to already. sender: the box that will send it, empty for this one.
    rests_s: endpoints that want nothing from that box, and for how many seconds.
    """

    service: ServiceSpec
    prompt: PromptShape | None = None
    workspace: WorkspacePolicy | None = None
    tried: frozenset[str] = frozenset()
    sender: str = ""
    rests_s: Mapping[str, float] = field(default_factory=dict)


def choose(state: BoxState, catalog: Catalog, wanted: Wanted, random: Random) -> Choice | None:
    """Return the best endpoint, or None where no endpoint can be used."""
    now = monotonic()
    candidates = _candidates(state, wanted, now, random)
    prompt, engine = wanted.prompt, wanted.service.engine
    if prompt is not None:
        model = prompt.model
        candidates = [item for item in candidates if not state.too_old(model, state.version_of(item, model))]
    if not candidates:
        return None
    if prompt is None or engine is None:
        return Choice(_least_busy(state, candidates, now, random))
    candidates = _routed(state, candidates, random)
    placements = _placements(state, catalog, wanted, prompt, engine, candidates, now)
    return _best(state, wanted, prompt, placements, random, now) if placements else None


def context_scope(workspace: WorkspacePolicy | None, model: str, version: int) -> str:
    """Return the name under which context is kept: of one model and version, and of one workspace where
    that is isolated."""
    wall = workspace.id if workspace is not None and workspace.isolated else ""
    return Scope(wall, model, version).name


def _candidates(state: BoxState, wanted: Wanted, now: float, random: Random) -> list[Endpoint]:
    """Return usable endpoints; those tried, turning work away or silent only where there are no others.

    None in an evacuated data hall, none that has got as much as it takes, and none that wants rest: also
    where no other is.
    """
    service, tried = wanted.service, wanted.tried
    most = service.max_connections * CONNECTION_SHARE

    def has_connection(item: Endpoint) -> bool:
        # A router counts what all boxes have under way at its engines, else a box counts its own.
        boxes = 1 if item.id in state.routed_engines else max(1, len(state.boxes))
        return state.of(item).in_flight < max(2, int(most / boxes))

    staying = [item for item in state.fleet.usable(service.id, now) if takes_work(state, item)]
    awake = [item for item in staying if item.id not in wanted.rests_s]
    usable = [item for item in awake if has_connection(item) and wait_s(state, item, now, random) <= 0]
    fresh = [item for item in usable if item.id not in tried]
    if tried and not fresh:
        return []
    open_ones = [item for item in fresh if state.of(item).refused_until <= now and not _closed(state, item)]
    heard = [item for item in open_ones if not state.of(item).silent(now)]
    return heard or open_ones or fresh


def _routed(state: BoxState, candidates: list[Endpoint], random: Random) -> list[Endpoint]:
    """Return the engines to choose from: a router's own, and for boxes that no router answers two by chance.

    Choosing the best of all by an old view sends everyone to the same engine: in a simulation of 56 engines
    with reports 0.2 to 0.95 s old, 3% of the prompts waited over 0.1 s with the better of two, 6% with one
    by chance, 59% with the best of all, and none where one router counts what it sends.
    """
    own = [item for item in candidates if item.id in state.routed_engines]
    return own or random.sample(candidates, min(BLIND_CANDIDATES, len(candidates)))


def _familiar(sender: str, candidates: Sequence[Endpoint]) -> frozenset[str]:
    """Return the engines that a box sends to first: some of them, other ones for each box."""
    count = ceil(len(candidates) * FAMILIAR_SHARE)
    return frozenset(rank_owners(sender.encode(), [item.id for item in candidates], count))


def _closed(state: BoxState, endpoint: Endpoint) -> bool:
    report = state.of(endpoint).report
    return report is not None and report.busy


def _least_busy(state: BoxState, candidates: Sequence[Endpoint], now: float, random: Random) -> Endpoint:
    def cost(endpoint: Endpoint) -> tuple[float, bool, float]:
        held = state.of(endpoint)
        waits = (held.in_flight + 1) * held.work_s + held.failing_share(now)
        return round(waits, 3), endpoint.data_hall != state.settings.data_hall, random.random()

    return min(candidates, key=cost)


def _placements(
    state: BoxState,
    catalog: Catalog,
    wanted: Wanted,
    prompt: PromptShape,
    engine: EngineSpec,
    candidates: Sequence[Endpoint],
    now: float,
) -> list[Placement]:
    """Return a placement on each candidate that can begin before its weights are too old, the best first."""
    model = prompt.model
    familiar = _familiar(wanted.sender, candidates) if wanted.sender else None
    versions = {item.address: state.version_of(item, model) for item in candidates}
    scopes = {key: context_scope(wanted.workspace, model, version) for key, version in versions.items()}

    def view_of(item: Endpoint) -> EngineView:
        outdated = state.replaced_for_s(model, versions[item.address]) > OLD_VERSION_AFTER_S
        return engine_view(state, item, prompt, scopes[item.address], engine.slots, outdated, familiar, now)

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
        item for item in found if not state.too_old(model, versions[item.engine.address], item.first_token_s)
    ]


def _best(
    state: BoxState,
    wanted: Wanted,
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
        scope=context_scope(wanted.workspace, prompt.model, version),
        placement=best,
        backlog_s=min(backlog_s(item.engine) for item in placements),
        alternative_s=placements[1].first_token_s if len(placements) > 1 else None,
        fetch_until_ms=_fetch_until_ms(state, now),
    )


def _fetch_until_ms(state: BoxState, now: float) -> int | None:
    if state.clock_offset_ms is None:
        return None
    return int(now * 1000 + state.clock_offset_ms + FETCH_S * 1000)
