"""Connections between nodes: length-prefixed frames, and `Hello` first both ways."""

import socket
from random import Random

from twisted.application.internet import ClientService
from twisted.internet.protocol import Factory
from twisted.protocols.basic import Int32StringReceiver

from heatherpick._core.effects import DropPeer, OpenPeer, SendPeer
from heatherpick._core.events import PeerConnected, PeerHello, PeerLost, PeerMessage
from heatherpick._core.messages import Hello
from heatherpick._shell.addresses import build_endpoint
from heatherpick._shell.codec import MAX_FRAME_BYTES, decode_message, encode_message
from heatherpick.errors import FrameError, InvalidArgument

__all__ = ["PeerConnections"]

#: Seconds to wait for a connection, and then for the other side's `Hello`.
CONNECT_TIMEOUT_S = 1.0
HELLO_TIMEOUT_S = 2.0
#: Seconds before the first and the slowest attempt to connect again.
BASE_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0
#: Bytes that may wait on a link whose other side reads too slowly.
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
#: Milliseconds that sent bytes may stay unacknowledged. Without this bound the
#: system's own retry times, minutes long, would outlast a healed partition.
UNACKED_TIMEOUT_MS = 3000
#: Seconds of silence before the system probes an idle connection.
KEEPALIVE_IDLE_S = 10


class _PeerProtocol(Int32StringReceiver):
    """One connection to another node, whichever side opened it.

    Parameters
    ----------
    peers : PeerConnections
        Owner of the connection.
    """

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, connections):
        self.hello = None
        self._connections = connections
        self._is_closed = False
        self._is_paused = False
        self._n_buffered_bytes = 0
        self._hello_timer = None

    def connectionMade(self):
        """Say `Hello` and wait for the other side's."""
        _configure_socket(self.transport)
        self.transport.registerProducer(self, True)
        self._hello_timer = self._connections.clock.callLater(
            HELLO_TIMEOUT_S, self.reject, "no hello"
        )
        self.sendString(self._connections.hello_frame)

    def stringReceived(self, frame):
        """Decode one frame and pass it on; reject the connection if it is bad."""
        if self._is_closed:
            return
        try:
            self._dispatch_message(decode_message(frame))
        except FrameError as error:
            self.reject("bad frame", str(error))

    def lengthLimitExceeded(self, length):
        """Reject a frame that states a length above the limit."""
        self.reject("oversize frame", f"{length} bytes")

    def connectionLost(self, reason):
        """Stop using the connection."""
        self._is_closed = True
        self._stop_hello_timer()
        self.handle_disconnect()

    def reject(self, cause, detail=""):
        """Close the connection at once, count the cause and stay up."""
        if self._is_closed:
            return
        self._is_closed = True
        self._connections.count("peer_rejected", cause)
        self._connections.report("peer rejected", cause=cause, detail=detail)
        self.transport.abortConnection()

    def send_frame(self, frame):
        """Send a frame, or give the connection up when too much waits on it."""
        if self._is_closed:
            return
        if self._is_paused:
            self._n_buffered_bytes += len(frame)
        if self._n_buffered_bytes > MAX_BUFFERED_BYTES:
            self.reject("slow reader")
            return
        self.sendString(frame)

    def pauseProducing(self):
        """Start to count the bytes that wait, as the transport is full."""
        self._is_paused = True
        self._n_buffered_bytes = 0

    def resumeProducing(self):
        """Stop counting, as the transport is empty again."""
        self._is_paused = False
        self._n_buffered_bytes = 0

    def stopProducing(self):
        """Do nothing: `connectionLost` follows."""

    def _dispatch_message(self, message):
        if self.hello is not None:
            self.handle_message(message)
            return
        if type(message) is not Hello:
            raise FrameError(f"{type(message).__name__} before Hello")
        self._stop_hello_timer()
        self.hello = message
        self.handle_hello()

    def _stop_hello_timer(self):
        if self._hello_timer is not None and self._hello_timer.active():
            self._hello_timer.cancel()


class _InboundProtocol(_PeerProtocol):
    """A connection that another node opened; its messages arrive here."""

    def handle_hello(self):
        """Make the sender known."""
        self._connections.register_inbound(self)

    def handle_message(self, message):
        """Pass a message on under the name of the sender's `Hello`."""
        if type(message) is Hello:
            raise FrameError("Hello twice")
        self._connections.feed(PeerMessage(self.hello.node, message))

    def handle_disconnect(self):
        """Tell that the sender is gone, unless it has connected again."""
        self._connections.unregister_inbound(self)


class _OutboundProtocol(_PeerProtocol):
    """A connection that this node opened; messages only leave here."""

    def __init__(self, connections, link):
        super().__init__(connections)
        self._link = link

    def handle_hello(self):
        """Make the link ready if the right node answered."""
        if self.hello.node != self._link.node:
            raise FrameError(
                f"{self._link.address} is {self.hello.node!r}, not {self._link.node!r}"
            )
        self._link.attach_protocol(self)

    def handle_message(self, message):
        """Reject any message, as answers come on the peer's own connection."""
        raise FrameError(f"{type(message).__name__} on a connection for sending")

    def handle_disconnect(self):
        """Make the link unready."""
        self._link.detach_protocol(self)


class _Link:
    """The kept connection to one peer, opened again whenever it breaks."""

    def __init__(self, connections, node, address):
        self.node = node
        self.address = address
        self._connections = connections
        self._protocol = None
        self._n_failures = 0
        factory = Factory.forProtocol(lambda: _OutboundProtocol(connections, self))
        factory.noisy = False
        self._service = ClientService(
            build_endpoint(connections.reactor, address, CONNECT_TIMEOUT_S),
            factory,
            retryPolicy=self._compute_retry_delay_s,
            clock=connections.clock,
        )

    def open(self):
        """Start connecting."""
        self._service.startService()

    def close(self):
        """Close the connection, after what was sent on it, for good."""
        self._protocol = None
        self._service.stopService()

    def send_frame(self, frame):
        """Send a frame and return whether the link was ready for it."""
        if self._protocol is None:
            return False
        self._protocol.send_frame(frame)
        return True

    def attach_protocol(self, protocol):
        """Use a connection whose other side has said `Hello`."""
        self._protocol = protocol
        self._n_failures = 0
        hello = protocol.hello
        self._connections.feed(
            PeerConnected(hello.node, hello.incarnation, hello.data_centre)
        )

    def detach_protocol(self, protocol):
        """Stop using a connection that closed."""
        if self._protocol is protocol:
            self._protocol = None

    def _compute_retry_delay_s(self, _n_attempts):
        # The count of the service starts again with each accepted connection. A
        # peer that accepts and then rejects would be dialled without any pause.
        self._n_failures += 1
        self._connections.feed(PeerLost(self.node))
        max_delay_s = min(
            MAX_RETRY_DELAY_S, BASE_RETRY_DELAY_S * 2 ** min(self._n_failures, 16)
        )
        return max_delay_s * (0.5 + 0.5 * self._connections.random.random())


class PeerConnections:
    """All connections between this node and others.

    Parameters
    ----------
    feed : callable
        Takes an event.
    hello : Hello
        What this node says first on every connection.
    reactor : IReactorTCP and IReactorTime
        Opens connections and keeps the time.
    count : callable
        ``count(name, label)`` adds one to a counter.
    report : callable
        ``report(message, **fields)`` writes to the log.
    seed : int
        Seed of the spread of reconnections.
    """

    def __init__(self, feed, hello, reactor, count, report, seed):
        self.feed = feed
        self.reactor = reactor
        self.clock = reactor
        self.count = count
        self.report = report
        self.random = Random(seed)
        self.hello_frame = encode_message(hello)
        self._hello = hello
        self._links = {}
        self._inbound = {}

    @property
    def effect_handlers(self):
        """Dict of effect type to the method that carries it out."""
        return {
            OpenPeer: self._open_link,
            DropPeer: self._drop_link,
            SendPeer: self._send_message,
        }

    def build_factory(self):
        """Return the factory of connections that other nodes open."""
        factory = Factory.forProtocol(lambda: _InboundProtocol(self))
        factory.noisy = False
        return factory

    def close(self):
        """Close every link, after what was sent on it."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def register_inbound(self, protocol):
        """Know a sender; an older connection of the same name is closed."""
        hello = protocol.hello
        previous = self._inbound.get(hello.node)
        self._inbound[hello.node] = protocol
        if previous is not None:
            previous.reject("replaced")
        self.feed(
            PeerHello(hello.node, hello.incarnation, hello.data_centre, hello.address)
        )

    def unregister_inbound(self, protocol):
        """Forget a sender whose newest connection closed."""
        if protocol.hello is None:
            return
        node = protocol.hello.node
        if self._inbound.get(node) is protocol:
            del self._inbound[node]
            self.feed(PeerLost(node, inbound=True))

    def _open_link(self, effect):
        if effect.node == self._hello.node:
            self._connect_to_self()
            return
        link = self._links.get(effect.node)
        if link is not None:
            if link.address == effect.address:
                return
            link.close()
        try:
            link = _Link(self, effect.node, effect.address)
        except InvalidArgument as error:
            self._links.pop(effect.node, None)
            self.report("peer address unusable", node=effect.node, error=str(error))
            self.feed(PeerLost(effect.node))
            return
        self._links[effect.node] = link
        link.open()

    def _connect_to_self(self):
        hello = self._hello
        self.feed(PeerConnected(hello.node, hello.incarnation, hello.data_centre))
        self.feed(
            PeerHello(hello.node, hello.incarnation, hello.data_centre, hello.address)
        )

    def _drop_link(self, effect):
        link = self._links.pop(effect.node, None)
        if link is not None:
            link.close()

    def _send_message(self, effect):
        if effect.node == self._hello.node:
            self.feed(PeerMessage(effect.node, effect.message))
            return
        link = self._links.get(effect.node)
        frame = encode_message(effect.message)
        if link is None or not link.send_frame(frame):
            self.count("peer_unsent", type(effect.message).__name__)


def _configure_socket(transport):
    """Send small frames at once and notice a vanished peer."""
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    if not isinstance(handle, socket.socket):
        return
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
