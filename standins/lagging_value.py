"""A value that readers see only after a lag."""

from collections import deque

__all__ = ["LaggingValue"]


class LaggingValue:
    """A value whose readers see each write only after a lag.

    Parameters
    ----------
    value : object
        Initial value, visible at once.
    lag_s : float
        Time from a write until readers see it, in seconds. The attribute of this name
        may be set at any time; it applies to later writes.
    """

    def __init__(self, value, lag_s):
        self.lag_s = lag_s
        self._visible = value
        self._pending = deque()

    @property
    def latest(self):
        """The last value written, visible to readers or not."""
        return self._pending[-1][1] if self._pending else self._visible

    def write(self, value, now):
        """Set the value at the time ``now``, in seconds."""
        self._apply_due_writes(now)
        self._pending.append((now + self.lag_s, value))

    def read(self, now):
        """Return the value that is visible at the time ``now``, in seconds."""
        self._apply_due_writes(now)
        return self._visible

    def _apply_due_writes(self, now):
        while self._pending and self._pending[0][0] <= now:
            self._visible = self._pending.popleft()[1]
