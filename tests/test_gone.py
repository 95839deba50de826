"""How long an endpoint that disappeared from the list without draining may get new work."""

import asyncio
from itertools import product

from result import Err, Ok

from stairquay.adapters.clock import monotonic
from stairquay.core.fleet import MISSING_GRACE_S, Endpoint
from stairquay.serving.following import follow_endpoints
from stairquay.serving.ports import EndpointChanges, FeedFault
from stairquay.serving.state import BoxState
from tests.many_boxes import routed_box
from tests.site import eventually
from tests.states import box_state

ENDPOINT = Endpoint("e", "s", "a:1")
SHOWN = Ok(EndpointChanges(1, True, (ENDPOINT,)))
GONE = Ok(EndpointChanges(2, False, (), ("e",)))
GONE_SNAPSHOT = Ok(EndpointChanges(2, True))


class ScriptedFeed:
    """Stub feed that gives scripted answers, each after a delay, and records when."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requested_at = []
        self.answered_at = []

    async def read_endpoints(self):
        self.requested_at.append(monotonic())
        if not self.answers:
            await asyncio.sleep(60)
        after_s, answer = self.answers.pop(0)
        await asyncio.sleep(after_s)
        self.answered_at.append(monotonic())
        return answer

    async def follow_endpoints(self, after, wait_s):
        return await self.read_endpoints()


async def follow_answers(*answers) -> tuple[BoxState, ScriptedFeed]:
    """Follow a feed with these answers until all are applied."""
    state = box_state()
    script = ScriptedFeed(*answers)
    following = asyncio.create_task(follow_endpoints(state, script))
    await eventually(lambda: len(script.requested_at) > len(answers), 8.0)
    following.cancel()
    return state, script


def usable(state: BoxState, at: float) -> bool:
    return state.fleet.usable("s", at) == [ENDPOINT]


def test_a_vanished_endpoint_gets_work_only_shortly_after_the_last_view_that_showed_it():
    """The grace period counts from the age of the last view that listed it, also when a router did not answer
    or the history was gone meanwhile."""

    async def case(gone, between, behind_s) -> None:
        shown = Ok(EndpointChanges(1, True, (ENDPOINT,), behind_s=behind_s))
        state, script = await follow_answers((0.0, shown), *between, (0.1, gone))
        end_at = script.requested_at[0] - behind_s + MISSING_GRACE_S
        assert usable(state, end_at - 0.1)
        assert not usable(state, end_at + 0.1)

    async def scenario():
        forgotten = [(0.0, Err(FeedFault.HISTORY_GONE))]
        cases = product([GONE, GONE_SNAPSHOT], [[], forgotten], [0.0, 0.3])
        await asyncio.gather(*(case(*values) for values in cases))

    asyncio.run(scenario())


def test_an_entry_that_lapsed_in_an_outage_is_a_last_resort_from_the_first_view_after_it():
    async def case(gone) -> None:
        unreached = (0.7, Err(FeedFault.UNREACHED))
        state, script = await follow_answers((0.0, SHOWN), unreached, unreached, (0.0, gone))
        assert usable(state, script.answered_at[-1] + MISSING_GRACE_S - 0.1)
        assert not usable(state, script.answered_at[-1] + MISSING_GRACE_S + 0.5)

    async def scenario():
        await asyncio.gather(case(GONE), case(GONE_SNAPSHOT))

    asyncio.run(scenario())


def test_nothing_goes_to_a_vanished_endpoint_two_seconds_later_where_a_router_falls_silent():
    """The router's last view was 0.8 s old, and the box waits for another before it asks elsewhere."""

    async def scenario():
        async with routed_box(drain_ms=2000) as (here, router):
            router.view_age_s = 0.8
            await asyncio.sleep(1.5)
            router.silent = True
            gone_at = monotonic()
            here.table.remove("servers", "p-0")
            last_s = 0.0
            while (since_s := monotonic() - gone_at) < 3.5:
                if (await here.call("/plain/x", call_id=f"c-{since_s:.3f}")).status == 200:
                    last_s = since_s
                await asyncio.sleep(0.03)
            assert last_s < 2.0

    asyncio.run(scenario())


def test_a_box_beside_routers_serves_on_right_after_an_outage_in_which_all_entries_lapsed():
    async def scenario():
        async with routed_box() as (here, router):
            here.table.down = True
            await eventually(lambda: here.logged("dependency", name="endpoints", outcome="lost"), 5.0)
            await asyncio.sleep(2.0)
            here.table.remove("servers", "p-0")
            here.table.down = False
            await eventually(lambda: here.logged("endpoints", endpoint="p-0", standing="missing"), 5.0)
            await asyncio.sleep(0.6)
            assert (await here.call("/open/x", key=None)).status == 200
            await asyncio.sleep(2.0)
            assert (await here.call("/open/x", key=None)).status == 503

    asyncio.run(scenario())
