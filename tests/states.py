"""State of one box for unit tests, without processes or sockets."""

from stairquay.serving.event_log import EventLog
from stairquay.serving.settings import BoxSettings
from stairquay.serving.state import BoxState


def box_state(box: str = "b-1") -> BoxState:
    """Return the state of a box that has just started, in the data hall `hall-a`."""
    return BoxState(BoxSettings(box, "10.0.0.1", "hall-a", "a:1", "a:2"), EventLog(box))
