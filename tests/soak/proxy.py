"""A loopback proxy that delays, drops and resets the traffic through it."""

import socket
import struct

from heatherpick._net.sockets import Listener, Stream

HOST = "127.0.0.1"


class Proxy:
    """Forwards connections to one target.

    Parameters
    ----------
    loop : EventLoop
        Runs the connections.
    target : tuple of (str, int)
        Address to which connections are forwarded.

    Attributes
    ----------
    delay_s : float
        Delay of all bytes, in either direction.
    dropped_directions : set of str
        Directions in which bytes are dropped silently: "there" is to the target,
        "back" to the client.
    is_refusing : bool
        Whether new connections are reset at once.
    """

    def __init__(self, loop, target):
        self.loop = loop
        self.target = target
        self.delay_s = 0.0
        self.dropped_directions = set()
        self.is_refusing = False
        self._sides = set()
        self.address = Listener(loop, HOST, 0, self._accept).address

    def clear_faults(self):
        """Forward everything again; reset the connections if bytes may be missing."""
        if self.dropped_directions:
            self.reset_all()
        self.delay_s = 0.0
        self.dropped_directions = set()
        self.is_refusing = False

    def reset_all(self):
        """Reset every connection."""
        for side in list(self._sides):
            side.reset()

    def _accept(self, sock):
        if self.is_refusing:
            reset_on_close(sock)
            sock.close()
            return
        target_sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        target_sock.setblocking(False)
        target_sock.connect_ex(self.target)
        client_side = _ProxySide(self, sock, "there")
        target_side = _ProxySide(self, target_sock, "back", is_connecting=True)
        client_side.other, target_side.other = target_side, client_side
        self._sides.update((client_side, target_side))

    def discard_side(self, side):
        """Remove a closed side of a connection."""
        self._sides.discard(side)


class _ProxySide(Stream):
    """One side of a connection through the proxy."""

    __slots__ = ("direction", "other", "proxy")

    def __init__(self, proxy, sock, direction, is_connecting=False):
        self.proxy = proxy
        self.direction = direction
        self.other = None
        super().__init__(proxy.loop, sock, is_connecting)

    def data_received(self, data):
        if self.direction in self.proxy.dropped_directions:
            return
        if self.proxy.delay_s:
            self.loop.call_later(self.proxy.delay_s, self.other.write, data)
        else:
            self.other.write(data)

    def connection_lost(self, reason, was_clean):
        self.proxy.discard_side(self)
        if self.direction in self.proxy.dropped_directions:
            return
        if was_clean:
            # Bytes received before the close, also delayed ones, are forwarded first.
            self.loop.call_later(self.proxy.delay_s + 0.01, self.other.close_gracefully)
        else:
            self.other.reset()

    def close_gracefully(self):
        """Close once everything is written."""
        if self.is_closed:
            return
        if self.has_unsent:
            self.loop.call_later(0.01, self.close_gracefully)
            return
        self.proxy.discard_side(self)
        self.close()

    def reset(self):
        """Reset the connection on both sides."""
        if self.is_closed:
            return
        self.proxy.discard_side(self)
        reset_on_close(self.sock)
        self.close()
        self.other.reset()


def reset_on_close(sock):
    """Make the next close of a socket reset its connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
