"""The memory that incomplete answers take together."""

from hypothesis import given
from hypothesis import strategies as st

from stairquay.core.buffers import BufferBudget

MAX_BYTES = 1_000


def test_the_largest_answer_is_given_up_when_memory_runs_out():
    """Guards against a sound answer that is lost to one without end."""
    budget = BufferBudget(MAX_BYTES)
    small, endless = budget.buffer(), budget.buffer()
    assert small.extend(b"x" * 300)
    while endless.extend(b"x" * 100):
        assert budget.used_bytes <= MAX_BYTES
    assert not endless.data and not endless.extend(b"x") and endless.take() == b""
    assert small.extend(b"x" * 300) and small.take() == b"x" * 600
    assert budget.used_bytes == 0 and not budget.buffers


def test_an_answer_that_does_not_go_on_frees_its_memory_at_once():
    """Guards against a stalled answer that keeps the memory of all others."""
    budget = BufferBudget(MAX_BYTES)
    stalled, sound = budget.buffer(), budget.buffer()
    stalled.extend(b"x" * 900)
    assert sound.extend(b"x" * 200) and stalled.dropped and budget.used_bytes == 200


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 400), st.booleans()), max_size=60))
def test_the_sum_is_that_of_the_buffers_and_never_above_the_maximum(steps):
    budget = BufferBudget(MAX_BYTES)
    buffers = [budget.buffer() for _ in range(6)]
    for number, size, ends in steps:
        buffer = buffers[number]
        if ends:
            buffer.release()
            buffers[number] = budget.buffer()
        else:
            buffer.extend(b"x" * size)
        assert budget.used_bytes == sum(len(item.data) for item in buffers) <= MAX_BYTES
