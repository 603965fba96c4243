"""Outcomes of upstream responses; each call ends exactly once."""

import orjson
import pytest
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from heatherpick._core.effects import CalledLeg, CallOrder, CallUpstream, CancelCall
from heatherpick._core.messages import LegSpec, LegStatus
from heatherpick._shell import exchanges
from heatherpick._shell.upstream_client import UpstreamClient, draw_first_leg_id
from heatherpick._shell.upstream_responses import hash_query
from tests.memory_transport import OutboundConnection, build_http_response, make_reactor

TRACEPARENT = "00-" + "a" * 32 + "-" + "b" * 16 + "-01"
ADDRESS = "127.0.0.1:7000"


def make_leg(index=0, shard=5):
    spec = LegSpec(index + 40, "u1", shard)
    return CalledLeg(index, spec, "r1", 3, '{"text":"oak"}', TRACEPARENT)


def build_leg_entry(**changes):
    leg = {"id": 0, "status": "answered", "shard": 5, "version": 3}
    leg["query_hash"] = hash_query('{"text":"oak"}')
    return leg | {"n_hits": 1, "hits": [{"id": "h"}]} | changes


def build_legs_body(*legs, **changes):
    return orjson.dumps({"instance": "i1", "load": 0.1, "legs": list(legs)} | changes)


class UpstreamHarness:
    """An `UpstreamClient` on an in-memory reactor that records its events."""

    def __init__(self, **options):
        self.events = []
        self.reactor = make_reactor()
        options = {"draw_first_leg_id": lambda: 0} | options
        self.client = UpstreamClient(self.events.append, self.reactor, **options)

    def execute_effect(self, effect):
        self.client.effect_handlers[type(effect)](effect)
        self.reactor.advance(0)

    def call_legs(self, *legs, call_id=1, address=ADDRESS):
        self.execute_effect(CallUpstream(call_id, "u1", address, legs, 100))

    def call_order(self):
        body = '{"item":"bread"}'
        self.execute_effect(CallOrder(1, "u1", ADDRESS, "k", body, 100, TRACEPARENT))

    def accept_connection(self):
        return OutboundConnection(self.reactor).accept()


def run_leg_call(response):
    harness = UpstreamHarness()
    harness.call_legs(make_leg())
    harness.accept_connection().protocol.dataReceived(response)
    (ended,) = harness.events
    (outcome,) = ended.outcomes
    return ended, outcome


LEG_RESPONSES = [
    (200, build_legs_body(build_leg_entry()), LegStatus.ANSWERED, ""),
    (200, build_legs_body(build_leg_entry(status="gone")), LegStatus.GONE, ""),
    (200, build_legs_body(build_leg_entry(status="failed")), LegStatus.FAILED, ""),
    (200, build_legs_body(build_leg_entry(n_hits=2)), LegStatus.UNKNOWN, "truncated"),
    (
        200,
        build_legs_body(build_leg_entry(hits=None)),
        LegStatus.UNKNOWN,
        "malformed hits",
    ),
    (
        200,
        build_legs_body(build_leg_entry(hits=[4])),
        LegStatus.UNKNOWN,
        "malformed hits",
    ),
    (
        200,
        build_legs_body(build_leg_entry(n_hits=True)),
        LegStatus.UNKNOWN,
        "malformed hits",
    ),
    (200, build_legs_body(build_leg_entry(shard=6)), LegStatus.UNKNOWN, "wrong shard"),
    (
        200,
        build_legs_body(build_leg_entry(shard=5.0)),
        LegStatus.UNKNOWN,
        "wrong shard",
    ),
    (
        200,
        build_legs_body(build_leg_entry(query_hash="0")),
        LegStatus.UNKNOWN,
        "answer to another query",
    ),
    (200, build_legs_body(build_leg_entry(id=1)), LegStatus.UNKNOWN, "missing"),
    (
        200,
        build_legs_body(build_leg_entry(id=False)),
        LegStatus.UNKNOWN,
        "malformed leg ids",
    ),
    (
        200,
        build_legs_body(build_leg_entry(status="ok")),
        LegStatus.UNKNOWN,
        "malformed status",
    ),
    (
        200,
        build_legs_body(build_leg_entry(status=[])),
        LegStatus.UNKNOWN,
        "malformed status",
    ),
    (
        200,
        build_legs_body(build_leg_entry(version="3")),
        LegStatus.UNKNOWN,
        "malformed version",
    ),
    (
        200,
        build_legs_body(build_leg_entry(), build_leg_entry()),
        LegStatus.UNKNOWN,
        "malformed leg ids",
    ),
    (200, build_legs_body(), LegStatus.UNKNOWN, "missing"),
    (200, build_legs_body(legs=None), LegStatus.UNKNOWN, "malformed legs"),
    (200, build_legs_body(legs=[7]), LegStatus.UNKNOWN, "malformed legs"),
    (200, build_legs_body(instance=8), LegStatus.UNKNOWN, "malformed instance"),
    (200, b"[]", LegStatus.UNKNOWN, "malformed"),
    (200, b'{"legs": [', LegStatus.UNKNOWN, "malformed"),
    (503, b'{"instance": "i1", "status": "shed"}', LegStatus.SHED, "shed"),
    (503, b"{}", LegStatus.UNKNOWN, "status 503"),
    (503, b"<html>busy</html>", LegStatus.UNKNOWN, "malformed"),
    (500, b"{}", LegStatus.UNKNOWN, "status 500"),
]


@pytest.mark.parametrize(("status", "body", "expected", "reason"), LEG_RESPONSES)
def test_leg_response_determines_status_and_reason(status, body, expected, reason):
    _, outcome = run_leg_call(build_http_response(status, body))
    assert (outcome.status, outcome.reason) == (expected, reason)
    assert outcome.leg_id == 0 and outcome.shard == 5


def test_answered_leg_has_hits_version_and_instance():
    ended, outcome = run_leg_call(
        build_http_response(200, build_legs_body(build_leg_entry(version=9)))
    )
    assert outcome.hits == ({"id": "h"},)
    assert (outcome.version, ended.instance) == (9, "i1")


def test_invalid_leg_entry_does_not_affect_the_others():
    harness = UpstreamHarness()
    harness.call_legs(make_leg(0, 5), make_leg(1, 6))
    body = build_legs_body(build_leg_entry(n_hits=4), build_leg_entry(id=1, shard=6))
    harness.accept_connection().protocol.dataReceived(build_http_response(200, body))
    statuses = [outcome.status for outcome in harness.events[0].outcomes]
    assert statuses == [LegStatus.UNKNOWN, LegStatus.ANSWERED]


ORDER_RESPONSES = [
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


@pytest.mark.parametrize(("status", "body", "expected", "receipt"), ORDER_RESPONSES)
def test_order_response_determines_status_and_receipt(status, body, expected, receipt):
    harness = UpstreamHarness()
    harness.call_order()
    harness.accept_connection().protocol.dataReceived(build_http_response(status, body))
    (ended,) = harness.events
    assert (ended.status, ended.body) == (expected, receipt)


def refuse_connection(harness):
    OutboundConnection(harness.reactor).refuse()


def expire_while_connecting(harness):
    harness.reactor.advance(0.2)


def expire_after_send(harness):
    harness.accept_connection()
    harness.reactor.advance(0.2)


def break_after_send(harness):
    harness.accept_connection().protocol.connectionLost(Failure(ConnectionLost()))


def break_within_body(harness):
    protocol = harness.accept_connection().protocol
    protocol.dataReceived(b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n{")
    protocol.connectionLost(Failure(ConnectionLost()))


def stall_within_body(harness):
    protocol = harness.accept_connection().protocol
    protocol.dataReceived(b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n{")
    harness.reactor.advance(0.2)


def end_without_length(harness):
    protocol = harness.accept_connection().protocol
    protocol.dataReceived(
        b"HTTP/1.1 200 X\r\n\r\n" + build_legs_body(build_leg_entry())
    )
    protocol.connectionLost(Failure(ConnectionLost()))


def send_garbage(harness):
    harness.accept_connection().protocol.dataReceived(b"\x00\x01 garbage\r\n\r\n")
    harness.reactor.advance(0.2)


def cancel_while_connecting(harness):
    harness.execute_effect(CancelCall(1))


def cancel_after_send(harness):
    transport = harness.accept_connection()
    harness.execute_effect(CancelCall(1))
    assert transport.disconnected


ENDINGS = [
    (refuse_connection, LegStatus.NOT_SENT, "connect"),
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


@pytest.mark.parametrize(("end_exchange", "expected", "reason"), ENDINGS)
def test_failed_call_ends_once_and_reports_whether_a_byte_was_sent(
    end_exchange, expected, reason
):
    for call in (
        lambda harness: harness.call_legs(make_leg()),
        UpstreamHarness.call_order,
    ):
        harness = UpstreamHarness()
        call(harness)
        end_exchange(harness)
        harness.execute_effect(CancelCall(1))
        harness.reactor.advance(1)
        (ended,) = harness.events
        ended = getattr(ended, "outcomes", (ended,))[0]
        assert (ended.status, ended.reason) == (expected, reason)


def test_oversize_response_is_aborted(monkeypatch):
    monkeypatch.setattr(exchanges, "MAX_RESPONSE_BYTES", 100)
    _, outcome = run_leg_call(build_http_response(200, b" " * 101))
    assert (outcome.status, outcome.reason) == (LegStatus.UNKNOWN, "oversize")


@pytest.mark.parametrize("address", ["", "nowhere", "127.0.0.1:x", "127.0.0.1:70000"])
def test_invalid_address_ends_the_call_as_not_sent(address):
    harness = UpstreamHarness()
    harness.call_legs(make_leg(), address=address)
    assert harness.events[0].outcomes[0].status is LegStatus.NOT_SENT


def test_legs_request_follows_the_protocol():
    harness = UpstreamHarness()
    harness.call_legs(make_leg())
    head, _, body = harness.accept_connection().value().partition(b"\r\n\r\n")
    assert head.startswith(b"POST /v1/legs HTTP/1.1\r\n")
    assert b"traceparent: " + TRACEPARENT.encode() in head.replace(b"Trace", b"trace")
    leg = {"id": 0, "shard": 5, "version": 3, "query": {"text": "oak"}}
    leg["query_hash"] = hash_query('{"text":"oak"}')
    assert orjson.loads(body) == {"deadline_ms": 100, "legs": [leg]}


def test_response_with_leg_ids_of_an_earlier_call_is_rejected():
    harness = UpstreamHarness(draw_first_leg_id=iter((100, 200)).__next__)
    harness.call_legs(make_leg())
    transport = harness.accept_connection()
    response = build_http_response(200, build_legs_body(build_leg_entry(id=100)))
    transport.protocol.dataReceived(response)
    harness.call_legs(make_leg(), call_id=2)
    transport.protocol.dataReceived(response)
    first, second = (event.outcomes[0] for event in harness.events)
    assert first.status is LegStatus.ANSWERED
    assert (second.status, second.reason) == (LegStatus.UNKNOWN, "missing")


def test_leg_ids_differ_between_calls():
    ids = {0}
    for _ in range(2):
        harness = UpstreamHarness(draw_first_leg_id=draw_first_leg_id)
        harness.call_legs(make_leg())
        body = harness.accept_connection().value().partition(b"\r\n\r\n")[2]
        ids.add(orjson.loads(body)["legs"][0]["id"])
    assert len(ids) == 3


def test_legs_on_a_stale_keep_alive_connection_are_not_sent_twice():
    harness = UpstreamHarness()
    harness.call_legs(make_leg())
    transport = harness.accept_connection()
    transport.protocol.dataReceived(
        build_http_response(200, build_legs_body(build_leg_entry()))
    )
    transport.clear()
    harness.call_legs(make_leg(), call_id=2)
    assert transport.value().count(b"POST /v1/legs") == 1
    transport.protocol.connectionLost(Failure(ConnectionLost()))
    assert harness.events[1].outcomes[0].status is LegStatus.UNKNOWN
    assert len(harness.reactor.tcpClients) == 1


def test_order_never_uses_a_keep_alive_connection():
    harness = UpstreamHarness()
    for _ in range(2):
        harness.call_order()
        head = harness.accept_connection().value().lower()
        assert b"connection: close" in head
    assert len(harness.reactor.tcpClients) == 2


def test_call_cancelled_before_its_start_is_not_sent():
    harness = UpstreamHarness()
    effect_handlers = harness.client.effect_handlers
    effect_handlers[CallUpstream](CallUpstream(1, "u1", ADDRESS, (make_leg(),), 100))
    effect_handlers[CancelCall](CancelCall(1))
    harness.reactor.advance(0)
    (ended,) = harness.events
    assert [each.status for each in ended.outcomes] == [LegStatus.NOT_SENT]
    assert harness.reactor.tcpClients == []


def test_many_calls_queued_at_once_all_start():
    harness = UpstreamHarness()
    for call_id in range(1, 12):
        effect = CallUpstream(call_id, "u1", ADDRESS, (make_leg(),), 100)
        harness.client.effect_handlers[CallUpstream](effect)
    for _ in range(4):
        harness.reactor.advance(0)
    assert len(harness.reactor.tcpClients) == 11
