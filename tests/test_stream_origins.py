"""Which endpoints a stream may go on at, by what boxes know of versions and of where streams began."""

from dataclasses import replace

import pytest

from stairquay.core.fleet import Endpoint, Fleet
from stairquay.core.software import MEMORY_S, SoftwareHistory
from stairquay.core.stream_origins import (
    MAX_ORIGINS,
    KnownStream,
    StreamOrigin,
    StreamOrigins,
    may_continue,
    merge_origins,
)

V1, ALSO_V1, V2 = (
    Endpoint("a", "llm", "h:1", software="v1"),
    Endpoint("b", "llm", "h:2", software="v1"),
    Endpoint("c", "llm", "h:3", software="v2"),
)
UNNAMED = Endpoint("u", "llm", "h:4")
BEGUN_AT_V1 = StreamOrigin("llm", "a", "v1")
BEGUN_UNNAMED = StreamOrigin("llm", "u", "")


def history_of(*lists: list[Endpoint], now: float = 0.0) -> SoftwareHistory:
    history = SoftwareHistory()
    for number, endpoints in enumerate(lists):
        history.observe(endpoints, now + number)
    return history


@pytest.mark.parametrize(
    ("origin", "endpoint", "listed", "may"),
    [
        (BEGUN_AT_V1, V1, [V1, V2], True),
        (BEGUN_AT_V1, ALSO_V1, [V1, ALSO_V1, V2], True),
        (BEGUN_AT_V1, V2, [V1, V2], False),
        (BEGUN_AT_V1, UNNAMED, [V1, UNNAMED], False),
        (BEGUN_AT_V1, replace(V1, service="other"), [V1], False),
        (BEGUN_UNNAMED, V1, [V1, UNNAMED], False),
        (BEGUN_UNNAMED, UNNAMED, [V1, UNNAMED], True),
        (BEGUN_UNNAMED, replace(UNNAMED, id="w"), [V1, UNNAMED], False),
        (BEGUN_UNNAMED, replace(UNNAMED, id="w"), [UNNAMED], True),
        (StreamOrigin("llm", "", ""), UNNAMED, [UNNAMED], False),
    ],
)
def test_a_stream_goes_on_where_its_version_is_named_or_no_version_is(origin, endpoint, listed, may):
    """An entry without a version was taken for any version."""
    assert may_continue(origin, endpoint, history_of(listed), 0.0) == may


def test_an_entry_that_names_another_version_than_before_makes_its_streams_unresumable():
    """An endpoint that started again under its id may have begun streams before its entry said so."""
    after = replace(V1, software="v2")
    history = history_of([V1, ALSO_V1, V2], [after, ALSO_V1, V2])
    assert not may_continue(BEGUN_AT_V1, ALSO_V1, history, 1.0)
    assert not may_continue(StreamOrigin("llm", "a", "v2"), V2, history, 1.0)
    assert may_continue(StreamOrigin("llm", "b", "v1"), ALSO_V1, history, 1.0)


def test_an_entry_that_was_gone_and_names_another_version_counts_as_changed():
    """It may have been removed and written again between two views of the list."""
    history = history_of([V1], [], [replace(V1, software="v2")])
    assert history.changed == {"a"}


def test_an_entry_that_names_its_version_late_or_no_longer_keeps_it():
    """A row without a version must not make a running process another one."""
    fleet = Fleet()
    fleet.apply([replace(V1, software="", sequence=1)], (), 0.0)
    fleet.apply([replace(V1, sequence=2)], (), 1.0)
    assert fleet.by_id["a"].software == "v1"
    fleet.apply([replace(V1, software="", sequence=3)], (), 2.0)
    assert fleet.by_id["a"].software == "v1"
    fleet.apply([replace(V1, software="", born=7)], (), 3.0)
    assert fleet.by_id["a"].software == ""


def test_an_endpoint_of_another_version_at_an_old_address_is_another_endpoint():
    """A stream went on at the process that has its endpoint's old address."""
    successor = replace(V2, id="d", address=V1.address)
    history = history_of([V1, ALSO_V1], [ALSO_V1, successor])
    assert not may_continue(BEGUN_AT_V1, successor, history, 1.0)
    assert may_continue(BEGUN_AT_V1, ALSO_V1, history, 1.0) and not history.changed


def test_versions_are_remembered_after_their_last_endpoint_has_left():
    """A service seemed to have one version while streams of one that had just left were taken up."""
    history = history_of([V1, V2], [V2])
    assert history.versions("llm", 1.0 + MEMORY_S - 1) == {"v1", "v2"}
    assert history.versions("llm", 1.0 + MEMORY_S + 1) == {"v2"}
    history.learn("llm", "v0", 200.0)
    assert history.differs("llm", 201.0) and not history.differs("plain", 201.0)
    assert history.versions("llm", 500.0) == {"v2"}, "listed versions stay without further lists"


def test_one_id_for_streams_of_two_versions_is_no_origin():
    """The stream that is taken up could be either."""
    origins = StreamOrigins()
    for software in ("v1", "v2"):
        origins.record("s", KnownStream(StreamOrigin("llm", software, software), 9.0, own=True))
    found = origins.find("s", 1.0)
    assert found is not None and not may_continue(found, V1, history_of([V1, V2]), 0.0)
    assert merge_origins([BEGUN_UNNAMED, StreamOrigin("llm", "w", "")]) == StreamOrigin("llm", "", "")
    assert merge_origins([BEGUN_AT_V1, StreamOrigin("llm", "b", "v1")]) == BEGUN_AT_V1


def test_streams_are_forgotten_once_their_callers_have_stopped_waiting_and_beyond_a_number():
    """A router's memory grew with every stream."""
    origins = StreamOrigins()
    for number in range(MAX_ORIGINS + 5):
        origins.record(f"{number}", KnownStream(BEGUN_AT_V1, 1.0 + number % 2, own=bool(number % 2)))
    assert len(origins.known_by_id) == MAX_ORIGINS and origins.find("4", 0.0) is None
    assert origins.find("6", 1.5) is None and origins.find("7", 1.5) == BEGUN_AT_V1
    assert len(origins.own_streams(1.5)) == MAX_ORIGINS / 2
    origins.expire(1.5)
    assert len(origins.known_by_id) == MAX_ORIGINS / 2
