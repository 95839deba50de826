"""Decoding of arbitrary rows and reports: typed values, or an error for that entry only."""

import asyncio
import json
from base64 import b64encode
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from stairquay.platform.feeds import endpoint_changes, operator_changes
from stairquay.platform.peers import PeerClient, WireCacheEvents, WireCacheSnapshot, WireReport
from stairquay.platform.polling import PollResponse
from stairquay.platform.rows import WireRow, WireRows, decode_row
from stairquay.serving.ports import EngineReport

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
