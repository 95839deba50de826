"""Runners repeat some of their answers late; requests that are not idempotent must still run once."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.common import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    Box,
    Caller,
    Channel,
    Record,
    Runner,
    configuration,
    garbles_now,
    main,
    start_table,
    trouble,
)

REPEATED_SHARE = 0.03
"""Share of the answers of the faulty runners that are sent a second time."""

SECONDS = 25.0
BURSTS_PER_S = 2
BURST = 70
"""Requests of one burst; the three runners have places for 54 at once and shed the rest."""


async def repeat_late(runner: Runner, channel: Channel, status: int, answer: bytes) -> None:
    if garbles_now(runner.record) and random.random() < REPEATED_SHARE:
        runner.record.line("repeats_answer_late", at=runner.id, status=status)
        channel.late = answer


async def case(folder: Path, record: Record) -> int:
    runners = [Runner(f"i-{number}", record, slots=6, queue=12) for number in range(3)]
    if trouble():
        for runner in runners[:2]:
            runner.after_answer = repeat_late
    table = await start_table(runners, configuration())
    box = Box(table.address, folder)
    await box.start()
    try:
        if not await box.until_ready():
            return COULD_NOT_RUN
        caller = Caller(box.front, record)
        tasks = []
        for burst in range(int(SECONDS * BURSTS_PER_S)):
            for number in range(BURST):
                tasks.append(asyncio.create_task(caller.call(f"r-{burst}-{number}", "POST", "/spec/a", b"x")))
            await asyncio.sleep(1 / BURSTS_PER_S)
        await asyncio.gather(*tasks)
    finally:
        await box.stop()
    runs = Counter(request for runner in runners for request in runner.runs)
    twice = [request for request, count in runs.items() if count > 1]
    promised = [key for key, answer in caller.answers.items() if answer.status in (408, 421, 429, 503)]
    false = [request for request in promised if request in runs]
    for request in twice:
        record.line("TWICE", id=request, runs=runs[request])
    for request in false:
        record.line("REFUSED", id=request, status=caller.answers[request].status)
    served = sum(answer.status == 200 for answer in caller.answers.values())
    rejected = sum(len(runner.rejected) for runner in runners)
    print(
        f"sent {caller.sent}, served {served}, rejected by runners {rejected}, ran twice {len(twice)}, "
        f"refused though run {len(false)}"
    )
    if served < caller.sent / 4 or rejected < 20:
        return COULD_NOT_RUN
    return BROKEN if twice or false else HELD


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, case)
