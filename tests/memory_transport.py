"""In-memory connections, for tests that control both sides."""

from twisted.internet.error import ConnectionLost, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure


class MemoryTransport(StringTransport):
    """A TCP transport that records what is written, and closes only on request."""

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


def connect_protocol(protocol):
    """Connect a protocol to a new transport and return the transport."""
    transport = MemoryTransport()
    transport.protocol = protocol
    protocol.makeConnection(transport)
    return transport


class OutboundConnection:
    """The newest connection that the code under test has opened."""

    def __init__(self, reactor):
        self.factory = reactor.tcpClients[-1][2]

    def refuse(self):
        self.factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))

    def accept(self):
        return connect_protocol(self.factory.buildProtocol(None))


def build_http_response(status, body, headers=b""):
    """Return an HTTP response as bytes."""
    length = b"Content-Length: %d\r\n" % len(body)
    return b"HTTP/1.1 %d X\r\n" % status + headers + length + b"\r\n" + body


def make_reactor():
    """Return an in-memory reactor whose clock the test advances."""
    return MemoryReactorClock()
