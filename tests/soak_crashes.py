"""A soak of several boxes: requests that crash endpoints come again and again, beside others, while boxes are
killed and the table service is away. `python -m tests.soak_crashes --seed 1 --seconds 60` plays one.

It holds that no request which crashes endpoints reaches more than three of them later than `TOLD_S` after its
third crash, and that no other request is refused as one of them.
"""

import argparse
import asyncio
import json
import time
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from tests.many_boxes import several_boxes
from tests.site import Site
from tests.standins.endpoints import Endpoint

TOLD_S = 3.0
"""Seconds after a third crash from which boxes must know of it: the shortest bound of any deployment."""

MOST_LATE = 3
"""Endpoints that such a request may reach after that."""

NEVER = float("-inf")
OUTAGE_S = 2.0
DOWN_S = 1.5
"""Seconds for which the table service is away, and an endpoint that crashed."""

REQUESTS_S = 30
"""Requests a second, at any box, that crash nothing."""

NEW_POISON_S = 6.0
"""Seconds after which callers have another request that crashes endpoints, beside those before; each third
one goes to a plain service."""

POISONS_S = 2.0
"""Comings of such requests a second."""


@dataclass
class Outcome:
    """What a soak showed. late: endpoints reached too late, by request. barred: others that were refused."""

    crashes: dict[str, int] = field(default_factory=dict)
    late: dict[str, int] = field(default_factory=dict)
    barred: int = 0
    answered: int = 0
    sent: int = 0


class Soak:
    """The boxes, and what befalls them."""

    def __init__(self, boxes: list[Site], chance: Random, seconds: float) -> None:
        self.boxes = boxes
        self.table = boxes[0].table
        self.endpoints = boxes[0].endpoints
        self.chance = chance
        self.end = asyncio.get_running_loop().time() + seconds
        self.outcome = Outcome()
        self.began = asyncio.get_running_loop().time()
        self.reached: dict[str, list[tuple[float, bool]]] = defaultdict(list)
        self.crashed_at: dict[str, list[float]] = defaultdict(list)
        self.box_by_call: dict[str, str] = {}
        self.up_since: dict[str, float] = {box.name: NEVER for box in boxes}
        self.table_since = NEVER
        self.story: list[tuple[float, str]] = []
        self.starts = 0
        self.calls: set[asyncio.Task] = set()

    async def run(self) -> Outcome:
        """Play it to its end, and judge."""
        for endpoint in self.endpoints:
            endpoint.on_poison = self._on_poison
        await asyncio.gather(self._others(), self._poisons(), self._faults(), self._restarts())
        await asyncio.gather(*self.calls)
        for name, times in self.reached.items():
            crashes = sorted(self.crashed_at[name])
            self.outcome.crashes[name] = len(crashes)
            if len(crashes) >= 3:
                late = [at for at, in_touch in times if in_touch and at > crashes[2] + TOLD_S]
                self.outcome.late[name] = len(late)
        return self.outcome

    def told(self) -> list[str]:
        """Return the story: what befell the boxes, and what they logged of crashes."""
        lines = list(self.story)
        for box in self.boxes:
            for line in box.log_lines:
                if line["kind"] in ("crashed", "quarantine", "start", "part_failed"):
                    lines.append((line["at"], json.dumps({"box": box.name, **line})))
        start = min(at for at, _ in lines)
        return [f"{at - start:8.3f} {text}" for at, text in sorted(lines)]

    def _on_poison(self, call_id: str, body: bytes, crashed: bool) -> None:
        name, box = body.decode().partition(" ")[0], self.box_by_call[call_id]
        now = asyncio.get_running_loop().time()
        if crashed:
            self.crashed_at[name].append(now)
        else:
            in_touch = now - max(self.up_since[box], self.table_since) > TOLD_S
            self.reached[name].append((now, in_touch))
        self._tell(f"{name} {'crashed' if crashed else 'reached'} one by {box}")

    def _tell(self, what: str) -> None:
        self.story.append((time.time(), what))

    def _left(self) -> bool:
        return asyncio.get_running_loop().time() < self.end

    async def _others(self) -> None:
        number = 0
        while self._left():
            number += 1
            self._start(self._other(number))
            await asyncio.sleep(self.chance.expovariate(REQUESTS_S))

    def _start(self, call) -> None:
        task = asyncio.create_task(call)
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    async def _other(self, number: int) -> None:
        """Send a request, and once more at another box where it fails."""
        plain = self.chance.random() < 0.3
        for again in range(2):
            box = self.chance.choice(self.boxes)
            call_id = f"other-{number}-{again}"
            if plain:
                answer = await box.call(f"/plain/{number}", "POST", call_id=call_id, body=b"plain")
            else:
                body = f"prompt {number}".encode()
                answer = await box.prompt(f"/again/{number}", call_id=call_id, body=body)
            self.outcome.sent += 1
            if answer.complete and answer.status == 200:
                self.outcome.answered += 1
                return
            if answer.status == 503 and b"quarantined" in answer.body:
                self.outcome.barred += 1

    async def _poisons(self) -> None:
        while self._left():
            known = 2 + int((asyncio.get_running_loop().time() - self.began) / NEW_POISON_S)
            # The newest come most often.
            number = known - min(known, 1 + int(self.chance.expovariate(0.5)))
            name, box = f"crash-{number}", self.chance.choice(self.boxes)
            body, call_id = f"{name} POISON".encode(), f"{name}-{self.chance.random()}"
            self.box_by_call[call_id] = box.name
            if number % 3 == 2:
                self._start(box.call(f"/plain/{name}", "POST", call_id=call_id, body=body))
            else:
                self._start(box.prompt(f"/again/{name}", call_id=call_id, body=body))
            await asyncio.sleep(self.chance.expovariate(POISONS_S))

    async def _faults(self) -> None:
        """Kill boxes one at a time, and have the table service away."""
        while self._left():
            await asyncio.sleep(self.chance.uniform(3.0, 5.0))
            if self.chance.random() < 0.3:
                self._tell("table service away")
                self.table.down = True
                self.table_since = float("inf")
                await asyncio.sleep(OUTAGE_S)
                self.table.down = False
                self.table_since = asyncio.get_running_loop().time()
                self._tell("table service back")
            elif self._left():
                box = self.chance.choice(self.boxes)
                self._tell(f"{box.name} killed")
                self.up_since[box.name] = float("inf")
                await box.kill_box()
                await box.start_box()
                await box.until_ready()
                self.up_since[box.name] = asyncio.get_running_loop().time()
                self._tell(f"{box.name} ready")

    async def _restarts(self) -> None:
        """Start endpoints again that crashed, under new ids."""
        while self._left():
            for endpoint in self.endpoints:
                if endpoint.crashed:
                    self._start(self._restart(endpoint))
                    endpoint.crashed = False
            await asyncio.sleep(0.1)

    async def _restart(self, endpoint: Endpoint) -> None:
        await asyncio.sleep(DOWN_S)
        self.table.remove("servers", endpoint.id)
        self.starts += 1
        endpoint.id = f"{endpoint.id.partition('+')[0]}+{self.starts}"
        await endpoint.restart()
        self.table.put("servers", endpoint.id, endpoint.entry())


async def soak(seed: int, seconds: float, boxes: int = 4, story: Path | None = None) -> Outcome:
    """Play a soak, and return what it showed. story: a file for what happened when."""
    async with several_boxes(boxes) as sites:
        for endpoint in sites[0].endpoints:
            endpoint.crashes_on = b"POISON"
            endpoint.crash_after_head = bool(endpoint.model)
            endpoint.event_count, endpoint.event_s = 12, 0.02
        played = Soak(sites, Random(seed), seconds)
        outcome = await played.run()
        if story is not None:
            story.write_text("\n".join(played.told()) + "\n")
        return outcome


def main() -> None:
    """Play the soak that the command line names, and tell what it showed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--boxes", type=int, default=4)
    parser.add_argument("--story", type=Path)
    chosen = parser.parse_args()
    outcome = asyncio.run(soak(chosen.seed, chosen.seconds, chosen.boxes, chosen.story))
    print(json.dumps({"seed": chosen.seed, "seconds": chosen.seconds, **vars(outcome)}))


if __name__ == "__main__":
    main()
