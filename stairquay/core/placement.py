"""Ranks engines for a prompt by the predicted time to the first token.

Context cached by another engine or a store box is fetched over its link, which is much faster than prefill.
"""

from collections.abc import Callable, Sequence
from operator import attrgetter
from random import Random

import msgspec

from stairquay.core.call import Part

PREFILL_TOKENS_PER_S = 112_000.0
"""Prompt tokens that a fast engine prefills per second. On slower engines all predictions are too short by
about the same factor, which keeps their order."""

ATTENTION_PAIR_S = 0.154e-9
"""Seconds of attention for each pair of a new token and a token of the prompt."""

FETCH_SETUP_S = 0.002
"""Fixed seconds of a fetch besides the transfer. A miss costs a millisecond."""

STEP_DELAY_S = 0.0005
"""Predicted seconds of delay for each running request, which makes every step 0.05 ms longer; a prompt spans
several steps."""

OLD_VERSION_PENALTY_S = 0.12
"""Seconds added for an engine that runs replaced weights: a fifth of an objective of 0.6 s."""

RUN_DURATION_S = 2.5
"""Typical seconds for which a long request holds its slot and memory: 64 events of 38 ms."""

MEMORY_FILL_PENALTY_S = 0.06
"""Seconds added for full memory, about the time to prefill a mean prompt. Memory is exhausted before prefill
capacity is, and reports lag, so memory is balanced before it is full."""

USABLE_MEMORY_SHARE = 0.95
"""Share of an engine's memory to plan with; the margin covers reports that are out of date."""

FAILURE_PENALTY_S = 0.5
"""Seconds lost when an endpoint fails a request: about one objective."""

NEW_CONNECTION_PENALTY_S = 0.008
"""Seconds added for an engine to which the sender probably has no open connection."""

OTHER_HALL_PENALTY_S = 0.002
"""Seconds added for an endpoint in another data hall: one round trip."""


class EngineView(msgspec.Struct, frozen=True):
    """What is known of one engine now. A struct, which is created ten times as fast as a frozen data class:
    every placement creates one for each engine.

    resident: tokens cached of each part of the prompt. waiting_tokens: prompt tokens queued or in prefill.
    failing: share of recent requests that failed. outdated: it runs replaced weights. preferred: the sender
    often sends there. used_tokens: memory in use, of total_tokens; both 0 if unknown. slots: requests that
    it runs concurrently. prefill_factor, step_factor: as in core.engine_speed.EngineSpeed. peak_tokens:
    memory at the peak of its runs. tokens_in_use: those of the prompt's parts that its runs use already.
    """

    id: str
    address: str
    resident: tuple[int, ...]
    waiting_tokens: float = 0.0
    running: int = 0
    failing: float = 0.0
    outdated: bool = False
    same_hall: bool = True
    preferred: bool = True
    used_tokens: float = 0.0
    total_tokens: float = 0.0
    slots: int = 1_000_000
    prefill_factor: float = 1.0
    step_factor: float = 1.0
    peak_tokens: float = 0.0
    tokens_in_use: int = 0


class Source(msgspec.Struct, frozen=True):
    """Where one part of a prompt can be fetched from. durable: the source will not evict the part before the
    fetch, as an engine may."""

    address: str
    tokens: int
    bytes_s: float
    first_byte_s: float = 0.0
    durable: bool = False


class Placement(msgspec.Struct, frozen=True):
    """An engine for a prompt, and the predicted time to the first token.

    fetch_from: an address for each part, or empty. reused: tokens cached by the engine. fetched: tokens to
    fetch. read: tokens to prefill. overcommits: the engine's runs may need more memory than it has, so that
    it would preempt one.
    """

    engine: EngineView
    fetch_from: tuple[str, ...]
    reused: int
    fetched: int
    read: int
    first_token_s: float
    overcommits: bool = False


SourceLookup = Callable[[int, str], Source | None]
"""Returns the best source of a part, by its index, for the engine at an address."""


def rank_placements(
    parts: Sequence[Part],
    tokens: int,
    engines: Sequence[EngineView],
    source_of: SourceLookup,
    bytes_per_token: int,
    max_output: int = 0,
) -> list[Placement]:
    """Return a placement on every engine, the shortest time to the first token first.

    max_output: most tokens of the answer. While an engine has a slot and memory for the whole run, engines
    that would preempt a run for it come last.
    """
    placements = [
        _place_on(engine, parts, tokens, source_of, bytes_per_token, max_output) for engine in engines
    ]
    placements.sort(key=attrgetter("first_token_s"))
    if any(item.overcommits for item in placements) and any(_runs_at_once(item) for item in placements):
        placements.sort(key=attrgetter("overcommits"))
    return placements


def backlog_s(engine: EngineView) -> float:
    """Return how long the next prompt waits at an engine, whatever its size."""
    return _queue_delay_s(engine) + _memory_wait_s(engine, 0)


def prefill_s(read: int, tokens: int) -> float:
    """Return the seconds that an engine needs to prefill `read` tokens of a prompt of `tokens`."""
    return read / PREFILL_TOKENS_PER_S + read * tokens * ATTENTION_PAIR_S


def pick_quickest(placements: Sequence[Placement], random: Random) -> Placement:
    """Return a random one of the placements that are as quick as the first."""
    quickest = placements[0].first_token_s
    overcommits = placements[0].overcommits
    return random.choice(
        [item for item in placements if item.first_token_s <= quickest and item.overcommits == overcommits]
    )


def _runs_at_once(placement: Placement) -> bool:
    """Return whether an engine has both a free slot and memory for a whole run."""
    return not placement.overcommits and placement.engine.running < placement.engine.slots


def _place_on(
    engine: EngineView,
    parts: Sequence[Part],
    tokens: int,
    source_of: SourceLookup,
    bytes_per_token: int,
    max_output: int,
) -> Placement:
    reused, fetched, fetch_s = 0, 0, 0.0
    fetch_from = [""] * len(parts)
    for index, part in enumerate(parts):
        resident = engine.resident[index]
        source = source_of(index, engine.address)
        if resident >= part.tokens:
            reused += part.tokens
            if source is not None and source.tokens >= part.tokens:
                # The engine may evict the part before the request starts; it is fetched then.
                fetch_from[index] = source.address
            continue
        if source is None or source.tokens <= resident:
            reused += resident
            break
        fetch_from[index] = source.address
        fetched += source.tokens - resident
        reused += resident
        fetch_s += (source.tokens - resident) * bytes_per_token / source.bytes_s + source.first_byte_s
        if source.tokens < part.tokens:
            break
    if fetched:
        fetch_s += FETCH_SETUP_S
    read = max(1, tokens - reused - fetched)
    first_token_s = (
        _expected_delay_s(engine)
        + _memory_delay_s(engine, tokens)
        + fetch_s
        + prefill_s(read, tokens) * engine.prefill_factor
    )
    overcommits = _overcommits(engine, tokens + max_output)
    return Placement(engine, tuple(fetch_from), reused, fetched, read, first_token_s, overcommits)


def _queue_delay_s(engine: EngineView) -> float:
    excess = max(0, engine.running + 1 - engine.slots)
    waiting_s = engine.waiting_tokens / PREFILL_TOKENS_PER_S * engine.prefill_factor
    return waiting_s + excess / engine.slots * RUN_DURATION_S * engine.step_factor


def run_delay_s(engine: EngineView) -> float:
    """Return the predicted delay of a prompt's first token by the engine's queue and running requests."""
    return _queue_delay_s(engine) + engine.running * STEP_DELAY_S * engine.step_factor


def _expected_delay_s(engine: EngineView) -> float:
    delay_s = run_delay_s(engine) + engine.failing * FAILURE_PENALTY_S
    if engine.outdated:
        delay_s += OLD_VERSION_PENALTY_S
    if not engine.preferred:
        delay_s += NEW_CONNECTION_PENALTY_S
    return delay_s if engine.same_hall else delay_s + OTHER_HALL_PENALTY_S


def _memory_delay_s(engine: EngineView, tokens: int) -> float:
    """Return the wait for free memory plus the penalty for memory in use."""
    if engine.total_tokens <= 0:
        return 0.0
    fill = min(1.0, engine.used_tokens / engine.total_tokens)
    return _memory_wait_s(engine, tokens) + fill * MEMORY_FILL_PENALTY_S


def _overcommits(engine: EngineView, run_tokens: int) -> bool:
    """Return whether the memory at the peak of all runs, with one more, is above what may be used."""
    if engine.total_tokens <= 0:
        return False
    peak_tokens = engine.peak_tokens + run_tokens - engine.tokens_in_use
    return peak_tokens > engine.total_tokens * USABLE_MEMORY_SHARE


def _memory_wait_s(engine: EngineView, tokens: int) -> float:
    """Return how long a prompt waits until enough requests have ended to free memory for it."""
    if engine.total_tokens <= 0:
        return 0.0
    excess = engine.used_tokens + tokens - engine.total_tokens * USABLE_MEMORY_SHARE
    return max(0.0, excess) / engine.total_tokens * RUN_DURATION_S
