"""Shedding at the entry when this process cannot keep up with its events."""

from heatherpick._core.effects import SetTimer

__all__ = ["Overload"]

#: Interval between two looks at the lateness of timers, in milliseconds.
PROBE_MS = 50.0
#: Lateness above which the least important class is refused, in milliseconds.
#: Each more important class bears one more such step.
STEP_MS = 15.0
#: Number of admission classes that are told apart.
N_CLASSES = 4
#: Weight of the newest lateness in the moving average.
WEIGHT = 0.3

_TIMER = "overload:probe"


class Overload:
    """Lateness of this process, and which classes it may still take.

    A busy process fires its timers late by just the time for which an event waits
    in its queue. That is the wait that a new request would have, whatever the
    cause, so it needs no estimate of what a request costs.
    """

    def __init__(self):
        self._due = None
        self.lateness_ms = 0.0

    def start(self, now):
        """Begin to look at the lateness; return effects."""
        self._due = now + PROBE_MS / 1000.0
        return [SetTimer(_TIMER, PROBE_MS)]

    def timer(self, now):
        """Take the lateness of the probe timer into account; return effects."""
        late_ms = max(0.0, (now - self._due) * 1000.0)
        self.lateness_ms += WEIGHT * (late_ms - self.lateness_ms)
        return self.start(now)

    def admits(self, priority):
        """Return whether a request of that class, 0 the first, may be taken."""
        rank = N_CLASSES - min(priority, N_CLASSES - 1)
        return self.lateness_ms <= rank * STEP_MS
