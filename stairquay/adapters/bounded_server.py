"""HTTP servers whose connections hold a bounded part of a request until it is read."""

import ssl
from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.web import Server

from stairquay.adapters.bounded_handler import BoundedHandler, EncodeRefusal, plain_refusal
from stairquay.adapters.client_connections import ClientConnections
from stairquay.adapters.tls_handshakes import tls_factory


def handler_factory(
    server: Server, connections: ClientConnections, encode_refusal: EncodeRefusal = plain_refusal
) -> Callable[[], BoundedHandler]:
    """Return the factory of a server's connections, in place of the server itself."""

    def create() -> BoundedHandler:
        return BoundedHandler(server, connections, encode_refusal, loop=server._loop, **server._kwargs)

    return create


class BoundedAppRunner(web.AppRunner):
    """Runs a web application with bounded connections, over TLS with a context for it."""

    def __init__(
        self,
        app: web.Application,
        connections: ClientConnections,
        ssl_context: ssl.SSLContext | None = None,
        **options: Any,
    ) -> None:
        super().__init__(app, **options)
        self.connections = connections
        self.ssl_context = ssl_context

    @property
    def server(self) -> Any:
        """Return the factory of protocols for new connections."""
        server = super().server
        if server is None:
            return None
        factory = handler_factory(server, self.connections)
        if self.ssl_context is None:
            return factory
        return tls_factory(factory, self.ssl_context, self.connections)

    async def cleanup(self) -> None:
        """Stop the server."""
        await super().cleanup()
        self.connections.stop()
