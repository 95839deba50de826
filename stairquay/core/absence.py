"""Tells which boxes are gone, from the connections that they refuse, before their rows are old.

A box that is frozen, cut off or without power refuses nothing, so that refusals mean the same to all who see
them: no process listens there.
"""

from dataclasses import dataclass, field

from stairquay.core.reach import NEVER

GONE_AFTER_S = 2.0
"""Seconds of refusals after which a box counts as gone; one that is started again is back before."""

REFUSAL_TTL_S = 3.0
"""Seconds for which a refusal counts. Probes and requests repeat it while the box is gone."""

FORGET_S = 12.0
"""Seconds without a refusal after which a box has to refuse for `GONE_AFTER_S` again. A box that passes
requests on tries one that is gone only each time after `REFUSAL_TTL_S`."""

LOOK_INTERVAL_S = 0.1
"""Seconds for which an answer holds, since each request to a brittle endpoint asks some times."""


@dataclass
class RefusedConnections:
    """Boxes that refuse this box's connections, with the times of the first and last refusal in a row.

    gone_boxes: those that counted as gone when it was last looked, at `looked_at`.
    """

    first_at_by_box: dict[str, float] = field(default_factory=dict)
    last_at_by_box: dict[str, float] = field(default_factory=dict)
    gone_boxes: frozenset[str] = frozenset()
    looked_at: float = NEVER

    def record(self, box: str, refused: bool, now: float) -> None:
        """Record whether a box refused a connection."""
        if not refused:
            if self.first_at_by_box.pop(box, None) is not None:
                del self.last_at_by_box[box]
                self.looked_at = NEVER
            return
        for other in [item for item, at in self.last_at_by_box.items() if now - at >= FORGET_S]:
            self.record(other, False, now)
        self.first_at_by_box.setdefault(box, now)
        self.last_at_by_box[box] = now

    def is_refusing(self, box: str) -> bool:
        """Tell whether a box refused the last connection, gone or not."""
        return box in self.last_at_by_box

    def gone(self, now: float) -> frozenset[str]:
        """Return the boxes that count as gone."""
        if now - self.looked_at >= LOOK_INTERVAL_S:
            self.looked_at = now
            self.gone_boxes = frozenset(
                box
                for box, first_at in self.first_at_by_box.items()
                if now - self.last_at_by_box[box] < REFUSAL_TTL_S and now - first_at >= GONE_AFTER_S
            )
        return self.gone_boxes
