"""Ways to know at which software version a stream began, for the box at which its caller takes it up.

Pattern: a service moves from one version to another in steps, an endpoint each second. Meanwhile streams of
about a second are interrupted, as connections are reset, a box is killed, or a third of all boxes at once,
and callers come to other boxes within half a second. Boxes see a step of the rollout up to 0.6 s late. Boxes
and routers are picked as in the product; told streams arrive 0.06 s after their first event.
`python -m tests.loads.test_streams_taken_up` prints the ways compared.
"""

from dataclasses import dataclass
from random import Random

import pytest

from stairquay.core.ownership import rank_owners
from stairquay.core.routers import Member, pick_routers
from stairquay.serving.origins import ROUTERS_TOLD

WAYS = ("ask", "tell", "derive", "derive, refuse")
SIZES = (6, 9, 71, 330)
PATTERNS = ("resets", "one killed", "a third killed")
HALLS = 3
ENDPOINTS = 10
STREAMS_PER_BOX_S = 8.0
STREAM_S = 1.0
ROLLOUT_S = 10.0
MAX_LAG_S = 0.6
TOLD_AFTER_S = 0.06
RETURN_S = 0.5
UNSURE_S = 15.0
"""Seconds after a step of the rollout in which a stream may have begun before it."""


@dataclass(frozen=True)
class Outcome:
    """Of interrupted streams: how many there are, went on, and went on at the wrong version. Messages between
    boxes for streams that begin, and for those taken up."""

    interrupted: int
    went_on: int
    wrong: int
    told: int
    asked: int


def new_share(at: float, lag_s: float) -> float:
    """Return the share of the new version that a box sees at a time."""
    return min(ENDPOINTS, max(0, int(at - lag_s))) / ENDPOINTS


def derived(draw: float, at: float, lag_s: float) -> bool:
    """Return the version that follows from a stream's id and a box's view."""
    return draw < new_share(at, lag_s)


def is_unsure(draw: float, at: float, lag_s: float) -> bool:
    return derived(draw, at, lag_s) != derived(draw, at - UNSURE_S, 0.0)


def play(boxes: int, pattern: str, way: str, seed: int = 1) -> Outcome:
    random = Random(seed)
    members = [Member(f"b-{number}", "a:1", 1.0, f"hall-{number % HALLS}") for number in range(boxes)]
    routers = [router.id for router in pick_routers(members)]
    lags = {member.id: random.uniform(0.0, MAX_LAG_S) for member in members}
    names = list(lags)
    interrupted = went_on = wrong = told = asked = 0
    for number in range(int(boxes * STREAMS_PER_BOX_S * ROLLOUT_S)):
        stream, draw = f"s-{number}", random.random()
        at, began_by = random.uniform(0.0, ROLLOUT_S), random.choice(names)
        derives = way.startswith("derive")
        version = (
            derived(draw, at, lags[began_by]) if derives else random.random() < new_share(at, lags[began_by])
        )
        keepers = rank_owners(stream.encode(), [name for name in routers if name != began_by], ROUTERS_TOLD)
        told += len(keepers) if way == "tell" else 0
        # One in ten streams is interrupted, by a fault of the pattern.
        if random.random() > 0.1:
            continue
        interrupted += 1
        killed = killed_boxes(pattern, names, began_by, random)
        after_s = random.uniform(0.0, STREAM_S)
        back_at = at + after_s + random.uniform(0.05, RETURN_S)
        taker = random.choice([name for name in names if name not in killed and name != began_by])
        alive = [name for name in (began_by, *keepers) if name not in killed]
        if way == "ask":
            asked += boxes - 1
            knows = began_by in alive
        elif way == "tell":
            asked += len([name for name in routers if name != taker])
            # A box that lives on tells of its streams also after they were interrupted.
            told_after_s = after_s if began_by in killed else back_at - at
            knows = told_after_s >= TOLD_AFTER_S and any(name in alive for name in keepers)
        else:
            knows = way == "derive" or not is_unsure(draw, back_at, lags[taker])
        went_on += knows
        if knows and derives:
            wrong += derived(draw, back_at, lags[taker]) != version
    return Outcome(interrupted, went_on, wrong, told, asked)


def killed_boxes(pattern: str, names: list[str], began_by: str, random: Random) -> set[str]:
    if pattern == "resets":
        return set()
    if pattern == "one killed":
        return {began_by}
    return {began_by, *random.sample(names, len(names) // 3 - 1)}


@pytest.mark.parametrize("pattern", PATTERNS)
@pytest.mark.parametrize("boxes", SIZES)
def test_streams_told_to_some_routers_are_known_after_their_box_was_killed(boxes: int, pattern: str):
    """Asking the box that began a stream fails for all streams of a killed box; deriving mixes versions."""
    outcome = play(boxes, pattern, "tell")
    assert outcome.wrong == 0
    assert outcome.went_on >= 0.75 * outcome.interrupted
    # As many messages for a stream at any size, and as many as there are routers for a question.
    assert outcome.told <= ROUTERS_TOLD * boxes * STREAMS_PER_BOX_S * ROLLOUT_S
    assert outcome.asked <= 9 * outcome.interrupted


def main() -> None:
    print("| boxes, fault | " + " | ".join(WAYS) + " |\n| --- |" + " --- |" * len(WAYS))
    for boxes in SIZES:
        for pattern in PATTERNS:
            cells = []
            for way in WAYS:
                found = play(boxes, pattern, way)
                share, bad = found.went_on / found.interrupted, found.wrong / found.interrupted
                a_stream = found.told / (boxes * STREAMS_PER_BOX_S * ROLLOUT_S)
                taken_up = found.asked / found.interrupted
                cells.append(f"{share:.2f} go on, {bad:.2f} wrong, {a_stream:.1f} + {taken_up:.1f}")
            print(f"| {boxes}, {pattern} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
