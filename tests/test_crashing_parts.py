"""A part of prompts that crashes each engine, in requests of which no two are alike.

Guards against engines that crash one after the other because each request is taken for a new one.
"""

import asyncio

from stairquay.adapters.clock import monotonic
from stairquay.core.crashes import Crash
from stairquay.serving.quarantine import CrashReport
from tests.many_boxes import two_boxes
from tests.site import HOST, KEY, MODEL, Answer, Site, eventually
from tests.states import box_state
from tests.test_crashes import (
    MAX_PROPAGATION_S,
    POISON,
    crash_count,
    make_endpoints_crash,
    site_with_crashing_endpoints,
)

MAX_CRASHES = 6
"""Five crashes are needed at most, and the last request may crash two engines."""


async def prompt_with(here: Site, part: str, number: int, body: bytes = POISON) -> Answer:
    """Send a prompt that shares its first part and one more with others."""
    headers = {"Prompt-Prefix": f"aa:500,{part}:300,own{part}{number}:100"}
    return await here.prompt(
        "/again/x", call_id=f"{part}-{number}", body=body + b" %d" % number, headers=headers
    )


async def serve_others(here: Site) -> None:
    """Serve prompts with the same first part, as a route's always have."""
    for number in range(3):
        assert (await prompt_with(here, "early", number, b"well")).status == 200


def test_requests_that_share_a_part_that_crashes_engines_are_refused_and_others_are_served():
    async def scenario():
        async with site_with_crashing_endpoints(engines=12) as here:
            await serve_others(here)
            for number in range(10):
                answer = await prompt_with(here, "bad", number)
                await asyncio.sleep(0.15)
            assert crash_count(here) <= MAX_CRASHES
            assert answer.status == 503 and float(answer.headers["Retry-After"]) > 1
            for number in range(3):
                assert (await prompt_with(here, "good", number, b"well")).status == 200

    asyncio.run(scenario())


def test_a_part_that_crashed_engines_at_one_box_is_refused_at_the_other_one():
    async def scenario():
        async with two_boxes(engines=12, budget_window_s=1) as (here, other):
            await here.until_retry_budget_full()
            make_endpoints_crash(here)
            for box in (here, other):
                await serve_others(box)
            for number in range(10):
                await prompt_with(here, "bad", number)
                await asyncio.sleep(0.15)
            crashed = crash_count(here)
            await asyncio.sleep(MAX_PROPAGATION_S)
            answers = [await prompt_with(other, "bad", number) for number in range(90, 100)]
            # One request tries the part again.
            assert sum(answer.status != 503 for answer in answers) <= 1
            assert crash_count(here) <= crashed + 1 <= MAX_CRASHES + 1
            assert (await prompt_with(other, "good", 99, b"well")).status == 200

    asyncio.run(scenario())


def test_two_parts_that_crash_engines_by_turns_are_both_refused():
    async def scenario():
        async with site_with_crashing_endpoints(engines=20) as here:
            await serve_others(here)
            for number in range(20):
                answers = [await prompt_with(here, part, number) for part in ("bad", "worse")]
                await asyncio.sleep(0.15)
            # One request tries each part again.
            assert crash_count(here) <= 2 * (MAX_CRASHES + 1)
            await asyncio.sleep(MAX_PROPAGATION_S)
            for number in range(20, 23):
                answers = [await prompt_with(here, part, number) for part in ("bad", "worse")]
            assert all(answer.status == 503 for answer in answers)
            assert (await prompt_with(here, "good", 1, b"well")).status == 200
            await eventually(lambda: len(here.logged("quarantine", outcome="begun")) >= 2)

    asyncio.run(scenario())


def test_a_part_that_all_prompts_share_is_tried_again_where_nothing_had_ended_before_engines_crashed():
    """Guards against a route that is refused for long as no prompt could show its first part innocent."""

    async def scenario():
        async with site_with_crashing_endpoints(engines=8) as here:
            await serve_another_route(here)
            for number in range(2):
                for part in ("bad", "worse"):
                    await prompt_with(here, part, number)
            await eventually(lambda: here.logged("quarantine", outcome="begun", digest="part aa"))
            assert (await prompt_with(here, "good", 0, b"well")).status == 503
            await eventually_served(here)
            await eventually(lambda: here.logged("quarantine", outcome="cleared", digest="part aa"))
            assert len(here.logged("quarantine", outcome="tried")) == 1

    asyncio.run(scenario())


def test_a_box_that_has_served_no_prompt_yet_refuses_none_for_a_part_that_others_share():
    """Guards against refusing all prompts where engines crashed before any had ended."""

    async def scenario():
        async with site_with_crashing_endpoints(engines=8) as here:
            for number in range(2):
                for part in ("bad", "worse"):
                    await prompt_with(here, part, number)
            await eventually(lambda: here.logged("quarantine", outcome="begun", digest="part aa"))
            assert (await prompt_with(here, "good", 0, b"well")).status == 200
            await eventually(lambda: here.logged("quarantine", outcome="cleared", digest="part aa"))

    asyncio.run(scenario())


async def leave_after_first_event(here: Site, number: int) -> None:
    """Send a prompt with the same first part, and hang up once its answer has begun."""
    headers = {
        "Host": HOST,
        "Request-Id": f"left-{number}",
        "Deadline-Ms": "5000",
        "Authorization": f"Bearer {KEY}",
        "Model": MODEL,
        "Token-Usage": "900,20",
        "Prompt-Prefix": f"aa:500,left{number}:300,ownleft{number}:100",
    }
    assert here.session is not None
    async with here.session.post(f"http://{here.front}/again/x", headers=headers, data=b"well") as response:
        assert response.status == 200 and await response.content.readany()
        response.close()


def test_a_part_is_refused_where_every_caller_leaves_after_the_first_event():
    """Guards against a box that refuses no part, as none of its answers ever ends."""

    async def scenario():
        async with site_with_crashing_endpoints(engines=12) as here:
            for engine in here.endpoints:
                engine.event_s = 0.5
            for number in range(20):
                await leave_after_first_event(here, number)
                if number >= 10:
                    answer = await prompt_with(here, "bad", number)
                    await asyncio.sleep(0.15)
            assert crash_count(here) <= MAX_CRASHES
            assert answer.status == 503 and float(answer.headers["Retry-After"]) > 1
            await leave_after_first_event(here, 20)

    asyncio.run(scenario())


def test_a_part_explains_the_crash_of_an_engine_that_a_prompt_without_it_had_left():
    """Guards against a box that refuses no part, as each engine that callers leave crashes soon after."""
    quarantine, now = box_state().quarantine, monotonic()
    quarantine.record_crashes(
        Crash(digest, f"e-{number}/1", now, 0.1, None)
        for number in range(4)
        for digest in ("part aa", "part bad")
    )
    assert quarantine.explains("e-1/1", without=("part aa", "part left"))
    assert not quarantine.explains("e-1/1", without=("part aa", "part bad"))
    assert not quarantine.explains("e-9/1", without=("part aa",))
    quarantine.record_served(["part aa", "part left"], now - 0.1)
    assert quarantine.remaining_s("part bad") > 0 and quarantine.remaining_s("part aa") == 0


def test_a_part_that_was_served_and_crashes_engines_from_now_on_is_refused():
    """Guards against a part that what ended well before the first crash keeps innocent for a minute."""

    async def scenario():
        async with site_with_crashing_endpoints(engines=16) as here:
            for number in range(3):
                await serve_others(here)
                assert (await prompt_with(here, "turned", number, b"well")).status == 200
            for number in range(3, 15):
                assert (await prompt_with(here, "good", number, b"well")).status == 200
                answer = await prompt_with(here, "turned", number)
                await asyncio.sleep(0.15)
            assert crash_count(here) <= MAX_CRASHES
            assert answer.status == 503
            assert (await prompt_with(here, "good", 99, b"well")).status == 200

    asyncio.run(scenario())


def test_a_box_that_has_served_nothing_refuses_a_part_where_others_say_that_prompts_end_well():
    """Guards against boxes that have just started, and go on to crash engines that all others spare."""
    quarantine, now = box_state().quarantine, monotonic()
    crashes = tuple(Crash("part bad", f"e-{number}/1", now, 0.1, None) for number in range(4))
    quarantine.apply_rows({"b-2": CrashReport(crashes)}, True)
    assert quarantine.remaining_s("part bad") == 0
    quarantine.apply_rows({"b-3": CrashReport((), {"part aa": now})}, False)
    assert quarantine.remaining_s("part bad") > 0 and quarantine.remaining_s("part aa") == 0


async def serve_another_route(here: Site) -> None:
    headers = {"Prompt-Prefix": "zz:500,yy:300,own:100"}
    assert (await here.prompt("/again/y", call_id="zz-1", body=b"well", headers=headers)).status == 200


async def eventually_served(here: Site) -> None:
    for number in range(50):
        if (await prompt_with(here, "good", number, b"well")).status == 200:
            return
        await asyncio.sleep(0.1)
    raise AssertionError("prompts with the shared part are not served")
