"""Handles callers' HTTP requests: finds the route, checks the API key, reads the body and dispatches."""

import asyncio
from random import Random

from aiohttp import HttpVersion11, web
from aiohttp.hdrs import EXPECT
from result import Err, Ok, Result

from stairquay.adapters.bounded_handler import (
    LINGER_S,
    ShedBodyError,
    is_refused,
    large_receive_buffer,
    release_frames,
)
from stairquay.adapters.client_connections import CloseReason
from stairquay.adapters.clock import monotonic
from stairquay.adapters.early_answer import RequestHead
from stairquay.adapters.shutdown import PendingRequest
from stairquay.adapters.unfinished import has_next_request
from stairquay.core.call import Call
from stairquay.core.catalog import Catalog, Route, WorkspacePolicy, engine_priority, pick_service
from stairquay.core.client_memory import BodyClaim, NoBodyMemoryError
from stairquay.core.errors import ErrorKind, ExecutionStatus, Refusal
from stairquay.serving.dispatch import Dispatcher
from stairquay.serving.event_log import LogEvent
from stairquay.serving.jobs import Job
from stairquay.serving.overload import overload_refusal
from stairquay.serving.ports import CallerCodec
from stairquay.serving.refusals import stopping
from stairquay.serving.state import BoxState

BODY_TIMEOUT_S = 10.0
"""Seconds within which a caller must send the body."""

NOT_READY_RETRY_S = 0.05
"""Retry-After in seconds when this box's view is too old. The connection is closed as well, so that the retry
reaches another box."""

MAX_REQUESTS_PER_DESCRIPTOR = 0.35
"""Below 0.5, as each request has a connection on both sides and idle connections stay open."""

DESCRIPTORS = "descriptors"
MEMORY = "memory"
"""Resources of which a box may have too little, in its metrics."""

KIND_BY_REASON = {
    CloseReason.HEAD_TOO_LARGE: ErrorKind.HEAD_TOO_LARGE,
    CloseReason.HEAD_TIMEOUT: ErrorKind.SLOW_SENDER,
    CloseReason.MEMORY: ErrorKind.OVERLOADED,
}
"""Errors of requests that were not read as a whole."""

CONTINUE = "100-continue"
"""The only value of an Expect header that HTTP defines."""

DEADLINE_MARGIN_S = 0.02
"""Seconds by which a job's deadline precedes the caller's, for sending the response."""


class Frontend:
    """Handles callers' requests."""

    def __init__(self, state: BoxState, callers: CallerCodec, dispatcher: Dispatcher, random: Random) -> None:
        self.state = state
        self.callers = callers
        self.dispatcher = dispatcher
        self.random = random

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request."""
        arrived_at = monotonic()
        self.state.in_flight += 1
        if self.state.in_flight == 1:
            self.state.load_wakeup.notify_all()
        try:
            if EXPECT in request.headers and not self.state.shutdown.is_refusing():
                await _invite_body(request)
            response = await self._handle(request, arrived_at)
            await _write(request, response)
            if self.state.stopping and not response.keep_alive:
                await _linger(request)
            return response
        finally:
            self.state.in_flight -= 1

    def refuse_early(self, head: RequestHead) -> bytes | None:
        """Return the refusal of a request that this box has no time for, None to handle it.

        Everything else that may be wrong with a request is left to `handle`.
        """
        catalog = self.state.catalog
        call = self.callers.decode_head(head)
        if catalog is None or call is None or self.state.shutdown.is_refusing() or not self.state.fleet_known:
            return None
        resolved = self._route_and_authenticate(catalog, call)
        if isinstance(resolved, Err):
            return None
        route, workspace = resolved.ok_value
        priority = engine_priority(route, workspace)
        if self.state.load.admits(priority):
            return None
        return self.callers.encode_refusal(call.id, overload_refusal(self.state, priority, route.objective_s))

    def refuse_unread(self, reason: CloseReason) -> web.Response:
        """Return the refusal of a request that was not read as a whole."""
        refusal = Refusal(KIND_BY_REASON.get(reason, ErrorKind.BAD_REQUEST))
        self.state.metrics.refusals.labels(refusal.kind.value, refusal.ran.value).inc()
        return self.callers.refuse("", refusal)

    async def _handle(self, request: web.BaseRequest, arrived_at: float) -> web.StreamResponse:
        decoded = self.callers.decode(request)
        if isinstance(decoded, Err):
            return self._refuse(request, "", decoded.err_value, arrived_at)
        call = decoded.ok_value
        try:
            outcome = await self._serve(request, call, arrived_at)
        except asyncio.CancelledError:
            self.state.log.line(
                LogEvent.ENDED, call.id, outcome="caller_left", took_s=monotonic() - arrived_at
            )
            raise
        except ConnectionError as error:
            self.state.log.line(LogEvent.ENDED, call.id, outcome="caller_left", detail=type(error).__name__)
            return web.Response(status=499)
        if isinstance(outcome, Err):
            return self._refuse(request, call.id, outcome.err_value, arrived_at)
        response = outcome.ok_value
        if not response.prepared:
            self._close_after(request, response)
        return response

    def _close_after(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        """Let an answer end its connection if callers should move to another box.

        Not while the caller has sent a further request on it, which would get no answer.
        """
        if self.state.should_close_connections() and not has_next_request(request):
            response.force_close()

    async def _serve(
        self, request: web.BaseRequest, call: Call, arrived_at: float
    ) -> Result[web.StreamResponse, Refusal]:
        if self.state.shutdown.is_refusing():
            return Err(stopping(ExecutionStatus.NOT_RUN))
        catalog = self.state.catalog
        if catalog is None or not self.state.fleet_known:
            return Err(self._not_ready_refusal("no configuration yet"))
        if not self.state.crashes_known():
            return Err(self._not_ready_refusal("crashes that other boxes reported are not known yet"))
        if self._knows_less_than_sender(call):
            return Err(Refusal(ErrorKind.OLDER_CONFIGURATION, retry_after_s=NOT_READY_RETRY_S))
        exhausted = self._exhausted_resource(request)
        if exhausted:
            return Err(self._exhausted_refusal(exhausted))
        resolved = self._route_and_authenticate(catalog, call)
        if isinstance(resolved, Err):
            return resolved
        route, workspace = resolved.ok_value
        priority = engine_priority(route, workspace)
        if not self.state.load.admits(priority):
            refusal = overload_refusal(self.state, priority, route.objective_s)
            response = self.callers.refuse(call.id, refusal)
            if not has_next_request(request):
                response.force_close()
            return Ok(response)
        self.state.load.started(priority)
        try:
            return await self._serve_admitted(request, call, catalog, route, workspace, arrived_at)
        finally:
            self.state.load.finished(priority)

    async def _serve_admitted(
        self,
        request: web.BaseRequest,
        call: Call,
        catalog: Catalog,
        route: Route,
        workspace: WorkspacePolicy | None,
        arrived_at: float,
    ) -> Result[web.StreamResponse, Refusal]:
        claim = BodyClaim(self.state.client_memory)
        timeout_s = route.timeout_s if call.time_left_s is None else min(call.time_left_s, route.timeout_s)
        deadline = arrived_at + timeout_s - DEADLINE_MARGIN_S
        try:
            body = await self._read_body_unless_stopped(request, catalog, claim, deadline)
            if isinstance(body, Err):
                return body
            if self.state.catalog is not None and self.state.catalog is not catalog:
                # The body came slowly: the key may have been taken away, the route may be another one.
                catalog = self.state.catalog
                resolved = self._route_and_authenticate(catalog, call)
                if isinstance(resolved, Err):
                    return resolved
                route, workspace = resolved.ok_value
            job = self._create_job(call, body.ok_value, catalog, route, workspace, arrived_at, deadline)
            if isinstance(job, Err):
                return job
            self._count_request(job.ok_value)
            return await self.dispatcher.run(job.ok_value, request)
        finally:
            claim.release()

    async def _read_body_unless_stopped(
        self, request: web.BaseRequest, catalog: Catalog, claim: BodyClaim, deadline: float
    ) -> Result[bytes, Refusal]:
        """Read the body, or return a refusal at once when the request may not be passed on any more."""
        pending = PendingRequest(self.state.shutdown, deadline)
        self.state.awaiting_bodies += 1
        try:
            async with pending:
                body = await self._read_body(request, catalog, claim)
        except TimeoutError:
            if not pending.was_ended:
                raise
            return Err(stopping(ExecutionStatus.NOT_RUN))
        finally:
            self.state.awaiting_bodies -= 1
        return body if self.state.shutdown.allows(deadline) else Err(stopping(ExecutionStatus.NOT_RUN))

    def _knows_less_than_sender(self, call: Call) -> bool:
        """Tell whether another box passed a request on by a newer configuration than is in force here."""
        sent_by, known = call.forwarded_configuration, self.state.catalog_version
        return sent_by is not None and known is not None and known < sent_by

    def _route_and_authenticate(
        self, catalog: Catalog, call: Call
    ) -> Result[tuple[Route, WorkspacePolicy | None], Refusal]:
        """Return the route, and the workspace of the API key if the route needs one."""
        keys_fresh = self.state.keys_fresh()
        route = catalog.route_for(call.host, call.path)
        if route is None:
            return Err(
                Refusal(ErrorKind.UNKNOWN_PATH) if keys_fresh else self._not_ready_refusal("view too old")
            )
        if not catalog.needs_key(route):
            return Ok((route, None))
        if not keys_fresh:
            return Err(self._not_ready_refusal("view too old for a key"))
        workspace = None if call.key is None else catalog.workspaces_by_key.get(call.key)
        if workspace is None:
            return Err(Refusal(ErrorKind.UNAUTHENTICATED))
        return Ok((route, workspace))

    def _exhausted_resource(self, request: web.BaseRequest) -> str:
        """Return which limit this request exceeds, or an empty string."""
        # A request that waits for its body has no connection to an endpoint yet.
        with_bodies = self.state.in_flight - self.state.awaiting_bodies
        if with_bodies > self.state.settings.max_descriptors * MAX_REQUESTS_PER_DESCRIPTOR:
            return DESCRIPTORS
        return "" if self.state.client_memory.fits(request.content_length or 0) else MEMORY

    def _exhausted_refusal(self, resource: str) -> Refusal:
        self.state.metrics.box_refusals.labels(resource).inc()
        return Refusal(ErrorKind.OVERLOADED, detail="this box has as many requests as it can hold")

    def _not_ready_refusal(self, detail: str) -> Refusal:
        return Refusal(ErrorKind.NOT_READY, ExecutionStatus.NOT_RUN, detail, NOT_READY_RETRY_S)

    async def _read_body(
        self, request: web.BaseRequest, catalog: Catalog, claim: BodyClaim
    ) -> Result[bytes, Refusal]:
        if not request.body_exists:
            return Ok(b"")
        limit = catalog.limits.max_body_bytes
        if request.content_length is not None and request.content_length > limit:
            return Err(Refusal(ErrorKind.BODY_TOO_LARGE))
        try:
            claim.cover(request.content_length or 0)
            if request.content.is_eof():
                # Usual, as a small body comes with the head: there is nothing to wait for.
                body = request.content.read_nowait()
                claim.cover(len(body))
            else:
                with large_receive_buffer(request):
                    body = await _receive_body(request, limit, claim)
        except NoBodyMemoryError:
            return Err(self._exhausted_refusal(MEMORY))
        except TimeoutError:
            return Err(Refusal(ErrorKind.SLOW_SENDER))
        except web.RequestPayloadError as error:
            release_frames(error)
            if isinstance(error, ShedBodyError):
                return Err(self._exhausted_refusal(DESCRIPTORS))
            return Err(Refusal(ErrorKind.BAD_REQUEST, detail=str(error)))
        return Err(Refusal(ErrorKind.BODY_TOO_LARGE)) if len(body) > limit else Ok(body)

    def _create_job(
        self,
        call: Call,
        body: bytes,
        catalog: Catalog,
        route: Route,
        workspace: WorkspacePolicy | None,
        arrived_at: float,
        deadline: float,
    ) -> Result[Job, Refusal]:
        service = catalog.services_by_id.get(pick_service(route, self.random.random()))
        if service is None:
            return Err(Refusal(ErrorKind.NO_ENDPOINT, detail="the route names no known service"))
        return Ok(Job(call, body, catalog, route, service, workspace, arrived_at, deadline))

    def _count_request(self, job: Job) -> None:
        metrics = self.state.metrics
        labels = metrics.labels.of(job.workspace_id), metrics.labels.of(job.route.id)
        metrics.child(metrics.requests, *labels).inc()

    def _refuse(
        self, request: web.BaseRequest, call_id: str, refusal: Refusal, arrived_at: float
    ) -> web.Response:
        catalog = self.state.catalog
        self.state.metrics.refusals.labels(refusal.kind.value, refusal.ran.value).inc()
        self.state.log.line(
            LogEvent.REFUSED,
            call_id,
            cause=refusal.kind.value,
            ran=refusal.ran.value,
            detail=refusal.detail,
            status=refusal.response.status,
            come_back_s=refusal.effective_retry_after_s,
            view_age_s=self.state.view_age(),
            configuration=0 if catalog is None else catalog.version,
            took_s=monotonic() - arrived_at,
        )
        response = self.callers.refuse(call_id, refusal)
        if is_refused(request):
            response.force_close()
        self._close_after(request, response)
        return response


async def _write(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """Write the answer here and not in the HTTP server, so that a box that stops waits for it."""
    try:
        await response.prepare(request)
        await response.write_eof()
    except ConnectionError:
        # The caller has left; the HTTP server finds the connection closed.
        return


async def _linger(request: web.BaseRequest) -> None:
    """Read what still comes after the last answer on a connection, until the caller closes it: closing before
    would reset the connection, and the caller might lose the answer."""
    transport = request.transport
    if transport is None:
        return
    try:
        transport.write_eof()
        async with asyncio.timeout(LINGER_S):
            while not request.content.at_eof():
                await request.content.readany()
            # Ended by the server as the caller closes the connection.
            await asyncio.sleep(LINGER_S)
    except (web.RequestPayloadError, OSError):
        # The caller has the answer by now, or has left.
        return


async def _invite_body(request: web.BaseRequest) -> None:
    """Answer the Expect header of a caller that waits before it sends the body."""
    if request.version < HttpVersion11:
        return
    if request.headers[EXPECT].lower() != CONTINUE:
        raise web.HTTPExpectationFailed
    writer = request.writer
    await writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    # The answer itself has not begun.
    writer.output_size = 0


async def _receive_body(request: web.BaseRequest, limit: int, claim: BodyClaim) -> bytes:
    """Return the body, or a beginning of it that exceeds the limit.

    Raises TimeoutError if it is too slow, and NoBodyMemoryError if the box has no memory for the rest.
    """
    body = bytearray()
    async with asyncio.timeout(BODY_TIMEOUT_S):
        async for chunk in request.content.iter_any():
            body += chunk
            if len(body) > limit:
                break
            claim.cover(len(body))
            # Not kept while the next one is awaited.
            del chunk
    return bytes(body)
