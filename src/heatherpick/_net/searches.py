"""Searches that one node offers to another, which runs them.

A search is sent as the caller's HTTP request with a few additional headers. The other
node accepts it at once by the interim response 102, or declines it with 409. The
offering node confirms the acceptance by a request without a body on the same
connection, which has no response.
"""

from heatherpick._net.callers import CallerConnection
from heatherpick._net.groups import LEGS_HEADER, read_group
from heatherpick._net.header_numbers import parse_digits
from heatherpick._net.http_client import Exchange, PeerPools
from heatherpick._net.sockets import Listener
from heatherpick._serving import events as ev

__all__ = [
    "AGE_HEADER",
    "CONFIRMED_HEADER",
    "DECLINED_STATUS",
    "ROUTES_VERSION_HEADER",
    "SearchClient",
    "SearchServer",
]

#: Header with the version of the routes that the offering node used for the search.
ROUTES_VERSION_HEADER = b"x-heatherpick-routes"
#: Header with the time that the offering node has had the search, in microseconds.
AGE_HEADER = b"x-heatherpick-age-us"
#: Header that distinguishes the confirmation of an acceptance from a search.
CONFIRMED_HEADER = b"x-heatherpick-confirmed"
CONFIRMATION_REQUEST = b"GET /confirmed HTTP/1.1\r\n%s: 1\r\n\r\n" % CONFIRMED_HEADER
#: Status of the response that declines a search.
DECLINED_STATUS = 409
#: Connect timeout to another node, in seconds.
CONNECT_TIMEOUT_S = 0.1
#: Limit on concurrent searches from one node to another; further ones are queued and
#: cancelled if they wait for too long.
MAX_CONNECTIONS = 8


class _SearchConnection(CallerConnection):
    """Reads the searches and confirmations that another node sends."""

    __slots__ = ()

    def handle_request(self, request):
        """Serve a search, or apply a confirmation to the running one."""
        if CONFIRMED_HEADER not in request.by_name:
            super().handle_request(request)
        elif self._active is not None:
            self.owner.handle_confirmation(self._active)
        else:
            # The search was answered before its confirmation arrived.
            self._set_timeout(self.owner.limits.idle_timeout_s)


class SearchServer:
    """Accepts the searches that other nodes offer.

    Parameters
    ----------
    loop : EventLoop
        Runs the connections.
    gateway : Gateway
        Runs the searches.
    """

    def __init__(self, loop, gateway):
        self._loop = loop
        self._gateway = gateway
        self.handle_disconnect = gateway.handle_disconnect
        self.handle_closed = gateway.handle_closed
        self.handle_confirmation = gateway.handle_confirmation

    @property
    def limits(self):
        """Limits on what another node may send; the same as for callers."""
        return self._gateway.limits

    @property
    def is_stopping(self):
        """Whether connections are closed after their next response."""
        return self._gateway.is_stopping

    def listen(self, host, port):
        """Listen for searches at an address."""
        Listener(self._loop, host, port, self._accept)

    def _accept(self, sock):
        self._gateway.add_connection(_SearchConnection(self._loop, sock, self))

    def handle_request(self, request):
        """Run a completely read search or group of legs, or decline it.

        It is declined if this node is stopping or a header of the offer is invalid.
        """
        if LEGS_HEADER in request.by_name:
            group = None if self.is_stopping else read_group(request.by_name)
            if group is None:
                request.respond(DECLINED_STATUS, (), b"")
            else:
                self._gateway.handle_group(request, *group)
            return
        version = parse_digits(request.by_name.get(ROUTES_VERSION_HEADER))
        age_us = parse_digits(request.by_name.get(AGE_HEADER))
        if self.is_stopping or version is None or age_us is None:
            request.respond(DECLINED_STATUS, (), b"")
            return
        self._gateway.handle_request(request, version, age_us / 1000.0)


class SearchClient:
    """Offers searches to other nodes.

    Parameters
    ----------
    loop : EventLoop
        Runs the connections.
    on_event : callable
        ``on_event(event)`` receives an event for each acceptance, failure and response.
    id_header : bytes
        Lower-case name of the header with a request's id.
    """

    def __init__(self, loop, on_event, id_header):
        self._loop = loop
        self._on_event = on_event
        self._id_header = id_header
        self._pools = PeerPools(loop, MAX_CONNECTIONS, CONNECT_TIMEOUT_S)
        self._exchanges = {}

    def offer(self, query, address, request_bytes):
        """Send a search to another node.

        Parameters
        ----------
        query : Query
            The search; the events refer to it.
        address : str
            The other node, ``ip:port``.
        request_bytes : bytes
            The complete HTTP request.
        """
        exchange = Exchange(
            request_bytes,
            self._handle_outcome,
            query.request_id.encode("latin-1"),
            self._id_header,
            expects_body=query.request.method != b"HEAD",
            context=query,
            on_accepted=self._handle_acceptance,
        )
        self._exchanges[query] = exchange
        self._pools[address].send(exchange)

    def confirm(self, query):
        """Confirm to the node that accepted a search that it alone runs it."""
        exchange = self._exchanges.get(query)
        if exchange is not None:
            exchange.write(CONFIRMATION_REQUEST)

    def cancel(self, query):
        """Cancel a search by closing its connection."""
        exchange = self._exchanges.pop(query, None)
        if exchange is not None:
            exchange.cancel()

    def _handle_acceptance(self, exchange):
        self._on_event(ev.HandOverAccepted(exchange.context))

    def _handle_outcome(self, exchange, response, _was_sent, reason):
        query = exchange.context
        self._exchanges.pop(query, None)
        if response is None:
            self._on_event(ev.HandOverFailed(query, reason))
        else:
            # The other node may also reject a request that this one accepted, for
            # instance as the added headers make the head too long; the search has not
            # been started then either.
            is_declined = 400 <= response.status < 500
            self._on_event(ev.HandOverAnswered(query, response, is_declined))
