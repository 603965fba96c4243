"""Membership of several nodes under single planned and unplanned events."""

import pytest

from heatherpick._core.documents import DECLARATIONS, DRAINS
from tests.stateful.network import TIMINGS, FakeNetwork

#: Seconds within which all nodes must hold a change of configuration.
CONFIG_DEADLINE_S = 3.0

#: Seconds within which a successor must have a killed owner's full share.
SUCCESSION_DEADLINE_S = 5.0


def start(n_nodes, **options):
    network = FakeNetwork({"a": n_nodes}, tracks_calls=True, **options)
    network.declare(a=(8, 1))
    network.start_all()
    network.advance(12.0)
    network.check_recovered("a", network.find_running())
    return network


def list_groups(network):
    node = network.nodes[network.find_running()[0]]
    return list(node.documents.declarations.groups.values())


def count_fully_owned(network):
    groups = list_groups(network)
    return sum(list(network.find_owners(each).values()) == [4] for each in groups)


def find_owner(network):
    """Return a node that owns some group."""
    return next(iter(network.find_owners(list_groups(network)[0])))


@pytest.mark.parametrize("is_platform_up", [True, False])
@pytest.mark.parametrize("n_nodes", [3, 4, 5])
def test_killed_owner_has_a_successor_with_the_full_share(n_nodes, is_platform_up):
    network = start(n_nodes)
    network.is_platform_up = is_platform_up
    network.kill(find_owner(network))
    network.advance(SUCCESSION_DEADLINE_S)
    assert count_fully_owned(network) == len(list_groups(network))


def test_groups_of_live_owners_keep_their_owners_after_a_kill():
    network = start(5)
    victim = find_owner(network)
    others = [
        group
        for group in list_groups(network)
        if victim not in network.find_owners(group)
    ]
    network.kill(victim)
    for _ in range(100):
        network.advance(0.2)
        assert all(network.find_owners(group) for group in others)


@pytest.mark.parametrize("is_platform_up", [True, False])
def test_survivor_of_two_members_keeps_half_of_each_upstream(is_platform_up):
    network = start(2)
    network.is_platform_up = is_platform_up
    network.kill(find_owner(network))
    network.advance(SUCCESSION_DEADLINE_S)
    for group in list_groups(network):
        assert list(network.find_owners(group).values()) == [2]


def test_survivor_of_two_members_has_the_full_share_once_the_other_vm_is_gone():
    network = start(2)
    victim = find_owner(network)
    network.kill(victim)
    network.vms.discard(victim)
    network.advance(TIMINGS.vm_missing_s + 20.0)
    assert count_fully_owned(network) == len(list_groups(network))


def test_sole_member_keeps_the_full_share_without_the_platform():
    network = start(1)
    network.is_platform_up = False
    network.advance(60.0)
    assert count_fully_owned(network) == len(list_groups(network))


def test_resumed_owner_admits_nothing_at_its_first_event():
    network = start(3)
    owner = find_owner(network)
    network.pause(owner)
    network.advance(TIMINGS.vote_lease_s)
    network.nodes[owner].backlog.clear()
    network.resume(owner)
    node = network.nodes[owner]
    for group in list_groups(network):
        assert node.members.share_of(group, node.now).limit(4) == 0


def test_isolated_node_admits_nothing_and_the_others_take_over():
    network = start(3)
    owner = find_owner(network)
    network.cut_both({owner}, set(network.nodes) - {owner})
    network.advance(SUCCESSION_DEADLINE_S)
    for group in list_groups(network):
        assert owner not in network.find_owners(group)
    assert count_fully_owned(network) == len(list_groups(network))
    assert network.nodes[owner].members.is_isolated(network.nodes[owner].now)


def test_owner_that_receives_nothing_loses_its_groups():
    network = start(4)
    owner = find_owner(network)
    network.cut(set(network.nodes) - {owner}, {owner})
    network.advance(2 * TIMINGS.suspect_after_s + 2.0)
    assert owner not in network.find_owners(list_groups(network)[0])
    assert count_fully_owned(network) == len(list_groups(network))


def test_halves_of_a_partition_share_each_upstream_without_platform_writes():
    network = start(4)
    names = sorted(network.nodes)
    network.cut_both(set(names[:2]), set(names[2:]))
    network.advance(20.0)
    n_writes = network.n_writes
    network.advance(60.0)
    for group in list_groups(network):
        assert sorted(network.find_owners(group).values()) == [2, 2]
    assert network.n_writes == n_writes


def test_planned_stop_hands_over_without_overlap_or_long_gap():
    network = start(5)
    owner = find_owner(network)
    network.leave(owner)
    network.advance(TIMINGS.max_call_s + 0.3)
    assert network.nodes[owner].is_running
    assert count_fully_owned(network) == len(list_groups(network))
    network.advance(10.0)
    network.check_recovered("a", network.find_running())


def test_joining_node_takes_over_with_short_gaps():
    network = start(4)
    before = network.n_writes
    network.longest_call_s = 0.05
    name = network.add_node("a")
    n_gaps = 0
    for _ in range(200):
        network.advance(0.05)
        n_gaps += len(list_groups(network)) - count_fully_owned(network)
    network.check_recovered("a", network.find_running())
    assert any(name in network.find_owners(group) for group in list_groups(network))
    assert network.n_writes - before <= 3
    assert n_gaps <= 12


def test_rolling_replacement_leaves_only_the_new_nodes():
    network = start(4)
    for name in list(network.nodes):
        network.add_node("a")
        network.advance(6.0)
        network.leave(name)
        network.advance(6.0)
        network.vms.discard(name)
        assert count_fully_owned(network) == len(list_groups(network))
    network.check_recovered("a", network.find_running())


@pytest.mark.parametrize("has_new_names", [False, True])
def test_data_centre_recovers_from_a_restart_of_all_nodes(has_new_names):
    network = start(5)
    names = list(network.nodes)
    for name in names:
        network.kill(name)
    network.advance(1.0)
    if has_new_names:
        network.vms.clear()
    for name in names:
        network.add_node("a") if has_new_names else network.nodes[name].start()
    network.advance(TIMINGS.vm_missing_s + 25.0 if has_new_names else 15.0)
    network.check_recovered("a", network.find_running())


def test_nodes_make_few_platform_calls_in_a_long_outage():
    network = start(5)
    network.is_platform_up = False
    network.kill("a-n0")
    network.advance(10.0)
    network.nodes["a-n0"].start()
    before = network.n_reads + network.n_writes
    network.advance(120.0)
    assert network.n_reads + network.n_writes - before < 120


def test_nodes_make_no_platform_calls_without_changes():
    network = start(5)
    before = network.n_reads + network.n_writes
    network.advance(300.0)
    assert network.n_reads + network.n_writes == before


def start_three_data_centres():
    network = FakeNetwork({"a": 5, "b": 5, "c": 5})
    network.declare(a=(4, 2), b=(4, 2), c=(4, 2))
    network.publish(DRAINS, "[]")
    network.start_all()
    network.advance(10.0)
    for data_centre in "abc":
        watching = [
            each.name
            for each in network.nodes.values()
            if each.is_watching and each.data_centre == data_centre
        ]
        assert len(watching) == 2
    return network


def check_held_by_all(network, name):
    version = network.objects[name][0]
    for node in network.nodes.values():
        if node.is_running:
            assert node.documents.version_of(name) == version, node.name


def test_configuration_reaches_all_nodes_in_time():
    network = start_three_data_centres()
    network.declare(a=(6, 2), b=(4, 2), c=(4, 2))
    network.publish(DRAINS, '["a"]')
    network.advance(CONFIG_DEADLINE_S)
    check_held_by_all(network, DECLARATIONS)
    check_held_by_all(network, DRAINS)


def test_configuration_spreads_from_one_watcher_when_the_platform_goes_down():
    network = start_three_data_centres()
    watching = [each.name for each in network.nodes.values() if each.is_watching]
    network.cut_from_platform.update(watching[1:])
    network.publish(DRAINS, '["a"]')
    network.is_platform_up = False
    network.advance(CONFIG_DEADLINE_S)
    check_held_by_all(network, DRAINS)


def test_data_centres_without_platform_receive_a_drain_from_another():
    network = start_three_data_centres()
    network.cut_from_platform.update(
        each.name for each in network.nodes.values() if each.data_centre != "a"
    )
    network.publish(DRAINS, '["b"]')
    network.advance(CONFIG_DEADLINE_S)
    check_held_by_all(network, DRAINS)


def test_configuration_reaches_all_nodes_after_half_of_the_watchers_died():
    network = start_three_data_centres()
    for data_centre in "abc":
        watcher = next(
            each.name
            for each in network.nodes.values()
            if each.is_watching and each.data_centre == data_centre
        )
        network.kill(watcher)
    network.publish(DRAINS, '["c"]')
    network.advance(CONFIG_DEADLINE_S)
    check_held_by_all(network, DRAINS)


@pytest.mark.parametrize("has_new_name", [False, True])
def test_node_started_in_an_outage_gets_the_newest_documents_from_peers(
    has_new_name,
):
    network = start_three_data_centres()
    network.is_platform_up = False
    network.kill("b-n3")
    network.advance(1.0)
    name = "b-n3"
    if has_new_name:
        name = network.add_node("b")
    else:
        network.nodes[name].start()
    network.advance(CONFIG_DEADLINE_S)
    check_held_by_all(network, DECLARATIONS)
    check_held_by_all(network, DRAINS)
    node = network.nodes[name]
    for group in node.documents.declarations.groups.values():
        assert node.members.owner_of(group, node.now)


def test_write_without_response_is_resolved_by_a_read():
    network = FakeNetwork({"a": 1})
    network.declare(a=(2, 1))
    network.n_answers_to_lose = 1
    network.start_all()
    network.advance(5.0)
    assert network.n_writes == 1
    assert network.nodes["a-n0"].members.is_member
