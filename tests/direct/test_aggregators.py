"""Searches that a node with a narrow link hands over to one with a wide link."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heatherpick._fleet.nodes import NodeEntry
from heatherpick._net.searches import SearchServer
from heatherpick._serving import effects as fx
from heatherpick._serving import events as ev
from heatherpick._serving.aggregators import SILENT_PAUSE_S, Aggregators
from heatherpick._serving.handovers import MAX_ACCEPT_S
from heatherpick._serving.requests import MAX_FOR_PEERS, SENDING_MS
from tests.direct.site import make_site
from tests.direct.test_requests import HOST, ORDER, Answer, Player, make_entry
from tests.direct.test_requests import make_route as make_any_route

WIDE = ("wide-a:7380", "wide-b:7380")


def make_node(name, link_mbps, data_centre="a"):
    return NodeEntry(name, f"{name}:7380", data_centre, link_mbps)


def list_fleet(n_narrow=4, n_wide=2):
    narrow = [make_node(f"n{k}", 10.0) for k in range(n_narrow)]
    wide = [make_node(f"wide-{'abcdefgh'[k]}", 100.0) for k in range(n_wide)]
    return narrow + wide


class HandingPlayer(Player):
    """A node with a narrow link beside two with wide ones."""

    def __init__(self, **fields):
        services = [f"part-{n}" for n in range(4)]
        routes = [
            make_any_route("find", services),
            make_any_route("order", ["desk"], **ORDER),
        ]
        entries = [make_entry(f"{s}-{k}", s) for s in services for k in "xy"]
        entries += [make_entry(f"desk-{k}", "desk") for k in "xy"]
        super().__init__(routes, entries, **fields)
        self.confirmed = []
        self.reducer.know_nodes(list_fleet())

    def take(self, kind):
        taken = [end for end in self.ends if type(end) is kind]
        self.ends = [end for end in self.ends if type(end) is not kind]
        return taken

    def hand_over(self, accepts=True):
        self.ask()
        (offer,) = self.take(fx.HandOver)
        if accepts:
            self.feed(ev.HandOverAccepted(offer.query))
            self.confirmed += [each.query for each in self.take(fx.Confirm)]
        return offer


@pytest.fixture
def player():
    return HandingPlayer()


def test_search_of_a_narrow_node_goes_to_a_wide_one_and_no_leg_is_sent_here(player):
    offer = player.hand_over()
    assert offer.address in WIDE
    assert 0 < offer.patience_ms <= 501
    player.pass_time(80.0)
    assert player.sent == []


def test_answer_of_an_aggregator_reaches_the_caller_unchanged(player):
    query = player.hand_over().query
    answer = Answer(200)
    player.feed(ev.HandOverAnswered(query, answer, is_declined=False))
    assert player.end.answer is answer


def test_order_is_never_handed_over(player):
    player.ask("/order/x")
    assert player.take(fx.HandOver) == []
    assert len(player.sent) == 1


def test_search_that_is_not_accepted_in_time_is_served_here(player):
    offer = player.hand_over(accepts=False)
    player.pass_time(MAX_ACCEPT_S * 1000.0)
    (taken,) = player.take(fx.TakeBack)
    assert taken.query is offer.query
    assert len(player.sent) == 4
    for leg in list(player.legs):
        player.answer(leg)
    assert (type(player.end), player.end.n_missing) == (fx.Merge, 0)


@pytest.mark.parametrize("is_lost", [True, False])
def test_silent_aggregator_may_have_begun_so_one_upstream_less_is_asked(
    player, is_lost
):
    query = player.hand_over(accepts=False).query
    if is_lost:
        player.feed(ev.HandOverFailed(query, "reset"))
    player.pass_time(95.0)
    asked = [each.leg.upstream.entry.service for each in player.sent]
    assert sorted(asked) == [f"part-{n}" for n in range(4)]


def test_silent_aggregator_is_passed_over_for_a_while(player):
    silent = player.hand_over(accepts=False).address
    player.pass_time(MAX_ACCEPT_S * 1000.0)
    for _ in range(4):
        assert player.hand_over().address != silent
    player.pass_time(SILENT_PAUSE_S * 1000.0)
    assert silent in {player.hand_over().address for _ in range(2)}


@pytest.mark.parametrize("is_declined", [True, False])
def test_search_that_was_declined_or_lost_before_acceptance_is_served_here(
    player, is_declined
):
    query = player.hand_over(accepts=False).query
    if is_declined:
        player.feed(ev.HandOverAnswered(query, Answer(409), is_declined=True))
    else:
        player.feed(ev.HandOverFailed(query, "reset"))
    assert len(player.sent) == 4


def test_search_whose_aggregator_is_lost_after_acceptance_is_not_run_again(player):
    query = player.hand_over().query
    player.feed(ev.HandOverFailed(query, "reset"))
    assert (player.end.status, player.sent) == (502, [])
    assert player.end.retry_after_s > 0


def test_accepted_search_without_an_answer_ends_before_the_callers_patience(player):
    player.hand_over()
    player.pass_time(501.0)
    assert len(player.take(fx.TakeBack)) == 1
    assert (player.end.status, player.sent) == (504, [])


def test_caller_that_leaves_has_its_search_taken_back(player):
    query = player.hand_over().query
    player.feed(ev.CallerLeft(query))
    assert [type(end) for end in player.ends] == [fx.TakeBack]


def test_late_word_of_an_aggregator_changes_nothing_once_the_caller_has_left(player):
    query = player.hand_over().query
    player.feed(ev.CallerLeft(query))
    player.ends.clear()
    player.feed(ev.HandOverAccepted(query))
    player.feed(ev.HandOverAnswered(query, Answer(200), is_declined=False))
    player.feed(ev.HandOverFailed(query, "reset"))
    assert (player.ends, player.sent) == ([], [])


def test_without_wide_nodes_each_node_serves_its_own_searches(player):
    player.reducer.know_nodes([make_node(f"n{k}", 10.0 + k) for k in range(6)])
    player.ask()
    assert len(player.sent) == 4


def offer_to(player, version=1, age_ms=0.0, patience_ms=400.0):
    player.feed(
        ev.RequestArrived(
            "peer", HOST, "/find/x", "r1", patience_ms, 0.0, version, age_ms
        )
    )


def test_aggregator_accepts_before_it_sends_a_leg_and_never_hands_over(player):
    order = []
    for effect in player.reducer.reduce(
        ev.RequestArrived("peer", HOST, "/find/x", "r1", 400.0, 0.0, 1), player.now
    ):
        order.append(type(effect))
    assert order[0] is fx.Accept
    assert order.count(fx.SendLeg) == 4
    assert fx.HandOver not in order


def test_acceptance_that_was_seen_is_confirmed(player):
    query = player.hand_over().query
    assert player.confirmed == [query]


def test_acceptance_that_comes_after_the_caller_left_is_not_confirmed(player):
    query = player.hand_over(accepts=False).query
    player.feed(ev.CallerLeft(query))
    player.feed(ev.HandOverAccepted(query))
    assert player.take(fx.Confirm) == []


@pytest.mark.parametrize("n_upstreams", [2, 3])
@pytest.mark.parametrize("is_confirmed", [False, True])
def test_both_nodes_together_ask_no_more_upstreams_than_the_route_allows(
    n_upstreams, is_confirmed
):
    """The aggregator begins, and the other node never sees its acceptance."""
    services = ["part-0"]
    routes = [make_any_route("find", services, n_upstreams=n_upstreams)]
    entries = [make_entry(f"part-0-{k}", "part-0") for k in "vwxyz"]

    def play(has_peer):
        player = Player(routes, entries)
        if has_peer:
            offer_to(player)
            if is_confirmed:
                player.feed(ev.HandOverConfirmed(player.sent[0].leg.query))
        else:
            player.reducer.know_nodes(list_fleet())
            player.ask()
            player.pass_time(MAX_ACCEPT_S * 1000.0)
        # Every leg fails, so that as many upstreams are asked as may be.
        for _ in range(40):
            for leg in list(player.legs):
                player.feed(ev.LegFailed(leg, True, "reset"))
            player.pass_time(5.0)
        return len(player.sent)

    at_aggregator = play(has_peer=True)
    if is_confirmed:
        assert at_aggregator == n_upstreams
    else:
        assert at_aggregator >= 1
        assert at_aggregator + play(has_peer=False) <= n_upstreams


def test_aggregator_hedges_once_its_acceptance_was_seen(player):
    offer_to(player)
    player.pass_time(60.0)
    assert len(player.sent) == 4
    player.feed(ev.HandOverConfirmed(player.sent[0].leg.query))
    player.pass_time(20.0)
    assert len(player.sent) == 8


def test_search_whose_shards_may_ask_one_upstream_only_is_not_handed_over():
    routes = [make_any_route("find", ["part-0"], n_upstreams=1)]
    player = Player(routes, [make_entry("part-0-x", "part-0")])
    player.reducer.know_nodes(list_fleet())
    player.ask()
    assert len(player.sent) == 1


def test_aggregator_counts_the_time_that_the_other_node_had_the_search(player):
    offer_to(player, age_ms=20.0)
    assert player.sent[0].patience_ms <= 400
    for leg in list(player.legs)[:3]:
        player.answer(leg)
    player.pass_time(100.0 - 20.0 - SENDING_MS - 0.1)
    assert player.take(fx.Merge) == []
    player.pass_time(0.2)
    assert len(player.take(fx.Merge)) == 1


@pytest.mark.parametrize("version", [0, 2])
def test_aggregator_declines_a_search_by_other_routes(player, version):
    offer_to(player, version=version)
    assert [type(end) for end in player.ends] == [fx.Decline]
    assert player.sent == []


def test_aggregator_declines_what_would_crowd_its_link_and_takes_more_once_done(player):
    for _ in range(MAX_FOR_PEERS + 1):
        offer_to(player)
    assert len(player.take(fx.Decline)) == 1
    for leg in list(player.legs):
        player.answer(leg)
    player.ends.clear()
    offer_to(player)
    assert player.take(fx.Decline) == []


fleets = st.lists(
    st.tuples(st.sampled_from([0.0, 9.0, 11.0, 30.0, 50.0, 100.0]), st.booleans()),
    min_size=1,
    max_size=20,
)


@given(fleets)
def test_parts_of_the_extra_legs_never_add_up_to_more_than_the_whole(fleet):
    nodes = [
        make_node(f"n{k}", link_mbps) if takes else NodeEntry(f"n{k}")
        for k, (link_mbps, takes) in enumerate(fleet)
    ]
    total = 0.0
    for node in nodes:
        aggregators = Aggregators(node.address)
        aggregators.set_nodes(nodes)
        total += aggregators.compute_extras_part(len(nodes))
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


def test_entry_of_another_writer_names_no_node_or_one_that_takes_no_searches():
    assert NodeEntry.from_value("text") is None
    assert NodeEntry.from_value({"address": 5}) is None
    assert NodeEntry.from_value({"address": "a:1"}) == NodeEntry("a:1")
    assert NodeEntry.from_value({"address": "a:1", "search_address": "b:2"}) == (
        NodeEntry("a:1")
    )
    whole = make_node("n0", 10.0)
    assert NodeEntry.from_value(whole.to_value()) == whole


# Over loopback


@pytest.fixture
def site():
    """One node with a wide link and one with a narrow one."""
    return make_site(links_mbps=[100.0, 10.0])


def count_asked(site):
    return sum(len(each.requests) for each in site.upstreams.values())


def search(site, request_id="r1", extra=()):
    caller = site.connect(site.nodes[1])
    caller.send_request("/find/x?q=1", request_id=request_id, extra=extra)
    return caller


def list_ends(site, node):
    return site.logs[node].find("request ended")


def wait_for_nodes(site):
    """Wait until each node knows both."""
    site.run_until(
        lambda: all(
            lines and lines[-1]["n_nodes"] == 2
            for lines in (each.find("nodes listed") for each in site.logs)
        )
    )


def test_handed_over_search_is_answered_whole_and_asks_each_shard_once(site):
    wait_for_nodes(site)
    status, headers, body = search(site).read_response()
    assert (status, headers["parts-missing"]) == (200, "0")
    assert body == b"".join(name.ljust(16, b".") for name in (b"p2", b"p1", b"p0"))
    assert count_asked(site) == 3
    (at_narrow,), (at_wide,) = list_ends(site, 1), list_ends(site, 0)
    assert at_narrow["outcome"] == "handed over"
    assert (at_wide["outcome"], at_wide["for_peer"]) == ("complete", True)


def test_confirmation_reaches_the_aggregator_and_leaves_the_connection_sound(site):
    wait_for_nodes(site)
    confirmed = []
    reducer = site.nodes[0]._reducer
    reduce = reducer.reduce
    reducer.reduce = lambda event, now: (
        confirmed.append(type(event)) or reduce(event, now)
    )
    for n in range(3):
        assert search(site, f"r{n}").read_response()[0] == 200
        site.run_for(0.05)
    assert confirmed.count(ev.HandOverConfirmed) == 3
    pools = site.nodes[1]._gateway._search_client._pools
    assert [each.n_opened for each in pools.values()] == [1]


def test_caller_cannot_pose_as_another_node(site):
    caller = site.connect(site.nodes[0])
    extra = ["X-Heatherpick-Routes: 99", "X-Heatherpick-Age-Us: 1"]
    caller.send_request("/find/x", extra=extra)
    assert caller.read_response()[0] == 200
    asked = [r for each in site.upstreams.values() for r in each.requests]
    assert not any(b"x-heatherpick-routes" in each.by_name for each in asked)


def test_caller_that_leaves_has_the_legs_of_an_aggregator_cut(site):
    wait_for_nodes(site)
    for upstream in site.upstreams.values():
        upstream.delay_s = 1.0
    caller = search(site)
    site.run_until(lambda: count_asked(site) >= 3)
    caller.sock.close()
    site.run_until(
        lambda: sum(u.n_abandoned for u in site.upstreams.values()) >= 3, 0.5
    )


def test_search_is_served_here_when_the_aggregator_says_nothing(site, monkeypatch):
    wait_for_nodes(site)
    monkeypatch.setattr(SearchServer, "begin", lambda self, request: None)
    status, headers, _ = search(site).read_response()
    assert (status, headers["parts-missing"]) == (200, "0")
    assert list_ends(site, 1)[0]["outcome"] == "complete"


def test_stopping_aggregator_declines_and_finishes_what_it_accepted(site):
    wait_for_nodes(site)
    for upstream in site.upstreams.values():
        upstream.delay_s = 0.2
    first = search(site, "r1")
    site.run_until(lambda: count_asked(site) >= 3)
    site.nodes[0].begin_stop()
    second = search(site, "r2")
    assert first.read_response()[0] == second.read_response()[0] == 200
    outcomes = [each["outcome"] for each in list_ends(site, 1)]
    assert outcomes == ["handed over", "complete"]


def test_head_that_the_headers_between_nodes_make_too_long_is_served_here(site):
    wait_for_nodes(site)
    status, _, _ = search(site, extra=["X-Long: " + "a" * 1850]).read_response()
    assert status == 200
