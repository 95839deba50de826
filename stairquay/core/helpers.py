"""Picks the box that serves a request for a box that reaches no endpoint of its service."""

from collections.abc import Collection
from dataclasses import dataclass, field
from random import Random

ENOUGH_HELPERS = 12
"""Boxes that have helped from which others are no longer looked for. Fewer would get too much of the load.
With a hall of 330 boxes cut, the busiest box handles 2.6 times the mean with 3, and 1.8 times with 12."""

HELPED_TTL_S = 5.0
"""Seconds for which a box that has helped is preferred."""

UNHELPFUL_S = 2.0
"""Seconds for which a box that could not help is left out."""

BEHIND_S = 0.25
"""Seconds for which a box with an older configuration is left out. Most boxes learn of a new one within that
time of each other."""

MAX_UNHELPFUL = 8
"""Boxes left out, with none that has helped, from which the service counts as down everywhere."""


@dataclass
class Helpers:
    """What this box knows of other boxes' ways to one service. Times are monotonic seconds, by box id."""

    helped_at_by_id: dict[str, float] = field(default_factory=dict)
    unhelpful_until_by_id: dict[str, float] = field(default_factory=dict)

    def record(self, box: str, helped: bool, now: float) -> None:
        """Record whether a box reached the service's endpoints."""
        if helped:
            self.helped_at_by_id[box] = now
            self.unhelpful_until_by_id.pop(box, None)
        else:
            self.helped_at_by_id.pop(box, None)
            self.unhelpful_until_by_id[box] = now + UNHELPFUL_S

    def record_behind(self, box: str, now: float) -> None:
        """Record that a box goes by an older configuration, which says nothing of its way to the service."""
        self.unhelpful_until_by_id[box] = max(now + BEHIND_S, self.unhelpful_until_by_id.get(box, now))

    def pick(self, boxes: Collection[str], now: float, random: Random) -> str | None:
        """Return the box to ask next, None if none is left that may help."""
        self._expire(boxes, now)
        helping = [
            box for box in boxes if box in self.helped_at_by_id and box not in self.unhelpful_until_by_id
        ]
        if len(helping) >= ENOUGH_HELPERS:
            return random.choice(helping)
        if not helping and len(self.unhelpful_until_by_id) >= MAX_UNHELPFUL:
            return None
        left = [box for box in boxes if box not in self.unhelpful_until_by_id]
        return random.choice(left) if left else None

    def has_helped(self, now: float) -> bool:
        """Return whether another box has reached the service's endpoints lately."""
        return any(now - at < HELPED_TTL_S for at in self.helped_at_by_id.values())

    def _expire(self, boxes: Collection[str], now: float) -> None:
        self.helped_at_by_id = {
            box: at for box, at in self.helped_at_by_id.items() if now - at < HELPED_TTL_S and box in boxes
        }
        self.unhelpful_until_by_id = {
            box: until for box, until in self.unhelpful_until_by_id.items() if until > now and box in boxes
        }
