"""Endpoints name rate limits in their answers: requests a second that they take from all callers together.

Seen on six boxes and five engines: two engines that named 2.8 and 3.5 requests a second got 24 and 29 in four
seconds, from boxes that had passed on answers which named the limit three seconds before; engines without a
limit got 38 to 54. All were placed by one router, which held two idle engines for good ones. No box read the
limit: lines about it show that boxes had heard it and sent on, and that the router was never told.

What a box does is seen at stand-ins of the endpoints and in its log; the boxes are real processes.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from stairquay.explain import Logs, explain_request
from stairquay.serving.messages import Outcome, PlaceReply
from tests.many_boxes import prompt_until_placed, routed_box, two_boxes
from tests.site import Answer, Site, configuration, eventually, site
from tests.standins.endpoints import Endpoint

KNOWN_S = 3.0
"""Seconds from its first naming on from which a limit binds all boxes that were told: the shortest time for
which a box must have been in touch on any deployment."""

WINDOW_S = 4.0
OVER, SLACK = 1.5, 5.0
"""In each window of that length an endpoint bears so many times its limit, and so many requests more."""

AT_ONCE_S = 1.0
"""Seconds within which a refusal comes at once, on a busy machine: their time is over after three."""

PRESS_S = 8.5
"""Seconds of pressing: until a limit binds, and a window or more after that."""

Call = Callable[[int], Awaitable[Answer]]


def borne(limit: float) -> float:
    """Return how many requests an endpoint that names a limit may get in a window."""
    return OVER * limit * WINDOW_S + SLACK


def busiest_window(endpoint: Endpoint, named_at: float) -> int:
    """Return the most requests that an endpoint got in a window, of those that begin once the limit binds."""
    times = [at for at, _ in endpoint.arrivals if at >= named_at + KNOWN_S]
    return max((sum(at <= other < at + WINDOW_S for other in times) for at in times), default=0)


def least_window(endpoint: Endpoint, named_at: float, until: float) -> int:
    """Return the fewest requests that an endpoint got in a window from then on."""
    starts = [named_at + KNOWN_S + step / 10 for step in range(200)]
    return min(
        sum(start <= at < start + WINDOW_S for at, _ in endpoint.arrivals)
        for start in starts
        if start + WINDOW_S <= until
    )


async def press(call: Call, per_s: float, for_s: float = PRESS_S) -> list[Answer]:
    """Send requests evenly, whether or not earlier ones were answered; return their answers."""
    calls = []
    for number in range(int(per_s * for_s)):
        calls.append(asyncio.ensure_future(call(number)))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*calls)


def clock() -> float:
    return asyncio.get_running_loop().time()


@asynccontextmanager
async def known_boxes(**options) -> AsyncIterator[Site]:
    """A box that knows all boxes there are: itself."""
    async with site(**options) as here:
        while not here.logged("router", outcome="picked"):
            await asyncio.sleep(0.05)
        yield here


def refused_well(answers: list[Answer]) -> bool:
    """Tell whether all answers that are no success are refusals, given at once, that say when to come."""
    refused = [answer for answer in answers if answer.status != 200]
    return all(
        answer.status == 503 and float(answer.headers["Retry-After"]) > 0 and answer.took_s < AT_ONCE_S
        for answer in refused
    )


def test_a_plain_endpoint_gets_its_limit_and_no_more_and_the_rest_is_refused_at_once():
    async def scenario():
        async with known_boxes(plain=1) as here:
            endpoint = here.endpoints[0]
            endpoint.limit = "3"
            began = clock()
            answers = await press(lambda n: here.call("/plain/x", call_id=f"press-{n}"), 20)
            assert busiest_window(endpoint, began) <= borne(3)
            assert least_window(endpoint, began, clock()) >= 3 * WINDOW_S / 2
            assert refused_well(answers)

    asyncio.run(scenario())


def test_an_engine_gets_no_more_than_its_limit_from_all_boxes_and_others_take_the_rest():
    async def scenario():
        async with two_boxes(plain=0, engines=2) as boxes:
            limited, other = boxes[0].endpoints
            limited.limit = "3"
            began = clock()
            answers = await press(lambda n: boxes[n % 2].prompt("/again/x", call_id=f"press-{n}"), 20)
            assert busiest_window(limited, began) <= borne(3)
            assert least_window(limited, began, clock()) >= 3 * WINDOW_S / 2
            assert [answer.status for answer in answers] == [200] * len(answers)
            assert len(other.received) > len(limited.received)

    asyncio.run(scenario())


def test_requests_that_are_sent_again_and_streams_that_go_on_count_as_well():
    async def scenario():
        async with known_boxes(plain=2, engines=2, budget_slack=10_000) as here:
            limited = [here.endpoints[0], here.engines()[0]]
            for endpoint in here.endpoints:
                if endpoint in limited:
                    endpoint.limit = "2"
                else:
                    endpoint.errors = 10_000
            began = clock()

            async def both(n: int) -> Answer:
                if n % 2:
                    return await here.prompt("/again/x", call_id=f"again-{n}", headers={"Last-Event-Id": "2"})
                return await here.call("/plain/x", call_id=f"plain-{n}")

            await press(both, 30)
            for endpoint in limited:
                assert busiest_window(endpoint, began) <= borne(2)

    asyncio.run(scenario())


def test_a_caller_that_is_refused_for_a_limit_is_served_when_it_was_told_to_come():
    """A box's first turn comes at a moment drawn by chance; the next ones follow it evenly."""

    async def scenario():
        async with known_boxes(plain=1) as here:
            here.endpoints[0].limit = "0.5"
            await here.call("/plain/x", call_id="named")
            first = await here.call("/plain/x", call_id="first")
            if first.status == 503:
                await asyncio.sleep(float(first.headers["Retry-After"]))
                assert (await here.call("/plain/x", call_id="first-as-told")).status == 200
            answer = await here.call("/plain/x", call_id="early")
            told_s = float(answer.headers["Retry-After"])
            assert answer.status == 503 and 1.0 < told_s < 3.0
            await asyncio.sleep(told_s)
            assert (await here.call("/plain/x", call_id="as-told")).status == 200

    asyncio.run(scenario())


def test_requests_whose_turn_comes_soon_wait_for_it_and_callers_refused_together_come_one_by_one():
    async def scenario():
        async with known_boxes(plain=1) as here:
            routes = configuration(2, here.stores)["routes"]
            routes[0]["target_latency_ms"] = 2_000
            here.put_configuration(2, routes=routes)
            await eventually(lambda: here.logged("configuration", version=2))
            here.endpoints[0].limit = "25"
            await here.call("/plain/x", call_id="named")
            together = (here.call("/plain/x", call_id=f"together-{number}") for number in range(24))
            answers = await asyncio.gather(*together)
            served = [answer for answer in answers if answer.status == 200]
            assert len(served) >= 2 and max(answer.took_s for answer in served) < AT_ONCE_S
            told = [float(answer.headers["Retry-After"]) for answer in answers if answer.status == 503]
            assert len(set(told)) >= 3

    asyncio.run(scenario())


def test_work_returns_when_answers_name_no_limit_any_more_also_where_none_was_taken():
    async def scenario():
        async with known_boxes(plain=2) as here:
            limited = here.endpoints[0]
            for endpoint in here.endpoints:
                endpoint.delay_s = 0.05
            for limit in ("0", "0.01", "1"):
                limited.limit = limit
                await press(lambda n, limit=limit: here.call("/plain/x", call_id=f"{limit}-{n}"), 20, 3.0)
                limited.limit = None
                before = len(limited.received)
                answers = await press(
                    lambda n, limit=limit: here.call("/plain/y", call_id=f"{limit}-e{n}"), 20, 8
                )
                assert [answer.status for answer in answers] == [200] * len(answers)
                assert len(limited.received) - before >= 20

    asyncio.run(scenario())


def test_a_box_that_was_told_of_a_limit_tells_a_router_that_does_not_know_of_it():
    async def scenario():
        async with routed_box(plain=0, engines=2) as (here, router):
            limited = here.engines()[0]
            limited.limit = "1"
            router.reply = PlaceReply(endpoint=limited.id, version=1, scope="/m/1", first_token_s=0.02)
            await prompt_until_placed(here, router, "first")
            router.place_requests.clear()
            began = clock()
            answers = await press(lambda n: here.prompt("/again/x", call_id=f"press-{n}"), 10, 8.0)
            told = [item.said[0] for item in router.place_requests if item.said]
            assert told and told[0].endpoint == limited.id and told[0].per_s == 1.0
            assert any(ended.outcome == Outcome.NOT_SENT for ended in router.ended)
            assert busiest_window(limited, began) <= borne(1)
            assert [answer.status for answer in answers] == [200] * len(answers)

    asyncio.run(scenario())


def test_a_limit_that_one_box_was_told_is_known_at_the_other_and_its_end_as_well():
    async def scenario():
        async with two_boxes(plain=1) as (first, second):
            endpoint = first.endpoints[0]
            endpoint.limit = "7.5"
            await first.call("/plain/x", call_id="named")
            known = f'stairquay_endpoint_limit_per_second{{endpoint="{endpoint.id}"}} 7.5'

            async def second_knows() -> bool:
                return known in await second.metrics()

            await eventually(second_knows, KNOWN_S)
            endpoint.limit = None
            await asyncio.sleep(1.0)
            await eventually(lambda: ended_at(first, endpoint), KNOWN_S)

            async def second_forgot() -> bool:
                return known not in await second.metrics()

            await eventually(second_forgot, KNOWN_S)

    async def ended_at(here: Site, endpoint: Endpoint) -> bool:
        await here.call("/plain/x", call_id="ended")
        return bool(here.logged("limit", endpoint=endpoint.id, outcome="ended"))

    asyncio.run(scenario())


def test_lines_and_metrics_tell_which_limits_endpoints_name():
    async def scenario():
        async with site(plain=1, engines=1) as here:
            plain, engine = here.endpoints
            plain.limit, engine.limit = "40", "50"
            assert (await here.call("/plain/x", call_id="plain")).status == 200
            assert (await here.prompt(call_id="llm")).status == 200
            await asyncio.sleep(0.5)
            assert here.logged("ended", request="plain")[0]["limit_per_s"] == 40.0
            assert here.logged("ended", request="llm")[0]["limit_per_s"] == 50.0
            assert here.logged("limit", endpoint=plain.id, outcome="named", per_s=40.0)
            assert (
                f'stairquay_endpoint_limit_per_second{{endpoint="{plain.id}"}} 40.0' in await here.metrics()
            )
            plain.limit = "30.5"
            await here.call("/plain/x", call_id="changed")
            plain.limit = None
            await here.call("/plain/x", call_id="ended")
            await asyncio.sleep(0.5)
            assert here.logged("limit", endpoint=plain.id, outcome="changed", per_s=30.5, before_per_s=40.0)
            assert here.logged("limit", endpoint=plain.id, outcome="ended", before_per_s=30.5)
            assert f'{{endpoint="{plain.id}"}} 30.5' not in await here.metrics()
            told = "\n".join(explain_request(Logs(here.log_lines), "changed"))
            assert "limit_per_s=30.5" in told and "outcome=changed per_s=30.5" in told

    asyncio.run(scenario())


def test_a_limit_that_cannot_be_read_is_told_once_and_what_was_known_stands():
    async def scenario():
        async with site(plain=1) as here:
            endpoint = here.endpoints[0]
            endpoint.limit = "50"
            await here.call("/plain/x", call_id="named")
            for text in ("fifty", "fifty", "-3", "nan"):
                endpoint.limit = text
                assert (await here.call("/plain/x", call_id=f"odd-{text}")).status == 200
            await asyncio.sleep(0.5)
            assert [line["text"] for line in here.logged("limit", outcome="unreadable")] == [
                "fifty",
                "-3",
                "nan",
            ]
            assert not here.logged("limit", outcome="ended")
            metrics = await here.metrics()
            assert f'stairquay_endpoint_limit_per_second{{endpoint="{endpoint.id}"}} 50.0' in metrics
            assert 'stairquay_unreadable_statements_total{topic="limit"} 4.0' in metrics

    asyncio.run(scenario())
