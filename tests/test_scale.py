"""Routing, limits, retries, membership and configuration at the target fleet size, in one process."""

from collections import Counter
from random import Random

from stairquay.core.admission import FairQueue, WorkspaceLimits
from stairquay.core.configuration import Configuration, merge
from stairquay.core.errors import Refusal
from stairquay.core.load import EndpointLoad, LoadReport
from stairquay.core.membership import Membership
from stairquay.core.models import Box, BoxKind, BoxList, BoxState, EngineCosts, Workspace
from stairquay.core.ownership import rank_owners
from stairquay.core.residency import EngineCaches, Segment, StoredBlockIndex
from stairquay.core.retry import RetryBudget
from stairquay.core.routing import Candidate, Demand, choose, least_loaded
from stairquay.core.row import Row

NODES = 330
ENGINES = 1_800
WORKSPACES = 820
CHANGES = 5_300
ENGINES_PER_MODEL = ENGINES // 17
COSTS = EngineCosts()


def node_names(count):
    return [f"node-{number}" for number in range(count)]


def family(number):
    return number.to_bytes(16, "big")


def test_families_spread_over_the_nodes_and_a_lost_node_moves_only_its_own():
    nodes = node_names(NODES)
    owners = [rank_owners(family(number), nodes)[0] for number in range(6_600)]
    max_owned = max(Counter(owners).values())
    assert max_owned < 2.5 * len(owners) / NODES
    remaining_nodes = nodes[1:]
    old_owners_of_moved = [
        old_owner
        for number, old_owner in enumerate(owners)
        if rank_owners(family(number), remaining_nodes)[0] != old_owner
    ]
    assert set(old_owners_of_moved) == {nodes[0]}


def test_a_data_hall_lost_leaves_its_families_spread_over_all_others():
    nodes = node_names(NODES)
    lost_nodes = set(nodes[: NODES // 8])
    remaining_nodes = [node for node in nodes if node not in lost_nodes]
    new_owner_counts = Counter()
    for number in range(4_000):
        order = rank_owners(family(number), nodes)
        if order[0] in lost_nodes:
            new_owner_counts[rank_owners(family(number), remaining_nodes)[0]] += 1
    assert sum(new_owner_counts.values()) > 350 and max(new_owner_counts.values()) < 12


def count_placements(policy, router_count=40, prompts=5):
    """Return the prompts that each engine of a model gets while all routers see one stale report."""
    rng = Random(5)
    prompt_counts = Counter()
    for _ in range(router_count):
        loads = {f"r{number}": EndpointLoad() for number in range(ENGINES_PER_MODEL)}
        for number, load in enumerate(loads.values()):
            load.on_report(LoadReport(taken_at=0.0, queued_tokens=5_000 + number * 10), 0.1)
        for _ in range(prompts):
            candidates = [
                Candidate(name, "v", load.queued_tokens(0.1, COSTS.prefill_tokens_s))
                for name, load in loads.items()
            ]
            decision = policy(Demand(8_000, 0.8), candidates, COSTS, rng)
            loads[decision.endpoint].on_sent(decision.missing_tokens, 0.1)
            prompt_counts[decision.endpoint] += 1
    return prompt_counts


def test_routers_with_the_same_stale_report_do_not_pile_on_one_runner():
    choose_counts, least_loaded_counts = count_placements(choose), count_placements(least_loaded)
    assert max(least_loaded_counts.values()) >= 40
    assert max(choose_counts.values()) <= 10
    assert len(least_loaded_counts) == 5 and len(choose_counts) > 45


def test_the_nodes_together_keep_a_workspace_within_its_limit():
    boxes = [WorkspaceLimits() for _ in range(NODES)]
    workspace = Workspace("w", rate_s=5_000, burst=5_000, max_in_flight=10_000)
    admitted = 0
    for _ in range(60):
        for box in boxes:
            if box.admit(workspace, 1 / NODES, 0.0) is None:
                admitted += 1
    assert 0.9 * 5_000 <= admitted <= 5_000


def test_one_of_820_workspaces_floods_and_the_others_still_go_in_turn():
    queue = FairQueue(16, max_wait_s=6.0, mean_slot_s=0.1)
    flood = Workspace("flood", weight=4.0)
    refused = sum(isinstance(queue.offer(flood), Refusal) for _ in range(5_000))
    other_tickets = {queue.offer(Workspace(f"w{number}")).number for number in range(WORKSPACES - 1)}
    granted = []
    while len(granted) < 1_100:
        ticket = queue.grant()
        if ticket is None:
            queue.release(0.1)
            continue
        granted.append(ticket.number)
    assert refused > 3_000
    assert other_tickets <= set(granted)
    assert len(queue.finish_tags) <= 20


def test_the_budget_bounds_attempts_at_every_share_of_failures():
    rng = Random(2)
    for failure_rate in (0.1, 0.5, 1.0):
        budget = RetryBudget()
        attempts = 0
        for _ in range(10_000):
            budget.on_request()
            attempts += 1
            while rng.random() < failure_rate and budget.take():
                attempts += 1
        assert attempts <= 11_010, failure_rate


def box_list(state_of, as_of):
    rows = [
        Box(f"r{number}", BoxKind.ENGINE, {"http": "192.0.2.1:1"}, "", state_of(number), "1")
        for number in range(ENGINES)
    ]
    return BoxList(as_of, tuple(rows))


def test_no_leaving_runner_of_1800_is_usable_whoever_says_so():
    membership = Membership()
    membership.on_list(box_list(lambda number: BoxState.LEAVING if number < 21 else BoxState.LIVE, 2))
    for number in range(21, 211):
        membership.on_leaving(f"r{number}", "1")
    assert not membership.on_list(box_list(lambda _: BoxState.LIVE, 1))
    usable = [number for number in range(ENGINES) if membership.usable(f"r{number}") is not None]
    assert usable == list(range(211, ENGINES))


def test_a_days_changes_reach_the_same_state_by_whatever_deltas():
    rng = Random(9)
    rows = [Row(f"config/workspace/{rng.randrange(WORKSPACES)}", str(n), n) for n in range(1, CHANGES + 1)]
    expected = {row.key: row for row in rows}
    for _ in range(20):
        configuration = Configuration()
        while configuration.revision < CHANGES:
            target_revision = min(CHANGES, configuration.revision + rng.randrange(1, 900))
            changed_rows = {row.key: row for row in rows[configuration.revision : target_revision]}
            if rng.random() < 0.3:
                configuration = merge(
                    configuration, tuple(rows[: target_revision // 2]), target_revision // 2
                )
            configuration = merge(configuration, tuple(changed_rows.values()), target_revision)
        assert configuration.rows_by_key == expected


def test_a_new_owner_learns_kept_context_from_the_catalogues_alone():
    index, rebuilt = StoredBlockIndex(), StoredBlockIndex()
    for number in range(3_000):
        ids = tuple(f"{number}-{block}" for block in range(30))
        segment = Segment(f"s{number}", ids, ids, 35_840_000, "v1")
        index.add(f"store-{number % 8}", segment)
    for store, segments in index.segments_by_store.items():
        for segment in segments.values():
            rebuilt.add(store, segment)
    assert rebuilt.locations_by_block == index.locations_by_block
    assert len(rebuilt.contiguous_blocks("store-0", tuple(f"0-{block}" for block in range(30)), 0)) == 30


def test_a_restarted_runner_leaves_nothing_behind():
    caches = EngineCaches()
    for number in range(200):
        caches.of(f"r{number}").touch(f"{number}-{block}" for block in range(100))
    caches.reset("r7")
    assert caches.of("r7").prefix_length(("7-0",)) == 0
    assert caches.of("r8").prefix_length(("8-0", "8-1")) == 2
