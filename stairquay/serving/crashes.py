"""Detects crashed endpoints, and records the requests that were running there.

A broken connection does not prove a crash, and crashed endpoints stay listed for seconds, so they are probed.
Where none takes a connection, this box may be cut from all of them.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

from msgspec.structs import replace

from stairquay.adapters.clock import monotonic
from stairquay.core.crashes import INNOCENT_EVENTS, PART_PREFIX, Crash, event_count, is_part
from stairquay.core.fleet import Endpoint
from stairquay.serving.event_log import LogEvent
from stairquay.serving.held_crashes import CrashesAwaitingRestart, HeldCrashes
from stairquay.serving.jobs import Job, StartedAttempt
from stairquay.serving.ports import Peers
from stairquay.serving.reach import probe_endpoints, record_unreached
from stairquay.serving.state import BoxState

CUT_KNOWN_AFTER_S = 1.0
"""Seconds after which a crash is recorded though this box reaches no endpoint of the service. Until then a
request has been passed on to another box, unless there is none that reaches the service."""

CUT_CHECK_S = 0.02
"""Seconds between two looks."""

OTHERS_TRIED = 2
"""Other endpoints that are tried: one of them may have crashed as well."""

SETTLE_S = 0.1
"""Most seconds for which a request waits for the check of the endpoint that it may have crashed."""

DECIDING_SETTLE_S = 0.5
"""The same where one more crash quarantines the request, which may crash another endpoint before that."""

OUTLIVED_S = 0.3
"""Seconds after which an engine that a caller has left, and that has not crashed, shows the parts of the
prompt innocent. A part that crashes engines does so as soon as they begin to answer."""


@dataclass
class CrashProbe:
    """A check of an endpoint.

    crashes_by_digest: what to record if it crashed. ended: set when that is done.
    """

    crashes_by_digest: dict[str, Crash] = field(default_factory=dict)
    ended: asyncio.Event = field(default_factory=asyncio.Event)


class CrashDetector:
    """Probes endpoints whose connections broke, by incarnation."""

    def __init__(self, state: BoxState, peers: Peers) -> None:
        self.state = state
        self.peers = peers
        self.probes_by_incarnation: dict[str, CrashProbe] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.awaiting_restart = CrashesAwaitingRestart(state, self._record_held)

    def connection_broken(self, job: Job, started_attempt: StartedAttempt, events: int) -> None:
        """Probe the endpoint of a broken connection. events: events of the answer received before."""
        endpoint, now = started_attempt.choice.endpoint, monotonic()
        incarnation = _incarnation_of(started_attempt)
        probe = self.probes_by_incarnation.get(incarnation)
        if probe is None:
            probe = self.probes_by_incarnation[incarnation] = CrashProbe()
            task = asyncio.create_task(
                self._probe(endpoint, incarnation, started_attempt.endpoint_state.born)
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        received = _events_received(job, started_attempt, events)
        if events >= INNOCENT_EVENTS:
            self.state.quarantine.record_served(job.part_digests, _began_at(started_attempt))
        crash = Crash(job.digest, incarnation, now, now - started_attempt.sent_at, received)
        probe.crashes_by_digest[job.digest] = crash
        for digest in job.part_digests:
            known = probe.crashes_by_digest.get(digest)
            if known is None or event_count(crash) > event_count(known):
                probe.crashes_by_digest[digest] = replace(crash, digest=digest)

    def caller_left(self, job: Job, started_attempt: StartedAttempt) -> None:
        """Take an answer that its caller left for one that ended well as far as it went, if it had begun.

        Where all callers leave early, no answer ever ends, and this is all that can show a part innocent. An
        engine that crashed since shows nothing, unless what is not in the prompt explains its crash.
        """
        if started_attempt.first_byte_at is None or not job.part_digests:
            return
        incarnation = _incarnation_of(started_attempt)

        def record() -> None:
            quarantine = self.state.quarantine
            crashed = any(incarnation == known for _, known in quarantine.own_crashes)
            if incarnation in self.probes_by_incarnation:
                return
            if not crashed or quarantine.explains(incarnation, without=(job.digest, *job.part_digests)):
                quarantine.record_served(job.part_digests, _began_at(started_attempt))

        asyncio.get_running_loop().call_later(OUTLIVED_S, record)

    async def settle(self, digest: str) -> None:
        """Wait until it is known whether a request has crashed an endpoint, but not for long.

        Sent again before, on a connection that is open already, it would reach one endpoint too many.
        """
        pending = [item for item in self.probes_by_incarnation.values() if digest in item.crashes_by_digest]
        is_suspected = self.state.quarantine.is_suspected(digest)
        try:
            async with asyncio.timeout(DECIDING_SETTLE_S if is_suspected else SETTLE_S):
                for probe in pending:
                    await probe.ended.wait()
        except TimeoutError:
            # The endpoint neither takes nor refuses a connection.
            return

    async def _probe(self, endpoint: Endpoint, incarnation: str, born: int) -> None:
        """Record a crash, with connections broken meanwhile, unless this incarnation still runs."""
        probe = self.probes_by_incarnation[incarnation]
        try:
            accepts = await self.peers.accepts_connections(endpoint.address)
            if not accepts:
                record_unreached(self.state, endpoint)
            if accepts and self._is_still_running(endpoint.id, born):
                return
            if not accepts and await self._is_cut_off(endpoint):
                self.state.log.line(
                    LogEvent.REACH, service=endpoint.service, outcome="no_crash", endpoint=endpoint.id
                )
                self.awaiting_restart.hold(endpoint, born, probe.crashes_by_digest)
                return
            self._record(endpoint, born, accepts, probe.crashes_by_digest)
        finally:
            del self.probes_by_incarnation[incarnation]
            probe.ended.set()

    def _record_held(self, held: HeldCrashes) -> None:
        self._record(held.endpoint, held.born, False, held.crashes_by_digest)

    def _record(self, endpoint: Endpoint, born: int, accepts: bool, suspected: Mapping[str, Crash]) -> None:
        self.state.metrics.crashes.labels(self.state.metrics.labels.of(endpoint.service)).inc()
        self.state.log.line(
            LogEvent.CRASHED,
            endpoint=endpoint.id,
            life=_incarnation(endpoint.id, born),
            accepts=accepts,
            requests=[digest for digest in suspected if not is_part(digest)],
            parts=[digest.removeprefix(PART_PREFIX) for digest in suspected if is_part(digest)],
        )
        self.state.quarantine.record_crashes(suspected.values())

    async def _is_cut_off(self, endpoint: Endpoint) -> bool:
        """Return whether this box is cut from an endpoint's service.

        Crashes that cut boxes report would quarantine requests that crashed nothing. While the service is
        lost, this box sends it nothing, so that waiting lets no further endpoint crash. An endpoint that has
        left the list has ended: that others reach the service only shows that another one has started.
        """
        service, until, is_cut = endpoint.service, monotonic() + CUT_KNOWN_AFTER_S, False
        await self._try_others(endpoint)
        while (is_cut or service in self.state.lost_services) and monotonic() < until:
            fleet = self.state.fleet
            if endpoint.id not in fleet.by_id or endpoint.id in fleet.missing_since_by_id:
                return False
            is_cut = is_cut or self.state.is_cut_from(service)
            await asyncio.sleep(CUT_CHECK_S)
        return is_cut

    async def _try_others(self, endpoint: Endpoint) -> None:
        """Record whether this box reaches other endpoints of a service: one alone does not show a cut."""
        usable = self.state.fleet.usable(endpoint.service, monotonic())
        others = [item for item in usable if item.id != endpoint.id]
        accepts = self.peers.accepts_connections
        await probe_endpoints(self.state, endpoint.service, others, OTHERS_TRIED, accepts)

    def _is_still_running(self, endpoint_id: str, born: int) -> bool:
        """Return whether an endpoint is still listed, and was not restarted at its address."""
        known = self.state.endpoints_by_id.get(endpoint_id)
        return endpoint_id in self.state.fleet.by_id and known is not None and known.born == born


def _incarnation(endpoint_id: str, born: int) -> str:
    """Return the name of an endpoint's process."""
    return f"{endpoint_id}/{born}"


def _incarnation_of(started_attempt: StartedAttempt) -> str:
    """Return the name of the endpoint process that an attempt was sent to."""
    return _incarnation(started_attempt.choice.endpoint.id, started_attempt.endpoint_state.born)


def _began_at(started_attempt: StartedAttempt) -> float:
    """Return when an answer began, or when its request was sent if that is not known."""
    began_at = started_attempt.first_byte_at
    return started_attempt.sent_at if began_at is None else began_at


def _events_received(job: Job, started_attempt: StartedAttempt, events: int) -> int | None:
    """Return the events received, None if an engine had not begun its answer.

    A plain service answers only when done, so its missing answer does not show that it had not begun.
    """
    return None if job.service.engine is not None and not started_attempt.head_received else events
