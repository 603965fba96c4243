"""What whole fleets ask of the store and how soon they hear of changes, in trouble."""

import pytest

from heatherpick._fleet.relays import FLEET_PROBES_PER_S
from heatherpick._net import object_sync
from tests.direct.fleet_model import KINDS, Fleet

SIZES = [2, 12, 195]
#: Time in which nodes that start together write where they are; shorter in other tests.
SETTLE_S = 1.5
#: The size that the plan of the next two years names.
PLANNED = 1400


@pytest.fixture(autouse=True)
def _use_the_real_time_to_settle(monkeypatch):
    monkeypatch.setattr(object_sync, "SETTLE_S", SETTLE_S)


def count_relays(n_nodes):
    return max(2, -(-n_nodes // 64))


def settle(fleet, seconds=6.0):
    fleet.register_all()
    fleet.start_all()
    fleet.run_for(seconds)
    assert len(fleet.followers) == count_relays(len(fleet.entries))
    return fleet


def list_uninformed(fleet, name):
    return [node for node in fleet.alive if ("routes", name) not in node.learned]


def bound_calls(n_nodes, seconds):
    """Return the most calls that a fleet may make while the store turns it away.

    Each relay asks at once, some times at growing pauses and then once a second or so;
    the others together at the fleet's pace, each at least once a while.
    """
    relays = count_relays(n_nodes) * (len(KINDS) + 5 + 2.0 * seconds)
    alone = 2.0 * max(FLEET_PROBES_PER_S, n_nodes / 0.5 if n_nodes < 8 else 0) * seconds
    return relays + min(alone, 2.0 * n_nodes * seconds / 0.5) + n_nodes * 0.2


@pytest.mark.parametrize("n_nodes", [*SIZES, PLANNED])
def test_calm_fleet_has_its_relays_within_three_seconds_of_its_start(n_nodes):
    fleet = Fleet(n_nodes)
    fleet.register_all()
    fleet.start_all()
    fleet.run_for(0.3 + 3.0)
    assert len(fleet.followers) == count_relays(n_nodes)
    assert not any(node.is_alone for node in fleet.alive)
    # Listings and watches of relays and seeds, and their questions each second.
    n_follow = count_relays(n_nodes) + 3
    assert fleet.store.count_calls() <= (len(KINDS) + 4 + 4) * n_follow


@pytest.mark.parametrize("n_nodes", SIZES)
def test_nodes_ask_each_other_a_few_times_a_second(n_nodes):
    """Also while the store turns a third of them away and then all."""
    fleet = settle(Fleet(n_nodes), seconds=4.0)
    away = {entry.address for entry in fleet.entries[: n_nodes // 3]}
    for turned_away in (set(), away, set(fleet.nodes), set()):
        fleet.store.turns_away = lambda a, t=turned_away: "refused" if a in t else None
        fleet.store.cut_watches()
        before = fleet.n_questions
        fleet.run_for(3.0)
        assert fleet.n_questions - before <= 3.0 * 20 * n_nodes


@pytest.mark.parametrize("n_nodes", SIZES)
def test_change_is_known_everywhere_at_once_in_calm(n_nodes):
    fleet = settle(Fleet(n_nodes))
    fleet.store.put("routes", "main", 2)
    fleet.run_for(0.1)
    assert list_uninformed(fleet, "main") == []


@pytest.mark.parametrize(
    ("n_nodes", "what"),
    [(n, what) for n in SIZES for what in ("refused", "silent")]
    + [(PLANNED, "refused")],
)
def test_fleet_calls_a_store_that_is_away_a_bounded_number_of_times(n_nodes, what):
    fleet = settle(Fleet(n_nodes))
    before = fleet.store.count_calls()
    fleet.store.turns_away = lambda address: what
    fleet.store.cut_watches()
    fleet.run_for(12.0)
    n_calls = fleet.store.count_calls() - before
    assert n_calls <= bound_calls(n_nodes, 12.0)
    assert n_calls < 12.0 * (2 * FLEET_PROBES_PER_S + 3 * count_relays(n_nodes))


@pytest.mark.parametrize("what", ["refused", "silent"])
@pytest.mark.parametrize("n_nodes", SIZES)
def test_fleet_settles_within_three_seconds_of_the_stores_return(n_nodes, what):
    fleet = settle(Fleet(n_nodes))
    fleet.store.turns_away = lambda address: what
    fleet.store.cut_watches()
    fleet.run_for(12.0)
    assert all(node.is_alone for node in fleet.alive)
    fleet.store.turns_away = lambda address: None
    returned_at = fleet.clock.now
    fleet.store.put("routes", "main", 2)
    fleet.run_for(3.0)
    assert list_uninformed(fleet, "main") == []
    assert not any(node.is_alone for node in fleet.alive)
    n_calls = fleet.store.count_calls(since=returned_at)
    assert n_calls <= 30 * count_relays(n_nodes) + 4 * FLEET_PROBES_PER_S
    fleet.run_for(3.0)
    assert len(fleet.followers) == count_relays(n_nodes)


@pytest.mark.parametrize("settle_s", [SETTLE_S, 0.05])
@pytest.mark.parametrize("what", ["refused", "silent"])
@pytest.mark.parametrize("n_nodes", [12, 195])
def test_news_reach_all_in_time_when_all_relays_are_turned_away(
    n_nodes, what, settle_s, monkeypatch
):
    monkeypatch.setattr(object_sync, "SETTLE_S", settle_s)
    fleet = settle(Fleet(n_nodes, bound_s=3.0))
    away = {node.entry.address for node in fleet.followers}
    fleet.store.turns_away = lambda address: what if address in away else None
    fleet.store.cut_watches()
    fleet.store.put("routes", "main", 2)
    fleet.run_for(2.9)
    assert list_uninformed(fleet, "main") == []
    fleet.run_for(5.0)
    # Besides the relays, which try again, as many stand in.
    others = [node for node in fleet.followers if node.entry.address not in away]
    assert 1 <= len(others) <= count_relays(n_nodes)


@pytest.mark.parametrize("share", [0.35, 0.7, 0.9])
@pytest.mark.parametrize("n_nodes", [12, 195])
def test_no_node_stays_alone_while_some_are_served(n_nodes, share):
    fleet = settle(Fleet(n_nodes))
    n_away = int(share * n_nodes)
    away = {entry.address for entry in fleet.entries[:n_away]}
    fleet.store.turns_away = lambda address: "refused" if address in away else None
    fleet.store.cut_watches()
    fleet.run_for(5.0)
    began = fleet.clock.now
    for step in range(20):
        fleet.run_for(0.3)
        fleet.store.put("routes", f"change-{step}", 1)
        assert not any(node.is_alone for node in fleet.alive)
    fleet.run_for(1.0)
    assert list_uninformed(fleet, "change-19") == []
    # A call or two for each change at each node that follows the store.
    most = 20 * 3 * (count_relays(n_nodes) + 2) + 6 * 3 * (count_relays(n_nodes) + 2)
    assert fleet.store.count_calls(since=began) <= most


@pytest.mark.parametrize("n_nodes", [12, 195])
def test_relays_that_freeze_or_die_cost_the_others_less_than_the_bound(n_nodes):
    fleet = settle(Fleet(n_nodes))
    relays = fleet.followers
    for relay in relays:
        relay.loop.frozen_until = fleet.clock.now + 20.0
    fleet.store.put("routes", "main", 2)
    fleet.run_for(2.9)
    late = {node.entry.address for node in list_uninformed(fleet, "main")}
    assert late <= {relay.entry.address for relay in relays}
    fleet.run_for(25.0)
    assert list_uninformed(fleet, "main") == []
    assert len(fleet.followers) == count_relays(n_nodes)


@pytest.mark.parametrize("n_nodes", [12, 195])
def test_restart_of_every_node_costs_a_few_calls_a_node(n_nodes):
    fleet = settle(Fleet(n_nodes))
    before = fleet.store.count_calls()
    for entry in fleet.entries:
        fleet.stop(entry)
        fleet.clock.call_at(fleet.clock.now + 0.5, fleet.start, entry)
        fleet.run_for(0.3)
    seconds = 0.3 * n_nodes + 10.0
    fleet.run_for(10.0)
    calm = 3.0 * count_relays(n_nodes) * seconds
    assert fleet.store.count_calls() - before <= calm + 2 * n_nodes
    assert not any(node.is_alone for node in fleet.alive)
    fleet.store.put("routes", "main", 2)
    fleet.run_for(0.1)
    assert list_uninformed(fleet, "main") == []


@pytest.mark.parametrize("n_nodes", [12, 195])
def test_entries_that_go_in_an_outage_may_come_back_at_every_node(n_nodes):
    """Also at nodes that never called the store, and only while it was away."""
    fleet = settle(Fleet(n_nodes))
    told = []
    for node in fleet.alive:
        take = node.keeper._copies["upstreams"]._consumer.change
        node.keeper._copies["upstreams"]._consumer.change = (
            lambda objects, take=take, node=node: (
                told.append(node.keeper.was_store_away()) or take(objects)
            )
        )
    fleet.store.put("upstreams", "u1", 1)
    fleet.run_for(2.0)
    assert told == [False] * n_nodes
    told.clear()
    fleet.store.turns_away = lambda address: "refused"
    fleet.store.cut_watches()
    fleet.run_for(8.0)
    fleet.store.turns_away = lambda address: None
    fleet.store.put("upstreams", "u2", 1)
    fleet.run_for(2.5)
    assert told == [True] * n_nodes
    told.clear()
    fleet.run_for(6.0)
    fleet.store.put("upstreams", "u3", 1)
    fleet.run_for(2.0)
    assert told == [False] * n_nodes


def test_relays_that_are_frozen_do_not_make_the_store_look_away():
    fleet = settle(Fleet(12))
    for relay in fleet.followers:
        relay.loop.frozen_until = fleet.clock.now + 20.0
    fleet.run_for(5.0)
    awake = [n for n in fleet.alive if n.loop.frozen_until <= fleet.clock.now]
    assert not any(node.keeper.was_store_away() for node in awake)


def test_data_centre_that_is_cut_off_asks_little_and_is_back_soon():
    fleet = settle(Fleet(195, n_data_centres=6))
    fleet.is_cut = lambda one, other: (one == "dc-5") != (other == "dc-5")
    inside = {e.address for e in fleet.entries if e.data_centre == "dc-5"}
    fleet.store.turns_away = lambda address: "silent" if address in inside else None
    fleet.store.cut_watches()
    before = fleet.store.count_calls()
    fleet.run_for(8.0)
    assert fleet.store.count_calls() - before <= 8 * (3 * 6 + FLEET_PROBES_PER_S)
    outside = [n for n in fleet.alive if n.entry.address not in inside]
    assert not any(node.is_alone for node in outside)
    fleet.is_cut = lambda one, other: False
    fleet.store.turns_away = lambda address: None
    fleet.store.put("routes", "main", 2)
    fleet.run_for(3.0)
    assert list_uninformed(fleet, "main") == []
    assert not any(node.is_alone for node in fleet.alive)


@pytest.mark.parametrize("n_nodes", [12, 195])
def test_fleet_that_starts_at_once_beside_a_store_that_is_away_is_up_soon_after(
    n_nodes,
):
    fleet = Fleet(n_nodes)
    fleet.register_all()
    fleet.store.turns_away = lambda address: "refused"
    fleet.start_all()
    fleet.run_for(10.0)
    most = 10 * (n_nodes / 2.0 * 1.5 + 3 * 3)
    assert fleet.store.count_calls() <= most
    fleet.store.turns_away = lambda address: None
    fleet.store.put("routes", "main", 2)
    fleet.run_for(3.0)
    assert list_uninformed(fleet, "main") == []


@pytest.mark.parametrize("n_nodes", [12, 195])
def test_node_that_starts_while_all_its_seeds_are_gone_is_up_in_a_few_seconds(n_nodes):
    fleet = settle(Fleet(n_nodes))
    for entry in fleet.entries[:3]:
        fleet.stop(entry)
    fleet.run_for(2.0)
    entry = fleet.entries[5]
    fleet.stop(entry)
    fleet.start(entry)
    fleet.run_for(4.0)
    assert not fleet.nodes[entry.address].is_alone
    assert {kind for kind, _ in fleet.nodes[entry.address].learned} >= {"nodes"}
