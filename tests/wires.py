"""Connections in memory, for tests that drive both ends by hand."""

from twisted.internet.error import ConnectionLost, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure


class MemoryTransport(StringTransport):
    """A transport of TCP that keeps what is written and closes when told."""

    def __init__(self):
        super().__init__(lenient=True)
        self.protocol = None

    def setTcpNoDelay(self, enabled):
        pass

    def setTcpKeepAlive(self, enabled):
        pass

    def getHandle(self):
        return None

    def abortConnection(self):
        if not self.disconnected:
            super().abortConnection()
            self.protocol.connectionLost(Failure(ConnectionLost()))


def attach(protocol):
    """Connect a protocol to a new transport and return the transport."""
    transport = MemoryTransport()
    transport.protocol = protocol
    protocol.makeConnection(transport)
    return transport


class Dialled:
    """The newest connection that the code under test opened."""

    def __init__(self, reactor):
        self.factory = reactor.tcpClients[-1][2]

    def refuse(self):
        self.factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))

    def accept(self):
        return attach(self.factory.buildProtocol(None))


def build_http(status, body, headers=b""):
    """Return an HTTP answer as bytes."""
    length = b"Content-Length: %d\r\n" % len(body)
    return b"HTTP/1.1 %d X\r\n" % status + headers + length + b"\r\n" + body


def make_reactor():
    """Return a reactor in memory whose clock the test advances."""
    return MemoryReactorClock()
