"""Creates all of the platform's clients, as the ports of the one-process program."""

from stairquay.core.buffers import BufferBudget
from stairquay.platform.box_client import BoxClient
from stairquay.platform.callers import PlatformCallerCodec
from stairquay.platform.connection_pool import ConnectionPool
from stairquay.platform.connections import open_session
from stairquay.platform.endpoints import EndpointClient
from stairquay.platform.feeds import Feeds
from stairquay.platform.names import CRASH_TABLE, READY_PATH
from stairquay.platform.peers import PeerClient
from stairquay.platform.polling import PollClient
from stairquay.platform.rows import FollowedRows, OwnRows, TableClient
from stairquay.serving.ports import Ports


def open_clients(table_address: str, buffers: BufferBudget) -> Ports:
    """Open the clients; an event loop must be running. buffers: bounds the incomplete answers of all."""
    request_pool = ConnectionPool()
    table_session = open_session()
    order_session = open_session(reuse=False)
    polls = PollClient(budget=buffers)
    table = TableClient(table_address, table_session, buffers)

    async def close() -> None:
        await request_pool.close()
        await table_session.close()
        await order_session.close()
        polls.close()

    return Ports(
        feeds=Feeds(table),
        own=OwnRows(table),
        peers=PeerClient(order_session, polls),
        endpoints=EndpointClient(request_pool),
        callers=PlatformCallerCodec(),
        ready_path=READY_PATH,
        close=close,
        crashes=FollowedRows(table, CRASH_TABLE),
        boxes=BoxClient(request_pool),
    )
