"""An answer that ends inside its head, or before its body does: nobody may take it for one."""

import asyncio
from dataclasses import replace

import pytest

from stairquay.core.errors import ExecutionStatus
from tests.cut_answers import (
    CARRYING,
    CONTINUE,
    CONTROL,
    EARLIER_ID,
    Client,
    CutAnswer,
    Outcome,
    answer,
    cutting_server,
    from_box_that_has_sent_before,
)

AT_ONCE = 48
"""Requests under way together."""

CHUNKS = b"3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n"
REFUSAL = ("Not-Executed: 1", "X-Not-Run: true", "Retry-After: 1")
ANSWERS = {
    "length": answer(b"whole", "Content-Length: 5"),
    "no body": answer(b"", "Content-Length: 0"),
    "chunks": answer(CHUNKS, "Transfer-Encoding: chunked"),
    "close": answer(b"", "Connection: close"),
    "HTTP/1.0": answer(b"", first="HTTP/1.0 200 OK"),
    "refusal": answer(b"", *REFUSAL, "Content-Length: 0", first="HTTP/1.1 503 X"),
    "misdirected": answer(b"", "Content-Length: 0", first="HTTP/1.1 421 X"),
}


async def outcomes_by_cut(
    client: Client, cut: CutAnswer, lengths: range, whole_first: bytes = b""
) -> dict[tuple[int, bool], Outcome]:
    """Return what a client makes of an answer, by the bytes that come and whether a reset follows."""
    slots = asyncio.Semaphore(AT_ONCE)

    async def play(length: int, reset: bool) -> Outcome:
        async with slots, cutting_server(cut.at(length, reset), whole_first) as address:
            return await client(address)

    cases = [(length, reset) for length in lengths for reset in (False, True)]
    return dict(zip(cases, await asyncio.gather(*(play(*case) for case in cases)), strict=True))


def taken(found: dict[tuple[int, bool], Outcome]) -> list[tuple[int, bool]]:
    return [case for case, outcome in found.items() if outcome.taken]


def unknown(found: dict[tuple[int, bool], Outcome]) -> bool:
    return all(outcome.ran == ExecutionStatus.UNKNOWN for outcome in found.values())


@pytest.mark.parametrize("kind", ANSWERS)
@pytest.mark.parametrize("client", CARRYING)
def test_an_answer_that_ends_inside_its_head_is_none_and_promises_nothing(client: str, kind: str):
    """Guards against a caller who gets a success with an empty body, or a promise that nobody made."""
    cut = ANSWERS[kind]
    found = asyncio.run(outcomes_by_cut(CARRYING[client], cut, range(cut.head_bytes())))
    assert taken(found) == [] and unknown(found)


@pytest.mark.parametrize("kind", ("length", "chunks"))
@pytest.mark.parametrize("client", CARRYING)
def test_an_answer_that_ends_inside_its_body_is_not_whole(client: str, kind: str):
    """Guards against a caller who gets a part of a body as the whole one."""
    cut = ANSWERS[kind]
    found = asyncio.run(outcomes_by_cut(CARRYING[client], cut, range(cut.head_bytes(), len(cut.data))))
    assert [case for case, outcome in found.items() if outcome.whole] == [] and unknown(found)


@pytest.mark.parametrize("client", CARRYING)
def test_an_answer_that_is_whole_is_taken(client: str):
    """Shows that the server and the clients of this file do what its other tests need."""
    for kind in ("length", "no body", "chunks", "close", "HTTP/1.0"):
        cut = ANSWERS[kind]
        found = asyncio.run(outcomes_by_cut(CARRYING[client], cut, range(len(cut.data), len(cut.data) + 1)))
        assert found[len(cut.data), False].whole, kind


@pytest.mark.parametrize("kind", ("length", "refusal", "close"))
@pytest.mark.parametrize("client", CARRYING)
def test_a_head_that_is_cut_after_an_interim_answer_is_no_answer(client: str, kind: str):
    """Guards against an interim answer that stands for the head that is due."""
    cut = replace(ANSWERS[kind], before=CONTINUE)
    found = asyncio.run(outcomes_by_cut(CARRYING[client], cut, range(cut.head_bytes())))
    assert taken(found) == [] and unknown(found)


@pytest.mark.parametrize("kind", ("length", "refusal", "close"))
@pytest.mark.parametrize("client", CARRYING)
def test_a_head_that_is_cut_after_a_pause_is_no_answer(client: str, kind: str):
    """Guards against a parser that takes what came first for a head once the rest is missing."""
    whole = ANSWERS[kind]
    pauses = (8, 20, whole.data.index(b"\r\n") + 2, whole.data.index(b"\r\nResponse") + 2)
    for pause in pauses:
        cut = replace(whole, pause_at=pause)
        found = asyncio.run(outcomes_by_cut(CARRYING[client], cut, range(pause + 1, cut.head_bytes(), 7)))
        assert taken(found) == [] and unknown(found)


SURPLUS = {
    "length": answer(b"early", "Content-Length: 5", call_id=EARLIER_ID).data,
    "chunks": answer(CHUNKS, "Transfer-Encoding: chunked", call_id=EARLIER_ID).data,
    "no body": answer(b"", "Content-Length: 0", call_id=EARLIER_ID).data,
}


@pytest.mark.parametrize("kind", ANSWERS)
@pytest.mark.parametrize("surplus", SURPLUS)
def test_a_head_that_is_cut_after_a_surplus_answer_is_no_answer(surplus: str, kind: str):
    """Guards against a surplus answer, or a head made of it and the next one, that reaches the caller."""
    first = SURPLUS[surplus]
    cut = replace(ANSWERS[kind], before=first)
    lengths = range(cut.head_bytes())
    found = asyncio.run(outcomes_by_cut(from_box_that_has_sent_before, cut, lengths, first))
    assert taken(found) == [] and unknown(found)


@pytest.mark.parametrize("framing", ("Content-Length: {}", "Connection: close"))
@pytest.mark.parametrize("name", CONTROL)
def test_a_poll_order_or_call_whose_answer_is_cut_has_no_answer(name: str, framing: str):
    """Guards against an order that counts as taken, or a view that counts as empty, by a cut head."""
    client, body = CONTROL[name]
    cut = answer(body, framing.format(len(body)))
    found = asyncio.run(outcomes_by_cut(client, cut, range(cut.head_bytes())))
    assert taken(found) == []
    whole = asyncio.run(outcomes_by_cut(client, cut, range(len(cut.data), len(cut.data) + 1)))
    assert whole[len(cut.data), False].taken


@pytest.mark.parametrize("name", CONTROL)
def test_a_poll_order_or_call_whose_answers_body_is_cut_is_not_whole(name: str):
    """Guards against a list or a report that counts as complete without its end."""
    client, body = CONTROL[name]
    cut = answer(body, f"Content-Length: {len(body)}")
    found = asyncio.run(outcomes_by_cut(client, cut, range(cut.head_bytes(), len(cut.data))))
    assert [case for case, outcome in found.items() if outcome.whole] == []
