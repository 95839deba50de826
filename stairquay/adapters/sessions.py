"""HTTP sessions to endpoints and store boxes, of the programs that run apart from each other."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from aiohttp import ClientSession, TCPConnector


@dataclass(frozen=True)
class EndpointSessions:
    """reports: for reading what endpoints tell of themselves. orders: for what they are told to do.

    An endpoint may send its answer to an earlier request once more, in the place of the one that is due. What
    it answers to orders has no number or id, so that each has a connection of its own.
    """

    reports: ClientSession
    orders: ClientSession


@asynccontextmanager
async def open_endpoint_sessions() -> AsyncIterator[EndpointSessions]:
    """Open the sessions, and close them at the end; an event loop must be running."""
    async with ClientSession() as reports, ClientSession(connector=TCPConnector(force_close=True)) as orders:
        yield EndpointSessions(reports, orders)
