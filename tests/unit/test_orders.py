"""Orders under single faults: which effects, results and claims they lead to."""

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
    """Orders of one node; the test responds for the platform and the upstreams."""

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
        self.add_effects(self.admission.handle_documents_changed(self.now))

    def add_effects(self, effects):
        self.effects += effects

    def pop_effects(self, kind):
        selected = select(self.effects, kind)
        self.effects = [each for each in self.effects if type(each) is not kind]
        return selected

    def call(self, request_id="r", key="k", body=ORDER, remaining_ms=1000.0):
        message = KeyedCall(request_id, "service", key, body, remaining_ms, "")
        self.add_effects(self.orders.handle_call("entry", message, self.now))

    def answer_read(self, version=0, keys=None, body=None):
        (read,) = self.pop_effects(ReadObject)
        if body is None:
            body = orjson.dumps({"keys": keys}).decode() if keys else ""
        event = ObjectRead(read.token, read.name, version, body)
        self.add_effects(self.orders.object_read(event, self.now))

    def answer_write(self):
        (write,) = self.pop_effects(WriteObject)
        self.confirm_write(write)
        return write

    def confirm_write(self, write):
        event = ObjectWritten(write.token, write.name, write.expected_version + 1)
        self.add_effects(self.orders.object_written(event, self.now))

    def fail_request(self, kind, sent):
        (effect,) = self.pop_effects(kind)
        event = ObjectFailed(effect.token, effect.name, sent)
        self.add_effects(self.orders.object_failed(event, self.now))
        return effect

    def end_order(self, status, body="", reason=""):
        (call,) = self.pop_effects(CallOrder)
        event = OrderEnded(call.call_id, status, body, reason, 10.0, "one")
        self.add_effects(self.orders.order_ended(event, self.now))
        return call

    def advance(self, seconds, timer="orders:flush"):
        self.now += seconds
        self.add_effects(self.orders.timer(timer, self.now))

    def pop_results(self):
        return [
            (each.message.request_id, each.message.outcome.name)
            + ((each.message.reason,) if each.message.reason else ())
            + ((each.message.body,) if each.message.body else ())
            for each in self.pop_effects(SendPeer)
            if type(each.message) is KeyedResult
        ]


def decode_rows(write):
    return orjson.loads(write.body)["keys"]


def test_claim_then_send_then_record():
    rig = Rig()
    rig.call()
    rig.answer_read()
    assert not rig.pop_effects(CallOrder)
    assert decode_rows(rig.answer_write())["k"][0] == "start1/1"
    rig.end_order(LegStatus.ANSWERED, '{"ok": 1}')
    assert rig.pop_results() == [("r", "ANSWERED", '{"ok": 1}')]
    assert decode_rows(rig.answer_write())["k"][3:] == [True, '{"ok": 1}']
    rig.call("again")
    assert rig.pop_results() == [("again", "ANSWERED", '{"ok": 1}')]
    assert rig.orders.is_idle()
    assert rig.admission.is_idle()


def test_order_is_not_run_when_the_platform_does_not_respond():
    rig = Rig()
    rig.call()
    rig.fail_request(ReadObject, sent=True)
    assert rig.pop_results() == []
    rig.advance(0.2)
    rig.fail_request(ReadObject, sent=False)
    assert rig.pop_results() == [("r", "NOT_RUN", "platform away")]
    rig.call("next")
    assert rig.pop_results() == [("next", "NOT_RUN", "platform away")]
    assert rig.orders.is_idle()


def test_write_whose_response_was_lost_is_read_back():
    rig = Rig()
    rig.call()
    rig.answer_read()
    write = rig.fail_request(WriteObject, sent=True)
    rig.advance(0.2)
    rig.answer_read(1, body=write.body)
    rig.end_order(LegStatus.ANSWERED, "1")
    assert rig.pop_results() == [("r", "ANSWERED", "1")]


def test_missing_claim_at_the_expected_version_is_written_again():
    rig = Rig()
    rig.call()
    rig.answer_read()
    lost = rig.fail_request(WriteObject, sent=True)
    rig.advance(0.2)
    rig.answer_read()
    again = rig.pop_effects(WriteObject)[0]
    assert (again.expected_version, decode_rows(again)["k"][0]) == (
        0,
        decode_rows(lost)["k"][0],
    )
    # The first write took effect after all; it holds this node's own claim.
    event = ObjectConflict(again.token, again.name, 1, lost.body)
    rig.add_effects(rig.orders.object_conflict(event, rig.now))
    assert len(rig.pop_effects(CallOrder)) == 1


def test_abandoned_claim_of_a_lost_write_is_overwritten():
    rig = Rig()
    rig.call()
    rig.answer_read()
    rig.fail_request(WriteObject, sent=True)
    rig.advance(0.985, "orders:claims")
    assert rig.pop_results() == [("r", "NOT_RUN", "deadline")]
    rig.advance(0.0)
    rig.answer_read()
    # The object still has the version that the lost write expects, so only another
    # write makes sure that it never takes effect.
    assert "k" not in decode_rows(rig.answer_write())
    assert rig.orders.is_idle()
    assert not rig.pop_effects(CallOrder)


def test_claim_abandoned_during_its_write_is_removed():
    rig = Rig()
    rig.call()
    rig.answer_read()
    rig.advance(0.985, "orders:claims")
    assert "k" in decode_rows(rig.answer_write())
    assert "k" not in decode_rows(rig.answer_write())
    assert not rig.pop_effects(CallOrder)
    assert rig.orders.is_idle()


def test_refused_order_tries_the_other_replica_and_then_frees_its_key():
    rig = Rig()
    rig.call()
    rig.answer_read()
    rig.answer_write()
    first = rig.end_order(LegStatus.SHED)
    second = rig.end_order(LegStatus.NOT_SENT)
    assert {first.upstream, second.upstream} == {"u0", "u1"}
    assert rig.pop_results() == []
    assert "k" not in decode_rows(rig.answer_write())
    assert rig.pop_results() == [("r", "NOT_RUN", "not_sent")]


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
    rig.answer_read()
    rig.answer_write()
    rig.end_order(status)
    assert rig.pop_results() == [expected]
    if status is LegStatus.FAILED:
        rig.answer_write()
    rig.call("again")
    if status is not LegStatus.FAILED:
        rig.answer_read(1, {"k": ["start1/1", 1000.0, compute_order_hash()]})
    assert [each[1] for each in rig.pop_results()] == [expected[1]]
    assert not rig.pop_effects(CallOrder)


def compute_order_hash(body=ORDER):
    rig = Rig()
    rig.call(body=body)
    rig.answer_read()
    return decode_rows(rig.pop_effects(WriteObject)[0])["k"][2]


@pytest.mark.parametrize(
    ("row", "expected"),
    [
        (["start0/1", 999.0, compute_order_hash(), True, "7"], ("r", "ANSWERED", "7")),
        (["start0/1", 999.0, compute_order_hash()], ("r", "UNKNOWN")),
        (["start0/1", 999.0, compute_order_hash(), True, None], ("r", "UNKNOWN")),
        (["start0/1", 999.0, "other", True, "7"], ("r", "NOT_RUN")),
    ],
)
@pytest.mark.parametrize("is_drained", [False, True])
def test_repeat_is_answered_from_the_claims(row, expected, is_drained):
    rig = Rig()
    if is_drained:
        rig.drain()
    rig.call()
    rig.answer_read(3, {"k": row})
    (result,) = rig.pop_results()
    assert result[:2] == expected[:2]
    assert result[-1] == "7" or expected[1] != "ANSWERED"
    assert not rig.pop_effects(CallOrder)


def test_free_key_of_a_drained_upstream_is_not_claimed():
    rig = Rig()
    rig.drain()
    rig.call()
    rig.answer_read()
    assert rig.pop_results() == [("r", "NOT_RUN", "drained")]
    assert not rig.pop_effects(WriteObject)


def test_old_claims_are_pruned_at_the_next_write():
    rig = Rig()
    rig.call()
    rig.answer_read(1, {"old": ["x/1", -2601.0, "h"], "young": ["x/2", 0.0, "h"]})
    assert set(decode_rows(rig.answer_write())) == {"young", "k"}


def test_full_object_refuses_new_keys():
    rig = Rig()
    rig.call()
    rig.answer_read(1, {"big": ["x/1", 999.0, "h", True, "x" * MAX_CLAIM_BYTES]})
    assert rig.pop_results() == [("r", "NOT_RUN", "claims full")]


@pytest.mark.parametrize(
    "body", ["{", "[]", '{"keys": 3}', '{"keys": {"k": ["x"]}}', '{"keys": {"k": 1}}']
)
def test_unreadable_object_is_not_overwritten(body):
    rig = Rig()
    rig.call()
    rig.answer_read(1, body=body)
    rig.advance(0.2)
    rig.answer_read(1, body=body)
    assert rig.pop_results() == [("r", "NOT_RUN", "platform away")]
    assert not rig.pop_effects(WriteObject)


def list_keys_of_one_bucket(n_keys, bucket=5):
    names = (f"key{i}" for i in range(10_000))
    return [each for each in names if compute_bucket(each) == bucket][:n_keys]


def test_claims_added_during_a_write_share_the_next_one():
    rig = Rig()
    keys = list_keys_of_one_bucket(6)
    rig.call("r0", keys[0])
    rig.answer_read()
    for i, key in enumerate(keys[1:]):
        rig.call(f"r{i + 1}", key)
    assert set(decode_rows(rig.answer_write())) == {keys[0]}
    assert set(decode_rows(rig.answer_write())) == set(keys)


def answer_platform(rig):
    """Respond to the platform requests and return the names of written objects."""
    written = []
    while rig.effects:
        if reads := rig.pop_effects(ReadObject):
            for read in reads:
                event = ObjectRead(read.token, read.name, 0, "")
                rig.add_effects(rig.orders.object_read(event, rig.now))
        elif writes := rig.pop_effects(WriteObject):
            for write in writes:
                written.append(write.name)
                rig.confirm_write(write)
        else:
            rig.effects.clear()
    return written


def test_writes_are_rate_limited_and_every_bucket_is_written():
    rig = Rig(n_writes_per_s=10.0)
    written = []
    for i in range(60):
        rig.call(f"r{i}", f"key{i}", remaining_ms=60_000.0)
        written += answer_platform(rig)
    buckets = list(dict.fromkeys(compute_bucket(f"key{i}") for i in range(60)))
    n_buckets = len(buckets)
    assert len(written) == 20 < n_buckets
    for key in list_keys_of_one_bucket(n_buckets, buckets[-1]):
        rig.call(key, key, remaining_ms=60_000.0)
        rig.advance(0.11)
        written += answer_platform(rig)
    assert len(set(written)) == n_buckets


def begin_order(rig, key="k", deadline_ms=None):
    event = RequestArrived("r", "service", ORDER, deadline_ms, key)
    rig.add_effects(rig.orders.begin(event, rig.now))


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
    begin_order(rig, key, deadline_ms)
    (answer,) = rig.pop_effects(AnswerCaller)
    assert (answer.outcome, answer.reason) == (Outcome.NOT_RUN, reason)
    assert not rig.pop_effects(SendPeer)


def test_request_is_sent_to_another_owner_only_after_a_refusal():
    rig = Rig(node="entry")
    rig.members.owners["set/dc1/1"] = "n1"
    for name in ("n0", "n1"):
        rig.orders.peer_connected(name, rig.now)
    begin_order(rig)
    (first,) = rig.pop_effects(SendPeer)
    refusal = KeyedResult("r", Outcome.NOT_RUN, "", "not owner")
    rig.add_effects(rig.orders.handle_result("stranger", refusal, rig.now))
    assert not rig.pop_effects(SendPeer)
    rig.add_effects(rig.orders.handle_result(first.node, refusal, rig.now))
    (second,) = rig.pop_effects(SendPeer)
    assert {first.node, second.node} == {"n0", "n1"}
    rig.add_effects(rig.orders.handle_result(second.node, refusal, rig.now))
    assert not rig.pop_effects(SendPeer)
    # Refusals while ownership moves are transient, so the request is retried.
    rig.advance(0.03, "orders:retry")
    (third,) = rig.pop_effects(SendPeer)
    assert third.node == first.node
    rig.add_effects(rig.orders.handle_result(third.node, refusal, rig.now))
    rig.add_effects(
        rig.orders.handle_result(rig.pop_effects(SendPeer)[0].node, refusal, rig.now)
    )
    assert not rig.pop_effects(AnswerCaller)
    rig.advance(1.0, "orders:entry")
    (answer,) = rig.pop_effects(AnswerCaller)
    assert (answer.outcome, answer.reason) == (Outcome.NOT_RUN, "not owner")


@pytest.mark.parametrize("reason", ["overload", "drained", "claims full"])
def test_lasting_refusal_of_the_last_owner_is_answered_at_once(reason):
    rig = Rig(node="entry")
    rig.orders.peer_connected("n0", rig.now)
    begin_order(rig)
    (sent,) = rig.pop_effects(SendPeer)
    refusal = KeyedResult("r", Outcome.NOT_RUN, "", reason)
    rig.add_effects(rig.orders.handle_result(sent.node, refusal, rig.now))
    (answer,) = rig.pop_effects(AnswerCaller)
    assert (answer.outcome, answer.reason) == (Outcome.NOT_RUN, reason)


def test_order_is_retried_until_an_owner_is_connected():
    rig = Rig(node="entry")
    begin_order(rig)
    assert not rig.pop_effects(AnswerCaller)
    rig.orders.peer_connected("n0", rig.now)
    rig.advance(0.03, "orders:retry")
    assert [each.node for each in rig.pop_effects(SendPeer)] == ["n0"]


def test_order_that_reached_no_owner_by_its_deadline_is_not_run():
    rig = Rig(node="entry")
    begin_order(rig)
    rig.advance(1.1, "orders:entry")
    (answer,) = rig.pop_effects(AnswerCaller)
    assert (answer.outcome, answer.reason) == (Outcome.NOT_RUN, "no owner reachable")


def test_result_is_held_until_its_source_node_is_connected():
    rig = Rig()
    rig.call()
    rig.add_effects(rig.orders.peer_lost("nobody", rig.now))
    rig.answer_read()
    rig.answer_write()
    rig.end_order(LegStatus.ANSWERED, "1")
    rig.pop_effects(SendPeer)
    rig.add_effects(rig.orders.peer_connected("other", rig.now))
    assert rig.pop_results() == []
    rig.add_effects(rig.orders.peer_connected("entry", rig.now))
    assert rig.pop_results() == [("r", "ANSWERED", "1")]


def test_lost_owner_or_deadline_leaves_the_outcome_unknown():
    rig = Rig(node="entry")
    rig.orders.peer_connected("n0", rig.now)
    begin_order(rig)
    rig.add_effects(rig.orders.peer_lost("n0", rig.now))
    rig.advance(1.1, "orders:entry")
    (answer,) = rig.pop_effects(AnswerCaller)
    assert (answer.outcome, answer.reason) == (Outcome.UNKNOWN, "peer lost")
    rig.orders.peer_connected("n0", rig.now)
    begin_order(rig)
    rig.advance(1.1, "orders:entry")
    (answer,) = rig.pop_effects(AnswerCaller)
    assert (answer.outcome, answer.reason) == (Outcome.UNKNOWN, "deadline")


def test_order_of_a_lost_source_node_continues_and_a_repeat_gets_its_outcome():
    rig = Rig()
    rig.call()
    rig.answer_read()
    rig.add_effects(rig.orders.peer_lost("entry", rig.now))
    rig.answer_write()
    rig.end_order(LegStatus.ANSWERED, "1")
    rig.answer_write()
    rig.pop_effects(SendPeer)
    rig.call("again")
    assert rig.pop_results() == [("again", "ANSWERED", "1")]


def test_order_waits_for_a_slot_and_is_refused_when_none_comes_in_time():
    rig = Rig()
    keys = list_keys_of_one_bucket(4)
    for i, key in enumerate(keys):
        rig.call(f"r{i}", key)
    rig.answer_read()
    rig.answer_write()
    # Both upstreams are cold and have one slot each.
    calls = rig.pop_effects(CallOrder)
    assert {each.upstream for each in calls} == {"u0", "u1"}
    rig.advance(0.985, "orders:claims")
    assert [each[1:] for each in rig.pop_results()] == [("NOT_RUN", "deadline")] * 2
    assert set(decode_rows(rig.answer_write())) == {each.key for each in calls}


def test_leaving_node_refuses_new_orders():
    rig = Rig()
    rig.add_effects(rig.orders.begin_leaving(rig.now))
    rig.call()
    assert rig.pop_results() == [("r", "NOT_RUN", "leaving")]


@pytest.mark.parametrize(("retention_s", "rate"), [(1.0, 20.0), (3600.0, 0.0)])
def test_unsafe_settings_are_refused(retention_s, rate):
    with pytest.raises(InvalidArgument):
        Orders.from_parts("n", "s", None, None, None, retention_s, rate)


class RecordingChange(Change):
    """A change that always needs a write and records the time it is applied with."""

    wall_s = None

    def evaluate(self, view):
        return Need.WRITE

    def finish(self, view, now):
        pass

    def apply(self, table, wall_s):
        self.wall_s = wall_s

    def note_failure(self, n_failures, now):
        pass


def test_claims_age_by_the_time_of_day_on_every_vm():
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
