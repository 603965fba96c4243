"""Non-blocking TCP streams on the event loop."""

import errno
import select
import socket
import struct

__all__ = ["Listener", "Stream", "open_stream_socket", "read_round_trip_ms"]

#: Limit on the bytes of one read.
MAX_READ_BYTES = 16384
#: Limit on the reads from one stream in an iteration of the loop, so that a peer that
#: sends endlessly does not starve the others.
MAX_READS_PER_ITERATION = 16
#: Time after which the kernel closes a connection whose peer does not acknowledge sent
#: data, in milliseconds.
USER_TIMEOUT_MS = 3000
#: Idle time before the first keep-alive probe and the interval between probes, in
#: seconds, and the number of unanswered probes after which the connection is closed.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
N_KEEPALIVE_PROBES = 2
#: Limit on the connections that wait to be accepted.
BACKLOG = 1024
#: Pause after a connection could not be accepted, such as for a lack of file
#: descriptors, in seconds.
ACCEPT_RETRY_S = 0.1

#: Offset of the smoothed round trip time in the kernel's ``struct tcp_info``, where it
#: is a 32 bit number of microseconds, and the bytes of the structure that are read.
_RTT_OFFSET = 68
_TCP_INFO_BYTES = 72

_READ_EVENTS = select.EPOLLIN | select.EPOLLRDHUP
_ERROR_EVENTS = select.EPOLLERR | select.EPOLLHUP


def open_stream_socket():
    """Return a non-blocking TCP socket with dead peer detection."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    enable_dead_peer_detection(sock)
    return sock


def read_round_trip_ms(sock):
    """Return the kernel's estimate of a connection's round trip time.

    Returns
    -------
    float or None
        In milliseconds; None if the kernel has no estimate.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except OSError:
        return None
    if len(info) < _TCP_INFO_BYTES:
        return None
    (round_trip_us,) = struct.unpack_from("=I", info, _RTT_OFFSET)
    return round_trip_us / 1000.0 if round_trip_us else None


def enable_dead_peer_detection(sock):
    """Let the kernel close the connection of a peer that no longer responds."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, N_KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class Stream:
    """One TCP connection; subclasses handle its events.

    Parameters
    ----------
    loop : EventLoop
        Calls the stream when its socket is ready.
    sock : socket.socket
        A non-blocking socket.
    is_connecting : bool, default=False
        Whether the connection is still being opened.

    Attributes
    ----------
    is_closed : bool
        Whether this side has closed the connection.
    has_peer_closed : bool
        Whether the peer has closed its side; bytes may remain to be read.
    """

    __slots__ = (
        "_is_connecting",
        "_mask",
        "_send_buffer",
        "has_peer_closed",
        "is_closed",
        "loop",
        "sock",
    )

    def __init__(self, loop, sock, is_connecting=False):
        self.loop = loop
        self.sock = sock
        self.is_closed = False
        self.has_peer_closed = False
        self._is_connecting = is_connecting
        self._send_buffer = b""
        self._mask = select.EPOLLOUT if is_connecting else _READ_EVENTS
        loop.watch(sock.fileno(), self._mask, self._handle_events)

    # Overridden by subclasses

    def connection_made(self):
        """Handle the opening of the connection."""

    def data_received(self, data):
        """Handle bytes from the peer."""

    def connection_lost(self, reason, was_clean):
        """Handle the end of the connection, other than by `close`.

        Parameters
        ----------
        reason : str
            Why it ended, for the log.
        was_clean : bool
            Whether the peer closed it in order and all its bytes were read.
        """

    # Called by users

    @property
    def has_unsent(self):
        """Whether the send buffer holds bytes."""
        return bool(self._send_buffer)

    def write(self, data):
        """Send bytes, or buffer what the socket does not accept yet."""
        if self.is_closed:
            return
        if self._send_buffer or self._is_connecting:
            self._send_buffer += data
            return
        try:
            n_sent = self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            n_sent = 0
        except OSError as error:
            # Reported later by the loop, so that callers of `write` need not handle it.
            self.loop.call_soon(self._close_and_notify, _format_error(error), False)
            return
        if n_sent < len(data):
            self._send_buffer = data[n_sent:]
            self._set_mask(self._mask | select.EPOLLOUT)

    def pause_reading(self):
        """Stop reading until `resume_reading`; a close is still noticed."""
        self._set_mask((self._mask & ~select.EPOLLIN) | select.EPOLLRDHUP)

    def resume_reading(self):
        """Read again after `pause_reading`."""
        self._set_mask(self._mask | _READ_EVENTS)

    def close(self):
        """Close the connection at once; `connection_lost` is not called."""
        if self.is_closed:
            return
        self.is_closed = True
        self.loop.unwatch(self.sock.fileno())
        self.sock.close()
        self._send_buffer = b""

    def _set_mask(self, mask):
        if mask != self._mask and not self.is_closed:
            self._mask = mask
            self.loop.modify(self.sock.fileno(), mask)

    def _handle_events(self, events):
        if self._is_connecting:
            self._finish_connecting()
            return
        if events & select.EPOLLRDHUP:
            self.has_peer_closed = True
        if events & select.EPOLLOUT:
            self._flush()
        if not self.is_closed and events & (select.EPOLLIN | _ERROR_EVENTS):
            self._read()
        if not self.is_closed and events & select.EPOLLRDHUP:
            # Reading is paused, so it is unknown whether the peer closed in order.
            self._close_and_notify("closed by peer", False)

    def _finish_connecting(self):
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._close_and_notify(errno.errorcode.get(error, str(error)), False)
            return
        self._is_connecting = False
        self._set_mask(_READ_EVENTS)
        self.connection_made()
        if not self.is_closed and self._send_buffer:
            unsent, self._send_buffer = self._send_buffer, b""
            self.write(unsent)

    def _flush(self):
        unsent, self._send_buffer = self._send_buffer, b""
        self._set_mask(self._mask & ~select.EPOLLOUT)
        if unsent:
            self.write(unsent)

    def _read(self):
        n_reads = 0
        while not self.is_closed:
            try:
                data = self.sock.recv(MAX_READ_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._close_and_notify(_format_error(error), False)
                return
            if not data:
                self._close_and_notify("closed by peer", True)
                return
            self.data_received(data)
            n_reads += 1
            may_stop = len(data) < MAX_READ_BYTES or n_reads >= MAX_READS_PER_ITERATION
            # If the peer has closed, its end of stream follows the last bytes.
            if may_stop and not self.has_peer_closed:
                return

    def _close_and_notify(self, reason, was_clean):
        if self.is_closed:
            return
        self.close()
        self.connection_lost(reason, was_clean)


class Listener:
    """Accepts connections at an address.

    Parameters
    ----------
    loop : EventLoop
        Calls the listener when a connection is waiting.
    host, port : str, int
        Address to listen at.
    on_accept : callable
        ``on_accept(sock)`` receives the non-blocking socket of each connection.
    """

    def __init__(self, loop, host, port, on_accept):
        self._loop = loop
        self._on_accept = on_accept
        self._is_closed = False
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind((host, port))
        self._sock.listen(BACKLOG)
        self._watch()

    def _watch(self):
        if not self._is_closed:
            fd = self._sock.fileno()
            self._loop.watch(fd, select.EPOLLIN, self._handle_events)

    @property
    def address(self):
        """Host and port at which the listener is bound."""
        return self._sock.getsockname()

    def close(self):
        """Stop listening."""
        self._is_closed = True
        self._loop.unwatch(self._sock.fileno())
        self._sock.close()

    def _handle_events(self, _events):
        while True:
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                # The connection is still waiting, so the loop would call at once again.
                self._loop.report_failure(self._handle_events, error)
                self._loop.unwatch(self._sock.fileno())
                self._loop.call_later(ACCEPT_RETRY_S, self._watch)
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            enable_dead_peer_detection(sock)
            self._on_accept(sock)


def _format_error(error):
    return errno.errorcode.get(error.errno, str(error))
