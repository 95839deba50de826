"""Plain services: lookup by path, and the steps of proxying a call."""

from collections.abc import AsyncIterator

from aiohttp import web
from result import Err, Ok, Result

from stairquay.core.client_memory import BodyClaim
from stairquay.core.errors import ErrorKind, Refusal
from stairquay.core.models import Service, Workspace, allowed
from stairquay.entry.attempts import AttemptSteps, IncomingRequest
from stairquay.entry.bodies import read_body, stream_body
from stairquay.entry.context import EntryContext
from stairquay.entry.marks import KEY_HEADER, REPEATABLE_HEADER, TIMEOUT_HEADER, RequestOptions
from stairquay.entry.relay import FirstByteCallback, end_to_end_headers, plain_relay
from stairquay.entry.targets import Target, plain_chooser
from stairquay.entry.upstream import RUN_ID_HEADER, OutgoingRequest

MAX_REPLAYABLE_BYTES = 65_536
"""Bodies up to this size are buffered, so that they can be sent again."""

WORKSPACE_HEADER = "X-Stairquay-Workspace"

NOT_FORWARDED = frozenset(
    name.lower()
    for name in (
        "Authorization",
        "Host",
        "Content-Length",
        KEY_HEADER,
        REPEATABLE_HEADER,
        TIMEOUT_HEADER,
        RUN_ID_HEADER,
        WORKSPACE_HEADER,
    )
)
"""Client headers (lower case) that are dropped, since the entry consumes or sets them."""


def find_plain_service(context: EntryContext, workspace: Workspace, path: str) -> Service | None:
    """Return the plain service with the longest prefix of a path."""
    for prefix, service in context.view.configuration.plain_by_prefix.items():
        matches = path == prefix or path.startswith(prefix.rstrip("/") + "/")
        if matches and allowed(workspace, service):
            return service
    return None


async def read_plain_body(
    context: EntryContext,
    request: web.Request,
    service: Service,
    options: RequestOptions,
    claim: BodyClaim,
) -> Result[bytes | AsyncIterator[bytes], Refusal]:
    """Return the body buffered if it is small or has an idempotency key, else as a stream."""
    content_length = request.content_length
    if content_length is not None and content_length > service.max_body_bytes:
        return Err(Refusal(ErrorKind.BODY_TOO_LARGE, detail=f"at most {service.max_body_bytes} bytes"))
    small = content_length is not None and content_length <= MAX_REPLAYABLE_BYTES
    timeout_s = context.settings.body_timeout_s
    if small or options.key or not request.can_read_body:
        body_read = await read_body(request, service.max_body_bytes, timeout_s, claim)
        return body_read.map(lambda body: body)
    return Ok(stream_body(request, service.max_body_bytes, timeout_s))


def plain_steps(
    context: EntryContext,
    incoming: IncomingRequest,
    request: web.Request,
    body: bytes | AsyncIterator[bytes],
    on_first_byte: FirstByteCallback,
) -> AttemptSteps:
    """Return the attempt steps for a call of a plain service."""
    forwarded_headers = {
        key: value for key, value in end_to_end_headers(request).items() if key.lower() not in NOT_FORWARDED
    }

    def prepare(target: Target, run_id: str, _: bool) -> OutgoingRequest:
        headers = {**forwarded_headers, RUN_ID_HEADER: run_id, WORKSPACE_HEADER: incoming.workspace.id}
        url = f"http://{target.address}{request.path_qs}"
        return OutgoingRequest(request.method, url, headers, body or None, verify_run_id=False)

    relay = plain_relay(context, incoming, request, on_first_byte)
    return AttemptSteps(plain_chooser(context, incoming.service), prepare, relay)
