"""Chooses the endpoint of a request from what the box believes."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from heapq import nlargest
from math import ceil
from random import Random
from time import monotonic

from stairquay.core.call import Part, PromptShape
from stairquay.core.catalog import Catalog, EngineShape, ServiceShape, StoreShape, WorkspaceRule
from stairquay.core.fleet import Endpoint
from stairquay.core.ownership import ranked
from stairquay.core.placement import (
    PREFILL_TOKENS_S,
    SPREAD_S,
    EngineView,
    Placement,
    Source,
    backlog_s,
    pick,
    place,
)
from stairquay.core.scope import Scope
from stairquay.serving.ports import EngineReport
from stairquay.serving.state import BoxState, EndpointState

CONNECTION_SHARE = 0.85
"""Share of an endpoint's connections that our boxes use together; it resets those beyond its bound."""

OTHERS_PROMPT_TOKENS = 1_500.0
"""Prompt tokens that each request queued by another box is taken to need: about a mean prompt after
reuse on the sites' sheets."""

STORE_VIEW_S = 1.2
"""Seconds without an answer after which a store box's view is not used any more: it may have started
anew, and it does not check what it hands out."""

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
    where this one did; ticket: the name under which it counts the prompt.
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


SaveTargets = Callable[[BoxState, Catalog, PromptShape, Choice], tuple[str, ...]]
"""Returns an address for each part of a prompt that a store box should keep."""


def choose(
    state: BoxState,
    catalog: Catalog,
    service: ServiceShape,
    prompt: PromptShape | None,
    workspace: WorkspaceRule | None,
    tried: frozenset[str],
    random: Random,
    save_targets: SaveTargets,
    sender: str = "",
) -> Choice | None:
    """Return the best endpoint, or None where no endpoint can be used.

    sender: the box that will send the request, where it is not this one.
    """
    now = monotonic()
    candidates = _candidates(state, service, tried, now)
    if prompt is not None:
        candidates = [item for item in candidates if not state.too_old(item, prompt.model)]
    if not candidates:
        return None
    if prompt is None or service.engine is None:
        return Choice(_least_busy(state, candidates, now, random))
    candidates = _routed(state, candidates, random)
    familiar = _familiar(sender, candidates) if sender else None
    choice = _choose_engine(
        state, catalog, service.engine, prompt, workspace, candidates, familiar, now, random
    )
    return replace(choice, save_to=save_targets(state, catalog, prompt, choice))


def context_scope(workspace: WorkspaceRule | None, model: str, version: int) -> str:
    """Return the name under which context is kept: of one model and version, and of one workspace where
    that is isolated."""
    wall = workspace.id if workspace is not None and workspace.isolated else ""
    return Scope(wall, model, version).name


def _candidates(state: BoxState, service: ServiceShape, tried: frozenset[str], now: float) -> list[Endpoint]:
    """Return usable endpoints; those tried, turning work away or silent only where there are no others."""
    # A router counts what all boxes have under way, the others only what they have themselves.
    boxes = 1 if state.routed_engines else max(1, len(state.boxes))
    limit = max(2, int(service.max_connections * CONNECTION_SHARE / boxes))
    usable = [item for item in state.fleet.usable(service.id, now) if state.of(item).in_flight < limit]
    fresh = [item for item in usable if item.id not in tried]
    if tried and not fresh:
        return []
    open_ones = [item for item in fresh if state.of(item).refused_until <= now and not _closed(state, item)]
    heard = [item for item in open_ones if not state.of(item).silent(now, state.report_s)]
    return heard or open_ones or fresh


def _routed(state: BoxState, candidates: list[Endpoint], random: Random) -> list[Endpoint]:
    """Return the engines to choose from: a router's own, and for boxes without a router two by chance.

    Choosing the best of all by an old view sends everyone to the same engine: in a simulation of 56 engines
    with reports 0.2 to 0.95 s old, 3% of the prompts waited over 0.1 s with the better of two, 6% with one
    by chance, 59% with the best of all, and none where one router counts what it sends.
    """
    if not state.routers:
        return candidates
    own = [item for item in candidates if item.id in state.routed_engines]
    return own or random.sample(candidates, min(BLIND_CANDIDATES, len(candidates)))


def _familiar(sender: str, candidates: Sequence[Endpoint]) -> frozenset[str]:
    """Return the engines that a box sends to first: some of them, other ones for each box."""
    count = ceil(len(candidates) * FAMILIAR_SHARE)
    return frozenset(ranked(sender.encode(), [item.id for item in candidates], count))


def _closed(state: BoxState, endpoint: Endpoint) -> bool:
    report = state.of(endpoint).report
    return report is not None and report.busy


def _least_busy(state: BoxState, candidates: Sequence[Endpoint], now: float, random: Random) -> Endpoint:
    def cost(endpoint: Endpoint) -> tuple[float, bool, float]:
        held = state.of(endpoint)
        waits = (held.in_flight + 1) * held.work_s + held.failing_share(now)
        return round(waits, 3), endpoint.data_hall != state.settings.data_hall, random.random()

    return min(candidates, key=cost)


def _choose_engine(
    state: BoxState,
    catalog: Catalog,
    engine: EngineShape,
    prompt: PromptShape,
    workspace: WorkspaceRule | None,
    candidates: Sequence[Endpoint],
    familiar: frozenset[str] | None,
    now: float,
    random: Random,
) -> Choice:
    versions = {item.address: state.version_of(item, prompt.model) for item in candidates}
    scopes = {key: context_scope(workspace, prompt.model, version) for key, version in versions.items()}

    def view_of(item: Endpoint) -> EngineView:
        outdated = _outdated(state, prompt.model, versions[item.address], now)
        return _view(state, item, prompt, scopes[item.address], engine.slots, outdated, familiar, now)

    views = [view_of(item) for item in candidates]
    speeds = _source_speeds(state, catalog, engine, now)

    best_by_part: dict[tuple[int, str], list[Source]] = {}

    def source_of(index: int, address: str) -> Source | None:
        scope = scopes[address]
        best = best_by_part.get((index, scope))
        if best is None:
            best = best_by_part[index, scope] = _best_sources(state, speeds, scope, prompt.parts[index])
        return next((source for source in best if source.address != address), None)

    placements = place(prompt.parts, prompt.tokens, views, source_of, engine.bytes_per_token)
    # A router knows what it sent: nobody else sends to the same engine by the same report.
    best = pick(placements, random, 0.0 if state.routed_engines else SPREAD_S)
    endpoint = next(item for item in candidates if item.id == best.engine.id)
    return Choice(
        endpoint=endpoint,
        version=versions[endpoint.address] or None,
        scope=scopes[endpoint.address],
        placement=best,
        backlog_s=min(backlog_s(view) for view in views),
        alternative_s=placements[1].first_token_s if len(placements) > 1 else None,
        fetch_until_ms=_fetch_until_ms(state, now),
    )


def _outdated(state: BoxState, model: str, version: int, now: float) -> bool:
    """Tell whether running on a version costs value, because a newer one was named long enough ago."""
    old_after = state.named_at_by_model.get(model, 0.0) + OLD_VERSION_AFTER_S
    return version < state.named_by_model.get(model, 0) and now > old_after


def _view(
    state: BoxState,
    endpoint: Endpoint,
    prompt: PromptShape,
    scope: str,
    slots: int,
    outdated: bool,
    familiar: frozenset[str] | None,
    now: float,
) -> EngineView:
    held = state.of(endpoint)
    used_tokens = held.used_tokens(now) + _waiting_memory(held.report)
    return EngineView(
        id=endpoint.id,
        address=endpoint.address,
        resident=tuple(state.holdings.tokens(endpoint.address, scope, part.id) for part in prompt.parts),
        waiting_tokens=_waiting_tokens(state, endpoint, held, now),
        running=_running(state, endpoint, held),
        failing=held.failing_share(now),
        outdated=outdated,
        here=endpoint.data_hall == state.settings.data_hall,
        familiar=familiar is None or endpoint.id in familiar,
        used_tokens=used_tokens,
        slots=slots,
        total_tokens=0.0 if held.report is None else held.report.total_tokens,
    )


def _running(state: BoxState, endpoint: Endpoint, held: EndpointState) -> int:
    """Return the runs believed to be under way at an engine.

    A router's count may be too high where a sender could not tell that a run ended: no more can be there than
    the engine said, and were sent since.
    """
    if held.report is None:
        return held.in_flight
    if endpoint.id in state.routed_engines:
        return min(held.in_flight, held.report.running + held.report.queued + len(held.sent_prompts))
    return max(held.report.running, held.in_flight)


def _waiting_tokens(state: BoxState, endpoint: Endpoint, held: EndpointState, now: float) -> float:
    """Return the prompt tokens that an engine has yet to read."""
    if endpoint.id in state.routed_engines:
        return max(0.0, held.read_until - now) * PREFILL_TOKENS_S
    own = sum(held.unread_tokens_by_request.values())
    queued = 0 if held.report is None else held.report.queued
    others = max(0, queued - len(held.unread_tokens_by_request))
    return own + others * OTHERS_PROMPT_TOKENS


def _waiting_memory(report: EngineReport | None) -> float:
    """Return the memory that requests waiting at an engine will take once they are let in."""
    return 0.0 if report is None else float(report.queued * report.next_tokens)


def fresh_stores(state: BoxState, catalog: Catalog) -> list[StoreShape]:
    """Return the store boxes whose content is known now."""
    now = monotonic()
    return [
        store
        for store in catalog.stores_by_id.values()
        if (holding := state.holdings.by_address.get(store.address)) is not None
        and now - holding.heard_at < STORE_VIEW_S
    ]


def _source_speeds(
    state: BoxState, catalog: Catalog, engine: EngineShape, now: float
) -> dict[str, tuple[float, float]]:
    """Return the link speed and first delay of every address that context can be fetched from now."""
    speeds: dict[str, tuple[float, float]] = {}
    for endpoint in state.fleet.live():
        if not state.of(endpoint).silent(now, state.report_s):
            speeds[endpoint.address] = (engine.link_bytes_s, 0.0)
    for store in fresh_stores(state, catalog):
        speeds[store.address] = (store.link_bytes_s, store.first_s)
    return speeds


def _best_sources(
    state: BoxState, speeds: dict[str, tuple[float, float]], scope: str, part: Part
) -> list[Source]:
    """Return the best source of a part, and the one for an engine that is the best source itself."""
    found = []
    for holder in state.holdings.holders(scope, part.id):
        speed = speeds.get(holder)
        if speed is not None:
            tokens = min(part.tokens, state.holdings.tokens(holder, scope, part.id))
            found.append(Source(holder, tokens, *speed))
    return nlargest(2, found, key=lambda source: (source.tokens, source.bytes_s))


def _fetch_until_ms(state: BoxState, now: float) -> int | None:
    if state.clock_offset_ms is None:
        return None
    return int(now * 1000 + state.clock_offset_ms + FETCH_S * 1000)
