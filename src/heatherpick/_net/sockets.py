"""Non-blocking TCP streams on the event loop."""

import errno
import select
import socket
import struct

__all__ = ["Listener", "Stream", "measure_round_trip", "open_stream_socket"]

#: Largest piece that one read takes, in bytes.
READ_BYTES = 16384
#: Most pieces that one stream takes in a turn of the loop, so that a peer that sends
#: without end does not keep all others waiting.
MAX_READS = 16
#: Time after which a peer that acknowledges nothing is given up, in milliseconds.
USER_TIMEOUT_MS = 3000
#: Idle time before the first keep-alive probe and between probes, in seconds, and the
#: probes that may stay without an answer.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
N_KEEPALIVE_PROBES = 2
#: Connections that may wait to be accepted.
BACKLOG = 1024

#: Where the kernel's ``struct tcp_info`` keeps the smoothed round trip time, in
#: microseconds as a 32 bit number, and how much of it is read.
_RTT_OFFSET = 68
_TCP_INFO_BYTES = 72

_READ = select.EPOLLIN | select.EPOLLRDHUP
_BROKEN = select.EPOLLERR | select.EPOLLHUP


def open_stream_socket():
    """Return a non-blocking TCP socket that notices a peer that is gone."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    set_liveness(sock)
    return sock


def measure_round_trip(sock):
    """Return the kernel's estimate of a connection's round trip in milliseconds.

    It is None where the kernel does not tell.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except OSError:
        return None
    if len(info) < _TCP_INFO_BYTES:
        return None
    (round_trip_us,) = struct.unpack_from("=I", info, _RTT_OFFSET)
    return round_trip_us / 1000.0 if round_trip_us else None


def set_liveness(sock):
    """Let the kernel find out that a silent peer is gone."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, N_KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class Stream:
    """One TCP connection; subclasses take what comes.

    Parameters
    ----------
    loop : EventLoop
        Calls the stream when its socket is ready.
    sock : socket.socket
        Non-blocking.
    is_connecting : bool, default=False
        Whether the connection is still being opened.
    """

    __slots__ = (
        "_is_connecting",
        "_mask",
        "_out",
        "is_closed",
        "is_peer_closing",
        "loop",
        "sock",
    )

    def __init__(self, loop, sock, is_connecting=False):
        self.loop = loop
        self.sock = sock
        self.is_closed = False
        #: Whether the peer has already closed its side behind the bytes at hand.
        self.is_peer_closing = False
        self._is_connecting = is_connecting
        self._out = b""
        self._mask = select.EPOLLOUT if is_connecting else _READ
        loop.watch(sock.fileno(), self._mask, self._handle)

    # For subclasses

    def connected(self):
        """Take note that the connection is open."""

    def received(self, data):
        """Take bytes from the peer."""

    def lost(self, reason, was_clean):
        """Take note that the connection has ended.

        Parameters
        ----------
        reason : str
            For the log.
        was_clean : bool
            Whether the peer closed it in order, after its last byte.
        """

    # For users

    @property
    def has_unsent(self):
        """Whether bytes wait to be sent."""
        return bool(self._out)

    def write(self, data):
        """Send bytes now or as soon as the socket takes them."""
        if self.is_closed:
            return
        if self._out or self._is_connecting:
            self._out += data
            return
        try:
            n_sent = self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            n_sent = 0
        except OSError as error:
            # The loop reports the loss, so that writers need not expect it here.
            self.loop.call_soon(self._lose, _name(error), False)
            return
        if n_sent < len(data):
            self._out = data[n_sent:]
            self._set_mask(self._mask | select.EPOLLOUT)

    def pause_reading(self):
        """Take no more bytes until `resume_reading`; the end is still noticed."""
        self._set_mask((self._mask & ~select.EPOLLIN) | select.EPOLLRDHUP)

    def resume_reading(self):
        """Take bytes again."""
        self._set_mask(self._mask | _READ)

    def close(self):
        """Close the connection at once; `lost` is not called."""
        if self.is_closed:
            return
        self.is_closed = True
        self.loop.unwatch(self.sock.fileno())
        self.sock.close()
        self._out = b""

    def _set_mask(self, mask):
        if mask != self._mask and not self.is_closed:
            self._mask = mask
            self.loop.change(self.sock.fileno(), mask)

    def _handle(self, mask):
        if self._is_connecting:
            self._finish_connecting()
            return
        if mask & select.EPOLLRDHUP:
            self.is_peer_closing = True
        if mask & select.EPOLLOUT:
            self._flush()
        if not self.is_closed and mask & (select.EPOLLIN | _BROKEN):
            self._read()
        if not self.is_closed and mask & select.EPOLLRDHUP:
            # Reading is paused, so whether the end was orderly cannot be told.
            self._lose("closed by peer", False)

    def _finish_connecting(self):
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._lose(errno.errorcode.get(error, str(error)), False)
            return
        self._is_connecting = False
        self._set_mask(_READ)
        self.connected()
        if not self.is_closed and self._out:
            out, self._out = self._out, b""
            self.write(out)

    def _flush(self):
        out, self._out = self._out, b""
        self._set_mask(self._mask & ~select.EPOLLOUT)
        if out:
            self.write(out)

    def _read(self):
        n_reads = 0
        while not self.is_closed:
            try:
                data = self.sock.recv(READ_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._lose(_name(error), False)
                return
            if not data:
                self._lose("closed by peer", True)
                return
            self.received(data)
            n_reads += 1
            is_enough = len(data) < READ_BYTES or n_reads >= MAX_READS
            # Behind the last bytes of a peer that has closed lies the end itself.
            if is_enough and not self.is_peer_closing:
                return

    def _lose(self, reason, was_clean):
        if self.is_closed:
            return
        self.close()
        self.lost(reason, was_clean)


class Listener:
    """Accepts connections at an address.

    Parameters
    ----------
    loop : EventLoop
        Calls the listener.
    host, port : str, int
        Where to listen.
    accept : callable
        Takes each new non-blocking socket.
    """

    def __init__(self, loop, host, port, accept):
        self._loop = loop
        self._accept = accept
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind((host, port))
        self._sock.listen(BACKLOG)
        loop.watch(self._sock.fileno(), select.EPOLLIN, self._handle)

    @property
    def address(self):
        """Pair of host and port."""
        return self._sock.getsockname()

    def close(self):
        """Accept no more."""
        self._loop.unwatch(self._sock.fileno())
        self._sock.close()

    def _handle(self, _mask):
        while True:
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            set_liveness(sock)
            self._accept(sock)


def _name(error):
    return errno.errorcode.get(error.errno, str(error))
