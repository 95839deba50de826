"""Engines, a router and callers on virtual time, without a network.

The router is the product's, with its accounts; only its clock is replaced. An engine batches continuously:
a step generates one token of every run and prefills a chunk of one prompt. Runs share the memory of parts.
"""

import sys
from collections import OrderedDict, deque
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from stairquay.core.catalog import Catalog, EngineSpec, ServiceSpec
from stairquay.core.fleet import Endpoint
from stairquay.core.placement import prefill_s
from stairquay.core.routers import Member
from stairquay.serving.context_lifetime import observe_versions
from stairquay.serving.local_router import LocalRouter
from stairquay.serving.messages import EndedAttempt, PlaceRequest, PromptPart, SpeedSample
from stairquay.serving.ports import EngineReport
from stairquay.serving.state import BoxState
from tests.states import box_state

MODEL, VERSION = "m", 1
SCOPE = f"/{MODEL}/{VERSION}"
LINK_BYTES_S = 3e9
BYTES_PER_TOKEN = 35_000
REPORT_INTERVAL_S = 0.45
ROLE_INTERVAL_S = 0.25
NETWORK_S = 0.001
"""One way between a box and an engine."""

NOTICE_S = 0.05
"""Until a router knows that a run has ended."""

MAX_PREFILL_WAIT_SHARE = 0.35
PRIOR_TOKENS_PER_S = 112_000.0
"""Speed that the product assumes."""

START = 1_000.0
"""Virtual time at the start; not 0, which the product may take for never."""

Slowdown = Callable[[float], float]
"""Returns by what factor an engine is slower than usual at a time."""


@dataclass(frozen=True)
class EngineKind:
    """How engines of a simulation work."""

    slots: int = 16
    memory_tokens: int = 96_895
    step_s: float = 0.00327
    prefill_tokens_s: float = 125_000.0
    chunk_tokens: int = 4_096


@dataclass(frozen=True)
class Traffic:
    """Prompts of one kind; each shares a part with the other prompts of its workspace.

    workspace_of: draws a workspace.
    """

    name: str
    per_s: float
    shared_tokens: int
    own_tokens: int
    output: int
    objective_s: float
    workspace_of: Callable[[Random], int]


@dataclass
class Run:
    """One prompt from its arrival to its end."""

    ticket: str
    traffic: Traffic
    part: str
    arrived_at: float
    engine: str = ""
    sent_at: float = 0.0
    fetched: bool = False
    to_prefill: int = 0
    started: bool = False
    generated: int = 0
    first_token_at: float = 0.0
    ended_at: float = 0.0
    preempted: int = 0

    @property
    def tokens(self) -> int:
        return self.traffic.shared_tokens + self.traffic.own_tokens

    @property
    def in_time(self) -> bool:
        return 0 < self.first_token_at <= self.arrived_at + self.traffic.objective_s


@dataclass
class SimulatedEngine:
    """One engine; `cache` has the tokens of its cached parts, the least recently used first."""

    id: str
    kind: EngineKind
    slowdown: Slowdown
    queue: deque[Run] = field(default_factory=deque)
    running: list[Run] = field(default_factory=list)
    cache: OrderedDict[str, int] = field(default_factory=OrderedDict)
    stepping: bool = False
    busy_s: float = 0.0
    preempted: int = 0

    def used_tokens(self) -> int:
        """Return the memory of all runs, with a part that several of them use counted once."""
        parts = {run.part: run.traffic.shared_tokens for run in self.running}
        own = sum(run.traffic.own_tokens + run.generated for run in self.running)
        return sum(parts.values()) + own

    def admit(self) -> None:
        """Start queued runs while there are slots and memory for their prompts."""
        while self.queue and len(self.running) < self.kind.slots:
            run = self.queue[0]
            added = run.traffic.own_tokens
            added += 0 if any(item.part == run.part for item in self.running) else run.traffic.shared_tokens
            if self.running and self.used_tokens() + added > self.kind.memory_tokens:
                return
            self.running.append(self.queue.popleft())
            self._begin(run)

    def _begin(self, run: Run) -> None:
        cached = run.part in self.cache or run.fetched
        run.to_prefill = run.traffic.own_tokens + (0 if cached else run.traffic.shared_tokens) + run.generated
        self.cache[run.part] = run.traffic.shared_tokens
        self.cache.move_to_end(run.part)
        self._evict()

    def _evict(self) -> None:
        in_use = {run.part for run in self.running}
        free = self.kind.memory_tokens - self.used_tokens()
        idle = [(part, tokens) for part, tokens in self.cache.items() if part not in in_use]
        idle_tokens = sum(tokens for _, tokens in idle)
        for part, tokens in idle:
            if idle_tokens <= free:
                return
            del self.cache[part]
            idle_tokens -= tokens

    def preempt(self) -> None:
        """Take back runs, the last started first, until the memory suffices."""
        while len(self.running) > 1 and self.used_tokens() > self.kind.memory_tokens:
            run = self.running.pop()
            run.preempted += 1
            self.preempted += 1
            self.queue.appendleft(run)

    def step(self, now: float) -> tuple[float, list[Run]]:
        """Return the duration of the next step, and the runs that get a token at its end."""
        prefilling = next((run for run in self.running if run.to_prefill > 0), None)
        duration_s = self.kind.step_s
        given = [run for run in self.running if run.to_prefill <= 0]
        if prefilling is not None:
            chunk = min(self.kind.chunk_tokens, prefilling.to_prefill)
            prefilling.to_prefill -= chunk
            work_s = prefill_s(chunk, prefilling.tokens) * PRIOR_TOKENS_PER_S / self.kind.prefill_tokens_s
            duration_s = max(duration_s, work_s)
            if prefilling.to_prefill <= 0:
                given.append(prefilling)
        return duration_s * self.slowdown(now), given


@dataclass
class Outcome:
    """What callers and engines got."""

    runs: list[Run]
    runs_by_engine: dict[str, int]
    busy_s_by_engine: dict[str, float]
    holders_by_part: dict[str, int]
    placed: list[tuple[str, str]]
    state: BoxState

    def share_in_time(self) -> float:
        return sum(run.in_time for run in self.runs) / len(self.runs)

    def busiest(self) -> float:
        """Return the runs of the busiest engine over the mean."""
        counts = self.runs_by_engine.values()
        return max(counts) * len(counts) / sum(counts)

    def preempted(self) -> int:
        return sum(run.preempted > 0 for run in self.runs)

    def first_token_s(self, share: float) -> float:
        """Return the time to the first token that this share of runs stays within."""
        ordered = sorted((run.first_token_at or float("inf")) - run.arrived_at for run in self.runs)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Simulation:
    """Plays traffic over engines. `corrupt` changes the samples that boxes send."""

    def __init__(
        self,
        kinds: Sequence[tuple[EngineKind, Slowdown]],
        seed: int,
        learning: bool = True,
        corrupt: Callable[[SpeedSample], SpeedSample] | None = None,
    ) -> None:
        self.now = START
        self.random = Random(seed)
        self.learning = learning
        self.corrupt = corrupt
        self.engines = {
            f"e-{n}": SimulatedEngine(f"e-{n}", kind, slowdown) for n, (kind, slowdown) in enumerate(kinds)
        }
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.scheduled = 0
        self.runs: list[Run] = []
        self.placed: list[tuple[str, str]] = []
        self.state = self._router_state(kinds[0][0])
        self.router = LocalRouter(self.state, Random(seed))

    def _router_state(self, kind: EngineKind) -> BoxState:
        state = box_state()
        spec = EngineSpec(kind.slots, kind.memory_tokens, BYTES_PER_TOKEN, LINK_BYTES_S, (MODEL,))
        state.catalog = Catalog(1, services_by_id={"llm": ServiceSpec("llm", 1_000, spec)})
        listed = [
            Endpoint(
                name, "llm", f"{name}:1", "hall-a", kind.slots, versions_by_model={MODEL: VERSION}, born=1
            )
            for name in self.engines
        ]
        state.fleet.apply(listed, [], self.now)
        state.version_history_known = True
        state.clock_offset_ms = 0.0
        state.target_version_by_model[MODEL] = VERSION
        state.routers = (Member("b-1"),)
        state.routed_engines = frozenset(self.engines)
        return state

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        self.scheduled += 1
        heappush(self.events, (time, self.scheduled, action))

    def play(self, traffics: Sequence[Traffic], duration_s: float, settle_s: float = 3.0) -> Outcome:
        """Play traffic until all runs have ended; runs of the first `settle_s` seconds are not judged."""
        with virtual_time(lambda: self.now):
            for index, traffic in enumerate(traffics):
                self._schedule_arrivals(index, traffic, START + duration_s)
            for name in self.engines:
                self.at(START + self.random.random() * REPORT_INTERVAL_S, self._reporter(name))
            self.at(START, self._update_role)
            end = START + duration_s
            while self.events and (self.now < end or any(not run.ended_at for run in self.runs)):
                self.now, _, action = heappop(self.events)
                action()
                if self.now > end + 60.0:
                    break
        judged = [run for run in self.runs if run.arrived_at >= START + settle_s]
        counts = {name: sum(run.engine == name for run in judged) for name in self.engines}
        busy = {name: engine.busy_s for name, engine in self.engines.items()}
        holders: dict[str, int] = {}
        for engine in self.engines.values():
            for part in engine.cache:
                holders[part] = holders.get(part, 0) + 1
        return Outcome(judged, counts, busy, holders, self.placed, self.state)

    def _schedule_arrivals(self, index: int, traffic: Traffic, end: float) -> None:
        random = Random(index)
        time, number = START, 0
        while (time := time + random.expovariate(traffic.per_s)) < end:
            number += 1
            part = f"{traffic.name}-{traffic.workspace_of(random)}"
            run = Run(f"{traffic.name} {number}", traffic, part, time)
            self.runs.append(run)
            self.at(time, lambda run=run: self._place(run))

    def _update_role(self) -> None:
        if self.learning:
            self.router.speeds.update(self.now)
        self.at(self.now + ROLE_INTERVAL_S, self._update_role)

    def _reporter(self, name: str) -> Callable[[], None]:
        def report() -> None:
            engine = self.engines[name]
            found = EngineReport(
                running=len(engine.running),
                queued=len(engine.queue),
                next_tokens=engine.queue[0].tokens if engine.queue else 0,
                used_tokens=engine.used_tokens(),
                total_tokens=engine.kind.memory_tokens,
            )
            self.state.apply_report(self.state.fleet.by_id[name], found, self.now)
            # Prompts fetch only while the box's view of the versions is recent.
            observe_versions(self.state, self.now, self.now)
            held = [((SCOPE, part), tokens) for part, tokens in engine.cache.items()]
            self.state.holdings.replace(f"{name}:1", 1, 1, held, self.now)
            self.at(self.now + REPORT_INTERVAL_S, report)

        return report

    def _place(self, run: Run) -> None:
        parts = (PromptPart(run.part, run.traffic.shared_tokens), PromptPart("own", run.traffic.own_tokens))
        waited_s = self.now - run.arrived_at
        request = PlaceRequest(
            run.ticket,
            "b-2",
            "llm",
            MODEL,
            parts,
            run.tokens,
            run.traffic.output,
            "",
            (),
            may_wait=waited_s < run.traffic.objective_s * MAX_PREFILL_WAIT_SHARE,
        )
        reply = self.router.place(request)
        if reply.again_s:
            self.at(self.now + reply.again_s, lambda: self._place(run))
            return
        run.engine, run.sent_at = reply.endpoint, self.now
        run.fetched = bool(reply.fetched)
        self.placed.append((run.ticket, reply.endpoint))
        fetch_s = reply.fetched * BYTES_PER_TOKEN / LINK_BYTES_S + (0.002 if reply.fetched else 0.0)
        self.at(self.now + NETWORK_S + fetch_s, lambda: self._enqueue(run))

    def _enqueue(self, run: Run) -> None:
        engine = self.engines[run.engine]
        engine.queue.append(run)
        self._start_step(engine)

    def _start_step(self, engine: SimulatedEngine) -> None:
        if engine.stepping:
            return
        engine.admit()
        if not engine.running:
            return
        duration_s, given = engine.step(self.now)
        engine.stepping = True
        engine.busy_s += duration_s
        self.at(self.now + duration_s, lambda: self._end_step(engine, given))

    def _end_step(self, engine: SimulatedEngine, given: list[Run]) -> None:
        engine.stepping = False
        for run in given:
            run.generated += 1
            if not run.first_token_at:
                run.first_token_at = self.now + NETWORK_S
                self.at(run.first_token_at, lambda run=run: self.router.prefill_finished(run.ticket))
            if run.generated >= run.traffic.output:
                engine.running.remove(run)
                run.ended_at = self.now + NETWORK_S
                self.at(run.ended_at + NOTICE_S, lambda run=run: self._notify_ended(run))
        engine.preempt()
        self._start_step(engine)

    def _notify_ended(self, run: Run) -> None:
        sample = SpeedSample(
            run.ticket,
            run.first_token_at - run.sent_at,
            run.ended_at - run.first_token_at,
            run.traffic.output,
        )
        self.router.speeds.observe(sample if self.corrupt is None else self.corrupt(sample), self.now)
        self.router.finished(EndedAttempt(run.ticket))


@contextmanager
def virtual_time(clock: Callable[[], float]) -> Iterator[None]:
    """Let all modules of the product read the time from `clock`."""
    replaced = [
        (module, module.monotonic)
        for name, module in list(sys.modules.items())
        if name.startswith("stairquay.") and hasattr(module, "monotonic")
    ]
    try:
        for module, _ in replaced:
            module.monotonic = clock
        yield
    finally:
        for module, original in replaced:
            module.monotonic = original
