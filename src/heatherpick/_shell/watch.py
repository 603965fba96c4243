"""The watch on the platform's shared documents: one long call after another."""

from heatherpick._shell.objects import WATCH_PREFIX, parse_watch
from heatherpick.errors import FrameError

__all__ = ["Watch"]

MS_PER_S = 1000
#: Seconds for which one call waits, and by which its answer may be late.
WAIT_S = 20
GRACE_S = 5.0
#: Seconds before the first and the slowest retry.
FIRST_RETRY_S = 0.2
SLOWEST_RETRY_S = 3.0


class Watch:
    """Asks the platform again and again until it is closed.

    Parameters
    ----------
    feed : callable
        Takes an event.
    ask : callable
        ``ask(path, timeout_s, done)`` starts a call and returns it, with
        ``cancel()``.
    clock : IReactorTime
        Times the retries.
    count : callable
        ``count(name, label)`` adds one to a counter.
    random : random.Random
        Spreads the retries.
    """

    def __init__(self, feed, ask, clock, count, random):
        self._feed = feed
        self._ask = ask
        self._clock = clock
        self._count = count
        self._random = random
        self._revision = 0
        self._n_failures = 0
        self._is_closed = False
        self._exchange = None
        self._timer = None

    def open(self):
        """Ask for everything that is newer than the last answer."""
        path = (
            f"/v1/watch?prefix={WATCH_PREFIX}&since={self._revision}"
            f"&timeout_ms={WAIT_S * MS_PER_S}"
        )
        self._exchange = self._ask(path, WAIT_S + GRACE_S, self._take)

    def close(self):
        """Ask no more."""
        self._is_closed = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._exchange.cancel()

    def _take(self, result):
        if self._is_closed:
            return
        try:
            self._revision, seen = parse_watch(result)
        except FrameError as error:
            self._retry(error)
            return
        self._n_failures = 0
        for event in seen:
            self._feed(event)
        if self._is_closed:
            return
        if seen:
            self.open()
        else:
            # A platform that does not wait would be asked without end.
            self._pause(FIRST_RETRY_S)

    def _retry(self, error):
        self._n_failures += 1
        self._count("watch_failed", str(error))
        doubled_s = FIRST_RETRY_S * 2 ** min(self._n_failures - 1, 16)
        self._pause(min(SLOWEST_RETRY_S, doubled_s))

    def _pause(self, longest_s):
        delay_s = longest_s * (0.5 + 0.5 * self._random.random())
        self._timer = self._clock.callLater(delay_s, self.open)
