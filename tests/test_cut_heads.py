"""What callers of a box get where an endpoint stops inside its answer's head and closes."""

import asyncio
from collections.abc import Iterable
from dataclasses import replace

import pytest

from tests.site import Answer, Site, site
from tests.standins.endpoints import Framing, RawAnswer
from tests.test_answer_ends import BEGUN, EVENTS
from tests.test_forwarding import cut_and_whole_box, lose_services, received

STREAM = RawAnswer(EVENTS, Framing.CHUNKS)
HEADS = {
    "chunks": STREAM,
    "length": replace(STREAM, framing=Framing.LENGTH),
    "close": replace(STREAM, framing=Framing.CLOSE),
    "close, HTTP/1.0": replace(STREAM, framing=Framing.CLOSE, http="1.0"),
    "no body": RawAnswer((), Framing.LENGTH, content_type="text/plain"),
    "503": replace(STREAM, framing=Framing.LENGTH, status=503),
}
STEP_BYTES = 9
"""Bytes between two cuts; `test_cut_answers` has every one, without the processes."""


def cuts(whole: RawAnswer) -> Iterable[RawAnswer]:
    """Return the answer with its head cut, each at another byte, by turns with FIN and a reset."""
    for length in range(
        1, len(whole.head({"Request-Id": "r-00", "Response-Signature": "sig-e-0"})), STEP_BYTES
    ):
        yield replace(whole, head_bytes=length, reset=length % 2 == 0)


def is_own_failure(answer: Answer) -> bool:
    """Tell whether the box itself answers that it does not know what became of the request."""
    return answer.status == 502 and answer.complete and "Response-Signature" not in answer.headers


async def ask(here: Site, path: str, call_id: str) -> Answer:
    if path.startswith("/once/"):
        return await here.call(path, "POST", call_id, body=b"x")
    return await here.prompt(path, call_id=call_id)


@pytest.mark.parametrize("kind", HEADS)
def test_a_request_that_runs_once_gets_502_where_the_head_of_its_answer_is_cut(kind: str):
    """Guards against a success with an empty body, a promise nobody made, and a second run."""

    async def scenario() -> None:
        async with site(plain=2, engines=2) as here:
            for number, cut in enumerate(cuts(HEADS[kind])):
                for path in ("/once/x", "/llm/chat"):
                    left = [cut]
                    for endpoint in here.endpoints:
                        endpoint.raw_answers = left
                    call_id = f"r-{number}{path[1]}"
                    assert is_own_failure(await ask(here, path, call_id)), (path, cut)
                    assert len(received(here, call_id)) == 1 and not left

    asyncio.run(scenario())


def test_a_stream_that_may_be_resumed_begins_elsewhere_where_the_first_head_is_cut():
    """Guards against a caller who gets the head that was cut, or pieces of two runs."""

    async def scenario() -> None:
        async with site(engines=2, budget_window_s=1) as here:
            await here.until_retry_budget_full()
            for number, cut in enumerate(cuts(STREAM)):
                left = [cut]
                for engine in here.engines():
                    engine.raw_answers = left
                answer = await here.prompt("/again/chat", call_id=f"r-{number}")
                assert not left
                assert (answer.status, answer.complete, answer.events) == (200, True, [1, 2, 3, 4, 5])

    asyncio.run(scenario())


@pytest.mark.parametrize("framing", list(Framing))
def test_a_stream_that_goes_on_where_the_next_head_is_cut_never_looks_complete(framing: Framing):
    """Guards against the end of the second run's connection that is taken for the stream's."""

    async def scenario() -> None:
        async with site(engines=2, budget_window_s=1) as here:
            await here.until_retry_budget_full()
            for number, cut in enumerate(cuts(replace(STREAM, framing=framing))):
                left = [RawAnswer((*EVENTS, BEGUN), framing), cut]
                for engine in here.engines():
                    engine.raw_answers = left
                answer = await here.prompt("/again/chat", call_id=f"r-{number}")
                assert not left
                assert (answer.status, answer.complete, answer.body) == (200, False, b"".join(EVENTS)), cut

    asyncio.run(scenario())


def test_a_request_that_was_passed_on_gets_502_where_the_head_of_its_answer_is_cut():
    """Guards against a box that takes another box's failure for the endpoint's answer."""

    async def scenario() -> None:
        cut_by_path = {"/once/x": 0, "/llm/chat": 0}
        async with cut_and_whole_box() as (here, _):
            await lose_services(here)
            for number, cut in enumerate(cuts(HEADS["length"])):
                for path in cut_by_path:
                    left = [cut]
                    for endpoint in here.endpoints:
                        endpoint.raw_answers = left
                    call_id = f"r-{number}{path[1]}"
                    answer = await ask(here, path, call_id)
                    reached = received(here, call_id)
                    assert len(reached) == 1 - len(left)
                    cut_by_path[path] += len(reached)
                    # A box that failed some requests is left alone for a while, and the next ones do not run.
                    assert is_own_failure(answer) if reached else answer.status == 503, (path, cut)
        assert min(cut_by_path.values()) >= 2

    asyncio.run(scenario())
