"""Searches between nodes: offered by one, run by another.

A search travels as the caller's own HTTP request with a few headers more. The node that
runs it says so at once by an interim answer, 102, or declines with 409. The acceptance
is confirmed by a request without a body behind the search, which has no answer.
"""

from heatherpick._net.callers import CallerConnection
from heatherpick._net.sockets import Listener
from heatherpick._net.upstreams import Exchange, PeerPools
from heatherpick._serving import events as ev

__all__ = [
    "AGE_HEADER",
    "CONFIRMED_HEADER",
    "DECLINED",
    "VERSION_HEADER",
    "SearchClient",
    "SearchServer",
]

#: Version of the routes by which the offering node chose the search's route.
VERSION_HEADER = b"x-heatherpick-routes"
#: Time that the offering node has had the search, in microseconds.
AGE_HEADER = b"x-heatherpick-age-us"
#: Tells the request that confirms an acceptance from a search.
CONFIRMED_HEADER = b"x-heatherpick-confirmed"
CONFIRMATION = b"GET /confirmed HTTP/1.1\r\n%s: 1\r\n\r\n" % CONFIRMED_HEADER
DECLINED = 409
#: Longest wait for a connection to another node, in seconds.
CONNECT_S = 0.1
#: Searches that one node has at another at a time; further ones wait and are taken
#: back if that takes long.
MAX_CONNECTIONS = 8


class _SearchConnection(CallerConnection):
    """Reads searches of another node and its confirmations."""

    __slots__ = ()

    def handle_request(self, request):
        """Serve a search; pass a confirmation on to the one that is running."""
        if CONFIRMED_HEADER not in request.by_name:
            super().handle_request(request)
        elif self._active is not None:
            self.owner.confirm(self._active)
        else:
            # The search was answered before its confirmation came.
            self._set_timeout(self.owner.limits.idle_timeout_s)


class SearchServer:
    """Takes searches of other nodes.

    Parameters
    ----------
    gateway : Gateway
        Runs them.
    """

    def __init__(self, loop, gateway):
        self._loop = loop
        self._gateway = gateway
        self.abandon = gateway.abandon
        self.forget = gateway.forget
        self.confirm = gateway.handle_confirmation

    @property
    def limits(self):
        """Limits on what another node may send: those on its callers."""
        return self._gateway.limits

    @property
    def is_stopping(self):
        """Whether connections end with their next answer."""
        return self._gateway.is_stopping

    def listen(self, host, port):
        """Take searches at an address."""
        Listener(self._loop, host, port, self._accept)

    def _accept(self, sock):
        self._gateway.add_connection(_SearchConnection(self._loop, sock, self))

    def begin(self, request):
        """Run a search that was read whole."""
        version = request.by_name.get(VERSION_HEADER, b"")
        age_us = request.by_name.get(AGE_HEADER, b"")
        if self.is_stopping or not version.isdigit() or not age_us.isdigit():
            request.respond(DECLINED, (), b"")
            return
        self._gateway.begin(request, int(version), int(age_us) / 1000.0)


class SearchClient:
    """Offers searches to other nodes.

    Parameters
    ----------
    loop : EventLoop
        Runs the connections.
    feed : callable
        Takes the events.
    id_header : bytes
        Name of the header with a request's id.
    """

    def __init__(self, loop, feed, id_header):
        self._loop = loop
        self._feed = feed
        self._id_header = id_header
        self._pools = PeerPools(loop, MAX_CONNECTIONS, CONNECT_S)
        self._exchanges = {}

    def offer(self, query, address, data):
        """Send a search, as the bytes of a request, to another node."""
        exchange = Exchange(
            data,
            self._end,
            query.request_id.encode("latin-1"),
            self._id_header,
            expects_body=query.exchange.method != b"HEAD",
            context=query,
            accepted=self._take_acceptance,
        )
        self._exchanges[query] = exchange
        self._pools[address].send(exchange)

    def confirm(self, query):
        """Tell the node that accepted a search that it alone runs it."""
        exchange = self._exchanges.get(query)
        if exchange is not None:
            exchange.add(CONFIRMATION)

    def take_back(self, query):
        """Close the connection of a search, which cancels it."""
        exchange = self._exchanges.pop(query, None)
        if exchange is not None:
            exchange.cancel()

    def _take_acceptance(self, exchange):
        self._feed(ev.HandOverAccepted(exchange.context))

    def _end(self, exchange, answer, _was_sent, reason):
        query = exchange.context
        self._exchanges.pop(query, None)
        if answer is None:
            self._feed(ev.HandOverFailed(query, reason))
        else:
            # A fault that the other node finds in a request that this one took, such as
            # a head that its headers made too long, has kept it from being begun too.
            is_declined = 400 <= answer.status < 500
            self._feed(ev.HandOverAnswered(query, answer, is_declined))
