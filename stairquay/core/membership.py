"""Which endpoints may get new work: the platform's lagging list, corrected by endpoints' own words.

Whoever says that an endpoint is leaving is believed at once. It counts as back only under another
incarnation, or where it was never said to leave.
"""

from dataclasses import dataclass, field, replace

from stairquay.core.models import Box, BoxKind, BoxList, BoxState


def _is_valid(box: Box) -> bool:
    """Tell whether a row can be used: one bad row must not stop every process that reads the list."""
    return box.kind == BoxKind.STAIRQUAY or "http" in box.addresses


@dataclass(frozen=True)
class Departure:
    """An endpoint's word that it is leaving, for one incarnation."""

    incarnation: str


@dataclass
class Membership:
    """The newest list seen, and departures heard from endpoints themselves, by box id."""

    boxes: BoxList = field(default_factory=BoxList)
    departures_by_id: dict[str, Departure] = field(default_factory=dict)

    def on_list(self, boxes: BoxList) -> bool:
        """Take in a list unless it is older than the one held; tell whether it was newer."""
        if boxes.as_of <= self.boxes.as_of:
            return False
        self.boxes = replace(boxes, boxes=tuple(filter(_is_valid, boxes.boxes)))
        by_id = self.boxes.by_id
        for box_id in list(self.departures_by_id):
            self._drop_stale_departure(box_id, by_id.get(box_id))
        return True

    def on_leaving(self, box_id: str, incarnation: str) -> None:
        """Take in an endpoint's own word that it is leaving."""
        self.departures_by_id[box_id] = Departure(incarnation)

    def on_alive(self, box_id: str, incarnation: str) -> None:
        """Take in an endpoint's own word that it serves, under an incarnation."""
        departure = self.departures_by_id.get(box_id)
        if departure is not None and departure.incarnation != incarnation:
            del self.departures_by_id[box_id]

    def usable(self, box_id: str) -> Box | None:
        """Return the box if it may get new work."""
        box = self.boxes.by_id.get(box_id)
        if box is None or box.state != BoxState.LIVE:
            return None
        if box_id in self.departures_by_id:
            return None
        return box

    def _drop_stale_departure(self, box_id: str, box: Box | None) -> None:
        """Drop a departure once the list shows another life of the box, or no box."""
        departure = self.departures_by_id[box_id]
        if box is None or box.incarnation != departure.incarnation:
            del self.departures_by_id[box_id]
