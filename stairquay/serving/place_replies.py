"""Decodes a router's reply about a prompt into the choice of an endpoint."""

from stairquay.core.fleet import Endpoint
from stairquay.core.placement import EngineView, Placement
from stairquay.serving.endpoint_choice import Choice
from stairquay.serving.messages import PlaceReply, PlaceRequest


def choice_from_reply(endpoint: Endpoint, reply: PlaceReply, router: str, request: PlaceRequest) -> Choice:
    """Return the choice of a router."""
    engine = EngineView(id=endpoint.id, address=endpoint.address, resident=())
    # A router of an earlier release names no end where it doesn't know the endpoints' clock.
    fetch_from = () if reply.fetch_until_ms is None else reply.fetch_from
    placement = Placement(engine, fetch_from, reply.reused, reply.fetched, reply.read, reply.first_token_s)
    return Choice(
        endpoint=endpoint,
        version=reply.version,
        scope=reply.scope,
        placement=placement,
        alternative_s=reply.alternative_s,
        backlog_s=reply.backlog_s,
        fetch_until_ms=reply.fetch_until_ms,
        save_to=reply.save_to,
        router=router,
        ticket=request.ticket,
        waited_s=request.waited_s,
        again_s=reply.again_s,
        decided=reply.decided,
    )
