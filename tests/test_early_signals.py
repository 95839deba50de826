"""Signals that reach a box while it starts, from the moment at which its first line has run."""

import asyncio
import signal
from pathlib import Path

import pytest

from tests.site import Site, eventually, site

DELAYS_S = (0.0, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.5)
"""Times after the first line at which a signal comes; loading the modules takes most of them."""

POLL_S = 0.001
MAX_CAUGHT_S = 10.0
MAX_STOP_S = 8.0
"""Seconds within which a box ends, `grace_s` of its settings."""


def catches(here: Site, number: signal.Signals) -> bool:
    """Tell whether the process handles a signal; the kernel shows it as a bit."""
    assert here.box is not None
    status = Path(f"/proc/{here.box.pid}/status").read_text()
    mask = int(next(line for line in status.splitlines() if line.startswith("SigCgt")).split()[1], 16)
    return bool(mask >> (number - 1) & 1)


async def until_caught(here: Site, number: signal.Signals) -> None:
    """Wait until the process handles a signal. It must do so before it loads any library.

    Before its first line runs, a signal ends an interpreter, which no program can change.
    """
    assert here.box is not None
    maps = Path(f"/proc/{here.box.pid}/maps")
    async with asyncio.timeout(MAX_CAUGHT_S):
        while True:
            # Read first: a process that has loaded a library by then handles the signal already.
            has_libraries = "site-packages" in maps.read_text()
            if catches(here, number):
                return
            assert here.box.returncode is None and not has_libraries
            await asyncio.sleep(POLL_S)


@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_a_hangup_while_a_box_starts_does_not_end_it(delay_s: float):
    """Guards against a box that ends as its settings change at its start, or misses the change."""

    async def scenario():
        async with site(ready=False) as here:
            assert here.box is not None
            await until_caught(here, signal.SIGHUP)
            await asyncio.sleep(delay_s)
            here.box.send_signal(signal.SIGHUP)
            await here.until_ready()
            await eventually(lambda: here.logged("reload", asked=True))
            assert (await here.call("/plain/x")).status == 200
            here.box.send_signal(signal.SIGHUP)
            await eventually(lambda: len(here.logged("reload", asked=True)) == 2)

    asyncio.run(scenario())


@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_a_box_that_is_stopped_while_it_starts_ends_well(delay_s: float):
    """Guards against a box that ignores the signal, or whose end looks like a crash."""

    async def scenario() -> int:
        async with site(ready=False) as here:
            assert here.box is not None
            await until_caught(here, signal.SIGTERM)
            await asyncio.sleep(delay_s)
            here.box.send_signal(signal.SIGTERM)
            async with asyncio.timeout(MAX_STOP_S):
                return await here.box.wait()

    assert asyncio.run(scenario()) == 0
