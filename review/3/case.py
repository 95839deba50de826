"""New weights of one model are named; the other model of these runners must still be served."""

import asyncio
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
    Record,
    configuration,
    main,
    route,
    start_table,
    trouble,
)
from review.engine import Engine, engine_service, prompt_headers

ENGINES = 5
PER_S = 60
VERSION_ALL_S = 17.0
FIRST, SECOND = "m0", "m1"


async def case(folder: Path, record: Record) -> int:
    first = route("first", "/first/", "llm", kind="streaming", timeout_ms=3000, max_attempts=1)
    later = route("later", "/later/", "llm", kind="streaming", timeout_ms=3000, max_attempts=1)
    services = [engine_service([FIRST, SECOND])]
    table = await start_table([], configuration(1, routes=[first], services=services))
    engines = [
        Engine(f"i-{number}", record, table, versions_by_model={FIRST: 1, SECOND: 1})
        for number in range(ENGINES)
    ]
    for engine in engines:
        await engine.start()
    box = Box(table.address, folder)
    await box.start()
    try:
        if not await box.until_ready():
            return COULD_NOT_RUN
        caller = Caller(box.front, record)
        await ask(caller, "start", 3.0, with_later=False)
        table.put("op", "config", configuration(2, routes=[first, later], services=services))
        record.line("config_confirmed", version=2, adds="/later/")
        await asyncio.sleep(2.5)
        before = await ask(caller, "before", 4.0)
        if trouble():
            table.put("op", f"version/{FIRST}", {"model": FIRST, "version": 2})
            record.line("version_confirmed", model=FIRST, version=2)
        await asyncio.sleep(12.0)
        after = await ask(caller, "after", 10.0)
        if trouble():
            table.put("op", f"version/{SECOND}", {"model": SECOND, "version": 2})
            record.line("version_confirmed", model=SECOND, version=2)
        await asyncio.sleep(2.0)
        last = await ask(caller, "last", VERSION_ALL_S + 3.0)
    finally:
        await box.stop()
    shares = {"before": before, "after": after, "last": last}
    versions = [engine.versions_by_model for engine in engines]
    print(f"served of first and later routes: {shares}; versions {versions}")
    record.line("served", **shares)
    if min(before["first"], before["later"]) < 0.6:
        return COULD_NOT_RUN
    neglected = after["later"] < after["first"] / 4
    behind = [engine.id for engine in engines if trouble() and engine.versions_by_model[SECOND] < 2]
    if neglected:
        record.line("CONFIG", first=after["first"], later=after["later"])
    if len(behind) > max(1, ENGINES / 10):
        record.line("VERSION", model=SECOND, behind=behind)
    return BROKEN if neglected or len(behind) > max(1, ENGINES / 10) else HELD


async def ask(caller: Caller, name: str, seconds: float, with_later: bool = True) -> dict[str, float]:
    """Send prompts of both models; return the share served, by route."""
    tasks = []
    for number in range(int(seconds * PER_S)):
        is_later = with_later and number % 2 == 1
        kind, model = ("later", SECOND) if is_later else ("first", FIRST)
        more = prompt_headers(model, number)
        call = caller.call(f"{name}-{kind}-{number}", "POST", f"/{kind}/a", b"prompt", 3000, more)
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tasks)
    sent, served = Counter[str](), Counter[str]()
    for number in range(len(tasks)):
        kind = "later" if with_later and number % 2 == 1 else "first"
        answer = caller.answers.get(f"{name}-{kind}-{number}")
        sent[kind] += 1
        served[kind] += answer is not None and answer.status == 200 and answer.whole
    return {kind: round(served[kind] / sent[kind], 3) for kind in sent}


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, case)
