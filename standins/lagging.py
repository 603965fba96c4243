"""A value that readers see as it was some time ago."""

from collections import deque

__all__ = ["LaggingValue"]


class LaggingValue:
    """A value whose readers lag behind its writers.

    Parameters
    ----------
    value : object
        What readers see at first.
    lag : float
        Seconds until readers see a value. A change concerns later writes.
    """

    def __init__(self, value, lag):
        self.lag = lag
        self._seen = value
        self._pending = deque()

    @property
    def newest(self):
        """The last value written, whether readers see it yet or not."""
        return self._pending[-1][1] if self._pending else self._seen

    def write(self, value, now):
        """Set the value at the time ``now``, in seconds."""
        self._advance(now)
        self._pending.append((now + self.lag, value))

    def read(self, now):
        """Return the newest value that readers see at the time ``now``."""
        self._advance(now)
        return self._seen

    def _advance(self, now):
        while self._pending and self._pending[0][0] <= now:
            self._seen = self._pending.popleft()[1]
