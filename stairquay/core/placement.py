"""Where a prompt runs: compare engines by the predicted time to the first token.

Context that another engine or a store box keeps is brought over its link, which costs milliseconds where
reading the same tokens anew costs tens of milliseconds of the engine.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from stairquay.core.call import Part

PREFILL_TOKENS_PER_S = 112_000.0
"""Prompt tokens that a quick engine reads in a second. Slower ones make all predictions too short by about
one factor, which changes no order among engines: with engines of less than half that speed, the right figure
served better by 0.006 of the payoff owed, with an error of 0.012 over 6 paired runs."""

ATTENTION_PAIR_S = 0.154e-9
"""Seconds for each pair of a new token and a token before it (attention), of the same engine."""

FETCH_SETUP_S = 0.002
"""Fixed time of one fetch besides its bytes: a miss costs a millisecond."""

STEP_DELAY_S = 0.0005
"""Predicted delay for each run under way: every step takes 0.05 ms longer, and a prompt spans steps."""

OLD_VERSION_PENALTY_S = 0.12
"""Seconds that running on replaced weights is worth avoiding: it costs a fifth of a 0.6 s objective."""

RUN_DURATION_S = 2.5
"""Seconds that a long run holds its memory: 64 events of 38 ms, measured at usual load."""

MEMORY_FILL_PENALTY_S = 0.06
"""Seconds that a full memory is worth avoiding against an empty one: memory binds before reading does,
and reports lag, so that it is balanced before it is full. About the time to read a mean prompt."""

USABLE_MEMORY_SHARE = 0.95
"""Share of an engine's memory that is planned with: its report is some hundred milliseconds old."""

FAILURE_PENALTY_S = 0.5
"""Seconds lost where an endpoint fails the request: about one objective."""

NEW_CONNECTION_PENALTY_S = 0.008
"""Seconds that an engine is worth avoiding to which a box rarely sends: the box has no open connection to it,
and a new one is priced like a few hundredths of a prompt."""

OTHER_HALL_PENALTY_S = 0.002
"""Tie-break for an endpoint in another data hall: one round trip."""


@dataclass(frozen=True)
class EngineView:
    """What is known of one engine now.

    waiting_tokens: prompt tokens that wait or are being read. failing: share of recent requests it failed.
    resident: tokens it keeps of each part of the prompt, in order. familiar: the sender often sends there.
    used_tokens: memory that running requests hold, of total_tokens; 0 of 0 where that is not known.
    slots: runs that it makes at once.
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


@dataclass(frozen=True)
class Source:
    """Where one part of a prompt can be fetched from. `lasting`: it will still be there when it is fetched,
    where an engine may drop it before."""

    address: str
    tokens: int
    bytes_s: float
    first_byte_s: float = 0.0
    durable: bool = False


@dataclass(frozen=True)
class Placement:
    """The engine chosen. fetch_from: an address for each part, empty where nothing is fetched.

    reused, fetched and read are tokens; first_token_s is the predicted time.
    """

    engine: EngineView
    fetch_from: tuple[str, ...]
    reused: int
    fetched: int
    read: int
    first_token_s: float


SourceLookup = Callable[[int, str], Source | None]
"""Returns the best source of the part at an index for an engine's address, or None."""


def rank_placements(
    parts: Sequence[Part],
    tokens: int,
    engines: Sequence[EngineView],
    source_of: SourceLookup,
    bytes_per_token: int,
) -> list[Placement]:
    """Return a placement on every engine, the quickest first."""
    placements = [_place_on(engine, parts, tokens, source_of, bytes_per_token) for engine in engines]
    return sorted(placements, key=lambda placement: placement.first_token_s)


def backlog_s(engine: EngineView) -> float:
    """Return how long any further prompt waits at an engine, whatever its size."""
    return _queue_delay_s(engine) + _memory_wait_s(engine, 0)


def prefill_s(read: int, tokens: int) -> float:
    """Return how long an engine takes to read some of a prompt's tokens."""
    return read / PREFILL_TOKENS_PER_S + read * tokens * ATTENTION_PAIR_S


def pick_quickest(placements: Sequence[Placement], random: Random) -> Placement:
    """Return one of the placements that are as quick as the quickest, which stands first."""
    quickest = placements[0].first_token_s
    return random.choice([item for item in placements if item.first_token_s <= quickest])


def _place_on(
    engine: EngineView, parts: Sequence[Part], tokens: int, source_of: SourceLookup, bytes_per_token: int
) -> Placement:
    reused, fetched, fetch_s = 0, 0, 0.0
    fetch_from = [""] * len(parts)
    for index, part in enumerate(parts):
        resident = engine.resident[index]
        source = source_of(index, engine.address)
        if resident >= part.tokens:
            reused += part.tokens
            # The engine may drop the part before the request begins; then it is fetched after all.
            fetch_from[index] = source.address if source is not None and source.tokens >= part.tokens else ""
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
        _expected_delay_s(engine) + _memory_delay_s(engine, tokens) + fetch_s + prefill_s(read, tokens)
    )
    return Placement(engine, tuple(fetch_from), reused, fetched, read, first_token_s)


def _queue_delay_s(engine: EngineView) -> float:
    excess = max(0, engine.running + 1 - engine.slots)
    return engine.waiting_tokens / PREFILL_TOKENS_PER_S + excess / engine.slots * RUN_DURATION_S


def _expected_delay_s(engine: EngineView) -> float:
    delay_s = _queue_delay_s(engine) + engine.running * STEP_DELAY_S + engine.failing * FAILURE_PENALTY_S
    if engine.outdated:
        delay_s += OLD_VERSION_PENALTY_S
    if not engine.preferred:
        delay_s += NEW_CONNECTION_PENALTY_S
    return delay_s if engine.same_hall else delay_s + OTHER_HALL_PENALTY_S


def _memory_delay_s(engine: EngineView, tokens: int) -> float:
    """Return what a prompt's memory costs at an engine: the wait for room, and the use of a scarce good."""
    if engine.total_tokens <= 0:
        return 0.0
    fill = min(1.0, engine.used_tokens / engine.total_tokens)
    return _memory_wait_s(engine, tokens) + fill * MEMORY_FILL_PENALTY_S


def _memory_wait_s(engine: EngineView, tokens: int) -> float:
    """Return how long a prompt waits until enough runs have ended to make room for it."""
    if engine.total_tokens <= 0:
        return 0.0
    excess = engine.used_tokens + tokens - engine.total_tokens * USABLE_MEMORY_SHARE
    return max(0.0, excess) / engine.total_tokens * RUN_DURATION_S
