"""Decisions on prompts while engines are full, at the queue and at the router that asks it."""

from dataclasses import replace
from math import inf
from random import Random

import pytest

from stairquay.adapters.clock import monotonic
from stairquay.core.prompt_queue import (
    MAX_RETRY_AFTER_S,
    MIN_EXPIRY_S,
    Admitted,
    Deferred,
    PromptQueue,
    Reason,
    Rejected,
    RoomRequest,
)
from stairquay.core.room import MeanDuration, Room
from stairquay.serving.local_router import LocalRouter
from stairquay.serving.messages import EndedAttempt, Outcome
from tests.test_choosing import router_state
from tests.test_room import place_request

FREE = [Room("e-0", 1, 10_000.0, 0.0, 10.0)]
FULL = [Room("e-0", 0, 0.0, 0.03, 30.0), Room("e-1", 0, 0.0, 0.05, 30.0)]
STUCK = [Room("e-0", 0, 0.0, 3.0, 1.0)]


def prompt(ticket: str, priority: int = 2, **fields) -> RoomRequest:
    base = {"workspace": "w", "tokens": 1_000, "objective_left_s": 1.0, "deadline_left_s": 10.0}
    return RoomRequest(ticket, priority, **(base | fields))


def contended_queue(now: float = 0.0) -> PromptQueue:
    """Return a queue of a service of which more urgent prompts use a half."""
    queue = PromptQueue()
    queue.record_admitted(0, 10_000, now)
    queue.record_admitted(2, 10_000, now)
    return queue


def test_nothing_is_refused_while_most_slots_are_free_and_nothing_is_queued():
    """Guards against refusals for lack of memory beside idle slots."""
    queue = contended_queue()
    memory_full = [Room("e-0", 9, 0.0, 3.0, 1.0, slots=16)]
    assert queue.decide(prompt("t0"), memory_full, 0.0) == Admitted("e-0", queued=True)
    assert isinstance(queue.decide(prompt("t1"), [replace(memory_full[0], queued=1)], 0.0), Rejected)
    assert isinstance(queue.decide(prompt("t2"), [replace(memory_full[0], free_slots=8)], 0.0), Rejected)


def test_everything_is_admitted_while_an_engine_has_room():
    queue = PromptQueue()
    for priority in (0, 1, 2):
        late = prompt(f"t{priority}", priority, objective_left_s=0.001, prefill_s=1.0)
        assert queue.decide(late, FREE, 0.0) == Admitted("e-0")


def test_a_prompt_that_waits_is_admitted_when_a_slot_is_free_and_not_before():
    queue = PromptQueue()
    first = queue.decide(prompt("t0"), FULL, 0.0)
    assert isinstance(first, Deferred) and queue.waiting_by_priority() == {2: 1}
    assert queue.decide(prompt("t0", waited_s=0.02, objective_left_s=0.98), FREE, 0.02) == Admitted("e-0")
    assert queue.is_idle(0.02)


def test_a_free_slot_goes_to_the_most_urgent_then_to_the_first():
    queue = PromptQueue()
    queue.decide(prompt("t0"), FULL, 0.0)
    queue.decide(prompt("t1"), FULL, 0.001)
    assert isinstance(queue.decide(prompt("t1"), FREE, 0.01), Deferred)
    assert queue.decide(prompt("t2", 1), FREE, 0.01) == Admitted("e-0")
    assert queue.decide(prompt("t0"), FREE, 0.01) == Admitted("e-0")
    assert queue.decide(prompt("t1"), FREE, 0.01) == Admitted("e-0")


def test_the_most_urgent_never_wait_at_the_router():
    queue = PromptQueue()
    queue.decide(prompt("t0"), FULL, 0.0)
    assert queue.decide(prompt("t1", 0), FULL, 0.0) == Admitted("e-0", queued=True)
    late = prompt("t2", 0, objective_left_s=0.4)
    assert queue.decide(late, STUCK, 0.0) == Admitted("e-0", queued=True)
    assert queue.decide(replace(late, deadline_left_s=2.0), STUCK, 0.0).reason == Reason.DEADLINE


def test_a_prompt_that_cannot_be_in_time_is_refused_at_once():
    queue = contended_queue()
    assert queue.decide(prompt("t0", deadline_left_s=2.0), STUCK, 0.0).reason == Reason.DEADLINE
    assert queue.decide(prompt("t1"), STUCK, 0.0).reason == Reason.OBJECTIVE
    assert queue.is_idle(0.0)


def test_a_prompt_that_would_only_be_late_runs_if_nothing_more_urgent_needs_the_engines():
    """Guards against callers that are sent away although a late answer is all that there can be."""
    queue = PromptQueue()
    assert queue.decide(prompt("t0", deadline_left_s=2.0), STUCK, 0.0).reason == Reason.DEADLINE
    assert isinstance(queue.decide(prompt("t1"), STUCK, 0.0), Deferred)


def test_nobody_is_held_longer_than_a_tenth_of_the_objective():
    queue, now = PromptQueue(), 0.0
    for ticket in ("t0", "t1", "t2"):
        while isinstance(
            found := queue.decide(prompt(ticket, waited_s=now, objective_left_s=1.0 - now), FULL, now),
            Deferred,
        ):
            now += found.again_s
            assert now <= 0.1
        now = 0.0


def test_a_prompt_that_has_waited_its_time_goes_to_the_queue_of_the_engine_that_is_free_first():
    queue = PromptQueue()
    waited = prompt("t0", waited_s=0.1, objective_left_s=0.9)
    assert queue.decide(waited, FULL, 0.1) == Admitted("e-0", queued=True)


def test_a_place_expires_when_nobody_asks_for_it():
    """Guards against places of senders that died or whose callers disconnected."""
    queue = PromptQueue()
    queue.decide(prompt("t0", 1), FULL, 0.0)
    assert isinstance(queue.decide(prompt("t1"), FREE, MIN_EXPIRY_S - 0.01), Deferred)
    assert queue.decide(prompt("t1"), FREE, MIN_EXPIRY_S + 0.01) == Admitted("e-0")
    assert queue.is_idle(MIN_EXPIRY_S * 3)


def test_a_place_that_is_asked_for_does_not_expire():
    queue = PromptQueue()
    for step in range(8):
        found = queue.decide(prompt("t0", objective_left_s=10.0, waited_s=step * 0.05), FULL, step * 0.05)
        assert isinstance(found, Deferred)
    assert queue.waiting_by_priority() == {2: 1}


def test_another_router_gives_a_ticket_a_place_that_counts_its_time_since_arrival():
    """Guards against a second wait at the next router when one dies."""
    queue = PromptQueue()
    late = queue.decide(prompt("t0", waited_s=0.099, objective_left_s=0.901), FULL, 5.0)
    assert late == Admitted("e-0", queued=True)


def test_a_place_is_given_up_when_the_sender_says_so():
    queue = PromptQueue()
    queue.decide(prompt("t0"), FULL, 0.0)
    queue.leave("t0")
    queue.leave("t0")
    assert queue.is_idle(0.0) and queue.decide(prompt("t1"), FREE, 0.0) == Admitted("e-0")


def test_workspaces_of_one_priority_take_turns():
    queue = PromptQueue()
    for number in range(5):
        queue.decide(prompt(f"big{number}", workspace="big"), FULL, 0.0)
    queue.decide(prompt("small", workspace="small"), FULL, 0.001)
    assert queue.decide(prompt("big0", workspace="big"), FREE, 0.002) == Admitted("e-0")
    assert isinstance(queue.decide(prompt("big1", workspace="big"), FREE, 0.003), Deferred)
    assert queue.decide(prompt("small", workspace="small"), FREE, 0.003) == Admitted("e-0")


def test_an_engine_is_kept_for_the_largest_prompt_that_waits_first():
    """Guards against small prompts that take each slot before the memory suffices for a large one."""
    queue = PromptQueue()
    queue.decide(prompt("large", tokens=12_000), FULL, 0.0)
    one_free = [replace(FULL[0], free_slots=3, free_in_s=0.0)]
    assert isinstance(queue.decide(prompt("small"), one_free, 0.001), Deferred)
    elsewhere = [*one_free, Room("e-1", 2, 5_000.0, 0.0, 30.0)]
    assert queue.decide(prompt("small"), elsewhere, 0.002) == Admitted("e-1")
    assert queue.decide(prompt("urgent", 0), one_free, 0.002) == Admitted("e-0")


def test_refused_callers_come_back_one_after_another_and_urgent_ones_first():
    queue = contended_queue()
    low = [queue.decide(prompt(f"l{n}"), STUCK, 0.0).retry_after_s for n in range(3)]
    high = queue.decide(prompt("h", 1), STUCK, 0.0).retry_after_s
    assert low == sorted(set(low)) and high <= low[0]
    more = [queue.decide(prompt(f"m{n}"), STUCK, 0.0).retry_after_s for n in range(50)]
    assert max(more) <= MAX_RETRY_AFTER_S


def test_a_caller_that_was_refused_is_refused_again_only_if_it_cannot_be_served():
    """Guards against callers that are refused time and again."""
    queue = contended_queue()
    assert isinstance(queue.decide(prompt("t0", digest="d"), STUCK, 0.0), Rejected)
    busy = [Room("e-0", 0, 0.0, 0.8, 30.0)]
    assert isinstance(queue.decide(prompt("t1", digest="new"), busy, 1.0), Rejected)
    assert isinstance(queue.decide(prompt("t2", digest="d"), busy, 1.0), Deferred)
    assert isinstance(queue.decide(prompt("t3", digest="d"), STUCK, 1.0), Deferred)
    hopeless = prompt("t4", digest="d", deadline_left_s=2.0)
    assert queue.decide(hopeless, STUCK, 1.0).reason == Reason.DEADLINE


def test_a_caller_that_was_refused_gains_nothing_on_workspaces_that_had_less():
    """Guards against a workspace that takes more than its share by many retries."""
    queue = contended_queue()
    queue.decide(prompt("big0", workspace="big"), FULL, 0.0)
    queue.decide(prompt("big1", workspace="big", digest="d", objective_left_s=0.02), STUCK, 0.0)
    queue.decide(prompt("big2", workspace="big", digest="d"), FULL, 0.001)
    queue.decide(prompt("small", workspace="small"), FULL, 0.002)
    assert [key[-1] for key in queue.order] == ["big0", "small", "big2"]


def test_what_is_known_of_refused_callers_is_bounded():
    queue = contended_queue()
    for number in range(10_100):
        queue.decide(prompt(f"t{number}", digest=f"d{number}"), STUCK, 0.0)
    assert len(queue.refused_until_by_digest) <= 10_000
    queue.record_admitted(0, 10_000, 100.0)
    queue.record_admitted(2, 10_000, 100.0)
    queue.decide(prompt("t", digest="d"), STUCK, 100.0)
    assert list(queue.refused_until_by_digest) == ["d"]


@pytest.mark.parametrize("rooms", ([], [Room("e-0", 8, 1_000.0, inf)]))
def test_a_prompt_that_no_engine_can_ever_hold_is_left_to_the_engines(rooms):
    assert isinstance(PromptQueue().decide(prompt("t0", tokens=10**6), rooms, 0.0), Admitted)


def times(priority: int = 2, **fields) -> dict[str, object]:
    return {"priority": priority, "objective_left_s": 1.0, "deadline_left_s": 10.0} | fields


def full_router(engines: int = 2) -> LocalRouter:
    """Return a router whose engines have no room, with runs that end soon."""
    state = router_state(engines)
    local_router = LocalRouter(state, Random(1))
    local_router.accounts.durations_by_kind["llm", 2] = MeanDuration(0.05, runs=20)
    # The reports of `router_state` show one more run at each.
    for number in range(engines * (state.catalog.engine_of("llm").slots - 1)):
        local_router.place(place_request(f"r{number}", **times()))
    return local_router


def test_a_router_defers_admits_to_the_queue_and_refuses():
    local_router = full_router()
    waits = local_router.place(place_request("t0", **times()))
    assert waits.again_s > 0 and waits.decided and "t0" not in local_router.placed_by_ticket
    urgent = local_router.place(place_request("t1", **times(0)))
    assert urgent.endpoint and not urgent.again_s and "t1" in local_router.placed_by_ticket
    late = local_router.place(place_request("t2", **times(objective_left_s=0.01)))
    assert (late.endpoint, late.rejected) == ("", "objective") and late.come_back_s > 0
    rejected = local_router.state.metrics.rejected.labels("objective", "2")
    assert rejected._value.get() == 1


def test_a_router_admits_as_before_what_names_no_times_although_its_engines_are_full():
    """Guards against refusals by routers whose senders are of a version before."""
    reply = full_router().place(place_request("t0"))
    assert reply.endpoint and not reply.again_s and not reply.decided


def test_a_prompt_gets_the_room_that_an_end_leaves_behind():
    local_router = full_router()
    assert local_router.place(place_request("t0", **times())).again_s
    for ticket in ("r0", "r1", "r2", "r3"):
        local_router.finished(EndedAttempt(ticket))
    reply = local_router.place(place_request("t0", **times(waited_s=0.02, objective_left_s=0.98)))
    assert reply.endpoint and not reply.again_s


def test_a_router_chooses_an_engine_once_for_a_prompt_that_asks_again(monkeypatch):
    """Guards against the cost of a choice for each question of a prompt that waits."""
    local_router = full_router()
    chosen = []
    choose = local_router._choose
    monkeypatch.setattr(local_router, "_choose", lambda *args: chosen.append(args) or choose(*args))
    replies = [local_router.place(place_request("t0", **times())) for _ in range(4)]
    assert all(reply.again_s and reply.endpoint == replies[0].endpoint for reply in replies)
    assert len(chosen) == 1


def test_choices_of_prompts_that_ask_no_more_are_forgotten():
    local_router = full_router()
    local_router.place(place_request("t0", **times()))
    assert list(local_router.admission.choices_by_ticket) == ["t0"]
    local_router.admission.observe_metrics(monotonic() + 1.0)
    assert not local_router.admission.choices_by_ticket


def test_a_sender_that_gives_up_leaves_its_place():
    local_router = full_router()
    local_router.place(place_request("t0", **times()))
    local_router.admission.observe_metrics(monotonic())
    waiting = local_router.state.metrics.waiting_prompts.labels("2")
    assert waiting._value.get() == 1
    local_router.finished(EndedAttempt("t0", Outcome.NOT_SENT))
    local_router.admission.observe_metrics(monotonic())
    assert waiting._value.get() == 0
