"""An endpoint that is a process of its own: `python -m tests.standins.endpoint_process`.

Its system goes on taking connections and bytes while it is stopped by a signal. It reads settings as lines of
JSON from its standard input, and writes one for its address and one for each request that arrives.
"""

import argparse
import asyncio
import json
import os
import signal
import sys
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Any

from aiohttp import web

from tests.site import ROOT
from tests.standins.endpoints import Endpoint
from tests.standins.table import serve_app

HANG_S = 30.0
READY_S = 10.0
ERROR_SHARE_HEADER = "X-Error-Share"
"""Header of a request with the share of runs that fail with 500."""

CRASH_HEADER = "X-Crash"
"""Header of a request that crashes the process. Its value names the cause, which requests may share."""


class Trouble(str, Enum):
    """What an endpoint does with a part of its requests."""

    NONE = ""
    REJECT = "reject"
    FAIL = "fail"
    RESET = "reset"
    """The connection is reset once the request runs; a stream's, after an event."""

    HANG = "hang"


@dataclass(frozen=True)
class Arrival:
    """A request that arrived at an endpoint.

    at: monotonic seconds. left_ms: the time that it was handed, None if none. runs: work began on it.
    cause: what it crashes endpoints by. rest_s: seconds of rest that the endpoint asked for in its answer.
    """

    at: float
    id: str
    left_ms: int | None
    runs: bool
    cause: str = ""
    rest_s: float = 0.0


@dataclass
class TroubledEndpoint(Endpoint):
    """An endpoint that has some trouble with a share of its requests, and tells of each that arrives.

    rest_s: seconds of rest that it asks for where it rejects, 0 for none.
    """

    trouble: Trouble = Trouble.NONE
    share: float = 0.0
    rest_s: float = 0.0
    random: Random = field(default_factory=Random)

    async def _run(self, request: web.Request) -> web.StreamResponse:
        self.client_ports.clear()
        self.received.clear()
        self.arrivals.clear()
        trouble = self.trouble if self.random.random() < self.share else Trouble.NONE
        is_meant = request.headers.get("Target-Instance", self.id) == self.id
        is_meant &= request.headers.get("Expect-Version", str(self.version)) == str(self.version)
        rejects = trouble == Trouble.REJECT or not is_meant
        left = request.headers.get("Deadline-Ms")
        call_id = request.headers.get("Request-Id", "")
        arrival = Arrival(
            asyncio.get_running_loop().time(),
            call_id,
            None if left is None else int(left),
            not rejects,
            request.headers.get(CRASH_HEADER, ""),
            self.rest_s if trouble == Trouble.REJECT else 0.0,
        )
        print(json.dumps(vars(arrival)), flush=True)
        if trouble == Trouble.REJECT:
            rest = {"Retry-After": str(self.rest_s)} if self.rest_s else {}
            return web.Response(status=503, headers=self._rejection_headers(call_id) | rest)
        if arrival.cause and not rejects:
            await self._crash_process(request, arrival)
        if trouble == Trouble.HANG:
            await asyncio.sleep(HANG_S)
        error_share = float(request.headers.get(ERROR_SHARE_HEADER, "0"))
        if trouble == Trouble.FAIL or self.random.random() < error_share:
            self.errors = 1
        if trouble == Trouble.RESET and self.model:
            self.break_after = 1
        elif trouble == Trouble.RESET:
            assert request.transport is not None
            request.transport.abort()
            return web.Response()
        return await super()._run(request)

    async def _crash_process(self, request: web.Request, arrival: Arrival) -> None:
        """End this process as it begins to answer, without a word to those whose requests it has."""
        if self.model:
            await self._begin_answer(request, arrival.id)
        await asyncio.sleep(self.crash_s)
        crash = Crash(asyncio.get_running_loop().time(), arrival.cause)
        print(json.dumps({"crash": vars(crash)}), flush=True)
        os._exit(1)


@dataclass(frozen=True)
class Crash:
    """An endpoint process that a request ended. at: monotonic seconds. cause: as in Arrival."""

    at: float
    cause: str


class EndpointProcess:
    """The test's side of an endpoint process, which is started again at its address after it was killed."""

    def __init__(self, endpoint_id: str, service: str, model: str = "", slots: int = 64) -> None:
        self.endpoint = Endpoint(id=endpoint_id, service=service, model=model, slots=slots)
        self.arrivals: list[Arrival] = []
        self.crashes: list[Crash] = []
        self.process: asyncio.subprocess.Process | None = None
        self.reader: asyncio.Task[None] | None = None
        self.away_spans: list[tuple[float, float]] = []

    async def start(self) -> None:
        """Start the process and wait until it listens."""
        port = self.endpoint.address.rpartition(":")[2] or "0"
        names = [self.endpoint.id, self.endpoint.service, self.endpoint.model, str(self.endpoint.slots), port]
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.standins.endpoint_process",
            *names,
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert self.process.stdout is not None
        line = await asyncio.wait_for(self.process.stdout.readline(), READY_S)
        self.endpoint.address = json.loads(line)["address"]
        self.reader = asyncio.create_task(self._read(self.process.stdout))

    async def _read(self, lines: asyncio.StreamReader) -> None:
        async for line in lines:
            # A killed process may have written a part of its last line.
            if not line.endswith(b"\n"):
                continue
            told = json.loads(line)
            if "crash" in told:
                self.crashes.append(Crash(**told["crash"]))
            else:
                self.arrivals.append(Arrival(**told))

    def set_trouble(self, trouble: Trouble, share: float, rest_s: float = 0.0) -> None:
        """Have some trouble from now on. rest_s: seconds of rest to ask for in rejections."""
        assert self.process is not None and self.process.stdin is not None
        if self.process.returncode is None:
            settings = {"trouble": trouble.value, "share": share, "rest_s": rest_s}
            self.process.stdin.write(json.dumps(settings).encode() + b"\n")

    async def stop_for(self, seconds: float) -> None:
        """Stop the process for a while; what arrives waits in its system."""
        assert self.process is not None
        begun = asyncio.get_running_loop().time()
        self.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.process.send_signal(signal.SIGCONT)
        self.away_spans.append((begun, asyncio.get_running_loop().time()))

    async def kill_for(self, seconds: float) -> None:
        """Kill the process, and start it again at its address after a while."""
        begun = asyncio.get_running_loop().time()
        await self.close()
        await asyncio.sleep(seconds)
        await self.start()
        self.away_spans.append((begun, asyncio.get_running_loop().time()))

    async def close(self) -> None:
        """Kill the process, and read what it wrote."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.reader is not None:
            await self.reader


async def _follow_settings(endpoint: TroubledEndpoint) -> None:
    """Apply what the standard input says, until it ends."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    async for line in reader:
        settings: dict[str, Any] = json.loads(line)
        endpoint.trouble, endpoint.share = Trouble(settings["trouble"]), settings["share"]
        endpoint.rest_s = settings["rest_s"]


async def _serve(endpoint: TroubledEndpoint, port: int) -> None:
    _, address = await serve_app(endpoint._handle, port)
    print(json.dumps({"address": address}), flush=True)
    await _follow_settings(endpoint)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("id", "service", "model"):
        parser.add_argument(name)
    parser.add_argument("slots", type=int)
    parser.add_argument("port", type=int)
    given = parser.parse_args()
    endpoint = TroubledEndpoint(
        id=given.id, service=given.service, model=given.model, slots=given.slots, event_count=8
    )
    asyncio.run(_serve(endpoint, given.port))


if __name__ == "__main__":
    main()
