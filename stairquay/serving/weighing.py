"""What a box believes of each engine that a prompt could run on, and of where kept context can be fetched."""

from dataclasses import replace
from heapq import nlargest

from stairquay.adapters.clock import monotonic
from stairquay.core.call import Part, PromptShape
from stairquay.core.catalog import Catalog, EngineSpec, StoreSpec
from stairquay.core.fleet import Endpoint
from stairquay.core.placement import PREFILL_TOKENS_PER_S, EngineView, Source
from stairquay.serving.endpoint import EndpointState
from stairquay.serving.ports import EngineReport
from stairquay.serving.state import BoxState

STORE_VIEW_S = 1.2
"""Seconds without an answer after which a store box's view is not used any more: it may have started
anew, and it does not check what it hands out."""


def engine_view(
    state: BoxState,
    endpoint: Endpoint,
    prompt: PromptShape,
    scope: str,
    slots: int,
    outdated: bool,
    familiar: frozenset[str] | None,
    now: float,
) -> EngineView:
    """Return what is known of an engine now, for one prompt.

    familiar: the engines that the sender sends to first, None where that does not matter.
    """
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
        same_hall=endpoint.data_hall == state.settings.data_hall,
        preferred=familiar is None or endpoint.id in familiar,
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
        return max(0.0, held.read_until - now) * PREFILL_TOKENS_PER_S
    return sum(held.unread_tokens_by_request.values())


def _waiting_memory(report: EngineReport | None) -> float:
    """Return the memory that requests waiting at an engine will take once they are let in."""
    return 0.0 if report is None else float(report.queued * report.next_tokens)


def fresh_stores(state: BoxState, catalog: Catalog) -> list[StoreSpec]:
    """Return the store boxes whose content is known now."""
    now = monotonic()
    return [
        store
        for store in catalog.stores_by_id.values()
        if (holding := state.holdings.by_address.get(store.address)) is not None
        and now - holding.updated_at < STORE_VIEW_S
    ]


def usable_sources(state: BoxState, catalog: Catalog, engine: EngineSpec, now: float) -> dict[str, Source]:
    """Return by address what context can be fetched from now, each as a source of no tokens yet."""
    by_address: dict[str, Source] = {}
    for endpoint in state.fleet.live():
        # An evacuated hall may be about to lose its power: a source that is gone costs some hundred ms.
        if endpoint.data_hall not in state.evacuated and not state.of(endpoint).silent(now):
            by_address[endpoint.address] = Source(endpoint.address, 0, engine.link_bytes_s)
    for store in fresh_stores(state, catalog):
        by_address[store.address] = Source(
            store.address, 0, store.link_bytes_s, store.first_byte_s, durable=True
        )
    return by_address


def best_sources(state: BoxState, usable: dict[str, Source], scope: str, part: Part) -> list[Source]:
    """Return the best source of a part, and the one for an engine that is the best source itself.

    A store box goes before an engine with a quicker link: engines drop parts that nobody reads to make room
    for runs, so that a fetch misses and all is read again. Worth 0.011 of the payoff owed at high load (error
    0.006, 6 paired runs); shared parts read again fall by a tenth.
    """
    found = []
    for holder in state.holdings.holders(scope, part.id):
        source = usable.get(holder)
        if source is not None:
            tokens = min(part.tokens, state.holdings.tokens(holder, scope, part.id))
            found.append(replace(source, tokens=tokens))
    return nlargest(2, found, key=lambda source: (source.tokens, source.durable, source.bytes_s))
