"""Carries out what the reducer of requests decides."""

from heatherpick._net.budgets import ReadBudget
from heatherpick._net.callers import CallerConnection
from heatherpick._net.http_client import (
    MAX_RESPONSE_BODY_BYTES,
    ConnectionPool,
    Exchange,
)
from heatherpick._net.searches import (
    AGE_HEADER,
    CONFIRMED_HEADER,
    DECLINED_STATUS,
    ROUTES_VERSION_HEADER,
    SearchClient,
)
from heatherpick._net.sockets import Listener
from heatherpick._serving import effects as fx
from heatherpick._serving import events as ev
from heatherpick._serving.model import CallerLimits

__all__ = ["Gateway"]

#: Nodes among which an upstream's connections are divided, and the least that each has.
N_NODES_ASSUMED = 16
LEAST_CONNECTIONS = 3
#: Largest body of a shard's part that is read, in bytes. A search holds one of each
#: shard until it is merged; the users' parts have a thousand bytes.
MAX_PART_BYTES = 256 * 1024
#: Most that unfinished answers of all upstreams hold together, in bytes: a fifth of the
#: memory of the smallest VM.
LEGS_BUDGET_BYTES = 32 * 1024 * 1024
#: Pause between two looks at idle connections and lapsed upstreams, in seconds.
SWEEP_S = 0.5


class Gateway:
    """Callers on one side, upstreams on the other, the reducer between them.

    Parameters
    ----------
    loop : EventLoop
        Runs everything.
    reducer : RequestReducer
        Decides.
    directory : Directory
        The upstreams, for what outlives one request.
    dialect : HeaderNames
        Names of headers.
    reach : IsolationDetector
        Tells whether callers are better served elsewhere.
    log : LineLog
        Takes the reports.
    counters : Counters
        Takes the outcomes.
    """

    def __init__(self, loop, reducer, directory, dialect, reach, log, counters):
        self._loop = loop
        self._reducer = reducer
        self._directory = directory
        self._dialect = dialect
        self._log = log
        self._counters = counters
        self._pools = {}
        self._budget = ReadBudget(LEGS_BUDGET_BYTES)
        self._connections = set()
        self._listener = None
        self._reserved = frozenset(
            {
                dialect.timeout,
                dialect.target,
                dialect.load,
                dialect.signature,
                ROUTES_VERSION_HEADER,
                AGE_HEADER,
                CONFIRMED_HEADER,
            }
        )
        self._searches = SearchClient(loop, self.feed, dialect.request_id)
        self._reach = reach
        self._is_stopping = False
        self._carriers = {
            fx.AcceptHandOver: self._accept_search,
            fx.DeclineHandOver: self._decline_search,
            fx.HandOver: self._hand_over,
            fx.ConfirmHandOver: self._confirm,
            fx.CancelHandOver: self._take_back,
            fx.SendLeg: self._send_leg,
            fx.CancelLeg: self._cancel_leg,
            fx.Forward: self._forward,
            fx.Merge: self._merge,
            fx.Refuse: self._refuse,
            fx.SetTimer: self._wake,
            fx.Report: self._report,
        }
        self._exchanges = {}
        loop.call_later(SWEEP_S, self._sweep)

    @property
    def is_stopping(self):
        """Whether connections end with their next answer."""
        return self._is_stopping or self._reach.is_isolated(self._loop.seconds())

    def begin_stop(self):
        """End each connection with its next answer from now on."""
        self._is_stopping = True

    @property
    def limits(self):
        """Limits on callers in force."""
        snapshot = self._reducer.snapshot
        return CallerLimits() if snapshot is None else snapshot.limits

    @property
    def n_active(self):
        """Requests without an answer."""
        return sum(not connection.is_idle for connection in self._connections)

    @property
    def n_connections(self):
        """Connections of callers."""
        return len(self._connections)

    def listen(self, host, port):
        """Accept callers at an address."""
        self._listener = Listener(self._loop, host, port, self._accept)
        return self._listener.address

    def stop_accepting(self):
        """Accept no further callers."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def close_idle(self):
        """Close the connections on which nothing of a request is at hand."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def feed(self, event):
        """Give an event to the reducer and carry out what it decides."""
        began = self._loop.seconds()
        has_merged = False
        for effect in self._reducer.reduce(event, began):
            self._carriers[type(effect)](effect)
            has_merged = has_merged or type(effect) is fx.Merge
        if has_merged:
            elapsed_ms = (self._loop.seconds() - began) * 1000.0
            self._reducer.reduce(ev.AnswerWritten(elapsed_ms), self._loop.seconds())

    # Callers

    def _accept(self, sock):
        self.adopt(CallerConnection(self._loop, sock, self))

    def adopt(self, connection):
        """Take note of a new connection, of a caller or of another node."""
        self._connections.add(connection)

    def begin(self, request, peer_version=None, age_ms=0.0):
        """Serve a request that was read whole.

        Parameters
        ----------
        request : CallerRequest
            The request.
        peer_version : int, optional
            Version of the routes by which another node hands it over.
        age_ms : float, default=0.0
            Time that the other node has had it.
        """
        by_name = request.by_name
        host = by_name.get(b"host", b"").decode("latin-1").lower().partition(":")[0]
        request_id = by_name.get(self._dialect.request_id, b"").decode("latin-1")
        event = ev.RequestArrived(
            request,
            host,
            request.target.decode("latin-1"),
            request_id,
            _read_number(by_name.get(self._dialect.timeout)),
            request.connection.measure_way() if peer_version is None else 0.0,
            peer_version,
            age_ms,
        )
        self.feed(event)

    def note_confirmed(self, request):
        """Take note that the node that handed a search over has seen its acceptance."""
        if request.query is not None:
            self.feed(ev.HandOverConfirmed(request.query))

    def abandon(self, request):
        """Give up a request whose caller has left."""
        request.is_answered = True
        query, request.query = request.query, None
        if query is not None:
            self.feed(ev.CallerDisconnected(query))
        self._stop_timer(request)

    def forget(self, connection):
        """Take note that a caller's connection is gone."""
        self._connections.discard(connection)

    # Searches of other nodes, and at other nodes

    def _accept_search(self, effect):
        effect.exchange.accept()

    def _decline_search(self, effect):
        self._log.report("search declined", reason=effect.reason)
        effect.exchange.answer(DECLINED_STATUS, (), b"")

    def _hand_over(self, effect):
        query = effect.query
        request = query.exchange
        request.query = query
        # The other node leaves what the way to the caller takes from here on, too.
        age_us = int(
            (self._loop.seconds() - query.arrived_at) * 1e6
            + query.network_reserve_ms * 1e3
        )
        data = b"%s%s: %d\r\n%s: %d\r\n%s: %d\r\n\r\n%s" % (
            request.head or self._build_head(request),
            self._dialect.timeout,
            effect.timeout_ms,
            ROUTES_VERSION_HEADER,
            query.snapshot.version,
            AGE_HEADER,
            age_us,
            request.body,
        )
        self._searches.offer(query, effect.address, data)

    def _confirm(self, effect):
        self._searches.confirm(effect.query)

    def _take_back(self, effect):
        self._searches.cancel(effect.query)

    # Effects

    def _send_leg(self, effect):
        leg = effect.leg
        query = leg.query
        request = query.exchange
        request.query = query
        entry = leg.upstream.entry
        data = b"%s%s: %d\r\n%s: %s\r\n\r\n%s" % (
            request.head or self._build_head(request),
            self._dialect.timeout,
            effect.timeout_ms,
            self._dialect.target,
            entry.id.encode("latin-1"),
            request.body,
        )
        exchange = Exchange(
            data,
            self._end_leg,
            query.request_id.encode("latin-1"),
            self._dialect.request_id,
            query.route.repeatable,
            request.method != b"HEAD",
            leg,
            self._note_left,
            max_body_bytes=MAX_PART_BYTES
            if query.route.is_gather
            else MAX_RESPONSE_BODY_BYTES,
        )
        self._exchanges[leg] = exchange
        if not self._find_pool(entry).send(exchange):
            self.feed(ev.LegQueued(leg))

    def _note_left(self, exchange):
        self.feed(ev.LegSent(exchange.context))

    def _build_head(self, request):
        lines = [b"%s %s HTTP/1.1" % (request.method, request.target)]
        lines += [
            b"%s: %s" % pair
            for pair in request.headers
            if pair[0].lower() not in self._reserved
        ]
        has_body = request.body or request.method not in (b"GET", b"HEAD", b"DELETE")
        if has_body:
            lines.append(b"Content-Length: %d" % len(request.body))
        lines.append(b"")
        request.head = b"\r\n".join(lines)
        return request.head

    def _end_leg(self, exchange, answer, was_sent, reason):
        leg = exchange.context
        self._exchanges.pop(leg, None)
        if answer is None:
            self._counters.count("legs_failed")
            self.feed(ev.LegFailed(leg, was_sent, reason))
            return
        by_name = answer.by_name
        if b"content-encoding" in by_name:
            self.feed(ev.LegFailed(leg, True, "encoded body"))
            return
        is_other = answer.status == 421
        event = ev.LegAnswered(
            leg,
            answer.status,
            by_name.get(self._dialect.signature, b""),
            is_other or self._dialect.unexecuted in by_name,
            is_other,
            _read_load(by_name.get(self._dialect.load)),
            answer,
            answer.body,
        )
        self.feed(event)

    def _cancel_leg(self, effect):
        exchange = self._exchanges.pop(effect.leg, None)
        if exchange is not None:
            exchange.cancel()

    def _forward(self, effect):
        answer = effect.answer
        self._answer(effect.exchange, answer.status, answer.headers, answer.body)

    def _merge(self, effect):
        dialect = self._dialect
        request_id = effect.exchange.by_name.get(dialect.request_id, b"")
        headers = [
            (dialect.request_id, request_id),
            (dialect.part_signatures, b", ".join(effect.signatures)),
            (dialect.n_missing, b"%d" % effect.n_missing),
        ]
        self._answer(effect.exchange, 200, headers, effect.body)

    def _refuse(self, effect):
        headers = []
        if effect.retry_after_s is not None:
            headers.append((b"Retry-After", b"%.3f" % effect.retry_after_s))
        self._answer(effect.exchange, effect.status, headers, effect.reason.encode())

    def _answer(self, request, status, headers, body):
        self._stop_timer(request)
        # The two refer to each other; without this only the collector frees them.
        request.query = None
        request.answer(status, headers, body)

    def _wake(self, effect):
        query = effect.query
        request = query.exchange
        request.query = query
        self._stop_timer(request)
        request.timer = self._loop.call_at(effect.at, self._look_at_time, query)

    def _look_at_time(self, query):
        query.exchange.timer = None
        self.feed(ev.TimerExpired(query))

    def _stop_timer(self, request):
        if request.timer is not None:
            request.timer.cancel()
            request.timer = None

    def _report(self, effect):
        fields = effect.fields
        if "route" in fields:
            self._counters.note_request(
                fields["route"], fields["outcome"], fields["ms"]
            )
        self._log.report(effect.message, **fields)

    # Upstreams

    def _find_pool(self, entry):
        pool = self._pools.get(entry.id)
        if pool is None or (pool.host, pool.port) != (entry.host, entry.port):
            pool = ConnectionPool(
                self._loop,
                entry.host,
                entry.port,
                self._share_connections(entry),
                budget=self._budget,
            )
            self._pools[entry.id] = pool
        return pool

    def _share_connections(self, entry):
        snapshot = self._reducer.snapshot
        service = None if snapshot is None else snapshot.services.get(entry.service)
        if service is None:
            return LEAST_CONNECTIONS
        return max(LEAST_CONNECTIONS, service.max_connections // N_NODES_ASSUMED)

    def _sweep(self):
        self._loop.call_later(SWEEP_S, self._sweep)
        self._directory.expire(self._loop.seconds())
        for upstream_id, pool in list(self._pools.items()):
            upstream = self._directory.get(upstream_id)
            if upstream is None or upstream.entry.is_draining:
                pool.close()
                if not pool.n_open:
                    self._counters.count("connections_opened", pool.n_opened)
                    del self._pools[upstream_id]
            else:
                pool.close_stale()


def _read_number(text):
    if text is None:
        return None
    text = text.strip()
    return float(text) if text.isdigit() else None


def _read_load(text):
    if text is None:
        return None
    parts = text.split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    return tuple(int(part) for part in parts)
