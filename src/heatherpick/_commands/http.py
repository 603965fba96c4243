"""One HTTP exchange of a command, with a time limit and a bounded answer."""

import json
from dataclasses import dataclass

from twisted.internet import defer, error, task
from twisted.web.client import ResponseNeverReceived

from heatherpick.errors import RequestFailed

__all__ = ["DEFAULT_TIMEOUT_S", "HTTP_OK", "Answer", "request", "sleep"]

DEFAULT_TIMEOUT_S = 10.0

HTTP_OK = 200

#: Size of the largest answer that is read. A body of 1 MB may take six bytes for
#: each character as JSON.
MAX_ANSWER_BYTES = 8 * 1024 * 1024

#: Errors that prove that no byte of the request left.
_NOT_SENT = (error.ConnectError, error.DNSLookupError)


@dataclass(frozen=True, slots=True)
class Answer:
    """Status and decoded JSON of an answer; ``content`` is None if it is no JSON."""

    status: int
    content: object


async def request(context, method, url, *, timeout_s=DEFAULT_TIMEOUT_S, **options):
    """Return the `Answer` to one HTTP request.

    Parameters
    ----------
    context : Context
        HTTP client and clock.
    method, url : str
        What to ask.
    timeout_s : float
        Seconds within which the whole answer must be there.
    **options
        Passed on to ``treq.request``.

    Raises
    ------
    RequestFailed
        If there is no answer, or one that is too large.
    """
    exchange = defer.ensureDeferred(_exchange(context, method, url, options))
    exchange.addTimeout(timeout_s, context.clock)
    try:
        return await exchange
    except _NOT_SENT as failure:
        raise RequestFailed(f"{method} {url}: {failure}", was_sent=False) from None
    except defer.TimeoutError:
        message = f"{method} {url}: no answer within {timeout_s:g} s"
        raise RequestFailed(message, was_sent=True) from None
    except RequestFailed:
        raise
    except Exception as failure:
        message = f"{method} {url}: {_describe(failure)}"
        raise RequestFailed(message, was_sent=True) from None


def sleep(clock, seconds):
    """Return an awaitable that is done after some seconds of ``clock``."""
    return task.deferLater(clock, seconds)


async def _exchange(context, method, url, options):
    response = await context.http.request(method, url, **options)
    chunks = _Chunks()
    await context.http.collect(response, chunks.add)
    if chunks.is_too_large:
        message = f"{method} {url}: answer exceeds {MAX_ANSWER_BYTES} bytes"
        raise RequestFailed(message, was_sent=True)
    try:
        content = json.loads(b"".join(chunks.kept))
    except (ValueError, RecursionError):
        content = None
    return Answer(response.code, content)


class _Chunks:
    """Pieces of an answer, of which no more is kept than is allowed."""

    def __init__(self):
        self.kept = []
        self.is_too_large = False
        self._n_bytes = 0

    def add(self, chunk):
        self._n_bytes += len(chunk)
        self.is_too_large = self._n_bytes > MAX_ANSWER_BYTES
        if not self.is_too_large:
            self.kept.append(chunk)


def _describe(failure):
    if isinstance(failure, ResponseNeverReceived):
        return "the connection broke before an answer came"
    return str(failure) or type(failure).__name__
