"""One entry of another writer can't be read; the others must hold, also those that come later."""

import asyncio
import signal
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.common import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    Box,
    Caller,
    Record,
    Runner,
    configuration,
    main,
    route,
    start_table,
    trouble,
)

PER_S = 20
"""Requests a second to each box, half of them on the later route once it is there."""

ENTRY = b'{"a":' + b"[" * 45_000
"""What another writer leaves: 45,005 bytes that no reader can make a value of, 60,008 in base64, where
`row_bytes` allows 65,536."""

LATER = "later"
LATER_RUNNERS = 3
SETTLED_S = 4.0
"""Wait before the count, above `config_apply_ms` and `contact_ms`."""

COUNTED_S = 10.0
RESTART_WAIT_S = 20.0
"""Time in which a restarted box has to be ready, above `recovery_s`. Seen only, not judged."""


async def case(folder: Path, record: Record) -> int:
    runners = [Runner(f"i-{number}", record) for number in range(3)]
    table = await start_table(runners, configuration(1))
    boxes = [Box(table.address, folder, f"edge-{number}") for number in (1, 2)]
    for box in boxes:
        await box.start()
    try:
        for box in boxes:
            if not await box.until_ready():
                return COULD_NOT_RUN
        callers = [Caller(box.front, record) for box in boxes]
        start = await ask(callers, "start", 3.0, with_later=False)
        if trouble():
            table.put_bytes("servers", "i-x", ENTRY)
            record.line("entry_of_another_writer", key="i-x", bytes=len(ENTRY))
        await asyncio.sleep(1.0)
        for number in range(LATER_RUNNERS):
            runner = Runner(f"l-{number}", record, service=LATER)
            await runner.start()
            table.put("servers", runner.id, runner.entry())
            record.line("runner_starts", id=runner.id, service=LATER)
        await asyncio.sleep(1.0)
        table.put("op", "config", later_configuration())
        record.line("config_confirmed", version=2, adds=f"/{LATER}/")
        await asyncio.sleep(SETTLED_S)
        shares = await ask(callers, "counted", COUNTED_S)
        ready_s = await restart(boxes[1], record)
    finally:
        for box in boxes:
            await box.stop()
    back = "not ready" if ready_s is None else f"ready after {ready_s:.1f} s"
    print(f"served at the start {start}, then {shares}; a box that was restarted in the end: {back}")
    record.line("served", **shares)
    if min(start["price"], shares["price"]) < 0.6:
        return COULD_NOT_RUN
    neglected = shares[LATER] < shares["price"] / 4
    if neglected:
        record.line("CONFIG", first=shares["price"], later=shares[LATER])
    return BROKEN if neglected else HELD


def later_configuration() -> dict[str, object]:
    """Return the configuration with a route to a new service."""
    before = configuration(1)
    service = {"name": LATER, "max_connections": 96, "health_path": "/healthz"}
    routes = [*before["routes"], route("later-list", f"/{LATER}/", LATER)]
    return configuration(2, routes=routes, services=[*before["services"], service])


async def ask(callers: list[Caller], name: str, seconds: float, with_later: bool = True) -> dict[str, float]:
    """Send requests to all boxes; return the share served, by route."""
    tasks, kinds = [], []
    for number in range(int(seconds * PER_S)):
        kind = LATER if with_later and number % 2 == 1 else "price"
        for place, caller in enumerate(callers):
            request_id = f"{name}-{kind}-{number}-{place}"
            kinds.append((kind, caller, request_id))
            tasks.append(asyncio.create_task(caller.call(request_id, "GET", f"/{kind}/a")))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tasks)
    sent, served = Counter[str](), Counter[str]()
    for kind, caller, request_id in kinds:
        answer = caller.answers.get(request_id)
        sent[kind] += 1
        served[kind] += answer is not None and answer.status == 200 and answer.whole
    return {kind: round(served[kind] / sent[kind], 3) for kind in sent}


async def restart(box: Box, record: Record) -> float | None:
    """Restart a box as for planned work; return the seconds until it is ready, None if it is not."""
    assert box.process is not None
    box.process.send_signal(signal.SIGTERM)
    await box.process.wait()
    began = time.monotonic()
    await box.start()
    ready = await box.until_ready(RESTART_WAIT_S)
    seconds = time.monotonic() - began if ready else None
    record.line("restarted", box=box.name, ready_after_s=seconds)
    return seconds


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, case)
