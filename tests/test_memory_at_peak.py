"""The memory of an engine at the peak of its runs, as its router counts it, and its use in placement."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from stairquay.core.memory import PlacedMemory
from stairquay.core.placement import EngineView, pick_quickest, rank_placements
from stairquay.serving.endpoint import EndpointState
from stairquay.serving.ports import EngineReport

SHARED = (("/m/1", "aa"), 500)
OTHER = (("/m/1", "bb"), 300)
TOTAL_TOKENS = 10_000


def no_source(index: int, address: str) -> None:
    return None


def engine(name: str, peak_tokens: float, **fields) -> EngineView:
    return EngineView(name, f"{name}:1", (), total_tokens=TOTAL_TOKENS, peak_tokens=peak_tokens, **fields)


def best(*engines: EngineView, tokens: int = 1_000, max_output: int = 500) -> str:
    return rank_placements((), tokens, engines, no_source, 1, max_output)[0].engine.id


def test_an_engine_whose_runs_will_need_its_memory_comes_after_one_with_room():
    """Guards against a run that is preempted, though it could have run elsewhere a little later."""
    growing = engine("growing", 8_500.0)
    roomy = engine("roomy", 1_000.0, waiting_tokens=30_000.0)
    assert best(growing, roomy) == "roomy"
    assert best(growing, roomy, max_output=0) == "growing"


def test_tokens_that_runs_use_already_need_no_more_memory():
    assert best(engine("e", 8_500.0, tokens_in_use=900), engine("f", 0.0, waiting_tokens=9_000.0)) == "e"


def test_without_an_engine_that_can_run_it_at_once_the_quickest_is_taken():
    """Guards against a queue at engines that have memory but no slot."""
    growing = engine("growing", 8_500.0)
    no_slot = engine("no-slot", 1_000.0, running=4, slots=4)
    assert best(growing, no_slot) == "growing"
    assert best(growing, engine("unknown", 0.0, waiting_tokens=9_000.0, running=1, slots=1)) == "growing"


def test_engines_of_which_no_memory_is_known_are_ranked_by_time_alone():
    views = [EngineView("a", "a:1", (), waiting_tokens=500.0), EngineView("b", "b:1", ())]
    assert rank_placements((), 90_000, views, no_source, 1, 9_000)[0].engine.id == "b"


@given(st.integers(0, 1_000))
def test_only_engines_with_room_are_drawn_among_equally_quick_ones(seed):
    views = [engine("growing", 9_400.0), engine("a", 0.0), engine("b", 0.0)]
    ranked = rank_placements((), 1_000, views, no_source, 1, 500)
    assert pick_quickest(ranked, Random(seed)).engine.id in ("a", "b")


def test_a_part_that_runs_share_counts_once_until_the_last_of_them_has_ended():
    memory = PlacedMemory()
    assert memory.place((SHARED,), 850) == 850
    assert memory.place((SHARED,), 950) == 450
    assert memory.peak_tokens == 500 + 300 + 400 + 100
    assert memory.tokens_in_use((SHARED, OTHER)) == 500 and memory.tokens_in_use((OTHER, SHARED)) == 0
    memory.end((SHARED,), 850)
    assert memory.peak_tokens == 500 + 400 + 50 and memory.tokens_in_use((SHARED,)) == 500
    memory.end((SHARED,), 950)
    assert memory.peak_tokens == 0 and memory.tokens_in_use((SHARED,)) == 0


runs = st.lists(
    st.tuples(st.sets(st.sampled_from((SHARED, OTHER))), st.integers(0, 900), st.integers(0, 90)), max_size=12
)


@given(runs, st.randoms(use_true_random=False))
def test_nothing_is_left_of_runs_in_whatever_order_they_end(placed, random):
    """Guards against an account that drifts, after which an engine seems full or empty for ever."""
    memory = PlacedMemory()
    counted = [
        (tuple(sorted(parts)), own + sum(tokens for _, tokens in parts) + output)
        for parts, own, output in placed
    ]
    for run in counted:
        memory.place(*run)
    in_use = {part for parts, _ in counted for part in parts}
    own_tokens = sum(own + output for _, own, output in placed)
    assert memory.peak_tokens == own_tokens + sum(tokens for _, tokens in in_use)
    random.shuffle(counted)
    for run in counted:
        memory.end(*run)
    assert memory.peak_tokens == 0 and not memory.runs_by_part


def test_memory_that_others_use_counts_as_reported():
    """Guards against a router that took over, and believes that engines are empty."""
    state = EndpointState()
    state.on_report(EngineReport(used_tokens=7_000, total_tokens=TOTAL_TOKENS), 1.0)
    assert state.unplaced_tokens == 7_000
    state.memory.place((), 8_000)
    state.on_report(EngineReport(used_tokens=7_500, total_tokens=TOTAL_TOKENS), 2.0)
    assert state.unplaced_tokens == 0
