"""A box that reaches no endpoint tells a crash from a cut by whether the endpoint stays listed."""

import asyncio
from types import SimpleNamespace

import pytest

from stairquay.core.fleet import Endpoint
from stairquay.core.reach import Reach
from stairquay.serving import crashes as crashes_module
from stairquay.serving.crashes import CrashDetector
from tests.states import box_state

SERVICE = "llm"
LAST = Endpoint("e-1", SERVICE, "10.0.0.9:1", born=1)


class Unreachable:
    """No endpoint takes a connection."""

    async def accepts_connections(self, address: str) -> bool:
        return False


def lost_box(listed: list[Endpoint], monkeypatch) -> CrashDetector:
    """Return a box that reaches no endpoint of a service while another box does."""
    state = box_state()
    state.fleet = SimpleNamespace(
        by_id={item.id: item for item in listed},
        missing_since_by_id={},
        usable=lambda service, now: list(listed),
    )
    monkeypatch.setattr(
        crashes_module,
        "record_unreached",
        lambda state, endpoint: state.reach_by_service.setdefault(endpoint.service, Reach()),
    )
    monkeypatch.setattr(crashes_module, "CUT_KNOWN_AFTER_S", 0.2)
    state.lost_services.add(SERVICE)
    state.helpers_by_service[SERVICE] = SimpleNamespace(has_helped=lambda now: True)
    return CrashDetector(state, Unreachable())


async def break_connection(detector: CrashDetector) -> None:
    job = SimpleNamespace(digest="a", part_digests=(), service=SimpleNamespace(engine=object()))
    attempt = SimpleNamespace(
        choice=SimpleNamespace(endpoint=LAST),
        endpoint_state=SimpleNamespace(born=1),
        sent_at=0.0,
        first_byte_at=None,
        head_received=False,
    )
    detector.connection_broken(job, attempt, 0)


@pytest.mark.parametrize("leaves_after_s, is_crash", ((0.0, True), (0.1, True), (None, False)))
def test_an_endpoint_that_leaves_the_list_has_crashed_though_others_reach_the_service(
    leaves_after_s, is_crash, monkeypatch
):
    """Guards against crashes that no box counts, as all engines fall and come back one by one."""

    async def scenario():
        detector = lost_box([] if leaves_after_s == 0.0 else [LAST], monkeypatch)
        await break_connection(detector)
        if leaves_after_s:
            await asyncio.sleep(leaves_after_s)
            detector.state.fleet.missing_since_by_id[LAST.id] = 1.0
        await asyncio.gather(*detector.tasks)
        assert bool(detector.state.quarantine.own_crashes) is is_crash

    asyncio.run(scenario())
