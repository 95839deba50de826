"""A few engines, one router and its callers on virtual time, for loads that test admission.

An engine has slots and memory, prefills one prompt after another, and then generates one token per step for
all runs. It queues by priority. Figures: 16 slots, 96,895 tokens of memory (a router plans with 92,000), 125
prompt tokens per ms, 3.27 ms a step.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from stairquay.core.placement import RUN_DURATION_S
from stairquay.core.prompt_queue import Admitted, Decision, Deferred, PromptQueue, Rejected, RoomRequest
from stairquay.core.room import EngineAccount, Room

SLOTS = 16
MEMORY_TOKENS = 92_000.0
PREFILL_TOKENS_PER_S = 125_000.0
STEP_S = 0.00327
HOP_S = 0.002
"""Seconds of a message's way between boxes."""
DURATION_WEIGHT = 0.05


@dataclass(frozen=True)
class Kind:
    """A kind of prompts. read: tokens that no cache has."""

    name: str
    tokens: int
    read: int
    output: int
    objective_s: float
    limit_s: float
    priority: int


REVIEW = Kind("review", 11_992, 2_870, 38, 1.245, 10.4, 2)
CHAT = Kind("chat", 827, 177, 29, 0.419, 10.5, 0)
CHECK = Kind("check", 2_368, 507, 2, 0.422, 2.6, 1)


@dataclass
class Prompt:
    """A caller's prompt. refused: how often. waited_s: the longest time before a refusal."""

    number: int
    kind: Kind
    workspace: str
    arrived_at: float
    asked_at: float = 0.0
    engine: int = -1
    first_token_at: float | None = None
    refused: int = 0
    waited_s: float = 0.0
    gave_up: bool = False

    @property
    def ticket(self) -> str:
        return f"{self.number} {self.refused}"

    @property
    def latency_s(self) -> float:
        return float("inf") if self.first_token_at is None else self.first_token_at - self.arrived_at

    @property
    def in_time(self) -> bool:
        return self.latency_s <= self.kind.objective_s

    @property
    def answered_in_time(self) -> bool:
        """Whether the answer came in time after the last attempt."""
        return (
            self.first_token_at is not None and self.first_token_at - self.asked_at <= self.kind.objective_s
        )


@dataclass
class Engine:
    """An engine's queue and runs; `slots` may change."""

    slots: int = SLOTS
    queue: list[tuple[int, int, Prompt]] = field(default_factory=list)
    running: int = 0
    used_tokens: int = 0
    prefill_until: float = 0.0


Policy = Callable[[PromptQueue, RoomRequest, list[Room], float], Decision]


def wait_at_router(queue: PromptQueue, request: RoomRequest, rooms: list[Room], now: float) -> Decision:
    return queue.decide(request, rooms, now)


@dataclass
class Model:
    """All of it. impatient: share of callers that retry at once; leaving: share that disconnect early.

    halls: data halls, each with a router, its queue and its part of the engines. A prompt's workspace tells
    its data hall, whose router is asked first; the others are asked where it defers or refuses.
    """

    random: Random
    policy: Policy = wait_at_router
    engine_count: int = 3
    halls: int = 1
    impatient: float = 0.0
    leaving: float = 0.0
    now: float = 0.0
    prompts: list[Prompt] = field(default_factory=list)
    duration_s_by_priority: dict[int, float] = field(default_factory=dict)
    asked: int = 0
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    numbers: count = field(default_factory=count)

    def __post_init__(self) -> None:
        self.queues = [PromptQueue() for _ in range(self.halls)]
        self.engines = [Engine() for _ in range(self.engine_count)]
        self.accounts = [EngineAccount(SLOTS, MEMORY_TOKENS) for _ in range(self.engine_count)]

    def at(self, when: float, action: Callable[[], None]) -> None:
        heappush(self.events, (when, next(self.numbers), action))

    def load(
        self, kind: Kind, per_s: float, start: float, end: float, workspaces: tuple[str, ...] = ("w",)
    ) -> None:
        """Let prompts arrive at random times."""
        when = start
        while (when := when + self.random.expovariate(per_s)) < end:
            prompt = Prompt(len(self.prompts), kind, self.random.choice(workspaces), when)
            self.prompts.append(prompt)
            self.at(when, lambda prompt=prompt: self.arrive(prompt))

    def halve(self, start: float, end: float) -> None:
        """Halve the slots of all engines for a time, which their router does not know."""

        def resize(slots: int) -> None:
            for engine in self.engines:
                engine.slots = slots
                self._start(engine)

        self.at(start, lambda: resize(SLOTS // 2))
        self.at(end, lambda: resize(SLOTS))

    def run(self) -> None:
        while self.events:
            self.now, _, action = heappop(self.events)
            action()

    def arrive(self, prompt: Prompt) -> None:
        prompt.asked_at = self.now
        if self.random.random() < self.leaving:
            self.at(self.now + 0.01, lambda: setattr(prompt, "gave_up", True))
        self.ask(prompt)

    def ask(self, prompt: Prompt) -> None:
        self.at(self.now + HOP_S, lambda: self.decide(prompt))

    def decide(self, prompt: Prompt) -> None:
        if prompt.gave_up:
            return
        self.asked += 1
        kind, waited_s = prompt.kind, self.now - prompt.asked_at
        tokens = kind.tokens + kind.output
        request = RoomRequest(
            prompt.ticket,
            kind.priority,
            prompt.workspace,
            tokens,
            kind.objective_s - waited_s,
            kind.limit_s - (self.now - prompt.arrived_at),
            waited_s,
            kind.read / PREFILL_TOKENS_PER_S,
            str(prompt.number),
        )
        match self._ask_routers(request, prompt.workspace):
            case Admitted(engine):
                self._admit(prompt, int(engine), tokens)
            case Deferred(again_s):
                self.at(self.now + HOP_S + again_s, lambda: self.ask(prompt))
            case Rejected(retry_after_s):
                prompt.refused += 1
                prompt.waited_s = max(prompt.waited_s, self.now + HOP_S - prompt.asked_at)
                back_at = (
                    self.now + HOP_S + (0.01 if self.random.random() < self.impatient else retry_after_s)
                )
                if back_at < prompt.arrived_at + kind.limit_s:
                    self.at(back_at, lambda: self.arrive(prompt))

    def _ask_routers(self, request: RoomRequest, workspace: str) -> Decision:
        """Ask the router of the own data hall, and the others for a better answer."""
        home = int(workspace[-1]) if self.halls > 1 else 0
        answers: list[Decision] = []
        for hall in sorted(range(self.halls), key=lambda hall: hall != home):
            rooms = [
                account.room(str(n), request.tokens, self.now, request.priority)
                for n, account in enumerate(self.accounts)
                if n % self.halls == hall
            ]
            # Like placement, prefers the engine that prefills least.
            rooms.sort(key=lambda room: (self.engines[int(room.engine)].prefill_until, -room.free_slots))
            answers.append(self.policy(self.queues[hall], request, rooms, self.now))
            if isinstance(answers[-1], Admitted):
                for other in self.queues:
                    other.leave(request.ticket)
                return answers[-1]
        return next((item for item in answers if isinstance(item, Deferred)), answers[0])

    def _admit(self, prompt: Prompt, engine: int, tokens: int) -> None:
        expected_s = self.duration_s_by_priority.get(prompt.kind.priority, RUN_DURATION_S)
        self.accounts[engine].place(str(prompt.number), tokens, expected_s, self.now, prompt.kind.priority)
        prompt.engine = engine
        self.engines[engine].queue.append((prompt.kind.priority, prompt.number, prompt))
        self.engines[engine].queue.sort(key=lambda item: item[:2])
        self._start(self.engines[engine])

    def _start(self, engine: Engine) -> None:
        while engine.queue and engine.running < engine.slots:
            prompt = engine.queue[0][2]
            tokens = prompt.kind.tokens + prompt.kind.output
            if engine.used_tokens + tokens > MEMORY_TOKENS:
                return
            engine.queue.pop(0)
            engine.running += 1
            engine.used_tokens += tokens
            engine.prefill_until = (
                max(engine.prefill_until, self.now) + prompt.kind.read / PREFILL_TOKENS_PER_S
            )
            step_s = STEP_S * (1 + 0.02 * engine.running)
            prompt.first_token_at = engine.prefill_until + step_s
            end = engine.prefill_until + prompt.kind.output * step_s
            self.at(end, lambda prompt=prompt, start=self.now: self._end(engine, prompt, start))

    def _end(self, engine: Engine, prompt: Prompt, started_at: float) -> None:
        engine.running -= 1
        engine.used_tokens -= prompt.kind.tokens + prompt.kind.output
        self.at(self.now + HOP_S, lambda: self._told(prompt, self.now - started_at))
        self._start(engine)

    def _told(self, prompt: Prompt, ran_s: float) -> None:
        self.accounts[prompt.engine].end(str(prompt.number), self.now)
        known_s = self.duration_s_by_priority.get(prompt.kind.priority, ran_s)
        self.duration_s_by_priority[prompt.kind.priority] = known_s + DURATION_WEIGHT * (ran_s - known_s)

    def of(self, kind: Kind, workspace: str = "") -> list[Prompt]:
        """Return the prompts of a kind whose callers stayed."""
        return [
            item
            for item in self.prompts
            if item.kind is kind and not item.gave_up and workspace in ("", item.workspace)
        ]

    def share_in_time(self, kind: Kind, workspace: str = "") -> float:
        found = self.of(kind, workspace)
        return sum(item.in_time for item in found) / len(found)
