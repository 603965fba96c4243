"""Admission sends no more than its limits allow and reports each leg once.

A leg that is reported as not sent must not have been sent.
"""

from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from heatherpick._core.admission import Admission
from heatherpick._core.effects import CallOrder, CallUpstream, SendPeer, SetTimer
from heatherpick._core.events import CallEnded, OrderEnded
from heatherpick._core.messages import (
    LegBatch,
    LegCancel,
    LegOutcome,
    LegSpec,
    LegStatus,
)
from heatherpick._core.ramp import N_STEP_ANSWERS
from heatherpick._core.slots import SlotUser
from heatherpick.declarations import Drains, Limit
from tests.fakes import FakeMembers, FakeShare, build_documents

LIMIT = Limit("limit", 4, 2, 60, 6.0, 4)
UPSTREAMS = ("u0", "u1")
SOURCES = ("owner", "entry")
INDEX = st.integers(0, 20)


class OrderUser(SlotUser):
    """Work that needs a slot, as an order does."""

    def __init__(self, machine, upstream):
        self.machine = machine
        self.upstream = upstream

    def handle_slot_granted(self, now):
        self.started_at = now
        self.machine.granted_users.append(self)
        return [CallOrder(0, self.upstream, "", "", "", 0.0, "")]

    def handle_slot_refused(self, reason, now):
        return []


class AdmissionMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.documents = build_documents(2, LIMIT, n_group=1)
        self.members = FakeMembers("owner")
        self.admission = Admission.from_parts(
            "owner", self.documents, self.members, 0.8
        )
        self.all_declarations = self.documents.declarations
        self.timers = {}
        self.n_requests = 0
        self.source_by_open_leg = {}
        self.sent_legs = set()
        self.calls = []
        self.granted_users = []
        self.n_in_flight = dict.fromkeys(UPSTREAMS, 0)
        self.instances = dict.fromkeys(UPSTREAMS, 0)
        self.seen_instances = dict.fromkeys(UPSTREAMS, 0)
        self.n_answers = dict.fromkeys(UPSTREAMS, 0)

    def apply_effects(self, effects):
        for effect in effects:
            if isinstance(effect, CallUpstream | CallOrder):
                self.check_call(effect.upstream)
            if type(effect) is CallUpstream:
                assert 0 < len(effect.legs) <= LIMIT.n_batch
                instance = self.instances[effect.upstream]
                self.calls.append((effect, instance, self.now))
                for leg in effect.legs:
                    leg_key = (leg.request_id, leg.spec.leg_id)
                    assert leg_key not in self.sent_legs, "sent twice"
                    assert leg_key in self.source_by_open_leg, (
                        "sent after its outcome was reported"
                    )
                    self.sent_legs.add(leg_key)
            elif type(effect) is SendPeer:
                for outcome in effect.message.outcomes:
                    self.check_outcome(effect, outcome)
            elif type(effect) is SetTimer:
                self.timers[effect.name] = self.now + effect.after_ms / 1000

    def check_call(self, upstream):
        self.n_in_flight[upstream] += 1
        n_slots = LIMIT.n_slots
        if self.n_answers[upstream] < N_STEP_ANSWERS:
            n_slots = LIMIT.n_cold_slots
        group = f"set/dc1/{upstream[1]}"
        max_calls = self.members.shares.get(group, FakeShare()).limit(n_slots)
        assert self.n_in_flight[upstream] <= max_calls, (
            "more calls than the upstream's limit allows"
        )
        assert self.members.owners.get(group, "owner") == "owner"
        assert upstream in self.documents.declarations.upstreams
        assert not self.documents.drains.covers(
            self.all_declarations.upstreams[upstream]
        )

    def check_outcome(self, effect, outcome):
        leg_key = (effect.message.request_id, outcome.leg_id)
        assert self.source_by_open_leg.pop(leg_key, None) == effect.node, (
            "reported twice or to the wrong node"
        )
        if outcome.status is LegStatus.NOT_SENT and outcome.reason != "by upstream":
            assert leg_key not in self.sent_legs, (
                "reported as not sent although it was sent"
            )

    @rule(
        source=st.sampled_from(SOURCES),
        upstreams=st.lists(st.sampled_from((*UPSTREAMS, "u9")), min_size=1, max_size=6),
        priority=st.integers(-1, 3),
        remaining_ms=st.sampled_from([0.0, 20.0, 200.0, 1000.0]),
    )
    def accept(self, source, upstreams, priority, remaining_ms):
        self.n_requests += 1
        request_id = f"r{self.n_requests}"
        legs = tuple(LegSpec(i, each, 0) for i, each in enumerate(upstreams))
        self.source_by_open_leg.update(
            {(request_id, leg.leg_id): source for leg in legs}
        )
        batch = LegBatch(
            request_id, "service", "set", 1, priority, remaining_ms, "{}", "", legs
        )
        self.apply_effects(self.admission.handle_batch(source, batch, self.now))

    @rule(upstream=st.sampled_from(UPSTREAMS), n_batches=st.integers(4, 30))
    def burst(self, upstream, n_batches):
        for _ in range(n_batches):
            self.accept("entry", [upstream], 0, 1000.0)

    @rule(upstream=st.sampled_from(UPSTREAMS))
    def warm_up(self, upstream):
        for _ in range(40):
            self.accept("entry", [upstream], 0, 1000.0)
            while self.calls:
                self.end_call(0, LegStatus.ANSWERED, 0, 0)
            self.advance(0.03)

    @precondition(lambda self: self.source_by_open_leg)
    @rule(i=INDEX)
    def cancel(self, i):
        (request_id, leg_id), source = list(self.source_by_open_leg.items())[
            i % len(self.source_by_open_leg)
        ]
        message = LegCancel(request_id, (leg_id, 77))
        self.apply_effects(self.admission.handle_cancel(source, message, self.now))

    @precondition(lambda self: self.calls)
    @rule(
        i=INDEX,
        status=st.sampled_from([LegStatus.ANSWERED] * 4 + list(LegStatus)),
        n_missing=st.integers(0, 1),
        n_doubled=st.integers(0, 1),
    )
    def end_call(self, i, status, n_missing, n_doubled):
        call, instance, sent = self.calls.pop(i % len(self.calls))
        self.n_in_flight[call.upstream] -= 1
        outcome = LegOutcome(0, 0, status, reason="by upstream")
        outcomes = [replace(outcome, leg_id=leg.index) for leg in call.legs]
        outcomes = outcomes[n_missing:] + outcomes[:n_doubled]
        is_answer = status in (LegStatus.ANSWERED, LegStatus.GONE) and outcomes
        if is_answer:
            # A late answer from before a restart that is known is no sign of another.
            if instance > self.seen_instances[call.upstream]:
                self.seen_instances[call.upstream] = instance
                self.n_answers[call.upstream] = 0
            else:
                self.n_answers[call.upstream] += 1
        event = CallEnded(
            call.call_id,
            tuple(outcomes),
            (self.now - sent) * 1000,
            f"start{instance}" if is_answer else "",
        )
        self.apply_effects(self.admission.handle_call_ended(event, self.now))
        leg_keys = {(leg.request_id, leg.spec.leg_id) for leg in call.legs}
        assert not leg_keys & set(self.source_by_open_leg), (
            "a leg of an ended call was not reported"
        )

    @rule(upstream=st.sampled_from(UPSTREAMS))
    def take_slot(self, upstream):
        user = OrderUser(self, upstream)
        self.apply_effects(self.admission.reserve_slot(upstream, user, self.now))

    @precondition(lambda self: self.granted_users)
    @rule(i=INDEX)
    def release_slot(self, i):
        user = self.granted_users.pop(i % len(self.granted_users))
        self.n_in_flight[user.upstream] -= 1
        event = OrderEnded(0, LegStatus.SHED)
        self.apply_effects(
            self.admission.release_slot(user.upstream, event, user.started_at, self.now)
        )

    @rule(upstream=st.sampled_from(UPSTREAMS))
    def restart_upstream(self, upstream):
        self.instances[upstream] += 1

    @rule(drained=st.sets(st.sampled_from(UPSTREAMS), max_size=1))
    def drain(self, drained):
        self.documents.drains = Drains(upstreams=frozenset(drained))
        self.apply_effects(self.admission.handle_documents_changed(self.now))

    @rule(n_upstreams=st.sampled_from([1, 2]))
    def declare(self, n_upstreams):
        documents = build_documents(n_upstreams, LIMIT, n_group=1)
        self.documents.declarations = documents.declarations
        self.apply_effects(self.admission.handle_documents_changed(self.now))

    @rule(index=st.integers(0, 1), most=st.sampled_from([None, None, 1, 0]))
    def change_share(self, index, most):
        self.members.shares[f"set/dc1/{index}"] = FakeShare(most)

    @rule(index=st.integers(0, 1), owner=st.sampled_from(["owner", "owner", "other"]))
    def change_owner(self, index, owner):
        self.members.owners[f"set/dc1/{index}"] = owner

    @rule(source=st.sampled_from(SOURCES))
    def lose_source(self, source):
        self.source_by_open_leg = {
            k: v for k, v in self.source_by_open_leg.items() if v != source
        }
        self.apply_effects(self.admission.handle_source_lost(source, self.now))

    @rule(seconds=st.sampled_from([0.005, 0.03, 0.3, 31.0]))
    def advance(self, seconds):
        self.now += seconds
        for name, due_at in list(self.timers.items()):
            if due_at <= self.now:
                del self.timers[name]
                self.apply_effects(self.admission.handle_timer(name, self.now))

    def teardown(self):
        self.apply_effects(self.admission.begin_leaving(self.now))
        while self.calls:
            self.end_call(0, LegStatus.ANSWERED, 0, 0)
        while self.granted_users:
            self.release_slot(0)
        assert not self.source_by_open_leg, "a leg was never reported"
        assert self.admission.is_idle()


TestAdmission = AdmissionMachine.TestCase
TestAdmission.settings = settings(
    max_examples=150, stateful_step_count=60, derandomize=True, deadline=None
)
