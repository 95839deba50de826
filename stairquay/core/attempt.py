"""One attempt to run a request at an endpoint, as a state machine.

The machine decides what may be said about the request. "Not run" is allowed only where no byte
can have left, or where the endpoint itself said that it did nothing.
"""

from enum import Enum
from typing import Any

from transitions import Machine

from stairquay.core.errors import Ran


class AttemptState(Enum):
    """Where an attempt stands."""

    PLANNED = "planned"
    SENT = "sent"
    REFUSED = "refused"
    ANSWERING = "answering"
    DONE = "done"
    BROKEN = "broken"


TRANSITIONS: Any = [
    ["send", AttemptState.PLANNED, AttemptState.SENT],
    ["refuse", AttemptState.SENT, AttemptState.REFUSED],
    ["answer", AttemptState.SENT, AttemptState.ANSWERING],
    ["finish", AttemptState.ANSWERING, AttemptState.DONE],
    ["lose", [AttemptState.SENT, AttemptState.ANSWERING], AttemptState.BROKEN],
    ["lose", AttemptState.PLANNED, AttemptState.REFUSED],
]

RAN_BY_STATE = {
    AttemptState.PLANNED: Ran.NOT_RUN,
    AttemptState.SENT: Ran.UNKNOWN,
    AttemptState.REFUSED: Ran.NOT_RUN,
    AttemptState.ANSWERING: Ran.UNKNOWN,
    AttemptState.DONE: Ran.RAN,
    AttemptState.BROKEN: Ran.UNKNOWN,
}


_MACHINE = Machine(model=None, states=AttemptState, transitions=TRANSITIONS, initial=AttemptState.PLANNED)


class Attempt:
    """State of one attempt. All attempts share one machine, which keeps none of them: binding each to it and
    taking it off again takes as long as all its transitions."""

    def __init__(self, run_id: str, endpoint: str) -> None:
        self.run_id = run_id
        self.endpoint = endpoint
        self.state = AttemptState.PLANNED

    def send(self) -> bool:
        """Go on before the first byte may leave."""
        return self._trigger("send")

    def refuse(self) -> bool:
        """Go on the endpoint's word that it did not run the request."""
        return self._trigger("refuse")

    def answer(self) -> bool:
        """Go on once the head of the endpoint's answer was read."""
        return self._trigger("answer")

    def finish(self) -> bool:
        """Go on once the whole answer was passed on."""
        return self._trigger("finish")

    def lose(self) -> bool:
        """Go on where no answer, or none that counts, can come any more."""
        return self._trigger("lose")

    @property
    def ran(self) -> Ran:
        """Return what may truthfully be said now."""
        return RAN_BY_STATE[self.state]

    def _trigger(self, name: str) -> bool:
        return bool(_MACHINE.events[name].trigger(self))


def combine_ran(first: Ran, second: Ran) -> Ran:
    """Return what holds for a request after two of its attempts."""
    order = [Ran.NOT_RUN, Ran.UNKNOWN, Ran.RAN]
    return max(first, second, key=order.index)
