"""Routing policies: choose an endpoint by predicted time to first token and recomputed tokens."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from stairquay.core.identity import BLOCK_TOKENS
from stairquay.core.models import EngineCosts
from stairquay.core.residency import StoredBlock

FULL_SCAN_LIMIT = 16
"""Number of endpoints up to which all are compared."""

SAMPLE_SIZE = 8
"""Random endpoints compared beyond that, besides all that cache part of the prompt."""

TIE_TOLERANCE = 0.02
"""Relative cost difference within which the choice is random, to spread the load."""

IMPORT_SETUP_S = 0.01
"""Fixed time of one import."""


@dataclass(frozen=True)
class StoredRun:
    """Blocks in a store box that follow an engine's resident ones, and the state of its link."""

    store: str
    blocks: tuple[StoredBlock, ...]
    link_wait_s: float = 0.0
    link_bytes_s: float = 3e9


@dataclass(frozen=True)
class Candidate:
    """State of one endpoint with respect to one prompt.

    resident_blocks: leading blocks that the engine caches
    stored: following blocks in store boxes
    loading_s: seconds to load the weights, 0 if they are loaded
    """

    endpoint: str
    version: str
    queued_tokens: float = 0.0
    running: int = 0
    resident_blocks: int = 0
    stored: tuple[StoredRun, ...] = ()
    loading_s: float = 0.0


@dataclass(frozen=True)
class Demand:
    """Size of a prompt, and its cost weight from 0 (recomputed tokens) to 1 (time)."""

    tokens: int
    time_weight: float


@dataclass(frozen=True)
class Import:
    """Blocks to import from a store box before the run starts."""

    store: str
    blocks: tuple[StoredBlock, ...]


@dataclass(frozen=True)
class Decision:
    """Chosen endpoint, import to make first, and predicted cost."""

    endpoint: str
    version: str
    resident_blocks: int
    import_: Import | None
    first_token_s: float
    missing_tokens: int
    cost: float


Policy = Callable[[Demand, Sequence[Candidate], EngineCosts, Random], Decision | None]


def choose(
    demand: Demand, candidates: Sequence[Candidate], costs: EngineCosts, random: Random
) -> Decision | None:
    """Return the cheapest decision over candidates and imports."""
    compared = _sample_candidates(candidates, random)
    decisions = [cheapest_option(demand, candidate, costs) for candidate in compared]
    if not decisions:
        return None
    return _pick_cheapest(decisions, random)


def cheapest_option(demand: Demand, candidate: Candidate, costs: EngineCosts) -> Decision:
    """Return the cheapest option for running a prompt at one candidate.

    Cost is piecewise linear in the number of imported blocks, since an import overlaps with the queue
    wait: no import, what fits into the wait, and all blocks are compared.
    """
    options = [_predict(demand, candidate, costs, None, ())]
    for run in candidate.stored:
        for count in _breakpoints(candidate, run, costs):
            options.append(_predict(demand, candidate, costs, run, run.blocks[:count]))
    return min(options, key=lambda option: option.cost)


def import_time_s(run: StoredRun, blocks: int, costs: EngineCosts) -> float:
    """Return the seconds to wait for the link and import a number of blocks."""
    return run.link_wait_s + IMPORT_SETUP_S + blocks * block_bytes(costs) / run.link_bytes_s


def block_bytes(costs: EngineCosts) -> int:
    """Return the size of one block of cached context."""
    return BLOCK_TOKENS * costs.kv_bytes_token


def _breakpoints(candidate: Candidate, run: StoredRun, costs: EngineCosts) -> set[int]:
    spare_s = _queue_wait_s(candidate, costs) - run.link_wait_s - IMPORT_SETUP_S
    overlapped_blocks = int(max(0.0, spare_s) * run.link_bytes_s / block_bytes(costs))
    # The breakpoint may lie between two whole numbers of blocks.
    return {
        min(count, len(run.blocks)) for count in (overlapped_blocks, overlapped_blocks + 1, len(run.blocks))
    } - {0}


def _predict(
    demand: Demand,
    candidate: Candidate,
    costs: EngineCosts,
    run: StoredRun | None,
    blocks: tuple[StoredBlock, ...],
) -> Decision:
    cached_tokens = (candidate.resident_blocks + len(blocks)) * BLOCK_TOKENS
    missing_tokens = max(1, demand.tokens - cached_tokens)
    import_s = 0.0 if run is None else import_time_s(run, len(blocks), costs)
    start_s = max(_queue_wait_s(candidate, costs), import_s)
    prefill_s = missing_tokens / costs.prefill_tokens_s
    first_token_s = start_s + prefill_s
    cost = demand.time_weight * first_token_s + (1 - demand.time_weight) * prefill_s
    return Decision(
        endpoint=candidate.endpoint,
        version=candidate.version,
        resident_blocks=candidate.resident_blocks,
        import_=None if run is None else Import(run.store, blocks),
        first_token_s=first_token_s,
        missing_tokens=missing_tokens,
        cost=cost,
    )


def _queue_wait_s(candidate: Candidate, costs: EngineCosts) -> float:
    waiting = candidate.queued_tokens / costs.prefill_tokens_s
    excess_runs = max(0, candidate.running + 1 - costs.slots)
    return waiting + candidate.loading_s + excess_runs * costs.decode_step_s * DECODE_STEPS_PER_EXTRA_RUN


DECODE_STEPS_PER_EXTRA_RUN = 8
"""Estimated wait in decode steps per run beyond an engine's slots."""


def _sample_candidates(candidates: Sequence[Candidate], random: Random) -> Sequence[Candidate]:
    if len(candidates) <= FULL_SCAN_LIMIT:
        return candidates
    holders = [item for item in candidates if item.resident_blocks]
    others = [item for item in candidates if not item.resident_blocks]
    return holders + random.sample(others, min(SAMPLE_SIZE, len(others)))


def _pick_cheapest(decisions: list[Decision], random: Random) -> Decision:
    best = min(decision.cost for decision in decisions)
    ties = [item for item in decisions if item.cost <= best * (1 + TIE_TOLERANCE)]
    return random.choice(ties)


def round_robin() -> Policy:
    """Return a baseline policy that takes endpoints in turn."""
    turn = 0

    def policy(
        demand: Demand, candidates: Sequence[Candidate], costs: EngineCosts, random: Random
    ) -> Decision | None:
        nonlocal turn
        if not candidates:
            return None
        turn += 1
        ordered = sorted(candidates, key=lambda item: item.endpoint)
        return _predict(demand, ordered[turn % len(ordered)], costs, None, ())

    return policy


def least_loaded(
    demand: Demand, candidates: Sequence[Candidate], costs: EngineCosts, random: Random
) -> Decision | None:
    """Baseline: the endpoint with the fewest queued tokens, then the fewest runs."""
    if not candidates:
        return None
    best = min(candidates, key=lambda item: (item.queued_tokens, item.running, random.random()))
    return _predict(demand, best, costs, None, ())


def prefix_affinity(
    demand: Demand, candidates: Sequence[Candidate], costs: EngineCosts, random: Random
) -> Decision | None:
    """Baseline: the endpoint that caches most of the prompt, then the least loaded; never imports."""
    if not candidates:
        return None
    best = max(candidates, key=lambda item: (item.resident_blocks, -item.queued_tokens, random.random()))
    return _predict(demand, best, costs, None, ())


POLICIES: dict[str, Callable[[], Policy]] = {
    "predicted": lambda: choose,
    "round-robin": round_robin,
    "least-loaded": lambda: least_loaded,
    "prefix-affinity": lambda: prefix_affinity,
}
"""Routing policies by name in the settings; all but the first are baselines for benchmarks."""
