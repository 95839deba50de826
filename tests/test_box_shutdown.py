"""What a box does from the stop signal to its end, with real processes."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from tests.site import Answer, Site, configuration, route, site

GRACE_S = 8.0
"""Seconds from the stop signal until the platform kills a box."""

EXCUSED_S = 3.0
"""Seconds after the stop signal from which on a request that is taken must be answered."""

MARGIN_S = 0.5
"""Seconds for a busy machine."""

LONG_TIMEOUT_MS = 14_000
LONG_DEADLINE = {"Deadline-Ms": "14000"}


def put_long_routes(here: Site) -> None:
    """Put a configuration whose routes allow more time than a box has to stop."""
    routes = configuration(1, here.stores)["routes"]
    longer = [{**item, "timeout_ms": LONG_TIMEOUT_MS} for item in routes]
    here.put_configuration(2, routes=[*longer, route("long", "/long/", "plain", timeout_ms=LONG_TIMEOUT_MS)])


async def slow_body(first_s: float, pieces: int, pause_s: float) -> AsyncIterator[bytes]:
    await asyncio.sleep(first_s)
    for _ in range(pieces):
        yield b"piece"
        await asyncio.sleep(pause_s)


async def until_configured(here: Site) -> None:
    async with asyncio.timeout(5):
        while not any(line["version"] == 2 for line in here.logged("configuration")):
            await asyncio.sleep(0.02)


class Stop:
    """A stop signal that was sent to a box."""

    def __init__(self, here: Site) -> None:
        self.here = here
        self.at = asyncio.get_running_loop().time()
        here.stop_box()

    def after_s(self) -> float:
        return asyncio.get_running_loop().time() - self.at

    async def until(self, after_s: float) -> None:
        await asyncio.sleep(after_s - self.after_s())

    async def ended(self, closes: bool = True) -> float:
        """Wait until the process is gone, and kill it as the platform would; return how long it took.

        closes: it has closed all connections.
        """
        assert self.here.box is not None
        try:
            async with asyncio.timeout(GRACE_S - self.after_s()):
                await self.here.box.wait()
        except TimeoutError:
            await self.here.kill_box()
            raise AssertionError("the box was killed at the end of its grace time") from None
        assert self.here.box.returncode == 0
        took_s = self.after_s()
        assert self.here.log_reader is not None
        await self.here.log_reader
        # The timer that ends a process with work left exits with 0 as well.
        assert self.here.logged("stop", outcome="closed") or not closes
        return took_s

    def arrived_late(self) -> list[str]:
        """Return the requests that endpoints got when nothing was to be passed on any more."""
        return [
            name
            for endpoint in self.here.endpoints
            for at, name in endpoint.arrivals
            if at - self.at > EXCUSED_S
        ]


def is_not_run(answer: Answer) -> bool:
    return answer.complete and answer.status == 503 and b'"not run"' in answer.body


# Guards against a request that is passed on long after the stop signal since its body ended only then.
@pytest.mark.parametrize("chunked", [True, False])
def test_a_request_whose_body_ends_after_the_box_refuses_is_told_so_and_not_passed_on(chunked: bool):
    async def scenario():
        async with site(engines=1, plain=1) as here:
            put_long_routes(here)
            await until_configured(here)
            for endpoint in here.endpoints:
                endpoint.delay_s = 3.0
            stop = Stop(here)
            await stop.until(1.5)
            length = {} if chunked else {"Content-Length": "20"}
            plain = [
                here.call(
                    "/long/x",
                    "POST",
                    f"body-{number}",
                    headers=LONG_DEADLINE | length,
                    body=slow_body(0, 4, 1.0),
                )
                for number in range(5)
            ]
            prompts = [
                here.prompt(
                    call_id=f"prompt-{number}", headers=LONG_DEADLINE | length, body=slow_body(0, 4, 1.0)
                )
                for number in range(5)
            ]
            begun_at = asyncio.get_running_loop().time()
            answers = await asyncio.gather(*plain, *prompts)
            # As soon as it is known, not when the body ends.
            assert max(answer.took_s for answer in answers) + begun_at - stop.at < EXCUSED_S + MARGIN_S
            await stop.ended()
            assert [answer for answer in answers if not is_not_run(answer)] == []
            assert stop.arrived_late() == []

    asyncio.run(scenario())


# Guards against a box that is killed while it waits for an endpoint, whose caller then gets no answer.
@pytest.mark.parametrize("path", ["/long/x", "/once/x"])
def test_a_request_that_its_endpoint_still_runs_at_the_end_is_answered_before_the_box_ends(path: str):
    async def scenario():
        async with site() as here:
            put_long_routes(here)
            await until_configured(here)
            here.endpoints[0].delay_s = 12.0
            calls = [asyncio.create_task(here.call(path, headers=LONG_DEADLINE)) for _ in range(10)]
            await asyncio.sleep(0.3)
            stop = Stop(here)
            done, _ = await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
            assert stop.after_s() > GRACE_S * 5 / 6 and done
            answers = await asyncio.gather(*calls)
            await stop.ended()
            assert {answer.status for answer in answers} == {502}
            assert all(answer.complete and b"stopped" in answer.body for answer in answers)

    asyncio.run(scenario())


# Guards against a stream that is cut by the end of the process, or that looks complete when its box ends.
def test_a_stream_that_goes_on_at_the_end_is_broken_off_before_the_box_ends():
    async def scenario():
        async with site(engines=1) as here:
            put_long_routes(here)
            await until_configured(here)
            engine = here.engines()[0]
            engine.event_count, engine.event_s = 200, 0.1
            call = asyncio.create_task(here.prompt(headers=LONG_DEADLINE))
            await asyncio.sleep(0.5)
            stop = Stop(here)
            answer = await call
            assert stop.after_s() > GRACE_S * 5 / 6
            await stop.ended()
            assert answer.status == 200 and not answer.complete and len(answer.events) > 40

    asyncio.run(scenario())


# Guards against a repeat that is begun when there is no time left for it, and that is cut then.
def test_a_request_that_fails_late_is_not_sent_again_by_a_box_that_refuses():
    async def scenario():
        async with site(plain=2) as here:
            put_long_routes(here)
            await until_configured(here)
            for endpoint in here.endpoints:
                endpoint.delay_s, endpoint.errors = 4.5, 10
            calls = [
                asyncio.create_task(here.call("/long/x", call_id=f"late-{number}", headers=LONG_DEADLINE))
                for number in range(5)
            ]
            await asyncio.sleep(0.3)
            stop = Stop(here)
            answers = await asyncio.gather(*calls)
            await stop.ended()
            assert all(answer.complete and answer.status >= 500 for answer in answers)
            assert stop.arrived_late() == []

    asyncio.run(scenario())
