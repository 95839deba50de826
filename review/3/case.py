"""One request crashes each runner that begins to run it; after three, boxes must hold it back."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.common import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    Box,
    Caller,
    Record,
    configuration,
    main,
    route,
    start_table,
    trouble,
)
from review.engine import Engine, engine_service

ENGINES = 5
BOXES = 2
SOUND_PER_S = 10
BAD_PER_S = 2
BEFORE_S = 8.0
CRASHING_S = 30.0
CONTACT_S = 3.0
MAX_RETRIES = 3
"""Retries that the rule allows later than `contact_ms` after the third crash."""

BAD_PART = "bad0"


async def case(folder: Path, record: Record) -> int:
    prompts = route(
        "prompts", "/s/", "llm", kind="streaming", resumable=True, max_attempts=2, timeout_ms=12000
    )
    table = await start_table([], configuration(1, routes=[prompts], services=[engine_service(["m0"])]))
    engines = [Engine(f"i-{number}", record, table) for number in range(ENGINES)]
    for engine in engines:
        engine.crashing_part = BAD_PART if trouble() else ""
        await engine.start()
    boxes = [Box(table.address, folder, f"edge-{number}") for number in range(BOXES)]
    try:
        for box in boxes:
            await box.start()
        for box in boxes:
            if not await box.until_ready():
                return COULD_NOT_RUN
        callers = [Caller(box.front, record) for box in boxes]
        await asyncio.sleep(3.0)
        sound = asyncio.create_task(ask(callers, "sound", BEFORE_S + CRASHING_S, SOUND_PER_S))
        await asyncio.sleep(BEFORE_S)
        await ask(callers, "bad", CRASHING_S, BAD_PER_S, bad=True)
        await sound
    finally:
        for box in boxes:
            await box.stop()
    crashes = sorted(at for engine in engines for at in engine.crashes)
    third = crashes[2] if len(crashes) > 2 else float("inf")
    late = sorted(
        (at, name)
        for engine in engines
        for at, name in engine.arrived
        if name.startswith("bad") and at > third + CONTACT_S
    )
    for at, name in late:
        record.line("BUDGET", id=name, after_third_crash_s=round(at - third, 2))
    answers = [answer for caller in callers for answer in caller.answers.values()]
    served = sum(answer.status == 200 and answer.whole for answer in answers)
    sent = sum(caller.sent for caller in callers)
    print(
        f"crashes {len(crashes)}, of the request later than a contact time after the third {len(late)}; "
        f"{served} of {sent} requests served"
    )
    record.line("seen", crashes=len(crashes), late=len(late))
    if trouble() and time.monotonic() < third + CONTACT_S:
        return COULD_NOT_RUN
    return BROKEN if len(late) > MAX_RETRIES else HELD


async def send(callers: list[Caller], name: str, number: int, bad: bool = False) -> None:
    parts = f"{BAD_PART}:500,77aa:300,77ab:100" if bad else f"{number + 65536:x}:400"
    more = {"Model": "m0", "Token-Usage": "900,20", "Prompt-Prefix": parts}
    body = b"the same prompt" if bad else f"prompt {name}".encode()
    await callers[number % len(callers)].call(name, "POST", "/s/a", body, 12000, more)


async def ask(callers: list[Caller], name: str, seconds: float, per_s: int, bad: bool = False) -> None:
    tasks = []
    for number in range(int(seconds * per_s)):
        tasks.append(asyncio.create_task(send(callers, f"{name}-{number}", number, bad)))
        await asyncio.sleep(1 / per_s)
    await asyncio.gather(*tasks)


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, case)
