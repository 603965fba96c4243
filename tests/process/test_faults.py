"""Real processes under faults: kills, pauses, partitions, outages, lost responses."""

import time
from collections import Counter, defaultdict

import pytest

from heatherpick._core.rendezvous import find_first
from heatherpick.declarations import Drains
from tests.process.fleet_config import DATA_CENTRES, SERVICES
from tests.process.history import find_violations

#: Pause of a process, longer than the time after which a silent node is suspected.
PAUSE_S = 2.5
#: Time within which a drain takes effect at all nodes, by the upstreams' clock.
DRAIN_BOUND_S = 3.0
#: Possible delay of that clock's start: the test writes the drain, starts the platform
#: outage and only then makes the upstreams record the time.
DRAIN_MARGIN_S = 0.5

LOST_CLAIM_RESPONSES = {
    "kind": "lose_answers",
    "prefix": "claims/",
    "operations": ["put"],
    "probability": 0.4,
}
OUTAGE = {"kind": "outage"}


def check_invariants(run):
    """Check the invariants of every run."""
    assert find_violations(run.history) == []
    overruns = {
        name: each["n_cold_overruns"] for name, each in run.counter_changes.items()
    }
    assert not any(overruns.values()), overruns
    assert count_outcomes(run)["answered"]


def count_outcomes(run, services=None):
    return Counter(
        record.outcome
        for record in run.history.records
        if services is None or record.service in services
    )


def find_owner(fleet, group):
    """Return the node that owns a group while all nodes are healthy."""
    data_centre = group.split("/")[1]
    return find_first(
        group, [n for n in fleet.nodes if fleet.config.nodes[n] == data_centre]
    )


def check_all_nodes_answer(fleet):
    """Check that every node answers searches completely again."""
    for node in fleet.nodes:
        for service in SERVICES:
            fleet.wait_answered(node, service)


def test_run_without_faults_answers_everything(fleet):
    with fleet.run_load(seed=100, seconds=3.0) as run:
        pass
    check_invariants(run)
    assert set(count_outcomes(run)) == {"answered"}


def test_killed_owner_loses_only_its_own_requests(fleet):
    owner = find_owner(fleet, "findings/north/0")
    with fleet.run_load(seed=101, seconds=6.0) as run:
        run.wait_until(2.0)
        fleet.kill_node(owner, run)
    check_invariants(run)
    check_all_nodes_answer(fleet)


def test_paused_owner_never_doubles_the_load_of_a_cold_upstream(fleet):
    owner = find_owner(fleet, "findings/north/0")
    # Slow calls keep all slots busy and legs queued, so that the resumed owner has
    # legs to send while calls of its successor are in flight.
    for data_centre in DATA_CENTRES:
        fleet.control_upstreams(
            data_centre, "straggle", upstreams=[f"{data_centre}-findings-0"], factor=3.0
        )
    with fleet.run_load(seed=102, seconds=8.0, order_share=0.0) as run:
        run.wait_until(2.0)
        for _ in range(2):
            fleet.pause_node(owner)
            time.sleep(PAUSE_S)
            fleet.resume_node(owner)
            time.sleep(0.3)
    for data_centre in DATA_CENTRES:
        fleet.control_upstreams(data_centre, "straggle", factor=1.0, probability=0.0)
    check_invariants(run)
    assert not any(each["n_falls"] for each in run.counter_changes.values())
    assert run.counter_changes["north-findings-0"]["n_calls"] > 0
    check_all_nodes_answer(fleet)


def test_node_replaced_during_an_outage_gets_the_newest_documents(fleet):
    node = find_owner(fleet, "findings/south/1")
    newest = fleet.read_status(node)["documents"]
    with fleet.run_load(seed=103, seconds=8.0) as run:
        run.wait_until(1.0)
        fleet.set_platform_faults(OUTAGE)
        fleet.kill_node(node, run)
        fleet.start_node(node)
        fleet.wait_ready(node)
        fleet.wait_documents(node, newest)
        fleet.set_platform_faults()
    check_invariants(run)
    fleet.wait_settled()
    for each in fleet.nodes:
        documents = fleet.read_status(each)["documents"]
        assert all(documents[name] >= newest[name] for name in newest)


def test_lost_write_responses_never_run_an_order_twice(fleet):
    fleet.set_platform_faults(LOST_CLAIM_RESPONSES)
    with fleet.run_load(seed=104, seconds=6.0, order_share=0.8, n_repeats=2) as run:
        pass
    check_invariants(run)
    places = defaultdict(set)
    for record in run.history.records:
        if record.key:
            places[record.key].add(fleet.get_data_centre_of(record.node))
    assert any(each == set(DATA_CENTRES) for each in places.values())
    assert count_outcomes(run, {"entry"})["answered"]


def test_rolling_replacement_cuts_and_refuses_nothing(fleet):
    rounds = zip(
        *(fleet.list_nodes(data_centre) for data_centre in DATA_CENTRES), strict=True
    )
    codes = {}
    with fleet.run_load(seed=105, seconds=20.0, order_share=0.2) as run:
        run.wait_until(1.0)
        for nodes in rounds:
            codes |= fleet.stop_nodes(nodes)
            for node in nodes:
                fleet.start_node(node)
            for node in nodes:
                fleet.wait_ready(node)
    check_invariants(run)
    assert set(codes.values()) == {0}
    assert set(count_outcomes(run)) == {"answered"}


def test_drained_data_centre_gets_no_new_work_during_a_platform_outage(fleet):
    with fleet.run_load(seed=106, seconds=8.0) as run:
        run.wait_until(2.0)
        fleet.write_drains(Drains(data_centres=frozenset({"south"})))
        fleet.set_platform_faults(OUTAGE)
        fleet.control_upstreams("south", "drain")
        run.wait_until(7.5)
        state = fleet.read_upstreams()
    south = {name: each for name, each in state.items() if name.startswith("south")}
    late = {name: each["last_call_after_drain_s"] for name, each in south.items()}
    assert max(each or 0.0 for each in late.values()) <= (
        DRAIN_BOUND_S - DRAIN_MARGIN_S
    ), late
    check_invariants(run)
    assert set(count_outcomes(run, SERVICES)) == {"answered"}
    assert not any(each["n_running"] for each in south.values())


@pytest.mark.parametrize(
    ("seed", "pairs"),
    [
        (107, [("north", "south")]),
        (108, [("north", "south"), ("north", "platform")]),
    ],
    ids=["data centres", "data centre and platform"],
)
def test_partitioned_data_centres_keep_answering_and_agree_after_healing(
    fleet, seed, pairs
):
    with fleet.run_load(seed=seed, seconds=8.0) as run:
        run.wait_until(1.5)
        fleet.partition_network(*pairs)
        for data_centre in DATA_CENTRES:
            for node in fleet.list_nodes(data_centre):
                fleet.wait_answered(node, "lookup", outcomes=("answered", "partial"))
        run.wait_until(5.5)
        fleet.partition_network()
    check_invariants(run)
    fleet.wait_settled()
    check_all_nodes_answer(fleet)


def test_upstream_that_turns_cold_unannounced_is_not_overrun(fleet):
    warmed = ["parts-0", "entries-0"]
    with fleet.run_load(seed=109, seconds=7.0) as run:
        for data_centre in DATA_CENTRES:
            names = [f"{data_centre}-{name}" for name in warmed]
            fleet.control_upstreams(
                data_centre, "straggle", upstreams=names, factor=6.0
            )
        for seconds, data_centre in ((2.5, "north"), (4.0, "south")):
            run.wait_until(seconds)
            names = [f"{data_centre}-{name}" for name in warmed]
            fleet.control_upstreams(data_centre, "cold", upstreams=names)
            fleet.control_upstreams(
                data_centre, "fall", upstreams=[f"{data_centre}-findings-0"]
            )
    for data_centre in DATA_CENTRES:
        fleet.control_upstreams(data_centre, "straggle", factor=1.0, probability=0.0)
    check_invariants(run)
    check_all_nodes_answer(fleet)


def test_repartition_under_load_mixes_no_versions(fleet):
    old = fleet.index_version
    new = old + 1
    with fleet.run_load(seed=110, seconds=6.0, order_share=0.1) as run:
        run.wait_until(1.5)
        fleet.set_served_versions(old, new)
        code, output = fleet.publish(new)
        assert code == 0, output
        fleet.set_served_versions(new)
    check_invariants(run)
    versions = {record.version for record in run.history.records if record.version}
    assert versions == {old, new}


def test_concurrent_operators_conflict_or_are_both_kept(fleet):
    new = fleet.index_version + 1
    fleet.set_served_versions(fleet.index_version, new, new + 1)
    before = fleet.read_object("shared/declarations")["version"]
    commands = [
        fleet.start_command("publish", fleet.write_declarations(new)),
        fleet.start_command("publish", fleet.write_declarations(new + 1)),
        fleet.start_command("drain", "upstream", "south-parts-0"),
        fleet.start_command("drain", "upstream", "south-findings-0"),
    ]
    codes = [each.wait(timeout=60) for each in commands]
    after = fleet.read_object("shared/declarations")["version"]
    assert after - before == codes[:2].count(0) >= 1
    assert codes[2:] == [0, 0]
    drained = fleet.read_drains().upstreams
    assert drained == {"south-parts-0", "south-findings-0"}
    fleet.wait_settled()


FAULTY_RESPONSES = {
    "damaged": ("truncate_hits", "truncate_bytes", "doubled", "drop", "fail"),
    "previous": ("previous",),
    "mixed": ("mixed",),
}


def inject_response_faults(fleet, upstreams, kinds, n_next):
    """Make upstreams of both data centres send ``n_next`` faulty responses per kind."""
    for data_centre in DATA_CENTRES:
        names = [f"{data_centre}-{name}" for name in upstreams]
        for kind in kinds:
            fleet.control_upstreams(
                data_centre, "answers", kind=kind, n_next=n_next, upstreams=names
            )


@pytest.mark.parametrize(
    ("seed", "kinds"),
    list(enumerate(FAULTY_RESPONSES.values(), 120)),
    ids=FAULTY_RESPONSES,
)
def test_faulty_responses_reach_no_caller(fleet, seed, kinds):
    searched = ("findings-0", "findings-1", "parts-0")
    with fleet.run_load(seed=seed, seconds=3.0, order_share=0.0) as run:
        run.wait_until(1.0)
        inject_response_faults(fleet, searched, kinds, n_next=max(1, 4 // len(kinds)))
    check_invariants(run)


def test_order_whose_response_is_lost_is_unknown_and_not_run_again(fleet):
    with fleet.run_load(seed=130, seconds=3.0, order_share=0.8, n_repeats=2) as run:
        run.wait_until(1.0)
        inject_response_faults(
            fleet, ("entries-0",), ("truncate_bytes", "drop"), n_next=2
        )
    check_invariants(run)
    assert count_outcomes(run, {"entry"})["unknown"]
