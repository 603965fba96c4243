"""HTTP connections to upstreams and to the platform, one request at a time on each."""

from collections import deque

import httptools

from heatherpick._net.budgets import ReadBudget
from heatherpick._net.callers import HOP_BY_HOP_HEADERS, MAX_FRAMING_RATIO
from heatherpick._net.sockets import Stream, open_stream_socket

__all__ = [
    "MAX_ANSWER_BYTES",
    "Answer",
    "ClientConnection",
    "ConnectionPool",
    "Exchange",
    "PeerPools",
]

#: Largest body of an answer that is read, in bytes; a page of the platform's store has
#: a megabyte, a relay's first answer several.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
#: Bytes beside the body that one answer may have: head, interim answers, sizes of
#: chunks, trailers and late answers to earlier requests. On top come
#: ``MAX_FRAMING_RATIO`` for each byte of the body.
MAX_FRAMING_BYTES = 64 * 1024
#: Body from which on an unfinished answer counts in its pool's budget, in bytes, and
#: the budget of a pool that shares none.
SMALL_BODY_BYTES = 16 * 1024
POOL_BUDGET_BYTES = 2 * MAX_ANSWER_BYTES
#: Idle time after which a connection is not used again where the peer states none, in
#: seconds.
IDLE_S = 10.0
#: Part of the peer's stated idle time after which a connection is not used again.
IDLE_SHARE = 0.8
#: Largest idle time of a connection for a request that must not be sent twice, in
#: seconds.
UNREPEATABLE_IDLE_S = 1.0
#: Longest wait for a new connection, in seconds; another upstream may be asked after
#: it. A full accept queue drops the first packet, and the kernel repeats it after a
#: second only.
CONNECT_TIMEOUT_S = 0.15
#: Status of an interim answer that says that the request has been begun.
PROCESSING = 102


class Answer:
    """A whole answer.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        End-to-end headers as the peer spelled them.
    by_name : dict of bytes to bytes
        All headers by lower-case name.
    body : bytes
        Whole body.
    """

    __slots__ = ("body", "by_name", "headers", "status")

    def __init__(self, status, headers, by_name, body):
        self.status = status
        self.headers = headers
        self.by_name = by_name
        self.body = body


class Exchange:
    """One request and what came of it.

    Parameters
    ----------
    data : bytes
        The whole request.
    done : callable
        ``done(exchange, answer, was_sent, reason)``, called once unless cancelled;
        ``answer`` is None on failure.
    request_id : bytes, default=b""
        Id that the answer must repeat if it states one.
    id_header : bytes, default=b""
        Lower-case name of the header with the id.
    repeatable : bool, default=True
        Whether a connection may be used that the peer might be about to close.
    expects_body : bool, default=True
        False for HEAD, whose answers have none.
    context : object, optional
        Whatever the caller needs to know the exchange by.
    left : callable, optional
        ``left(exchange)`` is called when an exchange that had to wait for its
        connection is being sent.
    accepted : callable, optional
        ``accepted(exchange)`` is called when an interim answer says that the peer has
        begun the request.
    max_body_bytes : int, default=MAX_ANSWER_BYTES
        Largest body that is read.
    """

    __slots__ = (
        "accepted",
        "connection",
        "context",
        "data",
        "done",
        "expects_body",
        "id_header",
        "left",
        "max_body_bytes",
        "pool",
        "repeatable",
        "request_id",
    )

    def __init__(
        self,
        data,
        done,
        request_id=b"",
        id_header=b"",
        repeatable=True,
        expects_body=True,
        context=None,
        left=None,
        accepted=None,
        max_body_bytes=MAX_ANSWER_BYTES,
    ):
        self.data = data
        self.done = done
        self.request_id = request_id
        self.id_header = id_header
        self.repeatable = repeatable
        self.expects_body = expects_body
        self.context = context
        self.left = left
        self.accepted = accepted
        self.max_body_bytes = max_body_bytes
        self.connection = None
        self.pool = None

    def add(self, data):
        """Send more behind the request while its answer is awaited."""
        if self.connection is not None:
            self.connection.write(data)

    def finish(self, answer, was_sent, reason):
        """Tell the outcome once."""
        done, self.done = self.done, None
        self.connection = None
        if done is not None:
            done(self, answer, was_sent, reason)

    def cancel(self):
        """Take no outcome any more and close the connection, if one is in use."""
        self.done = None
        if self.connection is not None:
            connection, self.connection = self.connection, None
            connection.abandon()
        elif self.pool is not None:
            self.pool.drop(self)


class ClientConnection(Stream):
    """One connection to a peer that answers.

    Parameters
    ----------
    loop : EventLoop
        Calls the connection.
    pool : ConnectionPool
        Takes the connection back.
    """

    __slots__ = (
        "_body",
        "_by_name",
        "_exchange",
        "_headers",
        "_is_framed",
        "_n_body",
        "_n_read",
        "_parser",
        "_status",
        "_timer",
        "_wants_close",
        "idle_since",
        "idle_limit_s",
        "pool",
    )

    def __init__(self, loop, pool):
        sock = open_stream_socket()
        self.pool = pool
        self.idle_since = 0.0
        self.idle_limit_s = IDLE_S
        self._parser = httptools.HttpResponseParser(self)
        self._exchange = None
        self._wants_close = False
        self._n_read = 0
        self._reset()
        code = sock.connect_ex((pool.host, pool.port))
        super().__init__(loop, sock, is_connecting=True)
        self._timer = loop.call_later(pool.connect_timeout_s, self._time_out)
        if code not in (0, 115):
            loop.call_later(0.0, self._lose, f"connect: error {code}", False)

    @property
    def is_connecting(self):
        """Whether the connection is not open yet, so that no byte has left."""
        return self._is_connecting

    def _reset(self):
        self._status = 0
        self._headers = []
        self._by_name = {}
        self._body = bytearray()
        self._n_body = 0
        self._is_framed = False

    def send(self, exchange):
        """Begin an exchange on this idle or connecting connection."""
        self._exchange = exchange
        self._n_read = 0
        exchange.connection = self
        if not self._is_connecting:
            self.write(exchange.data)

    def _send_held(self, exchange):
        if exchange.left is not None:
            exchange.left(exchange)
        self.write(exchange.data)

    def abandon(self):
        """Close the connection, as nobody waits for its answer."""
        self._exchange = None
        self._discard()

    # Stream

    def connected(self):
        """Send what waits for the connection."""
        self._timer.cancel()
        if self._exchange is not None:
            self._send_held(self._exchange)
        else:
            self._release()

    def received(self, data):
        """Parse bytes of the answer."""
        if self._exchange is None:
            # Nobody asked for these bytes, so what follows them cannot be trusted.
            self._discard()
            return
        self._n_read += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.break_off("upgrade")
        except httptools.HttpParserError as error:
            if not self.is_closed:
                self.break_off(f"not an answer: {error}")
        n_framing = self._n_read - self._n_body
        most = MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * self._n_body
        if n_framing > most and self._exchange is not None:
            self.break_off(
                f"{n_framing} bytes beside the body, at most {most} are read"
            )

    def lost(self, reason, was_clean):
        """End the exchange; without a length, a clean end completes the answer."""
        self._timer.cancel()
        self.pool.budget.release(self)
        self.pool.note_closed(self)
        exchange, self._exchange = self._exchange, None
        if exchange is None:
            return
        is_answer = self._status >= 200 and not self._is_framed
        if was_clean and is_answer and self._belongs(exchange):
            exchange.finish(self._build_answer(), True, "")
            return
        exchange.finish(None, not self._is_connecting, reason)

    def _time_out(self):
        if self._is_connecting and not self.is_closed:
            self._lose("connect: timeout", False)

    # Callbacks of the parser

    def on_message_begin(self):
        """Start an answer; one that nobody asked for condemns the connection."""
        self._reset()
        if self._exchange is None:
            self._discard()

    def on_header(self, name, value):
        """Take a header."""
        lower = name.lower()
        self._by_name[lower] = value
        if lower not in HOP_BY_HOP_HEADERS:
            self._headers.append((name, value))

    def on_headers_complete(self):
        """Take note that the head is whole."""
        self._status = self._parser.get_status_code()
        by_name = self._by_name
        self._is_framed = (
            b"content-length" in by_name or b"transfer-encoding" in by_name
        )
        exchange = self._exchange
        if exchange is None:
            return
        if self._status == PROCESSING and exchange.accepted is not None:
            exchange.accepted(exchange)
        elif not exchange.expects_body and self._status >= 200:
            self._finish()
            self._discard()

    def on_body(self, body):
        """Take a piece of the body."""
        self._n_body += len(body)
        exchange = self._exchange
        if exchange is None:
            return
        if self._n_body > exchange.max_body_bytes:
            self.break_off(f"body beyond {exchange.max_body_bytes} bytes")
            return
        self._body += body
        if self._n_body > SMALL_BODY_BYTES:
            self.pool.budget.hold(self, self._n_body)

    def on_message_complete(self):
        """Take the whole answer."""
        if 100 <= self._status < 200 or self.is_closed:
            return
        exchange = self._exchange
        if exchange is None:
            self._discard()
            return
        if not self._belongs(exchange):
            # A late answer to an earlier request stands where ours is expected. Ours
            # may follow, but nothing else may use the connection.
            self._wants_close = True
            return
        if not self._parser.should_keep_alive() or self.has_unsent:
            self._wants_close = True
        self._finish()

    def _belongs(self, exchange):
        stated = self._by_name.get(exchange.id_header)
        return not exchange.id_header or stated is None or stated == exchange.request_id

    def _build_answer(self):
        return Answer(self._status, self._headers, self._by_name, bytes(self._body))

    def _finish(self):
        exchange, self._exchange = self._exchange, None
        self.pool.budget.release(self)
        answer = self._build_answer()
        self.idle_limit_s = self._read_idle_limit()
        if self._wants_close:
            self._discard()
        else:
            # The rest of the bytes at hand decides whether the connection is sound.
            self.loop.call_soon(self._release)
        exchange.finish(answer, True, "")

    def _read_idle_limit(self):
        for part in self._by_name.get(b"keep-alive", b"").split(b","):
            name, _, value = part.partition(b"=")
            if name.strip().lower() == b"timeout" and value.strip().isdigit():
                return IDLE_SHARE * int(value)
        return IDLE_S

    def _release(self):
        if self.is_closed or self._exchange is not None:
            return
        if self._wants_close:
            self._discard()
            return
        self.idle_since = self.loop.seconds()
        self.pool.take_back(self)

    def break_off(self, reason):
        """End the connection and its exchange without an answer."""
        exchange, self._exchange = self._exchange, None
        self._discard()
        if exchange is not None:
            exchange.finish(None, True, reason)

    def _discard(self):
        if not self.is_closed:
            self._timer.cancel()
            self.close()
            self.pool.budget.release(self)
            self.pool.note_closed(self)


class ConnectionPool:
    """Connections to one address.

    Parameters
    ----------
    loop : EventLoop
        Runs the connections.
    host, port : str, int
        The address.
    max_connections : int
        Most connections at a time; further exchanges wait.
    connect_timeout_s : float, default=CONNECT_TIMEOUT_S
        Longest wait for a new connection.
    budget : ReadBudget, optional
        Bounds what unfinished answers hold; one of the pool's own by default.
    """

    __slots__ = (
        "_idle",
        "_open",
        "_waiting",
        "budget",
        "connect_timeout_s",
        "host",
        "loop",
        "max_connections",
        "n_opened",
        "port",
    )

    def __init__(
        self,
        loop,
        host,
        port,
        max_connections,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        budget=None,
    ):
        self.budget = ReadBudget(POOL_BUDGET_BYTES) if budget is None else budget
        self.connect_timeout_s = connect_timeout_s
        self.loop = loop
        self.host = host
        self.port = port
        self.max_connections = max_connections
        self.n_opened = 0
        self._idle = []
        self._open = set()
        self._waiting = deque()

    @property
    def n_open(self):
        """Connections at present."""
        return len(self._open)

    def send(self, exchange):
        """Begin an exchange on an idle or new connection, or let it wait for one.

        Returns
        -------
        bool
            Whether it was sent at once.
        """
        exchange.pool = self
        connection = self._take_idle(exchange.repeatable)
        if connection is None and len(self._open) < self.max_connections:
            connection = self._open_one()
        if connection is None:
            self._waiting.append(exchange)
            return False
        connection.send(exchange)
        return not connection.is_connecting

    def drop(self, exchange):
        """Let an exchange wait no longer."""
        if exchange in self._waiting:
            self._waiting.remove(exchange)

    def take_back(self, connection):
        """Use a connection again that has finished its exchange."""
        if self._waiting:
            exchange = self._waiting.popleft()
            if exchange.left is not None:
                exchange.left(exchange)
            connection.send(exchange)
        else:
            self._idle.append(connection)

    def note_closed(self, connection):
        """Take note that a connection is gone."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if self._waiting and len(self._open) < self.max_connections:
            self._open_one().send(self._waiting.popleft())

    def close(self):
        """Close all connections that are idle and fail what waits."""
        for connection in list(self._idle):
            connection.abandon()
        while self._waiting:
            self._waiting.popleft().finish(None, False, "pool closed")

    def close_stale(self):
        """Close connections that were idle for too long."""
        now = self.loop.seconds()
        for connection in list(self._idle):
            if now - connection.idle_since > connection.idle_limit_s:
                connection.abandon()

    def _take_idle(self, repeatable):
        now = self.loop.seconds()
        while self._idle:
            connection = self._idle.pop()
            limit_s = connection.idle_limit_s
            if not repeatable:
                limit_s = min(limit_s, UNREPEATABLE_IDLE_S)
            if now - connection.idle_since <= limit_s:
                return connection
            connection.abandon()
        return None

    def _open_one(self):
        connection = ClientConnection(self.loop, self)
        self.n_opened += 1
        self._open.add(connection)
        return connection


class PeerPools(dict):
    """Pools of connections to other nodes by address, each made when first asked for.

    Parameters
    ----------
    loop : EventLoop
        Runs the connections.
    max_connections : int
        Most connections to one node at a time.
    connect_timeout_s : float
        Longest wait for a new connection, in seconds.
    """

    def __init__(self, loop, max_connections, connect_timeout_s):
        super().__init__()
        self._loop = loop
        self._max_connections = max_connections
        self._connect_timeout_s = connect_timeout_s

    def __missing__(self, address):
        """Make the pool of an address, ``ip:port``."""
        host, _, port = address.rpartition(":")
        pool = self[address] = ConnectionPool(
            self._loop, host, int(port), self._max_connections, self._connect_timeout_s
        )
        return pool
