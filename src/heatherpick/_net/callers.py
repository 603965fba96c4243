"""HTTP connections that callers open to this node."""

from collections import deque

import httptools

from heatherpick._net.header_numbers import parse_digits
from heatherpick._net.sockets import Stream, read_round_trip_ms

__all__ = ["CallerConnection", "CallerRequest", "build_response"]

#: Age up to which a connection without a request counts as new, in seconds: its first
#: request may be on the way.
NEW_CONNECTION_S = 0.5
#: Pipelined requests that may wait on a connection; with more, reading is paused.
MAX_PIPELINED = 8
#: Most bytes of framing, such as chunk sizes and trailers, for each byte of a body; a
#: chunk of one byte has five. As many bytes as a head may have are allowed on top.
MAX_FRAMING_RATIO = 8
#: Hop-by-hop headers, which are never forwarded, and those that are always rebuilt.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
#: Headers that say where a body ends.
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def build_response(status, headers, body, is_last_response, is_head=False):
    """Return the bytes of a response.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : iterable of (bytes, bytes)
        Headers other than Content-Length and Connection.
    body : bytes
        The body.
    is_last_response : bool
        Whether the connection is closed after it.
    is_head : bool, default=False
        Whether the request's method was HEAD, so that the body is left out.
    """
    lines = [b"HTTP/1.1 %d %s" % (status, REASON_PHRASES.get(status, b"Status"))]
    lines += [name + b": " + value for name, value in headers]
    if status not in (204, 304):
        lines.append(b"Content-Length: %d" % len(body))
    if is_last_response:
        lines.append(b"Connection: close")
    lines.append(b"\r\n")
    head = b"\r\n".join(lines)
    return head if is_head else head + body


class CallerRequest:
    """One complete request of a caller.

    Attributes
    ----------
    connection : CallerConnection
        Connection that gets the response.
    method, target : bytes
        As the caller sent them.
    headers : list of (bytes, bytes)
        End-to-end headers, with names as the caller spelled them.
    by_name : dict of bytes to bytes
        All headers by lower-case name.
    body : bytes
        The body.
    keeps_alive : bool
        Whether the caller keeps the connection open.
    is_answered : bool
        Whether the response was written.
    query, timer : object or None
        The reducer's query for the request, and the timer of its next deadline.
    upstream_head : bytes or None
        Start of the head that is sent to upstreams, built once for all legs.
    rejected_on : set of ClientConnection or tuple
        Connections on which upstreams rejected a leg of the request.
    """

    __slots__ = (
        "body",
        "by_name",
        "connection",
        "upstream_head",
        "headers",
        "is_answered",
        "keeps_alive",
        "method",
        "query",
        "rejected_on",
        "target",
        "timer",
    )

    def __init__(self, connection, method, target, headers, by_name, body, keeps_alive):
        self.connection = connection
        self.method = method
        self.target = target
        self.headers = headers
        self.by_name = by_name
        self.body = body
        self.keeps_alive = keeps_alive
        self.is_answered = False
        self.query = None
        self.timer = None
        self.upstream_head = None
        self.rejected_on = ()

    def record_rejection(self, connection):
        """Record the connection of a rejected leg; no other leg is sent on it."""
        if not self.rejected_on:
            self.rejected_on = set()
        self.rejected_on.add(connection)

    def send_processing(self):
        """Send the interim response 102, which says that the request was started."""
        if not self.is_answered:
            self.connection.write(b"HTTP/1.1 102 Processing\r\n\r\n")

    def respond(self, status, headers, body):
        """Send the response, unless one was sent already."""
        if self.is_answered:
            return
        self.is_answered = True
        self.connection.send_response(self, status, headers, body)


class CallerConnection(Stream):
    """Reads requests, serves them one at a time and writes responses in order.

    Parameters
    ----------
    loop : EventLoop
        Runs the connection.
    sock : socket.socket
        Accepted socket.
    owner : object
        Serves the requests. Has ``limits`` (`CallerLimits`); ``is_stopping``, whether
        the connection is closed after its next response;
        ``handle_request(request)``, which starts a request;
        ``handle_disconnect(request)`` for one whose caller has disconnected; and
        ``handle_closed(connection)`` for a connection that is closed.
    """

    __slots__ = (
        "_active",
        "_body",
        "_by_name",
        "_is_closing",
        "_deadline",
        "_error_status",
        "_has_head",
        "_headers",
        "_is_body_ahead",
        "_n_body_bytes",
        "_n_head_bytes",
        "_n_bytes_read",
        "_opened_at",
        "_parser",
        "_queue",
        "_target",
        "_round_trip_ms",
        "_timer",
        "is_first_request",
        "owner",
    )

    def __init__(self, loop, sock, owner):
        self.owner = owner
        #: Whether the active request is the first on the connection.
        self.is_first_request = True
        self._round_trip_ms = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue = deque()
        self._active = None
        self._error_status = 0
        self._is_closing = False
        self._timer = None
        self._opened_at = loop.seconds()
        self._deadline = 0.0
        self._reset_message()
        super().__init__(loop, sock)
        self._set_timeout(owner.limits.idle_timeout_s)

    @property
    def is_idle(self):
        """Whether the connection has no request, not even part of one."""
        return self._active is None and not self._queue and self._n_head_bytes == 0

    @property
    def active_request(self):
        """The request that is being served, or None."""
        return self._active

    def estimate_network_ms(self):
        """Return the network time of the active request in milliseconds.

        It is one round trip, and another one for a connection that was opened for the
        request. It is None where the kernel gives no round-trip time.
        """
        if self._round_trip_ms is None:
            self._round_trip_ms = read_round_trip_ms(self.sock)
            if self._round_trip_ms is None:
                return None
        return self._round_trip_ms * (2.0 if self.is_first_request else 1.0)

    def _reset_message(self):
        self._target = b""
        self._headers = []
        self._by_name = {}
        self._body = bytearray()
        self._has_head = False
        # Whether the parser has stopped behind the head of a request with a body.
        self._is_body_ahead = False
        self._n_head_bytes = 0
        self._n_body_bytes = 0
        self._n_bytes_read = 0

    # Stream

    def close(self):
        """Close the connection at once, and drop an unfinished request.

        The parser and the connection refer to each other, so that only the cyclic
        garbage collector would free them.
        """
        super().close()
        self._reset_message()
        self._parser = None

    def data_received(self, data):
        """Parse bytes from the caller."""
        if self._error_status or self._is_closing:
            return
        if self._n_head_bytes == 0 and self._active is None:
            self._set_timeout(self.owner.limits.header_timeout_s)
        self._n_head_bytes = max(self._n_head_bytes, 1)
        self._n_bytes_read += len(data)
        try:
            while data:
                data = self._parse(data)
        except httptools.HttpParserError:
            self._reject_request(self._error_status or 400)
        self._check_framing()
        if self._error_status and not self._is_closing:
            self._reject_request(self._error_status)
        if len(self._queue) > MAX_PIPELINED:
            self.pause_reading()

    def _parse(self, data):
        """Parse bytes, and return those that are left for another call.

        The parser stops behind the head of a request that offers another protocol or
        asks for a tunnel, and takes what follows for the other protocol. Neither is
        accepted, so another parser reads the body, or the next request.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            if self.is_closed:
                return b""
            stopped_parser = self._parser
            self._parser = httptools.HttpRequestParser(self)
            if self._is_body_ahead:
                self._parser.feed_data(self._build_framing_head(stopped_parser))
                self._is_body_ahead = False
            (n_parsed_bytes,) = upgrade.args
            return data[n_parsed_bytes:]
        return b""

    def _build_framing_head(self, parser):
        """Return a head with the method and the framing of the request in progress."""
        lines = [b"%s / HTTP/1.1" % parser.get_method()]
        lines += [
            b"%s: %s" % (name, self._by_name[name])
            for name in FRAMING_HEADERS
            if name in self._by_name
        ]
        if not parser.should_keep_alive():
            lines.append(b"Connection: close")
        return b"\r\n".join([*lines, b"", b""])

    def connection_lost(self, reason, was_clean):
        """Drop the requests of the connection."""
        self._stop_timer()
        active, self._active = self._active, None
        self._queue.clear()
        if active is not None:
            self.loop.call_guarded(self.owner.handle_disconnect, active)
        self.owner.handle_closed(self)

    def _check_framing(self):
        """Reject a request with too many bytes besides its body."""
        max_framing_bytes = self.owner.limits.max_header_bytes
        if self._has_head:
            max_framing_bytes += (
                max_framing_bytes + MAX_FRAMING_RATIO * self._n_body_bytes
            )
        if (
            self._n_bytes_read - self._n_body_bytes > max_framing_bytes
            and not self._error_status
        ):
            # The parser buffers an unfinished line, so it must get no more of it.
            self._error_status = 400 if self._has_head else 431

    # Callbacks of the parser

    def on_url(self, url):
        """Append a piece of the request target."""
        if self._is_body_ahead:
            return
        self._target += url
        self._count_head_bytes(len(url))

    def on_header(self, name, value):
        """Add a header."""
        if self._is_body_ahead:
            return
        self._count_head_bytes(len(name) + len(value) + 4)
        lower = name.lower()
        self._by_name[lower] = value
        self._headers.append((name, value))

    def on_headers_complete(self):
        """Check the complete head."""
        if self._is_body_ahead:
            return
        self._has_head = True
        if b"100-continue" in self._by_name.get(b"expect", b"").lower():
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        length = self._by_name.get(b"content-length", b"")
        n_bytes = parse_digits(length)
        is_too_long = length.isdigit() and n_bytes is None
        if is_too_long or (n_bytes or 0) > self.owner.limits.max_body_bytes:
            self._error_status = 413

    def on_body(self, body):
        """Append a piece of the body."""
        self._n_body_bytes += len(body)
        if self._n_body_bytes > self.owner.limits.max_body_bytes:
            self._error_status = 413
            self._body.clear()
            return
        self._body += body

    def on_message_complete(self):
        """Build the request and handle it."""
        if self._error_status or self.is_closed:
            return
        if self._parser.should_upgrade() and self._has_framing_header():
            self._is_body_ahead = True
            return
        dropped_headers = HOP_BY_HOP_HEADERS
        tokens = self._by_name.get(b"connection")
        if tokens and tokens.lower() not in (b"keep-alive", b"close"):
            dropped_headers = HOP_BY_HOP_HEADERS.union(
                token.strip() for token in tokens.lower().split(b",")
            )
        headers = [
            pair for pair in self._headers if pair[0].lower() not in dropped_headers
        ]
        request = CallerRequest(
            self,
            self._parser.get_method(),
            self._target,
            headers,
            self._by_name,
            bytes(self._body),
            self._parser.should_keep_alive(),
        )
        self._reset_message()
        self._stop_timer()
        self.handle_request(request)

    def _has_framing_header(self):
        return any(name in self._by_name for name in FRAMING_HEADERS)

    def _count_head_bytes(self, n_bytes):
        self._n_head_bytes += n_bytes
        if (
            self._n_head_bytes > self.owner.limits.max_header_bytes
            and not self._error_status
        ):
            self._error_status = 431

    # Requests

    def handle_request(self, request):
        """Serve a complete request after those before it."""
        if self._active is None:
            self._start_request(request)
        else:
            self._queue.append(request)

    def _start_request(self, request):
        if self.has_peer_closed:
            # The caller has disconnected, for instance while this VM was paused.
            return
        self._active = request
        if not self.loop.call_guarded(self.owner.handle_request, request):
            request.respond(500, (), b"internal error")

    def send_response(self, request, status, headers, body):
        """Write the response to the active request and start the next one."""
        if self.is_closed:
            return
        self.is_first_request = False
        # Requests that were already read are answered before a stopping node closes.
        is_last_response = not request.keeps_alive or (
            self.owner.is_stopping and not self._queue
        )
        self.write(
            build_response(
                status, headers, body, is_last_response, request.method == b"HEAD"
            )
        )
        self._active = None
        if is_last_response:
            self._close_after_writing()
        elif self._error_status:
            self._reject_request(self._error_status)
        elif self._queue:
            # Called from the loop, so that immediate responses do not nest calls.
            self.loop.call_soon(self._start_next_request)
        elif self._n_head_bytes == 0:
            self._set_timeout(self.owner.limits.idle_timeout_s)
        else:
            self._set_timeout(self.owner.limits.header_timeout_s)

    def _start_next_request(self):
        if self.is_closed or self._active is not None or not self._queue:
            return
        self._start_request(self._queue.popleft())
        if len(self._queue) <= MAX_PIPELINED // 2:
            self.resume_reading()

    def close_if_idle(self):
        """Close the connection unless it is new or has a request or part of one."""
        is_new = (
            self.is_first_request
            and self.loop.seconds() - self._opened_at < NEW_CONNECTION_S
        )
        if self.is_idle and not is_new and not self.is_closed:
            self._stop_timer()
            self.close()
            self.owner.handle_closed(self)

    def abort(self):
        """Close the connection at once, without an answer to the active request."""
        self._stop_timer()
        self._active = None
        self._close_now()

    def _reject_request(self, status):
        """Respond to an invalid request after those before it, and close."""
        self._error_status = status
        if self._active is not None or self._queue or self.is_closed:
            return
        self.write(build_response(status, (), b"", True))
        self._close_after_writing()

    def _close_after_writing(self):
        self._is_closing = True
        self._stop_timer()
        # Bytes that the caller still sends must be read: closing with unread bytes
        # resets the connection, and the response is lost.
        self.loop.call_later(
            0.0 if not self.has_unsent else 0.5, self._shut_down_writing
        )

    def _shut_down_writing(self):
        if self.is_closed:
            return
        if self.has_unsent:
            self.loop.call_later(0.5, self._close_now)
            return
        try:
            self.sock.shutdown(1)
        except OSError:
            # The caller has closed the connection, so there is nothing left to flush.
            self._close_now()
            return
        self.loop.call_later(1.0, self._close_now)

    def _close_now(self):
        if not self.is_closed:
            self.close()
            self.owner.handle_closed(self)

    # Timeouts

    def _set_timeout(self, timeout_s):
        self._deadline = self.loop.seconds() + timeout_s
        if self._timer is None:
            self._timer = self.loop.call_at(self._deadline, self._check_deadline)

    def _stop_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check_deadline(self):
        self._timer = None
        if self.is_closed or self._active is not None:
            return
        if self.loop.seconds() < self._deadline:
            self._timer = self.loop.call_at(self._deadline, self._check_deadline)
        elif self.is_idle:
            self.close()
            self.owner.handle_closed(self)
        else:
            self._reject_request(408)
