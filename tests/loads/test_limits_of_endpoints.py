"""Pattern: an endpoint states a rate limit in its answers, and hundreds of boxes offer more than that.

Boxes and routers exchange feedback each 0.5 s, and before a prompt that a router would place unaware of the
limit. Figures: 6, 71 and 195 boxes are the deployments', 330 the largest planned. From 3 s after it first
stated a limit, an endpoint takes one and a half times that and five more in any 4 s, from boxes that got it
half a second before.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property
from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest

from stairquay.core.catalog import Catalog, EngineSpec, ServiceSpec
from stairquay.core.fleet import Endpoint
from stairquay.core.limits import UNLIMITED, LimitReport
from stairquay.core.pace import LIMIT_SHARES, Pacer
from stairquay.serving.following import apply_endpoints
from stairquay.serving.forwarding import MAX_HOLDERS_ASKED
from stairquay.serving.holders import boxes_to_ask
from stairquay.serving.pacing import count_sent, wait_s
from stairquay.serving.ports import EndpointChanges
from stairquay.serving.state import BoxState
from stairquay.serving.statements import apply_limit, limit_of
from stairquay.serving.telling import apply_peer_feedback, feedback_for_peers
from tests.states import box_state

NETWORK_LATENCY_S = 0.003
RESPONSE_TIME_S = 0.1
GOSSIP_INTERVAL_S = 0.5
REACTION_S = 0.5
MAX_PROPAGATION_S = 3.0
WINDOW_S = 4.0
LIMIT_STARTS_AT = 20.0

ENDS_AT = 45.0
OFFERED_PER_S = 60.0
MIN_UTILIZATION = 0.6
"""Minimum share of its limit that an endpoint gets while more is offered."""

FLEET_SIZES = (6, 71, 195, 330)
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

LimitAt = Callable[[float], float]
"""The limit stated in the endpoint's answers at a time, or UNLIMITED."""

RouterLookup = Callable[[int, float], int | None]
"""The number of the router that a box asks at a time, or None where none answers."""


def make_box(name: str, boxes: int) -> BoxState:
    state = box_state(name)
    state.catalog = CATALOG
    apply_endpoints(state, EndpointChanges(1, True, (ENGINE, PLAIN)), 0.0)
    state.boxes = tuple(f"b-{number}" for number in range(boxes))
    state.boxes_known_at = 0.0
    return state


def others_to_ask(state: BoxState, now: float, random: Random) -> list[str]:
    """Return the boxes that a box passes a plain request on to, one after another, as the product does."""
    holders = sorted(boxes_to_ask(state, PLAIN.service, (), now, random))
    return random.sample(holders, min(MAX_HOLDERS_ASKED, len(holders)))


@dataclass
class Simulation:
    """A fleet that sends to one endpoint.

    pick_box: the number of the box that the next request comes to. offered_at: when requests came. arrived:
    when they reached the endpoint, and from which box. informed_at_by_box: when each box first got an answer
    with a limit.
    """

    endpoint: Endpoint
    limit: LimitAt
    boxes: list[BoxState]
    routers: list[BoxState]
    router_of: RouterLookup
    seed: int = 1
    offered_per_s: float = OFFERED_PER_S
    pick_box: Callable[[float, Random], int] | None = None
    offered_at: list[float] = field(default_factory=list)
    arrived: list[tuple[float, int]] = field(default_factory=list)
    informed_at_by_box: dict[int, float] = field(default_factory=dict)

    def run(self, until: float = ENDS_AT) -> "Simulation":
        random, sequence = Random(self.seed), count()
        queue: list[tuple[float, int, Callable[[float], None]]] = []

        def schedule(at: float, callback: Callable[[float], None]) -> None:
            heappush(queue, (at, next(sequence), callback))

        def send_request(now: float) -> None:
            schedule(now + random.expovariate(self.offered_per_s), send_request)
            pick = self.pick_box
            asked = random.randrange(len(self.boxes)) if pick is None else pick(now, random)
            self.offered_at.append(now)
            box = self._try_send(asked, now, random)
            if box is not None:
                schedule(now + NETWORK_LATENCY_S, lambda at: self.arrived.append((at, box)))
                response_sent_at = now + NETWORK_LATENCY_S + RESPONSE_TIME_S * 0.9
                schedule(
                    now + RESPONSE_TIME_S,
                    lambda at: self._on_response(box, now, at, self.limit(response_sent_at)),
                )

        def gossip(now: float) -> None:
            schedule(now + GOSSIP_INTERVAL_S, gossip)
            for box, state in enumerate(self.boxes):
                router = self.router_of(box, now)
                if router is not None:
                    self._exchange_feedback(state, self.routers[router], now)

        schedule(0.0, send_request)
        schedule(0.0, gossip)
        while queue and queue[0][0] < until:
            at, _, callback = heappop(queue)
            callback(at)
        return self

    def _try_send(self, box: int, now: float, random: Random) -> int | None:
        """Send a request that came to a box, or pass it on; return the number of the box that has sent it."""
        state, router = self.boxes[box], self.router_of(box, now)
        if router is not None and self.endpoint is ENGINE:
            router_state = self.routers[router]
            if limit_of(state.endpoint_state(self.endpoint)) < limit_of(
                router_state.endpoint_state(self.endpoint)
            ):
                apply_peer_feedback(router_state, feedback_for_peers(state, now), now)
            if self._send_if_allowed(router_state, now, random):
                return box
        if self.endpoint is PLAIN:
            for holder in others_to_ask(state, now, random):
                number = self.number_by_name.get(holder)
                if number is not None and self._send_if_allowed(self.boxes[number], now, random):
                    return number
        return box if self._send_if_allowed(state, now, random) else None

    @cached_property
    def number_by_name(self) -> dict[str, int]:
        return {state.settings.id: number for number, state in enumerate(self.boxes)}

    def _send_if_allowed(self, state: BoxState, now: float, random: Random) -> bool:
        if wait_s(state, self.endpoint, now, random) > 0:
            return False
        count_sent(state, self.endpoint, now, random)
        return True

    def _on_response(self, box: int, sent_at: float, now: float, per_s: float) -> None:
        state = self.boxes[box]
        apply_limit(
            state, self.endpoint, state.endpoint_state(self.endpoint), LimitReport(per_s, sent_at, now)
        )
        if per_s < UNLIMITED:
            self.informed_at_by_box.setdefault(box, now)

    def _exchange_feedback(self, first: BoxState, second: BoxState, now: float) -> None:
        if first is not second:
            apply_peer_feedback(second, feedback_for_peers(first, now), now)
            apply_peer_feedback(first, feedback_for_peers(second, now), now)

    def arrivals_from_informed(self) -> list[float]:
        """Return the arrival times of requests from boxes that knew the limit for REACTION_S."""
        never = float("inf")
        return [at for at, box in self.arrived if self.informed_at_by_box.get(box, never) + REACTION_S <= at]

    def window_counts(self, start: float, end: float) -> list[int]:
        """Return the requests in each window within a span."""
        times, counts, start_at = self.arrivals_from_informed(), [], start
        while start_at + WINDOW_S <= end:
            counts.append(sum(start_at <= at < start_at + WINDOW_S for at in times))
            start_at += 0.1
        return counts

    def rate(self, start: float, end: float) -> float:
        """Return the requests per second that the endpoint got from all boxes."""
        return sum(start <= at < end for at, _ in self.arrived) / (end - start)


def constant_limit(per_s: float, at: float = LIMIT_STARTS_AT, until: float = float("inf")) -> LimitAt:
    return lambda now: per_s if at <= now < until else UNLIMITED


def max_in_window(per_s: float) -> float:
    return 1.5 * per_s * WINDOW_S + 5


def assign_engine(*routers: BoxState) -> None:
    """Make routers take the engine as their own."""
    for state in routers:
        state.routed_engines = frozenset({ENGINE.id})


def make_fleet(boxes: int) -> list[BoxState]:
    return [make_box(f"b-{number}", boxes) for number in range(boxes)]


def routed_simulation(boxes: int, limit: LimitAt, router_of: RouterLookup = lambda box, now: 0) -> Simulation:
    members = make_fleet(boxes)
    assign_engine(members[0])
    return Simulation(ENGINE, limit, members, members[:2], router_of)


@pytest.mark.parametrize("boxes", FLEET_SIZES)
@pytest.mark.parametrize("per_s", LIMITS)
def test_a_router_gives_an_engine_most_of_its_limit_and_never_more_than_it_bears(boxes, per_s):
    simulation = routed_simulation(boxes, constant_limit(per_s)).run()
    assert max(simulation.window_counts(LIMIT_STARTS_AT + MAX_PROPAGATION_S, ENDS_AT)) <= max_in_window(per_s)
    assert simulation.rate(LIMIT_STARTS_AT + 5, ENDS_AT) >= MIN_UTILIZATION * per_s


@pytest.mark.parametrize("boxes", FLEET_SIZES)
@pytest.mark.parametrize("per_s", LIMITS)
def test_boxes_that_no_router_answers_stay_below_it_together(boxes, per_s):
    for endpoint in (ENGINE, PLAIN):
        simulation = Simulation(
            endpoint, constant_limit(per_s), make_fleet(boxes), [], lambda box, now: None
        ).run()
        assert max(simulation.window_counts(LIMIT_STARTS_AT + MAX_PROPAGATION_S, ENDS_AT)) <= max_in_window(
            per_s
        )


@pytest.mark.parametrize("boxes", FLEET_SIZES)
@pytest.mark.parametrize("per_s", (2.8, 9.0, 25.0))
def test_a_plain_endpoint_gets_most_of_its_limit_from_all_boxes_together(boxes, per_s):
    simulation = Simulation(
        PLAIN, constant_limit(per_s), make_fleet(boxes), make_fleet(2), lambda box, now: box % 2
    ).run(90.0)
    assert max(simulation.window_counts(LIMIT_STARTS_AT + MAX_PROPAGATION_S, 90.0)) <= max_in_window(per_s)
    assert simulation.rate(LIMIT_STARTS_AT + 5, 90.0) >= MIN_UTILIZATION * per_s


@pytest.mark.parametrize("boxes", FLEET_SIZES)
@pytest.mark.parametrize("per_s", LIMITS)
def test_two_routers_and_boxes_that_ask_none_stay_below_it_while_the_engine_changes_hands(boxes, per_s):
    """A third of the boxes ask the old router, a third the new one, and a third none."""
    simulation = routed_simulation(
        boxes, constant_limit(per_s), lambda box, now: (0, 1, None)[box % 3] if now > 15 else 0
    )
    assign_engine(simulation.routers[1])
    simulation.run()
    assert max(simulation.window_counts(LIMIT_STARTS_AT + MAX_PROPAGATION_S, ENDS_AT)) <= max_in_window(per_s)


@pytest.mark.parametrize("boxes", FLEET_SIZES)
def test_a_router_that_starts_anew_is_told_by_the_first_box_that_asks(boxes):
    per_s, restarted_at = 9.0, 30.0
    simulation = routed_simulation(
        boxes, constant_limit(per_s), lambda box, now: 0 if now < restarted_at else 1
    )
    assign_engine(simulation.routers[1])
    simulation.run()
    assert max(simulation.window_counts(LIMIT_STARTS_AT + MAX_PROPAGATION_S, ENDS_AT)) <= max_in_window(per_s)
    assert simulation.rate(restarted_at + 1, ENDS_AT) >= MIN_UTILIZATION * per_s


@pytest.mark.parametrize("boxes", (6, 71))
def test_a_fleet_that_has_grown_by_three_quarters_stays_below_it_before_all_know(boxes):
    per_s = 9.0
    members = [*make_fleet(boxes), *(make_box(f"new-{number}", boxes) for number in range(boxes * 3 // 4))]
    simulation = Simulation(PLAIN, constant_limit(per_s), members, [], lambda box, now: None).run()
    assert max(simulation.window_counts(LIMIT_STARTS_AT + MAX_PROPAGATION_S, ENDS_AT)) <= max_in_window(per_s)


def test_boxes_that_have_just_started_and_know_no_others_stay_below_it():
    per_s, members = 9.0, make_fleet(195)
    for state in members:
        state.boxes, state.boxes_known_at = (state.settings.id,), float("-inf")
    simulation = Simulation(PLAIN, constant_limit(per_s), members, [], lambda box, now: None).run()
    assert max(simulation.window_counts(LIMIT_STARTS_AT + MAX_PROPAGATION_S, ENDS_AT)) <= max_in_window(per_s)


@pytest.mark.parametrize("boxes", FLEET_SIZES)
def test_a_limit_that_changes_is_kept_to_whether_it_falls_or_rises(boxes):
    def limit(now: float) -> float:
        return UNLIMITED if now < LIMIT_STARTS_AT else 9.0 if now < 30 else 1.0 if now < 40 else 20.0

    simulation = routed_simulation(boxes, limit).run(55.0)
    assert max(simulation.window_counts(LIMIT_STARTS_AT + MAX_PROPAGATION_S, 30)) <= max_in_window(9.0)
    assert max(simulation.window_counts(30 + MAX_PROPAGATION_S, 40)) <= max_in_window(1.0)
    assert max(simulation.window_counts(40, 55)) <= max_in_window(20.0)
    assert simulation.rate(45, 55) >= MIN_UTILIZATION * 20.0


@pytest.mark.parametrize("boxes", FLEET_SIZES)
@pytest.mark.parametrize("per_s", (0.0, 0.01, 1.0))
def test_the_end_of_a_limit_is_heard_of_by_all_also_where_the_endpoint_took_nothing(boxes, per_s):
    simulation = routed_simulation(boxes, constant_limit(per_s, until=40.0)).run(60.0)
    assert max(simulation.window_counts(LIMIT_STARTS_AT + MAX_PROPAGATION_S, 40.0)) <= max_in_window(per_s)
    assert simulation.rate(50, 60) >= 0.9 * OFFERED_PER_S
    assert all(limit_of(state.endpoint_state(ENGINE)) == UNLIMITED for state in simulation.boxes)


@pytest.mark.parametrize("boxes", FLEET_SIZES)
def test_the_end_of_a_limit_of_a_plain_endpoint_is_heard_of_by_all(boxes):
    simulation = Simulation(
        PLAIN, constant_limit(3.0, until=40.0), make_fleet(boxes), make_fleet(2), lambda box, now: box % 2
    ).run(60.0)
    assert simulation.rate(50, 60) >= 0.9 * OFFERED_PER_S


@pytest.mark.parametrize("share", (0.9, 1.0))
def test_two_routers_that_each_spent_nearly_all_of_a_limit_would_pass_it(share):
    """Shows that the router share of LIMIT_SHARES must be lower than these."""
    per_s = 9.0
    pacers = [Pacer(0.0), Pacer(0.0)]
    sent = 0
    for step in range(400):
        for pacer in pacers:
            if pacer.wait_s(step / 100, per_s * share, LIMIT_SHARES.burst) <= 0:
                pacer.take(step / 100, per_s * share)
                sent += 1
    assert sent > max_in_window(per_s)
