"""Views of engines and sources of cached context, the input for placing a prompt."""

from dataclasses import dataclass

from msgspec.structs import replace

from stairquay.adapters.clock import monotonic
from stairquay.core.call import Part
from stairquay.core.catalog import Catalog, EngineSpec, StoreSpec
from stairquay.core.fleet import Endpoint
from stairquay.core.holdings import PartKey
from stairquay.core.memory import SharedParts
from stairquay.core.placement import PREFILL_TOKENS_PER_S, EngineView, Source
from stairquay.serving.endpoint import EndpointState
from stairquay.serving.ports import EngineReport
from stairquay.serving.state import BoxState

STORE_VIEW_TTL_S = 1.2
"""Seconds without an answer after which a store box's content counts as unknown: it may have restarted, and
it does not verify what it serves."""

LOWEST_RANK = (-1, False, 0.0)
"""Rank of a source below that of any other: tokens, durability and bandwidth."""


@dataclass(frozen=True)
class VersionContext:
    """What engines on one version have in common for one prompt.

    outdated: the version was replaced. keys: of the prompt's parts. shared_parts: those that other prompts
    may share. sources: the best of each part.
    """

    outdated: bool
    keys: list[PartKey]
    shared_parts: SharedParts
    sources: list[list[Source]]


def engine_view(
    state: BoxState,
    endpoint: Endpoint,
    endpoint_state: EndpointState,
    context: VersionContext,
    slots: int,
    preferred: frozenset[str] | None,
    now: float,
) -> EngineView:
    """Return the current view of an engine for one prompt.

    context: of the version that it runs. preferred: ids of the engines that the sender prefers, None if it
    has no preference.
    """
    report = endpoint_state.report
    routed = endpoint.id in state.routed_engines
    # Before _running, since it removes expired prompts, which that counts.
    used_tokens = endpoint_state.used_tokens(now) + _queued_memory_tokens(report)
    return EngineView(
        id=endpoint.id,
        address=endpoint.address,
        resident=state.holdings.resident(endpoint.address, context.keys),
        waiting_tokens=_waiting_tokens(endpoint_state, routed, now),
        running=_running(endpoint_state, routed),
        failing=endpoint_state.current_failure_rate(now),
        outdated=context.outdated,
        same_hall=endpoint.data_hall == state.settings.data_hall,
        preferred=preferred is None or endpoint.id in preferred,
        used_tokens=used_tokens,
        slots=slots,
        total_tokens=0.0 if report is None else report.total_tokens,
        prefill_factor=endpoint_state.speed.prefill_factor,
        step_factor=endpoint_state.speed.step_factor,
        peak_tokens=endpoint_state.memory.peak_tokens + endpoint_state.unplaced_tokens
        if routed
        else used_tokens,
        tokens_in_use=endpoint_state.memory.tokens_in_use(context.shared_parts),
    )


def _running(endpoint_state: EndpointState, routed: bool) -> int:
    """Return the estimated number of runs at an engine.

    A router may miss the end of a run, so its count is capped by the last report plus the prompts sent since.
    """
    report = endpoint_state.report
    if report is None:
        return endpoint_state.in_flight
    if routed:
        most_running = report.running + report.queued + len(endpoint_state.sent_prompts)
        return min(endpoint_state.in_flight, most_running)
    return max(report.running, endpoint_state.in_flight)


def _waiting_tokens(endpoint_state: EndpointState, routed: bool, now: float) -> float:
    """Return the prompt tokens whose prefill an engine has not finished."""
    if routed:
        remaining_s = max(0.0, endpoint_state.prefill_until - now)
        return remaining_s * PREFILL_TOKENS_PER_S / endpoint_state.speed.prefill_factor
    return sum(endpoint_state.waiting_tokens_by_job.values())


def _queued_memory_tokens(report: EngineReport | None) -> float:
    """Return the memory in tokens that requests queued at an engine will take."""
    return 0.0 if report is None else float(report.queued * report.next_tokens)


def fresh_stores(state: BoxState, catalog: Catalog) -> list[StoreSpec]:
    """Return the store boxes whose content is currently known."""
    now = monotonic()
    return [
        store
        for store in catalog.stores_by_id.values()
        if (holding := state.holdings.by_address.get(store.address)) is not None
        and now - holding.updated_at < STORE_VIEW_TTL_S
    ]


def usable_sources(state: BoxState, catalog: Catalog, engine: EngineSpec, now: float) -> dict[str, Source]:
    """Return by address the sources that context can be fetched from now, with no tokens yet."""
    by_address: dict[str, Source] = {}
    for endpoint in state.fleet.live():
        # An evacuated data hall may lose power, and a fetch from a lost source is slow to fail.
        if endpoint.data_hall not in state.evacuated and not state.endpoint_state(endpoint).silent(now):
            by_address[endpoint.address] = Source(endpoint.address, 0, engine.link_bytes_s)
    for store in fresh_stores(state, catalog):
        by_address[store.address] = Source(
            store.address, 0, store.link_bytes_s, store.first_byte_s, durable=True
        )
    return by_address


def best_sources(state: BoxState, usable: dict[str, Source], scope: str, part: Part) -> list[Source]:
    """Return the two best sources of a part: an engine that is itself the best needs the second.

    Of equal sources a store box comes first, since engines evict parts that are not in use, and after a
    failed fetch all is prefilled again. At high load this saved a tenth of the repeated prefill of shared
    parts.
    """
    first: Source | None = None
    second: Source | None = None
    first_rank = second_rank = LOWEST_RANK
    for holder in state.holdings.holders(scope, part.id):
        source = usable.get(holder)
        if source is None:
            continue
        tokens = min(part.tokens, state.holdings.tokens(holder, scope, part.id))
        rank = tokens, source.durable, source.bytes_s
        if rank > first_rank:
            second, second_rank = first, first_rank
            first, first_rank = source, rank
        elif rank > second_rank:
            second, second_rank = source, rank
    best = ((first, first_rank), (second, second_rank))
    return [replace(source, tokens=rank[0]) for source, rank in best if source is not None]
