"""All of the platform's dialect, put together as the ports of the one-process program."""

from stairquay.platform.callers import CallerDialect
from stairquay.platform.connections import open_session
from stairquay.platform.endpoints import EndpointClient
from stairquay.platform.feeds import Feeds
from stairquay.platform.names import CRASH_TABLE, READY_PATH
from stairquay.platform.peers import PeerClient
from stairquay.platform.rows import FollowedRows, OwnRows, TableClient
from stairquay.serving.ports import Ports


def open_surroundings(table_address: str) -> Ports:
    """Open the clients; a loop must be running."""
    forwarding = open_session()
    asking = open_session()
    table = TableClient(table_address, asking)

    async def close() -> None:
        await forwarding.close()
        await asking.close()

    return Ports(
        feeds=Feeds(table),
        own=OwnRows(table),
        peers=PeerClient(asking),
        endpoints=EndpointClient(forwarding),
        callers=CallerDialect(),
        ready_path=READY_PATH,
        close=close,
        crashes=FollowedRows(table, CRASH_TABLE),
    )
