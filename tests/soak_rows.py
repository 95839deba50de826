"""Soak test of rows that other writers leave in all tables, while weights of two models are rolled out.

`python -m tests.soak_rows --seed 1 --seconds 30` runs it. Rows that cannot be read come and go in every table
that boxes follow, also in the place of an endpoint's entry; versions of two models are named in any order, on
engines that have both; engines restart under their ids, boxes pause, die, stop and reload, and configurations
change. Callers keep their connections until a box is gone. At the end all boxes, one of them started anew,
have to go by the newest of everything.
"""

import asyncio
import json
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, web

from tests.many_boxes import several_boxes
from tests.site import KEY, MODEL, Answer, Site, configuration, eventually, route
from tests.soak_command import run_soak
from tests.standins.endpoints import Endpoint

BOXES = 4
ENGINES = 3
MODELS = (MODEL, "other")
PRESS_S = 0.05
FAULT_PAUSE_S = (0.05, 0.4)
PAUSE_S = (0.3, 2.0)
RESTART_S = 0.5
GRACE_S = 10.0
MAX_AWAY = 2
"""Boxes that are paused or stopped at the same time."""

SETTLE_S = 4.0
"""Seconds after the last change in which all boxes have to know of it: above the bounds of the platform."""

ROLLOUT_S = 15.0
"""Seconds in which engines must have the newest weights: above the platform's `version_ms`."""

READY_S = 8.0
"""Seconds in which a box that starts has to be ready, within the platform's `recovery_s`."""

CALM_REQUESTS = 40
"""Requests of each kind at the end, over all boxes."""

MIN_SERVED_SHARE = 0.95
"""Least share of these that are served, of each kind at each box."""

TABLES = ("servers", "op", "stairquay", "stairquay-crashes")
KEYS_BY_TABLE = {
    "servers": ("x-{}", "nested/x-{}"),
    "op": ("x-{}", "version/x-{}", "version/", "evacuate"),
    "stairquay": ("box/x-{}@127.0.0.1", "x-{}", "lease/x-{}"),
    "stairquay-crashes": ("x-{}@127.0.0.1", "x-{}"),
}
"""Keys of other writers; none names a data hall to evacuate or a box's own row, which they would rule."""

MAX_ROWS = 40
"""Rows of other writers at a time."""


class TwoModelEngine(Endpoint):
    """An engine that has two models, each with a version of its own."""

    def __init__(self, number: int) -> None:
        super().__init__(id=f"two-{number}", service="llm", model=MODEL)
        self.version_by_model = dict.fromkeys(MODELS, 1)

    def models(self) -> list[dict[str, Any]]:
        return [
            {"name": model, "version": version, "adapters": []}
            for model, version in self.version_by_model.items()
        ]

    def entry(self, state: str = "ready") -> dict[str, Any]:
        return super().entry(state) | {"models": self.models()}

    def _report(self) -> web.Response:
        report = json.loads(super()._report().body)
        return web.json_response(report | {"models": self.models()})

    async def _order(self, request: web.Request) -> web.Response:
        order = await request.json()
        self.orders.append(order)
        if self.busy or order.get("expected") not in (None, self.sequence):
            return web.Response(status=409)
        self.sequence += 1
        self.busy = True
        task = asyncio.create_task(self._load_model(order["model"], order["version"], self.born))
        self.tasks.add(task)
        return web.Response(status=202)

    async def _load_model(self, model: str, version: int, born: int) -> None:
        await asyncio.sleep(self.load_s)
        if self.born == born:
            self.version_by_model[model] = version
            self.busy = False

    async def _run(self, request: web.Request) -> web.StreamResponse:
        self.version = self.version_by_model[request.headers.get("Model", MODEL)]
        return await super()._run(request)

    def restart(self) -> None:
        """Start anew under the same id: orders are forgotten, weights are kept."""
        self.born += 1_000
        self.sequence, self.busy = 0, False


@dataclass
class Outcome:
    """What was broken, by kind, with an example each; and counts. faults: by kind."""

    broken: dict[str, str] = field(default_factory=dict)
    sent: int = 0
    served: int = 0
    versions: dict[str, int] = field(default_factory=dict)
    faults: Counter[str] = field(default_factory=Counter)
    unreadable_rows: int = 0


def unreadable(random: Random) -> bytes:
    """Return content that no decoder takes for what belongs there, or only just."""
    contents: tuple[Callable[[], bytes], ...] = (
        lambda: b"[" * random.randrange(1, 45_000),
        lambda: b'{"a":' * random.randrange(1, 4_000),
        lambda: b'{"service":' + b"[" * random.randrange(2_000, 40_000),
        lambda: random.randbytes(random.randrange(60)).decode("latin-1").encode(),
        lambda: b'{"service":"plain","address":"127.0.0.1:99999999999999999999999999999999","state":"ready"}',
        lambda: b'{"beat":' + b"9" * random.randrange(1, 400) + b"}",
        lambda: b'{"model":"x","version":' + b"9" * random.randrange(20, 400) + b"}",
        lambda: b'{"version":-1,"routes":7,"services":{}}',
        lambda: json.dumps(
            {"service": "plain\r\nX: y", "address": "\u00e9:1", "zone": 3, "models": {}}
        ).encode(),
        lambda: b"null",
        lambda: b"",
    )
    return random.choice(contents)()


class Soak:
    """Injects faults while callers send, and checks all boxes afterwards."""

    def __init__(
        self, boxes: list[Site], engines: list[TwoModelEngine], random: Random, seconds: float
    ) -> None:
        self.boxes, self.engines, self.random, self.seconds = boxes, engines, random, seconds
        self.table = boxes[0].table
        self.plain = [item for item in boxes[0].endpoints if item.service == "plain"]
        self.outcome = Outcome()
        self.away: set[str] = set()
        self.spoiled: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.rows: list[tuple[str, str]] = []
        self.version, self.version_by_model = 1, dict.fromkeys(MODELS, 1)

    async def run(self) -> Outcome:
        pressing = [asyncio.create_task(self._press(box)) for box in self.boxes]
        faults = self._faults()
        weights = [weight for weight, _ in faults.values()]
        # Each kind comes once at least.
        due = self.random.sample(list(faults), len(faults))
        end = asyncio.get_running_loop().time() + self.seconds
        while due or asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self.random.uniform(*FAULT_PAUSE_S))
            kind = due.pop() if due else self.random.choices(list(faults), weights)[0]
            self.outcome.faults[kind] += 1
            faults[kind][1]()
        await asyncio.gather(*self.tasks)
        self._name_version()
        self._configure()
        await asyncio.sleep(SETTLE_S)
        for task in pressing:
            task.cancel()
        await asyncio.gather(*pressing, return_exceptions=True)
        await self._check()
        return self.outcome

    async def _press(self, box: Site) -> None:
        """Send requests on connections that are kept until the box is gone."""
        async with ClientSession(timeout=ClientTimeout(total=5)) as session:
            number = 0
            while True:
                number += 1
                call = self._call(self.random.randrange(3), box, f"{box.name}-{number}", session)
                self._start(self._count(call))
                await asyncio.sleep(PRESS_S)

    async def _count(self, call: Awaitable[Answer]) -> None:
        try:
            answer = await call
        except (ClientError, TimeoutError):
            return
        self.outcome.sent += 1
        self.outcome.served += answer.status == 200

    async def _call(self, kind: int, box: Site, call_id: str, session: ClientSession | None = None) -> Answer:
        """Send a plain request, or a prompt for one of the models."""
        if kind == len(MODELS):
            return await box.call("/plain/x", call_id=call_id, key=KEY, session=session)
        headers = {"Model": MODELS[kind], "Prompt-Prefix": f"a{call_id}:500,b{call_id}:300"}
        return await box.prompt("/again/x", headers=headers, call_id=call_id, session=session)

    def _start(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _faults(self) -> dict[str, tuple[int, Callable[[], None]]]:
        """Return what happens to the boxes and the table service by name, each with its weight."""
        return {
            "row": (10, self._write_row),
            "row removed": (2, self._remove_row),
            "entry": (2, self._spoil_entry),
            "version": (2, self._name_version),
            "restart": (2, self._restart_engine),
            "configure": (1, self._configure),
            "pause": (1, lambda: self._take_box(self._pause)),
            "kill": (1, lambda: self._take_box(self._kill)),
            "stop": (1, lambda: self._take_box(self._stop)),
            "reload": (1, self._reload),
        }

    def _write_row(self) -> None:
        table = self.random.choice(TABLES)
        key = self.random.choice(KEYS_BY_TABLE[table]).format(self.random.randrange(9))
        self.table.put_bytes(table, key, unreadable(self.random))
        self.outcome.unreadable_rows += 1
        self.rows.append((table, key))
        if len(self.rows) > MAX_ROWS:
            self._remove_row()

    def _remove_row(self) -> None:
        if self.rows:
            self.table.remove(*self.rows.pop(self.random.randrange(len(self.rows))))

    def _spoil_entry(self) -> None:
        """Write over an endpoint's entry, which the endpoint writes again a moment later."""
        endpoint = self.random.choice([*self.engines, *self.plain])
        if endpoint.id not in self.spoiled:
            self.spoiled.add(endpoint.id)
            self._start(self._spoil(endpoint))

    async def _spoil(self, endpoint: Endpoint) -> None:
        self.table.put_bytes("servers", endpoint.id, unreadable(self.random))
        await asyncio.sleep(self.random.uniform(0.1, 1.2))
        self.table.put("servers", endpoint.id, endpoint.entry())
        self.spoiled.discard(endpoint.id)

    def _name_version(self) -> None:
        model = self.random.choice(MODELS)
        self.version_by_model[model] += 1
        row = {"model": model, "version": self.version_by_model[model]}
        self.table.put("op", f"version/{model}", row)

    def _restart_engine(self) -> None:
        engine = self.random.choice(self.engines)
        engine.restart()
        self.table.put("servers", engine.id, engine.entry())

    def _configure(self) -> None:
        """Write a configuration with a route that only this one has."""
        self.version += 1
        routes = [
            *configuration(self.version, [])["routes"],
            route("later", f"/later-{self.version}/", "plain"),
        ]
        self.boxes[0].put_configuration(self.version, routes=routes, services=services())

    def _take_box(self, fault: Callable[[Site], Any]) -> None:
        here = [box for box in self.boxes if box.name not in self.away]
        if len(here) > BOXES - MAX_AWAY:
            box = self.random.choice(here)
            self.away.add(box.name)
            self._start(fault(box))

    async def _pause(self, box: Site) -> None:
        await box.pause_box(self.random.uniform(*PAUSE_S))
        self.away.discard(box.name)

    async def _kill(self, box: Site) -> None:
        await box.kill_box()
        await self._start_box(box)

    async def _stop(self, box: Site) -> None:
        await box.stop_box_and_wait(GRACE_S)
        await self._start_box(box)

    async def _start_box(self, box: Site) -> None:
        await asyncio.sleep(RESTART_S)
        await box.start_box(same_addresses=True)
        if not await becomes(box.is_ready, READY_S):
            self._broken("a box that starts is not ready", box.name)
        self.away.discard(box.name)

    def _reload(self) -> None:
        box = self.random.choice(self.boxes)
        if box.name not in self.away:
            box.reload_box()

    async def _check(self) -> None:
        await self._stop(self.boxes[-1])
        newest = self.version_by_model
        if not await becomes(
            lambda: all(item.version_by_model == newest for item in self.engines), ROLLOUT_S
        ):
            found = [item.version_by_model for item in self.engines]
            self._broken("older weights", f"{found}, newest {newest}")
        self.outcome.versions = dict(newest)
        await asyncio.sleep(SETTLE_S)
        for box in self.boxes:
            assert box.box is not None
            if box.box.returncode is not None:
                self._broken("a box ended by itself", box.name)
                continue
            await self._check_served(box)
            for line in box.logged("part_failed"):
                self._broken("part_failed", str(line))

    async def _check_served(self, box: Site) -> None:
        kinds = [*MODELS, "plain", f"/later-{self.version}/"]
        for kind, name in enumerate(kinds):
            calls = []
            for number in range(CALM_REQUESTS // BOXES):
                call_id = f"calm-{box.name}-{kind}-{number}"
                late = kind == len(MODELS) + 1
                calls.append(
                    box.call(f"{name}x", call_id=call_id) if late else self._call(kind, box, call_id)
                )
            statuses = [(await call).status for call in calls]
            if statuses.count(200) < MIN_SERVED_SHARE * len(statuses):
                self._broken(f"{name} not served", f"{box.name} {statuses}")

    def _broken(self, kind: str, example: str) -> None:
        self.outcome.broken.setdefault(kind, example)


async def becomes(condition: Callable[[], Any], seconds: float) -> bool:
    """Wait until a condition holds; tell whether it does within a time."""
    try:
        await eventually(condition, seconds)
    except AssertionError:
        return False
    return True


def services() -> list[dict[str, Any]]:
    """Return the usual services, with two models at the engines."""
    usual = configuration(1, [])["services"]
    engine = usual[1]["engine"] | {"models": [{"name": model} for model in MODELS]}
    return [usual[0], usual[1] | {"engine": engine}]


async def soak(seed: int, seconds: float) -> Outcome:
    random = Random(seed)
    async with several_boxes(BOXES, engines=0) as boxes:
        engines = [TwoModelEngine(number) for number in range(ENGINES)]
        boxes[0].put_configuration(1, services=services())
        for engine in engines:
            await engine.start()
            engine.born = 1_000
            boxes[0].endpoints.append(engine)
            boxes[0].table.put("servers", engine.id, engine.entry())
        made = Soak(boxes, engines, random, seconds)
        made._configure()
        for box in boxes:
            await eventually(lambda here=box: here.logged("configuration", version=made.version))
        return await made.run()


if __name__ == "__main__":
    run_soak(soak)
