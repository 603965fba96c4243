"""Watch on the platform's shared documents, by long polling."""

from heatherpick._shell.platform_responses import WATCH_PREFIX, parse_watch_response
from heatherpick.errors import FrameError

__all__ = ["DocumentWatch"]

MS_PER_S = 1000
#: Seconds for which the platform holds a poll open, and how late its response may be.
POLL_WAIT_S = 20
RESPONSE_GRACE_S = 5.0
#: Base and maximum delay of the exponential backoff of retries, in seconds.
BASE_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 3.0


class DocumentWatch:
    """Long-polls the platform until it is closed.

    Parameters
    ----------
    feed : callable
        ``feed(event)`` passes an event to the reducer.
    send_get : callable
        ``send_get(path, timeout_s, on_done)`` starts a GET request and returns a handle
        with ``cancel()``.
    clock : IReactorTime
        Provides timers.
    count : callable
        ``count(name, label)`` increments a counter by one.
    random : random.Random
        Source of the random jitter of delays.
    """

    def __init__(self, feed, send_get, clock, count, random):
        self._feed = feed
        self._send_get = send_get
        self._clock = clock
        self._count = count
        self._random = random
        self._revision = 0
        self._n_failures = 0
        self._is_closed = False
        self._exchange = None
        self._timer = None

    def poll(self):
        """Request the changes since the revision of the last response."""
        path = (
            f"/v1/watch?prefix={WATCH_PREFIX}&since={self._revision}"
            f"&timeout_ms={POLL_WAIT_S * MS_PER_S}"
        )
        self._exchange = self._send_get(
            path, POLL_WAIT_S + RESPONSE_GRACE_S, self._handle_response
        )

    def close(self):
        """Stop polling and cancel the current request."""
        self._is_closed = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._exchange.cancel()

    def _handle_response(self, result):
        if self._is_closed:
            return
        try:
            self._revision, documents = parse_watch_response(result)
        except FrameError as error:
            self._handle_failure(error)
            return
        self._n_failures = 0
        for event in documents:
            self._feed(event)
        if self._is_closed:
            return
        if documents:
            self.poll()
        else:
            # Without a delay, a platform that responds at once would be polled in a
            # tight loop.
            self._schedule_poll(BASE_RETRY_DELAY_S)

    def _handle_failure(self, error):
        self._n_failures += 1
        self._count("watch_failed", str(error))
        backoff_s = BASE_RETRY_DELAY_S * 2 ** min(self._n_failures - 1, 16)
        self._schedule_poll(min(MAX_RETRY_DELAY_S, backoff_s))

    def _schedule_poll(self, max_delay_s):
        delay_s = max_delay_s * (0.5 + 0.5 * self._random.random())
        self._timer = self._clock.callLater(delay_s, self.poll)
