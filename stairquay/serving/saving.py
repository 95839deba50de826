"""Chooses the store boxes that keep a copy of each shared part of a prompt."""

from dataclasses import replace
from random import Random

import xxhash

from stairquay.adapters.clock import monotonic
from stairquay.core.call import Part, PromptShape
from stairquay.core.catalog import Catalog, StoreSpec
from stairquay.serving.context_lifetime import FETCH_TIMEOUT_S, fetch_until
from stairquay.serving.endpoint_choice import Choice, ChoiceRequest, choose_endpoint
from stairquay.serving.engine_views import STORE_VIEW_TTL_S, fresh_stores
from stairquay.serving.state import BoxState

MAX_FILL_SHARE = 0.95
"""Share of a store box's memory to fill, which leaves room for saves by others that are not visible yet."""

REPLACED_FILL_SHARE = 0.5
"""The same for parts of replaced weights, which are freed soon and would take the room of newer ones."""

NEW_LIFE_GRACE_S = STORE_VIEW_TTL_S + FETCH_TIMEOUT_S
"""Seconds for which nothing is saved to a store box that has started anew. Prompts that other boxes chose by
its content before may still fetch, and a part that is being saved again would be fetched incomplete."""


def choose_with_save_targets(
    state: BoxState, catalog: Catalog, request: ChoiceRequest, random: Random
) -> Choice | None:
    """Return the best endpoint for a request, with the store boxes that its prompt's parts are saved to."""
    choice = choose_endpoint(state, catalog, request, random)
    if choice is None or request.prompt is None:
        return choice
    return replace(choice, save_to=save_targets(state, catalog, request.prompt, choice))


def save_targets(state: BoxState, catalog: Catalog, prompt: PromptShape, choice: Choice) -> tuple[str, ...]:
    """Return for each part the address of the store box to save it to, empty for none.

    Only parts that other requests may share are saved, each to one store box. A busy box saves
    none, and nothing is saved that may not be fetched any more.
    """
    if state.load.is_busy:
        return ()
    now = monotonic()
    if fetch_until(state, prompt.model, choice.version or 0, now) <= now:
        return ()
    stores = [
        store
        for store in fresh_stores(state, catalog)
        if now - state.holdings.started_anew_at(store.address) > NEW_LIFE_GRACE_S
    ]
    if not stores:
        return ()
    store_addresses = {store.address for store in stores}
    replaced = state.replaced_for_s(prompt.model, choice.version or 0) > 0
    share = REPLACED_FILL_SHARE if replaced else MAX_FILL_SHARE

    def save_target(part: Part) -> str:
        if state.holdings.holders(choice.scope, part.id) & store_addresses:
            return ""
        with_room = [store for store in stores if _has_room(state, store, part.tokens, share)]
        return _preferred_store(with_room, choice.scope, part)

    targets = [save_target(part) for part in prompt.shared]
    if not any(targets):
        return ()
    return (*targets, "")


def _preferred_store(stores: list[StoreSpec], scope: str, part: Part) -> str:
    """Return the address of one of several store boxes, empty if there are none.

    Weighted rendezvous hashing: boxes that don't see each other's saves choose the same store box for a part,
    and each store box gets parts in proportion to its memory.
    """
    if not stores:
        return ""
    return max(stores, key=lambda store: _rendezvous_weight(store, scope, part)).address


def _rendezvous_weight(store: StoreSpec, scope: str, part: Part) -> float:
    uniform = (xxhash.xxh64_intdigest(f"{store.id} {scope} {part.id}".encode()) + 1) / 2**64
    return float(uniform ** (1.0 / store.memory_tokens))


def _has_room(state: BoxState, store: StoreSpec, tokens: int, share: float) -> bool:
    holding = state.holdings.by_address.get(store.address)
    return holding is not None and holding.total + tokens < store.memory_tokens * share
