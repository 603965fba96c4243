"""Questions between nodes, by HTTP."""

from abc import ABC, abstractmethod

from heatherpick._net.endpoints import PageServer
from heatherpick._net.upstreams import Exchange, PeerPools

__all__ = ["TIMEOUT", "HttpPeers", "Peers"]

#: Longest wait for a connection to a peer, in seconds.
CONNECT_S = 0.4
#: How the reason ends for a peer that said nothing.
TIMEOUT = "timeout"


class Peers(ABC):
    """How a node asks others and is asked."""

    @abstractmethod
    def ask(self, address, target, timeout_s, done):
        """Send a question.

        Parameters
        ----------
        address : str
            The peer, ``ip:port``.
        target : bytes
            Path and query.
        timeout_s : float
            Time in which the answer must be here, in seconds.
        done : callable
            ``done(answer, reason)``, called once; ``answer`` is None on failure, and
            ``reason`` ends with `TIMEOUT` if the peer said nothing.
        """

    @abstractmethod
    def listen(self, host, port, begin, abandon):
        """Take questions; ``begin(request)`` answers, ``abandon(request)`` forgets."""


class HttpPeers(Peers):
    """Keeps one connection to each peer that is asked.

    Parameters
    ----------
    loop : EventLoop
        Runs the connections.
    """

    def __init__(self, loop):
        self._loop = loop
        self._pools = PeerPools(loop, 1, CONNECT_S)

    def ask(self, address, target, timeout_s, done):
        """Send a question."""

        def take(_exchange, answer, _was_sent, reason):
            timer.cancel()
            done(answer, reason)

        def miss():
            exchange.cancel()
            done(None, TIMEOUT)

        data = b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (target, address.encode())
        exchange = Exchange(data, take)
        timer = self._loop.call_later(timeout_s, miss)
        self._pools[address].send(exchange)

    def listen(self, host, port, begin, abandon):
        """Take questions at an address."""
        PageServer(self._loop, {}, begin, abandon).listen(host, port)
