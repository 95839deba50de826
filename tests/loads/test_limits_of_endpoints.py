"""Pattern: an endpoint names how many requests a second it takes, and hundreds of boxes press on it.

The product's own decisions on virtual time, for as many boxes as there are: what each believes (`BoxState`),
what it may send (`pacing`), what it hears and is told (`limits`). There is always more to send. A request is
3 ms on its way, and the head of its answer, which names the limit, comes after 100 ms. Boxes and routers tell
each other what they heard each 0.5 s, and before each prompt that a router would place unaware. Figures: 6,
71 and 195 boxes are the deployments', 330 the largest that is planned; an endpoint bears in any 4 s one and a
half times its limit and five more, from 3 s after it named it, from boxes that it told half a second before.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest

from stairquay.core.catalog import Catalog, EngineSpec, ServiceSpec
from stairquay.core.fleet import Endpoint
from stairquay.core.limits import UNLIMITED, LimitReport
from stairquay.core.pace import LIMIT_SHARES, Pacer
from stairquay.serving.following import apply_endpoints
from stairquay.serving.pacing import count_sent, wait_s
from stairquay.serving.ports import EndpointChanges
from stairquay.serving.state import BoxState
from stairquay.serving.statements import apply_limit, limit_of
from stairquay.serving.telling import apply_peer_feedback, feedback_for_peers
from tests.states import box_state

WAY_S = 0.003
ANSWER_S = 0.1
GOSSIP_S = 0.5
TOLD_S = 0.5
KNOWN_S = 3.0
WINDOW_S = 4.0
NAMED_AT = 20.0

ENDS_AT = 45.0
PRESS_PER_S = 60.0
USED = 0.6
"""Share of its limit that an endpoint gets at least while there is more to send."""

FLEETS = (6, 71, 195, 330)
LIMITS = (0.4, 1.0, 2.8, 9.0, 25.0)

ENGINE = Endpoint("e", "llm", "10.0.1.1:1", "hall-a", 8)
PLAIN = Endpoint("p", "plain", "10.0.1.2:1", "hall-a", 8)
CATALOG = Catalog(
    1,
    services_by_id={
        "llm": ServiceSpec("llm", 100, EngineSpec(8, 100_000, 100, 1e9, ("m",))),
        "plain": ServiceSpec("plain", 100),
    },
)

Limit = Callable[[float], float]
"""The limit that the endpoint's answers name at a time, UNLIMITED where they name none."""

Router = Callable[[int, float], int | None]
"""The router that a box asks at a time, by number; None where none answers, and it decides alone."""


def box_of(name: str, boxes: int) -> BoxState:
    state = box_state(name)
    state.catalog = CATALOG
    apply_endpoints(state, EndpointChanges(1, True, (ENGINE, PLAIN)), 0.0)
    state.boxes = tuple(f"b-{number}" for number in range(boxes))
    state.boxes_known_at = 0.0
    return state


@dataclass
class Play:
    """A fleet before one endpoint.

    arrived: when requests reached it, and from which box. told_at_by_box: when each box first passed on an
    answer that named a limit.
    """

    endpoint: Endpoint
    limit: Limit
    boxes: list[BoxState]
    routers: list[BoxState]
    router_of: Router
    seed: int = 1
    arrived: list[tuple[float, int]] = field(default_factory=list)
    told_at_by_box: dict[int, float] = field(default_factory=dict)

    def run(self, until: float = ENDS_AT) -> "Play":
        chance, order = Random(self.seed), count()
        queue: list[tuple[float, int, Callable[[float], None]]] = []

        def later(at: float, what: Callable[[float], None]) -> None:
            heappush(queue, (at, next(order), what))

        def press(now: float) -> None:
            later(now + chance.expovariate(PRESS_PER_S), press)
            box = chance.randrange(len(self.boxes))
            if self._goes(box, now, chance):
                later(now + WAY_S, lambda at: self.arrived.append((at, box)))
                begun = now + WAY_S + ANSWER_S * 0.9
                later(now + ANSWER_S, lambda at: self._answered(box, now, at, self.limit(begun)))

        def gossip(now: float) -> None:
            later(now + GOSSIP_S, gossip)
            for box, state in enumerate(self.boxes):
                router = self.router_of(box, now)
                if router is not None:
                    self._tell_each_other(state, self.routers[router], now)

        later(0.0, press)
        later(0.0, gossip)
        while queue and queue[0][0] < until:
            at, _, what = heappop(queue)
            what(at)
        return self

    def _goes(self, box: int, now: float, chance: Random) -> bool:
        state, router = self.boxes[box], self.router_of(box, now)
        if router is not None and self.endpoint is ENGINE:
            decides = self.routers[router]
            if limit_of(state.endpoint_state(self.endpoint)) < limit_of(
                decides.endpoint_state(self.endpoint)
            ):
                apply_peer_feedback(decides, feedback_for_peers(state, now), now)
            if self._sends(decides, now, chance):
                return True
        return self._sends(state, now, chance)

    def _sends(self, state: BoxState, now: float, chance: Random) -> bool:
        if wait_s(state, self.endpoint, now, chance) > 0:
            return False
        count_sent(state, self.endpoint, now, chance)
        return True

    def _answered(self, box: int, sent_at: float, now: float, per_s: float) -> None:
        state = self.boxes[box]
        apply_limit(
            state, self.endpoint, state.endpoint_state(self.endpoint), LimitReport(per_s, sent_at, now)
        )
        if per_s < UNLIMITED:
            self.told_at_by_box.setdefault(box, now)

    def _tell_each_other(self, first: BoxState, second: BoxState, now: float) -> None:
        if first is not second:
            apply_peer_feedback(second, feedback_for_peers(first, now), now)
            apply_peer_feedback(first, feedback_for_peers(second, now), now)

    def counted(self) -> list[float]:
        """Return when requests arrived from boxes that had been told half a second before."""
        never = float("inf")
        return [at for at, box in self.arrived if self.told_at_by_box.get(box, never) + TOLD_S <= at]

    def windows(self, start: float, end: float) -> list[int]:
        """Return the requests in each window that begins in a span."""
        times, found, start_at = self.counted(), [], start
        while start_at + WINDOW_S <= end:
            found.append(sum(start_at <= at < start_at + WINDOW_S for at in times))
            start_at += 0.1
        return found

    def rate(self, start: float, end: float) -> float:
        """Return the requests a second that the endpoint got, from whichever box."""
        return sum(start <= at < end for at, _ in self.arrived) / (end - start)


def named(per_s: float, at: float = NAMED_AT, until: float = float("inf")) -> Limit:
    return lambda now: per_s if at <= now < until else UNLIMITED


def borne(per_s: float) -> float:
    return 1.5 * per_s * WINDOW_S + 5


def own(*routers: BoxState) -> None:
    """Have routers believe that the engine is theirs."""
    for state in routers:
        state.routed_engines = frozenset({ENGINE.id})


def fleet(boxes: int) -> list[BoxState]:
    return [box_of(f"b-{number}", boxes) for number in range(boxes)]


def routed(boxes: int, limit: Limit, router_of: Router = lambda box, now: 0) -> Play:
    members = fleet(boxes)
    own(members[0])
    return Play(ENGINE, limit, members, members[:2], router_of)


@pytest.mark.parametrize("boxes", FLEETS)
@pytest.mark.parametrize("per_s", LIMITS)
def test_a_router_gives_an_engine_most_of_its_limit_and_never_more_than_it_bears(boxes, per_s):
    play = routed(boxes, named(per_s)).run()
    assert max(play.windows(NAMED_AT + KNOWN_S, ENDS_AT)) <= borne(per_s)
    assert play.rate(NAMED_AT + 5, ENDS_AT) >= USED * per_s


@pytest.mark.parametrize("boxes", FLEETS)
@pytest.mark.parametrize("per_s", LIMITS)
def test_boxes_that_no_router_answers_stay_below_it_together(boxes, per_s):
    for endpoint in (ENGINE, PLAIN):
        play = Play(endpoint, named(per_s), fleet(boxes), [], lambda box, now: None).run()
        assert max(play.windows(NAMED_AT + KNOWN_S, ENDS_AT)) <= borne(per_s)


@pytest.mark.parametrize("boxes", FLEETS)
@pytest.mark.parametrize("per_s", (2.8, 9.0, 25.0))
def test_a_plain_endpoint_gets_most_of_its_limit_from_all_boxes_together(boxes, per_s):
    play = Play(PLAIN, named(per_s), fleet(boxes), fleet(2), lambda box, now: box % 2).run(90.0)
    assert max(play.windows(NAMED_AT + KNOWN_S, 90.0)) <= borne(per_s)
    assert play.rate(NAMED_AT + 5, 90.0) >= USED * per_s


@pytest.mark.parametrize("boxes", FLEETS)
@pytest.mark.parametrize("per_s", LIMITS)
def test_two_routers_and_boxes_that_ask_none_stay_below_it_while_the_engine_changes_hands(boxes, per_s):
    """A third of the boxes each ask the one before, ask the one that took over, and ask nobody."""
    play = routed(boxes, named(per_s), lambda box, now: (0, 1, None)[box % 3] if now > 15 else 0)
    own(play.routers[1])
    play.run()
    assert max(play.windows(NAMED_AT + KNOWN_S, ENDS_AT)) <= borne(per_s)


@pytest.mark.parametrize("boxes", FLEETS)
def test_a_router_that_starts_anew_is_told_by_the_first_box_that_asks(boxes):
    per_s, anew_at = 9.0, 30.0
    play = routed(boxes, named(per_s), lambda box, now: 0 if now < anew_at else 1)
    own(play.routers[1])
    play.run()
    assert max(play.windows(NAMED_AT + KNOWN_S, ENDS_AT)) <= borne(per_s)
    assert play.rate(anew_at + 1, ENDS_AT) >= USED * per_s


@pytest.mark.parametrize("boxes", (6, 71))
def test_a_fleet_that_has_grown_by_three_quarters_stays_below_it_before_all_know(boxes):
    per_s = 9.0
    members = [*fleet(boxes), *(box_of(f"new-{number}", boxes) for number in range(boxes * 3 // 4))]
    play = Play(PLAIN, named(per_s), members, [], lambda box, now: None).run()
    assert max(play.windows(NAMED_AT + KNOWN_S, ENDS_AT)) <= borne(per_s)


def test_boxes_that_have_just_started_and_know_no_others_stay_below_it():
    per_s, members = 9.0, fleet(195)
    for state in members:
        state.boxes, state.boxes_known_at = (state.settings.id,), float("-inf")
    play = Play(PLAIN, named(per_s), members, [], lambda box, now: None).run()
    assert max(play.windows(NAMED_AT + KNOWN_S, ENDS_AT)) <= borne(per_s)


@pytest.mark.parametrize("boxes", FLEETS)
def test_a_limit_that_changes_is_kept_to_whether_it_falls_or_rises(boxes):
    def limit(now: float) -> float:
        return UNLIMITED if now < NAMED_AT else 9.0 if now < 30 else 1.0 if now < 40 else 20.0

    play = routed(boxes, limit).run(55.0)
    assert max(play.windows(NAMED_AT + KNOWN_S, 30)) <= borne(9.0)
    assert max(play.windows(30 + KNOWN_S, 40)) <= borne(1.0)
    assert max(play.windows(40, 55)) <= borne(20.0)
    assert play.rate(45, 55) >= USED * 20.0


@pytest.mark.parametrize("boxes", FLEETS)
@pytest.mark.parametrize("per_s", (0.0, 0.01, 1.0))
def test_the_end_of_a_limit_is_heard_of_by_all_also_where_the_endpoint_took_nothing(boxes, per_s):
    play = routed(boxes, named(per_s, until=40.0)).run(60.0)
    assert max(play.windows(NAMED_AT + KNOWN_S, 40.0)) <= borne(per_s)
    assert play.rate(50, 60) >= 0.9 * PRESS_PER_S
    assert all(limit_of(state.endpoint_state(ENGINE)) == UNLIMITED for state in play.boxes)


@pytest.mark.parametrize("boxes", FLEETS)
def test_the_end_of_a_limit_of_a_plain_endpoint_is_heard_of_by_all(boxes):
    play = Play(PLAIN, named(3.0, until=40.0), fleet(boxes), fleet(2), lambda box, now: box % 2).run(60.0)
    assert play.rate(50, 60) >= 0.9 * PRESS_PER_S


@pytest.mark.parametrize("share", (0.9, 1.0))
def test_two_routers_that_each_spent_nearly_all_of_a_limit_would_pass_it(share):
    """The ways that lost."""
    per_s = 9.0
    paces = [Pacer(0.0), Pacer(0.0)]
    sent = 0
    for step in range(400):
        for pace in paces:
            if pace.wait_s(step / 100, per_s * share, LIMIT_SHARES.burst) <= 0:
                pace.take(step / 100, per_s * share)
                sent += 1
    assert sent > borne(per_s)
