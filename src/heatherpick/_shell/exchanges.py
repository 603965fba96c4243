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

__all__ = ["ExchangeFailure", "ExchangePool", "HttpResponse"]

#: Seconds to wait for a new connection.
CONNECT_TIMEOUT_S = 1.0
#: Idle connections kept for each address, and the seconds for which they are kept.
N_IDLE_CONNECTIONS = 8
IDLE_TIMEOUT_S = 60
#: Largest answer that is read, in bytes.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
TIMEOUT = "timeout"


@dataclass(frozen=True, slots=True)
class HttpResponse:
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

    def request(self, method, address, path, headers, body, timeout_s, on_done):
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
            Takes a `HttpResponse` or an `ExchangeFailure`.

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
        exchange = _Exchange(self._reactor, request, on_done)
        connect_s = min(CONNECT_TIMEOUT_S, timeout_s)
        endpoint = build_endpoint(self._reactor, address, connect_s)
        exchange.start(self._pool, address, endpoint, timeout_s)
        return exchange

    def close(self):
        """Close the idle connections."""
        return self._pool.closeCachedConnections()

    def _build_request(self, method, address, path, headers, body):
        raw_headers = {b"host": [address.encode()]}
        producer = None
        if body is not None:
            raw_headers[b"content-type"] = [b"application/json"]
            producer = _BodyProducer(body)
        for name, value in headers.items():
            raw_headers[name] = [value]
        return Request(method, path, Headers(raw_headers), producer, self._persistent)


class _Exchange:
    """One request and its answer."""

    def __init__(self, clock, request, on_done):
        self._clock = clock
        self._request = request
        self._on_done = on_done
        self._connect_deferred = None
        self._connection = None
        self._timer = None

    def start(self, pool, address, endpoint, timeout_s):
        """Ask for a connection and start the time limit."""
        self._timer = self._clock.callLater(timeout_s, self._abort, TIMEOUT)
        self._connect_deferred = pool.getConnection(address, endpoint)
        self._connect_deferred.addCallbacks(
            self._send_request, self._handle_connect_failure
        )

    def cancel(self):
        """Give the exchange up and close its connection."""
        self._abort("cancelled")

    def _abort(self, reason):
        if self._on_done is None:
            return
        connection = self._connection
        if connection is None:
            self._complete(ExchangeFailure(False, _name_connect_failure(reason)))
            self._connect_deferred.cancel()
            return
        self._complete(ExchangeFailure(True, reason))
        connection.transport.abortConnection()

    def _handle_connect_failure(self, _failure):
        self._complete(ExchangeFailure(False, "connect"))

    def _send_request(self, connection):
        if self._on_done is None:
            connection.transport.abortConnection()
            return
        self._connection = connection
        response_deferred = connection.request(self._request)
        response_deferred.addCallbacks(self._read_body, self._handle_request_failure)

    def _read_body(self, response):
        response.deliverBody(_BodyReader(response.code, self._handle_body_end))

    def _handle_request_failure(self, failure):
        # The protocol refuses before it writes a byte when it is already closing.
        if failure.check(RequestNotSent):
            self._complete(ExchangeFailure(False, "connect"))
        else:
            self._complete(ExchangeFailure(True, "broken"))

    def _handle_body_end(self, result):
        connection = self._connection
        self._complete(result)
        if type(result) is ExchangeFailure:
            connection.transport.abortConnection()

    def _complete(self, result):
        if self._on_done is None:
            return
        on_done = self._on_done
        self._on_done = None
        if self._timer.active():
            self._timer.cancel()
        on_done(result)


class _BodyReader(Protocol):
    """Collects an answer's body, up to a limit."""

    def __init__(self, status, on_end):
        self._status = status
        self._handle_body_end = on_end
        self._chunks = []
        self._n_bytes = 0

    def dataReceived(self, data):
        """Keep a chunk, or give up when the answer is too large."""
        self._n_bytes += len(data)
        if self._n_bytes > MAX_RESPONSE_BYTES:
            self._chunks.clear()
            self._handle_body_end(ExchangeFailure(True, "oversize"))
            return
        self._chunks.append(data)

    def connectionLost(self, reason):
        """Hand the body over, or tell that it broke off."""
        if _is_complete(reason):
            self._handle_body_end(HttpResponse(self._status, b"".join(self._chunks)))
        else:
            self._handle_body_end(ExchangeFailure(True, "broken"))


def _name_connect_failure(reason):
    return "connect" if reason == TIMEOUT else reason


def _is_complete(reason):
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
