"""Endpoints whose processes stand still for about a second and go on."""

import asyncio
from collections import Counter
from random import Random
from time import sleep

import pytest

from stairquay.adapters.clock import monotonic
from stairquay.core.catalog import ServiceSpec
from stairquay.core.fleet import Endpoint
from stairquay.serving.dispatch import RESPONSE_TIME_WEIGHT
from stairquay.serving.endpoint_choice import ChoiceRequest, choose_endpoint
from tests.site import Answer, Site, site
from tests.states import box_state
from tests.streams import EVENTS, slow_streams

PAUSE_S = 0.1
"""Seconds between two requests of each kind."""

PATHS = ("/plain/x", "/once/x", "/llm/chat", "/again/chat")


async def press(here: Site, answers: dict[str, tuple[str, Answer]], seconds: float) -> None:
    async def send(path: str, call_id: str) -> None:
        is_prompt = "chat" in path
        method = {"method": "POST", "body": b"x"} if path == "/once/x" else {}
        answer = await (here.prompt if is_prompt else here.call)(path, call_id=call_id, **method)
        answers[call_id] = path, answer

    async with asyncio.TaskGroup() as group:
        for number in range(round(seconds / PAUSE_S)):
            for path in PATHS:
                group.create_task(send(path, f"{path} {number}"))
            await asyncio.sleep(PAUSE_S)


def is_served(path: str, answer: Answer) -> bool:
    whole = "chat" not in path or answer.events == list(range(1, EVENTS + 1))
    return answer.status == 200 and answer.complete and whole


@pytest.mark.parametrize("share", ["one", "all"])
@pytest.mark.parametrize("silent_s", [0.9, 1.5])
def test_requests_at_endpoints_that_fall_silent_run_once_and_are_lost_nowhere(silent_s: float, share: str):
    """A silence of a second could count as a crash or a cut, and cost the requests that were there."""

    async def scenario():
        async with site(plain=3, engines=3, budget_slack=200) as here:
            slow_streams(here.engines())
            answers: dict[str, tuple[str, Answer]] = {}
            pressing = asyncio.create_task(press(here, answers, 1.0 + silent_s + 1.0))
            await asyncio.sleep(1.0)
            silent = [item for item in here.endpoints if share == "all" or item.id in ("p-0", "e-0")]
            for endpoint in silent:
                endpoint.silent_until = asyncio.get_running_loop().time() + silent_s
            await pressing
            runs = Counter(item.id for endpoint in here.endpoints for item in endpoint.received)
            assert max(runs.values()) == 1
            # Where all engines are silent, prompts that can't begin in time are refused, and have not run.
            lost = {
                call_id: answer.status
                for call_id, (path, answer) in answers.items()
                if not is_served(path, answer) and (share == "one" or answer.status != 503 or runs[call_id])
            }
            assert not lost, (len(lost), len(answers), lost)
            assert not here.logged("crashed"), here.logged("crashed")

    asyncio.run(scenario())


def test_a_plain_endpoint_that_was_silent_for_a_second_gets_work_again_while_others_are_idle():
    """Its mean response time stays that of the silence, since nothing is sent that would lower it."""
    state, random = box_state(), Random(1)
    state.fleet.apply(
        [Endpoint(f"p-{number}", "plain", f"10.0.0.{number}:1") for number in range(3)], (), 0.0
    )
    for endpoint in state.fleet.by_id.values():
        state.endpoint_state(endpoint).response_time_s = 0.05
    silent = state.endpoint_state(state.fleet.by_id["p-0"])
    for waited_s in (0.9, 0.8, 0.7, 0.6, 0.5):
        silent.response_time_s += RESPONSE_TIME_WEIGHT * (waited_s - silent.response_time_s)
    wanted = ChoiceRequest(ServiceSpec("plain"))
    end = monotonic() + 4.0
    chosen: Counter[str] = Counter()
    while monotonic() < end and not chosen["p-0"]:
        sleep(PAUSE_S)
        choice = choose_endpoint(state, None, wanted, random)  # type: ignore[arg-type]
        assert choice is not None
        chosen[choice.endpoint.id] += 1
    assert chosen["p-0"], chosen
