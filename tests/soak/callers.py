"""Callers that reuse connections and check every response."""

from dataclasses import dataclass

import httptools

from heatherpick._net.sockets import Stream, open_stream_socket
from tests.soak.fleet import N_RECORDS, SHARDS, make_records

#: Deadline that callers send with each request, and how much later a response is
#: overdue.
DEADLINE_MS = 1000
OVERDUE_SLACK_S = 1.0
#: Pause between two requests of a caller, in seconds.
PAUSE_S = 0.05
#: Share of the callers that return to the same node when their connection has ended.
STAY_SHARE = 0.5
#: Statuses that guarantee that a request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(slots=True)
class Attempt:
    """One request of a caller and its result.

    ``incarnation`` is that of the node's process when the request was sent;
    ``status`` is None without a response, and ``reason`` then says why.
    """

    request_id: str
    kind: str
    path: str
    node: object
    incarnation: int
    sent_at: float
    ended_at: float | None = None
    status: int | None = None
    reason: str = ""


class Connection(Stream):
    """A connection that carries one request at a time.

    Each request ends by one call of ``on_end(status, headers, body, reason)``;
    without a response, ``status`` is None and ``reason`` says why.
    """

    __slots__ = ("_body", "_headers", "_on_end", "_parser")

    def __init__(self, loop, address):
        sock = open_stream_socket()
        sock.connect_ex(address)
        self._on_end = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers = {}
        self._body = b""
        super().__init__(loop, sock, is_connecting=True)

    def send_request(self, data, on_end):
        self._on_end = on_end
        self.write(data)

    def data_received(self, data):
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._finish(None, f"malformed response: {error}")
            self.close()

    def connection_lost(self, reason, was_clean):
        self._finish(None, reason)

    def on_message_begin(self):
        self._headers = {}
        self._body = b""

    def on_header(self, name, value):
        self._headers[name.lower()] = value

    def on_body(self, body):
        self._body += body

    def on_message_complete(self):
        status = self._parser.get_status_code()
        if not self._parser.should_keep_alive():
            self.close()
        self._finish(status, "")

    def _finish(self, status, reason):
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end(status, self._headers, self._body, reason)
        elif status is not None:
            raise AssertionError(f"response {status} without a request")


class Caller:
    """Sends one request after another, reusing a connection until it closes.

    Some return to the same node then, also while it stops.

    Parameters
    ----------
    fleet : Fleet
        The system under test.
    index : int
        Number of the caller, part of the ids of its requests.
    findings : list of str
        Receives a line for each incorrect response.

    Attributes
    ----------
    attempts : list of Attempt
        All requests so far.
    is_stopped : bool
        Whether the caller sends no further request.
    only_node : Node or None
        Node that gets all new connections; None to choose one each time.
    """

    def __init__(self, fleet, index, findings):
        self._fleet = fleet
        self._index = index
        self._findings = findings
        self._connection = None
        self._node = None
        self._incarnation = 0
        self._n_sent = 0
        self.attempts = []
        self.is_stopped = False
        self.only_node = None

    def send_next(self):
        """Send the next request, unless the caller is stopped."""
        fleet = self._fleet
        if self.is_stopped:
            return
        if self._connection is None or self._connection.is_closed:
            if self.only_node is not None:
                self._node = self.only_node
            elif self._node is None or fleet.rng.random() >= STAY_SHARE:
                self._node = fleet.rng.choice(fleet.nodes)
            self._incarnation = self._node.incarnation
            self._connection = Connection(fleet.loop, self._node.callers_address)
        self._n_sent += 1
        kind = fleet.rng.choice(("search", "search", "order", "version"))
        path = {"search": "/find/x", "order": "/order/x"}.get(kind)
        attempt = Attempt(
            f"c{self._index}-{self._n_sent}",
            kind,
            path or fleet.rng.choice(fleet.paths),
            self._node,
            self._incarnation,
            fleet.loop.seconds(),
        )
        self.attempts.append(attempt)
        body = b"order" if kind == "order" else b""
        data = (
            f"{'POST' if body else 'GET'} {attempt.path} HTTP/1.1\r\n"
            f"Host: search.example\r\nRequest-Id: {attempt.request_id}\r\n"
            f"Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self._connection.send_request(
            data.encode() + body, lambda *result: self._finish_attempt(attempt, *result)
        )

    def disconnect(self):
        """Close the connection, also while a request is in flight."""
        if self._connection is not None and not self._connection.is_closed:
            self._connection.close()
            attempt = self.attempts[-1]
            if attempt.ended_at is None:
                self._finish_attempt(attempt, None, {}, b"", "disconnected")

    def close_if_overdue(self):
        """Close a connection whose response is overdue, so that no request hangs."""
        attempt = self.attempts[-1] if self.attempts else None
        if attempt is None or attempt.ended_at is not None:
            return
        waited_s = self._fleet.loop.seconds() - attempt.sent_at
        if waited_s > DEADLINE_MS / 1000.0 + OVERDUE_SLACK_S:
            self._connection.close()
            self._finish_attempt(attempt, None, {}, b"", "overdue")

    def _finish_attempt(self, attempt, status, headers, body, reason):
        attempt.ended_at = self._fleet.loop.seconds()
        attempt.status = status
        attempt.reason = reason
        if status == 200:
            fault = find_response_fault(attempt, headers, body)
            if fault:
                self._findings.append(f"{attempt.request_id}: {fault}")
        self._fleet.loop.call_later(
            PAUSE_S * (0.5 + self._fleet.rng.random()), self.send_next
        )


def find_response_fault(attempt, headers, body):
    """Return what is wrong with a successful response, "" if nothing is."""
    request_id = attempt.request_id
    if attempt.kind != "search":
        expected = b"".join(make_records("desk", request_id))
        return (
            "" if body == expected else "response to another request, or a damaged one"
        )
    seals = headers.get(b"part-seals", b"").decode().split(", ")
    split_seals = [seal.partition(".") for seal in seals]
    if any(each != request_id for _, _, each in split_seals):
        return f"parts of another request: {seals}"
    shards = [upstream_id[:-1] for upstream_id, _, _ in split_seals]
    if len(set(shards)) != len(shards) or not set(shards) <= set(SHARDS):
        return f"duplicate or unknown shards: {seals}"
    if len(shards) + int(headers.get(b"parts-missing", 0)) != len(SHARDS):
        return f"missing parts not reported: {len(shards)} parts, {headers}"
    records = [record for shard in shards for record in make_records(shard, request_id)]
    expected_body = b"".join(sorted(records, reverse=True)[:N_RECORDS])
    return "" if body == expected_body else "not the top records of its parts"


def fetch_readiness_status(fleet, address, seconds=2.0):
    """Return the status of a node's readiness check, None without a response."""
    return request_once(fleet, address, "/api/readiness", seconds=seconds)[0]


def request_once(fleet, address, path, request_id="probe", seconds=2.0):
    """Send a request on a new connection; return status, headers and body.

    The status is None without a response within ``seconds``.
    """
    results = []
    connection = Connection(fleet.loop, address)
    data = (
        f"GET {path} HTTP/1.1\r\nHost: search.example\r\nRequest-Id: {request_id}\r\n"
        f"Deadline-Ms: {int(seconds * 1000)}\r\n\r\n"
    )
    connection.send_request(data.encode(), lambda *result: results.append(result))
    until = fleet.loop.seconds() + seconds
    while not results and fleet.loop.seconds() < until:
        fleet.loop.run_once(0.02)
    connection.close()
    return results[0][:3] if results else (None, {}, b"")
