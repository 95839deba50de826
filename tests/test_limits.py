"""Endpoints state rate limits in their answers, which bind all boxes together.

Guards against boxes and routers that send more than a limit they were told. Boxes are real processes, before
stand-ins of the endpoints.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from stairquay.core.pace import HOLDER_BURST_S
from stairquay.explain import Logs, explain_request
from stairquay.serving.messages import Outcome, PlaceReply
from tests.many_boxes import prompt_until_placed, routed_box, two_boxes
from tests.site import Answer, Site, box_rows, configuration, eventually, site
from tests.standins.endpoints import Endpoint

MAX_PROPAGATION_S = 3.0
"""Seconds after an endpoint first states a limit from which all boxes must keep to it."""

WINDOW_S = 4.0
LIMIT_FACTOR, LIMIT_SLACK = 1.5, 5.0
"""In each window an endpoint takes LIMIT_FACTOR times its limit, and LIMIT_SLACK requests more."""

MAX_REFUSAL_S = 1.0
BURST = int(25 * HOLDER_BURST_S)
"""Requests that a box may send at once at most under a limit of 25 a second."""

"""Longest time in seconds for an immediate refusal, on a busy machine."""

LOAD_DURATION_S = 8.5
"""Seconds of load: until a limit binds, and at least one window after that."""

SendRequest = Callable[[int], Awaitable[Answer]]


def max_in_window(limit: float) -> float:
    """Return the most requests that an endpoint with a limit may get in a window."""
    return LIMIT_FACTOR * limit * WINDOW_S + LIMIT_SLACK


def max_window_count(endpoint: Endpoint, limit_since: float) -> int:
    """Return the most requests that an endpoint got in a window once the limit binds."""
    times = [at for at, _ in endpoint.arrivals if at >= limit_since + MAX_PROPAGATION_S]
    return max((sum(at <= other < at + WINDOW_S for other in times) for at in times), default=0)


def min_window_count(endpoint: Endpoint, limit_since: float, until: float) -> int:
    """Return the fewest requests that an endpoint got in a window once the limit binds."""
    starts = [limit_since + MAX_PROPAGATION_S + step / 10 for step in range(200)]
    return min(
        sum(start <= at < start + WINDOW_S for at, _ in endpoint.arrivals)
        for start in starts
        if start + WINDOW_S <= until
    )


async def send_load(call: SendRequest, per_s: float, for_s: float = LOAD_DURATION_S) -> list[Answer]:
    """Send requests at a fixed rate, without waiting for earlier ones; return their answers."""
    calls = []
    for number in range(int(per_s * for_s)):
        calls.append(asyncio.ensure_future(call(number)))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*calls)


def loop_time() -> float:
    return asyncio.get_running_loop().time()


@asynccontextmanager
async def single_box(**options) -> AsyncIterator[Site]:
    """Start one box and wait until it knows that it is the only one, after its second heartbeat."""
    async with site(**options) as here:
        while not here.logged("router", outcome="picked"):
            await asyncio.sleep(0.05)
        await eventually(lambda: any(row["beat"] >= 2 for row in box_rows(here)))
        yield here


def refused_with_retry_after(answers: list[Answer]) -> bool:
    """Tell whether all failed answers are immediate 503s with Retry-After."""
    refused = [answer for answer in answers if answer.status != 200]
    return all(
        answer.status == 503 and float(answer.headers["Retry-After"]) > 0 and answer.took_s < MAX_REFUSAL_S
        for answer in refused
    )


def test_a_plain_endpoint_gets_its_limit_and_no_more_and_the_rest_is_refused_at_once():
    async def scenario():
        async with single_box(plain=1) as here:
            endpoint = here.endpoints[0]
            endpoint.limit = "3"
            started_at = loop_time()
            answers = await send_load(lambda n: here.call("/plain/x", call_id=f"press-{n}"), 20)
            assert max_window_count(endpoint, started_at) <= max_in_window(3)
            assert min_window_count(endpoint, started_at, loop_time()) >= 3 * WINDOW_S / 2
            assert refused_with_retry_after(answers)

    asyncio.run(scenario())


def test_an_engine_gets_no_more_than_its_limit_from_all_boxes_and_others_take_the_rest():
    async def scenario():
        async with two_boxes(plain=0, engines=2) as boxes:
            limited, other = boxes[0].endpoints
            limited.limit = "3"
            started_at = loop_time()
            answers = await send_load(lambda n: boxes[n % 2].prompt("/again/x", call_id=f"press-{n}"), 20)
            assert max_window_count(limited, started_at) <= max_in_window(3)
            assert min_window_count(limited, started_at, loop_time()) >= 3 * WINDOW_S / 2
            assert [answer.status for answer in answers] == [200] * len(answers)
            assert len(other.received) > len(limited.received)

    asyncio.run(scenario())


def test_requests_that_are_sent_again_and_streams_that_go_on_count_as_well():
    async def scenario():
        async with single_box(plain=2, engines=2, budget_slack=10_000) as here:
            limited = [here.endpoints[0], here.engines()[0]]
            for endpoint in here.endpoints:
                if endpoint in limited:
                    endpoint.limit = "2"
                else:
                    endpoint.errors = 10_000
            started_at = loop_time()

            async def send_either(n: int) -> Answer:
                if n % 2:
                    return await here.prompt("/again/x", call_id=f"again-{n}", headers={"Last-Event-Id": "2"})
                return await here.call("/plain/x", call_id=f"plain-{n}")

            await send_load(send_either, 30)
            for endpoint in limited:
                assert max_window_count(endpoint, started_at) <= max_in_window(2)

    asyncio.run(scenario())


def test_a_caller_that_is_refused_for_a_limit_is_served_when_it_was_told_to_come():
    """A box that is idle may send one more before its turn, and sends evenly after that."""

    async def scenario():
        async with single_box(plain=1) as here:
            here.endpoints[0].limit = "0.5"
            await here.call("/plain/x", call_id="named")
            first = await here.call("/plain/x", call_id="first")
            if first.status == 503:
                await asyncio.sleep(float(first.headers["Retry-After"]))
                assert (await here.call("/plain/x", call_id="first-as-told")).status == 200
            for name in ("early", "again"):
                answer = await here.call("/plain/x", call_id=name)
                retry_after_s = float(answer.headers["Retry-After"])
                assert answer.status == 503 and 0.0 < retry_after_s < 3.0
                await asyncio.sleep(retry_after_s)
                assert (await here.call("/plain/x", call_id=f"{name}-as-told")).status == 200
            assert retry_after_s > 1.0

    asyncio.run(scenario())


def test_requests_whose_turn_comes_soon_wait_for_it_and_callers_refused_together_come_one_by_one():
    async def scenario():
        async with single_box(plain=1) as here:
            routes = configuration(2, here.stores)["routes"]
            routes[0]["target_latency_ms"] = 2_000
            here.put_configuration(2, routes=routes)
            await eventually(lambda: here.logged("configuration", version=2))
            here.endpoints[0].limit = "25"
            await here.call("/plain/x", call_id="named")
            together = (here.call("/plain/x", call_id=f"together-{number}") for number in range(BURST + 24))
            answers = await asyncio.gather(*together)
            served = [answer for answer in answers if answer.status == 200]
            assert len(served) >= 2 and max(answer.took_s for answer in served) < MAX_REFUSAL_S
            retry_delays = [
                float(answer.headers["Retry-After"]) for answer in answers if answer.status == 503
            ]
            assert len(set(retry_delays)) >= 3

    asyncio.run(scenario())


def test_work_returns_when_answers_name_no_limit_any_more_also_where_none_was_taken():
    async def scenario():
        async with single_box(plain=2) as here:
            limited = here.endpoints[0]
            for endpoint in here.endpoints:
                endpoint.delay_s = 0.05
            for limit in ("0", "0.01", "1"):
                limited.limit = limit
                await send_load(lambda n, limit=limit: here.call("/plain/x", call_id=f"{limit}-{n}"), 20, 3.0)
                limited.limit = None
                before = len(limited.received)
                answers = await send_load(
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
            started_at = loop_time()
            answers = await send_load(lambda n: here.prompt("/again/x", call_id=f"press-{n}"), 10, 8.0)
            feedback = [item.said[0] for item in router.place_requests if item.said]
            assert feedback and feedback[0].endpoint == limited.id and feedback[0].per_s == 1.0
            assert any(ended.outcome == Outcome.NOT_SENT for ended in router.ended)
            assert max_window_count(limited, started_at) <= max_in_window(1)
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

            await eventually(second_knows, MAX_PROPAGATION_S)
            endpoint.limit = None
            await asyncio.sleep(1.0)
            await eventually(lambda: ended_at(first, endpoint), MAX_PROPAGATION_S)

            async def second_has_no_limit() -> bool:
                return known not in await second.metrics()

            await eventually(second_has_no_limit, MAX_PROPAGATION_S)

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
            explanation = "\n".join(explain_request(Logs(here.log_lines), "changed"))
            assert "limit_per_s=30.5" in explanation and "outcome=changed per_s=30.5" in explanation

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
