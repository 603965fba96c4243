"""A loopback proxy that delays, silences and resets the connections through it."""

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
        Where they lead.

    Attributes
    ----------
    delay_s : float
        Time that all bytes take on their way.
    silenced : set of str
        Directions, "there" and "back", in which bytes are dropped without a sign.
    is_refusing : bool
        Whether new connections are reset at once.
    """

    def __init__(self, loop, target):
        self.loop = loop
        self.target = target
        self.delay_s = 0.0
        self.silenced = set()
        self.is_refusing = False
        self._ends = set()
        self.address = Listener(loop, HOST, 0, self._accept).address

    def heal(self):
        """Forward everything again; connections that lost bytes are reset."""
        if self.silenced:
            self.reset_all()
        self.delay_s = 0.0
        self.silenced = set()
        self.is_refusing = False

    def reset_all(self):
        """Reset every connection."""
        for end in list(self._ends):
            end.reset()

    def _accept(self, sock):
        if self.is_refusing:
            set_reset(sock)
            sock.close()
            return
        far_sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        far_sock.setblocking(False)
        far_sock.connect_ex(self.target)
        near = _End(self, sock, "there")
        far = _End(self, far_sock, "back", is_connecting=True)
        near.other, far.other = far, near
        self._ends.update((near, far))

    def forget(self, end):
        self._ends.discard(end)


class _End(Stream):
    """One side of a connection through the proxy."""

    __slots__ = ("direction", "other", "proxy")

    def __init__(self, proxy, sock, direction, is_connecting=False):
        self.proxy = proxy
        self.direction = direction
        self.other = None
        super().__init__(proxy.loop, sock, is_connecting)

    def data_received(self, data):
        if self.direction in self.proxy.silenced:
            return
        if self.proxy.delay_s:
            self.loop.call_later(self.proxy.delay_s, self.other.write, data)
        else:
            self.other.write(data)

    def connection_lost(self, reason, was_clean):
        self.proxy.forget(self)
        if self.direction in self.proxy.silenced:
            return
        if was_clean:
            # Everything before the end, delayed bytes included, goes first.
            self.loop.call_later(self.proxy.delay_s + 0.01, self.other.shut)
        else:
            self.other.reset()

    def shut(self):
        """Close in order once everything was written."""
        if self.is_closed:
            return
        if self.has_unsent:
            self.loop.call_later(0.01, self.shut)
            return
        self.proxy.forget(self)
        self.close()

    def reset(self):
        """Reset the connection."""
        if self.is_closed:
            return
        self.proxy.forget(self)
        set_reset(self.sock)
        self.close()
        self.other.reset()


def set_reset(sock):
    """Let the next close of a socket reset its connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
