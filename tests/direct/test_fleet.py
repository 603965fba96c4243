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
from heatherpick._fleet.relays import ASKED_S, AVOID_S, RelayPlan
from heatherpick._serving.extras import FLOWING_PART, SAVED_PART, SHARE_USED, ExtraLegs

ADDRESSES = tuple(f"10.0.0.{n}:7000" for n in range(1, 13))


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


def make_plan(address, addresses=ADDRESSES, now=0.0):
    plan = RelayPlan(address, addresses[:3], FRESHNESS.alone_s, now)
    for each in addresses:
        plan.set_member(each, each)
    return plan


def test_all_nodes_with_the_same_list_choose_the_same_two_relays():
    relays = [a for a in ADDRESSES if make_plan(a).is_relay(0.0)]
    assert len(relays) == 2
    for address in ADDRESSES:
        asked = make_plan(address).choose_relays(0.0)
        assert set(asked) == set(relays) - {address}


def test_large_fleet_spreads_its_nodes_over_more_relays():
    addresses = tuple(f"10.0.{n // 200}.{n % 200}:7000" for n in range(1400))
    plans = [make_plan(address, addresses) for address in addresses[:200]]
    asked = [each for plan in plans for each in plan.choose_relays(0.0)]
    assert len(set(asked)) > 30
    assert max(asked.count(each) for each in set(asked)) < 40


def test_relay_that_fails_is_replaced_by_the_next_and_tried_again_later():
    plan = make_plan(ADDRESSES[0])
    first = plan.choose_relays(0.0)
    for each in first:
        plan.note_failure(each, 0.0)
    assert not set(first) & set(plan.choose_relays(0.1))
    assert set(plan.choose_relays(AVOID_S + 0.1)) == set(first)


def test_node_without_a_fresh_relay_follows_the_store_within_two_seconds():
    address = next(a for a in ADDRESSES if not make_plan(a).is_relay(0.0))
    plan = make_plan(address)
    (one, *_) = plan.choose_relays(0.0)
    plan.note_answer(one, 0.5, 5.0)
    alone_at = 5.0 - 0.5 + FRESHNESS.alone_s
    assert not plan.follows_store(alone_at - 0.1)
    assert plan.follows_store(alone_at + 0.1)


def test_relay_that_has_not_heard_the_store_lately_does_not_count():
    address = next(a for a in ADDRESSES if not make_plan(a).is_relay(0.0))
    plan = make_plan(address)
    for now in (1.0, 2.0, 3.0, 4.0):
        for each in plan.choose_relays(now):
            plan.note_answer(each, FRESHNESS.bound_s, now)
    assert plan.follows_store(4.0)


def test_node_that_is_asked_is_a_relay_until_nobody_asks_any_more():
    address = next(a for a in ADDRESSES if not make_plan(a).is_relay(0.0))
    plan = make_plan(address)
    plan.note_asked(10.0)
    assert plan.is_relay(10.0 + ASKED_S - 0.1)
    assert not plan.is_relay(10.0 + ASKED_S + 0.1)


def test_node_without_any_list_asks_its_seeds():
    plan = RelayPlan("10.0.0.9:1", ["10.0.0.1:1", "10.0.0.9:1"], 2.0, 0.0)
    assert plan.n_nodes == 0
    assert plan.seeds == ("10.0.0.1:1",)


# Extra legs


@pytest.mark.parametrize("n_nodes", [1, 2, 12, 18, 112])
@pytest.mark.parametrize("restarts", [False, True])
def test_extra_legs_of_all_nodes_stay_within_the_fleets_allowance(n_nodes, restarts):
    share, slack, window_s, per_s = 0.2, 10.0 * n_nodes, 10.0, 3.0
    nodes = [ExtraLegs(share, slack) for _ in range(n_nodes)]
    for node in nodes:
        node.take_part(1 / n_nodes)
    n_requests = n_spent = 0
    steps = int(window_s * per_s)
    for step in range(steps):
        now = step / per_s
        if restarts and step == steps // 2:
            nodes = [ExtraLegs(share, slack) for _ in range(n_nodes)]
            for node in nodes:
                node.take_part(1 / n_nodes)
        for node in nodes:
            n_requests += 1
            node.earn("service", now)
            while node.spend("service", now):
                n_spent += 1
    assert n_spent <= share * n_requests + slack


def test_allowance_holds_by_its_parts():
    assert 2 * SAVED_PART + FLOWING_PART <= 1.0
    assert SHARE_USED < 1.0


def test_number_of_nodes_that_is_not_known_is_taken_for_large():
    extras = ExtraLegs(0.0, 100.0)
    extras.earn("service", 0.0)
    assert extras.spend("service", 0.0)
    assert not extras.spend("service", 0.0)
