"""Two boxes as processes, of which one routes for both; all other boxes exist only as rows."""

import asyncio

from tests.many_boxes import FIRST_BOX, SECOND_BOX, two_boxes
from tests.site import Site, eventually


def placing_router(here: Site, call_id: str) -> str:
    return here.logged("sent", request=call_id)[0]["router"]


def test_one_box_places_the_prompts_of_both_and_the_other_takes_over_when_it_is_killed():
    async def scenario():
        async with two_boxes(engines=2) as (first, second):
            await eventually(lambda: first.logged("router", outcome="serving"))
            await asyncio.sleep(0.5)
            assert (await second.prompt(call_id="call-1")).status == 200
            assert (await first.prompt(call_id="call-2")).status == 200
            await eventually(lambda: second.logged("sent", request="call-1"))
            await eventually(lambda: first.logged("sent", request="call-2"))
            assert placing_router(second, "call-1") == placing_router(first, "call-2") == FIRST_BOX
            first.box.kill()
            await first.box.wait()
            for number in range(4):
                assert (await second.prompt(call_id=f"after-{number}")).status == 200
            await eventually(lambda: second.logged("sent", request="after-3"))
            assert placing_router(second, "after-3") == SECOND_BOX
            assert second.logged("dependency", name=f"router {FIRST_BOX}", outcome="lost")

    asyncio.run(scenario())


def test_a_box_takes_up_a_change_through_the_other_and_goes_on_without_it():
    async def scenario():
        async with two_boxes() as (first, second):
            first.put_configuration(2)
            for here in (first, second):
                await eventually(lambda here=here: here.logged("configuration", version=2), 2.0)
            first.box.kill()
            await first.box.wait()
            first.put_configuration(3)
            await eventually(lambda: second.logged("configuration", version=3), 2.0)

    asyncio.run(scenario())
