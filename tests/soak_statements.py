"""A soak of several boxes before endpoints that say of their use what they can, alone and all at once: limits
that they name, change and end; that they leave; that they want rest.

Boxes are killed, stopped for a while and started again meanwhile, and the table service is away. `python -m
tests.soak_statements --seed 1 --seconds 60` plays one.

It holds that no endpoint gets in any window more than it bears from boxes that it had told, nothing from
boxes that it had told of its leaving, and no more than two requests from a box that it had asked for rest;
and that all endpoints get work again afterwards. An endpoint that left starts again under its id.
"""

import argparse
import asyncio
import json
import signal
from collections.abc import Coroutine
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from email.utils import format_datetime
from random import Random
from typing import Any

from tests.many_boxes import several_boxes
from tests.site import Site
from tests.standins.endpoints import Endpoint

KNOWN_S, TOLD_S, WINDOW_S = 3.0, 0.5, 4.0
"""As in tests.test_limits: when a limit binds after its first naming, and a box after it was told."""

IN_TOUCH_S = 3.0
"""Seconds after its start, or after it went on, from which a box counts."""

DRAIN_S = 2.0
REST_KNOWN_S, MOST_AT_REST = 0.5, 2
"""As in tests.test_statements: when leaving binds a box that was told, when rest does, and what it bears."""

RESTS = ("0.4", "1.5", "3", "4.25", "soon", "a date")
REQUESTS_S = 60.0
LIMITS = (0.0, 0.3, 1.0, 2.0, 4.0, 8.0)
OUTAGE_S = 2.0
NEVER = float("-inf")


@dataclass
class Naming:
    """One time for which an endpoint names a limit: the limits, each with its beginning, and the end."""

    limits: list[tuple[float, float]]
    until: float = float("inf")

    def highest(self, start: float, end: float) -> float:
        """Return the highest limit that bound boxes at any time in a span."""
        following = [*(at for at, _ in self.limits[1:]), self.until]
        spans = zip(self.limits, following, strict=True)
        return max(per_s for (at, per_s), gone in spans if at < end and gone + KNOWN_S > start)


@dataclass
class Outcome:
    """What a soak showed.

    broken: windows with more than the endpoint bears, and requests that came in spite of leaving or rest.
    windows: those looked at. highest_share: of what an endpoint bears, in the fullest of them, which
    `fullest` tells. healed: endpoints that get work at the end. leavings, rests: answers that said so to
    boxes which counted.
    """

    broken: list[str] = field(default_factory=list)
    windows: int = 0
    leavings: int = 0
    rests: int = 0
    highest_share: float = 0.0
    fullest: str = ""
    answered: int = 0
    refused: int = 0
    sent: int = 0
    healed: int = 0


def now_s() -> float:
    return asyncio.get_running_loop().time()


class Soak:
    """The boxes, and what befalls them."""

    def __init__(self, boxes: list[Site], chance: Random, seconds: float) -> None:
        self.boxes = boxes
        self.table, self.endpoints = boxes[0].table, boxes[0].endpoints
        self.chance = chance
        self.end = now_s() + seconds
        self.outcome = Outcome()
        self.box_by_call: dict[str, str] = {}
        self.lives: dict[str, list[float]] = {endpoint.id: [NEVER] for endpoint in self.endpoints}
        self.rest_until: dict[str, float] = {}
        self.namings: dict[str, list[Naming]] = {endpoint.id: [] for endpoint in self.endpoints}
        self.away: dict[str, list[tuple[float, float]]] = {box.name: [] for box in boxes}
        self.calls: set[asyncio.Task] = set()

    async def run(self) -> Outcome:
        """Play it to its end, and judge."""
        limits = [self._limits(endpoint) for endpoint in self.endpoints]
        # Limits of the others are judged over windows that no new life cuts short.
        leaving = [self._leave(endpoint) for endpoint in self.endpoints[::2]]
        resting = [self._rest(endpoint) for endpoint in self.endpoints]
        await asyncio.gather(self._press(), self._all_at_once(), self._faults(), *limits, *leaving, *resting)
        for endpoint in self.endpoints:
            self._name(endpoint, None)
        await asyncio.gather(*self.calls)
        await self._heal()
        for endpoint in self.endpoints:
            for naming in self.namings[endpoint.id]:
                self._judge(endpoint, naming)
            self._judge_leaving(endpoint)
            self._judge_rests(endpoint)
        return self.outcome

    def _left(self) -> bool:
        return now_s() < self.end

    def _start(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(call)
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    async def _press(self) -> None:
        number = 0
        while self._left():
            number += 1
            self._start(self._request(number))
            await asyncio.sleep(self.chance.expovariate(REQUESTS_S))

    async def _request(self, number: int) -> None:
        """Send a request, and again as told where it is refused."""
        plain = self.chance.random() < 0.4
        for again in range(2):
            box = self.chance.choice(self.boxes)
            call_id = f"call-{number}-{again}"
            self.box_by_call[call_id] = box.name
            path = "/plain/x" if plain else "/again/x"
            answer = await (box.call(path, call_id=call_id) if plain else box.prompt(path, call_id=call_id))
            self.outcome.sent += 1
            if answer.status == 200:
                self.outcome.answered += 1
                return
            self.outcome.refused += answer.status == 503
            await asyncio.sleep(min(1.0, float(answer.headers.get("Retry-After", 0.25))))

    def _name(self, endpoint: Endpoint, limit: float | None) -> None:
        """Have an endpoint name a limit from now on, or none."""
        before = endpoint.limit
        endpoint.limit = None if limit is None else str(limit)
        told = self.namings[endpoint.id]
        if limit is None:
            if before is not None:
                told[-1].until = now_s()
        elif before is None:
            told.append(Naming([(now_s(), limit)]))
        else:
            told[-1].limits.append((now_s(), limit))

    async def _limits(self, endpoint: Endpoint) -> None:
        """Have an endpoint name a limit from time to time, which may change."""
        while self._left():
            await asyncio.sleep(self.chance.uniform(2.0, 12.0))
            for _ in range(self.chance.choice((1, 1, 2))):
                self._name(endpoint, self.chance.choice(LIMITS))
                await asyncio.sleep(self.chance.uniform(8.0, 14.0))
            self._name(endpoint, None)

    async def _leave(self, endpoint: Endpoint) -> None:
        """Have an endpoint leave from time to time, and start again. Its entry goes on saying that it is
        ready, or lapses and returns meanwhile, or tells late that it leaves."""
        chance = Random(self.chance.random())
        while self._left():
            await asyncio.sleep(chance.uniform(5.0, 18.0))
            endpoint.leaving = "1"
            await asyncio.sleep(chance.uniform(1.0, 3.0))
            kind = chance.choice(("ready", "lapses", "draining"))
            if kind == "lapses":
                self.table.remove("servers", endpoint.id)
            elif kind == "draining":
                self.table.put("servers", endpoint.id, endpoint.entry("draining"))
            await asyncio.sleep(chance.uniform(2.0, 4.0))
            self.table.put("servers", endpoint.id, endpoint.entry())
            await asyncio.sleep(chance.uniform(0.0, 3.0))
            endpoint.leaving = None
            endpoint.born += 1_000
            self.lives[endpoint.id].append(now_s())
            if endpoint.limit is not None:
                # The limit of the last life binds nobody in this one, which names its own.
                limit = float(endpoint.limit)
                self._name(endpoint, None)
                self._name(endpoint, limit)
            self.table.put("servers", endpoint.id, endpoint.entry())

    async def _rest(self, endpoint: Endpoint) -> None:
        """Have an endpoint turn requests away from time to time, and ask for rest: in whole seconds, in parts
        of one, by a date, in words that nobody understands."""
        chance = Random(self.chance.random())
        while self._left():
            await asyncio.sleep(chance.uniform(2.0, 12.0))
            endpoint.retry_after = chance.choice(RESTS)
            if endpoint.retry_after == "a date":
                until = datetime.now(UTC).replace(microsecond=0) + timedelta(seconds=4)
                endpoint.retry_after = format_datetime(until, usegmt=True)
                self.rest_until[endpoint.retry_after] = now_s() + (until - datetime.now(UTC)).total_seconds()
            endpoint.refuse = 100_000
            await asyncio.sleep(chance.uniform(0.5, 4.0))
            endpoint.refuse = 0

    async def _all_at_once(self) -> None:
        """Once, have all endpoints name limits together."""
        await asyncio.sleep(self.chance.uniform(5.0, 15.0))
        for endpoint in self.endpoints:
            if endpoint.limit is None:
                self._name(endpoint, self.chance.choice(LIMITS))

    async def _faults(self) -> None:
        while self._left():
            await asyncio.sleep(self.chance.uniform(2.0, 5.0))
            box, kind = self.chance.choice(self.boxes), self.chance.random()
            began = now_s()
            if kind < 0.25:
                self.table.down = True
                await asyncio.sleep(OUTAGE_S)
                self.table.down = False
                continue
            assert box.box is not None
            if kind < 0.6:
                await box.kill_box()
                await box.start_box()
                await box.until_ready()
            else:
                box.box.send_signal(signal.SIGSTOP)
                await asyncio.sleep(self.chance.uniform(0.5, 3.0))
                box.box.send_signal(signal.SIGCONT)
            self.away[box.name].append((began, now_s()))

    async def _heal(self) -> None:
        """Send requests until all endpoints have got some again, or for a while."""
        before = {endpoint.id: len(endpoint.arrivals) for endpoint in self.endpoints}
        until = now_s() + 20.0
        while now_s() < until and self.outcome.healed < len(self.endpoints):
            both = (box.call("/plain/x", call_id="heal") for box in self.boxes for _ in range(4))
            prompts = (box.prompt("/again/x", call_id="heal") for box in self.boxes for _ in range(8))
            await asyncio.gather(*both, *prompts)
            got = (len(endpoint.arrivals) - before[endpoint.id] > 5 for endpoint in self.endpoints)
            self.outcome.healed = sum(got)

    def _in_touch(self, box: str, at: float) -> bool:
        return not any(began <= at <= ended + IN_TOUCH_S for began, ended in self.away[box])

    def _away_between(self, box: str, start: float, end: float) -> bool:
        return any(began <= end and ended >= start for began, ended in self.away[box])

    def _judge_leaving(self, endpoint: Endpoint) -> None:
        """Nothing comes from a box later than it may after the same life told it that it leaves."""
        told: dict[tuple[str, float], float] = {}
        for at, call_id in endpoint.leaving_sent:
            box = self.box_by_call.get(call_id)
            if box is not None:
                self.outcome.leavings += 1
                told.setdefault((box, self._life_at(endpoint, at)), at)
        for at, call_id in endpoint.arrivals:
            box = self.box_by_call.get(call_id)
            if box is None:
                continue
            told_at = told.get((box, self._life_at(endpoint, at)), float("inf"))
            if at > told_at + DRAIN_S and not self._away_between(box, told_at, at):
                late = f"{at - told_at:.2f} s after it said that it leaves"
                self.outcome.broken.append(f"{endpoint.id}: from {box} {late}")

    def _life_at(self, endpoint: Endpoint, at: float) -> float:
        return max(began for began in self.lives[endpoint.id] if began <= at)

    def _judge_rests(self, endpoint: Endpoint) -> None:
        """No more than two come from a box while an endpoint has asked it for rest."""
        for at, call_id, text in endpoint.retry_after_sent:
            box = self.box_by_call.get(call_id)
            until = self._rest_until(at, text)
            if box is None or self._away_between(box, at, until):
                continue
            if self._life_at(endpoint, at) != self._life_at(endpoint, until):
                continue
            self.outcome.rests += 1
            got = sum(
                at + REST_KNOWN_S < sent < until and self.box_by_call.get(other) == box
                for sent, other in endpoint.arrivals
            )
            if got > MOST_AT_REST:
                self.outcome.broken.append(f"{endpoint.id}: {got} from {box} in {until - at:.2f} s of rest")

    def _rest_until(self, at: float, text: str) -> float:
        if text in self.rest_until:
            return self.rest_until[text]
        return NEVER if text == "soon" else at + float(text)

    def _told_at(self, endpoint: Endpoint, naming: Naming, box: str, at: float) -> float:
        """Return when a box was first told of a limit, in the life that it had at a time."""
        lives = [ended for _, ended in self.away[box] if ended <= at]
        since = max([naming.limits[0][0], *lives])
        told = [
            told_at
            for told_at, call_id in endpoint.limits_sent
            if since <= told_at <= at and self.box_by_call.get(call_id) == box
        ]
        return min(told, default=float("inf"))

    def _judge(self, endpoint: Endpoint, naming: Naming) -> None:
        told = [at for at, _ in endpoint.limits_sent if naming.limits[0][0] <= at < naming.until]
        if not told:
            return
        counted = [
            at
            for at, call_id in endpoint.arrivals
            if told[0] <= at < naming.until
            and (box := self.box_by_call.get(call_id)) is not None
            and self._in_touch(box, at)
            and self._told_at(endpoint, naming, box, at) + TOLD_S <= at
        ]
        for start in counted:
            if start < told[0] + KNOWN_S or start + WINDOW_S > naming.until:
                continue
            got = sum(start <= at < start + WINDOW_S for at in counted)
            limit = naming.highest(start, start + WINDOW_S)
            borne = 1.5 * limit * WINDOW_S + 5
            self.outcome.windows += 1
            if got / borne > self.outcome.highest_share:
                self.outcome.highest_share = round(got / borne, 2)
                self.outcome.fullest = self._window(endpoint, limit, start)
            if got > borne:
                self.outcome.broken.append(f"{endpoint.id}: {got} in 4 s, limit {limit}, {borne:.0f} allowed")

    def _window(self, endpoint: Endpoint, limit: float, start: float) -> str:
        """Return what came in a window, by box, in seconds from its start."""
        came = [
            f"{self.box_by_call.get(call_id)} {at - start:.2f}"
            for at, call_id in endpoint.arrivals
            if start <= at < start + WINDOW_S
        ]
        return f"{endpoint.id}, limit {limit}, life {endpoint.born}: {', '.join(came)}"


async def soak(seed: int, seconds: float, boxes: int = 4) -> Outcome:
    """Play a soak, and return what it showed."""
    async with several_boxes(boxes) as sites:
        for endpoint in sites[0].endpoints:
            endpoint.delay_s, endpoint.born = 0.03, 1_000
            sites[0].table.put("servers", endpoint.id, endpoint.entry())
            endpoint.event_count, endpoint.event_s = 6, 0.02
        return await Soak(sites, Random(seed), seconds).run()


def main() -> None:
    """Play the soak that the command line names, and tell what it showed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--boxes", type=int, default=4)
    chosen = parser.parse_args()
    outcome = asyncio.run(soak(chosen.seed, chosen.seconds, chosen.boxes))
    print(json.dumps({"seed": chosen.seed, "seconds": chosen.seconds, **vars(outcome)}))


if __name__ == "__main__":
    main()
