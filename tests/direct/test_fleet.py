"""Tests of copies of shared objects, relay policies and the budget of extra legs."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heatherpick._fleet.copies import (
    Change,
    Listing,
    LocalCopy,
    StoredObject,
)
from heatherpick._fleet.freshness import Freshness
from heatherpick._fleet.nodes import NodeEntry
from heatherpick._fleet.relays import AVOID_S, TIMEOUT_AVOID_S, RelayPolicy
from heatherpick._serving.extras import (
    BURST_SHARE,
    REFILL_SHARE,
    USED_SHARE,
    ExtraLegBudget,
)


class Consumer:
    def __init__(self):
        self.objects = {}
        self.n_changes = 0

    def replace(self, objects):
        self.objects = {each.name: each.value for each in objects}

    def change(self, objects):
        self.n_changes += 1
        for each in objects:
            if each.is_deleted:
                self.objects.pop(each.name, None)
            else:
                self.objects[each.name] = each.value


def make_copy(objects=(("one", 1), ("two", 2)), revision=10):
    consumer = Consumer()
    copy = LocalCopy("kind", consumer)
    listed = tuple(StoredObject(name, value) for name, value in objects)
    copy.apply_listing(Listing(listed, revision))
    return copy, consumer


def change(revision, name, value, is_deleted=False):
    return Change(revision, StoredObject(name, value, is_deleted))


# Copies


def test_older_listing_is_ignored():
    copy, consumer = make_copy()
    copy.apply_listing(Listing((), 9))
    assert consumer.objects == {"one": 1, "two": 2}


def test_newer_listing_passes_on_only_the_differences():
    copy, consumer = make_copy()
    listed = (StoredObject("one", 1), StoredObject("three", 3))
    copy.apply_listing(Listing(listed, 12))
    assert consumer.objects == {"one": 1, "three": 3}
    names = {each.object.name for each in copy.find_changes(10)}
    assert names == {"two", "three"}


def test_change_from_two_sources_is_applied_once():
    copy, consumer = make_copy()
    for _ in range(2):
        copy.apply_changes([change(11, "one", 5)], 11)
    assert (consumer.n_changes, consumer.objects["one"]) == (1, 5)


def test_change_older_than_the_copy_is_ignored():
    copy, consumer = make_copy()
    copy.apply_changes([change(12, "one", 7)], 12)
    copy.apply_changes([change(11, "one", 5)], 11)
    copy.apply_changes([change(11, "one", 5), change(13, "two", 9)], 13)
    assert consumer.objects == {"one": 7, "two": 9}


def test_incomplete_history_gives_no_changes():
    copy, _ = make_copy()
    for revision in range(11, 400):
        copy.apply_changes([change(revision, "one", revision)], revision)
    assert copy.find_changes(10) is None
    assert [each.revision for each in copy.find_changes(397)] == [398, 399]


@settings(max_examples=200, deadline=None)
@given(st.data())
def test_copy_updated_from_any_mix_of_sources_equals_the_store(data):
    """Changes arrive in overlapping parts, mixed with listings, some of them stale."""
    rng = random.Random(data.draw(st.integers(0, 2**32)))
    state, log = {}, []
    for revision in range(11, 40):
        name = rng.choice("abcde")
        deleted = rng.random() < 0.3
        state = {k: v for k, v in state.items() if k != name}
        if not deleted:
            state[name] = revision
        log.append((change(revision, name, revision, deleted), dict(state)))
    copy, consumer = make_copy((), 10)
    states = {10: {}} | {each.revision: state for each, state in log}
    while copy.revision < 39:
        until = rng.randint(copy.revision + 1, 39)
        since = rng.randint(10, copy.revision)
        if rng.random() < 0.2:
            objects = tuple(StoredObject(k, v) for k, v in states[until].items())
            copy.apply_listing(Listing(objects, until))
        else:
            changes = [each for each, _ in log if since < each.revision <= until]
            copy.apply_changes(changes, until)
        if rng.random() < 0.3:
            stale = rng.randint(10, copy.revision)
            objects = tuple(StoredObject(k, v) for k, v in states[stale].items())
            copy.apply_listing(Listing(objects, stale))
        assert consumer.objects == states[copy.revision]


# Relays


FRESHNESS = Freshness(3.0)


@pytest.mark.parametrize("max_staleness_s", [2.0, 3.0, 5.0])
def test_worst_case_delay_of_a_change_is_within_the_largest_staleness(
    max_staleness_s,
):
    freshness = Freshness(max_staleness_s)
    check_s, listing_s = 0.25, 0.1
    # A watch stalls: the next read of the revision, and a new listing.
    assert (
        freshness.revision_interval_s + freshness.watch_grace_s + listing_s
        < max_staleness_s
    )
    # All relays lose the store without an error, just after a contact.
    assert freshness.stale_after_s + check_s + listing_s < max_staleness_s
    # Without failures no node becomes stale.
    assert (
        freshness.revision_interval_s + freshness.poll_wait_s < freshness.stale_after_s
    )


def make_nodes(n_nodes, n_data_centres=4):
    return [
        NodeEntry(f"10.0.{n // 200}.{n % 200}:7000", "", f"dc-{n % n_data_centres}")
        for n in range(n_nodes)
    ]


NODES = make_nodes(12)


def make_policy(node, nodes=NODES, now=0.0, seed=7):
    seeds = [each.address for each in nodes[:3]]
    policy = RelayPolicy(
        node.address,
        node.data_centre,
        seeds,
        FRESHNESS.stale_after_s,
        now,
        random.Random(f"{seed} {node.address}"),
    )
    for each in nodes:
        policy.set_member(each.address, each)
    policy.use_members()
    return policy


def find_non_relay(nodes=NODES):
    """Return a node that is no relay."""
    return next(node for node in nodes if not make_policy(node, nodes).is_relay)


def test_all_nodes_with_the_same_list_choose_the_same_two_relays():
    relays = [node.address for node in NODES if make_policy(node).is_relay]
    assert len(relays) == 2
    for node in NODES:
        polled = make_policy(node).choose_relays(0.0)
        assert set(polled) == set(relays) - {node.address}


def test_large_fleet_spreads_its_nodes_over_more_relays():
    nodes = make_nodes(1400, 15)
    policies = [make_policy(node, nodes) for node in nodes[:300]]
    polled = [each for policy in policies for each in policy.choose_relays(0.0)]
    assert len(set(polled)) == 22
    assert max(polled.count(each) for each in set(polled)) < 5 * len(polled) / 22


def test_relay_of_the_own_data_centre_is_polled_first():
    nodes = make_nodes(1400, 15)
    data_centre_by_address = {node.address: node.data_centre for node in nodes}
    relays = set(make_policy(nodes[0], nodes)._list_relays())
    for node in nodes[:60]:
        with_relay = {data_centre_by_address[each] for each in relays - {node.address}}
        first, _ = make_policy(node, nodes).choose_relays(0.0)
        assert (
            data_centre_by_address[first] == node.data_centre
            or node.data_centre not in with_relay
        )


def test_failed_relay_is_avoided_and_polled_again_later():
    policy = make_policy(find_non_relay())
    first = policy.choose_relays(0.0)
    policy.record_failure(first[0], 0.0, is_timeout=True)
    policy.record_failure(first[1], 0.0, is_timeout=False)
    assert policy.choose_relays(0.1) == []
    assert policy.choose_relays(AVOID_S + 0.1) == [first[1]]
    assert policy.choose_relays(TIMEOUT_AVOID_S + 0.1) == first


def test_node_without_a_fresh_source_probes_the_store_within_the_largest_staleness():
    policy = make_policy(find_non_relay())
    (one, *_) = policy.choose_relays(0.0)
    policy.record_response(one, {one: 4.5}, 5.0)
    stale_at = 4.5 + FRESHNESS.stale_after_s
    assert not policy.is_probe_due(stale_at - 0.1)
    assert policy.choose_random_peer(stale_at - 0.1) is None
    now, n_steps = stale_at + 0.001, 0
    while not policy.is_probe_due(now):
        now, n_steps = now + 0.05, n_steps + 1
    assert now - 4.5 < FRESHNESS.max_staleness_s
    assert policy.choose_random_peer(now) is not None


def test_node_whose_relays_have_all_lost_the_store_probes_before_it_is_stale():
    policy = make_policy(find_non_relay())
    now = 5.0
    for each in policy.choose_relays(now):
        policy.record_response(each, {each: 4.9}, now)
    assert policy.choose_random_peer(now) is None
    for each in policy.choose_relays(now):
        policy.record_response(each, {}, now)
    assert policy.choose_random_peer(now) is not None
    times = [now + 0.05 * step for step in range(16)]
    assert any(policy.is_probe_due(at) for at in times)
    assert not policy.is_stale(now + 0.8)


def test_temporary_relay_ends_once_a_relay_is_a_fresh_source():
    policy = make_policy(find_non_relay())
    relay, _ = policy.choose_relays(0.0)
    policy.record_store_contact(10.0)
    assert policy.follows_store
    policy.record_response(relay, {relay: 0.0}, 10.5)
    assert policy.follows_store
    policy.record_response(relay, {relay: 10.9}, 11.0)
    assert not policy.follows_store


def test_temporary_relay_ends_when_it_loses_the_store():
    policy = make_policy(find_non_relay())
    policy.record_store_contact(10.0)
    policy.record_store_loss()
    assert not policy.follows_store


def test_two_of_many_temporary_relays_remain():
    others = [node for node in NODES if not make_policy(node).is_relay]
    policies = {node.address: make_policy(node) for node in others}
    for policy in policies.values():
        policy.record_store_contact(10.0)
    for address, policy in policies.items():
        for other in policies.keys() - {address}:
            policy.record_response(other, {other: 10.0}, 10.1)
    assert sum(policy.follows_store for policy in policies.values()) == 2


def test_source_named_by_a_peer_is_polled_directly():
    policy = make_policy(find_non_relay())
    for relay in policy.choose_relays(0.0):
        policy.record_failure(relay, 9.0, is_timeout=True)
    peer, source = [n.address for n in NODES if n.address not in policy._list_relays()][
        -2:
    ]
    policy.record_response(peer, {source: 9.0}, 9.1)
    assert policy.choose_relays(9.1) == [source]
    assert not policy.is_stale(9.1)


def test_peer_without_recent_store_contact_does_not_count_as_a_source():
    policy = make_policy(find_non_relay())
    for now in (1.0, 2.0, 3.0, 4.0):
        for each in policy.choose_relays(now):
            policy.record_response(each, {each: now - FRESHNESS.max_staleness_s}, now)
    assert policy.is_stale(4.0)


def test_own_store_contact_reported_back_by_a_peer_is_ignored():
    """Two nodes that poll each other must not keep an old contact fresh."""
    one, other = make_policy(NODES[0]), make_policy(NODES[1])
    one.record_store_contact(1.0)
    for step in range(100):
        now = 1.05 + 0.1 * step
        for poller, polled, node in ((other, one, NODES[0]), (one, other, NODES[1])):
            sources = {each: now - age for each, age in polled.list_sources(now)}
            poller.record_response(node.address, sources, now)
        assert one.is_stale(now) == other.is_stale(now) == (now > 1.0 + 2.1)


def test_relay_that_has_lost_the_store_drops_other_relays_that_lost_it():
    one, other = [make_policy(node) for node in NODES if make_policy(node).is_relay]
    names = [node.address for node in NODES if make_policy(node).is_relay]
    for policy in (one, other):
        policy.record_store_contact(10.0)
    one.record_response(names[1], {names[1]: 10.0}, 10.1)
    one.record_store_loss()
    assert one.knows_source(10.2)
    one.record_response(names[1], {}, 10.2)
    assert not one.knows_source(10.2)


def test_relay_that_only_names_other_sources_is_avoided():
    policy = make_policy(find_non_relay())
    relay, other = policy.choose_relays(0.0)
    policy.record_response(relay, {"10.9.9.9:1": 4.9, other: 4.8}, 5.0)
    assert policy.choose_relays(5.0) == [other, "10.9.9.9:1"]
    assert not policy.is_stale(5.0)


def test_peer_that_claims_store_contact_is_polled_before_it_counts_as_a_source():
    policy = make_policy(find_non_relay())
    for relay in policy.choose_relays(0.0):
        policy.record_response(relay, {}, 9.0)
    policy.record_request("10.9.9.9:1", True, 9.0)
    assert policy.choose_relays(9.0) == ["10.9.9.9:1"]
    assert policy.is_stale(9.0)
    policy.record_response("10.9.9.9:1", {}, 9.1)
    assert policy.choose_relays(9.1) == []


def test_node_without_a_node_list_polls_its_seeds_and_then_probes_the_store():
    node = NODES[5]
    seeds = ["10.0.0.1:1", node.address]
    rng = random.Random(3)
    policy = RelayPolicy(node.address, "dc-0", seeds, 2.0, 0.0, rng)
    assert policy.n_nodes == 0
    assert policy.is_relay
    assert policy.choose_relays(0.0) == ["10.0.0.1:1"]
    policy = RelayPolicy("10.0.0.7:1", "dc-0", seeds, 2.0, 0.0, rng)
    assert not policy.is_relay
    assert set(policy.choose_relays(0.0)) == set(seeds)
    assert policy.choose_random_peer(0.5) is None
    times = [0.1 * step for step in range(60)]
    assert any(policy.is_probe_due(now) for now in times if now < 3.5)
    policy.record_request("10.0.0.8:1", False, 3.0)
    assert policy.choose_random_peer(3.5) in {*seeds, "10.0.0.8:1"}


# Extra legs


@pytest.mark.parametrize("n_nodes", [1, 2, 12, 18, 112])
@pytest.mark.parametrize("restarts", [False, True])
def test_extra_legs_of_all_nodes_stay_within_the_fleets_allowance(n_nodes, restarts):
    share, slack, window_s, per_s = 0.2, 10.0 * n_nodes, 10.0, 3.0
    nodes = [ExtraLegBudget(share, slack) for _ in range(n_nodes)]
    for node in nodes:
        node.set_node_share(1 / n_nodes)
    n_requests = n_spent = 0
    steps = int(window_s * per_s)
    for step in range(steps):
        now = step / per_s
        if restarts and step == steps // 2:
            nodes = [ExtraLegBudget(share, slack) for _ in range(n_nodes)]
            for node in nodes:
                node.set_node_share(1 / n_nodes)
        for node in nodes:
            n_requests += 1
            node.deposit("service", now)
            while node.try_withdraw("service", now):
                n_spent += 1
    assert n_spent <= share * n_requests + slack


def test_parts_of_the_allowance_do_not_exceed_it():
    assert 2 * BURST_SHARE + REFILL_SHARE <= 1.0
    assert USED_SHARE < 1.0


def test_unknown_number_of_nodes_counts_as_large():
    budget = ExtraLegBudget(0.0, 100.0)
    budget.deposit("service", 0.0)
    assert budget.try_withdraw("service", 0.0)
    assert not budget.try_withdraw("service", 0.0)
