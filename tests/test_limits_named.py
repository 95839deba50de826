"""Rate limits in answers of endpoints: how they are parsed, and which of two reports holds."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stairquay.core.limits import UNLIMITED, LimitReport, merge_reports, parse_decimal

TIMES = st.integers(0, 50).map(float)


@st.composite
def limit_reports(draw: st.DrawFn) -> LimitReport:
    sent_at = draw(TIMES)
    per_s = draw(st.sampled_from((0.0, 0.3, 2.8, 7.0, UNLIMITED)))
    return LimitReport(per_s, sent_at, sent_at + draw(TIMES))


@pytest.mark.parametrize(
    ("text", "per_s"),
    [("2.8", 2.8), (" 4 ", 4.0), ("0", 0.0), ("0.25", 0.25), (".5", 0.5), ("3.", 3.0), ("1e-2", 0.01)],
)
def test_a_limit_is_a_decimal_number_of_requests_a_second(text, per_s):
    assert parse_decimal(text) == per_s


@pytest.mark.parametrize(
    "text",
    ["", "-1", "+2", "nan", "inf", "infinity", "1_000", "2,5", "0x10", "2.8/s", "1e999", "9" * 40, "٣"],
)
def test_what_is_no_decimal_number_is_no_limit(text):
    assert parse_decimal(text) is None


def test_an_answer_to_a_request_that_was_sent_after_a_limit_was_heard_ends_it():
    named = LimitReport(2.8, sent_at=1.0, received_at=1.1)
    assert merge_reports(named, LimitReport(UNLIMITED, sent_at=1.2, received_at=1.3)).per_s == UNLIMITED


def test_an_answer_that_crossed_the_one_that_named_a_limit_ends_nothing():
    named = LimitReport(2.8, sent_at=1.0, received_at=1.1)
    late = LimitReport(UNLIMITED, sent_at=1.05, received_at=1.5)
    assert merge_reports(named, late).per_s == merge_reports(late, named).per_s == 2.8


def test_of_two_limits_that_cross_the_lower_one_holds():
    first, second = LimitReport(2.8, 1.0, 1.5), LimitReport(1.4, 1.2, 1.3)
    assert merge_reports(first, second).per_s == merge_reports(second, first).per_s == 1.4


@given(limit_reports(), limit_reports())
def test_the_order_in_which_two_boxes_hear_of_the_same_words_does_not_matter(first, second):
    a, b = merge_reports(first, second), merge_reports(second, first)
    if first.sent_at != second.received_at and second.sent_at != first.received_at:
        assert a == b


@given(limit_reports(), limit_reports())
def test_a_limit_ends_only_by_an_answer_that_is_surely_newer(known, told):
    held = merge_reports(known, told)
    if known.per_s < UNLIMITED and held.per_s == UNLIMITED:
        assert told.sent_at >= known.received_at
