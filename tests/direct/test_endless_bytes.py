"""Peers that send endlessly: memory stays bounded and the connection is closed.

Without limits on each part of a message, one such peer exhausts the node's memory.
"""

import gc
import itertools
import select
import socket
import tracemalloc
import zlib

import pytest

from heatherpick._net import documents, http_client
from heatherpick._net.budgets import ReadBudget
from heatherpick._net.callers import CallerConnection
from heatherpick._net.http_client import (
    MAX_FRAMING_BYTES,
    MAX_RESPONSE_BODY_BYTES,
    ConnectionPool,
    Exchange,
)
from heatherpick._net.loop import EventLoop
from heatherpick._net.sockets import MAX_READ_BYTES, MAX_READS_PER_ITERATION
from heatherpick._serving.model import CallerLimits
from tests.direct.site import make_site
from tests.direct.test_streams import (
    FakeUpstream,
    Outcomes,
    raise_fault,
    reset_connection,
)

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
#: Limit on the bytes that a test feeds, far beyond every bound in the code.
MAX_FED_BYTES = 4 * MAX_RESPONSE_BODY_BYTES


def repeat(*first, piece):
    return itertools.chain(first, itertools.repeat(piece))


ENDLESS_RESPONSES = {
    "header lines": lambda: repeat(OK, piece=b"X-Filler: " + b"a" * 90 + b"\r\n"),
    "one header line": lambda: repeat(OK + b"X-Filler: ", piece=b"a" * 4000),
    "status line": lambda: repeat(b"HTTP/1.1 200 ", piece=b"a" * 4000),
    "interim responses": lambda: repeat(piece=b"HTTP/1.1 102 Processing\r\n\r\n"),
    "empty lines": lambda: repeat(piece=b"\r\n" * 1000),
    "extensions of chunks": lambda: repeat(
        CHUNKED, piece=b"1;" + b"e" * 500 + b"\r\na\r\n"
    ),
    "one extension": lambda: repeat(CHUNKED + b"1;", piece=b"e" * 4000),
    "trailers": lambda: repeat(CHUNKED + b"0\r\n", piece=b"X-Trailer: aaaa\r\n"),
    "one trailer": lambda: repeat(CHUNKED + b"0\r\nX: ", piece=b"a" * 4000),
    "late responses": lambda: repeat(
        piece=OK + b"id: z\r\nContent-Length: 4\r\n\r\nlate"
    ),
    "body without a length": lambda: repeat(OK + b"\r\n", piece=b"a" * 16000),
    "body in chunks": lambda: repeat(
        CHUNKED, piece=b"3e80\r\n" + b"a" * 16000 + b"\r\n"
    ),
    "body of a stated length": lambda: repeat(
        OK + b"Content-Length: 99999999999\r\n\r\n", piece=b"a" * 16000
    ),
    "body of tiny chunks": lambda: repeat(CHUNKED, piece=b"1\r\na\r\n" * 1000),
}
KINDS_WITH_BODY = {name for name in ENDLESS_RESPONSES if name.startswith("body")}


@pytest.fixture
def loop():
    return EventLoop(raise_fault)


@pytest.fixture
def upstream():
    fake = FakeUpstream()
    yield fake
    fake.sock.close()


def start_exchange(loop, upstream, outcomes, **fields):
    pool = ConnectionPool(loop, "127.0.0.1", upstream.port, 1)
    exchange = Exchange(
        b"GET / HTTP/1.1\r\n\r\n", outcomes.record, b"a", b"id", **fields
    )
    pool.send(exchange)
    connection = upstream.accept()
    while exchange.connection.is_connecting:
        loop.run_once(0.02)
    return pool, exchange.connection, connection


def feed_until_closed(stream, pieces):
    """Feed pieces until the stream closes; return the number of bytes fed."""
    n_bytes = 0
    for piece in pieces:
        if stream.is_closed:
            return n_bytes
        assert n_bytes < MAX_FED_BYTES, "the connection was never closed"
        stream.data_received(piece)
        n_bytes += len(piece)
    return n_bytes


@pytest.mark.parametrize("kind", ENDLESS_RESPONSES)
def test_endless_response_closes_its_connection_and_fails(loop, upstream, kind):
    outcomes = Outcomes()
    pool, stream, connection = start_exchange(
        loop, upstream, outcomes, max_body_bytes=500_000
    )
    n_bytes = feed_until_closed(stream, ENDLESS_RESPONSES[kind]())
    assert [(response, was_sent) for response, was_sent, _ in outcomes] == [
        (None, True)
    ]
    assert pool.n_open == 0
    assert pool.budget.n_bytes == 0
    if kind not in KINDS_WITH_BODY:
        assert n_bytes <= MAX_FRAMING_BYTES + MAX_READ_BYTES
    connection.close()


@pytest.mark.parametrize("kind", sorted(ENDLESS_RESPONSES.keys() - KINDS_WITH_BODY))
def test_endless_head_takes_bounded_memory(loop, upstream, kind):
    _, stream, connection = start_exchange(loop, upstream, Outcomes())
    tracemalloc.start()
    try:
        feed_until_closed(stream, ENDLESS_RESPONSES[kind]())
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    connection.close()
    # Short lines are stored twice, each in separate objects.
    assert peak < 20 * MAX_FRAMING_BYTES


def test_body_is_limited_by_the_maximum_of_its_exchange(loop, upstream):
    outcomes = Outcomes()
    _, stream, connection = start_exchange(
        loop, upstream, outcomes, max_body_bytes=50_000
    )
    n_bytes = feed_until_closed(stream, ENDLESS_RESPONSES["body without a length"]())
    assert n_bytes <= 50_000 + 2 * MAX_READ_BYTES
    assert outcomes[0][2] == "body beyond 50000 bytes"
    connection.close()


def test_unsolicited_bytes_on_an_idle_connection_close_it(loop, upstream):
    outcomes = Outcomes()
    pool, stream, connection = start_exchange(loop, upstream, outcomes)
    stream.data_received(OK + b"Content-Length: 2\r\n\r\nok")
    loop.run_once(0.0)
    assert pool.n_open == 1
    stream.data_received(b"\r\n")
    assert pool.n_open == 0
    assert outcomes[0][0].body == b"ok"
    connection.close()


def test_endless_responses_together_stay_within_the_budget(loop, upstream, monkeypatch):
    budget = ReadBudget(200_000)
    pool = ConnectionPool(loop, "127.0.0.1", upstream.port, 20, budget=budget)
    outcomes = Outcomes()
    streams = []
    for _ in range(20):
        exchange = Exchange(b"GET / HTTP/1.1\r\n\r\n", outcomes.record)
        pool.send(exchange)
        streams.append(exchange.connection)
    while any(stream.is_connecting for stream in streams):
        loop.run_once(0.02)
    for stream in streams:
        stream.data_received(OK + b"\r\n")
    for _ in range(50):
        for stream in streams:
            if not stream.is_closed:
                stream.data_received(b"a" * 4000)
        n_held_bytes = sum(len(each._body) for each in streams if not each.is_closed)
        assert n_held_bytes <= 200_000 + 20 * http_client.SMALL_BODY_BYTES
    assert len(outcomes) >= 10
    assert all("unfinished responses hold" in reason for _, _, reason in outcomes)


def test_valid_response_in_many_small_chunks_is_accepted(loop, upstream):
    outcomes = Outcomes()
    _, stream, connection = start_exchange(loop, upstream, outcomes)
    body = b"".join(b"1\r\n%c\r\n" % (97 + k % 26) for k in range(50_000))
    for start in range(0, len(body), 4000):
        stream.data_received(
            (CHUNKED if not start else b"") + body[start : start + 4000]
        )
    stream.data_received(b"0\r\n\r\n")
    assert len(outcomes[0][0].body) == 50_000
    connection.close()


def test_endless_peer_does_not_starve_the_loop(loop, upstream):
    """One iteration of the loop makes a limited number of reads from one stream."""
    _, stream, connection = start_exchange(loop, upstream, Outcomes())
    read_sizes = []
    sock = stream.sock

    class EndlessSock:
        def recv(self, n):
            read_sizes.append(n)
            return (OK + b"\r\n").ljust(n, b"a") if len(read_sizes) == 1 else b"a" * n

        def __getattr__(self, name):
            return getattr(sock, name)

    stream.sock = EndlessSock()
    stream._handle_events(select.EPOLLIN)
    assert len(read_sizes) == MAX_READS_PER_ITERATION
    connection.close()


# Callers


class FakeOwner:
    limits = CallerLimits(max_header_bytes=2000, max_body_bytes=5000)
    is_stopping = False

    def __init__(self):
        self.requests = []

    def handle_request(self, request):
        self.requests.append(request)

    def handle_disconnect(self, request):
        pass

    def handle_closed(self, connection):
        pass


POST = b"POST /x HTTP/1.1\r\nHost: a\r\n"
CHUNKED_POST = POST + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS_REQUESTS = {
    "path": lambda: repeat(b"GET /", piece=b"a" * 500),
    "header lines": lambda: repeat(POST, piece=b"X: aaaaaaa\r\n" * 40),
    "one header line": lambda: repeat(POST + b"X: ", piece=b"a" * 500),
    "name of a header": lambda: repeat(POST, piece=b"a" * 500),
    "empty lines": lambda: repeat(piece=b"\r\n" * 250),
    "extension of a chunk": lambda: repeat(CHUNKED_POST + b"1;", piece=b"e" * 500),
    "trailers": lambda: repeat(CHUNKED_POST + b"0\r\n", piece=b"X: aaaaa\r\n" * 50),
    "body": lambda: repeat(CHUNKED_POST, piece=b"1f4\r\n" + b"a" * 500 + b"\r\n"),
}


def accept_caller(loop, upstream, owner):
    caller = socket.create_connection(("127.0.0.1", upstream.port))
    accepted = upstream.accept()
    accepted.setblocking(False)
    return caller, CallerConnection(loop, accepted, owner)


@pytest.mark.parametrize("kind", ENDLESS_REQUESTS)
def test_endless_request_is_refused_after_a_bounded_number_of_bytes(
    loop, upstream, kind
):
    owner = FakeOwner()
    caller, connection = accept_caller(loop, upstream, owner)
    n_bytes = 0
    for piece in ENDLESS_REQUESTS[kind]():
        if connection._is_closing:
            break
        assert n_bytes < 1_000_000, "the request was never refused"
        connection.data_received(piece)
        n_bytes += len(piece)
    assert n_bytes <= 2 * owner.limits.max_header_bytes + 2 * 5000
    status = int(caller.recv(1000).split()[1])
    assert status in (400, 413, 431)
    assert owner.requests == []
    caller.close()
    connection.close()


# Store updates from relays


def test_relay_update_that_decompresses_beyond_its_limit_is_rejected():
    compressed = zlib.compress(b"0" * (documents.MAX_UPDATE_BYTES + 1))
    with pytest.raises(ValueError, match="does not end within"):
        documents._decode_updates(compressed)
    with pytest.raises(ValueError, match="does not end within"):
        documents._decode_updates(zlib.compress(b"{}")[:-1])


# Whole requests through a node


@pytest.mark.parametrize("kind", ["header lines", "body without a length", "trailers"])
def test_shard_of_an_endless_upstream_is_served_by_another_replica(kind):
    site = make_site()

    def send_endlessly(request):
        stream = request.connection
        pieces = ENDLESS_RESPONSES[kind]()

        def send_next():
            if not stream.is_closed and not stream.has_unsent:
                stream.write(b"".join(next(pieces) for _ in range(8)))
            if not stream.is_closed:
                site.loop.call_later(0.001, send_next)

        send_next()

    site.upstreams["p0a"].handler = send_endlessly
    for n in range(6):
        caller = site.connect()
        caller.send_request("/find/x", request_id=f"r{n}")
        status, headers, _ = caller.read_response()
        assert (status, headers["parts-missing"]) == (200, "0")
    assert site.loop_errors == []


@pytest.fixture
def traced_memory():
    """Trace allocations without the cyclic collector, which frees garbage late."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    yield tracemalloc.get_traced_memory
    tracemalloc.stop()
    gc.enable()


END_CONNECTION = {
    "limit": lambda stream, exchange, connection: stream.data_received(bytes(2)),
    "cancel": lambda stream, exchange, connection: exchange.cancel(),
    "close": lambda stream, exchange, connection: connection.close(),
    "reset": lambda stream, exchange, connection: reset_connection(connection),
}


@pytest.mark.parametrize("ending", END_CONNECTION)
def test_unfinished_body_is_freed_with_its_connection(
    loop, upstream, traced_memory, ending
):
    # Guards against nodes that exceed their memory between two collections.
    n_bytes = 1_000_000
    outcomes = Outcomes()
    for _ in range(5):
        _, stream, connection = start_exchange(
            loop, upstream, outcomes, max_body_bytes=n_bytes
        )
        exchange = stream._exchange
        head = OK + b"Content-Length: 99999999\r\n\r\n"
        stream.data_received(head + bytes(n_bytes - 1))
        END_CONNECTION[ending](stream, exchange, connection)
        for _ in range(3):
            loop.run_once(0.02)
        assert stream.is_closed
        connection.close()
    del stream, exchange
    current, _ = traced_memory()
    assert current < n_bytes


def test_unfinished_request_is_freed_with_its_connection(loop, traced_memory):
    n_bytes = 1_000_000
    for _ in range(5):
        caller, sock = socket.socketpair()
        sock.setblocking(False)
        connection = CallerConnection(loop, sock, EndlessOwner(n_bytes))
        head = b"POST / HTTP/1.1\r\nContent-Length: 999999\r\n\r\n"
        connection.data_received(head + bytes(900_000))
        caller.close()
        loop.run_once(0.02)
        assert connection.is_closed
    del connection
    current, _ = traced_memory()
    assert current < n_bytes


class EndlessOwner:
    """Owner of connections whose requests never end."""

    is_stopping = False

    def __init__(self, n_bytes):
        self.limits = CallerLimits(max_body_bytes=n_bytes, idle_timeout_s=0.01)

    def handle_closed(self, connection):
        pass
