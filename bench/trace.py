"""Generates seeded traces of conversations for the benchmark deployments.

`SCALE` divides all times and multiplies the speeds of engines and links. Sizes are not scaled.
"""

import math
import random
from dataclasses import dataclass, field, replace

SCALE = 10.0
CHARS_PER_TOKEN = 4


@dataclass(frozen=True)
class Deployment:
    """Size and traffic of one deployment, in unscaled seconds.

    turn_rate: prompts a second; median_gap_s: between two turns of a conversation;
    first_tokens, turn_tokens, shared_tokens: medians of the first message, of what a turn adds, and
    of the part that a workspace's prompts share; bursts: (start share, end share, factor) of the rate.
    """

    name: str
    service: str
    engines: int
    stores: tuple[str, ...]
    halls: tuple[str, ...]
    time_weight: float
    turn_rate: float
    first_tokens: int
    turn_tokens: int
    shared_tokens: int
    answer_tokens: int
    median_gap_s: float
    one_off_share: float
    mean_turns: float
    bursts: tuple[tuple[float, float, float], ...]
    cache_tokens: int = 100_000
    prefill_tokens_s: float = 8_000.0
    decode_step_s: float = 0.03
    link_bytes_s: float = 4e9
    kv_bytes_token: int = 140_000
    event_lag_s: float = 1.0
    load_lag_s: float = 1.0
    store_bytes: int = 400_000_000_000


HSITA = Deployment(
    name="hsita",
    service="advisor-llm",
    engines=5,
    stores=("quay-mem-a", "quay-mem-b"),
    halls=("thapathali", "lalitpur", "bhaktapur"),
    time_weight=0.8,
    turn_rate=3.6,
    first_tokens=3_000,
    turn_tokens=600,
    shared_tokens=1_800,
    answer_tokens=60,
    median_gap_s=110.0,
    one_off_share=0.3,
    mean_turns=5.0,
    bursts=((0.55, 0.65, 1.8),),
)

LAKESHORE = Deployment(
    name="lakeshore",
    service="plan-llm",
    engines=5,
    stores=("kept-a", "kept-b"),
    halls=("hall-toledo", "hall-gary", "hall-buffalo"),
    time_weight=0.2,
    turn_rate=2.2,
    first_tokens=7_000,
    turn_tokens=1_000,
    shared_tokens=2_500,
    answer_tokens=80,
    median_gap_s=130.0,
    one_off_share=0.2,
    mean_turns=5.0,
    bursts=((0.5, 0.6, 1.8),),
)

DEPLOYMENTS = {item.name: item for item in (HSITA, LAKESHORE)}

WORKSPACES = tuple(f"space-{number}" for number in range(10))
SMALL_WORKSPACES = frozenset(WORKSPACES[3:])
FLOOD_START_SHARE = 0.4
"""Share of the trace after which a flood begins."""

WORKSPACE_SHARES = (0.25, 0.2, 0.2, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05)
"""Share of the traffic of each workspace."""


@dataclass(frozen=True)
class Turn:
    """One prompt, due `at` scaled seconds from the start.

    `sizes` are the tokens of the user's messages so far, `shared` those of the system message.
    """

    at: float
    workspace: str
    conversation: int
    number: int
    sizes: tuple[int, ...]
    shared: int


@dataclass
class TextGenerator:
    """Generates text of a given number of tokens, the same for the same seed."""

    rng: random.Random = field(default_factory=random.Random)

    def text(self, seed: str, tokens: int) -> str:
        self.rng.seed(seed)
        length = tokens * CHARS_PER_TOKEN
        return "".join(f"{self.rng.getrandbits(60):015x} " for _ in range(length // 16 + 1))[:length]


def messages(turn: Turn, text_generator: TextGenerator) -> list[dict[str, str]]:
    """Return a turn's messages: the workspace's system message, then the conversation so far."""
    chat_messages = [
        {"role": "system", "content": text_generator.text(f"system {turn.workspace}", turn.shared)}
    ]
    for number, size in enumerate(turn.sizes):
        if number:
            chat_messages.append(
                {"role": "assistant", "content": text_generator.text(f"{turn.conversation}a{number}", 60)}
            )
        chat_messages.append(
            {"role": "user", "content": text_generator.text(f"{turn.conversation}u{number}", size)}
        )
    return chat_messages


def generate(deployment: Deployment, seed: int, duration_s: float, rate_factor: float = 1.0) -> list[Turn]:
    """Return the turns of `duration_s` scaled seconds, in order of time."""
    rng = random.Random(f"{deployment.name} {seed}")
    turns_per_conversation = 1 + (1 - deployment.one_off_share) * (deployment.mean_turns - 1)
    rate = deployment.turn_rate * rate_factor * SCALE / turns_per_conversation
    lead_in_s = 4 * deployment.median_gap_s / SCALE
    turns: list[Turn] = []
    at = -lead_in_s
    conversation = 0
    while at < duration_s:
        at += rng.expovariate(rate * _burst_factor(deployment, at / duration_s))
        conversation += 1
        turns += _conversation_turns(deployment, rng, conversation, at)
    return sorted((turn for turn in turns if 0 <= turn.at < duration_s), key=lambda turn: turn.at)


def flood(deployment: Deployment, seed: int, duration_s: float, rate_factor: float) -> list[Turn]:
    """Return turns of one large workspace only, for the middle part of a trace."""
    turns = generate(deployment, seed + 1_000, duration_s, rate_factor)
    middle = [turn for turn in turns if turn.at >= duration_s * FLOOD_START_SHARE]
    return [replace(turn, workspace=WORKSPACES[0], conversation=-turn.conversation) for turn in middle]


def first_token_floor(turns: list[Turn], deployment: Deployment, warmup_s: float) -> list[float]:
    """Return for each turn the scaled seconds that an idle engine needs for its new tokens."""
    seen: set[int] = set()
    floors = []
    for turn in turns:
        new_tokens = turn.sizes[-1] if turn.conversation in seen else sum(turn.sizes)
        seen.add(turn.conversation)
        if turn.at >= warmup_s:
            floors.append(new_tokens / (deployment.prefill_tokens_s * SCALE))
    return floors


def _burst_factor(deployment: Deployment, share: float) -> float:
    for start, end, factor in deployment.bursts:
        if start <= share < end:
            return factor
    return 1.0


def _conversation_turns(deployment: Deployment, rng: random.Random, number: int, at: float) -> list[Turn]:
    workspace = rng.choices(WORKSPACES, WORKSPACE_SHARES)[0]
    one_off = rng.random() < deployment.one_off_share
    count = 1 if one_off else 2 + int(rng.expovariate(1 / (deployment.mean_turns - 1.5)))
    sizes: list[int] = []
    turns = []
    for turn in range(count):
        median = deployment.first_tokens if turn == 0 else deployment.turn_tokens
        sizes.append(int(median * math.exp(rng.gauss(0, 0.5))))
        turns.append(Turn(at, workspace, number, turn, tuple(sizes), deployment.shared_tokens))
        at += deployment.median_gap_s * math.exp(rng.gauss(0, 0.7)) / SCALE
    return turns


def optimal_recomputed_share(turns: list[Turn], warmup_s: float, block_tokens: int) -> float:
    """Return the lowest possible recomputed share: perfect routing and unlimited caches.

    A prompt reuses whole blocks of earlier prompts of its conversation or workspace.
    """
    seen: dict[int, int] = {}
    shared_seen: set[str] = set()
    computed = 0
    total = 0
    for turn in turns:
        tokens = turn.shared + sum(turn.sizes) + 60 * (len(turn.sizes) - 1)
        cached_tokens = seen.get(turn.conversation, turn.shared if turn.workspace in shared_seen else 0)
        reused = min(cached_tokens, tokens - 1) // block_tokens * block_tokens
        shared_seen.add(turn.workspace)
        seen[turn.conversation] = tokens
        if turn.at >= warmup_s:
            computed += tokens - reused
            total += tokens
    return computed / max(1, total)
