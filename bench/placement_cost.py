"""Measures the CPU time of one placement on 10, 30 and 70 engines, and its largest costs.

All engines belong to the measuring router. Half of them hold each shared part, as do two of four store boxes.
"""

import cProfile
import pstats
import time
from random import Random

from stairquay.adapters.clock import monotonic
from stairquay.core.call import Part, PromptShape
from stairquay.core.catalog import Catalog, EngineSpec, ServiceSpec, StoreSpec
from stairquay.core.fleet import Endpoint
from stairquay.core.holdings import PartKey
from stairquay.core.routers import Member
from stairquay.serving.endpoint_choice import ChoiceRequest
from stairquay.serving.event_log import EventLog
from stairquay.serving.ports import EngineReport
from stairquay.serving.saving import choose_with_save_targets
from stairquay.serving.settings import BoxSettings
from stairquay.serving.state import BoxState

ENGINE_COUNTS = (10, 30, 70)
SHARED_PARTS = 20
BOXES = 82
RUNS = 2_000
REPEATS = 5
PROFILE_LINES = 24
SCOPE = "/m/1"
"""Scope of the model `m` at version 1 for workspaces that share context."""


def router_state(engines: int, random: Random) -> tuple[BoxState, Catalog]:
    """Return the state and catalog of a router that owns all engines, with random load and caches."""
    state = BoxState(BoxSettings("b-1", "10.0.0.1", "hall-a", "a:1", "a:2"), EventLog("b-1"))
    spec = EngineSpec(16, 96_895, 131_072, 3e9, ("m",))
    stores = {
        f"s-{n}": StoreSpec(f"s-{n}", f"10.0.2.{n}:1", "hall-a", 10_000_000, 1e9, 0.001) for n in range(4)
    }
    state.catalog = Catalog(1, services_by_id={"llm": ServiceSpec("llm", 100, spec)}, stores_by_id=stores)
    halls = ("hall-a", "hall-b", "hall-c")
    listed = [
        Endpoint(f"e-{n}", "llm", f"10.0.1.{n}:1", halls[n % 3], 16, versions_by_model={"m": 1})
        for n in range(engines)
    ]
    state.fleet.apply(listed, [], monotonic())
    state.version_history_known = True
    state.target_version_by_model["m"] = 1
    state.routers = (Member("b-1"),)
    state.boxes = tuple(f"b-{n}" for n in range(BOXES))
    state.routed_engines = frozenset(item.id for item in listed)
    now = monotonic()
    for item in listed:
        held = _random_parts(random)
        state.holdings.replace(item.address, 1, 1, held, now)
        report = EngineReport(
            running=random.randrange(16), used_tokens=random.randrange(60_000), total_tokens=96_895
        )
        state.endpoint_state(item).on_report(report, now)
    for store in stores.values():
        state.holdings.replace(store.address, 1, 1, _random_parts(random), now)
    return state, state.catalog


def _random_parts(random: Random) -> list[tuple[PartKey, int]]:
    return [((SCOPE, f"part-{n}"), 4_561) for n in range(SHARED_PARTS) if random.random() < 0.5]


def choice_requests(catalog: Catalog, random: Random, count: int) -> list[ChoiceRequest]:
    """Return requests for prompts of two shared parts and one of their own, each sent by a random box."""
    requests = []
    for number in range(count):
        shared = [Part(f"part-{random.randrange(SHARED_PARTS)}", 4_561) for _ in range(2)]
        prompt = PromptShape("m", (*shared, Part(f"own-{number}", 2_870)), 11_992, 38)
        sender = f"b-{random.randrange(BOXES)}"
        requests.append(ChoiceRequest(catalog.services_by_id["llm"], prompt, sender=sender))
    return requests


def measure(engines: int) -> float:
    """Return the microseconds of CPU time of one placement, the least of several repeats."""
    random = Random(engines)
    state, catalog = router_state(engines, random)
    requests = choice_requests(catalog, random, RUNS // 10)
    best_s = float("inf")
    for _ in range(REPEATS):
        _refresh(state)
        started_s = time.process_time()
        for request in requests:
            choose_with_save_targets(state, catalog, request, random)
        best_s = min(best_s, time.process_time() - started_s)
    return best_s / len(requests) * 1e6


def _refresh(state: BoxState) -> None:
    """Make all reports and cache contents recent."""
    now = monotonic()
    for endpoint_state in state.endpoints_by_id.values():
        endpoint_state.reported_at = now
    for holding in state.holdings.by_address.values():
        holding.updated_at = now


def profile(engines: int) -> None:
    """Print the functions with the largest own time."""
    random = Random(engines)
    state, catalog = router_state(engines, random)
    requests = choice_requests(catalog, random, RUNS // 10)
    profiler = cProfile.Profile()
    profiler.enable()
    for request in requests:
        choose_with_save_targets(state, catalog, request, random)
    profiler.disable()
    pstats.Stats(profiler).sort_stats("tottime").print_stats(PROFILE_LINES)


def main() -> None:
    """Print the cost for each number of engines, then the profile of the largest."""
    for engines in ENGINE_COUNTS:
        print(f"{engines} engines: {measure(engines):.0f} us")
    profile(ENGINE_COUNTS[-1])


if __name__ == "__main__":
    main()
