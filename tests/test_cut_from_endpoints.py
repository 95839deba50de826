"""Boxes that reach no endpoint while other boxes do: their callers are served all the same."""

import asyncio
import json
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest

from stairquay.platform.names import CRASH_TABLE
from stairquay.serving.boxes import HEARTBEAT_INTERVAL_S
from tests.cut_box import CutKind, write_cut
from tests.many_boxes import several_boxes
from tests.site import Answer, Site, box_rows, eventually

BOXES = 4
CONTACT_S = 3.0
"""Seconds after the beginning of a cut from which callers of cut boxes are to be served."""

MEASURED_S = 2.0
PAUSE_S = 0.06
"""Seconds between two requests at a box: about as many as a box of a small site gets."""

PATHS = ("/plain/x", "/once/x", "/llm/chat", "/again/chat")
NOT_REPEATABLE = ("/once/x", "/llm/chat")


@dataclass
class Callers:
    """Sends requests of all kinds to boxes, and keeps the answers by box and second."""

    boxes: list[Site]
    answers: list[tuple[float, str, str, str, Answer]] = field(default_factory=list)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def start(self) -> None:
        self.tasks = [asyncio.create_task(self._press(box)) for box in self.boxes]

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _press(self, box: Site) -> None:
        async with asyncio.TaskGroup() as group:
            number = 0
            while True:
                group.create_task(self._send(box, number))
                number += 1
                await asyncio.sleep(PAUSE_S)

    async def _send(self, box: Site, number: int) -> None:
        path, call_id = PATHS[number % len(PATHS)], f"{box.name}-{number}"
        sent_at = asyncio.get_running_loop().time()
        send = box.call if "chat" not in path else box.prompt
        method = {"method": "POST", "body": b"x"} if path == "/once/x" else {}
        answer = await send(path, call_id=call_id, **method)
        self.answers.append((sent_at, box.name, path, call_id, answer))

    def served(self, names: set[str], since: float, until: float) -> tuple[int, int]:
        """Return how many requests that boxes got in a time were served, and how many they got."""
        found = [item for item in self.answers if item[1] in names and since <= item[0] < until]
        return sum(item[4].status == 200 and item[4].complete for item in found), len(found)


def runs_by_request(boxes: list[Site]) -> Counter[str]:
    return Counter(item.id for endpoint in boxes[0].endpoints for item in endpoint.received)


def assert_nothing_ran_too_often(boxes: list[Site], callers: Callers) -> None:
    runs = runs_by_request(boxes)
    for _, _, path, call_id, answer in callers.answers:
        assert runs[call_id] <= (1 if path in NOT_REPEATABLE else 2), (path, call_id)
        if path in NOT_REPEATABLE and answer.status in (429, 503):
            assert runs[call_id] == 0, (path, call_id)


def cut(boxes: list[Site], kind: CutKind | None) -> None:
    ports = [int(endpoint.address.rpartition(":")[2]) for endpoint in boxes[0].endpoints]
    for box in boxes:
        write_cut(box.folder, kind, ports)


@asynccontextmanager
async def known_boxes() -> AsyncIterator[tuple[list[Site], list[Site]]]:
    """Start boxes that all know each other. Return them, those that place prompts for all first."""
    async with several_boxes(BOXES, module="tests.cut_box") as boxes:
        await eventually(lambda: len(box_rows(boxes[0])) == BOXES)
        # Each box reads the others' rows with its next heartbeat.
        await asyncio.sleep(HEARTBEAT_INTERVAL_S * 1.2)
        routers = boxes[0].logged("router", outcome="picked")[-1]["routers"]
        yield boxes, sorted(boxes, key=lambda box: f"{box.name}@127.0.0.1" not in routers)


async def served_during_cut(kind: CutKind, cut_routers: bool) -> None:
    async with known_boxes() as (boxes, routers_first):
        cut_off = routers_first[:2] if cut_routers else routers_first[2:]
        names = {box.name for box in cut_off}
        others = {box.name for box in boxes} - names
        callers = Callers(boxes)
        callers.start()
        loop = asyncio.get_running_loop()
        await asyncio.sleep(1.0)
        cut(cut_off, kind)
        begin = loop.time() + CONTACT_S
        await asyncio.sleep(CONTACT_S + MEASURED_S)
        cut(cut_off, None)
        healed_at = loop.time()
        await asyncio.sleep(3.0)
        await callers.stop()

        served, got = callers.served(names, begin, begin + MEASURED_S)
        others_served, others_got = callers.served(others, begin, begin + MEASURED_S)
        assert others_served >= 0.95 * others_got, (others_served, others_got)
        assert served / got >= 0.9, (served, got)
        served, got = callers.served(names, healed_at + 1.0, healed_at + 2.0)
        assert served >= 0.95 * got, "not served after the cut has healed"
        assert_nothing_ran_too_often(boxes, callers)
        crashed = [line for box in boxes for line in box.logged("crashed")]
        assert not crashed, "endpoints that run were reported as crashed"
        rows = [text for (table, _), (text, _) in boxes[0].table.rows_by_key.items() if table == CRASH_TABLE]
        assert not any(json.loads(text).get("crashes") for text in rows), rows


@pytest.mark.parametrize("cut_routers", [False, True], ids=["others", "routers"])
@pytest.mark.parametrize("kind", list(CutKind))
def test_callers_of_boxes_that_reach_no_endpoint_are_served_by_others(kind: CutKind, cut_routers: bool):
    """Two boxes of four tried endpoints they could not reach, and refused what the others could serve."""
    asyncio.run(served_during_cut(kind, cut_routers))


async def silent_endpoints(silence_s: float, whole_service: bool) -> None:
    async with known_boxes() as (boxes, _):
        endpoints = boxes[0].endpoints
        for engine in boxes[0].engines():
            engine.event_count, engine.event_s = 20, 0.05
        silent = endpoints if whole_service else [endpoints[0], boxes[0].engines()[0]]
        ports = [int(endpoint.address.rpartition(":")[2]) for endpoint in silent]
        callers = Callers(boxes)
        callers.start()
        loop = asyncio.get_running_loop()
        await asyncio.sleep(2.0)
        for box in boxes:
            write_cut(box.folder, CutKind.HANG, ports)
        begun_at = loop.time()
        await asyncio.sleep(silence_s)
        for box in boxes:
            write_cut(box.folder, None, ports)
        healed_at = loop.time()
        await asyncio.sleep(4.0)
        await callers.stop()

        names = {box.name for box in boxes}
        served, got = callers.served(names, begun_at - 0.5, begun_at - 0.1)
        assert served == got, "what was under way was lost"
        served, got = callers.served(names, healed_at + 0.7, healed_at + 2.0)
        assert served >= 0.95 * got, "not served after the silence"
        assert_nothing_ran_too_often(boxes, callers)
        for _, _, path, call_id, answer in callers.answers:
            if answer.status != 200:
                assert answer.status == 503 or path not in NOT_REPEATABLE, (path, call_id, answer)
        assert not [line for box in boxes for line in box.logged("crashed")]


@pytest.mark.parametrize("whole_service", [False, True], ids=["some", "all"])
def test_endpoints_that_fall_silent_for_a_moment_lose_nothing_and_are_no_cut(whole_service: bool):
    """What is under way goes on, and nothing counts as crashed or is sent twice that must not be."""
    asyncio.run(silent_endpoints(0.9, whole_service))


async def cut_during_one_stream(kind: CutKind) -> None:
    async with known_boxes() as (boxes, _):
        for engine in boxes[0].engines():
            engine.event_count, engine.event_s = 20, 0.05
        box = boxes[0]
        stream = asyncio.create_task(box.prompt("/again/chat", call_id="stream"))
        await eventually(lambda: any(engine.received for engine in box.engines()))
        await asyncio.sleep(0.3)
        cut([box], kind)
        answer = await stream
        cut([box], None)
        crashed = [line for item in boxes for line in item.logged("crashed")]
        assert not crashed, crashed
        assert answer.status == 200, answer


def test_a_cut_box_that_has_one_connection_open_reports_no_crash():
    """Guards against crashes that a box reports as one endpoint alone could not show that it is cut off."""
    asyncio.run(cut_during_one_stream(CutKind.RESET))
