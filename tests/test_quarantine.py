"""Which requests are quarantined: the one that crashes endpoints, and none that ran beside it."""

from hypothesis import given
from hypothesis import strategies as st

from stairquay.core.crashes import CRASH_TTL_S, MIN_CRASHES, Crash, find_quarantined
from stairquay.serving.quarantine import MAX_FORWARDED, MAX_OWN_CRASHES, MAX_SERVED, CrashReport, Quarantine
from tests.states import box_state

GUILTY = "guilty"


def crash(digest: str, life: int, at: float = 0.0, ran_s: float = 0.1, events: int | None = 0) -> Crash:
    return Crash(digest, f"e-{life}", at, ran_s, events)


def box() -> Quarantine:
    return box_state().quarantine


def pass_on(sender: Quarantine, receiver: Quarantine) -> None:
    receiver.apply_router_report(sender.report_to_forward(), 1)


def tell(sender: Quarantine, reader: Quarantine, key: str = "other") -> None:
    """Have one box read what another one wrote."""
    reader.apply_rows({key: CrashReport(tuple(sender.own_crashes.values()), dict(sender.cleared))}, False)


BESIDE = st.lists(st.sets(st.integers(0, 5), max_size=6), min_size=1, max_size=12)
"""For each crash, those that ran beside the request that caused it."""


@given(BESIDE)
def test_the_one_request_that_was_at_every_crash_is_found_and_none_beside_it(beside):
    crashes = [crash(GUILTY, life, ran_s=0.05) for life in range(len(beside))]
    crashes += [crash(f"well-{name}", life) for life, names in enumerate(beside) for name in names]
    found = find_quarantined(crashes, 1.0)
    assert set(found) == ({GUILTY} if len(beside) >= MIN_CRASHES else set())


@given(BESIDE, BESIDE)
def test_two_that_crash_endpoints_are_both_found(first, second):
    """Whoever ran beside either of them is not, unless it ran beside nearly all of their crashes."""
    crashes = []
    for name, beside in (("one", first), ("two", second)):
        for life, names in enumerate(beside):
            crashes.append(Crash(name, f"{name}-{life}", 0.0, 0.05, 0))
            crashes += [Crash(f"well-{other}", f"{name}-{life}", 0.0, 0.1, 0) for other in names]
    found = find_quarantined(crashes, 1.0)
    for name, beside in (("one", first), ("two", second)):
        rivals = [sum(other in names for names in first + second) for other in range(6)]
        if len(beside) >= MIN_CRASHES and len(beside) > max(rivals):
            assert name in found


def test_two_that_were_both_at_one_crash_are_both_found_and_who_ran_beside_them_is_not():
    """In a soak one of them explained the other's third crash, and released it, each time by turns."""
    lives = {"one": (0, 1, 4), "two": (2, 3, 4), "well": (0, 1, 2)}
    ran = {"one": 0.05, "two": 0.05, "well": 0.1}
    crashes = [crash(name, life, ran_s=ran[name]) for name, held in lives.items() for life in held]
    assert set(find_quarantined(crashes, 1.0)) == {"one", "two"}


def test_what_a_router_told_counts_until_the_rows_are_read_after_it(monkeypatch):
    monkeypatch.setattr("stairquay.serving.quarantine.monotonic", lambda: 10.0)
    here = box()
    here.apply_router_report(CrashReport(tuple(crash(GUILTY, life, at=9.0) for life in range(3))), 1)
    here.end_router_reports()
    assert here.remaining_s(GUILTY) > 0
    here.apply_rows({}, whole=True)
    assert here.remaining_s(GUILTY) == 0


def test_between_equals_the_one_that_ran_shortest_is_taken_and_the_next_crash_puts_a_mistake_right():
    ran = {GUILTY: 0.3, "well": 0.1}
    crashes = [crash(name, life, ran_s=ran_s) for life in range(3) for name, ran_s in ran.items()]
    assert set(find_quarantined(crashes, 1.0)) == {"well"}
    assert set(find_quarantined([*crashes, crash(GUILTY, 3)], 1.0)) == {GUILTY}


def test_a_crash_told_twice_counts_once_and_old_ones_count_no_more():
    twice = [crash(GUILTY, life) for life in (1, 1, 2, 2)]
    assert not find_quarantined(twice, 1.0)
    three = [crash(GUILTY, life, at=life) for life in range(3)]
    assert find_quarantined(three, 10.0)[GUILTY].until == 2 + CRASH_TTL_S
    assert not find_quarantined(three, CRASH_TTL_S + 0.5)


def test_a_request_that_any_box_served_is_above_suspicion_everywhere(monkeypatch):
    monkeypatch.setattr("stairquay.serving.quarantine.monotonic", lambda: 10.0)
    follower, crashed, served = box(), box(), box()
    served.record_served("popular")
    crashed.record_crashes(crash("popular", life, at=9.0) for life in range(4))
    tell(crashed, follower)
    assert follower.remaining_s("popular") > 0
    pass_on(follower, served)
    assert served.remaining_s("popular") == 0 and served.unpublished
    tell(served, follower, "served")
    pass_on(follower, crashed)
    assert crashed.remaining_s("popular") == follower.remaining_s("popular") == 0


def test_a_box_that_served_a_request_lately_does_not_count_crashes_against_it(monkeypatch):
    now = 10.0
    monkeypatch.setattr("stairquay.serving.quarantine.monotonic", lambda: now)
    here = box()
    here.record_served("popular")
    here.record_crashes(crash("popular", life, at=now) for life in range(4))
    assert here.remaining_s("popular") == 0
    now = 100.0
    here.record_crashes(crash("popular", life, at=now) for life in range(4, 8))
    assert here.remaining_s("popular") > 0


def test_who_ran_beside_is_released_once_the_cause_is_told(monkeypatch):
    monkeypatch.setattr("stairquay.serving.quarantine.monotonic", lambda: 10.0)
    follower, here, there = box(), box(), box()
    here.record_crashes(crash("well", life, at=9.0) for life in range(3))
    there.record_crashes(crash(GUILTY, life, at=9.0, ran_s=0.05) for life in range(4))
    assert here.remaining_s("well") > 0
    tell(here, follower, "here")
    tell(there, follower, "there")
    pass_on(follower, here)
    assert here.remaining_s("well") == 0 and here.remaining_s(GUILTY) > 0


def test_what_a_box_keeps_and_passes_on_is_bounded(monkeypatch):
    monkeypatch.setattr("stairquay.serving.quarantine.monotonic", lambda: 10.0)
    here = box()
    for life in range(30):
        here.record_crashes(crash(f"d-{number}", life, at=9.0) for number in range(40))
    for number in range(3 * MAX_SERVED):
        here.record_served(f"s-{number}")
    for number in range(3 * MAX_OWN_CRASHES):
        here.cleared[f"c-{number}"] = 9.0
    here.record_crashes([])
    assert len(here.own_crashes) == MAX_OWN_CRASHES and len(here.served_at) == MAX_SERVED
    assert len(here.cleared) == MAX_OWN_CRASHES
    told = here.report_to_forward()
    assert 0 < len(told.crashes) <= MAX_FORWARDED and len(told.cleared) == MAX_FORWARDED


def test_a_request_that_ran_on_elsewhere_did_not_crash_the_endpoints_before():
    """Seen on a day on which half of the engines crashed each three seconds: a stream that had lost two of
    them went on at a third for 2.9 s, lost that one too, and was cut as their cause."""
    crashes = [crash("well", life, events=events) for life, events in enumerate((0, 0, 40))]
    assert not find_quarantined(crashes, 1.0)
    long = [crash(GUILTY, life, events=300 + life) for life in range(3)]
    assert set(find_quarantined(crashes + long, 1.0)) == {GUILTY}


def test_a_request_that_an_engine_had_not_begun_is_half_as_suspicious_where_it_answered_others():
    waited = [crash("waits", life, events=None) for life in range(6)]
    others = [crash(f"well-{life}", life, events=5) for life in range(6)]
    assert not find_quarantined(waited[:5] + others, 1.0)
    assert set(find_quarantined(waited + others, 1.0)) == {"waits"}
    assert set(find_quarantined(waited[:3], 1.0)) == {"waits"}
