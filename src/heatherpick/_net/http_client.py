"""HTTP/1.1 client: connections and pools for upstreams, the platform and other nodes.

A connection carries one request at a time.
"""

from collections import deque

import httptools

from heatherpick._net.budgets import ReadBudget
from heatherpick._net.callers import HOP_BY_HOP_HEADERS, MAX_FRAMING_RATIO
from heatherpick._net.header_numbers import parse_digits
from heatherpick._net.sockets import Stream, open_stream_socket

__all__ = [
    "MAX_RESPONSE_BODY_BYTES",
    "ClientConnection",
    "ConnectionPool",
    "Exchange",
    "PeerPools",
    "Response",
]

#: Default limit on a response's body, in bytes. A page of the platform's store has a
#: megabyte, the first response of a relay several.
MAX_RESPONSE_BODY_BYTES = 8 * 1024 * 1024
#: Limit on the bytes read for one response that are not its body: head, interim
#: responses, chunk sizes, trailers and late responses to earlier requests. Each byte
#: of the body raises it by ``MAX_FRAMING_RATIO``.
MAX_FRAMING_BYTES = 64 * 1024
#: Bodies up to this size do not count towards the pool's budget, in bytes.
SMALL_BODY_BYTES = 16 * 1024
#: Budget of a pool that shares none, in bytes.
POOL_BUDGET_BYTES = 2 * MAX_RESPONSE_BODY_BYTES
#: Idle time after which a connection is not reused if the peer states no keep-alive
#: timeout, in seconds.
DEFAULT_IDLE_LIMIT_S = 10.0
#: Share of the peer's keep-alive timeout after which a connection is not reused.
IDLE_LIMIT_SHARE = 0.8
#: Idle time after which a connection is not reused for a request that must not be sent
#: twice, in seconds.
UNREPEATABLE_IDLE_LIMIT_S = 1.0
#: Default connect timeout, in seconds; another upstream may be tried after it. A full
#: accept queue drops the SYN, which the kernel retransmits only after a second.
CONNECT_TIMEOUT_S = 0.15
#: Status of the interim response by which a peer accepts a request.
PROCESSING_STATUS = 102


class Response:
    """A complete HTTP response.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        End-to-end headers as the peer spelled them.
    by_name : dict of bytes to bytes
        All headers by lower-case name.
    body : bytes
        The body.
    connection : ClientConnection
        Connection that carried it.
    """

    __slots__ = ("body", "by_name", "connection", "headers", "status")

    def __init__(self, status, headers, by_name, body, connection):
        self.status = status
        self.headers = headers
        self.by_name = by_name
        self.body = body
        self.connection = connection


class Exchange:
    """One request and its outcome.

    Parameters
    ----------
    request_bytes : bytes
        The complete request.
    on_done : callable
        ``on_done(exchange, response, was_sent, reason)``, called once unless the
        exchange is cancelled. On failure ``response`` is None, ``was_sent`` is
        whether the peer may have received the request, and ``reason`` says why.
    request_id : bytes, default=b""
        Id that a response must repeat if it has the header ``id_header``.
    id_header : bytes, default=b""
        Lower-case name of the header with the id; if empty, ids are not compared.
    is_id_required : bool, default=False
        Whether a response without an id is dropped once the peer has repeated one on
        the connection.
    is_repeatable : bool, default=True
        Whether the request may be sent twice. If not, it gets no connection that has
        been idle for long, as the peer may be about to close it.
    expects_body : bool, default=True
        False for HEAD, whose responses have no body.
    context : object, optional
        Passed through for the callbacks.
    on_sending : callable, optional
        ``on_sending(exchange)`` is called when a request that had to wait for its
        connection is being sent.
    on_accepted : callable, optional
        ``on_accepted(exchange)`` is called when the peer accepts the request by an
        interim response.
    max_body_bytes : int, default=MAX_RESPONSE_BODY_BYTES
        Limit on the response's body.
    excluded_connections : collection of ClientConnection, default=()
        Connections that must not carry the request. A second copy of a response to
        the same request may still arrive there, and has the same id as the response
        that is expected.
    """

    __slots__ = (
        "connection",
        "context",
        "excluded_connections",
        "expects_body",
        "id_header",
        "is_id_required",
        "is_repeatable",
        "max_body_bytes",
        "on_accepted",
        "on_done",
        "on_sending",
        "pool",
        "request_bytes",
        "request_id",
    )

    def __init__(
        self,
        request_bytes,
        on_done,
        request_id=b"",
        id_header=b"",
        is_id_required=False,
        is_repeatable=True,
        expects_body=True,
        context=None,
        on_sending=None,
        on_accepted=None,
        max_body_bytes=MAX_RESPONSE_BODY_BYTES,
        excluded_connections=(),
    ):
        self.request_bytes = request_bytes
        self.on_done = on_done
        self.request_id = request_id
        self.id_header = id_header
        self.is_id_required = is_id_required
        self.is_repeatable = is_repeatable
        self.expects_body = expects_body
        self.context = context
        self.on_sending = on_sending
        self.on_accepted = on_accepted
        self.max_body_bytes = max_body_bytes
        self.excluded_connections = excluded_connections
        self.connection = None
        self.pool = None

    def write(self, data):
        """Send further bytes after the request while its response is awaited."""
        if self.connection is not None:
            self.connection.write(data)

    def finish(self, response, was_sent, reason):
        """Report the outcome, at most once."""
        on_done, self.on_done = self.on_done, None
        self.connection = None
        if on_done is not None:
            self._notify(on_done, self, response, was_sent, reason)

    def report_sending(self):
        """Report that a request that had to wait is being sent."""
        if self.on_sending is not None:
            self._notify(self.on_sending, self)

    def report_acceptance(self):
        """Report that the peer has accepted the request."""
        if self.on_accepted is not None:
            self._notify(self.on_accepted, self)

    def _notify(self, callback, *args):
        # The connection must be returned to its pool whatever the callback raises, and
        # the parser's callbacks would replace the exception.
        self.pool.loop.call_guarded(callback, *args)

    def cancel(self):
        """Drop the outcome and close the connection, if one is in use."""
        self.on_done = None
        if self.connection is not None:
            connection, self.connection = self.connection, None
            connection.abandon()
        elif self.pool is not None:
            self.pool.remove_waiting(self)


class ClientConnection(Stream):
    """One client connection; parses the responses to its requests.

    Parameters
    ----------
    loop : EventLoop
        Calls the connection when its socket is ready.
    pool : ConnectionPool
        Owns the connection and reuses it after each exchange.

    Raises
    ------
    OSError, OverflowError
        The process has no file descriptor left, or the address is invalid.

    Attributes
    ----------
    idle_since : float
        Time at which the connection last became idle, on the loop's clock in seconds.
    idle_limit_s : float
        Idle time after which the connection is not reused, in seconds.
    """

    __slots__ = (
        "_body",
        "_by_name",
        "_connect_timer",
        "_exchange",
        "_headers",
        "_is_framed",
        "_must_close",
        "_n_body_bytes",
        "_n_read_bytes",
        "_parser",
        "_repeats_ids",
        "_status",
        "idle_limit_s",
        "idle_since",
        "pool",
    )

    def __init__(self, loop, pool):
        sock = open_stream_socket()
        self.pool = pool
        self.idle_since = 0.0
        self.idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self._parser = httptools.HttpResponseParser(self)
        self._exchange = None
        self._must_close = False
        self._n_read_bytes = 0
        # Whether the peer has repeated the id of any request on this connection.
        self._repeats_ids = False
        self._reset_response()
        try:
            error_code = sock.connect_ex((pool.host, pool.port))
            super().__init__(loop, sock, is_connecting=True)
        except (OSError, OverflowError):
            sock.close()
            raise
        self._connect_timer = loop.call_later(
            pool.connect_timeout_s, self._handle_connect_timeout
        )
        # 115 is EINPROGRESS.
        if error_code not in (0, 115):
            loop.call_later(
                0.0, self._close_and_notify, f"connect: error {error_code}", False
            )

    @property
    def is_connecting(self):
        """Whether the connection is not open yet, so that no byte has been sent."""
        return self._is_connecting

    def _reset_response(self):
        self._status = 0
        self._headers = []
        self._by_name = {}
        self._body = bytearray()
        self._n_body_bytes = 0
        self._is_framed = False

    def send(self, exchange):
        """Start an exchange on this idle or connecting connection."""
        self._exchange = exchange
        self._n_read_bytes = 0
        # An end of the connection must not be evaluated with the response before.
        self._reset_response()
        exchange.connection = self
        if not self._is_connecting:
            self.write(exchange.request_bytes)

    def _send_deferred(self, exchange):
        exchange.report_sending()
        self.write(exchange.request_bytes)

    def abandon(self):
        """Close the connection without reporting the outcome of its exchange."""
        self._exchange = None
        self._discard()

    # Callbacks of Stream

    def connection_made(self):
        """Send the request that waited for the connection."""
        self._connect_timer.cancel()
        if self._exchange is not None:
            self._send_deferred(self._exchange)
        else:
            self._return_to_pool()

    def data_received(self, data):
        """Parse response bytes."""
        if self._exchange is None:
            # Unsolicited bytes; any response after them could be misattributed.
            self._discard()
            return
        self._n_read_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.fail("upgrade")
        except httptools.HttpParserError as error:
            if not self.is_closed:
                self.fail(f"invalid response: {error}")
        n_framing_bytes = self._n_read_bytes - self._n_body_bytes
        max_framing_bytes = MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * self._n_body_bytes
        if n_framing_bytes > max_framing_bytes and self._exchange is not None:
            self.fail(
                f"{n_framing_bytes} bytes beside the body, "
                f"at most {max_framing_bytes} are read"
            )

    def connection_lost(self, reason, was_clean):
        """Finish the exchange.

        A response with neither ``Content-Length`` nor ``Transfer-Encoding`` is
        complete if the peer closed the connection in order.
        """
        self._connect_timer.cancel()
        self.pool.budget.release(self)
        self.pool.handle_closed(self)
        exchange, self._exchange = self._exchange, None
        response = None
        if exchange is not None and was_clean and self._is_whole_at_end(exchange):
            response, reason = self._build_response(), ""
        self._free_memory()
        if exchange is not None:
            was_sent = response is not None or not self._is_connecting
            exchange.finish(response, was_sent, reason)

    def _is_whole_at_end(self, exchange):
        is_unframed_response = self._status >= 200 and not self._is_framed
        return is_unframed_response and self._is_response_to(exchange)

    def _handle_connect_timeout(self):
        if self._is_connecting and not self.is_closed:
            self._close_and_notify("connect: timeout", False)

    # Callbacks of the parser

    def on_message_begin(self):
        """Start a response; close the connection if it is unsolicited."""
        self._reset_response()
        if self._exchange is None:
            self._discard()

    def on_header(self, name, value):
        """Store a header; hop-by-hop ones are not forwarded."""
        lower_name = name.lower()
        self._by_name[lower_name] = value
        if lower_name not in HOP_BY_HOP_HEADERS:
            self._headers.append((name, value))

    def on_headers_complete(self):
        """Evaluate the complete head."""
        if self.is_closed:
            return
        self._status = self._parser.get_status_code()
        by_name = self._by_name
        self._is_framed = (
            b"content-length" in by_name or b"transfer-encoding" in by_name
        )
        exchange = self._exchange
        if exchange is None:
            return
        if self._status == PROCESSING_STATUS:
            exchange.report_acceptance()
        elif self._status < 200 or exchange.expects_body:
            return
        elif self._is_response_to(exchange):
            self._finish_exchange()
            self._discard()

    def on_body(self, body):
        """Append a piece of the body, within the limits."""
        self._n_body_bytes += len(body)
        exchange = self._exchange
        if exchange is None:
            return
        if self._n_body_bytes > exchange.max_body_bytes:
            self.fail(f"body beyond {exchange.max_body_bytes} bytes")
            return
        self._body += body
        if self._n_body_bytes > SMALL_BODY_BYTES:
            self.pool.budget.record_usage(self, self._n_body_bytes)

    def on_message_complete(self):
        """Finish the exchange if the complete response belongs to it."""
        if 100 <= self._status < 200 or self.is_closed:
            return
        exchange = self._exchange
        if exchange is None:
            self._discard()
            return
        if not self._is_response_to(exchange):
            # This is a late response to an earlier request. The expected one may
            # follow, but the connection must not be reused after it.
            self._must_close = True
            return
        if not self._parser.should_keep_alive() or self.has_unsent:
            self._must_close = True
        self._finish_exchange()

    def _is_response_to(self, exchange):
        """Return whether the response belongs to an exchange, by the request's id.

        Where the id is required, a response without one is garbled or a second copy.
        """
        if not exchange.id_header:
            return True
        repeated_id = self._by_name.get(exchange.id_header)
        if repeated_id is None:
            return not (exchange.is_id_required and self._repeats_ids)
        self._repeats_ids = True
        return repeated_id == exchange.request_id

    def _build_response(self):
        return Response(
            self._status, self._headers, self._by_name, bytes(self._body), self
        )

    def _finish_exchange(self):
        exchange, self._exchange = self._exchange, None
        self.pool.budget.release(self)
        response = self._build_response()
        self.idle_limit_s = self._parse_idle_limit_s()
        if self._must_close:
            self._discard()
        else:
            # Pooled only after the bytes at hand are parsed: any that follow the
            # response make the connection unusable.
            self.loop.call_soon(self._return_to_pool)
        exchange.finish(response, True, "")

    def _parse_idle_limit_s(self):
        for part in self._by_name.get(b"keep-alive", b"").split(b","):
            name, _, value = part.partition(b"=")
            timeout_s = parse_digits(value)
            if name.strip().lower() == b"timeout" and timeout_s is not None:
                return IDLE_LIMIT_SHARE * timeout_s
        return DEFAULT_IDLE_LIMIT_S

    def _return_to_pool(self):
        if self.is_closed or self._exchange is not None:
            return
        if self._must_close:
            self._discard()
            return
        self.idle_since = self.loop.seconds()
        self.pool.release(self)

    def fail(self, reason):
        """Close the connection and fail its exchange."""
        exchange, self._exchange = self._exchange, None
        self._discard()
        if exchange is not None:
            exchange.finish(None, True, reason)

    def _discard(self):
        if not self.is_closed:
            self._connect_timer.cancel()
            self.close()
            self._free_memory()
            self.pool.budget.release(self)
            self.pool.handle_closed(self)

    def _free_memory(self):
        """Drop the response and the parser of a closed connection.

        The parser and the connection refer to each other, so that only the cyclic
        garbage collector would free an unfinished body, long after its budget.
        """
        self._reset_response()
        self._parser = None


class ConnectionPool:
    """Pool of connections to one address.

    Parameters
    ----------
    loop : EventLoop
        Runs the connections.
    host, port : str, int
        The address.
    max_connections : int
        Limit on concurrent connections; further exchanges wait.
    connect_timeout_s : float, default=CONNECT_TIMEOUT_S
        Connect timeout, in seconds.
    budget : ReadBudget, optional
        Limits the memory of incomplete responses; by default the pool has its own, of
        ``POOL_BUDGET_BYTES``.

    Attributes
    ----------
    n_opened : int
        Number of connections opened so far, including those closed since.
    """

    __slots__ = (
        "_connections",
        "_idle",
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
        self._connections = set()
        self._waiting = deque()

    @property
    def n_open(self):
        """Number of connections, including those still connecting."""
        return len(self._connections)

    def send(self, exchange):
        """Start an exchange on an idle or new connection, or queue it.

        Returns
        -------
        bool
            Whether the request was sent at once.
        """
        exchange.pool = self
        connection = self._pop_idle(exchange)
        if connection is None and self._idle and not self._may_open:
            # All idle connections are excluded; one makes room for a new one.
            self._idle[0].abandon()
        if connection is not None:
            connection.send(exchange)
            return True
        if self._may_open:
            self._open_connection(exchange)
        else:
            self._waiting.append(exchange)
        return False

    @property
    def _may_open(self):
        return len(self._connections) < self.max_connections

    def remove_waiting(self, exchange):
        """Remove an exchange from the queue."""
        if exchange in self._waiting:
            self._waiting.remove(exchange)

    def release(self, connection):
        """Reuse a connection for the next queued exchange, or keep it idle."""
        if not self._waiting:
            self._idle.append(connection)
            return
        for exchange in self._waiting:
            if connection not in exchange.excluded_connections:
                self._waiting.remove(exchange)
                exchange.report_sending()
                connection.send(exchange)
                return
        # A new connection takes its place, and the first queued exchange.
        connection.abandon()

    def handle_closed(self, connection):
        """Remove a closed connection; open another if exchanges are queued."""
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        while self._waiting and self._may_open:
            self._open_connection(self._waiting.popleft())

    def close(self):
        """Close idle connections and fail queued exchanges."""
        for connection in list(self._idle):
            connection.abandon()
        while self._waiting:
            self._waiting.popleft().finish(None, False, "pool closed")

    def close_stale(self):
        """Close connections that exceed their idle limit."""
        now = self.loop.seconds()
        for connection in list(self._idle):
            if now - connection.idle_since > connection.idle_limit_s:
                connection.abandon()

    def _pop_idle(self, exchange):
        """Remove and return the newest idle connection that may carry an exchange."""
        now = self.loop.seconds()
        for connection in reversed(self._idle.copy()):
            if connection in exchange.excluded_connections:
                continue
            limit_s = connection.idle_limit_s
            if not exchange.is_repeatable:
                limit_s = min(limit_s, UNREPEATABLE_IDLE_LIMIT_S)
            if now - connection.idle_since <= limit_s:
                self._idle.remove(connection)
                return connection
            connection.abandon()
        return None

    def _open_connection(self, exchange):
        """Send an exchange on a new connection, or fail it if none can be opened."""
        try:
            connection = ClientConnection(self.loop, self)
        except (OSError, OverflowError) as error:
            # Callers of `send` expect the outcome later.
            self.loop.call_soon(exchange.finish, None, False, f"connect: {error}")
            return
        self.n_opened += 1
        self._connections.add(connection)
        connection.send(exchange)


class PeerPools(dict):
    """Connection pools to other nodes by address, created on first access.

    Parameters
    ----------
    loop : EventLoop
        Runs the connections.
    max_connections : int
        Limit on concurrent connections to one node.
    connect_timeout_s : float
        Connect timeout, in seconds.
    """

    def __init__(self, loop, max_connections, connect_timeout_s):
        super().__init__()
        self._loop = loop
        self._max_connections = max_connections
        self._connect_timeout_s = connect_timeout_s

    def __missing__(self, address):
        """Create the pool of an address, ``ip:port``."""
        host, _, port = address.rpartition(":")
        pool = self[address] = ConnectionPool(
            self._loop, host, int(port), self._max_connections, self._connect_timeout_s
        )
        return pool
