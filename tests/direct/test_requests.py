"""Tests of the request reducer, driven by events and a simulated time."""

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
from heatherpick._serving.reach import PROBE_INTERVAL_S, IsolationDetector
from heatherpick._serving.requests import SEND_RESERVE_MS, RequestReducer

HOST = "search.example"


def make_entry(name, service, data_centre="a", is_draining=False, port=80):
    return UpstreamEntry(
        id=name,
        service=service,
        data_centre=data_centre,
        host="10.0.0.1",
        port=port,
        n_slots=3,
        is_draining=is_draining,
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


ORDER_FIELDS = {"is_gather": False, "weights": (1.0,), "repeatable": False}
LOOKUP_FIELDS = {"is_gather": False, "weights": (1.0,)}


class Response:
    def __init__(self, status):
        self.status = status


class RequestHarness:
    """Runs a reducer in simulated time and collects the effects that it asks for.

    ``legs`` holds the open legs, ``sent`` every `SendLeg`, ``cancelled`` the cancelled
    legs, ``timers`` the timer of each query, and ``other_effects`` the remaining
    effects apart from log lines, such as answers to callers.
    """

    def __init__(self, routes, entries, slack=1000.0, seed=1):
        self.now = 100.0
        self.directory = Directory("a")
        self.isolation = IsolationDetector(self.now)
        self.directory.replace(entries, self.now)
        self.reducer = RequestReducer(
            self.directory, 0.2, slack, "n0", self.isolation, random.Random(seed)
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
        self.other_effects = []
        self.timers = {}

    def feed(self, event):
        for effect in self.reducer.reduce(event, self.now):
            if type(effect) is fx.SendLeg:
                self.legs.append(effect.leg)
                self.sent.append(effect)
            elif type(effect) is fx.CancelLeg:
                self.legs.remove(effect.leg)
                self.cancelled.append(effect.leg)
            elif type(effect) is fx.SetTimer:
                self.timers[effect.query] = effect.at
            elif type(effect) is not fx.Report:
                self.other_effects.append(effect)

    def send_request(self, path="/find/x", timeout_ms=501.0, request_id="r1"):
        self.feed(ev.RequestArrived("caller", HOST, path, request_id, timeout_ms))

    def answer(self, leg, status=200, **fields):
        self.legs.remove(leg)
        values = {
            "signature": b"seal",
            "is_proven_unexecuted": False,
            "is_other_upstream": False,
            "load": None,
            "response": Response(status),
            "body": leg.shard.service.encode().ljust(16, b".")[:16],
            **fields,
        }
        self.feed(ev.LegAnswered(leg, status, **values))

    def refuse(self, leg, **fields):
        self.answer(leg, 503, is_proven_unexecuted=True, signature=b"", **fields)

    def fail(self, leg, was_sent=True):
        self.legs.remove(leg)
        self.feed(ev.LegFailed(leg, was_sent, "reset"))

    def advance_time(self, ms):
        until = self.now + ms / 1000.0
        while True:
            due = [(at, q) for q, at in self.timers.items() if at <= until]
            due = [(at, q) for at, q in due if not q.is_finished]
            if not due:
                break
            at, query = min(due, key=lambda pair: pair[0])
            del self.timers[query]
            self.now = max(self.now, at)
            self.feed(ev.TimerExpired(query))
        self.now = until

    @property
    def only_effect(self):
        (effect,) = self.other_effects
        return effect


@pytest.fixture
def search():
    """A harness with a search over four shards of two replicas each."""
    services = [f"part-{n}" for n in range(4)]
    entries = [make_entry(f"{name}/{k}", name) for name in services for k in "ab"]
    return RequestHarness([make_route("find", services)], entries)


@pytest.fixture
def order():
    """A harness with a route for orders to a service of three upstreams."""
    entries = [make_entry(f"desk/{k}", "desk") for k in "abc"]
    return RequestHarness([make_route("order", ["desk"], **ORDER_FIELDS)], entries)


@pytest.fixture
def lookup():
    """A harness with a route for lookups to a service of three upstreams."""
    entries = [make_entry(f"desk/{k}", "desk") for k in "abc"]
    return RequestHarness([make_route("look", ["desk"], **LOOKUP_FIELDS)], entries)


# Searches


def test_search_asks_one_upstream_of_each_shard(search):
    search.send_request()
    assert sorted(leg.shard.service for leg in search.legs) == [
        f"part-{n}" for n in range(4)
    ]


def test_search_is_answered_as_soon_as_all_shards_have_answered(search):
    search.send_request()
    for leg in list(search.legs):
        search.answer(leg)
    assert type(search.only_effect) is fx.Merge
    assert search.only_effect.n_missing == 0
    assert len(search.only_effect.signatures) == 4


def test_late_leg_is_hedged_at_the_other_replica_and_cancelled_after_its_answer(search):
    search.send_request()
    slow, *others = list(search.legs)
    for leg in others:
        search.answer(leg)
    search.advance_time(60)
    (hedge,) = [leg for leg in search.legs if leg is not slow]
    assert hedge.shard is slow.shard
    assert hedge.upstream is not slow.upstream
    search.answer(hedge)
    assert search.cancelled == [slow]
    assert search.only_effect.n_missing == 0


def test_search_returns_a_partial_answer_shortly_before_the_objective(search):
    search.send_request()
    for leg in list(search.legs)[1:]:
        search.answer(leg)
    search.advance_time(85)
    assert not search.other_effects
    search.advance_time(10)
    assert search.only_effect.n_missing == 1


@pytest.mark.parametrize(
    ("network_ms", "reserve_ms"),
    [
        (6.0, 6.0 + SEND_RESERVE_MS),
        (0.5, 0.5 + SEND_RESERVE_MS),
        (900.0, 25.0),
        (None, 10.0),
    ],
)
def test_search_reserves_time_for_the_network_to_its_caller(network_ms, reserve_ms):
    services = [f"part-{n}" for n in range(4)]
    entries = [make_entry(f"{s}-{k}", s) for s in services for k in "ab"]
    harness = RequestHarness([make_route("find", services)], entries)
    harness.feed(ev.RequestArrived("caller", HOST, "/find/x", "r1", 400.0, network_ms))
    for leg in list(harness.legs)[:3]:
        harness.answer(leg)
    harness.advance_time(100.0 - reserve_ms - 0.1)
    assert harness.other_effects == []
    harness.advance_time(0.2)
    assert harness.only_effect.n_missing == 1


def test_late_age_follows_the_latency_of_the_same_search_not_of_lighter_ones():
    services = [f"part-{n}" for n in range(10)]
    entries = [make_entry(f"{s}-{k}", s) for s in services for k in "ab"]
    route = make_route("find", services, objective_ms=200.0)
    harness = RequestHarness([route], entries)
    for n in range(20):
        harness.send_request(request_id=f"light-{n}")
        harness.advance_time(10.0)
        for leg in list(harness.legs):
            harness.answer(leg)
        harness.advance_time(500.0)
    harness.sent.clear()
    harness.send_request(request_id="heavy")
    harness.advance_time(25.0)
    assert len(harness.sent) == 10
    *most, slow = list(harness.legs)
    for leg in most:
        harness.answer(leg)
    harness.advance_time(LATE_RATIO * 25.0 + LATE_MARGIN_MS - 25.0 - 0.5)
    assert len(harness.sent) == 10
    harness.advance_time(1.0)
    (hedge,) = harness.sent[10:]
    assert hedge.leg.shard is slow.shard


def test_heavy_search_does_not_raise_the_latency_ratio_of_its_upstreams():
    services = [f"part-{n}" for n in range(4)]
    entries = [make_entry(f"{s}-a", s) for s in services]
    harness = RequestHarness([make_route("find", services)], entries)
    for elapsed_ms in (5.0, 5.0, 60.0):
        harness.send_request()
        harness.advance_time(elapsed_ms)
        for leg in list(harness.legs):
            harness.answer(leg)
    latency_ratios = [harness.directory.get(f"{s}-a").latency_ratio for s in services]
    assert max(latency_ratios) < 1.05


def test_search_below_its_coverage_waits_and_is_answered_once_it_is_reached(search):
    search.send_request()
    first, second, *others = list(search.legs)
    for leg in others:
        search.answer(leg)
    search.advance_time(200)
    assert not search.other_effects
    search.answer(second)
    assert search.only_effect.n_missing == 1


def test_search_without_coverage_is_refused_before_the_callers_timeout(
    search,
):
    search.send_request(timeout_ms=300.0)
    search.advance_time(300)
    assert (type(search.only_effect), search.only_effect.status) == (fx.Refuse, 504)
    assert not search.legs


def test_search_that_cannot_reach_its_coverage_is_refused_at_once():
    services = [f"part-{n}" for n in range(4)]
    harness = RequestHarness(
        [make_route("find", services)], [make_entry("0", "part-0")]
    )
    harness.send_request()
    assert (harness.only_effect.status, harness.only_effect.retry_after_s > 0) == (
        502,
        True,
    )


def test_search_without_listed_upstreams_is_refused_as_not_run():
    harness = RequestHarness([make_route("find", ["part-0"])], [])
    harness.send_request()
    assert harness.only_effect.status == 503


def test_shard_without_upstreams_does_not_delay_the_rest():
    services = [f"part-{n}" for n in range(4)]
    entries = [make_entry(name, name) for name in services[:3]]
    harness = RequestHarness([make_route("find", services)], entries)
    harness.send_request()
    for leg in list(harness.legs):
        harness.answer(leg)
    assert harness.only_effect.n_missing == 1


def test_all_parts_belong_to_the_snapshot_that_the_search_started_with(search):
    search.send_request()
    route = make_route("find", ["new-0", "new-1"])
    search.directory.put(make_entry("n0", "new-0"), search.now)
    search.reducer.adopt(Snapshot(2, {HOST: {"/find/": route}}, {}))
    legs = list(search.legs)
    search.fail(legs[0])
    for leg in list(search.legs):
        search.answer(leg)
    assert search.only_effect.n_missing == 0
    assert {leg.shard.service for leg in legs} == {f"part-{n}" for n in range(4)}


def test_signed_failure_is_not_merged(search):
    search.send_request()
    first, *others = list(search.legs)
    for leg in others:
        search.answer(leg)
    search.answer(first, 500)
    (retry,) = search.legs
    search.answer(retry, 500)
    assert search.only_effect.n_missing == 1


def test_unsigned_success_is_not_merged(search):
    search.send_request()
    first, *others = list(search.legs)
    for leg in others:
        search.answer(leg)
    search.answer(first, signature=b"")
    (retry,) = search.legs
    assert retry.upstream is not first.upstream


def test_shard_runs_on_no_more_upstreams_than_its_route_allows():
    route = make_route("find", ["part-0"], max_upstreams=1)
    harness = RequestHarness([route], [make_entry(k, "part-0") for k in "abc"])
    harness.send_request()
    harness.advance_time(400)
    assert len(harness.sent) == 1


def test_replacement_of_an_undelivered_leg_is_no_extra_leg():
    entries = [make_entry(k, "part-0") for k in "ab"]
    harness = RequestHarness([make_route("find", ["part-0"])], entries, slack=0.0)
    for n in range(20):
        harness.send_request(request_id=f"r{n}")
        leg = harness.legs[0]
        harness.feed(ev.LegQueued(leg))
        harness.fail(leg, was_sent=False)
        (retry,) = harness.legs
        harness.answer(retry)
    assert [effect.n_missing for effect in harness.other_effects] == [0] * 20


def test_refused_shard_is_retried_while_its_search_has_time(search):
    search.send_request()
    first, *others = list(search.legs)
    for leg in others:
        search.answer(leg)
    search.advance_time(40)
    refused = [leg for leg in search.legs if leg.shard is first.shard]
    for leg in refused:
        search.refuse(leg)
    search.advance_time(25)
    assert search.legs


def test_request_whose_legs_were_never_sent_is_refused_as_not_run(order):
    order.send_request("/order/x")
    order.feed(ev.LegQueued(order.legs[0]))
    order.advance_time(600)
    assert (type(order.only_effect), order.only_effect.status) == (fx.Refuse, 503)


def test_extra_legs_stay_within_the_budget_when_every_upstream_stalls():
    entries = [make_entry(k, "part-0") for k in "ab"]
    harness = RequestHarness([make_route("find", ["part-0"])], entries, slack=0.0)
    for n in range(50):
        harness.send_request(request_id=f"r{n}")
        harness.advance_time(600)
    assert len(harness.sent) - 50 <= 1 + 0.2 * 50


def test_legs_of_a_search_are_cancelled_when_its_caller_disconnects(search):
    search.send_request()
    query = search.legs[0].query
    search.feed(ev.CallerDisconnected(query))
    assert len(search.cancelled) == 4
    assert not search.other_effects


def test_upstream_whose_address_was_reused_is_dropped(search):
    search.send_request()
    leg = search.legs[0]
    search.answer(
        leg,
        421,
        is_proven_unexecuted=True,
        is_other_upstream=True,
        signature=b"",
    )
    assert leg.upstream not in search.directory.list_usable(leg.shard.service)


def test_timeout_sent_to_upstreams_shrinks_with_the_elapsed_time(search):
    search.send_request(timeout_ms=400.0)
    search.advance_time(80)
    first, last = search.sent[0], search.sent[-1]
    assert first.timeout_ms <= 400
    assert last.timeout_ms <= first.timeout_ms - 40


# Orders


def test_order_that_may_have_run_is_not_sent_to_another_upstream(order):
    order.send_request("/order/x")
    order.fail(order.legs[0], was_sent=True)
    assert (order.only_effect.status, len(order.sent)) == (502, 1)


def test_order_that_provably_did_not_run_goes_to_another_upstream(order):
    order.send_request("/order/x")
    (first,) = order.legs
    order.refuse(first)
    (second,) = order.legs
    assert second.upstream is not first.upstream
    order.answer(second)
    assert type(order.only_effect) is fx.Forward


def test_order_whose_connection_never_opened_goes_to_another_upstream(order):
    order.send_request("/order/x")
    order.feed(ev.LegQueued(order.legs[0]))
    order.fail(order.legs[0], was_sent=False)
    assert len(order.sent) == 2


def test_order_is_not_hedged(order):
    order.send_request("/order/x")
    order.advance_time(400)
    assert len(order.sent) == 1


def test_order_that_may_have_run_is_never_refused_as_not_run(order):
    order.send_request("/order/x")
    order.advance_time(600)
    assert order.only_effect.status == 504


def test_order_refused_by_all_upstreams_is_refused_with_a_retry_time(order):
    order.send_request("/order/x")
    for _ in range(20):
        for leg in list(order.legs):
            order.refuse(leg)
        order.advance_time(30)
        if order.other_effects:
            break
    assert (order.only_effect.status, order.only_effect.retry_after_s > 0) == (
        503,
        True,
    )


@pytest.mark.parametrize("status", [408, 429, 503])
def test_status_that_implies_not_run_is_not_forwarded_without_proof(order, status):
    order.send_request("/order/x")
    order.answer(order.legs[0], status)
    assert (type(order.only_effect), order.only_effect.status) == (fx.Refuse, 502)


def test_order_of_a_disconnected_caller_completes_but_is_not_retried(order):
    order.send_request("/order/x")
    (leg,) = order.legs
    order.feed(ev.CallerDisconnected(leg.query))
    assert order.legs == [leg]
    order.fail(leg, was_sent=False)
    assert len(order.sent) == 1


class OrderHistory:
    """One order with its open leg, the legs that may have run and the queued legs."""

    def __init__(self):
        entries = [make_entry(f"desk/{k}", "desk") for k in "abc"]
        self.harness = RequestHarness(
            [make_route("order", ["desk"], **ORDER_FIELDS)], entries
        )
        self.harness.send_request("/order/x")
        self.may_have_run = set()
        self.queued = set()

    @property
    def leg(self):
        return self.harness.legs[0] if self.harness.legs else None

    def queue(self, leg):
        if leg not in self.queued and leg not in self.may_have_run:
            self.queued.add(leg)
            self.harness.feed(ev.LegQueued(leg))

    def send(self, leg):
        if leg in self.queued:
            self.queued.discard(leg)
            self.harness.feed(ev.LegSent(leg))

    def fail_unsent(self, leg):
        if leg in self.queued:
            self.harness.fail(leg, was_sent=False)

    def refuse(self, leg):
        if leg not in self.queued:
            self.harness.refuse(leg)

    def fail_sent(self, leg):
        if leg not in self.queued:
            self.may_have_run.add(leg)
            self.harness.fail(leg)

    def answer(self, leg):
        if leg not in self.queued:
            self.may_have_run.add(leg)
            self.harness.answer(leg)

    def wait(self, _leg):
        self.harness.advance_time(50)

    def finish(self):
        self.may_have_run |= set(self.harness.legs) - self.queued
        self.harness.advance_time(600)
        self.may_have_run |= set(self.harness.cancelled) - self.queued


STEPS = ("queue", "send", "fail_unsent", "refuse", "fail_sent", "answer", "wait")


@settings(max_examples=300, deadline=None)
@given(st.lists(st.sampled_from(STEPS)))
def test_order_runs_at_most_once_and_is_refused_as_not_run_only_if_it_did_not(steps):
    history = OrderHistory()
    for step in steps:
        if history.leg is not None:
            getattr(history, step)(history.leg)
        assert len(history.may_have_run) <= 1
    history.finish()
    assert len(history.may_have_run) <= 1
    (effect,) = history.harness.other_effects
    if type(effect) is fx.Refuse and effect.status == 503:
        assert not history.may_have_run


# Lookups


def test_lookup_forwards_an_upstreams_failure_once_no_other_may_be_asked(lookup):
    lookup.send_request("/look/x")
    for _ in range(2):
        lookup.answer(lookup.legs[0], 500)
    assert (type(lookup.only_effect), lookup.only_effect.response.status) == (
        fx.Forward,
        500,
    )


def test_client_error_is_forwarded_without_a_retry(lookup):
    lookup.send_request("/look/x")
    lookup.answer(lookup.legs[0], 404)
    assert (type(lookup.only_effect), len(lookup.sent)) == (fx.Forward, 1)


# Routes


@pytest.mark.parametrize(
    ("path", "status"), [("/none/x", 404), ("/findx", 404), ("/", 404)]
)
def test_path_without_a_route_is_not_found(search, path, status):
    search.send_request(path)
    assert search.only_effect.status == status


def test_request_before_the_first_routes_may_be_retried():
    reducer = RequestReducer(
        Directory("a"), 0.2, 100.0, "n0", IsolationDetector(0.0), random.Random(1)
    )
    event = ev.RequestArrived("caller", HOST, "/find/x", "r", 500.0)
    refusal, report = reducer.reduce(event, 0.0)
    assert report.fields["outcome"] == refusal.reason
    assert (refusal.status, refusal.retry_after_s > 0) == (503, True)


def test_request_without_an_id_is_rejected(search):
    search.send_request(request_id="")
    assert search.only_effect.status == 400


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
def test_route_with_the_longest_prefix_is_chosen(path, prefix):
    routes = {p: make_route(p, ["s"], prefix=p) for p in ("/", "/a/", "/a/b/")}
    snapshot = Snapshot(1, {HOST: routes}, {})
    assert snapshot.find_route(HOST, path).prefix == prefix


def test_round_robin_follows_the_weights():
    entries = [make_entry("one", "one"), make_entry("two", "two")]
    fields = {**LOOKUP_FIELDS, "weights": (3.0, 1.0)}
    harness = RequestHarness([make_route("look", ["one", "two"], **fields)], entries)
    for n in range(100):
        harness.send_request("/look/x", request_id=f"r{n}")
    asked = [leg.shard.service for leg in harness.legs]
    assert abs(asked.count("one") - 75) <= 1


# Isolation


def refuse_requests(harness, n_requests):
    for n in range(n_requests):
        harness.send_request(request_id=f"r{n}")
        for _ in range(5):
            for leg in list(harness.legs):
                harness.fail(leg, was_sent=False)
            harness.advance_time(30)


def test_node_whose_remote_upstreams_are_all_unreachable_is_isolated():
    entries = [make_entry(f"far-{k}", "part-0", "b") for k in "ab"]
    harness = RequestHarness([make_route("find", ["part-0"])], entries)
    refuse_requests(harness, 8)
    assert harness.isolation.is_isolated(harness.now)
    # Between two requests that test whether it still is, it refuses them at once.
    harness.advance_time(PROBE_INTERVAL_S * 1000.0)
    harness.send_request(request_id="again")
    harness.answer(harness.legs[0])
    assert not harness.isolation.is_isolated(harness.now)


def test_node_in_contact_with_the_store_is_not_isolated_though_no_upstream_answers():
    entries = [make_entry(f"far-{k}", "part-0", "b") for k in "ab"]
    harness = RequestHarness([make_route("find", ["part-0"])], entries)
    refuse_requests(harness, 8)
    harness.isolation.record_contact(harness.now)
    assert not harness.isolation.is_isolated(harness.now + 5.0)


def test_idle_node_is_not_isolated():
    assert not IsolationDetector(0.0).is_isolated(100.0)


# Cold upstreams


def make_limiters(pairs, rate):
    """Return the limiter of each node, given pairs of its address and list of nodes."""
    limiters = []
    for own_address, nodes in pairs:
        limiter = ColdRateLimiter(own_address)
        limiter.set_nodes(nodes)
        limiters.append(limiter)
    return limiters


@pytest.mark.parametrize("rate", [1.0, 4.0, 20.0])
@pytest.mark.parametrize("seed", range(20))
def test_nodes_with_different_lists_never_overload_a_cold_upstream(rate, seed):
    rng = random.Random(seed)
    names = [f"n{k}" for k in range(24)]
    node_lists = [rng.sample(names, 12) for _ in range(2)]
    pairs = [(own, node_lists[k % 2]) for k, own in enumerate(names)]
    limiters = make_limiters(pairs, rate)
    arrivals = []
    for step in range(3000):
        now = step / 1000.0
        arrivals += [
            now for limiter in limiters if limiter.try_acquire("cold", rate, now)
        ]
    max_per_s = max(
        [sum(t <= a < t + 1.0 for a in arrivals) for t in arrivals], default=0
    )
    assert max_per_s <= 1.5 * rate + 5


def test_nodes_of_one_list_use_most_of_the_rate_of_a_cold_upstream():
    names = [f"n{k}" for k in range(12)]
    limiters = make_limiters([(own, names) for own in names], 10.0)
    times = [step / 1000.0 for step in range(10_000)]
    n_sent = sum(
        limiter.try_acquire("cold", 10.0, now) for now in times for limiter in limiters
    )
    assert 60 <= n_sent <= 100


def test_node_without_a_list_of_nodes_sends_nothing_to_cold_upstreams():
    assert not ColdRateLimiter("n0").try_acquire("cold", 10.0, 0.0)


def test_cold_upstream_with_a_limit_gets_few_requests_and_the_rest_go_elsewhere():
    entries = [make_entry("warm", "desk"), make_entry("cold", "desk")]
    harness = RequestHarness([make_route("look", ["desk"], **LOOKUP_FIELDS)], entries)
    harness.directory.get("cold").cold_until = harness.now + 60
    harness.directory.get("warm").avoid(harness.now)
    harness.reducer.snapshot.services["desk"] = Service("desk", 60, 2.0)
    for n in range(50):
        harness.send_request("/look/x", request_id=f"r{n}")
    asked = [leg.upstream.entry.id for leg in harness.legs]
    assert asked.count("cold") <= 1


def test_request_that_only_cold_upstreams_could_take_is_refused_early():
    harness = RequestHarness(
        [make_route("look", ["desk"], **LOOKUP_FIELDS)], [make_entry("cold", "desk")]
    )
    harness.directory.get("cold").cold_until = harness.now + 60
    harness.reducer.snapshot.services["desk"] = Service("desk", 60, 0.5)
    harness.reducer.set_nodes([NodeEntry("n7")])
    harness.send_request("/look/x")
    harness.advance_time(25)
    assert (harness.only_effect.status, harness.only_effect.retry_after_s > 0) == (
        503,
        True,
    )


# Upstreams


def test_draining_upstream_receives_no_new_requests(lookup):
    for name in ("desk/a", "desk/b"):
        lookup.directory.put(make_entry(name, "desk", is_draining=True), lookup.now)
    for n in range(10):
        lookup.send_request("/look/x", request_id=f"r{n}")
    assert {leg.upstream.entry.id for leg in lookup.legs} == {"desk/c"}


def test_drained_data_centre_receives_no_requests_until_undrained():
    entries = [make_entry("near", "desk", "a"), make_entry("far", "desk", "b")]
    harness = RequestHarness([make_route("look", ["desk"], **LOOKUP_FIELDS)], entries)
    harness.directory.drain_data_centres(["a"])
    harness.send_request("/look/x")
    assert harness.legs[-1].upstream.entry.id == "far"
    harness.directory.drain_data_centres([])
    harness.send_request("/look/x")
    assert harness.legs[-1].upstream.entry.id == "near"


def test_upstream_removed_while_the_store_is_reachable_is_dropped_at_once():
    directory = Directory("a")
    directory.put(make_entry("one", "desk"), 0.0)
    directory.remove("one", 1.0, may_have_lapsed=False)
    assert directory.list_usable("desk") == ()


def test_lapsed_upstream_is_the_last_resort_for_two_seconds_and_then_dropped():
    entries = [make_entry("one", "desk"), make_entry("two", "desk")]
    harness = RequestHarness([make_route("look", ["desk"], **LOOKUP_FIELDS)], entries)
    harness.directory.remove("one", harness.now, may_have_lapsed=True)
    for n in range(5):
        harness.send_request("/look/x", request_id=f"r{n}")
    assert {leg.upstream.entry.id for leg in harness.legs} == {"two"}
    harness.directory.discard("two")
    harness.send_request("/look/x")
    assert harness.legs[-1].upstream.entry.id == "one"
    assert harness.directory.drop_lapsed(harness.now + 1.9) == []
    assert harness.directory.drop_lapsed(harness.now + 2.1) == ["one"]


def test_lapsed_upstream_that_is_listed_again_is_kept():
    directory = Directory("a")
    directory.put(make_entry("one", "desk"), 0.0)
    directory.remove("one", 1.0, may_have_lapsed=True)
    directory.put(make_entry("one", "desk"), 2.0)
    assert directory.drop_lapsed(9.0) == []


def test_draining_upstream_that_is_removed_is_dropped_at_once():
    directory = Directory("a")
    directory.put(make_entry("one", "desk", is_draining=True), 0.0)
    directory.remove("one", 1.0, may_have_lapsed=True)
    assert directory.get("one") is None


def test_stalled_upstream_is_avoided_for_longer_each_time():
    directory = Directory("a")
    upstream = directory.put(make_entry("one", "desk"), 0.0)
    first_avoid_s = FIRST_AVOID_S
    upstream.avoid(0.0)
    assert upstream.is_avoided(0.9 * first_avoid_s)
    assert not upstream.is_avoided(1.1 * first_avoid_s)
    upstream.avoid(1.1 * first_avoid_s)
    assert upstream.is_avoided(3.0 * first_avoid_s)
    assert not upstream.is_avoided(3.2 * first_avoid_s)
    upstream.avoid(3.2 * first_avoid_s)
    upstream.clear_avoidance()
    assert not upstream.is_avoided(3.2 * first_avoid_s)


# Measurements of upstreams


def make_three_replica_harness(n_shards=1, **fields):
    """Return a harness whose shards have three replicas each."""
    services = [f"part-{n}" for n in range(n_shards)]
    entries = [make_entry(f"{s}-{k}", s) for s in services for k in "abc"]
    return RequestHarness([make_route("find", services, **fields)], entries)


def test_upstream_that_often_fails_receives_few_first_legs():
    harness = make_three_replica_harness()
    rng = random.Random(5)
    n_to_failing = 0
    for n in range(120):
        n_before = len(harness.sent)
        harness.send_request(request_id=f"r{n}")
        first = harness.sent[n_before].leg
        if n >= 20:
            n_to_failing += first.upstream.entry.id == "part-0-a"
        while harness.legs:
            harness.advance_time(10.0)
            (leg,) = harness.legs
            if leg.upstream.entry.id == "part-0-a" and rng.random() < 0.4:
                harness.fail(leg)
            else:
                harness.answer(leg)
        harness.advance_time(100.0)
    assert n_to_failing < 20


def test_upstreams_that_never_answered_a_search_are_avoided_by_the_next_one():
    harness = make_three_replica_harness(n_shards=4, least_coverage=0.5)
    harness.send_request()
    silent = [leg for leg in harness.legs if leg.shard.service == "part-0"]
    for leg in [leg for leg in harness.legs if leg not in silent]:
        harness.answer(leg)
    harness.advance_time(99.0)
    asked = {each.leg.upstream.entry.id for each in harness.sent}
    asked_by_first = {each for each in asked if each.startswith("part-0")}
    assert len(asked_by_first) == 2
    n_before = len(harness.sent)
    harness.send_request(request_id="r2")
    next_legs = [each.leg.upstream.entry.id for each in harness.sent[n_before:]]
    (next_asked,) = [each for each in next_legs if each.startswith("part-0")]
    assert next_asked not in asked_by_first


def test_late_answer_does_not_end_the_avoidance_of_an_upstream():
    harness = make_three_replica_harness(
        n_shards=1, timeout_ms=2000.0, objective_ms=1000.0
    )
    harness.send_request(timeout_ms=2000.0)
    (slow,) = harness.legs
    harness.advance_time(900.0)
    assert slow.upstream.is_avoided(harness.now)
    harness.answer(slow)
    assert slow.upstream.is_avoided(harness.now)


def test_refusals_without_a_listed_upstream_do_not_make_a_node_isolated():
    harness = RequestHarness([make_route("look", ["nobody"], **LOOKUP_FIELDS)], [])
    for n in range(5):
        harness.send_request("/look/x", request_id=f"r{n}")
    assert [effect.status for effect in harness.other_effects] == [503] * 5
    assert not harness.isolation.is_isolated(harness.now + 1.5)


def test_contact_older_than_the_newest_does_not_end_the_isolation_of_a_node():
    """Nodes that are isolated together relay old contacts with the store."""
    isolation = IsolationDetector(0.0)
    isolation.record_contact(10.0)
    for _ in range(3):
        isolation.record_refusal()
    isolation.record_contact(9.5)
    assert isolation.is_isolated(11.5)


def test_upstream_that_often_rejects_is_asked_less_than_one_that_does_not():
    """One of two upstreams rejects three of five legs, as where it sheds load."""
    entries = [make_entry(f"part-0/{k}", "part-0") for k in "ab"]
    harness = RequestHarness([make_route("find", ["part-0"])], entries)
    n_legs = {"part-0/a": 0, "part-0/b": 0}
    for n in range(200):
        harness.send_request(request_id=f"r{n}")
        while harness.legs:
            (leg,) = harness.legs
            upstream_id = leg.upstream.entry.id
            n_legs[upstream_id] += 1
            harness.advance_time(8)
            if upstream_id == "part-0/a" and n_legs[upstream_id] % 5 < 3:
                harness.refuse(leg)
            else:
                harness.answer(leg)
        harness.advance_time(240)
    assert n_legs["part-0/a"] < 0.25 * n_legs["part-0/b"]


# Isolation


def make_isolation_harness(other_data_centres=("b", "c")):
    """A search over ten shards, four of which have a local upstream, and a lookup."""
    entries = [make_entry("desk/x", "desk")]
    services = []
    for n in range(10):
        services.append(f"part-{n}")
        for k in range(2):
            home = "a" if n < 4 and not k else other_data_centres[(n + k) % 2]
            entries.append(make_entry(f"part-{n}/{k}", services[-1], home))
    fields = {"objective_ms": 40.0, "timeout_ms": 400.0}
    routes = [
        make_route("find", services, **fields),
        make_route("look", ["desk"], **LOOKUP_FIELDS),
    ]
    return RequestHarness(routes, entries)


def answer_local(harness):
    for leg in list(harness.legs):
        if not leg.upstream.is_remote and leg in harness.legs:
            harness.answer(leg)


def answer_all(harness):
    for leg in list(harness.legs):
        if leg in harness.legs:
            harness.answer(leg)


def reset_remote(harness):
    for leg in list(harness.legs):
        if leg.upstream.is_remote and leg in harness.legs:
            harness.fail(leg)


def run_cut_off_searches(harness, seconds, has_resets, interval_ms=100):
    """Send searches from a data centre that is cut off; return the refusals."""
    for n in range(round(seconds * 1000 / interval_ms)):
        harness.send_request(request_id=f"cut-{n}", timeout_ms=401.0)
        for _ in range(interval_ms // 10):
            harness.advance_time(10)
            answer_local(harness)
            if has_resets:
                reset_remote(harness)
    return [each for each in harness.other_effects if type(each) is fx.Refuse]


def serve_one_search(harness):
    harness.send_request(request_id="before")
    harness.advance_time(10)
    answer_all(harness)
    harness.other_effects.clear()


@pytest.mark.parametrize("has_resets", [False, True])
def test_node_that_is_cut_off_with_its_data_centre_knows_within_half_a_second(
    has_resets,
):
    harness = make_isolation_harness()
    serve_one_search(harness)
    run_cut_off_searches(harness, 0.4, has_resets)
    assert harness.isolation.is_isolated(harness.now)


@pytest.mark.parametrize("has_resets", [False, True])
def test_isolated_node_refuses_at_once_what_it_cannot_serve(has_resets):
    harness = make_isolation_harness()
    serve_one_search(harness)
    run_cut_off_searches(harness, 0.5, has_resets)
    harness.send_request(request_id="probe")
    harness.other_effects.clear()
    n_before = len(harness.sent)
    harness.send_request(request_id="refused")
    assert (harness.only_effect.status, harness.only_effect.retry_after_s) == (503, 1.0)
    assert len(harness.sent) == n_before


def test_isolated_node_serves_what_needs_local_upstreams_only():
    harness = make_isolation_harness()
    serve_one_search(harness)
    run_cut_off_searches(harness, 0.5, has_resets=False)
    harness.other_effects.clear()
    harness.send_request("/look/x", request_id="look")
    (leg,) = [each for each in harness.legs if each.upstream.entry.service == "desk"]
    harness.answer(leg)
    assert type(harness.other_effects[-1]) is fx.Forward


def test_search_that_runs_when_its_node_is_cut_off_ends_before_its_timeout():
    harness = make_isolation_harness()
    serve_one_search(harness)
    refusals = run_cut_off_searches(harness, 0.3, has_resets=False)
    # The legs that were sent may have run, so the caller is not told otherwise.
    assert refusals[0].status == 502


def test_refused_caller_returns_at_once_when_the_balancer_no_longer_sends_any_here():
    harness = make_isolation_harness()
    assert harness.isolation.retry_after_s == 1.0
    for is_ready in (True, False):
        harness.isolation.record_check(is_ready)
        assert harness.isolation.retry_after_s == 1.0
    harness.isolation.record_check(False)
    assert harness.isolation.retry_after_s == 0.0


def test_connections_that_are_all_reset_at_once_do_not_isolate_a_node():
    harness = make_isolation_harness()
    serve_one_search(harness)
    harness.advance_time(1000)
    harness.send_request(request_id="reset")
    reset_remote(harness)
    for _ in range(4):
        harness.advance_time(10)
        assert not harness.isolation.is_isolated(harness.now)
    answer_all(harness)
    harness.advance_time(500)
    assert not harness.isolation.is_isolated(harness.now)


def test_loss_of_the_only_other_data_centre_does_not_isolate_a_node_at_once():
    harness = make_isolation_harness(other_data_centres=("b", "b"))
    serve_one_search(harness)
    run_cut_off_searches(harness, 0.5, has_resets=False)
    assert not harness.isolation.is_isolated(harness.now)


@pytest.mark.parametrize("has_resets", [False, True])
def test_store_contact_shows_that_the_upstreams_are_at_fault_until_one_answers(
    has_resets,
):
    harness = make_isolation_harness()
    serve_one_search(harness)
    run_cut_off_searches(harness, 0.3, has_resets)
    harness.isolation.record_contact(harness.now)
    run_cut_off_searches(harness, 0.7, has_resets)
    assert not harness.isolation.is_isolated(harness.now)
    serve_one_search(harness)
    run_cut_off_searches(harness, 0.4, has_resets)
    assert harness.isolation.is_isolated(harness.now)


def test_leg_that_was_sent_before_the_last_contact_is_no_sign_of_isolation():
    detector = IsolationDetector(0.0)
    directory = make_isolation_harness().directory
    for n in range(4, 10):
        upstream = directory.get(f"part-{n}/0")
        detector.record_unanswered(upstream, sent_at=0.9, now=1.0)
    detector.record_response(1.05)
    for n in range(4, 10):
        upstream = directory.get(f"part-{n}/0")
        detector.record_unanswered(upstream, sent_at=1.0, now=1.1)
    assert not detector.is_isolated(1.5)


def test_response_of_another_data_centre_ends_the_isolation():
    harness = make_isolation_harness()
    serve_one_search(harness)
    run_cut_off_searches(harness, 0.5, has_resets=False)
    harness.advance_time(PROBE_INTERVAL_S * 1000.0)
    harness.send_request(request_id="probe")
    answer_all(harness)
    assert not harness.isolation.is_isolated(harness.now)
