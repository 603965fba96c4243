"""HTTP client exchanges that report whether any byte may have been sent.

The connection pool and the HTTP protocol are twisted's. The connection is obtained from
the pool first, and only then does the protocol write the request, so a failure before
that point proves that nothing was sent. A request is never sent twice.
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

#: Maximum timeout of a connection attempt, in seconds.
CONNECT_TIMEOUT_S = 1.0
#: Maximum idle connections per address, and how long they are kept, in seconds.
N_IDLE_CONNECTIONS = 8
IDLE_TIMEOUT_S = 60
#: Maximum size of a response body, in bytes.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
TIMEOUT = "timeout"


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ExchangeFailure:
    """An exchange without a complete response.

    ``sent`` is false only if provably no byte of the request was sent.
    """

    sent: bool
    reason: str


class ExchangePool:
    """Pool of HTTP connections; each serves one exchange at a time.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Opens connections and provides timers.
    persistent : bool, default=True
        Whether connections are kept alive for later exchanges.
    """

    def __init__(self, reactor, persistent=True):
        self._reactor = reactor
        self._persistent = persistent
        self._pool = HTTPConnectionPool(reactor, persistent)
        self._pool.retryAutomatically = False
        self._pool.maxPersistentPerHost = N_IDLE_CONNECTIONS
        self._pool.cachedConnectionTimeout = IDLE_TIMEOUT_S

    def request(self, method, address, path, headers, body, timeout_s, on_done):
        """Send a request and call ``on_done`` exactly once.

        Parameters
        ----------
        method : bytes
            HTTP method.
        address : str
            ``ip:port``.
        path : bytes
            Request path with its query string.
        headers : dict of bytes to bytes
            Headers other than Host, Content-Type and Content-Length.
        body : bytes or None
            JSON text, or None for a request without a body.
        timeout_s : float
            Timeout of the whole exchange, in seconds.
        on_done : callable
            Receives an `HttpResponse` or an `ExchangeFailure`.

        Returns
        -------
        _Exchange
            Handle whose ``cancel()`` aborts the exchange.

        Raises
        ------
        InvalidArgument
            The address is not ``ip:port``; ``on_done`` is not called.
        """
        request = self._build_request(method, address, path, headers, body)
        exchange = _Exchange(self._reactor, request, on_done)
        connect_timeout_s = min(CONNECT_TIMEOUT_S, timeout_s)
        endpoint = build_endpoint(self._reactor, address, connect_timeout_s)
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
    """One request and its response."""

    def __init__(self, clock, request, on_done):
        self._clock = clock
        self._request = request
        self._on_done = on_done
        self._connect_deferred = None
        self._connection = None
        self._timer = None

    def start(self, pool, address, endpoint, timeout_s):
        """Request a connection from the pool and start the timeout."""
        self._timer = self._clock.callLater(timeout_s, self._abort, TIMEOUT)
        self._connect_deferred = pool.getConnection(address, endpoint)
        self._connect_deferred.addCallbacks(
            self._send_request, self._handle_connect_failure
        )

    def cancel(self):
        """Abort the exchange and close its connection."""
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
        # A protocol that is already closing fails before it writes a byte.
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
    """Collects a response body of limited size."""

    def __init__(self, status, on_end):
        self._status = status
        self._on_end = on_end
        self._chunks = []
        self._n_bytes = 0

    def dataReceived(self, data):
        """Buffer a chunk; fail the exchange if the body is too large."""
        self._n_bytes += len(data)
        if self._n_bytes > MAX_RESPONSE_BYTES:
            self._chunks.clear()
            self._on_end(ExchangeFailure(True, "oversize"))
            return
        self._chunks.append(data)

    def connectionLost(self, reason):
        """Report the response, or a failure if the body is incomplete."""
        if _is_complete(reason):
            self._on_end(HttpResponse(self._status, b"".join(self._chunks)))
        else:
            self._on_end(ExchangeFailure(True, "broken"))


def _name_connect_failure(reason):
    return "connect" if reason == TIMEOUT else reason


def _is_complete(reason):
    # A body with neither Content-Length nor chunked encoding ends with
    # `PotentialDataLoss`, as it can't be distinguished from a truncated one.
    return reason.check(ResponseDone) is not None


@implementer(IBodyProducer)
class _BodyProducer:
    """A request body that is already in memory."""

    def __init__(self, body):
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer):
        """Write the whole body at once."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self):
        """Do nothing, as the body is already written."""

    def resumeProducing(self):
        """Do nothing, as the body is already written."""

    def stopProducing(self):
        """Do nothing, as the body is already written."""
