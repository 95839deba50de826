"""Retention of cached context in store boxes: what to export and what to evict.

The expected saving per byte is proportional to the probability that the conversation returns, which is
estimated from past returns by workspace and turn.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from stairquay.core.residency import Segment

MAX_TURN = 4
"""Highest turn number with a return rate of its own; later turns share it."""

PRIOR_RETURNED = 50.0
PRIOR_SEEN = 100.0
"""Prior of a return rate.

A conversation counts as not returned until it returns, though its pause may only be long. With a weak prior,
all exports stopped after five new conversations.
"""

HIGH_WATERMARK = 0.95
"""Share of a store box's capacity that may be used, expected inflow included."""

MAX_INFLOW_SHARE = 0.2
"""Share of a store box's capacity reserved for expected inflow, at most."""

AGE_HALVING_S = 3600.0
"""Seconds without use after which a segment's value has halved."""


@dataclass
class ReturnRates:
    """Turns seen and conversations returned after them, by (workspace, turn)."""

    seen: dict[tuple[str, int], float] = field(default_factory=dict)
    returned: dict[tuple[str, int], float] = field(default_factory=dict)

    def on_turn(self, workspace: str, turn: int) -> None:
        """Count a turn, and the return after the previous turn."""
        key = (workspace, min(turn, MAX_TURN))
        self.seen[key] = self.seen.get(key, 0.0) + 1.0
        if turn > 1:
            previous = (workspace, min(turn - 1, MAX_TURN))
            self.returned[previous] = self.returned.get(previous, 0.0) + 1.0

    def probability(self, workspace: str, turn: int) -> float:
        """Return the probability that a conversation returns after this turn."""
        key = (workspace, min(turn, MAX_TURN))
        returned = self.returned.get(key, 0.0) + PRIOR_RETURNED
        return min(1.0, returned / (self.seen.get(key, 0.0) + PRIOR_SEEN))


MAX_TRACKED_FAMILIES = 50_000


@dataclass
class TurnCounter:
    """Number of turns of each conversation, least recently seen first."""

    limit: int = MAX_TRACKED_FAMILIES
    turns_by_family: OrderedDict[bytes, int] = field(default_factory=OrderedDict)

    def on_turn(self, family: bytes, turn: int) -> int:
        """Count a turn and return its number.

        The caller's `turn` is used where it is higher: this router may not have seen earlier turns.
        """
        number = max(turn, self.turns_by_family.pop(family, 0) + 1)
        self.turns_by_family[family] = number
        if len(self.turns_by_family) > self.limit:
            self.turns_by_family.popitem(last=False)
        return number

    def turns(self, family: bytes) -> int:
        """Return the number of turns of a conversation, 1 if unknown."""
        return self.turns_by_family.get(family, 1)


@dataclass(frozen=True)
class ExportCandidate:
    """Context that may be exported: return probability (0 to 1) and size in bytes."""

    return_probability: float
    size: int


KeepPolicy = Callable[[ExportCandidate], bool]

KEEP_THRESHOLD = 0.15
"""Return probability below which context is not exported. The time of the link is then better left to other
exports."""


def keep_expected(candidate: ExportCandidate) -> bool:
    """Export what is likely to be reused."""
    return candidate.return_probability >= KEEP_THRESHOLD


def keep_all(_: ExportCandidate) -> bool:
    """Baseline: export everything."""
    return True


def keep_nothing(_: ExportCandidate) -> bool:
    """Baseline: export nothing."""
    return False


KEEP_POLICIES: dict[str, KeepPolicy] = {
    "expected-saving": keep_expected,
    "all": keep_all,
    "nothing": keep_nothing,
}


def segment_bytes(segment: Segment) -> int:
    """Return the size of a segment in a store box."""
    return segment.block_bytes * len(segment.ids)


def order_by_saving(segment: Segment, now: float) -> float:
    """Order by expected saving per byte, discounted by age; the lowest is evicted first."""
    age_s = max(0.0, now - segment.used_at)
    return segment.value / (1.0 + age_s / AGE_HALVING_S)


def order_by_use(segment: Segment, _: float) -> float:
    """Baseline: the least recently used is evicted first."""
    return segment.used_at


EVICTION_ORDERS: dict[str, Callable[[Segment, float], float]] = {
    "expected-saving": order_by_saving,
    "least-recently-used": order_by_use,
}


def excess_bytes(used: int, pending_free: int, inflow: int, capacity: int) -> float:
    """Return the bytes to evict now so that a store box has room until they are freed.

    used: bytes in use, those of evicted segments included
    pending_free: bytes evicted but not freed yet
    inflow: bytes received in the last grace period, expected again in the next
    """
    expected = min(inflow, capacity * MAX_INFLOW_SHARE)
    return used - pending_free + expected - capacity * HIGH_WATERMARK


def choose_evictions(
    segments: Iterable[Segment],
    excess: float,
    now: float,
    order: Callable[[Segment, float], float] = order_by_saving,
) -> list[Segment]:
    """Return the segments to evict, in `order`, until they cover `excess` bytes."""
    chosen = []
    for segment in sorted(segments, key=lambda item: order(item, now)):
        if excess <= 0:
            break
        chosen.append(segment)
        excess -= segment_bytes(segment)
    return chosen
