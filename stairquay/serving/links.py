"""gRPC server of routers, and the clients that boxes use to call them.

Messages are msgspec structs in MessagePack, so that no code has to be generated.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import grpc
import msgspec

from stairquay.adapters.channels import CHANNEL_OPTIONS, MAX_CONNECTIONS_OPTION, MAX_MESSAGE_OPTION
from stairquay.adapters.clock import monotonic
from stairquay.adapters.program import being_cancelled
from stairquay.core.answer_times import AnswerTimes
from stairquay.core.routers import Member
from stairquay.serving.brittleness import has_brittle_service
from stairquay.serving.event_log import LogEvent
from stairquay.serving.messages import (
    EndpointsReply,
    EndpointsRequest,
    FinishedNotice,
    NoticeReply,
    OperatorsReply,
    OperatorsRequest,
    OriginReply,
    OriginRequest,
    PlaceReply,
    PlaceRequest,
    ViewsReply,
    ViewsRequest,
)
from stairquay.serving.state import BoxState

SERVICE = "stairquay.Boxes"

KEEPALIVE_INTERVAL_MS = 900
"""Together with the timeout below 1.5 s, within which a box has to notice that a router fell silent."""

KEEPALIVE_TIMEOUT_MS = 500
"""Time after which an unanswered ping closes a channel: a box without power sends no reset."""

MAX_PING_STRIKES = 100
"""Pings in a row after which a channel is closed, as an answer to each is kept until it is sent. A router
that was frozen gets all pings sent meanwhile in one burst, which is not misuse."""

SUSPECT_S = 1.0
"""How long a router that did not answer is skipped."""

MAX_MESSAGE_BYTES = 8 * 1024 * 1024
"""Size above which a message fails its call. The largest holds a configuration, which the table service takes
with 1 MB at most; a faulty box's larger ones would cost a box of 150 MB its memory."""

MAX_CONNECTIONS = 1_000
"""Connections of other boxes where nothing else is given."""

GRPC_OPTIONS: list[tuple[str, Any]] = [
    *(option for option in CHANNEL_OPTIONS if option[0] != MAX_MESSAGE_OPTION),
    (MAX_MESSAGE_OPTION, MAX_MESSAGE_BYTES),
    ("grpc.keepalive_time_ms", KEEPALIVE_INTERVAL_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    # Without it, a ping to a peer whose kernel still acknowledges bytes is waited for a minute.
    ("grpc.http2.ping_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", KEEPALIVE_INTERVAL_MS // 2),
    ("grpc.http2.max_ping_strikes", MAX_PING_STRIKES),
    ("grpc.so_reuseport", 0),
]

Request = TypeVar("Request")
Reply = TypeVar("Reply")


class RouterHandlers(msgspec.Struct, frozen=True):
    """A router's handlers, by RPC method."""

    place: Callable[[PlaceRequest], Awaitable[PlaceReply]]
    finished: Callable[[FinishedNotice], Awaitable[NoticeReply]]
    operators: Callable[[OperatorsRequest], Awaitable[OperatorsReply]]
    endpoints: Callable[[EndpointsRequest], Awaitable[EndpointsReply]]
    views: Callable[[ViewsRequest], Awaitable[ViewsReply]]
    origin: Callable[[OriginRequest], Awaitable[OriginReply]]


OriginHandler = Callable[[OriginRequest], Awaitable[OriginReply]]


async def serve(
    address: str, handlers: RouterHandlers, max_connections: int = MAX_CONNECTIONS
) -> grpc.aio.Server:
    """Serve other boxes at an address as a router; raises OSError where it cannot be bound."""
    methods = {
        "Place": _handler(handlers.place, PlaceRequest),
        "Finished": _handler(handlers.finished, FinishedNotice),
        "Operators": _handler(handlers.operators, OperatorsRequest),
        "Endpoints": _handler(handlers.endpoints, EndpointsRequest),
        "Views": _handler(handlers.views, ViewsRequest),
        "Origin": _handler(handlers.origin, OriginRequest),
    }
    return await _serve_methods(address, methods, max_connections)


async def serve_origins(address: str, handler: OriginHandler, max_connections: int) -> grpc.aio.Server:
    """Tell other boxes where streams began; raises OSError where the address cannot be bound."""
    return await _serve_methods(address, {"Origin": _handler(handler, OriginRequest)}, max_connections)


async def _serve_methods(address: str, methods: dict[str, Any], max_connections: int) -> grpc.aio.Server:
    server = grpc.aio.server(options=[*GRPC_OPTIONS, (MAX_CONNECTIONS_OPTION, max_connections)])
    server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(SERVICE, methods),))
    try:
        bound = server.add_insecure_port(address)
    except RuntimeError as error:
        raise OSError(f"cannot listen on {address}") from error
    if bound == 0:
        raise OSError(f"cannot listen on {address}")
    await server.start()
    return server


class RouterClient:
    """A client of one router. Calls return None where the router does not answer in time."""

    def __init__(self, address: str) -> None:
        self.channel = grpc.aio.insecure_channel(address, options=GRPC_OPTIONS)
        self.place_times = AnswerTimes()
        # Why the last call that failed got no answer.
        self.last_failure = ""
        self._place = self._method("Place", PlaceReply)
        self._finished = self._method("Finished", NoticeReply)
        self._operators = self._method("Operators", OperatorsReply)
        self._endpoints = self._method("Endpoints", EndpointsReply)
        self._views = self._method("Views", ViewsReply)
        self._origin = self._method("Origin", OriginReply)

    async def place(self, request: PlaceRequest, limit_s: float) -> PlaceReply | None:
        """Ask where a prompt should run."""
        return await self._reply_or_none(self._place(request, timeout=limit_s))

    async def finished(self, notice: FinishedNotice, limit_s: float) -> NoticeReply | None:
        """Report attempts that have ended."""
        return await self._reply_or_none(self._finished(notice, timeout=limit_s))

    async def operators(self, request: OperatorsRequest, limit_s: float) -> OperatorsReply | None:
        """Ask for the router's view of operators' rows."""
        return await self._reply_or_none(self._operators(request, timeout=request.wait_s + limit_s))

    async def endpoints(self, request: EndpointsRequest, limit_s: float) -> EndpointsReply | None:
        """Ask for the router's view of the list of endpoints."""
        return await self._reply_or_none(self._endpoints(request, timeout=request.wait_s + limit_s))

    async def views(self, request: ViewsRequest, limit_s: float) -> ViewsReply | None:
        """Ask for both views as soon as one of them changes."""
        wait_s = max(request.operators.wait_s, request.endpoints.wait_s)
        return await self._reply_or_none(self._views(request, timeout=wait_s + limit_s))

    async def origin(self, request: OriginRequest, limit_s: float) -> OriginReply | None:
        """Ask where a stream began. A box that is no router may answer this as well."""
        return await self._reply_or_none(self._origin(request, timeout=limit_s))

    async def close(self) -> None:
        """Close the channel."""
        await self.channel.close()

    async def _reply_or_none(self, call: Awaitable[Reply]) -> Reply | None:
        try:
            return await call
        except grpc.aio.AioRpcError as error:
            # The caller records it and asks another router.
            self.last_failure = f"{error.code().name}: {error.details()}"
            return None
        except asyncio.CancelledError:
            # gRPC also cancels pending calls when their channel is closed; that counts as no reply.
            if being_cancelled():
                raise
            self.last_failure = "the channel was closed"
            return None

    def _method(self, name: str, reply: type[Any]) -> Callable[..., Awaitable[Any]]:
        call: Callable[..., Awaitable[Any]] = self.channel.unary_unary(
            f"/{SERVICE}/{name}",
            request_serializer=msgspec.msgpack.encode,
            response_deserializer=msgspec.msgpack.Decoder(reply).decode,
        )
        return call


class RouterClients:
    """Clients of routers by address, and the ids of routers that did not answer."""

    def __init__(self, state: BoxState) -> None:
        self.state = state
        self.clients_by_address: dict[str, RouterClient] = {}
        self.lost_ids: set[str] = set()

    def client_for(self, router: Member) -> RouterClient:
        """Return the client of a router, created on first use."""
        client = self.clients_by_address.get(router.address)
        if client is None:
            client = self.clients_by_address[router.address] = RouterClient(router.address)
        return client

    def record_answer(self, router: Member, answer: Reply | None, question: str) -> Reply | None:
        """Return a router's answer, and record whether it came. A router without answer is suspected."""
        if answer is not None:
            self._end_suspicion(router)
            if router.id in self.lost_ids:
                self.lost_ids.remove(router.id)
                self._log(router, "regained", question)
            return answer
        self.state.suspect(router.id, SUSPECT_S)
        self.state.metrics.unanswered_router_calls.inc()
        if router.id not in self.lost_ids:
            self.lost_ids.add(router.id)
            client = self.clients_by_address.get(router.address)
            self._log(router, "lost", question, "" if client is None else client.last_failure)
        return None

    def _end_suspicion(self, router: Member) -> None:
        """End the suspicion of a router that answered while an endpoint is brittle, as it goes on placing."""
        now = monotonic()
        if not self.state.is_suspected(router.id) or not has_brittle_service(self.state, now):
            return
        del self.state.suspected_until_by_id[router.id]
        self.state.handovers.restart(now)
        self.state.changed.notify_all()

    def _log(self, router: Member, outcome: str, question: str, detail: str = "") -> None:
        name = f"router {router.id}"
        self.state.log.line(LogEvent.DEPENDENCY, name=name, outcome=outcome, question=question, detail=detail)

    async def run(self) -> None:
        """Close the channels to former routers, until cancelled."""
        while True:
            kept = self.state.routers
            await self.close_others(kept)
            while self.state.routers == kept:
                await self.state.changed.wait()

    async def close_others(self, routers: tuple[Member, ...]) -> None:
        """Close the channels to all but these routers, and forget the others' failures."""
        wanted = {router.address for router in routers}
        for address in set(self.clients_by_address) - wanted:
            await self.clients_by_address.pop(address).close()
        ids = {router.id for router in routers}
        for known in set(self.state.suspected_until_by_id) - ids:
            del self.state.suspected_until_by_id[known]
        self.lost_ids &= ids


def _handler(answer: Callable[[Request], Awaitable[Reply]], kind: type[Request]) -> Any:
    async def handle(request: Request, _: Any) -> Reply:
        return await answer(request)

    return grpc.unary_unary_rpc_method_handler(
        handle,
        request_deserializer=msgspec.msgpack.Decoder(kind).decode,
        response_serializer=msgspec.msgpack.encode,
    )
