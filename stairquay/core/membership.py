"""Which boxes may get new work: the platform's list, corrected by endpoints' departure notices.

The list may lag behind. A departure notice takes effect at once and ends with its incarnation.
"""

from dataclasses import dataclass, field, replace

from stairquay.core.addresses import is_address
from stairquay.core.models import Box, BoxKind, BoxList, BoxState


def _without_invalid_addresses(box: Box) -> Box:
    """Return a row without the addresses that nobody could connect to."""
    valid = {role: address for role, address in box.addresses.items() if is_address(address)}
    return box if len(valid) == len(box.addresses) else replace(box, addresses=valid)


def _is_valid(box: Box) -> bool:
    """Tell whether a row can be used; others are dropped, so that one bad row does not stop its readers."""
    return box.kind == BoxKind.STAIRQUAY or "http" in box.addresses


@dataclass(frozen=True)
class Departure:
    """An endpoint's notice that one of its incarnations is leaving."""

    incarnation: str


@dataclass
class Membership:
    """The newest list of boxes, and the departure notices by box id."""

    boxes: BoxList = field(default_factory=BoxList)
    departures_by_id: dict[str, Departure] = field(default_factory=dict)

    def on_list(self, boxes: BoxList) -> bool:
        """Replace the list if this one is newer; return whether it was."""
        if boxes.as_of <= self.boxes.as_of:
            return False
        usable = map(_without_invalid_addresses, boxes.boxes)
        self.boxes = replace(boxes, boxes=tuple(filter(_is_valid, usable)))
        by_id = self.boxes.by_id
        for box_id in list(self.departures_by_id):
            self._drop_stale_departure(box_id, by_id.get(box_id))
        return True

    def on_leaving(self, box_id: str, incarnation: str) -> None:
        """Record an endpoint's departure notice."""
        self.departures_by_id[box_id] = Departure(incarnation)

    def on_alive(self, box_id: str, incarnation: str) -> None:
        """Record that an endpoint serves; a departure of another incarnation is dropped."""
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
        """Drop a departure once the list has another incarnation of the box, or no such box."""
        departure = self.departures_by_id[box_id]
        if box is None or box.incarnation != departure.incarnation:
            del self.departures_by_id[box_id]
