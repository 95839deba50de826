"""What operators see of a quarantined part of prompts, and how they end its quarantine."""

import asyncio
import io

from stairquay.cli import main
from stairquay.core.crashes import MIN_PART_CRASHES, part_digest
from stairquay.environment import Environment
from stairquay.explain import Logs, explain_request
from stairquay.status import ExitStatus
from tests.ports import free_port
from tests.site import Site, eventually
from tests.states import box_state
from tests.test_crashes import crash_count, site_with_crashing_endpoints
from tests.test_crashing_parts import prompt_with, serve_others
from tests.test_quarantine import part_crash


def run_release(*args: str) -> tuple[ExitStatus, str, str]:
    out, err = io.StringIO(), io.StringIO()
    status = main(["release", *args], Environment(io.StringIO(), out, err, {}))
    return status, out.getvalue(), err.getvalue()


async def quarantine_bad_part(here: Site) -> None:
    await serve_others(here)
    for number in range(8):
        await prompt_with(here, "bad", number)
        await asyncio.sleep(0.15)
    await eventually(lambda: here.logged("quarantine", outcome="begun", digest="part bad"))


def test_a_part_that_an_operator_releases_is_sent_again_and_its_crashes_count_anew():
    """Guards against a part that was mended and is refused for ten minutes all the same."""

    async def scenario() -> None:
        async with site_with_crashing_endpoints(engines=16) as here:
            await quarantine_bad_part(here)
            address = here.table.address
            for _ in range(2):
                # The second time there is a row already.
                status, out, _ = await asyncio.to_thread(run_release, address, "part bad")
                assert status == ExitStatus.SUCCESS and "part bad" in out
            await eventually(lambda: here.logged("quarantine", outcome="ended", digest="part bad"), 4.0)
            assert (await prompt_with(here, "bad", 90, b"well")).status == 200
            crashed = crash_count(here)
            for number in range(20, 27):
                answer = await prompt_with(here, "bad", number)
                await asyncio.sleep(0.15)
            assert answer.status == 503 and crash_count(here) > crashed

    asyncio.run(scenario())


def test_explain_tells_why_a_request_with_a_quarantined_part_was_refused():
    """Guards against a refusal whose crashes were long before, so that no line near it tells of them."""

    async def scenario() -> list[str]:
        async with site_with_crashing_endpoints(engines=12) as here:
            await quarantine_bad_part(here)
            assert (await prompt_with(here, "bad", 70)).status == 503
            await eventually(lambda: here.logged("refused", request="bad-70"))
            return explain_request(Logs(here.log_lines), "bad-70")

    lines = asyncio.run(scenario())
    assert any("outcome=begun digest=part_bad" in line for line in lines), lines
    assert sum("  crashed  " in line for line in lines) >= MIN_PART_CRASHES, lines


def test_a_release_without_digests_or_table_service_says_so_and_writes_nothing():
    assert run_release("127.0.0.1:1")[0] == ExitStatus.ERROR
    status, _, error = run_release(f"127.0.0.1:{free_port()}", "part bad")
    assert status == ExitStatus.UNREACHED and "does not answer" in error


def test_a_popular_part_at_many_crashes_that_is_not_quarantined_is_logged_once(monkeypatch):
    """Guards against operators who can't see why a part at every crash is still sent."""
    monkeypatch.setattr("stairquay.serving.quarantine.monotonic", lambda: 10.0)
    quarantine, popular = box_state().quarantine, part_digest("popular")
    lines = []
    monkeypatch.setattr(quarantine.log, "line", lambda kind, **fields: lines.append(fields))
    quarantine.record_served((popular,), began_at=8.0)
    for number in range(MIN_PART_CRASHES + 2):
        beside = part_crash("bad" if number % 2 else "worse", number, 9.0)
        quarantine.record_crashes([part_crash("popular", number, 9.0), beside])
    spared = [fields for fields in lines if fields["outcome"] == "spared"]
    assert spared == [{"outcome": "spared", "digest": popular, "crashes": 4, "counted": 4, "share": 1.0}]
