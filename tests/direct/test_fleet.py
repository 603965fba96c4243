"""Copies of shared objects, and whom a node asks."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heatherpick._fleet.copies import (
    Change,
    Listing,
    SharedCopy,
    StoredObject,
)
from heatherpick._fleet.freshness import Freshness
from heatherpick._fleet.nodes import NodeEntry
from heatherpick._fleet.relays import AVOID_S, SILENT_AVOID_S, RelayPlan
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
    copy = SharedCopy("kind", consumer)
    listed = tuple(StoredObject(name, value) for name, value in objects)
    copy.take_listing(Listing(listed, revision))
    return copy, consumer


def change(revision, name, value, is_deleted=False):
    return Change(revision, StoredObject(name, value, is_deleted))


# Copies


def test_older_listing_is_passed_over():
    copy, consumer = make_copy()
    copy.take_listing(Listing((), 9))
    assert consumer.objects == {"one": 1, "two": 2}


def test_newer_listing_tells_only_what_differs():
    copy, consumer = make_copy()
    listed = (StoredObject("one", 1), StoredObject("three", 3))
    copy.take_listing(Listing(listed, 12))
    assert consumer.objects == {"one": 1, "three": 3}
    names = {each.object.name for each in copy.find_changes(10)}
    assert names == {"two", "three"}


def test_change_that_is_known_from_another_source_is_taken_once():
    copy, consumer = make_copy()
    for _ in range(2):
        copy.take_changes([change(11, "one", 5)], 11)
    assert (consumer.n_changes, consumer.objects["one"]) == (1, 5)


def test_change_older_than_the_copy_never_comes_back():
    copy, consumer = make_copy()
    copy.take_changes([change(12, "one", 7)], 12)
    copy.take_changes([change(11, "one", 5)], 11)
    copy.take_changes([change(11, "one", 5), change(13, "two", 9)], 13)
    assert consumer.objects == {"one": 7, "two": 9}


def test_history_that_is_forgotten_is_not_told_as_whole():
    copy, _ = make_copy()
    for revision in range(11, 400):
        copy.take_changes([change(revision, "one", revision)], revision)
    assert copy.find_changes(10) is None
    assert [each.revision for each in copy.find_changes(397)] == [398, 399]


@settings(max_examples=200, deadline=None)
@given(st.data())
def test_copies_fed_by_any_mix_of_sources_agree_with_the_store(data):
    """The store's history reaches a follower by two relays, in pieces, out of order."""
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
            copy.take_listing(Listing(objects, until))
        else:
            piece = [each for each, _ in log if since < each.revision <= until]
            copy.take_changes(piece, until)
        if rng.random() < 0.3:
            stale = rng.randint(10, copy.revision)
            objects = tuple(StoredObject(k, v) for k, v in states[stale].items())
            copy.take_listing(Listing(objects, stale))
        assert consumer.objects == states[copy.revision]


# Relays


FRESHNESS = Freshness(3.0)


@pytest.mark.parametrize("bound_s", [2.0, 3.0, 5.0])
def test_news_are_known_within_the_bound_when_every_step_is_at_its_worst(bound_s):
    fresh = Freshness(bound_s)
    look_s, listing_s = 0.25, 0.1
    # A watch is silent: the next question for the revision, and the relisting.
    assert fresh.revision_s + fresh.explain_s + listing_s < bound_s
    # All relays are silently cut from the store, just after they heard it.
    assert fresh.alone_s + look_s + listing_s < bound_s
    # A calm fleet does not take its relays for stale.
    assert fresh.revision_s + fresh.poll_s < fresh.alone_s


def make_nodes(n_nodes, n_data_centres=4):
    return [
        NodeEntry(f"10.0.{n // 200}.{n % 200}:7000", "", f"dc-{n % n_data_centres}")
        for n in range(n_nodes)
    ]


NODES = make_nodes(12)


def make_plan(node, nodes=NODES, now=0.0, seed=7):
    seeds = [each.address for each in nodes[:3]]
    plan = RelayPlan(
        node.address,
        node.data_centre,
        seeds,
        FRESHNESS.alone_s,
        now,
        random.Random(f"{seed} {node.address}"),
    )
    for each in nodes:
        plan.set_member(each.address, each)
    plan.settle()
    return plan


def find_other(nodes=NODES):
    """Return a node that is no relay."""
    return next(node for node in nodes if not make_plan(node, nodes).is_relay)


def test_all_nodes_with_the_same_list_choose_the_same_two_relays():
    relays = [node.address for node in NODES if make_plan(node).is_relay]
    assert len(relays) == 2
    for node in NODES:
        asked = make_plan(node).choose_relays(0.0)
        assert set(asked) == set(relays) - {node.address}


def test_large_fleet_spreads_its_nodes_over_more_relays():
    nodes = make_nodes(1400, 15)
    plans = [make_plan(node, nodes) for node in nodes[:300]]
    asked = [each for plan in plans for each in plan.choose_relays(0.0)]
    assert len(set(asked)) == 22
    assert max(asked.count(each) for each in set(asked)) < 5 * len(asked) / 22


def test_relay_of_the_own_data_centre_is_asked_first():
    nodes = make_nodes(1400, 15)
    places = {node.address: node.data_centre for node in nodes}
    relays = set(make_plan(nodes[0], nodes)._list_relays())
    for node in nodes[:60]:
        near = {places[each] for each in relays - {node.address}}
        first, _ = make_plan(node, nodes).choose_relays(0.0)
        assert places[first] == node.data_centre or node.data_centre not in near


def test_relay_that_fails_is_passed_over_and_tried_again_later():
    plan = make_plan(find_other())
    first = plan.choose_relays(0.0)
    plan.note_failure(first[0], 0.0, is_silent=True)
    plan.note_failure(first[1], 0.0, is_silent=False)
    assert plan.choose_relays(0.1) == []
    assert plan.choose_relays(AVOID_S + 0.1) == [first[1]]
    assert plan.choose_relays(SILENT_AVOID_S + 0.1) == first


def test_node_without_a_fresh_relay_asks_the_store_within_the_bound():
    plan = make_plan(find_other())
    (one, *_) = plan.choose_relays(0.0)
    plan.note_answer(one, {one: 4.5}, 5.0)
    alone_at = 4.5 + FRESHNESS.alone_s
    assert not plan.is_probe_due(alone_at - 0.1)
    assert plan.choose_peer(alone_at - 0.1) is None
    now, n_steps = alone_at + 0.001, 0
    while not plan.is_probe_due(now):
        now, n_steps = now + 0.05, n_steps + 1
    assert now - 4.5 < FRESHNESS.bound_s
    assert plan.choose_peer(now) is not None


def test_node_whose_relays_have_all_lost_the_store_does_not_wait_to_be_alone():
    plan = make_plan(find_other())
    now = 5.0
    for each in plan.choose_relays(now):
        plan.note_answer(each, {each: 4.9}, now)
    assert plan.choose_peer(now) is None
    for each in plan.choose_relays(now):
        plan.note_answer(each, {}, now)
    assert plan.choose_peer(now) is not None
    times = [now + 0.05 * step for step in range(16)]
    assert any(plan.is_probe_due(at) for at in times)
    assert not plan.is_alone(now + 0.8)


def test_node_whose_question_was_answered_stands_in_until_a_relay_is_heard():
    plan = make_plan(find_other())
    relay, _ = plan.choose_relays(0.0)
    plan.note_store(10.0)
    assert plan.follows_store
    plan.note_answer(relay, {relay: 0.0}, 10.5)
    assert plan.follows_store
    plan.note_answer(relay, {relay: 10.9}, 11.0)
    assert not plan.follows_store


def test_node_that_loses_the_store_stands_in_no_more():
    plan = make_plan(find_other())
    plan.note_store(10.0)
    plan.note_store_lost()
    assert not plan.follows_store


def test_two_of_many_that_stand_in_go_on():
    others = [node for node in NODES if not make_plan(node).is_relay]
    plans = {node.address: make_plan(node) for node in others}
    for plan in plans.values():
        plan.note_store(10.0)
    for address, plan in plans.items():
        for other in plans.keys() - {address}:
            plan.note_answer(other, {other: 10.0}, 10.1)
    assert sum(plan.follows_store for plan in plans.values()) == 2


def test_word_that_came_by_others_is_asked_for_at_its_source():
    plan = make_plan(find_other())
    for relay in plan.choose_relays(0.0):
        plan.note_failure(relay, 9.0, is_silent=True)
    peer, source = [n.address for n in NODES if n.address not in plan._list_relays()][
        -2:
    ]
    plan.note_answer(peer, {source: 9.0}, 9.1)
    assert plan.choose_relays(9.1) == [source]
    assert not plan.is_alone(9.1)


def test_peer_that_has_not_heard_the_store_lately_does_not_count():
    plan = make_plan(find_other())
    for now in (1.0, 2.0, 3.0, 4.0):
        for each in plan.choose_relays(now):
            plan.note_answer(each, {each: now - FRESHNESS.bound_s}, now)
    assert plan.is_alone(4.0)


def test_own_word_that_comes_back_by_a_peer_is_no_news():
    """Two nodes that ask each other must not keep an old word alive."""
    one, other = make_plan(NODES[0]), make_plan(NODES[1])
    one.note_store(1.0)
    for step in range(100):
        now = 1.05 + 0.1 * step
        for asker, asked, node in ((other, one, NODES[0]), (one, other, NODES[1])):
            sources = {each: now - age for each, age in asked.list_sources(now)}
            asker.note_answer(node.address, sources, now)
        assert one.is_alone(now) == other.is_alone(now) == (now > 1.0 + 2.1)


def test_relay_that_has_lost_the_store_passes_no_word_of_other_lost_relays_on():
    one, other = [make_plan(node) for node in NODES if make_plan(node).is_relay]
    names = [node.address for node in NODES if make_plan(node).is_relay]
    for plan in (one, other):
        plan.note_store(10.0)
    one.note_answer(names[1], {names[1]: 10.0}, 10.1)
    one.note_store_lost()
    assert one.has_word(10.2)
    one.note_answer(names[1], {}, 10.2)
    assert not one.has_word(10.2)


def test_node_that_knows_the_store_only_from_others_is_not_asked_again():
    plan = make_plan(find_other())
    relay, other = plan.choose_relays(0.0)
    plan.note_answer(relay, {"10.9.9.9:1": 4.9, other: 4.8}, 5.0)
    assert plan.choose_relays(5.0) == [other, "10.9.9.9:1"]
    assert not plan.is_alone(5.0)


def test_peer_that_says_it_hears_the_store_is_asked_back_and_not_just_believed():
    plan = make_plan(find_other())
    for relay in plan.choose_relays(0.0):
        plan.note_answer(relay, {}, 9.0)
    plan.note_asked("10.9.9.9:1", True, 9.0)
    assert plan.choose_relays(9.0) == ["10.9.9.9:1"]
    assert plan.is_alone(9.0)
    plan.note_answer("10.9.9.9:1", {}, 9.1)
    assert plan.choose_relays(9.1) == []


def test_node_without_any_list_asks_its_seeds_and_soon_the_store():
    node = NODES[5]
    seeds = ["10.0.0.1:1", node.address]
    rng = random.Random(3)
    plan = RelayPlan(node.address, "dc-0", seeds, 2.0, 0.0, rng)
    assert plan.n_nodes == 0
    assert plan.is_relay
    assert plan.choose_relays(0.0) == ["10.0.0.1:1"]
    plan = RelayPlan("10.0.0.7:1", "dc-0", seeds, 2.0, 0.0, rng)
    assert not plan.is_relay
    assert set(plan.choose_relays(0.0)) == set(seeds)
    assert plan.choose_peer(0.5) is None
    times = [0.1 * step for step in range(60)]
    assert any(plan.is_probe_due(now) for now in times if now < 3.5)
    plan.note_asked("10.0.0.8:1", False, 3.0)
    assert plan.choose_peer(3.5) in {*seeds, "10.0.0.8:1"}


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


def test_allowance_holds_by_its_parts():
    assert 2 * BURST_SHARE + REFILL_SHARE <= 1.0
    assert USED_SHARE < 1.0


def test_number_of_nodes_that_is_not_known_is_taken_for_large():
    extras = ExtraLegBudget(0.0, 100.0)
    extras.deposit("service", 0.0)
    assert extras.try_withdraw("service", 0.0)
    assert not extras.try_withdraw("service", 0.0)
