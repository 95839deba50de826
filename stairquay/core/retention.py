"""What to keep in store boxes and what to give up, by the saving that is expected per byte.

Every token saves the same prefill time at the same bytes, so saving per byte is ordered by the
probability that the conversation returns. That is learned from what came back, by workspace and
by how many turns a conversation has had.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from stairquay.core.residency import Segment

MAX_TURN = 4
"""Turns are counted up to this many; beyond it, conversations are taken to return alike."""

PRIOR_RETURNED = 50.0
PRIOR_SEEN = 100.0
"""Before much is seen, one of two conversations is taken to return.

As strong as a hundred turns: one that has not returned yet counts as one that did not, though its gap
may only be long, and a weak prior stopped all exports after five new conversations.
"""

HIGH_WATERMARK = 0.95
"""Share of a store box that may be taken, what is expected to come in included."""

MAX_INFLOW_SHARE = 0.2
"""Share of a store box that is kept free for what comes in, at most."""

AGE_HALVING_S = 3600.0
"""Age at which the worth of kept context has halved."""


@dataclass
class ReturnRates:
    """How often conversations came back, by (workspace, turn)."""

    seen: dict[tuple[str, int], float] = field(default_factory=dict)
    returned: dict[tuple[str, int], float] = field(default_factory=dict)

    def on_turn(self, workspace: str, turn: int) -> None:
        """Count a turn; a turn after the first is a return of the one before."""
        key = (workspace, min(turn, MAX_TURN))
        self.seen[key] = self.seen.get(key, 0.0) + 1.0
        if turn > 1:
            before = (workspace, min(turn - 1, MAX_TURN))
            self.returned[before] = self.returned.get(before, 0.0) + 1.0

    def probability(self, workspace: str, turn: int) -> float:
        """Return the probability that a conversation with this many turns returns."""
        key = (workspace, min(turn, MAX_TURN))
        returned = self.returned.get(key, 0.0) + PRIOR_RETURNED
        return min(1.0, returned / (self.seen.get(key, 0.0) + PRIOR_SEEN))


MAX_TRACKED_FAMILIES = 50_000


@dataclass
class TurnCounter:
    """How many turns each conversation has had, least recently seen first."""

    limit: int = MAX_TRACKED_FAMILIES
    turns_by_family: OrderedDict[bytes, int] = field(default_factory=OrderedDict)

    def on_turn(self, family: bytes, turn: int) -> int:
        """Count a turn and return its number.

        The caller's own count holds where it is higher: this router may be new to the family. A
        prompt that comes back unchanged counts as another turn.
        """
        number = max(turn, self.turns_by_family.pop(family, 0) + 1)
        self.turns_by_family[family] = number
        if len(self.turns_by_family) > self.limit:
            self.turns_by_family.popitem(last=False)
        return number

    def turns(self, family: bytes) -> int:
        """Return how many turns a conversation is known to have had."""
        return self.turns_by_family.get(family, 1)


@dataclass(frozen=True)
class ExportCandidate:
    """Context that could be exported: worth (0 to 1) and bytes."""

    worth: float
    size: int


KeepPolicy = Callable[[ExportCandidate], bool]

KEEP_THRESHOLD = 0.15
"""Worth below which context is not exported: the link's time is better left to others."""


def keep_expected(candidate: ExportCandidate) -> bool:
    """Keep what is likely enough to return."""
    return candidate.worth >= KEEP_THRESHOLD


def keep_all(_: ExportCandidate) -> bool:
    """Baseline: keep everything."""
    return True


def keep_nothing(_: ExportCandidate) -> bool:
    """Baseline: keep nothing."""
    return False


KEEP_POLICIES: dict[str, KeepPolicy] = {
    "expected-saving": keep_expected,
    "all": keep_all,
    "nothing": keep_nothing,
}


def segment_bytes(segment: Segment) -> int:
    """Return the bytes that a segment takes in a store box."""
    return segment.block_bytes * len(segment.ids)


def order_by_saving(segment: Segment, now: float) -> float:
    """Return the expected saving per byte; lowest goes first."""
    age_s = max(0.0, now - segment.used_at)
    return segment.value / (1.0 + age_s / AGE_HALVING_S)


def order_by_use(segment: Segment, _: float) -> float:
    """Baseline: least recently used goes first."""
    return segment.used_at


EVICTION_ORDERS: dict[str, Callable[[Segment, float], float]] = {
    "expected-saving": order_by_saving,
    "least-recently-used": order_by_use,
}


def excess_bytes(used: int, pending_free: int, inflow: int, capacity: int) -> float:
    """Return the bytes to give up now so that a store box has room until they are freed.

    used: bytes taken, those of given-up segments too; bare: bytes given up and not freed yet; inflow:
    bytes that came in during the last grace period, as many as are expected in the next.
    """
    expected = min(inflow, capacity * MAX_INFLOW_SHARE)
    return used - pending_free + expected - capacity * HIGH_WATERMARK


def choose_evictions(
    segments: Iterable[Segment],
    excess: float,
    now: float,
    order: Callable[[Segment, float], float] = order_by_saving,
) -> list[Segment]:
    """Return the segments to give up, least worth first, until `excess` bytes are covered."""
    chosen = []
    for segment in sorted(segments, key=lambda item: order(item, now)):
        if excess <= 0:
            break
        chosen.append(segment)
        excess -= segment_bytes(segment)
    return chosen
