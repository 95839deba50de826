"""Endpoints that are back under their ids, whose entries still tell of the life before: which software they
run is not known."""

import asyncio
from dataclasses import replace
from random import Random

import pytest

from stairquay.adapters.clock import monotonic
from stairquay.core.fleet import Endpoint
from stairquay.core.stream_origins import StreamOrigin, may_continue
from stairquay.serving.jobs import JobProgress
from stairquay.serving.local_router import LocalRouter
from stairquay.serving.origins import excluded_ids, may_use
from stairquay.serving.ports import EngineReport
from stairquay.serving.state import BoxState
from tests.many_boxes import several_boxes
from tests.site import box_rows, eventually
from tests.streams import Stream, mixed, slow_streams
from tests.test_lives import place_prompt, state_with
from tests.test_stream_origins import UNRESUMABLE, history_of, job_of, resolved, tracker

BORN, BORN_ANEW = 1_000, 2_000
V1 = Endpoint("a", "llm", "h:1", software="v1", born=BORN, versions_by_model={"m": 1})
ALSO_V1 = replace(V1, id="b", address="h:2")
V2 = replace(V1, id="c", address="h:3", software="v2")
UNNAMED = replace(V1, id="u", software="")
BEGUN_AT_V1 = StreamOrigin("llm", "b", "v1")


def report_start(state: BoxState, endpoint: Endpoint, born: int) -> None:
    state.apply_report(endpoint, EngineReport(born=born), monotonic())


@pytest.mark.parametrize(
    ("origin", "endpoint", "listed", "may"),
    [
        (BEGUN_AT_V1, V1, [V1, ALSO_V1, V2], False),
        (BEGUN_AT_V1, V1, [V1, ALSO_V1], False),
        (StreamOrigin("llm", "u", ""), UNNAMED, [UNNAMED, V1], False),
        # A service whose entries name no version has one.
        (StreamOrigin("llm", "u", ""), UNNAMED, [UNNAMED], True),
    ],
)
def test_no_stream_goes_on_at_an_endpoint_in_a_life_that_its_entry_does_not_tell_of(
    origin, endpoint, listed, may
):
    """The version of the life before counted as that of the endpoint until its entry came."""
    history = history_of(listed)
    assert may_continue(origin, endpoint, history, 0.0, entry_outdated=True) == may
    assert may_continue(origin, endpoint, history, 0.0)


def test_a_report_of_a_newer_life_keeps_streams_away_until_the_entry_is_of_that_life():
    """Streams went on at another version, in one answer and over their callers' tries."""
    made, _, _ = tracker([V1, ALSO_V1, V2])
    state, progress, job = made.state, JobProgress(origin=BEGUN_AT_V1), job_of("s")
    report_start(state, V1, BORN)
    assert excluded_ids(state, job, progress) == {"c"}
    report_start(state, V1, BORN_ANEW)
    assert excluded_ids(state, job, progress) == {"a", "c"} and made.refuses(job, progress) is None
    state.fleet.apply([replace(V1, sequence=9)], (), monotonic())
    assert not may_use(state, progress, state.fleet.by_id["a"]), "an entry of the life before tells nothing"
    state.fleet.apply([replace(V1, born=BORN_ANEW)], (), monotonic())
    assert excluded_ids(state, job, progress) == {"c"}


def test_a_stream_that_begins_in_a_life_that_the_entry_does_not_tell_of_has_no_known_version():
    """Its origin named the version of the life before, and it went on there."""
    made, _, notices = tracker([V1, ALSO_V1, V2])
    report_start(made.state, V1, BORN_ANEW)
    made.begun(job_of(), JobProgress(), V1)
    [known] = made.state.origins.known_by_id.values()
    assert known.origin == StreamOrigin("llm", "a", "")
    assert {begun.origin for _, begun in notices.begun} == {known.origin}
    progress = JobProgress(origin=known.origin)
    assert made.refuses(job_of("own"), progress).kind == UNRESUMABLE
    made.state.fleet.apply([replace(V1, born=BORN_ANEW)], (), monotonic())
    later = JobProgress()
    made.begun(job_of(), later, V1)
    assert later.origin == StreamOrigin("llm", "a", "v1")


def test_streams_of_a_service_of_one_version_are_taken_up_after_a_crash_as_before():
    """All entries name one version: what begins at an endpoint that is back goes on at the others."""
    made, _, _ = tracker([V1, ALSO_V1])
    report_start(made.state, V1, BORN_ANEW)
    begun = JobProgress()
    made.begun(job_of(), begun, V1)
    assert begun.origin == StreamOrigin("llm", "a", "v1")
    progress = JobProgress()
    assert resolved(made, job_of("own"), progress) == begun.origin
    assert excluded_ids(made.state, job_of("own"), progress) == {"a"}


def test_entries_without_a_birth_are_taken_as_they_come():
    """Where entries name no start, none can be older than a report's."""
    unborn = replace(V1, born=0)
    made, _, _ = tracker([unborn, V2])
    report_start(made.state, unborn, BORN)
    report_start(made.state, unborn, BORN_ANEW)
    assert may_use(made.state, JobProgress(origin=BEGUN_AT_V1), unborn)


def test_a_router_tells_which_life_it_knows_and_the_sender_goes_by_it():
    """Only routers ask endpoints for reports, and most boxes of a large site are none."""
    router_state = state_with(V1)
    router_state.routers, router_state.routed_engines = (router_state.member,), frozenset({"a"})
    report_start(router_state, V1, BORN_ANEW)
    reply = place_prompt(LocalRouter(router_state, Random(1)), "t-1")
    assert (reply.endpoint, reply.born) == ("a", BORN_ANEW)
    made, _, _ = tracker([V1, V2])
    made.state.learn_start(V1, reply.born, monotonic(), "router")
    assert not may_use(made.state, JobProgress(origin=BEGUN_AT_V1), V1)
    made.state.learn_start(V1, 0, monotonic(), "router")
    made.state.learn_start(V1, BORN, monotonic(), "router")
    assert made.state.endpoint_state(V1).born == BORN_ANEW


BOXES = 3


@pytest.mark.parametrize("before", [("v1",), ("v1", "v2")])
def test_streams_are_not_joined_from_two_versions_where_endpoints_are_back_as_another_one(before):
    """Endpoints came back as another version one by one, and streams went on at them by the old entries."""

    async def scenario():
        async with several_boxes(BOXES, engines=4, software=before) as boxes:
            here, engines = boxes[0], boxes[0].engines()
            slow_streams(engines)
            for engine in engines:
                engine.born = BORN
                here.table.put("servers", engine.id, engine.entry())
            await eventually(lambda: len(box_rows(here)) == BOXES)
            await asyncio.sleep(1.0)
            streams: list[Stream] = []

            async def follow(number: int) -> None:
                stream = Stream()
                streams.append(stream)
                for at in range(4):
                    await stream.take(boxes[(number + at) % BOXES], f"s-{number}-{at}")
                    if stream.complete:
                        return
                    await asyncio.sleep(0.05)

            tasks: list[asyncio.Task] = []

            async def press(seconds: float) -> None:
                end = asyncio.get_running_loop().time() + seconds
                while asyncio.get_running_loop().time() < end:
                    tasks.append(asyncio.create_task(follow(len(tasks))))
                    await asyncio.sleep(0.05)

            for engine in engines:
                engine.crash()
                await press(0.5)
                engine.software, engine.born = "v3", BORN_ANEW
                await engine.start_again()
                # The report tells of it; the entry stays as it was.
                await press(2.5)
            await asyncio.gather(*tasks)
            assert not mixed(streams), mixed(streams)
            assert sum(stream.is_whole() for stream in streams) > len(streams) / 2

    asyncio.run(scenario())
