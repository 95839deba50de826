"""Stops of several boxes one after the other: of boxes that pass requests on, and of six in turn."""

import asyncio
from collections import Counter

import pytest

from stairquay.serving.boxes import HEARTBEAT_INTERVAL_S
from tests.many_boxes import several_boxes
from tests.site import Site, box_rows, eventually
from tests.stops import (
    GRACE_S,
    LEAD_S,
    Callers,
    Form,
    Request,
    Stop,
    loop_time,
    received_ids,
    request_faults,
    reset_faults,
    stop_and_watch,
    use_long_routes,
)
from tests.test_box_stops import assert_none, passing_on

BOXES = 6
STOP_INTERVAL_S = 3.0
"""Seconds between the signals of two boxes; each has the others that still run beside it."""

ARRIVALS_S = tuple(number * 0.4 for number in range(-2, 20))
"""Seconds after the signal at which requests arrive: before it, and in all of the grace time."""

WORK_S = 0.8
FORM = Form("/once/x", WORK_S)


class NamedCallers(Callers):
    """Callers whose requests have ids that differ from those at other boxes."""

    def _request(self, form: Form) -> Request:
        request = super()._request(form)
        request.id = f"{self.box.name}-{request.id}"
        return request


def send_at_all_times(callers: Callers) -> None:
    """Send requests that may not be repeated on new connections, and on some that were opened before."""
    for at_s in ARRIVALS_S:
        callers.send(at_s, FORM)
        callers.send_late(-LEAD_S / 2, at_s + 0.2, FORM)


def repeat_faults(boxes: list[Site]) -> list[str]:
    """Return the requests that ran more than once."""
    runs = Counter(item.id for endpoint in boxes[0].endpoints for item in endpoint.received)
    return [f"{call_id} ran {times} times" for call_id, times in runs.items() if times > 1]


def answer_faults(requests: list[Request], stop: Stop, boxes: list[Site]) -> list[str]:
    """Return what is wrong with the answers of a box that got the signal."""
    found = [fault for request in requests for fault in request_faults(request, stop, boxes[0].endpoints)]
    return [*found, *reset_faults(requests), *stop.faults]


async def stop_at(box: Site, callers: Callers) -> Stop:
    await asyncio.sleep(max(0.0, callers.stop_at - loop_time()))
    stop = await stop_and_watch(box)
    await callers.end()
    return stop


def summary(name: str, callers: Callers, boxes: list[Site]) -> str:
    ran = received_ids(boxes[0].endpoints)
    statuses = Counter(f"{item.status}{'' if item.complete else ' incomplete'}" for item in callers.requests)
    return f"{name}: {dict(statuses)}, {sum(item.id in ran for item in callers.requests)} ran"


@pytest.mark.parametrize("helper_first", [False, True], ids=["sender first", "helper first"])
@pytest.mark.parametrize("apart_s", [0.0, 1.5, 3.0, 6.0])
def test_requests_that_were_passed_on_get_true_answers_as_both_boxes_stop(apart_s: float, helper_first: bool):
    """Guards against a request that is cut, or wrongly said not to have run, when both of its boxes stop."""

    async def scenario():
        async with passing_on() as (here, helper):
            first, second = (helper, here) if helper_first else (here, helper)
            now = loop_time() + LEAD_S
            callers_by_box = {
                first.name: NamedCallers(first, now),
                second.name: NamedCallers(second, now + apart_s),
            }
            for callers in callers_by_box.values():
                send_at_all_times(callers)
            long = [
                callers_by_box[here.name].send(at_s, Form("/once/x", GRACE_S / 2))
                for at_s in (-0.6, 0.5, 1.5)
            ]
            found = await asyncio.gather(*(stop_at(box, callers_by_box[box.name]) for box in (first, second)))
            boxes = [here, helper]
            faults = repeat_faults(boxes)
            assert here.logged("forwarded", outcome="answered")
            for box, stop in zip((first, second), found, strict=True):
                print(summary(box.name, callers_by_box[box.name], boxes), f"{stop.took_s:.2f} s")
                requests = callers_by_box[box.name].requests
                faults += answer_faults(requests, stop, boxes)
            print("long:", [str(item) for item in long])
            assert_none(faults)

    asyncio.run(scenario())


def test_requests_that_may_not_be_repeated_are_not_lost_while_six_boxes_stop_in_turn():
    """Guards against requests that are taken late in the grace time of a planned stop and cut at its end."""

    async def scenario():
        async with several_boxes(BOXES) as boxes:
            await eventually(lambda: len(box_rows(boxes[0])) == BOXES)
            await use_long_routes(boxes)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S * 1.2)
            begin = loop_time() + LEAD_S
            all_callers = [
                NamedCallers(box, begin + number * STOP_INTERVAL_S) for number, box in enumerate(boxes)
            ]
            for callers in all_callers:
                send_at_all_times(callers)
            stops = await asyncio.gather(*(stop_at(callers.box, callers) for callers in all_callers))
            faults = repeat_faults(boxes)
            for callers, stop in zip(all_callers, stops, strict=True):
                print(summary(callers.box.name, callers, boxes), f"{stop.took_s:.2f} s")
                faults += answer_faults(callers.requests, stop, boxes)
            assert_none(faults)

    asyncio.run(scenario())
