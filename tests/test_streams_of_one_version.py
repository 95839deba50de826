"""Streams of a service whose endpoints all have one software version: nothing can be mixed, so all go on."""

import asyncio

import pytest

from tests.site import eventually
from tests.streams import Stream
from tests.test_software_versions import boxes_with

STREAMS = 14
ONE_VERSION = ("v1",)


@pytest.mark.parametrize("software", (ONE_VERSION, ()))
def test_streams_go_on_at_all_boxes_right_after_the_box_that_served_them_was_killed(software):
    """Guards against a box that refuses them all until its long poll for the list of endpoints ends."""

    async def scenario() -> list[Stream]:
        async with boxes_with(software) as boxes:
            streams = [Stream() for _ in range(STREAMS)]
            begun = [
                asyncio.create_task(stream.take(boxes[0], f"s-{number}"))
                for number, stream in enumerate(streams)
            ]
            await eventually(lambda: all(len(stream.events) >= 3 for stream in streams))
            await boxes[0].kill_box()
            await asyncio.gather(*begun)
            again = (
                stream.take(boxes[1 + number % 2], f"t-{number}") for number, stream in enumerate(streams)
            )
            await asyncio.gather(*again)
            return streams

    streams = asyncio.run(scenario())
    assert sum(stream.is_whole() for stream in streams) == STREAMS, [item.statuses for item in streams]


@pytest.mark.parametrize("away_s", (0.3, 3.0))
def test_streams_go_on_at_all_boxes_while_the_table_service_is_away(away_s: float):
    """Guards against a box that wants a newer list although all boxes agree that there is one version."""

    async def scenario() -> list[Stream]:
        async with boxes_with(ONE_VERSION) as boxes:
            routers = boxes[0].logged("router", outcome="picked")[-1]["routers"]
            # What a box that is no router begins is known only there while there is one version.
            [ordinary] = [box for box in boxes if f"{box.name}@127.0.0.1" not in routers]
            streams = [Stream() for _ in range(STREAMS)]
            await asyncio.gather(
                *(stream.take(ordinary, f"s-{number}", 3) for number, stream in enumerate(streams))
            )
            boxes[0].table.down = True
            await asyncio.sleep(away_s)
            others = [box for box in boxes if box is not ordinary]
            await asyncio.gather(
                *(stream.take(others[number % 2], f"t-{number}") for number, stream in enumerate(streams))
            )
            return streams

    streams = asyncio.run(scenario())
    assert sum(stream.is_whole() for stream in streams) == STREAMS, [item.bodies[-1] for item in streams]
