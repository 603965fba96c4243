"""Tests of legs that a node of another data centre sends and merges."""

import heapq
import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heatherpick._fleet.nodes import NodeEntry
from heatherpick._net.groups import decode_answer, encode_answer
from heatherpick._serving import effects as fx
from heatherpick._serving import events as ev
from heatherpick._serving.directory import Directory
from heatherpick._serving.grouping import FIRST_PAUSE_S, MIN_GROUP_LEGS, plan_groups
from heatherpick._serving.groups import (
    ANSWERED,
    CANCELLED,
    FAILED,
    LATE,
    LINGER_S,
    MAX_PEER_LEGS,
    NOT_RUN,
    UNSENT,
    LegOutcome,
    PeerGroup,
)
from heatherpick._serving.merging import merge_parts
from heatherpick._serving.model import Service, Snapshot
from heatherpick._serving.reach import IsolationDetector
from heatherpick._serving.requests import RequestReducer
from tests.direct.site import make_site
from tests.direct.test_requests import (
    HOST,
    RequestHarness,
    Response,
    make_entry,
    make_route,
)

# The plan


@given(
    st.dictionaries(
        st.integers(0, 30),
        st.dictionaries(st.sampled_from("bcd"), st.integers(0, 5), max_size=3),
    )
)
def test_each_shard_is_in_one_group_at_most_and_no_group_is_small(candidates):
    groups = plan_groups(candidates)
    shards = [shard for pairs in groups.values() for shard, _ in pairs]
    assert len(shards) == len(set(shards))
    for data_centre, pairs in groups.items():
        assert len(pairs) >= MIN_GROUP_LEGS
        assert all(candidates[shard][data_centre] == asked for shard, asked in pairs)


# The answer on the wire

outcomes = st.lists(
    st.builds(
        lambda result, elapsed_ms, load: LegOutcome(
            result, b"seal" if result == ANSWERED else b"", elapsed_ms, load
        ),
        st.sampled_from([ANSWERED, CANCELLED, FAILED, LATE, NOT_RUN, UNSENT]),
        st.integers(0, 9999).map(lambda tenths: tenths / 10.0),
        st.none() | st.tuples(*[st.integers(0, 99)] * 3),
    ),
    min_size=1,
    max_size=9,
)


@given(outcomes)
def test_outcomes_are_decoded_as_they_were_encoded(outcomes):
    headers = dict(encode_answer(outcomes))
    assert decode_answer(headers, len(outcomes)) == tuple(outcomes)


@pytest.mark.parametrize(
    "rows",
    [
        b"",
        b"5",
        b"[]",
        b'[["a",1.0]]',
        b'[["x",1.0]]',
        b'[["u",1.0],["u",1.0]]',
        b'[["u",1.0,1]]',
        b'[["u","soon"]]',
        b'["u"]',
    ],
)
def test_malformed_answer_raises(rows):
    headers = {b"x-heatherpick-outcomes": rows, b"x-heatherpick-signatures": b""}
    with pytest.raises((KeyError, TypeError, ValueError)):
        decode_answer(headers, 1)


def test_answer_with_more_signatures_than_parts_raises():
    headers = dict(encode_answer([LegOutcome(ANSWERED, b"s")]))
    headers[b"x-heatherpick-signatures"] = b"s, t"
    with pytest.raises(ValueError, match="outcomes"):
        decode_answer(headers, 1)


# The node that runs the search

N_SHARDS = 6


def learn_latency(reducer, route):
    """Let a node know a route's latency, on which it depends whether it groups legs."""
    for _ in range(100):
        reducer._find_route_latency(route).record(8.0)


class GroupHarness(RequestHarness):
    """A node of data centre a; four of six shards have remote upstreams only."""

    def __init__(self, remote=("b", "c"), **fields):
        services = [f"part-{n}" for n in range(N_SHARDS)]
        entries = []
        for n, service in enumerate(services):
            homes = ("a", "b") if n < 2 else remote
            entries += [
                make_entry(f"{service}-{k}", service, dc) for k, dc in enumerate(homes)
            ]
        route = make_route("find", services)
        super().__init__([route], entries, **fields)
        learn_latency(self.reducer, route)
        self.reducer.set_nodes(
            [NodeEntry(f"n-{dc}", f"n-{dc}:7380", dc, 10.0) for dc in "abc"]
            + [NodeEntry("n0", "n0:7380", "a", 10.0)]
        )

    def pop_effects(self, kind):
        popped = [effect for effect in self.other_effects if type(effect) is kind]
        self.other_effects = [
            effect for effect in self.other_effects if type(effect) is not kind
        ]
        return popped

    def start_search(self):
        """Send a search, answer its direct legs, and return its groups."""
        self.send_request()
        groups = [effect.group for effect in self.pop_effects(fx.SendGroup)]
        for leg in list(self.legs):
            self.answer(leg, signature=leg.upstream.entry.id.encode())
        return groups

    def answer_group(self, group, results=()):
        """Answer a group; legs without a result are answered."""
        results = list(results) + [ANSWERED] * (len(group.legs) - len(results))
        outcomes = tuple(
            LegOutcome(
                result,
                leg.upstream.entry.id.encode() if result == ANSWERED else b"",
                8.0,
            )
            for leg, result in zip(group.legs, results, strict=True)
        )
        parts = [
            make_part(leg)
            for leg, result in zip(group.legs, results, strict=True)
            if result == ANSWERED
        ]
        body = merge_parts(parts, 5)
        self.feed(ev.GroupAnswered(group, outcomes, body))


def make_part(leg):
    return leg.shard.service.encode().ljust(16, b".")


@pytest.fixture
def harness():
    return GroupHarness()


def test_remote_legs_are_grouped_and_near_ones_are_sent_directly(harness):
    harness.send_request()
    assert sorted(each.leg.shard.service for each in harness.sent) == [
        "part-0",
        "part-1",
    ]
    groups = [effect.group for effect in harness.pop_effects(fx.SendGroup)]
    grouped = [leg for group in groups for leg in group.legs]
    assert sorted(leg.shard.service for leg in grouped) == [
        f"part-{n}" for n in range(2, N_SHARDS)
    ]
    for group in groups:
        (data_centre,) = {leg.upstream.entry.data_centre for leg in group.legs}
        assert group.address == f"n-{data_centre}:7380"


def test_answer_of_a_group_counts_each_of_its_parts(harness):
    for group in harness.start_search():
        harness.answer_group(group)
    (merged,) = harness.pop_effects(fx.Merge)
    assert merged.n_missing == 0
    assert len(set(merged.signatures)) == N_SHARDS
    parts = [f"part-{n}".encode().ljust(16, b".") for n in range(N_SHARDS)]
    assert merged.body == merge_parts(parts, 5)


def test_part_of_a_group_replaces_that_of_a_hedge(harness):
    groups = harness.start_search()
    harness.advance_time(85.0)
    hedges = [leg for leg in harness.legs if leg.upstream.is_remote]
    assert len(hedges) == 4
    harness.answer(hedges[0], signature=b"direct", body=b"z" * 16)
    for group in groups:
        harness.answer_group(group)
    (merged,) = harness.pop_effects(fx.Merge)
    assert b"direct" not in merged.signatures
    assert b"z" * 16 not in merged.body
    assert len(set(merged.signatures)) == N_SHARDS


def test_hedges_alone_complete_a_search_and_cancel_its_groups(harness):
    groups = harness.start_search()
    harness.advance_time(85.0)
    for leg in list(harness.legs):
        if leg in harness.legs:
            harness.answer(leg)
    assert len(harness.pop_effects(fx.Merge)) == 1
    cancelled = [effect.group for effect in harness.pop_effects(fx.CancelGroup)]
    assert cancelled == groups
    harness.answer_group(groups[0])
    assert harness.other_effects == []


@pytest.mark.parametrize(
    ("was_sent", "is_declined"), [(False, False), (True, True), (True, False)]
)
def test_lost_group_is_sent_directly_within_the_allowed_upstreams(
    harness, was_sent, is_declined
):
    groups = harness.start_search()
    named = {
        leg.shard.service: leg.upstream.entry.id
        for group in groups
        for leg in group.legs
    }
    n_before = len(harness.sent)
    for group in groups:
        harness.feed(ev.GroupFailed(group, was_sent, is_declined, "lost"))
    again = {
        each.leg.shard.service: each.leg.upstream.entry.id
        for each in harness.sent[n_before:]
    }
    assert again.keys() == named.keys()
    if was_sent and not is_declined:
        # The named upstream may run the leg, so only the other one is left.
        assert all(again[service] != named[service] for service in named)
        for leg in list(harness.legs):
            harness.fail(leg)
            if harness.pop_effects(fx.Refuse):
                break
        assert len(harness.sent) == n_before + len(again)


def test_group_that_was_not_begun_costs_no_extra_legs():
    harness = GroupHarness(slack=0.0)
    groups = harness.start_search()
    n_before = len(harness.sent)
    for group in groups:
        harness.feed(ev.GroupFailed(group, False, False, "ECONNREFUSED"))
        n_legs = len(harness.sent)
        harness.feed(ev.GroupFailed(group, False, False, "ECONNREFUSED"))
        assert len(harness.sent) == n_legs
    assert len(harness.sent) == n_before + 4


def test_late_leg_is_hedged_and_its_rest_is_asked_for(harness):
    (group, *others) = harness.start_search()
    for other in others:
        harness.answer_group(other)
    harness.answer_group(group, [LATE])
    (rest,) = [effect.group for effect in harness.pop_effects(fx.SendGroup)]
    assert (rest.is_rest, rest.address) == (True, group.address)
    late = group.legs[0]
    assert rest.legs == [late]
    (hedge,) = harness.legs
    assert hedge.shard is late.shard
    assert hedge.upstream is not late.upstream
    harness.answer_group(rest)
    (merged,) = harness.pop_effects(fx.Merge)
    assert (merged.n_missing, len(set(merged.signatures))) == (0, N_SHARDS)
    assert harness.cancelled == [hedge]


def test_late_leg_that_was_cancelled_is_asked_elsewhere(harness):
    (group, *others) = harness.start_search()
    for other in others:
        harness.answer_group(other)
    harness.answer_group(group, [CANCELLED])
    assert harness.pop_effects(fx.SendGroup) == []
    (again,) = harness.legs
    assert again.upstream is not group.legs[0].upstream


def test_rejected_leg_of_a_group_is_asked_elsewhere(harness):
    (group, *_) = harness.start_search()
    n_before = len(harness.sent)
    harness.answer_group(group, [NOT_RUN, UNSENT, FAILED][: len(group.legs)])
    again = [each.leg for each in harness.sent[n_before:]]
    assert len(again) == min(3, len(group.legs))
    rejected = group.legs[0]
    assert rejected.upstream.is_avoided(harness.now)


def test_node_that_does_not_answer_a_group_gets_no_other_for_a_while():
    harness = GroupHarness(remote=("b", "b"))
    (silent,) = harness.start_search()
    harness.advance_time(85.0)
    for hedge in list(harness.legs):
        if hedge in harness.legs:
            harness.answer(hedge)
    assert len(harness.pop_effects(fx.Merge)) == 1
    harness.pop_effects(fx.CancelGroup)

    def list_asked(request_id):
        """Return the nodes that are given groups by a search."""
        harness.send_request(request_id=request_id)
        for leg in list(harness.legs):
            harness.answer(leg)
        return [each.group.address for each in harness.pop_effects(fx.SendGroup)]

    assert list_asked("r2") == []
    harness.advance_time(FIRST_PAUSE_S * 1000.0)
    assert list_asked("r3") == [silent.address]


def test_caller_that_disconnects_cancels_the_groups(harness):
    groups = harness.start_search()
    harness.feed(ev.CallerDisconnected(groups[0].query))
    cancelled = [effect.group for effect in harness.pop_effects(fx.CancelGroup)]
    assert cancelled == groups


# The node that gathers


class GathererHarness(RequestHarness):
    def __init__(self, n_legs=3, **changes):
        services = [f"part-{n}" for n in range(n_legs)]
        self.ids = tuple(f"{service}-a" for service in services)
        entries = [make_entry(f"{service}-a", service) for service in services]
        super().__init__([make_route("find", services)], entries)

    def send_group(self, ids=None, is_rest=False, request="peer", wait_ms=200.0):
        event = ev.GroupArrived(
            request, HOST, "/find/x", "r1", ids or self.ids, 5, is_rest, wait_ms, 400
        )
        self.feed(event)

    def end_linger(self):
        """Let the time for the rest of the first group pass."""
        group = self.sent[0].leg.query
        self.now = self.timers.pop(group)
        self.feed(ev.TimerExpired(group))

    @property
    def results(self):
        return [each.result for each in self.other_effects[-1].outcomes]


@pytest.fixture
def gatherer():
    return GathererHarness()


def test_gatherer_sends_each_named_leg_once_and_merges_the_parts(gatherer):
    gatherer.send_group()
    assert [each.leg.upstream.entry.id for each in gatherer.sent] == list(gatherer.ids)
    for leg in list(gatherer.legs):
        gatherer.answer(leg)
    assert gatherer.results == [ANSWERED] * 3
    parts = [f"part-{n}".encode().ljust(16, b".") for n in range(3)]
    assert gatherer.only_effect.body == merge_parts(parts, 5)


def test_gatherer_does_not_send_to_an_upstream_that_it_may_not_use(gatherer):
    gatherer.directory.put(
        make_entry("part-0-a", "part-0", is_draining=True), gatherer.now
    )
    gatherer.directory.get("part-1-a").cold_until = gatherer.now + 1.0
    gatherer.send_group(ids=(*gatherer.ids, "unknown"))
    (leg,) = gatherer.legs
    gatherer.answer(leg)
    assert gatherer.results == [UNSENT, UNSENT, ANSWERED, UNSENT]


def test_gatherer_does_not_send_to_a_drained_data_centre(gatherer):
    gatherer.directory.drain_data_centres(["a"])
    gatherer.send_group()
    assert gatherer.results == [UNSENT] * 3


def test_gatherer_states_how_each_leg_ended(gatherer):
    gatherer.send_group()
    rejecting, failing, unsent = list(gatherer.legs)
    gatherer.refuse(rejecting, load=(1, 2, 3))
    gatherer.fail(failing)
    gatherer.fail(unsent, was_sent=False)
    assert gatherer.results == [NOT_RUN, FAILED, UNSENT]
    assert gatherer.only_effect.outcomes[0].load == (1, 2, 3)


def test_gatherer_answers_when_the_wait_is_over_and_keeps_late_legs_for_a_moment(
    gatherer,
):
    gatherer.send_group(wait_ms=20.0)
    late, *others = list(gatherer.legs)
    for leg in others:
        gatherer.answer(leg)
    gatherer.advance_time(20.0)
    assert gatherer.results == [LATE, ANSWERED, ANSWERED]
    assert gatherer.legs == [late]
    answered_at = gatherer.now
    gatherer.end_linger()
    assert answered_at < gatherer.now <= answered_at + LINGER_S
    assert gatherer.cancelled == [late]
    assert late.upstream.n_open_legs == 0


@pytest.mark.parametrize("is_early", [True, False])
def test_rest_takes_over_the_late_leg_without_sending_another(gatherer, is_early):
    gatherer.send_group(wait_ms=20.0)
    late, *others = list(gatherer.legs)
    for leg in others:
        gatherer.answer(leg)
    gatherer.advance_time(20.0)
    if is_early:
        gatherer.answer(late)
    gatherer.send_group(ids=gatherer.ids[:1], is_rest=True, request="rest")
    if not is_early:
        gatherer.advance_time(LINGER_S * 1000.0 + 10.0)
        assert gatherer.legs == [late]
        gatherer.answer(late)
    assert len(gatherer.sent) == 3
    answer = gatherer.other_effects[-1]
    assert (answer.request, gatherer.results) == ("rest", [ANSWERED])
    assert answer.body == make_part(late)


def test_rest_that_comes_too_late_does_not_run_a_leg_again(gatherer):
    gatherer.send_group(wait_ms=20.0)
    gatherer.advance_time(20.0)
    gatherer.end_linger()
    gatherer.send_group(ids=gatherer.ids[:1], is_rest=True)
    assert (len(gatherer.sent), gatherer.results) == (3, [CANCELLED])


def test_late_legs_of_two_nodes_that_run_the_same_search_are_all_cancelled(gatherer):
    """Both may run it after an acceptance was lost, and their requests have one id."""
    gatherer.send_group(ids=gatherer.ids[:1], wait_ms=20.0)
    gatherer.send_group(ids=gatherer.ids[1:], wait_ms=20.0, request="other")
    gatherer.advance_time(20.0)
    for group in [gatherer.sent[0].leg.query, gatherer.sent[1].leg.query]:
        gatherer.feed(ev.TimerExpired(group))
    assert gatherer.legs == []
    for upstream_id in gatherer.ids:
        assert gatherer.directory.get(upstream_id).n_open_legs == 0


def test_gatherer_cancels_the_legs_of_a_node_that_disconnects(gatherer):
    gatherer.send_group()
    gatherer.feed(ev.CallerDisconnected(gatherer.sent[0].leg.query))
    assert gatherer.legs == []
    assert len(gatherer.cancelled) == 3


def test_gatherer_declines_what_it_cannot_gather(gatherer):
    event = ev.GroupArrived("p", HOST, "/other/x", "r", ("u",), 5, False, 9.0, 9)
    gatherer.feed(event)
    many = ("part-0-a",) * (MAX_PEER_LEGS + 1)
    gatherer.send_group(ids=many)
    kinds = [type(effect) for effect in gatherer.other_effects]
    assert kinds == [fx.DeclineHandOver] * 2
    assert gatherer.sent == []


# Several nodes on one clock


class Peer:
    """A group's request as the gathering node has it, or its rest."""

    def __init__(self, origin, group):
        self.origin = origin
        self.group = group
        self.query = None


class Fleet:
    """Reducers of three data centres, with random upstreams and delays between them.

    Every leg that reaches an upstream is recorded, whichever node sends it.
    """

    def __init__(self, seed, n_shards=8, loss=0.1):
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 100.0
        self.queue = []
        self.order = itertools.count()
        self.arrivals = {}
        self.answers = []
        self.timers = {}
        self.cancelled = set()
        self.groups = {}
        services = [f"part-{n}" for n in range(n_shards)]
        route = make_route("find", services, timeout_ms=500.0, objective_ms=100.0)
        snapshot = Snapshot(
            1,
            {HOST: {route.prefix: route}},
            {service: Service(service, 60, 0.0) for service in services},
        )
        entries = [
            make_entry(f"{service}-{dc}", service, dc)
            for service in services
            for dc in self.rng.sample("abc", 2)
        ]
        nodes = [NodeEntry(f"n-{dc}", f"n-{dc}:7380", dc, 10.0) for dc in "abc"]
        self.reducers = {}
        self.directories = {}
        for dc in "abc":
            directory = self.directories[dc] = Directory(dc)
            directory.replace(entries, self.now)
            reducer = self.reducers[dc] = RequestReducer(
                directory,
                0.2,
                1000.0,
                f"n-{dc}",
                IsolationDetector(self.now),
                random.Random(seed),
            )
            reducer.set_nodes(nodes)
            reducer.adopt(snapshot)
            learn_latency(reducer, route)
        self.frozen_until = {dc: 0.0 for dc in "abc"}

    def call_later(self, delay_ms, function, *args):
        at = self.now + delay_ms / 1000.0
        heapq.heappush(self.queue, (at, next(self.order), function, args))

    def run(self, until):
        while self.queue and self.queue[0][0] <= until:
            at, _, function, args = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            function(*args)
        self.now = until

    def feed(self, dc, event):
        if self.now < self.frozen_until[dc]:
            self.call_later(
                (self.frozen_until[dc] - self.now) * 1e3, self.feed, dc, event
            )
            return
        for effect in self.reducers[dc].reduce(event, self.now):
            handler = getattr(self, f"do_{type(effect).__name__}", None)
            if handler is not None:
                handler(dc, effect)

    def do_SendLeg(self, dc, effect):
        leg = effect.leg
        if type(leg.query) is PeerGroup:
            leg.query.request.query = leg.query
        upstream_id = leg.upstream.entry.id
        key = (leg.query.request_id, leg.upstream.entry.service)
        self.arrivals.setdefault(key, []).append(upstream_id)
        delay_ms = self.rng.choice([4.0, 6.0, 8.0, 8.0, 40.0, 90.0])
        chance = self.rng.random()
        if chance < 0.05:
            event = ev.LegFailed(leg, True, "reset")
        elif chance < 0.1:
            event = ev.LegAnswered(
                leg, 503, b"", True, False, (3, 3, 3), Response(503), b""
            )
        else:
            signature = f"{key[0]} {key[1]} {upstream_id}".encode()
            body = make_records(upstream_id)
            event = ev.LegAnswered(
                leg, 200, signature, False, False, None, Response(200), body
            )
        if chance < 0.95:
            self.call_later(delay_ms, self.finish_leg, dc, event)

    def finish_leg(self, dc, event):
        if event.leg not in self.cancelled:
            self.feed(dc, event)

    def do_CancelLeg(self, dc, effect):
        self.cancelled.add(effect.leg)

    def do_SetTimer(self, dc, effect):
        query = effect.query
        if type(query) is PeerGroup:
            query.request.query = query
        token = self.timers[query] = object()
        delay_ms = max(0.0, effect.at - self.now) * 1000.0
        self.call_later(delay_ms, self.expire, dc, query, token)

    def expire(self, dc, query, token):
        if self.timers.get(query) is token:
            self.feed(dc, ev.TimerExpired(query))

    def do_SendGroup(self, dc, effect):
        group = effect.group
        peer = self.groups[group] = Peer(dc, group)
        target = group.address[2]
        if self.rng.random() < self.loss:
            self.frozen_until[target] = self.now + self.rng.choice([0.02, 0.2, 1.0])
        if self.rng.random() < self.loss:
            was_sent = self.rng.random() < 0.5
            event = ev.GroupFailed(group, was_sent, False, "reset")
            self.call_later(1.0, self.deliver, dc, event)
            if not was_sent:
                return
        ids = tuple(leg.upstream.entry.id for leg in group.legs)
        request_id = group.query.request_id
        n_records = group.query.route.n_records
        event = ev.GroupArrived(
            peer,
            HOST,
            "/find/x",
            request_id,
            ids,
            n_records,
            group.is_rest,
            effect.wait_ms,
            effect.timeout_ms,
        )
        self.call_later(0.5, self.feed, target, event)

    def do_AnswerGroup(self, dc, effect):
        peer = effect.request
        headers = dict(encode_answer(effect.outcomes))
        outcomes = decode_answer(headers, len(peer.group.legs))
        event = ev.GroupAnswered(peer.group, outcomes, effect.body)
        self.call_later(0.5, self.deliver, peer.origin, event)

    def do_DeclineHandOver(self, dc, effect):
        peer = effect.request
        event = ev.GroupFailed(peer.group, True, True, "declined")
        self.call_later(0.5, self.deliver, peer.origin, event)

    def deliver(self, dc, event):
        self.feed(dc, event)

    def do_CancelGroup(self, dc, effect):
        self.call_later(0.5, self.disconnect, effect.group)

    def disconnect(self, group):
        peer = self.groups[group]
        if peer.query is not None:
            self.feed(group.address[2], ev.CallerDisconnected(peer.query))

    def do_Merge(self, dc, effect):
        self.answers.append(effect)

    def do_Refuse(self, dc, effect):
        self.answers.append(effect)


def make_records(upstream_id):
    rng = random.Random(upstream_id)
    return b"".join(rng.randbytes(16) for _ in range(rng.randrange(4)))


@settings(deadline=None)
@given(st.integers(0, 2**32), st.sampled_from([0.0, 0.1, 0.4]))
def test_merge_over_several_nodes_is_the_merge_of_exactly_the_named_parts(seed, loss):
    """Late, lost and repeated groups and frozen nodes change nothing in it."""
    fleet = Fleet(seed, loss=loss)
    n_searches = 12
    for n in range(n_searches):
        dc = fleet.rng.choice("abc")
        event = ev.RequestArrived(f"caller-{n}", HOST, "/find/x", f"r{n}", 500.0)
        fleet.call_later(n * 40.0, fleet.feed, dc, event)
    fleet.run(fleet.now + 4.0)
    assert len(fleet.answers) == n_searches
    assert fleet.groups
    for answer in fleet.answers:
        if type(answer) is fx.Refuse:
            continue
        named = [signature.decode().split() for signature in answer.signatures]
        request_ids = {request_id for request_id, _, _ in named}
        shards = [service for _, service, _ in named]
        assert request_ids == {f"r{answer.request.removeprefix('caller-')}"}
        assert len(shards) == len(set(shards))
        assert len(shards) + answer.n_missing == 8
        parts = [make_records(upstream_id) for _, _, upstream_id in named]
        assert answer.body == merge_parts(parts, 5)
    for upstream_ids in fleet.arrivals.values():
        assert len(set(upstream_ids)) <= 2
    for directory in fleet.directories.values():
        for upstream in directory._upstreams.values():
            assert upstream.n_open_legs == 0


# Over loopback


@pytest.fixture
def site():
    """A node in data centre a and one in c, where three shards have all upstreams."""
    site = make_site(n_nodes=0)
    for upstream in site.upstreams.values():
        site.store.delete("servers", upstream.id)
    for k in range(3):
        for copy in "xy":
            site.add_upstream(f"q{k}{copy}", f"p{k}", zone="c")
    for dc in "ac":
        site.start_node(data_centre=dc)
    site.run_until(lambda: all(node.is_ready for node in site.nodes))
    site.run_until(
        lambda: all(
            lines and lines[-1]["n_nodes"] == 2
            for lines in (each.find("nodes listed") for each in site.logs)
        )
    )
    reducer = site.nodes[0]._reducer
    learn_latency(reducer, reducer.snapshot.find_route("search.example", "/find/x"))
    return site


def list_requests(site):
    """Return the ids of the upstreams that got a request, with repetitions."""
    return [each.id for each in site.upstreams.values() for _ in each.requests]


def send_search(site, request_id="r1", **fields):
    caller = site.connect(site.nodes[0])
    caller.send_request("/find/x?q=1", request_id=request_id, **fields)
    return caller


def test_search_is_answered_by_one_group_of_the_other_data_centre(site):
    status, headers, body = send_search(site).read_response()
    assert (status, headers["parts-missing"]) == (200, "0")
    assert body == b"".join(name.ljust(16, b".") for name in (b"p2", b"p1", b"p0"))
    assert len(set(headers["part-seals"].split(", "))) == 3
    assert len(list_requests(site)) == 3
    metrics = site.nodes[1]._counters.format_metrics({})
    assert "heatherpick_groups_gathered_total 1\n" in metrics
    (ended,) = site.logs[0].find("request ended")
    assert (ended["groups"], ended["hedges"]) == (1, 0)


def test_body_and_headers_of_the_caller_reach_the_upstreams_through_a_group(site):
    extra = ["X-Tracking: 7", "X-Heatherpick-Legs: i-1", "X-Heatherpick-Rest: 1"]
    caller = send_search(site, method="POST", body=b"words", extra=extra)
    assert caller.read_response()[0] == 200
    requests = [r for each in site.upstreams.values() for r in each.requests]
    assert len(requests) == 3
    for request in requests:
        assert (request.method, request.body) == (b"POST", b"words")
        assert request.by_name[b"x-tracking"] == b"7"
        assert not any(name.startswith(b"x-heatherpick") for name in request.by_name)


def test_late_part_of_a_group_still_reaches_the_caller(site):
    assert send_search(site, "warm").read_response()[0] == 200
    for upstream in site.upstreams.values():
        upstream.delay_s = 0.2 if upstream.service == "p0" else 0.0
    status, headers, _ = send_search(site, "r2").read_response()
    assert (status, headers["parts-missing"]) == (200, "0")
    assert all(
        sum(r.by_name[b"request-id"] == b"r2" for r in each.requests) <= 1
        for each in site.upstreams.values()
    )
    gathered = site.logs[1].find("legs gathered")
    assert (gathered[0]["request"], gathered[0]["legs"]) == ("r2", 3)


def test_search_is_served_directly_when_the_gatherer_stops(site):
    site.nodes[1].begin_stop()
    status, headers, _ = send_search(site).read_response()
    assert (status, headers["parts-missing"]) == (200, "0")
    assert "groups_gathered" not in site.nodes[1]._counters.format_metrics({})
    assert len(list_requests(site)) == 3


def test_node_of_an_earlier_version_declines_a_group(site, monkeypatch):
    """It takes the request for an offered search without the version of its routes."""
    from heatherpick._net import searches

    monkeypatch.setattr(searches, "LEGS_HEADER", b"x-none")
    status, headers, _ = send_search(site).read_response()
    assert (status, headers["parts-missing"]) == (200, "0")
    assert len(list_requests(site)) == 3


def test_caller_that_leaves_ends_the_legs_at_the_gatherer(site):
    for upstream in site.upstreams.values():
        upstream.delay_s = 1.0
    caller = send_search(site)
    site.run_until(lambda: len(list_requests(site)) >= 3)
    caller.sock.close()
    site.run_until(
        lambda: sum(u.n_disconnects for u in site.upstreams.values()) >= 3, 0.5
    )


def test_gatherer_that_never_answers_delays_a_search_but_does_not_lose_it(
    site, monkeypatch
):
    gateway = site.nodes[1]._gateway
    monkeypatch.setattr(gateway, "handle_group", lambda *arguments: None)
    status, headers, _ = send_search(site).read_response()
    assert (status, headers["parts-missing"]) == (200, "0")
    assert len(list_requests(site)) == 3
