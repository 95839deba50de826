"""Prompts: lookup of engine services by model name, and the steps of running a prompt."""

from functools import partial

from aiohttp import web
from result import Err, Ok, Result

from stairquay.core.errors import ErrorKind, Refusal
from stairquay.core.identity import identify_prompt, workspace_key
from stairquay.core.models import Service, ServiceKind, Workspace, allowed
from stairquay.entry.attempts import AttemptSteps, IncomingRequest
from stairquay.entry.context import EntryContext
from stairquay.entry.openai_requests import PromptRequest, engine_body
from stairquay.entry.relay import FirstByteCallback, cancel_run, engine_relay
from stairquay.entry.targets import RouteClient, Target
from stairquay.entry.upstream import RUN_ID_HEADER, OutgoingRequest

PRIORITY_HEADER = "X-Priority"


def largest_body_limit(context: EntryContext) -> int:
    """Return the largest body limit, which applies until the model has been read from the body."""
    services = context.view.configuration.services.values()
    return max((item.max_body_bytes for item in services), default=0)


def find_engine_service(
    context: EntryContext, workspace: Workspace, model: str, body_bytes: int
) -> Result[Service, Refusal]:
    """Return the engine service of a model, if the workspace may use it."""
    service = context.view.configuration.services.get(model)
    if service is None or service.kind != ServiceKind.ENGINE or not allowed(workspace, service):
        return Err(Refusal(ErrorKind.UNKNOWN_MODEL))
    if body_bytes > service.max_body_bytes:
        return Err(Refusal(ErrorKind.BODY_TOO_LARGE, detail=f"at most {service.max_body_bytes} bytes"))
    return Ok(service)


def engine_priority(workspace: Workspace, high_priority: bool) -> int:
    """Return a run's priority at its engine; higher goes first.

    Workspaces without a backlog win ties, so that engines keep the order of the entry's fair queue.
    """
    return 2 * workspace.priority + high_priority


def prompt_steps(
    context: EntryContext,
    routes: RouteClient,
    incoming: IncomingRequest,
    request: web.Request,
    prompt: PromptRequest,
    on_first_byte: FirstByteCallback,
) -> AttemptSteps:
    """Return the attempt steps for a prompt."""
    workspace = incoming.workspace
    key = workspace_key(workspace.kept_secret, workspace.id, incoming.service.id)
    prompt_identity = identify_prompt(key, prompt.opening, prompt.text)
    choose = routes.chooser(incoming.service, workspace, prompt_identity, prompt.turn)

    def prepare(target: Target, run_id: str, high_priority: bool) -> OutgoingRequest:
        headers = {
            "Content-Type": "application/json",
            RUN_ID_HEADER: run_id,
            PRIORITY_HEADER: str(engine_priority(workspace, high_priority)),
        }
        body = engine_body(prompt, target.ids, target.version)
        return OutgoingRequest("POST", f"http://{target.address}{request.path}", headers, body)

    relay = engine_relay(context, incoming, request, prompt.stream, on_first_byte)
    return AttemptSteps(choose, prepare, relay, partial(cancel_run, context))
