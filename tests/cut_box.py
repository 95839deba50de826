"""A box whose links to some ports a test cuts, as a network does: `python -m tests.cut_box box`.

The file `cut.json` beside the box's settings names the ports and how they are cut; without it nothing is.
Calls of other boxes' routers are cut one by one, since gRPC opens its connections outside the event loop.
"""

import asyncio
import errno
import json
import os
from asyncio.selector_events import BaseSelectorEventLoop
from collections.abc import Awaitable, Callable
from enum import Enum
from pathlib import Path
from typing import Any

import grpc

from stairquay.__main__ import run
from stairquay.serving.links import RouterClient

CHECK_S = 0.02
"""Seconds between two looks at the file."""

GIVEN_UP_S = 1.5
"""Seconds after which a connection that hangs ends, as with TCP_USER_TIMEOUT and unacknowledged bytes."""

IDLE_S = 2.5
"""Seconds after which one ends on which nothing was sent, by keepalive probes."""

CUT_FILE = "cut.json"


class CutKind(str, Enum):
    """What becomes of the links."""

    RESET = "reset"
    """Open connections are reset, and new ones refused."""

    HANG = "hang"
    """Nothing passes."""

    REFUSE_NEW = "refuse_new"
    """Open connections live on, and new ones are refused."""


def write_cut(folder: Path, kind: CutKind | None, ports: list[int]) -> None:
    """Cut a box's links to these ports, or heal them."""
    part = folder / "cut.part"
    part.write_text(json.dumps({"kind": kind.value if kind else "", "ports": ports}))
    part.rename(folder / CUT_FILE)


class HeldLink:
    """An open connection that nothing passes until the links heal, or that ends before.

    What is written meanwhile is kept, as by a system that sends it again and again.
    """

    def __init__(self, loop: Any, transport: Any) -> None:
        self.transport = transport
        self.written: list[bytes] = []
        self.wants_data = not transport._paused
        transport.pause_reading()
        transport.write = self._write
        transport.pause_reading = lambda: self._want_data(False)
        transport.resume_reading = lambda: self._want_data(True)
        self.timers = [loop.call_later(GIVEN_UP_S, self._end_if_written), loop.call_later(IDLE_S, self._end)]

    def heal(self) -> None:
        for timer in self.timers:
            timer.cancel()
        for name in ("write", "pause_reading", "resume_reading"):
            self.transport.__dict__.pop(name, None)
        if self.transport.is_closing():
            return
        if self.wants_data:
            self.transport.resume_reading()
        if self.written:
            self.transport.write(b"".join(self.written))

    def _write(self, data: bytes) -> None:
        self.written.append(bytes(data))

    def _want_data(self, wants: bool) -> None:
        self.wants_data = wants

    def _end_if_written(self) -> None:
        if self.written:
            self._end()

    def _end(self) -> None:
        if not self.transport.is_closing():
            self.transport._fatal_error(TimeoutError(errno.ETIMEDOUT, "cut"))


class Links:
    """The cut that is in force in this process."""

    def __init__(self, file: Path) -> None:
        self.file = file
        self.text = ""
        self.kind: CutKind | None = None
        self.ports: frozenset[int] = frozenset()
        self.watcher: asyncio.Task[None] | None = None
        self.held: list[HeldLink] = []
        self.healed = asyncio.Event()

    async def watch(self, loop: Any) -> None:
        while True:
            self.read(loop)
            await asyncio.sleep(CHECK_S)

    def read(self, loop: Any) -> None:
        text = self.file.read_text() if self.file.exists() else ""
        if text == self.text:
            return
        self.text = text
        for link in self.held:
            link.heal()
        self.held.clear()
        self.healed.set()
        self.healed = asyncio.Event()
        cut = json.loads(text)
        self.kind = CutKind(cut["kind"]) if cut["kind"] else None
        self.ports = frozenset(cut["ports"])
        if self.kind is None or self.kind == CutKind.REFUSE_NEW:
            return
        for transport in list(loop._transports.values()):
            peer = transport.get_extra_info("peername")
            if peer is None or peer[1] not in self.ports or transport.is_closing():
                continue
            if self.kind == CutKind.RESET:
                transport._fatal_error(ConnectionResetError(errno.ECONNRESET, "cut"))
            else:
                self.held.append(HeldLink(loop, transport))

    async def before_connect(self, port: int) -> None:
        """Raise where a new connection is refused, and wait where it hangs."""
        while self.kind == CutKind.HANG and port in self.ports:
            await self.healed.wait()
        if self.kind is not None and port in self.ports:
            raise ConnectionRefusedError(errno.ECONNREFUSED, "cut")

    async def router_call(self, port: int, start: Callable[[], Awaitable[Any]], timeout_s: float) -> Any:
        """Return the reply to a call of a router; raise where its link is reset, or hangs for too long."""
        async with asyncio.timeout(timeout_s):
            while self.kind == CutKind.HANG and port in self.ports:
                await self.healed.wait()
        call = asyncio.ensure_future(_awaited(start))
        try:
            while True:
                if self.kind == CutKind.RESET and port in self.ports:
                    raise ConnectionResetError(errno.ECONNRESET, "cut")
                hangs = self.kind == CutKind.HANG and port in self.ports
                if call.done() and not hangs:
                    return call.result()
                change = asyncio.ensure_future(self.healed.wait())
                try:
                    async with asyncio.timeout(timeout_s):
                        await asyncio.wait(
                            {change} if hangs else {change, call}, return_when="FIRST_COMPLETED"
                        )
                finally:
                    change.cancel()
        finally:
            call.cancel()


async def _awaited(start: Callable[[], Awaitable[Any]]) -> Any:
    return await start()


def cut_router_calls(links: Links) -> None:
    """Have calls of routers go by the cut that is in force."""
    make_client, make_method = RouterClient.__init__, RouterClient._method
    ports_by_client: dict[int, int] = {}

    def init(client: RouterClient, address: str) -> None:
        ports_by_client[id(client)] = int(address.rpartition(":")[2])
        make_client(client, address)

    def method(client: RouterClient, name: str, reply: type[Any]) -> Callable[..., Awaitable[Any]]:
        call, port = make_method(client, name, reply), ports_by_client[id(client)]

        async def call_unless_cut(request: Any, timeout: float) -> Any:
            try:
                return await links.router_call(port, lambda: call(request, timeout=timeout), timeout)
            except (ConnectionResetError, TimeoutError) as error:
                metadata = grpc.aio.Metadata()
                raise grpc.aio.AioRpcError(
                    grpc.StatusCode.UNAVAILABLE, metadata, metadata, str(error)
                ) from None

        return call_unless_cut

    RouterClient.__init__ = init  # type: ignore[method-assign]
    RouterClient._method = method  # type: ignore[method-assign]


def main() -> None:
    links = Links(Path(os.environ["STAIRQUAY_BOOT"]).parent / CUT_FILE)
    connect = BaseSelectorEventLoop.sock_connect

    async def sock_connect(loop: Any, sock: Any, address: Any) -> None:
        if links.watcher is None:
            links.watcher = loop.create_task(links.watch(loop))
        await links.before_connect(address[1])
        await connect(loop, sock, address)

    BaseSelectorEventLoop.sock_connect = sock_connect  # type: ignore[method-assign]
    cut_router_calls(links)
    run()


if __name__ == "__main__":
    main()
