"""Requests between nodes, over HTTP."""

from abc import ABC, abstractmethod

from heatherpick._net.http_client import Exchange, PeerPools
from heatherpick._net.probes import EndpointServer

__all__ = ["TIMEOUT_REASON", "HttpPeerTransport", "PeerTransport"]

#: Longest wait for a connection to a peer, in seconds.
CONNECT_TIMEOUT_S = 0.4
#: Last word of the reason when a peer did not respond in time.
TIMEOUT_REASON = "timeout"


class PeerTransport(ABC):
    """Sends requests to other nodes and receives theirs."""

    @abstractmethod
    def send_request(self, address, target, timeout_s, on_done):
        """Send a GET request to a peer.

        Parameters
        ----------
        address : str
            Address of the peer, ``ip:port``.
        target : bytes
            Path and query.
        timeout_s : float
            Longest wait for the response, in seconds.
        on_done : callable
            ``on_done(response, reason)``, called once; ``response`` is None on failure,
            and ``reason`` ends with `TIMEOUT_REASON` if the peer did not respond.
        """

    @abstractmethod
    def listen(self, host, port, handle_request, handle_disconnect):
        """Serve requests of peers at an address.

        ``handle_request(request)`` responds to a request, now or later;
        ``handle_disconnect(request)`` is called if the peer disconnects before that.
        """


class HttpPeerTransport(PeerTransport):
    """Keeps one connection to each peer that gets requests.

    Parameters
    ----------
    loop : EventLoop
        Runs the connections.
    """

    def __init__(self, loop):
        self._loop = loop
        self._pools = PeerPools(loop, 1, CONNECT_TIMEOUT_S)

    def send_request(self, address, target, timeout_s, on_done):
        """Send a GET request to a peer."""

        def handle_response(_exchange, response, _was_sent, reason):
            timer.cancel()
            on_done(response, reason)

        def handle_timeout():
            exchange.cancel()
            on_done(None, TIMEOUT_REASON)

        data = b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (target, address.encode())
        exchange = Exchange(data, handle_response)
        timer = self._loop.call_later(timeout_s, handle_timeout)
        self._pools[address].send(exchange)

    def listen(self, host, port, handle_request, handle_disconnect):
        """Serve requests of peers at an address."""
        EndpointServer(self._loop, {}, handle_request, handle_disconnect).listen(
            host, port
        )
