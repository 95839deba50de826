"""Load: routers do not answer in time, and all boxes place their prompts alone.

Prompts of many conversations, a quarter of them of one, reach 16 boxes that have no view of the engines. Each
box knows its own requests in progress only.
"""

from collections import Counter, defaultdict, deque
from random import Random

from stairquay.core.call import Part, PromptShape
from stairquay.core.catalog import Catalog, EngineSpec, ServiceSpec
from stairquay.core.fleet import Endpoint
from stairquay.serving.endpoint_choice import ChoiceRequest, choose_endpoint
from stairquay.serving.state import BoxState
from tests.states import box_state

BOXES, ENGINES, SLOTS = 16, 19, 16
CONVERSATIONS, PROMPTS = 200, 4_000
HOT_SHARE = 0.25
IN_PROGRESS = 96
"""Prompts in progress at a time over all boxes, a third of the engines' slots."""

SERVICE = ServiceSpec("llm", 600, EngineSpec(SLOTS, 96_895, 35_136, 1e9))
CATALOG = Catalog(1, services_by_id={"llm": SERVICE})


def box(number: int) -> BoxState:
    state = box_state(f"b-{number}")
    state.catalog = CATALOG
    state.boxes = tuple(f"b-{n}" for n in range(BOXES))
    listed = [Endpoint(f"e-{n}", "llm", f"10.0.1.{n}:1", "hall-a", SLOTS) for n in range(ENGINES)]
    state.fleet.apply(listed, [], 0.0)
    return state


def play(seed: int) -> dict[str, Counter[str]]:
    """Return how many prompts of each conversation each engine got."""
    random = Random(seed)
    boxes = [box(number) for number in range(BOXES)]
    in_progress: deque = deque()
    found: dict[str, Counter[str]] = defaultdict(Counter)
    for _ in range(PROMPTS):
        hot = random.random() < HOT_SHARE
        conversation = "hot" if hot else f"c-{random.randrange(CONVERSATIONS)}"
        prompt = PromptShape(
            "m", (Part("common", 512), Part(conversation, 8_610), Part("own", 2_870)), 11_992
        )
        state = random.choice(boxes)
        choice = choose_endpoint(state, CATALOG, ChoiceRequest(SERVICE, prompt), random)
        assert choice is not None
        found[conversation][choice.endpoint.id] += 1
        endpoint_state = state.endpoint_state(choice.endpoint)
        endpoint_state.in_flight += 1
        in_progress.append(endpoint_state)
        if len(in_progress) > IN_PROGRESS:
            in_progress.popleft().in_flight -= 1
    return found


def test_conversations_stay_at_few_engines_and_a_hot_one_spreads():
    """Guards against prompts whose shared parts every engine has to prefill, since boxes choose at random.

    With random engines, 0.3 of the prompts reach one that has prefilled their conversation before.
    """
    for seed in (1, 2, 3):
        found = play(seed)
        total = sum(found.values(), Counter())
        assert max(total.values()) < 1.6 * total.total() / ENGINES
        hot = found.pop("hot")
        assert len(hot) > 4 and max(hot.values()) < 0.5 * hot.total()
        prompts = sum(engines.total() for engines in found.values())
        first_prompts = sum(len(engines) for engines in found.values())
        assert 1 - first_prompts / prompts > 0.6
