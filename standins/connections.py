"""A server's limit on open connections and its cost of accepting one."""

from twisted.protocols.policies import ProtocolWrapper, WrappingFactory

__all__ = ["ConnectionGate", "LimitedFactory"]


class ConnectionGate:
    """Counts connections and says how long each new one has to wait.

    The server accepts one connection at a time, so those that come together
    wait for one another.

    Parameters
    ----------
    n_connections : int
        Connections that may be open side by side.
    accept_seconds : float
        Time that it takes to accept one, in seconds.
    """

    def __init__(self, n_connections, accept_seconds):
        self.n_connections = n_connections
        self.accept_seconds = accept_seconds
        self.is_shut = False
        self.n_open = 0
        self.max_open = 0
        self.n_accepted = 0
        self.n_refused = 0
        self._free_at = 0.0

    def open(self, now):
        """Return the wait of a new connection in seconds, None to refuse it."""
        if self.is_shut or self.n_open >= self.n_connections:
            self.n_refused += 1
            return None
        self.n_open += 1
        self.n_accepted += 1
        self.max_open = max(self.max_open, self.n_open)
        self._free_at = max(self._free_at, now) + self.accept_seconds
        return self._free_at - now

    def close(self):
        """Count a connection that closed."""
        self.n_open -= 1


class _DelayedProtocol(ProtocolWrapper):
    """A connection that its server sees only after the wait for its accepting."""

    timer = None
    started = False

    def connectionMade(self):
        """Read nothing until the server has accepted the connection."""
        if not self.wait:
            self._start()
            return
        self.transport.pauseProducing()
        self.timer = self.factory.clock.callLater(self.wait, self._start)

    def connectionLost(self, reason):
        """Give the place back."""
        self.factory.gate.close()
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if self.started:
            super().connectionLost(reason)
        else:
            self.factory.unregisterProtocol(self)

    def _start(self):
        self.started = True
        super().connectionMade()
        if self.wait:
            self.transport.resumeProducing()


class LimitedFactory(WrappingFactory):
    """Server factory that passes on the connections that a gate lets in.

    Parameters
    ----------
    factory : twisted.internet.protocol.Factory
        Factory of the server behind it.
    gate : ConnectionGate
        Limit and accepting time.
    clock : twisted.internet.interfaces.IReactorTime
        Clock of the waits.
    """

    protocol = _DelayedProtocol
    noisy = False

    def __init__(self, factory, gate, clock):
        super().__init__(factory)
        self.gate = gate
        self.clock = clock

    def buildProtocol(self, addr):
        """Return the protocol of a new connection, None to close it at once."""
        wait = self.gate.open(self.clock.seconds())
        if wait is None:
            return None
        protocol = super().buildProtocol(addr)
        protocol.wait = wait
        return protocol

    def abort_all(self):
        """Close every open connection without finishing what runs on it."""
        for protocol in tuple(self.protocols):
            protocol.transport.abortConnection()
