"""Tests of exceptions in a node, which cost at most the request they are about."""

import errno
import socket

import pytest

from heatherpick._net import http_client
from heatherpick._net.http_client import ConnectionPool, Exchange
from heatherpick._net.loop import EventLoop
from heatherpick._net.sockets import ACCEPT_RETRY_S, Listener
from heatherpick._serving.requests import RequestReducer
from tests.direct.site import HOST, Caller, RecordedLog, make_order, make_site


@pytest.fixture
def site():
    return make_site()


def make_raising(function, is_affected):
    """Wrap a function that raises where ``is_affected(*args)`` holds."""

    def call(*args):
        if is_affected(*args):
            raise RuntimeError("planted")
        return function(*args)

    return call


def plant_effect_failure(site, name, is_affected=lambda effect: True):
    """Let the handler of one kind of effect raise an exception."""
    (handlers,) = [node._gateway._handlers for node in site.nodes]
    (kind,) = [kind for kind in handlers if kind.__name__ == name]
    handlers[kind] = make_raising(handlers[kind], is_affected)


def test_leg_that_cannot_be_sent_loses_no_other_effect(site):
    # Guards against a request whose timer is lost with the leg, and is never answered.
    plant_effect_failure(site, "SendLeg")
    caller = site.connect()
    caller.send_request("/find/x")
    status, headers, _ = caller.read_response()
    assert status in (502, 503)
    assert "retry-after" in headers
    assert "planted" in site.loop_errors.find("handler failed")[0]["error"]


def test_search_is_complete_although_the_legs_to_some_upstreams_cannot_be_sent(site):
    broken = {"p0a", "p1a", "p2b"}
    plant_effect_failure(
        site, "SendLeg", lambda effect: effect.leg.upstream.entry.id in broken
    )
    caller = site.connect()
    for number in range(5):
        caller.send_request("/find/x", request_id=f"r{number}")
        status, headers, _ = caller.read_response()
        assert (status, headers["parts-missing"]) == (200, "0")


def test_order_whose_leg_cannot_be_sent_runs_at_another_upstream(site):
    plant_effect_failure(
        site, "SendLeg", lambda effect: effect.leg.upstream.entry.id == "da"
    )
    caller = site.connect()
    for number in range(5):
        caller.send_request("/order/x", "POST", b"b", request_id=f"r{number}")
        assert caller.read_response()[0] == 200
    assert len(site.upstreams["db"].requests) == 5


@pytest.mark.parametrize("name", ["Forward", "Merge", "Refuse"])
def test_answer_that_cannot_be_written_ends_the_connection(site, name):
    # Guards against a caller that waits for ever on an open connection.
    plant_effect_failure(site, name)
    caller = site.connect()
    path = {"Forward": "/order/x", "Merge": "/find/x", "Refuse": "/none/x"}[name]
    caller.send_request(path)
    assert caller.read() == b""
    assert caller.is_closed
    site.run_for(0.05)
    assert not site.nodes[0]._gateway.n_connections


@pytest.mark.parametrize(
    "handler", ["_handle_request", "_handle_leg_response", "_handle_timer"]
)
def test_request_whose_event_raises_is_answered(monkeypatch, handler):
    monkeypatch.setattr(
        RequestReducer,
        handler,
        make_raising(getattr(RequestReducer, handler), lambda *args: True),
    )
    site = make_site()
    for upstream in site.upstreams.values():
        if handler == "_handle_timer":
            upstream.delay_s = 3.0
    caller = site.connect()
    caller.send_request("/order/x", "POST", b"b")
    assert caller.read_response()[0] == 500


def test_handler_of_any_server_that_raises_gets_an_answer(site):
    # Guards against polls of other nodes that wait for ever.
    node = site.nodes[0]
    caller = Caller(site, node.settings.peers_address)
    node._synchroniser._policy.record_request = make_raising(None, lambda *args: True)
    caller.send(b"GET /changes?servers=0 HTTP/1.1\r\n\r\n")
    assert caller.read_response()[0] == 500


# File descriptors


def raise_no_descriptors(*_args):
    raise OSError(errno.EMFILE, "too many open files")


def test_node_without_descriptors_refuses_at_once_and_recovers(site, monkeypatch):
    # Guards against requests that are never answered while no socket can be opened.
    site.publish([make_order()])
    site.run_for(0.6)
    caller = site.connect()
    with monkeypatch.context() as patch:
        patch.setattr(http_client, "open_stream_socket", raise_no_descriptors)
        caller.send_request("/order/x", "POST", b"b")
        status, headers, _ = caller.read_response()
        assert status == 503
        assert "retry-after" in headers
    caller.send_request("/order/x", "POST", b"b", request_id="r2")
    assert caller.read_response()[0] == 200


@pytest.mark.parametrize("address", [(HOST, 70000), (HOST, -1)])
def test_pool_of_an_invalid_address_fails_its_exchanges(address):
    log = RecordedLog()
    loop = EventLoop(log.report)
    pool = ConnectionPool(loop, *address, 1)
    outcomes = []
    for _ in range(3):
        pool.send(Exchange(b"", lambda *outcome: outcomes.append(outcome[1:])))
    loop.run_once(0.05)
    assert [(response, was_sent) for response, was_sent, _ in outcomes] == 3 * [
        (None, False)
    ]
    assert not pool.n_open


def test_exchanges_that_wait_fail_when_no_connection_can_be_opened(monkeypatch):
    # Guards against exchanges that wait for ever behind the last connection's end.
    log = RecordedLog()
    loop = EventLoop(log.report)
    with socket.create_server((HOST, 0)) as server:
        pool = ConnectionPool(loop, *server.getsockname(), 1)
        outcomes = []
        for _ in range(3):
            pool.send(Exchange(b"x", lambda *outcome: outcomes.append(outcome[2])))
        loop.run_once(0.05)
        connection, _ = server.accept()
        monkeypatch.setattr(http_client, "open_stream_socket", raise_no_descriptors)
        connection.close()
        for _ in range(5):
            loop.run_once(0.05)
    assert outcomes == [True, False, False]


def test_listener_that_cannot_accept_tries_again_after_a_pause():
    # Guards against a loop that does nothing but fail to accept.
    log = RecordedLog()
    loop = EventLoop(log.report)
    accepted = []
    listener = Listener(loop, HOST, 0, accepted.append)

    class ExhaustedSocket:
        def __init__(self, sock):
            self.sock = sock

        def __getattr__(self, name):
            return getattr(self.sock, name)

        accept = staticmethod(raise_no_descriptors)

    working = listener._sock
    listener._sock = ExhaustedSocket(working)
    with socket.create_connection(listener.address):
        started_at = loop.seconds()
        while loop.seconds() < started_at + 2.5 * ACCEPT_RETRY_S:
            loop.run_once(0.01)
        assert 1 <= len(log) <= 4
        listener._sock = working
        while not accepted and loop.seconds() < started_at + 5.0:
            loop.run_once(0.01)
        assert accepted
    accepted[0].close()
    listener.close()


# Numbers in headers


@pytest.mark.parametrize("n_digits", [16, 400, 5000])
@pytest.mark.parametrize(
    "make_header",
    [
        lambda digits: (b"Server-Load", digits + b",0,4"),
        lambda digits: (b"Keep-Alive", b"timeout=" + digits),
    ],
    ids=["Server-Load", "Keep-Alive"],
)
def test_response_with_a_huge_number_in_a_header_is_forwarded(
    site, make_header, n_digits
):
    # Guards against an outcome that is lost with the header that cannot be read.
    site.publish([make_order()])

    def serve(request):
        headers = [
            (b"Request-Id", request.by_name[b"request-id"]),
            (b"Response-Seal", b"seal"),
            make_header(b"9" * n_digits),
        ]
        request.respond(200, headers, b"done")

    for name in ("da", "db"):
        site.upstreams[name].handler = serve
    caller = site.connect()
    caller.send_request("/order/x", "POST", b"b")
    status, _, body = caller.read_response()
    assert (status, body) == (200, b"done")
    assert not site.loop_errors.find("handler failed")


@pytest.mark.parametrize("digits", ["9" * 16, "9" * 400, "-5", "1e999"])
def test_request_with_an_odd_timeout_has_that_of_its_route(site, digits):
    caller = site.connect()
    caller.send_request("/order/x", extra=[f"Deadline-Ms: {digits}"])
    assert caller.read_response()[0] == 200
    (request,) = [r for u in site.upstreams.values() for r in u.requests]
    assert 1000 < int(request.by_name[b"deadline-ms"]) <= 1500


@pytest.mark.parametrize("n_digits", [6, 16, 18])
def test_request_with_a_huge_length_is_rejected_at_once(site, n_digits):
    caller = site.connect()
    caller.send_request("/order/x", "POST", extra=["Content-Length: " + "9" * n_digits])
    assert caller.read_response()[0] == 413
