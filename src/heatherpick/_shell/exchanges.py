"""HTTP exchanges that know whether a byte may have left.

The connection pool and the protocol are twisted's. The pool is asked for the
connection first, and the request is then written by the protocol, so a failure
before that point proves that nothing was sent. Nothing is ever sent twice.
"""

from dataclasses import dataclass

from twisted.internet.defer import succeed
from twisted.internet.protocol import Protocol
from twisted.web._newclient import RequestNotSent
from twisted.web.client import HTTPConnectionPool, Request, ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from heatherpick._shell.addresses import build_endpoint

__all__ = ["ExchangeFailure", "ExchangePool", "Reply"]

#: Seconds to wait for a new connection.
CONNECT_TIMEOUT_S = 1.0
#: Idle connections kept for each address, and the seconds for which they are kept.
N_IDLE_CONNECTIONS = 8
IDLE_TIMEOUT_S = 60
#: Largest answer that is read, in bytes.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
TIMEOUT = "timeout"


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ExchangeFailure:
    """No whole answer; ``sent`` is false only when no byte of the request left."""

    sent: bool
    reason: str


class ExchangePool:
    """Connections to many addresses, each used for one exchange at a time.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Opens connections and keeps the time.
    persistent : bool, default=True
        Whether connections are kept for later exchanges.
    """

    def __init__(self, reactor, persistent=True):
        self._reactor = reactor
        self._persistent = persistent
        self._pool = HTTPConnectionPool(reactor, persistent)
        self._pool.retryAutomatically = False
        self._pool.maxPersistentPerHost = N_IDLE_CONNECTIONS
        self._pool.cachedConnectionTimeout = IDLE_TIMEOUT_S

    def request(self, method, address, path, headers, body, timeout_s, done):
        """Send a request and call ``done`` exactly once.

        Parameters
        ----------
        method : bytes
            Method of HTTP.
        address : str
            ``ip:port``.
        path : bytes
            Path of the request.
        headers : dict of bytes to bytes
            Headers besides the host, the type and the length.
        body : bytes or None
            JSON text, or None for a request without a body.
        timeout_s : float
            Seconds until the whole answer must be here.
        done : callable
            Takes a `Reply` or an `ExchangeFailure`.

        Returns
        -------
        Exchange
            Has ``cancel()``.

        Raises
        ------
        InvalidArgument
            The address is not ``ip:port``; ``done`` is not called.
        """
        request = self._build_request(method, address, path, headers, body)
        exchange = _Exchange(self._reactor, request, done)
        connect_s = min(CONNECT_TIMEOUT_S, timeout_s)
        endpoint = build_endpoint(self._reactor, address, connect_s)
        exchange.begin(self._pool, address, endpoint, timeout_s)
        return exchange

    def close(self):
        """Close the idle connections."""
        return self._pool.closeCachedConnections()

    def _build_request(self, method, address, path, headers, body):
        raw = {b"host": [address.encode()]}
        producer = None
        if body is not None:
            raw[b"content-type"] = [b"application/json"]
            producer = _BodyProducer(body)
        for name, value in headers.items():
            raw[name] = [value]
        return Request(method, path, Headers(raw), producer, self._persistent)


class _Exchange:
    """One request and its answer."""

    def __init__(self, clock, request, done):
        self._clock = clock
        self._request = request
        self._done = done
        self._connecting = None
        self._connection = None
        self._timer = None

    def begin(self, pool, address, endpoint, timeout_s):
        """Ask for a connection and start the time limit."""
        self._timer = self._clock.callLater(timeout_s, self._give_up, TIMEOUT)
        self._connecting = pool.getConnection(address, endpoint)
        self._connecting.addCallbacks(self._send, self._fail_to_connect)

    def cancel(self):
        """Give the exchange up and close its connection."""
        self._give_up("cancelled")

    def _give_up(self, reason):
        if self._done is None:
            return
        connection = self._connection
        if connection is None:
            self._end(ExchangeFailure(False, _name_connect_fault(reason)))
            self._connecting.cancel()
            return
        self._end(ExchangeFailure(True, reason))
        connection.transport.abortConnection()

    def _fail_to_connect(self, _failure):
        self._end(ExchangeFailure(False, "connect"))

    def _send(self, connection):
        if self._done is None:
            connection.transport.abortConnection()
            return
        self._connection = connection
        sending = connection.request(self._request)
        sending.addCallbacks(self._receive, self._fail_after_send)

    def _receive(self, response):
        response.deliverBody(_BodyReader(response.code, self._finish))

    def _fail_after_send(self, failure):
        # The protocol refuses before it writes a byte when it is already closing.
        if failure.check(RequestNotSent):
            self._end(ExchangeFailure(False, "connect"))
        else:
            self._end(ExchangeFailure(True, "broken"))

    def _finish(self, result):
        connection = self._connection
        self._end(result)
        if type(result) is ExchangeFailure:
            connection.transport.abortConnection()

    def _end(self, result):
        if self._done is None:
            return
        done = self._done
        self._done = None
        if self._timer.active():
            self._timer.cancel()
        done(result)


class _BodyReader(Protocol):
    """Collects an answer's body, up to a limit."""

    def __init__(self, status, finish):
        self._status = status
        self._finish = finish
        self._chunks = []
        self._n_bytes = 0

    def dataReceived(self, data):
        """Keep a chunk, or give up when the answer is too large."""
        self._n_bytes += len(data)
        if self._n_bytes > MAX_ANSWER_BYTES:
            self._chunks.clear()
            self._finish(ExchangeFailure(True, "oversize"))
            return
        self._chunks.append(data)

    def connectionLost(self, reason):
        """Hand the body over, or tell that it broke off."""
        if _is_whole(reason):
            self._finish(Reply(self._status, b"".join(self._chunks)))
        else:
            self._finish(ExchangeFailure(True, "broken"))


def _name_connect_fault(reason):
    return "connect" if reason == TIMEOUT else reason


def _is_whole(reason):
    # A body without a length or chunks ends with `PotentialDataLoss`; it cannot be
    # told from a truncated one.
    return reason.check(ResponseDone) is not None


@implementer(IBodyProducer)
class _BodyProducer:
    """A request's body that is already whole."""

    def __init__(self, body):
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer):
        """Write the body at once."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self):
        """Do nothing, as the body is already written."""

    def resumeProducing(self):
        """Do nothing, as the body is already written."""

    def stopProducing(self):
        """Do nothing, as the body is already written."""
