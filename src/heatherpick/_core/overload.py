"""Load shedding at the entry node when the process falls behind its events."""

from heatherpick._core.effects import SetTimer

__all__ = ["OverloadDetector"]

#: Interval of the probe timer, in milliseconds.
PROBE_MS = 50.0
#: Lateness above which the least important class is refused, in milliseconds. The
#: threshold of each more important class is higher by the same amount.
CLASS_STEP_MS = 15.0
#: Number of admission classes with thresholds of their own; all less important ones
#: share the lowest.
N_CLASSES = 4
#: Weight of the newest lateness in the moving average.
EWMA_WEIGHT = 0.3

_PROBE_TIMER = "overload:probe"


class OverloadDetector:
    """Measures how late timers fire and decides which classes are admitted.

    A busy process fires its timers late by exactly the time for which an event waits
    in its queue. A new request would wait as long, whatever the cause, so no estimate
    of a request's cost is needed.

    Attributes
    ----------
    lateness_ms : float
        Moving average of the timers' lateness.
    """

    def __init__(self):
        self._probe_due = None
        self.lateness_ms = 0.0

    def start(self, now):
        """Set the probe timer; return effects."""
        self._probe_due = now + PROBE_MS / 1000.0
        return [SetTimer(_PROBE_TIMER, PROBE_MS)]

    def handle_timer(self, now):
        """Add the lateness of the probe timer to the average; return effects."""
        late_ms = max(0.0, (now - self._probe_due) * 1000.0)
        self.lateness_ms += EWMA_WEIGHT * (late_ms - self.lateness_ms)
        return self.start(now)

    def admits(self, priority):
        """Return whether a request of class ``priority`` is admitted; 0 is highest."""
        n_steps = N_CLASSES - min(priority, N_CLASSES - 1)
        return self.lateness_ms <= n_steps * CLASS_STEP_MS
