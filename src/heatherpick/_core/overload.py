"""Shedding at the entry when this process cannot keep up with its events."""

from heatherpick._core.effects import SetTimer

__all__ = ["OverloadDetector"]

#: Interval between two looks at the lateness of timers, in milliseconds.
PROBE_MS = 50.0
#: Lateness above which the least important class is refused, in milliseconds.
#: Each more important class bears one more such step.
CLASS_STEP_MS = 15.0
#: Number of admission classes that are told apart.
N_CLASSES = 4
#: Weight of the newest lateness in the moving average.
EWMA_WEIGHT = 0.3

_PROBE_TIMER = "overload:probe"


class OverloadDetector:
    """Lateness of this process, and which classes it may still take.

    A busy process fires its timers late by just the time for which an event waits
    in its queue. That is the wait that a new request would have, whatever the
    cause, so it needs no estimate of what a request costs.
    """

    def __init__(self):
        self._probe_due = None
        self.lateness_ms = 0.0

    def start(self, now):
        """Begin to look at the lateness; return effects."""
        self._probe_due = now + PROBE_MS / 1000.0
        return [SetTimer(_PROBE_TIMER, PROBE_MS)]

    def handle_timer(self, now):
        """Take the lateness of the probe timer into account; return effects."""
        late_ms = max(0.0, (now - self._probe_due) * 1000.0)
        self.lateness_ms += EWMA_WEIGHT * (late_ms - self.lateness_ms)
        return self.start(now)

    def admits(self, priority):
        """Return whether a request of that class, 0 the first, may be taken."""
        n_steps = N_CLASSES - min(priority, N_CLASSES - 1)
        return self.lateness_ms <= n_steps * CLASS_STEP_MS
