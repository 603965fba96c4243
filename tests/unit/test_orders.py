"""Orders under one fault each: what is sent, what is answered, what is kept."""

import orjson
import pytest

from heatherpick._core.admission import Admission
from heatherpick._core.claim_buckets import Change, ClaimBucket, Need
from heatherpick._core.claims import MAX_CLAIM_BYTES, ClaimTable, compute_bucket
from heatherpick._core.effects import (
    AnswerCaller,
    CallOrder,
    ReadObject,
    SendPeer,
    WriteObject,
)
from heatherpick._core.events import (
    ObjectConflict,
    ObjectFailed,
    ObjectRead,
    ObjectWritten,
    OrderEnded,
    RequestArrived,
)
from heatherpick._core.messages import KeyedCall, KeyedResult, LegStatus, Outcome
from heatherpick._core.orders import Orders
from heatherpick.declarations import Drains
from heatherpick.errors import InvalidArgument
from tests.fakes import FakeMembers, build_documents, select

ORDER = '{"spinach": 3}'


class Rig:
    """One node, whose platform and upstreams the test plays by hand."""

    def __init__(self, node="n0", n_writes_per_s=1000.0):
        self.now = 1000.0
        self.documents = build_documents(2, n_group=1, repeatable=False)
        self.members = FakeMembers("n0")
        self.admission = Admission.from_parts(node, self.documents, self.members, 0.8)
        self.orders = Orders.from_parts(
            node,
            "start1",
            self.documents,
            self.members,
            self.admission,
            3600.0,
            n_writes_per_s,
        )
        self.effects = []

    def drain(self):
        self.documents.drains = Drains(data_centres=frozenset({"dc1"}))
        self.add(self.admission.handle_documents_changed(self.now))

    def add(self, effects):
        self.effects += effects

    def take(self, kind):
        taken = select(self.effects, kind)
        self.effects = [each for each in self.effects if type(each) is not kind]
        return taken

    def call(self, request_id="r", key="k", body=ORDER, remaining_ms=1000.0):
        message = KeyedCall(request_id, "service", key, body, remaining_ms, "")
        self.add(self.orders.call("entry", message, self.now))

    def read(self, version=0, keys=None, body=None):
        (read,) = self.take(ReadObject)
        if body is None:
            body = orjson.dumps({"keys": keys}).decode() if keys else ""
        event = ObjectRead(read.token, read.name, version, body)
        self.add(self.orders.object_read(event, self.now))

    def write(self):
        (write,) = self.take(WriteObject)
        self.end_write(write)
        return write

    def end_write(self, write):
        event = ObjectWritten(write.token, write.name, write.expected + 1)
        self.add(self.orders.object_written(event, self.now))

    def fail(self, kind, sent):
        (effect,) = self.take(kind)
        event = ObjectFailed(effect.token, effect.name, sent)
        self.add(self.orders.object_failed(event, self.now))
        return effect

    def end_order(self, status, body="", reason=""):
        (call,) = self.take(CallOrder)
        event = OrderEnded(call.call_id, status, body, reason, 10.0, "one")
        self.add(self.orders.order_ended(event, self.now))
        return call

    def advance(self, seconds, timer="orders:flush"):
        self.now += seconds
        self.add(self.orders.timer(timer, self.now))

    def results(self):
        return [
            (each.message.request_id, each.message.outcome.name)
            + ((each.message.reason,) if each.message.reason else ())
            + ((each.message.body,) if each.message.body else ())
            for each in self.take(SendPeer)
            if type(each.message) is KeyedResult
        ]


def keys_of(write):
    return orjson.loads(write.body)["keys"]


def test_claim_then_send_then_record():
    rig = Rig()
    rig.call()
    rig.read()
    assert not rig.take(CallOrder)
    assert keys_of(rig.write())["k"][0] == "start1/1"
    rig.end_order(LegStatus.ANSWERED, '{"ok": 1}')
    assert rig.results() == [("r", "ANSWERED", '{"ok": 1}')]
    assert keys_of(rig.write())["k"][3:] == [True, '{"ok": 1}']
    rig.call("again")
    assert rig.results() == [("again", "ANSWERED", '{"ok": 1}')]
    assert rig.orders.is_idle()
    assert rig.admission.is_idle()


def test_platform_that_is_away_means_not_run():
    rig = Rig()
    rig.call()
    rig.fail(ReadObject, sent=True)
    assert rig.results() == []
    rig.advance(0.2)
    rig.fail(ReadObject, sent=False)
    assert rig.results() == [("r", "NOT_RUN", "platform away")]
    rig.call("next")
    assert rig.results() == [("next", "NOT_RUN", "platform away")]
    assert rig.orders.is_idle()


def test_lost_answer_of_a_write_that_took_effect_is_read_back():
    rig = Rig()
    rig.call()
    rig.read()
    write = rig.fail(WriteObject, sent=True)
    rig.advance(0.2)
    rig.read(1, body=write.body)
    rig.end_order(LegStatus.ANSWERED, "1")
    assert rig.results() == [("r", "ANSWERED", "1")]


def test_missing_claim_at_the_expected_version_is_no_proof():
    rig = Rig()
    rig.call()
    rig.read()
    lost = rig.fail(WriteObject, sent=True)
    rig.advance(0.2)
    rig.read()
    again = rig.take(WriteObject)[0]
    assert (again.expected, keys_of(again)["k"][0]) == (0, keys_of(lost)["k"][0])
    # The lost write lands after all, and is this node's own claim.
    event = ObjectConflict(again.token, again.name, 1, lost.body)
    rig.add(rig.orders.object_conflict(event, rig.now))
    assert len(rig.take(CallOrder)) == 1


def test_claim_that_came_too_late_is_released_whenever_it_lands():
    rig = Rig()
    rig.call()
    rig.read()
    rig.fail(WriteObject, sent=True)
    rig.advance(0.985, "orders:claims")
    assert rig.results() == [("r", "NOT_RUN", "deadline")]
    rig.advance(0.0)
    rig.read()
    # The object still has the version for which the lost write waits, so only a
    # write of one's own makes sure that it never takes effect.
    assert "k" not in keys_of(rig.write())
    assert rig.orders.is_idle()
    assert not rig.take(CallOrder)


def test_claim_given_up_in_flight_is_taken_out_again():
    rig = Rig()
    rig.call()
    rig.read()
    rig.advance(0.985, "orders:claims")
    assert "k" in keys_of(rig.write())
    assert "k" not in keys_of(rig.write())
    assert not rig.take(CallOrder)
    assert rig.orders.is_idle()


def test_refused_order_tries_the_other_replica_and_then_frees_its_key():
    rig = Rig()
    rig.call()
    rig.read()
    rig.write()
    first = rig.end_order(LegStatus.SHED)
    second = rig.end_order(LegStatus.NOT_SENT)
    assert {first.upstream, second.upstream} == {"u0", "u1"}
    assert rig.results() == []
    assert "k" not in keys_of(rig.write())
    assert rig.results() == [("r", "NOT_RUN", "not_sent")]


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        (LegStatus.UNKNOWN, ("r", "UNKNOWN", "no answer")),
        (LegStatus.GONE, ("r", "UNKNOWN", "no answer")),
        (LegStatus.FAILED, ("r", "ANSWERED", '{"status":"failed","reason":""}')),
    ],
)
def test_order_that_may_have_run_is_never_sent_again(status, expected):
    rig = Rig()
    rig.call()
    rig.read()
    rig.write()
    rig.end_order(status)
    assert rig.results() == [expected]
    if status is LegStatus.FAILED:
        rig.write()
    rig.call("again")
    if status is not LegStatus.FAILED:
        rig.read(1, {"k": ["start1/1", 1000.0, keys_hash()]})
    assert [each[1] for each in rig.results()] == [expected[1]]
    assert not rig.take(CallOrder)


def keys_hash(body=ORDER):
    rig = Rig()
    rig.call(body=body)
    rig.read()
    return keys_of(rig.take(WriteObject)[0])["k"][2]


@pytest.mark.parametrize(
    ("row", "expected"),
    [
        (["start0/1", 999.0, keys_hash(), True, "7"], ("r", "ANSWERED", "7")),
        (["start0/1", 999.0, keys_hash()], ("r", "UNKNOWN")),
        (["start0/1", 999.0, keys_hash(), True, None], ("r", "UNKNOWN")),
        (["start0/1", 999.0, "other", True, "7"], ("r", "NOT_RUN")),
    ],
)
@pytest.mark.parametrize("is_drained", [False, True])
def test_repeat_is_answered_from_the_claims(row, expected, is_drained):
    rig = Rig()
    if is_drained:
        rig.drain()
    rig.call()
    rig.read(3, {"k": row})
    (result,) = rig.results()
    assert result[:2] == expected[:2]
    assert result[-1] == "7" or expected[1] != "ANSWERED"
    assert not rig.take(CallOrder)


def test_free_key_of_a_drained_upstream_is_not_claimed():
    rig = Rig()
    rig.drain()
    rig.call()
    rig.read()
    assert rig.results() == [("r", "NOT_RUN", "drained")]
    assert not rig.take(WriteObject)


def test_old_claims_are_forgotten_at_the_next_write():
    rig = Rig()
    rig.call()
    rig.read(1, {"old": ["x/1", -2601.0, "h"], "young": ["x/2", 0.0, "h"]})
    assert set(keys_of(rig.write())) == {"young", "k"}


def test_full_object_refuses_new_keys():
    rig = Rig()
    rig.call()
    rig.read(1, {"big": ["x/1", 999.0, "h", True, "x" * MAX_CLAIM_BYTES]})
    assert rig.results() == [("r", "NOT_RUN", "claims full")]


@pytest.mark.parametrize(
    "body", ["{", "[]", '{"keys": 3}', '{"keys": {"k": ["x"]}}', '{"keys": {"k": 1}}']
)
def test_object_that_cannot_be_read_is_not_overwritten(body):
    rig = Rig()
    rig.call()
    rig.read(1, body=body)
    rig.advance(0.2)
    rig.read(1, body=body)
    assert rig.results() == [("r", "NOT_RUN", "platform away")]
    assert not rig.take(WriteObject)


def list_keys_of_one_bucket(n_keys, bucket=5):
    names = (f"key{i}" for i in range(10_000))
    return [each for each in names if compute_bucket(each) == bucket][:n_keys]


def test_claims_that_come_during_a_write_share_the_next():
    rig = Rig()
    keys = list_keys_of_one_bucket(6)
    rig.call("r0", keys[0])
    rig.read()
    for i, key in enumerate(keys[1:]):
        rig.call(f"r{i + 1}", key)
    assert set(keys_of(rig.write())) == {keys[0]}
    assert set(keys_of(rig.write())) == set(keys)


def play_platform(rig):
    """Answer the platform's requests at once; returns the names written."""
    written = []
    while rig.effects:
        if reads := rig.take(ReadObject):
            for read in reads:
                event = ObjectRead(read.token, read.name, 0, "")
                rig.add(rig.orders.object_read(event, rig.now))
        elif writes := rig.take(WriteObject):
            for write in writes:
                written.append(write.name)
                rig.end_write(write)
        else:
            rig.effects.clear()
    return written


def test_writes_are_paced_and_no_bucket_is_passed_over():
    rig = Rig(n_writes_per_s=10.0)
    written = []
    for i in range(60):
        rig.call(f"r{i}", f"key{i}", remaining_ms=60_000.0)
        written += play_platform(rig)
    buckets = list(dict.fromkeys(compute_bucket(f"key{i}") for i in range(60)))
    n_buckets = len(buckets)
    assert len(written) == 20 < n_buckets
    for key in list_keys_of_one_bucket(n_buckets, buckets[-1]):
        rig.call(key, key, remaining_ms=60_000.0)
        rig.advance(0.11)
        written += play_platform(rig)
    assert len(set(written)) == n_buckets


def begin(rig, key="k", deadline_ms=None):
    event = RequestArrived("r", "service", ORDER, deadline_ms, key)
    rig.add(rig.orders.begin(event, rig.now))


@pytest.mark.parametrize(
    ("key", "deadline_ms", "reason"),
    [
        ("", None, "idempotency key missing"),
        ("k" * 257, None, "idempotency key longer than 256 characters"),
        ("k", 5.0, "deadline"),
        ("k", -1.0, "deadline"),
    ],
)
def test_request_that_cannot_be_claimed_is_not_run(key, deadline_ms, reason):
    rig = Rig(node="entry")
    begin(rig, key, deadline_ms)
    (answer,) = rig.take(AnswerCaller)
    assert (answer.outcome, answer.reason) == (Outcome.NOT_RUN, reason)
    assert not rig.take(SendPeer)


def test_entry_asks_another_owner_after_a_refusal_only():
    rig = Rig(node="entry")
    rig.members.owners["set/dc1/1"] = "n1"
    for name in ("n0", "n1"):
        rig.orders.peer_connected(name, rig.now)
    begin(rig)
    (first,) = rig.take(SendPeer)
    refusal = KeyedResult("r", Outcome.NOT_RUN, "", "not owner")
    rig.add(rig.orders.result("stranger", refusal, rig.now))
    assert not rig.take(SendPeer)
    rig.add(rig.orders.result(first.node, refusal, rig.now))
    (second,) = rig.take(SendPeer)
    assert {first.node, second.node} == {"n0", "n1"}
    rig.add(rig.orders.result(second.node, refusal, rig.now))
    assert not rig.take(SendPeer)
    # Ownership is moving: a little later somebody has it.
    rig.advance(0.03, "orders:retry")
    (third,) = rig.take(SendPeer)
    assert third.node == first.node
    rig.add(rig.orders.result(third.node, refusal, rig.now))
    rig.add(rig.orders.result(rig.take(SendPeer)[0].node, refusal, rig.now))
    assert not rig.take(AnswerCaller)
    rig.advance(1.0, "orders:entry")
    (answer,) = rig.take(AnswerCaller)
    assert (answer.outcome, answer.reason) == (Outcome.NOT_RUN, "not owner")


@pytest.mark.parametrize("reason", ["overload", "drained", "claims full"])
def test_lasting_refusal_of_the_last_owner_is_told_at_once(reason):
    rig = Rig(node="entry")
    rig.orders.peer_connected("n0", rig.now)
    begin(rig)
    (sent,) = rig.take(SendPeer)
    refusal = KeyedResult("r", Outcome.NOT_RUN, "", reason)
    rig.add(rig.orders.result(sent.node, refusal, rig.now))
    (answer,) = rig.take(AnswerCaller)
    assert (answer.outcome, answer.reason) == (Outcome.NOT_RUN, reason)


def test_order_waits_for_an_owner_to_be_reached():
    rig = Rig(node="entry")
    begin(rig)
    assert not rig.take(AnswerCaller)
    rig.orders.peer_connected("n0", rig.now)
    rig.advance(0.03, "orders:retry")
    assert [each.node for each in rig.take(SendPeer)] == ["n0"]


def test_order_that_reached_no_owner_by_its_deadline_is_not_run():
    rig = Rig(node="entry")
    begin(rig)
    rig.advance(1.1, "orders:entry")
    (answer,) = rig.take(AnswerCaller)
    assert (answer.outcome, answer.reason) == (Outcome.NOT_RUN, "no owner reachable")


def test_result_waits_for_the_connection_back_to_its_entry():
    rig = Rig()
    rig.call()
    rig.add(rig.orders.peer_lost("nobody", rig.now))
    rig.read()
    rig.write()
    rig.end_order(LegStatus.ANSWERED, "1")
    rig.take(SendPeer)
    rig.add(rig.orders.peer_connected("other", rig.now))
    assert rig.results() == []
    rig.add(rig.orders.peer_connected("entry", rig.now))
    assert rig.results() == [("r", "ANSWERED", "1")]


def test_lost_owner_or_deadline_leaves_the_outcome_unknown():
    rig = Rig(node="entry")
    rig.orders.peer_connected("n0", rig.now)
    begin(rig)
    rig.add(rig.orders.peer_lost("n0", rig.now))
    rig.advance(1.1, "orders:entry")
    (answer,) = rig.take(AnswerCaller)
    assert (answer.outcome, answer.reason) == (Outcome.UNKNOWN, "peer lost")
    rig.orders.peer_connected("n0", rig.now)
    begin(rig)
    rig.advance(1.1, "orders:entry")
    (answer,) = rig.take(AnswerCaller)
    assert (answer.outcome, answer.reason) == (Outcome.UNKNOWN, "deadline")


def test_order_of_a_lost_entry_goes_on_and_a_repeat_learns_its_outcome():
    rig = Rig()
    rig.call()
    rig.read()
    rig.add(rig.orders.peer_lost("entry", rig.now))
    rig.write()
    rig.end_order(LegStatus.ANSWERED, "1")
    rig.write()
    rig.take(SendPeer)
    rig.call("again")
    assert rig.results() == [("again", "ANSWERED", "1")]


def test_order_waits_for_a_slot_and_is_refused_when_none_comes_in_time():
    rig = Rig()
    keys = list_keys_of_one_bucket(4)
    for i, key in enumerate(keys):
        rig.call(f"r{i}", key)
    rig.read()
    rig.write()
    # Both upstreams are cold and have one slot each.
    calls = rig.take(CallOrder)
    assert {each.upstream for each in calls} == {"u0", "u1"}
    rig.advance(0.985, "orders:claims")
    assert [each[1:] for each in rig.results()] == [("NOT_RUN", "deadline")] * 2
    assert set(keys_of(rig.write())) == {each.key for each in calls}


def test_leaving_node_takes_no_new_order():
    rig = Rig()
    rig.add(rig.orders.begin_leaving(rig.now))
    rig.call()
    assert rig.results() == [("r", "NOT_RUN", "leaving")]


@pytest.mark.parametrize(("retention_s", "rate"), [(1.0, 20.0), (3600.0, 0.0)])
def test_unsafe_settings_are_refused(retention_s, rate):
    with pytest.raises(InvalidArgument):
        Orders.from_parts("n", "s", None, None, None, retention_s, rate)


class RecordingChange(Change):
    """A change that always wants its write, and keeps the time it is given."""

    wall_s = None

    def judge(self, view):
        return Need.WRITE

    def finish(self, view, now):
        pass

    def apply(self, table, wall_s):
        self.wall_s = wall_s

    def fail(self, n_failures, now):
        pass


def test_claims_age_by_the_time_of_day_whatever_a_vm_counts_from():
    table = ClaimTable.from_body("")
    table.claim("k", "c1", 1_000_100.0, "h")
    for now, is_kept in ((500_000.0, True), (503_700.0, False)):
        bucket = ClaimBucket("claims/s/0", 3600.0, wall_offset_s=500_200.0)
        bucket.end_read(1, table.build_body(), now)
        assert (bucket.table.get("k") is not None) is is_kept
    bucket = ClaimBucket("claims/s/0", 3600.0, wall_offset_s=1_000_000.0)
    change = RecordingChange("k", "c2")
    bucket.add(change, 100.0)
    bucket.end_read(1, "", 100.0)
    assert bucket.next_need(100.0) is Need.WRITE
    bucket.begin_write(100.0)
    assert change.wall_s == 1_000_100.0
