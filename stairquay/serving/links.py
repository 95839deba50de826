"""gRPC between boxes of ours: a server on boxes that route, channels to them, and which of them are silent.

Messages are typed structs in MessagePack, so that there is no code to generate.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import grpc
import msgspec

from stairquay.adapters.channels import CHANNEL_OPTIONS
from stairquay.adapters.program import being_cancelled
from stairquay.core.routers import Member
from stairquay.serving.event_log import LogEvent
from stairquay.serving.messages import (
    EndpointsReply,
    EndpointsRequest,
    FinishedNotice,
    Nothing,
    OperatorsReply,
    OperatorsRequest,
    PlaceReply,
    PlaceRequest,
    ViewsReply,
    ViewsRequest,
)
from stairquay.serving.state import BoxState

SERVICE = "stairquay.Boxes"

PROBE_MS = 1_000
"""Milliseconds between two probes of an idle channel."""

PROBE_ANSWER_MS = 500
"""Milliseconds after which an unanswered probe ends a channel: a box without power says nothing."""

SUSPECT_S = 1.0
"""Seconds for which a router that did not answer is passed over."""

LINK_OPTIONS: list[tuple[str, Any]] = [
    *CHANNEL_OPTIONS,
    ("grpc.keepalive_time_ms", PROBE_MS),
    ("grpc.keepalive_timeout_ms", PROBE_ANSWER_MS),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", PROBE_MS // 2),
    ("grpc.so_reuseport", 0),
]

Request = TypeVar("Request")
Reply = TypeVar("Reply")


@dataclass(frozen=True)
class Answers:
    """What a router answers, by kind of question."""

    place: Callable[[PlaceRequest], Awaitable[PlaceReply]]
    finished: Callable[[FinishedNotice], Awaitable[Nothing]]
    operators: Callable[[OperatorsRequest], Awaitable[OperatorsReply]]
    endpoints: Callable[[EndpointsRequest], Awaitable[EndpointsReply]]
    views: Callable[[ViewsRequest], Awaitable[ViewsReply]]


async def serve(address: str, answers: Answers) -> grpc.aio.Server:
    """Serve other boxes at an address; raises OSError where it is taken."""
    server = grpc.aio.server(options=LINK_OPTIONS)
    handlers = {
        "Place": _handler(answers.place, PlaceRequest),
        "Finished": _handler(answers.finished, FinishedNotice),
        "Operators": _handler(answers.operators, OperatorsRequest),
        "Endpoints": _handler(answers.endpoints, EndpointsRequest),
        "Views": _handler(answers.views, ViewsRequest),
    }
    server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(SERVICE, handlers),))
    try:
        bound = server.add_insecure_port(address)
    except RuntimeError as error:
        raise OSError(f"cannot listen on {address}") from error
    if bound == 0:
        raise OSError(f"cannot listen on {address}")
    await server.start()
    return server


class Link:
    """A channel to one router. Calls give None where the router does not answer in time."""

    def __init__(self, address: str) -> None:
        self.channel = grpc.aio.insecure_channel(address, options=LINK_OPTIONS)
        self._place = self._call("Place", PlaceReply)
        self._finished = self._call("Finished", Nothing)
        self._operators = self._call("Operators", OperatorsReply)
        self._endpoints = self._call("Endpoints", EndpointsReply)
        self._views = self._call("Views", ViewsReply)

    async def place(self, request: PlaceRequest, limit_s: float) -> PlaceReply | None:
        """Ask where a prompt should run."""
        return await _answered(self._place(request, timeout=limit_s))

    async def finished(self, notice: FinishedNotice, limit_s: float) -> Nothing | None:
        """Tell which requests have ended."""
        return await _answered(self._finished(notice, timeout=limit_s))

    async def operators(self, request: OperatorsRequest, limit_s: float) -> OperatorsReply | None:
        """Ask for the router's view of operators' rows."""
        return await _answered(self._operators(request, timeout=request.wait_s + limit_s))

    async def endpoints(self, request: EndpointsRequest, limit_s: float) -> EndpointsReply | None:
        """Ask for the router's view of the list of endpoints."""
        return await _answered(self._endpoints(request, timeout=request.wait_s + limit_s))

    async def views(self, request: ViewsRequest, limit_s: float) -> ViewsReply | None:
        """Ask for both views as soon as one of them changes."""
        wait_s = max(request.operators.wait_s, request.endpoints.wait_s)
        return await _answered(self._views(request, timeout=wait_s + limit_s))

    async def close(self) -> None:
        """Free the connection."""
        await self.channel.close()

    def _call(self, name: str, reply: type[Any]) -> Callable[..., Awaitable[Any]]:
        call: Callable[..., Awaitable[Any]] = self.channel.unary_unary(
            f"/{SERVICE}/{name}",
            request_serializer=msgspec.msgpack.encode,
            response_deserializer=msgspec.msgpack.Decoder(reply).decode,
        )
        return call


class Links:
    """Open channels to routers, and which of them lately did not answer."""

    def __init__(self, state: BoxState) -> None:
        self.state = state
        self.links_by_address: dict[str, Link] = {}
        self.lost: set[str] = set()

    def to(self, router: Member) -> Link:
        """Return the channel to a router."""
        link = self.links_by_address.get(router.address)
        if link is None:
            link = self.links_by_address[router.address] = Link(router.address)
        return link

    def heard(self, router: Member, answer: Reply | None, question: str) -> Reply | None:
        """Note whether a router answered, and return its answer. One that did not is passed over a while."""
        if answer is not None:
            if router.id in self.lost:
                self.lost.remove(router.id)
                self._log(router, "regained", question)
            return answer
        self.state.suspect(router.id, SUSPECT_S)
        self.state.metrics.unanswered_router_calls.inc()
        if router.id not in self.lost:
            self.lost.add(router.id)
            self._log(router, "lost", question)
        return None

    def _log(self, router: Member, outcome: str, question: str) -> None:
        name = f"router {router.id}"
        self.state.log.line(LogEvent.DEPENDENCY, name=name, outcome=outcome, question=question)

    async def run(self) -> None:
        """Close the channels to boxes that are routers no longer, until cancelled."""
        while True:
            kept = self.state.routers
            await self.keep_only(kept)
            while self.state.routers == kept:
                await self.state.changed.wait()

    async def keep_only(self, routers: tuple[Member, ...]) -> None:
        """Close the channels to boxes that are routers no longer."""
        wanted = {router.address for router in routers}
        for address in set(self.links_by_address) - wanted:
            await self.links_by_address.pop(address).close()
        ids = {router.id for router in routers}
        for known in set(self.state.suspected_until_by_id) - ids:
            del self.state.suspected_until_by_id[known]
        self.lost &= ids


async def _answered(call: Awaitable[Reply]) -> Reply | None:
    try:
        return await call
    except grpc.aio.AioRpcError:
        # The caller counts it and asks another box.
        return None
    except asyncio.CancelledError:
        # The library cancels calls under way when their channel is closed; only our own task's end goes on.
        if being_cancelled():
            raise
        return None


def _handler(answer: Callable[[Request], Awaitable[Reply]], kind: type[Request]) -> Any:
    async def handle(request: Request, _: Any) -> Reply:
        return await answer(request)

    return grpc.unary_unary_rpc_method_handler(
        handle,
        request_deserializer=msgspec.msgpack.Decoder(kind).decode,
        response_serializer=msgspec.msgpack.encode,
    )
