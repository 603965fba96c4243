"""Passes events of connections to the request reducer and executes its effects."""

from heatherpick._net.budgets import ReadBudget
from heatherpick._net.callers import CallerConnection
from heatherpick._net.groups import (
    GROUP_HEADERS,
    GroupClient,
    encode_answer,
    encode_group_headers,
)
from heatherpick._net.header_numbers import parse_digits
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

#: Number of nodes among which an upstream's connections are divided, and the fewest
#: that a node may open.
N_SHARING_NODES = 16
MIN_CONNECTIONS = 3
#: Largest body of a shard's response that is read, in bytes. A search holds one for
#: each shard until they are merged; those of the users' shards have 1000 bytes.
MAX_PART_BYTES = 256 * 1024
#: Most bytes that the unfinished responses of all upstreams hold together: a fifth of
#: the memory of the smallest VM.
READ_BUDGET_BYTES = 32 * 1024 * 1024
#: Interval between two removals of stale connections and lapsed upstreams, in seconds.
SWEEP_INTERVAL_S = 0.5


class Gateway:
    """Connects the reducer to callers, upstreams and other nodes.

    Parameters
    ----------
    loop : EventLoop
        Runs the connections and timers.
    reducer : RequestReducer
        Decides how each request is served.
    directory : Directory
        The upstreams; the gateway keeps a connection pool for each in use.
    header_names : HeaderNames
        Names of the HTTP headers.
    isolation : IsolationDetector
        Detects whether the node is isolated, so that other nodes serve callers better.
    log : LineLog
        Receives the log lines.
    counters : Counters
        Counts outcomes and opened connections.
    """

    def __init__(
        self, loop, reducer, directory, header_names, isolation, log, counters
    ):
        self._loop = loop
        self._reducer = reducer
        self._directory = directory
        self._header_names = header_names
        self._log = log
        self._counters = counters
        self._pools = {}
        self._read_budget = ReadBudget(READ_BUDGET_BYTES)
        self._connections = set()
        self._listener = None
        self._reserved_headers = frozenset(
            {
                header_names.timeout,
                header_names.target,
                header_names.load,
                header_names.signature,
                ROUTES_VERSION_HEADER,
                AGE_HEADER,
                CONFIRMED_HEADER,
                *GROUP_HEADERS,
            }
        )
        self._group_client = GroupClient(
            loop, self.handle_event, header_names.request_id
        )
        self._search_client = SearchClient(
            loop, self.handle_event, header_names.request_id
        )
        self._isolation = isolation
        self._is_stopping = False
        self._handlers = {
            fx.AcceptHandOver: self._accept_search,
            fx.DeclineHandOver: self._decline_search,
            fx.HandOver: self._hand_over,
            fx.ConfirmHandOver: self._confirm_hand_over,
            fx.CancelHandOver: self._cancel_hand_over,
            fx.SendGroup: self._send_group,
            fx.CancelGroup: self._cancel_group,
            fx.AnswerGroup: self._answer_group,
            fx.SendLeg: self._send_leg,
            fx.CancelLeg: self._cancel_leg,
            fx.Forward: self._forward_response,
            fx.Merge: self._send_merged_answer,
            fx.Refuse: self._refuse_request,
            fx.SetTimer: self._set_query_timer,
            fx.Report: self._write_report,
        }
        # What is done in place of an effect that raised an exception.
        self._failure_handlers = {
            fx.SendLeg: self._fail_leg,
            fx.HandOver: self._fail_hand_over,
            fx.SendGroup: self._fail_group,
            fx.Forward: self._abort_request,
            fx.Merge: self._abort_request,
            fx.Refuse: self._abort_request,
            fx.AnswerGroup: self._abort_request,
            fx.DeclineHandOver: self._abort_request,
        }
        self._exchanges = {}
        loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    @property
    def is_stopping(self):
        """Whether connections are closed after their next response."""
        return self._is_stopping or self._isolation.is_isolated(self._loop.seconds())

    def begin_stop(self, answer_by):
        """Close each connection after its last response from now on.

        Parameters
        ----------
        answer_by : float
            Time in seconds by which each request must have its final answer.
        """
        self._is_stopping = True
        self.handle_event(ev.StopBegan(answer_by))

    def end_serving(self):
        """Answer all open requests, as the node is about to exit."""
        for connection in list(self._connections):
            request = connection.active_request
            if request is not None and request.query is not None:
                self.handle_event(ev.ServingEnded(request.query))

    @property
    def limits(self):
        """Limits on callers of the current snapshot, or the defaults."""
        snapshot = self._reducer.snapshot
        return CallerLimits() if snapshot is None else snapshot.limits

    @property
    def n_active_connections(self):
        """Connections that have a request, or part of one."""
        return sum(not connection.is_idle for connection in self._connections)

    @property
    def n_connections(self):
        """Connections of callers and of other nodes."""
        return len(self._connections)

    def listen(self, host, port):
        """Accept callers at an address; return the address in use."""
        self._listener = Listener(self._loop, host, port, self._accept_connection)
        return self._listener.address

    def stop_accepting(self):
        """Accept no further connections of callers."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def close_idle_connections(self):
        """Close the connections that are not new and have no part of a request."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def handle_event(self, event):
        """Pass an event to the reducer and execute the effects.

        An effect that raises an exception costs at most the request that it is about:
        the effects behind it are executed, and a leg that could not be sent has failed.
        """
        started_at = self._loop.seconds()
        has_merged = False
        failed = []
        for effect in self._reduce(event, started_at):
            if not self._loop.call_guarded(self._handlers[type(effect)], effect):
                failed.append(effect)
            has_merged = has_merged or type(effect) is fx.Merge
        for effect in failed:
            handler = self._failure_handlers.get(type(effect))
            if handler is not None:
                handler(effect)
        if has_merged:
            elapsed_ms = (self._loop.seconds() - started_at) * 1000.0
            self._reducer.reduce(ev.AnswerWritten(elapsed_ms), self._loop.seconds())

    def _reduce(self, event, now):
        try:
            return self._reducer.reduce(event, now)
        except Exception as error:
            self._loop.report_failure(self._reducer.reduce, error)
            if event.request is None:
                return ()
            return (fx.Refuse(event.request, 500, None, "internal error"),)

    # Effects that raised an exception

    def _fail_leg(self, effect):
        exchange = self._exchanges.pop(effect.leg, None)
        was_sent = exchange is not None and exchange.connection is not None
        if exchange is not None:
            exchange.cancel()
        self.handle_event(ev.LegFailed(effect.leg, was_sent, "internal error"))

    def _fail_hand_over(self, effect):
        self._search_client.cancel(effect.query)
        self.handle_event(ev.HandOverFailed(effect.query, "internal error"))

    def _fail_group(self, effect):
        self._group_client.cancel(effect.group)
        self.handle_event(ev.GroupFailed(effect.group, True, False, "internal error"))

    def _abort_request(self, effect):
        effect.request.connection.abort()

    # Callers

    def _accept_connection(self, sock):
        self.add_connection(CallerConnection(self._loop, sock, self))

    def add_connection(self, connection):
        """Register a new connection of a caller or of another node."""
        self._connections.add(connection)

    def handle_request(self, request, peer_routes_version=None, age_ms=0.0):
        """Serve a complete request.

        Parameters
        ----------
        request : CallerRequest
            The request.
        peer_routes_version : int, optional
            Version of the routes of the node that handed it over; None for a caller.
        age_ms : float, default=0.0
            Time since that node received it.
        """
        by_name = request.by_name
        event = ev.RequestArrived(
            request,
            *self._read_names(request),
            parse_digits(by_name.get(self._header_names.timeout)),
            request.connection.estimate_network_ms()
            if peer_routes_version is None
            else 0.0,
            peer_routes_version,
            age_ms,
        )
        self.handle_event(event)

    def handle_group(self, request, upstream_ids, n_records, is_rest, wait_ms):
        """Send the legs of a group of another node; see `GroupArrived`."""
        timeout_ms = parse_digits(request.by_name.get(self._header_names.timeout))
        event = ev.GroupArrived(
            request,
            *self._read_names(request),
            upstream_ids,
            n_records,
            is_rest,
            wait_ms,
            wait_ms if timeout_ms is None else timeout_ms,
        )
        self.handle_event(event)

    def _read_names(self, request):
        """Return the host, path and id of a request."""
        by_name = request.by_name
        host = by_name.get(b"host", b"").decode("latin-1").lower().partition(":")[0]
        request_id = by_name.get(self._header_names.request_id, b"").decode("latin-1")
        return host, request.target.decode("latin-1"), request_id

    def handle_confirmation(self, request):
        """Handle the confirmation by the node that handed a search over."""
        if request.query is not None:
            self.handle_event(ev.HandOverConfirmed(request.query))

    def handle_disconnect(self, request):
        """Cancel a request whose caller has disconnected."""
        request.is_answered = True
        query, request.query = request.query, None
        if query is not None:
            self.handle_event(ev.CallerDisconnected(query))
        self._cancel_query_timer(request)

    def handle_closed(self, connection):
        """Unregister a connection that is closed."""
        self._connections.discard(connection)

    # Searches handed over by and to other nodes

    def _accept_search(self, effect):
        effect.request.send_processing()

    def _decline_search(self, effect):
        self._log.report("search declined", reason=effect.reason)
        effect.request.respond(DECLINED_STATUS, (), b"")

    def _hand_over(self, effect):
        query = effect.query
        request = query.request
        request.query = query
        # The other node must also leave the network time between the caller and this
        # node, so that time is added to the age.
        age_us = int(
            (self._loop.seconds() - query.arrived_at) * 1e6
            + query.network_reserve_ms * 1e3
        )
        data = b"%s%s: %d\r\n%s: %d\r\n%s: %d\r\n\r\n%s" % (
            request.upstream_head or self._build_upstream_head(request),
            self._header_names.timeout,
            effect.timeout_ms,
            ROUTES_VERSION_HEADER,
            query.snapshot.version,
            AGE_HEADER,
            age_us,
            request.body,
        )
        self._search_client.offer(query, effect.address, data)

    def _confirm_hand_over(self, effect):
        self._search_client.confirm(effect.query)

    def _cancel_hand_over(self, effect):
        self._search_client.cancel(effect.query)

    # Groups of legs

    def _send_group(self, effect):
        group = effect.group
        request = group.query.request
        request.query = group.query
        data = b"%s%s: %d\r\n%s\r\n%s" % (
            request.upstream_head or self._build_upstream_head(request),
            self._header_names.timeout,
            effect.timeout_ms,
            encode_group_headers(group, effect.wait_ms),
            request.body,
        )
        self._counters.count("groups_sent")
        self._group_client.send(group, data)

    def _cancel_group(self, effect):
        self._group_client.cancel(effect.group)

    def _answer_group(self, effect):
        request_id = effect.request.by_name.get(self._header_names.request_id, b"")
        headers = [
            (self._header_names.request_id, request_id),
            *encode_answer(effect.outcomes),
        ]
        self._counters.count("groups_gathered")
        self._respond(effect.request, 200, headers, effect.body)

    # Legs and responses

    def _send_leg(self, effect):
        leg = effect.leg
        query = leg.query
        request = query.request
        request.query = query
        entry = leg.upstream.entry
        data = b"%s%s: %d\r\n%s: %s\r\n\r\n%s" % (
            request.upstream_head or self._build_upstream_head(request),
            self._header_names.timeout,
            effect.timeout_ms,
            self._header_names.target,
            entry.id.encode("latin-1"),
            request.body,
        )
        exchange = Exchange(
            data,
            self._handle_leg_outcome,
            query.request_id.encode("latin-1"),
            self._header_names.request_id,
            is_id_required=True,
            is_repeatable=query.route.repeatable,
            expects_body=request.method != b"HEAD",
            context=leg,
            on_sending=self._handle_leg_sent,
            max_body_bytes=MAX_PART_BYTES
            if query.route.is_gather
            else MAX_RESPONSE_BODY_BYTES,
            excluded_connections=request.rejected_on,
        )
        self._exchanges[leg] = exchange
        if not self._find_pool(entry).send(exchange):
            self.handle_event(ev.LegQueued(leg))

    def _handle_leg_sent(self, exchange):
        self.handle_event(ev.LegSent(exchange.context))

    def _build_upstream_head(self, request):
        """Build the part of the head that all legs of a request have in common."""
        lines = [b"%s %s HTTP/1.1" % (request.method, request.target)]
        lines += [
            b"%s: %s" % pair
            for pair in request.headers
            if pair[0].lower() not in self._reserved_headers
        ]
        has_body = request.body or request.method not in (b"GET", b"HEAD", b"DELETE")
        if has_body:
            lines.append(b"Content-Length: %d" % len(request.body))
        lines.append(b"")
        request.upstream_head = b"\r\n".join(lines)
        return request.upstream_head

    def _handle_leg_outcome(self, exchange, response, was_sent, reason):
        leg = exchange.context
        self._exchanges.pop(leg, None)
        if response is None:
            self._counters.count("legs_failed")
            self.handle_event(ev.LegFailed(leg, was_sent, reason))
            return
        by_name = response.by_name
        if b"content-encoding" in by_name:
            self.handle_event(ev.LegFailed(leg, True, "encoded body"))
            return
        is_other_upstream = response.status == 421
        is_unexecuted = is_other_upstream or self._header_names.unexecuted in by_name
        if is_unexecuted:
            leg.query.request.record_rejection(response.connection)
        event = ev.LegAnswered(
            leg,
            response.status,
            by_name.get(self._header_names.signature, b""),
            is_unexecuted,
            is_other_upstream,
            _parse_load(by_name.get(self._header_names.load)),
            response,
            response.body,
        )
        self.handle_event(event)

    def _cancel_leg(self, effect):
        exchange = self._exchanges.pop(effect.leg, None)
        if exchange is not None:
            exchange.cancel()

    def _forward_response(self, effect):
        response = effect.response
        self._respond(effect.request, response.status, response.headers, response.body)

    def _send_merged_answer(self, effect):
        header_names = self._header_names
        request_id = effect.request.by_name.get(header_names.request_id, b"")
        headers = [
            (header_names.request_id, request_id),
            (header_names.part_signatures, b", ".join(effect.signatures)),
            (header_names.n_missing, b"%d" % effect.n_missing),
        ]
        self._respond(effect.request, 200, headers, effect.body)

    def _refuse_request(self, effect):
        headers = []
        if effect.retry_after_s is not None:
            headers.append((b"Retry-After", b"%.3f" % effect.retry_after_s))
        self._respond(effect.request, effect.status, headers, effect.reason.encode())

    def _respond(self, request, status, headers, body):
        self._cancel_query_timer(request)
        # Request and query refer to each other; without this only the cyclic garbage
        # collector would free them.
        request.query = None
        request.respond(status, headers, body)

    def _set_query_timer(self, effect):
        query = effect.query
        request = query.request
        request.query = query
        self._cancel_query_timer(request)
        request.timer = self._loop.call_at(effect.at, self._handle_query_timer, query)

    def _handle_query_timer(self, query):
        query.request.timer = None
        self.handle_event(ev.TimerExpired(query))

    def _cancel_query_timer(self, request):
        if request.timer is not None:
            request.timer.cancel()
            request.timer = None

    def _write_report(self, effect):
        fields = effect.fields
        if "route" in fields:
            self._counters.record_request(
                fields["route"], fields["outcome"], fields["ms"]
            )
        self._log.report(effect.message, **fields)

    # Upstreams

    def _find_pool(self, entry):
        """Return the pool of an upstream; a new one if its address has changed."""
        pool = self._pools.get(entry.id)
        if pool is None or (pool.host, pool.port) != (entry.host, entry.port):
            pool = ConnectionPool(
                self._loop,
                entry.host,
                entry.port,
                self._compute_connection_limit(entry),
                budget=self._read_budget,
            )
            self._pools[entry.id] = pool
        return pool

    def _compute_connection_limit(self, entry):
        snapshot = self._reducer.snapshot
        service = None if snapshot is None else snapshot.services.get(entry.service)
        if service is None:
            return MIN_CONNECTIONS
        return max(MIN_CONNECTIONS, service.max_connections // N_SHARING_NODES)

    def _sweep(self):
        self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self._directory.drop_lapsed(self._loop.seconds())
        for upstream_id, pool in list(self._pools.items()):
            upstream = self._directory.get(upstream_id)
            if upstream is None or upstream.entry.is_draining:
                pool.close()
                if not pool.n_open:
                    self._counters.count("connections_opened", pool.n_opened)
                    del self._pools[upstream_id]
            else:
                pool.close_stale()


def _parse_load(text):
    """Return running, waiting and slots; None if the header is missing or invalid."""
    if text is None:
        return None
    numbers = tuple(parse_digits(part) for part in text.split(b","))
    return numbers if len(numbers) == 3 and None not in numbers else None
