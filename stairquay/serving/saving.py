"""Which store box keeps which part of a prompt."""

from dataclasses import replace
from random import Random

import xxhash

from stairquay.core.call import Part, PromptShape
from stairquay.core.catalog import Catalog, StoreSpec
from stairquay.serving.endpoint_choice import Choice, ChoiceRequest, choose_endpoint
from stairquay.serving.engine_views import fresh_stores
from stairquay.serving.state import BoxState

FULL_SHARE = 0.95
"""Share of a store box's room that is used: what others save at the same time is not yet known."""


def choose_and_save(
    state: BoxState, catalog: Catalog, wanted: ChoiceRequest, random: Random
) -> Choice | None:
    """Return the best endpoint for a request, and which store boxes are to keep parts of its prompt."""
    choice = choose_endpoint(state, catalog, wanted, random)
    if choice is None or wanted.prompt is None:
        return choice
    return replace(choice, save_to=save_targets(state, catalog, wanted.prompt, choice))


def save_targets(state: BoxState, catalog: Catalog, prompt: PromptShape, choice: Choice) -> tuple[str, ...]:
    """Return an address for each part that a store box should keep, empty where none should.

    Only parts that other requests may share are worth the room, and only one copy of each.
    """
    stores = fresh_stores(state, catalog)
    if not stores:
        return ()
    addresses = {store.address for store in stores}
    targets = [_target(state, stores, addresses, choice.scope, part) for part in prompt.shared]
    if not any(targets):
        return ()
    return (*targets, "")


def _target(state: BoxState, stores: list[StoreSpec], addresses: set[str], scope: str, part: Part) -> str:
    if state.holdings.holders(scope, part.id) & addresses:
        return ""
    roomy = [store for store in stores if _has_room(state, store, part.tokens)]
    if not roomy:
        return ""
    # The same part always goes to the same store box, so that boxes that do not know of each other's saves
    # do not make two copies. Larger boxes get more.
    return max(roomy, key=lambda store: _rank(store, scope, part)).address


def _rank(store: StoreSpec, scope: str, part: Part) -> float:
    draw = (xxhash.xxh64_intdigest(f"{store.id} {scope} {part.id}".encode()) + 1) / 2**64
    return float(draw ** (1.0 / store.memory_tokens))


def _has_room(state: BoxState, store: StoreSpec, tokens: int) -> bool:
    holding = state.holdings.by_address.get(store.address)
    return holding is not None and holding.total + tokens < store.memory_tokens * FULL_SHARE
