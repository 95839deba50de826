"""What is passed on to another box, what is not, and what the caller gets."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import pytest
from result import Err

from stairquay.adapters.clock import monotonic
from stairquay.core.call import Call
from stairquay.core.catalog import Route
from stairquay.core.errors import ErrorKind, ExecutionStatus
from stairquay.core.fleet import Endpoint
from stairquay.core.helpers import MAX_UNHELPFUL, Helpers
from stairquay.serving.boxes import HEARTBEAT_INTERVAL_S
from stairquay.serving.crashes import CrashDetector
from stairquay.serving.dispatch import Dispatcher
from stairquay.serving.forwarding import Forwarder
from stairquay.serving.jobs import Job, JobProgress
from stairquay.serving.origins import OriginTracker
from stairquay.serving.ports import BoxRefusal
from stairquay.serving.reach import record_reached, record_unreached
from stairquay.serving.state import BoxState
from tests.cut_box import CutKind
from tests.loads.test_limits_of_endpoints import CATALOG
from tests.many_boxes import several_boxes
from tests.site import Site, box_rows, eventually
from tests.states import box_state
from tests.test_cut_from_endpoints import cut


@asynccontextmanager
async def cut_and_whole_box() -> AsyncIterator[tuple[Site, Site]]:
    """Start two boxes that know each other, and cut the first one from all endpoints."""
    async with several_boxes(2, module="tests.cut_box") as boxes:
        await eventually(lambda: len(box_rows(boxes[0])) == 2)
        await asyncio.sleep(HEARTBEAT_INTERVAL_S * 1.2)
        cut(boxes[:1], CutKind.RESET)
        await asyncio.sleep(0.1)
        yield boxes[0], boxes[1]


async def lose_services(here: Site) -> None:
    """Send until the box knows that it reaches no endpoint."""
    for number in range(4):
        await here.call("/plain/x", call_id=f"lose-plain-{number}")
        await here.prompt(call_id=f"lose-llm-{number}")
    await eventually(lambda: len(here.logged("reach", outcome="lost")) == 2)


def received(here: Site, call_id: str) -> list[tuple[str, dict[str, str], bytes]]:
    return [
        (endpoint.id, dict(item.headers), item.body)
        for endpoint in here.endpoints
        for item in endpoint.received
        if item.id == call_id
    ]


def test_a_request_that_was_passed_on_reaches_its_endpoint_as_its_caller_sent_it():
    async def scenario():
        async with cut_and_whole_box() as (here, _):
            await lose_services(here)
            answer = await here.call(
                "/once/x", "POST", "r-once", body=b"body", headers={"X-Own": "1", "Tenant": "other"}
            )
            assert (answer.status, answer.complete) == (200, True)
            assert answer.body.startswith(b"answer of p-") and "Response-Signature" in answer.headers
            [(_, headers, body)] = received(here, "r-once")
            assert body == b"body" and headers["X-Own"] == "1" and headers["Tenant"] == "w1"
            assert 0 < int(headers["Deadline-Ms"]) <= 3000
            hop_headers = {"stairquay-forwarded", "authorization"}
            assert not hop_headers & {name.lower() for name in headers}
            stream = await here.prompt(call_id="r-stream")
            assert stream.complete and stream.events == [1, 2, 3, 4, 5]
            await eventually(lambda: here.logged("forwarded", request="r-stream", outcome="answered"))
            [line] = here.logged("forwarded", request="r-stream")
            assert line["to"].startswith("box-2@") and line["lost"] is True and line["ran"] == "ran"
            [ended] = here.logged("ended", request="r-stream")
            assert ended["by"] == line["to"] and ended["framing"] == "chunked"
            assert 'stairquay_forwarded_total{outcome="answered",service="llm"}' in await here.metrics()

    asyncio.run(scenario())


def test_what_the_cut_box_can_decide_is_not_passed_on():
    async def scenario():
        async with cut_and_whole_box() as (here, other):
            await lose_services(here)
            assert (await here.call("/plain/x", key="none", call_id="r-key")).status == 401
            assert (await here.call("/nowhere", call_id="r-path")).status == 404
            await asyncio.sleep(0.3)
            assert not other.logged("refused", request="r-key") + other.logged("refused", request="r-path")

    asyncio.run(scenario())


def test_a_request_is_passed_on_once_only():
    """Two boxes that take each other for one that reaches endpoints would pass a request on for ever."""

    async def scenario():
        async with cut_and_whole_box() as (here, other):
            await lose_services(here)
            cut([other], CutKind.RESET)
            await asyncio.sleep(0.1)
            await lose_services(other)
            answer = await here.call("/once/x", "POST", "r-1", body=b"x")
            assert answer.status == 503 and b"endpoints_unreached" in answer.body
            assert float(answer.headers["Retry-After"]) > 0 and answer.took_s < 0.3
            passed_on = here.logged("forwarded", request="r-1") + other.logged("forwarded", request="r-1")
            assert len(passed_on) <= 1
            forged = await here.call("/plain/x", call_id="r-2", headers={"Stairquay-Forwarded": "many"})
            assert forged.status == 503 and not received(here, "r-2")

    asyncio.run(scenario())


def test_a_refusal_of_the_endpoints_reaches_the_caller_and_a_failure_says_that_it_may_have_run():
    async def scenario():
        async with cut_and_whole_box() as (here, _):
            await lose_services(here)
            for endpoint in here.endpoints:
                endpoint.refuse = 9
            refused = await here.call("/once/x", "POST", "r-1", body=b"x")
            assert refused.status == 503 and float(refused.headers["Retry-After"]) > 0
            assert not received(here, "r-1")
            for endpoint in here.endpoints:
                endpoint.refuse, endpoint.unframed_reset = 0, 1
            broken = await here.call("/once/x", "POST", "r-2", body=b"x")
            assert broken.status == 502 and len(received(here, "r-2")) == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("path", ["/again/chat", "/llm/chat"])
def test_a_stream_under_way_when_the_box_is_cut_is_resumed_at_another_box_or_broken_off(path: str):
    """Only a stream that may be resumed runs twice, and no event is missing, repeated or half."""

    async def scenario():
        async with several_boxes(2, module="tests.cut_box") as boxes:
            await eventually(lambda: len(box_rows(boxes[0])) == 2)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S * 1.2)
            for engine in boxes[0].engines():
                engine.event_count, engine.event_s = 12, 0.08
            calls = [asyncio.create_task(boxes[0].prompt(path, call_id=f"r-{number}")) for number in range(4)]
            await asyncio.sleep(0.4)
            cut(boxes[:1], CutKind.RESET)
            answers = await asyncio.gather(*calls)
            runs = Counter(item.id for engine in boxes[0].engines() for item in engine.received)
            for number, answer in enumerate(answers):
                resumed = path == "/again/chat"
                assert answer.complete == resumed and runs[f"r-{number}"] == 1 + resumed
                assert answer.events == list(range(1, len(answer.events) + 1))
                assert len(answer.events) == 12 if resumed else 0 < len(answer.events) < 12

    asyncio.run(scenario())


def test_where_endpoints_are_down_all_boxes_refuse_at_once_and_serve_soon_after():
    """A box must not take endpoints that are down for a cut of its own: no box would be ready."""

    async def scenario():
        async with several_boxes(3) as boxes:
            await eventually(lambda: len(box_rows(boxes[0])) == 3)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S * 1.2)
            plain = [endpoint for endpoint in boxes[0].endpoints if not endpoint.model]
            for endpoint in plain:
                endpoint.crash()
            for number in range(6):
                await asyncio.gather(*(box.call("/plain/x", call_id=f"a-{number}") for box in boxes))
            took_s = []
            for number in range(20):
                answers = await asyncio.gather(
                    *(box.call("/plain/x", call_id=f"b-{number}") for box in boxes)
                )
                assert {answer.status for answer in answers} == {503}
                took_s += [answer.took_s for answer in answers]
                assert all([await box.is_ready() for box in boxes])
            assert sorted(took_s)[len(took_s) // 2] < 0.1 and max(took_s) < 0.5
            for endpoint in plain:
                await endpoint.restart()
                boxes[0].table.put("servers", endpoint.id, endpoint.entry())
            await asyncio.sleep(1.5)
            answers = await asyncio.gather(*(box.call("/plain/x", call_id="c") for box in boxes))
            assert [answer.status for answer in answers] == [200] * 3

    asyncio.run(scenario())


@pytest.mark.parametrize(("boxes", "cut_boxes"), [(6, 3), (6, 5), (71, 22), (71, 48), (330, 110), (330, 220)])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_helpers_are_found_and_share_the_load_where_many_boxes_are_cut(boxes: int, cut_boxes: int, seed: int):
    """With a third to two thirds of all boxes cut, requests are served and no other box gets most of them.

    Each cut box sends 16 requests a second for 3 s, each to three boxes at most.
    """
    random = Random(seed)
    names = [f"b-{number}" for number in range(boxes)]
    whole = set(names[cut_boxes:])
    asked, served, failed = Counter(), Counter(), 0
    helpers_by_box = {name: Helpers() for name in names[:cut_boxes]}
    for step in range(48):
        now = 100.0 + step / 16
        for name, helpers in helpers_by_box.items():
            others = [item for item in names if item != name]
            for _ in range(3):
                box = helpers.pick(others, now, random)
                if box is None:
                    failed += 1
                    break
                asked[box] += 1
                helpers.record(box, box in whole, now)
                if box in whole:
                    served[box] += 1
                    break
            else:
                failed += 1
    total = 48 * cut_boxes
    assert failed <= 0.2 * total, (failed, total)
    assert max(served.values()) <= max(6.0 * total / len(whole), 1.5 * 48), served.most_common(3)
    assert sum(asked.values()) <= 2.5 * total


def test_where_no_box_helps_few_are_asked():
    """Endpoints that are down would else make each box ask all others, again and again."""
    random, helpers, asked = Random(1), Helpers(), 0
    names = [f"b-{number}" for number in range(330)]
    for step in range(160):
        now = 100.0 + step / 16
        for _ in range(3):
            box = helpers.pick(names, now, random)
            if box is None:
                break
            asked += 1
            helpers.record(box, False, now)
    assert asked <= 10 / 2 * MAX_UNHELPFUL + 3 * MAX_UNHELPFUL


class BoxThatReachesNothing:
    """Another box, while whose answer is under way this one finds that it reaches the service again."""

    def __init__(self, state: BoxState) -> None:
        self.state = state

    async def send(self, call, body, forward, attempt):
        record_reached(self.state, "plain")
        return Err(BoxRefusal(ErrorKind.ENDPOINTS_UNREACHED, ExecutionStatus.NOT_RUN, ""))


class NoChoice:
    async def choose(self, job, progress, most_backlog_s):
        return None

    def retry_after_s(self, job, progress):
        return None

    def retry_after_backoff_s(self, job):
        return None


def test_a_box_that_reaches_the_service_again_while_another_refuses_goes_on_by_itself():
    """There was no failed attempt to judge by then, and the caller got status 500."""
    state = box_state()
    state.fronts_by_box = {"b-2": "10.0.0.2:1"}
    for name in ("p-0", "p-1"):
        state.fleet.apply([Endpoint(name, "plain", "a:1")], (), 0.0)
        record_unreached(state, state.fleet.by_id[name])
    assert state.lost_services == {"plain"}
    route = Route("plain", "svc", "/", (), timeout_s=5.0)
    call, now = Call("call-1", "GET", "svc", "/x", "/x", ()), monotonic()
    job = Job(call, b"", CATALOG, route, CATALOG.services_by_id["plain"], None, now, now + 5.0)
    forwarder = Forwarder(state, BoxThatReachesNothing(state), Random(1))
    origins = OriginTracker(state, None, None, None)
    dispatcher = Dispatcher(state, None, NoChoice(), CrashDetector(state, None), forwarder, origins)
    ended = asyncio.run(dispatcher.run(job, None))
    assert ended.err_value.kind == ErrorKind.NO_ENDPOINT and not state.lost_services


class BoxThatFailed:
    """Another box that may have run what it was asked for. runs: as it tells, None if it does not."""

    def __init__(self, runs: int | None) -> None:
        self.runs = runs

    async def send(self, call, body, forward, attempt):
        attempt.send()
        attempt.lose()
        return Err(BoxRefusal(ErrorKind.ENDPOINT_FAILED, attempt.ran, "", runs=self.runs))


@pytest.mark.parametrize("told,counted", ((1, 1), (2, 2), (None, 3)))
def test_runs_at_another_box_count_all_that_it_was_allowed_unless_it_tells(told: int | None, counted: int):
    """A box that dies after two attempts would be followed by one that is allowed two more."""
    state = box_state()
    state.fronts_by_box = {"b-2": "10.0.0.2:1"}
    route = Route("plain", "svc", "/", (), timeout_s=5.0, max_attempts=3)
    call, now = Call("call-1", "GET", "svc", "/x", "/x", ()), monotonic()
    job = Job(call, b"", CATALOG, route, CATALOG.services_by_id["plain"], None, now, now + 5.0)
    progress = JobProgress()
    forwarder = Forwarder(state, BoxThatFailed(told), Random(1))
    assert asyncio.run(forwarder.forward(job, progress, None)) is None
    assert progress.runs == counted
