"""Detects crashed endpoints, and records the requests that were running there.

A broken connection does not prove a crash, and crashed endpoints stay listed for seconds, so they are probed.
"""

import asyncio

from stairquay.adapters.clock import monotonic
from stairquay.core.crashes import Crash
from stairquay.core.fleet import Endpoint
from stairquay.serving.event_log import LogEvent
from stairquay.serving.jobs import Job, StartedAttempt
from stairquay.serving.ports import Peers
from stairquay.serving.state import BoxState


class CrashDetector:
    """Probes endpoints whose connections broke.

    crashes_by_incarnation: crashes to record, by request digest, for each probe under way.
    """

    def __init__(self, state: BoxState, peers: Peers) -> None:
        self.state = state
        self.peers = peers
        self.crashes_by_incarnation: dict[str, dict[str, Crash]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def connection_broken(self, job: Job, started_attempt: StartedAttempt, events: int) -> None:
        """Probe the endpoint of a broken connection. events: events of the answer received before."""
        endpoint, now = started_attempt.choice.endpoint, monotonic()
        incarnation = f"{endpoint.id}/{started_attempt.endpoint_state.born}"
        suspected = self.crashes_by_incarnation.get(incarnation)
        if suspected is None:
            suspected = self.crashes_by_incarnation[incarnation] = {}
            task = asyncio.create_task(
                self._probe(endpoint, incarnation, started_attempt.endpoint_state.born)
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        suspected[job.digest] = Crash(
            job.digest,
            incarnation,
            now,
            now - started_attempt.sent_at,
            _events_received(job, started_attempt, events),
        )

    async def _probe(self, endpoint: Endpoint, incarnation: str, born: int) -> None:
        """Record a crash, with connections broken meanwhile, unless this incarnation still runs."""
        try:
            accepts = await self.peers.accepts_connections(endpoint.address)
        finally:
            suspected = self.crashes_by_incarnation.pop(incarnation)
        if accepts and self._is_still_running(endpoint.id, born):
            return
        self.state.metrics.crashes.labels(self.state.metrics.labels.of(endpoint.service)).inc()
        self.state.log.line(
            LogEvent.CRASHED,
            endpoint=endpoint.id,
            life=incarnation,
            accepts=accepts,
            requests=list(suspected),
        )
        self.state.quarantine.record_crashes(suspected.values())

    def _is_still_running(self, endpoint_id: str, born: int) -> bool:
        """Return whether an endpoint is still listed, and was not restarted at its address."""
        known = self.state.endpoints_by_id.get(endpoint_id)
        return endpoint_id in self.state.fleet.by_id and known is not None and known.born == born


def _events_received(job: Job, started_attempt: StartedAttempt, events: int) -> int | None:
    """Return the events received, None if an engine had not begun its answer.

    A plain service answers only when done, so its missing answer does not show that it had not begun.
    """
    return None if job.service.engine is not None and not started_attempt.head_received else events
