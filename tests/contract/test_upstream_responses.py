"""What each answer of an upstream proves, and that each call ends exactly once."""

import orjson
import pytest
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from heatherpick._core.effects import CalledLeg, CallOrder, CallUpstream, CancelCall
from heatherpick._core.messages import LegSpec, LegStatus
from heatherpick._shell import exchanges
from heatherpick._shell.upstream_client import UpstreamClient, draw_first_leg_id
from heatherpick._shell.upstream_responses import hash_query
from tests.wires import Dialled, build_http, make_reactor

TRACEPARENT = "00-" + "a" * 32 + "-" + "b" * 16 + "-01"
ADDRESS = "127.0.0.1:7000"


def make_leg(index=0, shard=5):
    spec = LegSpec(index + 40, "u1", shard)
    return CalledLeg(index, spec, "r1", 3, '{"text":"oak"}', TRACEPARENT)


def answer_leg(**changes):
    leg = {"id": 0, "status": "answered", "shard": 5, "version": 3}
    leg["query_hash"] = hash_query('{"text":"oak"}')
    return leg | {"n_hits": 1, "hits": [{"id": "h"}]} | changes


def answer_legs(*legs, **changes):
    return orjson.dumps({"instance": "i1", "load": 0.1, "legs": list(legs)} | changes)


class Calls:
    """UpstreamClient on a reactor in memory, with the events that came of them."""

    def __init__(self, **options):
        self.events = []
        self.reactor = make_reactor()
        options = {"draw_first_leg_id": lambda: 0} | options
        self.upstreams = UpstreamClient(self.events.append, self.reactor, **options)

    def carry_out(self, effect):
        self.upstreams.effect_handlers[type(effect)](effect)
        self.reactor.advance(0)

    def call_legs(self, *legs, call_id=1, address=ADDRESS):
        self.carry_out(CallUpstream(call_id, "u1", address, legs, 100))

    def call_order(self):
        body = '{"item":"bread"}'
        self.carry_out(CallOrder(1, "u1", ADDRESS, "k", body, 100, TRACEPARENT))

    def accept(self):
        return Dialled(self.reactor).accept()


def end_legs(answer):
    calls = Calls()
    calls.call_legs(make_leg())
    calls.accept().protocol.dataReceived(answer)
    (ended,) = calls.events
    (outcome,) = ended.outcomes
    return ended, outcome


LEG_ANSWERS = [
    (200, answer_legs(answer_leg()), LegStatus.ANSWERED, ""),
    (200, answer_legs(answer_leg(status="gone")), LegStatus.GONE, ""),
    (200, answer_legs(answer_leg(status="failed")), LegStatus.FAILED, ""),
    (200, answer_legs(answer_leg(n_hits=2)), LegStatus.UNKNOWN, "truncated"),
    (200, answer_legs(answer_leg(hits=None)), LegStatus.UNKNOWN, "malformed hits"),
    (200, answer_legs(answer_leg(hits=[4])), LegStatus.UNKNOWN, "malformed hits"),
    (200, answer_legs(answer_leg(n_hits=True)), LegStatus.UNKNOWN, "malformed hits"),
    (200, answer_legs(answer_leg(shard=6)), LegStatus.UNKNOWN, "wrong shard"),
    (200, answer_legs(answer_leg(shard=5.0)), LegStatus.UNKNOWN, "wrong shard"),
    (
        200,
        answer_legs(answer_leg(query_hash="0")),
        LegStatus.UNKNOWN,
        "answer to another query",
    ),
    (200, answer_legs(answer_leg(id=1)), LegStatus.UNKNOWN, "missing"),
    (200, answer_legs(answer_leg(id=False)), LegStatus.UNKNOWN, "malformed leg ids"),
    (200, answer_legs(answer_leg(status="ok")), LegStatus.UNKNOWN, "malformed status"),
    (200, answer_legs(answer_leg(status=[])), LegStatus.UNKNOWN, "malformed status"),
    (200, answer_legs(answer_leg(version="3")), LegStatus.UNKNOWN, "malformed version"),
    (
        200,
        answer_legs(answer_leg(), answer_leg()),
        LegStatus.UNKNOWN,
        "malformed leg ids",
    ),
    (200, answer_legs(), LegStatus.UNKNOWN, "missing"),
    (200, answer_legs(legs=None), LegStatus.UNKNOWN, "malformed legs"),
    (200, answer_legs(legs=[7]), LegStatus.UNKNOWN, "malformed legs"),
    (200, answer_legs(instance=8), LegStatus.UNKNOWN, "malformed instance"),
    (200, b"[]", LegStatus.UNKNOWN, "malformed"),
    (200, b'{"legs": [', LegStatus.UNKNOWN, "malformed"),
    (503, b'{"instance": "i1", "status": "shed"}', LegStatus.SHED, "shed"),
    (503, b"{}", LegStatus.UNKNOWN, "status 503"),
    (503, b"<html>busy</html>", LegStatus.UNKNOWN, "malformed"),
    (500, b"{}", LegStatus.UNKNOWN, "status 500"),
]


@pytest.mark.parametrize(("status", "body", "expected", "reason"), LEG_ANSWERS)
def test_leg_answer_is_classed_by_what_it_proves(status, body, expected, reason):
    _, outcome = end_legs(build_http(status, body))
    assert (outcome.status, outcome.reason) == (expected, reason)
    assert outcome.leg_id == 0 and outcome.shard == 5


def test_answered_leg_carries_hits_version_and_instance():
    ended, outcome = end_legs(build_http(200, answer_legs(answer_leg(version=9))))
    assert outcome.hits == ({"id": "h"},)
    assert (outcome.version, ended.instance) == (9, "i1")


def test_one_bad_leg_does_not_spoil_its_neighbour():
    calls = Calls()
    calls.call_legs(make_leg(0, 5), make_leg(1, 6))
    body = answer_legs(answer_leg(n_hits=4), answer_leg(id=1, shard=6))
    calls.accept().protocol.dataReceived(build_http(200, body))
    statuses = [outcome.status for outcome in calls.events[0].outcomes]
    assert statuses == [LegStatus.UNKNOWN, LegStatus.ANSWERED]


ORDER_ANSWERS = [
    (200, b'{"key": "k", "status": "done", "receipt": {"n": 1}}', 0, '{"n":1}'),
    (200, b'{"key": "other", "status": "done", "receipt": 1}', LegStatus.UNKNOWN, ""),
    (200, b'{"status": "done", "receipt": 1}', LegStatus.UNKNOWN, ""),
    (200, b'{"key": "k", "status": "done"}', LegStatus.UNKNOWN, ""),
    (200, b'{"key": "k", "status": "failed"}', LegStatus.UNKNOWN, ""),
    (409, b'{"key": "k", "status": "failed", "reason": "x"}', LegStatus.FAILED, ""),
    (409, b'{"key": "other", "status": "failed"}', LegStatus.UNKNOWN, ""),
    (409, b'{"key": "k", "status": "done"}', LegStatus.UNKNOWN, ""),
    (503, b'{"key": "k", "status": "shed"}', LegStatus.SHED, ""),
    (503, b'{"key": "other", "status": "shed"}', LegStatus.UNKNOWN, ""),
    (503, b'{"status": "shed"}', LegStatus.UNKNOWN, ""),
    (503, b'{"key": "k", "status": "done"}', LegStatus.UNKNOWN, ""),
    (404, b"", LegStatus.UNKNOWN, ""),
]


@pytest.mark.parametrize(("status", "body", "expected", "receipt"), ORDER_ANSWERS)
def test_order_answer_is_classed_by_what_it_proves(status, body, expected, receipt):
    calls = Calls()
    calls.call_order()
    calls.accept().protocol.dataReceived(build_http(status, body))
    (ended,) = calls.events
    assert (ended.status, ended.body) == (expected, receipt)


def refuse(calls):
    Dialled(calls.reactor).refuse()


def expire_while_connecting(calls):
    calls.reactor.advance(0.2)


def expire_after_send(calls):
    calls.accept()
    calls.reactor.advance(0.2)


def break_after_send(calls):
    calls.accept().protocol.connectionLost(Failure(ConnectionLost()))


def break_within_body(calls):
    protocol = calls.accept().protocol
    protocol.dataReceived(b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n{")
    protocol.connectionLost(Failure(ConnectionLost()))


def stall_within_body(calls):
    protocol = calls.accept().protocol
    protocol.dataReceived(b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n{")
    calls.reactor.advance(0.2)


def end_without_length(calls):
    protocol = calls.accept().protocol
    protocol.dataReceived(b"HTTP/1.1 200 X\r\n\r\n" + answer_legs(answer_leg()))
    protocol.connectionLost(Failure(ConnectionLost()))


def send_garbage(calls):
    calls.accept().protocol.dataReceived(b"\x00\x01 garbage\r\n\r\n")
    calls.reactor.advance(0.2)


def cancel_while_connecting(calls):
    calls.carry_out(CancelCall(1))


def cancel_after_send(calls):
    transport = calls.accept()
    calls.carry_out(CancelCall(1))
    assert transport.disconnected


ENDINGS = [
    (refuse, LegStatus.NOT_SENT, "connect"),
    (expire_while_connecting, LegStatus.NOT_SENT, "connect"),
    (expire_after_send, LegStatus.UNKNOWN, "timeout"),
    (break_after_send, LegStatus.UNKNOWN, "broken"),
    (break_within_body, LegStatus.UNKNOWN, "broken"),
    (stall_within_body, LegStatus.UNKNOWN, "timeout"),
    (end_without_length, LegStatus.UNKNOWN, "broken"),
    (send_garbage, LegStatus.UNKNOWN, "broken"),
    (cancel_while_connecting, LegStatus.NOT_SENT, "cancelled"),
    (cancel_after_send, LegStatus.UNKNOWN, "cancelled"),
]


@pytest.mark.parametrize(("end", "expected", "reason"), ENDINGS)
def test_broken_call_ends_once_and_tells_whether_a_byte_left(end, expected, reason):
    for call in (lambda calls: calls.call_legs(make_leg()), Calls.call_order):
        calls = Calls()
        call(calls)
        end(calls)
        calls.carry_out(CancelCall(1))
        calls.reactor.advance(1)
        (ended,) = calls.events
        ended = getattr(ended, "outcomes", (ended,))[0]
        assert (ended.status, ended.reason) == (expected, reason)


def test_oversize_answer_is_given_up(monkeypatch):
    monkeypatch.setattr(exchanges, "MAX_RESPONSE_BYTES", 100)
    _, outcome = end_legs(build_http(200, b" " * 101))
    assert (outcome.status, outcome.reason) == (LegStatus.UNKNOWN, "oversize")


@pytest.mark.parametrize("address", ["", "nowhere", "127.0.0.1:x", "127.0.0.1:70000"])
def test_unusable_address_ends_the_call_unsent(address):
    calls = Calls()
    calls.call_legs(make_leg(), address=address)
    assert calls.events[0].outcomes[0].status is LegStatus.NOT_SENT


def test_legs_are_posted_as_agreed():
    calls = Calls()
    calls.call_legs(make_leg())
    head, _, body = calls.accept().value().partition(b"\r\n\r\n")
    assert head.startswith(b"POST /v1/legs HTTP/1.1\r\n")
    assert b"traceparent: " + TRACEPARENT.encode() in head.replace(b"Trace", b"trace")
    leg = {"id": 0, "shard": 5, "version": 3, "query": {"text": "oak"}}
    leg["query_hash"] = hash_query('{"text":"oak"}')
    assert orjson.loads(body) == {"deadline_ms": 100, "legs": [leg]}


def test_answer_with_the_ids_of_an_earlier_call_is_not_taken():
    calls = Calls(draw_first_leg_id=iter((100, 200)).__next__)
    calls.call_legs(make_leg())
    transport = calls.accept()
    answer = build_http(200, answer_legs(answer_leg(id=100)))
    transport.protocol.dataReceived(answer)
    calls.call_legs(make_leg(), call_id=2)
    transport.protocol.dataReceived(answer)
    first, second = (event.outcomes[0] for event in calls.events)
    assert first.status is LegStatus.ANSWERED
    assert (second.status, second.reason) == (LegStatus.UNKNOWN, "missing")


def test_ids_of_legs_differ_from_call_to_call():
    ids = {0}
    for _ in range(2):
        calls = Calls(draw_first_leg_id=draw_first_leg_id)
        calls.call_legs(make_leg())
        body = calls.accept().value().partition(b"\r\n\r\n")[2]
        ids.add(orjson.loads(body)["legs"][0]["id"])
    assert len(ids) == 3


def test_stale_kept_connection_is_not_sent_to_twice():
    calls = Calls()
    calls.call_legs(make_leg())
    transport = calls.accept()
    transport.protocol.dataReceived(build_http(200, answer_legs(answer_leg())))
    transport.clear()
    calls.call_legs(make_leg(), call_id=2)
    assert transport.value().count(b"POST /v1/legs") == 1
    transport.protocol.connectionLost(Failure(ConnectionLost()))
    assert calls.events[1].outcomes[0].status is LegStatus.UNKNOWN
    assert len(calls.reactor.tcpClients) == 1


def test_order_never_uses_a_kept_connection():
    calls = Calls()
    for _ in range(2):
        calls.call_order()
        head = calls.accept().value().lower()
        assert b"connection: close" in head
    assert len(calls.reactor.tcpClients) == 2


def test_call_that_is_cancelled_before_its_start_is_proved_unsent():
    calls = Calls()
    effect_handlers = calls.upstreams.effect_handlers
    effect_handlers[CallUpstream](CallUpstream(1, "u1", ADDRESS, (make_leg(),), 100))
    effect_handlers[CancelCall](CancelCall(1))
    calls.reactor.advance(0)
    (ended,) = calls.events
    assert [each.status for each in ended.outcomes] == [LegStatus.NOT_SENT]
    assert calls.reactor.tcpClients == []


def test_many_calls_of_one_turn_all_start():
    calls = Calls()
    for call_id in range(1, 12):
        effect = CallUpstream(call_id, "u1", ADDRESS, (make_leg(),), 100)
        calls.upstreams.effect_handlers[CallUpstream](effect)
    for _ in range(4):
        calls.reactor.advance(0)
    assert len(calls.reactor.tcpClients) == 11
