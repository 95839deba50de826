"""Crashes that this box took for a cut, held until a new incarnation shows that the process had ended.

While all endpoints of a service are down, a box can't tell that from a cut: another box reached the service a
moment ago. Dropped crashes would let the request that causes them crash the endpoints again on their return.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from stairquay.adapters.clock import monotonic
from stairquay.core.crashes import Crash
from stairquay.core.fleet import Endpoint
from stairquay.serving.state import BoxState

HELD_S = 10.0
"""Seconds for which crashes are held. A process that crashed is started again within some seconds; one that
starts later may have been restarted by an operator after a cut."""


@dataclass(frozen=True)
class HeldCrashes:
    """Crashes of one incarnation. at: monotonic seconds of the last broken connection."""

    endpoint: Endpoint
    born: int
    at: float
    crashes_by_digest: Mapping[str, Crash]


class CrashesAwaitingRestart:
    """Held crashes by endpoint, and the function that records those whose endpoint has restarted."""

    def __init__(self, state: BoxState, record: Callable[[HeldCrashes], None]) -> None:
        self.state = state
        self.record = record
        self.held_by_endpoint: dict[str, HeldCrashes] = {}
        state.incarnation_listeners.append(self.incarnation_started)

    def hold(self, endpoint: Endpoint, born: int, crashes_by_digest: Mapping[str, Crash]) -> None:
        """Hold the crashes of an incarnation, unless its start time is not known."""
        now = monotonic()
        self.held_by_endpoint = {
            key: item for key, item in self.held_by_endpoint.items() if now - item.at < HELD_S
        }
        if not born:
            return
        earlier = self.held_by_endpoint.get(endpoint.id)
        if earlier is not None and earlier.born == born:
            crashes_by_digest = {**earlier.crashes_by_digest, **crashes_by_digest}
        self.held_by_endpoint[endpoint.id] = HeldCrashes(endpoint, born, now, crashes_by_digest)
        known = self.state.endpoints_by_id.get(endpoint.id)
        if known is not None:
            self.incarnation_started(endpoint.id, known.born)

    def incarnation_started(self, endpoint_id: str, born: int) -> None:
        """Record what is held of an earlier incarnation, unless that had announced that it leaves."""
        held = self.held_by_endpoint.get(endpoint_id)
        if held is None or born <= held.born:
            return
        del self.held_by_endpoint[endpoint_id]
        was_leaving = self.state.fleet.is_marked_leaving(endpoint_id, held.born)
        if not was_leaving and monotonic() - held.at < HELD_S:
            self.record(held)
