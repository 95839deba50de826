"""Which requests are quarantined: those that crash endpoints, not those that ran at the same time."""

from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from stairquay.core.crashes import (
    CRASH_TTL_S,
    MIN_CRASHES,
    MIN_PART_CRASHES,
    Crash,
    GoodEnds,
    find_quarantined,
    part_digest,
)
from stairquay.serving.quarantine import (
    MAX_FORWARDED,
    MAX_OWN_CRASHES,
    MAX_SERVED,
    SERVED_TRUST_S,
    CrashReport,
    Quarantine,
)
from tests.states import box_state

CRASHING = "guilty"


def crash(
    digest: str, incarnation: int, at: float = 0.0, ran_s: float = 0.1, events: int | None = 0
) -> Crash:
    return Crash(digest, f"e-{incarnation}", at, ran_s, events)


def new_quarantine() -> Quarantine:
    return box_state().quarantine


def forward(sender: Quarantine, receiver: Quarantine) -> None:
    receiver.apply_router_report(sender.report_to_forward(), 1)


def publish_rows(sender: Quarantine, reader: Quarantine, key: str = "other") -> None:
    """Apply the rows of one box at another."""
    reader.apply_rows({key: CrashReport(tuple(sender.own_crashes.values()), dict(sender.cleared))}, False)


CONCURRENT = st.lists(st.sets(st.integers(0, 5), max_size=6), min_size=1, max_size=12)
"""For each crash, the requests that ran together with the cause."""


@given(CONCURRENT)
def test_the_one_request_that_was_at_every_crash_is_found_and_none_beside_it(concurrent):
    crashes = [crash(CRASHING, incarnation, ran_s=0.05) for incarnation in range(len(concurrent))]
    crashes += [
        crash(f"well-{name}", incarnation) for incarnation, names in enumerate(concurrent) for name in names
    ]
    found = find_quarantined(crashes, 1.0)
    assert set(found) == ({CRASHING} if len(concurrent) >= MIN_CRASHES else set())


@given(CONCURRENT, CONCURRENT)
def test_two_that_crash_endpoints_are_both_found(first, second):
    """Unless another request ran during as many crashes."""
    crashes = []
    for name, concurrent in (("one", first), ("two", second)):
        for incarnation, names in enumerate(concurrent):
            crashes.append(Crash(name, f"{name}-{incarnation}", 0.0, 0.05, 0))
            crashes += [Crash(f"well-{other}", f"{name}-{incarnation}", 0.0, 0.1, 0) for other in names]
    found = find_quarantined(crashes, 1.0)
    for name, concurrent in (("one", first), ("two", second)):
        crashes_of_others = [sum(other in names for names in first + second) for other in range(6)]
        if len(concurrent) >= MIN_CRASHES and len(concurrent) > max(crashes_of_others):
            assert name in found


def test_two_that_were_both_at_one_crash_are_both_found_and_who_ran_beside_them_is_not():
    """Guards against one request explaining the third crash of the other, and releasing it."""
    incarnations_by_digest = {"one": (0, 1, 4), "two": (2, 3, 4), "well": (0, 1, 2)}
    run_s_by_digest = {"one": 0.05, "two": 0.05, "well": 0.1}
    crashes = [
        crash(name, incarnation, ran_s=run_s_by_digest[name])
        for name, incarnations in incarnations_by_digest.items()
        for incarnation in incarnations
    ]
    assert set(find_quarantined(crashes, 1.0)) == {"one", "two"}


def test_what_a_router_told_counts_until_the_rows_are_read_after_it(monkeypatch):
    monkeypatch.setattr("stairquay.serving.quarantine.monotonic", lambda: 10.0)
    here = new_quarantine()
    here.apply_router_report(
        CrashReport(tuple(crash(CRASHING, incarnation, at=9.0) for incarnation in range(3))), 1
    )
    here.end_router_reports()
    assert here.remaining_s(CRASHING) > 0
    here.apply_rows({}, whole=True)
    assert here.remaining_s(CRASHING) == 0


def test_between_equals_the_one_that_ran_shortest_is_taken_and_the_next_crash_puts_a_mistake_right():
    run_s_by_digest = {CRASHING: 0.3, "well": 0.1}
    crashes = [
        crash(name, incarnation, ran_s=ran_s)
        for incarnation in range(3)
        for name, ran_s in run_s_by_digest.items()
    ]
    assert set(find_quarantined(crashes, 1.0)) == {"well"}
    assert set(find_quarantined([*crashes, crash(CRASHING, 3)], 1.0)) == {CRASHING}


def test_a_crash_told_twice_counts_once_and_old_ones_count_no_more():
    duplicated = [crash(CRASHING, incarnation) for incarnation in (1, 1, 2, 2)]
    assert not find_quarantined(duplicated, 1.0)
    three = [crash(CRASHING, incarnation, at=incarnation) for incarnation in range(3)]
    assert find_quarantined(three, 10.0)[CRASHING].until == 2 + CRASH_TTL_S
    assert not find_quarantined(three, CRASH_TTL_S + 0.5)


def test_a_request_that_any_box_served_is_above_suspicion_everywhere(monkeypatch):
    monkeypatch.setattr("stairquay.serving.quarantine.monotonic", lambda: 10.0)
    follower, crashed, served = new_quarantine(), new_quarantine(), new_quarantine()
    served.record_served(("popular",))
    crashed.record_crashes(crash("popular", incarnation, at=9.0) for incarnation in range(4))
    publish_rows(crashed, follower)
    assert follower.remaining_s("popular") > 0
    forward(follower, served)
    assert served.remaining_s("popular") == 0 and served.unpublished
    publish_rows(served, follower, "served")
    forward(follower, crashed)
    assert crashed.remaining_s("popular") == follower.remaining_s("popular") == 0


def test_a_box_that_served_a_request_lately_does_not_count_crashes_against_it(monkeypatch):
    now = 10.0
    monkeypatch.setattr("stairquay.serving.quarantine.monotonic", lambda: now)
    here = new_quarantine()
    here.record_served(("popular",))
    here.record_crashes(crash("popular", incarnation, at=now) for incarnation in range(4))
    assert here.remaining_s("popular") == 0
    now = 100.0
    here.record_crashes(crash("popular", incarnation, at=now) for incarnation in range(4, 8))
    assert here.remaining_s("popular") > 0


def test_who_ran_beside_is_released_once_the_cause_is_told(monkeypatch):
    monkeypatch.setattr("stairquay.serving.quarantine.monotonic", lambda: 10.0)
    follower, here, there = new_quarantine(), new_quarantine(), new_quarantine()
    here.record_crashes(crash("well", incarnation, at=9.0) for incarnation in range(3))
    there.record_crashes(crash(CRASHING, incarnation, at=9.0, ran_s=0.05) for incarnation in range(4))
    assert here.remaining_s("well") > 0
    publish_rows(here, follower, "here")
    publish_rows(there, follower, "there")
    forward(follower, here)
    assert here.remaining_s("well") == 0 and here.remaining_s(CRASHING) > 0


def test_what_a_box_keeps_and_passes_on_is_bounded(monkeypatch):
    monkeypatch.setattr("stairquay.serving.quarantine.monotonic", lambda: 10.0)
    here = new_quarantine()
    for incarnation in range(30):
        here.record_crashes(crash(f"d-{number}", incarnation, at=9.0) for number in range(40))
    for number in range(3 * MAX_SERVED):
        here.record_served((f"s-{number}",))
    for number in range(3 * MAX_OWN_CRASHES):
        here.cleared[f"c-{number}"] = 9.0
    here.record_crashes([])
    assert len(here.own_crashes) == MAX_OWN_CRASHES and len(here.served_at) == MAX_SERVED
    assert len(here.cleared) == MAX_OWN_CRASHES
    report = here.report_to_forward()
    assert 0 < len(report.crashes) <= MAX_FORWARDED and len(report.cleared) == MAX_FORWARDED


def test_a_request_that_ran_on_elsewhere_did_not_crash_the_endpoints_before():
    """Guards against cutting a stream that lost several engines to unrelated crashes."""
    crashes = [crash("well", incarnation, events=events) for incarnation, events in enumerate((0, 0, 40))]
    assert not find_quarantined(crashes, 1.0)
    long = [crash(CRASHING, incarnation, events=300 + incarnation) for incarnation in range(3)]
    assert set(find_quarantined(crashes + long, 1.0)) == {CRASHING}


def test_a_request_that_an_engine_had_not_begun_is_half_as_suspicious_where_it_answered_others():
    waiting = [crash("waits", incarnation, events=None) for incarnation in range(6)]
    others = [crash(f"well-{incarnation}", incarnation, events=5) for incarnation in range(6)]
    assert not find_quarantined(waiting[:5] + others, 1.0)
    assert set(find_quarantined(waiting + others, 1.0)) == {"waits"}
    assert set(find_quarantined(waiting[:3], 1.0)) == {"waits"}


PART = part_digest("aa")


@dataclass
class Clock:
    now: float = 10.0


def fixed_clock(monkeypatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr("stairquay.serving.quarantine.monotonic", lambda: clock.now)
    return clock


def crash_of_a_prompt_and_its_part(incarnation: int, at: float) -> list[Crash]:
    return [crash("a", incarnation, at=at), crash(PART, incarnation, at=at)]


def test_a_request_stays_refused_where_its_part_is_blamed_and_cannot_be(monkeypatch):
    """Guards against a prompt that goes on crashing engines, as a part is blamed that is not refused."""
    clock = fixed_clock(monkeypatch)
    here, other = new_quarantine(), new_quarantine()
    for number in range(MIN_PART_CRASHES + 1):
        here.record_crashes(crash_of_a_prompt_and_its_part(number, clock.now))
        if number + 1 >= MIN_CRASHES:
            assert here.remaining_s("a") > 0
            forward(here, other)
            assert other.remaining_s("a") > 0
    assert PART in here.quarantined_by_digest and here.remaining_s(PART) == 0


def test_a_part_is_refused_in_place_of_its_request_once_prompts_are_served(monkeypatch):
    clock = fixed_clock(monkeypatch)
    here = new_quarantine()
    for number in range(MIN_PART_CRASHES):
        here.record_crashes(crash_of_a_prompt_and_its_part(number, clock.now))
    here.record_served(("b", part_digest("other")))
    assert here.remaining_s(PART) > 0 and here.remaining_s("a") == 0
    clock.now += SERVED_TRUST_S + 1
    assert here.remaining_s(PART) == 0 and here.remaining_s("a") > 0


def part_crash(part: str, incarnation: int, at: float, ran_s: float = 0.1, events: int = 0) -> Crash:
    return crash(part_digest(part), incarnation, at, ran_s, events)


def test_a_good_end_before_the_first_crash_does_not_keep_a_part_innocent(monkeypatch):
    """Guards against a part that was sound, and is sent on for a minute after it began to crash engines."""
    now = 10.0
    monkeypatch.setattr("stairquay.serving.quarantine.monotonic", lambda: now)
    here = new_quarantine()
    here.record_served((part_digest("turned"), part_digest("other")))
    now = 12.0
    here.record_crashes(part_crash("turned", number, now) for number in range(MIN_PART_CRASHES))
    assert here.remaining_s(part_digest("turned")) > 0


def test_a_good_end_that_began_after_the_crashes_clears_a_part_and_one_that_began_before_does_not(
    monkeypatch,
):
    """Guards against long answers that began before weights changed and clear the part as they end."""
    now = 10.0
    monkeypatch.setattr("stairquay.serving.quarantine.monotonic", lambda: now)
    here, digest = new_quarantine(), part_digest("turned")
    here.record_served((part_digest("other"),))
    here.record_crashes(part_crash("turned", number, 9.0) for number in range(MIN_PART_CRASHES))
    here.record_served((digest,), began_at=5.0)
    assert here.remaining_s(digest) > 0
    here.record_served((digest,), began_at=9.5)
    assert here.remaining_s(digest) == 0 and here.cleared[digest] == 9.5


def test_a_crash_under_a_prompt_that_had_got_events_does_not_count_against_its_parts():
    """Guards against a popular part that is blamed for crashes under prompts that had begun well."""
    begun = [part_crash("popular", number, 9.0, ran_s=0.5, events=20) for number in range(9)]
    assert not find_quarantined(begun, 10.0)
    unborn = [part_crash("popular", number, 8.0) for number in range(10, 14)]
    assert find_quarantined(unborn, 10.0)
    # The prompts that had begun well were sent after these crashes.
    assert not find_quarantined([*unborn, *begun], 10.0)


def test_a_part_of_many_prompts_that_ended_well_takes_more_crashes_that_another_part_was_at():
    """Guards against refusing what all prompts share beside two parts that crash engines by turns."""
    crashes = []
    for number in range(6):
        beside = ("bad", "worse")[number % 2]
        crashes += [part_crash("popular", number, 9.0), part_crash(beside, number, 9.0)]
    popular = part_digest("popular")
    assert popular in find_quarantined(crashes, 10.0)
    assert popular not in find_quarantined(crashes, 10.0, GoodEnds({popular: 0.5}))
    # Other parts explain nothing where they were not.
    alone = [part_crash("popular", number, 9.0) for number in range(MIN_PART_CRASHES)]
    assert popular in find_quarantined(alone, 10.0, GoodEnds({popular: 0.5}))


def test_a_part_of_many_prompts_that_does_not_end_well_while_others_do_is_no_longer_spared():
    """Guards against a part of a fifth of all prompts that crashes twelve engines before it is refused."""
    crashes = [part_crash(part, number, 9.0) for number in range(4) for part in ("turned", "beside")]
    turned, beside = part_digest("turned"), part_digest("beside")
    shares = {turned: 0.25, beside: 0.9}
    assert not find_quarantined(crashes, 10.0, GoodEnds(shares, (8.0,) * 40))
    with_turned = [item for item in crashes if item.digest == turned or item.incarnation != "e-0"]
    assert set(find_quarantined(with_turned, 10.0, GoodEnds(shares, (9.5,) * 16))) == {turned}


def test_what_may_quarantine_something_is_published_before_requests_at_one_crash(monkeypatch):
    """Guards against the many requests beside a part that take its place in a box's row."""
    monkeypatch.setattr("stairquay.serving.quarantine.monotonic", lambda: 10.0)
    here = new_quarantine()
    here.record_served((part_digest("other"),))
    for number in range(MIN_PART_CRASHES):
        beside = [crash(f"well-{number}-{index}", number, at=9.0 + number / 10) for index in range(40)]
        here.record_crashes([part_crash("bad", number, 9.0), *beside])
    assert len(here.own_crashes) == MAX_OWN_CRASHES
    assert here.remaining_s(part_digest("bad")) > 0


def test_a_box_does_not_write_its_row_again_for_a_part_whose_good_ends_it_has_told(monkeypatch):
    """Guards against a write of the table service for each change that a box reads."""
    monkeypatch.setattr("stairquay.serving.quarantine.monotonic", lambda: 10.0)
    here, digest = new_quarantine(), part_digest("turned")
    here.record_served((digest,), began_at=5.0)
    crashes = [part_crash("turned", number, 4.0 + number) for number in range(6)]
    here.apply_rows({"b-2": CrashReport(tuple(crashes))}, True)
    assert here.unpublished and here.cleared[digest] == 5.0
    here.unpublished = False
    here.apply_rows({"b-3": CrashReport(tuple(crashes))}, False)
    assert not here.unpublished and here.remaining_s(digest) > 0


def test_three_crashes_are_enough_for_a_part_of_many_prompts_of_which_none_ends_well_while_others_do():
    """Guards against a part that is sent on for seconds at three crashes, as no fourth one has come."""
    crashes = [part_crash("turned", number, 9.0) for number in range(3)]
    turned = part_digest("turned")
    assert not find_quarantined(crashes, 10.0, GoodEnds({turned: 0.4}, (9.5,) * 9))
    assert set(find_quarantined(crashes, 10.0, GoodEnds({turned: 0.4}, (9.5,) * 10))) == {turned}
    assert not find_quarantined(crashes[:2], 10.0, GoodEnds({turned: 0.4}, (9.5,) * 40))
