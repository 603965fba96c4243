"""Real processes under real faults: kills, freezes, cuts, outages, lost answers."""

import time
from collections import Counter, defaultdict

import pytest

from heatherpick._core.rendezvous import find_first
from heatherpick.declarations import Drains
from tests.process.history import find_faults
from tests.process.sites import PLACES, SERVICES

#: Longer than the time after which a silent node is suspected.
FREEZE_SECONDS = 2.5
#: Time within which an operator's word holds everywhere, by the upstreams' clock.
DRAIN_SECONDS = 3.0
#: What that clock may start late: the test writes the drain, ends the platform and
#: only then has the upstreams note the time.
DRAIN_MARGIN_SECONDS = 0.5

LOST_CLAIM_ANSWERS = {
    "kind": "lose_answers",
    "prefix": "claims/",
    "operations": ["put"],
    "probability": 0.4,
}
OUTAGE = {"kind": "outage"}


def check_run(run):
    """Check what must hold in every case."""
    assert find_faults(run.history) == []
    overruns = {name: each["n_cold_overruns"] for name, each in run.counts.items()}
    assert not any(overruns.values()), overruns
    assert count_outcomes(run)["answered"]


def count_outcomes(run, services=None):
    return Counter(
        record.outcome
        for record in run.history.records
        if services is None or record.service in services
    )


def find_owner(fleet, group):
    """Return the node that owns a group while all nodes are well."""
    place = group.split("/")[1]
    return find_first(group, [n for n in fleet.nodes if fleet.site.nodes[n] == place])


def check_all_answer(fleet):
    """Check that searches are answered in full again through every node."""
    for node in fleet.nodes:
        for service in SERVICES:
            fleet.wait_answered(node, service)


def test_calm_run_answers_everything(fleet):
    with fleet.run_load(seed=100, seconds=3.0) as run:
        pass
    check_run(run)
    assert set(count_outcomes(run)) == {"answered"}


def test_killed_owner_costs_only_what_it_held(fleet):
    owner = find_owner(fleet, "findings/north/0")
    with fleet.run_load(seed=101, seconds=6.0) as run:
        run.wait_until(2.0)
        fleet.kill_node(owner, run)
    check_run(run)
    check_all_answer(fleet)


def test_paused_owner_never_doubles_the_load_of_a_cold_upstream(fleet):
    owner = find_owner(fleet, "findings/north/0")
    # Slow calls keep all slots busy and legs waiting, so that the owner that returns
    # has work at hand and its successor has work out.
    for place in PLACES:
        fleet.control(place, "straggle", upstreams=[f"{place}-findings-0"], factor=3.0)
    with fleet.run_load(seed=102, seconds=8.0, order_share=0.0) as run:
        run.wait_until(2.0)
        for _ in range(2):
            fleet.freeze(owner)
            time.sleep(FREEZE_SECONDS)
            fleet.thaw(owner)
            time.sleep(0.3)
    for place in PLACES:
        fleet.control(place, "straggle", factor=1.0, probability=0.0)
    check_run(run)
    assert not any(each["n_falls"] for each in run.counts.values())
    assert run.counts["north-findings-0"]["n_calls"] > 0
    check_all_answer(fleet)


def test_node_replaced_during_an_outage_takes_the_newest_documents(fleet):
    node = find_owner(fleet, "findings/south/1")
    newest = fleet.read_status(node)["documents"]
    with fleet.run_load(seed=103, seconds=8.0) as run:
        run.wait_until(1.0)
        fleet.harm_platform(OUTAGE)
        fleet.kill_node(node, run)
        fleet.start_node(node)
        fleet.wait_ready(node)
        fleet.wait_documents(node, newest)
        fleet.harm_platform()
    check_run(run)
    fleet.wait_settled()
    for each in fleet.nodes:
        documents = fleet.read_status(each)["documents"]
        assert all(documents[name] >= newest[name] for name in newest)


def test_lost_write_answers_never_double_an_order(fleet):
    fleet.harm_platform(LOST_CLAIM_ANSWERS)
    with fleet.run_load(seed=104, seconds=6.0, order_share=0.8, n_repeats=2) as run:
        pass
    check_run(run)
    places = defaultdict(set)
    for record in run.history.records:
        if record.key:
            places[record.key].add(fleet.place_of(record.node))
    assert any(each == set(PLACES) for each in places.values())
    assert count_outcomes(run, {"entry"})["answered"]


def test_rolling_replacement_cuts_and_refuses_nothing(fleet):
    rounds = zip(*(fleet.list_nodes(place) for place in PLACES), strict=True)
    codes = {}
    with fleet.run_load(seed=105, seconds=20.0, order_share=0.2) as run:
        run.wait_until(1.0)
        for nodes in rounds:
            codes |= fleet.stop_nodes(nodes)
            for node in nodes:
                fleet.start_node(node)
            for node in nodes:
                fleet.wait_ready(node)
    check_run(run)
    assert set(codes.values()) == {0}
    assert set(count_outcomes(run)) == {"answered"}


def test_drained_data_centre_gets_no_new_work_though_the_platform_goes_down(fleet):
    with fleet.run_load(seed=106, seconds=8.0) as run:
        run.wait_until(2.0)
        fleet.write_drains(Drains(data_centres=frozenset({"south"})))
        fleet.harm_platform(OUTAGE)
        fleet.control("south", "drain")
        run.wait_until(7.5)
        state = fleet.read_upstreams()
    south = {name: each for name, each in state.items() if name.startswith("south")}
    late = {name: each["last_call_after_drain_s"] for name, each in south.items()}
    assert max(each or 0.0 for each in late.values()) <= (
        DRAIN_SECONDS - DRAIN_MARGIN_SECONDS
    ), late
    check_run(run)
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
def test_cut_data_centres_go_on_and_agree_when_it_heals(fleet, seed, pairs):
    with fleet.run_load(seed=seed, seconds=8.0) as run:
        run.wait_until(1.5)
        fleet.cut(*pairs)
        for place in PLACES:
            for node in fleet.list_nodes(place):
                fleet.wait_answered(node, "lookup", outcomes=("answered", "partial"))
        run.wait_until(5.5)
        fleet.cut()
    check_run(run)
    fleet.wait_settled()
    check_all_answer(fleet)


def test_upstream_that_turns_cold_unannounced_is_not_overrun(fleet):
    warmed = ["parts-0", "entries-0"]
    with fleet.run_load(seed=109, seconds=7.0) as run:
        for place in PLACES:
            names = [f"{place}-{name}" for name in warmed]
            fleet.control(place, "straggle", upstreams=names, factor=6.0)
        for seconds, place in ((2.5, "north"), (4.0, "south")):
            run.wait_until(seconds)
            names = [f"{place}-{name}" for name in warmed]
            fleet.control(place, "cold", upstreams=names)
            fleet.control(place, "fall", upstreams=[f"{place}-findings-0"])
    for place in PLACES:
        fleet.control(place, "straggle", factor=1.0, probability=0.0)
    check_run(run)
    check_all_answer(fleet)


def test_repartition_under_load_mixes_no_versions(fleet):
    old = fleet.index_version
    new = old + 1
    with fleet.run_load(seed=110, seconds=6.0, order_share=0.1) as run:
        run.wait_until(1.5)
        fleet.serve(old, new)
        code, output = fleet.publish(new)
        assert code == 0, output
        fleet.serve(new)
    check_run(run)
    versions = {record.version for record in run.history.records if record.version}
    assert versions == {old, new}


def test_racing_operators_conflict_or_are_both_kept(fleet):
    new = fleet.index_version + 1
    fleet.serve(fleet.index_version, new, new + 1)
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


SPOILED = {
    "damaged": ("truncate_hits", "truncate_bytes", "doubled", "drop", "fail"),
    "previous": ("previous",),
    "mixed": ("mixed",),
}


def spoil(fleet, upstreams, kinds, n_next):
    """Have upstreams of both data centres spoil their next answers."""
    for place in PLACES:
        names = [f"{place}-{name}" for name in upstreams]
        for kind in kinds:
            fleet.control(place, "answers", kind=kind, n_next=n_next, upstreams=names)


@pytest.mark.parametrize(
    ("seed", "kinds"), list(enumerate(SPOILED.values(), 120)), ids=SPOILED
)
def test_spoiled_answers_reach_no_caller(fleet, seed, kinds):
    searched = ("findings-0", "findings-1", "parts-0")
    with fleet.run_load(seed=seed, seconds=3.0, order_share=0.0) as run:
        run.wait_until(1.0)
        spoil(fleet, searched, kinds, n_next=max(1, 4 // len(kinds)))
    check_run(run)


def test_order_whose_answer_is_lost_is_unknown_and_not_run_again(fleet):
    with fleet.run_load(seed=130, seconds=3.0, order_share=0.8, n_repeats=2) as run:
        run.wait_until(1.0)
        spoil(fleet, ("entries-0",), ("truncate_bytes", "drop"), n_next=2)
    check_run(run)
    assert count_outcomes(run, {"entry"})["unknown"]
