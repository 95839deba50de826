"""The troubles and planned work of a day, played on boxes, endpoint processes and the table service."""

import asyncio
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from math import ceil
from random import Random
from typing import Any

from tests.cut_box import CutKind, write_cut
from tests.ports import port_of
from tests.site import Site, configuration, set_target_version
from tests.site_days.callers import Callers, loop_time
from tests.site_days.site_file import Day, SiteFile, Trouble
from tests.standins.endpoint_process import EndpointProcess
from tests.standins.endpoint_process import Trouble as EndpointTrouble

BACK_S = 1.0
"""Seconds after which a killed box starts again where its trouble does not say."""

CRASHED_S = 3.0
"""Seconds until an endpoint that a request crashed is back, under another id."""

LAPSE_S = 3.6
"""Seconds until the list lacks an endpoint that crashed."""

LEAVING_S = 2.5
SLOW_RUN_S, SLOW_STOP_S = 0.03, 0.12
GRACE_S = 12.0
STORE_ANSWER_S = 0.004
POISON_PER_S = 3.0
GREY_BY_HOW = {
    "errors": EndpointTrouble.FAIL,
    "shed": EndpointTrouble.REJECT,
    "busy": EndpointTrouble.REJECT,
    "hang": EndpointTrouble.HANG,
    "reset": EndpointTrouble.RESET,
    "mute": EndpointTrouble.HANG,
}

PlayTrouble = Callable[[Trouble], Awaitable[None]]


class Troubles:
    """Plays troubles, and records when boxes and the table service were disturbed."""

    def __init__(
        self,
        site: SiteFile,
        boxes: list[Site],
        endpoints: list[EndpointProcess],
        callers: Callers,
        random: Random,
    ) -> None:
        self.site, self.boxes, self.endpoints = site, boxes, endpoints
        self.callers, self.random, self.table = callers, random, boxes[0].table
        self.away_by_box: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.table_away: list[tuple[float, float]] = []
        self.away: set[int] = set()
        self.played: Counter[str] = Counter()
        self.not_played: set[str] = set()
        self.tasks: list[asyncio.Future[None]] = []
        self.version = self.weights = 2
        self.replaced = 0
        self.plays_by_kind: dict[str, PlayTrouble] = {
            "srv_crash": self._crash_endpoints,
            "srv_grey": self._grey_endpoints,
            "answer_lost": self._lose_answers,
            "garble": self._lose_answers,
            "release": self._replace_endpoints,
            "scale_out": self._add_endpoints,
            "scale_in": self._remove_endpoints,
            "node_kill": self._kill_boxes,
            "herd_kill": self._kill_boxes,
            "after_ack_kill": self._kill_boxes,
            "replace_core": self._replace_box,
            "node_freeze": self._freeze_boxes,
            "node_slow": self._slow_boxes,
            "roll_term": self._stop_boxes_in_turn,
            "core_cut": self._cut_from_table,
            "node_cut": self._cut_from_table,
            "platform_down": self._lose_table,
            "platform_slow": self._slow_table,
            "platform_lost": self._lose_writes,
            "platform_compact": self._drop_history,
            "config_change": self._change_configuration,
            "big_config": self._change_configuration,
            "revoke": self._change_configuration,
            "version_bump": self._name_version,
            "burst": self._burst,
            "retry_abuse": self._repeat_at_once,
            "give_up": self._leave_early,
            "poison": self._poison,
            "rest": self._ask_for_rest,
        }

    async def play(self, day: Day, length_s: float) -> None:
        """Play a day's troubles at their times, until its length is over."""
        begun = loop_time()
        for trouble in day.troubles:
            await asyncio.sleep(begun + trouble.at - loop_time())
            play = self.plays_by_kind.get(trouble.kind)
            if play is None:
                self.not_played.add(trouble.kind)
                continue
            self.played[trouble.kind] += 1
            self.start(play(trouble))
        await asyncio.sleep(begun + length_s - loop_time())

    async def close_day(self) -> None:
        """End all boxes at once, and start them again."""
        self.played["closing"] += 1
        await asyncio.gather(*(self._restart(box, Site.kill_box, BACK_S) for box in self._boxes_here()))

    async def settle(self) -> None:
        """Wait for troubles to end; raises what one of them raised."""
        await asyncio.gather(*self.tasks)

    def start(self, work: Awaitable[None]) -> None:
        self.tasks.append(asyncio.ensure_future(work))

    async def restart_crashed(self, endpoint: EndpointProcess) -> None:
        """Start an endpoint again under another id, whenever a request has ended it."""
        while True:
            assert endpoint.process is not None
            await endpoint.process.wait()
            if id(endpoint) in self.away:
                await asyncio.sleep(SLOW_RUN_S)
                continue
            self.away.add(id(endpoint))
            begun, former = loop_time(), endpoint.endpoint.id
            asyncio.get_running_loop().call_later(LAPSE_S, self.table.remove, "servers", former)
            await asyncio.sleep(CRASHED_S)
            self.replaced += 1
            endpoint.endpoint.id = f"{former.partition('+')[0]}+{self.replaced}"
            await endpoint.start()
            endpoint.away_spans.append((begun, loop_time()))
            self.table.put("servers", endpoint.endpoint.id, endpoint.endpoint.entry())
            self.away.discard(id(endpoint))

    # Endpoints.

    def _endpoints_here(self, service: str) -> list[EndpointProcess]:
        return [
            item for item in self.endpoints if id(item) not in self.away and item.endpoint.service == service
        ]

    def _some_endpoints(self, trouble: Trouble, share: float) -> list[EndpointProcess]:
        here = self._endpoints_here(trouble.fields.get("service", self._first_service()))
        if "all" in trouble.how:
            return here
        return self._some(here, trouble, share)

    def _first_service(self) -> str:
        return next(item.name for item in self.site.services_by_name.values() if item.is_engine)

    def _some(self, here: list[Any], trouble: Trouble, share: float) -> list[Any]:
        number = int(trouble.number("count", ceil(len(here) * trouble.number("share", share))))
        return self.random.sample(here, min(len(here), max(1, number)))

    async def _crash_endpoints(self, trouble: Trouble) -> None:
        service = self.site.services_by_name.get(trouble.fields.get("service", ""))
        if service is not None and service.is_store:
            await self._silence_stores(trouble)
            return
        some = self._some_endpoints(trouble, 0.15)
        fault = EndpointProcess.stop_for if "dark" in trouble.how else EndpointProcess.kill_for
        await asyncio.gather(*(self._away(item, fault(item, trouble.for_s)) for item in some))

    async def _silence_stores(self, trouble: Trouble) -> None:
        for store in self.boxes[0].stores:
            store.silent = True
        await asyncio.sleep(trouble.for_s)
        for store in self.boxes[0].stores:
            store.silent = False

    async def _away(self, part: object, work: Awaitable[None]) -> None:
        self.away.add(id(part))
        await work
        self.away.discard(id(part))

    async def _grey_endpoints(self, trouble: Trouble) -> None:
        how = next((GREY_BY_HOW[word] for word in sorted(trouble.how) if word in GREY_BY_HOW), None)
        await self._trouble_endpoints(trouble, 0.15, how or EndpointTrouble.FAIL, trouble.number("x", 0.4))

    async def _lose_answers(self, trouble: Trouble) -> None:
        await self._trouble_endpoints(trouble, 0.5, EndpointTrouble.RESET, trouble.number("x", 0.03))

    async def _ask_for_rest(self, trouble: Trouble) -> None:
        rest_s = trouble.number("x", 2.0)
        await self._trouble_endpoints(trouble, 0.3, EndpointTrouble.REJECT, 1.0, rest_s)

    async def _trouble_endpoints(
        self, trouble: Trouble, share: float, kind: EndpointTrouble, part: float, rest_s: float = 0.0
    ) -> None:
        some = self._some_endpoints(trouble, share)
        for endpoint in some:
            endpoint.set_trouble(kind, part, rest_s)
        await asyncio.sleep(trouble.for_s)
        for endpoint in some:
            endpoint.set_trouble(EndpointTrouble.NONE, 0.0)

    async def _replace_endpoints(self, trouble: Trouble) -> None:
        for endpoint in self._some_endpoints(trouble, 0.5):
            await self._start_another(endpoint)
            await self._leave(endpoint)
            await asyncio.sleep(trouble.number("gap_s", 1.0))

    async def _add_endpoints(self, trouble: Trouble) -> None:
        for endpoint in self._some_endpoints(trouble, 0.3):
            await self._start_another(endpoint)

    async def _remove_endpoints(self, trouble: Trouble) -> None:
        await asyncio.gather(*(self._leave(item) for item in self._some_endpoints(trouble, 0.15)))

    async def _start_another(self, like: EndpointProcess) -> None:
        """Start one more endpoint of a service, in the same hall."""
        self.replaced += 1
        usual = like.endpoint
        made = EndpointProcess(
            f"{usual.id.partition('+')[0]}+{self.replaced}", usual.service, usual.model, usual.slots
        )
        made.endpoint.hall = usual.hall
        await made.start()
        self.endpoints.append(made)
        self.table.put("servers", made.endpoint.id, made.endpoint.entry())

    async def _leave(self, endpoint: EndpointProcess) -> None:
        """Have an endpoint leave: it says so, serves on for a while, and ends."""
        if id(endpoint) in self.away:
            return
        self.away.add(id(endpoint))
        begun = loop_time()
        self.table.put("servers", endpoint.endpoint.id, endpoint.endpoint.entry("draining"))
        await asyncio.sleep(LEAVING_S)
        self.table.remove("servers", endpoint.endpoint.id)
        await endpoint.close()
        endpoint.away_spans.append((begun, float("inf")))

    # Boxes.

    def _boxes_here(self) -> list[Site]:
        return [box for box in self.boxes if id(box) not in self.away]

    def _some_boxes(self, trouble: Trouble, share: float) -> list[Site]:
        return self._some(self._boxes_here(), trouble, share)

    async def _disturb(self, box: Site, work: Awaitable[None], takes_callers: bool = False) -> None:
        """Disturb a box, and keep new callers from it meanwhile unless it still takes them."""
        self.away.add(id(box))
        begun = loop_time()
        index = len(self.away_by_box[box.name])
        self.away_by_box[box.name].append((begun, float("inf")))
        if not takes_callers and len(self.callers.used) > 1 and box in self.callers.used:
            self.callers.used.remove(box)
        await work
        self.away_by_box[box.name][index] = (begun, loop_time())
        if box not in self.callers.used:
            self.callers.used.append(box)
        self.away.discard(id(box))

    async def _restart(self, box: Site, end: Callable[[Site], Awaitable[None]], after_s: float) -> None:
        async def restart() -> None:
            await end(box)
            await asyncio.sleep(after_s)
            await box.start_box(same_addresses=True)
            await box.until_ready()

        await self._disturb(box, restart())

    async def _kill_boxes(self, trouble: Trouble) -> None:
        after_s = float(trouble.fields.get("down_s", BACK_S))
        some = self._some_boxes(trouble, 0.6 if trouble.kind == "herd_kill" else 0.1)
        await asyncio.gather(*(self._restart(box, Site.kill_box, after_s) for box in some))

    async def _replace_box(self, trouble: Trouble) -> None:
        async def replace(box: Site) -> None:
            await box.kill_box()
            await asyncio.sleep(trouble.number("x", 1.0))
            await box.start_box()
            await box.until_ready()

        box = self.random.choice(self._boxes_here())
        await self._disturb(box, replace(box))

    async def _freeze_boxes(self, trouble: Trouble) -> None:
        some = self._some_boxes(trouble, 0.1)
        pauses = (self._disturb(box, box.pause_box(trouble.for_s), takes_callers=True) for box in some)
        await asyncio.gather(*pauses)

    async def _slow_boxes(self, trouble: Trouble) -> None:
        async def slow(box: Site) -> None:
            end = loop_time() + trouble.for_s
            while loop_time() < end:
                await box.pause_box(SLOW_STOP_S)
                await asyncio.sleep(SLOW_RUN_S)

        some = self._some_boxes(trouble, 0.1)
        await asyncio.gather(*(self._disturb(box, slow(box), takes_callers=True) for box in some))

    async def _stop_boxes_in_turn(self, trouble: Trouble) -> None:
        for box in self._some_boxes(trouble, 1.0):
            if id(box) in self.away:
                continue
            await self._restart(box, lambda box: box.stop_box_and_wait(GRACE_S), 0.0)
            await asyncio.sleep(trouble.number("gap_s", 1.0))

    # The table service.

    async def _cut_from_table(self, trouble: Trouble) -> None:
        """Cut boxes from the table service, and from other boxes where the trouble cuts them off."""
        kind = CutKind.RESET if "reset" in trouble.how else CutKind.HANG
        ports = [port_of(self.table.address)]
        if trouble.kind == "node_cut":
            ports += [port_of(box.peer_address) for box in self.boxes]
        some = self._some_boxes(trouble, 0.1)
        await asyncio.gather(*(self._cut(box, kind, ports, trouble.for_s) for box in some))

    async def _cut(self, box: Site, kind: CutKind, ports: list[int], for_s: float) -> None:
        async def cut() -> None:
            write_cut(box.folder, kind, ports)
            await asyncio.sleep(for_s)
            write_cut(box.folder, None, ports)

        await self._disturb(box, cut(), takes_callers=True)

    async def _lose_table(self, trouble: Trouble) -> None:
        if "nodes" in trouble.how:
            await self._cut_from_table(trouble)
            return
        await self._disturb_table(trouble, "down", True, False)

    async def _slow_table(self, trouble: Trouble) -> None:
        await self._disturb_table(trouble, "delay_s", trouble.number("x", 50.0) * STORE_ANSWER_S, 0.0)

    async def _disturb_table(self, trouble: Trouble, name: str, value: Any, usual: Any) -> None:
        begun, index = loop_time(), len(self.table_away)
        self.table_away.append((begun, float("inf")))
        setattr(self.table, name, value)
        await asyncio.sleep(trouble.for_s)
        setattr(self.table, name, usual)
        self.table_away[index] = (begun, loop_time())

    async def _lose_writes(self, trouble: Trouble) -> None:
        end = loop_time() + trouble.for_s
        while loop_time() < end:
            self.table.lost_answers = self.random.random() < trouble.number("x", 0.3)
            await asyncio.sleep(SLOW_RUN_S)
        self.table.lost_answers = 0

    async def _drop_history(self, _: Trouble) -> None:
        self.table.compacted_before = self.table.counter

    # Operators.

    async def _change_configuration(self, _: Trouble) -> None:
        """Write the next configuration, whose routes and services stay."""
        self.version += 1
        before = self.table.get("op", "config")
        changed = configuration(self.version, self.boxes[0].stores) | before | {"version": self.version}
        self.table.put("op", "config", changed)

    async def _name_version(self, _: Trouble) -> None:
        self.weights += 1
        set_target_version(self.boxes[0], self.weights)

    # Callers.

    async def _burst(self, trouble: Trouble) -> None:
        self.callers.pressed = trouble.number("x", 2.0)
        await asyncio.sleep(trouble.for_s)
        self.callers.pressed = 1.0

    async def _repeat_at_once(self, trouble: Trouble) -> None:
        self.callers.abuse_share = trouble.number("share", 0.3)
        self.callers.abuse_times = int(trouble.number("x", 2.0))
        await asyncio.sleep(trouble.for_s)
        self.callers.abuse_share = 0.0

    async def _leave_early(self, trouble: Trouble) -> None:
        self.callers.leave_share = trouble.number("share", 0.2)
        await asyncio.sleep(trouble.for_s)
        self.callers.leave_share = 0.0

    async def _poison(self, trouble: Trouble) -> None:
        """Send what crashes endpoints: a first part that turns, a new part, or a request that comes again."""
        name = trouble.fields.get("class") or next(iter(self.site.kinds_by_name))
        kind = self.site.kinds_by_name[name]
        if "turned" in trouble.how:
            self.callers.deadly_parts[name] = 0
            await asyncio.sleep(trouble.for_s)
            del self.callers.deadly_parts[name]
            return
        end, is_part = loop_time() + trouble.for_s, "part" in trouble.how
        halls = list(self.site.boxes_by_hall)
        while loop_time() < end:
            cause = f"part new{name}" if is_part else f"request {name}"
            self.callers.send(kind, self.random.choice(halls), cause, f"new{name}" if is_part else "")
            await asyncio.sleep(self.random.expovariate(trouble.number("x", POISON_PER_S)))
