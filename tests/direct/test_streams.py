"""Tests of the HTTP client's connections against a scripted upstream."""

import select
import socket
import struct

import pytest

from heatherpick._net.http_client import ConnectionPool, Exchange
from heatherpick._net.loop import EventLoop

LINGER_RESET = struct.pack("ii", 1, 0)
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\nid: a\r\n\r\n"
FRAMED_HEAD = b"HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 4\r\n\r\n"


def raise_fault(message, **fields):
    raise AssertionError(f"{message}: {fields}")


class FakeUpstream:
    """A listening socket whose connections the test itself serves."""

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
    fake = FakeUpstream()
    yield fake
    fake.sock.close()


@pytest.fixture
def loop():
    return EventLoop(raise_fault)


class Outcomes(list):
    """Records the outcomes of exchanges: response, whether it was sent, reason."""

    def record(self, exchange, response, was_sent, reason):
        self.append((response, was_sent, reason))


def send_request(loop, upstream, outcomes, pool=None, **fields):
    pool = pool or ConnectionPool(loop, "127.0.0.1", upstream.port, 4)
    exchange = Exchange(
        b"GET / HTTP/1.1\r\n\r\n",
        outcomes.record,
        b"a",
        b"id",
        **{"is_id_required": True, **fields},
    )
    pool.send(exchange)
    return pool


def run_loop(loop, n_iterations=5):
    for _ in range(n_iterations):
        loop.run_once(0.02)


def reset_connection(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    connection.close()


def run_exchange(loop, upstream, data, end_connection, pool=None):
    outcomes = Outcomes()
    pool = send_request(loop, upstream, outcomes, pool)
    run_loop(loop)
    connection = upstream.accept()
    connection.recv(1000)
    connection.sendall(data)
    if end_connection is not None:
        end_connection(connection)
    run_loop(loop)
    return outcomes, pool, connection


def test_response_without_length_is_complete_if_the_connection_is_closed_in_order(
    loop, upstream
):
    outcomes, _, _ = run_exchange(
        loop, upstream, UNFRAMED_HEAD + b"body", socket.socket.close
    )
    assert [each[0].body for each in outcomes] == [b"body"]


def test_response_without_length_is_incomplete_if_the_connection_is_reset(
    loop, upstream
):
    outcomes, _, _ = run_exchange(
        loop, upstream, UNFRAMED_HEAD + b"bo", reset_connection
    )
    assert [(each[0], each[1]) for each in outcomes] == [(None, True)]


def test_reset_reported_together_with_the_last_bytes_is_no_orderly_close(
    loop, upstream, monkeypatch
):
    # The kernel may report the last bytes and the reset after them as one event.
    outcomes = Outcomes()
    pool = send_request(loop, upstream, outcomes)
    run_loop(loop)
    connection = upstream.accept()
    (stream,) = pool._connections
    pieces = [UNFRAMED_HEAD + b"bo", ConnectionResetError(104, "reset")]

    class ResettingSock:
        def recv(self, _n):
            piece = pieces.pop(0)
            if isinstance(piece, Exception):
                raise piece
            return piece

        def __getattr__(self, name):
            return getattr(stream_sock, name)

    stream_sock = stream.sock
    stream.sock = ResettingSock()
    stream._handle_events(select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLHUP)
    connection.close()
    assert [(each[0], each[1]) for each in outcomes] == [(None, True)]


def test_response_shorter_than_its_length_is_incomplete(loop, upstream):
    outcomes, _, _ = run_exchange(
        loop, upstream, FRAMED_HEAD + b"bo", socket.socket.close
    )
    assert outcomes[0][0] is None


def test_unsolicited_response_behind_the_first_closes_the_connection(loop, upstream):
    responses = FRAMED_HEAD + b"one." + FRAMED_HEAD + b"two."
    outcomes, pool, _ = run_exchange(loop, upstream, responses, None)
    assert [each[0].body for each in outcomes] == [b"one."]
    assert pool.n_open == 0


def test_unsolicited_response_on_an_idle_connection_closes_it(loop, upstream):
    outcomes, pool, connection = run_exchange(
        loop, upstream, FRAMED_HEAD + b"one.", None
    )
    assert pool.n_open == 1
    connection.sendall(FRAMED_HEAD + b"two.")
    run_loop(loop)
    assert [each[0].body for each in outcomes] == [b"one."]
    assert pool.n_open == 0


def test_late_response_to_an_earlier_request_is_skipped(loop, upstream):
    late_response = FRAMED_HEAD.replace(b"id: a", b"id: z") + b"old."
    outcomes, pool, _ = run_exchange(
        loop, upstream, late_response + FRAMED_HEAD + b"new.", None
    )
    assert [each[0].body for each in outcomes] == [b"new."]
    assert pool.n_open == 0


def test_refused_connection_counts_as_nothing_sent(loop, upstream):
    upstream.sock.close()
    outcomes = Outcomes()
    send_request(loop, upstream, outcomes)
    run_loop(loop)
    assert [(each[0], each[1]) for each in outcomes] == [(None, False)]


def test_invalid_response_fails_the_exchange(loop, upstream):
    outcomes, pool, _ = run_exchange(loop, upstream, b"\x00garbage\r\n\r\n", None)
    assert outcomes[0][0] is None
    assert pool.n_open == 0


def test_cancelled_exchange_closes_its_connection(loop, upstream):
    outcomes = Outcomes()
    pool = ConnectionPool(loop, "127.0.0.1", upstream.port, 4)
    exchange = Exchange(b"GET / HTTP/1.1\r\n\r\n", outcomes.record)
    pool.send(exchange)
    run_loop(loop)
    connection = upstream.accept()
    connection.recv(1000)
    exchange.cancel()
    run_loop(loop)
    assert connection.recv(1000) == b""
    assert outcomes == []


def test_exchange_beyond_the_connection_limit_waits_for_a_free_connection(
    loop, upstream
):
    pool = ConnectionPool(loop, "127.0.0.1", upstream.port, 1)
    first, second = Outcomes(), Outcomes()
    send_request(loop, upstream, first, pool)
    send_request(loop, upstream, second, pool)
    run_loop(loop)
    connection = upstream.accept()
    connection.recv(1000)
    connection.sendall(FRAMED_HEAD + b"one.")
    run_loop(loop)
    connection.recv(1000)
    connection.sendall(FRAMED_HEAD + b"two.")
    run_loop(loop)
    assert [first[0][0].body, second[0][0].body] == [b"one.", b"two."]


def send_excluding(loop, upstream, pool, connections):
    """Send a request on none of some connections; return its outcomes."""
    outcomes = Outcomes()
    exchange = Exchange(
        b"GET / HTTP/1.1\r\n\r\n",
        outcomes.record,
        b"a",
        b"id",
        excluded_connections=connections,
    )
    pool.send(exchange)
    return outcomes


def answer_next(loop, upstream):
    run_loop(loop)
    connection = upstream.accept()
    connection.recv(1000)
    connection.sendall(FRAMED_HEAD + b"body")
    run_loop(loop)


def test_excluded_idle_connection_makes_room_for_a_new_one(loop, upstream):
    # Guards against a request that waits for ever where only excluded ones are idle.
    pool = ConnectionPool(loop, "127.0.0.1", upstream.port, 1)
    first, _, _ = run_exchange(loop, upstream, FRAMED_HEAD + b"body", None, pool)
    connection = first[0][0].connection
    outcomes = send_excluding(loop, upstream, pool, {connection})
    answer_next(loop, upstream)
    assert outcomes[0][0].connection is not connection
    assert connection.is_closed


def test_queued_request_is_not_sent_on_an_excluded_connection(loop, upstream):
    pool = ConnectionPool(loop, "127.0.0.1", upstream.port, 1)
    first = Outcomes()
    send_request(loop, upstream, first, pool)
    run_loop(loop)
    (busy,) = pool._connections
    outcomes = send_excluding(loop, upstream, pool, {busy})
    connection = upstream.accept()
    connection.recv(1000)
    connection.sendall(FRAMED_HEAD + b"body")
    answer_next(loop, upstream)
    assert [each[0].connection for each in first] == [busy]
    assert outcomes[0][0].connection is not busy


HEAD_WITHOUT_ID = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"


def test_response_without_the_id_is_dropped_where_the_upstream_repeats_ids(
    loop, upstream
):
    # Guards against a second copy without an id that answers another request.
    pool = ConnectionPool(loop, "127.0.0.1", upstream.port, 1)
    _, _, connection = run_exchange(loop, upstream, FRAMED_HEAD + b"body", None, pool)
    outcomes = Outcomes()
    send_request(loop, upstream, outcomes, pool)
    run_loop(loop)
    connection.recv(1000)
    connection.sendall(HEAD_WITHOUT_ID + b"copy" + FRAMED_HEAD + b"mine")
    run_loop(loop)
    assert [each[0].body for each in outcomes] == [b"mine"]
    assert not pool.n_open


def test_response_without_the_id_counts_where_the_upstream_never_repeats_ids(
    loop, upstream
):
    pool = ConnectionPool(loop, "127.0.0.1", upstream.port, 1)
    first, _, connection = run_exchange(
        loop, upstream, HEAD_WITHOUT_ID + b"body", None, pool
    )
    outcomes = Outcomes()
    send_request(loop, upstream, outcomes, pool)
    run_loop(loop)
    connection.recv(1000)
    connection.sendall(HEAD_WITHOUT_ID + b"next")
    run_loop(loop)
    assert [each[0].body for each in first + outcomes] == [b"body", b"next"]


def test_response_without_the_id_counts_where_it_is_not_required(loop, upstream):
    # Nodes repeat the id in their answers, but not where they decline a search.
    pool = ConnectionPool(loop, "127.0.0.1", upstream.port, 1)
    _, _, connection = run_exchange(loop, upstream, FRAMED_HEAD + b"body", None, pool)
    outcomes = Outcomes()
    send_request(loop, upstream, outcomes, pool, is_id_required=False)
    run_loop(loop)
    connection.recv(1000)
    connection.sendall(HEAD_WITHOUT_ID + b"none")
    run_loop(loop)
    assert [each[0].body for each in outcomes] == [b"none"]


def test_close_without_a_response_does_not_repeat_the_response_before(loop, upstream):
    # Guards against a 204, which has no length, that counts for the next request too.
    pool = ConnectionPool(loop, "127.0.0.1", upstream.port, 1)
    _, _, connection = run_exchange(
        loop, upstream, b"HTTP/1.1 204 No Content\r\n\r\n", None, pool
    )
    outcomes = Outcomes()
    send_request(loop, upstream, outcomes, pool)
    run_loop(loop)
    connection.recv(1000)
    connection.close()
    run_loop(loop)
    assert [(each[0], each[1]) for each in outcomes] == [(None, True)]


def test_late_response_to_another_request_is_no_answer_to_a_head_request(
    loop, upstream
):
    # Guards against HEAD requests that get the head of another request's response.
    pool = ConnectionPool(loop, "127.0.0.1", upstream.port, 1)
    _, _, connection = run_exchange(loop, upstream, FRAMED_HEAD + b"body", None, pool)
    outcomes = Outcomes()
    send_request(loop, upstream, outcomes, pool, expects_body=False)
    run_loop(loop)
    connection.recv(1000)
    late = b"HTTP/1.1 200 OK\r\nid: z\r\nContent-Length: 4\r\n\r\nlate"
    mine = b"HTTP/1.1 203 OK\r\nid: a\r\nContent-Length: 9\r\n\r\n"
    connection.sendall(late + mine)
    run_loop(loop)
    assert [each[0].status for each in outcomes] == [203]
