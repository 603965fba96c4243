"""Admission of legs at the owner of an upstream, case by case."""

import pytest

from heatherpick._core.admission import Admission
from heatherpick._core.effects import CallUpstream, CancelCall, Count, SendPeer
from heatherpick._core.events import CallEnded
from heatherpick._core.messages import (
    LegBatch,
    LegCancel,
    LegOutcome,
    LegSpec,
    LegStatus,
)
from heatherpick.declarations import Drains, Limit
from tests.fakes import FakeMembers, FakeShare, build_documents, select

LIMIT = Limit("limit", 3, 1, 60, 6.0, 8)
GROUP = "set/dc1/0"


def build_admission(limit=LIMIT):
    documents = build_documents(limit=limit)
    members = FakeMembers("owner")
    return Admission.from_parts("owner", documents, members, 0.8), documents, members


def build_batch(request_id, *upstreams, remaining_ms=200.0, priority=0):
    legs = tuple(LegSpec(i, name, 0) for i, name in enumerate(upstreams))
    return LegBatch(
        request_id, "service", "set", 1, priority, remaining_ms, "{}", "", legs
    )


def build_call_ended(call, status=LegStatus.ANSWERED, instance="one", elapsed_ms=10.0):
    outcomes = tuple(LegOutcome(each.index, 0, status) for each in call.legs)
    return CallEnded(call.call_id, outcomes, elapsed_ms, instance)


def list_outcomes(effects):
    return [
        (each.node, each.message.request_id, outcome.leg_id, outcome.status.name)
        + ((outcome.reason,) if outcome.reason else ())
        for each in select(effects, SendPeer)
        for outcome in each.message.outcomes
    ]


def warm_up(admission, upstream="u0", now=0.0):
    """Ramp an upstream up to its declared limit; return the time afterwards."""
    for i in range(400):
        effects = admission.handle_batch(
            "entry", build_batch(f"warm{i}", upstream), now
        )
        (call,) = select(effects, CallUpstream)
        now += 0.02
        admission.handle_call_ended(build_call_ended(call), now)
    return now


def test_leg_is_sent_at_once_when_a_slot_is_free():
    admission, _, _ = build_admission()
    effects = admission.handle_batch("entry", build_batch("r", "u0"), 1.0)
    (call,) = select(effects, CallUpstream)
    assert (call.upstream, call.address, call.timeout_ms) == (
        "u0",
        "127.0.0.1:0",
        pytest.approx(200.0),
    )
    effects = admission.handle_call_ended(build_call_ended(call), 1.1)
    assert list_outcomes(effects) == [("entry", "r", 0, "ANSWERED")]
    assert admission.is_idle()


def test_legs_of_several_queries_share_a_call_when_a_slot_becomes_free():
    admission, _, _ = build_admission()
    now = warm_up(admission)
    effects = []
    for i in range(6):
        effects += admission.handle_batch("entry", build_batch(f"r{i}", "u0"), now)
    calls = select(effects, CallUpstream)
    assert [len(each.legs) for each in calls] == [1, 1, 1]
    (call,) = select(
        admission.handle_call_ended(build_call_ended(calls[0]), now), CallUpstream
    )
    assert [each.request_id for each in call.legs] == ["r3", "r4", "r5"]
    assert [each.index for each in call.legs] == [0, 1, 2]


def test_order_in_the_queue_is_priority_then_deadline():
    admission, _, _ = build_admission()
    now = warm_up(admission)
    calls = []
    for i in range(3):
        effects = admission.handle_batch("entry", build_batch(f"busy{i}", "u0"), now)
        calls += select(effects, CallUpstream)
    admission.handle_batch(
        "entry", build_batch("late", "u0", remaining_ms=300, priority=1), now
    )
    admission.handle_batch("entry", build_batch("low", "u0", priority=2), now)
    admission.handle_batch(
        "entry", build_batch("early", "u0", remaining_ms=150, priority=1), now
    )
    admission.handle_batch("entry", build_batch("first", "u0", remaining_ms=400), now)
    (call,) = select(
        admission.handle_call_ended(build_call_ended(calls[0]), now), CallUpstream
    )
    assert [each.request_id for each in call.legs] == ["first", "early", "late", "low"]


@pytest.mark.parametrize(
    ("case", "reason"),
    [
        ("drained upstream", "drained"),
        ("drained data centre", "drained"),
        ("unknown", "unknown upstream"),
        ("moved", "not owner"),
        ("no share", "no share"),
        ("leaving", "leaving"),
        ("expired", "deadline"),
        ("no number", "deadline"),
    ],
)
def test_leg_that_may_not_be_sent_is_refused_at_once(case, reason):
    admission, documents, members = build_admission()
    upstream = "u9" if case == "unknown" else "u0"
    remaining_ms = {"expired": 0.0, "no number": float("nan")}.get(case, 200.0)
    if case == "drained upstream":
        documents.drains = Drains(upstreams=frozenset({"u0"}))
    if case == "drained data centre":
        documents.drains = Drains(data_centres=frozenset({"dc1"}))
    if case == "moved":
        members.owners[GROUP] = "other"
    if case == "no share":
        members.shares[GROUP] = FakeShare(0)
    if case == "leaving":
        admission.begin_leaving(0.0)
    effects = admission.handle_batch(
        "entry", build_batch("r", upstream, remaining_ms=remaining_ms), 1.0
    )
    assert list_outcomes(effects) == [("entry", "r", 0, "NOT_SENT", reason)]
    assert not select(effects, CallUpstream)
    assert admission.is_idle()


@pytest.mark.parametrize("change", ["drained", "unknown upstream", "leaving"])
def test_queued_leg_is_reported_as_not_sent_and_call_in_flight_finishes(change):
    admission, documents, _ = build_admission()
    effects = admission.handle_batch("entry", build_batch("sent", "u0"), 1.0)
    (call,) = select(effects, CallUpstream)
    admission.handle_batch("entry", build_batch("queued", "u0"), 1.0)
    if change == "leaving":
        effects = admission.begin_leaving(1.0)
    else:
        if change == "drained":
            documents.drains = Drains(upstreams=frozenset({"u0"}))
        else:
            documents.declarations = build_documents(n_upstreams=0).declarations
        effects = admission.handle_documents_changed(1.0)
    assert list_outcomes(effects) == [("entry", "queued", 0, "NOT_SENT", change)]
    assert not admission.is_idle()
    effects = admission.handle_call_ended(build_call_ended(call), 1.1)
    assert list_outcomes(effects) == [("entry", "sent", 0, "ANSWERED")]
    assert admission.is_idle()


def test_cancelled_legs_leave_the_queue_and_cancel_calls_in_flight():
    admission, _, _ = build_admission()
    effects = admission.handle_batch("entry", build_batch("a", "u0"), 1.0)
    (call,) = select(effects, CallUpstream)
    admission.handle_batch("entry", build_batch("b", "u0"), 1.0)
    effects = admission.handle_cancel("entry", LegCancel("b", (0, 7)), 1.0)
    assert list_outcomes(effects) == [("entry", "b", 0, "NOT_SENT", "cancelled")]
    effects = admission.handle_cancel("entry", LegCancel("a", (0,)), 1.0)
    assert list_outcomes(effects) == [("entry", "a", 0, "UNKNOWN", "cancelled")]
    assert select(effects, CancelCall) == [CancelCall(call.call_id)]
    effects = admission.handle_call_ended(
        build_call_ended(call, LegStatus.UNKNOWN), 1.1
    )
    assert list_outcomes(effects) == []
    assert not select(effects, CallUpstream)


def test_deadline_in_flight_reports_unknown_and_keeps_the_slot():
    admission, _, _ = build_admission()
    admission.handle_batch("entry", build_batch("a", "u0", remaining_ms=100), 1.0)
    effects = admission.handle_timer("admission:deadlines", 1.106)
    assert list_outcomes(effects) == [("entry", "a", 0, "UNKNOWN", "deadline")]
    effects = admission.handle_batch("entry", build_batch("b", "u0"), 1.2)
    assert not select(effects, CallUpstream)


@pytest.mark.parametrize(
    ("ids", "expected", "label"),
    [
        ((0, 0, 1), ["ANSWERED", "ANSWERED"], "strange"),
        ((0, 1, 9, -1), ["ANSWERED", "ANSWERED"], "strange"),
        ((1,), ["ANSWERED", "UNKNOWN"], None),
        ((), ["UNKNOWN", "UNKNOWN"], None),
    ],
)
def test_outcomes_that_do_not_match_the_call_are_corrected(ids, expected, label):
    admission, _, _ = build_admission()
    now = warm_up(admission)
    calls = []
    for i in range(3):
        effects = admission.handle_batch("entry", build_batch(f"busy{i}", "u0"), now)
        calls += select(effects, CallUpstream)
    admission.handle_batch("entry", build_batch("x", "u0"), now)
    admission.handle_batch("entry", build_batch("y", "u0"), now)
    (call,) = select(
        admission.handle_call_ended(build_call_ended(calls[0]), now), CallUpstream
    )
    outcomes = tuple(LegOutcome(each, 0, LegStatus.ANSWERED) for each in ids)
    effects = admission.handle_call_ended(
        CallEnded(call.call_id, outcomes, 5.0, "one"), now
    )
    assert sorted(each[3] for each in list_outcomes(effects)) == expected
    dropped = [each.label for each in select(effects, Count) if "dropped" in each.name]
    assert set(dropped) == ({label} if label else set())


def test_legs_of_a_lost_source_leave_the_queue_and_cancel_calls_in_flight():
    admission, _, _ = build_admission()
    effects = admission.handle_batch("entry", build_batch("a", "u0"), 1.0)
    (call,) = select(effects, CallUpstream)
    admission.handle_batch("entry", build_batch("b", "u0"), 1.0)
    effects = admission.handle_source_lost("entry", 1.0)
    assert select(effects, CancelCall) == [CancelCall(call.call_id)]
    assert not select(effects, SendPeer)
    assert not select(
        admission.handle_call_ended(build_call_ended(call), 1.1), SendPeer
    )
    assert admission.is_idle()


def test_overload_refuses_the_lowest_class_first():
    admission, _, _ = build_admission()
    now = warm_up(admission)
    effects = []
    for i in range(3):
        effects += admission.handle_batch("entry", build_batch(f"busy{i}", "u0"), now)
    refused = []
    for i in range(80):
        effects = admission.handle_batch(
            "entry", build_batch(f"low{i}", "u0", remaining_ms=30, priority=5), now
        )
        refused += list_outcomes(effects)
    assert refused
    assert {each[4] for each in refused} == {"overload"}
    effects = admission.handle_batch(
        "entry", build_batch("high", "u0", remaining_ms=30), now
    )
    assert all(each[1].startswith("low") for each in list_outcomes(effects))
