"""Endpoints that answer nothing while requests wait there: choice, repeats, and the retry budget."""

import asyncio
from collections import Counter
from random import Random

import pytest

from stairquay.adapters.clock import monotonic
from stairquay.core.budget import RetryAllowance, WindowedRetryBudget
from stairquay.core.call import Call
from stairquay.core.catalog import Catalog, Route, ServiceSpec
from stairquay.core.fleet import Endpoint
from stairquay.core.silence import QUIET_AFTER_S, SILENT_AFTER_S, UNREAD_TTL_S, Silence
from stairquay.serving.endpoint_choice import ChoiceRequest, choose_endpoint
from stairquay.serving.jobs import Job
from stairquay.serving.silent_endpoints import silent_ids, wait_for_answers
from stairquay.serving.state import BoxState
from tests.site import eventually, site
from tests.states import box_state

ALLOWANCE = RetryAllowance(0.2, 20, 10)
WINDOW_S = ALLOWANCE.window_s
LONG_KNOWN_S = 100.0
LATE_S = SILENT_AFTER_S + 0.1


def plain_state(endpoints: int = 3) -> BoxState:
    state = box_state()
    state.fleet.apply(
        [Endpoint(f"p-{number}", "plain", f"10.0.0.{number}:1") for number in range(endpoints)], (), 0.0
    )
    return state


def choices(state: BoxState, number: int = 30) -> Counter[str]:
    random, wanted = Random(1), ChoiceRequest(ServiceSpec("plain"))
    found = [choose_endpoint(state, None, wanted, random) for _ in range(number)]  # type: ignore[arg-type]
    return Counter(choice.endpoint.id for choice in found if choice is not None)


def retries_taken(budget: WindowedRetryBudget, now: float, unread: tuple[float, ...] = ()) -> int:
    taken = 0
    while budget.take(now, 1, LONG_KNOWN_S, unread):
        taken += 1
    return taken


def test_new_requests_avoid_a_silent_plain_endpoint_while_one_waits_there():
    """Each would wait out its deadline at an endpoint that hangs, though others are free."""
    state = plain_state()
    state.endpoint_state(state.fleet.by_id["p-0"]).silence.on_sent(monotonic() - LATE_S, False)
    assert not choices(state)["p-0"]


def test_a_silent_endpoint_is_tried_again_once_no_request_waits_there():
    """An endpoint that goes on while it gets nothing would never be used again."""
    state = plain_state()
    silence = state.endpoint_state(state.fleet.by_id["p-0"]).silence
    silence.on_sent(monotonic() - LATE_S, False)
    silence.on_given_up()
    assert choices(state)["p-0"]


def test_silent_endpoints_are_used_where_all_are_silent():
    """Requests would be refused during a silence of a second that all endpoints have at once."""
    state = plain_state()
    for endpoint in state.fleet.by_id.values():
        state.endpoint_state(endpoint).silence.on_sent(monotonic() - LATE_S, False)
    assert sum(choices(state).values()) == 30


def test_an_answer_ends_a_silence_and_tells_which_repeats_are_read_late():
    """Repeats would stay in the account for ever, or count as of when they were sent."""
    silence = Silence()
    silence.on_sent(1.0, True)
    silence.on_sent(1.2, False)
    silence.on_given_up()
    ended = silence.on_answered(20.0)
    assert ended is not None and ended.repeats == [1.0] and ended.lasts_s(20.0) == 19.0
    assert silence == Silence()


def test_a_request_that_did_not_leave_starts_no_silence():
    """An endpoint would count as silent though nothing was sent to it."""
    silence = Silence()
    silence.on_sent(1.0, True)
    silence.on_not_sent(1.0)
    assert silence == Silence()


def test_repeats_that_are_never_read_count_for_a_limited_time():
    """Repeats at an endpoint that nobody reaches any more would take of the retry budget for ever."""
    silence = Silence()
    silence.on_sent(1.0, True)
    assert silence.unread_repeats(UNREAD_TTL_S) == [1.0]
    assert silence.unread_repeats(2.0 + UNREAD_TTL_S) == []


def plain_job() -> Job:
    route, service = Route("plain", "svc", "/", (), timeout_s=5.0, repeatable=True), ServiceSpec("plain")
    now, call = monotonic(), Call("call-1", "GET", "svc", "/x", "/x", ())
    catalog = Catalog(1, services_by_id={"plain": service})
    return Job(call, b"", catalog, route, service, None, now, now + 5.0)


def send_repeats(state: BoxState, endpoint: str, number: int) -> Silence:
    """Count repeats that were sent to an endpoint just long enough ago that it may have stopped."""
    silence = state.endpoint_state(state.fleet.by_id[endpoint]).silence
    for _ in range(number):
        silence.on_sent(monotonic() - QUIET_AFTER_S - 0.01, True)
    return silence


def test_few_repeats_are_unread_at_an_endpoint_that_may_have_stopped():
    """Guards against a budget of a busy time that one endpoint reads when there are few requests."""
    state = plain_state()
    most = state.settings.repeats.most_unread(1)
    send_repeats(state, "p-0", most - 1)
    assert not silent_ids(state, plain_job())
    send_repeats(state, "p-0", 1)
    assert silent_ids(state, plain_job()) == {"p-0"}


def test_an_endpoint_with_an_unread_repeat_gets_no_others_at_once_while_most_are_unread():
    """Guards against a burst of repeats that one endpoint gets before it is known that it has stopped."""
    state = plain_state()
    silence = state.endpoint_state(state.fleet.by_id["p-0"]).silence
    for _ in range(state.settings.repeats.most_unread(1)):
        assert not silent_ids(state, plain_job())
        silence.on_sent(monotonic(), True)
    assert silent_ids(state, plain_job()) == {"p-0"}
    silence.on_answered(monotonic())
    assert not silent_ids(state, plain_job())


def test_a_repeat_that_finds_an_unread_one_everywhere_waits_for_an_answer():
    """Guards against refusals where many requests repeat at once and endpoints go on answering."""

    async def waited_s() -> float:
        state, now = plain_state(2), monotonic()
        silence = state.endpoint_state(state.fleet.by_id["p-0"]).silence
        for _ in range(state.settings.repeats.most_unread(1)):
            silence.on_sent(now, True)
        asyncio.get_running_loop().call_later(0.1, lambda: silence.on_answered(monotonic()))
        await wait_for_answers(state, plain_job(), {"p-1"})
        return monotonic() - now

    assert 0.1 <= asyncio.run(waited_s()) < SILENT_AFTER_S - QUIET_AFTER_S


def test_many_repeats_at_once_all_go_where_endpoints_answer():
    """Guards against refusals after an engine has crashed with more streams than may be repeated at once."""
    answered_after_s, repeats = 0.1, 20

    async def sent() -> int:
        state, random = plain_state(5), Random(1)

        async def repeat() -> int:
            await wait_for_answers(state, plain_job(), {"p-0"})
            ids = sorted(state.fleet.by_id.keys() - silent_ids(state, plain_job()) - {"p-0"})
            if ids:
                silence = state.endpoint_state(state.fleet.by_id[random.choice(ids)]).silence
                silence.on_sent(monotonic(), True)
                loop = asyncio.get_running_loop()
                loop.call_later(answered_after_s, lambda: silence.on_answered(monotonic()))
            return bool(ids)

        return sum(await asyncio.gather(*(repeat() for _ in range(repeats))))

    assert asyncio.run(sent()) == repeats


def test_a_repeat_that_waited_counts_as_of_when_it_is_sent():
    """Guards against repeats of two windows that are sent in one, as answers let them go late."""

    async def counted_at() -> tuple[float, list[float]]:
        state, taken_at = plain_state(2), monotonic()
        silence = send_repeats(state, "p-0", state.settings.repeats.most_unread(1))
        state.retry_budget("plain").retries.append(taken_at)
        asyncio.get_running_loop().call_later(0.1, lambda: silence.on_answered(monotonic()))
        await wait_for_answers(state, plain_job(), {"p-1"})
        return taken_at, list(state.retry_budget("plain").retries)

    taken_at, counted = asyncio.run(counted_at())
    assert len(counted) == 1 and counted[0] >= taken_at + 0.1


def test_boxes_that_have_hardly_any_slack_may_have_one_repeat_unread():
    """Guards against boxes that never repeat, as there are many of them."""
    assert RetryAllowance(0.2, 26, 10).most_unread(330) == 1


def test_a_repeat_waits_for_an_answer_rather_than_be_refused_but_not_for_long():
    """Guards against refusals after an engine has broken many streams at once, and against long waits."""

    async def waited_s(answered_after_s: float | None) -> float:
        state, now = plain_state(2), monotonic()
        silence = send_repeats(state, "p-0", state.settings.repeats.most_unread(1))
        if answered_after_s is not None:
            asyncio.get_running_loop().call_later(answered_after_s, lambda: silence.on_answered(monotonic()))
        await wait_for_answers(state, plain_job(), {"p-1"})
        return monotonic() - now

    assert 0.1 <= asyncio.run(waited_s(0.1)) < SILENT_AFTER_S - QUIET_AFTER_S
    assert SILENT_AFTER_S / 2 < asyncio.run(waited_s(None)) < 2 * SILENT_AFTER_S


def test_a_repeat_does_not_wait_where_an_endpoint_has_nothing_to_answer():
    """Guards against repeats that take longer though an idle endpoint is there."""

    state = plain_state(2)
    send_repeats(state, "p-0", state.settings.repeats.most_unread(1))
    with pytest.raises(StopIteration):
        wait_for_answers(state, plain_job(), set()).send(None)


def test_a_later_process_repeats_only_to_endpoints_that_have_answered_it():
    """Guards against repeats at a stopped endpoint that already has those of an earlier process."""
    state = plain_state(2)
    state.predecessor_ended_by = monotonic()
    answering = state.endpoint_state(state.fleet.by_id["p-0"]).silence
    answering.on_sent(monotonic(), False)
    answering.on_answered(monotonic())
    assert silent_ids(state, plain_job()) == {"p-1"}
    state.predecessor_ended_by = monotonic() - UNREAD_TTL_S
    assert not silent_ids(state, plain_job())


def test_repeats_that_no_endpoint_has_read_count_in_each_window():
    """An endpoint that goes on reads the repeats of earlier windows together with the new ones."""
    budget = WindowedRetryBudget(ALLOWANCE)
    first = retries_taken(budget, WINDOW_S)
    unread = (WINDOW_S,) * first
    assert first and not retries_taken(budget, 3 * WINDOW_S, unread)
    budget.on_read_late(unread, 3 * WINDOW_S)
    assert not retries_taken(budget, 3.9 * WINDOW_S)
    assert retries_taken(budget, 4.1 * WINDOW_S) == first


def test_repeats_that_are_read_within_their_window_count_once():
    """A repeat would count when it was permitted and again when it was read."""
    budget = WindowedRetryBudget(ALLOWANCE)
    first = retries_taken(budget, WINDOW_S)
    budget.on_read_late((WINDOW_S + 0.1,) * first, 1.5 * WINDOW_S)
    assert len(budget.retries) == first and set(budget.retries) == {1.5 * WINDOW_S}


def test_the_end_of_a_silence_is_logged():
    """Nobody could tell why requests to a plain endpoint took their whole time, or went elsewhere."""

    async def scenario() -> None:
        async with site(plain=1) as here:
            here.endpoints[0].silent_until = asyncio.get_running_loop().time() + 2 * SILENT_AFTER_S
            answer = await here.call("/plain/x")
            assert answer.status == 200, answer
            await eventually(lambda: here.logged("silence"))
            (line,) = here.logged("silence")
            assert line["endpoint"] == "p-0" and line["waiting"] == 0 and line["repeats"] == 0, line
            assert SILENT_AFTER_S < line["silent_s"] < 3.0, line

    asyncio.run(scenario())
