"""Callers that keep connections open and check every answer."""

from dataclasses import dataclass

import httptools

from heatherpick._net.sockets import Stream, open_stream_socket
from tests.soak.world import N_RECORDS, SHARDS, make_records

#: How long callers wait, told to the node, and how much later an answer is a fault.
PATIENCE_MS = 1000
HELD_SLACK_S = 1.0
#: Pause between two requests of a caller, in seconds.
PAUSE_S = 0.05
#: Statuses that promise that a request has not run.
PROMISES = frozenset({408, 421, 429, 503})


@dataclass(slots=True)
class Attempt:
    """One request of a caller and what became of it."""

    request_id: str
    kind: str
    path: str
    node: object
    boot: int
    sent_at: float
    ended_at: float | None = None
    status: int | None = None
    reason: str = ""


class Connection(Stream):
    """One connection; ``done(status, headers, body, reason)`` ends a request."""

    __slots__ = ("_body", "_done", "_headers", "_parser")

    def __init__(self, loop, address):
        sock = open_stream_socket()
        sock.connect_ex(address)
        self._done = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers = {}
        self._body = b""
        super().__init__(loop, sock, is_connecting=True)

    def ask(self, data, done):
        self._done = done
        self.write(data)

    def data_received(self, data):
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._finish(None, f"not an answer: {error}")
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
        done, self._done = self._done, None
        if done is not None:
            done(status, self._headers, self._body, reason)
        elif status is not None:
            raise AssertionError(f"answer {status} without a request")


class Caller:
    """Sends one request after the other, on a kept connection while it lasts.

    Parameters
    ----------
    world : World
        The site.
    index : int
        Part of all its requests' ids.
    findings : list of str
        Takes what a caller may see of a broken promise.
    """

    def __init__(self, world, index, findings):
        self._world = world
        self._index = index
        self._findings = findings
        self._connection = None
        self._node = None
        self._boot = 0
        self._n_sent = 0
        self.attempts = []
        self.is_over = False

    def begin(self):
        """Send the next request."""
        world = self._world
        if self.is_over:
            return
        if self._connection is None or self._connection.is_closed:
            self._node = world.rng.choice(world.nodes)
            self._boot = self._node.boot
            self._connection = Connection(world.loop, self._node.callers_address)
        self._n_sent += 1
        kind = world.rng.choice(("search", "search", "order", "version"))
        path = {"search": "/find/x", "order": "/order/x"}.get(kind)
        attempt = Attempt(
            f"c{self._index}-{self._n_sent}",
            kind,
            path or world.rng.choice(world.paths),
            self._node,
            self._boot,
            world.loop.seconds(),
        )
        self.attempts.append(attempt)
        body = b"order" if kind == "order" else b""
        data = (
            f"{'POST' if body else 'GET'} {attempt.path} HTTP/1.1\r\n"
            f"Host: search.example\r\nRequest-Id: {attempt.request_id}\r\n"
            f"Deadline-Ms: {PATIENCE_MS}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self._connection.ask(
            data.encode() + body, lambda *end: self._end(attempt, *end)
        )

    def leave(self):
        """Close the connection in the middle of whatever is going on."""
        if self._connection is not None and not self._connection.is_closed:
            self._connection.close()
            attempt = self.attempts[-1]
            if attempt.ended_at is None:
                self._end(attempt, None, {}, b"", "left")

    def give_up_held(self):
        """Close a connection whose answer is overdue; nobody waits for ever."""
        attempt = self.attempts[-1] if self.attempts else None
        if attempt is None or attempt.ended_at is not None:
            return
        held_s = self._world.loop.seconds() - attempt.sent_at
        if held_s > PATIENCE_MS / 1000.0 + HELD_SLACK_S:
            self._connection.close()
            self._end(attempt, None, {}, b"", "held")

    def _end(self, attempt, status, headers, body, reason):
        attempt.ended_at = self._world.loop.seconds()
        attempt.status = status
        attempt.reason = reason
        if status == 200:
            fault = find_fault(attempt, headers, body)
            if fault:
                self._findings.append(f"{attempt.request_id}: {fault}")
        self._world.loop.call_later(
            PAUSE_S * (0.5 + self._world.rng.random()), self.begin
        )


def find_fault(attempt, headers, body):
    """Return what is wrong with a success, "" if nothing is."""
    request_id = attempt.request_id
    if attempt.kind != "search":
        expected = b"".join(make_records("desk", request_id))
        return "" if body == expected else "another request's or a broken answer"
    seals = headers.get(b"part-seals", b"").decode().split(", ")
    owners = [seal.partition(".") for seal in seals]
    if any(each != request_id for _, _, each in owners):
        return f"parts of another request: {seals}"
    shards = [upstream_id[:-1] for upstream_id, _, _ in owners]
    if len(set(shards)) != len(shards) or not set(shards) <= set(SHARDS):
        return f"parts that do not go together: {seals}"
    if len(shards) + int(headers.get(b"parts-missing", 0)) != len(SHARDS):
        return f"coverage untold: {len(shards)} parts, {headers}"
    records = [record for shard in shards for record in make_records(shard, request_id)]
    greatest = b"".join(sorted(records, reverse=True)[:N_RECORDS])
    return "" if body == greatest else "not the greatest records of its parts"


def fetch_status(world, address, seconds=2.0):
    """Return the status of a node's readiness check, None without an answer."""
    return ask_once(world, address, "/api/readiness", seconds=seconds)[0]


def ask_once(world, address, path, request_id="probe", seconds=2.0):
    """Ask on a connection of its own; return status, headers and body."""
    ends = []
    connection = Connection(world.loop, address)
    data = (
        f"GET {path} HTTP/1.1\r\nHost: search.example\r\nRequest-Id: {request_id}\r\n"
        f"Deadline-Ms: {int(seconds * 1000)}\r\n\r\n"
    )
    connection.ask(data.encode(), lambda *end: ends.append(end))
    until = world.loop.seconds() + seconds
    while not ends and world.loop.seconds() < until:
        world.loop.run_once(0.02)
    connection.close()
    return ends[0][:3] if ends else (None, {}, b"")
