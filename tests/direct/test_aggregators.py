"""Tests of searches that a node with a slow link hands over to one with a fast link."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heatherpick._fleet.nodes import NodeEntry
from heatherpick._net.searches import SearchServer
from heatherpick._serving import effects as fx
from heatherpick._serving import events as ev
from heatherpick._serving.aggregators import (
    DECLINED_PAUSE_S,
    UNRESPONSIVE_PAUSE_S,
    Aggregators,
)
from heatherpick._serving.handovers import MAX_ACCEPT_TIMEOUT_S
from heatherpick._serving.requests import MAX_PEER_SEARCHES, SEND_RESERVE_MS
from tests.direct.site import make_site
from tests.direct.test_requests import (
    HOST,
    ORDER_FIELDS,
    RequestHarness,
    Response,
    make_entry,
)
from tests.direct.test_requests import make_route as make_any_route

FAST_ADDRESSES = ("wide-a:7380", "wide-b:7380")


def make_node(name, link_mbps, data_centre="a"):
    return NodeEntry(name, f"{name}:7380", data_centre, link_mbps)


def make_fleet(n_slow=4, n_fast=2):
    slow = [make_node(f"n{k}", 10.0) for k in range(n_slow)]
    fast = [make_node(f"wide-{'abcdefgh'[k]}", 100.0) for k in range(n_fast)]
    return slow + fast


class HandOverHarness(RequestHarness):
    """A node with a slow link in a fleet with two aggregators."""

    def __init__(self, **fields):
        services = [f"part-{n}" for n in range(4)]
        routes = [
            make_any_route("find", services),
            make_any_route("order", ["desk"], **ORDER_FIELDS),
        ]
        entries = [make_entry(f"{s}-{k}", s) for s in services for k in "xy"]
        entries += [make_entry(f"desk-{k}", "desk") for k in "xy"]
        super().__init__(routes, entries, **fields)
        self.confirmed = []
        self.reducer.set_nodes(make_fleet())

    def pop_effects(self, kind):
        popped = [effect for effect in self.other_effects if type(effect) is kind]
        self.other_effects = [
            effect for effect in self.other_effects if type(effect) is not kind
        ]
        return popped

    def hand_over(self, accepts=True):
        self.send_request()
        (offer,) = self.pop_effects(fx.HandOver)
        if accepts:
            self.feed(ev.HandOverAccepted(offer.query))
            self.confirmed += [
                each.query for each in self.pop_effects(fx.ConfirmHandOver)
            ]
        return offer


@pytest.fixture
def harness():
    return HandOverHarness()


def test_search_at_a_slow_link_is_handed_over_and_no_leg_is_sent_here(harness):
    offer = harness.hand_over()
    assert offer.address in FAST_ADDRESSES
    assert 0 < offer.timeout_ms <= 501
    harness.advance_time(80.0)
    assert harness.sent == []


def test_answer_of_an_aggregator_reaches_the_caller_unchanged(harness):
    query = harness.hand_over().query
    response = Response(200)
    harness.feed(ev.HandOverAnswered(query, response, is_declined=False))
    assert harness.only_effect.response is response


def test_order_is_never_handed_over(harness):
    harness.send_request("/order/x")
    assert harness.pop_effects(fx.HandOver) == []
    assert len(harness.sent) == 1


def test_search_that_is_not_accepted_in_time_is_served_here(harness):
    offer = harness.hand_over(accepts=False)
    harness.advance_time(MAX_ACCEPT_TIMEOUT_S * 1000.0)
    (cancelled,) = harness.pop_effects(fx.CancelHandOver)
    assert cancelled.query is offer.query
    assert len(harness.sent) == 4
    for leg in list(harness.legs):
        harness.answer(leg)
    assert (type(harness.only_effect), harness.only_effect.n_missing) == (fx.Merge, 0)


@pytest.mark.parametrize("is_lost", [True, False])
def test_one_upstream_less_is_asked_after_an_unresponsive_aggregator(harness, is_lost):
    query = harness.hand_over(accepts=False).query
    if is_lost:
        harness.feed(ev.HandOverFailed(query, "reset"))
    harness.advance_time(95.0)
    asked = [each.leg.upstream.entry.service for each in harness.sent]
    assert sorted(asked) == [f"part-{n}" for n in range(4)]


def test_refusal_does_not_claim_that_an_unresponsive_aggregator_has_not_begun(harness):
    """The aggregator may have sent legs, although no upstream answers this node."""
    harness.hand_over(accepts=False)
    harness.advance_time(MAX_ACCEPT_TIMEOUT_S * 1000.0)
    harness.pop_effects(fx.CancelHandOver)
    for _ in range(8):
        for leg in list(harness.legs):
            # The last failures end the search, which cancels its other legs.
            if leg in harness.legs:
                harness.fail(leg, was_sent=False)
        harness.advance_time(10.0)
    assert harness.only_effect.status in (502, 504)


def test_unresponsive_aggregator_is_offered_no_search_for_a_while(harness):
    unresponsive = harness.hand_over(accepts=False).address
    harness.advance_time(MAX_ACCEPT_TIMEOUT_S * 1000.0)
    for _ in range(4):
        assert harness.hand_over().address != unresponsive
    harness.advance_time(UNRESPONSIVE_PAUSE_S * 1000.0)
    assert unresponsive in {harness.hand_over().address for _ in range(2)}


@pytest.mark.parametrize("is_declined", [True, False])
def test_search_that_was_declined_or_lost_before_acceptance_is_served_here(
    harness, is_declined
):
    query = harness.hand_over(accepts=False).query
    if is_declined:
        harness.feed(ev.HandOverAnswered(query, Response(409), is_declined=True))
    else:
        harness.feed(ev.HandOverFailed(query, "reset"))
    assert len(harness.sent) == 4


def test_search_whose_aggregator_is_lost_after_acceptance_is_not_run_again(harness):
    query = harness.hand_over().query
    harness.feed(ev.HandOverFailed(query, "reset"))
    assert (harness.only_effect.status, harness.sent) == (502, [])
    assert harness.only_effect.retry_after_s > 0


def test_accepted_search_without_an_answer_is_refused_before_the_timeout(harness):
    harness.hand_over()
    harness.advance_time(501.0)
    assert len(harness.pop_effects(fx.CancelHandOver)) == 1
    assert (harness.only_effect.status, harness.sent) == (504, [])


def test_hand_over_is_cancelled_when_the_caller_disconnects(harness):
    query = harness.hand_over().query
    harness.feed(ev.CallerDisconnected(query))
    assert [type(effect) for effect in harness.other_effects] == [fx.CancelHandOver]


def test_late_event_of_an_aggregator_is_ignored_once_the_caller_disconnected(harness):
    query = harness.hand_over().query
    harness.feed(ev.CallerDisconnected(query))
    harness.other_effects.clear()
    harness.feed(ev.HandOverAccepted(query))
    harness.feed(ev.HandOverAnswered(query, Response(200), is_declined=False))
    harness.feed(ev.HandOverFailed(query, "reset"))
    assert (harness.other_effects, harness.sent) == ([], [])


def test_nodes_with_similar_links_serve_their_own_searches(harness):
    harness.reducer.set_nodes([make_node(f"n{k}", 10.0 + k) for k in range(6)])
    harness.send_request()
    assert len(harness.sent) == 4


def offer_search(harness, version=1, age_ms=0.0, timeout_ms=400.0):
    harness.feed(
        ev.RequestArrived(
            "peer", HOST, "/find/x", "r1", timeout_ms, 0.0, version, age_ms
        )
    )


def test_aggregator_accepts_before_it_sends_a_leg_and_never_hands_over(harness):
    effect_types = []
    for effect in harness.reducer.reduce(
        ev.RequestArrived("peer", HOST, "/find/x", "r1", 400.0, 0.0, 1), harness.now
    ):
        effect_types.append(type(effect))
    assert effect_types[0] is fx.AcceptHandOver
    assert effect_types.count(fx.SendLeg) == 4
    assert fx.HandOver not in effect_types


def test_received_acceptance_is_confirmed(harness):
    query = harness.hand_over().query
    assert harness.confirmed == [query]


def test_acceptance_after_the_caller_disconnected_is_not_confirmed(harness):
    query = harness.hand_over(accepts=False).query
    harness.feed(ev.CallerDisconnected(query))
    harness.feed(ev.HandOverAccepted(query))
    assert harness.pop_effects(fx.ConfirmHandOver) == []


@pytest.mark.parametrize("n_upstreams", [2, 3])
@pytest.mark.parametrize("is_confirmed", [False, True])
def test_both_nodes_together_ask_no_more_upstreams_than_the_route_allows(
    n_upstreams, is_confirmed
):
    """The aggregator starts, and the other node never receives its acceptance."""
    services = ["part-0"]
    routes = [make_any_route("find", services, max_upstreams=n_upstreams)]
    entries = [make_entry(f"part-0-{k}", "part-0") for k in "vwxyz"]

    def count_sent_legs(is_aggregator):
        harness = RequestHarness(routes, entries)
        if is_aggregator:
            offer_search(harness)
            if is_confirmed:
                harness.feed(ev.HandOverConfirmed(harness.sent[0].leg.query))
        else:
            harness.reducer.set_nodes(make_fleet())
            harness.send_request()
            harness.advance_time(MAX_ACCEPT_TIMEOUT_S * 1000.0)
        # Every leg fails, so that as many upstreams are asked as are allowed.
        for _ in range(40):
            for leg in list(harness.legs):
                harness.feed(ev.LegFailed(leg, True, "reset"))
            harness.advance_time(5.0)
        return len(harness.sent)

    n_sent_by_aggregator = count_sent_legs(is_aggregator=True)
    if is_confirmed:
        assert n_sent_by_aggregator == n_upstreams
    else:
        assert n_sent_by_aggregator >= 1
        assert (
            n_sent_by_aggregator + count_sent_legs(is_aggregator=False) <= n_upstreams
        )


def test_aggregator_hedges_once_its_acceptance_is_confirmed(harness):
    offer_search(harness)
    harness.advance_time(60.0)
    assert len(harness.sent) == 4
    harness.feed(ev.HandOverConfirmed(harness.sent[0].leg.query))
    harness.advance_time(20.0)
    assert len(harness.sent) == 8


def test_search_whose_shards_may_ask_one_upstream_only_is_not_handed_over():
    routes = [make_any_route("find", ["part-0"], max_upstreams=1)]
    harness = RequestHarness(routes, [make_entry("part-0-x", "part-0")])
    harness.reducer.set_nodes(make_fleet())
    harness.send_request()
    assert len(harness.sent) == 1


def test_aggregator_includes_the_time_that_the_other_node_had_the_search(harness):
    offer_search(harness, age_ms=20.0)
    assert harness.sent[0].timeout_ms <= 400
    for leg in list(harness.legs)[:3]:
        harness.answer(leg)
    harness.advance_time(100.0 - 20.0 - SEND_RESERVE_MS - 0.1)
    assert harness.pop_effects(fx.Merge) == []
    harness.advance_time(0.2)
    assert len(harness.pop_effects(fx.Merge)) == 1


@pytest.mark.parametrize("version", [0, 2])
def test_aggregator_declines_a_search_with_another_version_of_the_routes(
    harness, version
):
    offer_search(harness, version=version)
    assert [type(effect) for effect in harness.other_effects] == [fx.DeclineHandOver]
    assert harness.sent == []


def test_aggregator_limits_its_concurrent_searches_of_other_nodes(harness):
    for _ in range(MAX_PEER_SEARCHES + 1):
        offer_search(harness)
    assert len(harness.pop_effects(fx.DeclineHandOver)) == 1
    for leg in list(harness.legs):
        harness.answer(leg)
    harness.other_effects.clear()
    offer_search(harness)
    assert harness.pop_effects(fx.DeclineHandOver) == []


fleets = st.lists(
    st.tuples(st.sampled_from([0.0, 9.0, 11.0, 30.0, 50.0, 100.0]), st.booleans()),
    min_size=1,
    max_size=20,
)


@given(fleets)
def test_shares_of_the_extra_legs_never_add_up_to_more_than_one(fleet):
    nodes = [
        make_node(f"n{k}", link_mbps) if has_search_address else NodeEntry(f"n{k}")
        for k, (link_mbps, has_search_address) in enumerate(fleet)
    ]
    total = 0.0
    for node in nodes:
        aggregators = Aggregators(node.address)
        aggregators.set_nodes(nodes)
        total += aggregators.compute_extra_leg_share(len(nodes))
    assert total <= 1.0 + 1e-9


@given(fleets, st.integers(0, 19))
def test_no_aggregator_hands_a_search_over(fleet, index):
    nodes = [make_node(f"n{k}", link_mbps) for k, (link_mbps, _) in enumerate(fleet)]
    own = nodes[index % len(nodes)]
    aggregators = Aggregators(own.address)
    aggregators.set_nodes(nodes)
    address = aggregators.choose(now=0.0)
    assert address != own.search_address
    assert not (aggregators.is_aggregator and address)


@pytest.mark.parametrize(
    "value", ["text", {"address": 5}, {"address": "a:1"}, {"address": "10.0.0.1:70000"}]
)
def test_node_entry_without_a_valid_address_names_no_node(value):
    assert NodeEntry.from_value(value) is None


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("search_address", "b:2"),
        ("search_address", None),
        ("search_address", "10.0.0.1:99999"),
        ("data_centre", 5),
        ("link_mbps", "fast"),
        ("link_mbps", -1.0),
        ("link_mbps", float("inf")),
        ("link_mbps", float("nan")),
        ("link_mbps", 10**400),
    ],
)
def test_node_entry_with_an_invalid_field_has_its_address_only(field, value):
    # Guards against one entry that makes every node an aggregator, or none.
    fields = NodeEntry("10.0.0.1:1", "10.0.0.1:2", "north", 10.0).to_value()
    assert NodeEntry.from_value({**fields, field: value}) == NodeEntry("10.0.0.1:1")


def test_node_entry_is_the_same_after_encoding_and_decoding():
    for search_address in ("", "10.0.0.1:2"):
        entry = NodeEntry("10.0.0.1:1", search_address, "north", 10.0)
        assert NodeEntry.from_value(entry.to_value()) == entry


# Over loopback


@pytest.fixture
def site():
    """Two nodes, the first with a fast link and the second with a slow one."""
    return make_site(links_mbps=[100.0, 10.0])


def count_requests(site):
    return sum(len(each.requests) for each in site.upstreams.values())


def send_search(site, request_id="r1", extra=()):
    caller = site.connect(site.nodes[1])
    caller.send_request("/find/x?q=1", request_id=request_id, extra=extra)
    return caller


def list_reports(site, node):
    return site.logs[node].find("request ended")


def wait_for_node_lists(site):
    """Run the site until each node lists both nodes."""
    site.run_until(
        lambda: all(
            lines and lines[-1]["n_nodes"] == 2
            for lines in (each.find("nodes listed") for each in site.logs)
        )
    )


def test_handed_over_search_is_answered_completely_and_asks_each_shard_once(site):
    wait_for_node_lists(site)
    status, headers, body = send_search(site).read_response()
    assert (status, headers["parts-missing"]) == (200, "0")
    assert body == b"".join(name.ljust(16, b".") for name in (b"p2", b"p1", b"p0"))
    assert count_requests(site) == 3
    (at_slow,), (at_fast,) = list_reports(site, 1), list_reports(site, 0)
    assert at_slow["outcome"] == "handed over"
    assert (at_fast["outcome"], at_fast["for_peer"]) == ("complete", True)


def test_confirmation_reaches_the_aggregator_and_leaves_the_connection_usable(site):
    wait_for_node_lists(site)
    event_types = []
    reducer = site.nodes[0]._reducer
    reduce = reducer.reduce
    reducer.reduce = lambda event, now: (
        event_types.append(type(event)) or reduce(event, now)
    )
    for n in range(3):
        assert send_search(site, f"r{n}").read_response()[0] == 200
        site.run_for(0.05)
    assert event_types.count(ev.HandOverConfirmed) == 3
    pools = site.nodes[1]._gateway._search_client._pools
    assert [each.n_opened for each in pools.values()] == [1]


def test_caller_cannot_pose_as_another_node(site):
    caller = site.connect(site.nodes[0])
    extra = ["X-Heatherpick-Routes: 99", "X-Heatherpick-Age-Us: 1"]
    caller.send_request("/find/x", extra=extra)
    assert caller.read_response()[0] == 200
    asked = [r for each in site.upstreams.values() for r in each.requests]
    assert not any(b"x-heatherpick-routes" in each.by_name for each in asked)


def test_aggregator_cancels_its_legs_when_the_caller_disconnects(site):
    wait_for_node_lists(site)
    for upstream in site.upstreams.values():
        upstream.delay_s = 1.0
    caller = send_search(site)
    site.run_until(lambda: count_requests(site) >= 3)
    caller.sock.close()
    site.run_until(
        lambda: sum(u.n_disconnects for u in site.upstreams.values()) >= 3, 0.5
    )


def test_search_is_served_here_when_the_aggregator_does_not_respond(site, monkeypatch):
    wait_for_node_lists(site)
    monkeypatch.setattr(SearchServer, "handle_request", lambda self, request: None)
    status, headers, _ = send_search(site).read_response()
    assert (status, headers["parts-missing"]) == (200, "0")
    assert list_reports(site, 1)[0]["outcome"] == "complete"


def test_search_that_is_declined_on_a_used_connection_is_served_here_at_once(site):
    # Guards against a decline, which repeats no id, that counts as no answer.
    wait_for_node_lists(site)
    assert send_search(site, "r1").read_response()[0] == 200
    site.nodes[0]._gateway._is_stopping = True
    assert send_search(site, "r2").read_response()[0] == 200
    outcomes = {each["request"]: each["outcome"] for each in list_reports(site, 1)}
    assert outcomes == {"r1": "handed over", "r2": "complete"}
    paused_until = site.nodes[1]._reducer._aggregators._paused_until.values()
    assert max(paused_until) - site.loop.seconds() <= DECLINED_PAUSE_S


def test_stopping_aggregator_declines_and_finishes_what_it_accepted(site):
    wait_for_node_lists(site)
    for upstream in site.upstreams.values():
        upstream.delay_s = 0.2
    first = send_search(site, "r1")
    site.run_until(lambda: count_requests(site) >= 3)
    site.nodes[0].begin_stop()
    second = send_search(site, "r2")
    assert first.read_response()[0] == second.read_response()[0] == 200
    outcomes = {each["request"]: each["outcome"] for each in list_reports(site, 1)}
    assert outcomes == {"r1": "handed over", "r2": "complete"}
    assert len(list_reports(site, 1)) == 2


def test_search_whose_head_is_too_long_between_nodes_is_served_here(site):
    wait_for_node_lists(site)
    status, _, _ = send_search(site, extra=["X-Long: " + "a" * 1850]).read_response()
    assert status == 200
