"""Tests of store calls and of the delay of changes in simulated, failing fleets."""

import pytest

from heatherpick._fleet.relays import FLEET_PROBES_PER_S
from heatherpick._net import documents
from tests.direct.fleet_model import KINDS, Fleet

SIZES = [2, 12, 195]
#: Default delay of the choice of relays; other tests set a shorter one.
MEMBERSHIP_DELAY_S = 1.5
#: Fleet size planned for the next two years.
N_PLANNED_NODES = 1400


@pytest.fixture(autouse=True)
def _use_default_membership_delay(monkeypatch):
    monkeypatch.setattr(documents, "MEMBERSHIP_DELAY_S", MEMBERSHIP_DELAY_S)


def count_relays(n_nodes):
    return max(2, -(-n_nodes // 64))


def start_fleet(fleet, seconds=6.0):
    fleet.register_all()
    fleet.start_all()
    fleet.run_for(seconds)
    assert len(fleet.followers) == count_relays(len(fleet.entries))
    return fleet


def list_outdated(fleet, name):
    return [node for node in fleet.alive if ("routes", name) not in node.received_at]


def compute_max_calls(n_nodes, seconds):
    """Return the largest number of calls that a fleet may make to a failing store.

    Each relay retries at once, some times with growing delays and then about once a
    second; the others together probe at the fleet's rate, each at least now and then.
    """
    relays = count_relays(n_nodes) * (len(KINDS) + 5 + 2.0 * seconds)
    others = (
        2.0 * max(FLEET_PROBES_PER_S, n_nodes / 0.5 if n_nodes < 8 else 0) * seconds
    )
    return relays + min(others, 2.0 * n_nodes * seconds / 0.5) + n_nodes * 0.2


@pytest.mark.parametrize("n_nodes", [*SIZES, N_PLANNED_NODES])
def test_healthy_fleet_has_its_relays_within_three_seconds_of_its_start(n_nodes):
    fleet = Fleet(n_nodes)
    fleet.register_all()
    fleet.start_all()
    fleet.run_for(0.3 + 3.0)
    assert len(fleet.followers) == count_relays(n_nodes)
    assert not any(node.is_stale for node in fleet.alive)
    # Listings and watches of relays and seeds, and their revision reads each second.
    n_followers = count_relays(n_nodes) + 3
    assert fleet.store.count_calls() <= (len(KINDS) + 4 + 4) * n_followers


@pytest.mark.parametrize("n_nodes", SIZES)
def test_nodes_poll_each_other_at_most_twenty_times_a_second(n_nodes):
    """Also while the store serves two thirds of them and then none."""
    fleet = start_fleet(Fleet(n_nodes), seconds=4.0)
    unserved = {entry.address for entry in fleet.entries[: n_nodes // 3]}
    for addresses in (set(), unserved, set(fleet.nodes), set()):
        fleet.store.find_failure = lambda a, t=addresses: "refused" if a in t else None
        fleet.store.fail_watches()
        before = fleet.n_polls
        fleet.run_for(3.0)
        assert fleet.n_polls - before <= 3.0 * 20 * n_nodes


@pytest.mark.parametrize("n_nodes", SIZES)
def test_healthy_fleet_receives_a_change_within_100_ms(n_nodes):
    fleet = start_fleet(Fleet(n_nodes))
    fleet.store.put("routes", "main", 2)
    fleet.run_for(0.1)
    assert list_outdated(fleet, "main") == []


@pytest.mark.parametrize(
    ("n_nodes", "failure"),
    [(n, failure) for n in SIZES for failure in ("refused", "silent")]
    + [(N_PLANNED_NODES, "refused")],
)
def test_calls_to_an_unreachable_store_are_bounded(n_nodes, failure):
    fleet = start_fleet(Fleet(n_nodes))
    before = fleet.store.count_calls()
    fleet.store.find_failure = lambda address: failure
    fleet.store.fail_watches()
    fleet.run_for(12.0)
    n_calls = fleet.store.count_calls() - before
    assert n_calls <= compute_max_calls(n_nodes, 12.0)
    assert n_calls < 12.0 * (2 * FLEET_PROBES_PER_S + 3 * count_relays(n_nodes))


@pytest.mark.parametrize("failure", ["refused", "silent"])
@pytest.mark.parametrize("n_nodes", SIZES)
def test_fleet_recovers_within_three_seconds_after_an_outage_of_the_store(
    n_nodes, failure
):
    fleet = start_fleet(Fleet(n_nodes))
    fleet.store.find_failure = lambda address: failure
    fleet.store.fail_watches()
    fleet.run_for(12.0)
    assert all(node.is_stale for node in fleet.alive)
    fleet.store.find_failure = lambda address: None
    returned_at = fleet.clock.now
    fleet.store.put("routes", "main", 2)
    fleet.run_for(3.0)
    assert list_outdated(fleet, "main") == []
    assert not any(node.is_stale for node in fleet.alive)
    n_calls = fleet.store.count_calls(since=returned_at)
    assert n_calls <= 30 * count_relays(n_nodes) + 4 * FLEET_PROBES_PER_S
    fleet.run_for(3.0)
    assert len(fleet.followers) == count_relays(n_nodes)


@pytest.mark.parametrize("membership_delay_s", [MEMBERSHIP_DELAY_S, 0.05])
@pytest.mark.parametrize("failure", ["refused", "silent"])
@pytest.mark.parametrize("n_nodes", [12, 195])
def test_change_reaches_all_nodes_in_time_when_no_relay_is_served(
    n_nodes, failure, membership_delay_s, monkeypatch
):
    monkeypatch.setattr(documents, "MEMBERSHIP_DELAY_S", membership_delay_s)
    fleet = start_fleet(Fleet(n_nodes, max_staleness_s=3.0))
    unserved = {node.entry.address for node in fleet.followers}
    fleet.store.find_failure = lambda address: failure if address in unserved else None
    fleet.store.fail_watches()
    fleet.store.put("routes", "main", 2)
    fleet.run_for(2.9)
    assert list_outdated(fleet, "main") == []
    fleet.run_for(5.0)
    # Besides the relays, which retry, at most as many temporary relays follow.
    others = [node for node in fleet.followers if node.entry.address not in unserved]
    assert 1 <= len(others) <= count_relays(n_nodes)


@pytest.mark.parametrize("share", [0.35, 0.7, 0.9])
@pytest.mark.parametrize("n_nodes", [12, 195])
def test_no_node_stays_stale_while_the_store_serves_some(n_nodes, share):
    fleet = start_fleet(Fleet(n_nodes))
    n_unserved = int(share * n_nodes)
    unserved = {entry.address for entry in fleet.entries[:n_unserved]}
    fleet.store.find_failure = lambda address: (
        "refused" if address in unserved else None
    )
    fleet.store.fail_watches()
    fleet.run_for(5.0)
    started_at = fleet.clock.now
    for step in range(20):
        fleet.run_for(0.3)
        fleet.store.put("routes", f"change-{step}", 1)
        assert not any(node.is_stale for node in fleet.alive)
    fleet.run_for(1.0)
    assert list_outdated(fleet, "change-19") == []
    # A call or two for each change at each node that follows the store.
    max_calls = 20 * 3 * (count_relays(n_nodes) + 2) + 6 * 3 * (
        count_relays(n_nodes) + 2
    )
    assert fleet.store.count_calls(since=started_at) <= max_calls


@pytest.mark.parametrize("n_nodes", [12, 195])
def test_frozen_relays_delay_other_nodes_by_less_than_the_largest_staleness(n_nodes):
    fleet = start_fleet(Fleet(n_nodes))
    relays = fleet.followers
    for relay in relays:
        relay.loop.frozen_until = fleet.clock.now + 20.0
    fleet.store.put("routes", "main", 2)
    fleet.run_for(2.9)
    outdated = {node.entry.address for node in list_outdated(fleet, "main")}
    assert outdated <= {relay.entry.address for relay in relays}
    fleet.run_for(25.0)
    assert list_outdated(fleet, "main") == []
    assert len(fleet.followers) == count_relays(n_nodes)


@pytest.mark.parametrize("n_nodes", [12, 195])
def test_rolling_restart_costs_at_most_two_extra_calls_a_node(n_nodes):
    fleet = start_fleet(Fleet(n_nodes))
    before = fleet.store.count_calls()
    for entry in fleet.entries:
        fleet.stop(entry)
        fleet.clock.call_at(fleet.clock.now + 0.5, fleet.start, entry)
        fleet.run_for(0.3)
    seconds = 0.3 * n_nodes + 10.0
    fleet.run_for(10.0)
    n_regular_calls = 3.0 * count_relays(n_nodes) * seconds
    assert fleet.store.count_calls() - before <= n_regular_calls + 2 * n_nodes
    assert not any(node.is_stale for node in fleet.alive)
    fleet.store.put("routes", "main", 2)
    fleet.run_for(0.1)
    assert list_outdated(fleet, "main") == []


@pytest.mark.parametrize("n_nodes", [12, 195])
def test_every_node_knows_for_a_while_that_the_store_was_unreachable(n_nodes):
    """Also nodes that do not call the store themselves; entries may have expired."""
    fleet = start_fleet(Fleet(n_nodes))
    reported = []
    for node in fleet.alive:
        apply_objects = node.synchroniser._copies["upstreams"]._consumer.change
        node.synchroniser._copies["upstreams"]._consumer.change = (
            lambda objects, apply_objects=apply_objects, node=node: (
                reported.append(node.synchroniser.was_store_unreachable())
                or apply_objects(objects)
            )
        )
    fleet.store.put("upstreams", "u1", 1)
    fleet.run_for(2.0)
    assert reported == [False] * n_nodes
    reported.clear()
    fleet.store.find_failure = lambda address: "refused"
    fleet.store.fail_watches()
    fleet.run_for(8.0)
    fleet.store.find_failure = lambda address: None
    fleet.store.put("upstreams", "u2", 1)
    fleet.run_for(2.5)
    assert reported == [True] * n_nodes
    reported.clear()
    fleet.run_for(6.0)
    fleet.store.put("upstreams", "u3", 1)
    fleet.run_for(2.0)
    assert reported == [False] * n_nodes


def test_frozen_relays_do_not_make_the_store_seem_unreachable():
    fleet = start_fleet(Fleet(12))
    for relay in fleet.followers:
        relay.loop.frozen_until = fleet.clock.now + 20.0
    fleet.run_for(5.0)
    awake = [n for n in fleet.alive if n.loop.frozen_until <= fleet.clock.now]
    assert not any(node.synchroniser.was_store_unreachable() for node in awake)


def test_partitioned_data_centre_makes_few_calls_and_recovers_in_three_seconds():
    fleet = start_fleet(Fleet(195, n_data_centres=6))
    fleet.is_blocked = lambda one, other: (one == "dc-5") != (other == "dc-5")
    inside = {e.address for e in fleet.entries if e.data_centre == "dc-5"}
    fleet.store.find_failure = lambda address: "silent" if address in inside else None
    fleet.store.fail_watches()
    before = fleet.store.count_calls()
    fleet.run_for(8.0)
    assert fleet.store.count_calls() - before <= 8 * (3 * 6 + FLEET_PROBES_PER_S)
    outside = [n for n in fleet.alive if n.entry.address not in inside]
    assert not any(node.is_stale for node in outside)
    fleet.is_blocked = lambda one, other: False
    fleet.store.find_failure = lambda address: None
    fleet.store.put("routes", "main", 2)
    fleet.run_for(3.0)
    assert list_outdated(fleet, "main") == []
    assert not any(node.is_stale for node in fleet.alive)


@pytest.mark.parametrize("n_nodes", [12, 195])
def test_fleet_started_during_an_outage_of_the_store_recovers_in_three_seconds(
    n_nodes,
):
    fleet = Fleet(n_nodes)
    fleet.register_all()
    fleet.store.find_failure = lambda address: "refused"
    fleet.start_all()
    fleet.run_for(10.0)
    max_calls = 10 * (n_nodes / 2.0 * 1.5 + 3 * 3)
    assert fleet.store.count_calls() <= max_calls
    fleet.store.find_failure = lambda address: None
    fleet.store.put("routes", "main", 2)
    fleet.run_for(3.0)
    assert list_outdated(fleet, "main") == []


@pytest.mark.parametrize("n_nodes", [12, 195])
def test_node_started_while_all_seeds_are_down_is_synchronised_in_four_seconds(n_nodes):
    fleet = start_fleet(Fleet(n_nodes))
    for entry in fleet.entries[:3]:
        fleet.stop(entry)
    fleet.run_for(2.0)
    entry = fleet.entries[5]
    fleet.stop(entry)
    fleet.start(entry)
    fleet.run_for(4.0)
    assert not fleet.nodes[entry.address].is_stale
    assert {kind for kind, _ in fleet.nodes[entry.address].received_at} >= {"nodes"}
