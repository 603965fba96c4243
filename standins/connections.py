"""Limit on a server's open connections, and the time to accept each of them."""

from twisted.protocols.policies import ProtocolWrapper, WrappingFactory

__all__ = ["ConnectionLimiter", "LimitedFactory"]


class ConnectionLimiter:
    """Counts connections, and computes the delay before each new one is accepted.

    The server accepts one connection at a time, so connections that arrive together
    are accepted one after another.

    Parameters
    ----------
    limit : int
        Largest number of open connections.
    accept_s : float
        Time to accept one connection, in seconds.

    Attributes
    ----------
    is_refusing : bool
        Whether every new connection is refused.
    n_open, peak_open : int
        Open connections now, and the largest number so far.
    n_accepted, n_refused : int
        Connections accepted and refused so far.
    """

    def __init__(self, limit, accept_s):
        self.limit = limit
        self.accept_s = accept_s
        self.is_refusing = False
        self.n_open = 0
        self.peak_open = 0
        self.n_accepted = 0
        self.n_refused = 0
        self._idle_at = 0.0

    def admit(self, now):
        """Return the delay before a new connection is accepted, None to refuse it.

        Both ``now`` and the delay are in seconds.
        """
        if self.is_refusing or self.n_open >= self.limit:
            self.n_refused += 1
            return None
        self.n_open += 1
        self.n_accepted += 1
        self.peak_open = max(self.peak_open, self.n_open)
        self._idle_at = max(self._idle_at, now) + self.accept_s
        return self._idle_at - now

    def release(self):
        """Count a connection as closed."""
        self.n_open -= 1


class _DelayedProtocol(ProtocolWrapper):
    """A connection that the wrapped server sees only after the accept delay."""

    timer = None
    is_accepted = False

    def connectionMade(self):
        """Read nothing until the server has accepted the connection."""
        if not self.accept_delay_s:
            self._accept()
            return
        self.transport.pauseProducing()
        self.timer = self.factory.clock.callLater(self.accept_delay_s, self._accept)

    def connectionLost(self, reason):
        """Release the connection, accepted or not."""
        self.factory.limiter.release()
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if self.is_accepted:
            super().connectionLost(reason)
        else:
            self.factory.unregisterProtocol(self)

    def _accept(self):
        self.is_accepted = True
        super().connectionMade()
        if self.accept_delay_s:
            self.transport.resumeProducing()


class LimitedFactory(WrappingFactory):
    """Server factory that applies a `ConnectionLimiter`.

    Parameters
    ----------
    factory : twisted.internet.protocol.Factory
        Factory of the wrapped server.
    limiter : ConnectionLimiter
        Connection limit and accept time.
    clock : twisted.internet.interfaces.IReactorTime
        Clock of the accept delays.
    """

    protocol = _DelayedProtocol
    noisy = False

    def __init__(self, factory, limiter, clock):
        super().__init__(factory)
        self.limiter = limiter
        self.clock = clock

    def buildProtocol(self, addr):
        """Return the protocol of a new connection, None to close it at once."""
        accept_delay_s = self.limiter.admit(self.clock.seconds())
        if accept_delay_s is None:
            return None
        protocol = super().buildProtocol(addr)
        protocol.accept_delay_s = accept_delay_s
        return protocol

    def abort_all(self):
        """Close every open connection without finishing the requests on it."""
        for protocol in tuple(self.protocols):
            protocol.transport.abortConnection()
