"""The reducer of requests, driven by events and a time that tests set."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heatherpick._fleet.nodes import NodeEntry
from heatherpick._serving import effects as fx
from heatherpick._serving import events as ev
from heatherpick._serving.cold import ColdRateLimiter
from heatherpick._serving.directory import FIRST_AVOID_S, Directory
from heatherpick._serving.model import Route, Service, Snapshot, UpstreamEntry
from heatherpick._serving.pace import LATE_MARGIN_MS, LATE_RATIO
from heatherpick._serving.reach import IsolationDetector
from heatherpick._serving.requests import SEND_RESERVE_MS, RequestReducer

HOST = "search.example"


def make_entry(name, service, data_centre="a", draining=False, port=80):
    return UpstreamEntry(
        id=name,
        service=service,
        data_centre=data_centre,
        host="10.0.0.1",
        port=port,
        n_slots=3,
        is_draining=draining,
        cold_ms=0.0,
    )


def make_route(name, services, **fields):
    values = {
        "host": HOST,
        "prefix": f"/{name}/",
        "repeatable": True,
        "weights": (),
        "is_gather": True,
        "max_upstreams": 2,
        "timeout_ms": 500.0,
        "objective_ms": 100.0,
        "priority": 1,
        "n_records": 5,
        "least_coverage": 0.75,
        **fields,
    }
    return Route(name=name, services=tuple(services), **values)


ORDER = {"is_gather": False, "weights": (1.0,), "repeatable": False}
LOOKUP = {"is_gather": False, "weights": (1.0,)}


class Answer:
    def __init__(self, status):
        self.status = status


class Player:
    """Plays a node's part: keeps the time, the open legs and what callers got."""

    def __init__(self, routes, entries, slack=1000.0, seed=1):
        self.now = 100.0
        self.directory = Directory("a")
        self.reach = IsolationDetector(self.now)
        self.directory.replace(entries, self.now)
        self.reducer = RequestReducer(
            self.directory, 0.2, slack, "n0", self.reach, random.Random(seed)
        )
        self.reducer.set_nodes([NodeEntry(f"n{k}") for k in range(4)])
        by_prefix = {route.prefix: route for route in routes}
        names = {name for route in routes for name in route.services}
        services = {name: Service(name, 60, 0.0) for name in names}
        snapshot = Snapshot(1, {HOST: by_prefix}, services)
        self.reducer.adopt(snapshot)
        self.legs = []
        self.sent = []
        self.cancelled = []
        self.ends = []
        self.wakes = {}

    def feed(self, event):
        for effect in self.reducer.reduce(event, self.now):
            if type(effect) is fx.SendLeg:
                self.legs.append(effect.leg)
                self.sent.append(effect)
            elif type(effect) is fx.CancelLeg:
                self.legs.remove(effect.leg)
                self.cancelled.append(effect.leg)
            elif type(effect) is fx.SetTimer:
                self.wakes[effect.query] = effect.at
            elif type(effect) is not fx.Report:
                self.ends.append(effect)

    def ask(self, path="/find/x", patience_ms=501.0, request_id="r1"):
        self.feed(ev.RequestArrived("caller", HOST, path, request_id, patience_ms))

    def answer(self, leg, status=200, **fields):
        self.legs.remove(leg)
        values = {
            "signature": b"seal",
            "is_proven_unexecuted": False,
            "is_other_upstream": False,
            "load": None,
            "answer": Answer(status),
            "body": leg.shard.service.encode().ljust(16, b".")[:16],
            **fields,
        }
        self.feed(ev.LegAnswered(leg, status, **values))

    def refuse(self, leg, **fields):
        self.answer(leg, 503, is_proven_unexecuted=True, signature=b"", **fields)

    def fail(self, leg, was_sent=True):
        self.legs.remove(leg)
        self.feed(ev.LegFailed(leg, was_sent, "reset"))

    def pass_time(self, ms):
        until = self.now + ms / 1000.0
        while True:
            due = [(at, q) for q, at in self.wakes.items() if at <= until]
            due = [(at, q) for at, q in due if not q.is_finished]
            if not due:
                break
            at, query = min(due, key=lambda pair: pair[0])
            del self.wakes[query]
            self.now = max(self.now, at)
            self.feed(ev.TimerExpired(query))
        self.now = until

    @property
    def end(self):
        (end,) = self.ends
        return end


@pytest.fixture
def search():
    services = [f"part-{n}" for n in range(4)]
    entries = [make_entry(f"{name}/{k}", name) for name in services for k in "ab"]
    return Player([make_route("find", services)], entries)


@pytest.fixture
def order():
    entries = [make_entry(f"desk/{k}", "desk") for k in "abc"]
    return Player([make_route("order", ["desk"], **ORDER)], entries)


@pytest.fixture
def lookup():
    entries = [make_entry(f"desk/{k}", "desk") for k in "abc"]
    return Player([make_route("look", ["desk"], **LOOKUP)], entries)


# Searches


def test_search_asks_one_upstream_of_each_shard(search):
    search.ask()
    assert sorted(leg.shard.service for leg in search.legs) == [
        f"part-{n}" for n in range(4)
    ]


def test_search_answers_as_soon_as_all_shards_are_in(search):
    search.ask()
    for leg in list(search.legs):
        search.answer(leg)
    assert type(search.end) is fx.Merge
    assert search.end.n_missing == 0
    assert len(search.end.signatures) == 4


def test_late_leg_is_hedged_at_the_other_replica_and_the_loser_cancelled(search):
    search.ask()
    slow, *others = list(search.legs)
    for leg in others:
        search.answer(leg)
    search.pass_time(60)
    (hedge,) = [leg for leg in search.legs if leg is not slow]
    assert hedge.shard is slow.shard
    assert hedge.upstream is not slow.upstream
    search.answer(hedge)
    assert search.cancelled == [slow]
    assert search.end.n_missing == 0


def test_search_settles_for_its_coverage_just_before_the_objective(search):
    search.ask()
    for leg in list(search.legs)[1:]:
        search.answer(leg)
    search.pass_time(85)
    assert not search.ends
    search.pass_time(10)
    assert search.end.n_missing == 1


@pytest.mark.parametrize(
    ("way_ms", "left_ms"),
    [
        (6.0, 6.0 + SEND_RESERVE_MS),
        (0.5, 0.5 + SEND_RESERVE_MS),
        (900.0, 25.0),
        (None, 10.0),
    ],
)
def test_search_leaves_the_time_that_its_caller_needs_for_the_way(way_ms, left_ms):
    services = [f"part-{n}" for n in range(4)]
    entries = [make_entry(f"{s}-{k}", s) for s in services for k in "ab"]
    player = Player([make_route("find", services)], entries)
    player.feed(ev.RequestArrived("caller", HOST, "/find/x", "r1", 400.0, way_ms))
    for leg in list(player.legs)[:3]:
        player.answer(leg)
    player.pass_time(100.0 - left_ms - 0.1)
    assert player.ends == []
    player.pass_time(0.2)
    assert player.end.n_missing == 1


def test_legs_are_late_by_the_pace_of_their_own_search_not_of_lighter_ones():
    services = [f"part-{n}" for n in range(10)]
    entries = [make_entry(f"{s}-{k}", s) for s in services for k in "ab"]
    route = make_route("find", services, objective_ms=200.0)
    player = Player([route], entries)
    for n in range(20):
        player.ask(request_id=f"light-{n}")
        player.pass_time(10.0)
        for leg in list(player.legs):
            player.answer(leg)
        player.pass_time(500.0)
    player.sent.clear()
    player.ask(request_id="heavy")
    player.pass_time(25.0)
    assert len(player.sent) == 10
    *most, slow = list(player.legs)
    for leg in most:
        player.answer(leg)
    player.pass_time(LATE_RATIO * 25.0 + LATE_MARGIN_MS - 25.0 - 0.5)
    assert len(player.sent) == 10
    player.pass_time(1.0)
    (hedge,) = player.sent[10:]
    assert hedge.leg.shard is slow.shard


def test_upstreams_are_compared_within_a_search_so_heavy_ones_make_none_look_slow():
    services = [f"part-{n}" for n in range(4)]
    entries = [make_entry(f"{s}-a", s) for s in services]
    player = Player([make_route("find", services)], entries)
    for elapsed_ms in (5.0, 5.0, 60.0):
        player.ask()
        player.pass_time(elapsed_ms)
        for leg in list(player.legs):
            player.answer(leg)
    scales = [player.directory.get(f"{s}-a").latency_ratio for s in services]
    assert max(scales) < 1.05


def test_search_below_its_coverage_waits_and_answers_once_it_is_reached(search):
    search.ask()
    first, second, *others = list(search.legs)
    for leg in others:
        search.answer(leg)
    search.pass_time(200)
    assert not search.ends
    search.answer(second)
    assert search.end.n_missing == 1


def test_search_without_coverage_gets_its_final_answer_before_the_callers_patience_ends(
    search,
):
    search.ask(patience_ms=300.0)
    search.pass_time(300)
    assert (type(search.end), search.end.status) == (fx.Refuse, 504)
    assert not search.legs


def test_search_that_cannot_reach_its_coverage_is_refused_at_once():
    services = [f"part-{n}" for n in range(4)]
    player = Player([make_route("find", services)], [make_entry("0", "part-0")])
    player.ask()
    assert (player.end.status, player.end.retry_after_s > 0) == (502, True)


def test_search_that_no_upstream_was_asked_for_promises_that_it_has_not_run():
    player = Player([make_route("find", ["part-0"])], [])
    player.ask()
    assert player.end.status == 503


def test_shard_without_upstreams_does_not_delay_the_rest():
    services = [f"part-{n}" for n in range(4)]
    entries = [make_entry(name, name) for name in services[:3]]
    player = Player([make_route("find", services)], entries)
    player.ask()
    for leg in list(player.legs):
        player.answer(leg)
    assert player.end.n_missing == 1


def test_all_parts_belong_to_the_snapshot_that_the_search_began_with(search):
    search.ask()
    route = make_route("find", ["new-0", "new-1"])
    search.directory.put(make_entry("n0", "new-0"), search.now)
    search.reducer.adopt(Snapshot(2, {HOST: {"/find/": route}}, {}))
    legs = list(search.legs)
    search.fail(legs[0])
    for leg in list(search.legs):
        search.answer(leg)
    assert search.end.n_missing == 0
    assert {leg.shard.service for leg in legs} == {f"part-{n}" for n in range(4)}


def test_failure_with_a_signature_is_no_part(search):
    search.ask()
    first, *others = list(search.legs)
    for leg in others:
        search.answer(leg)
    search.answer(first, 500)
    (again,) = search.legs
    search.answer(again, 500)
    assert search.end.n_missing == 1


def test_success_without_a_signature_is_no_part(search):
    search.ask()
    first, *others = list(search.legs)
    for leg in others:
        search.answer(leg)
    search.answer(first, signature=b"")
    (again,) = search.legs
    assert again.upstream is not first.upstream


def test_shard_runs_on_no_more_upstreams_than_its_route_allows():
    route = make_route("find", ["part-0"], max_upstreams=1)
    player = Player([route], [make_entry(k, "part-0") for k in "abc"])
    player.ask()
    player.pass_time(400)
    assert len(player.sent) == 1


def test_leg_that_never_arrived_is_replaced_without_an_extra_one():
    entries = [make_entry(k, "part-0") for k in "ab"]
    player = Player([make_route("find", ["part-0"])], entries, slack=0.0)
    for n in range(20):
        player.ask(request_id=f"r{n}")
        leg = player.legs[0]
        player.feed(ev.LegQueued(leg))
        player.fail(leg, was_sent=False)
        (again,) = player.legs
        player.answer(again)
    assert [end.n_missing for end in player.ends] == [0] * 20


def test_refused_shard_is_asked_again_as_long_as_its_search_has_time(search):
    search.ask()
    first, *others = list(search.legs)
    for leg in others:
        search.answer(leg)
    search.pass_time(40)
    refused = [leg for leg in search.legs if leg.shard is first.shard]
    for leg in refused:
        search.refuse(leg)
    search.pass_time(25)
    assert search.legs


def test_request_whose_legs_never_left_is_refused_as_not_run(order):
    order.ask("/order/x")
    order.feed(ev.LegQueued(order.legs[0]))
    order.pass_time(600)
    assert (type(order.end), order.end.status) == (fx.Refuse, 503)


def test_extra_legs_stay_within_the_budget_when_every_upstream_stalls():
    entries = [make_entry(k, "part-0") for k in "ab"]
    player = Player([make_route("find", ["part-0"])], entries, slack=0.0)
    for n in range(50):
        player.ask(request_id=f"r{n}")
        player.pass_time(600)
    assert len(player.sent) - 50 <= 1 + 0.2 * 50


def test_caller_that_leaves_a_search_has_its_legs_cancelled(search):
    search.ask()
    query = search.legs[0].query
    search.feed(ev.CallerDisconnected(query))
    assert len(search.cancelled) == 4
    assert not search.ends


def test_upstream_at_a_reused_address_is_asked_no_more(search):
    search.ask()
    leg = search.legs[0]
    search.answer(
        leg,
        421,
        is_proven_unexecuted=True,
        is_other_upstream=True,
        signature=b"",
    )
    assert leg.upstream not in search.directory.list_usable(leg.shard.service)


def test_deadline_handed_to_upstreams_shrinks_with_the_time_that_has_passed(search):
    search.ask(patience_ms=400.0)
    search.pass_time(80)
    first, last = search.sent[0], search.sent[-1]
    assert first.timeout_ms <= 400
    assert last.timeout_ms <= first.timeout_ms - 40


# Orders


def test_order_whose_leg_may_have_run_is_sent_nowhere_else(order):
    order.ask("/order/x")
    order.fail(order.legs[0], was_sent=True)
    assert (order.end.status, len(order.sent)) == (502, 1)


def test_order_that_provably_did_not_run_goes_to_another_upstream(order):
    order.ask("/order/x")
    (first,) = order.legs
    order.refuse(first)
    (second,) = order.legs
    assert second.upstream is not first.upstream
    order.answer(second)
    assert type(order.end) is fx.Forward


def test_order_whose_connection_never_opened_goes_to_another_upstream(order):
    order.ask("/order/x")
    order.feed(ev.LegQueued(order.legs[0]))
    order.fail(order.legs[0], was_sent=False)
    assert len(order.sent) == 2


def test_order_is_not_hedged(order):
    order.ask("/order/x")
    order.pass_time(400)
    assert len(order.sent) == 1


def test_order_that_may_have_run_is_never_refused_as_not_run(order):
    order.ask("/order/x")
    order.pass_time(600)
    assert order.end.status == 504


def test_order_refused_by_all_is_refused_with_a_time_to_come_back(order):
    order.ask("/order/x")
    for _ in range(20):
        for leg in list(order.legs):
            order.refuse(leg)
        order.pass_time(30)
        if order.ends:
            break
    assert (order.end.status, order.end.retry_after_s > 0) == (503, True)


@pytest.mark.parametrize("status", [408, 429, 503])
def test_status_that_promises_is_not_handed_on_without_the_upstreams_proof(
    order, status
):
    order.ask("/order/x")
    order.answer(order.legs[0], status)
    assert (type(order.end), order.end.status) == (fx.Refuse, 502)


def test_order_of_a_caller_that_left_is_finished_but_never_sent_again(order):
    order.ask("/order/x")
    (leg,) = order.legs
    order.feed(ev.CallerDisconnected(leg.query))
    assert order.legs == [leg]
    order.fail(leg, was_sent=False)
    assert len(order.sent) == 1


class OrderHistory:
    """One order, its open leg, and on how many upstreams it may have run."""

    def __init__(self):
        entries = [make_entry(f"desk/{k}", "desk") for k in "abc"]
        self.player = Player([make_route("order", ["desk"], **ORDER)], entries)
        self.player.ask("/order/x")
        self.ran = set()
        self.held = set()

    @property
    def leg(self):
        return self.player.legs[0] if self.player.legs else None

    def hold(self, leg):
        if leg not in self.held and leg not in self.ran:
            self.held.add(leg)
            self.player.feed(ev.LegQueued(leg))

    def release(self, leg):
        if leg in self.held:
            self.held.discard(leg)
            self.player.feed(ev.LegSent(leg))

    def miss(self, leg):
        if leg in self.held:
            self.player.fail(leg, was_sent=False)

    def refuse(self, leg):
        if leg not in self.held:
            self.player.refuse(leg)

    def lose(self, leg):
        if leg not in self.held:
            self.ran.add(leg)
            self.player.fail(leg)

    def answer(self, leg):
        if leg not in self.held:
            self.ran.add(leg)
            self.player.answer(leg)

    def wait(self, _leg):
        self.player.pass_time(50)

    def finish(self):
        self.ran |= set(self.player.legs) - self.held
        self.player.pass_time(600)
        self.ran |= set(self.player.cancelled) - self.held


MOVES = ("hold", "release", "miss", "refuse", "lose", "answer", "wait")


@settings(max_examples=300, deadline=None)
@given(st.lists(st.sampled_from(MOVES)))
def test_order_runs_at_most_once_and_refusals_are_true_in_every_history(moves):
    history = OrderHistory()
    for move in moves:
        if history.leg is not None:
            getattr(history, move)(history.leg)
        assert len(history.ran) <= 1
    history.finish()
    assert len(history.ran) <= 1
    (end,) = history.player.ends
    if type(end) is fx.Refuse and end.status == 503:
        assert not history.ran


# Lookups


def test_lookup_hands_on_an_upstreams_failure_once_nobody_else_may_be_asked(lookup):
    lookup.ask("/look/x")
    for _ in range(2):
        lookup.answer(lookup.legs[0], 500)
    assert (type(lookup.end), lookup.end.answer.status) == (fx.Forward, 500)


def test_fault_of_the_request_itself_is_handed_on_without_asking_others(lookup):
    lookup.ask("/look/x")
    lookup.answer(lookup.legs[0], 404)
    assert (type(lookup.end), len(lookup.sent)) == (fx.Forward, 1)


# Routes


@pytest.mark.parametrize(
    ("path", "status"), [("/none/x", 404), ("/findx", 404), ("/", 404)]
)
def test_path_of_no_route_is_not_found(search, path, status):
    search.ask(path)
    assert search.end.status == status


def test_request_before_any_routes_are_known_may_come_back():
    reducer = RequestReducer(
        Directory("a"), 0.2, 100.0, "n0", IsolationDetector(0.0), random.Random(1)
    )
    event = ev.RequestArrived("caller", HOST, "/find/x", "r", 500.0)
    refusal, report = reducer.reduce(event, 0.0)
    assert report.fields["outcome"] == refusal.reason
    assert (refusal.status, refusal.retry_after_s > 0) == (503, True)


def test_request_without_an_id_is_at_fault(search):
    search.ask(request_id="")
    assert search.end.status == 400


def test_older_snapshot_is_not_adopted(search):
    assert not search.reducer.adopt(Snapshot(1, {}, {}))
    assert not search.reducer.adopt(Snapshot(0, {}, {}))
    assert search.reducer.snapshot.routes


@pytest.mark.parametrize(
    ("path", "prefix"),
    [
        ("/a/b/c", "/a/b/"),
        ("/a/b/", "/a/b/"),
        ("/a/b", "/a/"),
        ("/a/?q=/a/b/", "/a/"),
        ("/x", "/"),
    ],
)
def test_longest_prefix_wins(path, prefix):
    routes = {p: make_route(p, ["s"], prefix=p) for p in ("/", "/a/", "/a/b/")}
    snapshot = Snapshot(1, {HOST: routes}, {})
    assert snapshot.find_route(HOST, path).prefix == prefix


def test_split_holds_its_weights():
    entries = [make_entry("one", "one"), make_entry("two", "two")]
    fields = {**LOOKUP, "weights": (3.0, 1.0)}
    player = Player([make_route("look", ["one", "two"], **fields)], entries)
    for n in range(100):
        player.ask("/look/x", request_id=f"r{n}")
    asked = [leg.shard.service for leg in player.legs]
    assert abs(asked.count("one") - 75) <= 1


# Being cut off


def refuse_all(player, n_requests):
    for n in range(n_requests):
        player.ask(request_id=f"r{n}")
        for _ in range(5):
            for leg in list(player.legs):
                player.fail(leg, was_sent=False)
            player.pass_time(30)


def test_node_whose_remote_upstreams_are_all_silent_is_cut_off():
    entries = [make_entry(f"far-{k}", "part-0", "b") for k in "ab"]
    player = Player([make_route("find", ["part-0"])], entries)
    refuse_all(player, 8)
    assert player.reach.is_isolated(player.now)
    player.ask(request_id="again")
    player.answer(player.legs[0])
    assert not player.reach.is_isolated(player.now)


def test_node_that_hears_the_store_is_not_cut_off_though_no_upstream_answers():
    entries = [make_entry(f"far-{k}", "part-0", "b") for k in "ab"]
    player = Player([make_route("find", ["part-0"])], entries)
    refuse_all(player, 8)
    player.reach.record_contact(player.now)
    assert not player.reach.is_isolated(player.now + 5.0)


def test_idle_node_is_not_cut_off():
    assert not IsolationDetector(0.0).is_isolated(100.0)


# Cold upstreams


def make_cold_fleet(lists, rate):
    """Return nodes that each know their own list of nodes, before one cold upstream."""
    gates = []
    for own, nodes in lists:
        gate = ColdRateLimiter(own)
        gate.set_nodes(nodes)
        gates.append(gate)
    return gates


@pytest.mark.parametrize("rate", [1.0, 4.0, 20.0])
@pytest.mark.parametrize("seed", range(20))
def test_nodes_whose_lists_differ_never_overrun_a_cold_upstream(rate, seed):
    rng = random.Random(seed)
    names = [f"n{k}" for k in range(24)]
    views = [rng.sample(names, 12) for _ in range(2)]
    lists = [(own, views[k % 2]) for k, own in enumerate(names)]
    gates = make_cold_fleet(lists, rate)
    arrivals = []
    for step in range(3000):
        now = step / 1000.0
        arrivals += [now for gate in gates if gate.try_acquire("cold", rate, now)]
    worst = max([sum(t <= a < t + 1.0 for a in arrivals) for t in arrivals], default=0)
    assert worst <= 1.5 * rate + 5


def test_cold_upstream_is_warmed_by_the_nodes_of_one_list():
    names = [f"n{k}" for k in range(12)]
    gates = make_cold_fleet([(own, names) for own in names], 10.0)
    times = [step / 1000.0 for step in range(10_000)]
    n_sent = sum(gate.try_acquire("cold", 10.0, now) for now in times for gate in gates)
    assert 60 <= n_sent <= 100


def test_node_that_knows_no_other_nodes_spares_cold_upstreams():
    assert not ColdRateLimiter("n0").try_acquire("cold", 10.0, 0.0)


def test_cold_upstream_with_a_limit_gets_few_requests_and_the_rest_go_elsewhere():
    entries = [make_entry("warm", "desk"), make_entry("cold", "desk")]
    player = Player([make_route("look", ["desk"], **LOOKUP)], entries)
    player.directory.get("cold").cold_until = player.now + 60
    player.directory.get("warm").avoid(player.now)
    player.reducer.snapshot.services["desk"] = Service("desk", 60, 2.0)
    for n in range(50):
        player.ask("/look/x", request_id=f"r{n}")
    asked = [leg.upstream.entry.id for leg in player.legs]
    assert asked.count("cold") <= 1


def test_request_that_only_cold_upstreams_could_take_is_refused_in_time_to_return():
    player = Player(
        [make_route("look", ["desk"], **LOOKUP)], [make_entry("cold", "desk")]
    )
    player.directory.get("cold").cold_until = player.now + 60
    player.reducer.snapshot.services["desk"] = Service("desk", 60, 0.5)
    player.reducer.set_nodes([NodeEntry("n7")])
    player.ask("/look/x")
    player.pass_time(25)
    assert (player.end.status, player.end.retry_after_s > 0) == (503, True)


# Upstreams


def test_draining_upstream_gets_nothing_new(lookup):
    for name in ("desk/a", "desk/b"):
        lookup.directory.put(make_entry(name, "desk", draining=True), lookup.now)
    for n in range(10):
        lookup.ask("/look/x", request_id=f"r{n}")
    assert {leg.upstream.entry.id for leg in lookup.legs} == {"desk/c"}


def test_drained_data_centre_gets_nothing_until_it_is_back():
    entries = [make_entry("near", "desk", "a"), make_entry("far", "desk", "b")]
    player = Player([make_route("look", ["desk"], **LOOKUP)], entries)
    player.directory.drain_data_centres(["a"])
    player.ask("/look/x")
    assert player.legs[-1].upstream.entry.id == "far"
    player.directory.drain_data_centres([])
    player.ask("/look/x")
    assert player.legs[-1].upstream.entry.id == "near"


def test_upstream_that_vanishes_while_the_store_is_well_is_gone_at_once():
    directory = Directory("a")
    directory.put(make_entry("one", "desk"), 0.0)
    directory.remove("one", 1.0, may_have_lapsed=False)
    assert directory.list_usable("desk") == ()


def test_vanished_upstream_is_the_last_resort_for_two_seconds_and_then_gone():
    entries = [make_entry("one", "desk"), make_entry("two", "desk")]
    player = Player([make_route("look", ["desk"], **LOOKUP)], entries)
    player.directory.remove("one", player.now, may_have_lapsed=True)
    for n in range(5):
        player.ask("/look/x", request_id=f"r{n}")
    assert {leg.upstream.entry.id for leg in player.legs} == {"two"}
    player.directory.discard("two")
    player.ask("/look/x")
    assert player.legs[-1].upstream.entry.id == "one"
    assert player.directory.expire(player.now + 1.9) == []
    assert player.directory.expire(player.now + 2.1) == ["one"]


def test_vanished_upstream_that_is_listed_again_is_used_as_before():
    directory = Directory("a")
    directory.put(make_entry("one", "desk"), 0.0)
    directory.remove("one", 1.0, may_have_lapsed=True)
    directory.put(make_entry("one", "desk"), 2.0)
    assert directory.expire(9.0) == []


def test_draining_upstream_that_vanishes_is_gone_at_once():
    directory = Directory("a")
    directory.put(make_entry("one", "desk", draining=True), 0.0)
    directory.remove("one", 1.0, may_have_lapsed=True)
    assert directory.get("one") is None


def test_stalled_upstream_is_passed_over_for_longer_each_time():
    directory = Directory("a")
    one = directory.put(make_entry("one", "desk"), 0.0)
    first = FIRST_AVOID_S
    one.avoid(0.0)
    assert one.is_avoided(0.9 * first)
    assert not one.is_avoided(1.1 * first)
    one.avoid(1.1 * first)
    assert one.is_avoided(3.0 * first)
    assert not one.is_avoided(3.2 * first)
    one.avoid(3.2 * first)
    one.clear_avoidance()
    assert not one.is_avoided(3.2 * first)


# What upstreams are known for


def make_triple(n_shards=1, **fields):
    """Return a player whose shards have three replicas each."""
    services = [f"part-{n}" for n in range(n_shards)]
    entries = [make_entry(f"{s}-{k}", s) for s in services for k in "abc"]
    return Player([make_route("find", services, **fields)], entries)


def test_upstream_that_loses_many_answers_gets_few_first_legs():
    player = make_triple()
    rng = random.Random(5)
    n_to_faulty = 0
    for n in range(120):
        n_before = len(player.sent)
        player.ask(request_id=f"r{n}")
        first = player.sent[n_before].leg
        if n >= 20:
            n_to_faulty += first.upstream.entry.id == "part-0-a"
        while player.legs:
            player.pass_time(10.0)
            (leg,) = player.legs
            if leg.upstream.entry.id == "part-0-a" and rng.random() < 0.4:
                player.fail(leg)
            else:
                player.answer(leg)
        player.pass_time(100.0)
    assert n_to_faulty < 20


def test_upstreams_that_were_silent_until_the_end_are_passed_over_by_the_next_search():
    player = make_triple(n_shards=4, least_coverage=0.5)
    player.ask()
    silent = [leg for leg in player.legs if leg.shard.service == "part-0"]
    for leg in [leg for leg in player.legs if leg not in silent]:
        player.answer(leg)
    player.pass_time(99.0)
    asked = {each.leg.upstream.entry.id for each in player.sent}
    asked_first_shard = {each for each in asked if each.startswith("part-0")}
    assert len(asked_first_shard) == 2
    n_before = len(player.sent)
    player.ask(request_id="r2")
    next_legs = [each.leg.upstream.entry.id for each in player.sent[n_before:]]
    (third,) = [each for each in next_legs if each.startswith("part-0")]
    assert third not in asked_first_shard


def test_late_answer_does_not_make_an_upstream_trusted_again():
    player = make_triple(n_shards=1, timeout_ms=2000.0, objective_ms=1000.0)
    player.ask(patience_ms=2000.0)
    (slow,) = player.legs
    player.pass_time(900.0)
    assert slow.upstream.is_avoided(player.now)
    player.answer(slow)
    assert slow.upstream.is_avoided(player.now)


def test_refusals_for_want_of_a_listed_upstream_do_not_make_a_node_look_cut_off():
    player = Player([make_route("look", ["nobody"], **LOOKUP)], [])
    for n in range(5):
        player.ask("/look/x", request_id=f"r{n}")
    assert [end.status for end in player.ends] == [503] * 5
    assert not player.reach.is_isolated(player.now + 1.5)


def test_word_older_than_the_newest_does_not_make_a_cut_off_node_look_well():
    """Nodes that are cut off together pass old words from the store to each other."""
    reach = IsolationDetector(0.0)
    reach.record_contact(10.0)
    for _ in range(3):
        reach.record_refusal()
    reach.record_contact(9.5)
    assert reach.is_isolated(11.5)
