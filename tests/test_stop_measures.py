"""What is measured of a stop while the test itself stands still."""

import asyncio
from time import sleep

from tests.site import site
from tests.stops import (
    CATCH_UP_S,
    GRACE_S,
    LEAD_S,
    REFUSING_S,
    ROUTE_S,
    Callers,
    Form,
    Request,
    Stop,
    loop_time,
    stop_and_watch,
    stop_faults,
    use_long_routes,
)
from tests.test_box_stops import refusal_faults


def test_a_test_that_stands_still_does_not_take_its_own_pause_for_the_box_being_late():
    """Guards against a busy machine on which the test reads in time answers late, or the end of a process."""

    async def scenario() -> None:
        async with site(plain=2, budget_window_s=2) as here:
            await use_long_routes([here])
            callers = Callers(here, loop_time() + LEAD_S)
            refused = [callers.send_slowly(-1.0, None, Form("/plain/x", 3.0)) for _ in range(5)]
            callers.send(2.0, Form("/plain/x", ROUTE_S))
            await asyncio.sleep(LEAD_S)
            at, loop = loop_time(), asyncio.get_running_loop()
            for from_s, until_s in ((REFUSING_S - 0.2, REFUSING_S + 0.9), (GRACE_S - 1.2, GRACE_S + 0.3)):
                loop.call_at(at + from_s, lambda until=at + until_s: sleep(until - loop_time()))
            stop = await stop_and_watch(here)
            await callers.end()
            faults = stop_faults(callers.requests, stop, here.endpoints) + refusal_faults(refused, stop)
            assert not faults, faults
            assert len(stop.pauses) >= 2

    asyncio.run(scenario())


def refused_at(seen_at: float) -> Request:
    body = b'{"error": {"kind": "stopping", "ran": "not run"}}'
    named = {"content-type": "application/json"}
    return Request(
        "r0",
        "/plain/x",
        None,
        0.0,
        status=503,
        headers=named,
        body=body,
        complete=True,
        answered_at=seen_at,
    )


def test_a_pause_of_the_test_excuses_no_box_that_was_late_without_it():
    """Guards against a pause that ended before, or began after the bound, and hides a box that is late."""
    late_s = REFUSING_S + 0.9
    for pauses, is_fault in (
        ((), True),
        (((1.0, late_s - 2 * CATCH_UP_S),), True),
        (((late_s - 0.2, late_s),), True),
        (((late_s + 0.1, late_s + 0.3),), True),
        (((REFUSING_S, late_s),), False),
    ):
        stop = Stop(0.0, 5.0, 0, "closed", pauses)
        assert bool(refusal_faults([refused_at(late_s)], stop)) == is_fault, pauses
    early = Stop(0.0, 5.0, 0, "closed", ((1.0, 2.0),))
    assert refusal_faults([refused_at(2.0)], early)


def test_a_process_that_has_not_ended_when_its_time_is_over_is_killed_and_counts_as_late():
    """Guards against a process that a pause of the test gives more time."""

    async def scenario() -> None:
        async with site(plain=1, budget_window_s=2) as here:
            assert here.box is not None
            loop, at = asyncio.get_running_loop(), loop_time()
            loop.call_at(at + GRACE_S - 0.5, lambda: sleep(1.0))
            frozen = asyncio.create_task(here.pause_box(GRACE_S * 2))
            await asyncio.sleep(0)
            stop = await stop_and_watch(here)
            frozen.cancel()
            assert stop.returncode is None and stop.faults

    asyncio.run(scenario())
