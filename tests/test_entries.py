"""Decoding of arbitrary rows and reports: typed values, or an error for that entry only."""

import asyncio
import json
from base64 import b64encode
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from stairquay.core.lease import LeaseRow
from stairquay.core.scope import parse_scope
from stairquay.core.whole_numbers import parse_whole_number
from stairquay.platform.feeds import endpoint_changes, operator_changes
from stairquay.platform.peers import PeerClient, WireCacheEvents, WireCacheSnapshot, WireReport
from stairquay.platform.polling import PollResponse
from stairquay.platform.rows import WireRow, WireRows, decode_row
from stairquay.serving.boxes import BoxHeartbeat, TargetVersion
from stairquay.serving.crash_rows import CrashRow
from stairquay.serving.messages import EndpointsReply, OperatorsReply
from stairquay.serving.ports import EngineReport

MAX_MESSAGE_BYTES = 4 * 2**20
"""Largest message that gRPC takes by default."""

VALID_ENTRY = {
    "service": "plain",
    "address": "127.0.0.1:9",
    "zone": "hall-a",
    "state": "ready",
    "slots": 4,
    "born": 7,
}

TEXTS = st.text("az09:.-\u00e9\ud83d\ude00", max_size=8)
VALUES: Any = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False, allow_infinity=False) | TEXTS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXTS, inner, max_size=3),
    max_leaves=5,
)
FIELDS = sorted({*VALID_ENTRY, "models", "cold_remaining_ms", "sequence", "version"})
ENTRIES = st.dictionaries(st.sampled_from(FIELDS), VALUES).map(
    lambda overrides: json.dumps({**VALID_ENTRY, **overrides}).encode()
)
CONTENTS = st.binary(max_size=60) | ENTRIES | VALUES.map(lambda value: json.dumps(value).encode())


def rows_of(table: str, contents: dict[str, bytes]) -> WireRows:
    rows = [WireRow(table, "", key, b64encode(content).decode(), 3) for key, content in contents.items()]
    return WireRows(rows, False, 3)


@given(st.dictionaries(st.sampled_from(["x-1", "x-2", "x-3"]), CONTENTS))
def test_an_entry_of_the_list_names_an_endpoint_or_says_why_not_and_the_others_hold(contents):
    valid = {"good": json.dumps(VALID_ENTRY).encode()}
    changes = endpoint_changes(rows_of("servers", {**contents, **valid}), whole=False)
    present = {item.id: item for item in changes.present}
    assert present["good"].address == VALID_ENTRY["address"] and present["good"].born == 7
    assert present.keys() | changes.unreadable.keys() == {*contents, "good"}
    assert set(changes.gone) == changes.unreadable.keys()
    for endpoint in changes.present:
        assert isinstance(endpoint.born, int) and isinstance(endpoint.service, str)
        assert isinstance(endpoint.software, str)
        assert 0 <= endpoint.cold_s <= 60 and endpoint.cold == (endpoint.cold_s > 0)


@given(st.dictionaries(st.sampled_from(["config", "version/m", "other", "evacuate/a"]), CONTENTS))
def test_operators_rows_that_cannot_be_read_change_nothing_but_an_evacuation_holds(contents):
    changes = operator_changes(rows_of("op", contents), whole=True)
    assert changes.evacuated == (("a",) if "evacuate/a" in contents else ())
    assert all(isinstance(version, int) for version in changes.versions_by_model.values())


@given(CONTENTS)
def test_a_row_of_our_own_is_text_whatever_stands_there(content):
    assert isinstance(decode_row(rows_of("stairquay", {"box/b": content}).rows[0]).value, str)


@given(CONTENTS)
def test_reports_and_lists_of_kept_context_are_typed_or_refused(content):
    for kind in (WireReport, WireCacheEvents, WireCacheSnapshot):
        try:
            assert isinstance(msgspec.json.decode(content, type=kind), kind)
        except msgspec.MsgspecError:
            continue


@pytest.mark.parametrize("content", (b"[" * 45_000, b'{"a":' * 4_000, b'{"a":' + b"[" * 45_000))
def test_an_entry_or_row_that_is_nested_too_deep_is_malformed_and_the_others_hold(content: bytes):
    """Guards against a list or a configuration that nobody can read any more for the sake of one entry."""
    valid = json.dumps(VALID_ENTRY).encode()
    changes = endpoint_changes(rows_of("servers", {"deep": content, "good": valid}), whole=True)
    assert [item.id for item in changes.present] == ["good"] and list(changes.unreadable) == ["deep"]
    assert "config" in operator_changes(rows_of("op", {"config": content}), whole=True).unreadable


def test_an_answer_that_is_nested_too_deep_is_no_answer():
    async def scenario() -> EngineReport | None:
        class Polls:
            async def get(self, *_: Any) -> PollResponse:
                return PollResponse(200, b'{"a":' + b"[" * 45_000)

        return await PeerClient(None, Polls()).report("127.0.0.1:1")  # type: ignore[arg-type]

    assert asyncio.run(scenario()) is None


HUGE = 10**300


@pytest.mark.parametrize("number", (2**63, 2**64, -(2**63), HUGE))
def test_a_number_that_no_other_box_can_be_told_is_malformed_in_every_row(number):
    """Guards against replies to other boxes that cannot be encoded, for the sake of one row's number."""
    entries = {
        "born": VALID_ENTRY | {"born": abs(number)},
        "sequence": VALID_ENTRY | {"sequence": abs(number)},
        "slots": VALID_ENTRY | {"slots": abs(number)},
        "models": VALID_ENTRY | {"models": [{"name": "m", "version": number}]},
    }
    listed = endpoint_changes(
        rows_of("servers", {key: json.dumps(row).encode() for key, row in entries.items()}), True
    )
    assert listed.unreadable.keys() == entries.keys() and not listed.present
    versions = {"version/m": json.dumps({"model": "m", "version": number}).encode()}
    assert not operator_changes(rows_of("op", versions), True).versions_by_model
    config = {"config": json.dumps({"version": number}).encode()}
    assert "config" in operator_changes(rows_of("op", config), True).unreadable
    for kind, row in (
        (BoxHeartbeat, {"beat": number}),
        (TargetVersion, {"model": "m", "version": number, "at_s": 1.0}),
        (CrashRow, {"crashes": [["d", "i", 1.0, 1.0, number]]}),
        (LeaseRow, {"holder": "b", "token": number, "duration_s": 1.0}),
        (WireReport, {"sequence": number}),
    ):
        with pytest.raises(msgspec.ValidationError):
            msgspec.json.decode(json.dumps(row), type=kind)


@given(st.dictionaries(st.sampled_from(["x-1", "x-2", "version/m", "config"]), CONTENTS))
def test_what_is_read_of_any_row_can_be_told_to_other_boxes(contents):
    listed = endpoint_changes(rows_of("servers", contents), whole=True)
    named = operator_changes(rows_of("op", contents), whole=True)
    for reply in (EndpointsReply(listed, 0.1), OperatorsReply(named, 0.1, 0.1)):
        assert msgspec.msgpack.encode(reply)


@pytest.mark.parametrize("text", ("9" * 19, "9" * 5_000, "\u0663", "-1", "1e3", ""))
def test_a_number_of_too_many_digits_in_a_header_or_a_name_is_no_number(text):
    """Guards against an error of the box for a number that Python converts only up to some length."""
    assert parse_whole_number(text) is None and parse_scope(f"/m/{text}") is None
    assert parse_whole_number("9" * 18) == 10**18 - 1


@pytest.mark.parametrize("field", ("service", "zone", "version", "address", "state", "models"))
def test_entries_with_long_texts_do_not_fill_the_messages_to_other_boxes(field: str):
    """Guards against replies above what a message between boxes may be, for the sake of large entries."""
    text: Any = "x" * 48_000
    value = [{"name": text, "version": 1}] if field == "models" else text
    large = {f"x-{number}": json.dumps(VALID_ENTRY | {field: value}).encode() for number in range(500)}
    changes = endpoint_changes(rows_of("servers", large | {"good": json.dumps(VALID_ENTRY).encode()}), True)
    assert [item.id for item in changes.present] == ["good"] and changes.unreadable.keys() == large.keys()
    assert len(msgspec.msgpack.encode(EndpointsReply(changes, 0.1))) < MAX_MESSAGE_BYTES
