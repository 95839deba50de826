"""gRPC channels and servers between the processes of stairquay, with optional mutual TLS."""

from collections.abc import Iterable
from itertools import islice
from pathlib import Path

import grpc

from stairquay.adapters.channels import CHANNEL_OPTIONS
from stairquay.adapters.router_pb2_grpc import RouterStub
from stairquay.adapters.settings import TlsSettings

MAX_PRECONNECTED_ROUTERS = 16
"""Routers whose channels are connected before their first use."""


class RouterChannels:
    """Pool of gRPC channels to routers, one for each address."""

    def __init__(self, tls: TlsSettings) -> None:
        self.tls = tls
        self.channels_by_address: dict[str, grpc.aio.Channel] = {}

    def stub(self, address: str) -> RouterStub:
        """Return a stub for a router, opening its channel if there is none."""
        channel = self.channels_by_address.get(address)
        if channel is None:
            channel = self._open(address)
            self.channels_by_address[address] = channel
        return RouterStub(channel)

    def connect(self, addresses: Iterable[str]) -> None:
        """Connect up to `MAX_PRECONNECTED_ROUTERS` channels; further ones connect on first use."""
        for address in islice(addresses, MAX_PRECONNECTED_ROUTERS):
            self.stub(address)
            self.channels_by_address[address].get_state(try_to_connect=True)

    async def close_others(self, addresses: set[str]) -> None:
        """Close the channels to all addresses other than these."""
        for address in set(self.channels_by_address) - addresses:
            await self.channels_by_address.pop(address).close()

    async def close(self) -> None:
        """Close all channels."""
        await self.close_others(set())

    def _open(self, address: str) -> grpc.aio.Channel:
        if not self.tls.certificate:
            return grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
        credentials = grpc.ssl_channel_credentials(
            root_certificates=Path(self.tls.authority).read_bytes(),
            private_key=Path(self.tls.key).read_bytes(),
            certificate_chain=Path(self.tls.certificate).read_bytes(),
        )
        return grpc.aio.secure_channel(address, credentials, options=CHANNEL_OPTIONS)


def bind(server: grpc.aio.Server, address: str, tls: TlsSettings) -> None:
    """Bind a gRPC server to an address; with TLS, clients must present a certificate."""
    if not tls.certificate:
        port = server.add_insecure_port(address)
    else:
        key_pair = (Path(tls.key).read_bytes(), Path(tls.certificate).read_bytes())
        credentials = grpc.ssl_server_credentials(
            [key_pair],
            root_certificates=Path(tls.authority).read_bytes(),
            require_client_auth=True,
        )
        port = server.add_secure_port(address, credentials)
    if port == 0:
        raise OSError(f"cannot listen on {address}")
