"""HTTP requests of the commands, with a time limit and a bounded response."""

import json
from dataclasses import dataclass

from twisted.internet import defer, error, task
from twisted.web.client import ResponseNeverReceived

from heatherpick.errors import RequestFailed

__all__ = ["DEFAULT_TIMEOUT_S", "HTTP_OK", "Response", "request", "sleep"]

DEFAULT_TIMEOUT_S = 10.0

HTTP_OK = 200

#: Size of the largest response that is accepted. A document of 1 MB may take six bytes
#: for each character as JSON.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024

#: Errors that prove that no byte of the request was sent.
_NOT_SENT = (error.ConnectError, error.DNSLookupError)


@dataclass(frozen=True, slots=True)
class Response:
    """Status and decoded JSON of a response; ``content`` is None if it is not JSON."""

    status: int
    content: object


async def request(context, method, url, *, timeout_s=DEFAULT_TIMEOUT_S, **options):
    """Return the `Response` to one HTTP request.

    Parameters
    ----------
    context : Context
        HTTP client and clock.
    method, url : str
        Method and URL of the request.
    timeout_s : float
        Seconds within which the whole response must arrive.
    **options
        Passed on to ``treq.request``.

    Raises
    ------
    RequestFailed
        If there is no response, or one that is too large.
    """
    exchange = defer.ensureDeferred(_exchange(context, method, url, options))
    exchange.addTimeout(timeout_s, context.clock)
    try:
        return await exchange
    except _NOT_SENT as failure:
        raise RequestFailed(f"{method} {url}: {failure}", was_sent=False) from None
    except defer.TimeoutError:
        message = f"{method} {url}: no response within {timeout_s:g} s"
        raise RequestFailed(message, was_sent=True) from None
    except RequestFailed:
        raise
    except Exception as failure:
        message = f"{method} {url}: {_describe(failure)}"
        raise RequestFailed(message, was_sent=True) from None


def sleep(clock, seconds):
    """Return an awaitable that completes after some seconds of ``clock``."""
    return task.deferLater(clock, seconds)


async def _exchange(context, method, url, options):
    response = await context.http.request(method, url, **options)
    body = _BoundedBody()
    await context.http.collect(response, body.add)
    if body.is_too_large:
        message = f"{method} {url}: response exceeds {MAX_RESPONSE_BYTES} bytes"
        raise RequestFailed(message, was_sent=True)
    try:
        content = json.loads(b"".join(body.chunks))
    except (ValueError, RecursionError):
        content = None
    return Response(response.code, content)


class _BoundedBody:
    """Chunks of a response body, kept only up to `MAX_RESPONSE_BYTES`."""

    def __init__(self):
        self.chunks = []
        self.is_too_large = False
        self._n_bytes = 0

    def add(self, chunk):
        self._n_bytes += len(chunk)
        self.is_too_large = self._n_bytes > MAX_RESPONSE_BYTES
        if not self.is_too_large:
            self.chunks.append(chunk)


def _describe(failure):
    if isinstance(failure, ResponseNeverReceived):
        return "the connection was lost before a response arrived"
    return str(failure) or type(failure).__name__
