"""Finds out which endpoints crashed, and under which requests.

A connection that breaks may have been reset alone. Whether its endpoint has crashed is asked at once, since
its entry in the list goes only after some seconds.
"""

import asyncio

from stairquay.adapters.clock import monotonic
from stairquay.core.crashes import Crash
from stairquay.core.fleet import Endpoint
from stairquay.serving.event_log import LogEvent
from stairquay.serving.jobs import Begun, Job
from stairquay.serving.ports import Peers
from stairquay.serving.state import BoxState


class CrashWatch:
    """Asks after endpoints whose connections broke."""

    def __init__(self, state: BoxState, peers: Peers) -> None:
        self.state = state
        self.peers = peers
        self.suspected_by_life: dict[str, dict[str, Crash]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def broke(self, job: Job, begun: Begun, events: int) -> None:
        """Take in that an endpoint's connection broke while it had a request, after so many events of the
        answer."""
        endpoint, now = begun.choice.endpoint, monotonic()
        life = f"{endpoint.id}/{begun.held.born}"
        waiting = self.suspected_by_life.get(life)
        if waiting is None:
            waiting = self.suspected_by_life[life] = {}
            task = asyncio.create_task(self._ask(endpoint, life, begun.held.born))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        waiting[job.digest] = Crash(job.digest, life, now, now - begun.sent_at, _events(job, begun, events))

    async def _ask(self, endpoint: Endpoint, life: str, born: int) -> None:
        """Find out whether a life of an endpoint has ended; all connections of a crash break within that."""
        try:
            accepts = await self.peers.accepts(endpoint.address)
        finally:
            suspected = self.suspected_by_life.pop(life)
        if accepts and self._still_lives(endpoint.id, born):
            return
        self.state.metrics.crashes.labels(self.state.metrics.labels.of(endpoint.service)).inc()
        self.state.log.line(
            LogEvent.CRASHED, endpoint=endpoint.id, life=life, accepts=accepts, requests=list(suspected)
        )
        self.state.quarantine.noticed(suspected.values())

    def _still_lives(self, endpoint_id: str, born: int) -> bool:
        """Tell whether an endpoint that takes connections is the one that was asked about, not one that has
        started at its address since."""
        held = self.state.endpoints_by_id.get(endpoint_id)
        return endpoint_id in self.state.fleet.by_id and held is not None and held.born == born


def _events(job: Job, begun: Begun, events: int) -> int | None:
    """Return how far an answer had come, None where an engine had not begun it. Plain services answer when
    they are done, so that nobody knows whether they had begun."""
    return None if job.service.engine is not None and not begun.replied else events
