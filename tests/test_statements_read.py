"""Feedback in the headers of an endpoint's answers: how it is parsed, and how long a back-off lasts."""

from datetime import UTC, datetime, timedelta
from email.utils import format_datetime

import pytest
from hypothesis import given
from hypothesis import strategies as st
from multidict import CIMultiDict, CIMultiDictProxy

from stairquay.core.rest import MAX_BACKOFF_S, PROBE_INTERVAL_S, Backoff, parse_retry_after
from stairquay.platform.statements import parse_feedback
from stairquay.serving.ports import Feedback, Topic

NOON = datetime(2026, 1, 5, 12, 0, tzinfo=UTC)


def feedback_of(status: int = 503, *headers: tuple[str, str]) -> Feedback:
    return parse_feedback(CIMultiDictProxy(CIMultiDict(headers)), status)


@pytest.mark.parametrize(
    ("text", "rest_s"),
    [("3", 3.0), (" 0.25 ", 0.25), ("1.5", 1.5), ("0", 0.0), (".5", 0.5), ("99999999", MAX_BACKOFF_S)],
)
def test_a_rest_is_a_decimal_number_of_seconds(text, rest_s):
    assert parse_retry_after(text, NOON) == rest_s


@pytest.mark.parametrize(
    "text",
    [
        "",
        "-1",
        "+2",
        "nan",
        "inf",
        "2,5",
        "3s",
        "soon",
        "1e999",
        "9" * 40,
        "٣",
        "Mon, 99 Foo 2026",
        "2026-01-05",
    ],
)
def test_what_is_neither_seconds_nor_a_date_asks_for_nothing(text):
    assert parse_retry_after(text, NOON) is None


@given(st.integers(-100_000, 100_000))
def test_a_date_is_a_rest_until_then_and_one_that_is_over_none(ahead_s):
    text = format_datetime(NOON + timedelta(seconds=ahead_s), usegmt=True)
    assert parse_retry_after(text, NOON) == min(max(0, ahead_s), MAX_BACKOFF_S)


@given(st.text(max_size=40))
def test_no_text_raises(text):
    rest_s = parse_retry_after(text, NOON)
    assert rest_s is None or 0 <= rest_s <= MAX_BACKOFF_S


def test_a_date_counts_by_the_clock_of_who_wrote_it():
    until = format_datetime(NOON + timedelta(seconds=7), usegmt=True)
    date = format_datetime(NOON, usegmt=True)
    assert feedback_of(503, ("Retry-After", until), ("Date", date)).backoff_s == 7


def test_only_an_answer_that_turns_a_request_away_asks_for_rest():
    assert [feedback_of(status, ("Retry-After", "3")).backoff_s for status in (200, 429, 500, 503)] == [
        0,
        0,
        0,
        3,
    ]


def test_of_several_statements_the_strictest_holds():
    limits = ("Server-Limit", "4"), ("Server-Limit", "2"), ("Server-Limit", "odd")
    retry_afters = ("Retry-After", "1"), ("Retry-After", "2.5"), ("Retry-After", "odd")
    leaving = ("Server-Leaving", "odd"), ("Server-Leaving", "1")
    assert feedback_of(503, *limits, *retry_afters, *leaving) == Feedback(2.0, True, 2.5)


@pytest.mark.parametrize("text", ["", "0", "yes", "true", "2", "11"])
def test_only_one_word_says_that_an_endpoint_leaves(text):
    read = feedback_of(200, ("Server-Leaving", text))
    assert read.leaving is None and read.unreadable == ((Topic.LEAVING, text or "(empty)"),)


def test_an_answer_without_statements_says_nothing():
    assert feedback_of(503) == Feedback()


def test_after_a_rest_one_request_goes_and_others_wait_for_it():
    backoff = Backoff(until=10.0)
    assert backoff.wait_s(7.5) == 2.5 and backoff.wait_s(10.0) == 0
    assert Backoff(10.0, probed_at=10.0).wait_s(10.0) == PROBE_INTERVAL_S
    assert Backoff(10.0, probed_at=10.0).wait_s(10.0 + PROBE_INTERVAL_S) == 0
