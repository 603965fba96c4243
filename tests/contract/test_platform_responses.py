"""Answers of the platform's object API and what becomes of them."""

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
from tests.wires import Dialled, build_http, make_reactor

NAME = "shared/drains"
READ = ReadObject("t:1", NAME, 500)
WRITE = WriteObject("t:2", NAME, 3, "text", 500)
OBJECT = {"name": NAME, "version": 4, "body": "b"}


class Side:
    """The platform's client on a reactor in memory."""

    def __init__(self, address="127.0.0.1:6000"):
        self.events = []
        self.counts = []
        self.reactor = make_reactor()
        self.platform = PlatformClient(
            self.events.append,
            address,
            self.reactor,
            lambda name, label: self.counts.append((name, label)),
            seed=1,
        )

    def carry_out(self, effect):
        self.platform.effect_handlers[type(effect)](effect)

    def accept(self):
        return Dialled(self.reactor).accept()

    def answer(self, status, content):
        text = content if isinstance(content, bytes) else orjson.dumps(content)
        transport = self.accept()
        transport.protocol.dataReceived(build_http(status, text))
        return transport


FAILED = object()
ANSWERS = [
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


@pytest.mark.parametrize(("effect", "status", "content", "expected"), ANSWERS)
def test_answer_becomes_one_event(effect, status, content, expected):
    side = Side()
    side.carry_out(effect)
    side.answer(status, content)
    side.reactor.advance(1)
    if expected is FAILED:
        expected = ObjectFailed(effect.token, NAME, sent=True)
    assert side.events == [expected]


def refuse(side):
    Dialled(side.reactor).refuse()


def expire_while_connecting(side):
    side.reactor.advance(0.6)


def break_after_send(side):
    side.accept().protocol.connectionLost(Failure(ConnectionLost()))


def expire_after_send(side):
    side.accept()
    side.reactor.advance(0.6)


def stall_within_body(side):
    transport = side.accept()
    transport.protocol.dataReceived(b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n{")
    side.reactor.advance(0.6)
    assert transport.disconnected


ENDINGS = [
    (refuse, False),
    (expire_while_connecting, False),
    (break_after_send, True),
    (expire_after_send, True),
    (stall_within_body, True),
]


@pytest.mark.parametrize(("end", "sent"), ENDINGS)
@pytest.mark.parametrize("effect", [READ, WRITE])
def test_lost_answer_tells_whether_a_byte_left(effect, end, sent):
    side = Side()
    side.carry_out(effect)
    end(side)
    side.reactor.advance(1)
    assert side.events == [ObjectFailed(effect.token, NAME, sent)]


def test_write_is_conditional():
    side = Side()
    side.carry_out(WRITE)
    head, _, body = side.accept().value().partition(b"\r\n\r\n")
    assert head.startswith(b"PUT /v1/objects/shared/drains HTTP/1.1")
    assert b"if-match: 3" in head.lower()
    assert orjson.loads(body) == {"body": "text"}


def test_write_on_a_stale_kept_connection_is_not_sent_twice():
    side = Side()
    side.carry_out(WRITE)
    transport = side.answer(200, {"version": 4})
    transport.clear()
    side.carry_out(WRITE)
    assert transport.value().count(b"PUT ") == 1
    transport.protocol.connectionLost(Failure(ConnectionLost()))
    assert side.events[1] == ObjectFailed("t:2", NAME, sent=True)
    assert len(side.reactor.tcpClients) == 1


def test_node_without_a_platform_fails_at_once_unsent():
    side = Side(address="")
    for effect in (READ, WRITE, SetWatch(True), ListVms()):
        side.carry_out(effect)
    assert [event.sent for event in side.events] == [False, False]
    assert side.reactor.tcpClients == []


def test_watch_follows_the_revision():
    side = Side()
    side.carry_out(SetWatch(True))
    transport = side.accept()
    assert b"GET /v1/watch?prefix=shared/&since=0&" in transport.value()
    transport.clear()
    content = orjson.dumps({"revision": 8, "objects": [OBJECT]})
    transport.protocol.dataReceived(build_http(200, content))
    assert side.events == [DocumentSeen(NAME, 4, "b")]
    assert b"since=8&" in transport.value()


BAD_WATCHES = [
    (503, b"{}"),
    (200, b"{"),
    (200, b'{"revision": "8", "objects": []}'),
    (200, b'{"revision": 8}'),
    (200, b"null"),
    (200, b'{"revision": 8, "objects": [3]}'),
    (200, b'{"revision": 8, "objects": [{"name": "claims/x", "version": 1}]}'),
]


@pytest.mark.parametrize(("status", "content"), BAD_WATCHES)
def test_bad_watch_answer_is_counted_and_asked_again_after_a_pause(status, content):
    side = Side()
    side.carry_out(SetWatch(True))
    transport = side.answer(status, content)
    transport.clear()
    assert side.events == [] and side.counts[0][0] == "watch_failed"
    side.reactor.advance(watch.BASE_RETRY_DELAY_S)
    assert b"since=0&" in transport.value()


def test_watch_that_does_not_wait_is_not_asked_without_pause():
    side = Side()
    side.carry_out(SetWatch(True))
    transport = side.answer(200, {"revision": 8, "objects": []})
    transport.clear()
    side.reactor.advance(0.4 * watch.BASE_RETRY_DELAY_S)
    assert transport.value() == b""
    side.reactor.advance(watch.BASE_RETRY_DELAY_S)
    assert b"since=8&" in transport.value()


def test_silent_watch_is_given_up_and_repeated():
    side = Side()
    side.carry_out(SetWatch(True))
    side.accept()
    side.reactor.advance(watch.POLL_WAIT_S + watch.RESPONSE_GRACE_S)
    side.reactor.advance(watch.BASE_RETRY_DELAY_S)
    assert len(side.reactor.tcpClients) == 2


@pytest.mark.parametrize("accepted", [False, True])
def test_stopped_watch_asks_no_more(accepted):
    side = Side()
    side.carry_out(SetWatch(True))
    if accepted:
        side.accept()
    side.carry_out(SetWatch(False))
    side.reactor.advance(100)
    assert len(side.reactor.tcpClients) == 1
    side.carry_out(SetWatch(True))
    assert len(side.reactor.tcpClients) == 2


VMS = [
    (
        200,
        {"live": ["a"], "leaving": ["b"]},
        [VmsListed(frozenset("a"), frozenset("b"))],
    ),
    (200, {"live": ["a"]}, []),
    (200, {"live": [1], "leaving": []}, []),
    (503, {}, []),
]


@pytest.mark.parametrize(("status", "content", "events"), VMS)
def test_list_of_vms_is_checked(status, content, events):
    side = Side()
    side.carry_out(ListVms())
    side.answer(status, content)
    assert side.events == events
