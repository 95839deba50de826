"""The age of replaced weights, across successive versions and restarts of boxes."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from stairquay.core.versions import MAX_RECORDS, VersionHistory
from stairquay.serving.boxes import KEY_PREFIX
from tests.site import box_rows, eventually, set_target_version, site

MAX_VERSION_AGE_MS = 1_500
"""Age after which replaced weights must not be used in these tests."""


def test_an_old_version_is_replaced_by_the_first_newer_one_and_not_by_the_newest():
    history = VersionHistory()
    for version, at in ((1, 0.0), (2, 10.0), (5, 20.0), (2, 12.0)):
        history.record(version, at)
    assert [history.replaced_at(version) for version in (0, 1, 2, 4, 5)] == [0.0, 10.0, 20.0, 20.0, None]


def test_what_another_box_saw_earlier_counts():
    history = VersionHistory()
    history.record(3, 20.0)
    history.record(2, 11.0)
    history.record(3, 9.0)
    assert (history.replaced_at(1), history.replaced_at(2)) == (9.0, 9.0)


def test_newer_versions_are_forgotten_when_an_engine_comes_back_with_an_older_one():
    history = VersionHistory()
    for version, at in ((1, 0.0), (2, 10.0), (3, 20.0)):
        history.record(version, at)
    history.roll_back(2, 30.0)
    assert (history.replaced_at(1), history.replaced_at(2)) == (10.0, None)


@given(st.lists(st.tuples(st.integers(1, 40), st.floats(0, 1e6)), min_size=1), st.integers(0, 40))
def test_what_is_forgotten_never_makes_weights_look_younger(changes, version):
    history = VersionHistory()
    for item in changes:
        history.record(*item)
    exact = min((at for newer, at in changes if newer > version), default=None)
    recorded = history.replaced_at(version)
    assert len(history.records) <= MAX_RECORDS
    assert (recorded is None) if exact is None else (recorded is not None and recorded <= exact)


def test_nothing_begins_on_an_engine_that_a_row_of_versions_left_behind():
    """Guards against counting the age of replaced weights from the newest version instead of the next one."""

    async def scenario():
        async with site(plain=0, engines=1, version_ms=MAX_VERSION_AGE_MS) as here:
            here.engines()[0].load_s = 60.0
            for version in (2, 3):
                set_target_version(here, version)
                await eventually(lambda version=version: here.logged("version_named", version=version))
                await asyncio.sleep(0.9)
            answer = await here.prompt()
            assert answer.status == 503 and not here.engines()[0].received

    asyncio.run(scenario())


def test_logs_and_metrics_tell_for_how_long_weights_in_use_have_been_replaced():
    async def scenario():
        async with site(plain=0, engines=1, version_ms=20_000) as here:
            here.engines()[0].load_s = 60.0
            set_target_version(here, 2)
            await eventually(lambda: here.logged("version_named", version=2, source="operators"))
            await asyncio.sleep(0.5)
            assert (await here.prompt()).status == 200
            await eventually(lambda: here.logged("sent", request="call-1"))
            assert 0.5 <= here.logged("sent", request="call-1")[0]["replaced_s"] < 5.0
            lines = (await here.metrics()).splitlines()
            samples = [line for line in lines if line.startswith("stairquay_weights_replaced_seconds ")]
            assert 0.5 <= float(samples[0].rpartition(" ")[2]) < 8.0

    asyncio.run(scenario())


def test_a_box_that_was_started_anew_knows_for_how_long_weights_have_been_replaced():
    async def scenario():
        async with site(plain=0, engines=1, version_ms=2 * MAX_VERSION_AGE_MS) as here:
            here.engines()[0].load_s = 60.0
            set_target_version(here, 2)
            await eventually(lambda: here.logged("version_named", version=2))
            await asyncio.sleep(1.0)
            await here.kill_box()
            await asyncio.sleep(1.5)
            await here.start_box()
            await here.until_ready()
            await asyncio.sleep(0.7)
            answer = await here.prompt()
            assert answer.status == 503 and not here.engines()[0].received

    asyncio.run(scenario())


def test_a_version_named_while_no_box_ran_counts_from_the_last_view_that_did_not_show_it():
    """Guards against counting the age of replaced weights from the start of the box."""

    async def scenario():
        async with site(plain=0, engines=1, version_ms=2 * MAX_VERSION_AGE_MS) as here:
            here.engines()[0].load_s = 60.0
            # The box must have written its first row before it is killed.
            await eventually(lambda: box_rows(here) and box_rows(here)[0]["viewed_at_s"] is not None)
            await here.kill_box()
            set_target_version(here, 2)
            named_at = asyncio.get_running_loop().time()
            await asyncio.sleep(2.2)
            await here.start_box()
            await here.until_ready()
            await asyncio.sleep(max(0.0, named_at + 3.1 - asyncio.get_running_loop().time()))
            answer = await here.prompt()
            assert answer.status == 503 and not here.engines()[0].received

    asyncio.run(scenario())


def test_a_newly_named_version_is_told_again_where_the_row_could_not_be_written():
    """Guards against waiting for the next heartbeat: a crash before it would lose the time of the change."""

    async def scenario():
        async with site(plain=0, engines=1) as here:
            here.engines()[0].load_s = 60.0
            # From its second heartbeat on, a box pauses for four seconds.
            await eventually(lambda: box_rows(here) and box_rows(here)[0]["beat"] == 2)
            here.table.refused_by_prefix = {KEY_PREFIX: 1}
            set_target_version(here, 2)
            await eventually(lambda: here.logged("version_named", version=2))
            await eventually(lambda: 2 in [named["version"] for named in box_rows(here)[0]["named"]], 1.5)
            assert here.table.refused_by_prefix == {KEY_PREFIX: 0}

    asyncio.run(scenario())


def test_a_row_that_cannot_be_written_is_not_written_again_at_once():
    async def scenario():
        async with site(plain=0, engines=1) as here:
            here.engines()[0].load_s = 60.0
            here.table.refused_by_prefix = {KEY_PREFIX: 100}
            set_target_version(here, 2)
            await eventually(lambda: here.logged("version_named", version=2))
            await asyncio.sleep(2.0)
            assert 1 <= 100 - here.table.refused_by_prefix[KEY_PREFIX] <= 5

    asyncio.run(scenario())
