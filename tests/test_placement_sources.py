"""Properties of the lookups that every placement makes: cached tokens of parts, and their best sources."""

from hypothesis import given
from hypothesis import strategies as st

from stairquay.core.call import Part
from stairquay.core.holdings import Holdings
from stairquay.core.placement import Source
from stairquay.serving.engine_views import best_sources
from tests.states import box_state

PART_TOKENS = 500
SCOPE = "/m/1"
ADDRESSES = tuple(f"10.0.1.{number}:1" for number in range(6))

held_tokens = st.lists(st.integers(0, 2 * PART_TOKENS), min_size=len(ADDRESSES), max_size=len(ADDRESSES))
sources = st.lists(
    st.tuples(st.booleans(), st.sampled_from((1e8, 1e9))), min_size=len(ADDRESSES), max_size=len(ADDRESSES)
)


@given(held_tokens, sources, st.sets(st.sampled_from(ADDRESSES)))
def test_the_two_best_sources_are_those_that_a_sort_by_tokens_durability_and_bandwidth_puts_first(
    held, kinds, usable_addresses
):
    """Guards against a selection in one pass that loses the second best, or prefers an unusable source."""
    state = box_state()
    for address, tokens in zip(ADDRESSES, held, strict=True):
        state.holdings.expect(address, SCOPE, "aa", tokens)
    usable = {
        address: Source(address, 0, bytes_s, durable=durable)
        for address, (durable, bytes_s) in zip(ADDRESSES, kinds, strict=True)
        if address in usable_addresses
    }
    holders = [name for name in usable if state.holdings.tokens(name, SCOPE, "aa") > 0]
    ranks = sorted(
        (
            (
                min(PART_TOKENS, state.holdings.tokens(name, SCOPE, "aa")),
                usable[name].durable,
                usable[name].bytes_s,
            )
            for name in holders
        ),
        reverse=True,
    )
    found = best_sources(state, usable, SCOPE, Part("aa", PART_TOKENS))
    assert [(item.tokens, item.durable, item.bytes_s) for item in found] == ranks[:2]
    assert len({item.address for item in found}) == len(found)


@given(st.lists(st.tuples(st.sampled_from(ADDRESSES), st.sampled_from("abc"), st.integers(0, 900))))
def test_the_cached_tokens_of_several_parts_are_those_of_each(expected):
    """Guards against a lookup of several parts at once that mixes up their order, or unknown holders."""
    holdings = Holdings()
    for address, part, tokens in expected:
        holdings.expect(address, SCOPE, part, tokens)
    for address in ADDRESSES:
        keys = [(SCOPE, part) for part in "cab"]
        assert holdings.resident(address, keys) == tuple(
            holdings.tokens(address, SCOPE, part) for part in "cab"
        )
