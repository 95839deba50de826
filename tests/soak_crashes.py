"""Soak test of the quarantine of requests that crash endpoints, with boxes killed and table outages.

`python -m tests.soak_crashes --seed 1 --seconds 60` runs it. It records how many endpoints a request reaches
later than `MAX_PROPAGATION_S` after its third crash, or those with a part of prompts that crashes engines
after their fifth, and how many other requests are refused as quarantined.
"""

import argparse
import asyncio
import json
import time
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from aiohttp import ClientError

from tests.many_boxes import several_boxes
from tests.site import HOST, KEY, MODEL, Site
from tests.standins.endpoints import Endpoint

MAX_PROPAGATION_S = 3.0
"""Time within which all boxes must learn of a third crash."""

MIN_CRASHES, MIN_PART_CRASHES = 3, 5
"""Crashes from which a request, and those with one part, must be held back."""

MAX_LATE = 3
"""Endpoints that a request may reach after that time."""

NEVER = float("-inf")
OUTAGE_S = 2.0
RESTART_DELAY_S = 1.5
"""Time until a crashed endpoint starts again."""

REQUESTS_PER_S = 30
"""Rate of requests that crash nothing, over all boxes."""

NEW_POISON_INTERVAL_S = 6.0
"""Interval at which another request that crashes endpoints is added; each third goes to a plain service, and
each third is a part of prompts, no two of which are alike."""

POISONS_PER_S = 2.0
"""Rate at which such requests are sent."""

TURN_S = 4.0
"""Time for which each second part of prompts is sound, before it crashes engines."""

LEAVING_SHARE = 0.2
"""Share of the other prompts whose callers hang up after the first event."""


@dataclass
class Outcome:
    """Result of a soak test.

    late: endpoints reached too late, by request
    barred: other requests that were refused as quarantined
    """

    crashes: dict[str, int] = field(default_factory=dict)
    late: dict[str, int] = field(default_factory=dict)
    barred: int = 0
    answered: int = 0
    sent: int = 0


def prompt_headers(call_id: str) -> dict[str, str]:
    """Return the headers of a prompt with the parts that all others share."""
    return {
        "Host": HOST,
        "Request-Id": call_id,
        "Deadline-Ms": "5000",
        "Authorization": f"Bearer {KEY}",
        "Model": MODEL,
        "Token-Usage": "900,20",
        "Prompt-Prefix": "aa:500,bb:300,cc:100",
    }


class Soak:
    """Sends requests to boxes, injects faults and records what reaches endpoints."""

    def __init__(self, boxes: list[Site], random: Random, seconds: float) -> None:
        self.boxes = boxes
        self.table = boxes[0].table
        self.endpoints = boxes[0].endpoints
        self.random = random
        self.ends_at = asyncio.get_running_loop().time() + seconds
        self.outcome = Outcome()
        self.started_at = asyncio.get_running_loop().time()
        self.arrivals_by_request: dict[str, list[tuple[float, bool]]] = defaultdict(list)
        self.crash_times_by_request: dict[str, list[float]] = defaultdict(list)
        self.box_by_call: dict[str, str] = {}
        self.up_since_by_box: dict[str, float] = {box.name: NEVER for box in boxes}
        self.table_up_since = NEVER
        self.timeline: list[tuple[float, str]] = []
        self.restart_count = 0
        self.calls: set[asyncio.Task] = set()
        self.first_sent_at_by_part: dict[str, float] = {}

    async def run(self) -> Outcome:
        """Run to the end, and count crashes and late arrivals."""
        for endpoint in self.endpoints:
            endpoint.on_poison = self._on_poison
        await asyncio.gather(
            self._send_requests(),
            self._send_poison_requests(),
            self._inject_faults(),
            self._restart_crashed_endpoints(),
        )
        await asyncio.gather(*self.calls)
        for name, times in self.arrivals_by_request.items():
            crashes = sorted(self.crash_times_by_request[name])
            self.outcome.crashes[name] = len(crashes)
            borne = MIN_PART_CRASHES if name.startswith("part-") else MIN_CRASHES
            if len(crashes) >= borne:
                known_at = crashes[borne - 1] + MAX_PROPAGATION_S
                late = [at for at, connected in times if connected and at > known_at]
                self.outcome.late[name] = len(late)
        return self.outcome

    def timeline_lines(self) -> list[str]:
        """Return events and the boxes' log lines about crashes, in order of time."""
        lines = list(self.timeline)
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
            self.crash_times_by_request[name].append(now)
        else:
            connected = now - max(self.up_since_by_box[box], self.table_up_since) > MAX_PROPAGATION_S
            self.arrivals_by_request[name].append((now, connected))
        self._record_event(f"{name} {'crashed' if crashed else 'reached'} one by {box}")

    def _record_event(self, event: str) -> None:
        self.timeline.append((time.time(), event))

    def _running(self) -> bool:
        return asyncio.get_running_loop().time() < self.ends_at

    async def _send_requests(self) -> None:
        number = 0
        while self._running():
            number += 1
            self._start_task(self._send_request(number))
            await asyncio.sleep(self.random.expovariate(REQUESTS_PER_S))

    def _start_task(self, call) -> None:
        task = asyncio.create_task(call)
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    async def _send_request(self, number: int) -> None:
        """Send a request, and retry it once at a box drawn anew if it fails."""
        plain = self.random.random() < 0.3
        for retry in range(2):
            box = self.random.choice(self.boxes)
            call_id = f"other-{number}-{retry}"
            if plain:
                answer = await box.call(f"/plain/{number}", "POST", call_id=call_id, body=b"plain")
            elif self.random.random() < LEAVING_SHARE:
                await self._leave_after_first_event(box, call_id, number)
                return
            else:
                body = f"prompt {number}".encode()
                answer = await box.prompt(f"/again/{number}", call_id=call_id, body=body)
            self.outcome.sent += 1
            if answer.complete and answer.status == 200:
                self.outcome.answered += 1
                return
            if answer.status == 503 and b"quarantined" in answer.body:
                self.outcome.barred += 1

    async def _leave_after_first_event(self, box: Site, call_id: str, number: int) -> None:
        """Send a prompt, and hang up as soon as its answer has begun."""
        assert box.session is not None
        url, headers = f"http://{box.front}/again/{number}", prompt_headers(call_id)
        try:
            async with box.session.post(url, headers=headers, data=f"prompt {number}".encode()) as response:
                await response.content.readany()
                response.close()
        except ClientError:
            # A box that is killed, as some are.
            return

    def _is_sound_yet(self, name: str, number: int) -> bool:
        """Tell whether a part of prompts crashes nothing yet; each second one turns."""
        now = asyncio.get_running_loop().time()
        first_at = self.first_sent_at_by_part.setdefault(name, now)
        return number % 2 == 0 and now - first_at < TURN_S

    async def _send_poison_requests(self) -> None:
        while self._running():
            issued = 2 + int((asyncio.get_running_loop().time() - self.started_at) / NEW_POISON_INTERVAL_S)
            # Newer requests are sent more often.
            number = issued - min(issued, 1 + int(self.random.expovariate(0.5)))
            is_part = number % 3 == 1
            name, box = f"{'part' if is_part else 'crash'}-{number}", self.random.choice(self.boxes)
            body, call_id = f"{name} POISON".encode(), f"{name}-{self.random.random()}"
            self.box_by_call[call_id] = box.name
            if is_part and self._is_sound_yet(name, number):
                body = body.replace(b"POISON", b"sound")
            if is_part:
                body += call_id.encode()
                headers = {"Prompt-Prefix": f"aa:500,bb:300,{name}:200,own{call_id}:100"}
                self._start_task(box.prompt("/again/part", call_id=call_id, body=body, headers=headers))
            elif number % 3 == 2:
                self._start_task(box.call(f"/plain/{name}", "POST", call_id=call_id, body=body))
            else:
                self._start_task(box.prompt(f"/again/{name}", call_id=call_id, body=body))
            await asyncio.sleep(self.random.expovariate(POISONS_PER_S))

    async def _inject_faults(self) -> None:
        """Kill boxes one at a time, and take the table service down."""
        while self._running():
            await asyncio.sleep(self.random.uniform(3.0, 5.0))
            if self.random.random() < 0.3:
                self._record_event("table service away")
                self.table.down = True
                self.table_up_since = float("inf")
                await asyncio.sleep(OUTAGE_S)
                self.table.down = False
                self.table_up_since = asyncio.get_running_loop().time()
                self._record_event("table service back")
            elif self._running():
                box = self.random.choice(self.boxes)
                self._record_event(f"{box.name} killed")
                self.up_since_by_box[box.name] = float("inf")
                await box.kill_box()
                await box.start_box()
                await box.until_ready()
                self.up_since_by_box[box.name] = asyncio.get_running_loop().time()
                self._record_event(f"{box.name} ready")

    async def _restart_crashed_endpoints(self) -> None:
        """Restart crashed endpoints under new ids."""
        while self._running():
            for endpoint in self.endpoints:
                if endpoint.crashed:
                    self._start_task(self._restart_endpoint(endpoint))
                    endpoint.crashed = False
            await asyncio.sleep(0.1)

    async def _restart_endpoint(self, endpoint: Endpoint) -> None:
        await asyncio.sleep(RESTART_DELAY_S)
        self.table.remove("servers", endpoint.id)
        self.restart_count += 1
        endpoint.id = f"{endpoint.id.partition('+')[0]}+{self.restart_count}"
        await endpoint.restart()
        self.table.put("servers", endpoint.id, endpoint.entry())


async def soak(seed: int, seconds: float, boxes: int = 4, story: Path | None = None) -> Outcome:
    """Run a soak test.

    story: file that the timeline is written to
    """
    async with several_boxes(boxes) as sites:
        for endpoint in sites[0].endpoints:
            endpoint.crashes_on = b"POISON"
            endpoint.crash_after_head = bool(endpoint.model)
            endpoint.event_count, endpoint.event_s = 12, 0.02
        soak_run = Soak(sites, Random(seed), seconds)
        outcome = await soak_run.run()
        if story is not None:
            story.write_text("\n".join(soak_run.timeline_lines()) + "\n")
        return outcome


def main() -> None:
    """Run the soak test from the command line, and print its result as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--boxes", type=int, default=4)
    parser.add_argument("--story", type=Path)
    arguments = parser.parse_args()
    outcome = asyncio.run(soak(arguments.seed, arguments.seconds, arguments.boxes, arguments.story))
    print(json.dumps({"seed": arguments.seed, "seconds": arguments.seconds, **vars(outcome)}))


if __name__ == "__main__":
    main()
