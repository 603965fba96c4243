"""Responses of the platform's object API, and the events that result from them."""

import orjson
import pytest
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from heatherpick._core.effects import ListVms, ReadObject, SetWatch, WriteObject
from heatherpick._core.events import (
    DocumentSeen,
    ObjectConflict,
    ObjectFailed,
    ObjectRead,
    ObjectWritten,
    VmsListed,
)
from heatherpick._shell import watch
from heatherpick._shell.platform_client import PlatformClient
from tests.memory_transport import OutboundConnection, build_http_response, make_reactor

NAME = "shared/drains"
READ = ReadObject("t:1", NAME, 500)
WRITE = WriteObject("t:2", NAME, 3, "text", 500)
OBJECT = {"name": NAME, "version": 4, "body": "b"}


class PlatformHarness:
    """A `PlatformClient` on an in-memory reactor that records its events."""

    def __init__(self, address="127.0.0.1:6000"):
        self.events = []
        self.counts = []
        self.reactor = make_reactor()
        self.client = PlatformClient(
            self.events.append,
            address,
            self.reactor,
            lambda name, label: self.counts.append((name, label)),
            seed=1,
        )

    def execute_effect(self, effect):
        self.client.effect_handlers[type(effect)](effect)

    def accept(self):
        return OutboundConnection(self.reactor).accept()

    def send_response(self, status, content):
        text = content if isinstance(content, bytes) else orjson.dumps(content)
        transport = self.accept()
        transport.protocol.dataReceived(build_http_response(status, text))
        return transport


FAILED = object()
RESPONSES = [
    (READ, 200, OBJECT, ObjectRead("t:1", NAME, 4, "b")),
    (READ, 404, b"none", ObjectRead("t:1", NAME, 0, "")),
    (READ, 200, OBJECT | {"name": "shared/other"}, FAILED),
    (READ, 200, OBJECT | {"version": "4"}, FAILED),
    (READ, 200, OBJECT | {"version": -1}, FAILED),
    (READ, 200, OBJECT | {"body": None}, FAILED),
    (READ, 200, [], FAILED),
    (READ, 200, b"{", FAILED),
    (READ, 503, b"outage", FAILED),
    (READ, 409, OBJECT, FAILED),
    (WRITE, 200, {"version": 4}, ObjectWritten("t:2", NAME, 4)),
    (WRITE, 409, OBJECT, ObjectConflict("t:2", NAME, 4, "b")),
    (WRITE, 409, {"name": NAME, "version": 0}, ObjectConflict("t:2", NAME, 0, "")),
    (WRITE, 409, b"conflict", FAILED),
    (WRITE, 200, {}, FAILED),
    (WRITE, 404, b"none", FAILED),
    (WRITE, 503, {}, FAILED),
]


@pytest.mark.parametrize(("effect", "status", "content", "expected"), RESPONSES)
def test_response_becomes_one_event(effect, status, content, expected):
    harness = PlatformHarness()
    harness.execute_effect(effect)
    harness.send_response(status, content)
    harness.reactor.advance(1)
    if expected is FAILED:
        expected = ObjectFailed(effect.token, NAME, sent=True)
    assert harness.events == [expected]


def refuse_connection(harness):
    OutboundConnection(harness.reactor).refuse()


def expire_while_connecting(harness):
    harness.reactor.advance(0.6)


def break_after_send(harness):
    harness.accept().protocol.connectionLost(Failure(ConnectionLost()))


def expire_after_send(harness):
    harness.accept()
    harness.reactor.advance(0.6)


def stall_within_body(harness):
    transport = harness.accept()
    transport.protocol.dataReceived(b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n{")
    harness.reactor.advance(0.6)
    assert transport.disconnected


ENDINGS = [
    (refuse_connection, False),
    (expire_while_connecting, False),
    (break_after_send, True),
    (expire_after_send, True),
    (stall_within_body, True),
]


@pytest.mark.parametrize(("end_exchange", "sent"), ENDINGS)
@pytest.mark.parametrize("effect", [READ, WRITE])
def test_failed_exchange_reports_whether_a_byte_was_sent(effect, end_exchange, sent):
    harness = PlatformHarness()
    harness.execute_effect(effect)
    end_exchange(harness)
    harness.reactor.advance(1)
    assert harness.events == [ObjectFailed(effect.token, NAME, sent)]


def test_write_is_conditional():
    harness = PlatformHarness()
    harness.execute_effect(WRITE)
    head, _, body = harness.accept().value().partition(b"\r\n\r\n")
    assert head.startswith(b"PUT /v1/objects/shared/drains HTTP/1.1")
    assert b"if-match: 3" in head.lower()
    assert orjson.loads(body) == {"body": "text"}


def test_write_on_a_stale_keep_alive_connection_is_not_sent_twice():
    harness = PlatformHarness()
    harness.execute_effect(WRITE)
    transport = harness.send_response(200, {"version": 4})
    transport.clear()
    harness.execute_effect(WRITE)
    assert transport.value().count(b"PUT ") == 1
    transport.protocol.connectionLost(Failure(ConnectionLost()))
    assert harness.events[1] == ObjectFailed("t:2", NAME, sent=True)
    assert len(harness.reactor.tcpClients) == 1


def test_calls_without_a_platform_fail_immediately_as_unsent():
    harness = PlatformHarness(address="")
    for effect in (READ, WRITE, SetWatch(True), ListVms()):
        harness.execute_effect(effect)
    assert [event.sent for event in harness.events] == [False, False]
    assert harness.reactor.tcpClients == []


def test_watch_continues_from_the_last_revision():
    harness = PlatformHarness()
    harness.execute_effect(SetWatch(True))
    transport = harness.accept()
    assert b"GET /v1/watch?prefix=shared/&since=0&" in transport.value()
    transport.clear()
    content = orjson.dumps({"revision": 8, "objects": [OBJECT]})
    transport.protocol.dataReceived(build_http_response(200, content))
    assert harness.events == [DocumentSeen(NAME, 4, "b")]
    assert b"since=8&" in transport.value()


BAD_WATCH_RESPONSES = [
    (503, b"{}"),
    (200, b"{"),
    (200, b'{"revision": "8", "objects": []}'),
    (200, b'{"revision": 8}'),
    (200, b"null"),
    (200, b'{"revision": 8, "objects": [3]}'),
    (200, b'{"revision": 8, "objects": [{"name": "claims/x", "version": 1}]}'),
]


@pytest.mark.parametrize(("status", "content"), BAD_WATCH_RESPONSES)
def test_invalid_watch_response_is_counted_and_retried_after_a_delay(status, content):
    harness = PlatformHarness()
    harness.execute_effect(SetWatch(True))
    transport = harness.send_response(status, content)
    transport.clear()
    assert harness.events == [] and harness.counts[0][0] == "watch_failed"
    harness.reactor.advance(watch.BASE_RETRY_DELAY_S)
    assert b"since=0&" in transport.value()


def test_watch_that_responds_at_once_is_polled_with_a_delay():
    harness = PlatformHarness()
    harness.execute_effect(SetWatch(True))
    transport = harness.send_response(200, {"revision": 8, "objects": []})
    transport.clear()
    harness.reactor.advance(0.4 * watch.BASE_RETRY_DELAY_S)
    assert transport.value() == b""
    harness.reactor.advance(watch.BASE_RETRY_DELAY_S)
    assert b"since=8&" in transport.value()


def test_watch_without_a_response_times_out_and_is_retried():
    harness = PlatformHarness()
    harness.execute_effect(SetWatch(True))
    harness.accept()
    harness.reactor.advance(watch.POLL_WAIT_S + watch.RESPONSE_GRACE_S)
    harness.reactor.advance(watch.BASE_RETRY_DELAY_S)
    assert len(harness.reactor.tcpClients) == 2


@pytest.mark.parametrize("is_accepted", [False, True])
def test_stopped_watch_does_not_poll(is_accepted):
    harness = PlatformHarness()
    harness.execute_effect(SetWatch(True))
    if is_accepted:
        harness.accept()
    harness.execute_effect(SetWatch(False))
    harness.reactor.advance(100)
    assert len(harness.reactor.tcpClients) == 1
    harness.execute_effect(SetWatch(True))
    assert len(harness.reactor.tcpClients) == 2


VM_LISTS = [
    (
        200,
        {"live": ["a"], "leaving": ["b"]},
        [VmsListed(frozenset("a"), frozenset("b"))],
    ),
    (200, {"live": ["a"]}, []),
    (200, {"live": [1], "leaving": []}, []),
    (503, {}, []),
]


@pytest.mark.parametrize(("status", "content", "events"), VM_LISTS)
def test_list_of_vms_is_validated(status, content, events):
    harness = PlatformHarness()
    harness.execute_effect(ListVms())
    harness.send_response(status, content)
    assert harness.events == events
