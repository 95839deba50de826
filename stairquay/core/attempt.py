"""One attempt to run a request at an endpoint, as a state machine.

"Not run" is reported only if no byte can have been sent, or if the endpoint said that it did nothing.
"""

from enum import Enum
from typing import Any

from transitions import Machine, MachineError

from stairquay.core.errors import ExecutionStatus


class AttemptState(Enum):
    """State of an attempt."""

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
    AttemptState.PLANNED: ExecutionStatus.NOT_RUN,
    AttemptState.SENT: ExecutionStatus.UNKNOWN,
    AttemptState.REFUSED: ExecutionStatus.NOT_RUN,
    AttemptState.ANSWERING: ExecutionStatus.UNKNOWN,
    AttemptState.DONE: ExecutionStatus.RAN,
    AttemptState.BROKEN: ExecutionStatus.UNKNOWN,
}


_MACHINE = Machine(
    model=None,
    states=AttemptState,
    transitions=TRANSITIONS,
    initial=AttemptState.PLANNED,
    auto_transitions=False,
)
"""Checks the transitions once, at import. Attempts look up their next state: a trigger of the machine itself
takes up to 0.1 ms, and each attempt has three."""

_NEXT_STATE: dict[tuple[str, AttemptState], AttemptState] = {
    (name, AttemptState[source]): AttemptState[str(transition.dest)]
    for name, event in _MACHINE.events.items()
    for source, transitions in event.transitions.items()
    for transition in transitions
}


class Attempt:
    """State of one attempt."""

    def __init__(self, run_id: str, endpoint: str) -> None:
        self.run_id = run_id
        self.endpoint = endpoint
        self.state = AttemptState.PLANNED

    def send(self) -> bool:
        """Record that the first byte may be sent from now on."""
        return self._trigger("send")

    def refuse(self) -> bool:
        """Record that the endpoint reported that it did not run the request."""
        return self._trigger("refuse")

    def answer(self) -> bool:
        """Record that the head of the answer was received."""
        return self._trigger("answer")

    def finish(self) -> bool:
        """Record that the whole answer was passed on."""
        return self._trigger("finish")

    def lose(self) -> bool:
        """Record that no usable answer can arrive any more."""
        return self._trigger("lose")

    @property
    def ran(self) -> ExecutionStatus:
        """Return whether the request ran, as far as is known."""
        return RAN_BY_STATE[self.state]

    @property
    def is_running(self) -> bool:
        """Return whether the request was sent, and neither answered in full nor lost."""
        return self.state in (AttemptState.SENT, AttemptState.ANSWERING)

    def _trigger(self, name: str) -> bool:
        """Go to the next state. Raises MachineError if the current one has no such transition."""
        following = _NEXT_STATE.get((name, self.state))
        if following is None:
            raise MachineError(f"Can't trigger event {name} from state {self.state.name}!")
        self.state = following
        return True


def combine_execution_status(first: ExecutionStatus, second: ExecutionStatus) -> ExecutionStatus:
    """Return whether a request ran, after two of its attempts."""
    order = [ExecutionStatus.NOT_RUN, ExecutionStatus.UNKNOWN, ExecutionStatus.RAN]
    return max(first, second, key=order.index)
