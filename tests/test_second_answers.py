"""Second answers of endpoints that arrive on a connection while the next request is under way."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest

from tests.site import Answer, Site, eventually, site

REQUESTS = 6
PARTS = (
    "HTTP/1.1 200 OK",
    "HTTP/1.1 200 OK\r\nDate: x",
    "HTTP/1.1 200 OK\r\nServer: a b",
    "HTTP/1.1 200 ",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nDa",
)
"""Beginnings of a second answer that is broken off."""

LATER = "\0"
"""Stands in what an endpoint writes for a pause, after which the rest is written."""

LATER_S = 0.03

Respond = Callable[[str, str], str]
"""Returns what an endpoint writes on the connection: for this request, and the one before."""


SIGNATURE = "Response-Signature: sig\r\n"


def rejection(call_id: str) -> str:
    return (
        f"HTTP/1.1 503 X\r\nRequest-Id: {call_id}\r\nNot-Executed: 1\r\nRetry-After: 0\r\n"
        "Content-Length: 0\r\n\r\n"
    )


def without_id(answer: str) -> str:
    """Return an answer that names no request."""
    return "\r\n".join(line for line in answer.split("\r\n") if not line.startswith("Request-Id"))


def in_chunks(call_id: str) -> str:
    """Return a rejection with a body in chunks."""
    chunks = "5\r\nagain\r\n" * 3
    return rejection(call_id).replace("Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n") + (
        f"{chunks}0\r\n\r\n"
    )


def signed(call_id: str, status: str = "200 OK") -> str:
    return (
        f"HTTP/1.1 {status}\r\nRequest-Id: {call_id}\r\nResponse-Signature: sig\r\n"
        "Content-Length: 2\r\n\r\nok"
    )


def repeat_rejection(call_id: str, before: str) -> str:
    """Reject the first request of a connection, and repeat the rejection before the next answer."""
    return rejection(before) + signed(call_id) if before else rejection(call_id)


class RawEndpoint:
    """An endpoint that writes its answers byte for byte. ran: how often each request ran."""

    def __init__(self, respond: Respond) -> None:
        self.respond = respond
        self.ran: Counter[str] = Counter()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        before = ""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                call_id = head.partition("Request-Id: ")[2].partition("\r\n")[0]
                text = self.respond(call_id, before)
                self.ran[call_id] += "Signature" in text
                for number, part in enumerate(text.split(LATER)):
                    await asyncio.sleep(LATER_S if number else 0.0)
                    writer.write(part.encode())
                    await writer.drain()
                before = call_id
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()


@asynccontextmanager
async def box_before(respond: Respond) -> AsyncIterator[tuple[Site, RawEndpoint]]:
    """Run a box before one plain endpoint."""
    endpoint = RawEndpoint(respond)
    server = await asyncio.start_server(endpoint.handle, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    try:
        async with site(plain=0, ready=False) as here:
            entry = {"service": "plain", "address": address, "zone": "hall-a", "slots": 64}
            here.table.put("servers", "raw", entry | {"state": "ready", "sequence": 1})
            await here.until_ready()
            yield here, endpoint
    finally:
        server.close()


async def send_all(here: Site, path: str) -> dict[str, Answer]:
    found = {}
    for number in range(REQUESTS):
        name = f"r-{number}"
        found[name] = await here.call(path, call_id=name, headers={"Deadline-Ms": "900"})
    return found


@pytest.mark.parametrize("path", ("/once/x", "/plain/x"))
def test_a_late_second_rejection_says_nothing_of_the_next_request(path: str):
    """Guards against a request that runs twice, or is answered 503, though it runs."""

    async def scenario():
        async with box_before(repeat_rejection) as (here, endpoint):
            return await send_all(here, path), endpoint.ran

    answers, ran = asyncio.run(scenario())
    assert any(ran.values())
    for name, answer in answers.items():
        if path == "/once/x":
            assert ran[name] <= 1
            assert answer.status != 503 or not ran[name], name
        assert answer.status in (200, 502, 503)


@pytest.mark.parametrize("part", PARTS)
def test_the_beginning_of_a_second_answer_does_not_change_the_next_one(part: str):
    """Guards against a failure of an endpoint that reaches the caller as a success."""

    def respond(call_id: str, before: str) -> str:
        if not before:
            return signed(call_id)
        return part + signed(call_id, "500 Internal Server Error")

    async def scenario():
        async with box_before(respond) as (here, _):
            return await send_all(here, "/once/x")

    answers = asyncio.run(scenario())
    assert answers["r-0"].status == 200
    assert answers["r-1"].status in (500, 502)


SURPLUS = {
    "rejection with its id": rejection,
    "rejection without id": lambda call_id: without_id(rejection(call_id)),
    "rejection in chunks": in_chunks,
    "rejection in chunks, alone": lambda call_id: in_chunks(call_id) + LATER,
    "two rejections": lambda call_id: rejection(call_id) + without_id(rejection(call_id)),
    "421 without id": lambda _: "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
    "success with its id": signed,
    "success without id": lambda call_id: without_id(signed(call_id)),
}
"""Answers that come once more, before the one that is due: by what they are."""


@pytest.mark.parametrize("path", ("/once/x", "/plain/x"))
@pytest.mark.parametrize("surplus", SURPLUS)
def test_the_answer_that_is_due_after_a_surplus_one_reaches_its_caller(surplus: str, path: str):
    """Guards against requests that run twice, are refused though they run, or run for nobody."""

    def respond(call_id: str, before: str) -> str:
        if not before:
            return rejection(call_id)
        return SURPLUS[surplus](before) + signed(call_id)

    async def scenario():
        async with box_before(respond) as (here, endpoint):
            return await send_all(here, path), endpoint.ran

    answers, ran = asyncio.run(scenario())
    for name, answer in answers.items():
        assert ran[name] == (answer.status == 200) or path == "/plain/x", (name, answer.status, ran[name])
        assert answer.status != 503 or not ran[name], name
    assert [answers[f"r-{number}"].status for number in range(1, REQUESTS)] == [200] * (REQUESTS - 1)


def test_one_line_tells_of_many_surplus_answers_of_an_endpoint_and_the_metric_of_all():
    """Guards against a line for each answer of a faulty endpoint, and lines that name no request."""

    def respond(call_id: str, before: str) -> str:
        return (rejection(before) if before else "") + signed(call_id)

    async def scenario():
        async with box_before(respond) as (here, _):
            await send_all(here, "/once/x")
            await eventually(lambda: here.logged("surplus_answer"))
            return here.logged("surplus_answer"), await here.metrics()

    lines, metrics = asyncio.run(scenario())
    assert len(lines) == 1 and lines[0]["request"] == "r-1"
    assert (lines[0]["answered"], lines[0]["status"], lines[0]["number"]) == ("r-0", 503, 1)
    assert f'stairquay_surplus_answers_total{{service="plain"}} {REQUESTS - 1:.1f}' in metrics


SPLITS = {"after one byte": 1, "in its head": 40, "before its last byte": -1}
"""Where a surplus answer is cut: by what it is."""


@pytest.mark.parametrize("split", SPLITS)
@pytest.mark.parametrize("surplus", SURPLUS)
def test_a_surplus_answer_that_comes_in_two_parts_costs_no_request(surplus: str, split: str):
    """Guards against requests that run for nobody, on a connection that holds the first part."""
    at = SPLITS[split]

    def respond(call_id: str, before: str) -> str:
        rest = SURPLUS[surplus](before)[at:] if before else ""
        return rest + signed(call_id) + SURPLUS[surplus](call_id)[:at]

    async def scenario():
        async with box_before(respond) as (here, endpoint):
            return await send_all(here, "/once/x"), endpoint.ran

    answers, ran = asyncio.run(scenario())
    assert [answer.status for answer in answers.values()] == [200] * REQUESTS
    assert set(ran.values()) == {1}


def test_a_surplus_answer_without_end_ends_the_connection_at_once():
    """Guards against a box that reads a body for nobody, or holds a request until its time is over."""

    def respond(call_id: str, before: str) -> str:
        if not before:
            return rejection(call_id)
        endless = rejection(before).replace("Content-Length: 0", "Content-Length: 900000000")
        return endless + "x" * 8_000_000

    async def scenario():
        async with box_before(respond) as (here, _):
            return await send_all(here, "/once/x")

    answers = asyncio.run(scenario())
    assert {answer.status for answer in answers.values()} == {503, 502}
    assert max(answer.took_s for answer in answers.values()) < 0.7


def test_a_repeated_rejection_is_not_taken_for_that_of_a_request_with_the_same_id():
    """Guards against a request that runs twice where its caller uses one id for all its requests."""

    async def scenario():
        async with box_before(repeat_rejection) as (here, endpoint):
            statuses = []
            for _ in range(REQUESTS):
                answer = await here.call("/once/x", call_id="r-0", headers={"Deadline-Ms": "900"})
                statuses.append(answer.status)
            return statuses, endpoint.ran["r-0"]

    statuses, runs = asyncio.run(scenario())
    assert runs <= len(statuses) - statuses.count(503), (statuses, runs)


PROMISES = ("503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout")
"""Statuses that tell a caller that its request has not run."""


@pytest.mark.parametrize("status", PROMISES)
def test_an_endpoint_that_may_have_run_a_request_gives_its_caller_no_promise(status: str):
    """Guards against a caller who sends again what must run once, as it is told that it did not run."""

    def respond(call_id: str, _: str) -> str:
        return signed(call_id, status)

    async def scenario():
        async with box_before(respond) as (here, endpoint):
            return await send_all(here, "/once/x"), await send_all(here, "/plain/x"), endpoint.ran

    once, repeated, ran = asyncio.run(scenario())
    assert ran["r-0"]
    for answer in once.values():
        assert answer.status == 502
        assert "Response-Signature" not in answer.headers
    # What may run again needs no promise, and gets the endpoint's own answer.
    for answer in repeated.values():
        assert answer.status == int(status.split()[0])
        assert "Response-Signature" in answer.headers


TRAILERS = {
    "rejection": ("Not-Executed: 1", signed),
    "signature": ("Response-Signature: old", lambda call_id: signed(call_id).replace(SIGNATURE, "")),
    "two fields": ("X: 1\r\nNot-Executed: 1", signed),
}
"""Trailers of a surplus answer, and the answer that is due."""


@pytest.mark.parametrize("pause", ("", LATER))
@pytest.mark.parametrize("trailer", TRAILERS)
def test_the_trailer_of_a_surplus_answer_says_nothing_of_the_answer_that_is_due(trailer: str, pause: str):
    """Guards against a field that the parser carries from one answer into the next one."""
    field, due = TRAILERS[trailer]

    def respond(call_id: str, before: str) -> str:
        if not before:
            return rejection(call_id)
        return in_chunks(before)[:-2] + f"{field}\r\n\r\n" + pause + due(call_id)

    async def scenario():
        async with box_before(respond) as (here, endpoint):
            return await send_all(here, "/once/x"), endpoint.ran

    answers, ran = asyncio.run(scenario())
    for name, answer in answers.items():
        assert answer.status != 503 or not ran[name], name
        assert answer.headers.get("Response-Signature") != "old"
    if pause and due is signed:
        assert [answers[f"r-{number}"].status for number in range(1, REQUESTS)] == [200] * (REQUESTS - 1)


NO_ANSWERS = {
    "names none": lambda call_id: without_id(signed(call_id)),
    "400 that names none": lambda _: "HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n",
    "a switch of protocols": lambda _: "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    "names two": lambda call_id: signed(call_id).replace("\r\n", "\r\nRequest-Id: other\r\n", 1),
}
"""Answers in the place of one that names its request, as of an endpoint that has just become faulty."""


@pytest.mark.parametrize("kind", NO_ANSWERS)
def test_a_request_whose_answer_names_no_request_does_not_wait_out_its_time(kind: str):
    """Guards against callers who are held up to their deadlines by an endpoint that forgets ids."""
    sent = Counter()

    def respond(call_id: str, _: str) -> str:
        sent["all"] += 1
        return signed(call_id) if sent["all"] == 1 else NO_ANSWERS[kind](call_id)

    async def scenario():
        async with box_before(respond) as (here, _):
            return await send_all(here, "/once/x")

    answers = asyncio.run(scenario())
    assert [answer.status for answer in answers.values()] == [200] + [502] * (REQUESTS - 1)
    assert max(answer.took_s for answer in answers.values()) < 0.6


def test_a_rejection_that_names_two_requests_is_taken_for_that_of_none():
    """Guards against a request that is refused though it runs, since the first of two ids was believed."""

    def respond(call_id: str, before: str) -> str:
        if not before:
            return rejection(call_id)
        two = rejection(call_id).replace("\r\n", f"\r\nRequest-Id: {before}\r\n", 1)
        return two + signed(call_id)

    async def scenario():
        async with box_before(respond) as (here, endpoint):
            return await send_all(here, "/once/x"), endpoint.ran

    answers, ran = asyncio.run(scenario())
    assert ran["r-1"]
    for name, answer in answers.items():
        assert answer.status != 503 or not ran[name], name
