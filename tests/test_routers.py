"""Selection of routers and followers among boxes, and assignment of engines to routers."""

from math import ceil

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from stairquay.core.routers import (
    BOXES_PER_ROUTER,
    MIN_ENGINES_PER_ROUTER,
    Engine,
    Member,
    capacity,
    engines_of,
    pick_followers,
    pick_placing_routers,
    pick_routers,
    routers_for,
)

HALLS = ("hall-a", "hall-b", "hall-c")


def boxes(count: int, halls: tuple[str, ...] = HALLS, box_capacity: float = 0.2) -> list[Member]:
    return [Member(f"b{n}", f"10.0.0.{n}:1", box_capacity, halls[n % len(halls)]) for n in range(count)]


def test_a_lone_box_routes_for_itself_and_of_a_few_two_at_least_do():
    assert pick_routers(boxes(1)) == tuple(boxes(1))
    assert pick_routers(boxes(2, ("hall-a",))) == tuple(boxes(2, ("hall-a",)))
    for count in range(3, 10):
        assert len(pick_routers(boxes(count, ("hall-a",)))) == 2


def test_each_hall_has_a_router_and_large_boxes_go_first():
    members = boxes(85)
    members[70] = replace(members[70], capacity=1.0)
    routers = pick_routers(members)
    assert [router.data_hall for router in sorted(routers, key=lambda item: item.data_hall)] == list(HALLS)
    assert members[70] in routers
    assert pick_routers(list(reversed(members))) == routers


def test_two_routers_follow_the_table_service_and_the_next_takes_over():
    routers = pick_routers(boxes(85))
    assert pick_followers(routers) == list(routers[:2])
    assert pick_followers(routers[1:]) == list(routers[1:3])
    assert pick_followers(routers[:1]) == [routers[0]]


def test_large_halls_have_several_routers_and_one_hall_has_two():
    assert len(pick_routers(boxes(3 * BOXES_PER_ROUTER + 3))) == 6
    assert len(pick_routers(boxes(20, ("hall-a",)))) == 2


def test_boxes_that_cannot_be_reached_never_route():
    members = [replace(box, address="") for box in boxes(30)]
    assert pick_routers(members) == ()
    members[4] = replace(members[4], address="10.0.0.4:1")
    assert pick_routers(members) == (members[4],)


def test_a_box_asks_a_router_of_its_own_hall_first_and_knows_whom_to_ask_next():
    routers = pick_routers(boxes(85))
    for box in boxes(85):
        order = routers_for(box, routers)
        assert order[0].data_hall == box.data_hall
        assert sorted(order, key=lambda item: item.id) == list(routers)


@given(st.integers(0, 70), st.integers(2, 7), st.sampled_from((HALLS, ("hall-a",), ("hall-z",))))
def test_every_engine_has_exactly_one_router_and_none_has_more_than_an_even_share(engines, count, halls):
    routers = boxes(count)
    all_engines = [Engine(f"e{n}", halls[n % len(halls)]) for n in range(engines)]
    shares = [engines_of(router.id, all_engines, routers) for router in routers]
    assert sorted(name for share in shares for name in share) == sorted(engine.id for engine in all_engines)
    if halls == ("hall-z",):
        assert max(map(len, shares)) <= ceil(engines / count)
    if halls == HALLS:
        for hall in HALLS:
            hall_shares = [
                share for router, share in zip(routers, shares, strict=True) if router.data_hall == hall
            ]
            hall_engines = sum(engine.data_hall == hall for engine in all_engines)
            assert not hall_shares or sum(map(len, hall_shares)) >= hall_engines


def test_where_engines_are_few_only_some_routers_place_and_the_next_takes_over():
    routers = pick_routers(boxes(30))
    assert len(routers) == 3
    assert pick_placing_routers(routers, 5) == [routers[0]] and pick_placing_routers(routers[1:], 5) == [
        routers[1]
    ]
    assert pick_placing_routers(routers, 2 * MIN_ENGINES_PER_ROUTER) == list(routers[:2])
    assert pick_placing_routers(routers, 56) == list(routers) and pick_placing_routers([], 5) == []


def test_the_engines_of_a_router_that_is_gone_are_shared_out():
    routers = boxes(3)
    all_engines = [Engine(f"e{n}", HALLS[n % 3]) for n in range(30)]
    remaining_shares = [engines_of(router.id, all_engines, routers[1:]) for router in routers[1:]]
    assert sum(map(len, remaining_shares)) == 30 and min(map(len, remaining_shares)) >= 13
    assert engines_of(routers[0].id, all_engines, routers[1:]) == frozenset()


def test_capacity_is_bound_by_what_a_box_has_least_of():
    assert capacity(2.0, 1_000.0) == 1.0
    assert capacity(2.0, 5.0) == capacity(0.05, 1_000.0) == 0.1
