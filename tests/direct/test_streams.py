import select
import socket
import struct

import pytest

from heatherpick._net.http_client import ConnectionPool, Exchange
from heatherpick._net.loop import EventLoop

LINGER_RESET = struct.pack("ii", 1, 0)
HEAD = b"HTTP/1.1 200 OK\r\nid: a\r\n\r\n"
FRAMED = b"HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 4\r\n\r\n"


def report_fault(message, **fields):
    raise AssertionError(f"{message}: {fields}")


class Upstream:
    """One listening socket that plays an upstream by hand."""

    def __init__(self):
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.settimeout(5)
        self.port = self.sock.getsockname()[1]

    def accept(self):
        connection, _ = self.sock.accept()
        connection.settimeout(5)
        return connection


@pytest.fixture
def upstream():
    each = Upstream()
    yield each
    each.sock.close()


@pytest.fixture
def loop():
    return EventLoop(report_fault)


class Outcomes(list):
    def done(self, exchange, answer, was_sent, reason):
        self.append((answer, was_sent, reason))


def begin(loop, upstream, outcomes, pool=None):
    pool = pool or ConnectionPool(loop, "127.0.0.1", upstream.port, 4)
    exchange = Exchange(b"GET / HTTP/1.1\r\n\r\n", outcomes.done, b"a", b"id")
    pool.send(exchange)
    return pool


def run(loop, n_turns=5):
    for _ in range(n_turns):
        loop.run_once(0.02)


def close_by_reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    connection.close()


def answer(loop, upstream, data, end, pool=None):
    outcomes = Outcomes()
    pool = begin(loop, upstream, outcomes, pool)
    run(loop)
    connection = upstream.accept()
    connection.recv(1000)
    connection.sendall(data)
    if end is not None:
        end(connection)
    run(loop)
    return outcomes, pool, connection


def test_answer_without_length_is_whole_when_the_connection_ends_in_order(
    loop, upstream
):
    outcomes, _, _ = answer(loop, upstream, HEAD + b"body", socket.socket.close)
    assert [each[0].body for each in outcomes] == [b"body"]


def test_answer_without_length_that_is_reset_is_not_whole(loop, upstream):
    outcomes, _, _ = answer(loop, upstream, HEAD + b"bo", close_by_reset)
    assert [(each[0], each[1]) for each in outcomes] == [(None, True)]


def test_reset_that_arrives_together_with_its_last_bytes_is_not_an_orderly_end(
    loop, upstream, monkeypatch
):
    # The kernel may hand over bytes and the reset behind them as one event.
    outcomes = Outcomes()
    pool = begin(loop, upstream, outcomes)
    run(loop)
    connection = upstream.accept()
    (stream,) = pool._connections
    pieces = [HEAD + b"bo", ConnectionResetError(104, "reset")]

    class Sock:
        def recv(self, _n):
            piece = pieces.pop(0)
            if isinstance(piece, Exception):
                raise piece
            return piece

        def __getattr__(self, name):
            return getattr(stream_sock, name)

    stream_sock = stream.sock
    stream.sock = Sock()
    stream._handle_events(select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLHUP)
    connection.close()
    assert [(each[0], each[1]) for each in outcomes] == [(None, True)]


def test_answer_cut_short_of_its_length_is_not_whole(loop, upstream):
    outcomes, _, _ = answer(loop, upstream, FRAMED + b"bo", socket.socket.close)
    assert outcomes[0][0] is None


def test_second_answer_behind_the_first_condemns_the_connection(loop, upstream):
    both = FRAMED + b"one." + FRAMED + b"two."
    outcomes, pool, _ = answer(loop, upstream, both, None)
    assert [each[0].body for each in outcomes] == [b"one."]
    assert pool.n_open == 0


def test_second_answer_that_comes_late_condemns_the_idle_connection(loop, upstream):
    outcomes, pool, connection = answer(loop, upstream, FRAMED + b"one.", None)
    assert pool.n_open == 1
    connection.sendall(FRAMED + b"two.")
    run(loop)
    assert [each[0].body for each in outcomes] == [b"one."]
    assert pool.n_open == 0


def test_late_answer_to_an_earlier_request_is_passed_over(loop, upstream):
    other = FRAMED.replace(b"id: a", b"id: z") + b"old."
    outcomes, pool, _ = answer(loop, upstream, other + FRAMED + b"new.", None)
    assert [each[0].body for each in outcomes] == [b"new."]
    assert pool.n_open == 0


def test_refused_connection_proves_that_nothing_was_sent(loop, upstream):
    upstream.sock.close()
    outcomes = Outcomes()
    begin(loop, upstream, outcomes)
    run(loop)
    assert [(each[0], each[1]) for each in outcomes] == [(None, False)]


def test_bytes_that_are_no_answer_end_the_exchange(loop, upstream):
    outcomes, pool, _ = answer(loop, upstream, b"\x00garbage\r\n\r\n", None)
    assert outcomes[0][0] is None
    assert pool.n_open == 0


def test_cancelled_exchange_closes_its_connection(loop, upstream):
    outcomes = Outcomes()
    pool = ConnectionPool(loop, "127.0.0.1", upstream.port, 4)
    exchange = Exchange(b"GET / HTTP/1.1\r\n\r\n", outcomes.done)
    pool.send(exchange)
    run(loop)
    connection = upstream.accept()
    connection.recv(1000)
    exchange.cancel()
    run(loop)
    assert connection.recv(1000) == b""
    assert outcomes == []


def test_exchange_beyond_the_connection_limit_waits_for_a_free_one(loop, upstream):
    pool = ConnectionPool(loop, "127.0.0.1", upstream.port, 1)
    first, second = Outcomes(), Outcomes()
    begin(loop, upstream, first, pool)
    begin(loop, upstream, second, pool)
    run(loop)
    connection = upstream.accept()
    connection.recv(1000)
    connection.sendall(FRAMED + b"one.")
    run(loop)
    connection.recv(1000)
    connection.sendall(FRAMED + b"two.")
    run(loop)
    assert [first[0][0].body, second[0][0].body] == [b"one.", b"two."]
