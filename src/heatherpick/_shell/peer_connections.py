"""Connections between nodes: length-prefixed frames, after a `Hello` from each side.

A node sends messages only on connections that it opened, and receives them only on
connections that the peer opened.
"""

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

#: Timeouts of a connection attempt, and then of the other side's `Hello`, in seconds.
CONNECT_TIMEOUT_S = 1.0
HELLO_TIMEOUT_S = 2.0
#: Base and maximum delay of the exponential backoff of reconnections, in seconds.
BASE_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0
#: Maximum bytes buffered on a connection while the other side reads too slowly.
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
#: Milliseconds for which sent data may stay unacknowledged (TCP_USER_TIMEOUT). Without
#: it, the kernel's retransmission backoff, minutes long, would keep a connection
#: stalled after a network partition has healed.
UNACKED_TIMEOUT_MS = 3000
#: Seconds of inactivity after which the kernel sends keep-alive probes.
KEEPALIVE_IDLE_S = 10


class _PeerProtocol(Int32StringReceiver):
    """A connection to another node, opened by either side.

    Parameters
    ----------
    connections : PeerConnections
        Owner of this connection.
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
        """Send `Hello` and start the timeout for the other side's."""
        _configure_socket(self.transport)
        self.transport.registerProducer(self, True)
        self._hello_timer = self._connections.clock.callLater(
            HELLO_TIMEOUT_S, self.reject, "no hello"
        )
        self.sendString(self._connections.hello_frame)

    def stringReceived(self, frame):
        """Decode and dispatch a frame; reject the connection if it is invalid."""
        if self._is_closed:
            return
        try:
            self._dispatch_message(decode_message(frame))
        except FrameError as error:
            self.reject("bad frame", str(error))

    def lengthLimitExceeded(self, length):
        """Reject the connection, as a frame's length prefix exceeds the limit."""
        self.reject("oversize frame", f"{length} bytes")

    def connectionLost(self, reason):
        """Mark the connection as closed and notify the subclass."""
        self._is_closed = True
        self._stop_hello_timer()
        self.handle_disconnect()

    def reject(self, cause, detail=""):
        """Abort the connection, and count and log the cause."""
        if self._is_closed:
            return
        self._is_closed = True
        self._connections.count("peer_rejected", cause)
        self._connections.report("peer rejected", cause=cause, detail=detail)
        self.transport.abortConnection()

    def send_frame(self, frame):
        """Send a frame; reject the connection if too many bytes are buffered."""
        if self._is_closed:
            return
        if self._is_paused:
            self._n_buffered_bytes += len(frame)
        if self._n_buffered_bytes > MAX_BUFFERED_BYTES:
            self.reject("slow reader")
            return
        self.sendString(frame)

    def pauseProducing(self):
        """Start counting buffered bytes, as the transport's buffer is full."""
        self._is_paused = True
        self._n_buffered_bytes = 0

    def resumeProducing(self):
        """Stop counting, as the transport's buffer is empty again."""
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
    """A connection opened by another node, on which its messages arrive."""

    def handle_hello(self):
        """Register the connection under the sender's name."""
        self._connections.register_inbound(self)

    def handle_message(self, message):
        """Pass a message to the reducer with the node name of the sender's `Hello`."""
        if type(message) is Hello:
            raise FrameError("duplicate Hello")
        self._connections.feed(PeerMessage(self.hello.node, message))

    def handle_disconnect(self):
        """Unregister the connection, unless a newer one has replaced it."""
        self._connections.unregister_inbound(self)


class _OutboundProtocol(_PeerProtocol):
    """A connection opened by this node, on which it only sends messages."""

    def __init__(self, connections, link):
        super().__init__(connections)
        self._link = link

    def handle_hello(self):
        """Attach this connection to its link if the peer has the expected name."""
        if self.hello.node != self._link.node:
            raise FrameError(
                f"{self._link.address} is {self.hello.node!r}, not {self._link.node!r}"
            )
        self._link.attach_protocol(self)

    def handle_message(self, message):
        """Reject any message, as the peer sends on its own connection."""
        raise FrameError(f"{type(message).__name__} received on an outbound connection")

    def handle_disconnect(self):
        """Detach this connection from its link."""
        self._link.detach_protocol(self)


class _Link:
    """A persistent connection to a peer, with automatic reconnection."""

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
        """Close the connection after buffered data is sent, and stop reconnecting."""
        self._protocol = None
        self._service.stopService()

    def send_frame(self, frame):
        """Send a frame; return False if the handshake is not complete."""
        if self._protocol is None:
            return False
        self._protocol.send_frame(frame)
        return True

    def attach_protocol(self, protocol):
        """Send on this connection from now on, as its handshake is complete."""
        self._protocol = protocol
        self._n_failures = 0
        hello = protocol.hello
        self._connections.feed(
            PeerConnected(hello.node, hello.incarnation, hello.data_centre)
        )

    def detach_protocol(self, protocol):
        """Stop sending on a connection that closed."""
        if self._protocol is protocol:
            self._protocol = None

    def _compute_retry_delay_s(self, _n_attempts):
        # `ClientService` resets its attempt count with each accepted connection, so a
        # peer that accepts and then rejects would be dialled again without a delay.
        self._n_failures += 1
        self._connections.feed(PeerLost(self.node))
        max_delay_s = min(
            MAX_RETRY_DELAY_S, BASE_RETRY_DELAY_S * 2 ** min(self._n_failures, 16)
        )
        return max_delay_s * (0.5 + 0.5 * self._connections.random.random())


class PeerConnections:
    """All connections between this node and its peers.

    Parameters
    ----------
    feed : callable
        ``feed(event)`` passes an event to the reducer.
    hello : Hello
        First message that this node sends on each connection.
    reactor : IReactorTCP and IReactorTime
        Opens connections and provides timers.
    count : callable
        ``count(name, label)`` increments a counter by one.
    report : callable
        ``report(message, **fields)`` writes to the log.
    seed : int
        Seed of the random jitter of reconnection delays.
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
        """Dict of effect type to the handler of that effect."""
        return {
            OpenPeer: self._open_link,
            DropPeer: self._drop_link,
            SendPeer: self._send_message,
        }

    def build_factory(self):
        """Return the protocol factory for inbound connections."""
        factory = Factory.forProtocol(lambda: _InboundProtocol(self))
        factory.noisy = False
        return factory

    def close(self):
        """Close all links after their buffered data is sent."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def register_inbound(self, protocol):
        """Register a sender, and close a previous connection of the same name."""
        hello = protocol.hello
        previous = self._inbound.get(hello.node)
        self._inbound[hello.node] = protocol
        if previous is not None:
            previous.reject("replaced")
        self.feed(
            PeerHello(hello.node, hello.incarnation, hello.data_centre, hello.address)
        )

    def unregister_inbound(self, protocol):
        """Unregister a sender if the closed connection was its newest."""
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
            self.report("invalid peer address", node=effect.node, error=str(error))
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
    """Send small frames without delay, and detect a peer that has disappeared."""
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    if not isinstance(handle, socket.socket):
        return
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
