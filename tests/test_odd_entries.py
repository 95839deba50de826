"""Odd entries in the list of endpoints, at boxes that read it or ask others, and operators' commands."""

import asyncio
import io
import json
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from itertools import count
from typing import Any

from stairquay.cli import main
from stairquay.core.routers import FOLLOWER_COUNT, Member, pick_followers, pick_routers
from stairquay.environment import Environment
from stairquay.serving.boxes import KEY_PREFIX
from stairquay.status import ExitStatus
from tests.many_boxes import several_boxes
from tests.site import MODEL, Site, configuration, eventually, route
from tests.standins.endpoints import Endpoint
from tests.test_boxes import run_boxes_against

REWRITE_S = 0.3
ODD_KEYS = ("odd-{}", 'odd "{}"} 1\n', "odd/{}\u00e9\u2028", "odd-{} " + "x" * 180)
BOXES = 5
READY_S = 8.0
"""Seconds in which a box that starts has to be ready, within the platform's `recovery_s`."""

FOLLOWED_S = 4.0
"""Seconds in which a change is known at all boxes: above the platform's bounds."""

ROW_BYTES = 48_000
"""Size of a large entry, whose row just fits the platform's limit in base64."""

LARGE_ENTRIES = 150
"""Together well above the largest message that gRPC takes by default."""

ENTRY: dict[str, Any] = Endpoint(id="x", service="plain").entry() | {"address": "127.0.0.1:9", "born": 7}
ENGINE = ENTRY | {"service": "other", "models": [{"name": MODEL, "version": 1, "adapters": []}]}
HUGE = 10**400


def odd_entries() -> Iterator[bytes]:
    """Yield entries of plain endpoints and engines, each odd in one way."""
    for levels in (100, 20_000):
        for field in ("unknown", "models", "zone"):
            yield (
                json.dumps(ENGINE)[:-1].encode()
                + b', "%s": ' % field.encode()
                + b"[" * levels
                + b"]" * levels
                + b"}"
            )
        yield b"[" * levels
    for port in ("70000", "65536", "0", "-1", "9" * 31, "9" * 4_300, "", "port", "\u0663"):
        yield json.dumps(ENTRY | {"address": f"127.0.0.1:{port}"}).encode()
    for field in ("slots", "sequence", "born", "cold_remaining_ms", "version", "zone", "state", "service"):
        for number in (HUGE, 2**63, 2**64, -(2**63), 1.5):
            yield json.dumps(ENGINE | {field: number}).encode()
    for version in (HUGE, 2**63, 1.5, "1", None):
        yield json.dumps(ENGINE | {"models": [{"name": MODEL, "version": version}]}).encode()
    for models in ({}, [7], [[]], [{"name": 7}], [{}]):
        yield json.dumps(ENGINE | {"models": models}).encode()
    yield json.dumps(ENTRY)[:-1].encode() + b', "cold_remaining_ms": 1e400}'
    yield json.dumps(ENTRY)[:-1].encode() + b', "cold_remaining_ms": NaN}'
    yield from (b"", b"7", b"null", b"\xff\xfe", b'"text"', b'{"service": "plain"')


def large_entries() -> Iterator[bytes]:
    """Yield entries that are sound but for their size, and malformed ones of the same size."""
    for number in range(LARGE_ENTRIES):
        text = "x" * ROW_BYTES
        field = ("version", "address", "zone")[number % 3]
        yield json.dumps(ENTRY | {"service": "other", field: text}).encode()


@asynccontextmanager
async def written_again(here: Site, entries: list[bytes]) -> AsyncIterator[None]:
    """Keep entries in the list, written again all the time."""

    async def write() -> None:
        while True:
            for number, entry in enumerate(entries):
                here.table.put_bytes("servers", ODD_KEYS[number % len(ODD_KEYS)].format(number), entry)
                await asyncio.sleep(REWRITE_S / len(entries))

    writing = asyncio.create_task(write())
    try:
        yield
    finally:
        writing.cancel()
        await asyncio.gather(writing, return_exceptions=True)


class LateServices:
    """Adds services with a route and one endpoint each, which only boxes that still follow can serve."""

    def __init__(self, here: Site) -> None:
        self.here, self.numbers = here, count(2)
        self.endpoints: list[Endpoint] = []

    async def add(self) -> str:
        """Return the path of a new service."""
        version = next(self.numbers)
        name = f"late-{version}"
        endpoint = Endpoint(id=name, service=name)
        await endpoint.start()
        self.endpoints.append(endpoint)
        self.here.table.put("servers", name, endpoint.entry())
        usual = configuration(version, [])
        self.here.put_configuration(
            version,
            routes=[*usual["routes"], route(name, f"/{name}/", name)],
            services=[*usual["services"], {"name": name}],
        )
        return f"/{name}/x"

    async def close(self) -> None:
        for endpoint in self.endpoints:
            assert endpoint.runner is not None
            await endpoint.runner.cleanup()


def asking_boxes(boxes: list[Site]) -> list[Site]:
    """Return the boxes that ask routers for the list."""
    followers = {member.id for member in pick_followers(pick_routers(members(boxes[0])))}
    return [box for box in boxes if f"{box.name}@127.0.0.1" not in followers]


def members(here: Site) -> list[Member]:
    rows = here.table.rows_by_key.items()
    found = [(key, json.loads(text)) for (_, key), (text, _) in rows if key.startswith(KEY_PREFIX)]
    return [
        Member(key.removeprefix(KEY_PREFIX), row["address"], row["capacity"], row["data_hall"])
        for key, row in found
    ]


async def is_served(boxes: list[Site], path: str) -> bool:
    answers = await asyncio.gather(*(box.call(path) for box in boxes))
    return all(answer.status == 200 for answer in answers)


def explained(call_id: str, boxes: list[Site]) -> tuple[ExitStatus, str, str]:
    """Return what `stairquay explain` prints from the boxes' logs."""
    text = "\n".join(json.dumps(line) for box in boxes for line in box.log_lines)
    out, err = io.StringIO(), io.StringIO()
    status = main(["explain", call_id], Environment(io.StringIO(text), out, err, {}))
    return status, out.getvalue(), err.getvalue()


async def scenario(entries: list[bytes]) -> None:
    async with several_boxes(BOXES, engines=2) as boxes:
        late = LateServices(boxes[0])
        await eventually(lambda: len(asking_boxes(boxes)) == BOXES - FOLLOWER_COUNT)
        try:
            async with written_again(boxes[0], entries):
                await asyncio.sleep(2 * REWRITE_S)
                path = await late.add()
                await eventually(lambda: is_served(boxes, path), FOLLOWED_S)
                for box in (*asking_boxes(boxes), boxes[0]):
                    await box.kill_box()
                    await box.start_box(same_addresses=True)
                    await eventually(box.is_ready, READY_S)
                path = await late.add()
                await eventually(lambda: is_served(boxes, path), FOLLOWED_S)
                answers = [await box.prompt() for box in boxes]
                assert {answer.status for answer in answers} == {200}, answers
                status, out, error = await run_boxes_against(boxes[0])
                assert status in (ExitStatus.SUCCESS, ExitStatus.BEHIND) and "boxes:" in out, (status, error)
                for box in boxes:
                    assert not box.logged("part_failed"), box.logged("part_failed")
                status, out, error = explained("call-1", boxes)
                assert status == ExitStatus.SUCCESS and "call-1" in out, (status, out, error)
        finally:
            await late.close()


def test_boxes_follow_the_list_beside_odd_entries_that_are_written_again_and_again():
    """Guards against boxes that end, follow nothing more, or do not start, for the sake of one entry."""
    asyncio.run(scenario(list(odd_entries())))


def test_boxes_follow_the_list_beside_many_large_entries():
    """Guards against replies to other boxes that are larger than a message may be."""
    asyncio.run(scenario(list(large_entries())))
